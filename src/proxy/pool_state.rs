//! Connections that this host serves to the fleet, and their leases.

use std::collections::BTreeMap;

use slotmap::{SecondaryMap, SlotMap};

use crate::core::arena_keys;
use crate::daemon::latency_histograms;
use crate::proxy::lease_state;
use crate::proxy::pool_endpoint;
use crate::proxy::pool_message;

/// Name of the histogram of the time from the request for a lease to its grant.
pub const WAIT_NAME: &str = "lease";

/// Connections that this host serves to the fleet, and their leases.
#[derive(Debug, Default)]
pub struct PoolState {
    /// Endpoints whose connections were requested.
    pub endpoints: SecondaryMap<arena_keys::EndpointKey, pool_endpoint::PoolEndpoint>,
    /// Leases, and requests for leases.
    pub leases: SlotMap<arena_keys::LeaseKey, lease_state::LeaseState>,
    /// Leases by link and channel; links without any are left out.
    pub links:
        BTreeMap<pool_message::LinkId, BTreeMap<pool_message::ChannelId, arena_keys::LeaseKey>>,
    /// Time from the request for a lease to its grant.
    pub waits: latency_histograms::LatencyHistograms,
}

impl PoolState {
    /// Returns the lease with this channel on the link.
    pub fn find(
        &self,
        link: pool_message::LinkId,
        channel: pool_message::ChannelId,
    ) -> Option<arena_keys::LeaseKey> {
        self.links.get(&link)?.get(&channel).copied()
    }

    /// Returns whether there are leases or requests for leases.
    pub fn in_use(&self) -> bool {
        !self.leases.is_empty()
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.endpoints.values().map(|endpoint| endpoint.scheduler.len()).sum()
    }
}
