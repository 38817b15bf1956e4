//! This host's view of the store: the items that it has read, its pending requests and its leases.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::proxy::config_read;
use crate::proxy::holder_record;
use crate::proxy::store_message;
use crate::proxy::store_record;
use crate::proxy::store_restore;
use crate::proxy::store_revision;
use crate::proxy::usage_record;

/// The purpose of a store request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StorePurpose {
    /// Reads one page of all items, for the first read or after the store's history was compacted.
    List,
    /// Reads the configuration.
    ConfigRead,
    /// Waits for changes.
    Watch {
        /// Revision after which changes are requested.
        after: store_revision::StoreRevision,
    },
    /// Obtains the membership lease.
    MembershipLease,
    /// Writes this host's member record.
    MemberRecord {
        /// The membership lease that the record is bound to.
        lease: u64,
    },
    /// Writes this host's roster entry.
    RosterRecord,
    /// Removes the departure of an earlier process of this host.
    DepartureRemoval,
    /// Renews the membership lease.
    MembershipRenewal {
        /// Id of the lease.
        lease: u64,
    },
    /// Obtains the coordinator lease.
    CoordinatorLease,
    /// Writes the coordinator record.
    CoordinatorRecord,
    /// Renews the coordinator lease.
    CoordinatorRenewal,
    /// Writes a group's record.
    GroupRecord {
        /// The group.
        group: arena_keys::GroupKey,
        /// The record as written.
        record: store_record::GroupRecord,
    },
    /// Writes the record of the logs that may hold a group's acknowledged commits.
    HolderRecord {
        /// The group.
        group: arena_keys::GroupKey,
        /// The record as written.
        record: holder_record::HolderRecord,
    },
    /// Writes the record of what is reported as usage.
    UsageRecord {
        /// The record as written.
        record: usage_record::UsageRecord,
    },
    /// A request whose reply needs no handling.
    IgnoreReply,
}

impl StorePurpose {
    /// Returns the label of the purpose on the metrics page and in the log.
    pub fn name(&self) -> &'static str {
        match self {
            Self::List => "list",
            Self::ConfigRead => "config_read",
            Self::Watch { .. } => "watch",
            Self::MembershipLease => "membership_lease",
            Self::MemberRecord { .. } => "member_record",
            Self::RosterRecord => "roster_record",
            Self::DepartureRemoval => "departure_removal",
            Self::MembershipRenewal { .. } => "membership_renewal",
            Self::CoordinatorLease => "coordinator_lease",
            Self::CoordinatorRecord => "coordinator_record",
            Self::CoordinatorRenewal => "coordinator_renewal",
            Self::GroupRecord { .. } => "group_record",
            Self::HolderRecord { .. } => "holder_record",
            Self::UsageRecord { .. } => "usage_record",
            Self::IgnoreReply => "other",
        }
    }
}

/// A pending store request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreCall {
    /// What the request is for.
    pub purpose: StorePurpose,
    /// When it was sent.
    pub sent: clock_time::ClockTime,
    /// The store's era as known then; `None` before its first reply.
    pub era: Option<u64>,
}

impl StoreCall {
    /// Returns until when a lease obtained or renewed by this request is certain to be valid. The
    /// lease runs from the arrival of the request, which cannot be earlier than its sending.
    pub fn lease_end(&self, ttl: Duration, margin: Duration) -> clock_time::ClockTime {
        self.sent.after(ttl.saturating_sub(margin))
    }
}

/// A read of all items, page by page.
#[derive(Debug)]
pub struct FullReading {
    /// Which items are read.
    pub scope: store_message::ListScope,
    /// Key after which the next page begins; `None` for the first page.
    pub next: Option<String>,
    /// Items of the pages read so far.
    pub items: Vec<store_message::StoreItem>,
    /// When the first page was requested.
    pub started_at: Option<clock_time::ClockTime>,
    /// Revision of the first page. The pages are not a snapshot, so changes are watched from this
    /// revision.
    pub revision: Option<store_revision::StoreRevision>,
}

impl FullReading {
    /// Creates a read that has not begun.
    pub fn new(scope: store_message::ListScope) -> Self {
        Self { scope, next: None, items: Vec::new(), started_at: None, revision: None }
    }
}

/// This host's view of the store and its membership there.
#[derive(Debug, Default)]
pub struct StoreSession {
    /// Revision up to which this host knows all changes; `None` before the first full read.
    pub revision: Option<store_revision::StoreRevision>,
    /// Number of times that the store was restored from a copy, as far as this host knows; `None` if
    /// the store states none.
    pub era: Option<u64>,
    /// The era in which this host read the store first.
    pub first_era: u64,
    /// When this host saw the present era for the first time.
    pub era_since: clock_time::ClockTime,
    /// When the first full read was complete.
    pub listed_at: Option<clock_time::ClockTime>,
    /// The full read in progress.
    pub reading: Option<FullReading>,
    /// The read of the configuration that this host needs, if it does.
    pub config_read: Option<config_read::ConfigRead>,
    /// Time up to which this host is certain to know all changes, apart from a configuration that it
    /// still has to read.
    pub synced_at: clock_time::ClockTime,
    /// Consecutive pages of full reads that did not arrive.
    pub list_failures: u32,
    /// Consecutive watches that got no reply.
    pub watch_failures: u32,
    /// Revisions of the known items.
    pub known: BTreeMap<store_message::ItemSubject, store_revision::StoreRevision>,
    /// What a restored store says of items of which this host knows something later.
    pub held: BTreeMap<store_message::ItemSubject, store_restore::HeldItem>,
    /// When the store last replied.
    pub last_reply_at: clock_time::ClockTime,
    /// Whether the last request failed; for the log only.
    pub last_call_failed: bool,
    /// Number of consecutive failed requests, which determines the pause before the next.
    pub failures: u32,
    /// Since when a peer has reported a later revision than this host knows.
    pub behind_since: Option<clock_time::ClockTime>,
    /// When the next read or watch may be sent.
    pub next_read: clock_time::ClockTime,
    /// Whether a read or watch is pending.
    pub read_pending: bool,
    /// Id of the membership lease.
    pub lease: Option<u64>,
    /// Revision at which the member record was written under the current lease; `None` if it was
    /// not.
    pub registered: Option<store_revision::StoreRevision>,
    /// Revision of the first member record that this process wrote.
    pub first_registered: Option<store_revision::StoreRevision>,
    /// When that record was written.
    pub first_registered_at: Option<clock_time::ClockTime>,
    /// Whether a request about the lease, the roster entry or the member record is pending.
    pub lease_call_pending: bool,
    /// When the next such request may be sent.
    pub next_lease: clock_time::ClockTime,
    /// Until when the membership lease is certain to be valid.
    pub lease_until: clock_time::ClockTime,
    /// Latest time until which a member record of this process was certain to exist.
    pub registered_until: clock_time::ClockTime,
}

impl StoreSession {
    /// Returns how often the store was restored from a copy, as far as this host knows.
    pub fn era(&self) -> u64 {
        self.era.unwrap_or(0)
    }

    /// Returns whether this host has read the store at least up to its first member record. Its
    /// roster then includes this host and every host registered before it.
    pub fn knows_own_registration(&self) -> bool {
        self.first_registered
            .is_some_and(|first_registered| self.revision >= Some(first_registered))
    }

    /// Returns whether this host may rely on the group records as it knows them.
    ///
    /// A failover waits for every host whose member record exists. This host's member record is
    /// certain to exist until `lease_until`, and this host has read all group records up to the
    /// revision of its member record. No failover can therefore have completed without it.
    pub fn membership_valid(&self, now: clock_time::ClockTime) -> bool {
        let Some(registered) = self.registered else { return false };
        now < self.lease_until && self.revision.is_some_and(|revision| revision >= registered)
    }
}
