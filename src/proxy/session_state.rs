//! State of a caller's session.

use std::collections::{BTreeMap, VecDeque};

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::core::core_message;
use crate::core::endpoint_message;
use crate::proxy::endpoint_command;
use crate::proxy::proxy_config;
use crate::proxy::session_request;

/// A statement that the caller prepared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreparedShape {
    /// Whether it reads or writes.
    pub kind: session_request::StatementKind,
    /// Content of the statement, which this host does not interpret.
    pub shape: String,
    /// Name under which this host prepares it on connections to endpoints.
    pub name: String,
}

/// An open transaction of a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenWork {
    /// Whether it is read-only.
    pub read_only: bool,
    /// Route as it was when the transaction began.
    pub route: proxy_config::RouteObject,
    /// Group that the route leads to.
    pub group: arena_keys::GroupKey,
    /// Connection that it runs on; `None` until its first statement has completed.
    pub link: Option<arena_keys::ConnectionKey>,
    /// Whether a write completed in it.
    pub wrote: bool,
}

/// Transaction state of a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkPhase {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open(OpenWork),
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
    pub prepared: BTreeMap<String, PreparedShape>,
    /// Group and log point of the session's last committed write.
    pub last_commit: Option<(arena_keys::GroupKey, endpoint_message::LogPoint)>,
    /// Last log point reported to the caller.
    pub position: Option<endpoint_message::LogPoint>,
    /// State of the transaction.
    pub work: WorkPhase,
    /// Request in progress.
    pub job: Option<arena_keys::StatementKey>,
    /// Requests that arrived before the previous one was answered, with their identifiers.
    pub backlog: VecDeque<(String, session_request::SessionRequest)>,
    /// Time of the last request or response.
    pub last_active: clock_time::ClockTime,
}

impl SessionState {
    /// Returns the open transaction.
    pub fn open_work(&self) -> Option<&OpenWork> {
        match &self.work {
            WorkPhase::Open(work) => Some(work),
            _ => None,
        }
    }

    /// Returns the transaction state that is reported to the caller.
    pub fn phase(&self) -> endpoint_command::SessionPhase {
        match self.work {
            WorkPhase::Idle => endpoint_command::SessionPhase::Idle,
            WorkPhase::Open(_) => endpoint_command::SessionPhase::Open,
            WorkPhase::Failed => endpoint_command::SessionPhase::Failed,
        }
    }
}
