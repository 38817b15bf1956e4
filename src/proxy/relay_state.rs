//! State of the relay of the store's changes at one host.

use std::collections::BTreeMap;

use crate::core::clock_time;
use crate::proxy::peer_datagram;

/// A host that requests changes from this one.
#[derive(Debug, Clone)]
pub struct FollowerView {
    /// Its latest request.
    pub request: peer_datagram::ChangesRequest,
    /// When that request arrived.
    pub arrived_at: clock_time::ClockTime,
}

/// State of the relay at this host.
#[derive(Debug, Default)]
pub struct RelayState {
    /// Hosts that request changes from this one, by name.
    pub followers: BTreeMap<String, FollowerView>,
    /// When changes were last requested.
    pub requested_at: clock_time::ClockTime,
    /// Number of requests sent, which determines the peer that gets the next one.
    pub requests: usize,
    /// Whether a peer could not deliver the changes that this host lacks. Cleared by the next reply
    /// of the store.
    pub changes_missing: bool,
    /// Bytes of offered configurations since the last tick.
    pub offered_bytes: usize,
    /// Number of changes sent since the last tick.
    pub items_sent: usize,
}
