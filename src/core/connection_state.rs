//! One connection from this host to an endpoint.

use crate::core::arena_keys;
use crate::core::chart_cursor;
use crate::core::clock_time;
use crate::core::core_message;
use crate::core::endpoint_message;

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionRole {
    /// Status probes and commands to the endpoint.
    Control,
    /// Callers' statements.
    Statement,
}

/// One connection from this host to an endpoint.
#[derive(Debug, Clone)]
pub struct ConnectionState {
    /// The endpoint.
    pub endpoint: arena_keys::EndpointKey,
    /// What it is used for.
    pub role: ConnectionRole,
    /// Position in the chart of connections.
    pub cursor: chart_cursor::ChartCursor,
    /// The call under way.
    pub call: Option<core_message::CallId>,
    /// The caller whose transaction the connection belongs to.
    pub pinned: Option<arena_keys::CallerKey>,
    /// When the state last changed.
    pub since: clock_time::ClockTime,
    /// Whether a timer that looks for idleness is set.
    pub idle_timer_armed: bool,
    /// Requests that wait until the connection is idle; status connections only.
    pub backlog: Vec<endpoint_message::EndpointRequest>,
}

impl ConnectionState {
    /// Whether a call can be sent now for a caller without a transaction.
    pub fn idle(&self) -> bool {
        self.cursor.state() == "idle"
    }
}
