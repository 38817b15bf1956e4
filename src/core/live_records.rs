//! The records under the platform's live prefix, as this host knows them.
//!
//! Hosts pass them on to each other by revision: a host answers with all records above the asker's
//! watermark, so a watermark always stands for the whole history below it. A record never goes
//! back to an earlier revision, whoever tells of it.

use std::collections::BTreeMap;

use crate::core::platform_message;

/// The live records by key, with the revision up to which they are complete.
#[derive(Debug, Clone, Default)]
pub struct LiveRecords {
    entries: BTreeMap<String, platform_message::StoreEntry>,
    watermark: u64,
}

impl LiveRecords {
    /// Returns the revision up to which this host knows all changes.
    pub fn watermark(&self) -> u64 {
        self.watermark
    }

    /// Returns the entry of a key.
    pub fn entry(&self, key: &str) -> Option<&platform_message::StoreEntry> {
        self.entries.get(key)
    }

    /// Returns the revision of a key, 0 when it is unknown.
    pub fn revision(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |entry| entry.revision)
    }

    /// Returns all entries changed after `watermark`.
    pub fn entries_after(&self, watermark: u64) -> Vec<platform_message::StoreEntry> {
        let newer = |entry: &&platform_message::StoreEntry| entry.revision > watermark;
        self.entries.values().filter(newer).cloned().collect()
    }

    /// Takes up entries that are complete from `after` to `upto`, and returns the keys that
    /// changed.
    ///
    /// Entries are kept even when the range leaves a gap; the watermark then stays.
    pub fn merge(
        &mut self,
        after: u64,
        upto: u64,
        entries: Vec<platform_message::StoreEntry>,
    ) -> Vec<String> {
        let mut changed = Vec::new();
        for entry in entries {
            if self.take(entry.clone()) {
                changed.push(entry.key);
            }
        }
        if after <= self.watermark {
            self.watermark = self.watermark.max(upto);
        }
        changed
    }

    /// Takes up one entry, without a claim on others; returns whether it was news.
    pub fn take(&mut self, entry: platform_message::StoreEntry) -> bool {
        if entry.revision <= self.revision(&entry.key) {
            return false;
        }
        self.entries.insert(entry.key.clone(), entry);
        true
    }
}
