//! What this host knows of one endpoint, and its connections to it.

use crate::core::arena_keys;
use crate::core::circuit_breaker;
use crate::core::clock_time;
use crate::core::endpoint_message;

/// A status with the time at which it was asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedStatus {
    /// The status.
    pub status: endpoint_message::EndpointStatus,
    /// When it was asked for; it was true at some time after.
    pub requested_at: clock_time::ClockTime,
}

/// A copy that is not in the group's record yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewCopy {
    /// Identity of the copy.
    pub copy: u64,
    /// When it was first seen.
    pub since: clock_time::ClockTime,
    /// The point that it must reach before it counts: the primary's end of log after `since`.
    pub target: Option<endpoint_message::LogPoint>,
}

/// What this host knows of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// Name.
    pub name: String,
    /// Address of the database.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// The group it is a copy of.
    pub group: Option<arena_keys::GroupKey>,
    /// Whether it takes new work.
    pub in_service: bool,
    /// Most work connections of this host.
    pub connection_limit: usize,
    /// Work connections, open or opening.
    pub statement_connections: Vec<arena_keys::ConnectionKey>,
    /// The status connection.
    pub control_connection: Option<arena_keys::ConnectionKey>,
    /// The latest status.
    pub last_status: Option<ObservedStatus>,
    /// Since when the endpoint has turned connections away or ended them.
    pub refusing_since: Option<clock_time::ClockTime>,
    /// When the last probe was sent.
    pub last_probe_at: clock_time::ClockTime,
    /// When it was last told its role.
    pub role_sent_at: clock_time::ClockTime,
    /// Statements that wait for a connection, oldest first.
    pub queue: Vec<arena_keys::StatementKey>,
    /// Keeps work away while the endpoint fails.
    pub circuit: circuit_breaker::CircuitBreaker,
    /// A rebuilt copy that waits to be counted.
    pub new_copy: Option<NewCopy>,
}

impl EndpointState {
    /// Returns the latest status, if it was asked for at `since` or later.
    pub fn status_since(
        &self,
        since: clock_time::ClockTime,
    ) -> Option<&endpoint_message::EndpointStatus> {
        self.last_status
            .as_ref()
            .filter(|last_status| last_status.requested_at >= since)
            .map(|last_status| &last_status.status)
    }
}
