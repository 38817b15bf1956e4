//! The configuration in force on this host, and the one being fetched.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::core::clock_time;
use crate::core::grant_index;
use crate::core::rendezvous_rank;
use crate::world::config_head;
use crate::world::world_config;

/// The configuration in force on this host, and the one being fetched.
#[derive(Debug, Clone, Default)]
pub struct ConfigState {
    /// The head in force.
    pub head: Option<config_head::ConfigHead>,
    /// The objects in force.
    pub world: Arc<world_config::WorldConfig>,
    /// A newer head whose parts are not all here.
    pub pending: Option<config_head::ConfigHead>,
    /// When the platform last confirmed the pending head as the newest.
    pub pending_confirmed: Option<clock_time::ClockTime>,
    /// When the pending head was learnt.
    pub pending_since: clock_time::ClockTime,
    /// Address of the peer that told of the pending head; it has or is getting the parts.
    pub pending_source: Option<String>,
    /// Parts by hash.
    pub parts: BTreeMap<String, Vec<u8>>,
    /// What the rules in force let each account do.
    pub grants: grant_index::GrantIndex,
    /// The hosts that shares were last dealt to.
    pub home_map: rendezvous_rank::HomeMap,
    /// When the configuration came into force here.
    pub applied_at: clock_time::ClockTime,
    /// Whether it is known when the shares of this configuration open.
    pub activation_scheduled: bool,
    /// When all shares of this configuration are open; holds once it is attested.
    pub activated_at: clock_time::ClockTime,
    /// The newest version whose shares are open, by the live record.
    pub activated_version: u64,
    /// When that record may be written again.
    pub activation_retry_at: clock_time::ClockTime,
}

impl ConfigState {
    /// Returns the version in force, 0 for none.
    pub fn version(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.version)
    }

    /// Returns the version that this host knows to be published, in force here or not.
    pub fn known_version(&self) -> u64 {
        self.pending.as_ref().map_or(0, |head| head.version).max(self.version())
    }

    /// Returns the secret that seals session tokens; empty without a configuration.
    pub fn token_secret(&self) -> &[u8] {
        self.head.as_ref().map_or(&[], |head| &head.token_secret)
    }

    /// Returns the parts of the pending head that are not here.
    pub fn missing_parts(&self) -> Vec<String> {
        let Some(pending) = &self.pending else { return Vec::new() };
        pending.parts.iter().filter(|hash| !self.parts.contains_key(*hash)).cloned().collect()
    }
}
