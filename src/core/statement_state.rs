//! One statement that has not been answered yet.

use crate::core::arena_keys::{AccountKey, CallerKey, ConnectionKey, EndpointKey, GroupKey};
use crate::core::clock_time::ClockTime;
use crate::core::core_message::CallId;
use crate::core::endpoint_message::{AnswerBody, EndpointStatement, LogPoint};
use crate::core::request_verdict::RequestVerdict;

/// Where a statement stands.
#[derive(Debug, Clone, PartialEq)]
pub enum StatementPhase {
    /// It waits for a share of its account's rate.
    AwaitShare {
        /// When the wait ends.
        until: ClockTime,
    },
    /// It waits for a connection to an endpoint.
    Queued {
        /// The endpoint.
        endpoint: EndpointKey,
        /// When the wait ends.
        until: ClockTime,
    },
    /// It runs on a connection.
    Running {
        /// The connection.
        connection: ConnectionKey,
        /// The call.
        call: CallId,
    },
    /// It ran; its answer waits for a majority to confirm the term, and for writes the position.
    Confirming {
        /// The point that a majority must hold.
        point: LogPoint,
        /// When it ran; confirmation must be younger for reads.
        since: ClockTime,
        /// The answer.
        body: AnswerBody,
        /// The verdict that goes with it.
        verdict: RequestVerdict,
    },
}

/// One statement that has not been answered yet.
#[derive(Debug, Clone, PartialEq)]
pub struct StatementState {
    /// The caller.
    pub caller: CallerKey,
    /// The account.
    pub account: AccountKey,
    /// The group it goes to.
    pub group: GroupKey,
    /// What goes to the endpoint.
    pub request: EndpointStatement,
    /// Whether it only reads.
    pub read: bool,
    /// Greatest age of data accepted, in milliseconds.
    pub max_age_ms: Option<u64>,
    /// When it is given up.
    pub deadline: ClockTime,
    /// Times that it was sent to an endpoint.
    pub attempts: u32,
    /// Whether it must go to the primary.
    pub primary_only: bool,
    /// Whether it rolls back a failed transaction that the caller asked to commit.
    pub commit_refused: bool,
    /// Where it stands.
    pub phase: StatementPhase,
}
