//! What this host knows of one endpoint, and its connections to it.

use crate::core::arena_keys::{ConnectionKey, GroupKey, StatementKey};
use crate::core::circuit_breaker::CircuitBreaker;
use crate::core::clock_time::ClockTime;
use crate::core::endpoint_message::{EndpointStatus, LogPoint};

/// A status with the time at which it was asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenStatus {
    /// The status.
    pub status: EndpointStatus,
    /// When it was asked for; it was true at some time after.
    pub asked: ClockTime,
}

/// A copy that is not in the group's record yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewCopy {
    /// Identity of the copy.
    pub copy: u64,
    /// When it was first seen.
    pub since: ClockTime,
    /// The point that it must reach before it counts: the primary's end of log after `since`.
    pub target: Option<LogPoint>,
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
    pub group: Option<GroupKey>,
    /// Whether it takes new work.
    pub in_service: bool,
    /// Most work connections of this host.
    pub work_quota: usize,
    /// Work connections, open or opening.
    pub work: Vec<ConnectionKey>,
    /// The status connection.
    pub status_connection: Option<ConnectionKey>,
    /// The latest status.
    pub seen: Option<SeenStatus>,
    /// Since when the endpoint has turned connections away or ended them.
    pub refusing_since: Option<ClockTime>,
    /// When the last probe was sent.
    pub probed: ClockTime,
    /// When it was last told its role.
    pub repaired: ClockTime,
    /// Statements that wait for a connection, oldest first.
    pub queue: Vec<StatementKey>,
    /// Keeps work away while the endpoint fails.
    pub circuit: CircuitBreaker,
    /// A rebuilt copy that waits to be counted.
    pub new_copy: Option<NewCopy>,
}

impl EndpointState {
    /// Returns the latest status, if it was asked for at `since` or later.
    pub fn status_since(&self, since: ClockTime) -> Option<&EndpointStatus> {
        self.seen.as_ref().filter(|seen| seen.asked >= since).map(|seen| &seen.status)
    }
}
