//! Pending timers of a decision core, ordered by time.

use std::collections::BTreeMap;

use crate::core::arena_keys;
use crate::core::clock_time;

/// What a timer is for. Timers are never cancelled: each handler checks whether there is still
/// something to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimerKind {
    /// A statement's deadline or its maximum wait.
    Statement(arena_keys::StatementKey),
    /// A connection's timeout or idle limit.
    Connection(arena_keys::ConnectionKey),
    /// The next probes of a group's endpoints and the check of its primary.
    Group(arena_keys::GroupKey),
    /// The next probes of a group's replicas while statements wait for confirmation.
    Confirmation(arena_keys::GroupKey),
    /// The next heartbeats to peers.
    Heartbeat,
    /// The next call to the platform.
    Platform,
    /// The next read of the platform's list of hosts.
    HostList,
    /// The next requests to peers for a share of an account's rate.
    Shares,
    /// The next requests for missing parts of the configuration.
    ConfigParts,
    /// The time limit of the graceful shutdown.
    Drain,
}

/// Queue of timers; timers for the same time come out in the order in which they were added.
#[derive(Debug)]
pub struct TimerQueue<K = TimerKind> {
    timers: BTreeMap<(clock_time::ClockTime, u64), K>,
    next_sequence: u64,
}

impl<K> Default for TimerQueue<K> {
    fn default() -> Self {
        Self { timers: BTreeMap::new(), next_sequence: 0 }
    }
}

impl<K> TimerQueue<K> {
    /// Adds a timer that is due at `at`.
    pub fn push(&mut self, at: clock_time::ClockTime, kind: K) {
        self.timers.insert((at, self.next_sequence), kind);
        self.next_sequence += 1;
    }

    /// Removes and returns the earliest timer that is due at `now`.
    pub fn pop_due(&mut self, now: clock_time::ClockTime) -> Option<K> {
        let entry = self.timers.first_entry()?;
        if entry.key().0 > now {
            return None;
        }
        Some(entry.remove())
    }

    /// Returns the time of the earliest timer.
    pub fn first_time(&self) -> Option<clock_time::ClockTime> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }
}
