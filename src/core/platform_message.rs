//! Requests to the platform's key-value store and its replies.

use serde::{Deserialize, Serialize};

/// Request to the platform's key-value store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlatformRequest {
    /// Reads one key.
    Get {
        /// Key to read.
        key: String,
    },
    /// Writes `value` if the key's revision is still `expected` (0: the key does not exist).
    CompareSwap {
        /// Key to write.
        key: String,
        /// Last revision known to the sender, 0 for a key that does not exist.
        expected: u64,
        /// New value.
        value: Vec<u8>,
    },
    /// Reads the platform's list of hosts, which may be outdated.
    Hosts,
    /// Waits at most `wait_ms` until a key under `prefix` has a revision above `after`.
    Watch {
        /// Prefix of the watched keys.
        prefix: String,
        /// Revision up to which the sender has all changes.
        after: u64,
        /// Maximum wait in milliseconds.
        wait_ms: u64,
    },
}

/// A key with its value and the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// Key of the entry.
    pub key: String,
    /// Revision of the key's last change.
    pub revision: u64,
    /// Value of the key.
    pub value: Vec<u8>,
}

/// Host or endpoint in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host or endpoint in the configuration.
    pub name: String,
    /// Whether it is about to be removed.
    pub leaving: bool,
}

/// Reply of the platform's key-value store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlatformReply {
    /// The entry of the key, if it exists.
    Value(Option<StoreEntry>),
    /// The compare-and-swap succeeded.
    Swapped {
        /// New revision of the key.
        revision: u64,
    },
    /// The compare-and-swap failed; holds the current entry.
    Conflict(Option<StoreEntry>),
    /// Entries changed after the watched revision.
    Changed {
        /// Revision of the store when it replied.
        revision: u64,
        /// Entries with a revision above the requested one.
        entries: Vec<StoreEntry>,
    },
    /// Hosts and endpoints known to the platform.
    Hosts(Vec<ListedHost>),
    /// The request was malformed or exceeded a limit and had no effect.
    Refused {
        /// What was wrong with the request.
        detail: String,
    },
}
