//! A fleet of proxy cores in virtual time, before fake databases and a fake store.
//!
//! After each answer the truth of the fakes is held against what must hold; what does not is
//! collected in `faults`.

pub(crate) mod fake_database;
pub(crate) mod fake_store;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use quetzaldeal::core::arena_keys;
use quetzaldeal::core::clock_time;
use quetzaldeal::core::core_message;
use quetzaldeal::core::request_verdict;
use quetzaldeal::proxy::endpoint_command;
use quetzaldeal::proxy::proxy_config;
use quetzaldeal::proxy::proxy_context;
use quetzaldeal::proxy::proxy_core;
use quetzaldeal::proxy::proxy_message;
use quetzaldeal::proxy::proxy_tuning;
use quetzaldeal::proxy::session_request;
use quetzaldeal::proxy::store_message;
use quetzaldeal::proxy::store_record;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time between a host and a database or a peer, one way, in microseconds.
const NEAR_US: u64 = 1_000;
/// Time between a host and the store, one way, in microseconds.
const STORE_US: u64 = 2_000;
/// Time from a promotion's acceptance to its effect, in microseconds.
const PROMOTE_US: u64 = 1_000_000;
/// Time after which a replaced primary that was told nothing notices by itself, in microseconds.
const NOTICE_US: u64 = 1_000_000;

/// A place that can be cut off from another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Place {
    /// A host, by number.
    Host(usize),
    /// A database, by id.
    Database(String),
    /// The store and the appointments.
    Store,
}

/// A caller's answer and when it came.
#[derive(Debug, Clone)]
pub(crate) struct TimedAnswer {
    /// When, in microseconds.
    pub(crate) at: u64,
    /// The answer.
    pub(crate) response: proxy_message::CallerResponse,
}

impl TimedAnswer {
    /// Whether the request ran.
    pub(crate) fn ran(&self) -> bool {
        self.response.verdict.fate == request_verdict::RequestFate::Ran
    }
}

#[derive(Debug)]
enum Step {
    Wake {
        host: usize,
        life: u64,
    },
    Event {
        host: usize,
        life: u64,
        event: proxy_message::ProxyEvent,
    },
    Connect {
        host: usize,
        life: u64,
        connection: arena_keys::ConnectionKey,
        endpoint: String,
    },
    Command {
        host: usize,
        life: u64,
        connection: arena_keys::ConnectionKey,
        command: endpoint_command::EndpointCommand,
    },
    Run {
        host: usize,
        life: u64,
        connection: arena_keys::ConnectionKey,
        command: endpoint_command::EndpointCommand,
    },
    Replicate {
        from: String,
        to: String,
        length: usize,
        term: u64,
    },
    Lead {
        group: String,
        endpoint: String,
    },
    Notice {
        endpoint: String,
        term: u64,
    },
    Store {
        host: usize,
        life: u64,
        call: core_message::CallId,
        request: store_message::StoreRequest,
    },
    Expire,
}

#[derive(Debug)]
struct FakeHost {
    core: proxy_core::ProxyCore,
    life: u64,
    alive: bool,
    ready: bool,
    stopped: bool,
    next_timer: u64,
    /// What its clock is behind by, in microseconds.
    behind: u64,
    /// Until when it neither hears nor does anything, though its clock runs on.
    frozen_until: u64,
    /// How much later than others it hears, in microseconds.
    slow: u64,
    /// Whether the store turns its calls away at once.
    denied: bool,
}

impl FakeHost {
    fn new(core: proxy_core::ProxyCore, life: u64, behind: u64) -> Self {
        Self {
            core,
            life,
            alive: true,
            ready: false,
            stopped: false,
            next_timer: u64::MAX,
            behind,
            frozen_until: 0,
            slow: 0,
            denied: false,
        }
    }
}

#[derive(Debug)]
struct FakeLink {
    endpoint: String,
    account: String,
    session: fake_database::FakeSession,
}

/// What a caller asked for.
#[derive(Debug, Clone)]
struct AskedRequest {
    at: u64,
    account: String,
    database: String,
    session: (usize, core_message::CallerId),
}

/// An acknowledged write.
#[derive(Debug, Clone)]
struct AckedWrite {
    at: u64,
    group: String,
    request: String,
    session: (usize, core_message::CallerId),
}

/// The fleet.
#[derive(Debug)]
pub(crate) struct ProxyFleet {
    /// Microseconds since the start.
    pub(crate) now: u64,
    /// The store.
    pub(crate) store: fake_store::FakeStore,
    /// Databases by id.
    pub(crate) databases: BTreeMap<String, fake_database::FakeDatabase>,
    /// What did not hold.
    pub(crate) faults: Vec<String>,
    /// Times of operations that databases ran, by account, in microseconds.
    pub(crate) ran: BTreeMap<String, Vec<u64>>,
    /// Part of the databases' answers that is lost.
    pub(crate) lost_answers: f64,
    /// Part of the hosts' datagrams that is lost.
    pub(crate) lost_datagrams: f64,
    config: proxy_config::ProxyConfig,
    hosts: Vec<FakeHost>,
    cuts: BTreeSet<(Place, Place)>,
    queue: BTreeMap<(u64, u64), Step>,
    next_step: u64,
    connections: HashMap<(usize, u64, arena_keys::ConnectionKey), FakeLink>,
    answers: HashMap<(usize, core_message::CallerId), VecDeque<TimedAnswer>>,
    greetings: HashMap<(usize, core_message::CallerId), Option<request_verdict::RequestVerdict>>,
    sessions: HashMap<(usize, core_message::CallerId), (String, String)>,
    asked: HashMap<String, AskedRequest>,
    counted: BTreeSet<String>,
    /// Requests that await answers, oldest first, and whether each writes.
    sent: HashMap<(usize, core_message::CallerId), VecDeque<(String, bool)>>,
    /// Writes of open transactions.
    has_writes: HashMap<(usize, core_message::CallerId), Vec<String>>,
    acked: Vec<AckedWrite>,
    values: HashMap<(usize, core_message::CallerId), BTreeMap<String, String>>,
    next_caller: core_message::CallerId,
    next_request: u64,
    rng: SmallRng,
    tuning: proxy_tuning::ProxyTuning,
}

impl ProxyFleet {
    /// A fleet of `hosts` hosts before one group of three databases; accounts as given by name,
    /// rate and burst. The key of an account is its name.
    pub(crate) fn new(hosts: usize, accounts: &[(&str, f64, f64)], seed: u64) -> Self {
        Self::with_tuning(hosts, accounts, seed, proxy_tuning::ProxyTuning::default())
    }

    /// A fleet with bounds of its own.
    pub(crate) fn with_tuning(
        hosts: usize,
        accounts: &[(&str, f64, f64)],
        seed: u64,
        tuning: proxy_tuning::ProxyTuning,
    ) -> Self {
        let mut fleet = Self {
            now: 10_000_000,
            store: fake_store::FakeStore::default(),
            databases: BTreeMap::new(),
            faults: Vec::new(),
            ran: BTreeMap::new(),
            lost_answers: 0.0,
            lost_datagrams: 0.0,
            config: build_config(accounts),
            hosts: Vec::new(),
            cuts: BTreeSet::new(),
            queue: BTreeMap::new(),
            next_step: 0,
            connections: HashMap::new(),
            answers: HashMap::new(),
            greetings: HashMap::new(),
            sessions: HashMap::new(),
            asked: HashMap::new(),
            counted: BTreeSet::new(),
            sent: HashMap::new(),
            has_writes: HashMap::new(),
            acked: Vec::new(),
            values: HashMap::new(),
            next_caller: 1,
            next_request: 1,
            rng: SmallRng::seed_from_u64(seed),
            tuning,
        };
        for number in 0..3 {
            let id = format!("db{number}");
            let database = fake_database::FakeDatabase {
                group: "orders".to_owned(),
                data_centre: format!("centre{number}"),
                up: true,
                primary: number == 0,
                term: 1,
                log: Vec::new(),
                transaction: 5_000,
                lag: 20_000,
            };
            fleet.databases.insert(id.clone(), database);
            fleet.register(&id, false);
        }
        fleet.publish();
        for number in 0..hosts {
            fleet.add_host(number);
        }
        fleet.push(fleet.now, Step::Expire);
        fleet
    }

    /// Adds up one of the counts of the hosts that run.
    pub(crate) fn sum(&self, count: impl Fn(&proxy_context::ProxyCounts) -> u64) -> u64 {
        let running = self.hosts.iter().filter(|host| host.alive);
        running.map(|host| count(&host.core.context().counts)).sum()
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, span: Duration) {
        let until = self.now + span.as_micros() as u64;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), step) = entry.remove_entry();
            self.now = at;
            self.step(step);
        }
        self.now = until;
    }

    /// Changes the configuration and publishes it as the next version.
    pub(crate) fn reconfigure(&mut self, change: impl FnOnce(&mut proxy_config::ProxyConfig)) {
        change(&mut self.config);
        self.config.version += 1;
        self.publish();
    }

    /// Cuts two places off from each other, both ways.
    pub(crate) fn cut(&mut self, one: Place, other: Place) {
        self.cuts.insert((one.clone(), other.clone()));
        self.cuts.insert((other, one));
    }

    /// Ends all cuts.
    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Kills a host.
    pub(crate) fn kill_host(&mut self, host: usize) {
        self.hosts[host].alive = false;
        self.store.forget_host(host);
        let life = self.hosts[host].life;
        self.connections.retain(|(other, lived, _), _| *other != host || *lived != life);
        self.sessions.retain(|(other, _), _| *other != host);
    }

    /// Starts a killed host again; it knows nothing, and its clock is behind by a span.
    pub(crate) fn start_host(&mut self, host: usize, behind: Duration) {
        let life = self.hosts[host].life + 1;
        let seed = self.rng.random();
        let behind = behind.as_micros() as u64;
        let core = build_core(host, life, self.now - behind, &self.tuning, seed);
        self.hosts[host] = FakeHost::new(core, life, behind);
        self.push(self.now, Step::Wake { host, life });
    }

    /// Freezes a host for a span; what reaches it meanwhile waits.
    pub(crate) fn freeze_host(&mut self, host: usize, span: Duration) {
        self.hosts[host].frozen_until = self.now + span.as_micros() as u64;
    }

    /// Makes a host hear everything later by a span.
    pub(crate) fn slow_host(&mut self, host: usize, span: Duration) {
        self.hosts[host].slow = span.as_micros() as u64;
    }

    /// Has the store turn a host's calls away, or serve them again.
    pub(crate) fn deny_host(&mut self, host: usize, denied: bool) {
        self.hosts[host].denied = denied;
    }

    /// Resets all connections of a host to databases.
    pub(crate) fn reset_links(&mut self, host: usize) {
        let life = self.hosts[host].life;
        let own = |key: &&(usize, u64, arena_keys::ConnectionKey)| key.0 == host && key.1 == life;
        let connections: Vec<_> = self.connections.keys().filter(own).copied().collect();
        for (_, _, connection) in connections {
            self.connections.remove(&(host, life, connection));
            let event = proxy_message::ProxyEvent::ConnectionClosed { connection, refused: false };
            self.push(self.now + NEAR_US, Step::Event { host, life, event });
        }
    }

    /// Asks a host to stop.
    pub(crate) fn stop_host(&mut self, host: usize) {
        self.give(host, proxy_message::ProxyEvent::ShutdownRequested);
    }

    /// Ends a database's process; its registration lapses when `lapse` says so.
    pub(crate) fn crash(&mut self, id: &str, lapse: bool) {
        if let Some(database) = self.databases.get_mut(id) {
            database.up = false;
        }
        let broken: Vec<(usize, u64, arena_keys::ConnectionKey)> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.endpoint == id)
            .map(|(key, _)| *key)
            .collect();
        for key in broken {
            self.connections.remove(&key);
            let (host, life, connection) = key;
            let event = proxy_message::ProxyEvent::ConnectionClosed { connection, refused: false };
            self.push(self.now + NEAR_US, Step::Event { host, life, event });
        }
        if lapse {
            self.unregister(id);
        }
    }

    /// Starts a crashed database again with its log.
    pub(crate) fn restart(&mut self, id: &str) {
        let term = self.databases.values().map(|database| database.term).max().unwrap_or(1);
        if let Some(database) = self.databases.get_mut(id) {
            database.up = true;
            database.primary &= database.term == term;
        }
        self.register(id, false);
    }

    /// Takes a database's registration out of the store.
    pub(crate) fn unregister(&mut self, id: &str) {
        let subject = store_message::ItemSubject::Endpoint(id.to_owned());
        let answers = self.store.put(subject, None);
        self.deliver(answers);
    }

    /// Writes a database's registration to the store.
    pub(crate) fn register(&mut self, id: &str, draining: bool) {
        let Some(database) = self.databases.get(id) else { return };
        let entry = store_message::EndpointRegistration {
            id: id.to_owned(),
            group: database.group.clone(),
            address: format!("10.0.0.{}:1", id.trim_start_matches("db")),
            data_centre: database.data_centre.clone(),
            slots: 3,
            draining,
            primary: database.primary,
            born: 1,
        };
        let subject = store_message::ItemSubject::Endpoint(id.to_owned());
        let answers = self.store.put(subject, Some(store_message::ItemContent::Endpoint(entry)));
        self.deliver(answers);
    }

    /// Asks for a data centre's evacuation, or takes it back.
    pub(crate) fn evacuate(&mut self, centre: &str, on: bool) {
        let subject = store_message::ItemSubject::Evacuation(centre.to_owned());
        let body = on.then_some(store_message::ItemContent::Evacuation);
        let answers = self.store.put(subject, body);
        self.deliver(answers);
    }

    /// Drops the store's history.
    pub(crate) fn compact_store(&mut self) {
        let answers = self.store.compact();
        self.deliver(answers);
    }

    /// Returns the id of the database that leads in the newest term.
    pub(crate) fn leader(&self) -> String {
        let leads = self.databases.iter().filter(|(_, database)| database.primary);
        let leads = leads.max_by_key(|(_, database)| database.term);
        leads.map(|(id, _)| id.clone()).unwrap_or_default()
    }

    /// Returns the core of a host.
    pub(crate) fn core(&self, host: usize) -> &proxy_core::ProxyCore {
        &self.hosts[host].core
    }

    /// Whether a host says that new callers are welcome.
    pub(crate) fn ready(&self, host: usize) -> bool {
        self.hosts[host].ready
    }

    /// Whether a host has ended after it was asked to stop.
    pub(crate) fn stopped(&self, host: usize) -> bool {
        self.hosts[host].stopped
    }

    /// Opens a session and returns its number.
    pub(crate) fn open(
        &mut self,
        host: usize,
        account: &str,
        database: &str,
    ) -> core_message::CallerId {
        let caller = self.next_caller;
        self.next_caller += 1;
        self.sessions.insert((host, caller), (account.to_owned(), database.to_owned()));
        let (database, key) = (database.to_owned(), account.to_owned());
        self.give(host, proxy_message::ProxyEvent::CallerOpened { caller, database, key });
        caller
    }

    /// Returns the refusal that a session was greeted with, if it was one.
    pub(crate) fn greeting(
        &self,
        host: usize,
        caller: core_message::CallerId,
    ) -> Option<request_verdict::RequestVerdict> {
        self.greetings.get(&(host, caller)).cloned().flatten()
    }

    /// Closes a session.
    pub(crate) fn close(&mut self, host: usize, caller: core_message::CallerId) {
        self.sessions.remove(&(host, caller));
        self.give(host, proxy_message::ProxyEvent::CallerClosed { caller });
    }

    /// Sends a request without waiting; returns its id.
    pub(crate) fn send(
        &mut self,
        host: usize,
        caller: core_message::CallerId,
        request: session_request::SessionRequest,
    ) -> String {
        let id = format!("r{}", self.next_request);
        self.next_request += 1;
        let (account, database) = self.sessions.get(&(host, caller)).cloned().unwrap_or_default();
        let asked = AskedRequest { at: self.now, account, database, session: (host, caller) };
        self.asked.insert(id.clone(), asked);
        if let session_request::SessionRequest::Set { name, value } = &request {
            let values = self.values.entry((host, caller)).or_default();
            values.insert(name.clone(), value.clone());
        }
        let writes = matches!(
            request,
            session_request::SessionRequest::Statement {
                kind: session_request::StatementKind::Write,
                ..
            }
        );
        self.sent.entry((host, caller)).or_default().push_back((id.clone(), writes));
        let event = proxy_message::ProxyEvent::RequestReceived { caller, id: id.clone(), request };
        self.give(host, event);
        id
    }

    /// Sends a request and waits for its answer, up to three seconds.
    pub(crate) fn ask(
        &mut self,
        host: usize,
        caller: core_message::CallerId,
        request: session_request::SessionRequest,
    ) -> Option<TimedAnswer> {
        self.answers.entry((host, caller)).or_default().clear();
        self.send(host, caller, request);
        for _ in 0..3_000 {
            if let Some(answer) = self.take_answer(host, caller) {
                return Some(answer);
            }
            self.run(Duration::from_millis(1));
        }
        None
    }

    /// Takes the oldest answer that has not been taken.
    pub(crate) fn take_answer(
        &mut self,
        host: usize,
        caller: core_message::CallerId,
    ) -> Option<TimedAnswer> {
        self.answers.get_mut(&(host, caller))?.pop_front()
    }

    /// Returns the most operations of an account that databases ran within any span.
    pub(crate) fn most_within(&self, account: &str, span: Duration) -> usize {
        let Some(times) = self.ran.get(account) else { return 0 };
        let span = span.as_micros() as u64;
        let ends = |start: usize| times.partition_point(|at| *at < times[start] + span);
        (0..times.len()).map(|start| ends(start) - start).max().unwrap_or(0)
    }

    fn publish(&mut self) {
        let config = Arc::new(self.config.clone());
        let body = store_message::ItemContent::Config(config);
        let answers = self.store.put(store_message::ItemSubject::Config, Some(body));
        self.deliver(answers);
    }

    fn add_host(&mut self, number: usize) {
        let seed = self.rng.random();
        let core = build_core(number, 1, self.now, &self.tuning, seed);
        self.hosts.push(FakeHost::new(core, 1, 0));
        let with_jitter = number as u64 * 30_000;
        self.push(self.now + with_jitter, Step::Wake { host: number, life: 1 });
    }

    fn push(&mut self, at: u64, step: Step) {
        let late = match &step {
            Step::Event { host, .. } => self.hosts[*host].slow,
            _ => 0,
        };
        let at = at + late;
        self.queue.insert((at, self.next_step), step);
        self.next_step += 1;
    }

    fn reach(&self, from: &Place, to: &Place) -> bool {
        !self.cuts.contains(&(from.clone(), to.clone()))
    }

    fn give(&mut self, host: usize, event: proxy_message::ProxyEvent) {
        if !self.hosts[host].alive {
            return;
        }
        let behind = self.hosts[host].behind;
        let now = clock_time::ClockTime::from_micros(self.now - behind);
        let actions = self.hosts[host].core.handle(now, event);
        for action in actions {
            self.perform(host, action);
        }
        let wake = self.hosts[host].core.next_timer();
        let wake = wake.map_or(u64::MAX, |wake| (wake.as_micros() + behind).max(self.now));
        if wake < self.hosts[host].next_timer || self.hosts[host].next_timer <= self.now {
            self.hosts[host].next_timer = wake;
            let life = self.hosts[host].life;
            self.push(wake, Step::Wake { host, life });
        }
    }

    fn deliver(&mut self, answers: Vec<fake_store::StoreAnswer>) {
        for (host, call, reply) in answers {
            if !self.reach(&Place::Store, &Place::Host(host)) {
                continue;
            }
            let life = self.hosts[host].life;
            let event = proxy_message::ProxyEvent::StoreReplied { call, reply };
            self.push(self.now + STORE_US, Step::Event { host, life, event });
        }
    }

    fn step(&mut self, step: Step) {
        if let Step::Wake { host, life } | Step::Event { host, life, .. } = &step
            && self.hosts[*host].life == *life
            && self.hosts[*host].frozen_until > self.now
        {
            let thaw = self.hosts[*host].frozen_until;
            return self.push(thaw, step);
        }
        match step {
            Step::Wake { host, life } => {
                if self.hosts[host].life == life && self.hosts[host].next_timer >= self.now {
                    self.hosts[host].next_timer = self.now;
                }
                if self.hosts[host].life == life {
                    self.give(host, proxy_message::ProxyEvent::TimerFired);
                }
            }
            Step::Event { host, life, event } => {
                if self.hosts[host].life == life {
                    self.give(host, event);
                }
            }
            Step::Connect { host, life, connection, endpoint } => {
                self.connect(host, life, connection, &endpoint);
            }
            Step::Command { host, life, connection, command } => {
                self.arrive(host, life, connection, command);
            }
            Step::Run { host, life, connection, command } => {
                self.execute(host, life, connection, command)
            }
            Step::Replicate { from, to, length, term } => {
                self.replicate(&from, &to, length, term);
            }
            Step::Lead { group, endpoint } => self.lead(&group, &endpoint),
            Step::Notice { endpoint, term } => {
                if let Some(database) = self.databases.get_mut(&endpoint)
                    && database.term < term
                    && database.primary
                {
                    database.primary = false;
                    self.register(&endpoint, false);
                }
            }
            Step::Store { host, life, call, request } => {
                let reachable = self.reach(&Place::Host(host), &Place::Store);
                if self.hosts[host].life == life && reachable {
                    let now = self.now;
                    let answers = match self.hosts[host].denied {
                        true => vec![(host, call, store_message::StoreReply::Refused)],
                        false => self.store.take(now, host, call, request),
                    };
                    self.deliver(answers);
                }
            }
            Step::Expire => {
                let answers = self.store.expire(self.now);
                self.deliver(answers);
                self.push(self.now + 50_000, Step::Expire);
            }
        }
    }

    fn perform(&mut self, host: usize, action: proxy_message::ProxyAction) {
        let life = self.hosts[host].life;
        match action {
            proxy_message::ProxyAction::AcceptCaller { caller, refusal } => {
                self.greetings.insert((host, caller), refusal);
            }
            proxy_message::ProxyAction::RespondToCaller { caller, response } => {
                self.check_answer(host, caller, &response);
                let timed = TimedAnswer { at: self.now, response };
                self.answers.entry((host, caller)).or_default().push_back(timed);
            }
            proxy_message::ProxyAction::CloseCaller { caller } => {
                self.sessions.remove(&(host, caller));
            }
            proxy_message::ProxyAction::OpenConnection {
                connection, account, endpoint, ..
            } => {
                let session = fake_database::FakeSession::default();
                let fake = FakeLink { endpoint: endpoint.clone(), account, session };
                self.connections.insert((host, life, connection), fake);
                self.push(
                    self.now + 2 * NEAR_US,
                    Step::Connect { host, life, connection, endpoint },
                );
            }
            proxy_message::ProxyAction::SendCommand { connection, command } => {
                self.push(self.now + NEAR_US, Step::Command { host, life, connection, command });
            }
            proxy_message::ProxyAction::CloseConnection { connection } => {
                self.connections.remove(&(host, life, connection));
            }
            proxy_message::ProxyAction::CallStore { call, request } => {
                let wait = match &request {
                    store_message::StoreRequest::Watch { wait, .. } => wait.as_micros() as u64,
                    _ => 0,
                };
                self.push(self.now + STORE_US, Step::Store { host, life, call, request });
                let late = self.now + if wait > 0 { wait + 600_000 } else { 1_200_000 };
                let event = proxy_message::ProxyEvent::StoreReplied {
                    call,
                    reply: store_message::StoreReply::NoReply,
                };
                self.push(late, Step::Event { host, life, event });
            }
            proxy_message::ProxyAction::Promote { call, group, endpoint, .. } => {
                let running = self.databases.get(&endpoint).is_some_and(|database| database.up);
                let reachable = self.reach(&Place::Host(host), &Place::Store);
                let reply = match (reachable, running) {
                    (false, _) => proxy_message::PromotionReply::NoReply,
                    (_, true) => proxy_message::PromotionReply::Accepted,
                    (_, false) => proxy_message::PromotionReply::Rejected,
                };
                if reply == proxy_message::PromotionReply::Accepted {
                    self.push(self.now + PROMOTE_US, Step::Lead { group, endpoint });
                }
                let event = proxy_message::ProxyEvent::PromotionReplied { call, reply };
                self.push(self.now + 2 * STORE_US, Step::Event { host, life, event });
            }
            proxy_message::ProxyAction::SendDatagram { address, message } => {
                let peer = (0..self.hosts.len()).find(|peer| peer_address(*peer) == address);
                let Some(peer) = peer else { return };
                let lost =
                    self.lost_datagrams > 0.0 && self.rng.random::<f64>() < self.lost_datagrams;
                if !lost && self.reach(&Place::Host(host), &Place::Host(peer)) {
                    let life = self.hosts[peer].life;
                    let event = proxy_message::ProxyEvent::DatagramReceived { message };
                    self.push(self.now + NEAR_US, Step::Event { host: peer, life, event });
                }
            }
            proxy_message::ProxyAction::SetReadiness { ready } => self.hosts[host].ready = ready,
            proxy_message::ProxyAction::Stop => {
                self.hosts[host].stopped = true;
            }
        }
    }

    fn connect(
        &mut self,
        host: usize,
        life: u64,
        connection: arena_keys::ConnectionKey,
        endpoint: &str,
    ) {
        let place = Place::Database(endpoint.to_owned());
        if !self.reach(&Place::Host(host), &place)
            || !self.connections.contains_key(&(host, life, connection))
        {
            return;
        }
        let Some(database) = self.databases.get(endpoint) else { return };
        let event = if database.up {
            let response = endpoint_command::EndpointResponse {
                rows: Vec::new(),
                outcome: Ok(String::new()),
                phase: endpoint_command::SessionPhase::Idle,
                position: Some(database.position()),
                report: None,
            };
            proxy_message::ProxyEvent::ConnectionOpened { connection, response }
        } else {
            self.connections.remove(&(host, life, connection));
            proxy_message::ProxyEvent::ConnectionClosed { connection, refused: true }
        };
        self.push(self.now + NEAR_US, Step::Event { host, life, event });
    }

    fn arrive(
        &mut self,
        host: usize,
        life: u64,
        connection: arena_keys::ConnectionKey,
        command: endpoint_command::EndpointCommand,
    ) {
        let Some(fake) = self.connections.get(&(host, life, connection)) else { return };
        if !self.reach(&Place::Host(host), &Place::Database(fake.endpoint.clone())) {
            return;
        }
        let transaction =
            if command.is_from_caller() { self.databases[&fake.endpoint].transaction } else { 0 };
        self.push(self.now + transaction, Step::Run { host, life, connection, command });
    }

    fn execute(
        &mut self,
        host: usize,
        life: u64,
        connection: arena_keys::ConnectionKey,
        command: endpoint_command::EndpointCommand,
    ) {
        let Some(fake) = self.connections.get_mut(&(host, life, connection)) else { return };
        let endpoint = fake.endpoint.clone();
        let account = fake.account.clone();
        let Some(database) = self.databases.get_mut(&endpoint).filter(|database| database.up)
        else {
            return;
        };
        let request = match &command {
            endpoint_command::EndpointCommand::Run { id, .. } => Some(id.clone()),
            _ => None,
        };
        let (response, effect) = database.run(&mut fake.session, command);
        if let Some(request) = request {
            self.note_run(&request, &account);
        }
        match effect {
            fake_database::StatementEffect::Read { request, values } => {
                self.check_read(&endpoint, &request, &values);
            }
            fake_database::StatementEffect::Committed => self.with_jitter(&endpoint),
            fake_database::StatementEffect::Nothing => {}
        }
        let lost = self.rng.random::<f64>() < self.lost_answers;
        let place = Place::Database(endpoint);
        if !lost && self.reach(&place, &Place::Host(host)) {
            let event = proxy_message::ProxyEvent::ResponseReceived { connection, response };
            self.push(self.now + NEAR_US, Step::Event { host, life, event });
        }
    }

    fn with_jitter(&mut self, from: &str) {
        let length = self.databases[from].log.len();
        let term = self.databases[from].term;
        let replicas: Vec<(String, u64)> = self
            .databases
            .iter()
            .filter(|(id, _)| id.as_str() != from)
            .map(|(id, database)| (id.clone(), database.lag))
            .collect();
        for (to, lag) in replicas {
            let from = from.to_owned();
            self.push(self.now + lag, Step::Replicate { from, to, length, term });
        }
    }

    fn replicate(&mut self, from: &str, to: &str, length: usize, term: u64) {
        let reachable =
            self.reach(&Place::Database(from.to_owned()), &Place::Database(to.to_owned()));
        let leads = self.databases[from].up && self.databases[from].primary;
        let newest = self.databases[to].term <= term;
        if !reachable || !leads || !newest || self.databases[from].term != term {
            return;
        }
        let log = self.databases[from].log[..length.min(self.databases[from].log.len())].to_vec();
        if let Some(database) = self.databases.get_mut(to).filter(|database| database.up)
            && (database.log.len() < log.len() || database.term < term)
        {
            database.log = log;
            database.term = term;
            database.primary = false;
        }
    }

    fn lead(&mut self, group: &str, endpoint: &str) {
        let newest = self.databases.values().map(|database| database.term).max().unwrap_or(1);
        let already = self.databases[endpoint].primary && self.databases[endpoint].term == newest;
        if already || !self.databases[endpoint].up {
            return;
        }
        let term = newest + 1;
        let others: Vec<String> =
            self.databases.keys().filter(|id| id.as_str() != endpoint).cloned().collect();
        if let Some(database) = self.databases.get_mut(endpoint) {
            database.primary = true;
            database.term = term;
        }
        let kept: BTreeSet<String> = self.databases[endpoint]
            .log
            .iter()
            .flat_map(|entry| entry.requests.iter().cloned())
            .collect();
        self.acked.retain(|write| write.group != group || kept.contains(&write.request));
        self.register(endpoint, false);
        self.with_jitter(endpoint);
        for other in others {
            self.push(self.now + NOTICE_US, Step::Notice { endpoint: other, term });
        }
    }

    fn note_run(&mut self, request: &str, account: &str) {
        let Some(asked) = self.asked.get(request) else {
            return self.faults.push(format!("a statement ran that nobody sent: {request}"));
        };
        if asked.account != account {
            self.faults.push(format!("{request} of {} ran for {account}", asked.account));
        }
        if self.counted.insert(request.to_owned()) {
            let (account, now) = (asked.account.clone(), self.now);
            self.ran.entry(account).or_default().push(now);
        }
    }

    fn check_read(&mut self, endpoint: &str, request: &str, values: &BTreeMap<String, String>) {
        let Some(asked) = self.asked.get(request).cloned() else { return };
        let expected = self.values.get(&asked.session).cloned().unwrap_or_default();
        if *values != expected {
            self.faults.push(format!("{request} saw values {values:?}, not {expected:?}"));
        }
        let Some(route) = self.config.routes.get(&asked.database) else { return };
        let age = route.kind.max_age().map_or(0, |age| age.as_micros() as u64);
        let own = matches!(route.kind, proxy_config::RouteKind::ReadYourWrites { .. });
        let held: BTreeSet<&String> =
            self.databases[endpoint].log.iter().flat_map(|entry| entry.requests.iter()).collect();
        let missing = self.acked.iter().find(|write| {
            let due = write.at + age < asked.at;
            let session = own && write.session == asked.session && write.at < asked.at;
            write.group == route.group && (due || session) && !held.contains(&write.request)
        });
        if let Some(write) = missing {
            self.faults.push(format!(
                "stale: {request} on {endpoint} at {} lacks {} acknowledged at {}",
                self.now, write.request, write.at
            ));
        }
    }

    fn check_answer(
        &mut self,
        host: usize,
        caller: core_message::CallerId,
        answer: &proxy_message::CallerResponse,
    ) {
        let session = (host, caller);
        let Some((id, writes)) = self.sent.get_mut(&session).and_then(VecDeque::pop_front) else {
            return self.faults.push(format!("an answer to nothing at host {host}"));
        };
        if writes {
            self.has_writes.entry(session).or_default().push(id);
        }
        if answer.phase == endpoint_command::SessionPhase::Open {
            return;
        }
        let pending = self.has_writes.remove(&session).unwrap_or_default();
        for request in pending {
            let leader = self.leader();
            let held = |id: &String| {
                self.databases[id].log.iter().any(|entry| entry.requests.contains(&request))
            };
            let twice = self.databases[&leader]
                .log
                .iter()
                .filter(|entry| entry.requests.contains(&request))
                .count();
            if twice > 1 {
                self.faults.push(format!("twice: {request}"));
            }
            match answer.verdict.fate {
                request_verdict::RequestFate::Ran if answer.signature.is_some() => {
                    if !held(&leader) {
                        let holders: Vec<String> =
                            self.databases.keys().filter(|id| held(id)).cloned().collect();
                        let states: Vec<(bool, u64)> = self
                            .databases
                            .values()
                            .map(|database| (database.primary, database.term))
                            .collect();
                        self.faults.push(format!(
                            "{request} acknowledged by host {host} at {}, but the leader {leader} \
                             lacks it; {holders:?} hold it; leads and terms {states:?}",
                            self.now
                        ));
                    }
                    let write =
                        AckedWrite { at: self.now, group: "orders".to_owned(), request, session };
                    self.acked.push(write);
                }
                request_verdict::RequestFate::NotRun if held(&leader) => {
                    self.faults.push(format!("{request} ran but was said not to have run"));
                }
                _ => {}
            }
        }
    }
}

/// A span in milliseconds.
pub(crate) fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A request that reads.
pub(crate) fn read() -> session_request::SessionRequest {
    let kind = session_request::StatementKind::Read;
    session_request::SessionRequest::Statement { kind, text: "READ a".to_owned() }
}

/// A request that writes.
pub(crate) fn write() -> session_request::SessionRequest {
    let kind = session_request::StatementKind::Write;
    session_request::SessionRequest::Statement { kind, text: "WRITE a b".to_owned() }
}

fn build_config(accounts: &[(&str, f64, f64)]) -> proxy_config::ProxyConfig {
    let route = |database: &str, kind| proxy_config::RouteObject {
        database: database.to_owned(),
        group: "orders".to_owned(),
        kind,
        timeout: Duration::from_millis(800),
        target_latency: Duration::from_millis(250),
        priority: 1,
        public: false,
    };
    let max_age = Duration::from_millis(1_500);
    let routes = [
        route("strict", proxy_config::RouteKind::Primary),
        route("aged", proxy_config::RouteKind::BoundedAge { max_age }),
        route("own", proxy_config::RouteKind::ReadYourWrites { max_age }),
    ];
    let accounts = accounts.iter().map(|(name, rate, burst)| proxy_config::AccountObject {
        name: (*name).to_owned(),
        rate: *rate,
        burst: *burst,
    });
    let accounts: BTreeMap<String, proxy_config::AccountObject> =
        accounts.map(|account| (account.name.clone(), account)).collect();
    let keys = accounts.keys().map(|name| (proxy_config::digest_key(name), name.clone())).collect();
    let group = proxy_config::GroupObject {
        name: "orders".to_owned(),
        max_connections: 30,
        sync_replicas: 0,
    };
    proxy_config::ProxyConfig {
        version: 1,
        routes: routes.into_iter().map(|route| (route.database.clone(), route)).collect(),
        groups: [(group.name.clone(), group)].into(),
        accounts,
        keys,
        idle_transaction: Duration::from_millis(3_000),
    }
}

fn build_core(
    host: usize,
    life: u64,
    now: u64,
    tuning: &proxy_tuning::ProxyTuning,
    seed: u64,
) -> proxy_core::ProxyCore {
    let identity = store_record::MemberRecord {
        host: format!("host{host}"),
        incarnation: life,
        address: peer_address(host),
        data_centre: format!("centre{}", host % 3),
    };
    let now = clock_time::ClockTime::from_micros(now);
    proxy_core::ProxyCore::new(identity, tuning.clone(), seed, now)
        .unwrap_or_else(|error| panic!("{error:#}"))
}

fn peer_address(host: usize) -> String {
    format!("10.1.0.{host}:1")
}
