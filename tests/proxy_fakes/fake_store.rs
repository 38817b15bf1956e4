//! Fake store with revisions, leases and watches, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quetzaldeal::core::core_message;
use quetzaldeal::proxy::store_message;
use quetzaldeal::proxy::store_revision;

/// Size of a reply without its items, in bytes.
const REPLY_BYTES: u64 = 150;
/// Size of an item other than the configuration, in bytes.
const ITEM_BYTES: u64 = 300;

/// How the store handles calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreMode {
    /// Replies to all calls.
    Up,
    /// Ignores all calls. Leases still expire.
    Unresponsive,
    /// Carries out writes without replying to them.
    DropsWriteReplies,
}

#[derive(Debug, Clone)]
struct FakeItem {
    body: store_message::ItemContent,
    revision: u64,
    lease: u64,
}

#[derive(Debug)]
struct FakeWatch {
    host: usize,
    call: core_message::CallId,
    after: u64,
    expires_at: u64,
}

/// The link over which all replies of the store leave, one after the other.
#[derive(Debug)]
pub(crate) struct StoreLink {
    /// Rate of the link, in bytes per second.
    pub(crate) bytes_per_second: u64,
    /// Size of the configuration as sent, in bytes.
    pub(crate) config_bytes: u64,
    /// Bytes sent so far, also to hosts that had given up on the reply.
    pub(crate) sent_bytes: u64,
    /// When the last reply accepted so far has been sent, in microseconds.
    busy_until: u64,
}

impl StoreLink {
    /// Creates an idle link.
    pub(crate) fn new(bytes_per_second: u64, config_bytes: u64) -> Self {
        Self { bytes_per_second, config_bytes, sent_bytes: 0, busy_until: 0 }
    }

    /// Returns how long the replies accepted so far still take, in microseconds.
    pub(crate) fn backlog(&self, now: u64) -> u64 {
        self.busy_until.saturating_sub(now)
    }

    fn send(&mut self, now: u64, reply: &store_message::StoreReply) -> u64 {
        let items = match reply {
            store_message::StoreReply::Listed { items, .. }
            | store_message::StoreReply::Changed { items, .. } => items.as_slice(),
            _ => &[],
        };
        let bytes = items.iter().map(|item| match &item.body {
            Some(store_message::ItemContent::Config(_)) => self.config_bytes,
            Some(_) => ITEM_BYTES,
            None => REPLY_BYTES,
        });
        let bytes = REPLY_BYTES + bytes.sum::<u64>();
        self.sent_bytes += bytes;
        self.busy_until = self.busy_until.max(now) + bytes * 1_000_000 / self.bytes_per_second;
        self.busy_until - now
    }
}

/// A fake store.
#[derive(Debug)]
pub(crate) struct FakeStore {
    /// The link of its replies; `None` if it has no limit.
    pub(crate) link: Option<StoreLink>,
    /// How it handles calls.
    pub(crate) mode: StoreMode,
    /// Hosts whose calls it refuses.
    pub(crate) refused_hosts: BTreeSet<usize>,
    revision: u64,
    items: BTreeMap<store_message::ItemSubject, FakeItem>,
    history: Vec<store_message::StoreItem>,
    compacted_revision: u64,
    leases: BTreeMap<u64, (u64, Duration)>,
    next_lease: u64,
    watches: Vec<FakeWatch>,
    era: Option<u64>,
}

/// What a store held at one time.
#[derive(Debug, Clone)]
pub(crate) struct StoreCopy {
    revision: u64,
    items: BTreeMap<store_message::ItemSubject, FakeItem>,
    leases: BTreeMap<u64, (u64, Duration)>,
}

/// Reply to a call, with the host and the call that it is for.
pub(crate) type AddressedReply = (usize, core_message::CallId, store_message::StoreReply);

impl Default for FakeStore {
    fn default() -> Self {
        Self {
            link: None,
            mode: StoreMode::Up,
            refused_hosts: BTreeSet::new(),
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            compacted_revision: 0,
            leases: BTreeMap::new(),
            next_lease: 100,
            watches: Vec::new(),
            era: Some(0),
        }
    }
}

impl FakeStore {
    /// Writes or removes an item as an operator or an endpoint does.
    pub(crate) fn put(
        &mut self,
        subject: store_message::ItemSubject,
        body: Option<store_message::ItemContent>,
    ) -> Vec<AddressedReply> {
        self.change(subject, body, 0);
        self.reply_to_watches()
    }

    /// Drops the history of changes so far and ends all watches.
    pub(crate) fn compact(&mut self) -> Vec<AddressedReply> {
        self.compacted_revision = self.revision;
        self.history.clear();
        let closed = std::mem::take(&mut self.watches);
        let reply = store_message::StoreReply::HistoryCompacted;
        closed.into_iter().map(|watch| (watch.host, watch.call, reply.clone())).collect()
    }

    /// Returns a copy of what the store holds.
    pub(crate) fn copy(&self) -> StoreCopy {
        StoreCopy {
            revision: self.revision,
            items: self.items.clone(),
            leases: self.leases.clone(),
        }
    }

    /// Replaces what the store holds by a copy and drops all watches. What was written since the copy is
    /// gone, and the revisions since then are given out again.
    pub(crate) fn restore(&mut self, copy: StoreCopy) {
        self.revision = copy.revision;
        self.items = copy.items;
        self.leases = copy.leases;
        self.compacted_revision = copy.revision;
        self.history.clear();
        self.watches.clear();
        self.era = self.era.map(|era| era + 1);
    }

    /// Returns the keys of the proxy's records.
    pub(crate) fn record_keys(&self) -> BTreeSet<String> {
        let subjects = self.items.keys();
        let keys = subjects.filter_map(|subject| match subject {
            store_message::ItemSubject::Record(key) => Some(key.clone()),
            _ => None,
        });
        keys.collect()
    }

    /// Returns the number of times that the store was restored from a copy.
    pub(crate) fn era(&self) -> Option<u64> {
        self.era
    }

    /// Ends the leases and the watches that have expired by `now`, in microseconds.
    pub(crate) fn expire(&mut self, now: u64) -> Vec<AddressedReply> {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (expires_at, _))| *expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
        if self.mode != StoreMode::Up {
            return Vec::new();
        }
        let mut replies = self.reply_to_watches();
        let revision = self.stamp(self.revision);
        self.watches.retain(|watch| {
            if watch.expires_at > now {
                return true;
            }
            let reply = store_message::StoreReply::Changed { items: Vec::new(), revision };
            replies.push((watch.host, watch.call, reply));
            false
        });
        replies
    }

    /// Handles a call. A watch gets its reply once there is a change to report.
    pub(crate) fn handle(
        &mut self,
        now: u64,
        host: usize,
        call: core_message::CallId,
        request: store_message::StoreRequest,
    ) -> Vec<AddressedReply> {
        if self.mode == StoreMode::Unresponsive {
            return Vec::new();
        }
        if self.refused_hosts.contains(&host) {
            return vec![(host, call, store_message::StoreReply::Refused)];
        }
        let reply = match request {
            store_message::StoreRequest::List { scope, .. } => {
                let items = self.items.iter().filter(|(subject, _)| {
                    let config = **subject == store_message::ItemSubject::Config;
                    match scope {
                        store_message::ListScope::All => true,
                        store_message::ListScope::WithoutConfig => !config,
                        store_message::ListScope::ConfigOnly => config,
                    }
                });
                let items = items.map(|(subject, item)| store_message::StoreItem {
                    subject: subject.clone(),
                    revision: self.stamp(item.revision),
                    body: Some(item.body.clone()),
                });
                let items = items.collect();
                let revision = self.stamp(self.revision);
                store_message::StoreReply::Listed { items, next: None, revision }
            }
            store_message::StoreRequest::Watch { after, wait, .. } => {
                let expires_at = now + wait.as_micros() as u64;
                let after = after.number();
                self.watches.push(FakeWatch { host, call, after, expires_at });
                return self.reply_to_watches();
            }
            store_message::StoreRequest::GrantLease { ttl } => {
                self.next_lease += 1;
                let expires_at = now + ttl.as_micros() as u64;
                self.leases.insert(self.next_lease, (expires_at, ttl));
                store_message::StoreReply::LeaseGranted { lease: self.next_lease, ttl }
            }
            store_message::StoreRequest::RenewLease { lease } => {
                match self.leases.get_mut(&lease) {
                    Some((expires_at, ttl)) => {
                        *expires_at = now + ttl.as_micros() as u64;
                        store_message::StoreReply::LeaseGranted { lease, ttl: *ttl }
                    }
                    None => store_message::StoreReply::LeaseExpired,
                }
            }
            store_message::StoreRequest::RevokeLease { lease } => {
                self.end_lease(lease);
                let mut replies = self.reply_to_watches();
                replies.push((host, call, store_message::StoreReply::LeaseExpired));
                return replies;
            }
            store_message::StoreRequest::Remove { key, .. } => {
                self.change(store_message::ItemSubject::Record(key), None, 0);
                let mut replies = self.reply_to_watches();
                let revision = self.stamp(self.revision);
                let reply = store_message::StoreReply::Written { revision };
                replies.push((host, call, reply));
                return replies;
            }
            store_message::StoreRequest::Write { key, value, lease, expect } => {
                let subject = store_message::ItemSubject::Record(key);
                let held = self.items.get(&subject).map_or(0, |item| item.revision);
                if lease != 0 && !self.leases.contains_key(&lease) {
                    store_message::StoreReply::LeaseExpired
                } else if expect.is_some_and(|expect| expect.number() != held) {
                    store_message::StoreReply::Conflict
                } else {
                    let body = store_message::ItemContent::Record(value);
                    self.change(subject, Some(body), lease);
                    let mut replies = self.reply_to_watches();
                    if self.mode != StoreMode::DropsWriteReplies {
                        let revision = self.stamp(self.revision);
                        let reply = store_message::StoreReply::Written { revision };
                        replies.push((host, call, reply));
                    }
                    return replies;
                }
            }
        };
        vec![(host, call, reply)]
    }

    /// Returns how long a reply that is ready takes to leave, in microseconds.
    pub(crate) fn sending_time(&mut self, now: u64, reply: &store_message::StoreReply) -> u64 {
        self.link.as_mut().map_or(0, |link| link.send(now, reply))
    }

    /// Returns the revision of the last change.
    pub(crate) fn revision(&self) -> store_revision::StoreRevision {
        self.stamp(self.revision)
    }

    fn stamp(&self, number: u64) -> store_revision::StoreRevision {
        store_revision::StoreRevision::new(self.era.unwrap_or(0), number)
    }

    /// Drops all watches without a reply.
    pub(crate) fn drop_watches(&mut self) {
        self.watches.clear();
    }

    /// Drops the watches of one host without a reply.
    pub(crate) fn drop_host_watches(&mut self, host: usize) {
        self.watches.retain(|watch| watch.host != host);
    }

    fn change(
        &mut self,
        subject: store_message::ItemSubject,
        body: Option<store_message::ItemContent>,
        lease: u64,
    ) {
        self.revision += 1;
        let revision = self.revision;
        match &body {
            Some(body) => {
                let item = FakeItem { body: body.clone(), revision, lease };
                self.items.insert(subject.clone(), item);
            }
            None => drop(self.items.remove(&subject)),
        }
        let revision = self.stamp(revision);
        self.history.push(store_message::StoreItem { subject, revision, body });
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let subjects: Vec<store_message::ItemSubject> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(subject, _)| subject.clone())
            .collect();
        for subject in subjects {
            self.change(subject, None, 0);
        }
    }

    fn reply_to_watches(&mut self) -> Vec<AddressedReply> {
        let mut replies = Vec::new();
        let (revision, compacted) = (self.revision, self.compacted_revision);
        let current = self.stamp(revision);
        let history = &self.history;
        self.watches.retain(|watch| {
            if watch.after < compacted || watch.after > revision {
                replies.push((watch.host, watch.call, store_message::StoreReply::HistoryCompacted));
                return false;
            }
            let items: Vec<store_message::StoreItem> = history
                .iter()
                .filter(|item| item.revision.number() > watch.after)
                .cloned()
                .collect();
            if items.is_empty() {
                return true;
            }
            let reply = store_message::StoreReply::Changed { items, revision: current };
            replies.push((watch.host, watch.call, reply));
            false
        });
        replies
    }
}
