//! Proof of how far a group's log had grown at past times.
//!
//! A sample taken by a question sent at `asked` says: every commit that was acknowledged before
//! `asked` lies at or before `point`. A replica that holds `point` therefore lacks no commit older
//! than the sample.

use std::collections::VecDeque;
use std::time::Duration;

use crate::core::clock_time;
use crate::core::endpoint_message;

/// Least time between samples that are kept.
const SAMPLE_GAP: Duration = Duration::from_millis(20);
/// Samples kept; with the gap above they cover more than any route's age.
const SAMPLES_MAX: usize = 512;

/// One proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PositionSample {
    /// When the primary was asked.
    pub asked: clock_time::ClockTime,
    /// The end of its log when it answered.
    pub point: endpoint_message::LogPoint,
}

/// Samples of one group, oldest first.
#[derive(Debug, Clone, Default)]
pub struct PositionHistory {
    samples: VecDeque<PositionSample>,
}

impl PositionHistory {
    /// Adds a sample; samples in between others and those too close to the last are dropped.
    pub fn push(&mut self, sample: PositionSample) {
        if let Some(last) = self.samples.back_mut() {
            if sample.asked <= last.asked {
                return;
            }
            // A point that did not move proves the same thing for the later time.
            if last.point == sample.point && self.samples.len() > 1 {
                let before = self.samples[self.samples.len() - 2];
                if before.point == sample.point {
                    self.samples.pop_back();
                    return self.samples.push_back(sample);
                }
            }
            if sample.asked.since(self.samples[self.samples.len() - 1].asked) < SAMPLE_GAP {
                return;
            }
        }
        self.samples.push_back(sample);
        if self.samples.len() > SAMPLES_MAX {
            self.samples.pop_front();
        }
    }

    /// Returns the point that a read must see which may miss commits younger than `since`: that of
    /// the oldest sample asked for at or after `since`.
    pub fn required(&self, since: clock_time::ClockTime) -> Option<endpoint_message::LogPoint> {
        let position = self.samples.partition_point(|sample| sample.asked < since);
        self.samples.get(position).map(|sample| sample.point)
    }

    /// Returns the last sample.
    pub fn last(&self) -> Option<PositionSample> {
        self.samples.back().copied()
    }

    /// Returns the first sample of `term` or later: what a read must see in place of a point of an
    /// older term, of which only a part may have survived.
    pub fn first_in_term(&self, term: u64) -> Option<endpoint_message::LogPoint> {
        self.samples.iter().find(|sample| sample.point.term >= term).map(|sample| sample.point)
    }
}
