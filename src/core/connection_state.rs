//! State of one connection from this host to an endpoint.

use crate::core::arena_keys;
use crate::core::chart_cursor;
use crate::core::clock_time;
use crate::core::core_message;
use crate::core::endpoint_message;

/// Purpose of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionRole {
    /// Status probes and role changes.
    Control,
    /// Callers' statements.
    Statement,
}

/// State of one connection from this host to an endpoint.
#[derive(Debug, Clone)]
pub struct ConnectionState {
    /// Endpoint that it leads to.
    pub endpoint: arena_keys::EndpointKey,
    /// Purpose of the connection.
    pub role: ConnectionRole,
    /// Current state in `charts/endpoint_connection.yaml`.
    pub cursor: chart_cursor::ChartCursor,
    /// Call in progress.
    pub call: Option<core_message::CallId>,
    /// Whether it may carry another request.
    pub reusable: bool,
    /// Caller whose transaction holds the connection.
    pub pinned: Option<arena_keys::CallerKey>,
    /// When the connection last changed state.
    pub since: clock_time::ClockTime,
    /// Whether a timer for the idle check is set.
    pub idle_timer_set: bool,
    /// Requests to send when the connection becomes idle; used on control connections only.
    pub backlog: Vec<endpoint_message::EndpointRequest>,
}

impl ConnectionState {
    /// Whether the connection is open, without a call in progress and without a transaction.
    pub fn idle(&self) -> bool {
        self.cursor.state() == "idle"
    }
}
