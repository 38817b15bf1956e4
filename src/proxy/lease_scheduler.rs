//! Decides which waiting request for a lease of an endpoint's connections is granted next, and
//! which is refused at once.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::proxy::lease_delay;
use crate::proxy::lease_load;
use crate::proxy::priority_class;
use crate::proxy::waiting_lease;

/// Waiting requests of one priority.
const WAITING_MAX: usize = 256;
/// Priorities that are told apart; higher numbers count as the last of them.
const PRIORITIES_MAX: u32 = 8;
/// A priority with waiting requests gets at least one grant out of this many.
const MINIMUM_SHARE_GRANTS: u32 = 10;
/// Time of a lease that is assumed before any has ended, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 20.0;
/// Standard deviations above the mean wait that are expected of a request that misses its target.
const LATE_DEVIATIONS: f64 = 2.0;
/// Least share of grants that is expected to be left for requests that miss their target.
const OVERTAKING_REST_MIN: f64 = 0.01;
/// Weight of a new measurement in the moving average of the time of a lease.
const SERVICE_WEIGHT: f64 = 0.05;

/// Waiting requests for leases of one endpoint's connections.
///
/// Carries the load of many hosts and accounts that compete for the few slots of one endpoint. The
/// next request is chosen by priority, then among accounts by weighted fair queueing, then within
/// an account: requests that can still meet their target come first, earliest target first. Every
/// priority gets at least one grant out of ten while it waits.
#[derive(Debug)]
pub struct LeaseScheduler {
    classes: BTreeMap<u32, priority_class::PriorityClass>,
    /// Moving average of the time for which a lease occupies its place, in milliseconds.
    service_ms: f64,
}

impl Default for LeaseScheduler {
    fn default() -> Self {
        Self { classes: BTreeMap::new(), service_ms: INITIAL_SERVICE_MS }
    }
}

impl LeaseScheduler {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.classes.values().map(|class| class.waiting.len()).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.classes.values().all(|class| class.waiting.is_empty())
    }

    /// Returns the moving average of the time for which a lease occupies its place.
    pub fn service(&self) -> Duration {
        Duration::from_secs_f64(self.service_ms / 1_000.0)
    }

    /// Records the time for which a lease that ended has occupied its place.
    pub fn record_service(&mut self, time: Duration) {
        self.service_ms += (time.as_secs_f64() * 1_000.0 - self.service_ms) * SERVICE_WEIGHT;
    }

    /// Queues a request, or refuses it if it would not be granted in time or the queue is full.
    ///
    /// # Errors
    ///
    /// The expected wait, and when the request would fit.
    pub fn push(
        &mut self,
        now: clock_time::ClockTime,
        mut request: waiting_lease::WaitingLease,
        load: lease_load::LeaseLoad,
    ) -> Result<(), lease_delay::LeaseDelay> {
        request.priority = request.priority.min(PRIORITIES_MAX - 1);
        if load.in_use == 0 && self.is_empty() {
            self.classes.values_mut().for_each(priority_class::PriorityClass::reset);
        }
        let wait = self.expected_wait(now, &request, load);
        let step = self.service() / load.places.max(1) as u32;
        let left = request.until.since(now);
        let class = self.classes.entry(request.priority).or_default();
        // An account may fill what others leave free, so no number of accounts fills the queue.
        let full =
            class.waiting_of(&request.account) >= WAITING_MAX.saturating_sub(class.waiting.len());
        if full || wait > left {
            let retry_after = wait.saturating_sub(left).max(step).max(Duration::from_millis(1));
            return Err(lease_delay::LeaseDelay { wait, retry_after });
        }
        class.push(now, request);
        Ok(())
    }

    /// Returns the expected time until a new request would be granted.
    pub fn expected_wait(
        &self,
        now: clock_time::ClockTime,
        request: &waiting_lease::WaitingLease,
        load: lease_load::LeaseLoad,
    ) -> Duration {
        let service = self.service();
        let priority = request.priority.min(PRIORITIES_MAX - 1);
        let class = self.classes.get(&priority);
        let same = class.map_or(0, |class| class.ahead(now, service, request));
        let higher = self.classes.range(..priority).map(|(_, class)| class.waiting.len());
        let guaranteed = (same + 1) * MINIMUM_SHARE_GRANTS as usize;
        let ahead = (same + higher.sum::<usize>()).min(guaranteed);
        let free = load.places.saturating_sub(load.in_use);
        let wait = match ahead < free {
            true => Duration::ZERO,
            false => service.mul_f64((ahead - free + 1) as f64 / load.places.max(1) as f64),
        };
        let measure = |deviations: f64| {
            let measured =
                class.map(|class| class.measured_wait(now, service, request, deviations));
            wait.max(measured.unwrap_or_default())
        };
        let expected = measure(0.0);
        if now.after(expected + service) <= request.target {
            return expected.max(load.delay);
        }
        // One that will miss its target waits behind others that arrive meanwhile. It is worth
        // little, and a refusal at once is better than one that comes late.
        let overtaking = class.map_or(0.0, |class| class.overtaking(&request.account));
        let rest = (1.0 - overtaking).max(OVERTAKING_REST_MIN);
        measure(LATE_DEVIATIONS).div_f64(rest).max(load.delay)
    }

    /// Removes and returns the request that is granted next. `ready` names the accounts that have
    /// an idle connection; the others count only if `may_open` is set.
    pub fn next(
        &mut self,
        now: clock_time::ClockTime,
        ready: &BTreeSet<String>,
        may_open: bool,
    ) -> Option<waiting_lease::WaitingLease> {
        let service = self.service();
        let candidates: Vec<(u32, usize)> = self
            .classes
            .iter()
            .filter_map(|(priority, class)| {
                Some((*priority, class.next(now, service, ready, may_open)?))
            })
            .collect();
        let passed_over = |priority: &u32| self.classes[priority].passed_over;
        let due = candidates
            .iter()
            .filter(|(priority, _)| passed_over(priority) + 1 >= MINIMUM_SHARE_GRANTS)
            .max_by_key(|(priority, _)| passed_over(priority));
        let (chosen, position) = *due.or(candidates.first())?;
        for class in self.classes.values_mut().filter(|class| class.waiting.is_empty()) {
            class.passed_over = 0;
        }
        for (priority, _) in &candidates {
            if let Some(class) = self.classes.get_mut(priority) {
                class.passed_over = if *priority == chosen { 0 } else { class.passed_over + 1 };
            }
        }
        Some(self.classes.get_mut(&chosen)?.take(now, service, position))
    }

    /// Puts a request back that was taken and could not be granted.
    pub fn put_back(&mut self, request: waiting_lease::WaitingLease) {
        self.classes.entry(request.priority).or_default().put_back(request);
    }

    /// Removes the request for a lease, if it waits.
    pub fn remove(&mut self, lease: arena_keys::LeaseKey) {
        for class in self.classes.values_mut() {
            class.waiting.retain(|waiting| waiting.lease != lease);
        }
    }

    /// Removes and returns the requests whose time is over.
    pub fn take_expired(&mut self, now: clock_time::ClockTime) -> Vec<waiting_lease::WaitingLease> {
        self.take_where(|waiting| waiting.until <= now)
    }

    /// Removes and returns all requests.
    pub fn take_all(&mut self) -> Vec<waiting_lease::WaitingLease> {
        self.take_where(|_| true)
    }

    fn take_where(
        &mut self,
        condition: impl Fn(&waiting_lease::WaitingLease) -> bool,
    ) -> Vec<waiting_lease::WaitingLease> {
        let mut taken = Vec::new();
        for class in self.classes.values_mut() {
            taken.extend(class.waiting.extract_if(.., |waiting| condition(waiting)));
        }
        taken
    }
}
