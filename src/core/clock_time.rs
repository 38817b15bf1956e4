//! A reading of one host's monotonic clock.

use std::time::Duration;

/// Microseconds on the monotonic clock of the host that read it.
///
/// Readings of different hosts are never compared; ages travel between hosts instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct ClockTime(u64);

impl ClockTime {
    /// Builds a reading from whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Builds a reading from whole microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the reading in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the reading that lies `span` later.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }

    /// Returns the reading that lies `span` earlier, or the clock's start.
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_micros() as u64))
    }

    /// Returns the time passed since `earlier`, zero when `earlier` lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
