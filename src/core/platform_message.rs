//! Calls to the platform's key-value service and their replies.

use serde::{Deserialize, Serialize};

/// A call to the platform's key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlatformRequest {
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// Writes `value` when the key's revision is still `expected` (0: the key is absent).
    CompareSwap {
        /// The key.
        key: String,
        /// The revision that the caller last saw, 0 for an absent key.
        expected: u64,
        /// The new value.
        value: Vec<u8>,
    },
    /// Reads the list of live and leaving hosts, which lags behind.
    Hosts,
    /// Waits until a key under `prefix` has a revision above `after`, at most `wait_ms`.
    Watch {
        /// The prefix of the keys watched.
        prefix: String,
        /// The revision that the caller has seen all changes of.
        after: u64,
        /// The longest wait in milliseconds.
        wait_ms: u64,
    },
}

/// A key with its value and the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// The key.
    pub key: String,
    /// The revision of the key's last change.
    pub revision: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// A host or endpoint as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name, as the configuration knows the host or endpoint.
    pub name: String,
    /// Whether it is about to go.
    pub leaving: bool,
}

/// A reply of the platform's key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlatformReply {
    /// The entry read, if the key exists.
    Value(Option<StoreEntry>),
    /// The swap took effect with this revision.
    Swapped {
        /// The key's new revision.
        revision: u64,
    },
    /// The swap did not take effect; the entry as it stands.
    Conflict(Option<StoreEntry>),
    /// Entries changed after the watched revision, and the store's revision.
    Changed {
        /// The store's revision when the reply was made.
        revision: u64,
        /// The entries with a revision above the one asked for.
        entries: Vec<StoreEntry>,
    },
    /// The hosts and endpoints that the platform knows.
    Hosts(Vec<ListedHost>),
    /// The request was not understood or broke a limit; it had no effect.
    Refused {
        /// What was wrong.
        detail: String,
    },
}
