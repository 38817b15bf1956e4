//! What this host knows of one host, itself included.

use std::collections::BTreeMap;

use crate::clock_time;
use crate::proxy::change_record;
use crate::proxy::peer_datagram;

/// What this host knows of one host, itself included.
#[derive(Debug, Clone)]
pub struct MemberView {
    /// Its record, the last one if it vanished.
    pub record: change_record::MemberRecord,
    /// When its record vanished.
    pub gone: Option<clock_time::ClockTime>,
    /// When it was last heard.
    pub heard: Option<clock_time::ClockTime>,
    /// The dealing of shares that it goes by.
    pub dealing: u64,
    /// Its views of groups, by group.
    pub sights: BTreeMap<String, peer_datagram::PrimarySight>,
}
