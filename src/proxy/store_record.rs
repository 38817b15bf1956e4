//! Records of this product in the store.

use serde::{Deserialize, Serialize};

/// Where a group's change of primary stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupPhase {
    /// The primary may be used.
    Serving,
    /// Hosts stop using the primary.
    Stopping,
    /// The candidate is being appointed.
    #[serde(rename = "Appointing")]
    Promoting,
}

/// Which endpoint of a group may be used as its primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Grows with each change of primary.
    pub epoch: u64,
    /// Where the change stands.
    pub phase: GroupPhase,
    /// Id of the primary in force, or of the last one.
    pub primary: String,
    /// Term in which the primary leads.
    pub term: u64,
    /// Id of the endpoint that is being appointed.
    pub candidate: Option<String>,
    /// Host and incarnation that wrote the record.
    pub proposer: String,
}

/// A host that takes part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Host.
    pub host: String,
    /// Greater for each process that runs under this name.
    pub incarnation: u64,
    /// IP and port for datagrams.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
}

/// The host that may change primaries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorRecord {
    /// Host.
    pub host: String,
    /// Greater for each process that runs under this name.
    pub incarnation: u64,
    /// Lease that the record lives under.
    pub lease: u64,
}

/// Key of the duty's record.
pub const COORDINATOR_KEY: &str = "duty";
/// Prefix of members' records.
pub const MEMBER_PREFIX: &str = "hosts/";
/// Prefix of the hosts that take part, whether they run or not. These records have no lease, so a
/// host that starts knows at once how many others there are.
pub const ROSTER_PREFIX: &str = "roster/";
/// Prefix of groups' records.
pub const GROUP_PREFIX: &str = "groups/";
