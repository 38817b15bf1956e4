//! Bounds the log lines that a burst of requests or faults may cause.

use std::time::Duration;

use crate::core::clock_time;

/// Lines a second in the long run.
const LINES_PER_SECOND: f64 = 50.0;
/// Lines at once.
const LINES_AT_ONCE: f64 = 200.0;

/// A budget of log lines; what goes over it is counted and told later.
#[derive(Debug)]
pub struct LogLimiter {
    saved: f64,
    refilled: clock_time::ClockTime,
    left_out: u64,
}

impl LogLimiter {
    /// A full budget.
    pub fn new(now: clock_time::ClockTime) -> Self {
        Self { saved: LINES_AT_ONCE, refilled: now, left_out: 0 }
    }

    /// Writes a line built by `line`, if the budget allows it.
    pub fn write(&mut self, now: clock_time::ClockTime, line: impl FnOnce() -> String) {
        let passed: Duration = now.since(self.refilled);
        self.saved = (self.saved + passed.as_secs_f64() * LINES_PER_SECOND).min(LINES_AT_ONCE);
        self.refilled = now;
        if self.saved < 1.0 {
            self.left_out += 1;
            return;
        }
        self.saved -= 1.0;
        let left_out = std::mem::take(&mut self.left_out);
        if left_out > 0 {
            log::warn!("event=lines_left_out count={left_out}");
        }
        log::info!("{}", line());
    }
}
