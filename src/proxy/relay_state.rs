//! State of the relay of the store's changes at one host.

use std::collections::BTreeMap;

use crate::core::clock_time;
use crate::proxy::config_patch;
use crate::proxy::peer_datagram;

/// A host that requests changes from this one.
#[derive(Debug, Clone)]
pub struct FollowerView {
    /// Its latest request.
    pub request: peer_datagram::ChangesRequest,
    /// When that request arrived.
    pub arrived_at: clock_time::ClockTime,
}

/// The configuration in the form for hosts that have none.
#[derive(Debug)]
pub struct EncodedConfig {
    /// Version of the configuration.
    pub version: u64,
    /// The configuration, as the difference from an empty one; `None` if it is too large to be offered.
    pub patch: Option<config_patch::ConfigPatch>,
    /// Size of the patch in encoded bytes.
    pub bytes: usize,
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
    /// The configuration for hosts that have none, kept because many of them ask at the same time.
    pub offer: Option<EncodedConfig>,
    /// Bytes of offered configurations since the last tick.
    pub offered_bytes: usize,
    /// Number of changes sent since the last tick.
    pub items_sent: usize,
}
