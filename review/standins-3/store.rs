//! The platform: its key-value store, and its interface for promotions.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::{self, Json};

/// One item of the store. The value stays Base64 text, as it came.
#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change: revision, key, and the item unless it was deleted.
    changes: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

impl Content {
    fn put(&mut self, key: &str, value: String, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push((revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.changes.push((revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let bound: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| known && item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !bound.is_empty() {
            self.revision += 1;
            let revision = self.revision;
            bound.iter().for_each(|key| self.delete(key, revision));
        }
        known
    }
}

/// The platform's key-value store. It is linearizable, and it neither loses nor delays anything.
#[derive(Debug, Default)]
pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
}

impl Store {
    /// Creates an empty store whose changes are counted from a revision on, and ends leases on time.
    pub fn start(revision: u64) -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.content.lock().unwrap().revision = revision;
        let keeper = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                keeper.end_due_leases();
            }
        });
        store
    }

    fn end_due_leases(&self) {
        let mut content = self.content.lock().unwrap();
        let now = Instant::now();
        let due: Vec<u64> =
            content.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for lease in &due {
            content.end_lease(*lease);
        }
        if !due.is_empty() {
            self.changed.notify_all();
        }
    }

    /// Writes an item as the operator or a database.
    pub fn put(&self, key: &str, value: &str) {
        let mut content = self.content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        content.put(key, json::base64(value.as_bytes()), 0, revision);
        self.changed.notify_all();
    }

    /// Removes an item as the operator or a database.
    pub fn remove(&self, key: &str) {
        let mut content = self.content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        content.delete(key, revision);
        self.changed.notify_all();
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.content.lock().unwrap().revision
    }

    /// Serves the store's interface on an address.
    pub fn serve(self: &Arc<Self>, address: SocketAddr) {
        let store = self.clone();
        serve_http(address, move |request| store.answer(request));
    }

    fn answer(&self, request: &HttpRequest) -> (u16, String) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET", "/api/kv-range") => self.range(&text("prefix"), &text("after")),
            ("GET", "/api/kv-watch") => {
                let after = text("after").parse().unwrap_or(0);
                let wait = text("wait_ms").parse().unwrap_or(0);
                self.watch(&text("prefix"), after, Duration::from_millis(wait))
            }
            ("GET", "/api/kv-key") => {
                let content = self.content.lock().unwrap();
                match content.items.get(&text("key")) {
                    Some(item) => (200, encode_item(&text("key"), item)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", "/api/kv-txn") => self.transact(&request.body),
            ("POST", "/api/kv-lease") => {
                let ttl = Json::parse(&request.body).map_or(0, |body| body.number("ttl_ms"));
                let ttl = ttl.max(1_000);
                let mut content = self.content.lock().unwrap();
                content.last_lease += 1;
                let lease = content.last_lease;
                let duration = Duration::from_millis(ttl);
                content.leases.insert(lease, (Instant::now() + duration, duration));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                let mut content = self.content.lock().unwrap();
                match content.leases.get_mut(&lease) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let lease = path["/api/kv-lease-end/".len()..].parse().unwrap_or(0);
                let known = self.content.lock().unwrap().end_lease(lease);
                self.changed.notify_all();
                (if known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        const PAGE: usize = 500;
        let content = self.content.lock().unwrap();
        let found = content.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let found: Vec<String> =
            found.take(PAGE + 1).map(|(key, item)| encode_item(key, item)).collect();
        let more = found.len() > PAGE;
        let items = found[..found.len().min(PAGE)].join(",");
        let revision = content.revision;
        (200, format!("{{\"items\":[{items}],\"has_more\":{more},\"current_rev\":{revision}}}"))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut content = self.content.lock().unwrap();
        loop {
            let start = content.changes.partition_point(|(revision, ..)| *revision <= after);
            let events: Vec<String> = content.changes[start..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => encode_item(key, item),
                    None => {
                        let key = json::quote(key);
                        format!("{{\"key\":{key},\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), content.revision);
                return (200, format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"));
            }
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let mut content = self.content.lock().unwrap();
        for row in body.list("precondition") {
            let current = content.items.get(&row.text("key")).map_or(0, |item| item.revision);
            if current != row.number("revision") {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        for row in body.list("writes") {
            let lease = row.number("lease");
            if lease != 0 && !content.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        content.revision += 1;
        let revision = content.revision;
        for row in body.list("writes") {
            content.put(&row.text("key"), row.text("value"), row.number("lease"), revision);
        }
        for key in body.list("deletes") {
            if let Json::Text(key) = key {
                content.delete(key, revision);
            }
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

fn encode_item(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        json::quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = bytes.get(at + 1..at + 3).and_then(|digits| std::str::from_utf8(digits).ok());
        match (bytes[at], digits.and_then(|digits| u8::from_str_radix(digits, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// An HTTP request.
#[derive(Debug)]
pub struct HttpRequest {
    pub method: String,
    pub path: String,
    /// Headers by name in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// Serves HTTP/1.1 on an address, each connection in a thread of its own.
pub fn serve_http(
    address: SocketAddr,
    answer: impl Fn(&HttpRequest) -> (u16, String) + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(address).expect("address of the platform is free");
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || serve_requests(stream, &*answer));
        }
    });
}

fn serve_requests(stream: TcpStream, answer: &dyn Fn(&HttpRequest) -> (u16, String)) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        let (status, body) = answer(&request);
        write!(
            writer,
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .ok()?;
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<HttpRequest> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let body = String::from_utf8(body).ok()?;
    Some(HttpRequest { method, path, headers, body })
}
