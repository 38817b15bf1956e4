//! True time as the hosts agree on it.
//!
//! The clock of one host may be off by many seconds for a while. The coordinator takes the median
//! of the Unix times of the running hosts; every other host takes the coordinator's time from its
//! receipts, corrected by half of the round trip.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::core::clock_time;

/// Age after which a host's sample is replaced also by one that took longer on its way.
const SAMPLE_AGE_MAX: Duration = Duration::from_secs(10);
/// Age after which a sample no longer counts.
const SAMPLE_VALIDITY: Duration = Duration::from_secs(30);
/// Longest round trip of a receipt that replaces a recent estimate.
const ROUND_TRIP_MAX: Duration = Duration::from_millis(50);

/// The Unix time minus this host's monotonic time, in microseconds, as measured at some time.
#[derive(Debug, Clone, Copy)]
struct OffsetSample {
    offset_us: i64,
    measured_at: clock_time::ClockTime,
}

/// True time at this host.
#[derive(Debug, Default)]
pub struct UsageClock {
    own_offset_us: Option<i64>,
    samples: BTreeMap<String, OffsetSample>,
    estimate: Option<OffsetSample>,
}

impl UsageClock {
    /// Records that this host's own clock showed `unix_us` at `now`.
    pub fn read_own(&mut self, now: clock_time::ClockTime, unix_us: u64) {
        self.own_offset_us = Some(offset(now, unix_us));
    }

    /// Returns this host's own Unix time in microseconds, which may be wrong; `None` before the
    /// first reading.
    pub fn own_unix_us(&self, now: clock_time::ClockTime) -> Option<u64> {
        self.own_offset_us.map(|offset_us| shifted(now, offset_us))
    }

    /// Records that the clock of `host` showed `unix_us` when it sent what arrived at `now`.
    ///
    /// The delay of the message makes its sample too small, so the largest recent one is kept.
    pub fn add_sample(&mut self, host: &str, now: clock_time::ClockTime, unix_us: u64) {
        let sample = OffsetSample { offset_us: offset(now, unix_us), measured_at: now };
        let kept = self.samples.get(host).filter(|kept| {
            kept.offset_us > sample.offset_us && now.since(kept.measured_at) < SAMPLE_AGE_MAX
        });
        if kept.is_none() {
            self.samples.insert(host.to_owned(), sample);
        }
    }

    /// Takes the median of the samples as the estimate, once more than half of the `running` hosts
    /// have one. Drops the samples of all other hosts.
    pub fn agree(&mut self, now: clock_time::ClockTime, running: &BTreeSet<&String>) {
        self.samples.retain(|host, sample| {
            now.since(sample.measured_at) < SAMPLE_VALIDITY && running.contains(host)
        });
        if self.samples.len() * 2 <= running.len() {
            return;
        }
        let mut offsets: Vec<i64> = self.samples.values().map(|sample| sample.offset_us).collect();
        offsets.sort_unstable();
        let offset_us = offsets[(offsets.len() - 1) / 2];
        self.estimate = Some(OffsetSample { offset_us, measured_at: now });
    }

    /// Takes the time of the coordinator, which sent `unix_us` in answer to a message of this host
    /// from `sent_at`.
    pub fn follow(
        &mut self,
        now: clock_time::ClockTime,
        sent_at: clock_time::ClockTime,
        unix_us: u64,
    ) {
        let round_trip = now.since(sent_at);
        let recent =
            self.estimate.is_some_and(|estimate| now.since(estimate.measured_at) < SAMPLE_VALIDITY);
        if recent && round_trip > ROUND_TRIP_MAX {
            return;
        }
        let delay_us = (round_trip / 2).as_micros() as i64;
        let offset_us = offset(now, unix_us) + delay_us;
        self.estimate = Some(OffsetSample { offset_us, measured_at: now });
    }

    /// Returns true time in microseconds of Unix time; `None` while it is not known.
    pub fn unix_us(&self, now: clock_time::ClockTime) -> Option<u64> {
        self.estimate.map(|estimate| shifted(now, estimate.offset_us))
    }

    /// Returns the spread of the samples in microseconds, for the log.
    pub fn spread_us(&self) -> u64 {
        let offsets = self.samples.values().map(|sample| sample.offset_us);
        match (offsets.clone().min(), offsets.max()) {
            (Some(least), Some(most)) => most.abs_diff(least),
            _ => 0,
        }
    }
}

fn offset(now: clock_time::ClockTime, unix_us: u64) -> i64 {
    (unix_us as i64).saturating_sub(now.as_micros() as i64)
}

fn shifted(now: clock_time::ClockTime, offset_us: i64) -> u64 {
    (now.as_micros() as i64).saturating_add(offset_us).max(0) as u64
}
