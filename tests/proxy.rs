//! Scenarios of a small fleet of proxy cores in virtual time. Besides the assertions of each case,
//! the simulation checks every read and every response against the state of the fake databases.

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use std::time::Duration;

use proxy_fakes::fake_store;
use proxy_fakes::{PartitionSide, ProxyFleet, millis, read, write};
use quetzaldeal::core::endpoint_message;
use quetzaldeal::core::request_verdict;
use quetzaldeal::proxy::endpoint_command;
use quetzaldeal::proxy::position_history;
use quetzaldeal::proxy::session_request;
use quetzaldeal::proxy::store_record;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Declares a test for each name, which runs on a fleet of four hosts that serves already.
macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let run: fn(&mut ProxyFleet) = $body;
                let mut fleet = start_fleet(4, 1);
                run(&mut fleet);
                assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
            }
        )*
    };
}

/// Returns a fleet after 1.5 s of virtual time, by which all hosts serve.
fn start_fleet(hosts: usize, seed: u64) -> ProxyFleet {
    let accounts = [("large", 400.0, 400.0), ("small", 20.0, 20.0)];
    let mut fleet = ProxyFleet::new(hosts, &accounts, seed);
    fleet.run(Duration::from_millis(1_500));
    fleet
}

/// Sends a request and returns whether it ran.
fn is_served(
    fleet: &mut ProxyFleet,
    host: usize,
    caller: u64,
    request: session_request::SessionRequest,
) -> bool {
    let received = fleet.send_and_wait(host, caller, request);
    let received = received.unwrap_or_else(|| panic!("no response from host {host} within 3 s"));
    received.ran()
}

/// Returns whether some host has read from the store that a primary is being promoted.
fn is_promoting(fleet: &ProxyFleet) -> bool {
    (0..4).any(|host| {
        let groups = &fleet.core(host).context().groups;
        groups.values().any(|group| {
            let record = group.record.as_ref();
            record.is_some_and(|record| record.phase == store_record::GroupPhase::Promoting)
        })
    })
}

/// Returns the time until a write is served again, tried every 20 ms.
fn write_outage(fleet: &mut ProxyFleet, host: usize, caller: u64) -> Duration {
    let start = fleet.now;
    for _ in 0..1_500 {
        if is_served(fleet, host, caller, write()) {
            return Duration::from_micros(fleet.now - start);
        }
        fleet.run(millis(20));
    }
    panic!("no write was served within 30 s");
}

cases! {
    // Guards against a slow start: two seconds after the start every host reports that it is ready
    // and serves a write and a read.
    every_host_serves_within_two_seconds_of_start: |fleet| {
        for host in 0..4 {
            assert!(fleet.ready(host), "host {host}");
            let caller = fleet.open(host, "large", "strict");
            assert!(is_served(fleet, host, caller, write()));
            assert!(is_served(fleet, host, caller, read()));
        }
    };
    // Guards against requests counted under the wrong kind, or without their latency: kinds are
    // taken from what a request does, also inside a transaction.
    served_requests_are_counted_by_kind: |fleet| {
        let caller = fleet.open(0, "large", "strict");
        let begin = session_request::SessionRequest::Begin { read_only: false };
        for request in [begin, write(), read(), session_request::SessionRequest::Commit, read()] {
            assert!(is_served(fleet, 0, caller, request));
        }
        let context = fleet.core(0).context();
        let count = |request| context.counts.served_kinds.get(&("primary", request)).copied();
        assert_eq!(count("begin"), Some(1));
        assert_eq!(count("write"), Some(1));
        assert_eq!(count("read"), Some(2));
        assert_eq!(count("commit"), Some(1));
        assert!(context.kind_latencies.quantiles("primary write").p50_us >= 5_000);
    };
    // Guards against a read on a replica that lacks an earlier write of the same session, and
    // against sending all such reads to the primary.
    session_reads_its_own_writes_on_replicas: |fleet| {
        let caller = fleet.open(1, "large", "own");
        for _ in 0..20 {
            assert!(is_served(fleet, 1, caller, write()));
            assert!(is_served(fleet, 1, caller, read()));
            fleet.run(millis(70));
            assert!(is_served(fleet, 1, caller, read()));
        }
        assert!(fleet.core(1).context().counts.replica_reads > 0);
    };
    // Guards against statements of one transaction that are sent over different connections: its
    // writes would then not be committed as one log entry.
    transaction_runs_on_one_connection: |fleet| {
        let caller = fleet.open(0, "large", "strict");
        assert!(is_served(
            fleet,
            0,
            caller,
            session_request::SessionRequest::Begin { read_only: false }
        ));
        assert!(is_served(fleet, 0, caller, write()));
        assert!(is_served(fleet, 0, caller, read()));
        assert!(is_served(fleet, 0, caller, session_request::SessionRequest::Commit));
        assert_eq!(fleet.databases["db0"].log.len(), 1);
    };
    // Guards against statements that run with another session's settings or without their own: two
    // sessions with different settings share the pooled connections.
    session_settings_apply_on_every_connection: |fleet| {
        let one = fleet.open(0, "large", "aged");
        let two = fleet.open(0, "large", "aged");
        let set = |value: &str| session_request::SessionRequest::Set {
            name: "tone".to_owned(),
            value: value.to_owned(),
        };
        assert!(is_served(fleet, 0, one, set("low")));
        for _ in 0..10 {
            assert!(is_served(fleet, 0, one, read()));
            assert!(is_served(fleet, 0, two, read()));
        }
        assert!(is_served(fleet, 0, two, set("high")));
        for _ in 0..10 {
            assert!(is_served(fleet, 0, one, read()));
            assert!(is_served(fleet, 0, two, read()));
        }
    };
    // Guards against running another session's prepared statement: two sessions prepare different
    // statements under the same name and share the pooled connections.
    prepared_names_of_two_sessions_do_not_collide: |fleet| {
        let prepare = |kind| session_request::SessionRequest::Prepare {
            name: "s1".to_owned(),
            kind,
            shape: "shape".to_owned(),
        };
        let execute = || session_request::SessionRequest::Execute {
            name: "s1".to_owned(),
            arguments: "1a4 data".to_owned(),
        };
        let one = fleet.open(0, "large", "strict");
        let two = fleet.open(0, "large", "strict");
        assert!(is_served(fleet, 0, one, prepare(session_request::StatementKind::Write)));
        assert!(is_served(fleet, 0, two, prepare(session_request::StatementKind::Read)));
        for _ in 0..5 {
            assert!(is_served(fleet, 0, one, execute()));
            assert!(is_served(fleet, 0, two, execute()));
        }
        assert_eq!(fleet.databases["db0"].log.len(), 5);
    };
    // Guards against a failover that is too slow when the primary crashes and its registration
    // stays in the store, so that only failing connections show the crash.
    crashed_primary_is_replaced_within_seventeen_seconds: |fleet| {
        let caller = fleet.open(2, "large", "strict");
        assert!(is_served(fleet, 2, caller, write()));
        fleet.crash("db0", false);
        let outage = write_outage(fleet, 2, caller);
        assert!(outage < Duration::from_secs(17), "{outage:?}");
        assert_ne!(fleet.primary_id(), "db0");
    };
    // Guards against a failover that stops with its coordinator: the coordinator dies together with
    // the primary, and another host has to take over the role.
    failover_survives_death_of_the_coordinator: |fleet| {
        let coordinator = fleet.coordinator().expect("a coordinator");
        let host = (coordinator + 1) % 4;
        let caller = fleet.open(host, "large", "strict");
        fleet.kill_host(coordinator);
        fleet.crash("db0", true);
        let outage = write_outage(fleet, host, caller);
        assert!(outage < Duration::from_secs(17), "{outage:?}");
    };
    // Guards against lost writes and stale reads through a host that does not learn of a failover:
    // it reaches only the old primary, which no other host reaches, and its leases have to stop it.
    isolated_host_stops_using_replaced_primary: |fleet| {
        let caller = fleet.open(3, "large", "strict");
        assert!(is_served(fleet, 3, caller, write()));
        fleet.partition(PartitionSide::Host(3), PartitionSide::Store);
        for peer in 0..3 {
            fleet.partition(PartitionSide::Host(3), PartitionSide::Host(peer));
            fleet.partition(PartitionSide::Host(peer), PartitionSide::Database("db0".to_owned()));
        }
        let other = fleet.open(0, "large", "strict");
        let start = fleet.now;
        while fleet.now - start < 15_000_000 {
            fleet.send(3, caller, write());
            fleet.send(3, caller, read());
            fleet.send_and_wait(0, other, write());
            fleet.run(millis(20));
        }
        assert_ne!(fleet.primary_id(), "db0");
        assert!(is_served(fleet, 0, other, write()));
    };
    // Guards against a planned failover to a replica that lacks acknowledged writes, and against
    // one that interrupts writes for 5 s or more.
    draining_primary_is_replaced_without_losing_acknowledged_writes: |fleet| {
        let caller = fleet.open(0, "large", "strict");
        for _ in 0..20 {
            assert!(is_served(fleet, 0, caller, write()));
        }
        fleet.register("db0", true);
        let outage = write_outage(fleet, 0, caller);
        assert!(outage < Duration::from_secs(5), "{outage:?}");
        let primary_id = fleet.primary_id();
        assert!(fleet.databases[&primary_id].log.len() >= 20);
    };
    // Guards against an evacuation that leaves the primary where it is: 3.5 s after the request
    // another data centre has the primary, and writes are served.
    evacuation_moves_the_primary_to_another_data_centre: |fleet| {
        let caller = fleet.open(0, "large", "strict");
        assert!(is_served(fleet, 0, caller, write()));
        fleet.evacuate("centre0", true);
        fleet.run(millis(3_500));
        assert_ne!(fleet.primary_id(), "db0");
        assert!(is_served(fleet, 0, caller, write()));
    };
    // Guards against hosts that stop with the store: during an outage of 4 s, longer than the
    // membership lease, every write is served.
    writes_succeed_while_store_is_unresponsive: |fleet| {
        let caller = fleet.open(0, "large", "strict");
        fleet.store.mode = fake_store::StoreMode::Unresponsive;
        for _ in 0..40 {
            assert!(is_served(fleet, 0, caller, write()));
            fleet.run(millis(100));
        }
    };
    // Guards against sessions that outlive their key: 100 ms after its withdrawal a request on an
    // open session is rejected, and so is a new session.
    withdrawn_key_is_rejected_on_open_and_new_sessions: |fleet| {
        let caller = fleet.open(0, "small", "aged");
        assert!(is_served(fleet, 0, caller, read()));
        fleet.reconfigure(|config| config.keys.retain(|_, account| account != "small"));
        fleet.run(millis(100));
        let received = fleet.send_and_wait(0, caller, read()).expect("a response");
        assert_eq!(received.response.verdict.cause, request_verdict::VerdictCause::KeyRejected);
        let new_caller = fleet.open(1, "small", "aged");
        assert!(fleet.refusal(1, new_caller).is_some());
    };
    // Guards against a missed configuration: the store ends the watch because it has compacted its
    // history, and hosts have to list all items again. The new configuration lacks the route.
    compacted_store_history_does_not_hide_a_configuration: |fleet| {
        fleet.compact_store();
        fleet.reconfigure(|config| config.routes.retain(|name, _| name != "aged"));
        fleet.run(millis(300));
        let caller = fleet.open(0, "large", "aged");
        assert!(fleet.refusal(0, caller).is_some());
    };
    // Guards against a shutdown that ends an open transaction early, or never ends the process.
    stopping_host_completes_open_transactions: |fleet| {
        let caller = fleet.open(0, "large", "strict");
        assert!(is_served(
            fleet,
            0,
            caller,
            session_request::SessionRequest::Begin { read_only: false }
        ));
        assert!(is_served(fleet, 0, caller, write()));
        fleet.stop_host(0);
        fleet.run(millis(500));
        assert!(is_served(fleet, 0, caller, session_request::SessionRequest::Commit));
        fleet.run(millis(5_000));
        assert!(fleet.stopped(0));
    };
    // Guards against lost writes when an evacuation is withdrawn after the promotion was requested,
    // and all hosts restart: the promotion still takes effect, so the old primary must not be used
    // again.
    cancelled_evacuation_does_not_revert_a_started_promotion: |fleet| {
        let caller = fleet.open(0, "large", "strict");
        assert!(is_served(fleet, 0, caller, write()));
        fleet.evacuate("centre0", true);
        while !is_promoting(fleet) {
            fleet.run(millis(1));
        }
        fleet.run(millis(10));
        fleet.evacuate("centre0", false);
        for host in 0..4 {
            fleet.kill_host(host);
            fleet.start_host(host, Duration::ZERO);
        }
        for _ in 0..150 {
            for host in 0..4 {
                let caller = fleet.open(host, "large", "strict");
                fleet.send(host, caller, write());
            }
            fleet.run(millis(20));
        }
    };
    // Guards against an entry of another writer that names a group which does not exist: the
    // coordinator looked for a primary of that group without an end.
    entry_of_an_unknown_group_starts_no_failover: |fleet| {
        fleet.add_replica("db3", "centre0");
        if let Some(database) = fleet.databases.get_mut("db3") {
            database.group = "unknown".to_owned();
        }
        fleet.register("db3", false);
        fleet.run(millis(2_000));
        for host in 0..4 {
            let groups = &fleet.core(host).context().groups;
            let unknown = groups.values().find(|group| group.name == "unknown");
            let state = unknown.expect("the group of the entry").failover.cursor.state();
            assert_eq!(state, "watching", "host {host}");
        }
        assert!(!fleet.store.record_keys().contains("groups/unknown"));
    };
    // Guards against a missed configuration when the store loses watches without a reply: hosts
    // have to notice it and watch again.
    lost_watches_are_reopened: |fleet| {
        fleet.store.drop_watches();
        fleet.reconfigure(|config| config.keys.clear());
        // A published configuration has to be applied within 3 s.
        fleet.run(millis(2_500));
        for host in 0..4 {
            let caller = fleet.open(host, "large", "aged");
            let refusal = fleet.refusal(host, caller).expect("a refusal");
            assert_eq!(refusal.cause, request_verdict::VerdictCause::KeyRejected, "host {host}");
        }
    };
    // Guards against a missed configuration after an outage of the store in which it lost its
    // watches: hosts must not rely on a watch from before the outage.
    watches_lost_during_a_store_outage_are_reopened: |fleet| {
        fleet.store.mode = fake_store::StoreMode::Unresponsive;
        fleet.store.drop_watches();
        fleet.run(millis(4_500));
        fleet.store.mode = fake_store::StoreMode::Up;
        fleet.reconfigure(|config| config.keys.clear());
        fleet.run(millis(2_500));
        for host in 0..4 {
            let caller = fleet.open(host, "large", "aged");
            assert!(fleet.refusal(host, caller).is_some(), "host {host}");
        }
    };
    // Guards against endpoints that stay in memory for good after their deregistration, and against
    // removing them early: after 30 s the endpoint is still there, after 75 s it is not.
    deregistered_endpoints_are_removed: |fleet| {
        let caller = fleet.open(0, "large", "aged");
        assert!(is_served(fleet, 0, caller, read()));
        fleet.crash("db2", true);
        fleet.run(millis(30_000));
        assert_eq!(fleet.core(0).context().endpoints.len(), 3);
        fleet.run(millis(45_000));
        for host in 0..4 {
            assert_eq!(fleet.core(host).context().endpoints.len(), 2, "host {host}");
        }
        assert!(is_served(fleet, 0, caller, read()));
        // A removed endpoint that registers again is handled like a new one.
        fleet.restart("db2");
        fleet.run(millis(1_000));
        assert_eq!(fleet.core(0).context().endpoints.len(), 3);
        assert!(is_served(fleet, 0, caller, read()));
    };
    // Guards against sessions that a stopping host accepts and closes at once: late in its shutdown
    // it refuses them and states when to retry.
    host_about_to_exit_rejects_new_sessions: |fleet| {
        fleet.stop_host(0);
        fleet.run(millis(2_350));
        let caller = fleet.open(0, "large", "strict");
        let refusal = fleet.refusal(0, caller).expect("a refusal");
        assert_eq!(refusal.cause, request_verdict::VerdictCause::Draining);
        assert!(refusal.retry_after.is_some());
    };
    // Guards against lost writes and stale reads through a primary that crashed, was replaced and
    // runs again: no host may use it as primary, including one that missed the failover.
    restarted_old_primary_is_not_used: |fleet| {
        let caller = fleet.open(1, "large", "strict");
        assert!(is_served(fleet, 1, caller, write()));
        fleet.partition(PartitionSide::Host(2), PartitionSide::Store);
        fleet.crash("db0", false);
        write_outage(fleet, 1, caller);
        fleet.restart("db0");
        fleet.heal_partitions();
        for _ in 0..50 {
            for host in 0..4 {
                let session = fleet.open(host, "large", "strict");
                fleet.send_and_wait(host, session, write());
                fleet.send_and_wait(host, session, read());
                fleet.close(host, session);
            }
        }
        assert_ne!(fleet.primary_id(), "db0");
    };
    // Guards against a slow restart: all hosts are killed at once, and two seconds after they start
    // again a write is served.
    restarted_fleet_serves_within_two_seconds: |fleet| {
        for host in 0..4 {
            fleet.kill_host(host);
        }
        fleet.run(millis(1_000));
        for host in 0..4 {
            fleet.start_host(host, Duration::ZERO);
        }
        fleet.run(millis(2_000));
        let caller = fleet.open(0, "large", "strict");
        assert!(is_served(fleet, 0, caller, write()));
    };
}

/// Guards against a stale read: if the age bound is checked only when a read is queued, the replica
/// may be too far behind by the time the read gets a connection.
#[test]
fn queued_read_is_checked_for_age_when_it_is_sent() {
    let mut fleet = start_fleet(4, 3);
    let callers: Vec<u64> = (0..40).map(|_| fleet.open(3, "large", "aged")).collect();
    let writer = fleet.open(0, "large", "strict");
    // Replication lags by 60 s, the replicas need 300 ms for a statement, and the host cannot reach
    // the primary.
    for id in ["db1", "db2"] {
        let database = fleet.databases.get_mut(id).expect("a database");
        database.replication_lag_us = 60_000_000;
        database.execution_us = 300_000;
    }
    fleet.partition(PartitionSide::Host(3), PartitionSide::Database("db0".to_owned()));
    for _ in 0..60 {
        fleet.send_and_wait(0, writer, write());
        for caller in &callers {
            fleet.send(3, *caller, read());
        }
        fleet.run(millis(50));
    }
    assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
}

/// Guards against a stale read after a restart with an earlier clock: a peer may echo a heartbeat
/// of the previous process, and a sending time on that process's clock, which was later, would make
/// an old position sample appear recent.
#[test]
fn restarted_host_ignores_echoes_of_its_previous_clock() {
    // Many seeds, because a heartbeat has to arrive between the restart and the moment when peers
    // read the new member record.
    for seed in 0..40 {
        check_restart_with_earlier_clock(seed);
    }
}

/// Restarts host 3 with a clock that is 8 s behind, isolates it except from the replicas and reads
/// there while writes go on elsewhere.
fn check_restart_with_earlier_clock(seed: u64) {
    let mut fleet = start_fleet(4, seed);
    fleet.run(millis(8_000 + seed * 7));
    fleet.kill_host(3);
    fleet.start_host(3, Duration::from_secs(8));
    fleet.run(millis(700));
    let caller = fleet.open(3, "large", "aged");
    let writer = fleet.open(0, "large", "strict");
    for id in ["db1", "db2"] {
        if let Some(database) = fleet.databases.get_mut(id) {
            database.replication_lag_us = 60_000_000;
        }
    }
    fleet.partition(PartitionSide::Host(3), PartitionSide::Database("db0".to_owned()));
    for peer in 0..3 {
        fleet.partition(PartitionSide::Host(3), PartitionSide::Host(peer));
    }
    for _ in 0..100 {
        fleet.send_and_wait(0, writer, write());
        fleet.send(3, caller, read());
        fleet.run(millis(40));
    }
    assert!(fleet.violations.is_empty(), "seed {seed}: {:#?}", fleet.violations);
}

/// Guards against shares that admit too much or too little: callers send requests at twice the
/// account's rate, half of them to two of the seven hosts and the others to any host. At least 0.9
/// of the rate is served, and in every window of 5 s no more than rate and burst allow.
#[test]
fn account_over_its_rate_gets_its_rate() {
    let mut fleet = start_fleet(7, 5);
    let mut rng = SmallRng::seed_from_u64(9);
    let callers: Vec<(usize, u64)> = (0..28)
        .map(|number| number % 7)
        .map(|host| (host, fleet.open(host, "small", "aged")))
        .collect();
    let start = fleet.now;
    let duration = Duration::from_secs(30);
    while fleet.now - start < duration.as_micros() as u64 {
        // Half of the requests go to two of the seven hosts, the others to any host.
        let pick = match rng.random::<f64>() < 0.5 {
            true => rng.random_range(0..callers.len() / 14) * 7 + rng.random_range(0..2),
            false => rng.random_range(0..callers.len()),
        };
        let (host, caller) = callers[pick];
        fleet.send(host, caller, read());
        fleet.run(Duration::from_micros((rng.random::<f64>() * 50_000.0) as u64));
    }
    let served = fleet.executions.get("small").map_or(0, Vec::len) as f64;
    let allowed = 20.0 * duration.as_secs_f64();
    assert!(
        served >= 0.9 * allowed,
        "{served} operations served, expected at least 0.9 of {allowed}"
    );
    let most = fleet.max_executions_within("small", Duration::from_secs(5));
    assert!(most as f64 <= 20.0 * 5.0 + 20.0, "{most} operations in 5 s, expected at most 120");
    assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
}

/// Guards against stale reads through the choice of the sample: a read with an age bound requires
/// the position of the first sample requested at or after the bound, and none exists if all are
/// earlier.
#[test]
fn required_point_comes_from_the_first_later_sample() {
    let mut history = position_history::PositionHistory::default();
    let at = quetzaldeal::core::clock_time::ClockTime::from_millis;
    let point = |position| endpoint_message::LogPoint { term: 1, position };
    for (requested, position) in [(100, 5), (200, 5), (300, 5), (400, 9)] {
        history.push(position_history::PositionSample {
            requested_at: at(requested),
            point: point(position),
        });
    }
    assert_eq!(history.required(at(50)), Some(point(5)));
    assert_eq!(history.required(at(300)), Some(point(5)));
    assert_eq!(history.required(at(301)), Some(point(9)));
    assert_eq!(history.required(at(401)), None);
}

/// Guards against callers that block until their timeout: with all databases down a write is
/// refused within 100 ms, reported as not run, and the response states when to retry.
#[test]
fn write_without_a_primary_is_refused_at_once_with_a_retry_time() {
    let mut fleet = start_fleet(4, 7);
    let caller = fleet.open(0, "large", "strict");
    for id in ["db0", "db1", "db2"] {
        fleet.crash(id, true);
    }
    fleet.run(millis(3_000));
    let start = fleet.now;
    let received = fleet.send_and_wait(0, caller, write()).expect("a response");
    assert_eq!(received.response.verdict.fate, request_verdict::RequestFate::NotRun);
    assert!(received.response.verdict.retry_after.is_some());
    assert!(
        received.at - start < 100_000,
        "response took {} us, expected less than 100000",
        received.at - start
    );
    assert_eq!(received.response.phase, endpoint_command::SessionPhase::Idle);
}

/// Sends requests at `load` times an account's rate of 30 per second, half of them to two of the
/// seven hosts and the others to any host. Returns the fraction that was refused beyond what a
/// single token bucket for the whole account refuses of the same requests.
fn wrongly_refused_fraction(load: f64, seed: u64) -> f64 {
    let accounts = [("large", 400.0, 400.0), ("small", 30.0, 30.0)];
    let mut fleet = ProxyFleet::new(7, &accounts, seed);
    fleet.run(millis(3_000));
    let mut rng = SmallRng::seed_from_u64(seed);
    let callers: Vec<(usize, u64)> = (0..70)
        .map(|number| number % 7)
        .map(|host| (host, fleet.open(host, "small", "aged")))
        .collect();
    let start = fleet.now;
    let mut sent = 0;
    let (mut tokens, mut refilled, mut expected) = (30.0_f64, start, 0);
    while fleet.now - start < 30_000_000 {
        let pick = match rng.random::<f64>() < 0.5 {
            true => rng.random_range(0..callers.len() / 7) * 7 + rng.random_range(0..2),
            false => rng.random_range(0..callers.len()),
        };
        let (host, caller) = callers[pick];
        fleet.send(host, caller, read());
        sent += 1;
        tokens = (tokens + (fleet.now - refilled) as f64 * 30.0 / 1e6).min(30.0);
        refilled = fleet.now;
        if tokens >= 1.0 {
            tokens -= 1.0;
        } else {
            expected += 1;
        }
        let wait = -rng.random::<f64>().max(1e-9).ln() / (30.0 * load);
        fleet.run(Duration::from_secs_f64(wait));
    }
    fleet.run(millis(1_000));
    let mut refused = 0;
    for (host, caller) in callers {
        while let Some(received) = fleet.take_response(host, caller) {
            refused +=
                usize::from(received.response.verdict.fate != request_verdict::RequestFate::Ran);
        }
    }
    assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
    (refused as f64 - f64::from(expected)).max(0.0) / f64::from(sent)
}

/// Guards against refusals below the rate, which arise when tokens lie on hosts that get no
/// requests: at 0.6 and 0.9 of the rate fewer than one request in a thousand is wrongly refused.
#[test]
fn account_within_its_rate_is_not_refused() {
    for load in [0.6, 0.9] {
        let fractions: Vec<f64> = (0..4).map(|seed| wrongly_refused_fraction(load, seed)).collect();
        let mean = fractions.iter().sum::<f64>() / fractions.len() as f64;
        assert!(
            mean < 0.001,
            "fraction {mean} wrongly refused at {load} of the rate, by seed: {fractions:?}"
        );
    }
}
