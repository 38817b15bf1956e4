//! Requests to endpoints and their outcomes.

use serde::{Deserialize, Serialize};

/// What an endpoint reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct EndpointStatus {
    /// Identity of the copy; a rebuilt database has a new one.
    pub copy: u64,
    /// The highest term the endpoint has been fenced to; it takes nothing from lower terms.
    pub adopted_term: u64,
    /// The term of the last log entry.
    pub log_term: u64,
    /// The position of the last log entry.
    pub position: u64,
    /// Whether the endpoint takes writes under `adopted_term`.
    pub primary: bool,
    /// The address that the endpoint replicates from.
    pub following: Option<String>,
}

impl EndpointStatus {
    /// Whether the log holds every acknowledged write up to `point`.
    pub fn reached(&self, point: LogPoint) -> bool {
        self.log_point() >= point
    }

    /// Returns the end of the log.
    pub fn log_point(&self) -> LogPoint {
        LogPoint { term: self.log_term, position: self.position }
    }
}

/// A point in a group's history; ordered by term, then by position.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct LogPoint {
    /// The term of the entry.
    pub term: u64,
    /// The position of the entry.
    pub position: u64,
}

/// The role of a statement in its transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionStep {
    /// A statement of its own.
    Single,
    /// Starts a transaction.
    Begin,
    /// Runs inside a transaction.
    InTransaction,
    /// Commits.
    Commit,
    /// Rolls back.
    Rollback,
}

/// The identifier under which a request may run once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// The client account.
    pub account: String,
    /// The caller's identifier of the request.
    pub id: String,
}

/// A statement as it goes to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointStatement {
    /// The SQL text.
    pub text: String,
    /// The role in a transaction.
    pub step: TransactionStep,
    /// For writes, the term that must be in force at the endpoint.
    pub write_term: Option<u64>,
    /// For reads, the point that the endpoint's log must have reached.
    pub read_point: Option<LogPoint>,
    /// Whether the endpoint must refuse to write.
    pub read_only: bool,
    /// The identifier under which the statement may run once.
    pub record: Option<IdempotencyKey>,
}

/// A request on one connection to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointRequest {
    /// Runs a statement.
    Run(EndpointStatement),
    /// Asks for the endpoint's status.
    Status,
    /// Asks for the endpoint's status once its log has reached `point`, or the wait is over.
    AwaitPoint {
        /// The point.
        point: LogPoint,
        /// The longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Refuses everything of terms below `term` from now on.
    Fence {
        /// The new term.
        term: u64,
    },
    /// Takes writes under `term`, provided the log has reached `min_point`.
    Promote {
        /// The term won.
        term: u64,
        /// The point that the log must have reached.
        min_point: LogPoint,
    },
    /// Replicates from `address` under `term`.
    Follow {
        /// The term in force.
        term: u64,
        /// The primary's address.
        address: String,
    },
}

/// Rows and command tag of an answer, in text form.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResponseBody {
    /// Column names; empty for commands without rows.
    pub columns: Vec<String>,
    /// Rows of text values.
    pub rows: Vec<Vec<Option<String>>>,
    /// Rows affected.
    pub affected: u64,
    /// The command's name, such as `INSERT`.
    pub tag: String,
}

/// The outcome of a request to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// The statement ran; the status was read afterwards.
    Ran {
        /// The answer.
        body: ResponseBody,
        /// The endpoint's status after the statement.
        status: EndpointStatus,
    },
    /// The endpoint's log has not reached the read point; nothing ran.
    Lagging,
    /// The endpoint is not the primary of the term asked for; nothing ran.
    WrongTerm,
    /// The request identifier is recorded already; nothing ran now.
    Duplicate {
        /// The endpoint's status afterwards.
        status: EndpointStatus,
    },
    /// The database refused the statement and rolled it back.
    Refused {
        /// The database's SQLSTATE.
        sqlstate: String,
        /// The database's message.
        message: String,
    },
    /// The endpoint's status.
    Status(EndpointStatus),
    /// The connection broke with the request under way; it may have run.
    ConnectionLost,
    /// No byte of the request left this host.
    NotSent,
}
