//! What this host knows of the logs that may hold acknowledged commits of a group.

use std::collections::BTreeMap;

use crate::core::clock_time;
use crate::core::endpoint_message;
use crate::proxy::holder_record;
use crate::proxy::store_revision;

/// A check whether absent holders are still needed.
#[derive(Debug, Clone, Copy)]
pub struct HolderCheck {
    /// When it began. Only reports that were requested later count.
    pub since: clock_time::ClockTime,
    /// The group's epoch.
    pub epoch: u64,
    /// Whether all hosts knew that epoch when it began, or could not use the primary any more.
    pub fenced: bool,
    /// End of the primary's log, which includes every commit acknowledged before the check.
    pub primary_position: Option<endpoint_message::LogPoint>,
}

/// What this host knows of the logs that may hold acknowledged commits of a group.
#[derive(Debug, Default)]
pub struct LogHolders {
    /// The record as the store holds it; `None` if there is none.
    pub stored: Option<holder_record::HolderRecord>,
    /// The record as this host knows it. After a restore the store may hold an older one.
    pub known: holder_record::HolderRecord,
    /// Revision of the record in the store; `ABSENT` when there is none.
    pub revision: store_revision::StoreRevision,
    /// Whether a write of the record is pending.
    pub call_pending: bool,
    /// When the record is next compared with the endpoints.
    pub next_check: clock_time::ClockTime,
    /// The check in progress.
    pub check: Option<HolderCheck>,
    /// Fencing token of this host under which the store has confirmed its last write of the record. No
    /// earlier write can take effect any more.
    pub written_under: Option<u64>,
    /// Since when this host knows that a log does not count, by address.
    pub uncounted_since: BTreeMap<String, clock_time::ClockTime>,
}
