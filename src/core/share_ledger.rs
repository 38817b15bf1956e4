//! One host's share of one account's rate and burst.
//!
//! The rate and burst of every account are allocated to its home hosts. A home host lends unused
//! parts to peers for a limited time. It deducts the part before it sends the loan, and takes it
//! back only when the borrower's loan has certainly expired. The sum over all hosts therefore never
//! exceeds the account's rate and burst, even if hosts pause, crash or are partitioned.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::clock_time;

/// Duration of a loan on the borrower's clock.
pub const LOAN_TTL: Duration = Duration::from_millis(1_000);
/// Extra time that the lender waits before it takes a loan back, to allow for clock drift.
pub const LOAN_MARGIN: Duration = Duration::from_millis(50);
/// Time constant of the exponentially decaying demand estimate.
const DEMAND_WINDOW: Duration = Duration::from_millis(250);
/// Time for which prepaid tokens may be used.
const PREPAID_TTL: Duration = Duration::from_millis(100);
/// Demand in statements per second below which an account counts as idle.
const DEMAND_IDLE: f64 = 0.01;
/// Retry delay for callers while the activation time of a share is unknown: two heartbeat
/// intervals.
const UNSCHEDULED_RETRY: Duration = Duration::from_millis(1_000);
/// Activation time of a share that is not scheduled yet.
const UNSCHEDULED: clock_time::ClockTime = clock_time::ClockTime::from_micros(u64::MAX);
/// Largest fraction of an unused share that a single loan may take.
const LOAN_FRACTION_MAX: f64 = 0.5;
/// Smallest loan worth a message, in tokens or tokens per second.
const LOAN_MIN: f64 = 0.05;
/// Remaining time below which a loan is renewed.
const RENEW_BEFORE: Duration = Duration::from_millis(300);
/// Minimum remaining time of a borrowed part that is lent on.
const RELEND_REMAINING_MIN: Duration = Duration::from_millis(150);
/// Factor applied to the demand estimate when a share is sized to it.
const DEMAND_HEADROOM: f64 = 1.25;

/// Part of an account's rate and burst.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct SharePart {
    /// Tokens per second.
    pub rate: f64,
    /// Maximum number of accumulated tokens.
    pub burst: f64,
}

impl SharePart {
    /// Returns the minimum of both parts, field by field.
    pub fn component_min(self, other: Self) -> Self {
        Self { rate: self.rate.min(other.rate), burst: self.burst.min(other.burst) }
    }

    /// Returns the sum of both parts, field by field.
    pub fn plus(self, other: Self) -> Self {
        Self { rate: self.rate + other.rate, burst: self.burst + other.burst }
    }

    /// Returns the difference of both parts, field by field and not below zero.
    pub fn minus(self, other: Self) -> Self {
        Self { rate: (self.rate - other.rate).max(0.0), burst: (self.burst - other.burst).max(0.0) }
    }

    fn loan_size(self) -> f64 {
        self.rate.max(self.burst)
    }
}

/// Loan that a borrower requests or a lender grants.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Rate and burst of the loan.
    pub part: SharePart,
    /// Tokens transferred immediately.
    pub tokens: f64,
    /// Duration of the loan from the time of the request, in milliseconds.
    pub ttl_ms: u64,
}

impl ShareGrant {
    /// Divides a request among several lenders. Each part is at least one token, or the total if
    /// that is less.
    pub fn split(self, lenders: usize) -> Self {
        let lenders = lenders.max(1) as f64;
        let divide = |total: f64| (total / lenders).max(total.min(1.0));
        let part = SharePart { rate: self.part.rate / lenders, burst: divide(self.part.burst) };
        Self { part, tokens: divide(self.tokens), ttl_ms: self.ttl_ms }
    }
}

/// Loan received from a peer.
#[derive(Debug, Clone)]
struct ReceivedLoan {
    number: u64,
    part: SharePart,
    until: clock_time::ClockTime,
}

/// Source that a loan to a peer is taken from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoanSource {
    /// The home share.
    Home,
    /// A borrowed part, by loan number.
    Received(u64),
}

/// Loan granted to a peer.
#[derive(Debug, Clone)]
struct GrantedLoan {
    peer: String,
    source: LoanSource,
    part: SharePart,
    until: clock_time::ClockTime,
}

/// One host's share of one account's rate and burst, with the loans granted and received.
#[derive(Debug, Clone)]
pub struct ShareLedger {
    home_share: SharePart,
    next_home_share: Option<(SharePart, clock_time::ClockTime)>,
    lent: Vec<GrantedLoan>,
    borrowed: Vec<ReceivedLoan>,
    next_loan: u64,
    /// Currently usable part, derived from the fields above.
    usable: SharePart,
    tokens: f64,
    refilled_at: clock_time::ClockTime,
    demand: f64,
    demand_at: clock_time::ClockTime,
    /// Prepaid tokens: spent by peers for statements that wait here.
    prepaid: u32,
    prepaid_until: clock_time::ClockTime,
    /// Tokens added when the last allocated share is activated.
    credit: f64,
}

impl ShareLedger {
    /// Creates an empty share; it admits nothing until a home share is activated or a loan arrives.
    pub fn new(now: clock_time::ClockTime) -> Self {
        Self {
            home_share: SharePart::default(),
            next_home_share: None,
            lent: Vec::new(),
            borrowed: Vec::new(),
            next_loan: 0,
            usable: SharePart::default(),
            tokens: 0.0,
            refilled_at: now,
            demand: 0.0,
            demand_at: now,
            prepaid: 0,
            prepaid_until: now,
            credit: 0.0,
        }
    }

    /// Allocates a new home share, which is inactive until the time set by `activate_at`.
    ///
    /// Until then the minimum of the old and new share applies. Otherwise this host could use a
    /// part that hosts without the new configuration still count as theirs.
    pub fn allocate(&mut self, now: clock_time::ClockTime, home_share: SharePart) {
        self.refill(now);
        self.home_share = self.home_share.component_min(home_share);
        self.next_home_share = Some((home_share, UNSCHEDULED));
        self.recompute_usable();
    }

    /// Sets the activation time of the last allocated share, unless it is already set.
    pub fn activate_at(&mut self, activation: clock_time::ClockTime) {
        if let Some((_, at)) = self.next_home_share.as_mut().filter(|(_, at)| *at == UNSCHEDULED) {
            *at = activation;
        }
    }

    /// Credits the tokens that the last allocated share would have accrued in `duration`; they are
    /// added on its activation.
    pub fn credit_accrual(&mut self, duration: Duration) {
        self.credit = (self.allocated().rate * duration.as_secs_f64()).min(self.allocated().burst);
    }

    /// Credits `tokens`, which are added when the last allocated share is activated.
    pub fn credit_tokens(&mut self, tokens: f64) {
        self.credit = (self.credit + tokens).min(self.allocated().burst);
    }

    /// Returns the last allocated home share, active or not.
    pub fn allocated(&self) -> SharePart {
        self.next_home_share.map_or(self.home_share, |(home_share, _)| home_share)
    }

    /// Returns whether demand is below the idle threshold.
    pub fn idle(&mut self, now: clock_time::ClockTime) -> bool {
        self.decay_demand(now);
        self.demand < DEMAND_IDLE
    }

    /// Takes one token if available, and returns whether it did.
    pub fn admit(&mut self, now: clock_time::ClockTime) -> bool {
        if self.prepaid > 0 && now < self.prepaid_until {
            self.prepaid -= 1;
            return true;
        }
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Spends up to `wanted` tokens for statements that wait at a peer, and returns how many.
    pub fn spend_for_peer(&mut self, now: clock_time::ClockTime, wanted: u32) -> u32 {
        self.refill(now);
        let count = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(count);
        count
    }

    /// Adds tokens that a peer has spent for statements that wait here.
    pub fn add_prepaid_tokens(&mut self, now: clock_time::ClockTime, count: u32) {
        if now >= self.prepaid_until {
            self.prepaid = 0;
        }
        self.prepaid += count;
        self.prepaid_until = now.after(PREPAID_TTL);
    }

    /// Counts one arrival in the demand estimate.
    pub fn record_demand(&mut self, now: clock_time::ClockTime) {
        self.decay_demand(now);
        self.demand += 1.0 / DEMAND_WINDOW.as_secs_f64();
    }

    /// Returns the number of tokens held.
    pub fn tokens(&mut self, now: clock_time::ClockTime) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Returns the part that this host may use now.
    pub fn current(&self) -> SharePart {
        self.usable
    }

    /// Returns the loan to request from peers, given the number of statements `waiting` for a
    /// token. Returns `None` if the share suffices.
    pub fn shortage(&mut self, now: clock_time::ClockTime, waiting: usize) -> Option<ShareGrant> {
        self.refill(now);
        self.decay_demand(now);
        // Borrowed parts that are due for renewal count as lost.
        let horizon = now.after(RENEW_BEFORE);
        let lasting = self.borrowed.iter().filter(|loan| loan.until > horizon);
        let lasting = lasting.map(|loan| self.unlent_of(loan));
        let lasting = lasting.fold(self.unlent_home(), SharePart::plus);
        let rate = (self.demand * DEMAND_HEADROOM - lasting.rate).max(0.0);
        let target = waiting as f64 + self.demand * RENEW_BEFORE.as_secs_f64();
        // The tokens held make up for a missing rate of up to as many tokens per second for a
        // second, which is the duration of a loan.
        let sufficient = self.tokens >= target && rate < LOAN_MIN.max(self.tokens);
        if waiting == 0 && (sufficient || self.demand < 1.0) {
            return None;
        }
        // Tokens expire with the loan that brought them, so no more are requested than will be
        // used.
        let tokens = (target - self.tokens).max(0.0);
        let burst = (target.max(1.0) - lasting.burst).max(tokens);
        let part = SharePart { rate, burst };
        Some(ShareGrant { part, tokens, ttl_ms: LOAN_TTL.as_millis() as u64 })
    }

    /// Lends part of the unused share. Returns `None` if there is not enough to lend.
    ///
    /// A borrowed part is lent on for no longer than its own remaining time.
    pub fn lend(
        &mut self,
        now: clock_time::ClockTime,
        peer: &str,
        want: ShareGrant,
    ) -> Option<ShareGrant> {
        self.refill(now);
        self.decay_demand(now);
        let reserved = SharePart {
            rate: self.demand * DEMAND_HEADROOM,
            burst: (self.demand * RENEW_BEFORE.as_secs_f64()).min(self.home_share.burst),
        };
        let current = self.current();
        let spare = SharePart {
            rate: (current.rate - reserved.rate).max(0.0),
            burst: (current.burst - reserved.burst).max(0.0),
        };
        let wanted = SharePart {
            rate: Self::limit_to_spare(want.part.rate, spare.rate),
            burst: Self::limit_to_spare(want.part.burst, spare.burst),
        };
        let spare_tokens = (self.tokens - reserved.burst).max(0.0);
        let loan_size = wanted.rate.max(want.tokens.min(spare_tokens).min(wanted.burst));
        if !loan_size.is_finite() || loan_size < LOAN_MIN {
            return None;
        }
        let (part, ttl) = self.lend_from_sources(now, peer, wanted);
        let tokens = want.tokens.clamp(0.0, spare_tokens).min(part.burst);
        self.tokens -= tokens;
        self.recompute_usable();
        Some(ShareGrant { part, tokens, ttl_ms: ttl.as_millis() as u64 })
    }

    /// Returns whether this host can use nothing until its allocated share is activated.
    pub fn awaiting_activation(&self) -> bool {
        self.usable.rate <= 0.0
            && self.next_home_share.is_some_and(|(home_share, _)| home_share.rate > 0.0)
    }

    /// Returns the peers that have borrowed the most from this host, the largest total first.
    pub fn borrowers(&self, limit: usize) -> Vec<String> {
        let mut held: BTreeMap<&str, f64> = BTreeMap::new();
        for loan in &self.lent {
            *held.entry(&loan.peer).or_default() += loan.part.rate + loan.part.burst;
        }
        let mut ranked: Vec<(&str, f64)> = held.into_iter().collect();
        ranked.sort_by(|left, right| right.1.total_cmp(&left.1));
        ranked.into_iter().take(limit).map(|(peer, _)| peer.to_owned()).collect()
    }

    /// Adds a loan requested at `requested_at`; a loan that has already expired is dropped.
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
        self.borrowed.push(ReceivedLoan { number, part: grant.part, until });
        self.tokens += grant.tokens;
        self.recompute_usable();
    }

    /// Returns the time until one token is available at the current rate.
    pub fn wait_for_token(&mut self, now: clock_time::ClockTime) -> Duration {
        self.refill(now);
        let (rate, activation_wait) = match (self.awaiting_activation(), self.next_home_share) {
            (true, Some((_, UNSCHEDULED))) => return UNSCHEDULED_RETRY,
            (true, Some((home_share, activation))) => (home_share.rate, activation.since(now)),
            _ => (self.current().rate, Duration::ZERO),
        };
        let accrual = ((1.0 - self.tokens) / rate.max(LOAN_MIN)).clamp(0.001, 60.0);
        activation_wait + Duration::from_secs_f64(accrual)
    }

    /// Takes `wanted` from the home share, and the remainder from borrowed parts, those with the
    /// longest remaining time first.
    ///
    /// Returns the part and how long the borrower may use it, limited by the source that expires
    /// first.
    fn lend_from_sources(
        &mut self,
        now: clock_time::ClockTime,
        peer: &str,
        wanted: SharePart,
    ) -> (SharePart, Duration) {
        let mut sources =
            vec![(now.after(LOAN_TTL + LOAN_MARGIN), LoanSource::Home, self.unlent_home())];
        let lasting =
            self.borrowed.iter().filter(|loan| loan.until > now.after(RELEND_REMAINING_MIN));
        let received = lasting
            .map(|loan| (loan.until, LoanSource::Received(loan.number), self.unlent_of(loan)));
        sources.extend(received);
        sources[1..].sort_by_key(|(until, _, _)| std::cmp::Reverse(*until));
        let mut granted = SharePart::default();
        let mut first_expiry = now.after(LOAN_TTL + LOAN_MARGIN);
        for (until, source, unlent) in sources {
            let part = wanted.minus(granted).component_min(unlent);
            if part.loan_size() < LOAN_MIN {
                continue;
            }
            granted = granted.plus(part);
            first_expiry = first_expiry.min(until);
            self.lent.push(GrantedLoan { peer: peer.to_owned(), source, part, until });
        }
        (granted, first_expiry.since(now.after(LOAN_MARGIN)))
    }

    /// Returns the home share minus the loans granted from it.
    fn unlent_home(&self) -> SharePart {
        self.home_share.minus(self.lent_from(LoanSource::Home))
    }

    /// Returns a borrowed part minus the loans granted from it.
    fn unlent_of(&self, loan: &ReceivedLoan) -> SharePart {
        loan.part.minus(self.lent_from(LoanSource::Received(loan.number)))
    }

    fn lent_from(&self, source: LoanSource) -> SharePart {
        let granted = self.lent.iter().filter(|loan| loan.source == source);
        granted.map(|loan| loan.part).fold(SharePart::default(), SharePart::plus)
    }

    fn limit_to_spare(want: f64, spare: f64) -> f64 {
        let limit = if spare < 1.0 { spare } else { (spare * LOAN_FRACTION_MAX).max(1.0) };
        want.clamp(0.0, limit)
    }

    /// Accrues tokens up to `now`, applying expired loans and the activation of a share in order of
    /// time.
    fn refill(&mut self, now: clock_time::ClockTime) {
        while let Some(change) = self.next_change().filter(|change| *change <= now) {
            self.accrue(change);
            self.apply_changes(change);
        }
        self.accrue(now);
    }

    fn next_change(&self) -> Option<clock_time::ClockTime> {
        let granted = self.lent.iter().map(|loan| loan.until);
        let received = self.borrowed.iter().map(|loan| loan.until);
        granted
            .chain(received)
            .chain(self.next_home_share.iter().map(|(_, activation)| *activation))
            .min()
    }

    fn accrue(&mut self, at: clock_time::ClockTime) {
        let current = self.current();
        let passed = at.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + current.rate * passed).min(current.burst);
        self.refilled_at = self.refilled_at.max(at);
    }

    fn apply_changes(&mut self, at: clock_time::ClockTime) {
        self.lent.retain(|loan| loan.until > at);
        self.borrowed.retain(|loan| loan.until > at);
        if let Some((home_share, _)) =
            self.next_home_share.take_if(|(_, activation)| *activation <= at)
        {
            self.home_share = home_share;
            self.tokens += std::mem::take(&mut self.credit);
        }
        self.recompute_usable();
    }

    /// Recomputes the usable part after a change, and drops tokens that exceed its burst.
    fn recompute_usable(&mut self) {
        let received = self.borrowed.iter().map(|loan| self.unlent_of(loan));
        self.usable = received.fold(self.unlent_home(), SharePart::plus);
        self.tokens = self.tokens.min(self.usable.burst).max(0.0);
    }

    fn decay_demand(&mut self, now: clock_time::ClockTime) {
        let passed = now.since(self.demand_at).as_secs_f64();
        self.demand *= (-passed / DEMAND_WINDOW.as_secs_f64()).exp();
        self.demand_at = self.demand_at.max(now);
    }
}
