//! Requests for leases of one priority, which accounts share by weighted fair queueing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::core::clock_time;
use crate::proxy::account_use;
use crate::proxy::drain_rate;
use crate::proxy::waiting_lease;

/// Weight of a new measurement in the moving average of how often requests are overtaken.
const OVERTAKING_WEIGHT: f64 = 0.2;
/// Accounts whose use is remembered. Beyond that number, fair queueing starts anew.
const ACCOUNTS_MAX: usize = 1_024;

/// Requests for leases of one priority, which accounts share by weighted fair queueing.
#[derive(Debug, Default)]
pub struct PriorityClass {
    /// Waiting requests in the order of their arrival.
    pub waiting: Vec<waiting_lease::WaitingLease>,
    /// Grants to other priorities since the last grant to this one while a request waited here.
    pub passed_over: u32,
    virtual_time: f64,
    uses: BTreeMap<String, account_use::AccountUse>,
    drain: drain_rate::DrainRate,
}

impl PriorityClass {
    /// Returns the number of waiting requests of the account.
    pub fn waiting_of(&self, account: &str) -> usize {
        self.waiting.iter().filter(|waiting| waiting.account == account).count()
    }

    /// Forgets what accounts have used, as nothing is in use or waits any more.
    pub fn reset(&mut self) {
        self.virtual_time = 0.0;
        self.uses.clear();
        self.passed_over = 0;
    }

    /// Returns the position of the request that is granted next. Only accounts in `ready` count
    /// unless `any` is set. An account in `ready` may come before its order by one request.
    pub fn next(
        &self,
        now: clock_time::ClockTime,
        service: Duration,
        ready: &BTreeSet<String>,
        any: bool,
    ) -> Option<usize> {
        let candidates = || {
            let waiting = self.waiting.iter().enumerate();
            waiting.filter(|(_, waiting)| any || ready.contains(&waiting.account))
        };
        let start = |waiting: &waiting_lease::WaitingLease| self.start(&waiting.account);
        let earliest = candidates().map(|(_, waiting)| start(waiting)).min_by(f64::total_cmp)?;
        let order = |waiting: &waiting_lease::WaitingLease| {
            let near =
                ready.contains(&waiting.account) && start(waiting) <= earliest + waiting.cost();
            (!near, start(waiting))
        };
        let compare = |left: &waiting_lease::WaitingLease, right: &waiting_lease::WaitingLease| {
            let ((left_far, left_start), (right_far, right_start)) = (order(left), order(right));
            left_far.cmp(&right_far).then(left_start.total_cmp(&right_start)).then_with(|| {
                match left.account == right.account {
                    true => left.urgency(now, service).cmp(&right.urgency(now, service)),
                    false => std::cmp::Ordering::Equal,
                }
            })
        };
        candidates()
            .min_by(|(_, left), (_, right)| compare(left, right))
            .map(|(position, _)| position)
    }

    /// Queues a request.
    pub fn push(&mut self, now: clock_time::ClockTime, request: waiting_lease::WaitingLease) {
        if self.waiting.is_empty() {
            self.drain.start(now);
        }
        let first = self.waiting_of(&request.account) == 0;
        if self.uses.len() >= ACCOUNTS_MAX && !self.uses.contains_key(&request.account) {
            self.forget_accounts();
        }
        let usage = self.uses.entry(request.account.clone()).or_default();
        if first {
            usage.drain.start(now);
            usage.overtaking = 0.0;
        }
        self.waiting.push(request);
    }

    /// Removes the request at `position`, which is granted, and charges its account.
    pub fn take(
        &mut self,
        now: clock_time::ClockTime,
        service: Duration,
        position: usize,
    ) -> waiting_lease::WaitingLease {
        let starts = self.waiting.iter().map(|waiting| self.start(&waiting.account));
        let earliest = starts.min_by(f64::total_cmp).unwrap_or_default();
        let waiting = self.waiting.remove(position);
        let start = self.start(&waiting.account);
        // Accounts that were passed over keep their place, so time advances with the earliest.
        self.virtual_time = self.virtual_time.max(earliest);
        self.drain.record_grant(now);
        let late = |request: &waiting_lease::WaitingLease| request.urgency(now, service).0;
        let passed =
            self.waiting.iter().any(|other| other.account == waiting.account && late(other));
        let overtakes = if late(&waiting) { 0.0 } else { 1.0 };
        let usage = self.uses.entry(waiting.account.clone()).or_default();
        usage.served = start + waiting.cost();
        usage.drain.record_grant(now);
        if passed {
            usage.overtaking += (overtakes - usage.overtaking) * OVERTAKING_WEIGHT;
        }
        waiting
    }

    /// Puts a request back that was taken and could not be granted, and cancels its charge.
    pub fn put_back(&mut self, waiting: waiting_lease::WaitingLease) {
        if let Some(usage) = self.uses.get_mut(&waiting.account) {
            usage.served -= waiting.cost();
        }
        self.waiting.insert(0, waiting);
    }

    /// Returns the share of the account's grants that go past its requests which miss their target.
    pub fn overtaking(&self, account: &str) -> f64 {
        self.uses.get(account).map_or(0.0, |usage| usage.overtaking)
    }

    /// Returns the time that a new request waits by the rate at which its account and its priority
    /// were granted lately. Unlike the queue alone, it shows what others send meanwhile.
    pub fn measured_wait(
        &self,
        now: clock_time::ClockTime,
        service: Duration,
        request: &waiting_lease::WaitingLease,
        deviations: f64,
    ) -> Duration {
        let own = self.own_ahead(now, service, request);
        let usage = self.uses.get(&request.account).filter(|_| own > 0);
        let own_wait = usage.map(|usage| usage.drain.expected_wait(now, own, deviations));
        let ahead = Some(self.ahead(now, service, request)).filter(|ahead| *ahead > 0);
        let wait = ahead.map(|ahead| self.drain.expected_wait(now, ahead, deviations));
        own_wait.max(wait).unwrap_or_default()
    }

    /// Returns how many waiting requests of this priority are granted before a new one.
    pub fn ahead(
        &self,
        now: clock_time::ClockTime,
        service: Duration,
        request: &waiting_lease::WaitingLease,
    ) -> usize {
        let own = self.own_ahead(now, service, request);
        let start = self.start(&request.account) + own as f64 * request.cost();
        let mut others: BTreeMap<&str, (usize, f64)> = BTreeMap::new();
        for waiting in self.waiting.iter().filter(|waiting| waiting.account != request.account) {
            let (count, _) = others.entry(&waiting.account).or_insert((0, waiting.cost()));
            *count += 1;
        }
        let others = others.into_iter().map(|(account, (count, cost))| {
            let before = (start - self.start(account)) / cost;
            // The same virtual time goes to the request that arrived first.
            (before.floor() + 1.0).clamp(0.0, count as f64) as usize
        });
        own + others.sum::<usize>()
    }

    /// Returns how many requests of the same account are granted before a new one.
    fn own_ahead(
        &self,
        now: clock_time::ClockTime,
        service: Duration,
        request: &waiting_lease::WaitingLease,
    ) -> usize {
        let urgency = request.urgency(now, service);
        let own = self.waiting.iter().filter(|waiting| waiting.account == request.account);
        own.filter(|waiting| waiting.urgency(now, service) <= urgency).count()
    }

    fn start(&self, account: &str) -> f64 {
        self.uses.get(account).map_or(0.0, |usage| usage.served).max(self.virtual_time)
    }

    /// Forgets the accounts that have used no more than their part, or all if there are none.
    fn forget_accounts(&mut self) {
        let virtual_time = self.virtual_time;
        self.uses.retain(|_, usage| usage.served > virtual_time);
        if self.uses.len() >= ACCOUNTS_MAX {
            self.uses.clear();
        }
    }
}
