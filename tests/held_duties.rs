//! Calls of the coordinator's duties that are held up on their way to the platform. Run in virtual time;
//! the fake platform reports a fencing token that is lower than an earlier one as a violation.

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use proxy_fakes::{PartitionSide, ProxyFleet, millis};

/// Declares a test for each name, which begins as the coordinator has sent a promotion that is held up.
macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let run: fn(&mut ProxyFleet, usize) = $body;
                let mut fleet = ProxyFleet::new(5, &[("large", 1_000.0, 1_000.0)], 1);
                fleet.run(millis(2_500));
                let coordinator = fleet.coordinator().unwrap_or_else(|| panic!("no coordinator"));
                fleet.hold_duties(coordinator);
                fleet.crash("db0", false);
                wait_until(&mut fleet, |fleet| fleet.held_duties() == 1);
                run(&mut fleet, coordinator);
                assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
            }
        )*
    };
}

fn wait_until(fleet: &mut ProxyFleet, condition: impl Fn(&ProxyFleet) -> bool) {
    for _ in 0..6_000 {
        if condition(fleet) {
            return;
        }
        fleet.run(millis(1));
    }
    panic!("the condition does not hold within 6 s");
}

cases! {
    // Guards against a promotion that arrives under the token of a coordinator that was replaced.
    promotion_does_not_arrive_after_the_lease: |fleet, coordinator| {
        fleet.partition(PartitionSide::Host(coordinator), PartitionSide::Store);
        wait_until(fleet, |fleet| fleet.primary_id() != "db0");
        fleet.heal_partitions();
        fleet.release_duties();
        fleet.run(millis(2_000));
    };
    // The same where the partition heals as soon as the call can be late.
    promotion_is_given_up_before_the_lease_ends: |fleet, coordinator| {
        fleet.partition(PartitionSide::Host(coordinator), PartitionSide::Store);
        wait_until(fleet, |fleet| fleet.core(coordinator).context().fencing_token().is_none());
        assert_eq!(fleet.held_duties(), 0);
    };
    // Guards against a slow platform that keeps a group without a primary: while the lease is renewed,
    // the call goes on.
    slow_promotion_goes_on_while_the_lease_is_renewed: |fleet, coordinator| {
        fleet.run(millis(2_300));
        assert_eq!(fleet.coordinator(), Some(coordinator));
        assert_eq!((fleet.held_duties(), fleet.duties_ever_held()), (1, 1));
        fleet.release_duties();
        wait_until(fleet, |fleet| fleet.primary_id() != "db0");
    };
}
