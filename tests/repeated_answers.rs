//! Databases that send answers twice, at once or late. Runs in virtual time; the fakes report
//! answers that callers get for other requests, false promises and reads that are too old.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a panic fails the test")]

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use std::collections::BTreeMap;
use std::time::Duration;

use proxy_fakes::fake_stutter::AnswerKind::{Error, Plain, Signed, StartUp, Status};
use proxy_fakes::fake_stutter::{AnswerKind, FakeStutter};
use proxy_fakes::{ProxyFleet, millis, read, write};
use quetzaldeal::proxy::endpoint_command;
use quetzaldeal::proxy::proxy_tuning;
use quetzaldeal::proxy::session_request::{SessionRequest, StatementKind};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Hosts that hold connections themselves.
const HOSTS: usize = 4;
/// Hosts of a fleet whose connections are held by serving hosts: more than the witnesses, and than
/// half of the 20 connections that they share.
const HOSTS_SERVED: usize = 12;
/// Delays of a repetition, in milliseconds: into the command in flight, the next ones, and up to the
/// longest.
const DELAYS_MS: [u64; 9] = [1, 4, 8, 13, 21, 47, 97, 180, 300];
/// How long callers send in each fleet, in milliseconds.
const LOAD_MS: u64 = 700;

/// Cases of the random test in CI.
const CASES_IN_CI: u64 = 12;

/// Declares a module for each name, with tests where answers are repeated not at all, at once and
/// late, to hosts that hold connections themselves and through serving hosts.
macro_rules! repetitions {
    ($($name:ident($kinds:expr): $prepare:expr, $scripts:expr;)*) => {
        $(
            mod $name {
                #[allow(unused_imports, reason = "not all cases name all kinds")]
                use super::*;

                fn check(hosts: usize, kinds: &[AnswerKind], delays_ms: &[u64]) {
                    let scripts: fn(usize) -> Vec<SessionRequest> = $scripts;
                    check_repetitions(hosts, kinds, delays_ms, $prepare, scripts);
                }

                #[test]
                fn not_at_all() {
                    check(HOSTS, &[], &[0]);
                    check(HOSTS_SERVED, &[], &[0]);
                }

                #[test]
                fn at_once() {
                    check(HOSTS, &$kinds, &[0]);
                }

                #[test]
                fn late() {
                    check(HOSTS, &$kinds, &DELAYS_MS);
                }

                #[test]
                fn at_once_through_a_serving_host() {
                    check(HOSTS_SERVED, &$kinds, &[0]);
                }

                #[test]
                fn late_through_a_serving_host() {
                    check(HOSTS_SERVED, &$kinds, &DELAYS_MS);
                }
            }
        )*
    };
}

/// Declares a test for each name, which runs on a fleet that serves already.
macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let run: fn(&mut ProxyFleet) = $body;
                let mut fleet = start_fleet(HOSTS);
                run(&mut fleet);
                assert!(fleet.violations.is_empty(), "{:#?}", few(&fleet.violations));
            }
        )*
    };
}

/// A caller that sends the requests of a script in turn, each after the response to the one before.
#[derive(Debug)]
struct ScriptCaller {
    host: usize,
    caller: u64,
    script: Vec<SessionRequest>,
    next: usize,
    /// When it sent the request without a response.
    sent_at: Option<u64>,
    ran: usize,
}

impl ScriptCaller {
    fn open(
        fleet: &mut ProxyFleet,
        (host, database): (usize, &str),
        script: Vec<SessionRequest>,
    ) -> Self {
        let caller = fleet.open(host, "large", database);
        Self { host, caller, script, next: 0, sent_at: None, ran: 0 }
    }

    /// Takes the response to its request and sends the next one; rolls a failed transaction back.
    fn step(&mut self, fleet: &mut ProxyFleet) {
        if let Some(sent_at) = self.sent_at {
            let Some(received) = fleet.take_response(self.host, self.caller) else {
                assert!(fleet.now - sent_at < 3_000_000, "no response within 3 s");
                return;
            };
            self.sent_at = None;
            self.ran += usize::from(received.ran());
            if received.response.phase == endpoint_command::SessionPhase::Failed {
                self.next = 0;
                return self.send(fleet, SessionRequest::Rollback);
            }
            let script = self.next % self.script.len();
            if !received.ran() && received.response.phase == endpoint_command::SessionPhase::Idle {
                self.next += self.script.len() - script;
            }
        }
        let request = self.script[self.next % self.script.len()].clone();
        self.next += 1;
        self.send(fleet, request);
    }

    fn send(&mut self, fleet: &mut ProxyFleet, request: SessionRequest) {
        self.sent_at = Some(fleet.now);
        fleet.send(self.host, self.caller, request);
    }
}

/// Lets callers send for a while; `each` runs every millisecond. Returns how many requests ran.
fn load(
    fleet: &mut ProxyFleet,
    callers: &mut [ScriptCaller],
    duration_ms: u64,
    mut each: impl FnMut(&mut ProxyFleet),
) -> usize {
    for step in 0..duration_ms {
        for (number, caller) in callers.iter_mut().enumerate() {
            // Callers pause for different times, so that connections are idle now and then.
            if (step + number as u64).is_multiple_of(2 + number as u64 % 5) {
                caller.step(fleet);
            }
        }
        each(fleet);
        fleet.run(millis(1));
    }
    callers.iter().map(|caller| caller.ran).sum()
}

fn few(violations: &[String]) -> Vec<String> {
    violations.iter().take(4).cloned().collect()
}

fn start_fleet(hosts: usize) -> ProxyFleet {
    start_fleet_of(hosts, 1)
}

fn start_fleet_of(hosts: usize, seed: u64) -> ProxyFleet {
    let serving_below = if hosts == HOSTS { 0.0 } else { 2.0 };
    let tuning = proxy_tuning::ProxyTuning { serving_below, ..Default::default() };
    let accounts = [("large", 100_000.0, 100_000.0)];
    let mut fleet = ProxyFleet::with_tuning(hosts, &accounts, seed, tuning);
    fleet.run(millis(if hosts == HOSTS { 1_500 } else { 4_000 }));
    fleet
}

/// Opens callers on all hosts, six on each of four hosts.
fn open_callers(
    fleet: &mut ProxyFleet,
    hosts: usize,
    script: impl Fn(usize) -> Vec<SessionRequest>,
) -> Vec<ScriptCaller> {
    let databases = ["strict", "aged", "own"];
    (0..HOSTS * 6)
        .map(|number| {
            let place = (number % hosts, databases[number / HOSTS % 3]);
            ScriptCaller::open(fleet, place, script(number))
        })
        .collect()
}

/// Sends the scripts while answers of some kinds are repeated after each of the delays. All
/// guarantees hold meanwhile, and every caller is served, then and afterwards.
fn check_repetitions(
    hosts: usize,
    kinds: &[AnswerKind],
    delays_ms: &[u64],
    prepare: fn(&mut ProxyFleet),
    script: fn(usize) -> Vec<SessionRequest>,
) {
    for delay_ms in delays_ms {
        let mut fleet = start_fleet(hosts);
        fleet.stutter_everywhere(&FakeStutter::always(kinds, *delay_ms));
        let mut callers = open_callers(&mut fleet, hosts, script);
        load(&mut fleet, &mut callers, LOAD_MS, |fleet| {
            prepare(fleet);
            if (fleet.now / 1_000).is_multiple_of(10) {
                fleet.check_samples();
            }
        });
        let repeated: usize = kinds.iter().filter_map(|kind| fleet.repeated.get(kind)).sum();
        assert!(repeated > 0 || kinds.is_empty(), "no answer of {kinds:?} was repeated");
        let violations = &fleet.violations;
        assert!(violations.is_empty(), "after {delay_ms} ms: {:#?}", few(violations));
        for caller in &callers {
            assert!(caller.ran > 0, "after {delay_ms} ms: {caller:?} was never served");
        }
        fleet.stutters.clear();
        load(&mut fleet, &mut callers, 400, |_| {});
        let before: Vec<usize> = callers.iter().map(|caller| caller.ran).collect();
        load(&mut fleet, &mut callers, 400, |_| {});
        for (caller, before) in callers.iter().zip(before) {
            assert!(caller.ran > before, "after {delay_ms} ms: {caller:?} is not served");
        }
        let violations = &fleet.violations;
        assert!(violations.is_empty(), "after {delay_ms} ms: {:#?}", few(violations));
    }
}

fn set(name: &str, value: &str) -> SessionRequest {
    SessionRequest::Set { name: name.to_owned(), value: value.to_owned() }
}

fn begin(read_only: bool) -> SessionRequest {
    SessionRequest::Begin { read_only }
}

/// Reads, of which each session has settings of its own.
fn settings(number: usize) -> Vec<SessionRequest> {
    let value = |round: usize| format!("{}", number % 3 + round);
    let mut requests = Vec::new();
    for round in 0..3 {
        requests.extend([set("tone", &value(round)), read(), write(), read()]);
    }
    requests
}

/// Prepared statements, of which each session has its own under the same names.
fn prepared(number: usize) -> Vec<SessionRequest> {
    let prepare = |name: &str, kind| SessionRequest::Prepare {
        name: name.to_owned(),
        kind,
        shape: format!("shape {}", number % 5),
    };
    let execute = |name: &str| {
        let (name, arguments) = (name.to_owned(), "1a4".to_owned());
        SessionRequest::Execute { name, arguments }
    };
    vec![
        prepare("s1", StatementKind::Read),
        prepare("s2", StatementKind::Write),
        execute("s1"),
        execute("s2"),
        execute("s1"),
    ]
}

fn transactions(number: usize) -> Vec<SessionRequest> {
    match number % 3 {
        0 => vec![begin(true), read(), read(), SessionRequest::Commit],
        1 => vec![begin(false), write(), read(), write(), SessionRequest::Commit],
        _ => vec![begin(false), write(), SessionRequest::Rollback, read()],
    }
}

fn mixed(number: usize) -> Vec<SessionRequest> {
    match number % 4 {
        0 => settings(number),
        1 => prepared(number),
        2 => transactions(number),
        _ => vec![read(), write()],
    }
}

/// Has the primary answer its next statement with a fault every 16 ms.
fn reject(fleet: &mut ProxyFleet, fault: endpoint_command::EndpointFault) {
    if (fleet.now / 1_000).is_multiple_of(16) {
        let primary = fleet.primary_id();
        let database = fleet.databases.get_mut(&primary).expect("a primary");
        database.rejections.push_back(fault);
    }
}

/// Has every database answer its next SET, PARSE or BEGIN with a fault every 16 ms.
fn reject_setup(fleet: &mut ProxyFleet, fault: endpoint_command::EndpointFault) {
    if (fleet.now / 1_000).is_multiple_of(16) {
        for database in fleet.databases.values_mut() {
            database.setup_rejections = [fault.clone()].into();
        }
    }
}

repetitions! {
    signed_answer_is_not_taken_for_the_answer_to_the_next_read([Signed]):
        |_| {}, |_| vec![read()];
    signed_answer_is_not_taken_for_the_answer_to_the_next_write([Signed]):
        |_| {}, |_| vec![write()];
    signed_answer_is_not_taken_for_the_answer_to_a_session_command([Signed]):
        |_| {}, settings;
    signed_answer_is_not_taken_for_the_answer_to_a_prepared_statement([Signed]):
        |_| {}, prepared;
    signed_answer_is_not_taken_for_the_answer_to_commit_or_rollback([Signed]):
        |_| {}, transactions;
    plain_answer_does_not_let_statements_run_with_other_settings([Plain]):
        |_| {}, settings;
    plain_answer_is_not_taken_for_the_answer_to_a_prepared_statement([Plain]):
        |_| {}, prepared;
    plain_answer_does_not_let_statements_run_outside_their_transaction([Plain]):
        |_| {}, transactions;
    answer_to_start_up_is_not_taken_for_the_answer_to_the_first_command([StartUp]):
        |_| {}, mixed;
    busy_answer_is_not_a_promise_about_a_write_in_flight([Error]):
        |fleet| reject(fleet, endpoint_command::EndpointFault::Busy), |_| vec![write()];
    busy_answer_is_not_a_promise_about_a_transaction_in_flight([Error]):
        |fleet| reject(fleet, endpoint_command::EndpointFault::Busy), transactions;
    unknown_statement_answer_is_not_a_promise_about_a_write_in_flight([Error]):
        |fleet| reject(fleet, endpoint_command::EndpointFault::UnknownStatement), prepared;
    read_only_answer_is_not_a_promise_about_a_write_in_flight([Error]):
        |fleet| {
            if (fleet.now / 1_000).is_multiple_of(160) {
                reject(fleet, endpoint_command::EndpointFault::ReadOnly);
            }
        },
        |_| vec![write()];
    plain_answer_does_not_hide_that_begin_was_refused([Plain]):
        |fleet| reject_setup(fleet, endpoint_command::EndpointFault::Lagging), transactions;
    plain_answer_does_not_hide_that_begin_was_refused_far_away([Plain]):
        |fleet| {
            fleet.database_latency_us = 15_000;
            reject_setup(fleet, endpoint_command::EndpointFault::ReadOnly);
        },
        transactions;
    plain_answer_does_not_hide_that_a_setting_was_refused_far_away([Plain]):
        |fleet| {
            fleet.database_latency_us = 15_000;
            reject_setup(fleet, endpoint_command::EndpointFault::Busy);
        },
        settings;
    plain_answer_does_not_hide_that_a_setting_was_refused([Plain]):
        |fleet| reject_setup(fleet, endpoint_command::EndpointFault::Busy), settings;
    plain_answer_does_not_hide_that_a_statement_was_not_prepared([Plain]):
        |fleet| reject_setup(fleet, endpoint_command::EndpointFault::Busy), prepared;
    answer_to_a_refused_begin_is_not_a_promise_about_a_write_in_flight([Error]):
        |fleet| reject_setup(fleet, endpoint_command::EndpointFault::Lagging), transactions;
    answer_to_a_refused_setting_is_not_a_promise_about_a_write_in_flight([Error, Plain]):
        |fleet| reject_setup(fleet, endpoint_command::EndpointFault::Busy), settings;
    failure_is_not_passed_on_for_the_next_statement([Error]):
        |fleet| {
            let (code, text) = ("FAILED".to_owned(), String::new());
            reject(fleet, endpoint_command::EndpointFault::Other { code, text });
        },
        mixed;
    answers_of_all_kinds_are_told_apart(AnswerKind::ALL):
        |fleet| reject(fleet, endpoint_command::EndpointFault::Busy), mixed;
}

/// Returns the connections that a calm load opened, without those after an error and for commands of
/// the hosts' own, and the requests that ran.
fn calm_load(hosts: usize, script: fn(usize) -> Vec<SessionRequest>) -> (usize, usize) {
    let mut fleet = start_fleet(hosts);
    let mut callers = open_callers(&mut fleet, hosts, script);
    let ran = load(&mut fleet, &mut callers, 3_000, |_| {});
    assert!(fleet.violations.is_empty(), "{:#?}", few(&fleet.violations));
    let opened: usize = fleet.connections_opened.values().sum();
    let for_commands = fleet.sum(|counts| counts.connections_opened_for_commands) as usize;
    (opened.saturating_sub(fleet.error_answers + for_commands), ran)
}

/// Returns the connections of host 0 to the primary that are for accounts, after a write there.
fn write_once(fleet: &mut ProxyFleet) -> Vec<quetzaldeal::core::arena_keys::ConnectionKey> {
    let caller = fleet.open(0, "large", "strict");
    assert!(fleet.send_and_wait(0, caller, write()).expect("a response").ran());
    fleet.account_connections(0, "db0")
}

cases! {
    idle_connection_without_repeated_answers_stays_open: |fleet| {
        let before = write_once(fleet);
        fleet.run(millis(400));
        assert_eq!((before.len(), fleet.account_connections(0, "db0")), (1, before));
    };
    answer_while_nothing_is_in_flight_ends_the_connection: |fleet| {
        fleet.stutter_everywhere(&FakeStutter::always(&[Signed], 120));
        let before = write_once(fleet);
        assert_eq!(before.len(), 1);
        fleet.run(millis(100));
        assert_eq!(fleet.account_connections(0, "db0"), before);
        fleet.run(millis(50));
        assert!(!fleet.account_connections(0, "db0").contains(&before[0]));
    };
    start_up_answer_while_nothing_is_in_flight_ends_the_connection: |fleet| {
        fleet.stutter_everywhere(&FakeStutter::always(&[StartUp], 120));
        let before = write_once(fleet);
        assert_eq!(before.len(), 1);
        fleet.run(millis(150));
        assert!(!fleet.account_connections(0, "db0").contains(&before[0]));
    };
    answer_while_a_transaction_is_idle_does_not_end_in_a_partial_commit: |fleet| {
        fleet.stutter_everywhere(&FakeStutter::always(&[Signed], 60));
        let caller = fleet.open(0, "large", "strict");
        assert!(fleet.send_and_wait(0, caller, begin(false)).expect("a response").ran());
        assert!(fleet.send_and_wait(0, caller, write()).expect("a response").ran());
        fleet.run(millis(100));
        fleet.send_and_wait(0, caller, write()).expect("a response");
        let commit = fleet.send_and_wait(0, caller, SessionRequest::Commit).expect("a response");
        let written: Vec<usize> =
            fleet.databases["db0"].log.iter().map(|entry| entry.requests.len()).collect();
        assert_eq!(written, if commit.ran() { vec![2] } else { vec![] });
    };
}

/// Refuses the second BEGIN of a connection while the answer to the first one is repeated.
#[test]
fn repeated_begin_answer_lets_no_statement_run_after_a_refused_begin() {
    let mut reused = 0;
    for pause_us in (0..30_000).step_by(100) {
        let mut fleet = start_fleet(HOSTS);
        fleet.run(millis(300));
        fleet.stutter_everywhere(&FakeStutter::always(&[Plain], 25));
        let caller = fleet.open(0, "large", "strict");
        for request in [begin(false), write(), SessionRequest::Commit] {
            assert!(fleet.send_and_wait(0, caller, request).expect("a response").ran());
        }
        let before = fleet.account_connections(0, "db0");
        fleet.run(Duration::from_micros(pause_us));
        let database = fleet.databases.get_mut("db0").expect("a primary");
        database.execution_us = 100;
        database.setup_rejections = [endpoint_command::EndpointFault::Busy].into();
        assert!(fleet.send_and_wait(0, caller, begin(false)).expect("a response").ran());
        reused += usize::from(!before.is_empty());
        fleet.send_and_wait(0, caller, write()).expect("a response");
        fleet.run(millis(100));
        let violations = &fleet.violations;
        assert!(violations.is_empty(), "after a pause of {pause_us} us: {:#?}", few(violations));
    }
    assert!(reused > 0);
}

/// A database that only fails some statements, or repeats answers, is not recorded as unresponsive.
fn check_endpoints_responsive(hosts: usize, kinds: &[AnswerKind]) {
    let mut fleet = start_fleet(hosts);
    fleet.run(millis(300));
    fleet.stutter_everywhere(&FakeStutter::always(kinds, 0));
    let mut callers = open_callers(&mut fleet, hosts, settings);
    let mut unresponsive = BTreeMap::new();
    load(&mut fleet, &mut callers, 700, |fleet| {
        let (code, text) = ("FAILED".to_owned(), String::new());
        reject(fleet, endpoint_command::EndpointFault::Other { code, text });
        for host in 0..hosts {
            for view in fleet.core(host).context().endpoints.values() {
                if view.unresponsive_since.is_some() {
                    *unresponsive.entry((host, view.entry.id.clone())).or_insert(0) += 1;
                }
            }
        }
    });
    assert!(unresponsive.is_empty(), "milliseconds, by host and endpoint: {unresponsive:?}");
}

#[test]
fn failed_statements_are_no_sign_of_an_unresponsive_endpoint() {
    check_endpoints_responsive(HOSTS, &[]);
}

#[test]
fn failed_statements_through_a_serving_host_are_no_sign_of_an_unresponsive_endpoint() {
    check_endpoints_responsive(HOSTS_SERVED, &[]);
}

#[test]
fn repeated_errors_through_a_serving_host_are_no_sign_of_an_unresponsive_endpoint() {
    check_endpoints_responsive(HOSTS_SERVED, &[Error, Plain]);
}

/// Lets every host write for `duration_ms`; no host takes a status for newer than it is.
fn write_on_all(fleet: &mut ProxyFleet, duration_ms: u64) {
    let mut callers: Vec<ScriptCaller> =
        (0..HOSTS).map(|host| ScriptCaller::open(fleet, (host, "strict"), vec![write()])).collect();
    load(fleet, &mut callers, duration_ms, ProxyFleet::check_reports);
}

/// Repeats answers while a failover replaces the primary of a group with one synchronous replica,
/// whose replicas lag so that the failover waits for one of them. The databases are far away, so
/// that a repetition often meets the next command.
fn check_failover(kinds: &[AnswerKind], fail: fn(&mut ProxyFleet)) {
    let delays_ms: Vec<u64> = match kinds {
        [] => vec![0],
        _ => (0..=300).step_by(10).collect(),
    };
    for delay_ms in delays_ms {
        let mut fleet = start_fleet(HOSTS);
        fleet.database_latency_us = 20_000;
        fleet.replicate_synchronously(1);
        fleet.run(millis(500));
        fleet.stutter_everywhere(&FakeStutter::always(kinds, delay_ms));
        set_lag(&mut fleet, 1_050);
        write_on_all(&mut fleet, 1_200);
        fail(&mut fleet);
        write_on_all(&mut fleet, 300);
        set_lag(&mut fleet, 20);
        write_on_all(&mut fleet, 5_000);
        let repeated: usize = kinds.iter().filter_map(|kind| fleet.repeated.get(kind)).sum();
        assert!(repeated > 0 || kinds.is_empty(), "no answer of {kinds:?} was repeated");
        assert_ne!(fleet.primary_id(), "db0", "after {delay_ms} ms");
        assert_eq!(fleet.lost_writes, 0, "after {delay_ms} ms");
        let violations = &fleet.violations;
        assert!(violations.is_empty(), "after {delay_ms} ms: {:#?}", few(violations));
    }
}

fn set_lag(fleet: &mut ProxyFleet, lag_ms: u64) {
    for id in ["db1", "db2"] {
        if let Some(database) = fleet.databases.get_mut(id) {
            database.replication_lag_us = lag_ms * 1_000;
        }
    }
}

#[test]
fn failovers_without_repeated_answers_lose_nothing() {
    check_failover(&[], |fleet| fleet.register("db0", true));
    check_failover(&[], |fleet| fleet.crash("db0", false));
    check_failover(&[], |fleet| fleet.evacuate("centre0", true));
}

#[test]
fn repeated_status_of_a_draining_primary_promotes_no_replica_without_its_last_commits() {
    check_failover(&[Status], |fleet| fleet.register("db0", true));
}

#[test]
fn repeated_status_after_a_crash_promotes_no_replica_without_acknowledged_commits() {
    check_failover(&[Status], |fleet| fleet.crash("db0", false));
}

#[test]
fn repeated_answers_during_a_failover_promote_no_replica_without_acknowledged_commits() {
    check_failover(&[Status, Plain, Signed], |fleet| fleet.evacuate("centre0", true));
}

/// Probes an idle primary while another host writes. Repetitions may be held up by the network, so
/// that they meet the next probe.
#[test]
fn repeated_answer_to_a_probe_is_no_newer_position_of_the_primary() {
    let mut repeated = 0;
    for delay_ms in 380..=420 {
        let mut fleet = start_fleet(HOSTS);
        fleet.stutter_everywhere(&FakeStutter::always(&[Plain], delay_ms));
        let writer = ScriptCaller::open(&mut fleet, (3, "strict"), vec![write()]);
        load(&mut fleet, &mut [writer], 2_000, ProxyFleet::check_samples);
        repeated += fleet.repeated.get(&Plain).copied().unwrap_or(0);
        let violations = &fleet.violations;
        assert!(violations.is_empty(), "after {delay_ms} ms: {:#?}", few(violations));
    }
    assert!(repeated > 0, "no answer was repeated");
}

/// Lets a host read on a slow primary, so that repeated answers meet reads in flight, while another
/// host writes.
#[test]
fn repeated_answer_to_a_read_is_no_newer_position_of_the_primary() {
    for delay_ms in (0..=300).step_by(20) {
        let mut fleet = start_fleet(HOSTS);
        fleet.stutter_everywhere(&FakeStutter::always(&[Signed], delay_ms));
        if let Some(database) = fleet.databases.get_mut("db0") {
            database.execution_us = 60_000;
        }
        let mut callers = vec![
            ScriptCaller::open(&mut fleet, (3, "strict"), vec![write()]),
            ScriptCaller::open(&mut fleet, (0, "strict"), vec![read()]),
        ];
        load(&mut fleet, &mut callers, 1_500, ProxyFleet::check_samples);
        let stale = fleet.violations.iter().filter(|text| text.starts_with("STALE"));
        let stale: Vec<String> = stale.cloned().collect();
        assert!(stale.is_empty(), "after {delay_ms} ms: {:#?}", few(&stale));
    }
}

/// Random seeds, kinds, shares and delays. `PROPERTY_SEED` sets the seed and `PROPERTY_CASES` the
/// number of cases.
#[test]
fn randomly_repeated_answers_break_no_guarantee() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("PROPERTY_SEED").unwrap_or(1) * 1_000_000;
    for seed in first..first + number("PROPERTY_CASES").unwrap_or(CASES_IN_CI) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts = if rng.random::<bool>() { HOSTS } else { HOSTS_SERVED };
        let mut fleet = start_fleet_of(hosts, seed);
        let databases: Vec<String> = fleet.databases.keys().cloned().collect();
        for id in databases {
            let kinds = AnswerKind::ALL.into_iter().filter(|_| rng.random::<bool>()).collect();
            let share = [0.02, 0.3, 1.0][rng.random_range(0..3)];
            let delay_ms = 0..=rng.random_range(0..=300);
            fleet.stutters.insert(id.clone(), FakeStutter { share, delay_ms, kinds });
            fleet.databases.get_mut(&id).expect("a database").execution_us =
                rng.random_range(1_000..40_000);
        }
        fleet.response_loss = [0.0, 0.02][rng.random_range(0..2)];
        let mut callers = open_callers(&mut fleet, hosts, mixed);
        load(&mut fleet, &mut callers, 1_200, |fleet| {
            let fault = match fleet.now / 1_000 % 3 {
                0 => endpoint_command::EndpointFault::Busy,
                1 => endpoint_command::EndpointFault::UnknownStatement,
                _ => {
                    let (code, text) = ("FAILED".to_owned(), String::new());
                    endpoint_command::EndpointFault::Other { code, text }
                }
            };
            match fleet.now / 1_000_000 % 2 {
                0 => reject(fleet, fault),
                _ => reject_setup(fleet, fault),
            }
            if (fleet.now / 1_000).is_multiple_of(25) {
                fleet.check_samples();
            }
        });
        let (stutters, violations) = (&fleet.stutters, &fleet.violations);
        assert!(
            violations.is_empty(),
            "seed {seed}, {hosts} hosts, {stutters:?}: {:#?}",
            few(violations)
        );
    }
}

/// Declares a test for each name: how many connections a calm load on 4 and on 12 hosts may open,
/// which is how many it opened before answers were told from repeated ones.
macro_rules! calm_loads {
    ($($name:ident($most:expr, $most_served:expr): $script:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (opened, ran) = calm_load(HOSTS, $script);
                let (opened_served, ran_served) = calm_load(HOSTS_SERVED, $script);
                assert!(
                    opened <= $most && opened_served <= $most_served,
                    "{opened} connections for {ran} requests on {HOSTS} hosts, and \
                     {opened_served} for {ran_served} on {HOSTS_SERVED} hosts"
                );
            }
        )*
    };
}

calm_loads! {
    calm_statements_open_no_more_connections(32, 25): |number| match number % 4 {
        0 => vec![write()],
        _ => vec![read()],
    };
    calm_settings_open_no_more_connections(43, 25): settings;
    calm_prepared_statements_open_no_more_connections(41, 25): prepared;
    calm_transactions_open_no_more_connections(32, 28): transactions;
    calm_load_opens_no_more_connections(38, 28): mixed;
}

/// Hosts share what a probe on a new connection shows, so that they open few.
#[test]
fn probes_of_an_idle_primary_reuse_their_connection() {
    let mut fleet = start_fleet(HOSTS);
    fleet.run(millis(2_000));
    let before: usize = fleet.connections_opened.values().sum();
    fleet.run(millis(10_000));
    let opened = fleet.connections_opened.values().sum::<usize>() - before;
    let held: Vec<usize> =
        (0..HOSTS).map(|host| fleet.core(host).context().connections.len()).collect();
    assert!(opened <= 20, "{opened} connections in 10 s; open at the hosts: {held:?}");
}
