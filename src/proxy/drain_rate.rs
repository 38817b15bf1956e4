//! How fast a queue of requests for leases is granted while requests wait in it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::clock_time;

/// Grants from which the rate is measured.
const GRANTS_MAX: usize = 16;

/// How fast a queue of requests for leases is granted while requests wait in it.
#[derive(Debug, Clone, Default)]
pub struct DrainRate {
    /// When the first request began to wait, and when the last ones were granted.
    times: VecDeque<clock_time::ClockTime>,
}

impl DrainRate {
    /// Begins a measurement, as the first request begins to wait.
    pub fn start(&mut self, now: clock_time::ClockTime) {
        self.times.clear();
        self.times.push_back(now);
    }

    /// Records a grant while requests wait.
    pub fn record_grant(&mut self, now: clock_time::ClockTime) {
        if self.times.len() > GRANTS_MAX {
            self.times.pop_front();
        }
        self.times.push_back(now);
    }

    /// Returns the time within which `count` waiting requests and one more are granted: the mean
    /// and this number of standard deviations, where intervals vary by as much as their mean.
    pub fn expected_wait(
        &self,
        now: clock_time::ClockTime,
        count: usize,
        deviations: f64,
    ) -> Duration {
        let (Some(first), Some(last)) = (self.times.front(), self.times.back()) else {
            return Duration::ZERO;
        };
        let unfinished = now.since(*last).as_secs_f64();
        let grants = (self.times.len() - 1).max(1) as f64;
        let interval = (last.since(*first).as_secs_f64() / grants).max(unfinished);
        let count = (count + 1) as f64;
        Duration::from_secs_f64(interval * (count + deviations * count.sqrt()) - unfinished)
    }
}
