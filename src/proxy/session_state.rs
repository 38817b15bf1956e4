//! One caller's session.

use std::collections::{BTreeMap, VecDeque};

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::core::core_message;
use crate::core::endpoint_message;
use crate::proxy::endpoint_command;
use crate::proxy::proxy_config;
use crate::proxy::session_request;

/// A statement that the caller has prepared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreparedStatement {
    /// Reads or writes.
    pub kind: session_request::StatementKind,
    /// What it does.
    pub shape: String,
    /// This host's name for it at endpoints.
    pub name: String,
}

/// A transaction that the caller has begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenTransaction {
    /// Whether it only reads.
    pub read_only: bool,
    /// The route as it was when the transaction began.
    pub route: proxy_config::RouteObject,
    /// The route's group.
    pub group: arena_keys::GroupKey,
    /// The link that it runs on; `None` until its first statement.
    pub connection: Option<arena_keys::ConnectionKey>,
    /// Whether a write ran in it.
    pub has_writes: bool,
}

/// The session's state towards its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction.
    Idle,
    /// A transaction is open.
    Open(OpenTransaction),
    /// A transaction that the caller has yet to end was rolled back.
    Failed,
}

/// One caller's session.
#[derive(Debug)]
pub struct SessionState {
    /// The door's number.
    pub caller: core_message::CallerId,
    /// The database named by the caller.
    pub database: String,
    /// Digest of the key presented.
    pub digest: proxy_config::KeyDigest,
    /// Session values.
    pub values: BTreeMap<String, String>,
    /// Prepared statements by the caller's names.
    pub prepared: BTreeMap<String, PreparedStatement>,
    /// The last commit of this session and its group.
    pub mark: Option<(arena_keys::GroupKey, endpoint_message::LogPoint)>,
    /// The last log point told to the caller.
    pub position: Option<endpoint_message::LogPoint>,
    /// The transaction.
    pub transaction: TransactionState,
    /// The request under way.
    pub request: Option<arena_keys::StatementKey>,
    /// Requests that came before the last was answered.
    pub backlog: VecDeque<(String, session_request::SessionRequest)>,
    /// Last request or answer.
    pub active: clock_time::ClockTime,
}

impl SessionState {
    /// Returns the open transaction.
    pub fn open_transaction(&self) -> Option<&OpenTransaction> {
        match &self.transaction {
            TransactionState::Open(transaction) => Some(transaction),
            _ => None,
        }
    }

    /// Returns the phase that the caller is told.
    pub fn phase(&self) -> endpoint_command::SessionPhase {
        match self.transaction {
            TransactionState::Idle => endpoint_command::SessionPhase::Idle,
            TransactionState::Open(_) => endpoint_command::SessionPhase::Open,
            TransactionState::Failed => endpoint_command::SessionPhase::Failed,
        }
    }
}
