//! One group of endpoints as this host sees it.

use std::collections::BTreeSet;

use crate::core::arena_keys;
use crate::core::chart_cursor;
use crate::core::clock_time;
use crate::proxy::log_holders;
use crate::proxy::position_history;
use crate::proxy::return_schedule;
use crate::proxy::store_record;
use crate::proxy::store_revision;

/// Why a failover is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailoverReason {
    /// The group has no record yet.
    NoRecord,
    /// The record was written before the store was restored from a copy.
    StoreRestored,
    /// An earlier coordinator did not finish its failover.
    Unfinished,
    /// The primary is deregistered or draining, or its data centre is under evacuation.
    Leaving,
    /// Most witnesses get no response from the primary.
    Unreachable,
    /// The recorded primary reports that it is not the primary.
    LeadershipLost,
}

/// A failover run by this host.
#[derive(Debug, Clone)]
pub struct FailoverState {
    /// Current state in the chart `proxy_failover`.
    pub cursor: chart_cursor::ChartCursor,
    /// When that state was entered.
    pub since: clock_time::ClockTime,
    /// When the failover began.
    pub started_at: clock_time::ClockTime,
    /// When statuses were last requested, or the platform last replied to a promotion. Limits how
    /// often either is repeated.
    pub last_attempt_at: clock_time::ClockTime,
    /// Endpoints that the platform refused to promote.
    pub rejected_candidates: Vec<arena_keys::EndpointKey>,
    /// Whether a write of the record or a promotion is pending.
    pub call_pending: bool,
    /// Whether a promotion of this failover may have taken effect although its endpoint was not seen to
    /// be the primary. Only a further promotion supersedes it.
    pub promotion_uncertain: bool,
    /// Since when a majority of the witnesses has reported the record's epoch. A quorum lease
    /// later, no host can hold a lease for an older epoch.
    pub epoch_known_since: Option<clock_time::ClockTime>,
    /// Since when at least one witness of each set has known the record's epoch. A quorum lease
    /// later, no isolated host can hold a lease for an older epoch.
    pub epoch_seen_since: Option<clock_time::ClockTime>,
    /// When the log last told what the failover waits for.
    pub wait_logged_at: clock_time::ClockTime,
}

/// One group of endpoints as this host sees it.
#[derive(Debug)]
pub struct GroupView {
    /// Name of the group.
    pub name: String,
    /// Endpoints of the group.
    pub endpoints: Vec<arena_keys::EndpointKey>,
    /// Groups whose endpoints have moved to this one, with their logs.
    pub predecessors: BTreeSet<arena_keys::GroupKey>,
    /// Requests that wait for a primary.
    pub primary_waiting: Vec<arena_keys::StatementKey>,
    /// Slots given to callers that were refused at this group.
    pub returns: return_schedule::ReturnSchedule,
    /// The group's record in the store.
    pub record: Option<store_record::GroupRecord>,
    /// Revision of the record in the store; `ABSENT` when there is none.
    pub revision: store_revision::StoreRevision,
    /// When this host received the record.
    pub record_received_at: clock_time::ClockTime,
    /// The last epoch for which this host has released the old primary.
    pub released_epoch: u64,
    /// The newest epoch that a peer has reported.
    pub peer_epoch: u64,
    /// Whether an endpoint has reported that the recorded primary is not the primary.
    pub leadership_lost: bool,
    /// The epoch in which the recorded primary began to serve; records that only change which logs
    /// count do not end that.
    pub serving_since_epoch: u64,
    /// Requests whose commits wait for receipts of replicas.
    pub receipts_awaited: Vec<arena_keys::StatementKey>,
    /// When the replicas' receipts may be requested again.
    pub next_receipts: clock_time::ClockTime,
    /// Samples of the primary's log position, against which the age of reads is checked.
    pub samples: position_history::PositionHistory,
    /// Logs that may hold acknowledged commits, if the group has synchronous replicas.
    pub holders: log_holders::LogHolders,
    /// The failover, as far as this host runs one.
    pub failover: FailoverState,
}

impl GroupView {
    /// Returns the record if its primary may be used.
    pub fn serving(&self) -> Option<&store_record::GroupRecord> {
        self.record.as_ref().filter(|record| record.phase == store_record::GroupPhase::Serving)
    }

    /// Returns whether the record was written in this era of the store.
    pub fn confirmed_in(&self, era: u64) -> bool {
        self.record.as_ref().is_some_and(|record| record.era() == era)
    }

    /// Returns whether a failover is under way.
    pub fn failover_in_progress(&self) -> bool {
        self.record.is_some() && self.serving().is_none()
    }

    /// Returns the addresses of the logs that do not count.
    pub fn uncounted(&self) -> &BTreeSet<String> {
        static NONE: BTreeSet<String> = BTreeSet::new();
        self.record.as_ref().map_or(&NONE, |record| &record.uncounted)
    }

    /// Returns whether the coordinator waits until all hosts know that a log does not count any more.
    pub fn recount_in_progress(&self) -> bool {
        self.uncounted().iter().any(|address| self.holders.known.holders.contains_key(address))
    }

    /// Returns the epoch of the record; 0 when there is none.
    pub fn epoch(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.epoch)
    }

    /// Returns the term of the record; 0 when there is none.
    pub fn term(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.term)
    }
}
