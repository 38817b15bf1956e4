//! A group of databases: a primary and its replicas, each with a log, behind the wire protocol.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::json;
use crate::record::Record;
use crate::store::Store;

/// Position in a log: term and number.
pub type Point = (u64, u64);

/// A committed transaction in a log.
#[derive(Debug, Clone, PartialEq)]
pub struct Commit {
    pub term: u64,
    /// Id of the request that committed it.
    pub id: String,
    pub writes: Vec<(String, String)>,
}

#[derive(Debug, Default)]
struct State {
    up: bool,
    primary: bool,
    term: u64,
    log: Vec<Commit>,
    /// Receives nothing from the primary.
    deaf: bool,
    /// Generation of the process; connections of an earlier one are gone.
    process: u64,
    born_ms: u64,
    sequence: u64,
    draining: bool,
    connections: Vec<TcpStream>,
    /// Last heartbeat, unless the registration has been removed.
    heard_at: Option<Instant>,
    /// Since when a newer primary has been reachable.
    replaced_at: Option<Instant>,
}

impl State {
    fn end(&self) -> Point {
        self.log.last().map_or((1, 0), |commit| (commit.term, self.log.len() as u64))
    }
}

/// One database of a group.
#[derive(Debug)]
pub struct Database {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    state: Mutex<State>,
}

/// What the group needs to know of its service.
#[derive(Debug, Clone)]
pub struct GroupPlan {
    pub service: String,
    pub sync_replicas: usize,
    pub max_connections: usize,
    /// Time until a replica receives a commit.
    pub lag: Duration,
    /// Time that a statement takes.
    pub work: Duration,
    /// Time from the call of a promotion to its effect.
    pub promotion: Duration,
    pub heartbeat: Duration,
}

/// A service: one primary and its replicas.
#[derive(Debug)]
pub struct Group {
    pub plan: GroupPlan,
    pub databases: Vec<Arc<Database>>,
    store: Arc<Store>,
    record: Arc<Record>,
    signatures: AtomicU64,
    runs: Mutex<Vec<Run>>,
    leads: Mutex<Vec<String>>,
}

/// A request that a database ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    /// Who the connection was opened for.
    pub who: String,
    pub database: String,
    pub text: String,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Group {
    /// Starts the databases; the first one is the primary.
    pub fn start(
        plan: GroupPlan,
        places: &[(&str, SocketAddr, &str)],
        store: Arc<Store>,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let databases = places.iter().map(|(id, address, zone)| {
            let (id, zone) = ((*id).to_owned(), (*zone).to_owned());
            Arc::new(Database { id, address: *address, zone, state: Mutex::default() })
        });
        let group = Arc::new(Self {
            plan,
            databases: databases.collect(),
            store,
            record,
            signatures: AtomicU64::new(1),
            runs: Mutex::default(),
            leads: Mutex::default(),
        });
        for (number, database) in group.databases.iter().enumerate() {
            let mut state = database.state.lock().unwrap();
            (state.primary, state.term) = (number == 0, 1);
            drop(state);
            group.bring_up(database);
        }
        let keeper = group.clone();
        std::thread::spawn(move || keeper.replicate());
        let beats = group.clone();
        std::thread::spawn(move || {
            loop {
                beats.databases.iter().for_each(|database| beats.register(database));
                std::thread::sleep(beats.plan.heartbeat);
            }
        });
        group
    }

    /// Returns a database by its id.
    pub fn find(&self, id: &str) -> Arc<Database> {
        self.databases.iter().find(|database| database.id == id).expect("known database").clone()
    }

    /// Starts the process of a database, with the log that it has.
    pub fn bring_up(self: &Arc<Self>, database: &Arc<Database>) {
        let mut state = database.state.lock().unwrap();
        state.up = true;
        state.process += 1;
        state.born_ms = unix_ms();
        state.sequence = 0;
        let process = state.process;
        // Another database was promoted while this one was down.
        let newest = self.databases.iter().filter(|other| other.id != database.id);
        let newest = newest.filter_map(|other| {
            let other = other.state.try_lock().ok()?;
            other.primary.then_some(other.term)
        });
        if newest.max().is_some_and(|term| term > state.term) {
            state.primary = false;
        }
        drop(state);
        let listener = bind(database.address);
        listener.set_nonblocking(true).expect("listener is non-blocking");
        let (group, database) = (self.clone(), database.clone());
        self.register(&database);
        std::thread::spawn(move || {
            loop {
                let state = database.state.lock().unwrap();
                if !state.up || state.process != process {
                    return;
                }
                drop(state);
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (group, database) = (group.clone(), database.clone());
                        std::thread::spawn(move || group.serve(&database, process, stream));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Crashes a database: its connections are reset, and its address refuses new ones. It keeps its
    /// log.
    pub fn crash(&self, id: &str) {
        let database = self.find(id);
        let mut state = database.state.lock().unwrap();
        state.up = false;
        for stream in state.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        self.record.note(&format!("database {id} crashes"));
    }

    /// Starts a database that crashed. With `empty` it holds and knows nothing of before.
    pub fn restart(self: &Arc<Self>, id: &str, empty: bool) {
        let database = self.find(id);
        // The listener of the process before ends within a millisecond.
        std::thread::sleep(Duration::from_millis(10));
        if empty {
            let mut state = database.state.lock().unwrap();
            state.log.clear();
            (state.primary, state.term) = (false, 1);
        }
        let what = if empty { "and knows nothing of before" } else { "with its log" };
        self.record.note(&format!("database {id} starts again {what}"));
        self.bring_up(&database);
    }

    /// Has a replica receive nothing, or receive again.
    pub fn set_deaf(&self, id: &str, deaf: bool) {
        self.find(id).state.lock().unwrap().deaf = deaf;
        let what = if deaf { "receives nothing from now on" } else { "receives again" };
        self.record.note(&format!("replica {id} {what}"));
    }

    /// Has a database report that it drains.
    pub fn drain(&self, id: &str) {
        let database = self.find(id);
        database.state.lock().unwrap().draining = true;
        self.record.note(&format!("database {id} reports that it is draining"));
        self.register(&database);
    }

    /// Promotes a database after the time that a promotion takes. Returns the status of the platform's
    /// response.
    pub fn promote(self: &Arc<Self>, id: &str) -> u16 {
        let Some(database) = self.databases.iter().find(|database| database.id == id) else {
            return 409;
        };
        let state = database.state.lock().unwrap();
        if !state.up {
            return 409;
        }
        drop(state);
        let (group, database) = (self.clone(), database.clone());
        std::thread::spawn(move || {
            std::thread::sleep(group.plan.promotion);
            group.lead(&database);
        });
        200
    }

    fn lead(&self, database: &Database) {
        let newest = self.databases.iter().map(|other| other.state.lock().unwrap().term).max();
        let mut state = database.state.lock().unwrap();
        if !state.up || (state.primary && Some(state.term) == newest) {
            return;
        }
        state.primary = true;
        state.term = newest.unwrap_or(1) + 1;
        let (id, term, end) = (&database.id, state.term, state.end());
        drop(state);
        let line = format!("database {id} leads term {term}, with its log up to {end:?}");
        self.leads.lock().unwrap().push(id.clone());
        self.record.note(&line);
        self.register(database);
    }

    /// Returns the databases whose promotions took effect.
    pub fn leads(&self) -> Vec<String> {
        self.leads.lock().unwrap().clone()
    }

    /// Returns the ids of the commits in the log of a database.
    pub fn log_of(&self, id: &str) -> Vec<String> {
        let database = self.find(id);
        let state = database.state.lock().unwrap();
        state.log.iter().map(|commit| commit.id.clone()).collect()
    }

    /// Returns the requests that the databases ran.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the primary of the highest term that is running, if there is one.
    pub fn primary(&self) -> Option<String> {
        let primaries = self.databases.iter().filter_map(|database| {
            let state = database.state.lock().unwrap();
            (state.up && state.primary).then(|| (state.term, database.id.clone()))
        });
        primaries.max().map(|(_, id)| id)
    }

    fn register(&self, database: &Database) {
        let mut state = database.state.lock().unwrap();
        if !state.up {
            let silent = state.heard_at.is_some_and(|at| at.elapsed() >= self.plan.heartbeat * 3);
            if silent && state.heard_at.take().is_some() {
                self.store.remove(&format!("servers/{}", database.id));
            }
            return;
        }
        state.heard_at = Some(Instant::now());
        state.sequence += 1;
        let text = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"capacity\":3,\
             \"state\":\"{}\",\"cold_remaining_ms\":0,\"db_role\":\"{}\",\"sequence\":{},\"born\":{}}}",
            json::quote(&self.plan.service),
            database.address,
            json::quote(&database.zone),
            if state.draining { "draining" } else { "ready" },
            if state.primary { "primary" } else { "replica" },
            state.sequence,
            state.born_ms
        );
        self.store.put(&format!("servers/{}", database.id), &text);
    }

    /// Passes the newest primary's commits on to the replicas, and has replaced primaries step down.
    fn replicate(&self) {
        let mut seen: BTreeMap<(u64, usize), Instant> = BTreeMap::new();
        loop {
            std::thread::sleep(Duration::from_millis(2));
            let newest = self.databases.iter().filter_map(|database| {
                let state = database.state.lock().unwrap();
                let reachable = state.up && state.primary;
                reachable.then(|| (state.term, database.id.clone()))
            });
            let Some((term, id)) = newest.max() else { continue };
            let log = self.find(&id).state.lock().unwrap().log.clone();
            for number in 0..log.len() {
                seen.entry((log[number].term, number)).or_insert_with(Instant::now);
            }
            for other in self.databases.iter().filter(|other| other.id != id) {
                let mut state = other.state.lock().unwrap();
                if !state.up {
                    continue;
                }
                if state.primary {
                    let since = *state.replaced_at.get_or_insert_with(Instant::now);
                    if since.elapsed() < Duration::from_secs(1) {
                        continue;
                    }
                    state.primary = false;
                }
                if state.deaf {
                    continue;
                }
                state.replaced_at = None;
                state.term = term;
                let same = state.log.iter().zip(&log).take_while(|(own, new)| own == new).count();
                state.log.truncate(same);
                while let Some(commit) = log.get(state.log.len()) {
                    if seen[&(commit.term, state.log.len())].elapsed() < self.plan.lag {
                        break;
                    }
                    state.log.push(commit.clone());
                }
            }
        }
    }

    /// Waits until enough replicas have received the commit; `false` if the database ended before.
    fn await_receipts(&self, database: &Database, process: u64, number: usize) -> bool {
        loop {
            let state = database.state.lock().unwrap();
            if !state.up || state.process != process {
                return false;
            }
            let commit = state.log.get(number).cloned();
            drop(state);
            let others = self.databases.iter().filter(|other| other.id != database.id);
            let holders = others.filter(|other| {
                let other = other.state.lock().unwrap();
                other.up && commit.is_some() && other.log.get(number) == commit.as_ref()
            });
            if holders.count() >= self.plan.sync_replicas {
                return true;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn serve(&self, database: &Database, process: u64, stream: TcpStream) -> Option<()> {
        stream.set_nonblocking(false).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let line = read_line(&mut reader)?;
        let mut words = line.splitn(4, ' ');
        let (word, service) = (words.next()?, words.next().unwrap_or_default());
        let who = words.next().unwrap_or_default().to_owned();
        let id = words.next().unwrap_or(&database.id);
        if word != "STARTUP" || service != self.plan.service || id != database.id {
            return write!(writer, "ERROR WRONGNODE {}\r\n", database.id).ok();
        }
        let mut state = database.state.lock().unwrap();
        state.connections.retain(|open| open.peer_addr().is_ok());
        if state.connections.len() >= self.plan.max_connections {
            drop(state);
            return write!(writer, "ERROR CONNLIMIT {}\r\n", database.id).ok();
        }
        state.connections.push(stream.try_clone().ok()?);
        let end = state.end();
        drop(state);
        write!(writer, "READY I {}.{}\r\n", end.0, end.1).ok()?;
        let mut session = Session { who, ..Session::default() };
        while let Some(line) = read_line(&mut reader) {
            let Some(rest) = line.strip_prefix("QUERY ") else { break };
            let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
            let outcome = self.run(database, process, &mut session, id, text)?;
            let state = database.state.lock().unwrap();
            if !state.up || state.process != process {
                break;
            }
            let end = state.end();
            drop(state);
            let mut response = String::new();
            match outcome {
                Ok((rows, signature)) => {
                    rows.iter().for_each(|row| response.push_str(&format!("DATAROW {row}\r\n")));
                    response.push_str(&format!("COMPLETE {signature}\r\n"));
                }
                Err(code) => response.push_str(&format!("ERROR {code} {}\r\n", database.id)),
            }
            response.push_str(&format!("READY {} {}.{}\r\n", session.phase(), end.0, end.1));
            writer.write_all(response.as_bytes()).ok()?;
        }
        let _ = stream.shutdown(Shutdown::Both);
        None
    }

    /// Runs one request; `None` if the database ends before the response.
    fn run(
        &self,
        database: &Database,
        process: u64,
        session: &mut Session,
        id: &str,
        text: &str,
    ) -> Option<Result<(Vec<String>, String), &'static str>> {
        let done = || Some(Ok((Vec::new(), "-".to_owned())));
        let (after, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (point, rest) = rest.split_once(' ')?;
                let (term, number) = point.split_once('.')?;
                (Some((term.parse().ok()?, number.parse().ok()?)), rest)
            }
            None => (None, text),
        };
        let mut words = text.splitn(3, ' ');
        let (mut word, mut item) = (words.next()?, words.next().unwrap_or_default());
        let mut data = words.next().unwrap_or_default();
        if session.failed && word != "ROLLBACK" && word != "COMMIT" {
            return Some(Err("MALFORMED"));
        }
        if word == "EXECUTE" {
            let Some(kind) = session.prepared.get(item) else { return Some(Err("NOSTMT")) };
            word = if kind == "WRITE" { "WRITE" } else { "READ" };
            (item, data) = data.split_once(' ').unwrap_or((data, ""));
        }
        if matches!(word, "READ" | "WRITE" | "COMMIT") {
            std::thread::sleep(self.plan.work);
        }
        let mut state = database.state.lock().unwrap();
        if !state.up || state.process != process {
            return None;
        }
        let (primary, term, end) = (state.primary, state.term, state.end());
        let note = |outcome: &str| {
            let (request, who) = (id.to_owned(), session.who.clone());
            let place = database.id.clone();
            let run = Run { id: request, who, database: place, text: text.to_owned() };
            self.runs.lock().unwrap().push(run);
            self.record.note(&format!(
                "{} runs {id} {text:?} for {:?} at {end:?}: {outcome}",
                database.id, session.who
            ));
        };
        if after.is_some_and(|after: Point| end < after) {
            return Some(Err("LAGGING"));
        }
        let plain = session.open && !session.read_only;
        if (plain || word == "WRITE") && !primary && !matches!(word, "ROLLBACK" | "COMMIT") {
            session.failed = session.open;
            return Some(Err("READONLY"));
        }
        match word {
            "BEGIN" => {
                if item != "READ" && !primary {
                    return Some(Err("READONLY"));
                }
                (session.open, session.read_only) = (true, item == "READ");
                done()
            }
            "ROLLBACK" => {
                session.end();
                done()
            }
            "SET" => {
                session.values.insert(item.to_owned(), data.to_owned());
                done()
            }
            "PARSE" => {
                let kind = data.split(' ').next().unwrap_or_default();
                session.prepared.insert(item.to_owned(), kind.to_owned());
                done()
            }
            "DISCARD" => {
                session.values.clear();
                session.prepared.clear();
                done()
            }
            "STATUS" | "STEPDOWN" => {
                if word == "STEPDOWN" && item.parse().is_ok_and(|newer: u64| newer > term) {
                    state.primary = false;
                }
                let role = if state.primary { "primary" } else { "replica" };
                let row = format!("{role} {term} {}.{} 0 0 0 1", end.0, end.1);
                Some(Ok((vec![row], "-".to_owned())))
            }
            "READ" => {
                let own = session.writes.iter().rev();
                let committed =
                    state.log.iter().rev().flat_map(|commit| commit.writes.iter().rev());
                let mut found = own.chain(committed).filter(|(name, _)| name == item);
                let rows: Vec<String> =
                    found.next().map(|(_, value)| value.clone()).into_iter().collect();
                drop(found);
                note(&format!("rows {rows:?}"));
                Some(Ok((rows, self.sign())))
            }
            "WRITE" if session.open => {
                note("written in a transaction");
                session.writes.push((item.to_owned(), data.to_owned()));
                Some(Ok((Vec::new(), self.sign())))
            }
            "WRITE" | "COMMIT" => {
                let writes = match word {
                    "WRITE" => vec![(item.to_owned(), data.to_owned())],
                    _ if !session.open || session.failed => return Some(Err("MALFORMED")),
                    _ => std::mem::take(&mut session.writes),
                };
                if writes.is_empty() {
                    session.end();
                    return Some(Ok((Vec::new(), self.sign())));
                }
                if !primary {
                    session.failed = true;
                    return Some(Err("READONLY"));
                }
                state.log.push(Commit { term, id: id.to_owned(), writes });
                let number = state.log.len() - 1;
                drop(state);
                note("takes effect");
                if !self.await_receipts(database, process, number) {
                    return None;
                }
                self.record.note(&format!(
                    "{} commits {id} {text:?} for {:?} as {term}.{}",
                    database.id,
                    session.who,
                    number + 1
                ));
                session.end();
                Some(Ok((Vec::new(), self.sign())))
            }
            _ => Some(Err("MALFORMED")),
        }
    }

    fn sign(&self) -> String {
        let number = self.signatures.fetch_add(1, Ordering::Relaxed);
        format!("{}.{number:x}", self.plan.service)
    }
}

#[derive(Debug, Default)]
struct Session {
    who: String,
    open: bool,
    read_only: bool,
    failed: bool,
    writes: Vec<(String, String)>,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, String>,
}

impl Session {
    fn phase(&self) -> char {
        match (self.open, self.failed) {
            (_, true) => 'E',
            (true, false) => 'T',
            (false, false) => 'I',
        }
    }

    fn end(&mut self) {
        (self.open, self.read_only, self.failed) = (false, false, false);
        self.writes.clear();
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..200 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("address {address} of a database is not free");
}

/// Reads a line that ends with CR LF, without its end.
pub fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n") {
        if reader.read_until(b'\n', &mut bytes).ok()? == 0 {
            return None;
        }
    }
    bytes.truncate(bytes.len() - 2);
    String::from_utf8(bytes).ok()
}
