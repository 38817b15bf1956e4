//! Simulation of a fleet of proxy cores in virtual time, with fake databases and a fake store.
//!
//! Each read and each response to a caller is checked against the state of the fake databases, and
//! each violated guarantee is added to `violations`.

pub(crate) mod answer_ledger;
pub(crate) mod fake_database;
pub(crate) mod fake_link;
pub(crate) mod fake_platform;
pub(crate) mod fake_store;
pub(crate) mod fake_stutter;
pub(crate) mod held_duties;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use quetzaldeal::core::arena_keys;
use quetzaldeal::core::clock_time;
use quetzaldeal::core::core_message;
use quetzaldeal::core::endpoint_message;
use quetzaldeal::core::request_verdict;
use quetzaldeal::proxy::duty_call;
use quetzaldeal::proxy::endpoint_command;
use quetzaldeal::proxy::peer_datagram;
use quetzaldeal::proxy::pool_message;
use quetzaldeal::proxy::proxy_config;
use quetzaldeal::proxy::proxy_context;
use quetzaldeal::proxy::proxy_core;
use quetzaldeal::proxy::proxy_message;
use quetzaldeal::proxy::proxy_tuning;
use quetzaldeal::proxy::serving_hosts;
use quetzaldeal::proxy::session_request;
use quetzaldeal::proxy::store_message;
use quetzaldeal::proxy::store_record;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// One-way latency between a host and a peer, and by default a database, in microseconds.
const HOST_LATENCY_US: u64 = 1_000;
/// Timeout for opening a link to a serving host, in microseconds.
const LINK_TIMEOUT_US: u64 = 400_000;
/// Time after which a link whose other side is dark ends, in microseconds.
const LINK_DARK_US: u64 = 2_500_000;
/// One-way latency between a host and the store, in microseconds.
const STORE_LATENCY_US: u64 = 2_000;
/// Default of the time from the acceptance of a promotion until the endpoint is the primary, in
/// microseconds.
const PROMOTION_US: u64 = 1_000_000;
/// Time after which a replaced primary that was not asked to step down does so by itself, in
/// microseconds.
const STEP_DOWN_US: u64 = 1_000_000;
/// Interval at which a primary checks whether replicas have received a commit, in microseconds.
const COMMIT_CHECK_US: u64 = 5_000;

/// True time at the start of the virtual clock, in microseconds of Unix time.
pub(crate) const UNIX_START_US: u64 = 1_800_000_000_000_000;

/// Party on one side of a network partition.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PartitionSide {
    /// A host, by number.
    Host(usize),
    /// A database, by id.
    Database(String),
    /// The store and the platform that promotes endpoints.
    Store,
}

/// Response that a caller has received.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedResponse {
    /// When it was received, in microseconds since the start of the virtual clock.
    pub(crate) at: u64,
    /// Content of the response.
    pub(crate) response: proxy_message::CallerResponse,
}

impl ReceivedResponse {
    /// Returns whether the request ran.
    pub(crate) fn ran(&self) -> bool {
        self.response.verdict.fate == request_verdict::RequestFate::Ran
    }
}

/// Step of the simulation that is due at a set time.
#[derive(Debug)]
enum ScheduledStep {
    FireTimer {
        host: usize,
        incarnation: u64,
    },
    DeliverEvent {
        host: usize,
        incarnation: u64,
        event: proxy_message::ProxyEvent,
    },
    OpenConnection {
        host: usize,
        incarnation: u64,
        connection: arena_keys::ConnectionKey,
        endpoint: String,
    },
    ReceiveCommand {
        host: usize,
        incarnation: u64,
        connection: arena_keys::ConnectionKey,
        command: endpoint_command::EndpointCommand,
    },
    ExecuteCommand {
        host: usize,
        incarnation: u64,
        connection: arena_keys::ConnectionKey,
        command: endpoint_command::EndpointCommand,
    },
    /// Sends an answer of a database for the second time.
    RepeatAnswer {
        host: usize,
        incarnation: u64,
        connection: arena_keys::ConnectionKey,
        response: endpoint_command::EndpointResponse,
    },
    Replicate {
        from: String,
        to: String,
        length: usize,
        term: u64,
    },
    /// Sends the response to a commit once enough replicas have received it.
    AcknowledgeCommit(PendingCommit),
    CompletePromotion {
        group: String,
        endpoint: String,
    },
    DemotePrimary {
        endpoint: String,
        term: u64,
    },
    CallStore {
        host: usize,
        incarnation: u64,
        call: core_message::CallId,
        request: store_message::StoreRequest,
    },
    ExpireLeases,
    /// Gives up a call of a duty that is held up on its way, if its deadline has passed.
    GiveUpDuty {
        host: usize,
        incarnation: u64,
        call: core_message::CallId,
    },
    /// Takes the oldest request on a link to the serving host.
    ReceivePoolRequest {
        link: pool_message::LinkId,
    },
    /// Takes the oldest reply on a link to the host that opened it.
    ReceivePoolReply {
        link: pool_message::LinkId,
    },
    /// Ends a link for the host that opened it.
    LosePoolLink {
        link: pool_message::LinkId,
    },
    /// Ends a link for the serving host.
    ClosePoolLink {
        link: pool_message::LinkId,
    },
}

/// A commit whose response waits for replicas.
#[derive(Debug)]
struct PendingCommit {
    host: usize,
    incarnation: u64,
    connection: arena_keys::ConnectionKey,
    endpoint: String,
    entry: fake_database::LogEntry,
    response: endpoint_command::EndpointResponse,
}

#[derive(Debug)]
struct FakeHost {
    core: proxy_core::ProxyCore,
    incarnation: u64,
    alive: bool,
    ready: bool,
    stopped: bool,
    next_timer: u64,
    /// How far its clock is behind virtual time, in microseconds.
    clock_lag_us: u64,
    /// Until when its process is suspended, in microseconds. Its clock keeps running.
    frozen_until: u64,
    /// Delay added to each event that reaches it, in microseconds.
    event_delay_us: u64,
    /// Whether the store refuses its calls.
    denied: bool,
}

impl FakeHost {
    fn new(core: proxy_core::ProxyCore, incarnation: u64, clock_lag_us: u64) -> Self {
        Self {
            core,
            incarnation,
            alive: true,
            ready: false,
            stopped: false,
            next_timer: u64::MAX,
            clock_lag_us,
            frozen_until: 0,
            event_delay_us: 0,
            denied: false,
        }
    }
}

#[derive(Debug)]
struct FakeConnection {
    endpoint: String,
    account: String,
    session: fake_database::FakeSession,
}

/// A request that a caller has sent.
#[derive(Debug, Clone)]
struct SentRequest {
    at: u64,
    account: String,
    database: String,
    session: (usize, core_message::CallerId),
    /// Whether its transaction is open; `None` if an earlier request of the session decides it.
    in_transaction: Option<bool>,
    /// Whether a success needs a database's signature.
    signed: bool,
}

/// An acknowledged write.
#[derive(Debug, Clone)]
struct AcknowledgedWrite {
    at: u64,
    group: String,
    request: String,
    session: (usize, core_message::CallerId),
    point: endpoint_message::LogPoint,
}

/// A simulated fleet.
#[derive(Debug)]
pub(crate) struct ProxyFleet {
    /// Virtual time in microseconds.
    pub(crate) now: u64,
    /// The fake store.
    pub(crate) store: fake_store::FakeStore,
    /// The fake platform that takes the calls of duties.
    pub(crate) platform: fake_platform::FakePlatform,
    held_duties: held_duties::HeldDuties,
    /// How far the times of day of hosts are ahead of true time, in microseconds.
    pub(crate) wall_clock_skews: BTreeMap<usize, i64>,
    /// Fake databases by endpoint id.
    pub(crate) databases: BTreeMap<String, fake_database::FakeDatabase>,
    /// Descriptions of violated guarantees.
    pub(crate) violations: Vec<String>,
    /// When databases ran operations, by account, in microseconds and ascending order.
    pub(crate) executions: BTreeMap<String, Vec<u64>>,
    /// Time from the acceptance of a promotion until the endpoint is the primary, in microseconds.
    pub(crate) promotion_us: u64,
    /// One-way latency between hosts and databases, in microseconds.
    pub(crate) database_latency_us: u64,
    /// Acknowledged writes that promoted databases lacked.
    pub(crate) lost_writes: usize,
    /// Fraction of the databases' responses that is lost.
    pub(crate) response_loss: f64,
    /// Fraction of the datagrams between hosts that is lost.
    pub(crate) datagram_loss: f64,
    /// Time after which each datagram between hosts arrives a second time.
    pub(crate) datagram_repeat: Option<Duration>,
    /// Bytes of the datagrams that each host has sent.
    pub(crate) datagram_bytes: BTreeMap<usize, usize>,
    /// Number of datagrams of usage reports between hosts.
    pub(crate) usage_datagrams: u64,
    /// Hosts that run the build without a relay of changes: they neither send nor understand its
    /// datagrams.
    pub(crate) hosts_without_relay: BTreeSet<usize>,
    /// Connections that each database has accepted.
    pub(crate) connections_opened: BTreeMap<String, usize>,
    /// Most connections that each database held at a time.
    pub(crate) connections_most: BTreeMap<String, usize>,
    /// Requests to serving hosts that were sent to other hosts.
    pub(crate) pool_requests: usize,
    /// Databases that send answers twice, by endpoint id.
    pub(crate) stutters: BTreeMap<String, fake_stutter::FakeStutter>,
    /// Error answers that were sent.
    pub(crate) error_answers: usize,
    /// Answers that databases send twice if the connection stays open, by kind.
    pub(crate) repeated: BTreeMap<fake_stutter::AnswerKind, usize>,
    ledger: answer_ledger::AnswerLedger,
    /// Statuses by endpoint id, with the time at which the database reported them, oldest first.
    statuses: BTreeMap<String, Vec<(u64, endpoint_command::EndpointStatus)>>,
    next_signature: u64,
    links: BTreeMap<pool_message::LinkId, fake_link::FakeLink>,
    next_link: pool_message::LinkId,
    config: proxy_config::ProxyConfig,
    hosts: Vec<FakeHost>,
    partitions: BTreeSet<(PartitionSide, PartitionSide)>,
    queue: BTreeMap<(u64, u64), ScheduledStep>,
    next_step: u64,
    connections: BTreeMap<(usize, u64, arena_keys::ConnectionKey), FakeConnection>,
    responses: HashMap<(usize, core_message::CallerId), VecDeque<ReceivedResponse>>,
    refusals: HashMap<(usize, core_message::CallerId), Option<request_verdict::RequestVerdict>>,
    sessions: HashMap<(usize, core_message::CallerId), (String, String)>,
    sent_requests: HashMap<String, SentRequest>,
    /// Ids of the requests that are in `executions`.
    executed: BTreeSet<String>,
    /// Requests without a response by session, oldest first, and whether each is a write.
    unanswered: HashMap<(usize, core_message::CallerId), VecDeque<(String, bool)>>,
    /// Writes of open transactions by session.
    uncommitted_writes: HashMap<(usize, core_message::CallerId), Vec<String>>,
    acknowledged: Vec<AcknowledgedWrite>,
    session_settings: HashMap<(usize, core_message::CallerId), BTreeMap<String, String>>,
    /// Kinds of the prepared statements of sessions, by the caller's name.
    session_prepared:
        HashMap<(usize, core_message::CallerId), BTreeMap<String, session_request::StatementKind>>,
    /// Transaction state in the last response of each session.
    session_phases: HashMap<(usize, core_message::CallerId), endpoint_command::SessionPhase>,
    next_caller: core_message::CallerId,
    next_request: u64,
    rng: SmallRng,
    tuning: proxy_tuning::ProxyTuning,
}

impl ProxyFleet {
    /// Returns a fleet of `hosts` hosts with one group of three databases. Accounts are given by
    /// name, rate and burst; the key of an account is its name.
    pub(crate) fn new(hosts: usize, accounts: &[(&str, f64, f64)], seed: u64) -> Self {
        Self::with_tuning(hosts, accounts, seed, proxy_tuning::ProxyTuning::default())
    }

    /// Returns a fleet as `new` does, whose hosts start within 0.3 s.
    pub(crate) fn starting_together(
        hosts: usize,
        accounts: &[(&str, f64, f64)],
        seed: u64,
    ) -> Self {
        let mut fleet = Self::new(0, accounts, seed);
        for number in 0..hosts {
            fleet.add_host(number, number as u64 * 300_000 / hosts as u64);
        }
        fleet
    }

    /// Returns a fleet as `new` does, with timeouts and limits other than the defaults.
    pub(crate) fn with_tuning(
        hosts: usize,
        accounts: &[(&str, f64, f64)],
        seed: u64,
        tuning: proxy_tuning::ProxyTuning,
    ) -> Self {
        let mut fleet = Self {
            now: 10_000_000,
            store: fake_store::FakeStore::default(),
            held_duties: Default::default(),
            platform: fake_platform::FakePlatform::default(),
            wall_clock_skews: BTreeMap::new(),
            databases: BTreeMap::new(),
            violations: Vec::new(),
            executions: BTreeMap::new(),
            promotion_us: PROMOTION_US,
            database_latency_us: HOST_LATENCY_US,
            lost_writes: 0,
            response_loss: 0.0,
            datagram_loss: 0.0,
            datagram_repeat: None,
            datagram_bytes: BTreeMap::new(),
            usage_datagrams: 0,
            hosts_without_relay: BTreeSet::new(),
            connections_opened: BTreeMap::new(),
            connections_most: BTreeMap::new(),
            pool_requests: 0,
            stutters: BTreeMap::new(),
            error_answers: 0,
            repeated: BTreeMap::new(),
            ledger: answer_ledger::AnswerLedger::default(),
            statuses: BTreeMap::new(),
            next_signature: 1,
            links: BTreeMap::new(),
            next_link: 1,
            config: build_config(accounts),
            hosts: Vec::new(),
            partitions: BTreeSet::new(),
            queue: BTreeMap::new(),
            next_step: 0,
            connections: BTreeMap::new(),
            responses: HashMap::new(),
            refusals: HashMap::new(),
            sessions: HashMap::new(),
            sent_requests: HashMap::new(),
            executed: BTreeSet::new(),
            unanswered: HashMap::new(),
            uncommitted_writes: HashMap::new(),
            acknowledged: Vec::new(),
            session_settings: HashMap::new(),
            session_prepared: HashMap::new(),
            session_phases: HashMap::new(),
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
                execution_us: 5_000,
                slots: Vec::new(),
                rejections: VecDeque::new(),
                setup_rejections: VecDeque::new(),
                replication_lag_us: 20_000,
                draining: false,
                deaf: false,
            };
            fleet.databases.insert(id.clone(), database);
            fleet.register(&id, false);
        }
        fleet.publish();
        for number in 0..hosts {
            fleet.add_host(number, number as u64 * 30_000);
        }
        fleet.push(fleet.now, ScheduledStep::ExpireLeases);
        fleet
    }

    /// Returns the sum of one count over all running hosts.
    pub(crate) fn sum(&self, count: impl Fn(&proxy_context::ProxyCounts) -> u64) -> u64 {
        let running = self.hosts.iter().filter(|host| host.alive);
        running.map(|host| count(&host.core.context().counts)).sum()
    }

    /// Advances virtual time by `duration` and runs the steps that fall due.
    pub(crate) fn run(&mut self, duration: Duration) {
        let until = self.now + duration.as_micros() as u64;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), step) = entry.remove_entry();
            self.now = at;
            self.run_step(step);
        }
        self.now = until;
    }

    /// Changes the configuration and publishes it as the next version.
    pub(crate) fn reconfigure(&mut self, change: impl FnOnce(&mut proxy_config::ProxyConfig)) {
        change(&mut self.config);
        self.config.version += 1;
        self.publish();
    }

    /// Drops everything that two sides send each other.
    pub(crate) fn partition(&mut self, one: PartitionSide, other: PartitionSide) {
        self.partitions.insert((one.clone(), other.clone()));
        self.partitions.insert((other, one));
    }

    /// Cuts a database off from all hosts and the store, which removes its registration, but not from
    /// the other databases.
    pub(crate) fn cut_off(&mut self, id: &str) {
        let place = PartitionSide::Database(id.to_owned());
        for host in 0..self.hosts.len() {
            self.partition(PartitionSide::Host(host), place.clone());
        }
        self.partition(PartitionSide::Store, place);
        self.unregister(id);
    }

    /// Ends the partitions of a database, which registers again if it runs.
    pub(crate) fn bring_back(&mut self, id: &str) {
        let place = PartitionSide::Database(id.to_owned());
        self.partitions.retain(|(one, other)| *one != place && *other != place);
        if self.databases.get(id).is_some_and(|database| database.up) {
            self.register_again(id);
        }
    }

    /// Ends all partitions. Links on which messages were lost are reset.
    pub(crate) fn heal_partitions(&mut self) {
        self.partitions.clear();
        self.reset_links(|link| link.silent);
    }

    /// Resets all links that a host has opened and all that it serves.
    pub(crate) fn reset_host_links(&mut self, host: usize) {
        self.reset_links(|link| link.client.0 == host || link.server.0 == host);
    }

    /// Returns the hosts that the open links lead to, by number.
    pub(crate) fn linked_hosts(&self) -> BTreeSet<usize> {
        self.links.values().map(|link| link.server.0).collect()
    }

    fn reset_links(&mut self, chosen: impl Fn(&fake_link::FakeLink) -> bool) {
        let reset = self.links.iter().filter(|(_, link)| chosen(link));
        let reset: Vec<pool_message::LinkId> = reset.map(|(id, _)| *id).collect();
        for link in reset {
            self.push(self.now + HOST_LATENCY_US, ScheduledStep::LosePoolLink { link });
            self.push(self.now + HOST_LATENCY_US, ScheduledStep::ClosePoolLink { link });
        }
    }

    /// Ends the links of a process that has ended: the other sides learn of it, after a while if
    /// they are cut off.
    fn end_links(&mut self, host: usize, incarnation: u64) {
        let process = (host, incarnation);
        let ended: Vec<(pool_message::LinkId, usize, usize)> = self
            .links
            .iter()
            .filter(|(_, link)| link.client == process || link.server == process)
            .map(|(id, link)| (*id, link.client.0, link.server.0))
            .collect();
        for (link, client, server) in ended {
            let reachable =
                self.can_reach(&PartitionSide::Host(client), &PartitionSide::Host(server));
            let at = self.now + if reachable { HOST_LATENCY_US } else { LINK_DARK_US };
            if client == host {
                self.push(at, ScheduledStep::ClosePoolLink { link });
            }
            if server == host {
                self.push(at, ScheduledStep::LosePoolLink { link });
            }
        }
    }

    /// Kills the process of a host and drops its connections.
    pub(crate) fn kill_host(&mut self, host: usize) {
        self.hosts[host].alive = false;
        self.store.drop_host_watches(host);
        let incarnation = self.hosts[host].incarnation;
        self.end_links(host, incarnation);
        self.connections.retain(|(other, lived, _), _| *other != host || *lived != incarnation);
        self.sessions.retain(|(other, _), _| *other != host);
    }

    /// Starts a new process on a killed host, with a clock that is behind virtual time.
    pub(crate) fn start_host(&mut self, host: usize, clock_lag: Duration) {
        let incarnation = self.hosts[host].incarnation + 1;
        let seed = self.rng.random();
        let clock_lag_us = clock_lag.as_micros() as u64;
        let core = build_core(host, incarnation, self.now - clock_lag_us, &self.tuning, seed);
        self.hosts[host] = FakeHost::new(core, incarnation, clock_lag_us);
        self.push(self.now, ScheduledStep::FireTimer { host, incarnation });
    }

    /// Suspends the process of a host; events that arrive meanwhile are delivered afterwards.
    pub(crate) fn freeze_host(&mut self, host: usize, duration: Duration) {
        self.hosts[host].frozen_until = self.now + duration.as_micros() as u64;
    }

    /// Delays all events that reach a host.
    pub(crate) fn slow_host(&mut self, host: usize, duration: Duration) {
        self.hosts[host].event_delay_us = duration.as_micros() as u64;
    }

    /// Sets whether the store refuses the calls of a host.
    pub(crate) fn deny_host(&mut self, host: usize, denied: bool) {
        self.hosts[host].denied = denied;
    }

    /// Closes all connections between a host and the databases.
    pub(crate) fn reset_connections(&mut self, host: usize) {
        let incarnation = self.hosts[host].incarnation;
        let own =
            |key: &&(usize, u64, arena_keys::ConnectionKey)| key.0 == host && key.1 == incarnation;
        let connections: Vec<_> = self.connections.keys().filter(own).copied().collect();
        for (_, _, connection) in connections {
            self.connections.remove(&(host, incarnation, connection));
            let event = proxy_message::ProxyEvent::ConnectionClosed { connection, refused: false };
            self.push(
                self.now + HOST_LATENCY_US,
                ScheduledStep::DeliverEvent { host, incarnation, event },
            );
        }
    }

    /// Requests a graceful shutdown of a host.
    pub(crate) fn stop_host(&mut self, host: usize) {
        self.handle_event(host, proxy_message::ProxyEvent::ShutdownRequested);
    }

    /// Crashes a database. With `lapse`, its registration is removed from the store.
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
            let (host, incarnation, connection) = key;
            let event = proxy_message::ProxyEvent::ConnectionClosed { connection, refused: false };
            self.push(
                self.now + HOST_LATENCY_US,
                ScheduledStep::DeliverEvent { host, incarnation, event },
            );
        }
        if lapse {
            self.unregister(id);
        }
    }

    /// Restarts a crashed database with its log. It remains the primary if there is no newer term.
    pub(crate) fn restart(&mut self, id: &str) {
        let term = self.newest_term(&self.group_of(id));
        if let Some(database) = self.databases.get_mut(id) {
            database.up = true;
            database.primary &= database.term == term;
        }
        self.register(id, false);
    }

    /// Writes a database's registration again after its role has changed or the store lost it.
    fn register_again(&mut self, id: &str) {
        let draining = self.databases.get(id).is_some_and(|database| database.draining);
        self.register(id, draining);
    }

    /// Adds a replica that has received nothing yet.
    pub(crate) fn add_replica(&mut self, id: &str, data_centre: &str) {
        let first = self.databases.values().next().unwrap_or_else(|| panic!("no databases"));
        let database = fake_database::FakeDatabase {
            group: first.group.clone(),
            data_centre: data_centre.to_owned(),
            up: true,
            primary: false,
            term: 1,
            log: Vec::new(),
            execution_us: first.execution_us,
            replication_lag_us: 20_000,
            draining: false,
            deaf: false,
            slots: Vec::new(),
            rejections: VecDeque::new(),
            setup_rejections: VecDeque::new(),
        };
        self.databases.insert(id.to_owned(), database);
        self.register(id, false);
        self.set_deaf(id, false);
    }

    /// Gives a database that is down another id. It keeps its address, which ends in the same number,
    /// and its log.
    pub(crate) fn rename(&mut self, id: &str, new_id: &str) {
        if let Some(database) = self.databases.remove(id) {
            self.databases.insert(new_id.to_owned(), database);
        }
    }

    /// Sets whether a replica receives nothing. One that receives again gets the primary's log.
    pub(crate) fn set_deaf(&mut self, id: &str, deaf: bool) {
        if let Some(database) = self.databases.get_mut(id) {
            database.deaf = deaf;
        }
        let primary = self.primary_of(&self.group_of(id));
        if !deaf && !primary.is_empty() {
            self.replicate_to_others(&primary);
        }
    }

    /// Has every commit wait until `count` replicas have received it.
    pub(crate) fn replicate_synchronously(&mut self, count: u32) {
        self.reconfigure(|config| {
            for group in config.groups.values_mut() {
                group.sync_replicas = count;
            }
        });
    }

    /// Removes a database's registration from the store.
    pub(crate) fn unregister(&mut self, id: &str) {
        let subject = store_message::ItemSubject::Endpoint(id.to_owned());
        let replies = self.store.put(subject, None);
        self.deliver_replies(replies);
    }

    /// Writes a database's registration to the store, if it reaches it.
    pub(crate) fn register(&mut self, id: &str, draining: bool) {
        let reaches_store =
            self.can_reach(&PartitionSide::Database(id.to_owned()), &PartitionSide::Store);
        let Some(database) = self.databases.get_mut(id) else { return };
        database.draining = draining;
        if !reaches_store {
            return;
        }
        let entry = store_message::EndpointRegistration {
            id: id.to_owned(),
            group: database.group.clone(),
            address: format!(
                "10.0.0.{}:1",
                id.trim_start_matches(|letter: char| letter.is_alphabetic())
            ),
            data_centre: database.data_centre.clone(),
            slots: 3,
            draining,
            primary: database.primary,
            born: 1,
        };
        let subject = store_message::ItemSubject::Endpoint(id.to_owned());
        let replies = self.store.put(subject, Some(store_message::ItemContent::Endpoint(entry)));
        self.deliver_replies(replies);
    }

    /// Requests the evacuation of a data centre, or withdraws the request.
    pub(crate) fn evacuate(&mut self, data_centre: &str, on: bool) {
        let subject = store_message::ItemSubject::Evacuation(data_centre.to_owned());
        let body = on.then_some(store_message::ItemContent::Evacuation);
        let replies = self.store.put(subject, body);
        self.deliver_replies(replies);
    }

    /// Compacts the store's history, which ends all watches.
    pub(crate) fn compact_store(&mut self) {
        let replies = self.store.compact();
        self.deliver_replies(replies);
    }

    /// Lets operators and databases write again what they had written to the store.
    pub(crate) fn write_again(&mut self) {
        self.publish();
        let running = self.databases.iter().filter(|(_, database)| database.up);
        for id in running.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.register_again(&id);
        }
    }

    /// Returns the id of the primary with the newest term in the first group, or an empty text if there
    /// is none.
    pub(crate) fn primary_id(&self) -> String {
        self.primary_of("orders")
    }

    /// Does the same for a group.
    pub(crate) fn primary_of(&self, group: &str) -> String {
        let primaries = self.databases_of(group).filter(|(_, database)| database.primary);
        let newest = primaries.max_by_key(|(_, database)| database.term);
        newest.map(|(id, _)| id.clone()).unwrap_or_default()
    }

    /// Returns the databases of a group.
    fn databases_of<'a>(
        &'a self,
        group: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a fake_database::FakeDatabase)> {
        self.databases.iter().filter(move |(_, database)| database.group == group)
    }

    /// Returns the newest term in a group.
    fn newest_term(&self, group: &str) -> u64 {
        self.databases_of(group).map(|(_, database)| database.term).max().unwrap_or(1)
    }

    /// Returns the group of a database; the first group if there is no such database.
    fn group_of(&self, id: &str) -> String {
        self.databases.get(id).map_or("orders".to_owned(), |database| database.group.clone())
    }

    /// Returns the group whose databases hold a write; the first group if none does.
    fn group_of_write(&self, request: &String) -> String {
        let holds = |database: &fake_database::FakeDatabase| {
            database.log.iter().any(|entry| entry.requests.contains(request))
        };
        let held = self.databases.values().find(|database| holds(database));
        held.map_or("orders".to_owned(), |database| database.group.clone())
    }

    /// Adds a group of three databases, numbered from `first`, of which the first is the primary.
    pub(crate) fn add_group(&mut self, name: &str, first: usize) {
        for number in 0..3 {
            let id = format!("db{}", first + number);
            self.add_replica(&id, &format!("centre{number}"));
            if let Some(database) = self.databases.get_mut(&id) {
                database.group = name.to_owned();
                database.primary = number == 0;
            }
            self.register(&id, false);
        }
        self.reconfigure(|config| {
            let first = config.groups["orders"].clone();
            let group = proxy_config::GroupObject { name: name.to_owned(), ..first };
            config.groups.insert(group.name.clone(), group);
        });
    }

    /// Renames a group: its databases keep their ids, addresses and logs.
    pub(crate) fn rename_group(&mut self, name: &str, new_name: &str) {
        let ids: Vec<String> = self.databases_of(name).map(|(id, _)| id.clone()).collect();
        self.reconfigure(|config| {
            if let Some(group) = config.groups.remove(name) {
                let group = proxy_config::GroupObject { name: new_name.to_owned(), ..group };
                config.groups.insert(group.name.clone(), group);
            }
            for route in config.routes.values_mut().filter(|route| route.group == name) {
                route.group = new_name.to_owned();
            }
        });
        for write in self.acknowledged.iter_mut().filter(|write| write.group == name) {
            write.group = new_name.to_owned();
        }
        for id in ids {
            if let Some(database) = self.databases.get_mut(&id) {
                database.group = new_name.to_owned();
            }
            self.register_again(&id);
        }
    }

    /// Has a route lead to a group.
    pub(crate) fn lead_route(&mut self, database: &str, group: &str) {
        self.reconfigure(|config| {
            if let Some(route) = config.routes.get_mut(database) {
                route.group = group.to_owned();
            }
        });
    }

    /// Returns the proxy core of a host.
    pub(crate) fn core(&self, host: usize) -> &proxy_core::ProxyCore {
        &self.hosts[host].core
    }

    /// Returns the number of the host that is certain to be the coordinator.
    pub(crate) fn coordinator(&self) -> Option<usize> {
        self.hosts.iter().position(|host| host.core.context().fencing_token().is_some())
    }

    /// Returns a host's clock at a virtual time in microseconds.
    pub(crate) fn host_clock(&self, host: usize, at: u64) -> clock_time::ClockTime {
        clock_time::ClockTime::from_micros(at.saturating_sub(self.hosts[host].clock_lag_us))
    }

    /// Returns the configuration as last published.
    pub(crate) fn published(&self) -> &proxy_config::ProxyConfig {
        &self.config
    }

    /// Returns whether the process of a host runs.
    pub(crate) fn alive(&self, host: usize) -> bool {
        self.hosts[host].alive
    }

    /// Hands a datagram to a host, as if a process had sent it.
    pub(crate) fn deliver_datagram(&mut self, host: usize, message: peer_datagram::PeerDatagram) {
        self.handle_event(host, proxy_message::ProxyEvent::DatagramReceived { message });
    }

    /// Gives every database `slots` slots and lets each command of a caller take `execution`.
    pub(crate) fn limit_databases(&mut self, slots: usize, execution: Duration) {
        for database in self.databases.values_mut() {
            database.slots = vec![0; slots];
            database.execution_us = execution.as_micros() as u64;
        }
    }

    /// Returns whether a host reports that it is ready for new callers.
    pub(crate) fn ready(&self, host: usize) -> bool {
        self.hosts[host].ready
    }

    /// Returns whether a host has completed its shutdown.
    pub(crate) fn stopped(&self, host: usize) -> bool {
        self.hosts[host].stopped
    }

    /// Opens a session and returns the number of its caller.
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
        self.handle_event(host, proxy_message::ProxyEvent::CallerOpened { caller, database, key });
        caller
    }

    /// Has later requests of a session be expected to run for this account instead of the one that it
    /// was opened for; an empty name stands for none, as on public routes.
    pub(crate) fn expect_account(
        &mut self,
        host: usize,
        caller: core_message::CallerId,
        account: &str,
    ) {
        if let Some((expected, _)) = self.sessions.get_mut(&(host, caller)) {
            *expected = account.to_owned();
        }
    }

    /// Returns whether a database ran a statement.
    pub(crate) fn executed(&self, id: &str) -> bool {
        self.executed.contains(id)
    }

    /// Returns why a session was refused, or nothing if it was accepted.
    pub(crate) fn refusal(
        &self,
        host: usize,
        caller: core_message::CallerId,
    ) -> Option<request_verdict::RequestVerdict> {
        self.refusals.get(&(host, caller)).cloned().flatten()
    }

    /// Closes a session.
    pub(crate) fn close(&mut self, host: usize, caller: core_message::CallerId) {
        self.sessions.remove(&(host, caller));
        self.handle_event(host, proxy_message::ProxyEvent::CallerClosed { caller });
    }

    /// Sends a request without waiting for the response; returns the id of the request.
    pub(crate) fn send(
        &mut self,
        host: usize,
        caller: core_message::CallerId,
        request: session_request::SessionRequest,
    ) -> String {
        let id = format!("r{}", self.next_request);
        self.next_request += 1;
        let (account, database) = self.sessions.get(&(host, caller)).cloned().unwrap_or_default();
        let session = (host, caller);
        let kind = match &request {
            session_request::SessionRequest::Statement { kind, .. } => Some(*kind),
            session_request::SessionRequest::Execute { name, .. } => {
                let prepared = self.session_prepared.get(&session);
                prepared.and_then(|prepared| prepared.get(name)).copied()
            }
            _ => None,
        };
        let unanswered = self.unanswered.entry(session).or_default();
        let phase = self.session_phases.get(&session);
        let sent_request = SentRequest {
            at: self.now,
            account,
            database,
            session,
            in_transaction: unanswered
                .is_empty()
                .then(|| phase == Some(&endpoint_command::SessionPhase::Open)),
            signed: kind.is_some() || request == session_request::SessionRequest::Commit,
        };
        self.sent_requests.insert(id.clone(), sent_request);
        match &request {
            session_request::SessionRequest::Set { name, value } => {
                let settings = self.session_settings.entry(session).or_default();
                settings.insert(name.clone(), value.clone());
            }
            session_request::SessionRequest::Prepare { name, kind, .. } => {
                let prepared = self.session_prepared.entry(session).or_default();
                prepared.insert(name.clone(), *kind);
            }
            _ => {}
        }
        let writes = kind == Some(session_request::StatementKind::Write);
        unanswered.push_back((id.clone(), writes));
        let event = proxy_message::ProxyEvent::RequestReceived { caller, id: id.clone(), request };
        self.handle_event(host, event);
        id
    }

    /// Discards earlier responses, sends a request and waits up to 3 s of virtual time for its
    /// response.
    pub(crate) fn send_and_wait(
        &mut self,
        host: usize,
        caller: core_message::CallerId,
        request: session_request::SessionRequest,
    ) -> Option<ReceivedResponse> {
        self.responses.entry((host, caller)).or_default().clear();
        self.send(host, caller, request);
        self.wait_for_response(host, caller)
    }

    /// Waits up to 3 s of virtual time for a session's oldest response that has not been taken.
    pub(crate) fn wait_for_response(
        &mut self,
        host: usize,
        caller: core_message::CallerId,
    ) -> Option<ReceivedResponse> {
        for _ in 0..3_000 {
            if let Some(received) = self.take_response(host, caller) {
                return Some(received);
            }
            self.run(Duration::from_millis(1));
        }
        None
    }

    /// Removes and returns the oldest response that has not been taken.
    pub(crate) fn take_response(
        &mut self,
        host: usize,
        caller: core_message::CallerId,
    ) -> Option<ReceivedResponse> {
        self.responses.get_mut(&(host, caller))?.pop_front()
    }

    /// Returns the open connections of a host to an endpoint that are for accounts.
    pub(crate) fn account_connections(
        &self,
        host: usize,
        endpoint: &str,
    ) -> Vec<arena_keys::ConnectionKey> {
        let process = (host, self.hosts[host].incarnation);
        let open = self.connections.iter().filter(|((host, incarnation, _), connection)| {
            (*host, *incarnation) == process
                && connection.endpoint == endpoint
                && !connection.account.is_empty()
        });
        open.map(|((_, _, connection), _)| *connection).collect()
    }

    /// Has all databases send answers twice.
    pub(crate) fn stutter_everywhere(&mut self, stutter: &fake_stutter::FakeStutter) {
        self.stutters = self.databases.keys().map(|id| (id.clone(), stutter.clone())).collect();
    }

    /// Checks that the statuses that running hosts know are not too new: a database reported each of
    /// them at or after the time when the host requested it.
    pub(crate) fn check_reports(&mut self) {
        let mut broken = Vec::new();
        for (number, host) in self.hosts.iter().enumerate().filter(|(_, host)| host.alive) {
            for view in host.core.context().endpoints.values() {
                let Some((requested_at, report)) = view.report else { continue };
                let requested_at = requested_at.as_micros() + host.clock_lag_us;
                let reported = self.statuses.get(&view.entry.id).map_or(&[][..], Vec::as_slice);
                let mut since = reported.iter().rev().take_while(|(at, _)| *at >= requested_at);
                if !since.any(|(_, status)| *status == report) {
                    broken.push(format!(
                        "STATUS: host {number} takes {report:?} of {} for one of {requested_at} us",
                        view.entry.id
                    ));
                }
            }
        }
        broken.retain(|text| !self.violations.contains(text));
        self.violations.append(&mut broken);
    }

    /// Checks that the position samples of all running hosts are not too new: the position for a
    /// read that may lack nothing older than a write has to contain that write.
    pub(crate) fn check_samples(&mut self) {
        let mut broken = Vec::new();
        for number in 0..self.hosts.len() {
            let host = &self.hosts[number];
            if !host.alive {
                continue;
            }
            for group in host.core.context().groups.values() {
                let own = self.acknowledged.iter().filter(|write| write.group == group.name);
                let too_new = own.rev().take(64).find_map(|write| {
                    let at = write.at + 1;
                    let at = at.checked_sub(host.clock_lag_us)?;
                    let at = clock_time::ClockTime::from_micros(at);
                    let required = group.samples.required(at)?;
                    (required < write.point).then_some((write, required))
                });
                if let Some((write, required)) = too_new {
                    broken.push(format!(
                        "STALE: host {number} requires only {required:?} of reads from {} us on, \
                         when {} was acknowledged at {:?}",
                        write.at, write.request, write.point
                    ));
                }
            }
        }
        broken.retain(|text| !self.violations.contains(text));
        self.violations.append(&mut broken);
    }

    /// Returns the largest number of operations that databases ran for an account within any window
    /// of length `duration`.
    pub(crate) fn max_executions_within(&self, account: &str, duration: Duration) -> usize {
        let Some(times) = self.executions.get(account) else { return 0 };
        let duration = duration.as_micros() as u64;
        let ends = |start: usize| times.partition_point(|at| *at < times[start] + duration);
        (0..times.len()).map(|start| ends(start) - start).max().unwrap_or(0)
    }

    fn publish(&mut self) {
        let config = Arc::new(self.config.clone());
        let body = store_message::ItemContent::Config(config);
        let replies = self.store.put(store_message::ItemSubject::Config, Some(body));
        self.deliver_replies(replies);
    }

    fn add_host(&mut self, number: usize, start_delay_us: u64) {
        let seed = self.rng.random();
        let core = build_core(number, 1, self.now, &self.tuning, seed);
        self.hosts.push(FakeHost::new(core, 1, 0));
        self.push(
            self.now + start_delay_us,
            ScheduledStep::FireTimer { host: number, incarnation: 1 },
        );
    }

    /// Schedules a step for `at`, or later if the host that it reaches is slow.
    fn push(&mut self, at: u64, step: ScheduledStep) {
        let delay = match &step {
            ScheduledStep::DeliverEvent { host, .. } => self.hosts[*host].event_delay_us,
            _ => 0,
        };
        let at = at + delay;
        self.queue.insert((at, self.next_step), step);
        self.next_step += 1;
    }

    /// Returns whether no partition separates the two sides.
    fn can_reach(&self, from: &PartitionSide, to: &PartitionSide) -> bool {
        !self.partitions.contains(&(from.clone(), to.clone()))
    }

    /// Has a host handle an event, performs its actions and schedules its next timer.
    fn handle_event(&mut self, host: usize, event: proxy_message::ProxyEvent) {
        if !self.hosts[host].alive {
            return;
        }
        let clock_lag_us = self.hosts[host].clock_lag_us;
        let now = clock_time::ClockTime::from_micros(self.now - clock_lag_us);
        let actions = self.hosts[host].core.handle(now, event);
        for action in actions {
            self.perform(host, action);
        }
        let wake = self.hosts[host].core.next_timer();
        let wake = wake.map_or(u64::MAX, |wake| (wake.as_micros() + clock_lag_us).max(self.now));
        if wake < self.hosts[host].next_timer || self.hosts[host].next_timer <= self.now {
            self.hosts[host].next_timer = wake;
            let incarnation = self.hosts[host].incarnation;
            self.push(wake, ScheduledStep::FireTimer { host, incarnation });
        }
    }

    fn deliver_replies(&mut self, replies: Vec<fake_store::AddressedReply>) {
        for (host, call, reply) in replies {
            if !self.can_reach(&PartitionSide::Store, &PartitionSide::Host(host)) {
                continue;
            }
            let incarnation = self.hosts[host].incarnation;
            let sending_us = self.store.sending_time(self.now, &reply);
            let reply = store_message::StampedReply { era: self.store.era(), reply };
            let event = proxy_message::ProxyEvent::StoreReplied { call, reply };
            self.push(
                self.now + sending_us + STORE_LATENCY_US,
                ScheduledStep::DeliverEvent { host, incarnation, event },
            );
        }
    }

    /// Runs a step, or puts it off while the host that it reaches is suspended. A step that is
    /// meant for an earlier process of a host has no effect.
    fn run_step(&mut self, step: ScheduledStep) {
        if let ScheduledStep::FireTimer { host, incarnation }
        | ScheduledStep::DeliverEvent { host, incarnation, .. } = &step
            && self.hosts[*host].incarnation == *incarnation
            && self.hosts[*host].frozen_until > self.now
        {
            let thaw = self.hosts[*host].frozen_until;
            return self.push(thaw, step);
        }
        if let Some(host) = self.link_step_host(&step)
            && self.hosts[host].frozen_until > self.now
        {
            let thaw = self.hosts[host].frozen_until;
            return self.push(thaw, step);
        }
        match step {
            ScheduledStep::FireTimer { host, incarnation } => {
                if self.hosts[host].incarnation == incarnation
                    && self.hosts[host].next_timer >= self.now
                {
                    self.hosts[host].next_timer = self.now;
                }
                if self.hosts[host].incarnation == incarnation {
                    if self.tuning.usage.is_some() {
                        let skew_us = self.wall_clock_skews.get(&host).copied().unwrap_or(0);
                        let unix_us = (UNIX_START_US + self.now).saturating_add_signed(skew_us);
                        let event = proxy_message::ProxyEvent::WallClockRead { unix_us };
                        self.handle_event(host, event);
                    }
                    self.handle_event(host, proxy_message::ProxyEvent::TimerFired);
                }
            }
            ScheduledStep::DeliverEvent { host, incarnation, event } => {
                if self.hosts[host].incarnation == incarnation {
                    self.handle_event(host, event);
                }
            }
            ScheduledStep::OpenConnection { host, incarnation, connection, endpoint } => {
                self.connect(host, incarnation, connection, &endpoint);
            }
            ScheduledStep::ReceiveCommand { host, incarnation, connection, command } => {
                self.receive_command(host, incarnation, connection, command);
            }
            ScheduledStep::ExecuteCommand { host, incarnation, connection, command } => {
                self.execute_command(host, incarnation, connection, command)
            }
            ScheduledStep::RepeatAnswer { host, incarnation, connection, response } => {
                self.repeat_answer(host, incarnation, connection, response);
            }
            ScheduledStep::Replicate { from, to, length, term } => {
                self.replicate(&from, &to, length, term);
            }
            ScheduledStep::AcknowledgeCommit(commit) => self.acknowledge_commit(commit),
            ScheduledStep::CompletePromotion { group, endpoint } => {
                self.complete_promotion(&group, &endpoint)
            }
            ScheduledStep::DemotePrimary { endpoint, term } => {
                self.demote_primary(endpoint, term);
            }
            ScheduledStep::CallStore { host, incarnation, call, request } => {
                let reachable = self.can_reach(&PartitionSide::Host(host), &PartitionSide::Store);
                if self.hosts[host].incarnation == incarnation && reachable {
                    let now = self.now;
                    let replies = match self.hosts[host].denied {
                        true => vec![(host, call, store_message::StoreReply::Refused)],
                        false => self.store.handle(now, host, call, request),
                    };
                    self.deliver_replies(replies);
                }
            }
            ScheduledStep::ReceivePoolRequest { link } => self.receive_pool_request(link),
            ScheduledStep::ReceivePoolReply { link } => self.receive_pool_reply(link),
            ScheduledStep::LosePoolLink { link } => {
                let Some(ended) = self.links.get_mut(&link) else { return };
                if std::mem::replace(&mut ended.client_left, true) {
                    return;
                }
                let (client, server) = (ended.client, ended.server);
                self.remove_left_link(link);
                let address = pool_address(server.0);
                let event = proxy_message::ProxyEvent::PoolLinkLost { address };
                self.deliver_now(client, event);
            }
            ScheduledStep::ClosePoolLink { link } => {
                let Some(ended) = self.links.get_mut(&link) else { return };
                if std::mem::replace(&mut ended.server_left, true) {
                    return;
                }
                let server = ended.server;
                self.remove_left_link(link);
                let event = proxy_message::ProxyEvent::PoolLinkClosed { link };
                self.deliver_now(server, event);
            }
            ScheduledStep::GiveUpDuty { host, incarnation, call } => {
                self.give_up_duty(host, incarnation, call);
            }
            ScheduledStep::ExpireLeases => {
                let replies = self.store.expire(self.now);
                self.deliver_replies(replies);
                self.push(self.now + 50_000, ScheduledStep::ExpireLeases);
            }
        }
    }

    fn perform(&mut self, host: usize, action: proxy_message::ProxyAction) {
        let incarnation = self.hosts[host].incarnation;
        match action {
            proxy_message::ProxyAction::AcceptCaller { caller, refusal } => {
                self.refusals.insert((host, caller), refusal);
            }
            proxy_message::ProxyAction::RespondToCaller { caller, response } => {
                self.check_response(host, caller, &response);
                let received = ReceivedResponse { at: self.now, response };
                self.responses.entry((host, caller)).or_default().push_back(received);
            }
            proxy_message::ProxyAction::CloseCaller { caller } => {
                self.sessions.remove(&(host, caller));
            }
            proxy_message::ProxyAction::OpenConnection {
                connection, account, endpoint, ..
            } => {
                let session = fake_database::FakeSession::default();
                let fake = FakeConnection { endpoint: endpoint.clone(), account, session };
                self.connections.insert((host, incarnation, connection), fake);
                self.push(
                    self.now + 2 * self.database_latency_us,
                    ScheduledStep::OpenConnection { host, incarnation, connection, endpoint },
                );
            }
            proxy_message::ProxyAction::SendCommand { connection, command } => {
                self.push(
                    self.now + self.database_latency_us,
                    ScheduledStep::ReceiveCommand { host, incarnation, connection, command },
                );
            }
            proxy_message::ProxyAction::CloseConnection { connection } => {
                self.connections.remove(&(host, incarnation, connection));
            }
            proxy_message::ProxyAction::CallStore { call, request } => {
                let timeout = match &request {
                    store_message::StoreRequest::List { limit, .. }
                    | store_message::StoreRequest::Watch { limit, .. } => limit.as_micros() as u64,
                    _ => 1_200_000,
                };
                let timeout_at = self.now + timeout;
                self.push(
                    self.now + STORE_LATENCY_US,
                    ScheduledStep::CallStore { host, incarnation, call, request },
                );
                let event = proxy_message::ProxyEvent::StoreReplied {
                    call,
                    reply: store_message::StampedReply::unstamped(
                        store_message::StoreReply::NoReply,
                    ),
                };
                self.push(timeout_at, ScheduledStep::DeliverEvent { host, incarnation, event });
            }
            proxy_message::ProxyAction::CallDuty { call, duty, token, deadline, .. }
                if self.held_duties.host == Some(host) =>
            {
                let held = held_duties::HeldDuty { incarnation, call, duty, token };
                self.held_duties.calls.push(held);
                self.limit_duty(host, incarnation, call, deadline);
            }
            proxy_message::ProxyAction::SetDutyDeadline { call, deadline } => {
                self.limit_duty(host, incarnation, call, deadline);
            }
            proxy_message::ProxyAction::CallDuty { call, duty, token, .. } => {
                let reply = self.take_duty_call(host, duty, token);
                let event = proxy_message::ProxyEvent::DutyReplied { call, reply };
                self.push(
                    self.now + 2 * STORE_LATENCY_US,
                    ScheduledStep::DeliverEvent { host, incarnation, event },
                );
            }
            proxy_message::ProxyAction::SendDatagram { address, message } => {
                let peer = host_at(&address).filter(|peer| *peer < self.hosts.len());
                let Some(peer) = peer else { return };
                let bytes = rmp_serde::to_vec(&message).map_or(0, |bytes| bytes.len());
                *self.datagram_bytes.entry(host).or_default() += bytes;
                self.usage_datagrams += u64::from(matches!(
                    message,
                    peer_datagram::PeerDatagram::UsageTotals(_)
                        | peer_datagram::PeerDatagram::UsageReceipt(_)
                ));
                let relay = matches!(
                    message,
                    peer_datagram::PeerDatagram::ChangesRequest(_)
                        | peer_datagram::PeerDatagram::RelayedChanges(_)
                        | peer_datagram::PeerDatagram::ConfigOffer(_)
                );
                let unknown = relay
                    && [host, peer].iter().any(|side| self.hosts_without_relay.contains(side));
                let lost = unknown
                    || (self.datagram_loss > 0.0 && self.rng.random::<f64>() < self.datagram_loss);
                if !lost && self.can_reach(&PartitionSide::Host(host), &PartitionSide::Host(peer)) {
                    let incarnation = self.hosts[peer].incarnation;
                    let delays = [Some(Duration::ZERO), self.datagram_repeat];
                    for delay in delays.into_iter().flatten() {
                        let message = message.clone();
                        let event = proxy_message::ProxyEvent::DatagramReceived { message };
                        self.push(
                            self.now + HOST_LATENCY_US + delay.as_micros() as u64,
                            ScheduledStep::DeliverEvent { host: peer, incarnation, event },
                        );
                    }
                }
            }
            proxy_message::ProxyAction::SendPoolRequest { address, request } => {
                self.send_pool_request(host, &address, request);
            }
            proxy_message::ProxyAction::ClosePoolLink { address } => {
                let Some(link) = self.link_to(host, &address) else { return };
                let Some(closed) = self.links.get_mut(&link) else { return };
                closed.client_left = true;
                let server = closed.server.0;
                let reachable =
                    self.can_reach(&PartitionSide::Host(host), &PartitionSide::Host(server));
                let at = self.now + if reachable { HOST_LATENCY_US } else { LINK_DARK_US };
                self.push(at, ScheduledStep::ClosePoolLink { link });
            }
            proxy_message::ProxyAction::SendPoolReply { link, reply } => {
                let Some(open) = self.links.get_mut(&link) else { return };
                let client = open.client.0;
                open.replies.push_back(reply);
                let at = self.now + HOST_LATENCY_US + self.hosts[client].event_delay_us;
                self.push(at, ScheduledStep::ReceivePoolReply { link });
            }
            proxy_message::ProxyAction::SetReadiness { ready } => self.hosts[host].ready = ready,
            proxy_message::ProxyAction::Stop => {
                self.hosts[host].stopped = true;
                self.end_links(host, incarnation);
            }
        }
    }

    /// Returns the link that a host has opened to an address.
    fn link_to(&self, host: usize, address: &str) -> Option<pool_message::LinkId> {
        let client = (host, self.hosts[host].incarnation);
        let found = self.links.iter().find(|(_, link)| {
            link.client == client && !link.client_left && pool_address(link.server.0) == address
        });
        found.map(|(id, _)| *id)
    }

    /// Sends a request to a serving host; opens the link if there is none.
    fn send_pool_request(
        &mut self,
        host: usize,
        address: &str,
        request: pool_message::PoolRequest,
    ) {
        self.pool_requests += 1;
        let server = (0..self.hosts.len()).find(|server| pool_address(*server) == address);
        let Some(server) = server else { return };
        let link = self.link_to(host, address).unwrap_or_else(|| {
            let link = self.next_link;
            self.next_link += 1;
            let client = (host, self.hosts[host].incarnation);
            let server = (server, self.hosts[server].incarnation);
            self.links.insert(link, fake_link::FakeLink::new(client, server));
            link
        });
        let Some(open) = self.links.get_mut(&link) else { return };
        let first = !std::mem::replace(&mut open.used, true);
        open.requests.push_back(request);
        let (side, other) = (PartitionSide::Host(host), PartitionSide::Host(server));
        let running = self.hosts[server].alive && !self.hosts[server].stopped;
        if first && !self.can_reach(&side, &other) {
            self.push(self.now + LINK_TIMEOUT_US, ScheduledStep::LosePoolLink { link });
        } else if first && !running {
            self.push(self.now + 2 * HOST_LATENCY_US, ScheduledStep::LosePoolLink { link });
        }
        let at = self.now + HOST_LATENCY_US + self.hosts[server].event_delay_us;
        self.push(at, ScheduledStep::ReceivePoolRequest { link });
    }

    fn receive_pool_request(&mut self, link: pool_message::LinkId) {
        let Some(open) = self.links.get_mut(&link) else { return };
        let Some(request) = open.requests.pop_front() else { return };
        let (client, server) = (open.client, open.server);
        let cut = !self.can_reach(&PartitionSide::Host(client.0), &PartitionSide::Host(server.0));
        let Some(open) = self.links.get_mut(&link) else { return };
        open.silent |= cut;
        if !open.silent && !open.server_left {
            let event = proxy_message::ProxyEvent::PoolRequestReceived { link, request };
            self.deliver_now(server, event);
        }
    }

    fn receive_pool_reply(&mut self, link: pool_message::LinkId) {
        let Some(open) = self.links.get_mut(&link) else { return };
        let Some(reply) = open.replies.pop_front() else { return };
        let (client, server) = (open.client, open.server);
        let cut = !self.can_reach(&PartitionSide::Host(server.0), &PartitionSide::Host(client.0));
        let Some(open) = self.links.get_mut(&link) else { return };
        open.silent |= cut;
        if !open.silent && !open.client_left {
            let address = pool_address(server.0);
            let event = proxy_message::ProxyEvent::PoolReplyReceived { address, reply };
            self.deliver_now(client, event);
        }
    }

    /// Hands an event to a process of a host unless the process has ended.
    fn deliver_now(&mut self, process: (usize, u64), event: proxy_message::ProxyEvent) {
        let (host, incarnation) = process;
        if self.hosts[host].incarnation == incarnation {
            self.handle_event(host, event);
        }
    }

    fn remove_left_link(&mut self, link: pool_message::LinkId) {
        if self.links.get(&link).is_some_and(|link| link.client_left && link.server_left) {
            self.links.remove(&link);
        }
    }

    /// Returns the host whose suspension keeps it from taking a step on a link.
    fn link_step_host(&self, step: &ScheduledStep) -> Option<usize> {
        let (link, to_server) = match step {
            ScheduledStep::ReceivePoolRequest { link } | ScheduledStep::ClosePoolLink { link } => {
                (link, true)
            }
            ScheduledStep::ReceivePoolReply { link } | ScheduledStep::LosePoolLink { link } => {
                (link, false)
            }
            _ => return None,
        };
        let link = self.links.get(link)?;
        Some(if to_server { link.server.0 } else { link.client.0 })
    }

    /// Opens a connection, or refuses it if the database is not running.
    /// Has the platform take the call of a duty.
    /// Sets when a held call of a duty is given up.
    fn limit_duty(
        &mut self,
        host: usize,
        incarnation: u64,
        call: core_message::CallId,
        deadline: clock_time::ClockTime,
    ) {
        let at = deadline.as_micros() + self.hosts[host].clock_lag_us;
        self.held_duties.deadlines.insert((incarnation, call), at);
        self.push(at.max(self.now), ScheduledStep::GiveUpDuty { host, incarnation, call });
    }

    /// Drops a held call of a duty whose deadline has passed.
    fn give_up_duty(&mut self, host: usize, incarnation: u64, call: core_message::CallId) {
        let key = (incarnation, call);
        if self.held_duties.deadlines.get(&key).is_none_or(|at| *at > self.now) {
            return;
        }
        let Some(_) = self.held_duties.take(key) else { return };
        let reply = duty_call::DutyReply::NoReply;
        let event = proxy_message::ProxyEvent::DutyReplied { call, reply };
        self.push(self.now, ScheduledStep::DeliverEvent { host, incarnation, event });
    }

    /// Has the calls of a host's duties be held up on their way from now on.
    pub(crate) fn hold_duties(&mut self, host: usize) {
        self.held_duties.host = Some(host);
    }

    /// Returns the number of calls of duties that are held up.
    pub(crate) fn held_duties(&self) -> usize {
        self.held_duties.calls.len()
    }

    /// Returns the number of calls of duties that have been held up since the start.
    pub(crate) fn duties_ever_held(&self) -> usize {
        self.held_duties.deadlines.len()
    }

    /// Has the calls of duties that were held up and not given up arrive.
    pub(crate) fn release_duties(&mut self) {
        let Some(host) = self.held_duties.host.take() else { return };
        for held in std::mem::take(&mut self.held_duties.calls) {
            let (incarnation, call) = (held.incarnation, held.call);
            let reply = self.take_duty_call(host, held.duty, held.token);
            let event = proxy_message::ProxyEvent::DutyReplied { call, reply };
            self.push(self.now, ScheduledStep::DeliverEvent { host, incarnation, event });
        }
    }

    fn take_duty_call(
        &mut self,
        host: usize,
        duty: duty_call::DutyCall,
        token: u64,
    ) -> duty_call::DutyReply {
        if !self.can_reach(&PartitionSide::Host(host), &PartitionSide::Store) {
            return duty_call::DutyReply::NoReply;
        }
        match duty {
            duty_call::DutyCall::Promotion { group, endpoint } => {
                let broken = self.platform.note_promotion(&group, token);
                self.violations.extend(broken);
                if !self.databases.get(&endpoint).is_some_and(|database| database.up) {
                    return duty_call::DutyReply::Rejected;
                }
                let step = ScheduledStep::CompletePromotion { group, endpoint };
                self.push(self.now + self.promotion_us, step);
                duty_call::DutyReply::Accepted
            }
            duty_call::DutyCall::Usage { window, counts } => {
                let at = self.now;
                let report = fake_platform::ArrivedReport { at, host, token, window, counts };
                let turn_us = self.tuning.duty_turn.as_micros() as u64;
                let (reply, broken) = self.platform.report(report, turn_us);
                self.violations.extend(broken);
                reply
            }
        }
    }

    fn connect(
        &mut self,
        host: usize,
        incarnation: u64,
        connection: arena_keys::ConnectionKey,
        endpoint: &str,
    ) {
        let place = PartitionSide::Database(endpoint.to_owned());
        if !self.can_reach(&PartitionSide::Host(host), &place)
            || !self.connections.contains_key(&(host, incarnation, connection))
        {
            return;
        }
        let Some(database) = self.databases.get_mut(endpoint) else { return };
        database.occupy_for_handshake(self.now);
        let up = database.up;
        let mut repeated = None;
        let event = if up {
            *self.connections_opened.entry(endpoint.to_owned()).or_default() += 1;
            let held = self.connections.values().filter(|other| other.endpoint == endpoint);
            let held = held.count();
            let most = self.connections_most.entry(endpoint.to_owned()).or_default();
            *most = held.max(*most);
            let response = endpoint_command::EndpointResponse {
                rows: Vec::new(),
                outcome: Ok(String::new()),
                phase: endpoint_command::SessionPhase::Idle,
                position: Some(database.position()),
                report: None,
            };
            repeated = Some(response.clone());
            proxy_message::ProxyEvent::ConnectionOpened { connection, response }
        } else {
            self.connections.remove(&(host, incarnation, connection));
            proxy_message::ProxyEvent::ConnectionClosed { connection, refused: true }
        };
        self.push(
            self.now + self.database_latency_us,
            ScheduledStep::DeliverEvent { host, incarnation, event },
        );
        if let Some(response) = repeated {
            self.stutter(host, incarnation, connection, endpoint, response);
        }
    }

    /// Schedules the repetition of an answer that was just sent, if its database stutters.
    fn stutter(
        &mut self,
        host: usize,
        incarnation: u64,
        connection: arena_keys::ConnectionKey,
        endpoint: &str,
        response: endpoint_command::EndpointResponse,
    ) {
        let Some(stutter) = self.stutters.get(endpoint) else { return };
        let kind = fake_stutter::AnswerKind::of(&response);
        if !stutter.kinds.contains(&kind) || self.rng.random::<f64>() >= stutter.share {
            return;
        }
        let delay_us = 1_000 * self.rng.random_range(stutter.delay_ms.clone());
        *self.repeated.entry(kind).or_default() += 1;
        let step = ScheduledStep::RepeatAnswer { host, incarnation, connection, response };
        self.push(self.now + delay_us, step);
    }

    /// Sends an answer again unless its connection has ended.
    fn repeat_answer(
        &mut self,
        host: usize,
        incarnation: u64,
        connection: arena_keys::ConnectionKey,
        response: endpoint_command::EndpointResponse,
    ) {
        let Some(fake) = self.connections.get(&(host, incarnation, connection)) else { return };
        let place = PartitionSide::Database(fake.endpoint.clone());
        if !self.can_reach(&place, &PartitionSide::Host(host)) {
            return;
        }
        let event = proxy_message::ProxyEvent::ResponseReceived { connection, response };
        self.push(
            self.now + self.database_latency_us,
            ScheduledStep::DeliverEvent { host, incarnation, event },
        );
    }

    /// Has a database receive a command, which takes time if a caller sent it.
    fn receive_command(
        &mut self,
        host: usize,
        incarnation: u64,
        connection: arena_keys::ConnectionKey,
        command: endpoint_command::EndpointCommand,
    ) {
        let side = PartitionSide::Host(host);
        let Some(fake) = self.connections.get_mut(&(host, incarnation, connection)) else { return };
        let endpoint = fake.endpoint.clone();
        let place = PartitionSide::Database(endpoint.clone());
        if self.partitions.contains(&(side, place)) {
            return;
        }
        let Some(database) = self.databases.get_mut(&endpoint) else { return };
        let sets_up = matches!(
            command,
            endpoint_command::EndpointCommand::Set { .. }
                | endpoint_command::EndpointCommand::Prepare { .. }
                | endpoint_command::EndpointCommand::Begin { .. }
        );
        let fault = match (command.is_from_caller(), sets_up) {
            (true, _) => database.rejections.pop_front(),
            (_, true) => database.setup_rejections.pop_front(),
            _ => None,
        };
        let done = match command.is_from_caller() {
            true => database.occupy_for_command(self.now),
            false => Some(self.now),
        };
        if let (None, Some(done)) = (&fault, done) {
            let step = ScheduledStep::ExecuteCommand { host, incarnation, connection, command };
            return self.push(done, step);
        }
        let fault = fault.unwrap_or(endpoint_command::EndpointFault::Busy);
        let response = database.reject(&mut fake.session, fault);
        self.send_response(host, incarnation, connection, endpoint, response);
    }

    /// Executes a command at the database and sends the response unless it is lost.
    fn execute_command(
        &mut self,
        host: usize,
        incarnation: u64,
        connection: arena_keys::ConnectionKey,
        command: endpoint_command::EndpointCommand,
    ) {
        let Some(fake) = self.connections.get_mut(&(host, incarnation, connection)) else { return };
        let endpoint = fake.endpoint.clone();
        let account = fake.account.clone();
        let Some(database) = self.databases.get_mut(&endpoint).filter(|database| database.up)
        else {
            return;
        };
        let (request, runs) = match &command {
            endpoint_command::EndpointCommand::Run { id, .. } => (Some(id.clone()), true),
            endpoint_command::EndpointCommand::Commit { id } => (Some(id.clone()), false),
            _ => (None, false),
        };
        let number = self.next_signature;
        self.next_signature += 1;
        let signature = format!("{endpoint}.{number}.{}", request.as_deref().unwrap_or_default());
        let settings = fake.session.settings().clone();
        let transaction = fake.session.transaction_requests().map(<[String]>::to_vec);
        let (response, effect) = database.run(&mut fake.session, command, &signature);
        if let Some(status) = response.report {
            self.statuses.entry(endpoint.clone()).or_default().push((self.now, status));
        }
        if let Some(request) = &request {
            self.ledger.record(request, &response);
            if response.outcome.is_ok() {
                self.check_transaction(request, transaction.as_deref());
                self.check_settings(request, &settings);
            }
        }
        if let Some(request) = request.as_ref().filter(|_| runs) {
            self.record_execution(request, &account);
        }
        let committed = effect == fake_database::StatementEffect::Committed;
        match (effect, &request) {
            (fake_database::StatementEffect::Read, Some(request)) => {
                self.check_read(&endpoint, request);
            }
            (fake_database::StatementEffect::Committed, _) => {
                if endpoint == self.primary_of(&self.group_of(&endpoint)) {
                    let broken = self.ledger.check_commit(&self.databases[&endpoint].log);
                    self.violations.extend(broken);
                }
                self.replicate_to_others(&endpoint);
            }
            _ => {}
        }
        if committed && self.sync_replicas(&endpoint) > 0 {
            let Some(entry) = self.databases[&endpoint].log.last().cloned() else { return };
            let commit = PendingCommit { host, incarnation, connection, endpoint, entry, response };
            return self.acknowledge_commit(commit);
        }
        self.send_response(host, incarnation, connection, endpoint, response);
    }

    /// Returns how many replicas have to receive a commit at an endpoint before it is acknowledged.
    fn sync_replicas(&self, endpoint: &str) -> usize {
        let group = &self.databases[endpoint].group;
        self.config.groups.get(group).map_or(0, |group| group.sync_replicas as usize)
    }

    /// Sends the response to a commit, or checks again later, while its primary runs.
    fn acknowledge_commit(&mut self, commit: PendingCommit) {
        let primary = &self.databases[&commit.endpoint];
        if !primary.up || !primary.primary {
            return;
        }
        let others = self.databases_of(&primary.group).filter(|(id, _)| **id != commit.endpoint);
        let received = others.filter(|(_, other)| other.log.contains(&commit.entry)).count();
        if received < self.sync_replicas(&commit.endpoint) {
            let step = ScheduledStep::AcknowledgeCommit(commit);
            return self.push(self.now + COMMIT_CHECK_US, step);
        }
        let PendingCommit { host, incarnation, connection, endpoint, response, .. } = commit;
        self.send_response(host, incarnation, connection, endpoint, response);
    }

    fn send_response(
        &mut self,
        host: usize,
        incarnation: u64,
        connection: arena_keys::ConnectionKey,
        endpoint: String,
        response: endpoint_command::EndpointResponse,
    ) {
        let lost = self.rng.random::<f64>() < self.response_loss;
        let place = PartitionSide::Database(endpoint.clone());
        if !lost && self.can_reach(&place, &PartitionSide::Host(host)) {
            self.error_answers += usize::from(response.outcome.is_err());
            let repeated = response.clone();
            let event = proxy_message::ProxyEvent::ResponseReceived { connection, response };
            self.push(
                self.now + self.database_latency_us,
                ScheduledStep::DeliverEvent { host, incarnation, event },
            );
            self.stutter(host, incarnation, connection, &endpoint, repeated);
        }
    }

    /// Schedules the replication of the current log of `from` to all other databases.
    fn replicate_to_others(&mut self, from: &str) {
        let length = self.databases[from].log.len();
        let term = self.databases[from].term;
        let replicas: Vec<(String, u64)> = self
            .databases
            .iter()
            .filter(|(id, database)| {
                id.as_str() != from && database.group == self.databases[from].group
            })
            .map(|(id, database)| (id.clone(), database.replication_lag_us))
            .collect();
        for (to, replication_lag_us) in replicas {
            let from = from.to_owned();
            self.push(
                self.now + replication_lag_us,
                ScheduledStep::Replicate { from, to, length, term },
            );
        }
    }

    /// Copies the first `length` entries of the log if the sender is still the primary of `term`.
    fn replicate(&mut self, from: &str, to: &str, length: usize, term: u64) {
        let reachable = self.can_reach(
            &PartitionSide::Database(from.to_owned()),
            &PartitionSide::Database(to.to_owned()),
        );
        let is_primary = self.databases[from].up && self.databases[from].primary;
        let newest = self.databases[to].term <= term;
        if !reachable || !is_primary || !newest || self.databases[from].term != term {
            return;
        }
        let log = self.databases[from].log[..length.min(self.databases[from].log.len())].to_vec();
        if let Some(database) = self.databases.get_mut(to).filter(|database| database.up)
            && !database.deaf
            && (database.log.len() < log.len() || database.term < term)
        {
            database.log = log;
            database.term = term;
            database.primary = false;
        }
    }

    /// Makes an endpoint the primary of a new term. Acknowledged writes that it lacks are lost with
    /// the old primary, which violates a guarantee if the group has synchronous replicas.
    fn complete_promotion(&mut self, group: &str, endpoint: &str) {
        let newest = self.newest_term(group);
        let already = self.databases[endpoint].primary && self.databases[endpoint].term == newest;
        if already || !self.databases[endpoint].up {
            return;
        }
        let term = newest + 1;
        let others: Vec<String> = self
            .databases_of(group)
            .map(|(id, _)| id.clone())
            .filter(|id| id != endpoint)
            .collect();
        if let Some(database) = self.databases.get_mut(endpoint) {
            database.primary = true;
            database.term = term;
        }
        let kept: BTreeSet<String> = self.databases[endpoint]
            .log
            .iter()
            .flat_map(|entry| entry.requests.iter().cloned())
            .collect();
        let acknowledged = std::mem::take(&mut self.acknowledged);
        let (kept, lost): (Vec<AcknowledgedWrite>, Vec<AcknowledgedWrite>) = acknowledged
            .into_iter()
            .partition(|write| write.group != group || kept.contains(&write.request));
        self.acknowledged = kept;
        self.lost_writes += lost.len();
        if !lost.is_empty() && self.sync_replicas(endpoint) > 0 {
            let count = lost.len();
            let text = format!("{endpoint} was promoted without {count} acknowledged writes");
            self.violations.push(text);
        }
        self.register_again(endpoint);
        self.replicate_to_others(endpoint);
        for other in others {
            self.push(
                self.now + STEP_DOWN_US,
                ScheduledStep::DemotePrimary { endpoint: other, term },
            );
        }
    }

    /// Makes a replaced primary a replica, or tries again later while it does not reach the new one.
    fn demote_primary(&mut self, endpoint: String, term: u64) {
        let place = PartitionSide::Database(endpoint.clone());
        let reaches_new = self.databases_of(&self.group_of(&endpoint)).any(|(id, database)| {
            let other = PartitionSide::Database(id.clone());
            database.term >= term && database.primary && self.can_reach(&place, &other)
        });
        let Some(database) = self.databases.get_mut(&endpoint) else { return };
        if database.term >= term || !database.primary {
            return;
        }
        if !reaches_new {
            let step = ScheduledStep::DemotePrimary { endpoint, term };
            return self.push(self.now + STEP_DOWN_US, step);
        }
        database.primary = false;
        self.register_again(&endpoint);
    }

    /// Checks that a statement ran for the account that sent it, and counts it once.
    fn record_execution(&mut self, request: &str, account: &str) {
        let Some(sent_request) = self.sent_requests.get(request) else {
            return self.violations.push(format!("a statement ran that no caller sent: {request}"));
        };
        if sent_request.account != account {
            self.violations.push(format!(
                "{request} of account {} ran on a connection of {account}",
                sent_request.account
            ));
        }
        if self.executed.insert(request.to_owned()) {
            let (account, now) = (sent_request.account.clone(), self.now);
            self.executions.entry(account).or_default().push(now);
        }
    }

    /// Checks that a statement ran with the settings of its session.
    fn check_settings(&mut self, request: &str, settings: &BTreeMap<String, String>) {
        let Some(sent_request) = self.sent_requests.get(request) else { return };
        let expected =
            self.session_settings.get(&sent_request.session).cloned().unwrap_or_default();
        if *settings != expected {
            self.violations.push(format!(
                "PINNED: {request} ran with settings {settings:?}, expected {expected:?}"
            ));
        }
    }

    /// Checks that a statement or COMMIT ran inside its own transaction, whose earlier statements
    /// are given, or outside of one.
    fn check_transaction(&mut self, request: &str, transaction: Option<&[String]>) {
        let Some(sent_request) = self.sent_requests.get(request) else { return };
        let other = transaction.unwrap_or_default().iter().find(|other| {
            let other = self.sent_requests.get(*other);
            other.is_some_and(|other| other.session != sent_request.session)
        });
        if let Some(other) = other {
            self.violations
                .push(format!("PINNED: {request} ran in the transaction of another, {other}"));
        }
        match (sent_request.in_transaction, transaction.is_some()) {
            (Some(true), false) => {
                self.violations.push(format!("PINNED: {request} ran outside its transaction"));
            }
            (Some(false), true) => {
                self.violations.push(format!("PINNED: {request} ran inside a transaction"));
            }
            _ => {}
        }
    }

    /// Checks that the endpoint of a read holds all writes that the route requires.
    fn check_read(&mut self, endpoint: &str, request: &str) {
        let Some(sent_request) = self.sent_requests.get(request).cloned() else { return };
        let Some(route) = self.config.routes.get(&sent_request.database) else { return };
        let age = route.kind.max_age().map_or(0, |age| age.as_micros() as u64);
        let own = matches!(route.kind, proxy_config::RouteKind::ReadYourWrites { .. });
        let held: BTreeSet<&String> =
            self.databases[endpoint].log.iter().flat_map(|entry| entry.requests.iter()).collect();
        let missing = self.acknowledged.iter().find(|write| {
            let due = write.at + age < sent_request.at;
            let session =
                own && write.session == sent_request.session && write.at < sent_request.at;
            write.group == self.databases[endpoint].group
                && (due || session)
                && !held.contains(&write.request)
        });
        if let Some(write) = missing {
            self.violations.push(format!(
                "stale read: {request} on {endpoint} at {} us lacks {}, acknowledged at {} us",
                self.now, write.request, write.at
            ));
        }
    }

    /// Checks that a response is true for all writes whose outcome it decides: an acknowledged
    /// write is in the log of the primary, exactly once, and a write that did not run is not.
    fn check_response(
        &mut self,
        host: usize,
        caller: core_message::CallerId,
        response: &proxy_message::CallerResponse,
    ) {
        let session = (host, caller);
        let Some((id, writes)) = self.unanswered.get_mut(&session).and_then(VecDeque::pop_front)
        else {
            return self
                .violations
                .push(format!("response without a pending request at host {host}"));
        };
        self.session_phases.insert(session, response.phase);
        let ran = response.verdict.fate == request_verdict::RequestFate::Ran;
        if ran && self.sent_requests.get(&id).is_some_and(|request| request.signed) {
            self.violations.extend(self.ledger.check_success(&id, response));
        }
        if writes {
            self.uncommitted_writes.entry(session).or_default().push(id);
        }
        if response.phase == endpoint_command::SessionPhase::Open {
            return;
        }
        let pending = self.uncommitted_writes.remove(&session).unwrap_or_default();
        for request in pending {
            let group = self.group_of_write(&request);
            let primary_id = self.primary_of(&group);
            let held = |id: &String| {
                self.databases[id].log.iter().any(|entry| entry.requests.contains(&request))
            };
            let commits = self.databases[&primary_id]
                .log
                .iter()
                .filter(|entry| entry.requests.contains(&request))
                .count();
            if commits > 1 {
                self.violations.push(format!("{request} was committed twice"));
            }
            match response.verdict.fate {
                request_verdict::RequestFate::Ran if response.signature.is_some() => {
                    if !held(&primary_id) {
                        let holders: Vec<String> =
                            self.databases.keys().filter(|id| held(id)).cloned().collect();
                        let states: Vec<(bool, u64)> = self
                            .databases
                            .values()
                            .map(|database| (database.primary, database.term))
                            .collect();
                        self.violations.push(format!(
                            "host {host} acknowledged {request} at {} us, but primary \
                             {primary_id} lacks it; databases that hold it: {holders:?}; primary \
                             and term of each: {states:?}",
                            self.now
                        ));
                    }
                    let log = &self.databases[&primary_id].log;
                    let entry = log.iter().find(|entry| entry.requests.contains(&request));
                    let before_all = endpoint_message::LogPoint { term: 0, position: 0 };
                    let point = entry.map_or(before_all, |entry| entry.point);
                    let write = AcknowledgedWrite { at: self.now, group, request, session, point };
                    self.acknowledged.push(write);
                }
                request_verdict::RequestFate::NotRun => {
                    if held(&primary_id) {
                        self.violations.push(format!(
                            "REFUSED: {request} was committed, but the response says that it did \
                             not run"
                        ));
                    }
                    self.ledger.promise(&request);
                }
                _ => {}
            }
        }
    }
}

/// Returns a duration in milliseconds.
pub(crate) fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns a statement that reads.
pub(crate) fn read() -> session_request::SessionRequest {
    let kind = session_request::StatementKind::Read;
    session_request::SessionRequest::Statement { kind, text: "READ a".to_owned() }
}

/// Returns a statement that writes.
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
    incarnation: u64,
    now: u64,
    tuning: &proxy_tuning::ProxyTuning,
    seed: u64,
) -> proxy_core::ProxyCore {
    let identity = store_record::MemberRecord {
        host: format!("host{host}"),
        incarnation,
        address: peer_address(host),
        data_centre: format!("centre{}", host % 3),
    };
    let now = clock_time::ClockTime::from_micros(now);
    proxy_core::ProxyCore::new(identity, tuning.clone(), seed, now)
        .unwrap_or_else(|error| panic!("{error:#}"))
}

fn pool_address(host: usize) -> String {
    serving_hosts::pool_address(&peer_address(host)).unwrap_or_default()
}

fn peer_address(host: usize) -> String {
    format!("10.1.0.{host}:1")
}

fn host_at(address: &str) -> Option<usize> {
    address.strip_prefix("10.1.0.")?.strip_suffix(":1")?.parse().ok()
}
