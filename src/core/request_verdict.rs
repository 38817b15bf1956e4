//! The final outcome of a request as the caller sees it: whether the request may have run, the
//! cause, and when to retry.

use std::time::Duration;

/// Whether a request reached a database and took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestFate {
    /// No endpoint executed the request, so the caller may safely repeat it.
    NotRun,
    /// An endpoint may have executed the request; its outcome is unknown.
    MayHaveRun,
    /// The request was executed and its outcome is durable.
    Ran,
}

/// The reason for a verdict. The names of the values appear in log lines and metric labels.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VerdictCause {
    /// The request was executed.
    Completed,
    /// A request with the same `request_id` was executed earlier, so this one was not.
    CompletedEarlier,
    /// The account or key is unknown, or the key has been revoked.
    KeyRejected,
    /// The key of the transaction was given to another account, and the transaction rolled back.
    AccountChanged,
    /// No access rule allows the account to use the service in this way.
    RuleDenied {
        /// The access that the rules do not grant.
        detail: String,
    },
    /// The account has used up its rate and burst.
    OverRate,
    /// This host holds no usable share of the account's rate and cannot borrow one from a peer.
    ShareClosed,
    /// This host has had no confirmation of its configuration for longer than the limit.
    ConfigStale,
    /// This host has not loaded a configuration yet.
    ConfigMissing,
    /// The group has no primary that accepts requests.
    NoPrimary,
    /// No endpoint of the group can take the request.
    NoEndpoint,
    /// A queue is full, or the request waited in it for too long.
    QueueFull,
    /// This host is draining: it, or its data centre, is being taken out of service.
    Draining,
    /// The statement arrived after this host had closed the caller's connection.
    CallerEnded,
    /// The request's deadline passed.
    DeadlinePassed,
    /// The connection to the endpoint was lost.
    ConnectionLost,
    /// The transaction was rolled back because its connection was lost, it was idle for too long,
    /// or the database rejected one of its statements.
    TransactionLost,
    /// Another primary took over before a majority of replicas confirmed the request.
    PrimaryReplaced,
    /// The session token is malformed, fails authentication, or belongs to another account.
    TokenInvalid,
    /// The proxy does not support the statement or setting.
    StatementInvalid {
        /// The error message for the caller.
        detail: String,
    },
    /// The database rejected the statement.
    DatabaseError {
        /// SQLSTATE that the database returned.
        sqlstate: String,
        /// Error message that the database returned.
        message: String,
    },
}

/// The final outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestVerdict {
    /// Whether the request was executed.
    pub fate: RequestFate,
    /// Reason for the outcome.
    pub cause: VerdictCause,
    /// Minimum time before the caller should retry, when a retry can succeed.
    pub retry_after: Option<Duration>,
}

impl RequestVerdict {
    /// Builds the verdict for a request that was executed and is durable.
    pub fn ran() -> Self {
        Self { fate: RequestFate::Ran, cause: VerdictCause::Completed, retry_after: None }
    }

    /// Builds the verdict for a request that was not executed.
    pub fn not_run(cause: VerdictCause, retry_after: Option<Duration>) -> Self {
        Self { fate: RequestFate::NotRun, cause, retry_after }
    }

    /// Builds the verdict for a request whose effect is unknown.
    pub fn may_have_run(cause: VerdictCause) -> Self {
        Self { fate: RequestFate::MayHaveRun, cause, retry_after: None }
    }

    /// Returns the SQLSTATE for the caller's error response.
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
            (VerdictCause::TransactionLost | VerdictCause::AccountChanged, _) => "40000",
            (VerdictCause::TokenInvalid, _) => "22023",
            (VerdictCause::StatementInvalid { .. }, _) => "0A000",
        }
    }

    /// Returns the message of the caller's error response.
    pub fn message(&self) -> String {
        match &self.cause {
            VerdictCause::Completed => "completed".to_owned(),
            VerdictCause::CompletedEarlier => {
                "a request with this identifier completed earlier and was not run again".to_owned()
            }
            VerdictCause::KeyRejected => "unknown account or key".to_owned(),
            VerdictCause::AccountChanged => {
                "the key belongs to another account now; begin again".to_owned()
            }
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

    /// Returns the DETAIL field of the caller's error response: the fate and the retry delay.
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
