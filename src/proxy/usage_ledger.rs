//! Counts of the requests that this host had endpoints run, by window and account.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::proxy::usage_window;

/// Resolution of the sending times, in microseconds.
const SLOT_US: u64 = 5_000;

/// Requests by account.
pub type AccountCounts = BTreeMap<arena_keys::AccountKey, u64>;

/// Counts of this process. Requests of open windows are kept by sending time on the host's clock, so
/// that true time needs to be known only when a window is closed.
#[derive(Debug, Default)]
pub struct UsageLedger {
    slots: BTreeMap<u64, AccountCounts>,
    closed: BTreeMap<u64, AccountCounts>,
    first_window: Option<u64>,
    open_window: Option<u64>,
    version: u64,
}

impl UsageLedger {
    /// Counts a request that was sent at `sent`.
    pub fn add(&mut self, sent: clock_time::ClockTime, account: arena_keys::AccountKey) {
        *self.slots.entry(slot_of(sent)).or_default().entry(account).or_default() += 1;
        self.version += 1;
    }

    /// Takes back a request that was sent at `sent` and is known not to have run. Has no effect once
    /// its window is closed.
    pub fn remove(&mut self, sent: clock_time::ClockTime, account: arena_keys::AccountKey) {
        let Some(counts) = self.slots.get_mut(&slot_of(sent)) else { return };
        if let Some(count) = counts.get_mut(&account) {
            *count = count.saturating_sub(1);
            self.version += 1;
        }
    }

    /// Closes the windows that had ended for `settling` at `now`, where true time is `unix_us`. Their
    /// totals no longer change. Returns whether a window was closed.
    pub fn close(
        &mut self,
        now: clock_time::ClockTime,
        unix_us: u64,
        length: Duration,
        settling: Duration,
    ) -> bool {
        let current = usage_window::number_at(unix_us, length);
        self.first_window.get_or_insert(current);
        let first = *self.open_window.get_or_insert(current);
        let mut open = first;
        while usage_window::is_closed(open, length, unix_us, settling) {
            let end = slot_at(now, unix_us, usage_window::end_us(open, length));
            let later = self.slots.split_off(&end);
            let slots = std::mem::replace(&mut self.slots, later);
            let mut totals = AccountCounts::new();
            for (account, count) in slots.into_values().flatten() {
                *totals.entry(account).or_default() += count;
            }
            self.closed.insert(open, totals);
            open += 1;
        }
        self.open_window = Some(open);
        open > first
    }

    /// Returns the totals so far of the windows that have begun and are not closed.
    pub fn open_totals(
        &self,
        now: clock_time::ClockTime,
        unix_us: u64,
        length: Duration,
    ) -> BTreeMap<u64, AccountCounts> {
        let mut totals = BTreeMap::<u64, AccountCounts>::new();
        let Some(open) = self.open_window else { return totals };
        for window in open..=usage_window::number_at(unix_us, length) {
            totals.insert(window, AccountCounts::new());
        }
        let end = slot_at(now, unix_us, usage_window::end_us(open, length));
        for (slot, counts) in &self.slots {
            let window = if *slot < end { open } else { open + 1 };
            let window = totals.entry(window).or_default();
            for (account, count) in counts {
                *window.entry(*account).or_default() += count;
            }
        }
        totals
    }

    /// Returns the totals of the closed windows that are kept.
    pub fn closed_totals(&self) -> &BTreeMap<u64, AccountCounts> {
        &self.closed
    }

    /// Returns the first window in which this process may have counted anything; `None` while true
    /// time is not known.
    pub fn first_window(&self) -> Option<u64> {
        self.first_window
    }

    /// Returns a number that changes with each count.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Drops the closed windows up to `window`, and requests sent before `oldest`.
    pub fn prune(&mut self, window: u64, oldest: clock_time::ClockTime) {
        self.closed = self.closed.split_off(&window.saturating_add(1));
        if self.slots.first_key_value().is_some_and(|(slot, _)| *slot < slot_of(oldest)) {
            self.slots = self.slots.split_off(&slot_of(oldest));
        }
    }
}

fn slot_of(time: clock_time::ClockTime) -> u64 {
    time.as_micros() / SLOT_US
}

/// Returns the slot in which true time is `target_us`, given that it is `unix_us` at `now`.
fn slot_at(now: clock_time::ClockTime, unix_us: u64, target_us: u64) -> u64 {
    let target = i128::from(now.as_micros()) + i128::from(target_us) - i128::from(unix_us);
    (target.max(0) as u64).div_ceil(SLOT_US)
}
