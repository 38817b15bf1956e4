//! State of one endpoint: its last known status, this host's connections to it and the statements
//! that wait for one.

use crate::core::arena_keys;
use crate::core::circuit_breaker;
use crate::core::clock_time;
use crate::core::endpoint_message;

/// A status with the time at which it was requested.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedStatus {
    /// Status that the endpoint reported.
    pub status: endpoint_message::EndpointStatus,
    /// When it was requested; the status held at some moment after this.
    pub requested_at: clock_time::ClockTime,
}

/// A rebuilt copy of a group's data that the group's record does not list yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewCopy {
    /// Identifier of the copy.
    pub copy: u64,
    /// When it was first reported.
    pub since: clock_time::ClockTime,
    /// Log point that it must reach before it counts towards a majority: the end of the primary's
    /// log, read after `since`. `None` until the primary's status is known.
    pub target: Option<endpoint_message::LogPoint>,
}

/// State of one endpoint as this host knows it.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// Name in the configuration.
    pub name: String,
    /// Address of the database.
    pub address: String,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Group that it belongs to.
    pub group: Option<arena_keys::GroupKey>,
    /// Whether it may receive new requests.
    pub in_service: bool,
    /// Maximum number of this host's connections for statements.
    pub connection_limit: usize,
    /// Connections for statements, open or being opened.
    pub statement_connections: Vec<arena_keys::ConnectionKey>,
    /// Connection for status probes and role changes.
    pub control_connection: Option<arena_keys::ConnectionKey>,
    /// Most recent status.
    pub last_status: Option<ObservedStatus>,
    /// Since when the endpoint has refused or closed connections; `None` while it responds.
    pub refusing_since: Option<clock_time::ClockTime>,
    /// When the last request was sent on the control connection.
    pub last_probe_at: clock_time::ClockTime,
    /// When a role was last sent to it.
    pub role_sent_at: clock_time::ClockTime,
    /// Statements waiting for a connection, oldest first.
    pub queue: Vec<arena_keys::StatementKey>,
    /// Circuit breaker that stops requests while the endpoint fails.
    pub circuit: circuit_breaker::CircuitBreaker,
    /// Rebuilt copy that the group's record does not list yet.
    pub new_copy: Option<NewCopy>,
}

impl EndpointState {
    /// Returns the most recent status if it was requested at `since` or later.
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
