//! Requests that a caller sends in its session.

use serde::{Deserialize, Serialize};

/// Whether a statement reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StatementKind {
    /// It only reads.
    Read,
    /// It may write.
    Write,
}

/// A caller's request, decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionRequest {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Runs a statement given as text.
    Statement {
        /// Whether it reads or writes.
        kind: StatementKind,
        /// Text of the statement, as the caller sent it.
        text: String,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's name for the statement.
        name: String,
        /// The arguments, as the caller sent them.
        arguments: String,
    },
    /// Sets a session setting.
    Set {
        /// Name of the setting.
        name: String,
        /// New value.
        value: String,
    },
    /// Prepares a statement.
    Prepare {
        /// The caller's name for the statement.
        name: String,
        /// Whether it reads or writes.
        kind: StatementKind,
        /// Content of the statement, which this host does not interpret.
        shape: String,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// The caller's name for the statement.
        name: String,
    },
    /// A request that could not be decoded.
    Malformed {
        /// Reason, which the caller receives.
        detail: String,
    },
}
