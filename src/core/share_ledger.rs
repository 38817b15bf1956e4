//! One host's share of one account's rate and burst.
//!
//! Every account's rate and burst are dealt out to home hosts. A home lends unused parts to peers
//! for a bounded time: it gives the part up before it sends the loan and takes it back only when
//! the borrower's loan has surely lapsed. The sum over all hosts therefore never exceeds the
//! account's rate and burst, whatever pauses, dies or is cut off.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::clock_time;

/// How long a loan lasts on the borrower's clock.
pub const LOAN_TTL: Duration = Duration::from_millis(1_000);
/// How much longer the lender waits, for clocks that run at different speeds.
pub const LOAN_MARGIN: Duration = Duration::from_millis(50);
/// Time constant of the demand estimate.
const DEMAND_WINDOW: Duration = Duration::from_millis(250);
/// How long tokens that a peer gave up for waiting statements may be used.
const PASS_TTL: Duration = Duration::from_millis(100);
/// Demand below this many statements a second counts as none.
const DEMAND_IDLE: f64 = 0.01;
/// What callers wait while it is not known when a share opens: two rounds of pulses.
const OPENING_UNKNOWN_RETRY: Duration = Duration::from_millis(1_000);
/// A time that no clock reaches.
const NEVER: clock_time::ClockTime = clock_time::ClockTime::from_micros(u64::MAX);
/// Part of an unused share that one loan may take.
const LOAN_PART: f64 = 0.5;
/// Loans below this many tokens or tokens a second are not worth a message.
const LOAN_LEAST: f64 = 0.05;
/// Loans that expire within this span are renewed ahead.
const RENEW_AHEAD: Duration = Duration::from_millis(300);
/// Loans that expire within this span are not lent on.
const ONWARD_LEAST: Duration = Duration::from_millis(150);
/// Factor on the demand estimate when a share is sized to it.
const DEMAND_HEADROOM: f64 = 1.25;

/// A part of an account's rate and burst.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct SharePart {
    /// Tokens a second.
    pub rate: f64,
    /// Most tokens held at once.
    pub burst: f64,
}

impl SharePart {
    /// The lesser of two parts, field by field.
    pub fn least(self, other: Self) -> Self {
        Self { rate: self.rate.min(other.rate), burst: self.burst.min(other.burst) }
    }

    /// The sum of two parts, field by field.
    pub fn plus(self, other: Self) -> Self {
        Self { rate: self.rate + other.rate, burst: self.burst + other.burst }
    }

    /// The difference of two parts, field by field, nothing less than zero.
    pub fn minus(self, other: Self) -> Self {
        Self { rate: (self.rate - other.rate).max(0.0), burst: (self.burst - other.burst).max(0.0) }
    }

    fn worth(self) -> f64 {
        self.rate.max(self.burst)
    }
}

/// What a short host asks its peers for, and what a lender grants.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The part lent.
    pub part: SharePart,
    /// Tokens that move at once.
    pub tokens: f64,
    /// How long the loan lasts from the time that it was asked for, in milliseconds.
    pub ttl_ms: u64,
}

impl ShareGrant {
    /// Divides a want among several lenders; none is asked for less than one token, if one is
    /// wanted at all.
    pub fn split(self, lenders: usize) -> Self {
        let lenders = lenders.max(1) as f64;
        let divide = |whole: f64| (whole / lenders).max(whole.min(1.0));
        let part = SharePart { rate: self.part.rate / lenders, burst: divide(self.part.burst) };
        Self { part, tokens: divide(self.tokens), ttl_ms: self.ttl_ms }
    }
}

/// A loan taken from a peer.
#[derive(Debug, Clone)]
struct TakenLoan {
    number: u64,
    part: SharePart,
    until: clock_time::ClockTime,
}

/// What a loan to a peer was taken out of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoanSource {
    /// The home share.
    Home,
    /// A loan taken, by number.
    Taken(u64),
}

/// A loan given to a peer.
#[derive(Debug, Clone)]
struct GivenLoan {
    peer: String,
    source: LoanSource,
    part: SharePart,
    until: clock_time::ClockTime,
}

/// One host's share of one account.
#[derive(Debug, Clone)]
pub struct ShareLedger {
    home: SharePart,
    next_home: Option<(SharePart, clock_time::ClockTime)>,
    lent: Vec<GivenLoan>,
    borrowed: Vec<TakenLoan>,
    next_loan: u64,
    /// The part that may be used now; follows from the fields above.
    usable: SharePart,
    tokens: f64,
    refilled: clock_time::ClockTime,
    demand: f64,
    demand_at: clock_time::ClockTime,
    /// Tokens that peers have spent for statements that wait here, and how long they may be used.
    passes: u32,
    passes_until: clock_time::ClockTime,
    /// Tokens that come with the opening of the share dealt last.
    credit: f64,
}

impl ShareLedger {
    /// An empty share; nothing is admitted until a home share opens or a loan arrives.
    pub fn new(now: clock_time::ClockTime) -> Self {
        Self {
            home: SharePart::default(),
            next_home: None,
            lent: Vec::new(),
            borrowed: Vec::new(),
            next_loan: 0,
            usable: SharePart::default(),
            tokens: 0.0,
            refilled: now,
            demand: 0.0,
            demand_at: now,
            passes: 0,
            passes_until: now,
            credit: 0.0,
        }
    }

    /// Deals this host a new home share, which stays closed until `activate_at`.
    ///
    /// Until it opens the lesser of the old and new share holds, so that hosts which have not heard
    /// of the change can't be admitting what this one already counts as its own.
    pub fn allocate(&mut self, now: clock_time::ClockTime, home: SharePart) {
        self.refill(now);
        self.home = self.home.least(home);
        self.next_home = Some((home, NEVER));
        self.settle();
    }

    /// Sets the time at which a share that was dealt opens, unless it is set already.
    pub fn activate_at(&mut self, opens: clock_time::ClockTime) {
        if let Some((_, at)) = self.next_home.as_mut().filter(|(_, at)| *at == NEVER) {
            *at = opens;
        }
    }

    /// Counts tokens that the share dealt last would have accrued in `span`; they are there as soon
    /// as it opens.
    pub fn credit(&mut self, span: Duration) {
        self.credit = (self.allocated().rate * span.as_secs_f64()).min(self.allocated().burst);
    }

    /// Adds tokens that are there as soon as the share dealt last opens.
    pub fn grant(&mut self, tokens: f64) {
        self.credit = (self.credit + tokens).min(self.allocated().burst);
    }

    /// Returns the home share dealt last, open or not.
    pub fn allocated(&self) -> SharePart {
        self.next_home.map_or(self.home, |(home, _)| home)
    }

    /// Whether there is hardly any demand.
    pub fn idle(&mut self, now: clock_time::ClockTime) -> bool {
        self.decay_demand(now);
        self.demand < DEMAND_IDLE
    }

    /// Takes one token, if there is one.
    pub fn admit(&mut self, now: clock_time::ClockTime) -> bool {
        if self.passes > 0 && now < self.passes_until {
            self.passes -= 1;
            return true;
        }
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Spends up to `wanted` tokens for statements that wait at a peer; returns how many.
    pub fn spend_for_peer(&mut self, now: clock_time::ClockTime, wanted: u32) -> u32 {
        self.refill(now);
        let count = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(count);
        count
    }

    /// Takes up tokens that a peer has spent for statements that wait here.
    pub fn add_prepaid_tokens(&mut self, now: clock_time::ClockTime, count: u32) {
        if now >= self.passes_until {
            self.passes = 0;
        }
        self.passes += count;
        self.passes_until = now.after(PASS_TTL);
    }

    /// Counts one arrival towards the demand estimate.
    pub fn record_demand(&mut self, now: clock_time::ClockTime) {
        self.decay_demand(now);
        self.demand += 1.0 / DEMAND_WINDOW.as_secs_f64();
    }

    /// Returns the tokens held.
    pub fn tokens(&mut self, now: clock_time::ClockTime) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Returns the part that this host may use now.
    pub fn current(&self) -> SharePart {
        self.usable
    }

    /// Returns what to ask peers for, given `waiting` statements without a token.
    pub fn shortage(&mut self, now: clock_time::ClockTime, waiting: usize) -> Option<ShareGrant> {
        self.refill(now);
        self.decay_demand(now);
        let horizon = now.after(RENEW_AHEAD);
        let lasting = self.borrowed.iter().filter(|loan| loan.until > horizon);
        let lasting = lasting.map(|loan| self.free_of_loan(loan));
        let lasting = lasting.fold(self.free_home(), SharePart::plus);
        let rate = (self.demand * DEMAND_HEADROOM - lasting.rate).max(0.0);
        let target = waiting as f64 + self.demand * RENEW_AHEAD.as_secs_f64();
        let ample = self.tokens >= target && rate < LOAN_LEAST.max(self.tokens);
        if waiting == 0 && (ample || self.demand < 1.0) {
            return None;
        }
        // Tokens lapse with the loan that brought them, so no more are asked for than are used.
        let tokens = (target - self.tokens).max(0.0);
        let burst = (target.max(1.0) - lasting.burst).max(tokens);
        let part = SharePart { rate, burst };
        Some(ShareGrant { part, tokens, ttl_ms: LOAN_TTL.as_millis() as u64 })
    }

    /// Lends part of what this host does not use; `None` when there is nothing to lend.
    ///
    /// A part that was borrowed itself is lent on for no longer than it was borrowed.
    pub fn lend(
        &mut self,
        now: clock_time::ClockTime,
        peer: &str,
        want: ShareGrant,
    ) -> Option<ShareGrant> {
        self.refill(now);
        self.decay_demand(now);
        let own = SharePart {
            rate: self.demand * DEMAND_HEADROOM,
            burst: (self.demand * RENEW_AHEAD.as_secs_f64()).min(self.home.burst),
        };
        let current = self.current();
        let spare = SharePart {
            rate: (current.rate - own.rate).max(0.0),
            burst: (current.burst - own.burst).max(0.0),
        };
        let wanted = SharePart {
            rate: Self::part_of(want.part.rate, spare.rate),
            burst: Self::part_of(want.part.burst, spare.burst),
        };
        let spare_tokens = (self.tokens - own.burst).max(0.0);
        let worth = wanted.rate.max(want.tokens.min(spare_tokens).min(wanted.burst));
        if !worth.is_finite() || worth < LOAN_LEAST {
            return None;
        }
        let (part, ttl) = self.give(now, peer, wanted);
        let tokens = want.tokens.clamp(0.0, spare_tokens).min(part.burst);
        self.tokens -= tokens;
        self.settle();
        Some(ShareGrant { part, tokens, ttl_ms: ttl.as_millis() as u64 })
    }

    /// Whether nothing may be used here until a share that was dealt opens.
    pub fn closed(&self) -> bool {
        self.usable.rate <= 0.0 && self.next_home.is_some_and(|(home, _)| home.rate > 0.0)
    }

    /// Returns the hosts that hold most of what this one has lent, the greatest part first.
    pub fn borrowers(&self, most: usize) -> Vec<String> {
        let mut held: BTreeMap<&str, f64> = BTreeMap::new();
        for loan in &self.lent {
            *held.entry(&loan.peer).or_default() += loan.part.rate + loan.part.burst;
        }
        let mut ranked: Vec<(&str, f64)> = held.into_iter().collect();
        ranked.sort_by(|left, right| right.1.total_cmp(&left.1));
        ranked.into_iter().take(most).map(|(peer, _)| peer.to_owned()).collect()
    }

    /// Takes up a loan that was asked for at `requested_at`; a loan that has lapsed is dropped.
    pub fn borrow(
        &mut self,
        now: clock_time::ClockTime,
        requested_at: clock_time::ClockTime,
        grant: ShareGrant,
    ) {
        let ttl = Duration::from_millis(grant.ttl_ms).min(LOAN_TTL);
        let until = requested_at.after(ttl);
        if until <= now {
            return;
        }
        self.refill(now);
        let number = self.next_loan;
        self.next_loan += 1;
        self.borrowed.push(TakenLoan { number, part: grant.part, until });
        self.tokens += grant.tokens;
        self.settle();
    }

    /// Returns the time after which one token will be there at the present rate.
    pub fn wait_for_token(&mut self, now: clock_time::ClockTime) -> Duration {
        self.refill(now);
        let (rate, closed) = match (self.closed(), self.next_home) {
            (true, Some((_, NEVER))) => return OPENING_UNKNOWN_RETRY,
            (true, Some((home, opens))) => (home.rate, opens.since(now)),
            _ => (self.current().rate, Duration::ZERO),
        };
        let accrual = ((1.0 - self.tokens) / rate.max(LOAN_LEAST)).clamp(0.001, 60.0);
        closed + Duration::from_secs_f64(accrual)
    }

    /// Gives what is wanted out of the home share, and the rest out of loans taken, the longest
    /// first.
    ///
    /// Returns the part and how long the borrower may use it: no longer than the first of the
    /// sources lasts.
    fn give(
        &mut self,
        now: clock_time::ClockTime,
        peer: &str,
        wanted: SharePart,
    ) -> (SharePart, Duration) {
        let mut sources =
            vec![(now.after(LOAN_TTL + LOAN_MARGIN), LoanSource::Home, self.free_home())];
        let lasting = self.borrowed.iter().filter(|loan| loan.until > now.after(ONWARD_LEAST));
        let taken = lasting
            .map(|loan| (loan.until, LoanSource::Taken(loan.number), self.free_of_loan(loan)));
        sources.extend(taken);
        sources[1..].sort_by_key(|(until, _, _)| std::cmp::Reverse(*until));
        let mut given = SharePart::default();
        let mut first = now.after(LOAN_TTL + LOAN_MARGIN);
        for (until, source, free) in sources {
            let part = wanted.minus(given).least(free);
            if part.worth() < LOAN_LEAST {
                continue;
            }
            given = given.plus(part);
            first = first.min(until);
            self.lent.push(GivenLoan { peer: peer.to_owned(), source, part, until });
        }
        (given, first.since(now.after(LOAN_MARGIN)))
    }

    /// What is left of the home share after the loans given out of it.
    fn free_home(&self) -> SharePart {
        self.home.minus(self.given_out_of(LoanSource::Home))
    }

    /// What is left of a loan taken after the loans given out of it.
    fn free_of_loan(&self, loan: &TakenLoan) -> SharePart {
        loan.part.minus(self.given_out_of(LoanSource::Taken(loan.number)))
    }

    fn given_out_of(&self, source: LoanSource) -> SharePart {
        let given = self.lent.iter().filter(|loan| loan.source == source);
        given.map(|loan| loan.part).fold(SharePart::default(), SharePart::plus)
    }

    fn part_of(want: f64, spare: f64) -> f64 {
        let most = if spare < 1.0 { spare } else { (spare * LOAN_PART).max(1.0) };
        want.clamp(0.0, most)
    }

    /// Accrues tokens up to `now`, stopping at each loan's end and at the opening of a share.
    fn refill(&mut self, now: clock_time::ClockTime) {
        while let Some(change) = self.next_change().filter(|change| *change <= now) {
            self.accrue(change);
            self.apply_changes(change);
        }
        self.accrue(now);
    }

    fn next_change(&self) -> Option<clock_time::ClockTime> {
        let given = self.lent.iter().map(|loan| loan.until);
        let taken = self.borrowed.iter().map(|loan| loan.until);
        given.chain(taken).chain(self.next_home.iter().map(|(_, opens)| *opens)).min()
    }

    fn accrue(&mut self, at: clock_time::ClockTime) {
        let current = self.current();
        let passed = at.since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + current.rate * passed).min(current.burst);
        self.refilled = self.refilled.max(at);
    }

    fn apply_changes(&mut self, at: clock_time::ClockTime) {
        self.lent.retain(|loan| loan.until > at);
        self.borrowed.retain(|loan| loan.until > at);
        if let Some((home, _)) = self.next_home.take_if(|(_, opens)| *opens <= at) {
            self.home = home;
            self.tokens += std::mem::take(&mut self.credit);
        }
        self.settle();
    }

    /// Works out the usable part anew after a change, and drops tokens beyond its burst.
    fn settle(&mut self) {
        let taken = self.borrowed.iter().map(|loan| self.free_of_loan(loan));
        self.usable = taken.fold(self.free_home(), SharePart::plus);
        self.tokens = self.tokens.min(self.usable.burst).max(0.0);
    }

    fn decay_demand(&mut self, now: clock_time::ClockTime) {
        let passed = now.since(self.demand_at).as_secs_f64();
        self.demand *= (-passed / DEMAND_WINDOW.as_secs_f64()).exp();
        self.demand_at = self.demand_at.max(now);
    }
}
