//! Lease of a connection that this host asked a serving host for.

use crate::core::arena_keys;
use crate::core::clock_time;

/// Lease of a connection that this host asked a serving host for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AskedLease {
    /// Link to the serving host.
    pub link: arena_keys::LinkKey,
    /// Request that it was asked for.
    pub request: arena_keys::StatementKey,
    /// When it was asked for.
    pub asked_at: clock_time::ClockTime,
    /// Whether the serving host has ended it, so that there is nothing to release.
    pub ended: bool,
}
