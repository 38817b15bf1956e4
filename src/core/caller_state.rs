//! State of one caller's connection to this host.

use crate::core::arena_keys;
use crate::core::core_message;
use crate::core::session_token;

/// Credential that a caller was authenticated with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerCredential {
    /// An account key, as it was at login.
    Key {
        /// Name of the key object in the configuration.
        name: String,
        /// Hash of the key; a changed hash revokes the login.
        hash: String,
    },
    /// None: the route admits callers without a key.
    PublicRoute,
}

/// Settings that a caller has made.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallerSettings {
    /// Group that statements go to.
    pub group: Option<String>,
    /// Key whose hash selects one of the service's groups.
    pub route_key: Option<String>,
    /// Idempotency key of the next write.
    pub request_id: Option<String>,
    /// Maximum age of the data that reads accept, in milliseconds.
    pub max_age_ms: Option<u64>,
    /// Timeout of each statement, in milliseconds.
    pub timeout_ms: Option<u64>,
}

/// A transaction that a caller has open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenTransaction {
    /// Group that it runs in.
    pub group: arena_keys::GroupKey,
    /// Connection that is reserved for it.
    pub connection: arena_keys::ConnectionKey,
    /// Whether the database has rejected one of its statements, so that it can only be rolled back.
    pub failed: bool,
}

/// State of one caller's connection.
#[derive(Debug, Clone)]
pub struct CallerState {
    /// Number that the listener gave to the connection.
    pub id: core_message::CallerId,
    /// Name of the account.
    pub account_name: String,
    /// Key of the account.
    pub account: arena_keys::AccountKey,
    /// Credential that it logged in with.
    pub proof: CallerCredential,
    /// Service that it connected to.
    pub service: String,
    /// Log points that its reads must observe.
    pub session: session_token::SessionToken,
    /// Settings that it has made.
    pub settings: CallerSettings,
    /// Statement in progress.
    pub statement: Option<arena_keys::StatementKey>,
    /// Transaction that it has open.
    pub transaction: Option<OpenTransaction>,
    /// Whether its transaction was rolled back by the proxy and the caller has not ended it yet.
    pub transaction_lost: bool,
}

impl CallerState {
    /// Whether the caller has begun a transaction and not ended it.
    pub fn in_transaction(&self) -> bool {
        self.transaction.is_some() || self.transaction_lost
    }

    /// Closes the open transaction, if any, and records that the proxy rolled it back.
    pub fn mark_transaction_lost(&mut self) {
        self.transaction_lost |= self.transaction.take().is_some();
    }
}
