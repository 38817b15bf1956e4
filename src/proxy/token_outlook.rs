//! When a token for one more request of an account is expected on this host, and whether the request
//! may wait for it.
//!
//! The load: an account at several times its rate, sent to hundreds of hosts. Nearly all of its
//! requests get no token, and each was held for the longest wait before it was refused. The share's
//! rate and the last searches tell at once that no token comes in time.

use std::time::Duration;

use crate::core::clock_time;

/// Largest weight of the latest search in the average of tokens found.
const SEARCH_WEIGHT_MAX: f64 = 0.25;
/// Time constant of that average. Searches in quick succession find the same hosts without tokens
/// and count less.
const SEARCH_WINDOW: Duration = Duration::from_millis(500);
/// Age from which the result of a search says nothing about the next one.
const SEARCH_VALIDITY: Duration = Duration::from_millis(1_000);
/// Time constant of the rates of requests.
const RATE_WINDOW: Duration = Duration::from_millis(2_000);
/// Tokens found per search below which a search is not expected to find any.
const FOUND_MIN: f64 = 0.05;
/// Tokens found per search from which a search is more likely to find one than not.
const FOUND_LIKELY: f64 = 0.5;
/// Admitted fraction of an account's requests below which the account counts as over its rate.
const ADMITTED_MIN: f64 = 0.5;
/// Requests per second below which that fraction says nothing.
const OFFERED_MIN: f64 = 1.0;
/// Most requests that wait for the result of a search that is not expected to find a token.
pub const PROBES_MAX: usize = 1;

/// What this host knows of an account's tokens from its own searches and admissions.
#[derive(Debug, Clone, Copy)]
pub struct TokenHistory {
    /// Moving average of the tokens found per search.
    pub found_per_search: f64,
    /// When the last search ended.
    pub searched_at: clock_time::ClockTime,
    /// Requests admitted per second, as of `counted_at`.
    admitted_per_second: f64,
    /// Requests received per second, as of `counted_at`.
    offered_per_second: f64,
    counted_at: clock_time::ClockTime,
}

impl TokenHistory {
    /// Creates the history of an account for which no search has ended yet.
    pub fn new(now: clock_time::ClockTime) -> Self {
        Self {
            found_per_search: 1.0,
            searched_at: clock_time::ClockTime::default(),
            admitted_per_second: 0.0,
            offered_per_second: 0.0,
            counted_at: now,
        }
    }

    /// Records that a search ended with `found` tokens.
    pub fn record_search(&mut self, now: clock_time::ClockTime, found: u32) {
        let last = self.found_expected(now);
        let passed = now.since(self.searched_at).as_secs_f64();
        let weight = 1.0 - (-passed / SEARCH_WINDOW.as_secs_f64()).exp();
        let found = f64::from(found);
        self.found_per_search = last + (found - last) * weight.min(SEARCH_WEIGHT_MAX);
        self.searched_at = now;
    }

    /// Returns the tokens that the next search is expected to find; one, if the last search is too
    /// long ago to tell.
    pub fn found_expected(&self, now: clock_time::ClockTime) -> f64 {
        match now.since(self.searched_at) < SEARCH_VALIDITY {
            true => self.found_per_search,
            false => 1.0,
        }
    }

    /// Records that a request was admitted.
    pub fn record_admission(&mut self, now: clock_time::ClockTime) {
        self.decay(now);
        self.admitted_per_second += 1.0 / RATE_WINDOW.as_secs_f64();
    }

    /// Records that a request arrived.
    pub fn record_arrival(&mut self, now: clock_time::ClockTime) {
        self.decay(now);
        self.offered_per_second += 1.0 / RATE_WINDOW.as_secs_f64();
    }

    /// Returns whether most requests lately got no token on this host.
    pub fn over_rate(&self, now: clock_time::ClockTime) -> bool {
        self.offered_per_second * self.remaining(now) >= OFFERED_MIN
            && self.admitted_per_second < self.offered_per_second * ADMITTED_MIN
    }

    /// Returns the requests admitted per second on this host.
    pub fn admission_rate(&self, now: clock_time::ClockTime) -> f64 {
        self.admitted_per_second * self.remaining(now)
    }

    fn decay(&mut self, now: clock_time::ClockTime) {
        let remaining = self.remaining(now);
        self.admitted_per_second *= remaining;
        self.offered_per_second *= remaining;
        self.counted_at = self.counted_at.max(now);
    }

    /// Returns the factor by which the rates have decayed.
    fn remaining(&self, now: clock_time::ClockTime) -> f64 {
        let passed = now.since(self.counted_at).as_secs_f64();
        (-passed / RATE_WINDOW.as_secs_f64()).exp()
    }
}

/// Inputs of the decision about one request.
#[derive(Debug, Clone, Copy)]
pub struct OutlookInput {
    /// Requests of the account that wait here before this one.
    pub ahead: usize,
    /// Returns that callers of the account were promised before the bound of this request.
    pub promised: f64,
    /// Time until this host's share has accrued its next token; `None` on a host without a share.
    pub own_token: Option<Duration>,
    /// Tokens per second of this host's share.
    pub own_rate: f64,
    /// Tokens per second of the whole account.
    pub account_rate: f64,
    /// Tokens that the next search is expected to find.
    pub found_per_search: f64,
    /// Time until the next search may begin.
    pub next_search: Duration,
    /// Pause after a further search that finds nothing.
    pub search_pause: Duration,
    /// Whether most requests of the account lately got no token on this host.
    pub over_rate: bool,
    /// Requests that may wait while the account has few tokens.
    pub allowance: usize,
    /// Longest time that the request may wait.
    pub bound: Duration,
}

/// What to do with a request for which there is no token now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenPlan {
    /// It waits for a token that is expected in time.
    Wait,
    /// It waits for the result of one search only.
    Probe,
    /// It is refused at once.
    Refuse,
}

/// Returns when a token for the request is expected; `None` if none is expected at all.
pub fn expected_wait(input: &OutlookInput) -> Option<Duration> {
    let own = own_wait(input);
    let peers = peer_wait(input);
    match (own, peers) {
        (Some(own), Some(peers)) => Some(own.min(peers)),
        (own, peers) => own.or(peers),
    }
}

/// Returns whether a token is likely enough in time for the request to wait.
///
/// Unless the account is over its rate, a few requests wait even if the next search may come late.
pub fn may_wait(input: &OutlookInput) -> bool {
    expected_wait(input).is_some_and(|wait| wait <= input.bound)
        || (!input.over_rate && input.ahead < input.allowance)
}

/// Returns how many requests may wait on this host while the account has few tokens: half of those
/// for which the whole account accrues tokens within `wait`. The other half is left to other hosts.
pub fn waiting_allowance(account_rate: f64, wait: Duration) -> usize {
    (account_rate * wait.as_secs_f64() / 2.0).ceil().max(1.0) as usize
}

/// Decides what to do with a request for which there is no token now.
pub fn decide(input: &OutlookInput) -> TokenPlan {
    if may_wait(input) {
        return TokenPlan::Wait;
    }
    // Without any request that waits, this host would not learn that peers have tokens again.
    if input.next_search.is_zero() && input.ahead < PROBES_MAX {
        return TokenPlan::Probe;
    }
    TokenPlan::Refuse
}

/// The share accrues a token for each request ahead first, and for each promised return.
fn own_wait(input: &OutlookInput) -> Option<Duration> {
    let first = input.own_token.filter(|_| input.own_rate > 0.0)?;
    let seconds = (input.ahead as f64 + input.promised) / input.own_rate;
    Duration::try_from_secs_f64(seconds).ok().map(|ahead| first.saturating_add(ahead))
}

/// Returns after how many searches a token is found more likely than not.
fn searches_to_find(found_per_search: f64) -> f64 {
    if found_per_search >= FOUND_LIKELY {
        return 1.0;
    }
    ((1.0 - FOUND_LIKELY).ln() / (1.0 - found_per_search).ln()).ceil()
}

/// Peers give no more than the whole account accrues, and no more than searches find.
fn peer_wait(input: &OutlookInput) -> Option<Duration> {
    if input.found_per_search < FOUND_MIN || input.account_rate <= 0.0 {
        return None;
    }
    let needed = (input.ahead + 1) as f64;
    let further = searches_to_find(input.found_per_search) - 1.0;
    let searching = input.next_search.as_secs_f64() + further * input.search_pause.as_secs_f64();
    let accruing = (needed - 1.0) / input.account_rate;
    Duration::try_from_secs_f64(searching.max(accruing)).ok()
}
