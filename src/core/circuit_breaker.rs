//! Keeps work away from an endpoint that fails, until a status probe has succeeded.

use std::time::Duration;

use crate::core::clock_time;

const PROBE_DELAY_MIN: Duration = Duration::from_millis(100);
const PROBE_DELAY_MAX: Duration = Duration::from_millis(2_000);
const DELAY_DOUBLINGS_MAX: u32 = 5;
/// Failures in a row that open the circuit.
const FAILURES_TO_OPEN: u32 = 2;

/// The circuit to one endpoint.
#[derive(Debug, Clone, Default)]
pub struct CircuitBreaker {
    failures: u32,
    next_probe_at: clock_time::ClockTime,
}

impl CircuitBreaker {
    /// Whether work may go to the endpoint.
    pub fn closed(&self) -> bool {
        self.failures < FAILURES_TO_OPEN
    }

    /// Whether the status probe may try the endpoint again.
    pub fn may_probe(&self, now: clock_time::ClockTime) -> bool {
        now >= self.next_probe_at
    }

    /// Notes a success, which closes the circuit.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure; `jitter` between 0 and 1 spreads the hosts' next probes.
    pub fn fail(&mut self, now: clock_time::ClockTime, jitter: f64) {
        let doublings = self.failures.min(DELAY_DOUBLINGS_MAX);
        let delay = (PROBE_DELAY_MIN * (1 << doublings)).min(PROBE_DELAY_MAX);
        self.failures = self.failures.saturating_add(1);
        self.next_probe_at = now.after(delay.mul_f64(0.5 + jitter / 2.0));
    }
}
