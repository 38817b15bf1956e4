//! The outcome of a request: whether it may have run, why, and when to come back.

use std::time::Duration;

/// Whether a request reached a database and took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestFate {
    /// No endpoint executed the request.
    NotRun,
    /// An endpoint may have executed the request; its outcome is unknown.
    MayHaveRun,
    /// The request was executed and its outcome is durable.
    Ran,
}

/// The reason for a verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VerdictCause {
    /// The request completed.
    Completed,
    /// A request with the same identifier completed earlier; it was not executed again.
    CompletedEarlier,
    /// The account or key is unknown, or the key was withdrawn.
    KeyRejected,
    /// No rule lets the account use the service in this way.
    RuleDenied {
        /// What the rules lack.
        detail: String,
    },
    /// The account is over its rate and burst.
    OverRate,
    /// This host has no share of the account's rate now, nor reaches one that has.
    ShareClosed,
    /// This host cannot confirm that its configuration is current.
    ConfigStale,
    /// No configuration is in force on this host yet.
    ConfigMissing,
    /// The group has no primary at present.
    NoPrimary,
    /// No endpoint of the group can take the request.
    NoEndpoint,
    /// A bounded queue is full.
    QueueFull,
    /// The host or its data centre is leaving service.
    Draining,
    /// The host had ended the caller's connection when the statement arrived.
    CallerEnded,
    /// The deadline passed.
    DeadlinePassed,
    /// The connection to the endpoint broke.
    ConnectionLost,
    /// The transaction was rolled back: its connection was lost, it was idle for too long, or the
    /// database had refused one of its statements.
    TransactionLost,
    /// The primary was replaced before the write was confirmed.
    PrimaryReplaced,
    /// The session token is malformed, or was issued for another account.
    TokenInvalid,
    /// The statement cannot be served as written.
    StatementInvalid {
        /// What is wrong with it.
        detail: String,
    },
    /// The database refused the statement.
    DatabaseError {
        /// The database's SQLSTATE.
        sqlstate: String,
        /// The database's message.
        message: String,
    },
}

/// The final answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestVerdict {
    /// Whether the request may have run.
    pub fate: RequestFate,
    /// Why.
    pub cause: VerdictCause,
    /// For refusals, the least time to wait before trying again.
    pub retry_after: Option<Duration>,
}

impl RequestVerdict {
    /// A verdict for a request that completed.
    pub fn ran() -> Self {
        Self { fate: RequestFate::Ran, cause: VerdictCause::Completed, retry_after: None }
    }

    /// A verdict for a request that was not run.
    pub fn not_run(cause: VerdictCause, retry_after: Option<Duration>) -> Self {
        Self { fate: RequestFate::NotRun, cause, retry_after }
    }

    /// A verdict for a request whose effect is unknown.
    pub fn may_have_run(cause: VerdictCause) -> Self {
        Self { fate: RequestFate::MayHaveRun, cause, retry_after: None }
    }

    /// Returns the SQLSTATE that the caller sees.
    pub fn sqlstate(&self) -> &str {
        match (&self.cause, self.fate) {
            (VerdictCause::DatabaseError { sqlstate, .. }, _) => sqlstate,
            (VerdictCause::Completed, _) => "00000",
            (VerdictCause::CompletedEarlier, _) => "23505",
            (_, RequestFate::MayHaveRun) => "08007",
            (VerdictCause::KeyRejected, _) => "28P01",
            (VerdictCause::RuleDenied { .. }, _) => "42501",
            (VerdictCause::OverRate | VerdictCause::QueueFull, _) => "53400",
            (VerdictCause::ShareClosed, _) => "57P03",
            (VerdictCause::ConfigStale | VerdictCause::ConfigMissing, _) => "57P03",
            (VerdictCause::NoPrimary | VerdictCause::NoEndpoint, _) => "57P03",
            (VerdictCause::Draining | VerdictCause::CallerEnded, _) => "57P01",
            (VerdictCause::DeadlinePassed, _) => "57014",
            (VerdictCause::ConnectionLost | VerdictCause::PrimaryReplaced, _) => "08006",
            (VerdictCause::TransactionLost, _) => "40000",
            (VerdictCause::TokenInvalid, _) => "22023",
            (VerdictCause::StatementInvalid { .. }, _) => "0A000",
        }
    }

    /// Returns one line that describes the cause to the caller.
    pub fn message(&self) -> String {
        match &self.cause {
            VerdictCause::Completed => "completed".to_owned(),
            VerdictCause::CompletedEarlier => {
                "a request with this identifier completed earlier and was not run again".to_owned()
            }
            VerdictCause::KeyRejected => "unknown account or key".to_owned(),
            VerdictCause::RuleDenied { detail } => format!("no rule allows this: {detail}"),
            VerdictCause::OverRate => "the account is over its rate".to_owned(),
            VerdictCause::ShareClosed => {
                "this host has no share of the account's rate at present".to_owned()
            }
            VerdictCause::ConfigStale => "this host cannot confirm its configuration".to_owned(),
            VerdictCause::ConfigMissing => "this host has no configuration yet".to_owned(),
            VerdictCause::NoPrimary => "the group has no primary at present".to_owned(),
            VerdictCause::NoEndpoint => "no endpoint can take the request".to_owned(),
            VerdictCause::QueueFull => "the queue is full".to_owned(),
            VerdictCause::Draining => "this host is leaving service".to_owned(),
            VerdictCause::CallerEnded => "this host has ended the connection".to_owned(),
            VerdictCause::DeadlinePassed => "the deadline passed".to_owned(),
            VerdictCause::ConnectionLost => "the connection to the endpoint was lost".to_owned(),
            VerdictCause::TransactionLost => {
                "the transaction was rolled back: a statement failed, or it was lost or idle"
                    .to_owned()
            }
            VerdictCause::PrimaryReplaced => {
                "the primary was replaced before the write was confirmed".to_owned()
            }
            VerdictCause::TokenInvalid => "the session token is not valid".to_owned(),
            VerdictCause::StatementInvalid { detail } => detail.clone(),
            VerdictCause::DatabaseError { message, .. } => message.clone(),
        }
    }

    /// Returns the detail line of an error: fate, and when to come back.
    pub fn detail(&self) -> String {
        let fate = match self.fate {
            RequestFate::NotRun => "not run",
            RequestFate::MayHaveRun => "may have run",
            RequestFate::Ran => "ran",
        };
        match self.retry_after {
            Some(wait) => format!("verdict: {fate}; retry after {} ms", wait.as_millis()),
            None => format!("verdict: {fate}"),
        }
    }
}
