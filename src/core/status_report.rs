//! Status report of a host for operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counts of one client account on one host since the process started.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AccountCounts {
    /// Admitted statements.
    pub admitted: u64,
    /// Statements refused because the account was over its rate.
    pub over_rate: u64,
    /// Statements that did not run for other reasons.
    pub not_run: u64,
    /// Statements whose effect is unknown.
    pub may_have_run: u64,
    /// Reads served by replicas.
    pub replica_reads: u64,
    /// Reads served by primaries.
    pub primary_reads: u64,
    /// Acknowledged writes.
    pub writes: u64,
    /// Median latency in microseconds, filled in by the daemon.
    pub p50_us: u64,
    /// 99th percentile of latency in microseconds, filled in by the daemon.
    pub p99_us: u64,
}

/// Status of a group as seen by one host.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Term of the group.
    pub term: u64,
    /// Primary of the group, if the term has one.
    pub primary: Option<String>,
    /// State of the failover chart on this host.
    pub failover: String,
}

/// Control-plane traffic since the process started.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ControlCounts {
    /// Calls to the platform.
    pub platform_calls: u64,
    /// Calls to peers.
    pub peer_calls: u64,
    /// Calls to peers that requested a loan.
    pub loan_requests: u64,
    /// Requests from peers that this host replied to.
    pub peer_requests: u64,
    /// Status probes of endpoints.
    pub probes: u64,
}

/// Status report of one host.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the host.
    pub host: String,
    /// Active configuration, 0 for none.
    pub version: u64,
    /// Whether the configuration is confirmed as current.
    pub fresh: bool,
    /// Whether the host accepts no new work.
    pub leaving: bool,
    /// Open caller connections.
    pub callers: u64,
    /// Statements without a response.
    pub statements: u64,
    /// Connections to endpoints.
    pub connections: u64,
    /// Groups by name.
    pub groups: BTreeMap<String, GroupStatus>,
    /// Accounts by name.
    pub accounts: BTreeMap<String, AccountCounts>,
    /// Control-plane traffic since the process started.
    pub control: ControlCounts,
}
