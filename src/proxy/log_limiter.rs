//! Limits the rate of log lines that a burst of requests or faults may cause.

use std::time::Duration;

use crate::core::clock_time;

/// Sustained rate of log lines, per second.
const LINES_PER_SECOND: f64 = 50.0;
/// Maximum burst of log lines.
const LINES_BURST: f64 = 200.0;

/// Token bucket for log lines. Dropped lines are counted, and the count is logged before the next
/// line.
#[derive(Debug)]
pub struct LogLimiter {
    tokens: f64,
    refilled: clock_time::ClockTime,
    dropped: u64,
}

impl LogLimiter {
    /// Creates a limiter whose bucket is full.
    pub fn new(now: clock_time::ClockTime) -> Self {
        Self { tokens: LINES_BURST, refilled: now, dropped: 0 }
    }

    /// Logs the line that `line` builds, or drops it if the bucket is empty.
    pub fn write(&mut self, now: clock_time::ClockTime, line: impl FnOnce() -> String) {
        let elapsed: Duration = now.since(self.refilled);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * LINES_PER_SECOND).min(LINES_BURST);
        self.refilled = now;
        if self.tokens < 1.0 {
            self.dropped += 1;
            return;
        }
        self.tokens -= 1.0;
        let dropped = std::mem::take(&mut self.dropped);
        if dropped > 0 {
            log::warn!("event=log_lines_dropped count={dropped}");
        }
        log::info!("{}", line());
    }
}
