//! The operators' configuration in the form that the proxy core uses.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Freshness that a route guarantees to reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// All reads and writes run on the primary.
    Primary,
    /// Reads may miss commits younger than `max_age`.
    BoundedAge {
        /// Greatest age of commits that a read may miss.
        max_age: Duration,
    },
    /// Like `BoundedAge`, but a session always sees its own commits.
    ReadYourWrites {
        /// Greatest age of other sessions' commits that a read may miss.
        max_age: Duration,
    },
}

impl RouteKind {
    /// Returns the label of the kind on the metrics page.
    pub fn name(self) -> &'static str {
        match self {
            Self::Primary => "primary",
            Self::BoundedAge { .. } => "bounded_age",
            Self::ReadYourWrites { .. } => "read_your_writes",
        }
    }

    /// Returns the greatest age of commits that a read may miss; `None` when reads need the
    /// primary.
    pub fn max_age(self) -> Option<Duration> {
        match self {
            Self::Primary => None,
            Self::BoundedAge { max_age } | Self::ReadYourWrites { max_age } => Some(max_age),
        }
    }
}

/// A database name that callers connect to, and how its requests are served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteObject {
    /// Name that callers connect with.
    pub database: String,
    /// Group that serves the route.
    pub group: String,
    /// Freshness of reads.
    pub kind: RouteKind,
    /// Timeout of one statement.
    pub timeout: Duration,
    /// Latency within which callers should get the response to an operation.
    pub target_latency: Duration,
    /// Priority among waiting requests; 0 is served first.
    pub priority: u32,
    /// Whether callers may connect without a key.
    pub public: bool,
}

/// A group of databases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupObject {
    /// Name of the group.
    pub name: String,
    /// Most connections that each endpoint of the group accepts from all hosts together.
    pub max_connections: u32,
    /// Number of replicas that hold a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountObject {
    /// Name of the account.
    pub name: String,
    /// Operations per second over all hosts.
    pub rate: f64,
    /// Most operations at once over all hosts.
    pub burst: f64,
}

/// SHA-256 digest of a key; keys themselves are never stored.
pub type KeyDigest = [u8; 32];

/// One version of the configuration.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct ProxyConfig {
    /// Version number; each published version has a higher one than the last.
    pub version: u64,
    /// Routes by database name.
    pub routes: BTreeMap<String, RouteObject>,
    /// Groups by name.
    pub groups: BTreeMap<String, GroupObject>,
    /// Client accounts by name.
    pub accounts: BTreeMap<String, AccountObject>,
    /// Account names by key digest.
    pub keys: HashMap<KeyDigest, String>,
    /// Time after which an idle transaction is rolled back.
    pub idle_transaction: Duration,
}

/// Returns the digest under which a key is stored.
pub fn digest_key(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}
