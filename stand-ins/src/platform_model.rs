//! The platform's key-value service: compare-and-swap, watches, and faults on demand.

use std::collections::BTreeMap;

use quetzaldeal::core::platform_message::{ListedHost, PlatformReply, PlatformRequest, StoreEntry};

/// The largest value that the service holds, in bytes.
pub const VALUE_MAX_BYTES: usize = 1_000_000;

/// Calls that the service has counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallCounts {
    /// Reads and watches.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
}

/// The platform's key-value service.
#[derive(Debug, Clone, Default)]
pub struct PlatformModel {
    revision: u64,
    entries: BTreeMap<String, StoreEntry>,
    hosts: Vec<ListedHost>,
    counts: CallCounts,
}

impl PlatformModel {
    /// Lists a host or endpoint as live or leaving.
    pub fn list_host(&mut self, name: &str, leaving: bool) {
        self.hosts.retain(|host| host.name != name);
        self.hosts.push(ListedHost { name: name.to_owned(), leaving });
    }

    /// Handles a request; `None` for a watch that has nothing to tell yet.
    pub fn handle(&mut self, request: &PlatformRequest) -> Option<PlatformReply> {
        match request {
            PlatformRequest::Get { key } => {
                self.counts.reads += 1;
                Some(PlatformReply::Value(self.entries.get(key).cloned()))
            }
            PlatformRequest::CompareSwap { key, expected, value } => {
                self.counts.writes += 1;
                Some(self.swap(key, *expected, value))
            }
            PlatformRequest::Hosts => {
                self.counts.reads += 1;
                Some(PlatformReply::Hosts(self.hosts.clone()))
            }
            PlatformRequest::Watch { prefix, after, .. } => {
                self.counts.reads += 1;
                self.changes(prefix, *after)
            }
        }
    }

    /// Returns what has changed under a prefix, if anything has.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<PlatformReply> {
        match self.snapshot(prefix, after) {
            PlatformReply::Changed { entries, .. } if entries.is_empty() => None,
            reply => Some(reply),
        }
    }

    /// Returns what has changed under a prefix, be it nothing.
    pub fn snapshot(&self, prefix: &str, after: u64) -> PlatformReply {
        let wanted = |entry: &&StoreEntry| entry.key.starts_with(prefix) && entry.revision > after;
        let entries = self.entries.values().filter(wanted).cloned().collect();
        PlatformReply::Changed { revision: self.revision, entries }
    }

    /// Returns the calls counted so far.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    fn swap(&mut self, key: &str, expected: u64, value: &[u8]) -> PlatformReply {
        if value.len() > VALUE_MAX_BYTES {
            let detail = format!("value of {} bytes is too large", value.len());
            return PlatformReply::Refused { detail };
        }
        let current = self.entries.get(key);
        if current.map_or(0, |entry| entry.revision) != expected {
            return PlatformReply::Conflict(current.cloned());
        }
        self.revision += 1;
        let entry =
            StoreEntry { key: key.to_owned(), revision: self.revision, value: value.to_vec() };
        self.entries.insert(key.to_owned(), entry);
        PlatformReply::Swapped { revision: self.revision }
    }
}
