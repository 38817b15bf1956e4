//! Time on one host's monotonic clock.

use std::time::Duration;

/// Microseconds on the monotonic clock of the host that read it.
///
/// Values from different hosts are not comparable, so hosts send each other ages instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct ClockTime(u64);

impl ClockTime {
    /// Builds a time from milliseconds since the clock's start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Builds a time from microseconds since the clock's start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the clock's start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time `duration` later.
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }

    /// Returns the time `duration` earlier, but not before the clock's start.
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is in the future.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
