//! The operators' configuration as the proxy core uses it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use sha2::{Digest, Sha256};

/// How fresh the reads of a route must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Everything runs on the primary.
    Primary,
    /// Reads may miss commits that are younger than an age.
    BoundedAge {
        /// The age.
        max_age: Duration,
    },
    /// Like `BoundedAge`, but a session sees all its own commits.
    ReadYourWrites {
        /// The age.
        max_age: Duration,
    },
}

impl RouteKind {
    /// Returns the kind's name, for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Primary => "primary",
            Self::BoundedAge { .. } => "bounded_age",
            Self::ReadYourWrites { .. } => "read_your_writes",
        }
    }

    /// Returns the age that reads may have; `None` when they need the primary.
    pub fn max_age(self) -> Option<Duration> {
        match self {
            Self::Primary => None,
            Self::BoundedAge { max_age } | Self::ReadYourWrites { max_age } => Some(max_age),
        }
    }
}

/// A named database that callers connect to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteObject {
    /// Name that callers give.
    pub database: String,
    /// Group that serves it.
    pub group: String,
    /// How fresh its reads must be.
    pub kind: RouteKind,
    /// Limit for one statement.
    pub timeout: Duration,
    /// Time in which callers want an operation answered.
    pub target: Duration,
    /// Rank among requests that wait; 0 goes first.
    pub priority: u32,
    /// Whether callers need no key.
    pub open: bool,
}

/// A group of databases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupObject {
    /// Name.
    pub name: String,
    /// Connections that each of its endpoints takes from all hosts together.
    pub max_connections: u32,
    /// Replicas that hold a commit before it is acknowledged.
    pub copies: u32,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountObject {
    /// Name.
    pub name: String,
    /// Operations a second over all hosts.
    pub rate: f64,
    /// Operations at once over all hosts.
    pub burst: f64,
}

/// A key's digest; keys themselves are not kept.
pub type KeyDigest = [u8; 32];

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ProxyConfig {
    /// Version; grows from one to the next.
    pub version: u64,
    /// Routes by database name.
    pub routes: BTreeMap<String, RouteObject>,
    /// Groups by name.
    pub groups: BTreeMap<String, GroupObject>,
    /// Client accounts by name.
    pub accounts: BTreeMap<String, AccountObject>,
    /// Account names by key digest.
    pub keys: HashMap<KeyDigest, String>,
    /// Time after which an idle transaction is ended.
    pub idle_transaction: Duration,
}

/// Returns the digest under which a key is looked up.
pub fn digest_key(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}
