//! Tests of the start of a large fleet over a store whose link has a limited rate. Runs in virtual
//! time against the fake store.

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use std::time::Duration;

use proxy_fakes::fake_store;
use proxy_fakes::{PartitionSide, ProxyFleet, millis};
use quetzaldeal::proxy::change_relay;
use quetzaldeal::proxy::proxy_config;

/// Hosts of the fleet: a hundred in each of three data centres.
const HOSTS: usize = 300;
/// Rate of the store's link, in bytes per second.
const LINK_BYTES_PER_SECOND: u64 = 125_000_000;
/// Size of the configuration as the store sends it, in bytes: the largest value in base64.
const CONFIG_BYTES: u64 = 1_400_000;
/// Time from the start of the hosts to the first callers.
const START_LIMIT: Duration = Duration::from_millis(10_000);
/// Time within which a published configuration has to be in force, by the default settings.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
/// Time within which a fleet that was killed serves again.
const RESTART_LIMIT: Duration = Duration::from_millis(12_000);
/// Copies of the configuration that the store may send for each start of a host, all other items
/// included.
const COPIES_MAX: u64 = 2;
/// Hosts that may get each later version from the store: a tenth of the fleet.
const WATCHERS_MAX: u64 = HOSTS as u64 / 10;

/// Routes of a configuration that does not fit into a datagram.
const LARGE_ROUTES: usize = 1_000;

/// Declares a test for each name, which runs on hosts that start together.
macro_rules! starts {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let run: fn(&mut ProxyFleet) = $body;
                let mut fleet = ProxyFleet::starting_together(HOSTS, &[("large", 2_000.0, 2_000.0)], 1);
                fleet.store.link =
                    Some(fake_store::StoreLink::new(LINK_BYTES_PER_SECOND, CONFIG_BYTES));
                fleet.reconfigure(|config| add_routes(config, LARGE_ROUTES));
                run(&mut fleet);
                assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
            }
        )*
    };
}

fn add_routes(config: &mut proxy_config::ProxyConfig, count: usize) {
    for number in 0..count {
        let name = format!("extra{number}");
        let route = config.routes["strict"].clone();
        let route = proxy_config::RouteObject { database: name.clone(), ..route };
        config.routes.insert(name, route);
    }
}

/// Returns the running hosts that are registered and ready with the published configuration.
fn serving(fleet: &ProxyFleet) -> usize {
    let current = |host: &usize| {
        let context = fleet.core(*host).context();
        let version = context.config.as_ref().map(|config| config.version);
        fleet.ready(*host)
            && context.store.membership_valid(context.now)
            && version == Some(fleet.published().version)
    };
    (0..HOSTS).filter(|host| fleet.alive(*host)).filter(current).count()
}

fn sent_bytes(fleet: &ProxyFleet) -> u64 {
    fleet.store.link.as_ref().map_or(0, |link| link.sent_bytes)
}

/// Asserts how much the store has sent since it had sent `before` bytes, for one start of all hosts
/// and `versions` changes of the configuration meanwhile.
fn assert_copies(fleet: &ProxyFleet, before: u64, versions: u64) {
    let limit = (HOSTS as u64 * COPIES_MAX + versions * WATCHERS_MAX) * CONFIG_BYTES;
    let sent = sent_bytes(fleet) - before;
    assert!(sent <= limit, "{sent} bytes sent by the store, expected at most {limit}");
}

fn restart_all(fleet: &mut ProxyFleet, pause: Duration) {
    for host in 0..HOSTS {
        fleet.kill_host(host);
    }
    fleet.run(pause);
    for host in 0..HOSTS {
        fleet.start_host(host, Duration::ZERO);
    }
}

/// Asserts that a published change is in force in time at all hosts that run.
fn assert_change_in_time(fleet: &mut ProxyFleet) {
    fleet.reconfigure(|config| config.idle_transaction += millis(1));
    fleet.run(CONFIG_APPLY);
    for host in (0..HOSTS).filter(|host| fleet.alive(*host)) {
        let config = fleet.core(host).context().config.as_deref();
        assert!(config.is_none_or(|config| config == fleet.published()), "host {host}");
    }
}

starts! {
    // Answers a store whose link is full of replies that nobody waits for any more.
    all_hosts_serve_in_time: |fleet| {
        fleet.run(START_LIMIT);
        assert_eq!(serving(fleet), HOSTS);
        assert_copies(fleet, 0, 1);
        assert_change_in_time(fleet);
        let before = sent_bytes(fleet);
        fleet.run(millis(5_000));
        let rate = (sent_bytes(fleet) - before) / 5;
        assert!(rate <= LINK_BYTES_PER_SECOND / 100, "{rate} bytes a second at rest");
    };
    // Each version would wake all hosts that wait for their first one.
    configurations_published_meanwhile_do_not_delay_the_start: |fleet| {
        for _ in 0..8 {
            fleet.run(millis(1_000));
            fleet.reconfigure(|config| config.idle_transaction += millis(1));
        }
        fleet.run(START_LIMIT - millis(8_000) + CONFIG_APPLY);
        assert_eq!(serving(fleet), HOSTS);
        assert_copies(fleet, 0, 8);
    };
    restarted_fleet_serves_in_time: |fleet| {
        fleet.run(START_LIMIT);
        let before = sent_bytes(fleet);
        restart_all(fleet, millis(2_000));
        fleet.run(RESTART_LIMIT);
        assert_eq!(serving(fleet), HOSTS);
        assert_copies(fleet, before, 1);
    };
    // The member records of the processes before still exist.
    quickly_restarted_fleet_serves_in_time: |fleet| {
        fleet.run(START_LIMIT);
        let before = sent_bytes(fleet);
        restart_all(fleet, millis(100));
        fleet.run(RESTART_LIMIT);
        assert_eq!(serving(fleet), HOSTS);
        assert_copies(fleet, before, 1);
    };
    hosts_serve_in_time_with_all_watchers_killed_meanwhile: |fleet| {
        fleet.run(millis(2_000));
        let watchers: Vec<usize> = (0..HOSTS)
            .filter(|host| change_relay::is_watcher(fleet.core(*host).context()))
            .collect();
        for host in &watchers {
            fleet.kill_host(*host);
        }
        fleet.run(START_LIMIT);
        assert_eq!(serving(fleet), HOSTS - watchers.len());
        assert_change_in_time(fleet);
    };
    hosts_serve_in_time_with_a_data_centre_cut_off_meanwhile: |fleet| {
        fleet.run(millis(2_000));
        let inside = |host: &usize| host.is_multiple_of(3);
        for host in (0..HOSTS).filter(inside) {
            fleet.partition(PartitionSide::Host(host), PartitionSide::Store);
            for peer in (0..HOSTS).filter(|peer| !inside(peer)) {
                fleet.partition(PartitionSide::Host(host), PartitionSide::Host(peer));
            }
        }
        fleet.run(START_LIMIT);
        fleet.heal_partitions();
        fleet.run(START_LIMIT);
        assert_eq!(serving(fleet), HOSTS);
        assert_change_in_time(fleet);
    };
    hosts_serve_once_an_unresponsive_store_replies_again: |fleet| {
        fleet.run(millis(1_000));
        fleet.store.mode = fake_store::StoreMode::Unresponsive;
        fleet.run(millis(5_000));
        fleet.store.mode = fake_store::StoreMode::Up;
        fleet.run(RESTART_LIMIT);
        assert_eq!(serving(fleet), HOSTS);
        assert_change_in_time(fleet);
    };
    // A change that peers cannot deliver: hosts that do not have it in time refuse.
    large_change_is_in_force_or_refused_in_time: |fleet| {
        fleet.run(START_LIMIT);
        let before = sent_bytes(fleet);
        let old = fleet.published().version;
        fleet.reconfigure(|config| {
            config.keys.clear();
            add_routes(config, 2 * LARGE_ROUTES);
        });
        fleet.run(CONFIG_APPLY);
        for host in 0..HOSTS {
            let caller = fleet.open(host, "large", "aged");
            let verdict = fleet.refusal(host, caller);
            assert!(verdict.is_some(), "host {host} accepts a withdrawn key");
            let version = fleet.core(host).context().config.as_ref().map(|config| config.version);
            let ready = fleet.ready(host);
            assert!(version > Some(old) || !ready, "host {host} is ready with version {version:?}");
        }
        fleet.run(RESTART_LIMIT);
        assert_eq!(serving(fleet), HOSTS);
        assert_copies(fleet, before, 1);
    };
}

/// Guards against turns at the store that delay the start of a fleet whose configuration is small
/// enough for a datagram.
#[test]
fn small_configuration_reaches_a_started_fleet_without_turns() {
    let hosts = 88;
    let mut fleet = ProxyFleet::starting_together(hosts, &[("large", 2_000.0, 2_000.0)], 1);
    fleet.store.link = Some(fake_store::StoreLink::new(LINK_BYTES_PER_SECOND, 20_000));
    fleet.run(START_LIMIT);
    for host in 0..hosts {
        fleet.kill_host(host);
    }
    fleet.run(millis(2_000));
    for host in 0..hosts {
        fleet.start_host(host, Duration::ZERO);
    }
    fleet.run(millis(1_000));
    let configured = (0..hosts).filter(|host| fleet.core(*host).context().config.is_some());
    assert_eq!(configured.count(), hosts);
}
