//! Samples of a group's log positions, which bound the age of reads on replicas.
//!
//! A sample from a command sent to the primary at `requested_at` proves that every commit that was
//! acknowledged before `requested_at` lies at or before `point`. A replica that holds `point`
//! therefore lacks no commit older than the sample.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::clock_time;
use crate::core::endpoint_message;

/// Minimum time between samples that are kept.
const SAMPLE_INTERVAL_MIN: Duration = Duration::from_millis(20);
/// Maximum number of samples. With the interval above they cover more than the maximum age of any
/// route.
const SAMPLES_MAX: usize = 512;

/// Position of the primary's log at a past time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PositionSample {
    /// When the command was sent to the primary.
    pub requested_at: clock_time::ClockTime,
    /// End of the primary's log when it responded.
    pub point: endpoint_message::LogPoint,
}

/// Position samples of one group, oldest first.
#[derive(Debug, Clone, Default)]
pub struct PositionHistory {
    samples: VecDeque<PositionSample>,
}

impl PositionHistory {
    /// Adds a sample. Drops it if it is not newer than the last one or too close to it, and drops
    /// samples between two others with the same point.
    pub fn push(&mut self, sample: PositionSample) {
        if let Some(last) = self.samples.back_mut() {
            if sample.requested_at <= last.requested_at {
                return;
            }
            // An unchanged point also holds for the later time, so the newer sample replaces the
            // last one.
            if last.point == sample.point && self.samples.len() > 1 {
                let second_last = self.samples[self.samples.len() - 2];
                if second_last.point == sample.point {
                    self.samples.pop_back();
                    return self.samples.push_back(sample);
                }
            }
            if sample.requested_at.since(self.samples[self.samples.len() - 1].requested_at)
                < SAMPLE_INTERVAL_MIN
            {
                return;
            }
        }
        self.samples.push_back(sample);
        if self.samples.len() > SAMPLES_MAX {
            self.samples.pop_front();
        }
    }

    /// Returns the log point that a read must see if it may miss only commits acknowledged after
    /// `since`: that of the oldest sample requested at or after `since`.
    pub fn required(&self, since: clock_time::ClockTime) -> Option<endpoint_message::LogPoint> {
        let index = self.samples.partition_point(|sample| sample.requested_at < since);
        self.samples.get(index).map(|sample| sample.point)
    }

    /// Returns the newest sample.
    pub fn last(&self) -> Option<PositionSample> {
        self.samples.back().copied()
    }

    /// Returns the point of the first sample of `term` or a later term. Reads require it instead of
    /// a point of an older term, of whose log only a part may have survived the failover.
    pub fn first_in_term(&self, term: u64) -> Option<endpoint_message::LogPoint> {
        self.samples.iter().find(|sample| sample.point.term >= term).map(|sample| sample.point)
    }
}
