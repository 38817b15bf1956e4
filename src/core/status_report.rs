//! What a host tells operators of itself.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counts of one client account on one host since it started.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AccountCounts {
    /// Statements admitted.
    pub admitted: u64,
    /// Statements refused over the rate.
    pub over_rate: u64,
    /// Statements refused for other reasons, not run.
    pub not_run: u64,
    /// Statements whose effect is unknown.
    pub may_have_run: u64,
    /// Reads answered by replicas.
    pub replica_reads: u64,
    /// Reads answered by primaries.
    pub primary_reads: u64,
    /// Writes acknowledged.
    pub writes: u64,
    /// Median latency in microseconds, filled in by the daemon.
    pub p50_us: u64,
    /// Latency in microseconds that one statement in a hundred exceeds.
    pub p99_us: u64,
}

/// How one host sees a group.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The term.
    pub term: u64,
    /// The primary, if one serves.
    pub primary: Option<String>,
    /// State of the change of primary as this host drives it.
    pub failover: String,
}

/// Traffic that control has cost since the start.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ControlCounts {
    /// Calls to the platform.
    pub platform_calls: u64,
    /// Calls to peers.
    pub peer_calls: u64,
    /// Of these, calls that asked for a share.
    pub share_asks: u64,
    /// Questions of peers answered.
    pub peer_answers: u64,
    /// Status probes of endpoints.
    pub probes: u64,
}

/// What a host tells operators of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StatusReport {
    /// The host.
    pub host: String,
    /// The configuration in force, 0 for none.
    pub version: u64,
    /// Whether the host can confirm its configuration.
    pub fresh: bool,
    /// Whether the host is leaving.
    pub leaving: bool,
    /// Open callers.
    pub callers: u64,
    /// Statements under way.
    pub statements: u64,
    /// Connections to endpoints.
    pub connections: u64,
    /// Groups by name.
    pub groups: BTreeMap<String, GroupStatus>,
    /// Accounts by name.
    pub accounts: BTreeMap<String, AccountCounts>,
    /// Cost of control.
    pub control: ControlCounts,
}
