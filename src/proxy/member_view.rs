//! What this host knows of one host, itself included.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::clock_time;
use crate::proxy::peer_datagram;
use crate::proxy::store_record;

/// What this host knows of one host, itself included.
#[derive(Debug, Clone)]
pub struct MemberView {
    /// Its record, the last one if it vanished.
    pub record: store_record::MemberRecord,
    /// When its record vanished.
    pub gone: Option<clock_time::ClockTime>,
    /// When it was last heard.
    pub heard: Option<clock_time::ClockTime>,
    /// Its clock in microseconds when it last spoke.
    pub sent_at_us: u64,
    /// When this host spoke last of what the other is known to have heard.
    pub echoed: Option<clock_time::ClockTime>,
    /// Identifies the witnesses that it goes by.
    pub witnesses: u64,
    /// Revision of the store up to which it knows it.
    pub store_revision: u64,
    /// The dealing of shares that it goes by.
    pub allocation: u64,
    /// Whether it knows that all hosts go by that dealing.
    pub allocation_confirmed: bool,
    /// Until when it is not asked for tokens, since it did not answer.
    pub skipped_until: clock_time::ClockTime,
    /// Hosts that it does not hear.
    pub silent: BTreeSet<String>,
    /// Its views of groups, by group.
    pub observations: BTreeMap<String, peer_datagram::PrimaryObservation>,
}

impl MemberView {
    /// A host that is not known to run.
    pub fn absent(record: store_record::MemberRecord, now: clock_time::ClockTime) -> Self {
        Self {
            record,
            gone: Some(now),
            heard: None,
            sent_at_us: 0,
            echoed: None,
            witnesses: 0,
            store_revision: 0,
            allocation: 0,
            allocation_confirmed: false,
            skipped_until: clock_time::ClockTime::default(),
            silent: BTreeSet::new(),
            observations: BTreeMap::new(),
        }
    }
}
