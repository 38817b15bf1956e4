//! The platform's key-value service: compare-and-swap, watches, and faults on demand.

use std::collections::BTreeMap;

use quetzaldeal::core::platform_message;

/// The largest value that the service holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

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
    entries: BTreeMap<String, platform_message::StoreEntry>,
    hosts: Vec<platform_message::ListedHost>,
    counts: CallCounts,
}

impl PlatformModel {
    /// Lists a host or endpoint as live or leaving.
    pub fn list_host(&mut self, name: &str, leaving: bool) {
        self.hosts.retain(|host| host.name != name);
        self.hosts.push(platform_message::ListedHost { name: name.to_owned(), leaving });
    }

    /// Handles a request; `None` for a watch that has nothing to tell yet.
    pub fn handle(
        &mut self,
        request: &platform_message::PlatformRequest,
    ) -> Option<platform_message::PlatformReply> {
        match request {
            platform_message::PlatformRequest::Get { key } => {
                self.counts.reads += 1;
                Some(platform_message::PlatformReply::Value(self.entries.get(key).cloned()))
            }
            platform_message::PlatformRequest::CompareSwap { key, expected, value } => {
                self.counts.writes += 1;
                Some(self.swap(key, *expected, value))
            }
            platform_message::PlatformRequest::Hosts => {
                self.counts.reads += 1;
                Some(platform_message::PlatformReply::Hosts(self.hosts.clone()))
            }
            platform_message::PlatformRequest::Watch { prefix, after, .. } => {
                self.counts.reads += 1;
                self.changes(prefix, *after)
            }
        }
    }

    /// Returns what has changed under a prefix, if anything has.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<platform_message::PlatformReply> {
        match self.snapshot(prefix, after) {
            platform_message::PlatformReply::Changed { entries, .. } if entries.is_empty() => None,
            reply => Some(reply),
        }
    }

    /// Returns what has changed under a prefix, be it nothing.
    pub fn snapshot(&self, prefix: &str, after: u64) -> platform_message::PlatformReply {
        let wanted = |entry: &&platform_message::StoreEntry| {
            entry.key.starts_with(prefix) && entry.revision > after
        };
        let entries = self.entries.values().filter(wanted).cloned().collect();
        platform_message::PlatformReply::Changed { revision: self.revision, entries }
    }

    /// Returns the calls counted so far.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    fn swap(&mut self, key: &str, expected: u64, value: &[u8]) -> platform_message::PlatformReply {
        if value.len() > MAX_VALUE_BYTES {
            let detail = format!("value of {} bytes is too large", value.len());
            return platform_message::PlatformReply::Refused { detail };
        }
        let current = self.entries.get(key);
        if current.map_or(0, |entry| entry.revision) != expected {
            return platform_message::PlatformReply::Conflict(current.cloned());
        }
        self.revision += 1;
        let entry = platform_message::StoreEntry {
            key: key.to_owned(),
            revision: self.revision,
            value: value.to_vec(),
        };
        self.entries.insert(key.to_owned(), entry);
        platform_message::PlatformReply::Swapped { revision: self.revision }
    }
}
