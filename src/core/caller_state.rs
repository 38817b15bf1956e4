//! One caller's open connection to this host.

use crate::core::arena_keys;
use crate::core::core_message;
use crate::core::session_token;

/// What proved the caller's right to its account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerCredential {
    /// A key: its object's name and hash at login.
    Key {
        /// Name of the key object.
        name: String,
        /// Its hash.
        hash: String,
    },
    /// The route is open to all.
    PublicRoute,
}

/// Settings that the caller has made.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallerSettings {
    /// Group named by the caller.
    pub group: Option<String>,
    /// Key that picks one of the service's groups.
    pub route_key: Option<String>,
    /// Identifier of the next write.
    pub request_id: Option<String>,
    /// Greatest age of data accepted by reads, in milliseconds.
    pub max_age_ms: Option<u64>,
    /// Deadline of each statement, in milliseconds.
    pub timeout_ms: Option<u64>,
}

/// A transaction in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenTransaction {
    /// The group it runs in.
    pub group: arena_keys::GroupKey,
    /// The connection that belongs to it.
    pub connection: arena_keys::ConnectionKey,
    /// Whether the database has refused one of its statements; it can only be rolled back then.
    pub failed: bool,
}

/// One caller's open connection.
#[derive(Debug, Clone)]
pub struct CallerState {
    /// The door's number.
    pub id: core_message::CallerId,
    /// The account's name.
    pub account_name: String,
    /// The account.
    pub account: arena_keys::AccountKey,
    /// What proved its right.
    pub proof: CallerCredential,
    /// The service named at login.
    pub service: String,
    /// Points that its reads must see.
    pub session: session_token::SessionToken,
    /// Its settings.
    pub settings: CallerSettings,
    /// The statement under way.
    pub statement: Option<arena_keys::StatementKey>,
    /// Its open transaction.
    pub transaction: Option<OpenTransaction>,
    /// Whether its transaction was rolled back unasked; the caller has yet to end it.
    pub transaction_lost: bool,
}

impl CallerState {
    /// Whether the caller has begun a transaction that it has not ended.
    pub fn in_transaction(&self) -> bool {
        self.transaction.is_some() || self.transaction_lost
    }

    /// Notes that the open transaction, if there is one, was rolled back unasked.
    pub fn lose_transaction(&mut self) {
        self.transaction_lost |= self.transaction.take().is_some();
    }
}
