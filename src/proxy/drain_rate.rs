//! How fast a queue of requests for leases is granted while requests wait in it.

use std::time::Duration;

use crate::core::clock_time;

/// Weight of a new measurement in the moving average of the interval between grants.
const INTERVAL_WEIGHT: f64 = 0.2;

/// How fast a queue of requests for leases is granted while requests wait in it.
#[derive(Debug, Clone, Copy, Default)]
pub struct DrainRate {
    /// When the last request was granted, or the first one began to wait.
    since: clock_time::ClockTime,
    /// Moving average of the interval between grants, in seconds; `None` before the first.
    interval: Option<f64>,
}

impl DrainRate {
    /// Begins a measurement, as the first request begins to wait.
    pub fn start(now: clock_time::ClockTime) -> Self {
        Self { since: now, interval: None }
    }

    /// Records a grant while requests wait.
    pub fn record_grant(&mut self, now: clock_time::ClockTime) {
        let sample = now.since(self.since).as_secs_f64();
        let average = self.interval.unwrap_or(sample);
        self.interval = Some(average + (sample - average) * INTERVAL_WEIGHT);
        self.since = now;
    }

    /// Returns the expected time until `count` waiting requests are granted.
    pub fn expected_wait(&self, now: clock_time::ClockTime, count: usize) -> Duration {
        let unfinished = now.since(self.since).as_secs_f64();
        let interval = self.interval.unwrap_or_default().max(unfinished);
        Duration::from_secs_f64(interval * count as f64)
    }
}
