//! Failovers after most hosts have left the fleet, as planned or not. Run in virtual time; the fakes
//! report stale reads and acknowledged writes that the primary lacks as violations.

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use std::time::Duration;

use proxy_fakes::{PartitionSide, ProxyFleet, millis, read, write};
use quetzaldeal::proxy::proxy_tuning;

/// Number of hosts of each fleet.
const HOSTS: usize = 7;
/// Within this time a change of primary has to be over.
const FAILOVER_MAX: Duration = Duration::from_secs(17);

/// Declares a test for each name and tuning, which runs on a fleet that serves already.
macro_rules! cases {
    ($($name:ident($tuning:expr): $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let run: fn(&mut ProxyFleet) = $body;
                let accounts = [("large", 2_000.0, 2_000.0)];
                let mut fleet = ProxyFleet::with_tuning(HOSTS, &accounts, 1, $tuning);
                fleet.run(millis(2_000));
                run(&mut fleet);
                assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
            }
        )*
    };
}

fn all_witnesses() -> proxy_tuning::ProxyTuning {
    proxy_tuning::ProxyTuning::default()
}

fn few_witnesses() -> proxy_tuning::ProxyTuning {
    proxy_tuning::ProxyTuning { witnesses_all: 2, witnesses: 3, ..Default::default() }
}

/// Returns the time until a host serves a write, tried every 20 ms for up to 40 s.
fn write_outage(fleet: &mut ProxyFleet, host: usize) -> Duration {
    let start = fleet.now;
    while fleet.now - start < 40_000_000 {
        let caller = fleet.open(host, "large", "strict");
        let received = match fleet.refusal(host, caller) {
            Some(_) => None,
            None => fleet.send_and_wait(host, caller, write()),
        };
        if received.is_some_and(|received| received.ran()) {
            return Duration::from_micros(fleet.now - start);
        }
        fleet.run(millis(20));
    }
    panic!("host {host} served no write for 40 s");
}

/// Ends hosts as planned, one after the other.
fn stop_hosts(fleet: &mut ProxyFleet, hosts: std::ops::Range<usize>) {
    for host in hosts {
        fleet.stop_host(host);
        fleet.run(millis(6_000));
        assert!(fleet.stopped(host), "host {host}");
        fleet.kill_host(host);
    }
}

/// Ends hosts as planned, all at once.
fn stop_hosts_at_once(fleet: &mut ProxyFleet, hosts: &[usize]) {
    for host in hosts {
        fleet.stop_host(*host);
    }
    fleet.run(millis(6_000));
    for host in hosts {
        fleet.kill_host(*host);
    }
}

/// Replaces the processes of hosts by new ones.
fn restart_hosts(fleet: &mut ProxyFleet, hosts: std::ops::Range<usize>) {
    for host in hosts {
        fleet.kill_host(host);
        fleet.start_host(host, Duration::ZERO);
    }
}

/// Has all running hosts read and write for a while. Returns the number of requests that ran on each.
fn load(fleet: &mut ProxyFleet, duration_ms: u64) -> Vec<usize> {
    let running: Vec<usize> = (0..HOSTS).filter(|host| fleet.alive(*host)).collect();
    let mut served = vec![0; HOSTS];
    // Callers connect again, because a host closes a session whose request it cannot decide.
    for _ in 0..duration_ms / 200 {
        let callers: Vec<(usize, u64)> =
            running.iter().map(|host| (*host, fleet.open(*host, "large", "strict"))).collect();
        for round in 0..10 {
            for (host, caller) in &callers {
                fleet.send(*host, *caller, if round % 2 == 0 { write() } else { read() });
            }
            fleet.run(millis(20));
            for (host, caller) in &callers {
                while let Some(received) = fleet.take_response(*host, *caller) {
                    served[*host] += usize::from(received.ran());
                }
            }
        }
        for (host, caller) in callers {
            fleet.close(host, caller);
        }
    }
    served
}

/// Cuts hosts off, together with the primary, from the store, all other hosts and the replicas.
fn cut_off(fleet: &mut ProxyFleet, hosts: std::ops::Range<usize>) {
    for host in hosts.clone() {
        fleet.partition(PartitionSide::Host(host), PartitionSide::Store);
        for other in (0..HOSTS).filter(|other| !hosts.contains(other)) {
            fleet.partition(PartitionSide::Host(host), PartitionSide::Host(other));
        }
    }
    for other in (0..HOSTS).filter(|other| !hosts.contains(other)) {
        fleet.partition(PartitionSide::Host(other), PartitionSide::Database("db0".to_owned()));
    }
    for replica in ["db1", "db2"] {
        let (primary, replica) = ("db0".to_owned(), replica.to_owned());
        fleet.partition(PartitionSide::Database(primary), PartitionSide::Database(replica));
    }
}

cases! {
    // Guards against failovers that wait for ever for hosts that have left as planned, because these
    // are most of the witnesses that would have to confirm it.
    failover_ends_after_most_hosts_left_as_planned(all_witnesses()): |fleet| {
        stop_hosts(fleet, 3..HOSTS);
        fleet.register("db0", true);
        fleet.run(millis(500));
        let outage = write_outage(fleet, 0);
        assert!(outage < Duration::from_secs(5), "{outage:?}");
        assert_ne!(fleet.primary_id(), "db0");
    };
    // The same where the hosts leave at once, right before the failover, and the rest restarts.
    failover_ends_after_most_hosts_left_at_once(all_witnesses()): |fleet| {
        stop_hosts_at_once(fleet, &[3, 4, 5, 6]);
        fleet.crash("db0", true);
        restart_hosts(fleet, 0..3);
        let outage = write_outage(fleet, 0);
        assert!(outage < Duration::from_secs(8), "{outage:?}");
    };
    // The same in a fleet with few witnesses, all of which leave.
    failover_ends_after_all_witnesses_left_as_planned(few_witnesses()): |fleet| {
        let witnesses = fleet.core(0).context().witnesses.hosts.clone();
        let leaving: Vec<usize> =
            (0..HOSTS).filter(|host| witnesses.contains(&format!("host{host}"))).collect();
        stop_hosts_at_once(fleet, &leaving);
        fleet.register("db0", true);
        fleet.run(millis(500));
        let rest = (0..HOSTS).find(|host| !leaving.contains(host)).expect("a running host");
        let outage = write_outage(fleet, rest);
        assert!(outage < Duration::from_secs(5), "{outage:?}");
    };
    // Guards against failovers that wait for ever once most hosts have lost power for good.
    failover_ends_after_most_hosts_died(all_witnesses()): |fleet| {
        for host in 1..HOSTS {
            fleet.kill_host(host);
        }
        fleet.crash("db0", false);
        let outage = write_outage(fleet, 0);
        assert!(outage < FAILOVER_MAX, "{outage:?}");
    };
    // The same after a restart of the rest, which has not seen the others end.
    failover_ends_after_most_hosts_died_and_the_rest_restarted(all_witnesses()): |fleet| {
        for host in 2..HOSTS {
            fleet.kill_host(host);
        }
        fleet.crash("db0", true);
        restart_hosts(fleet, 0..2);
        let outage = write_outage(fleet, 0);
        assert!(outage < FAILOVER_MAX, "{outage:?}");
    };
    // Guards against two primaries in use: most hosts are cut off from the store together with the old
    // primary, and the rest replaces it.
    cut_off_majority_stops_using_a_replaced_primary(all_witnesses()): |fleet| {
        cut_off(fleet, 2..HOSTS);
        let served = load(fleet, 25_000);
        assert_ne!(fleet.primary_id(), "db0");
        assert!(served[0] > 0, "{served:?}");
        fleet.heal_partitions();
        load(fleet, 3_000);
    };
    // The same in a fleet with few witnesses.
    cut_off_witnesses_stop_using_a_replaced_primary(few_witnesses()): |fleet| {
        cut_off(fleet, 1..HOSTS);
        load(fleet, 25_000);
        fleet.heal_partitions();
        load(fleet, 3_000);
    };
    // Guards against hosts that stop with the store: an outage longer than the isolation limit, with
    // all hosts running, interrupts no writes.
    long_outage_of_the_store_does_not_stop_a_complete_fleet(all_witnesses()): |fleet| {
        for host in 0..HOSTS {
            fleet.partition(PartitionSide::Host(host), PartitionSide::Store);
        }
        fleet.run(millis(20_000));
        let caller = fleet.open(3, "large", "strict");
        for _ in 0..100 {
            let received = fleet.send_and_wait(3, caller, write());
            assert!(received.is_some_and(|received| received.ran()));
            fleet.run(millis(50));
        }
    };
    // Guards against a departure that outlives the return of its host: an unplanned end of the new
    // process would be taken for a planned one.
    departure_is_removed_when_the_host_returns(all_witnesses()): |fleet| {
        stop_hosts(fleet, 3..4);
        let departure = "departures/host3";
        assert!(fleet.store.record_keys().contains(departure));
        fleet.start_host(3, Duration::ZERO);
        fleet.run(millis(2_000));
        assert!(fleet.ready(3));
        assert!(!fleet.store.record_keys().contains(departure));
    };
    // Guards against records of departed hosts that stay in the store for ever.
    departed_host_leaves_no_records(all_witnesses()): |fleet| {
        stop_hosts(fleet, 3..4);
        fleet.run(millis(10_000));
        let keys = fleet.store.record_keys();
        assert!(!keys.iter().any(|key| key.ends_with("/host3")), "{keys:?}");
    };
}
