//! This host's standing with the store: what it has read, and the leases that it holds.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::proxy::store_message;
use crate::proxy::store_record;

/// What a call to the store is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StorePurpose {
    /// A page of the first reading, or of one after lost history.
    List,
    /// A watch.
    Watch,
    /// A lease for this host's membership.
    MembershipLease,
    /// This host's member record, under its lease.
    MemberRecord {
        /// The lease.
        lease: u64,
    },
    /// This host's entry in the roster.
    RosterRecord,
    /// Renewal of this host's lease.
    MembershipRenewal {
        /// The lease.
        lease: u64,
    },
    /// A lease for the duty.
    CoordinatorLease,
    /// The duty's record.
    CoordinatorRecord,
    /// Renewal of the duty's lease.
    CoordinatorRenewal,
    /// A group's record.
    GroupRecord {
        /// The group.
        group: arena_keys::GroupKey,
        /// What was written.
        record: store_record::GroupRecord,
    },
    /// Anything whose answer changes nothing.
    IgnoreReply,
}

/// A call to the store that awaits its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreCall {
    /// What it is for.
    pub purpose: StorePurpose,
    /// When it was sent.
    pub sent: clock_time::ClockTime,
}

impl StoreCall {
    /// Returns until when a lease that this call took or renewed surely runs: it counts from the
    /// call's arrival, which is no earlier than its sending.
    pub fn lease_end(&self, ttl: Duration, margin: Duration) -> clock_time::ClockTime {
        self.sent.after(ttl.saturating_sub(margin))
    }
}

/// The reading of all items, page by page.
#[derive(Debug, Default)]
pub struct FullReading {
    /// Items of the pages read.
    pub items: Vec<store_message::StoreItem>,
    /// Revision of the first page; pages are no snapshot, and changes follow from here.
    pub revision: Option<u64>,
}

/// This host's standing with the store.
#[derive(Debug, Default)]
pub struct StoreSession {
    /// Revision up to which changes are known; `None` before the first full reading.
    pub revision: Option<u64>,
    /// A full reading under way.
    pub reading: Option<FullReading>,
    /// Revisions of the items known.
    pub known: BTreeMap<store_message::ItemSubject, u64>,
    /// Last answer of any kind.
    pub answered: clock_time::ClockTime,
    /// Whether the last calls went unanswered; for log lines.
    pub lost: bool,
    /// Failures in a row, for pauses.
    pub failures: u32,
    /// Since when peers know a later revision than this host does.
    pub behind: Option<clock_time::ClockTime>,
    /// When the next reading or watch may be sent.
    pub next_read: clock_time::ClockTime,
    /// Whether a reading or watch is under way.
    pub read_pending: bool,
    /// This host's lease.
    pub lease: Option<u64>,
    /// Whether the member record was written under the lease, and at which revision.
    pub registered: Option<u64>,
    /// Revision of the first member record that this process wrote.
    pub first_registered: Option<u64>,
    /// Whether a call about the lease or the record is under way.
    pub lease_call_pending: bool,
    /// When the next such call may be sent.
    pub next_lease: clock_time::ClockTime,
    /// Until when the lease surely runs.
    pub lease_until: clock_time::ClockTime,
}

impl StoreSession {
    /// Whether this host knows the store as of its enrolment, so that its roster counts it and all
    /// that came before.
    pub fn knows_own_registration(&self) -> bool {
        self.first_registered
            .is_some_and(|first_registered| self.revision >= Some(first_registered))
    }

    /// Whether this host may rely on the groups' records that it knows.
    ///
    /// A replacement of a primary waits for every host whose member record stands. This host's
    /// record surely stands until `lease_until`, and the groups' records are known as of its
    /// writing, so no replacement can have gone by without this host.
    pub fn membership_valid(&self, now: clock_time::ClockTime) -> bool {
        let Some(registered) = self.registered else { return false };
        now < self.lease_until && self.revision.is_some_and(|revision| revision >= registered)
    }
}
