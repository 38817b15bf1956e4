//! One statement that has not been answered yet.

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::core::core_message;
use crate::core::endpoint_message;
use crate::core::request_verdict;

/// Where a statement stands.
#[derive(Debug, Clone, PartialEq)]
pub enum StatementPhase {
    /// It waits for a share of its account's rate.
    AwaitingShare {
        /// When the wait ends.
        until: clock_time::ClockTime,
    },
    /// It waits for a connection to an endpoint.
    Queued {
        /// The endpoint.
        endpoint: arena_keys::EndpointKey,
        /// When the wait ends.
        until: clock_time::ClockTime,
    },
    /// It runs on a connection.
    Running {
        /// The connection.
        connection: arena_keys::ConnectionKey,
        /// The call.
        call: core_message::CallId,
    },
    /// It ran; its answer waits for a majority to confirm the term, and for writes the position.
    Confirming {
        /// The point that a majority must hold.
        point: endpoint_message::LogPoint,
        /// When it ran; confirmation must be younger for reads.
        since: clock_time::ClockTime,
        /// The answer.
        body: endpoint_message::ResponseBody,
        /// The verdict that goes with it.
        verdict: request_verdict::RequestVerdict,
    },
}

/// One statement that has not been answered yet.
#[derive(Debug, Clone, PartialEq)]
pub struct StatementState {
    /// The caller.
    pub caller: arena_keys::CallerKey,
    /// The account.
    pub account: arena_keys::AccountKey,
    /// The group it goes to.
    pub group: arena_keys::GroupKey,
    /// What goes to the endpoint.
    pub request: endpoint_message::EndpointStatement,
    /// Whether it only reads.
    pub read: bool,
    /// Greatest age of data accepted, in milliseconds.
    pub max_age_ms: Option<u64>,
    /// When it is given up.
    pub deadline: clock_time::ClockTime,
    /// Times that it was sent to an endpoint.
    pub attempts: u32,
    /// Whether it must go to the primary.
    pub primary_only: bool,
    /// Whether it rolls back a failed transaction that the caller asked to commit.
    pub commit_refused: bool,
    /// Where it stands.
    pub phase: StatementPhase,
}
