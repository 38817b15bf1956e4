//! Stand-in for the databases of one service: a primary and its replicas, with their logs.
//!
//! All logs are kept in one place, so that replication takes no time unless a database is told to be
//! deaf, apart from the others or crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record;
use crate::store;

/// Interval of the databases' heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Silence after which the registration of a database is removed: three heartbeat intervals.
const SILENCE_MAX: Duration = Duration::from_millis(3_600);
/// Time after which a connection whose far end is dark is dropped.
const DARK_MAX: Duration = Duration::from_secs(3);
/// Time for which an old primary goes on after it can reach the new one.
const DEMOTION_DELAY: Duration = Duration::from_secs(1);
/// Time that a read, write or commit takes.
const WORK: Duration = Duration::from_millis(4);

/// A commit in a log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Commit {
    pub term: u64,
    pub number: u64,
    /// Id of the request that committed: a single write, or a COMMIT.
    pub request: String,
}

#[derive(Debug)]
struct Database {
    id: String,
    zone: String,
    port: u16,
    primary: bool,
    term: u64,
    log: Vec<Commit>,
    /// Receives nothing from the primary.
    deaf: bool,
    /// Partitioned from all machines and from the store since then, not from the other databases.
    cut_since: Option<Instant>,
    /// Partitioned from the other databases.
    apart: bool,
    crashed: bool,
    born: u64,
    sequence: u64,
    registered: bool,
    beat_at: Option<Instant>,
    /// Since when it could reach a primary of a later term.
    outdated_since: Option<Instant>,
    streams: BTreeMap<u64, TcpStream>,
}

#[derive(Debug)]
struct State {
    databases: Vec<Database>,
    /// The database that the platform takes for the primary.
    appointed: String,
    appointing: BTreeSet<String>,
    next_stream: u64,
    /// Signed runs so far, which number the signatures.
    runs: usize,
    /// Commits that their callers saw acknowledged, and when.
    acknowledged: Vec<(String, Instant)>,
    /// Highest fencing token seen, and its holder.
    token: (u64, String),
    /// Commits that the log must hold when a read runs, by the read's request.
    expected: BTreeMap<String, Vec<String>>,
    /// Names of the accounts for which requests ran, by request.
    accounts: BTreeMap<String, String>,
}

/// The databases of one service.
#[derive(Debug)]
pub struct Group {
    pub name: String,
    sync_replicas: usize,
    promotion: Duration,
    state: Mutex<State>,
    changed: Condvar,
    store: Arc<store::Store>,
    record: Arc<record::Record>,
}

impl Group {
    /// Starts one database in each zone; the first is the primary.
    pub fn start(
        name: &str,
        zones: &[&str],
        sync_replicas: usize,
        promotion: Duration,
        store: Arc<store::Store>,
        record: Arc<record::Record>,
    ) -> Arc<Self> {
        let mut listeners = Vec::new();
        let mut databases = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let port = listener.local_addr().expect("its address").port();
            listeners.push(listener);
            databases.push(Database {
                id: format!("i-{name}-{index}"),
                zone: (*zone).to_owned(),
                port,
                primary: index == 0,
                term: 3,
                log: vec![Commit { term: 3, number: 1_000, request: String::new() }],
                deaf: false,
                cut_since: None,
                apart: false,
                crashed: false,
                born: unix_ms(),
                sequence: 0,
                registered: false,
                beat_at: None,
                outdated_since: None,
                streams: BTreeMap::new(),
            });
        }
        let appointed = databases[0].id.clone();
        let state = State {
            databases,
            appointed,
            appointing: BTreeSet::new(),
            next_stream: 0,
            runs: 0,
            acknowledged: Vec::new(),
            token: (0, String::new()),
            expected: BTreeMap::new(),
            accounts: BTreeMap::new(),
        };
        let group = Arc::new(Self {
            name: name.to_owned(),
            sync_replicas,
            promotion,
            state: Mutex::new(state),
            changed: Condvar::new(),
            store,
            record,
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let accepting = group.clone();
            std::thread::spawn(move || accepting.accept(index, listener));
        }
        let ticking = group.clone();
        std::thread::spawn(move || {
            loop {
                ticking.tick();
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        group
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    /// Partitions a database from all machines and the store, or ends that.
    pub fn cut(&self, index: usize, on: bool) {
        let mut state = self.lock();
        state.databases[index].cut_since = on.then(Instant::now);
        self.note_fault(&state, index, "cut off from all machines", on);
        self.changed.notify_all();
    }

    /// Keeps a replica from receiving, or ends that.
    pub fn deafen(&self, index: usize, on: bool) {
        let mut state = self.lock();
        state.databases[index].deaf = on;
        self.note_fault(&state, index, "receives nothing", on);
        self.changed.notify_all();
    }

    /// Crashes a database, or starts it again with its log.
    pub fn crash(&self, index: usize, on: bool) {
        let mut state = self.lock();
        let appointed = state.appointed.clone();
        let database = &mut state.databases[index];
        database.crashed = on;
        for stream in std::mem::take(&mut database.streams).into_values() {
            drop(stream.shutdown(Shutdown::Both));
        }
        if !on {
            database.primary = database.id == appointed;
            database.born = unix_ms();
            database.beat_at = None;
        }
        self.note_fault(&state, index, "crashed", on);
        self.changed.notify_all();
    }

    fn note_fault(&self, state: &State, index: usize, what: &str, on: bool) {
        let end = if on { "begins" } else { "ends" };
        self.record.note(&format!("{} {what}: {end}", state.databases[index].id));
    }

    /// Returns the index of the primary of the latest term.
    pub fn primary(&self) -> usize {
        let state = self.lock();
        let primaries = state.databases.iter().enumerate().filter(|(_, database)| database.primary);
        primaries.max_by_key(|(_, database)| database.term).map_or(0, |(index, _)| index)
    }

    /// Records that a caller saw a commit acknowledged.
    pub fn acknowledge(&self, request: &str) {
        self.lock().acknowledged.push((request.to_owned(), Instant::now()));
    }

    /// Records which commits the log must hold when a read runs.
    pub fn expect(&self, read: &str, commits: &[String]) {
        self.lock().expected.insert(read.to_owned(), commits.to_vec());
    }

    /// Returns the account for which a request ran; `None` if it did not run.
    pub fn account_of(&self, request: &str) -> Option<String> {
        self.lock().accounts.get(request).cloned()
    }

    /// Handles `POST /promotion` and returns the status.
    pub fn promote(self: &Arc<Self>, id: &str, holder: &str, token: u64) -> u16 {
        let mut state = self.lock();
        let line = format!("POST /promotion id={id} holder={holder} token={token}");
        self.record.note(&line);
        let (highest, by) = state.token.clone();
        if token < highest {
            self.record.broken(&format!(
                "ONE: {holder} promotes with token {token} after {by} did with {highest}"
            ));
        } else if token == highest && by != holder {
            self.record.broken(&format!("ONE: {holder} and {by} promote with the same token"));
        }
        state.token = state.token.clone().max((token, holder.to_owned()));
        let Some(index) = state.databases.iter().position(|database| database.id == id) else {
            return 409;
        };
        if state.databases[index].crashed {
            return 409;
        }
        if state.appointed == id || !state.appointing.insert(id.to_owned()) {
            return 200;
        }
        let (group, id) = (self.clone(), id.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(group.promotion);
            group.complete_promotion(index, &id);
        });
        200
    }

    fn complete_promotion(&self, index: usize, id: &str) {
        let mut state = self.lock();
        state.appointing.remove(id);
        if state.databases[index].crashed {
            return self.record.note(&format!("{id} crashed before it was promoted"));
        }
        state.appointed = id.to_owned();
        let term = state.databases.iter().map(|database| database.term).max().unwrap_or(0) + 1;
        let database = &mut state.databases[index];
        database.primary = true;
        database.term = term;
        database.sequence += 1;
        database.beat_at = None;
        let held: BTreeSet<String> =
            database.log.iter().map(|commit| commit.request.clone()).collect();
        let count = held.len();
        self.record.note(&format!("{id} leads term {term} with {count} commits in its log"));
        if self.sync_replicas > 0 {
            let lost: Vec<String> = state
                .acknowledged
                .iter()
                .filter(|(request, _)| !held.contains(request))
                .map(|(request, _)| request.clone())
                .collect();
            for request in lost {
                self.record.broken(&format!(
                    "LOST: commit {request} was acknowledged and is not in the log of {id}"
                ));
            }
        }
        replicate(&mut state);
        self.changed.notify_all();
    }

    /// Lets replicas receive, old primaries step down, and databases register themselves.
    fn tick(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        for index in 0..state.databases.len() {
            let newer = leader_of(&state, index)
                .is_some_and(|leader| state.databases[leader].term > state.databases[index].term);
            let database = &mut state.databases[index];
            if !(database.primary && newer) {
                database.outdated_since = None;
            } else if now - *database.outdated_since.get_or_insert(now) >= DEMOTION_DELAY {
                database.primary = false;
                database.beat_at = None;
                self.record.note(&format!("{} becomes a replica", database.id));
            }
        }
        replicate(&mut state);
        let mut calls = Vec::new();
        for database in &mut state.databases {
            let key = format!("servers/{}", database.id);
            let reaches_store = !database.crashed && database.cut_since.is_none();
            let due = database.beat_at.is_none_or(|at| now - at >= HEARTBEAT);
            if reaches_store && due {
                database.beat_at = Some(now);
                database.registered = true;
                database.sequence += 1;
                calls.push((key, Some(describe(database, &self.name))));
            } else if !reaches_store
                && database.registered
                && database.beat_at.is_none_or(|at| now - at >= SILENCE_MAX)
            {
                database.registered = false;
                self.record.note(&format!("registration of {} removed", database.id));
                calls.push((key, None));
            }
        }
        drop(state);
        self.changed.notify_all();
        for (key, entry) in calls {
            match entry {
                Some(entry) => self.store.put(&key, &entry),
                None => self.store.remove(&key),
            }
        }
    }

    fn accept(self: Arc<Self>, index: usize, listener: TcpListener) {
        let mut listener = Some(listener);
        let port = self.lock().databases[index].port;
        loop {
            let (crashed, cut) = {
                let state = self.lock();
                (state.databases[index].crashed, state.databases[index].cut_since.is_some())
            };
            if crashed {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(("127.0.0.1", port)).ok();
            }
            let accepted = listener.as_ref().filter(|_| !cut).and_then(|listener| {
                listener.set_nonblocking(true).ok()?;
                listener.accept().ok()
            });
            let Some((stream, _)) = accepted else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            drop(stream.set_nonblocking(false));
            drop(stream.set_nodelay(true));
            let (group, number) = (self.clone(), {
                let mut state = self.lock();
                state.next_stream += 1;
                let number = state.next_stream;
                if let Ok(other) = stream.try_clone() {
                    state.databases[index].streams.insert(number, other);
                }
                number
            });
            std::thread::spawn(move || {
                let mut session = Session::new(group, index, stream);
                session.serve();
                let _ = session.stream.shutdown(Shutdown::Both);
                session.group.lock().databases[index].streams.remove(&number);
            });
        }
    }

    /// Commits on a database and waits until enough replicas have received it.
    ///
    /// Returns the error text if it is no primary, and `None` if it crashed meanwhile.
    fn commit(&self, index: usize, request: &str) -> Option<Result<(), String>> {
        let mut state = self.lock();
        let database = &mut state.databases[index];
        if !database.primary {
            return Some(Err(format!("READONLY {}", database.id)));
        }
        let number = database.log.last().map_or(0, |commit| commit.number) + 1;
        let commit = Commit { term: database.term, number, request: request.to_owned() };
        database.log.push(commit.clone());
        replicate(&mut state);
        loop {
            let databases = state.databases.iter().enumerate();
            let received = databases.filter(|(other, replica)| {
                *other != index && replica.log.iter().rev().any(|known| *known == commit)
            });
            if received.count() >= self.sync_replicas {
                return Some(Ok(()));
            }
            state = self.changed.wait_timeout(state, Duration::from_millis(50)).expect("lock").0;
            let database = &state.databases[index];
            if database.crashed || !database.log.contains(&commit) {
                return None;
            }
        }
    }
}

/// Returns the primary of the latest term that a database reaches, other than itself.
fn leader_of(state: &State, index: usize) -> Option<usize> {
    let own = &state.databases[index];
    if own.crashed || own.apart {
        return None;
    }
    let others = state.databases.iter().enumerate();
    let leaders = others.filter(|(other, database)| {
        *other != index && database.primary && !database.crashed && !database.apart
    });
    leaders.max_by_key(|(_, database)| database.term).map(|(leader, _)| leader)
}

/// Lets each replica receive what its primary has; a replica that was ahead is rolled back.
fn replicate(state: &mut State) {
    for index in 0..state.databases.len() {
        if state.databases[index].primary || state.databases[index].deaf {
            continue;
        }
        let Some(leader) = leader_of(state, index) else { continue };
        // A replica does not go back to a primary of an earlier term.
        if state.databases[leader].term < state.databases[index].term {
            continue;
        }
        let (term, length) = (state.databases[leader].term, state.databases[leader].log.len());
        let last = state.databases[leader].log.last().cloned();
        let own = &state.databases[index];
        if own.log.len() == length && own.log.last() == last.as_ref() {
            state.databases[index].term = term;
            continue;
        }
        let log = state.databases[leader].log.clone();
        state.databases[index].log = log;
        state.databases[index].term = term;
    }
}

fn describe(database: &Database, service: &str) -> String {
    let role = if database.primary { "primary" } else { "replica" };
    format!(
        "{{\"service\":\"{service}\",\"address\":\"127.0.0.1:{}\",\"zone\":\"{}\",\
         \"version\":\"1.4\",\"capacity\":3,\"state\":\"ready\",\"cold_remaining_ms\":0,\
         \"sequence\":{},\"db_role\":\"{role}\",\"born\":{}}}",
        database.port, database.zone, database.sequence, database.born
    )
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

#[derive(Debug)]
struct Transaction {
    writes: bool,
    failed: bool,
    read_only: bool,
}

/// A connection to a database.
struct Session {
    group: Arc<Group>,
    index: usize,
    stream: TcpStream,
    buffer: Vec<u8>,
    started: bool,
    /// Account named in the STARTUP message.
    account: String,
    prepared: BTreeMap<String, String>,
    transaction: Option<Transaction>,
}

impl Session {
    fn new(group: Arc<Group>, index: usize, stream: TcpStream) -> Self {
        Self {
            group,
            index,
            stream,
            buffer: Vec::new(),
            started: false,
            account: String::new(),
            prepared: BTreeMap::new(),
            transaction: None,
        }
    }

    /// Serves the connection until it ends.
    fn serve(&mut self) -> Option<()> {
        let limit = Duration::from_millis(50);
        self.stream.set_read_timeout(Some(limit)).ok()?;
        loop {
            let line = self.next_line()?;
            self.wait_for_link()?;
            let answer = self.answer(&line)?;
            self.wait_for_link()?;
            self.stream.write_all(answer.as_bytes()).ok()?;
        }
    }

    /// Waits while the database is cut off; `None` if the connection was dropped meanwhile.
    fn wait_for_link(&self) -> Option<()> {
        let mut since = None;
        loop {
            let state = self.group.lock();
            let database = &state.databases[self.index];
            if database.crashed {
                return None;
            }
            if database.cut_since.is_none() {
                let dropped = since.is_some_and(|since: Instant| since.elapsed() >= DARK_MAX);
                return if dropped { None } else { Some(()) };
            }
            since = since.or(database.cut_since);
            drop(state);
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn next_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(count) => self.buffer.extend_from_slice(&bytes[..count]),
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
                {
                    self.wait_for_link()?;
                }
                Err(_) => return None,
            }
        }
    }

    /// Returns the lines of an answer; `None` ends the connection.
    fn answer(&mut self, line: &str) -> Option<String> {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        let body = match word {
            "STARTUP" if !self.started => {
                let mut words = rest.split(' ');
                let (service, account, id) = (words.next(), words.next(), words.next());
                let own = self.group.lock().databases[self.index].id.clone();
                if service != Some(&self.group.name) || id.is_some_and(|id| id != own) {
                    drop(self.stream.write_all(format!("ERROR WRONGNODE {own}\r\n").as_bytes()));
                    return None;
                }
                self.started = true;
                self.account = account.unwrap_or_default().to_owned();
                String::new()
            }
            "QUERY" if self.started => {
                let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
                match self.run(id, text)? {
                    Ok(body) => body,
                    Err(error) => {
                        if let Some(transaction) = &mut self.transaction {
                            transaction.failed = !error.starts_with("BUSY");
                        }
                        format!("ERROR {error}\r\n")
                    }
                }
            }
            _ => return None,
        };
        let state = match &self.transaction {
            Some(transaction) if transaction.failed => 'E',
            Some(_) => 'T',
            None => 'I',
        };
        let databases = self.group.lock();
        let last = databases.databases[self.index].log.last().cloned();
        let (term, number) = last.map_or((1, 0), |commit| (commit.term, commit.number));
        Some(format!("{body}READY {state} {term}.{number}\r\n"))
    }

    /// Runs a statement. `None` ends the connection; an error is the code and text of the answer.
    fn run(&mut self, request: &str, text: &str) -> Option<Result<String, String>> {
        let plain = || Some(Ok("COMPLETE -\r\n".to_owned()));
        let (text, after) = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (point, text) = rest.split_once(' ')?;
                (text, Some(point.to_owned()))
            }
            None => (text, None),
        };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let (id, primary) = {
            let state = self.group.lock();
            let database = &state.databases[self.index];
            (database.id.clone(), database.primary)
        };
        if let Some(point) = after {
            let (term, number) = point.split_once('.')?;
            let point = (term.parse::<u64>().ok()?, number.parse::<u64>().ok()?);
            let state = self.group.lock();
            let last = state.databases[self.index].log.last().cloned();
            if last.is_none_or(|commit| (commit.term, commit.number) < point) {
                return Some(Err(format!("LAGGING {id}")));
            }
        }
        if let Some(transaction) = &self.transaction {
            let lost = !transaction.read_only && !primary;
            if transaction.failed && word != "ROLLBACK" && word != "COMMIT" {
                return Some(Err("MALFORMED the transaction failed".to_owned()));
            }
            if lost && word != "ROLLBACK" && (word != "COMMIT" || transaction.writes) {
                if word == "COMMIT" {
                    self.transaction = None;
                }
                return Some(Err(format!("READONLY {id}")));
            }
        }
        match word {
            "BEGIN" if self.transaction.is_none() => {
                let read_only = rest == "READ";
                if !read_only && !primary {
                    return Some(Err(format!("READONLY {id}")));
                }
                self.transaction = Some(Transaction { writes: false, failed: false, read_only });
                plain()
            }
            "ROLLBACK" => {
                self.transaction = None;
                plain()
            }
            "COMMIT" => {
                let Some(transaction) = self.transaction.take() else {
                    return Some(Err("MALFORMED no transaction is open".to_owned()));
                };
                if transaction.failed {
                    return Some(Err("FAILED the transaction failed".to_owned()));
                }
                self.execute(request, text, transaction.writes)
            }
            "SET" => plain(),
            "DISCARD" => {
                self.prepared.clear();
                plain()
            }
            "PARSE" => {
                let mut words = rest.splitn(3, ' ');
                let (name, kind) = (words.next()?, words.next()?);
                self.prepared.insert(name.to_owned(), kind.to_owned());
                plain()
            }
            "CLOSE" => {
                self.prepared.remove(rest);
                plain()
            }
            "READ" | "WRITE" => self.statement(request, text, word),
            "EXECUTE" => {
                let name = rest.split(' ').next()?;
                match self.prepared.get(name).cloned() {
                    Some(kind) => self.statement(request, text, &kind),
                    None => Some(Err(format!("NOSTMT {name}"))),
                }
            }
            "STATUS" | "STEPDOWN" => {
                let mut state = self.group.lock();
                let database = &mut state.databases[self.index];
                let term: u64 = rest.parse().unwrap_or(0);
                if word == "STEPDOWN" && database.primary && database.term < term {
                    database.primary = false;
                    database.beat_at = None;
                    self.group.record.note(&format!("{id} steps down for term {term}"));
                }
                let role = if database.primary { "primary" } else { "replica" };
                let term = database.term;
                let last = database.log.last().cloned();
                let (held, number) = last.map_or((1, 0), |commit| (commit.term, commit.number));
                Some(Ok(format!(
                    "DATAROW {role} {term} {held}.{number} {term} 0 0 1\r\nCOMPLETE -\r\n"
                )))
            }
            _ => Some(Err(format!("MALFORMED {word}"))),
        }
    }

    fn statement(
        &mut self,
        request: &str,
        text: &str,
        kind: &str,
    ) -> Option<Result<String, String>> {
        let writes = kind == "WRITE";
        let (id, primary) = {
            let state = self.group.lock();
            let database = &state.databases[self.index];
            (database.id.clone(), database.primary)
        };
        if writes && !primary {
            return Some(Err(format!("READONLY {id}")));
        }
        match &mut self.transaction {
            Some(transaction) => {
                transaction.writes |= writes;
                self.execute(request, text, false)
            }
            None => self.execute(request, text, writes),
        }
    }

    /// Signs a run, and commits if `commits` is set.
    fn execute(
        &mut self,
        request: &str,
        text: &str,
        commits: bool,
    ) -> Option<Result<String, String>> {
        std::thread::sleep(WORK);
        if commits && let Err(error) = self.group.commit(self.index, request)? {
            return Some(Err(error));
        }
        let mut state = self.group.lock();
        let number = state.runs;
        state.runs += 1;
        let id = state.databases[self.index].id.clone();
        let account = self.account.clone();
        self.group.record.note(&format!("{id} ran {request} for {account}"));
        state.accounts.insert(request.to_owned(), account);
        for commit in state.expected.get(request).into_iter().flatten() {
            let log = &state.databases[self.index].log;
            if !log.iter().any(|known| known.request == *commit) {
                self.group.record.broken(&format!(
                    "STALE: read {request} ran on {id}, whose log lacks {commit} of its session"
                ));
            }
        }
        let word = text.split(' ').next().unwrap_or_default();
        let rows = if word == "READ" { format!("DATAROW row{number}\r\n") } else { String::new() };
        Some(Ok(format!("{rows}COMPLETE 7.{number:x}.{request}\r\n")))
    }
}
