//! Tests of serving hosts, which hold the connections to endpoints where hosts are more than
//! connections. Runs in virtual time against fake databases.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a panic fails the test")]

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use std::time::Duration;

use proxy_fakes::{PartitionSide, ProxyFleet, millis, read, write};
use quetzaldeal::core::request_verdict;
use quetzaldeal::proxy::proxy_tuning;
use quetzaldeal::proxy::serving_hosts;
use quetzaldeal::proxy::session_request;

/// Hosts of the fleet, before one group of three databases with 30 connections each.
const HOSTS: usize = 32;
/// Connections that each database accepts.
const CONNECTIONS: usize = 30;
/// Most connections that may be opened for each request.
const OPENED_PER_REQUEST_MAX: f64 = 0.15;
/// Time within which a caller has a response, the timeout of the routes and one round trip.
const RESPONSE_MAX_US: u64 = 850_000;
/// Time after which a write runs again at the latest when a serving host is silent: the first
/// response is awaited before the next write, which finds the silence within 0.8 s (a ping after
/// 0.2 s, its timeout of 0.4 s, two periodic checks), and a last wait for a lease may have begun.
const SILENCE_RECOVERY: Duration = Duration::from_millis(850 + 800 + 250 + 50);
/// Moments of a statement at which something fails, in milliseconds after it was sent: the lease is
/// asked for, granted, the statement sent, run and answered.
const MOMENTS_MS: [u64; 7] = [0, 1, 2, 4, 7, 10, 14];

/// Declares a test for each name, which runs on a fleet that serves already.
macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let run: fn(&mut ProxyFleet) = $body;
                let mut fleet = start_fleet(HOSTS);
                run(&mut fleet);
                check(&fleet);
            }
        )*
    };
}

/// Declares a test for each name, which runs on a fleet of its own for each moment of a statement.
macro_rules! moments {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let run: fn(&mut ProxyFleet, u64) = $body;
                for moment in MOMENTS_MS {
                    let mut fleet = start_fleet(HOSTS);
                    run(&mut fleet, moment);
                    check(&fleet);
                }
            }
        )*
    };
}

fn check(fleet: &ProxyFleet) {
    assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
    for (id, most) in &fleet.connections_most {
        assert!(*most <= CONNECTIONS, "{most} connections at {id}");
    }
}

fn account(number: usize) -> String {
    format!("account{}", number % 24)
}

fn start_fleet(hosts: usize) -> ProxyFleet {
    let names: Vec<String> = (0..24).map(account).collect();
    let accounts: Vec<(&str, f64, f64)> =
        names.iter().map(|name| (name.as_str(), 500.0, 500.0)).collect();
    let tuning = proxy_tuning::ProxyTuning { serving_below: 2.0, ..Default::default() };
    let mut fleet = ProxyFleet::with_tuning(hosts, &accounts, 1, tuning);
    fleet.run(millis(4_000));
    fleet
}

/// Returns the host that serves the primary.
fn serving_host(fleet: &ProxyFleet) -> usize {
    let ctx = fleet.core(0).context();
    let endpoint = ctx.endpoint_names[&fleet.primary_id()];
    let member = serving_hosts::choose(ctx, endpoint).unwrap();
    member.record.host.trim_start_matches("host").parse().unwrap()
}

/// Returns the serving host of the primary, and another host with a caller of a strict route that
/// has written once.
fn warm_up(fleet: &mut ProxyFleet) -> (usize, usize, u64) {
    let serving = serving_host(fleet);
    let host = (serving + 5) % HOSTS;
    let caller = fleet.open(host, &account(3), "strict");
    assert_ran(fleet, host, caller, write());
    assert!(fleet.linked_hosts().contains(&serving));
    (serving, host, caller)
}

fn assert_ran(
    fleet: &mut ProxyFleet,
    host: usize,
    caller: u64,
    request: session_request::SessionRequest,
) {
    let received = fleet.send_and_wait(host, caller, request).unwrap();
    assert!(received.ran(), "{:?}", received.response);
}

/// Sends a write, lets `fail` happen at a moment, and asserts that the caller has a response in
/// time and writes again within `recovery`.
fn write_through_failure(
    fleet: &mut ProxyFleet,
    (host, caller): (usize, u64),
    moment_ms: u64,
    fail: impl FnOnce(&mut ProxyFleet),
    recovery: Duration,
) {
    let sent_at = fleet.now;
    fleet.send(host, caller, write());
    fleet.run(millis(moment_ms));
    fail(fleet);
    let failed_at = fleet.now;
    fleet.run(Duration::from_micros(RESPONSE_MAX_US));
    let received = fleet.take_response(host, caller).expect("response in time");
    assert!(received.at - sent_at <= RESPONSE_MAX_US, "after {} us", received.at - sent_at);
    let recovered_at = (0..200).find_map(|_| {
        let at = fleet.now;
        let ran = fleet.send_and_wait(host, caller, write()).is_some_and(|received| received.ran());
        fleet.run(millis(20));
        ran.then_some(at)
    });
    let recovered_at = recovered_at.expect("a write that ran");
    let outage = Duration::from_micros(recovered_at - failed_at);
    assert!(outage <= recovery, "no write for {outage:?}");
}

fn begin(fleet: &mut ProxyFleet, host: usize, caller: u64) {
    assert_ran(fleet, host, caller, session_request::SessionRequest::Begin { read_only: false });
    assert_ran(fleet, host, caller, write());
}

/// Sends reads and writes of all accounts from all hosts. Returns how many were sent, and how many
/// of them did not run.
fn load(fleet: &mut ProxyFleet, rounds: usize) -> (usize, usize) {
    let callers: Vec<(usize, u64)> = (0..HOSTS * 3)
        .map(|number| {
            let database = if number % 4 == 0 { "strict" } else { "aged" };
            (number % HOSTS, fleet.open(number % HOSTS, &account(number * 7), database))
        })
        .collect();
    for round in 0..rounds {
        for (number, (host, caller)) in callers.iter().enumerate() {
            let request = if (round + number) % 8 == 0 { write() } else { read() };
            fleet.send(*host, *caller, request);
            if number % 4 == 3 {
                fleet.run(millis(8));
            }
        }
    }
    fleet.run(millis(1_000));
    let mut unserved = 0;
    for (host, caller) in &callers {
        while let Some(received) = fleet.take_response(*host, *caller) {
            unserved += usize::from(!received.ran());
        }
    }
    (rounds * callers.len(), unserved)
}

cases! {
    // Answers 70,949 connections for 79,830 requests of 86 accounts on 88 hosts.
    few_connections_are_opened_for_each_request: |fleet| {
        fleet.limit_databases(6, millis(8));
        let before: usize = fleet.connections_opened.values().sum();
        let (sent, unserved) = load(fleet, 12);
        let opened = fleet.connections_opened.values().sum::<usize>() - before;
        let share = opened as f64 / sent as f64;
        assert!(share < OPENED_PER_REQUEST_MAX, "{opened} connections for {sent} requests");
        assert!(unserved * 100 <= sent, "{unserved} of {sent} did not run");
    };
    settings_and_prepared_statements_follow_the_session: |fleet| {
        let callers: Vec<(usize, u64)> =
            (0..12).map(|host| (host, fleet.open(host, &account(1), "aged"))).collect();
        for (host, caller) in &callers {
            let (name, value) = ("tone".to_owned(), format!("tone{host}"));
            if host % 3 != 0 {
                let set = session_request::SessionRequest::Set { name, value };
                assert_ran(fleet, *host, *caller, set);
            }
            let kind = session_request::StatementKind::Read;
            let (name, shape) = ("s".to_owned(), format!("READ {}", host % 2));
            let prepare = session_request::SessionRequest::Prepare { name, kind, shape };
            assert_ran(fleet, *host, *caller, prepare);
        }
        for _ in 0..4 {
            for (host, caller) in &callers {
                let (name, arguments) = ("s".to_owned(), "1".to_owned());
                let execute = session_request::SessionRequest::Execute { name, arguments };
                assert_ran(fleet, *host, *caller, execute);
                assert_ran(fleet, *host, *caller, read());
            }
        }
        assert!(fleet.pool_requests > 0);
    };
    transactions_keep_their_connection: |fleet| {
        let (_, host, caller) = warm_up(fleet);
        let other = fleet.open(host, &account(3), "strict");
        begin(fleet, host, caller);
        assert_ran(fleet, host, other, write());
        fleet.run(millis(1_500));
        assert_ran(fleet, host, caller, read());
        assert_ran(fleet, host, caller, session_request::SessionRequest::Commit);
        begin(fleet, host, caller);
        assert_ran(fleet, host, caller, session_request::SessionRequest::Rollback);
        assert_ran(fleet, host, caller, write());
    };
    transaction_ends_with_its_serving_host: |fleet| {
        let (serving, host, caller) = warm_up(fleet);
        begin(fleet, host, caller);
        fleet.kill_host(serving);
        fleet.run(millis(50));
        let commit = session_request::SessionRequest::Commit;
        let received = fleet.send_and_wait(host, caller, commit).unwrap();
        let fate = received.response.verdict.fate;
        assert_eq!(fate, request_verdict::RequestFate::NotRun);
        begin(fleet, host, caller);
        assert_ran(fleet, host, caller, session_request::SessionRequest::Commit);
    };
    serving_host_restarts: |fleet| {
        let (serving, host, caller) = warm_up(fleet);
        for _ in 0..3 {
            fleet.kill_host(serving);
            fleet.run(millis(300));
            assert_ran(fleet, host, caller, write());
            fleet.start_host(serving, Duration::ZERO);
            for _ in 0..100 {
                assert_ran(fleet, host, caller, write());
                fleet.run(millis(20));
            }
        }
    };
    serving_host_stops_as_planned: |fleet| {
        let (serving, host, caller) = warm_up(fleet);
        begin(fleet, host, caller);
        fleet.stop_host(serving);
        assert_ran(fleet, host, caller, session_request::SessionRequest::Commit);
        for _ in 0..400 {
            assert_ran(fleet, host, caller, write());
            fleet.run(millis(15));
        }
        assert!(fleet.stopped(serving));
    };
    // Hosts that know other members choose other serving hosts.
    two_hosts_serve_an_endpoint: |fleet| {
        let (serving, host, caller) = warm_up(fleet);
        let cut: Vec<usize> = (0..HOSTS).filter(|other| other % 2 == 0 && *other != serving).collect();
        for other in &cut {
            fleet.partition(PartitionSide::Host(*other), PartitionSide::Host(serving));
        }
        // The hosts that are cut off find that out with their first requests.
        load(fleet, 4);
        let (sent, unserved) = load(fleet, 4);
        assert!(unserved * 20 <= sent, "{unserved} of {sent} did not run");
        assert_ran(fleet, host, caller, write());
    };
    lost_answers_are_not_called_not_run: |fleet| {
        let (_, host, caller) = warm_up(fleet);
        fleet.response_loss = 0.3;
        for _ in 0..40 {
            fleet.send_and_wait(host, caller, write()).unwrap();
            begin_and_commit(fleet, host, caller);
        }
    };
    host_that_serves_an_endpoint_leases_from_itself: |fleet| {
        let serving = serving_host(fleet);
        let before = fleet.pool_requests;
        let caller = fleet.open(serving, &account(2), "strict");
        for _ in 0..5 {
            assert_ran(fleet, serving, caller, write());
        }
        assert_eq!(fleet.pool_requests, before);
        assert!(fleet.core(serving).context().counts.leases_asked >= 5);
    };
}

fn begin_and_commit(fleet: &mut ProxyFleet, host: usize, caller: u64) {
    for request in [
        session_request::SessionRequest::Begin { read_only: false },
        write(),
        session_request::SessionRequest::Commit,
    ] {
        fleet.send_and_wait(host, caller, request).unwrap();
    }
    // The transaction may have failed before its COMMIT.
    fleet.send_and_wait(host, caller, session_request::SessionRequest::Rollback).unwrap();
}

moments! {
    serving_host_is_killed: |fleet, moment| {
        let (serving, host, caller) = warm_up(fleet);
        let fail = |fleet: &mut ProxyFleet| fleet.kill_host(serving);
        write_through_failure(fleet, (host, caller), moment, fail, millis(1_000));
    };
    serving_host_is_killed_during_commit: |fleet, moment| {
        let (serving, host, caller) = warm_up(fleet);
        begin(fleet, host, caller);
        fleet.send(host, caller, session_request::SessionRequest::Commit);
        fleet.run(millis(moment));
        fleet.kill_host(serving);
        fleet.run(Duration::from_micros(RESPONSE_MAX_US));
        assert!(fleet.take_response(host, caller).is_some());
        assert_ran(fleet, host, caller, write());
    };
    serving_host_is_frozen: |fleet, moment| {
        let (serving, host, caller) = warm_up(fleet);
        let fail = |fleet: &mut ProxyFleet| fleet.freeze_host(serving, millis(3_000));
        write_through_failure(fleet, (host, caller), moment, fail, SILENCE_RECOVERY);
        fleet.run(millis(4_000));
        assert_ran(fleet, host, caller, write());
    };
    serving_host_is_cut_from_the_callers_host: |fleet, moment| {
        let (serving, host, caller) = warm_up(fleet);
        let fail = |fleet: &mut ProxyFleet| {
            fleet.partition(PartitionSide::Host(host), PartitionSide::Host(serving));
        };
        write_through_failure(fleet, (host, caller), moment, fail, SILENCE_RECOVERY);
        fleet.heal_partitions();
        fleet.run(millis(4_000));
        assert_ran(fleet, host, caller, write());
    };
    serving_host_is_cut_from_the_endpoint: |fleet, moment| {
        let (serving, host, caller) = warm_up(fleet);
        let fail = |fleet: &mut ProxyFleet| {
            let database = PartitionSide::Database(fleet.primary_id());
            fleet.partition(PartitionSide::Host(serving), database);
        };
        write_through_failure(fleet, (host, caller), moment, fail, SILENCE_RECOVERY);
    };
    links_are_reset: |fleet, moment| {
        let (serving, host, caller) = warm_up(fleet);
        let fail = |fleet: &mut ProxyFleet| fleet.reset_host_links(serving);
        write_through_failure(fleet, (host, caller), moment, fail, millis(1_000));
    };
}

#[test]
fn small_fleet_sends_no_pool_message() {
    let mut fleet = start_fleet(9);
    for host in 0..9 {
        let caller = fleet.open(host, &account(host), "strict");
        assert_ran(&mut fleet, host, caller, write());
        assert_ran(&mut fleet, host, caller, read());
    }
    assert_eq!(fleet.pool_requests, 0);
    assert_eq!(fleet.sum(|counts| counts.leases_asked), 0);
    check(&fleet);
}
