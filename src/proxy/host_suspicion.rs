//! Pause in the use of a serving host that did not do its part.

use std::time::Duration;

use crate::core::clock_time;

/// Pause after the first failure.
const PAUSE_MIN: Duration = Duration::from_secs(1);
/// Most times that the pause is doubled, with failures that follow each other.
const DOUBLINGS_MAX: u32 = 3;

/// Pause in the use of a serving host, for all endpoints or for one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HostSuspicion {
    until: clock_time::ClockTime,
    failures: u32,
}

impl HostSuspicion {
    /// Whether the host is not to be used now.
    pub fn active(&self, now: clock_time::ClockTime) -> bool {
        now < self.until
    }

    /// Counts a failure and returns for how long the host is not used.
    pub fn raise(&mut self, now: clock_time::ClockTime) -> Duration {
        let pause = PAUSE_MIN * (1 << self.failures.min(DOUBLINGS_MAX));
        self.failures = self.failures.saturating_add(1);
        self.until = now.after(pause);
        pause
    }

    /// Whether it ended so long ago that the next failure counts as the first.
    pub fn forgotten(&self, now: clock_time::ClockTime) -> bool {
        now.since(self.until) >= PAUSE_MIN * (1 << DOUBLINGS_MAX)
    }
}
