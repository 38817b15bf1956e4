//! How much of an endpoint the leases of its connections use.

use std::time::Duration;

/// How much of an endpoint the leases of its connections use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeaseLoad {
    /// Leases that execute, and connections that are being opened.
    pub in_use: usize,
    /// Most leases that may execute at once.
    pub places: usize,
    /// Time until a connection may be opened, if the request needs a new one.
    pub delay: Duration,
}
