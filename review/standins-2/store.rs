//! Stand-in for the platform's metadata store: a linearizable key-value store with leases.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http;
use crate::json;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Debug)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes by revision: a written item, or `None` for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

/// The store. It forgets nothing and is never slow.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts the expiry of leases.
    pub fn start() -> Arc<Self> {
        let state = State {
            revision: 100,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 0,
        };
        let store = Arc::new(Self { state: Mutex::new(state), changed: Condvar::new() });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                expiring.expire_leases();
            }
        });
        store
    }

    /// Serves the store on a free port.
    pub fn serve(self: &Arc<Self>) -> SocketAddr {
        let store = self.clone();
        http::serve(move |request| Some(store.respond(request)))
    }

    /// Writes an item as operators and databases do.
    pub fn put(&self, key: &str, document: &str) {
        let mut state = self.lock();
        write(&mut state, key, json::base64(document.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Removes an item if it is there.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        remove(&mut state, key);
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    fn expire_leases(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        for id in ended {
            end_lease(&mut state, id);
            self.changed.notify_all();
        }
    }

    fn respond(&self, request: &http::Request) -> (u16, String) {
        let body = json::parse(&request.body);
        let id = || request.path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/kv-key") => {
                let state = self.lock();
                let key = request.query("key").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => (200, describe(&key, Some(item), item.revision)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/api/kv-range") => self.range(request),
            ("GET", "/api/kv-watch") => self.watch(request),
            ("POST", "/api/kv-txn") => self.transact(&body),
            ("POST", "/api/kv-lease") => {
                let mut state = self.lock();
                state.next_lease += 1;
                let (id, ttl_ms) = (state.next_lease, body.field("ttl_ms").number().max(1_000));
                let ttl = Duration::from_millis(ttl_ms);
                state.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let mut state = self.lock();
                let Some(lease) = state.leases.get_mut(&id()) else {
                    return (404, "{}".to_owned());
                };
                lease.ends = Instant::now() + lease.ttl;
                let ttl_ms = lease.ttl.as_millis();
                (200, format!("{{\"lease\":{},\"ttl_ms\":{ttl_ms}}}", id()))
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let mut state = self.lock();
                end_lease(&mut state, id());
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &http::Request) -> (u16, String) {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.lock();
        let items = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> =
            items.map(|(key, item)| describe(key, Some(item), item.revision)).collect();
        let text = format!(
            "{{\"items\":[{}],\"has_more\":false,\"current_rev\":{}}}",
            items.join(","),
            state.revision
        );
        (200, text)
    }

    fn watch(&self, request: &http::Request) -> (u16, String) {
        let number =
            |name: &str| request.query(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms").min(30_000)));
        let prefix = request.query("prefix").unwrap_or_default();
        let ends = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let first = state.history.partition_point(|(revision, _, _)| *revision <= after);
            let events: Vec<String> = state.history[first..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .map(|(revision, key, item)| describe(key, item.as_ref(), *revision))
                .collect();
            let left = ends.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let text = format!("{{\"events\":[{events}],\"current_rev\":{}}}", state.revision);
                return (200, text);
            }
            state = self.changed.wait_timeout(state, left).expect("no thread panics").0;
        }
    }

    fn transact(&self, body: &json::Value) -> (u16, String) {
        let mut state = self.lock();
        let rows = body.field("precondition").entries();
        let holds = rows.iter().all(|row| {
            let current = state.items.get(row.field("key").text()).map_or(0, |item| item.revision);
            current == row.field("revision").number()
        });
        if !holds {
            let items: Vec<String> = rows
                .iter()
                .filter_map(|row| {
                    let key = row.field("key").text();
                    state.items.get(key).map(|item| describe(key, Some(item), item.revision))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let writes = body.field("writes").entries();
        let lease_of = |row: &json::Value| row.field("lease").number();
        if writes.iter().any(|row| lease_of(row) > 0 && !state.leases.contains_key(&lease_of(row)))
        {
            return (404, "{}".to_owned());
        }
        for row in writes {
            let value = row.field("value").text().to_owned();
            write(&mut state, row.field("key").text(), value, lease_of(row));
        }
        for key in body.field("deletes").entries() {
            remove(&mut state, key.text());
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

fn write(state: &mut State, key: &str, value: String, lease: u64) {
    state.revision += 1;
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |item| item.created);
    let item = Item { value, revision, created, lease };
    state.items.insert(key.to_owned(), item.clone());
    state.history.push((revision, key.to_owned(), Some(item)));
}

fn remove(state: &mut State, key: &str) {
    if state.items.remove(key).is_some() {
        state.revision += 1;
        let revision = state.revision;
        state.history.push((revision, key.to_owned(), None));
    }
}

fn end_lease(state: &mut State, id: u64) {
    if state.leases.remove(&id).is_none() {
        return;
    }
    let keys: Vec<String> = state
        .items
        .iter()
        .filter(|(_, item)| item.lease == id)
        .map(|(key, _)| key.clone())
        .collect();
    for key in keys {
        remove(state, &key);
    }
}

fn describe(key: &str, item: Option<&Item>, revision: u64) -> String {
    match item {
        Some(Item { value, created, lease, .. }) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
             \"created\":{created},\"lease\":{lease}}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}
