//! What a caller asks for on its session.

/// Whether a statement reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StatementKind {
    /// It reads.
    Read,
    /// It writes.
    Write,
}

/// One request of a caller, decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionRequest {
    /// Opens a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Runs a statement given as text.
    Statement {
        /// Reads or writes.
        kind: StatementKind,
        /// The text, as the caller sent it.
        text: String,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's name for it.
        name: String,
        /// The arguments, as the caller sent them.
        arguments: String,
    },
    /// Sets a session value.
    Set {
        /// Name.
        name: String,
        /// Value.
        value: String,
    },
    /// Prepares a statement.
    Prepare {
        /// The caller's name for it.
        name: String,
        /// Reads or writes.
        kind: StatementKind,
        /// What it does, opaque to this host.
        shape: String,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// The caller's name for it.
        name: String,
    },
    /// Nothing that this host understands.
    Malformed {
        /// What is wrong with it.
        detail: String,
    },
}
