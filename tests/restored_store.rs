//! Tests of a store that comes back from a copy and has lost what it acknowledged since. Run in virtual
//! time against the fake store.

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use std::time::Duration;

use proxy_fakes::fake_store;
use proxy_fakes::{ProxyFleet, millis};

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

/// Takes the store away for `away` and brings back `copy`.
fn lose_and_restore(fleet: &mut ProxyFleet, copy: fake_store::StoreCopy, away: Duration) {
    fleet.store.mode = fake_store::StoreMode::Unresponsive;
    fleet.run(away);
    fleet.restore_store(copy);
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

cases! {
    configuration_published_after_a_restore_is_in_force_in_time(5): |fleet| {
        publish_over_a_restore(fleet, 5);
    };
    configuration_published_after_a_restore_is_relayed_in_time(24): |fleet| {
        publish_over_a_restore(fleet, 24);
    };
}
