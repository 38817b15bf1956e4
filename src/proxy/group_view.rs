//! What this host knows of one group of endpoints.

use crate::core::arena_keys;
use crate::core::chart_cursor;
use crate::core::clock_time;
use crate::proxy::position_history;
use crate::proxy::store_record;

/// Why a primary is to be replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailoverReason {
    /// The group has no record yet.
    NoRecord,
    /// Another holder of the duty did not finish its change.
    Unfinished,
    /// Its registration is gone, it drains, or its data centre is evacuated.
    Leaving,
    /// Most hosts get no answer from it.
    Unreachable,
    /// It says itself that it does not lead.
    LeadershipLost,
}

/// A change of primary as this host drives it.
#[derive(Debug, Clone)]
pub struct FailoverState {
    /// Life cycle, by the chart `primary_change`.
    pub cursor: chart_cursor::ChartCursor,
    /// When the state was entered.
    pub since: clock_time::ClockTime,
    /// When the change began.
    pub began: clock_time::ClockTime,
    /// When endpoints were last asked for their status.
    pub asked: clock_time::ClockTime,
    /// Endpoints that the platform would not appoint.
    pub rejected: Vec<arena_keys::EndpointKey>,
    /// Whether a call is under way.
    pub call_pending: bool,
    /// Since when most hosts are known to know the record's epoch.
    pub fenced_since: Option<clock_time::ClockTime>,
}

/// What this host knows of one group of endpoints.
#[derive(Debug)]
pub struct GroupView {
    /// Name.
    pub name: String,
    /// Its endpoints.
    pub members: Vec<arena_keys::EndpointKey>,
    /// The record in the store.
    pub record: Option<store_record::GroupRecord>,
    /// The record's revision, 0 for none.
    pub revision: u64,
    /// When the record was learnt.
    pub learned_at: clock_time::ClockTime,
    /// The last epoch in which this host uses no primary any more.
    pub stopped_epoch: u64,
    /// The newest epoch that peers know of.
    pub peer_epoch: u64,
    /// Whether an endpoint said that the recorded primary does not lead.
    pub leadership_lost: bool,
    /// Proof of how far the log had grown.
    pub samples: position_history::PositionHistory,
    /// A change driven by this host.
    pub change: FailoverState,
}

impl GroupView {
    /// Returns the record when its primary may be used.
    pub fn serving(&self) -> Option<&store_record::GroupRecord> {
        self.record.as_ref().filter(|record| record.phase == store_record::GroupPhase::Serving)
    }

    /// Whether the primary is being replaced.
    pub fn changing(&self) -> bool {
        self.record.is_some() && self.serving().is_none()
    }

    /// Returns the record's epoch, 0 for none.
    pub fn epoch(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.epoch)
    }

    /// Returns the record's term, 0 for none.
    pub fn term(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.term)
    }
}
