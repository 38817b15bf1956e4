//! Tests of the relay of the store's changes in a large fleet: a few hosts watch the store, and all
//! others learn of changes from them. Runs in virtual time against the fake store.

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proxy_fakes::fake_store;
use proxy_fakes::{PartitionSide, ProxyFleet, millis, read, write};
use quetzaldeal::proxy::change_history;
use quetzaldeal::proxy::change_relay;
use quetzaldeal::proxy::config_patch;
use quetzaldeal::proxy::peer_datagram;
use quetzaldeal::proxy::proxy_config;
use quetzaldeal::proxy::session_request;
use quetzaldeal::proxy::store_message;
use quetzaldeal::proxy::store_revision;
use quetzaldeal::proxy::sync_source;

/// Hosts of the fleet: eight in each of three data centres.
const HOSTS: usize = 24;
/// Time within which a published configuration has to be in force, by the default settings.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const CASES_IN_CI: u32 = 12;
const REVISION_MAX: store_revision::StoreRevision =
    store_revision::StoreRevision::new(u64::MAX, u64::MAX);

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

fn start_fleet(hosts: usize) -> ProxyFleet {
    let mut fleet = ProxyFleet::new(hosts, &[("large", 2_000.0, 2_000.0)], 1);
    fleet.run(millis(6_000));
    fleet
}

fn watchers(fleet: &ProxyFleet) -> Vec<usize> {
    (0..HOSTS).filter(|host| change_relay::is_watcher(fleet.core(*host).context())).collect()
}

fn watch_calls(fleet: &ProxyFleet) -> u64 {
    fleet.sum(|counts| {
        let watches = counts.store_replies.iter().filter(|((purpose, _), _)| *purpose == "watch");
        watches.map(|(_, count)| count).sum()
    })
}

fn withdraw_keys(fleet: &mut ProxyFleet) {
    fleet.reconfigure(|config| config.keys.clear());
}

/// Returns the hosts out of `hosts` that still accept a withdrawn key.
fn accepting(fleet: &mut ProxyFleet, hosts: &[usize]) -> Vec<usize> {
    let mut accepting = Vec::new();
    for host in hosts {
        let caller = fleet.open(*host, "large", "aged");
        if fleet.refusal(*host, caller).is_none() {
            accepting.push(*host);
        }
    }
    accepting
}

/// Asserts that the withdrawal of all keys is in force in time at all hosts but `except`.
fn assert_withdrawn_in_time(fleet: &mut ProxyFleet, except: &[usize]) {
    withdraw_keys(fleet);
    fleet.run(CONFIG_APPLY);
    let hosts: Vec<usize> = (0..HOSTS).filter(|host| !except.contains(host)).collect();
    assert_eq!(accepting(fleet, &hosts), Vec::<usize>::new(), "hosts accept a withdrawn key");
}

cases! {
    // Answers the load of hundreds of watches: each change woke every host.
    changes_cost_calls_by_data_centre_not_by_host: |fleet| {
        let before = watch_calls(fleet);
        for _ in 0..10 {
            fleet.reconfigure(|config| config.idle_transaction += millis(1));
            fleet.run(millis(1_000));
        }
        let calls = watch_calls(fleet) - before;
        // Three watchers: each wakes for a change, and renews a watch of half a second twice.
        assert!(calls <= 3 * 10 * 3, "{calls} watch calls for ten changes in ten seconds");
        for host in 0..HOSTS {
            let version = fleet.core(host).context().config.as_ref().map(|config| config.version);
            assert_eq!(version, Some(fleet.published().version), "host {host}");
        }
    };
    changes_arrive_within_a_tenth_of_the_bound: |fleet| {
        withdraw_keys(fleet);
        fleet.run(CONFIG_APPLY / 10);
        let hosts: Vec<usize> = (0..HOSTS).collect();
        assert_eq!(accepting(fleet, &hosts), Vec::<usize>::new());
    };
    key_is_withdrawn_in_time_with_all_watchers_killed: |fleet| {
        let watchers = watchers(fleet);
        assert_eq!(watchers.len(), 3);
        for host in &watchers {
            fleet.kill_host(*host);
        }
        assert_withdrawn_in_time(fleet, &watchers);
    };
    key_is_withdrawn_in_time_with_all_watchers_frozen: |fleet| {
        let watchers = watchers(fleet);
        for host in &watchers {
            fleet.freeze_host(*host, millis(8_000));
        }
        assert_withdrawn_in_time(fleet, &watchers);
    };
    // The watchers keep talking, so their silence does not show that they know nothing new.
    key_is_withdrawn_in_time_with_all_watchers_refused_by_the_store: |fleet| {
        let watchers = watchers(fleet);
        for host in &watchers {
            fleet.deny_host(*host, true);
        }
        assert_withdrawn_in_time(fleet, &[]);
    };
    key_is_withdrawn_in_time_with_all_watchers_cut_off_from_the_store: |fleet| {
        for host in watchers(fleet) {
            fleet.partition(PartitionSide::Host(host), PartitionSide::Store);
        }
        assert_withdrawn_in_time(fleet, &[]);
    };
    key_is_withdrawn_in_time_with_watches_forgotten: |fleet| {
        fleet.store.drop_watches();
        assert_withdrawn_in_time(fleet, &[]);
    };
    key_is_withdrawn_in_time_despite_lost_datagrams: |fleet| {
        fleet.datagram_loss = 0.3;
        assert_withdrawn_in_time(fleet, &[]);
    };
    key_is_withdrawn_in_time_after_compaction: |fleet| {
        fleet.reconfigure(|config| config.idle_transaction += millis(1));
        fleet.compact_store();
        assert_withdrawn_in_time(fleet, &[]);
    };
    key_is_withdrawn_in_time_in_a_data_centre_cut_off_from_the_others: |fleet| {
        for host in (0..HOSTS).filter(|host| host % 3 == 0) {
            for peer in (0..HOSTS).filter(|peer| peer % 3 != 0) {
                fleet.partition(PartitionSide::Host(host), PartitionSide::Host(peer));
            }
        }
        assert_withdrawn_in_time(fleet, &[]);
    };
    // The watchers stop as planned at the moment of the change; others take the watch over.
    key_is_withdrawn_in_time_during_a_hand_over_of_the_watch: |fleet| {
        let watchers = watchers(fleet);
        for host in &watchers {
            fleet.stop_host(*host);
        }
        fleet.run(millis(20));
        assert_withdrawn_in_time(fleet, &watchers);
    };
    // A restarted host must not take an older view over from peers that the store refuses.
    restarted_host_refuses_a_key_that_its_peers_still_accept: |fleet| {
        for host in 1..HOSTS {
            fleet.deny_host(host, true);
        }
        fleet.kill_host(0);
        withdraw_keys(fleet);
        fleet.run(millis(500));
        fleet.start_host(0, Duration::ZERO);
        for _ in 0..40 {
            fleet.run(millis(50));
            if fleet.core(0).context().config.is_some() {
                assert_eq!(accepting(fleet, &[0]), Vec::<usize>::new());
            }
        }
    };
    // The same for an endpoint that left.
    restarted_host_does_not_use_an_endpoint_that_its_peers_still_list: |fleet| {
        for host in 1..HOSTS {
            fleet.deny_host(host, true);
        }
        fleet.kill_host(0);
        fleet.unregister("db2");
        fleet.run(millis(500));
        fleet.start_host(0, Duration::ZERO);
        for _ in 0..40 {
            fleet.run(millis(50));
            let context = fleet.core(0).context();
            let used = context.endpoint_names.get("db2").map(|endpoint| &context.endpoints[*endpoint]);
            assert!(used.is_none_or(|endpoint| endpoint.connections.is_empty()));
        }
    };
    // A host that the store refuses is only silent there: its open transaction goes on.
    silent_host_keeps_its_transaction: |fleet| {
        let host = (0..HOSTS).find(|host| !watchers(fleet).contains(host)).unwrap();
        let caller = fleet.open(host, "large", "strict");
        let begun = fleet.send_and_wait(
            host,
            caller,
            session_request::SessionRequest::Begin { read_only: false },
        );
        assert!(begun.is_some_and(|received| received.ran()));
        assert!(fleet.send_and_wait(host, caller, write()).is_some_and(|received| received.ran()));
        fleet.deny_host(host, true);
        // Longer than the membership lease.
        for _ in 0..8 {
            fleet.run(millis(250));
            let received = fleet.send_and_wait(host, caller, write());
            assert!(received.is_some_and(|received| received.ran()));
        }
        let committed = fleet.send_and_wait(host, caller, session_request::SessionRequest::Commit);
        assert!(committed.is_some_and(|received| received.ran()));
    };
    // A watcher that is behind its follower still confirms the age of what it knows.
    watcher_behind_its_follower_confirms_its_knowledge: |fleet| {
        let watcher = watchers(fleet)[0];
        let follower = (0..HOSTS).find(|host| *host != watcher && host % 3 == watcher % 3).unwrap();
        let age = |fleet: &ProxyFleet, host: usize| {
            let context = fleet.core(host).context();
            context.now.since(context.store.synced_at)
        };
        while age(fleet, follower) < age(fleet, watcher) + millis(200) {
            fleet.run(millis(20));
        }
        let context = fleet.core(follower).context();
        let request = peer_datagram::ChangesRequest {
            host: context.identity.host.clone(),
            incarnation: context.identity.incarnation,
            revision: revision_at(context.store.revision.unwrap().number() + 5),
            config_version: fleet.published().version,
            sent_at_us: context.now.as_micros(),
        };
        let before = context.store.synced_at;
        let message = peer_datagram::PeerDatagram::ChangesRequest(request);
        fleet.deliver_datagram(watcher, message);
        fleet.run(millis(5));
        assert!(fleet.core(follower).context().store.synced_at > before);
    };
    // A rolling restart from the build without the relay: its hosts ignore the new datagrams.
    key_is_withdrawn_in_time_beside_hosts_of_the_build_before: |fleet| {
        fleet.hosts_without_relay = watchers(fleet).into_iter().collect();
        fleet.run(millis(5_000));
        assert_withdrawn_in_time(fleet, &[]);
    };
    // Guards against peers that still know the process before: they ignored the new one, which then
    // waited for changes until its knowledge was old.
    restarted_fleet_serves_at_once: |fleet| {
        for host in 0..HOSTS {
            fleet.kill_host(host);
        }
        // Shorter than the membership lease, so that the member records still exist.
        fleet.run(millis(1_000));
        for host in 0..HOSTS {
            fleet.start_host(host, Duration::ZERO);
        }
        fleet.run(millis(1_500));
        for host in 0..HOSTS {
            let caller = fleet.open(host, "large", "strict");
            let received = fleet.send_and_wait(host, caller, read());
            assert!(received.is_some_and(|received| received.ran()), "host {host}");
        }
    };
    // Guards against hundreds of hosts that all try the store at once while it is down.
    hosts_call_an_unresponsive_store_less_often: |fleet| {
        fleet.store.mode = fake_store::StoreMode::Unresponsive;
        fleet.run(millis(5_000));
        let before = watch_calls(fleet);
        fleet.store.mode = fake_store::StoreMode::Up;
        fleet.run(millis(3_000));
        let calls = watch_calls(fleet) - before;
        // The watchers' short watches, and one watch of each other host that had lost them.
        assert!(calls <= 3 * 3 * 3 + HOSTS as u64 * 2, "{calls} watch calls after the outage");
        assert_withdrawn_in_time(fleet, &[]);
    };
}

/// Returns changes as a peer could send them, with times as given.
fn revision_at(number: u64) -> store_revision::StoreRevision {
    store_revision::StoreRevision::new(0, number)
}

fn changes_from(
    host: &str,
    revision: store_revision::StoreRevision,
    echoed_us: u64,
) -> peer_datagram::RelayedChanges {
    peer_datagram::RelayedChanges {
        host: host.to_owned(),
        after: revision_at(1),
        revision,
        items: Some(Vec::new()),
        complete: true,
        age_us: 0,
        echoed_us,
        echo_incarnation: 1,
    }
}

/// Declares a test for each name: a host gets a datagram that no peer would send, and must neither
/// take its content over nor end.
macro_rules! strange_datagrams {
    ($($name:ident: $message:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut fleet = start_fleet(HOSTS);
                let before = fleet.core(5).context().store.revision;
                let message: peer_datagram::PeerDatagram = $message;
                fleet.deliver_datagram(5, message);
                let context = fleet.core(5).context();
                assert_eq!(context.store.revision, before);
                assert!(context.store.synced_at <= context.now);
                assert!(context.relay.followers.len() < HOSTS);
                assert_withdrawn_in_time(&mut fleet, &[]);
                assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
            }
        )*
    };
}

strange_datagrams! {
    changes_of_an_unknown_host_are_ignored:
        peer_datagram::PeerDatagram::RelayedChanges(changes_from("stranger", REVISION_MAX, 0));
    changes_that_answer_a_future_request_are_ignored:
        peer_datagram::PeerDatagram::RelayedChanges(changes_from("host1", REVISION_MAX, u64::MAX));
    changes_that_lead_backwards_are_ignored:
        peer_datagram::PeerDatagram::RelayedChanges(peer_datagram::RelayedChanges {
            after: REVISION_MAX,
            revision: revision_at(0),
            age_us: u64::MAX,
            ..changes_from("host1", revision_at(0), 0)
        });
    configuration_offered_to_a_host_that_has_one_is_ignored:
        peer_datagram::PeerDatagram::ConfigOffer(Box::new(peer_datagram::ConfigOffer {
            host: "host1".to_owned(),
            revision: REVISION_MAX,
            current_at: REVISION_MAX,
            config: config_patch::ConfigPatch::between(
                &proxy_config::ProxyConfig::default(),
                &config_with(u64::MAX, &[]),
            ),
            echo_incarnation: 1,
        }));
    request_of_an_unknown_host_is_ignored:
        peer_datagram::PeerDatagram::ChangesRequest(peer_datagram::ChangesRequest {
            host: "stranger".to_owned(),
            incarnation: u64::MAX,
            revision: REVISION_MAX,
            config_version: u64::MAX,
            sent_at_us: u64::MAX,
        });
}

/// Declares a test of the choice of the source for each name.
macro_rules! choices {
    ($($name:ident: $change:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut inputs = sync_source::SyncInputs {
                    all_watch: false,
                    watcher: false,
                    short_watch: false,
                    registration_known: true,
                    age: millis(500),
                    behind_for: None,
                    changes_missing: false,
                    wait_short: millis(2_000),
                    wait_long: millis(20_000),
                };
                let change: fn(&mut sync_source::SyncInputs) = $change;
                change(&mut inputs);
                assert_eq!(sync_source::choose(inputs), $expected);
            }
        )*
    };
}

choices! {
    follower_waits_for_peers: |_| {} => sync_source::SyncSource::Peers;
    watcher_watches: |inputs| inputs.watcher = true
        => sync_source::SyncSource::Store(millis(1_000));
    old_knowledge_needs_the_store: |inputs| inputs.age = millis(3_600)
        => sync_source::SyncSource::Store(millis(1_000));
    undelivered_changes_need_the_store: |inputs| inputs.behind_for = Some(millis(1_000))
        => sync_source::SyncSource::Store(millis(1_000));
    lag_that_peers_may_still_end_does_not: |inputs| inputs.behind_for = Some(millis(200))
        => sync_source::SyncSource::Peers;
    changes_that_no_peer_has_need_the_store: |inputs| inputs.changes_missing = true
        => sync_source::SyncSource::Store(millis(1_000));
    unregistered_host_watches: |inputs| inputs.registration_known = false
        => sync_source::SyncSource::Store(millis(1_000));
    small_fleet_watches_long: |inputs| inputs.all_watch = true
        => sync_source::SyncSource::Store(millis(20_000));
    small_fleet_watches_short_where_chosen: |inputs| {
        inputs.all_watch = true;
        inputs.short_watch = true;
    } => sync_source::SyncSource::Store(millis(2_000));
}

fn record_item(name: &str, revision: u64) -> store_message::StoreItem {
    store_message::StoreItem {
        subject: store_message::ItemSubject::Record(name.to_owned()),
        revision: revision_at(revision),
        body: Some(store_message::ItemContent::Record(vec![revision as u8])),
    }
}

fn revisions(parts: &[change_history::HistoryPart]) -> Vec<u64> {
    parts.iter().flat_map(|part| part.items.iter().map(|item| item.revision.number())).collect()
}

#[test]
fn history_delivers_exactly_what_a_host_lacks() {
    let mut history = change_history::ChangeHistory::default();
    history.add(revision_at(10), revision_at(12), &[record_item("a", 11), record_item("b", 12)]);
    history.add(revision_at(12), revision_at(15), &[record_item("a", 14)]);
    let parts = history.parts_after(revision_at(11), 0).unwrap();
    assert_eq!(revisions(&parts), [12, 14]);
    assert_eq!(
        (parts[0].after, parts.last().unwrap().revision),
        (revision_at(11), revision_at(15))
    );
    assert!(history.parts_after(revision_at(15), 0).unwrap().is_empty());
    assert!(
        history.parts_after(revision_at(9), 0).is_none(),
        "the history begins after revision 10"
    );
}

#[test]
fn history_with_a_gap_does_not_reach_across_it() {
    let mut history = change_history::ChangeHistory::default();
    history.add(revision_at(10), revision_at(11), &[record_item("a", 11)]);
    history.add(revision_at(13), revision_at(14), &[record_item("b", 14)]);
    assert!(history.parts_after(revision_at(10), 0).is_none());
    assert_eq!(revisions(&history.parts_after(revision_at(13), 0).unwrap()), [14]);
}

/// Guards against a lost datagram that hides a change: the parts of a long history follow on each
/// other without a gap, and each ends where a reply of the store ended.
#[test]
fn parts_of_a_long_history_follow_on_each_other() {
    let mut history = change_history::ChangeHistory::default();
    for block in 0..20_u64 {
        let after = block * 50;
        let items: Vec<_> = (1..=50).map(|number| record_item("a", after + number)).collect();
        history.add(revision_at(after), revision_at(after + 50), &items);
    }
    let parts = history.parts_after(revision_at(0), 0).unwrap();
    assert!(parts.len() > 1);
    for pair in parts.windows(2) {
        assert_eq!(pair[0].revision, pair[1].after);
        assert_eq!(pair[0].revision.number() % 50, 0);
    }
    assert_eq!(revisions(&parts), (1..=1_000).collect::<Vec<_>>());
}

fn config_with(version: u64, names: &[u8]) -> proxy_config::ProxyConfig {
    let accounts: BTreeMap<String, proxy_config::AccountObject> = names
        .iter()
        .map(|number| {
            let name = format!("account{}", number % 16);
            let rate = f64::from(*number);
            (name.clone(), proxy_config::AccountObject { name, rate, burst: 2.0 })
        })
        .collect();
    let keys = accounts.keys().map(|name| (proxy_config::digest_key(name), name.clone())).collect();
    let routes = names.iter().map(|number| proxy_config::RouteObject {
        database: format!("database{}", number % 8),
        group: format!("group{}", number % 4),
        kind: proxy_config::RouteKind::BoundedAge { max_age: millis(u64::from(*number)) },
        timeout: millis(800),
        target_latency: millis(250),
        priority: u32::from(*number),
        public: number % 2 == 0,
    });
    let groups = names.iter().map(|number| proxy_config::GroupObject {
        name: format!("group{}", number % 4),
        max_connections: u32::from(*number),
        sync_replicas: 0,
    });
    proxy_config::ProxyConfig {
        version,
        routes: routes.map(|route| (route.database.clone(), route)).collect(),
        groups: groups.map(|group| (group.name.clone(), group)).collect(),
        accounts,
        keys,
        idle_transaction: millis(version),
    }
}

fn property_cases() -> u32 {
    std::env::var("PROPERTY_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(CASES_IN_CI)
}

fn property_runner() -> TestRunner {
    let seed: u64 =
        std::env::var("PROPERTY_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config { cases: property_cases(), failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
}

/// A patch that travelled gives the same configuration as the store, and applies to no other.
#[test]
fn patch_of_any_two_versions_gives_the_newer_one() {
    let names = || prop::collection::vec(any::<u8>(), 0..24);
    let result = property_runner().run(&(names(), names()), |(old, new)| {
        let (old, new) = (config_with(3, &old), config_with(7, &new));
        let patch = config_patch::ConfigPatch::between(&old, &new);
        let bytes = rmp_serde::to_vec(&patch).unwrap();
        let patch: config_patch::ConfigPatch = rmp_serde::from_slice(&bytes).unwrap();
        prop_assert_eq!(patch.apply(&old), Some(new.clone()));
        prop_assert_eq!(patch.apply(&new), None);
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// A configuration whose patch does not fit into a datagram is announced, and left to the store.
#[test]
fn large_patch_is_announced_but_not_relayed() {
    let old = config_with(1, &[1]);
    let mut new = config_with(2, &[1]);
    for number in 0..2_000 {
        let route = proxy_config::RouteObject {
            database: format!("extra{number}"),
            ..new.routes.values().next().unwrap().clone()
        };
        new.routes.insert(route.database.clone(), route);
    }
    let mut history = change_history::ChangeHistory::default();
    history.add_config(Arc::new(old));
    let item = store_message::StoreItem {
        subject: store_message::ItemSubject::Config,
        revision: revision_at(5),
        body: Some(store_message::ItemContent::Config(Arc::new(new))),
    };
    history.add(revision_at(4), revision_at(5), &[item]);
    let parts = history.parts_after(revision_at(4), 1).unwrap();
    assert_eq!(revisions(&parts), [5]);
    assert_eq!(parts[0].items[0].content, Some(peer_datagram::RelayedContent::ConfigOmitted));
}

/// The relay's messages keep the form of the messages before them, so that hosts of both builds
/// understand each other's heartbeats.
#[test]
fn datagrams_of_the_build_before_are_understood() {
    let message = peer_datagram::PeerDatagram::TokenGiven {
        host: "host1".to_owned(),
        account: "large".to_owned(),
        count: 3,
        id: None,
    };
    let bytes = b"\x81\xaaTokenGiven\x93\xa5host1\xa5large\x03";
    assert_eq!(rmp_serde::to_vec(&message).unwrap(), bytes);
    assert_eq!(rmp_serde::from_slice::<peer_datagram::PeerDatagram>(bytes).unwrap(), message);
}

/// A fault that is injected or ended.
#[derive(Debug, Clone)]
enum FaultStep {
    Reconfigure,
    Kill { host: usize },
    Start,
    Freeze { host: usize, millis: u64 },
    CutFromStore { host: usize },
    CutFromPeer { host: usize, peer: usize },
    Deny { host: usize, denied: bool },
    Heal,
    Compact,
    DropWatches,
    StoreMode { mode: fake_store::StoreMode },
    LoseDatagrams { percent: u8 },
    Run { millis: u64 },
}

fn fault_step() -> impl Strategy<Value = FaultStep> {
    let host = || 0..HOSTS;
    prop_oneof![
        4 => Just(FaultStep::Reconfigure),
        2 => host().prop_map(|host| FaultStep::Kill { host }),
        2 => Just(FaultStep::Start),
        2 => (host(), 100..4_000_u64).prop_map(|(host, millis)| FaultStep::Freeze { host, millis }),
        2 => host().prop_map(|host| FaultStep::CutFromStore { host }),
        2 => (host(), host()).prop_map(|(host, peer)| FaultStep::CutFromPeer { host, peer }),
        2 => (host(), any::<bool>()).prop_map(|(host, denied)| FaultStep::Deny { host, denied }),
        1 => Just(FaultStep::Heal),
        1 => Just(FaultStep::Compact),
        1 => Just(FaultStep::DropWatches),
        1 => prop_oneof![
            Just(fake_store::StoreMode::Up),
            Just(fake_store::StoreMode::Unresponsive),
            Just(fake_store::StoreMode::DropsWriteReplies),
        ].prop_map(|mode| FaultStep::StoreMode { mode }),
        1 => (0..40_u8).prop_map(|percent| FaultStep::LoseDatagrams { percent }),
        6 => (50..1_500_u64).prop_map(|millis| FaultStep::Run { millis }),
    ]
}

fn apply_step(fleet: &mut ProxyFleet, step: &FaultStep) {
    match step {
        FaultStep::Reconfigure => {
            fleet.reconfigure(|config| config.idle_transaction += millis(1));
        }
        FaultStep::Kill { host } => fleet.kill_host(*host),
        FaultStep::Start => {
            for host in (0..HOSTS).filter(|host| !fleet.alive(*host)).collect::<Vec<_>>() {
                fleet.start_host(host, millis(700));
            }
        }
        FaultStep::Freeze { host, millis: duration } => {
            fleet.freeze_host(*host, millis(*duration));
        }
        FaultStep::CutFromStore { host } => {
            fleet.partition(PartitionSide::Host(*host), PartitionSide::Store);
        }
        FaultStep::CutFromPeer { host, peer } => {
            fleet.partition(PartitionSide::Host(*host), PartitionSide::Host(*peer));
        }
        FaultStep::Deny { host, denied } => fleet.deny_host(*host, *denied),
        FaultStep::Heal => fleet.heal_partitions(),
        FaultStep::Compact => fleet.compact_store(),
        FaultStep::DropWatches => fleet.store.drop_watches(),
        FaultStep::StoreMode { mode } => fleet.store.mode = *mode,
        FaultStep::LoseDatagrams { percent } => fleet.datagram_loss = f64::from(*percent) / 100.0,
        FaultStep::Run { .. } => {}
    }
}

/// What a host knew at the last check, by incarnation.
#[derive(Debug, Clone, Copy, Default)]
struct KnownState {
    incarnation: u64,
    revision: store_revision::StoreRevision,
    version: u64,
}

/// Runs the fleet and checks every 50 ms that no host's knowledge goes back and that its stated age
/// is not younger than the truth.
fn run_checked(
    fleet: &mut ProxyFleet,
    duration: Duration,
    truth: &mut Vec<(u64, store_revision::StoreRevision)>,
    known: &mut [KnownState],
) {
    for _ in 0..(duration.as_millis() / 50).max(1) {
        truth.push((fleet.now, fleet.store.revision()));
        fleet.run(millis(50));
        for host in (0..HOSTS).filter(|host| fleet.alive(*host)) {
            let context = fleet.core(host).context();
            let revision = context.store.revision.unwrap_or_default();
            let version = context.config.as_ref().map_or(0, |config| config.version);
            let before = &mut known[host];
            if before.incarnation == context.identity.incarnation {
                assert!(revision >= before.revision, "host {host}: revision went back");
                assert!(version >= before.version, "host {host}: configuration went back");
            }
            *before = KnownState { incarnation: context.identity.incarnation, revision, version };
            // All changes made before the time up to which the host claims to know them.
            let synced_at = context.store.synced_at;
            let claimed =
                truth.iter().rev().find(|(at, _)| fleet.host_clock(host, *at) <= synced_at);
            if let Some((at, truth)) = claimed {
                assert!(
                    revision >= *truth,
                    "host {host} claims to know all changes up to {at} us but is at revision \
                     {revision} of {truth}"
                );
            }
        }
    }
}

/// Random faults: knowledge never goes back, its age is never understated, and once the faults have
/// ended, every host has the configuration as published.
#[test]
fn knowledge_never_goes_back_and_never_looks_younger_than_it_is() {
    let steps = prop::collection::vec(fault_step(), 10..40);
    let result = property_runner().run(&steps, |steps| {
        let mut fleet = start_fleet(HOSTS);
        let mut truth = Vec::new();
        let mut known = vec![KnownState::default(); HOSTS];
        for step in &steps {
            apply_step(&mut fleet, step);
            let duration = match step {
                FaultStep::Run { millis: duration } => millis(*duration),
                _ => millis(50),
            };
            run_checked(&mut fleet, duration, &mut truth, &mut known);
        }
        fleet.heal_partitions();
        fleet.store.mode = fake_store::StoreMode::Up;
        fleet.datagram_loss = 0.0;
        for host in 0..HOSTS {
            fleet.deny_host(host, false);
        }
        apply_step(&mut fleet, &FaultStep::Start);
        // The longest freeze, and the longest time to notice a lost watch.
        run_checked(&mut fleet, millis(8_000), &mut truth, &mut known);
        fleet.reconfigure(|config| config.idle_transaction += millis(1));
        run_checked(&mut fleet, CONFIG_APPLY, &mut truth, &mut known);
        for host in 0..HOSTS {
            let config = fleet.core(host).context().config.clone();
            prop_assert_eq!(config.as_deref(), Some(fleet.published()), "host {}", host);
        }
        prop_assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
