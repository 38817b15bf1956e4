//! Datagrams of the usage reports. They carry totals, so that lost or repeated ones change nothing.

use serde::{Deserialize, Serialize};

/// What one process has counted in one window, or a part of its accounts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowTotals {
    /// Number of the window.
    pub window: u64,
    /// Whether the totals are final.
    pub closed: bool,
    /// Number of accounts in the totals of the window, over all parts.
    pub accounts: u32,
    /// Requests by account.
    pub counts: Vec<(String, u64)>,
}

/// Totals of one process, sent to the coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageTotals {
    /// Name of the sender.
    pub host: String,
    /// Identifies the sender's process; later processes have higher numbers.
    pub incarnation: u64,
    /// First window for which this process may have counted anything; `None` while it does not know
    /// true time.
    pub first_window: Option<u64>,
    /// Sending time in microseconds on the sender's clock.
    pub sent_at_us: u64,
    /// Sending time in microseconds of Unix time by the sender's own clock, which may be wrong;
    /// `None` if it has not been read.
    pub unix_us: Option<u64>,
    /// Totals by window.
    pub windows: Vec<WindowTotals>,
}

/// The coordinator's answer to totals.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReceipt {
    /// Name of the sender.
    pub host: String,
    /// Fencing token of the sender.
    pub token: u64,
    /// Sending time of the totals that this answers, on the receiver's clock.
    pub echoed_us: u64,
    /// Incarnation of the receiver's process that sent them.
    pub echo_incarnation: u64,
    /// True time at the sender, in microseconds of Unix time; `None` while it is not known.
    pub unix_us: Option<u64>,
    /// Closed windows of which nothing needs to be sent again to this coordinator.
    pub received: Vec<u64>,
}
