//! Promotions that may have taken effect although nobody saw it. Run in virtual time.

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use proxy_fakes::{PartitionSide, ProxyFleet, millis, write};

const HOSTS: usize = 5;

/// Declares a test for each name, which begins as the platform has accepted a promotion.
macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let run: fn(&mut ProxyFleet, usize, &str) = $body;
                let mut fleet = ProxyFleet::new(HOSTS, &[("large", 1_000.0, 1_000.0)], 1);
                fleet.run(millis(2_500));
                let coordinator = fleet.coordinator().unwrap_or_else(|| panic!("no coordinator"));
                for host in 0..HOSTS {
                    let database = PartitionSide::Database("db0".to_owned());
                    fleet.partition(PartitionSide::Host(host), database);
                }
                let mut candidate = None;
                while candidate.is_none() {
                    fleet.run(millis(5));
                    candidate = candidate_of(&fleet, coordinator);
                }
                fleet.run(millis(100));
                run(&mut fleet, coordinator, &candidate.unwrap_or_default());
                assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
            }
        )*
    };
}

fn candidate_of(fleet: &ProxyFleet, host: usize) -> Option<String> {
    let context = fleet.core(host).context();
    context.groups[context.group_names["orders"]].record.as_ref()?.candidate.clone()
}

/// Returns the number of commits of the first term in the log of the first primary.
fn commits_of_first_term(fleet: &ProxyFleet) -> usize {
    fleet.databases["db0"].log.iter().filter(|entry| entry.point.term == 1).count()
}

/// Lets an endpoint go dark, and the hosts reach the first primary again.
fn lose(fleet: &mut ProxyFleet, endpoint: &str) {
    fleet.heal_partitions();
    let lost = PartitionSide::Database(endpoint.to_owned());
    fleet.partition(PartitionSide::Database("db0".to_owned()), lost.clone());
    for host in 0..HOSTS {
        fleet.partition(PartitionSide::Host(host), lost.clone());
    }
}

/// Sends writes on another host for a while. Returns whether one of the last second ran.
fn write_for(fleet: &mut ProxyFleet, host: usize, seconds: usize) -> bool {
    let caller = fleet.open(host, "large", "strict");
    let mut served = false;
    for step in 0..seconds * 10 {
        let received = fleet.send_and_wait(host, caller, write());
        served |= step + 10 >= seconds * 10 && received.is_some_and(|received| received.ran());
        fleet.run(millis(100));
    }
    served
}

cases! {
    // Guards against the old primary that is recorded again after a promotion which nobody recorded, as
    // the coordinator and the promoted endpoint are lost.
    old_primary_is_not_recorded_again: |fleet, coordinator, candidate| {
        fleet.kill_host(coordinator);
        lose(fleet, candidate);
        fleet.run(millis(1_000));
        assert_eq!(fleet.primary_id(), candidate);
        let before = commits_of_first_term(fleet);
        let other = (coordinator + 1) % HOSTS;
        assert!(write_for(fleet, other, 20), "no write runs at the end");
        assert_eq!(commits_of_first_term(fleet), before);
    };
    // The same where the coordinator stays, and only the promoted endpoint is lost.
    old_primary_is_not_recorded_again_by_the_same_host: |fleet, coordinator, candidate| {
        lose(fleet, candidate);
        fleet.run(millis(1_000));
        assert_eq!(fleet.primary_id(), candidate);
        let before = commits_of_first_term(fleet);
        assert!(write_for(fleet, (coordinator + 1) % HOSTS, 20), "no write runs at the end");
        assert_eq!(commits_of_first_term(fleet), before);
    };
    // Guards against a group without a primary where the promotion did not take effect.
    primary_of_a_lost_promotion_serves_again: |fleet, coordinator, candidate| {
        fleet.kill_host(coordinator);
        fleet.crash(candidate, false);
        lose(fleet, candidate);
        assert!(write_for(fleet, (coordinator + 1) % HOSTS, 20), "no write runs at the end");
    };
}
