//! State of the usage reports at one host.

use std::collections::BTreeSet;

use crate::core::clock_time;
use crate::proxy::store_revision;
use crate::proxy::usage_clock;
use crate::proxy::usage_collection;
use crate::proxy::usage_ledger;
use crate::proxy::usage_record;

/// State of the usage reports at one host.
#[derive(Debug, Default)]
pub struct UsageState {
    /// True time.
    pub clock: usage_clock::UsageClock,
    /// Counts of this process.
    pub ledger: usage_ledger::UsageLedger,
    /// Totals of all hosts; used by the coordinator only.
    pub collection: usage_collection::UsageCollection,
    /// The latest record, and the revision of the one in the store, `ABSENT` if there is none.
    pub record: Option<(usage_record::UsageRecord, store_revision::StoreRevision)>,
    /// Whether the store has lost that record and holds an older one or none.
    pub record_lost: bool,
    /// The latest coordinator that this host has heard of, from the store or from itself.
    pub holder: String,
    /// Its token, for which `received` holds.
    pub token: u64,
    /// Closed windows that this coordinator has received from this process.
    pub received: BTreeSet<u64>,
    /// When totals were last sent.
    pub sent_at: clock_time::ClockTime,
    /// The ledger's version at that time.
    pub sent_version: u64,
    /// When totals of closed windows may be sent.
    pub send_closed_at: clock_time::ClockTime,
    /// Last window that is not for this coordinator to settle, if the store has no record yet.
    pub base_window: Option<u64>,
    /// Windows whose report this process knows to have been accepted.
    pub accepted: BTreeSet<u64>,
    /// Windows that this process has reported without knowing that the report was accepted.
    pub attempted: BTreeSet<u64>,
    /// Window whose report awaits its reply, and the token of the call.
    pub reporting: Option<(u64, u64)>,
    /// When the next report may be sent.
    pub next_report_at: clock_time::ClockTime,
    /// When the hosts' clocks were last compared.
    pub agreed_at: clock_time::ClockTime,
    /// Whether a write of the record is pending.
    pub write_pending: bool,
    /// When the next write may be sent.
    pub next_write_at: clock_time::ClockTime,
}
