//! Estimate of the time that a request waits for a lease.

use std::time::Duration;

use crate::core::clock_time;

/// Least weight of a new observation in the estimate; it grows with the time since the last one.
const OBSERVATION_WEIGHT: f64 = 0.3;
/// Time in which an estimate without new observations falls to half, so that an endpoint is tried
/// again.
const HALF_LIFE: Duration = Duration::from_millis(500);

/// Estimate of the time that a request waits for a lease of a connection to an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaseWait {
    wait_ms: f64,
    observed_at: clock_time::ClockTime,
}

impl LeaseWait {
    /// Returns the estimate in milliseconds.
    pub fn expected_ms(&self, now: clock_time::ClockTime) -> f64 {
        self.wait_ms * self.remaining(now)
    }

    /// Adds the wait of a request that was granted or refused a lease.
    pub fn observe(&mut self, now: clock_time::ClockTime, wait: Duration) {
        let kept = (1.0 - OBSERVATION_WEIGHT) * self.remaining(now);
        self.wait_ms = self.wait_ms * kept + wait.as_secs_f64() * 1_000.0 * (1.0 - kept);
        self.observed_at = now;
    }

    /// Adds the wait of a request that gave up; it shows only that the wait is at least as long.
    pub fn observe_at_least(&mut self, now: clock_time::ClockTime, wait: Duration) {
        if wait.as_secs_f64() * 1_000.0 > self.expected_ms(now) {
            self.observe(now, wait);
        }
    }

    fn remaining(&self, now: clock_time::ClockTime) -> f64 {
        let age = now.since(self.observed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        0.5_f64.powf(age)
    }
}
