//! A host of the fleet as this host sees it.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::clock_time;
use crate::proxy::peer_datagram;
use crate::proxy::store_record;
use crate::proxy::store_revision;

/// A host of the fleet as this host sees it; there is one for this host itself, too.
#[derive(Debug, Clone)]
pub struct MemberView {
    /// Its member record; the last one known if it was removed.
    pub record: store_record::MemberRecord,
    /// When the member record was removed; `None` while it exists.
    pub removed_at: Option<clock_time::ClockTime>,
    /// When the last heartbeat from the host arrived.
    pub last_heartbeat: Option<clock_time::ClockTime>,
    /// Sending time of its last heartbeat, in microseconds on its own clock.
    pub sent_at_us: u64,
    /// Sending time, on this host's clock, of the latest own heartbeat that the host has
    /// acknowledged.
    pub acknowledged_sent_at: Option<clock_time::ClockTime>,
    /// Hash of the witness set that the host uses.
    pub witnesses: u64,
    /// Store revision up to which the host knows all changes.
    pub store_revision: store_revision::StoreRevision,
    /// Hash of the share allocation that the host uses.
    pub allocation: u64,
    /// Whether the host has confirmed that all hosts use that allocation.
    pub allocation_confirmed: bool,
    /// Until when it gets no token requests, because it did not reply to the last one.
    pub skipped_until: clock_time::ClockTime,
    /// Its latest token requests, and when they arrived.
    pub token_asks: BTreeMap<peer_datagram::TokenAskId, clock_time::ClockTime>,
    /// Hosts from which it reports no recent heartbeat.
    pub unreachable: BTreeSet<String>,
    /// Its observations of primaries, by group.
    pub observations: BTreeMap<String, peer_datagram::PrimaryObservation>,
}

impl MemberView {
    /// Creates the view of a host that is not known to be running.
    pub fn absent(record: store_record::MemberRecord, now: clock_time::ClockTime) -> Self {
        Self {
            record,
            removed_at: Some(now),
            last_heartbeat: None,
            sent_at_us: 0,
            acknowledged_sent_at: None,
            witnesses: 0,
            store_revision: store_revision::StoreRevision::default(),
            allocation: 0,
            allocation_confirmed: false,
            skipped_until: clock_time::ClockTime::default(),
            token_asks: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            observations: BTreeMap::new(),
        }
    }
}
