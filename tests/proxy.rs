//! Scenarios of the proxy core in virtual time, held against the truth of the fakes.

#[allow(dead_code, reason = "each test program uses its part of the fakes")]
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

/// Names each case and runs it on a settled fleet.
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

fn start_fleet(hosts: usize, seed: u64) -> ProxyFleet {
    let accounts = [("large", 400.0, 400.0), ("small", 20.0, 20.0)];
    let mut fleet = ProxyFleet::new(hosts, &accounts, seed);
    fleet.run(Duration::from_millis(1_500));
    fleet
}

fn is_served(
    fleet: &mut ProxyFleet,
    host: usize,
    caller: u64,
    request: session_request::SessionRequest,
) -> bool {
    let received = fleet.send_and_wait(host, caller, request);
    let received = received.unwrap_or_else(|| panic!("no answer for 3 s at host {host}"));
    received.ran()
}

/// Whether some host knows that a primary is being appointed.
fn is_promoting(fleet: &ProxyFleet) -> bool {
    (0..4).any(|host| {
        let groups = &fleet.core(host).context().groups;
        groups.values().any(|group| {
            let record = group.record.as_ref();
            record.is_some_and(|record| record.phase == store_record::GroupPhase::Promoting)
        })
    })
}

/// Time until a write is served again, by asking every 20 ms.
fn write_outage(fleet: &mut ProxyFleet, host: usize, caller: u64) -> Duration {
    let start = fleet.now;
    for _ in 0..1_500 {
        if is_served(fleet, host, caller, write()) {
            return Duration::from_micros(fleet.now - start);
        }
        fleet.run(millis(20));
    }
    panic!("no write was served for 30 s");
}

cases! {
    every_host_serves_within_two_seconds_of_start: |fleet| {
        for host in 0..4 {
            assert!(fleet.ready(host), "host {host}");
            let caller = fleet.open(host, "large", "strict");
            assert!(is_served(fleet, host, caller, write()));
            assert!(is_served(fleet, host, caller, read()));
        }
    };
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
    transaction_runs_on_one_connection: |fleet| {
        let caller = fleet.open(0, "large", "strict");
        assert!(is_served(fleet, 0, caller, session_request::SessionRequest::Begin { read_only: false }));
        assert!(is_served(fleet, 0, caller, write()));
        assert!(is_served(fleet, 0, caller, read()));
        assert!(is_served(fleet, 0, caller, session_request::SessionRequest::Commit));
        assert_eq!(fleet.databases["db0"].log.len(), 1);
    };
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
    crashed_primary_is_replaced_within_seventeen_seconds: |fleet| {
        let caller = fleet.open(2, "large", "strict");
        assert!(is_served(fleet, 2, caller, write()));
        fleet.crash("db0", false);
        let outage = write_outage(fleet, 2, caller);
        assert!(outage < Duration::from_secs(17), "{outage:?}");
        assert_ne!(fleet.primary_id(), "db0");
    };
    failover_survives_death_of_the_coordinator: |fleet| {
        let holder = (0..4)
            .find(|host| fleet.core(*host).context().coordinator_token().is_some())
            .expect("a holder");
        let host = (holder + 1) % 4;
        let caller = fleet.open(host, "large", "strict");
        fleet.kill_host(holder);
        fleet.crash("db0", true);
        let outage = write_outage(fleet, host, caller);
        assert!(outage < Duration::from_secs(17), "{outage:?}");
    };
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
    evacuation_moves_the_primary_to_another_data_centre: |fleet| {
        let caller = fleet.open(0, "large", "strict");
        assert!(is_served(fleet, 0, caller, write()));
        fleet.evacuate("centre0", true);
        fleet.run(millis(3_500));
        assert_ne!(fleet.primary_id(), "db0");
        assert!(is_served(fleet, 0, caller, write()));
    };
    writes_succeed_while_store_is_unresponsive: |fleet| {
        let caller = fleet.open(0, "large", "strict");
        fleet.store.mode = fake_store::StoreMode::Unresponsive;
        for _ in 0..40 {
            assert!(is_served(fleet, 0, caller, write()));
            fleet.run(millis(100));
        }
    };
    withdrawn_key_is_rejected_on_open_and_new_sessions: |fleet| {
        let caller = fleet.open(0, "small", "aged");
        assert!(is_served(fleet, 0, caller, read()));
        fleet.reconfigure(|config| config.keys.retain(|_, account| account != "small"));
        fleet.run(millis(100));
        let received = fleet.send_and_wait(0, caller, read()).expect("an answer");
        assert_eq!(received.response.verdict.cause, request_verdict::VerdictCause::KeyRejected);
        let late = fleet.open(1, "small", "aged");
        assert!(fleet.refusal(1, late).is_some());
    };
    compacted_store_history_does_not_hide_a_configuration: |fleet| {
        fleet.compact_store();
        fleet.reconfigure(|config| config.routes.retain(|name, _| name != "aged"));
        fleet.run(millis(300));
        let caller = fleet.open(0, "large", "aged");
        assert!(fleet.refusal(0, caller).is_some());
    };
    stopping_host_completes_open_transactions: |fleet| {
        let caller = fleet.open(0, "large", "strict");
        assert!(is_served(fleet, 0, caller, session_request::SessionRequest::Begin { read_only: false }));
        assert!(is_served(fleet, 0, caller, write()));
        fleet.stop_host(0);
        fleet.run(millis(500));
        assert!(is_served(fleet, 0, caller, session_request::SessionRequest::Commit));
        fleet.run(millis(5_000));
        assert!(fleet.stopped(0));
    };
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
    lost_watches_are_reopened: |fleet| {
        fleet.store.drop_watches();
        fleet.reconfigure(|config| config.keys.clear());
        // The configuration has to be in force within 3 s.
        fleet.run(millis(2_500));
        for host in 0..4 {
            let caller = fleet.open(host, "large", "aged");
            let refusal = fleet.refusal(host, caller).expect("a refusal");
            assert_eq!(refusal.cause, request_verdict::VerdictCause::KeyRejected, "host {host}");
        }
    };
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
        // It comes back as if it were new.
        fleet.restart("db2");
        fleet.run(millis(1_000));
        assert_eq!(fleet.core(0).context().endpoints.len(), 3);
        assert!(is_served(fleet, 0, caller, read()));
    };
    host_about_to_exit_rejects_new_sessions: |fleet| {
        fleet.stop_host(0);
        fleet.run(millis(2_350));
        let caller = fleet.open(0, "large", "strict");
        let refusal = fleet.refusal(0, caller).expect("a refusal");
        assert_eq!(refusal.cause, request_verdict::VerdictCause::Draining);
        assert!(refusal.retry_after.is_some());
    };
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

/// A read that waited for a link is held to what is proved when it is sent, not when it was placed.
#[test]
fn queued_read_is_checked_for_age_when_it_is_sent() {
    let mut fleet = start_fleet(4, 3);
    let callers: Vec<u64> = (0..40).map(|_| fleet.open(3, "large", "aged")).collect();
    let writer = fleet.open(0, "large", "strict");
    // Replicas fall far behind and slow down, and the host loses sight of the primary.
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

/// What peers heard from a host's last process says nothing about the clock of its next one.
#[test]
fn restarted_host_ignores_echoes_of_its_previous_clock() {
    // A pulse has to fall between the start and the moment at which peers learn of it.
    for seed in 0..40 {
        check_restart_with_earlier_clock(seed);
    }
}

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

/// An account that asks for twice its rate, unevenly over the hosts, gets most of it and no more.
#[test]
fn account_over_its_rate_gets_its_rate() {
    let mut fleet = start_fleet(7, 5);
    let mut rng = SmallRng::seed_from_u64(9);
    let callers: Vec<(usize, u64)> = (0..28)
        .map(|number| number % 7)
        .map(|host| (host, fleet.open(host, "small", "aged")))
        .collect();
    let start = fleet.now;
    let span = Duration::from_secs(30);
    while fleet.now - start < span.as_micros() as u64 {
        // Two hosts out of seven get half of the requests.
        let pick = match rng.random::<f64>() < 0.5 {
            true => rng.random_range(0..callers.len() / 14) * 7 + rng.random_range(0..2),
            false => rng.random_range(0..callers.len()),
        };
        let (host, caller) = callers[pick];
        fleet.send(host, caller, read());
        fleet.run(Duration::from_micros((rng.random::<f64>() * 50_000.0) as u64));
    }
    let served = fleet.executions.get("small").map_or(0, Vec::len) as f64;
    let allowed = 20.0 * span.as_secs_f64();
    assert!(served >= 0.9 * allowed, "{served} of {allowed}");
    let most = fleet.max_executions_within("small", Duration::from_secs(5));
    assert!(most as f64 <= 20.0 * 5.0 + 20.0, "{most} in 5 s");
    assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
}

#[test]
fn required_point_comes_from_the_first_later_sample() {
    let mut log = position_history::PositionHistory::default();
    let at = quetzaldeal::core::clock_time::ClockTime::from_millis;
    let point = |position| endpoint_message::LogPoint { term: 1, position };
    for (asked, position) in [(100, 5), (200, 5), (300, 5), (400, 9)] {
        log.push(position_history::PositionSample {
            requested_at: at(asked),
            point: point(position),
        });
    }
    assert_eq!(log.required(at(50)), Some(point(5)));
    assert_eq!(log.required(at(300)), Some(point(5)));
    assert_eq!(log.required(at(301)), Some(point(9)));
    assert_eq!(log.required(at(401)), None);
}

#[test]
fn write_without_a_primary_is_refused_at_once_with_a_retry_time() {
    let mut fleet = start_fleet(4, 7);
    let caller = fleet.open(0, "large", "strict");
    for id in ["db0", "db1", "db2"] {
        fleet.crash(id, true);
    }
    fleet.run(millis(3_000));
    let start = fleet.now;
    let received = fleet.send_and_wait(0, caller, write()).expect("an answer");
    assert_eq!(received.response.verdict.fate, request_verdict::RequestFate::NotRun);
    assert!(received.response.verdict.retry_after.is_some());
    assert!(received.at - start < 100_000, "held back for {} us", received.at - start);
    assert_eq!(received.response.phase, endpoint_command::SessionPhase::Idle);
}

/// Plays `share` of an account's rate of 30 a second, half of it on two of seven hosts; returns the
/// part that was refused beyond what one undivided bucket refuses of the same requests.
fn wrongly_refused_fraction(share: f64, seed: u64) -> f64 {
    let accounts = [("large", 400.0, 400.0), ("small", 30.0, 30.0)];
    let mut fleet = ProxyFleet::new(7, &accounts, seed);
    fleet.run(millis(3_000));
    let mut rng = SmallRng::seed_from_u64(seed);
    let callers: Vec<(usize, u64)> = (0..70)
        .map(|number| number % 7)
        .map(|host| (host, fleet.open(host, "small", "aged")))
        .collect();
    let start = fleet.now;
    let mut asked = 0;
    let (mut tokens, mut refilled, mut due) = (30.0_f64, start, 0);
    while fleet.now - start < 30_000_000 {
        let pick = match rng.random::<f64>() < 0.5 {
            true => rng.random_range(0..callers.len() / 7) * 7 + rng.random_range(0..2),
            false => rng.random_range(0..callers.len()),
        };
        let (host, caller) = callers[pick];
        fleet.send(host, caller, read());
        asked += 1;
        tokens = (tokens + (fleet.now - refilled) as f64 * 30.0 / 1e6).min(30.0);
        refilled = fleet.now;
        if tokens >= 1.0 {
            tokens -= 1.0;
        } else {
            due += 1;
        }
        let wait = -rng.random::<f64>().max(1e-9).ln() / (30.0 * share);
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
    (refused as f64 - f64::from(due)).max(0.0) / f64::from(asked)
}

/// Fewer than one request in a thousand is refused below 0.9 of a rate, however uneven.
#[test]
fn account_within_its_rate_is_not_refused() {
    for share in [0.6, 0.9] {
        let fractions: Vec<f64> =
            (0..4).map(|seed| wrongly_refused_fraction(share, seed)).collect();
        let mean = fractions.iter().sum::<f64>() / fractions.len() as f64;
        assert!(mean < 0.001, "{mean} refused at {share} of the rate: {fractions:?}");
    }
}
