//! Tests of the usage reports: window arithmetic, and what a fleet reports while hosts, the store,
//! the platform and clocks fail. Runs in virtual time; the fake platform checks the rules.

#![allow(clippy::expect_used, reason = "a panic fails the test")]

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proxy_fakes::fake_platform;
use proxy_fakes::fake_store;
use proxy_fakes::{PartitionSide, ProxyFleet, UNIX_START_US, millis, read};
use quetzaldeal::core::clock_time;
use quetzaldeal::proxy::duty_call;
use quetzaldeal::proxy::duty_fence;
use quetzaldeal::proxy::proxy_tuning;
use quetzaldeal::proxy::usage_clock;
use quetzaldeal::proxy::usage_collection;
use quetzaldeal::proxy::usage_ledger;
use quetzaldeal::proxy::usage_message;
use quetzaldeal::proxy::usage_tuning;
use quetzaldeal::proxy::usage_window;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const HOSTS: usize = 6;
const WINDOW: Duration = Duration::from_secs(5);
const LATE: Duration = Duration::from_secs(10);
/// Part by which a count may differ from the requests that ran.
const TOLERANCE: f64 = 0.05;
/// Time between two requests to one host, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 25;
const PROPERTY_CASES: u64 = 12;

/// Declares a test for each name, which runs on a fleet that reports usage already.
macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let run: fn(&mut ProxyFleet) = $body;
                let mut fleet = start_fleet(1);
                run(&mut fleet);
                assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
            }
        )*
    };
}

fn start_fleet(seed: u64) -> ProxyFleet {
    let call_pause = millis(20);
    let usage = Some(usage_tuning::UsageTuning { window: WINDOW, late: LATE, call_pause });
    let tuning = proxy_tuning::ProxyTuning { usage, ..proxy_tuning::ProxyTuning::default() };
    let accounts = [("even", 2_000.0, 2_000.0), ("odd", 2_000.0, 2_000.0)];
    let mut fleet = ProxyFleet::with_tuning(HOSTS, &accounts, seed, tuning);
    fleet.run(millis(5_000));
    fleet
}

/// Sends reads to all running hosts, half of them for each account.
fn load(fleet: &mut ProxyFleet, duration_ms: u64) {
    let account = |host: usize| if host.is_multiple_of(2) { "even" } else { "odd" };
    let running: Vec<usize> =
        (0..HOSTS).filter(|host| fleet.alive(*host) && fleet.ready(*host)).collect();
    let callers: Vec<_> =
        running.iter().map(|host| (*host, fleet.open(*host, account(*host), "aged"))).collect();
    for _ in 0..duration_ms / REQUEST_INTERVAL_MS {
        for (host, caller) in &callers {
            if fleet.alive(*host) {
                fleet.send(*host, *caller, read());
            }
        }
        fleet.run(millis(REQUEST_INTERVAL_MS));
    }
    for (host, caller) in callers {
        fleet.close(host, caller);
    }
}

fn current_window(fleet: &ProxyFleet) -> u64 {
    usage_window::number_at(UNIX_START_US + fleet.now, WINDOW)
}

/// Runs load until `offset_ms` after the start of the next window, and returns that window.
fn load_to_next_window(fleet: &mut ProxyFleet, offset_ms: u64) -> u64 {
    let next = current_window(fleet) + 1;
    let start_us = usage_window::start_us(next, WINDOW) - UNIX_START_US;
    load(fleet, (start_us - fleet.now) / 1_000 + offset_ms);
    next
}

/// Returns the number of the host that is certain to be the coordinator.
fn holder(fleet: &ProxyFleet) -> usize {
    let mut hosts = (0..HOSTS).filter(|host| fleet.alive(*host));
    hosts.find(|host| fleet.core(*host).context().fencing_token().is_some()).expect("a coordinator")
}

fn other_than(host: usize) -> usize {
    (host + 1) % HOSTS
}

/// Returns the requests that databases ran in a window, by account.
fn executed(fleet: &ProxyFleet, window: u64) -> BTreeMap<String, u64> {
    let length = WINDOW;
    let within = |at: &&u64| usage_window::number_at(UNIX_START_US + **at, length) == window;
    let counts = fleet.executions.iter();
    let counts = counts
        .map(|(account, times)| (account.clone(), times.iter().filter(within).count() as u64));
    counts.filter(|(_, count)| *count > 0).collect()
}

/// Returns the first report of a window that arrived while it was due.
fn report_of(fleet: &ProxyFleet, window: u64) -> Option<&fake_platform::ArrivedReport> {
    let due_us = usage_window::end_us(window, WINDOW) - UNIX_START_US + LATE.as_micros() as u64;
    fleet.platform.reports.iter().find(|report| report.window == window && report.at <= due_us)
}

fn is_right(fleet: &ProxyFleet, window: u64, tolerance: f64) -> bool {
    let Some(report) = report_of(fleet, window) else { return false };
    let executed = executed(fleet, window);
    let names: BTreeSet<&String> = executed.keys().chain(report.counts.keys()).collect();
    names.into_iter().all(|name| {
        let truth = executed.get(name).copied().unwrap_or(0);
        let told = report.counts.get(name).copied().unwrap_or(0);
        truth.abs_diff(told) as f64 <= tolerance * truth as f64
    })
}

fn assert_right(fleet: &ProxyFleet, windows: std::ops::RangeInclusive<u64>) {
    for window in windows {
        assert!(
            is_right(fleet, window, TOLERANCE),
            "window {window}: ran {:?}, reported {:?}",
            executed(fleet, window),
            report_of(fleet, window)
        );
    }
}

/// Ends the load and lets the last windows be reported.
fn finish(fleet: &mut ProxyFleet) {
    fleet.run(WINDOW + LATE);
}

/// Loads the fleet over two windows, restores the store from a copy, and checks all windows from the
/// first one on.
fn report_over_a_restore(fleet: &mut ProxyFleet, copy: fake_store::StoreCopy) {
    let first = load_to_next_window(fleet, 0);
    load(fleet, 11_000);
    fleet.store.restore(copy);
    fleet.write_again();
    load(fleet, 11_000);
    let last = current_window(fleet);
    finish(fleet);
    assert_right(fleet, first..=last);
}

cases! {
    every_window_is_reported_right_and_once: |fleet| {
        let first = current_window(fleet);
        load(fleet, 20_000);
        let last = current_window(fleet);
        finish(fleet);
        assert_right(fleet, first..=last);
        let windows: Vec<u64> = fleet.platform.reports.iter().map(|report| report.window).collect();
        let distinct: BTreeSet<u64> = windows.iter().copied().collect();
        assert_eq!(windows.len(), distinct.len(), "{windows:?}");
        assert_eq!(fleet.sum(|counts| counts.usage_windows_missed), 0);
    };
    lost_datagrams_change_nothing: |fleet| {
        fleet.datagram_loss = 0.3;
        let first = load_to_next_window(fleet, 0);
        load(fleet, 12_000);
        finish(fleet);
        assert_right(fleet, first..=first + 1);
    };
    usage_is_reported_on_after_the_record_was_lost: |fleet| {
        let copy = fake_store::FakeStore::default().copy();
        report_over_a_restore(fleet, copy);
    };
    usage_is_reported_on_after_an_older_record_came_back: |fleet| {
        load_to_next_window(fleet, 4_000);
        let copy = fleet.store.copy();
        report_over_a_restore(fleet, copy);
    };
    killed_host_loses_at_most_a_second_of_its_part: |fleet| {
        let window = load_to_next_window(fleet, 2_500);
        let victim = other_than(holder(fleet));
        fleet.kill_host(victim);
        load(fleet, 4_000);
        finish(fleet);
        // One host in six, of three with its account, for one second and the delay of a message.
        assert!(is_right(fleet, window, 1.2 / 5.0 / 3.0), "{:?}", report_of(fleet, window));
        assert_right(fleet, window + 1..=window + 1);
    };
    host_frozen_over_the_end_of_a_window_is_awaited: |fleet| {
        let window = load_to_next_window(fleet, 3_500);
        fleet.freeze_host(other_than(holder(fleet)), millis(4_000));
        fleet.run(millis(4_500));
        finish(fleet);
        assert_right(fleet, window..=window);
    };
    host_cut_off_over_the_end_of_a_window_is_awaited: |fleet| {
        let window = load_to_next_window(fleet, 3_500);
        let victim = other_than(holder(fleet));
        fleet.partition(PartitionSide::Host(victim), PartitionSide::Store);
        for other in (0..HOSTS).filter(|other| *other != victim) {
            fleet.partition(PartitionSide::Host(victim), PartitionSide::Host(other));
        }
        fleet.run(millis(5_500));
        fleet.heal_partitions();
        finish(fleet);
        assert_right(fleet, window..=window);
    };
    host_restarted_in_a_window_counts_twice: |fleet| {
        let window = load_to_next_window(fleet, 1_500);
        let victim = other_than(holder(fleet));
        fleet.stop_host(victim);
        fleet.run(millis(1_500));
        fleet.kill_host(victim);
        fleet.start_host(victim, millis(3_000));
        fleet.run(millis(1_000));
        load(fleet, 3_000);
        finish(fleet);
        assert_right(fleet, window..=window + 1);
    };
    holder_killed_before_the_record_is_written: |fleet| {
        let window = load_to_next_window(fleet, 0);
        load(fleet, 5_300);
        fleet.kill_host(holder(fleet));
        load(fleet, 4_000);
        finish(fleet);
        // The holder's own counts of the last second are lost with it.
        assert!(is_right(fleet, window, 0.4), "{:?}", report_of(fleet, window));
        assert_right(fleet, window + 2..=window + 2);
    };
    holder_killed_between_record_and_report: |fleet| {
        let window = load_to_next_window(fleet, 0);
        load(fleet, 4_000);
        fleet.platform.mode = fake_platform::PlatformMode::Away;
        load(fleet, 3_000);
        let first = holder(fleet);
        let record = fleet.core(first).context().usage.record.clone().expect("a record").0;
        assert_eq!(record.settled_through, window);
        fleet.kill_host(first);
        fleet.platform.mode = fake_platform::PlatformMode::Up;
        finish(fleet);
        let report = report_of(fleet, window).expect("a report");
        let written = record.reports.iter().find(|written| written.window == window);
        assert_eq!(Some(&report.counts), written.map(|written| &written.counts));
        assert_ne!(report.host, first);
    };
    holder_killed_after_a_report_without_reply: |fleet| {
        let window = load_to_next_window(fleet, 0);
        load(fleet, 4_000);
        fleet.platform.mode = fake_platform::PlatformMode::DropsReplies;
        load(fleet, 3_000);
        fleet.kill_host(holder(fleet));
        fleet.platform.mode = fake_platform::PlatformMode::Up;
        finish(fleet);
        let reports = fleet.platform.reports.iter().filter(|report| report.window == window);
        let hosts: BTreeSet<usize> = reports.map(|report| report.host).collect();
        assert_eq!(hosts.len(), 2, "the successor repeats the report");
    };
    lost_replies_of_the_platform_lead_to_exact_repeats: |fleet| {
        let first = load_to_next_window(fleet, 0);
        fleet.platform.mode = fake_platform::PlatformMode::DropsReplies;
        load(fleet, 12_000);
        fleet.platform.mode = fake_platform::PlatformMode::Up;
        finish(fleet);
        assert_right(fleet, first..=first + 1);
    };
    lost_replies_of_the_store_lead_to_one_record: |fleet| {
        let first = load_to_next_window(fleet, 0);
        fleet.store.mode = fake_store::StoreMode::DropsWriteReplies;
        load(fleet, 12_000);
        fleet.store.mode = fake_store::StoreMode::Up;
        finish(fleet);
        assert_right(fleet, first..=first + 1);
    };
    platform_away_for_a_while: |fleet| {
        let first = load_to_next_window(fleet, 0);
        load(fleet, 4_000);
        fleet.platform.mode = fake_platform::PlatformMode::Away;
        load(fleet, 7_000);
        fleet.platform.mode = fake_platform::PlatformMode::Up;
        finish(fleet);
        assert_right(fleet, first..=first + 1);
    };
    store_away_for_a_while: |fleet| {
        let first = load_to_next_window(fleet, 0);
        load(fleet, 4_000);
        fleet.store.mode = fake_store::StoreMode::Unresponsive;
        load(fleet, 6_000);
        fleet.store.mode = fake_store::StoreMode::Up;
        load(fleet, 3_000);
        finish(fleet);
        assert_right(fleet, first..=first + 1);
    };
    store_away_for_long_skips_what_is_overdue: |fleet| {
        let first = load_to_next_window(fleet, 1_000);
        fleet.store.mode = fake_store::StoreMode::Unresponsive;
        fleet.run(millis(25_000));
        fleet.store.mode = fake_store::StoreMode::Up;
        fleet.run(millis(5_000));
        let next = load_to_next_window(fleet, 0);
        load(fleet, 6_000);
        finish(fleet);
        assert_eq!(report_of(fleet, first), None);
        assert_right(fleet, next..=next);
        assert!(fleet.sum(|counts| counts.usage_windows_missed) > 0);
    };
    frozen_holder_wakes_after_its_successor_has_reported: |fleet| {
        let window = load_to_next_window(fleet, 4_500);
        let first = holder(fleet);
        fleet.freeze_host(first, millis(8_000));
        fleet.run(millis(4_000));
        assert_ne!(holder(fleet), first);
        fleet.run(millis(5_000));
        finish(fleet);
        assert!(report_of(fleet, window).is_some());
    };
    holder_cut_off_from_the_store_is_replaced: |fleet| {
        let window = load_to_next_window(fleet, 4_500);
        let first = holder(fleet);
        fleet.partition(PartitionSide::Host(first), PartitionSide::Store);
        load(fleet, 6_000);
        fleet.heal_partitions();
        finish(fleet);
        assert_right(fleet, window..=window);
        assert_ne!(report_of(fleet, window).map(|report| report.host), Some(first));
    };
    holder_that_returns_soon_waits_for_its_turn: |fleet| {
        let window = load_to_next_window(fleet, 4_800);
        let first = holder(fleet);
        fleet.run(millis(1_500));
        for host in (0..HOSTS).filter(|host| *host != first) {
            fleet.freeze_host(host, millis(4_000));
        }
        fleet.freeze_host(first, millis(1_800));
        fleet.run(millis(9_000));
        finish(fleet);
        assert!(report_of(fleet, window).is_some());
    };
    stopped_host_is_not_awaited: |fleet| {
        let window = load_to_next_window(fleet, 1_000);
        fleet.stop_host(other_than(holder(fleet)));
        load(fleet, 6_000);
        finish(fleet);
        assert_right(fleet, window..=window);
        let end_us = usage_window::end_us(window, WINDOW) - UNIX_START_US;
        let at = report_of(fleet, window).map_or(u64::MAX, |report| report.at);
        assert!(at < end_us + 2_000_000, "reported {} us after the end", at - end_us);
    };
    hand_over_in_the_middle_of_a_window: |fleet| {
        let window = load_to_next_window(fleet, 2_500);
        let first = holder(fleet);
        fleet.stop_host(first);
        load(fleet, 7_000);
        finish(fleet);
        assert!(fleet.stopped(first));
        assert_right(fleet, window..=window);
    };
    clock_of_a_host_is_off_and_comes_back: |fleet| {
        let victim = other_than(holder(fleet));
        fleet.wall_clock_skews.insert(victim, 12_000_000);
        let first = load_to_next_window(fleet, 0);
        load(fleet, 7_000);
        fleet.wall_clock_skews.clear();
        load(fleet, 6_000);
        finish(fleet);
        assert_right(fleet, first..=first + 1);
    };
    clock_of_the_holder_is_off: |fleet| {
        fleet.wall_clock_skews.insert(holder(fleet), -12_000_000);
        let first = load_to_next_window(fleet, 0);
        load(fleet, 13_000);
        finish(fleet);
        assert_right(fleet, first..=first + 1);
    };
}

#[test]
fn clock_of_a_host_is_off_from_the_start() {
    let mut fleet = start_fleet(1);
    let victim = other_than(holder(&fleet));
    fleet.kill_host(victim);
    fleet.wall_clock_skews.insert(victim, 12_000_000);
    fleet.start_host(victim, millis(1_000));
    fleet.run(millis(3_000));
    let first = load_to_next_window(&mut fleet, 0);
    load(&mut fleet, 6_000);
    finish(&mut fleet);
    assert_right(&fleet, first..=first);
}

#[test]
fn nothing_is_sent_where_the_duty_is_not_named() {
    let mut fleet = ProxyFleet::new(HOSTS, &[("even", 100.0, 100.0), ("odd", 100.0, 100.0)], 1);
    fleet.run(millis(5_000));
    load(&mut fleet, 8_000);
    fleet.run(millis(10_000));
    assert_eq!(fleet.usage_datagrams, 0);
    assert!(fleet.platform.reports.is_empty());
    assert!(fleet.core(0).context().usage.ledger.closed_totals().is_empty());
    assert_eq!(fleet.sum(|counts| counts.usage_requests), 0);
}

/// Hosts, the store, the platform and clocks fail at random; no rule may be broken.
#[test]
fn random_failures_break_no_rule() {
    let first = std::env::var("PROPERTY_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let cases = std::env::var("PROPERTY_CASES").ok().and_then(|cases| cases.parse().ok());
    for seed in first..first + cases.unwrap_or(PROPERTY_CASES) {
        let mut fleet = start_fleet(seed);
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..14 {
            let host = match rng.random_range(0..3) {
                0 => rng.random_range(0..HOSTS),
                _ => fleet.coordinator().unwrap_or(0),
            };
            fail_at_random(&mut fleet, &mut rng, host);
            let pause = rng.random_range(100..3_500);
            load(&mut fleet, pause);
        }
        assert!(fleet.violations.is_empty(), "seed {seed}: {:#?}", fleet.violations);
    }
}

fn fail_at_random(fleet: &mut ProxyFleet, rng: &mut SmallRng, host: usize) {
    match rng.random_range(0..10) {
        0 => fleet.freeze_host(host, millis(rng.random_range(500..6_000))),
        1 if fleet.alive(host) => fleet.kill_host(host),
        1 | 2 => {
            let killed = (0..HOSTS).find(|host| !fleet.alive(*host));
            if let Some(host) = killed {
                fleet.start_host(host, millis(rng.random_range(0..5_000)));
            }
        }
        3 => fleet.partition(PartitionSide::Host(host), PartitionSide::Store),
        4 => {
            for other in (0..HOSTS).filter(|other| *other != host) {
                fleet.partition(PartitionSide::Host(host), PartitionSide::Host(other));
            }
        }
        5 => fleet.heal_partitions(),
        6 => {
            fleet.platform.mode = match rng.random_range(0..3) {
                0 => fake_platform::PlatformMode::Up,
                1 => fake_platform::PlatformMode::Away,
                _ => fake_platform::PlatformMode::DropsReplies,
            }
        }
        7 => {
            fleet.store.mode = match rng.random_range(0..3) {
                0 => fake_store::StoreMode::Unresponsive,
                1 => fake_store::StoreMode::DropsWriteReplies,
                _ => fake_store::StoreMode::Up,
            }
        }
        8 => {
            let skew_us = rng.random_range(-12_000_000..12_000_000);
            fleet.wall_clock_skews = BTreeMap::from([(host, skew_us)]);
        }
        _ => {
            fleet.store.mode = fake_store::StoreMode::Up;
            fleet.platform.mode = fake_platform::PlatformMode::Up;
        }
    }
}

/// Declares a test for each name that needs no fleet.
macro_rules! pure_cases {
    ($($name:ident: $body:block)*) => {
        $(
            #[test]
            fn $name() $body
        )*
    };
}

fn at(millis: u64) -> clock_time::ClockTime {
    clock_time::ClockTime::from_millis(millis)
}

fn totals_of(
    host: &str,
    sent_at_us: u64,
    windows: Vec<usage_message::WindowTotals>,
) -> usage_message::UsageTotals {
    let (incarnation, first_window, unix_us) = (1, Some(1), None);
    let host = host.to_owned();
    usage_message::UsageTotals { host, incarnation, first_window, sent_at_us, unix_us, windows }
}

fn part(
    window: u64,
    closed: bool,
    accounts: u32,
    counts: &[(&str, u64)],
) -> usage_message::WindowTotals {
    let counts = counts.iter().map(|(name, count)| ((*name).to_owned(), *count)).collect();
    usage_message::WindowTotals { window, closed, accounts, counts }
}

pure_cases! {
    window_holds_its_start_and_not_its_end: {
        assert_eq!(usage_window::number_at(9_999_999, WINDOW), 1);
        assert_eq!(usage_window::number_at(10_000_000, WINDOW), 2);
        assert_eq!(usage_window::start_us(2, WINDOW), 10_000_000);
        assert_eq!(usage_window::end_us(2, WINDOW), 15_000_000);
        assert!(!usage_window::is_closed(2, WINDOW, 15_499_999, millis(500)));
        assert!(usage_window::is_closed(2, WINDOW, 15_500_000, millis(500)));
    }
    ledger_counts_each_request_in_one_window: {
        let account = slotmap::KeyData::from_ffi(7).into();
        let mut ledger = usage_ledger::UsageLedger::default();
        // The clock of the host shows 1,000 s less than true time.
        let unix_us = |time: clock_time::ClockTime| time.as_micros() + 1_000_000_000;
        ledger.close(at(10_100), unix_us(at(10_100)), WINDOW, millis(500));
        for time in [10_200, 14_990, 15_000, 15_100] {
            ledger.add(at(time), account);
        }
        ledger.remove(at(15_100), account);
        assert!(!ledger.close(at(15_400), unix_us(at(15_400)), WINDOW, millis(500)));
        let open = ledger.open_totals(at(15_400), unix_us(at(15_400)), WINDOW);
        assert_eq!(open.keys().copied().collect::<Vec<_>>(), vec![202, 203]);
        assert!(ledger.close(at(15_500), unix_us(at(15_500)), WINDOW, millis(500)));
        assert_eq!(ledger.closed_totals()[&202][&account], 2);
        // A request that turns out late not to have run changes no closed window.
        ledger.remove(at(14_990), account);
        assert_eq!(ledger.closed_totals()[&202][&account], 2);
        assert!(ledger.close(at(20_500), unix_us(at(20_500)), WINDOW, millis(500)));
        assert_eq!(ledger.closed_totals()[&203][&account], 1);
        ledger.prune(202, at(0));
        assert_eq!(ledger.closed_totals().len(), 1);
    }
    collection_waits_for_all_parts_and_ignores_repeats: {
        let mut collection = usage_collection::UsageCollection::default();
        let process = ("a".to_owned(), 1);
        collection.apply(totals_of("a", 5, vec![part(4, false, 1, &[("x", 3)])]), 0);
        collection.apply(totals_of("a", 2, vec![part(4, false, 1, &[("x", 1)])]), 0);
        assert_eq!(collection.totals(4)["x"], 3);
        let first = totals_of("a", 9, vec![part(4, true, 2, &[("x", 5)])]);
        assert!(collection.apply(first.clone(), 0).is_empty());
        assert!(!collection.is_confirmed(&process, 4));
        assert_eq!(collection.apply(totals_of("a", 9, vec![part(4, true, 2, &[("y", 1)])]), 0), [4]);
        assert!(collection.is_confirmed(&process, 4));
        collection.apply(first, 0);
        collection.apply(totals_of("a", 12, vec![part(4, false, 1, &[("x", 9)])]), 0);
        assert_eq!(collection.totals(4), [("x".to_owned(), 5), ("y".to_owned(), 1)].into());
        assert!(collection.is_confirmed(&process, 0), "the process began in window 1");
        assert!(!collection.is_confirmed(&("a".to_owned(), 2), 4));
    }
    true_time_is_the_median_of_more_than_half_of_the_hosts: {
        let mut clock = usage_clock::UsageClock::default();
        let names: Vec<String> = ["a", "b", "c"].map(str::to_owned).into();
        let running = names.iter().collect();
        clock.add_sample("a", at(1_000), 13_000_000);
        clock.agree(at(1_000), &running);
        assert_eq!(clock.unix_us(at(1_000)), None);
        clock.add_sample("b", at(1_000), 1_001_000);
        clock.add_sample("c", at(1_000), 1_002_000);
        clock.agree(at(1_000), &running);
        assert_eq!(clock.unix_us(at(2_000)), Some(2_002_000));
    }
    holder_with_a_new_token_waits_for_its_turn: {
        let mut fence = duty_fence::DutyFence::default();
        let (subject, turn) = (duty_call::DutySubject::Usage, millis(3_000));
        assert!(fence.allows(subject, 7, at(0), turn));
        fence.record(subject, 7, at(1_000));
        assert!(fence.allows(subject, 7, at(1_001), turn));
        assert!(!fence.allows(subject, 9, at(3_999), turn));
        assert!(fence.allows(subject, 9, at(4_000), turn));
        assert!(!fence.allows(subject, 6, at(9_000), turn), "a token never goes down");
    }
}
