//! One request of a caller that has not been answered yet.

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::proxy::endpoint_command;
use crate::proxy::proxy_config;
use crate::proxy::session_request;

/// What a job does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// Opens a transaction; nothing is sent to an endpoint.
    Begin {
        /// Whether it only reads.
        read_only: bool,
    },
    /// Runs a statement.
    Statement {
        /// Reads or writes.
        kind: session_request::StatementKind,
        /// What the endpoint runs.
        body: endpoint_command::StatementBody,
        /// The caller's name of the prepared statement that it runs.
        prepared: Option<String>,
    },
    /// Commits.
    Commit,
}

impl RequestKind {
    /// Returns what the job does in one word, for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Begin { .. } => "begin",
            Self::Statement { kind: session_request::StatementKind::Read, .. } => "read",
            Self::Statement { kind: session_request::StatementKind::Write, .. } => "write",
            Self::Commit => "commit",
        }
    }
}

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPhase {
    /// It waits for its account's share.
    AwaitingShare {
        /// When the wait ends.
        until: clock_time::ClockTime,
    },
    /// It waits for a link.
    Queued {
        /// The endpoint.
        endpoint: arena_keys::EndpointKey,
        /// When the wait ends.
        until: clock_time::ClockTime,
    },
    /// It has a link; what precedes it on the link may still be under way.
    Running {
        /// The link.
        connection: arena_keys::ConnectionKey,
        /// Whether the statement itself was sent.
        sent: bool,
    },
}

impl RequestPhase {
    /// Returns the phase's name, for log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::AwaitingShare { .. } => "waiting",
            Self::Queued { .. } => "queued",
            Self::Running { sent: false, .. } => "preparing",
            Self::Running { sent: true, .. } => "sent",
        }
    }
}

/// One request of a caller that has not been answered yet.
#[derive(Debug)]
pub struct PendingRequest {
    /// The session.
    pub session: arena_keys::CallerKey,
    /// The caller's request id.
    pub id: String,
    /// What it does.
    pub kind: RequestKind,
    /// The route that it goes by.
    pub route: proxy_config::RouteObject,
    /// The group.
    pub group: arena_keys::GroupKey,
    /// The account; `None` on open routes.
    pub account: Option<arena_keys::AccountKey>,
    /// When it arrived.
    pub arrived: clock_time::ClockTime,
    /// When it is given up.
    pub deadline: clock_time::ClockTime,
    /// Times that it was given a link.
    pub attempts: u32,
    /// Endpoints that turned it away.
    pub avoided: Vec<arena_keys::EndpointKey>,
    /// Whether the endpoint that it was placed on leads the group, and in which epoch.
    pub primary_epoch: Option<u64>,
    /// Where it stands.
    pub phase: RequestPhase,
}

impl PendingRequest {
    /// Whether the job only reads.
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
