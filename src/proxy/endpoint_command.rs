//! Commands that this host sends to an endpoint on a connection, and the endpoint's responses.

use serde::{Deserialize, Serialize};

use crate::core::endpoint_message;
use crate::proxy::session_request;

/// Stands for the signature of a response to a session command, which the endpoint does not sign.
pub const UNSIGNED: &str = "-";

/// Statement that an endpoint runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatementBody {
    /// Text of the statement, as the caller sent it.
    Text(String),
    /// A prepared statement.
    Prepared {
        /// Name under which this host prepared it.
        name: String,
        /// The arguments, as the caller sent them.
        arguments: String,
    },
}

/// A command to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointCommand {
    /// Sets a session setting.
    Set {
        /// Name of the setting.
        name: String,
        /// New value.
        value: String,
    },
    /// Prepares a statement under a name of this host.
    Prepare {
        /// Name, which depends on kind and content alone.
        name: String,
        /// Whether it reads or writes.
        kind: session_request::StatementKind,
        /// Content of the statement, which this host does not interpret.
        shape: String,
    },
    /// Opens a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
        /// Log point that the endpoint must hold.
        after: Option<endpoint_message::LogPoint>,
    },
    /// Runs a caller's statement.
    Run {
        /// The caller's identifier of the request.
        id: String,
        /// Statement to run.
        body: StatementBody,
        /// Log point that the endpoint must hold.
        after: Option<endpoint_message::LogPoint>,
    },
    /// Commits the open transaction.
    Commit {
        /// The caller's identifier of the request.
        id: String,
    },
    /// Rolls the open transaction back.
    Rollback,
    /// Drops session settings and prepared statements. The response carries the end of the log.
    Discard,
    /// Requests role, term and log position.
    Status,
    /// Makes a primary of a lower term a replica.
    StepDown {
        /// Term of the new primary.
        term: u64,
    },
}

impl EndpointCommand {
    /// Returns the value of the log field `command`.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Set { .. } => "set",
            Self::Prepare { .. } => "prepare",
            Self::Begin { .. } => "begin",
            Self::Run { .. } => "run",
            Self::Commit { .. } => "commit",
            Self::Rollback => "rollback",
            Self::Discard => "discard",
            Self::Status => "status",
            Self::StepDown { .. } => "step_down",
        }
    }

    /// Whether the command is the caller's own rather than one that this host adds.
    pub fn is_from_caller(&self) -> bool {
        matches!(self, Self::Run { .. } | Self::Commit { .. })
    }

    /// Whether a complete response to the command holds the endpoint's status.
    pub fn requests_status(&self) -> bool {
        matches!(self, Self::Status | Self::StepDown { .. })
    }

    /// Whether the endpoint may refuse the command with `fault` and leave the session in `phase`.
    pub fn may_fail_with(&self, fault: &EndpointFault, phase: SessionPhase) -> bool {
        if matches!(self, Self::Begin { .. }) && phase != SessionPhase::Idle {
            return false;
        }
        match fault {
            EndpointFault::Busy => !matches!(
                self,
                Self::Set { .. } | Self::Prepare { .. } | Self::Rollback | Self::Discard
            ),
            EndpointFault::UnknownStatement => {
                matches!(self, Self::Run { body: StatementBody::Prepared { .. }, .. })
            }
            EndpointFault::Lagging => matches!(
                self,
                Self::Run { after: Some(_), .. } | Self::Begin { after: Some(_), .. }
            ),
            EndpointFault::ReadOnly => match self {
                Self::Run { .. } | Self::Commit { .. } => true,
                Self::Begin { read_only, .. } => !read_only,
                // A transaction fails with any statement once the endpoint is no primary.
                Self::Set { .. } | Self::Prepare { .. } => phase == SessionPhase::Failed,
                _ => false,
            },
            EndpointFault::WrongEndpoint
            | EndpointFault::TooManyConnections
            | EndpointFault::Other { .. } => true,
        }
    }
}

/// Why an endpoint did not complete a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointFault {
    /// It is at capacity; nothing ran.
    Busy,
    /// It does not know the prepared statement; nothing ran.
    UnknownStatement,
    /// Its log lacks the required point; nothing ran.
    Lagging,
    /// It is not the primary; nothing ran.
    ReadOnly,
    /// It is not the endpoint that the connection was meant for; nothing ran.
    WrongEndpoint,
    /// It is at its connection limit; nothing ran.
    TooManyConnections,
    /// Any other error; the command may have run.
    Other {
        /// Error code of the endpoint.
        code: String,
        /// Error text of the endpoint.
        text: String,
    },
}

impl EndpointFault {
    /// Whether a connection ends with the fault, as a repetition of it could pass for the response to
    /// a later command. The faults of a loaded or lagging endpoint are frequent, and come at other
    /// positions of its log.
    pub fn ends_connection(&self) -> bool {
        !matches!(self, Self::Busy | Self::Lagging)
    }

    /// Returns whether the endpoint did not begin to run the command.
    pub fn is_not_run(&self) -> bool {
        !matches!(self, Self::Other { .. })
    }
}

/// Transaction state of a session after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SessionPhase {
    /// Outside a transaction.
    Idle,
    /// Inside a transaction.
    Open,
    /// Inside a transaction that can only be rolled back.
    Failed,
}

/// A complete response of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointResponse {
    /// Rows, as the endpoint sent them.
    pub rows: Vec<String>,
    /// The endpoint's signature of the response, or its fault. The signature is [`UNSIGNED`] if the
    /// endpoint completed a command without one, and empty in the response to the start-up message.
    pub outcome: Result<String, EndpointFault>,
    /// Transaction state of the session at the endpoint.
    pub phase: SessionPhase,
    /// End of the endpoint's log when it responded.
    pub position: Option<endpoint_message::LogPoint>,
    /// Status of the endpoint, if the command requested it.
    pub report: Option<EndpointStatus>,
}

impl EndpointResponse {
    /// Whether the endpoint completed a statement and signed the response.
    pub fn is_signed(&self) -> bool {
        self.outcome.as_ref().is_ok_and(|signature| !matches!(signature.as_str(), "" | UNSIGNED))
    }

    /// Whether the response completes no command, as that to the start-up message.
    pub fn is_greeting(&self) -> bool {
        self.outcome.as_ref().is_ok_and(String::is_empty)
    }
}

/// Status that an endpoint reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Whether it is the primary.
    pub primary: bool,
    /// Its term.
    pub term: u64,
    /// End of the log that it has received.
    pub position: endpoint_message::LogPoint,
}
