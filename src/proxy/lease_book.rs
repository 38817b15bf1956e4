//! Links to serving hosts, and which of these hosts are suspected.

use std::collections::{BTreeMap, HashMap, VecDeque};

use slotmap::SlotMap;

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::proxy::host_suspicion;
use crate::proxy::pool_message;
use crate::proxy::serving_link;

/// Links to serving hosts, and which of these hosts are suspected.
#[derive(Debug, Default)]
pub struct LeaseBook {
    /// Links to serving hosts.
    pub links: SlotMap<arena_keys::LinkKey, serving_link::ServingLink>,
    /// Links by IP address and port.
    pub addresses: HashMap<String, arena_keys::LinkKey>,
    /// Suspected hosts by name. They are pinged after each pause, and used again after a reply.
    pub suspected: BTreeMap<String, host_suspicion::HostSuspicion>,
    /// Hosts by name that could not connect to an endpoint, and the endpoint.
    pub unreachable: BTreeMap<(arena_keys::EndpointKey, String), host_suspicion::HostSuspicion>,
    /// Requests of this host to itself as serving host.
    pub own_requests: VecDeque<pool_message::PoolRequest>,
}

impl LeaseBook {
    /// Whether the host is not to be asked for connections to the endpoint now.
    pub fn is_suspected(
        &self,
        host: &String,
        endpoint: arena_keys::EndpointKey,
        now: clock_time::ClockTime,
    ) -> bool {
        let active = |found: Option<&host_suspicion::HostSuspicion>| {
            found.is_some_and(|one| one.active(now))
        };
        (!self.suspected.is_empty() && active(self.suspected.get(host)))
            || (!self.unreachable.is_empty()
                && active(self.unreachable.get(&(endpoint, host.clone()))))
    }

    /// Returns the number of hosts that could not connect to the endpoint lately.
    pub fn unreachable_count(
        &self,
        endpoint: arena_keys::EndpointKey,
        now: clock_time::ClockTime,
    ) -> usize {
        let hosts = self.unreachable.iter().filter(|((other, _), _)| *other == endpoint);
        hosts.filter(|(_, suspicion)| suspicion.active(now)).count()
    }

    /// Forgets endpoints that could not be reached long ago.
    pub fn expire_suspicions(&mut self, now: clock_time::ClockTime) {
        self.unreachable.retain(|_, suspicion| !suspicion.forgotten(now));
    }
}
