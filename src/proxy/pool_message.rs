//! Messages between a host and a serving host, which holds an endpoint's connections for the fleet.
//!
//! A host leases a connection for one request or transaction, sends its commands on it and releases
//! it. A lease is known by its channel, a number that the leasing host chooses and never uses again
//! on the same link.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::proxy::endpoint_command;

/// Identifier of a link that a host opened to this serving host.
pub type LinkId = u64;

/// Number by which a leasing host knows a lease.
pub type ChannelId = u64;

/// How urgent the request is that a connection is leased for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseUrgency {
    /// Priority of the route; 0 is served first.
    pub priority: u32,
    /// Time left to the request's target latency, in milliseconds; 0 if it has passed.
    pub target_ms: u32,
    /// Time left in which the lease is of use, in milliseconds.
    pub wait_ms: u32,
}

/// Why a serving host refuses a lease. Nothing was sent to the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseRefusal {
    /// The connection would not be free in time.
    Busy,
    /// The serving host is stopping or does not know the endpoint.
    NotServing,
    /// The endpoint does not accept the connection.
    Unreachable,
}

/// A message to a serving host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolRequest {
    /// Asks for a connection of the account to the endpoint.
    Lease {
        /// New channel.
        channel: ChannelId,
        /// Identifier of the endpoint.
        endpoint: String,
        /// Name of the account that the connection is for.
        account: String,
        /// Urgency of the request.
        urgency: LeaseUrgency,
    },
    /// Sends a command on the leased connection.
    Command {
        /// Channel of the lease.
        channel: ChannelId,
        /// The command.
        command: endpoint_command::EndpointCommand,
    },
    /// Ends the lease, or withdraws the request for it. A command in flight is abandoned and an open
    /// transaction rolled back.
    Release {
        /// Channel of the lease.
        channel: ChannelId,
    },
    /// Asks for a sign of life.
    Ping,
}

/// A message of a serving host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoolReply {
    /// The connection is leased.
    Leased {
        /// Channel of the lease.
        channel: ChannelId,
        /// Session settings in effect on the connection, by name.
        values: BTreeMap<String, String>,
        /// Names of the statements prepared on the connection.
        prepared: BTreeSet<String>,
    },
    /// The lease is refused.
    Refused {
        /// Channel that was asked for.
        channel: ChannelId,
        /// The cause.
        cause: LeaseRefusal,
        /// After how many milliseconds a connection is expected to be free.
        retry_after_ms: u32,
    },
    /// The endpoint responded to the command in flight.
    Response {
        /// Channel of the lease.
        channel: ChannelId,
        /// The response.
        response: endpoint_command::EndpointResponse,
    },
    /// The connection ended, and the lease with it. A command in flight may have run.
    Ended {
        /// Channel of the lease.
        channel: ChannelId,
    },
    /// Reply to a ping.
    Pong,
    /// The connection was closed, and the lease ended, because it was in doubt which response belongs
    /// to which command. A command in flight may have run; the endpoint is well.
    OrderLost {
        /// Channel of the lease.
        channel: ChannelId,
    },
}
