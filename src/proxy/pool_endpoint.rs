//! Connections to one endpoint that this host serves to the fleet.

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::proxy::lease_scheduler;

/// Connections to one endpoint that this host serves to the fleet.
#[derive(Debug, Default)]
pub struct PoolEndpoint {
    /// The connections, in any state.
    pub connections: Vec<arena_keys::ConnectionKey>,
    /// Leases for whose accounts connections are being opened, in the order of the openings.
    pub opening: Vec<arena_keys::LeaseKey>,
    /// Requests that wait.
    pub scheduler: lease_scheduler::LeaseScheduler,
    /// Until when no connection is opened.
    pub blocked_until: clock_time::ClockTime,
    /// Whether the endpoint refused the last connection other than for its connection limit.
    pub refusing: bool,
    /// Consecutive connections that could not be opened.
    pub failures: u32,
}
