//! The times at which the decision core wants to be woken.

use std::collections::BTreeMap;

use crate::core::arena_keys;
use crate::core::clock_time;

/// What a timer is for. Timers are never cancelled; those that have lost their cause do nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimerKind {
    /// A statement may have reached one of its time limits.
    Statement(arena_keys::StatementKey),
    /// A connection may be silent or idle for too long.
    Connection(arena_keys::ConnectionKey),
    /// A group's endpoints are due for probes, and its primary for a look.
    Group(arena_keys::GroupKey),
    /// Confirmations of a group's writes are due for another probe.
    Confirmation(arena_keys::GroupKey),
    /// An exchange with peers is due.
    Heartbeat,
    /// A call to the platform is due.
    Platform,
    /// The platform's list of hosts is due to be read.
    HostList,
    /// Accounts that are short of their share may ask again.
    Shares,
    /// Missing parts of the configuration are due to be asked for again.
    ConfigParts,
    /// The graceful shutdown may have taken too long.
    Drain,
}

/// Timers in the order of their times.
#[derive(Debug)]
pub struct TimerQueue<K = TimerKind> {
    timers: BTreeMap<(clock_time::ClockTime, u64), K>,
    next_number: u64,
}

impl<K> Default for TimerQueue<K> {
    fn default() -> Self {
        Self { timers: BTreeMap::new(), next_number: 0 }
    }
}

impl<K> TimerQueue<K> {
    /// Adds a timer.
    pub fn push(&mut self, at: clock_time::ClockTime, kind: K) {
        self.timers.insert((at, self.next_number), kind);
        self.next_number += 1;
    }

    /// Removes and returns a timer whose time has come.
    pub fn pop_due(&mut self, now: clock_time::ClockTime) -> Option<K> {
        let entry = self.timers.first_entry()?;
        if entry.key().0 > now {
            return None;
        }
        Some(entry.remove())
    }

    /// Returns the time of the first timer.
    pub fn first_time(&self) -> Option<clock_time::ClockTime> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }
}
