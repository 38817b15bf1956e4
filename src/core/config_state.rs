//! The active configuration of this host, and the one being fetched.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::config::config_head;
use crate::config::fleet_config;
use crate::core::clock_time;
use crate::core::grant_index;
use crate::core::rendezvous_rank;

/// The active configuration of this host, and the one being fetched.
#[derive(Debug, Clone, Default)]
pub struct ConfigState {
    /// Head of the active configuration.
    pub head: Option<config_head::ConfigHead>,
    /// Objects of the active configuration.
    pub active: Arc<fleet_config::FleetConfig>,
    /// Head of a newer configuration of which parts are missing.
    pub pending: Option<config_head::ConfigHead>,
    /// When the platform last confirmed the pending head as the newest.
    pub pending_confirmed: Option<clock_time::ClockTime>,
    /// When this host received the pending head.
    pub pending_since: clock_time::ClockTime,
    /// Address of the peer that sent the pending head; that peer has the parts or is fetching them.
    pub pending_source: Option<String>,
    /// Parts by hash.
    pub parts: BTreeMap<String, Vec<u8>>,
    /// Access that the active rules grant to each account.
    pub grants: grant_index::GrantIndex,
    /// Hosts among which shares were last allocated.
    pub home_map: rendezvous_rank::HomeMap,
    /// When the configuration was applied on this host.
    pub applied_at: clock_time::ClockTime,
    /// Whether the activation time of this configuration's shares is set.
    pub activation_scheduled: bool,
    /// When all shares of this configuration are active; valid once `activation_scheduled` is set.
    pub activated_at: clock_time::ClockTime,
    /// Newest version whose shares are active according to the live record.
    pub activated_version: u64,
    /// Earliest time at which the live record may be written again.
    pub activation_retry_at: clock_time::ClockTime,
}

impl ConfigState {
    /// Returns the active version, 0 for none.
    pub fn version(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.version)
    }

    /// Returns the newest version that this host knows to be published, whether active here or not.
    pub fn known_version(&self) -> u64 {
        self.pending.as_ref().map_or(0, |head| head.version).max(self.version())
    }

    /// Returns the secret that signs session tokens; empty without a configuration.
    pub fn token_secret(&self) -> &[u8] {
        self.head.as_ref().map_or(&[], |head| &head.token_secret)
    }

    /// Returns the hashes of the pending configuration's parts that this host does not have.
    pub fn missing_parts(&self) -> Vec<String> {
        let Some(pending) = &self.pending else { return Vec::new() };
        pending.parts.iter().filter(|hash| !self.parts.contains_key(*hash)).cloned().collect()
    }
}
