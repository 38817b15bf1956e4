//! What this host knows of one database group.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::core::arena_keys;
use crate::core::chart_cursor;
use crate::core::clock_time;
use crate::core::endpoint_message;
use crate::core::group_record;
use crate::core::state_chart;

/// Age samples kept for each group.
const SAMPLES_MAX: usize = 256;

/// A point that a group's history had reached at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PositionSample {
    /// The primary's end of log at some time after `at`.
    pub point: endpoint_message::LogPoint,
    /// When it was asked for.
    pub at: clock_time::ClockTime,
}

/// Why a change of primary is being considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailoverReason {
    /// The group has no record yet.
    NoRecord,
    /// This host cannot reach the primary.
    Unreachable,
    /// The primary runs, but its replicas no longer follow it.
    Isolated,
    /// Another host's election was not finished.
    ElectionStalled,
    /// The primary is leaving service.
    Leaving,
}

/// What this host knows of one database group.
#[derive(Debug, Clone)]
pub struct GroupState {
    /// Name.
    pub name: String,
    /// Its endpoints.
    pub members: Vec<arena_keys::EndpointKey>,
    /// The platform's record.
    pub record: Option<group_record::GroupRecord>,
    /// The record's revision, 0 for none.
    pub revision: u64,
    /// When this host learnt of the record.
    pub record_at: clock_time::ClockTime,
    /// Statements that wait for confirmation.
    pub waiters: Vec<arena_keys::StatementKey>,
    /// Whether the timer that confirms waiting statements is set.
    pub confirm_timer_set: bool,
    /// Points with times, oldest first.
    pub samples: VecDeque<PositionSample>,
    /// Position in the chart of changes of primary.
    pub cursor: chart_cursor::ChartCursor,
    /// Why a change is considered.
    pub reason: Option<FailoverReason>,
    /// When the cursor's state was entered.
    pub since: clock_time::ClockTime,
    /// Whether peers were asked in this suspicion.
    pub checks_sent: bool,
    /// Peers that have not given their opinion yet.
    pub checks_pending: u32,
    /// Copies fenced in this election.
    pub fenced: BTreeMap<arena_keys::EndpointKey, endpoint_message::EndpointStatus>,
    /// When a majority was fenced.
    pub majority_fenced_at: Option<clock_time::ClockTime>,
    /// The most advanced replica position seen, and when it last moved or met the primary's.
    pub replica_progress: (endpoint_message::LogPoint, clock_time::ClockTime),
    /// Whether a swap of the record is under way outside an election.
    pub copy_update_pending: bool,
}

impl GroupState {
    /// A group that nothing is known of yet.
    pub fn new(
        name: String,
        chart: Arc<state_chart::StateChart>,
        now: clock_time::ClockTime,
    ) -> Self {
        Self {
            name,
            members: Vec::new(),
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

    /// Returns the record of the term in which a primary serves.
    pub fn serving(&self) -> Option<&group_record::GroupRecord> {
        self.record.as_ref().filter(|record| record.phase == group_record::TermPhase::Serving)
    }

    /// Returns the term of the record, 0 for none.
    pub fn term(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.term)
    }

    /// Returns the number of copies that make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Notes a point that the group's history had surely reached by `at`.
    pub fn add_sample(&mut self, sample: PositionSample) {
        if self.samples.back().is_some_and(|last| last.at >= sample.at) {
            return;
        }
        self.samples.push_back(sample);
        if self.samples.len() > SAMPLES_MAX {
            self.samples.pop_front();
        }
    }

    /// Returns the least demanding point that proves data no older than `since`.
    pub fn sample_since(&self, since: clock_time::ClockTime) -> Option<endpoint_message::LogPoint> {
        self.samples.iter().find(|sample| sample.at >= since).map(|sample| sample.point)
    }

    /// Moves the failover chart and notes when.
    pub fn fire(&mut self, event: &str, now: clock_time::ClockTime) {
        if !self.cursor.fire(event) {
            log::debug!("group {}: {event} ignored in {}", self.name, self.cursor.state());
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
