//! Settings of the usage reports.

use std::time::Duration;

/// Settings of the usage reports, where the host has this duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageTuning {
    /// Length of a window. Window k begins k times this after the start of 1970 in true time.
    pub window: Duration,
    /// Time after the end of a window by which its report is due.
    pub late: Duration,
    /// Least pause between two calls.
    pub call_pause: Duration,
}
