//! State of a caller's request that has got no response yet.

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::proxy::endpoint_command;
use crate::proxy::held_acknowledgement;
use crate::proxy::proxy_config;
use crate::proxy::session_request;

/// Kind of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// Opens a transaction. Nothing is sent to an endpoint before its first statement.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// Runs a statement.
    Statement {
        /// Whether it reads or writes.
        kind: session_request::StatementKind,
        /// Text or prepared statement to run.
        body: endpoint_command::StatementBody,
        /// The caller's name for the prepared statement; `None` for plain text.
        prepared: Option<String>,
    },
    /// Commits the open transaction.
    Commit,
}

impl RequestKind {
    /// Returns the value of the metric label `request`.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Begin { .. } => "begin",
            Self::Statement { kind: session_request::StatementKind::Read, .. } => "read",
            Self::Statement { kind: session_request::StatementKind::Write, .. } => "write",
            Self::Commit => "commit",
        }
    }
}

/// Progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPhase {
    /// It waits for tokens of its account's share, or is about to be placed on an endpoint.
    AwaitingShare {
        /// When it stops waiting.
        until: clock_time::ClockTime,
    },
    /// It waits for its group to get a primary, and was not sent to any endpoint.
    AwaitingPrimary {
        /// When it stops waiting.
        until: clock_time::ClockTime,
    },
    /// It waits at an endpoint for a connection.
    Queued {
        /// Endpoint in whose queue it waits.
        endpoint: arena_keys::EndpointKey,
        /// When it stops waiting.
        until: clock_time::ClockTime,
    },
    /// Its commit is done at the primary, and waits until replicas that count are known to hold it.
    AwaitingReceipts,
    /// It has a connection. Commands sent ahead of its statement may still be in progress.
    Running {
        /// Connection that it runs on.
        connection: arena_keys::ConnectionKey,
        /// Whether the statement itself was sent.
        sent: bool,
    },
}

impl RequestPhase {
    /// Returns the value of the log field `phase`.
    pub fn name(self) -> &'static str {
        match self {
            Self::AwaitingShare { .. } => "waiting",
            Self::AwaitingPrimary { .. } => "awaiting_primary",
            Self::Queued { .. } => "queued",
            Self::AwaitingReceipts => "awaiting_receipts",
            Self::Running { sent: false, .. } => "preparing",
            Self::Running { sent: true, .. } => "sent",
        }
    }
}

/// State of a caller's request that has got no response yet.
#[derive(Debug)]
pub struct PendingRequest {
    /// Session that sent it.
    pub session: arena_keys::CallerKey,
    /// The caller's identifier of it.
    pub id: String,
    /// Its kind.
    pub kind: RequestKind,
    /// Route that applies to it.
    pub route: proxy_config::RouteObject,
    /// Group that the route leads to.
    pub group: arena_keys::GroupKey,
    /// Account that it is charged to; `None` on public routes.
    pub account: Option<arena_keys::AccountKey>,
    /// When it arrived.
    pub arrived: clock_time::ClockTime,
    /// When it times out.
    pub deadline: clock_time::ClockTime,
    /// Number of times it was assigned a connection or gave up waiting for one.
    pub attempts: u32,
    /// Endpoints that are not tried again for it.
    pub avoided: Vec<arena_keys::EndpointKey>,
    /// Connection whose lease was asked for it while it waits.
    pub lease: Option<arena_keys::ConnectionKey>,
    /// Epoch of the group when it was sent to the primary; `None` if it was sent to a replica.
    pub primary_epoch: Option<u64>,
    /// The endpoint's acknowledgement of its commit, while it waits for receipts.
    pub acknowledgement: Option<held_acknowledgement::HeldAcknowledgement>,
    /// Its progress.
    pub phase: RequestPhase,
}

impl PendingRequest {
    /// Whether the request only reads.
    pub fn reads(&self) -> bool {
        match &self.kind {
            RequestKind::Statement { kind, .. } => *kind == session_request::StatementKind::Read,
            RequestKind::Begin { read_only } => *read_only,
            RequestKind::Commit => false,
        }
    }

    /// Whether the statement itself was sent to an endpoint.
    pub fn sent(&self) -> bool {
        matches!(self.phase, RequestPhase::Running { sent: true, .. })
    }
}
