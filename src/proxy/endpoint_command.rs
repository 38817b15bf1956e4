//! What this host sends to an endpoint on one link, and what comes back.

use crate::core::endpoint_message;
use crate::proxy::session_request;

/// What a statement runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementBody {
    /// Text, as the caller sent it.
    Text(String),
    /// A prepared statement.
    Prepared {
        /// This host's name for it.
        name: String,
        /// The arguments, as the caller sent them.
        arguments: String,
    },
}

/// One command on a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointCommand {
    /// Sets a session value.
    Set {
        /// Name.
        name: String,
        /// Value.
        value: String,
    },
    /// Prepares a statement under this host's own name.
    Prepare {
        /// Name; the same for the same kind and shape.
        name: String,
        /// Reads or writes.
        kind: session_request::StatementKind,
        /// What it does.
        shape: String,
    },
    /// Opens a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
        /// The log point that the endpoint must hold.
        after: Option<endpoint_message::LogPoint>,
    },
    /// Runs a caller's statement.
    Run {
        /// The caller's request id.
        id: String,
        /// The statement.
        body: StatementBody,
        /// The log point that the endpoint must hold.
        after: Option<endpoint_message::LogPoint>,
    },
    /// Commits the open transaction.
    Commit {
        /// The caller's request id.
        id: String,
    },
    /// Rolls back.
    Rollback,
    /// Drops session values and prepared statements; answers with the log's end.
    Discard,
    /// Asks for role, term and log position.
    Status,
    /// Makes a primary of a lower term a replica.
    StepDown {
        /// The term that took over.
        term: u64,
    },
}

impl EndpointCommand {
    /// Whether the command is a caller's own, and not one that this host adds.
    pub fn is_from_caller(&self) -> bool {
        matches!(self, Self::Run { .. } | Self::Commit { .. })
    }
}

/// Why an endpoint did not complete a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointFault {
    /// It is full; nothing ran.
    Busy,
    /// The prepared name is unknown; nothing ran.
    UnknownStatement,
    /// Its log lacks the point asked for; nothing ran.
    Lagging,
    /// It does not lead; nothing ran.
    ReadOnly,
    /// It is another endpoint than the one meant; nothing ran.
    WrongEndpoint,
    /// It has too many connections; nothing ran.
    TooManyConnections,
    /// Any other error; the command may have run.
    Other {
        /// The endpoint's code.
        code: String,
        /// The endpoint's text.
        text: String,
    },
}

/// The state of a session after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionPhase {
    /// Outside a transaction.
    Idle,
    /// Inside a transaction.
    Open,
    /// Inside a transaction that can only be rolled back.
    Failed,
}

/// One whole answer of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointResponse {
    /// Rows, as the endpoint sent them.
    pub rows: Vec<String>,
    /// The endpoint's signature, or what went wrong.
    pub outcome: Result<String, EndpointFault>,
    /// The session's state at the endpoint.
    pub phase: SessionPhase,
    /// The end of the endpoint's log when it answered.
    pub position: Option<endpoint_message::LogPoint>,
    /// The endpoint's word on itself, if it was asked for it.
    pub report: Option<EndpointStatus>,
}

/// An endpoint's word on itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointStatus {
    /// Whether it leads.
    pub primary: bool,
    /// Its term.
    pub term: u64,
    /// The end of the log that it has received.
    pub position: endpoint_message::LogPoint,
}
