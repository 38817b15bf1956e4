//! State of a caller's session.

use std::collections::{BTreeMap, VecDeque};

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::core::core_message;
use crate::core::endpoint_message;
use crate::proxy::commit_points;
use crate::proxy::endpoint_command;
use crate::proxy::proxy_config;
use crate::proxy::session_request;

/// A statement that the caller prepared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreparedStatement {
    /// Whether it reads or writes.
    pub kind: session_request::StatementKind,
    /// Content of the statement, which this host does not interpret.
    pub shape: String,
    /// Name under which this host prepares it on connections to endpoints.
    pub name: String,
}

/// An open transaction of a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenTransaction {
    /// Whether it is read-only.
    pub read_only: bool,
    /// Route as it was when the transaction began.
    pub route: proxy_config::RouteObject,
    /// Group that the route leads to.
    pub group: arena_keys::GroupKey,
    /// Account that it runs for; `None` if the route was public when it began.
    pub account: Option<arena_keys::AccountKey>,
    /// Connection that it runs on; `None` until its first statement has completed.
    pub connection: Option<arena_keys::ConnectionKey>,
    /// Whether a write completed in it.
    pub has_writes: bool,
}

/// Transaction state of a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open(OpenTransaction),
    /// The transaction was rolled back, but the caller has not ended it yet.
    Failed,
}

/// State of a caller's session.
#[derive(Debug)]
pub struct SessionState {
    /// Identifier of the caller's connection.
    pub caller: core_message::CallerId,
    /// Database that the caller named.
    pub database: String,
    /// Digest of the caller's key.
    pub digest: proxy_config::KeyDigest,
    /// Session settings by name.
    pub values: BTreeMap<String, String>,
    /// Prepared statements by the caller's names.
    pub prepared: BTreeMap<String, PreparedStatement>,
    /// Log points of the session's commits, in all groups that its route has led to.
    pub commits: commit_points::CommitPoints,
    /// Last log point reported to the caller.
    pub position: Option<endpoint_message::LogPoint>,
    /// State of the transaction.
    pub transaction: TransactionState,
    /// Request in progress.
    pub request: Option<arena_keys::StatementKey>,
    /// Requests that arrived before the response to the previous one, with their identifiers.
    pub backlog: VecDeque<(String, session_request::SessionRequest)>,
    /// Time of the last request or response.
    pub last_active: clock_time::ClockTime,
}

impl SessionState {
    /// Returns the open transaction.
    pub fn open_transaction(&self) -> Option<&OpenTransaction> {
        match &self.transaction {
            TransactionState::Open(transaction) => Some(transaction),
            _ => None,
        }
    }

    /// Returns the transaction state that is reported to the caller.
    pub fn phase(&self) -> endpoint_command::SessionPhase {
        match self.transaction {
            TransactionState::Idle => endpoint_command::SessionPhase::Idle,
            TransactionState::Open(_) => endpoint_command::SessionPhase::Open,
            TransactionState::Failed => endpoint_command::SessionPhase::Failed,
        }
    }
}
