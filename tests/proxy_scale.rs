//! Scenarios of a larger fleet, in which only a few hosts are witnesses, in virtual time.

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use std::time::Duration;

use proxy_fakes::fake_store;
use proxy_fakes::{PartitionSide, ProxyFleet, millis, read, write};
use quetzaldeal::core::request_verdict;
use quetzaldeal::proxy::return_schedule;
use quetzaldeal::proxy::witness_selection;

/// Hosts of the fleet: more than the size up to which every host is a witness.
const HOSTS: usize = 24;

/// Rate and burst of the account whose callers stay below its rate.
const MEDIUM_RATE: f64 = 240.0;

/// Declares a test for each name, which runs on a fleet that serves already.
macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let run: fn(&mut ProxyFleet) = $body;
                let mut fleet = start_fleet(HOSTS);
                run(&mut fleet);
                assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
            }
        )*
    };
}

/// Returns a fleet after 2.5 s of virtual time, by which all hosts serve.
fn start_fleet(hosts: usize) -> ProxyFleet {
    let accounts =
        [("large", 2_000.0, 2_000.0), ("medium", MEDIUM_RATE, MEDIUM_RATE), ("small", 20.0, 20.0)];
    let mut fleet = ProxyFleet::new(hosts, &accounts, 1);
    fleet.run(Duration::from_millis(2_500));
    fleet
}

/// Sends a write and a read to each of the hosts; returns how many of them did not run.
fn count_unserved(fleet: &mut ProxyFleet, hosts: &[usize], callers: &[u64]) -> usize {
    let mut count = 0;
    for host in hosts {
        for request in [write(), read()] {
            let received = fleet.send_and_wait(*host, callers[*host], request);
            count += usize::from(!received.is_some_and(|received| received.ran()));
        }
    }
    count
}

/// Opens a session on every host; returns the callers by host.
fn open_sessions(fleet: &mut ProxyFleet) -> Vec<u64> {
    (0..HOSTS).map(|host| fleet.open(host, "large", "strict")).collect()
}

/// Sends reads of the account `medium` at 200 per second, spread over the hosts. Returns how many
/// were sent and how many of them did not run.
fn load_medium(fleet: &mut ProxyFleet, hosts: &[usize], seconds: u64) -> (usize, usize) {
    let callers: Vec<(usize, u64)> = (0..6)
        .flat_map(|_| hosts.to_vec())
        .map(|host| (host, fleet.open(host, "medium", "aged")))
        .collect();
    let (mut sent, mut refused) = (0, 0);
    for _ in 0..seconds * 50 {
        for _ in 0..4 {
            let (host, caller) = callers[sent % callers.len()];
            fleet.send(host, caller, read());
            sent += 1;
        }
        fleet.run(millis(20));
    }
    fleet.run(millis(500));
    for (host, caller) in callers {
        while let Some(received) = fleet.take_response(host, caller) {
            refused += usize::from(!received.ran());
        }
    }
    (sent, refused)
}

/// Returns the hosts that are witnesses.
fn witnesses(fleet: &ProxyFleet) -> Vec<usize> {
    (0..HOSTS).filter(|host| fleet.core(*host).context().is_witness()).collect()
}

/// Returns the hosts that are not witnesses.
fn non_witnesses(fleet: &ProxyFleet) -> Vec<usize> {
    (0..HOSTS).filter(|host| !fleet.core(*host).context().is_witness()).collect()
}

/// Returns the names of the home hosts of an account.
fn home_hosts(fleet: &ProxyFleet, account: &str) -> Vec<String> {
    let context = fleet.core(0).context();
    context.accounts[context.account_names[account]].homes.clone()
}

/// Returns the time until a write and a read are served again at a host, tried every 20 ms.
fn write_outage(fleet: &mut ProxyFleet, host: usize, caller: u64) -> Duration {
    let start = fleet.now;
    while fleet.now - start < 30_000_000 {
        if count_unserved(fleet, &[host], &[caller; HOSTS]) == 0 {
            return Duration::from_micros(fleet.now - start);
        }
        fleet.run(millis(20));
    }
    panic!("no write and read were served within 30 s");
}

cases! {
    // Guards against hosts that serve late because they are not witnesses: 2.5 s after the start
    // every host is ready, and five hosts are witnesses.
    every_host_serves_soon_after_start: |fleet| {
        assert!((0..HOSTS).all(|host| fleet.ready(host)));
        let callers = open_sessions(fleet);
        let hosts: Vec<usize> = (0..HOSTS).collect();
        assert_eq!(count_unserved(fleet, &hosts, &callers), 0);
        assert_eq!(witnesses(fleet).len(), 5);
    };
    // Guards against hosts that stop with the store: once the membership leases have expired, each
    // host needs a quorum lease from the witnesses.
    every_host_serves_while_store_is_unresponsive: |fleet| {
        let callers = open_sessions(fleet);
        let hosts: Vec<usize> = (0..HOSTS).collect();
        assert_eq!(count_unserved(fleet, &hosts, &callers), 0);
        fleet.store.mode = fake_store::StoreMode::Unresponsive;
        fleet.run(millis(1_000));
        for _ in 0..8 {
            assert_eq!(count_unserved(fleet, &hosts, &callers), 0);
            fleet.run(millis(1_000));
        }
    };
    // Guards against a host that stops, or misses a failover, because it alone cannot reach the
    // store: the others see its member record expire, while the witnesses still reach it.
    host_cut_off_from_the_store_alone_keeps_serving: |fleet| {
        let callers = open_sessions(fleet);
        let non_witness = non_witnesses(fleet)[0];
        assert_eq!(count_unserved(fleet, &[non_witness], &callers), 0);
        fleet.partition(PartitionSide::Host(non_witness), PartitionSide::Store);
        fleet.run(millis(3_000));
        assert_eq!(count_unserved(fleet, &[non_witness], &callers), 0);
        // It has to learn of the failover from the heartbeats of the witnesses.
        fleet.register("db0", true);
        let outage = write_outage(fleet, non_witness, callers[non_witness]);
        assert!(outage < Duration::from_secs(5), "{outage:?}");
    };
    // Guards against a failover that needs more than a majority of the witnesses: two of five die
    // together with the primary.
    failover_succeeds_without_two_of_five_witnesses: |fleet| {
        let callers = open_sessions(fleet);
        let non_witness = non_witnesses(fleet)[0];
        assert_eq!(count_unserved(fleet, &[non_witness], &callers), 0);
        for host in &witnesses(fleet)[..2] {
            fleet.kill_host(*host);
        }
        fleet.crash("db0", true);
        let outage = write_outage(fleet, non_witness, callers[non_witness]);
        assert!(outage < Duration::from_secs(17), "{outage:?}");
        assert_ne!(fleet.primary_id(), "db0");
    };
    // Guards against a crashed primary that is not replaced because the coordinator is no witness and
    // has not observed it: such a host takes the role while no witness has registered yet.
    coordinator_that_is_no_witness_replaces_a_crashed_primary: |fleet| {
        let witnesses = witnesses(fleet);
        for host in &witnesses {
            fleet.partition(PartitionSide::Host(*host), PartitionSide::Store);
        }
        fleet.run(millis(4_000));
        let coordinator = (0..HOSTS).find(|host| fleet.core(*host).context().fencing_token().is_some());
        let coordinator = coordinator.expect("no host has the coordinator role");
        assert!(!witnesses.contains(&coordinator));
        fleet.heal_partitions();
        fleet.run(millis(1_000));
        // The coordinator itself serves no callers.
        let other = (0..HOSTS).find(|host| *host != coordinator && !witnesses.contains(host)).unwrap();
        let caller = fleet.open(other, "large", "strict");
        fleet.crash("db0", false);
        let outage = write_outage(fleet, other, caller);
        assert!(outage < Duration::from_secs(17), "{outage:?}");
        assert_ne!(fleet.primary_id(), "db0");
    };
    // Guards against lost writes and stale reads through a host that does not learn of a failover:
    // it reaches only the old primary, which no other host reaches, and its leases have to stop it.
    isolated_host_stops_using_replaced_primary: |fleet| {
        let callers = open_sessions(fleet);
        let non_witness = non_witnesses(fleet)[0];
        let other = *non_witnesses(fleet).last().unwrap();
        fleet.partition(PartitionSide::Host(non_witness), PartitionSide::Store);
        for peer in (0..HOSTS).filter(|peer| *peer != non_witness) {
            fleet.partition(PartitionSide::Host(non_witness), PartitionSide::Host(peer));
            fleet.partition(PartitionSide::Host(peer), PartitionSide::Database("db0".to_owned()));
        }
        let start = fleet.now;
        while fleet.now - start < 12_000_000 {
            fleet.send(non_witness, callers[non_witness], write());
            fleet.send(non_witness, callers[non_witness], read());
            fleet.send_and_wait(other, callers[other], write());
            fleet.run(millis(20));
        }
        assert_ne!(fleet.primary_id(), "db0");
        assert_eq!(count_unserved(fleet, &[other], &callers), 0);
    };
    // Guards against refusals because requests for tokens or their replies are lost: with 2 % of
    // the datagrams lost, fewer than one request in a thousand is refused.
    account_below_its_rate_is_served_despite_datagram_loss: |fleet| {
        fleet.datagram_loss = 0.02;
        let hosts: Vec<usize> = (0..HOSTS).collect();
        let (sent, refused) = load_medium(fleet, &hosts, 20);
        assert!(refused * 1_000 < sent, "{refused} of {sent} refused");
    };
    // Guards against refusals while hosts use different allocations: the store refuses the calls of
    // six hosts, so that they do not read a new configuration, and the new allocation is not
    // confirmed.
    account_below_its_rate_is_served_while_some_hosts_miss_a_configuration: |fleet| {
        for host in &non_witnesses(fleet)[..6] {
            fleet.deny_host(*host, true);
        }
        fleet.reconfigure(|config| config.idle_transaction += millis(1));
        let hosts: Vec<usize> = (0..HOSTS).collect();
        let (sent, refused) = load_medium(fleet, &hosts, 5);
        assert!(refused * 1_000 < sent, "{refused} of {sent} refused");
    };
    // Guards against refusals because hosts keep asking unreachable home hosts for tokens: two of
    // twelve home hosts reach no peer.
    account_below_its_rate_is_served_while_home_hosts_are_isolated: |fleet| {
        let home_hosts = home_hosts(fleet, "medium");
        assert_eq!(home_hosts.len(), 12);
        let host_number = |name: &String| {
            (0..HOSTS).find(|host| fleet.core(*host).context().identity.host == *name)
        };
        let isolated: Vec<usize> = home_hosts[..2].iter().filter_map(host_number).collect();
        for host in &isolated {
            for peer in (0..HOSTS).filter(|peer| peer != host) {
                fleet.partition(PartitionSide::Host(*host), PartitionSide::Host(peer));
            }
        }
        let others: Vec<usize> = (0..HOSTS).filter(|host| !isolated.contains(host)).collect();
        // Requests come at five sixths of the rate, and ten of twelve shares are left for them.
        let (sent, refused) = load_medium(fleet, &others, 5);
        assert!(refused * 20 < sent, "{refused} of {sent} refused");
    };
    // Guards against refusals after a restart of the whole fleet, when all callers reconnect before
    // tokens have accrued.
    restarted_fleet_has_tokens_for_returning_callers: |fleet| {
        let hosts: Vec<usize> = (0..HOSTS).collect();
        load_medium(fleet, &hosts, 2);
        for host in &hosts {
            fleet.kill_host(*host);
        }
        fleet.run(millis(1_000));
        for host in &hosts {
            fleet.start_host(*host, Duration::ZERO);
        }
        let started = fleet.now;
        while !hosts.iter().all(|host| fleet.ready(*host)) {
            fleet.run(millis(10));
        }
        let waited = Duration::from_micros(fleet.now - started);
        assert!(waited <= millis(700), "ready after {waited:?}");
        // All callers send a request at once.
        let callers: Vec<(usize, u64)> = (0..8)
            .flat_map(|_| &hosts)
            .map(|host| (*host, fleet.open(*host, "medium", "strict")))
            .collect();
        for (host, caller) in &callers {
            fleet.send(*host, *caller, read());
        }
        fleet.run(millis(600));
        let mut served = 0;
        for (host, caller) in callers {
            let received = fleet.take_response(host, caller);
            served += usize::from(received.is_some_and(|received| received.ran()));
        }
        // Tokens that accrue at the rate between the start of the hosts and the requests.
        let accrued = (MEDIUM_RATE * waited.as_secs_f64()) as usize;
        assert!(served >= accrued, "{served} requests served, expected at least {accrued}");
    };
    // Guards against a missed configuration when the store loses all watches without a reply: hosts
    // with short watches notice it first.
    lost_watches_are_reopened: |fleet| {
        fleet.run(millis(1_000));
        fleet.store.drop_watches();
        fleet.reconfigure(|config| config.keys.clear());
        // A published configuration has to be applied within 3 s.
        fleet.run(millis(2_900));
        for host in 0..HOSTS {
            let caller = fleet.open(host, "large", "aged");
            assert!(fleet.refusal(host, caller).is_some(), "host {host}");
        }
    };
    // Guards against a host that misses a configuration for as long as its watch lasts, 20 s, after
    // the store has lost that watch: heartbeats of peers carry a later store revision.
    host_with_a_lost_watch_is_alerted_by_peers: |fleet| {
        let non_witness = non_witnesses(fleet)[0];
        fleet.run(millis(1_000));
        fleet.store.drop_host_watches(non_witness);
        fleet.reconfigure(|config| config.keys.clear());
        fleet.run(millis(2_000));
        let caller = fleet.open(non_witness, "large", "aged");
        assert!(fleet.refusal(non_witness, caller).is_some());
    };
    // Guards against load on the store that grows with the fleet beyond the renewals of leases,
    // such as from short watches on every host.
    idle_hosts_call_the_store_only_for_leases: |fleet| {
        fleet.run(millis(5_000));
        let before = fleet.sum(|counts| counts.store_calls);
        fleet.run(millis(10_000));
        let rate = (fleet.sum(|counts| counts.store_calls) - before) as f64 / 10.0 / HOSTS as f64;
        // Each host renews its lease every 550 ms. The three short watches and the renewal of the
        // coordinator lease add little per host.
        assert!(rate < 1.0 / 0.55 + 0.4, "{rate} store calls per second and host");
    };
    // Guards against a refusal without a retry time, or with a wrong one, at a host that is not a
    // home host and therefore has no share of its own.
    refusal_without_a_share_carries_a_retry_time: |fleet| {
        let home_hosts = home_hosts(fleet, "small");
        let is_home_host =
            |host: &usize| home_hosts.contains(&fleet.core(*host).context().identity.host);
        let host = (0..HOSTS).find(|host| !is_home_host(host)).unwrap();
        let callers: Vec<u64> = (0..60).map(|_| fleet.open(host, "small", "strict")).collect();
        for caller in &callers {
            fleet.send(host, *caller, read());
        }
        fleet.run(millis(500));
        let mut waits = Vec::new();
        for caller in callers {
            let Some(received) = fleet.take_response(host, caller) else { continue };
            let verdict = received.response.verdict;
            if verdict.fate == request_verdict::RequestFate::NotRun {
                let wait = verdict.retry_after.unwrap();
                assert!(wait >= millis(50) && wait <= return_schedule::RETRY_MAX, "{wait:?}");
                waits.push(wait);
            }
        }
        assert!(waits.len() > 20, "{} requests refused, expected more than 20", waits.len());
        // Those who return in one second must not be more than the account's rate of 20 covers.
        let most = waits.iter().map(|first| {
            let within = |wait: &&Duration| **wait >= *first && **wait < *first + millis(1_000);
            waits.iter().filter(within).count()
        });
        assert!(most.max().unwrap() <= 20, "{waits:?}");
    };
    // Guards against refusals at hosts without a share: the account has few home hosts, and all
    // other hosts have to ask them for tokens.
    small_account_is_served_at_every_host: |fleet| {
        let callers: Vec<u64> =
            (0..HOSTS).map(|host| fleet.open(host, "small", "strict")).collect();
        fleet.run(millis(1_000));
        for host in 0..HOSTS {
            assert_eq!(count_unserved(fleet, &[host], &callers), 0, "host {host}");
            fleet.run(millis(150));
        }
    };
}

/// Guards against heartbeat traffic that grows with the square of the fleet: in a fleet of twice
/// the size a host sends no more datagrams.
#[test]
fn datagrams_per_host_do_not_grow_with_the_fleet() {
    let datagram_rate = |hosts: usize| {
        let mut fleet = start_fleet(hosts);
        fleet.run(millis(3_000));
        let before = fleet.sum(|counts| counts.datagrams);
        fleet.run(millis(4_000));
        (fleet.sum(|counts| counts.datagrams) - before) as f64 / 4.0 / hosts as f64
    };
    let (fewer, more) = (datagram_rate(24), datagram_rate(48));
    // A heartbeat and its reply up to four times per second, plus the heartbeats between witnesses.
    assert!(fewer < 12.0 && more < 10.0, "{fewer} and {more} datagrams per second and host");
}

/// Guards against a witness set that changes as a whole when a host leaves, which would delay
/// quorum leases, and against one that does not cover all data centres.
#[test]
fn removing_a_host_replaces_at_most_one_witness() {
    let mut hosts: Vec<(String, String)> =
        (0..60).map(|number| (format!("host{number}"), format!("centre{}", number % 3))).collect();
    let mut before = witness_selection::choose(&hosts, 9, 5);
    while hosts.len() > 12 {
        hosts.remove(hosts.len() * 7 / 11);
        let after = witness_selection::choose(&hosts, 9, 5);
        let kept = after.iter().filter(|host| before.contains(host)).count();
        assert!(after.len() == 5 && kept >= 4, "witnesses {before:?} became {after:?}");
        let data_centre =
            |host: &&String| hosts.iter().find(|(name, _)| name == *host).unwrap().1.clone();
        let data_centres: std::collections::BTreeSet<String> =
            after.iter().map(|host| data_centre(&host)).collect();
        assert_eq!(data_centres.len(), 3);
        before = after;
    }
}

/// Guards against hosts that all claim the coordinator role at the start, when each knows few
/// others, and against repeated watches while all of them register.
#[test]
fn start_of_the_fleet_costs_few_calls_per_host() {
    let fleet = start_fleet(60);
    let calls = |purposes: &[&str]| {
        fleet.sum(|counts| {
            let replies = counts.store_replies.iter();
            let counted = replies.filter(|((purpose, _), _)| purposes.contains(purpose));
            counted.map(|(_, count)| count).sum()
        })
    };
    let claims = calls(&["coordinator_lease", "coordinator_record"]);
    assert!(claims <= 12, "{claims} calls to claim the coordinator role");
    let reads = calls(&["list", "watch"]);
    // One read of all items and two watches, and those of the three watchers in 2.5 s.
    assert!(reads <= 60 * 3 + 3 * 25, "{reads} reads");
}

/// Hosts of a fleet large enough that messages which name every absent host would fill a link.
const LARGE_FLEET: usize = 120;
/// A third of a link of 2 Mbit/s, in bytes per second. The rest is for requests of callers.
const DATAGRAM_BYTES_MAX: usize = 83_000;

/// Returns the bytes per second of datagrams that the busiest host sends in 3 s.
fn busiest_datagram_rate(fleet: &mut ProxyFleet) -> usize {
    fleet.datagram_bytes.clear();
    fleet.run(millis(3_000));
    fleet.datagram_bytes.values().max().copied().unwrap_or(0) / 3
}

/// Declares a test for each name, which checks the datagrams of the busiest host in a large fleet
/// after something happened.
macro_rules! datagram_loads {
    ($($name:ident: $event:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut fleet = start_fleet(LARGE_FLEET);
                fleet.run(millis(4_000));
                let event: fn(&mut ProxyFleet) = $event;
                event(&mut fleet);
                let rate = busiest_datagram_rate(&mut fleet);
                assert!(rate <= DATAGRAM_BYTES_MAX, "{rate} bytes per second");
            }
        )*
    };
}

datagram_loads! {
    datagrams_of_a_calm_fleet_fit_a_small_link: |_| {};
    datagrams_after_the_loss_of_a_data_centre_fit_a_small_link: |fleet| {
        for host in (0..LARGE_FLEET).filter(|host| host % 3 == 0) {
            fleet.kill_host(host);
        }
        fleet.run(millis(1_500));
    };
    datagrams_after_a_configuration_fit_a_small_link: |fleet| {
        fleet.reconfigure(|config| {
            config.accounts.get_mut("small").unwrap().rate = 30.0;
        });
    };
    datagrams_during_an_outage_of_the_store_fit_a_small_link: |fleet| {
        fleet.store.mode = fake_store::StoreMode::Unresponsive;
        fleet.run(millis(1_500));
    };
    datagrams_after_a_loss_and_a_configuration_fit_a_small_link: |fleet| {
        for host in (0..LARGE_FLEET).filter(|host| host % 3 == 0) {
            fleet.kill_host(host);
        }
        fleet.run(millis(500));
        fleet.reconfigure(|config| {
            config.accounts.get_mut("small").unwrap().rate = 30.0;
        });
    };
}

/// Guards against hosts that keep asking for tokens which no host has: every host is sent far more
/// requests of an account than its rate allows. The account still gets its rate, and the searches
/// leave room on the link of the busiest home host.
#[test]
fn account_far_over_its_rate_fills_no_link() {
    let mut fleet = start_fleet(LARGE_FLEET);
    fleet.run(millis(4_000));
    let callers: Vec<(usize, u64)> = (0..LARGE_FLEET)
        .flat_map(|host| [host; 3])
        .map(|host| (host, fleet.open(host, "medium", "aged")))
        .collect();
    let (mut sent, mut served) = (0, 0);
    let seconds = 4;
    fleet.datagram_bytes.clear();
    for _ in 0..seconds * 50 {
        // Five times the rate.
        for _ in 0..(MEDIUM_RATE as usize / 10) {
            let (host, caller) = callers[sent % callers.len()];
            fleet.send(host, caller, read());
            sent += 1;
        }
        fleet.run(millis(20));
        for (host, caller) in &callers {
            while let Some(received) = fleet.take_response(*host, *caller) {
                served += usize::from(received.ran());
            }
        }
    }
    let busiest = fleet.datagram_bytes.values().max().copied().unwrap_or(0) / seconds;
    assert!(busiest <= DATAGRAM_BYTES_MAX, "{busiest} bytes per second");
    let rate = MEDIUM_RATE as usize * seconds;
    assert!(served * 10 >= rate * 9, "{served} of {rate} requests within the rate served");
    assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
}

/// Answers the load of a busy group: writes need the primary, and reads can run elsewhere. Reads of
/// hosts in the primary's data centre filled its slots, although each of these hosts sent too few to
/// notice. Nearly all writes have to be served, and in time.
#[test]
fn reads_leave_the_primary_of_a_busy_group_to_writes() {
    let mut fleet = start_fleet(LARGE_FLEET);
    fleet.run(millis(4_000));
    fleet.limit_databases(3, millis(18));
    let sessions = |fleet: &mut ProxyFleet, database: &str| -> Vec<(usize, u64)> {
        let hosts = (0..LARGE_FLEET * 2).map(|number| number % LARGE_FLEET);
        hosts.map(|host| (host, fleet.open(host, "large", database))).collect()
    };
    let readers = sessions(&mut fleet, "aged");
    let writers = sessions(&mut fleet, "strict");
    fleet.run(millis(100));
    let (mut reads, mut writes, mut served, mut in_time) = (0, 0, 0, 0);
    let mut sent_at = std::collections::BTreeMap::new();
    for round in 0..10 * 50 {
        // 150 reads and 75 writes a second. With a new connection for each, all three databases
        // together run 300.
        for _ in 0..3 {
            let (host, caller) = readers[reads % readers.len()];
            fleet.send(host, caller, read());
            reads += 1;
        }
        for _ in 0..1 + round % 2 {
            let (host, caller) = writers[writes % writers.len()];
            sent_at.insert((host, caller), fleet.now);
            fleet.send(host, caller, write());
            writes += 1;
        }
        fleet.run(millis(20));
        for (host, caller) in &writers {
            while let Some(received) = fleet.take_response(*host, *caller) {
                served += usize::from(received.ran());
                let waited = received.at - sent_at[&(*host, *caller)];
                in_time += usize::from(received.ran() && waited <= 150_000);
            }
        }
    }
    assert!(served * 100 >= writes * 99, "{served} of {writes} writes served");
    assert!(in_time * 100 >= writes * 97, "{in_time} of {writes} writes in time");
    assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
}
