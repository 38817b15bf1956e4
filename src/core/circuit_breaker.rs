//! Circuit breaker: stops sending requests to a failing endpoint until a status probe succeeds.

use std::time::Duration;

use crate::core::clock_time;

/// Delay before the first probe after a failure; doubles with each further failure.
const PROBE_DELAY_MIN: Duration = Duration::from_millis(100);
/// Upper bound of the delay between probes.
const PROBE_DELAY_MAX: Duration = Duration::from_millis(2_000);
/// Most times that the delay is doubled.
const DELAY_DOUBLINGS_MAX: u32 = 5;
/// Consecutive failures after which the circuit opens.
const FAILURES_TO_OPEN: u32 = 2;

/// Circuit breaker of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct CircuitBreaker {
    failures: u32,
    next_probe_at: clock_time::ClockTime,
}

impl CircuitBreaker {
    /// Whether requests may be sent to the endpoint.
    pub fn closed(&self) -> bool {
        self.failures < FAILURES_TO_OPEN
    }

    /// Whether the delay before the next status probe has passed.
    pub fn may_probe(&self, now: clock_time::ClockTime) -> bool {
        now >= self.next_probe_at
    }

    /// Closes the circuit after the endpoint has responded.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Counts a failure and delays the next probe. `jitter`, between 0 and 1, takes off up to half
    /// of the delay so that the hosts do not probe at the same time.
    pub fn fail(&mut self, now: clock_time::ClockTime, jitter: f64) {
        let doublings = self.failures.min(DELAY_DOUBLINGS_MAX);
        let delay = (PROBE_DELAY_MIN * (1 << doublings)).min(PROBE_DELAY_MAX);
        self.failures = self.failures.saturating_add(1);
        self.next_probe_at = now.after(delay.mul_f64(0.5 + jitter / 2.0));
    }
}
