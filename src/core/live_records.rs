//! This host's copy of the platform's live records.
//!
//! Hosts forward the records to each other by revision. A host replies with every record above the
//! requester's watermark, so a watermark always covers the whole history below it. A record never
//! goes back to an earlier revision, whichever host sent it.

use std::collections::BTreeMap;

use crate::core::platform_message;

/// Live records by key, with the revision up to which they are complete.
#[derive(Debug, Clone, Default)]
pub struct LiveRecords {
    entries: BTreeMap<String, platform_message::StoreEntry>,
    watermark: u64,
}

impl LiveRecords {
    /// Returns the revision up to which this host has all changes.
    pub fn watermark(&self) -> u64 {
        self.watermark
    }

    /// Returns the entry of a key.
    pub fn entry(&self, key: &str) -> Option<&platform_message::StoreEntry> {
        self.entries.get(key)
    }

    /// Returns the revision of a key, 0 if the key is unknown.
    pub fn revision(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |entry| entry.revision)
    }

    /// Returns all entries with a revision above `watermark`.
    pub fn entries_after(&self, watermark: u64) -> Vec<platform_message::StoreEntry> {
        let newer = |entry: &&platform_message::StoreEntry| entry.revision > watermark;
        self.entries.values().filter(newer).cloned().collect()
    }

    /// Merges entries that are complete from revision `after` to `upto`, and returns the keys that
    /// changed.
    ///
    /// If the range leaves a gap above the watermark, the entries are kept but the watermark does
    /// not move.
    pub fn merge(
        &mut self,
        after: u64,
        upto: u64,
        entries: Vec<platform_message::StoreEntry>,
    ) -> Vec<String> {
        let mut changed = Vec::new();
        for entry in entries {
            if self.insert_newer(entry.clone()) {
                changed.push(entry.key);
            }
        }
        if after <= self.watermark {
            self.watermark = self.watermark.max(upto);
        }
        changed
    }

    /// Stores one entry if it is newer than the known one, without moving the watermark. Returns
    /// whether it was stored.
    pub fn insert_newer(&mut self, entry: platform_message::StoreEntry) -> bool {
        if entry.revision <= self.revision(&entry.key) {
            return false;
        }
        self.entries.insert(entry.key.clone(), entry);
        true
    }
}
