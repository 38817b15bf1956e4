//! Tests of refusals: how long callers are held before one, when they are told to return, and what
//! they get then. Runs in virtual time.

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use std::time::Duration;

use proxy_fakes::{ProxyFleet, millis, read, write};
use quetzaldeal::core::clock_time;
use quetzaldeal::core::request_verdict;
use quetzaldeal::proxy::primary_wait;
use quetzaldeal::proxy::return_schedule;
use quetzaldeal::proxy::store_record;
use quetzaldeal::proxy::token_outlook;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Hosts of the fleet: three times the home hosts of an account.
const HOSTS: usize = 36;
/// Rate and burst of each account, in requests and requests per second.
const RATE: f64 = 240.0;
/// Longest time that a refusal may be held for nine callers in ten, in microseconds.
const HELD_MAX_US: u64 = 5_000;
/// Target latency of the routes of the fakes, in microseconds.
const TARGET_US: u64 = 250_000;

/// Declares a test for each name, which runs on a fleet that serves already.
macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let run: fn(&mut ProxyFleet) = $body;
                let mut fleet = start_fleet();
                run(&mut fleet);
                assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
            }
        )*
    };
}

fn start_fleet() -> ProxyFleet {
    let accounts = [("hot", RATE, RATE), ("calm", RATE, RATE), ("writer", 2_000.0, 2_000.0)];
    let mut fleet = ProxyFleet::new(HOSTS, &accounts, 1);
    fleet.run(millis(4_000));
    fleet
}

/// Requests of one account, sent to random hosts.
#[derive(Debug, Clone, Copy)]
struct CallerLoad {
    account: &'static str,
    database: &'static str,
    writes: bool,
    per_second: f64,
}

/// A request and what its caller got.
#[derive(Debug, Clone)]
struct PlayedRequest {
    load: usize,
    /// Whether its caller was refused before and was told to return now.
    returned: bool,
    /// When it was sent, in microseconds.
    at: u64,
    host: usize,
    caller: u64,
    /// Time until the response, in microseconds.
    held: u64,
    ran: bool,
    cause: Option<request_verdict::VerdictCause>,
    retry: Option<Duration>,
}

/// Plays loads on a fleet.
#[derive(Debug)]
struct LoadPlayer {
    loads: Vec<CallerLoad>,
    /// Whether refused callers return when they were told.
    follows: bool,
    rng: SmallRng,
    pending: Vec<PlayedRequest>,
    done: Vec<PlayedRequest>,
    /// Returns that are due, as load and time in microseconds.
    returns: Vec<(usize, u64)>,
}

impl LoadPlayer {
    fn new(loads: &[CallerLoad], follows: bool) -> Self {
        Self {
            loads: loads.to_vec(),
            follows,
            rng: SmallRng::seed_from_u64(7),
            pending: Vec::new(),
            done: Vec::new(),
            returns: Vec::new(),
        }
    }

    fn send(&mut self, fleet: &mut ProxyFleet, load: usize, returned: bool) {
        let CallerLoad { account, database, writes, .. } = self.loads[load];
        let host = self.rng.random_range(0..HOSTS);
        let caller = fleet.open(host, account, database);
        fleet.send(host, caller, if writes { write() } else { read() });
        self.pending.push(PlayedRequest {
            load,
            returned,
            at: fleet.now,
            host,
            caller,
            held: 0,
            ran: false,
            cause: None,
            retry: None,
        });
    }

    /// Sends new requests, and returns that are due, for `duration`.
    fn play(&mut self, fleet: &mut ProxyFleet, duration: Duration) {
        let until = fleet.now + duration.as_micros() as u64;
        while fleet.now < until {
            for load in 0..self.loads.len() {
                // Arrivals at random: two half chances a millisecond.
                for _ in 0..4 {
                    if self.rng.random::<f64>() < self.loads[load].per_second / 4_000.0 {
                        self.send(fleet, load, false);
                    }
                }
            }
            self.step(fleet);
        }
    }

    /// Lets pending requests end, and returns that are due come, without new requests.
    fn settle(&mut self, fleet: &mut ProxyFleet, duration: Duration) {
        let until = fleet.now + duration.as_micros() as u64;
        while fleet.now < until {
            self.step(fleet);
        }
    }

    fn step(&mut self, fleet: &mut ProxyFleet) {
        let now = fleet.now;
        let (due, later) = self.returns.iter().partition(|(_, at)| *at <= now);
        self.returns = later;
        let due: Vec<(usize, u64)> = due;
        for (load, _) in due {
            self.send(fleet, load, true);
        }
        fleet.run(millis(1));
        for mut request in std::mem::take(&mut self.pending) {
            let Some(received) = fleet.take_response(request.host, request.caller) else {
                self.pending.push(request);
                continue;
            };
            fleet.close(request.host, request.caller);
            request.held = received.at - request.at;
            request.ran = received.ran();
            let verdict = received.response.verdict;
            request.retry = verdict.retry_after;
            request.cause = Some(verdict.cause);
            if let (true, false, Some(retry)) = (self.follows, request.returned, request.retry)
                && !request.ran
            {
                self.returns.push((request.load, received.at + retry.as_micros() as u64));
            }
            self.done.push(request);
        }
    }

    /// Returns how many requests of a load were answered, and how many of them ran.
    fn count(&self, load: usize, returned: bool) -> (usize, usize) {
        let of = self.done.iter().filter(|done| done.load == load && done.returned == returned);
        (of.clone().count(), of.filter(|done| done.ran).count())
    }

    /// Returns the times for which the refused requests of a load were held, in ascending order.
    fn holds(&self, load: usize) -> Vec<u64> {
        let refused = self.done.iter().filter(|done| done.load == load && !done.ran);
        let mut holds: Vec<u64> = refused.map(|done| done.held).collect();
        holds.sort_unstable();
        holds
    }
}

fn reads(account: &'static str, per_second: f64) -> CallerLoad {
    CallerLoad { account, database: "aged", writes: false, per_second }
}

/// Returns the value below which nine of ten values lie.
fn ninth_decile(sorted: &[u64]) -> u64 {
    sorted.get(sorted.len() * 9 / 10).copied().unwrap_or(0)
}

/// Replaces the primary as planned and returns when the new one was recorded everywhere, in
/// microseconds. Writes are sent meanwhile.
fn replace_primary(fleet: &mut ProxyFleet, player: &mut LoadPlayer) -> (u64, u64) {
    let old = fleet.primary_id();
    for id in ["db0", "db1", "db2"] {
        fleet.register(id, id == old);
    }
    let has_primary = |fleet: &ProxyFleet, host: usize| {
        let context = fleet.core(host).context();
        let group = context.group_names["orders"];
        let primary = context.usable_primary(group);
        primary.is_some_and(|endpoint| context.endpoints[endpoint].entry.id != old)
    };
    let serving = |fleet: &ProxyFleet| {
        (0..HOSTS).all(|host| {
            let context = fleet.core(host).context();
            context.usable_primary(context.group_names["orders"]).is_some()
        })
    };
    let start = fleet.now;
    let mut began = 0;
    while !(0..HOSTS).all(|host| has_primary(fleet, host)) {
        player.play(fleet, millis(1));
        if began == 0 && !serving(fleet) {
            began = fleet.now;
        }
        assert!(fleet.now - start < 15_000_000, "no new primary within 15 s");
    }
    (began, fleet.now)
}

/// Plays writes through two failovers with promotions of `promotion`, and checks those of the
/// second.
fn check_failover(fleet: &mut ProxyFleet, promotion: Duration) {
    fleet.promotion_us = promotion.as_micros() as u64;
    let load =
        CallerLoad { account: "writer", database: "strict", writes: true, per_second: 100.0 };
    let mut player = LoadPlayer::new(&[load], true);
    player.play(fleet, millis(1_000));
    for _ in 0..2 {
        // The first failovers show how long they take.
        replace_primary(fleet, &mut player);
        player.play(fleet, millis(4_000));
    }
    player.settle(fleet, millis(10_000));
    player.done.clear();
    let (began, ended) = replace_primary(fleet, &mut player);
    player.play(fleet, millis(2_000));
    player.settle(fleet, millis(11_000));
    // A write that comes within half of its target before the end of the gap has to be served.
    let late = |done: &&PlayedRequest| {
        !done.returned && done.at + TARGET_US / 2 >= ended && done.at < ended
    };
    let waited: Vec<&PlayedRequest> = player.done.iter().filter(late).collect();
    let served = waited.iter().filter(|done| done.ran && done.held <= TARGET_US).count();
    let early = |done: &&PlayedRequest| {
        !done.returned && done.at >= began && done.at + 2 * TARGET_US < ended && !done.ran
    };
    let mut holds: Vec<u64> = player.done.iter().filter(early).map(|done| done.held).collect();
    holds.sort_unstable();
    let (returns, returns_served) = player.count(0, true);
    assert!(waited.len() >= 5 && served * 10 >= waited.len() * 9, "{served} of {}", waited.len());
    assert!(ninth_decile(&holds) <= HELD_MAX_US, "held {} us", ninth_decile(&holds));
    assert!(returns_served * 10 >= returns * 9, "{returns_served} of {returns} returns served");
}

cases! {
    // Answers the load of one account at 6.5 times its usual: nearly all of its refusals were held
    // for the longest wait.
    account_far_over_its_rate_is_refused_at_once: |fleet| {
        let loads = [reads("hot", 6.5 * RATE), reads("calm", 0.6 * RATE)];
        let mut player = LoadPlayer::new(&loads, false);
        player.play(fleet, millis(1_000));
        player.done.clear();
        let before = fleet.executions["hot"].len();
        player.play(fleet, millis(5_000));
        let ran = fleet.executions["hot"].len() - before;
        player.settle(fleet, millis(500));
        let holds = player.holds(0);
        let (calm_sent, calm_served) = player.count(1, false);
        assert!(ninth_decile(&holds) <= HELD_MAX_US, "held {} us", ninth_decile(&holds));
        // All of its rate within 2 %.
        assert!(ran as f64 >= RATE * 5.0 * 0.98, "{ran} ran in 5 s");
        assert!(calm_served * 1_000 >= calm_sent * 999, "calm: {calm_served} of {calm_sent}");
    };
    // Guards against refusals at hosts whose own share is empty while peers have tokens.
    account_just_below_its_rate_is_served: |fleet| {
        let mut player = LoadPlayer::new(&[reads("calm", 0.95 * RATE)], false);
        player.play(fleet, millis(15_000));
        player.settle(fleet, millis(500));
        let (sent, served) = player.count(0, false);
        assert!(served * 1_000 >= sent * 999, "{served} of {sent} served");
    };
    // Guards against a host that keeps refusing after an overload has ended.
    account_is_served_again_soon_after_an_overload: |fleet| {
        let mut player = LoadPlayer::new(&[reads("hot", 6.5 * RATE)], false);
        player.play(fleet, millis(3_000));
        player.loads[0].per_second = 0.8 * RATE;
        player.play(fleet, millis(1_000));
        player.settle(fleet, millis(300));
        player.done.clear();
        player.play(fleet, millis(5_000));
        player.settle(fleet, millis(500));
        let (sent, served) = player.count(0, false);
        assert!(served * 100 >= sent * 98, "{served} of {sent} served");
    };
    // Answers the load of callers that are refused together: told the same time, they were refused
    // again together.
    returns_are_spread_over_what_the_account_has_left: |fleet| {
        let mut player = LoadPlayer::new(&[reads("calm", 0.9 * RATE)], true);
        player.play(fleet, millis(6_000));
        player.loads[0].per_second = 3.0 * RATE;
        player.play(fleet, millis(800));
        player.loads[0].per_second = 0.9 * RATE;
        player.play(fleet, millis(12_000));
        player.settle(fleet, millis(1_000));
        let (returns, served) = player.count(0, true);
        assert!(returns >= 50, "{returns} returns");
        assert!(served * 10 >= returns * 9, "{served} of {returns} returns served");
    };
    // Answers the load of writes that meet a failover: those that come near its end can wait for
    // the new primary within their target.
    writes_near_the_end_of_a_failover_of_a_second_are_served: |fleet| {
        check_failover(fleet, millis(1_000));
    };
    writes_near_the_end_of_a_short_failover_are_served: |fleet| {
        check_failover(fleet, millis(300));
    };
}

fn outlook_input() -> token_outlook::OutlookInput {
    token_outlook::OutlookInput {
        ahead: 0,
        promised: 0.0,
        own_token: None,
        own_rate: 0.0,
        account_rate: 100.0,
        found_per_search: 1.0,
        next_search: Duration::ZERO,
        search_pause: millis(10),
        over_rate: true,
        allowance: 6,
        bound: millis(120),
    }
}

/// Declares a test for each name, which checks the plan for a request without a token.
macro_rules! token_plans {
    ($($name:ident: $change:expr => $plan:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let mut input = outlook_input();
                let change: fn(&mut token_outlook::OutlookInput) = $change;
                change(&mut input);
                assert_eq!(token_outlook::decide(&input), token_outlook::TokenPlan::$plan);
            }
        )*
    };
}

token_plans! {
    request_waits_while_searches_find_tokens: |_| {} => Wait;
    request_waits_for_its_own_share: |input| {
        input.found_per_search = 0.0;
        input.own_token = Some(millis(40));
        input.own_rate = 20.0;
        input.ahead = 1;
    } => Wait;
    request_behind_too_many_is_refused: |input| {
        input.found_per_search = 0.0;
        input.own_token = Some(millis(40));
        input.own_rate = 20.0;
        input.ahead = 2;
    } => Refuse;
    request_does_not_take_a_promised_token: |input| {
        input.found_per_search = 0.0;
        input.own_token = Some(millis(40));
        input.own_rate = 20.0;
        input.ahead = 1;
        input.promised = 1.0;
        input.next_search = millis(1);
    } => Refuse;
    request_probes_when_a_search_is_due: |input| input.found_per_search = 0.0 => Probe;
    second_request_does_not_probe: |input| {
        input.found_per_search = 0.0;
        input.ahead = 1;
    } => Refuse;
    request_is_refused_while_no_search_may_begin: |input| {
        input.found_per_search = 0.0;
        input.next_search = millis(50);
    } => Refuse;
    request_is_refused_if_the_account_cannot_accrue_in_time: |input| input.ahead = 13 => Refuse;
    request_waits_after_one_search_without_a_token: |input| {
        input.found_per_search = 0.75;
        input.next_search = millis(10);
        input.search_pause = millis(20);
    } => Wait;
    few_requests_wait_below_the_rate: |input| {
        input.over_rate = false;
        input.found_per_search = 0.0;
        input.next_search = millis(160);
        input.ahead = 5;
    } => Wait;
    more_requests_do_not_wait_for_a_late_search: |input| {
        input.over_rate = false;
        input.found_per_search = 0.0;
        input.next_search = millis(160);
        input.ahead = 6;
    } => Refuse;
}

#[test]
fn account_counts_as_over_its_rate_while_most_requests_get_no_token() {
    let time = clock_time::ClockTime::from_millis;
    let mut history = token_outlook::TokenHistory::new(time(0));
    for at in 0..300 {
        history.record_arrival(time(at * 10));
        if at % 5 == 0 {
            history.record_admission(time(at * 10));
        }
    }
    assert!(history.over_rate(time(3_000)));
    for at in 300..600 {
        history.record_arrival(time(at * 10));
        history.record_admission(time(at * 10));
    }
    assert!(!history.over_rate(time(6_000)));
}

#[test]
fn results_of_searches_lose_their_weight_with_age() {
    let time = clock_time::ClockTime::from_millis;
    let mut history = token_outlook::TokenHistory::new(time(0));
    for at in 0..20 {
        history.record_search(time(5_000 + at * 320), 0);
    }
    let last = 5_000 + 19 * 320;
    assert!(history.found_expected(time(last + 100)) < 0.05);
    assert_eq!(history.found_expected(time(last + 1_000)), 1.0);
}

#[test]
fn each_refused_caller_gets_a_later_slot() {
    let now = clock_time::ClockTime::from_millis(1_000);
    let mut returns = return_schedule::ReturnSchedule::default();
    let waits: Vec<Duration> =
        (0..20).map(|_| returns.assign(now, millis(40), millis(100), 0.5)).collect();
    assert!(waits.windows(2).all(|pair| pair[1] >= pair[0] + millis(100)), "{waits:?}");
    assert_eq!(waits[0], millis(90));
    assert_eq!(returns.promised_within(now, millis(500), millis(100)), 5.0);
}

#[test]
fn slots_beyond_the_longest_delay_are_spread_below_it() {
    let now = clock_time::ClockTime::from_millis(1_000);
    let mut returns = return_schedule::ReturnSchedule::default();
    for step in 0..1_000 {
        let random = f64::from(step) / 1_000.0;
        let wait = returns.assign(now, millis(40), millis(100), random);
        assert!(wait <= return_schedule::RETRY_MAX, "{wait:?}");
    }
}

#[test]
fn returns_get_what_the_account_has_left() {
    // 100 a second for ten hosts, of which each admits 6: 4 a second are left for each.
    assert_eq!(return_schedule::account_spacing(100.0, 6.0, 10), millis(250));
    // A tenth of the rate where nothing is left.
    assert_eq!(return_schedule::account_spacing(100.0, 12.0, 10), millis(1_000));
}

#[test]
fn primary_is_expected_by_the_measured_durations() {
    let durations =
        primary_wait::FailoverDurations { release: millis(200), promotion: millis(300) };
    let expect = |phase, age| {
        let outlook = primary_wait::outlook(phase, age, &durations, millis(450));
        outlook.remaining.map(|remaining| remaining.as_millis())
    };
    assert_eq!(expect(primary_wait::GapPhase::Stopping, millis(100)), Some(400));
    assert_eq!(expect(primary_wait::GapPhase::Promoting, millis(100)), Some(200));
    // Later than expected: as much longer again.
    assert_eq!(expect(primary_wait::GapPhase::Promoting, millis(900)), Some(600));
    assert_eq!(expect(primary_wait::GapPhase::Unresponsive, millis(0)), Some(950));
    assert_eq!(expect(primary_wait::GapPhase::NoLease, millis(50)), None);
}

#[test]
fn durations_of_failovers_follow_the_measured_ones() {
    let mut durations = primary_wait::FailoverDurations::default();
    let time = clock_time::ClockTime::from_millis;
    for _ in 0..20 {
        let (stopping, promoting, serving) = (
            store_record::GroupPhase::Stopping,
            store_record::GroupPhase::Promoting,
            store_record::GroupPhase::Serving,
        );
        durations.record(time(1_200), stopping, time(1_000), promoting);
        durations.record(time(1_500), promoting, time(1_200), serving);
    }
    assert!(durations.release.abs_diff(millis(200)) <= millis(1), "{durations:?}");
    assert!(durations.promotion.abs_diff(millis(300)) <= millis(1), "{durations:?}");
}
