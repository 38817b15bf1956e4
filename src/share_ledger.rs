//! One host's share of one account's rate and burst.
//!
//! Every account's rate and burst are dealt out to home hosts. A home lends unused parts to peers
//! for a bounded time: it gives the part up before it sends the loan and takes it back only when
//! the borrower's loan has surely lapsed. The sum over all hosts therefore never exceeds the
//! account's rate and burst, whatever pauses, dies or is cut off.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock_time::ClockTime;

/// How long a loan lasts on the borrower's clock.
pub const LOAN_TTL: Duration = Duration::from_millis(1_000);
/// How much longer the lender waits, for clocks that run at different speeds.
pub const LOAN_MARGIN: Duration = Duration::from_millis(50);
/// Time constant of the demand estimate.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);
/// Part of an unused share that one loan may take.
const LOAN_PART: f64 = 0.5;
/// Loans below this many tokens or tokens a second are not worth a message.
const LOAN_LEAST: f64 = 0.01;
/// Loans that expire within this span are renewed ahead.
const RENEW_AHEAD: Duration = Duration::from_millis(300);
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
}

/// What a short host asks its peers for, and what a lender grants.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The part lent.
    pub part: SharePart,
    /// Tokens that move at once.
    pub tokens: f64,
}

#[derive(Debug, Clone, Copy)]
struct ShareLoan {
    part: SharePart,
    until: ClockTime,
}

/// One host's share of one account.
#[derive(Debug, Clone)]
pub struct ShareLedger {
    home: SharePart,
    next_home: Option<(SharePart, ClockTime)>,
    lent: Vec<ShareLoan>,
    borrowed: Vec<ShareLoan>,
    tokens: f64,
    refilled: ClockTime,
    demand: f64,
    demand_at: ClockTime,
}

impl ShareLedger {
    /// An empty share; nothing is admitted until a home share opens or a loan arrives.
    pub fn new(now: ClockTime) -> Self {
        Self {
            home: SharePart::default(),
            next_home: None,
            lent: Vec::new(),
            borrowed: Vec::new(),
            tokens: 0.0,
            refilled: now,
            demand: 0.0,
            demand_at: now,
        }
    }

    /// Deals this host a new home share.
    ///
    /// Until `opens` the lesser of the old and new share holds, so that hosts which have not heard
    /// of the change can't be admitting what this one already counts as its own.
    pub fn deal(&mut self, now: ClockTime, home: SharePart, opens: ClockTime) {
        self.refill(now);
        self.home = self.home.least(home);
        self.next_home = Some((home, opens));
        self.clip();
    }

    /// Sets the time at which a share that was dealt opens.
    pub fn open_at(&mut self, opens: ClockTime) {
        if let Some((_, at)) = &mut self.next_home {
            *at = opens;
        }
    }

    /// Takes one token, if there is one.
    pub fn admit(&mut self, now: ClockTime) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Counts one arrival towards the demand estimate.
    pub fn note_demand(&mut self, now: ClockTime) {
        self.decay_demand(now);
        self.demand += 1.0 / DEMAND_WINDOW.as_secs_f64();
    }

    /// Returns the estimated arrivals a second.
    pub fn demand(&self) -> f64 {
        self.demand
    }

    /// Returns the tokens held.
    pub fn tokens(&mut self, now: ClockTime) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Returns the part that this host may use now.
    pub fn current(&self) -> SharePart {
        let lent = Self::sum(&self.lent);
        let borrowed = Self::sum(&self.borrowed);
        SharePart {
            rate: (self.home.rate - lent.rate + borrowed.rate).max(0.0),
            burst: (self.home.burst - lent.burst + borrowed.burst).max(0.0),
        }
    }

    /// Returns what to ask peers for, given `waiting` statements without a token.
    pub fn shortage(&mut self, now: ClockTime, waiting: usize) -> Option<ShareGrant> {
        self.refill(now);
        self.decay_demand(now);
        let horizon = now.after(RENEW_AHEAD);
        let lasting: Vec<ShareLoan> =
            self.borrowed.iter().copied().filter(|loan| loan.until > horizon).collect();
        let lent = Self::sum(&self.lent);
        let held = self.home.rate - lent.rate + Self::sum(&lasting).rate;
        let rate = (self.demand * DEMAND_HEADROOM - held).max(0.0);
        let tokens = (waiting as f64 - self.tokens).max(0.0);
        if waiting == 0 && (rate < LOAN_LEAST || self.demand < 1.0) {
            return None;
        }
        let tokens = tokens + self.demand * RENEW_AHEAD.as_secs_f64();
        Some(ShareGrant { part: SharePart { rate, burst: tokens.max(1.0) }, tokens })
    }

    /// Lends part of what this host does not use; `None` when there is nothing to lend.
    pub fn lend(&mut self, now: ClockTime, want: ShareGrant) -> Option<ShareGrant> {
        self.refill(now);
        self.decay_demand(now);
        let lent = Self::sum(&self.lent);
        let own_rate = self.demand * DEMAND_HEADROOM;
        let own_tokens = (self.demand * RENEW_AHEAD.as_secs_f64()).min(self.home.burst);
        let spare_rate = (self.home.rate - lent.rate - own_rate).max(0.0);
        let spare_burst = (self.home.burst - lent.burst - own_tokens).max(0.0);
        let spare_tokens = (self.tokens - own_tokens).max(0.0);
        let rate = Self::part_of(want.part.rate, spare_rate);
        let burst = Self::part_of(want.part.burst, spare_burst);
        let tokens = want.tokens.clamp(0.0, spare_tokens).min(burst);
        let worth = rate.max(tokens);
        if !worth.is_finite() || worth < LOAN_LEAST {
            return None;
        }
        let part = SharePart { rate, burst };
        self.tokens -= tokens;
        self.lent.push(ShareLoan { part, until: now.after(LOAN_TTL + LOAN_MARGIN) });
        self.clip();
        Some(ShareGrant { part, tokens })
    }

    /// Takes up a loan that was asked for at `asked`; a loan that has lapsed is dropped.
    pub fn borrow(&mut self, now: ClockTime, asked: ClockTime, grant: ShareGrant) {
        let until = asked.after(LOAN_TTL);
        if until <= now {
            return;
        }
        self.refill(now);
        self.borrowed.push(ShareLoan { part: grant.part, until });
        self.tokens += grant.tokens;
        self.clip();
    }

    /// Returns the time after which one token will be there at the present rate.
    pub fn wait_for_token(&mut self, now: ClockTime) -> Duration {
        self.refill(now);
        let rate = self.current().rate.max(LOAN_LEAST);
        Duration::from_secs_f64(((1.0 - self.tokens) / rate).clamp(0.001, 60.0))
    }

    fn part_of(want: f64, spare: f64) -> f64 {
        let most = if spare < 1.0 { spare } else { (spare * LOAN_PART).max(1.0) };
        want.clamp(0.0, most)
    }

    fn sum(loans: &[ShareLoan]) -> SharePart {
        let rate = loans.iter().map(|loan| loan.part.rate).sum();
        let burst = loans.iter().map(|loan| loan.part.burst).sum();
        SharePart { rate, burst }
    }

    /// Accrues tokens up to `now`, stopping at each loan's end and at the opening of a share.
    fn refill(&mut self, now: ClockTime) {
        while let Some(change) = self.next_change().filter(|change| *change <= now) {
            self.accrue(change);
            self.apply_changes(change);
        }
        self.accrue(now);
    }

    fn next_change(&self) -> Option<ClockTime> {
        let loans = self.lent.iter().chain(&self.borrowed).map(|loan| loan.until);
        loans.chain(self.next_home.iter().map(|(_, opens)| *opens)).min()
    }

    fn accrue(&mut self, at: ClockTime) {
        let current = self.current();
        let passed = at.since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + current.rate * passed).min(current.burst);
        self.refilled = self.refilled.max(at);
    }

    fn apply_changes(&mut self, at: ClockTime) {
        self.lent.retain(|loan| loan.until > at);
        self.borrowed.retain(|loan| loan.until > at);
        if let Some((home, _)) = self.next_home.take_if(|(_, opens)| *opens <= at) {
            self.home = home;
        }
        self.clip();
    }

    fn clip(&mut self) {
        self.tokens = self.tokens.min(self.current().burst).max(0.0);
    }

    fn decay_demand(&mut self, now: ClockTime) {
        let passed = now.since(self.demand_at).as_secs_f64();
        self.demand *= (-passed / DEMAND_WINDOW.as_secs_f64()).exp();
        self.demand_at = self.demand_at.max(now);
    }
}
