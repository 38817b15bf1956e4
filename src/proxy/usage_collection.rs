//! Totals of all hosts by window, as the coordinator receives them.

use std::collections::BTreeMap;

use crate::proxy::usage_message;

/// Most windows kept for one process.
const WINDOWS_MAX: usize = 40;

/// One process: its host and its incarnation.
pub type ProcessId = (String, u64);

#[derive(Debug, Default)]
struct WindowUsage {
    closed: bool,
    accounts: usize,
    sent_at_us: u64,
    counts: BTreeMap<String, u64>,
}

impl WindowUsage {
    fn is_final(&self) -> bool {
        self.closed && self.counts.len() >= self.accounts
    }
}

#[derive(Debug, Default)]
struct ProcessUsage {
    first_window: Option<u64>,
    windows: BTreeMap<u64, WindowUsage>,
}

/// Totals of all processes by window.
#[derive(Debug, Default)]
pub struct UsageCollection {
    processes: BTreeMap<ProcessId, ProcessUsage>,
}

impl UsageCollection {
    /// Adds the totals of a process, except for windows up to `settled_through`. Returns the closed
    /// windows of the message of which nothing more is needed.
    pub fn apply(&mut self, totals: usage_message::UsageTotals, settled_through: u64) -> Vec<u64> {
        let process = self.processes.entry((totals.host, totals.incarnation)).or_default();
        process.first_window = process.first_window.or(totals.first_window);
        let mut received = Vec::new();
        for part in totals.windows {
            if part.window <= settled_through {
                received.extend(part.closed.then_some(part.window));
                continue;
            }
            if process.windows.len() >= WINDOWS_MAX && !process.windows.contains_key(&part.window) {
                continue;
            }
            let usage = process.windows.entry(part.window).or_default();
            if part.closed && !usage.closed {
                *usage = WindowUsage { closed: true, ..WindowUsage::default() };
            }
            // Datagrams may arrive out of order: open totals are replaced only by later ones.
            if part.closed == usage.closed && (part.closed || totals.sent_at_us >= usage.sent_at_us)
            {
                usage.sent_at_us = totals.sent_at_us;
                usage.accounts = part.accounts as usize;
                usage.counts.extend(part.counts);
            }
            received.extend(usage.is_final().then_some(part.window));
        }
        received
    }

    /// Returns whether nothing more of this process is to come for the window.
    pub fn is_confirmed(&self, process: &ProcessId, window: u64) -> bool {
        let Some(process) = self.processes.get(process) else { return false };
        process.first_window.is_some_and(|first| first > window)
            || process.windows.get(&window).is_some_and(WindowUsage::is_final)
    }

    /// Returns whether any process ran in the window already. If none did, as after an outage of all
    /// hosts, what was counted in the window is lost.
    pub fn is_covered(&self, window: u64) -> bool {
        let mut processes = self.processes.values();
        processes.any(|process| process.first_window.is_some_and(|first| first <= window))
    }

    /// Returns the totals of all processes in the window, by account.
    pub fn totals(&self, window: u64) -> BTreeMap<String, u64> {
        let mut totals = BTreeMap::<String, u64>::new();
        for usage in self.processes.values().filter_map(|process| process.windows.get(&window)) {
            for (account, count) in &usage.counts {
                *totals.entry(account.clone()).or_default() += count;
            }
        }
        totals.retain(|_, count| *count > 0);
        totals
    }

    /// Drops the windows up to `settled_through`, and processes for which `known` is false and
    /// nothing is left.
    pub fn prune(&mut self, settled_through: u64, known: impl Fn(&ProcessId) -> bool) {
        self.processes.retain(|id, process| {
            process.windows = process.windows.split_off(&settled_through.saturating_add(1));
            !process.windows.is_empty() || known(id)
        });
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.processes.clear();
    }
}
