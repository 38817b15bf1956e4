//! Records that the proxy keeps in the store, and their keys.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::proxy::store_revision;

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
    /// Grows with each failover and each confirmation after a restore of the store. An epoch that was
    /// written in a later era of the store is higher than any of an earlier one.
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
    /// Addresses of logs that a failover may do without, although the primary may count their receipts
    /// of commits. Hosts pass no acknowledgement on that rests on these.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub uncounted: BTreeSet<String>,
}

impl GroupRecord {
    /// Returns how far the group's history has advanced with this record. It never goes back, also
    /// where a restored store holds an older record.
    pub fn progress(&self) -> (u64, u8) {
        let step = match self.phase {
            GroupPhase::Stopping => 0,
            GroupPhase::Promoting => 1,
            GroupPhase::Serving => 2,
        };
        (self.epoch, step)
    }

    /// Returns whether the record only changes which logs count, under the primary of `last`, which
    /// serves without a pause.
    pub fn recounts(&self, last: &Self) -> bool {
        let serving = |record: &Self| record.phase == GroupPhase::Serving;
        serving(self)
            && serving(last)
            && self.epoch == last.epoch + 1
            && self.primary == last.primary
            && self.term == last.term
            && self.uncounted != last.uncounted
    }

    /// Returns the era of the store in which the record was written.
    pub fn era(&self) -> u64 {
        store_revision::StoreRevision::from_u64(self.epoch).era()
    }
}

/// Returns the first epoch of an era of the store.
pub fn first_epoch(era: u64) -> u64 {
    store_revision::StoreRevision::new(era, 1).as_u64()
}

/// Returns the epoch that follows `epoch` in an era of the store.
pub fn next_epoch(epoch: u64, era: u64) -> u64 {
    (epoch + 1).max(first_epoch(era))
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
/// Key prefix of departures. Each names the last process of a host that has ended as planned.
pub const DEPARTURE_PREFIX: &str = "departures/";
/// Key prefix of holder records, by group.
pub const HOLDER_PREFIX: &str = "holders/";
/// Key prefix of group records.
pub const GROUP_PREFIX: &str = "groups/";
