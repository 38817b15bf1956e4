//! Tests of a store that comes back from a copy and has lost what it acknowledged since. Run in virtual
//! time against the fake store.

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use std::time::Duration;

use proxy_fakes::fake_store;
use proxy_fakes::{ProxyFleet, millis, read, write};
use quetzaldeal::proxy::store_record;

/// Time within which a published configuration has to be in force, by the default settings.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);

/// Declares a test for each name, which runs on a fleet of `hosts` hosts that serves already.
macro_rules! cases {
    ($($name:ident($hosts:expr): $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let run: fn(&mut ProxyFleet) = $body;
                let mut fleet = start_fleet($hosts);
                run(&mut fleet);
                assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
            }
        )*
    };
}

fn start_fleet(hosts: usize) -> ProxyFleet {
    let accounts = [("large", 2_000.0, 2_000.0), ("small", 40.0, 40.0)];
    let mut fleet = ProxyFleet::new(hosts, &accounts, 1);
    fleet.run(millis(4_000));
    fleet
}

/// Takes the store away for `away` and brings back `copy`. Operators and databases write again what
/// they had written.
fn lose_and_restore(fleet: &mut ProxyFleet, copy: fake_store::StoreCopy, away: Duration) {
    lose_without_rewriting(fleet, copy, away);
    fleet.write_again();
}

fn lose_without_rewriting(fleet: &mut ProxyFleet, copy: fake_store::StoreCopy, away: Duration) {
    fleet.store.mode = fake_store::StoreMode::Unresponsive;
    fleet.run(away);
    fleet.store.mode = fake_store::StoreMode::Up;
    fleet.store.restore(copy);
}

/// Returns the hosts that do not use the configuration as last published.
fn outdated_hosts(fleet: &ProxyFleet, hosts: usize) -> Vec<usize> {
    let version = fleet.published().version;
    let current = |host: &usize| {
        let config = fleet.core(*host).context().config.as_ref();
        config.is_some_and(|config| config.version == version)
    };
    (0..hosts).filter(|host| !current(host)).collect()
}

fn publish_over_a_restore(fleet: &mut ProxyFleet, hosts: usize) {
    let copy = fleet.store.copy();
    for _ in 0..20 {
        fleet.reconfigure(|_| {});
        fleet.run(millis(150));
    }
    lose_and_restore(fleet, copy, millis(2_000));
    for _ in 0..3 {
        fleet.reconfigure(|_| {});
        fleet.run(CONFIG_APPLY);
        assert_eq!(outdated_hosts(fleet, hosts), Vec::<usize>::new());
    }
}

/// Returns the group's record as a host knows it.
fn record_at(fleet: &ProxyFleet, host: usize) -> store_record::GroupRecord {
    let context = fleet.core(host).context();
    let record = context.groups.values().next().and_then(|group| group.record.clone());
    record.unwrap_or_else(|| panic!("host {host} knows no record of the group"))
}

/// Returns the endpoint that a host may use as the primary.
fn usable_primary(fleet: &ProxyFleet, host: usize) -> Option<String> {
    let context = fleet.core(host).context();
    let group = *context.group_names.get("orders")?;
    let primary = context.usable_primary(group)?;
    Some(context.endpoints[primary].entry.id.clone())
}

/// Crashes the primary, waits until it is replaced and starts it again.
fn replace_primary(fleet: &mut ProxyFleet) -> String {
    let replaced = fleet.primary_id();
    fleet.crash(&replaced, true);
    fleet.run(millis(5_000));
    assert_ne!(fleet.primary_id(), replaced);
    fleet.restart(&replaced);
    fleet.run(millis(1_000));
    replaced
}

/// Opens a session at each host and checks that each serves a write and a read.
fn assert_all_serve(fleet: &mut ProxyFleet, hosts: usize) {
    for host in 0..hosts {
        let caller = fleet.open(host, "large", "strict");
        for request in [write(), read()] {
            let response = fleet.send_and_wait(host, caller, request);
            assert!(response.is_some_and(|response| response.ran()), "host {host}");
        }
        fleet.close(host, caller);
    }
}

cases! {
    configuration_published_after_a_restore_is_in_force_in_time(5): |fleet| {
        publish_over_a_restore(fleet, 5);
    };
    configuration_published_after_a_restore_is_relayed_in_time(24): |fleet| {
        publish_over_a_restore(fleet, 24);
    };
    replaced_primary_stays_replaced_on_running_hosts(5): |fleet| {
        let copy = fleet.store.copy();
        let replaced = replace_primary(fleet);
        let before = record_at(fleet, 0);
        lose_and_restore(fleet, copy, millis(500));
        for _ in 0..300 {
            for host in 0..5 {
                let record = record_at(fleet, host);
                assert!(record.epoch >= before.epoch, "host {host}: {record:?}");
                assert_ne!(record.primary, replaced, "host {host}");
            }
            fleet.run(millis(20));
        }
        assert_all_serve(fleet, 5);
    };
    replaced_primary_stays_replaced_on_hosts_that_start_after_a_restore(5): |fleet| {
        let copy = fleet.store.copy();
        let replaced = replace_primary(fleet);
        fleet.kill_host(4);
        lose_and_restore(fleet, copy, millis(500));
        fleet.start_host(4, Duration::ZERO);
        for _ in 0..300 {
            fleet.run(millis(20));
            assert_ne!(usable_primary(fleet, 4), Some(replaced.clone()));
        }
        assert_all_serve(fleet, 5);
    };
    replaced_primary_stays_replaced_when_all_hosts_start_after_a_restore(5): |fleet| {
        let copy = fleet.store.copy();
        let replaced = replace_primary(fleet);
        for host in 0..5 {
            fleet.kill_host(host);
        }
        lose_and_restore(fleet, copy, millis(500));
        for host in 0..5 {
            fleet.start_host(host, Duration::ZERO);
        }
        for _ in 0..300 {
            fleet.run(millis(20));
            for host in 0..5 {
                assert_ne!(usable_primary(fleet, host), Some(replaced.clone()), "host {host}");
            }
        }
        assert_all_serve(fleet, 5);
    };
    primaries_are_replaced_with_growing_tokens_after_a_restore(5): |fleet| {
        let copy = fleet.store.copy();
        for _ in 0..3 {
            replace_primary(fleet);
        }
        lose_and_restore(fleet, copy, millis(500));
        fleet.run(millis(5_000));
        replace_primary(fleet);
        assert_all_serve(fleet, 5);
    };
    all_records_of_the_fleet_are_written_again(5): |fleet| {
        let copy = fake_store::FakeStore::default().copy();
        lose_and_restore(fleet, copy, millis(500));
        fleet.run(millis(6_000));
        let keys = fleet.store.record_keys();
        for host in 0..5 {
            for prefix in [store_record::MEMBER_PREFIX, store_record::ROSTER_PREFIX] {
                assert!(keys.contains(&format!("{prefix}host{host}")), "{prefix}host{host}: {keys:?}");
            }
        }
        for key in [store_record::COORDINATOR_KEY, "groups/orders"] {
            assert!(keys.contains(key), "{key}: {keys:?}");
        }
        assert_all_serve(fleet, 5);
    };
    restore_costs_each_host_one_full_read(5): |fleet| {
        let copy = fleet.store.copy();
        for _ in 0..20 {
            fleet.reconfigure(|_| {});
            fleet.run(millis(150));
        }
        let reads = |fleet: &ProxyFleet| {
            fleet.sum(|counts| counts.store_replies.get(&("list", "answered")).copied().unwrap_or(0))
        };
        let before = reads(fleet);
        lose_and_restore(fleet, copy, millis(2_000));
        fleet.run(millis(5_000));
        assert_eq!(reads(fleet) - before, 5);
    };
    coordinator_of_before_a_restore_does_not_act_beside_its_successor(5): |fleet| {
        for delay in (0..500).step_by(50) {
            *fleet = start_fleet(5);
            fleet.run(millis(delay));
            let holds = |fleet: &ProxyFleet, host: usize| {
                fleet.core(host).context().fencing_token().is_some()
            };
            let old = (0..5).find(|host| holds(fleet, *host));
            let copy = fake_store::FakeStore::default().copy();
            // The coordinator learns of the restore later than the others.
            fleet.deny_host(old.unwrap_or(0), true);
            lose_and_restore(fleet, copy, millis(10));
            for _ in 0..400 {
                let holders: Vec<usize> = (0..5).filter(|host| holds(fleet, *host)).collect();
                assert!(holders.len() <= 1, "{holders:?} hold the role, delay {delay}");
                fleet.run(millis(10));
            }
        }
    };
    host_whose_record_was_lost_registers_again_under_a_lease_that_was_not(5): |fleet| {
        *fleet = ProxyFleet::new(5, &[("large", 2_000.0, 2_000.0)], 1);
        let record = format!("{}host4", store_record::MEMBER_PREFIX);
        let mut copy = fleet.store.copy();
        while !fleet.store.record_keys().contains(&record) {
            copy = fleet.store.copy();
            fleet.run(millis(1));
        }
        fleet.run(millis(500));
        lose_and_restore(fleet, copy, millis(10));
        fleet.run(millis(2_000));
        assert!(fleet.store.record_keys().contains(&record));
    };
    leaving_endpoint_gets_no_reads_after_a_restore(5): |fleet| {
        let copy = fleet.store.copy();
        fleet.register("db2", true);
        fleet.run(millis(3_000));
        lose_without_rewriting(fleet, copy, millis(1_000));
        // The endpoint writes its registration again one heartbeat later.
        for _ in 0..60 {
            fleet.run(millis(20));
            for host in 0..5 {
                let context = fleet.core(host).context();
                let key = context.endpoint_names["db2"];
                assert!(context.endpoints[key].entry.draining, "host {host}");
            }
        }
        fleet.register("db2", true);
        fleet.run(millis(1_000));
    };
    evacuation_lasts_over_a_restore(5): |fleet| {
        let copy = fleet.store.copy();
        fleet.evacuate("centre1", true);
        fleet.run(millis(3_000));
        lose_without_rewriting(fleet, copy, millis(1_000));
        // The operator writes the evacuation again a moment later.
        for _ in 0..60 {
            fleet.run(millis(20));
            for host in 0..5 {
                let evacuations = &fleet.core(host).context().evacuations;
                assert!(evacuations.contains_key("centre1"), "host {host}");
            }
        }
        fleet.evacuate("centre1", true);
        fleet.run(millis(4_000));
        assert!(fleet.core(0).context().evacuations.contains_key("centre1"));
    };
}
