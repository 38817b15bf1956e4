//! Models the platform's key-value service: compare-and-swap, watches and the list of hosts.

use std::collections::BTreeMap;

use quetzaldeal::core::platform_message;

/// Size limit of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Number of calls that the service has handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallCounts {
    /// Reads, watches and lists of hosts.
    pub reads: u64,
    /// Compare-and-swap calls.
    pub writes: u64,
}

/// State of the platform's key-value service.
#[derive(Debug, Clone, Default)]
pub struct PlatformModel {
    revision: u64,
    entries: BTreeMap<String, platform_message::StoreEntry>,
    hosts: Vec<platform_message::ListedHost>,
    counts: CallCounts,
}

impl PlatformModel {
    /// Adds a host or endpoint to the list of hosts, or updates whether it is leaving.
    pub fn list_host(&mut self, name: &str, leaving: bool) {
        self.hosts.retain(|host| host.name != name);
        self.hosts.push(platform_message::ListedHost { name: name.to_owned(), leaving });
    }

    /// Handles a request and returns the reply, or `None` for a watch without changes so far.
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

    /// Returns the entries under `prefix` that changed after revision `after`, or `None` if none
    /// did.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<platform_message::PlatformReply> {
        match self.snapshot(prefix, after) {
            platform_message::PlatformReply::Changed { entries, .. } if entries.is_empty() => None,
            reply => Some(reply),
        }
    }

    /// Returns the entries under `prefix` that changed after revision `after`, possibly none.
    pub fn snapshot(&self, prefix: &str, after: u64) -> platform_message::PlatformReply {
        let wanted = |entry: &&platform_message::StoreEntry| {
            entry.key.starts_with(prefix) && entry.revision > after
        };
        let entries = self.entries.values().filter(wanted).cloned().collect();
        platform_message::PlatformReply::Changed { revision: self.revision, entries }
    }

    /// Returns the number of calls handled so far.
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
