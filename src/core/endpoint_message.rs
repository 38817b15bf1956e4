//! Requests to endpoints and the outcomes that they return.

use serde::{Deserialize, Serialize};

/// Replication state that an endpoint reports about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct EndpointStatus {
    /// Identifier of the endpoint's copy of the data; a rebuilt database gets a new one.
    pub copy: u64,
    /// Highest term that the endpoint has adopted; it rejects requests of lower terms.
    pub adopted_term: u64,
    /// Term of the last log entry.
    pub log_term: u64,
    /// Position of the last log entry.
    pub position: u64,
    /// Whether the endpoint accepts writes as the primary of `adopted_term`.
    pub primary: bool,
    /// Address of the endpoint that it replicates from.
    pub following: Option<String>,
}

impl EndpointStatus {
    /// Whether the log contains every acknowledged write up to `point`.
    pub fn reached(&self, point: LogPoint) -> bool {
        self.log_point() >= point
    }

    /// Returns the end of the log.
    pub fn log_point(&self) -> LogPoint {
        LogPoint { term: self.log_term, position: self.position }
    }
}

/// A position in a group's replication log, ordered by term and then by position.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct LogPoint {
    /// Term in which the entry was written.
    pub term: u64,
    /// Position of the entry in the log.
    pub position: u64,
}

/// How a statement relates to a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionStep {
    /// A statement outside of a transaction.
    Single,
    /// Begins a transaction.
    Begin,
    /// A statement inside an open transaction.
    InTransaction,
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
}

/// Identifies a write so that it takes effect at most once, however often it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// Client account.
    pub account: String,
    /// The caller's `request_id`.
    pub id: String,
}

/// A statement to run on an endpoint, with the conditions that the endpoint checks first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointStatement {
    /// SQL text.
    pub text: String,
    /// How the statement relates to a transaction.
    pub step: TransactionStep,
    /// For writes, the term of which the endpoint must be the primary.
    pub write_term: Option<u64>,
    /// For reads, the log point that the endpoint must have reached.
    pub read_point: Option<LogPoint>,
    /// Whether the endpoint must run the statement in a read-only transaction.
    pub read_only: bool,
    /// For writes with a `request_id`, the key that is stored with the write to detect repetitions.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// A request to an endpoint on one connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointRequest {
    /// Runs a statement.
    Run(EndpointStatement),
    /// Reads the endpoint's status.
    Status,
    /// Reads the endpoint's status after its log has reached `point` or the wait has timed out.
    AwaitPoint {
        /// Log point to wait for.
        point: LogPoint,
        /// Maximum wait in milliseconds.
        wait_ms: u64,
    },
    /// Makes the endpoint reject all requests of terms below `term`.
    Fence {
        /// New term.
        term: u64,
    },
    /// Makes the endpoint the primary of `term`, provided that its log has reached `min_point`.
    Promote {
        /// Term of the new primary.
        term: u64,
        /// Log point that the endpoint must have reached.
        min_point: LogPoint,
    },
    /// Makes the endpoint replicate from `address` in `term`.
    Follow {
        /// Current term.
        term: u64,
        /// Address of the primary.
        address: String,
    },
}

/// Result of a statement in PostgreSQL's text format.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResponseBody {
    /// Column names; empty for statements that return no rows.
    pub columns: Vec<String>,
    /// Rows; `None` is a NULL.
    pub rows: Vec<Vec<Option<String>>>,
    /// Number of rows affected.
    pub affected: u64,
    /// Command tag without the row count, such as `INSERT`.
    pub tag: String,
}

/// Outcome of a request to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// The statement was executed.
    Ran {
        /// Result of the statement.
        body: ResponseBody,
        /// Status that the endpoint reported after the statement; it may be missing inside a
        /// transaction.
        status: Option<EndpointStatus>,
    },
    /// The endpoint's log has not reached the read point; the statement was not executed.
    Lagging,
    /// The endpoint is not the primary of the required term; the statement was not executed.
    WrongTerm,
    /// A write with the same `request_id` was executed earlier; the statement was not executed
    /// again.
    Duplicate {
        /// Status that the endpoint reported after the check.
        status: EndpointStatus,
    },
    /// The database rejected the statement and rolled it back.
    Refused {
        /// SQLSTATE that the database returned.
        sqlstate: String,
        /// Error message that the database returned.
        message: String,
    },
    /// Status of the endpoint: the response to any request other than `Run`.
    Status(EndpointStatus),
    /// The connection was lost after the request was sent, so it may have been executed.
    ConnectionLost,
    /// The answer cannot be shown to belong to the request, which may have been executed.
    Unmatched,
    /// The request was never sent: no byte of it left this host.
    NotSent,
}
