//! State of a database group on this host: record, endpoints and the progress of a failover.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::core::arena_keys;
use crate::core::chart_cursor;
use crate::core::clock_time;
use crate::core::endpoint_message;
use crate::core::group_record;
use crate::core::state_chart;

/// Maximum number of position samples kept for each group.
const SAMPLES_MAX: usize = 256;

/// Log position that a group had reached at a known time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PositionSample {
    /// End of the primary's log at some time after `at`.
    pub point: endpoint_message::LogPoint,
    /// When the position was requested.
    pub at: clock_time::ClockTime,
}

/// Reason to consider a failover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailoverReason {
    /// The group has no record yet.
    NoRecord,
    /// This host cannot reach the primary.
    Unreachable,
    /// The primary runs, but its replicas no longer follow it.
    Isolated,
    /// Another host started an election and did not finish it in time.
    ElectionStalled,
    /// The primary is leaving service.
    Leaving,
}

/// State of one database group on this host.
#[derive(Debug, Clone)]
pub struct GroupState {
    /// Group name.
    pub name: String,
    /// Endpoints of the group.
    pub endpoints: Vec<arena_keys::EndpointKey>,
    /// The group's record in the platform.
    pub record: Option<group_record::GroupRecord>,
    /// Revision of the record, 0 for none.
    pub revision: u64,
    /// When this host received the record's current term and phase.
    pub record_at: clock_time::ClockTime,
    /// Statements waiting for confirmation.
    pub waiters: Vec<arena_keys::StatementKey>,
    /// Whether the confirmation timer of the waiting statements is set.
    pub confirm_timer_set: bool,
    /// Position samples, oldest first.
    pub samples: VecDeque<PositionSample>,
    /// Current state in the failover chart.
    pub cursor: chart_cursor::ChartCursor,
    /// Why a failover is considered.
    pub reason: Option<FailoverReason>,
    /// When the current chart state was entered.
    pub since: clock_time::ClockTime,
    /// Whether primary checks were sent since the primary was suspected.
    pub checks_sent: bool,
    /// Primary checks without a reply.
    pub checks_pending: u32,
    /// Copies fenced in this election.
    pub fenced: BTreeMap<arena_keys::EndpointKey, endpoint_message::EndpointStatus>,
    /// When a majority of copies was fenced.
    pub majority_fenced_at: Option<clock_time::ClockTime>,
    /// Most advanced log position of a replica, and when it last moved or was level with the
    /// primary's.
    pub replica_progress: (endpoint_message::LogPoint, clock_time::ClockTime),
    /// Whether a compare-and-swap that adds a rebuilt copy to the record is pending.
    pub copy_update_pending: bool,
}

impl GroupState {
    /// Creates the state of a group without a record.
    pub fn new(
        name: String,
        chart: Arc<state_chart::StateChart>,
        now: clock_time::ClockTime,
    ) -> Self {
        Self {
            name,
            endpoints: Vec::new(),
            record: None,
            revision: 0,
            record_at: now,
            waiters: Vec::new(),
            confirm_timer_set: false,
            samples: VecDeque::new(),
            cursor: chart_cursor::ChartCursor::new(chart),
            reason: None,
            since: now,
            checks_sent: false,
            checks_pending: 0,
            fenced: BTreeMap::new(),
            majority_fenced_at: None,
            replica_progress: (endpoint_message::LogPoint::default(), now),
            copy_update_pending: false,
        }
    }

    /// Returns the record if its term has a primary.
    pub fn serving(&self) -> Option<&group_record::GroupRecord> {
        self.record.as_ref().filter(|record| record.phase == group_record::TermPhase::Serving)
    }

    /// Returns the term of the record, 0 for none.
    pub fn term(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.term)
    }

    /// Returns the number of copies that form a majority.
    pub fn majority(&self) -> usize {
        self.endpoints.len() / 2 + 1
    }

    /// Adds a sample; samples that are not newer than the last one are ignored.
    pub fn add_sample(&mut self, sample: PositionSample) {
        if self.samples.back().is_some_and(|last| last.at >= sample.at) {
            return;
        }
        self.samples.push_back(sample);
        if self.samples.len() > SAMPLES_MAX {
            self.samples.pop_front();
        }
    }

    /// Returns the lowest position that proves data no older than `since`.
    pub fn sample_since(&self, since: clock_time::ClockTime) -> Option<endpoint_message::LogPoint> {
        self.samples.iter().find(|sample| sample.at >= since).map(|sample| sample.point)
    }

    /// Fires an event of the failover chart and records the time of the transition.
    pub fn fire(&mut self, event: &str, now: clock_time::ClockTime) {
        if !self.cursor.fire(event) {
            log::debug!(
                "group {}: event {event} ignored in state {}",
                self.name,
                self.cursor.state()
            );
            return;
        }
        self.since = now;
        if self.cursor.state() == "watching" {
            self.reason = None;
            self.checks_sent = false;
            self.checks_pending = 0;
            self.fenced.clear();
            self.majority_fenced_at = None;
        }
    }
}
