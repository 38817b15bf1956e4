//! State of one statement from its admission to its response.

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::core::core_message;
use crate::core::endpoint_message;
use crate::core::request_verdict;

/// Progress of a statement.
#[derive(Debug, Clone, PartialEq)]
pub enum StatementPhase {
    /// Waits for a token of its account's share of the rate.
    AwaitingShare {
        /// When the wait times out.
        until: clock_time::ClockTime,
    },
    /// Waits for a connection to an endpoint.
    Queued {
        /// Endpoint that it waits for.
        endpoint: arena_keys::EndpointKey,
        /// When the wait times out.
        until: clock_time::ClockTime,
    },
    /// Runs on an endpoint.
    Running {
        /// Connection that it was sent on.
        connection: arena_keys::ConnectionKey,
        /// Call that carries it.
        call: core_message::CallId,
    },
    /// Was executed; the response is held until a majority of copies has confirmed the primary's
    /// term and, for writes, the log point.
    Confirming {
        /// Log point that the primary reported after the statement.
        point: endpoint_message::LogPoint,
        /// When it was sent; for reads, only later confirmations count.
        since: clock_time::ClockTime,
        /// Result to return.
        body: endpoint_message::ResponseBody,
        /// Verdict to return.
        verdict: request_verdict::RequestVerdict,
    },
}

/// State of one statement that is in progress.
#[derive(Debug, Clone, PartialEq)]
pub struct StatementState {
    /// Caller that sent it.
    pub caller: arena_keys::CallerKey,
    /// Account that it is charged to.
    pub account: arena_keys::AccountKey,
    /// Group that it runs in.
    pub group: arena_keys::GroupKey,
    /// Request for the endpoint.
    pub request: endpoint_message::EndpointStatement,
    /// Whether it only reads data.
    pub read: bool,
    /// Maximum age of the data that a read accepts, in milliseconds.
    pub max_age_ms: Option<u64>,
    /// When it times out.
    pub deadline: clock_time::ClockTime,
    /// Number of times that it was sent to an endpoint.
    pub attempts: u32,
    /// Whether only the primary may run it.
    pub primary_only: bool,
    /// Whether it is a rollback in place of the COMMIT of a failed transaction.
    pub commit_refused: bool,
    /// Progress of the statement.
    pub phase: StatementPhase,
}
