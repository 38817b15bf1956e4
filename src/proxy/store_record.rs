//! Records that the proxy keeps in the store, and their keys.

use serde::{Deserialize, Serialize};

/// Phase of a group's failover.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupPhase {
    /// The recorded primary may be used.
    Serving,
    /// Hosts are releasing the old primary.
    Stopping,
    /// The candidate is being promoted.
    #[serde(rename = "Appointing")]
    Promoting,
}

/// Which endpoint of a group hosts may use as its primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Incremented by each failover.
    pub epoch: u64,
    /// Phase of the failover.
    pub phase: GroupPhase,
    /// Id of the current primary; during a failover, of the last one.
    pub primary: String,
    /// Term in which that endpoint became the primary.
    pub term: u64,
    /// Id of the endpoint that is being promoted.
    pub candidate: Option<String>,
    /// Host and incarnation that wrote the record, as `host#incarnation`.
    pub proposer: String,
}

/// A host of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the host.
    pub host: String,
    /// Identifies one process of the host; later processes have higher numbers.
    pub incarnation: u64,
    /// IP address and port for datagrams.
    pub address: String,
    /// Data centre of the host.
    pub data_centre: String,
}

/// The host that is the coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorRecord {
    /// Name of the host.
    pub host: String,
    /// Identifies one process of the host; later processes have higher numbers.
    pub incarnation: u64,
    /// Lease that the record is bound to.
    pub lease: u64,
}

/// Key of the coordinator record.
pub const COORDINATOR_KEY: &str = "duty";
/// Key prefix of member records. They are bound to the host's membership lease.
pub const MEMBER_PREFIX: &str = "hosts/";
/// Key prefix of roster entries: the hosts that belong to the fleet, running or not. Roster entries
/// have no lease, so a host that starts knows at once how many others there are.
pub const ROSTER_PREFIX: &str = "roster/";
/// Key prefix of group records.
pub const GROUP_PREFIX: &str = "groups/";
