//! Simulates a fleet in virtual time around real decision cores.
//!
//! Each host runs a real core, databases and the platform are the models of the stand-ins, and the
//! network is a queue of deliveries. `InvariantChecker` checks the fleet's guarantees after each
//! event.

#![allow(dead_code, reason = "each test program uses a part of the simulation")]

pub(crate) mod fleet_world;
pub(crate) mod invariant_checker;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use quetzaldeal::config::config_head;
use quetzaldeal::config::fleet_config;
use quetzaldeal::core::arena_keys;
use quetzaldeal::core::clock_time;
use quetzaldeal::core::core_context;
use quetzaldeal::core::core_message;
use quetzaldeal::core::core_tuning;
use quetzaldeal::core::decision_core;
use quetzaldeal::core::endpoint_message;
use quetzaldeal::core::peer_message;
use quetzaldeal::core::platform_message;
use quetzaldeal::core::request_verdict;
use quetzaldeal::daemon::endpoint_sql;
use stand_ins::database_model::DatabaseModel;
use stand_ins::platform_model::PlatformModel;

use invariant_checker::InvariantChecker;

/// Network delay in one direction, in microseconds.
const ONE_WAY_DELAY_US: u64 = 1_000;
/// Time after which the driver reports a lost call to the core, in microseconds.
const LOST_CALL_TIMEOUT_US: u64 = 1_000_000;
/// Name of the platform in `FakeFleet::cut` and `FakeFleet::heal`.
pub(crate) const PLATFORM_NAME: &str = "platform";

/// A host that runs a real core while its process is alive.
pub(crate) struct FakeHost {
    pub(crate) centre: String,
    pub(crate) address: String,
    pub(crate) core: Option<decision_core::DecisionCore>,
    pub(crate) incarnation: u64,
    pub(crate) paused: bool,
    /// Events that arrived while the process was paused.
    deferred: Vec<core_message::CoreEvent>,
    /// Time of the earliest queued `Delivery::Wake`.
    next_wake: Option<clock_time::ClockTime>,
}

/// A simulated database with its injected faults.
pub(crate) struct FakeDatabase {
    pub(crate) address: String,
    pub(crate) centre: String,
    pub(crate) model: DatabaseModel,
    pub(crate) alive: bool,
    /// Interval at which a replica pulls from its primary, in milliseconds.
    pub(crate) replication_lag_ms: u64,
    /// Time that each statement takes, in milliseconds.
    pub(crate) statement_ms: u64,
    /// How often the database was started with no data; each start is another copy.
    rebuild_count: u64,
    connections: HashMap<ProcessConnection, u64>,
    /// Connections that never respond again.
    hung_connections: BTreeSet<u64>,
    /// Number of next calls whose answer cannot be matched.
    pub(crate) unmatched_answers: u32,
    next_connection: u64,
}

/// A caller's connection to a host and the last responses it got.
pub(crate) struct FakeCaller {
    pub(crate) host: String,
    pub(crate) account: String,
    pub(crate) id: u64,
    /// Whether the host admitted the caller; `None` until it responds.
    pub(crate) admission: Option<Result<(), request_verdict::RequestVerdict>>,
    /// The last statement and when it was sent.
    pub(crate) sent: Option<(String, clock_time::ClockTime)>,
    pub(crate) response: Option<(request_verdict::RequestVerdict, endpoint_message::ResponseBody)>,
    pub(crate) closed: bool,
}

/// Identifies a connection across hosts: a core's own key is unique within its process only.
/// `process` is the incarnation of the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ProcessConnection {
    process: u64,
    connection: arena_keys::ConnectionKey,
}

/// An event of the simulation that is due at a time. `process` is the incarnation of the host, so
/// that events for a process that died are dropped.
enum Delivery {
    Host {
        host: String,
        process: u64,
        event: core_message::CoreEvent,
    },
    Wake {
        host: String,
        process: u64,
    },
    Open {
        database: String,
        host: String,
        process: u64,
        connection: arena_keys::ConnectionKey,
    },
    Call {
        database: String,
        host: String,
        process: u64,
        connection: arena_keys::ConnectionKey,
        call: core_message::CallId,
        request: endpoint_message::EndpointRequest,
    },
    Peer {
        to: String,
        from: String,
        process: u64,
        call: core_message::CallId,
        request: peer_message::PeerRequest,
    },
    Platform {
        host: String,
        process: u64,
        call: core_message::CallId,
        request: platform_message::PlatformRequest,
    },
    WatchEnd {
        process: u64,
        call: core_message::CallId,
    },
    Replicate {
        database: String,
    },
}

/// A watch call that the platform holds until an entry changes or the wait ends.
struct PlatformWatch {
    host: String,
    process: u64,
    call: core_message::CallId,
    prefix: String,
    after: u64,
    until: clock_time::ClockTime,
}

/// A simulated fleet of hosts with real cores, databases, callers and the platform.
pub(crate) struct FakeFleet {
    pub(crate) now: clock_time::ClockTime,
    pub(crate) hosts: BTreeMap<String, FakeHost>,
    pub(crate) databases: BTreeMap<String, FakeDatabase>,
    pub(crate) callers: BTreeMap<String, FakeCaller>,
    pub(crate) platform: PlatformModel,
    pub(crate) outage: bool,
    /// Added to the delay of calls to the platform and of its replies, in milliseconds.
    pub(crate) platform_delay_ms: u64,
    /// Number of compare-and-swap calls to come that take effect but whose replies are lost.
    pub(crate) lose_replies: u32,
    pub(crate) checker: InvariantChecker,
    pub(crate) config: fleet_config::FleetConfig,
    pub(crate) version: u64,
    pub(crate) tuning: core_tuning::CoreTuning,
    cuts: BTreeSet<(String, String)>,
    queue: BTreeMap<(clock_time::ClockTime, u64), Delivery>,
    watches: Vec<PlatformWatch>,
    /// Peer requests that await a reply, by request: called host, calling host, its process, call.
    peer_calls: HashMap<u64, (String, String, u64, core_message::CallId)>,
    sequence: u64,
    seed: u64,
}

impl FakeFleet {
    pub(crate) fn new(config: fleet_config::FleetConfig, seed: u64) -> Self {
        let mut fleet = Self {
            now: clock_time::ClockTime::from_millis(1_000),
            hosts: BTreeMap::new(),
            databases: BTreeMap::new(),
            callers: BTreeMap::new(),
            platform: PlatformModel::default(),
            outage: false,
            platform_delay_ms: 0,
            lose_replies: 0,
            checker: InvariantChecker::default(),
            config: config.clone(),
            version: 0,
            tuning: core_tuning::CoreTuning::default(),
            cuts: BTreeSet::new(),
            queue: BTreeMap::new(),
            watches: Vec::new(),
            peer_calls: HashMap::new(),
            sequence: 0,
            seed,
        };
        for endpoint in config.endpoints.values() {
            fleet.add_database(&endpoint.name, &endpoint.address, &endpoint.data_centre);
        }
        fleet.publish(config.clone());
        for host in config.hosts.keys() {
            fleet.start(host);
        }
        fleet
    }

    /// Advances virtual time and delivers all events that come due.
    pub(crate) fn run_ms(&mut self, millis: u64) {
        let end = self.now.after(std::time::Duration::from_millis(millis));
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), delivery) = entry.remove_entry();
            self.now = self.now.max(at);
            self.deliver(delivery);
        }
        self.now = end;
    }

    /// Publishes a configuration as the operators' command line does.
    pub(crate) fn publish(&mut self, config: fleet_config::FleetConfig) {
        let parts = config_head::split_config(&config).unwrap();
        for (hash, value) in &parts {
            let key = config_head::part_key(hash);
            self.platform.handle(&platform_message::PlatformRequest::CompareSwap {
                key,
                expected: 0,
                value: value.clone(),
            });
        }
        self.version += 1;
        let head = config_head::ConfigHead {
            version: self.version,
            parts: parts.into_iter().map(|(hash, _)| hash).collect(),
            token_secret: b"fleet secret".to_vec(),
            publish_id: self.version.to_string(),
            author: "test".to_owned(),
            published_at_ms: 0,
        };
        let key = config_head::head_key();
        let current =
            self.platform.handle(&platform_message::PlatformRequest::Get { key: key.clone() });
        let expected = match current {
            Some(platform_message::PlatformReply::Value(Some(entry))) => entry.revision,
            _ => 0,
        };
        let value = head.encode().unwrap();
        self.platform.handle(&platform_message::PlatformRequest::CompareSwap {
            key,
            expected,
            value,
        });
        self.checker.record_publication(self.now, &self.config, &config);
        self.config = config;
        self.notify_watches();
    }

    /// Starts a host that is not running, or a killed database, which comes back without its data.
    pub(crate) fn start(&mut self, name: &str) {
        if let Some(database) = self.databases.get_mut(name) {
            database.rebuild_count += 1;
            database.alive = true;
            database.model = DatabaseModel::new(copy_id(name, database.rebuild_count));
            return;
        }
        let object = self.config.hosts[name].clone();
        self.sequence += 1;
        let incarnation = self.sequence;
        let seeds = self.config.hosts.values().filter(|host| host.name != name);
        let identity = core_context::HostIdentity {
            name: name.to_owned(),
            data_centre: object.data_centre.clone(),
            incarnation,
            seeds: seeds.map(|host| host.address.clone()).collect(),
        };
        let seed = self.seed ^ incarnation;
        let core = decision_core::DecisionCore::new(identity, self.tuning.clone(), seed, self.now)
            .unwrap();
        let host = FakeHost {
            centre: object.data_centre,
            address: object.address,
            core: Some(core),
            incarnation,
            paused: false,
            deferred: Vec::new(),
            next_wake: None,
        };
        self.hosts.insert(name.to_owned(), host);
        self.checker.record_start(name);
        self.handle_event(name, core_message::CoreEvent::TimerFired);
    }

    /// Kills the process of a host or database and closes its connections.
    pub(crate) fn kill(&mut self, name: &str) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.core = None;
            let process = host.incarnation;
            for caller in self.callers.values_mut().filter(|caller| caller.host == name) {
                caller.closed = true;
            }
            for database in self.databases.values_mut() {
                let closed: Vec<ProcessConnection> = database
                    .connections
                    .keys()
                    .filter(|process_connection| process_connection.process == process)
                    .copied()
                    .collect();
                for process_connection in closed {
                    if let Some(id) = database.connections.remove(&process_connection) {
                        database.model.disconnect(id);
                    }
                }
            }
        }
        if let Some(database) = self.databases.get_mut(name) {
            database.alive = false;
            database.hung_connections.clear();
            let process_connections: Vec<ProcessConnection> = database
                .connections
                .drain()
                .map(|(process_connection, _)| process_connection)
                .collect();
            for process_connection in process_connections {
                self.end_connection(name, process_connection, false);
            }
        }
    }

    /// Pauses a host's process; events for it are deferred.
    pub(crate) fn pause(&mut self, host: &str) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.paused = true;
        }
    }

    /// Resumes a paused host, which then handles the deferred events.
    pub(crate) fn resume(&mut self, name: &str) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        host.paused = false;
        let deferred = std::mem::take(&mut host.deferred);
        for event in deferred {
            self.handle_event(name, event);
        }
        self.handle_event(name, core_message::CoreEvent::TimerFired);
    }

    /// Cuts the network between two hosts, databases, data centres or the platform.
    pub(crate) fn cut(&mut self, left: &str, right: &str) {
        self.cuts.insert((left.to_owned(), right.to_owned()));
        self.cuts.insert((right.to_owned(), left.to_owned()));
    }

    /// Restores the network everywhere.
    pub(crate) fn heal_all(&mut self) {
        self.cuts.clear();
    }

    /// Restores the network between two places that were cut from each other.
    pub(crate) fn heal(&mut self, left: &str, right: &str) {
        self.cuts.remove(&(left.to_owned(), right.to_owned()));
        self.cuts.remove(&(right.to_owned(), left.to_owned()));
    }

    /// Makes the open connections to a database hang for good; new ones work.
    pub(crate) fn hang_connections(&mut self, database: &str) {
        let database = self.databases.get_mut(database).unwrap();
        database.hung_connections = database.connections.values().copied().collect();
    }

    /// Sends an answer to no request on all connections to a database, so that the hosts close
    /// them.
    pub(crate) fn send_unmatched_answers(&mut self, database: &str) {
        let state = self.databases.get_mut(database).unwrap();
        let connections = std::mem::take(&mut state.connections);
        connections.values().for_each(|id| state.model.disconnect(*id));
        for process_connection in connections.into_keys() {
            self.end_connection(database, process_connection, true);
        }
    }

    /// Opens a caller's connection; `FakeCaller::admission` is set once the host responds.
    pub(crate) fn open(
        &mut self,
        name: &str,
        host: &str,
        account: &str,
        key: &str,
        settings: &[(&str, String)],
    ) {
        self.sequence += 1;
        let id = self.sequence;
        let service = self.config.services.keys().next().cloned().unwrap_or_default();
        let caller = FakeCaller {
            host: host.to_owned(),
            account: account.to_owned(),
            id,
            admission: None,
            sent: None,
            response: None,
            closed: false,
        };
        self.callers.insert(name.to_owned(), caller);
        let settings = settings.iter().map(|(name, value)| ((*name).to_owned(), value.clone()));
        let event = core_message::CoreEvent::CallerOpened {
            caller: id,
            account: account.to_owned(),
            key: key.to_owned(),
            service,
            settings: settings.collect(),
        };
        self.handle_event(host, event);
    }

    /// Sends a statement without waiting for its response.
    pub(crate) fn send(&mut self, name: &str, text: &str) {
        let now = self.now;
        let caller = self.callers.get_mut(name).unwrap();
        caller.response = None;
        caller.sent = Some((text.to_owned(), now));
        let (host, id) = (caller.host.clone(), caller.id);
        self.checker.record_sent(name, text);
        self.handle_event(
            &host,
            core_message::CoreEvent::StatementArrived { caller: id, text: text.to_owned() },
        );
    }

    /// Sends a statement and advances time until its response, the end of the connection or
    /// `timeout_ms`; returns the response.
    pub(crate) fn execute_statement(
        &mut self,
        name: &str,
        text: &str,
        timeout_ms: u64,
    ) -> Option<(request_verdict::RequestVerdict, endpoint_message::ResponseBody)> {
        self.send(name, text);
        for _ in 0..timeout_ms {
            let caller = &self.callers[name];
            if caller.response.is_some() || caller.closed {
                break;
            }
            self.run_ms(1);
        }
        self.callers.get_mut(name).unwrap().response.take()
    }

    /// Closes a caller's connection.
    pub(crate) fn close(&mut self, name: &str) {
        let Some(caller) = self.callers.remove(name) else { return };
        if !caller.closed {
            self.handle_event(
                &caller.host,
                core_message::CoreEvent::CallerClosed { caller: caller.id },
            );
        }
    }

    /// Lists a host or endpoint in the platform, as leaving or as live.
    pub(crate) fn list(&mut self, name: &str, leaving: bool) {
        self.platform.list_host(name, leaving);
        self.checker.record_service(self.now, name, leaving);
    }

    /// Requests a drain of the host's process.
    pub(crate) fn drain(&mut self, host: &str) {
        self.handle_event(host, core_message::CoreEvent::DrainRequested);
    }

    fn add_database(&mut self, name: &str, address: &str, centre: &str) {
        let database = FakeDatabase {
            address: address.to_owned(),
            centre: centre.to_owned(),
            model: DatabaseModel::new(copy_id(name, 0)),
            alive: true,
            replication_lag_ms: 10,
            statement_ms: 0,
            rebuild_count: 0,
            connections: HashMap::new(),
            hung_connections: BTreeSet::new(),
            unmatched_answers: 0,
            next_connection: 1,
        };
        self.databases.insert(name.to_owned(), database);
        self.push(self.now, Delivery::Replicate { database: name.to_owned() });
    }

    fn push(&mut self, at: clock_time::ClockTime, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), delivery);
    }

    fn push_after(&mut self, micros: u64, delivery: Delivery) {
        let at = self.now.after(std::time::Duration::from_micros(micros));
        self.push(at, delivery);
    }

    /// Returns whether messages pass between two hosts, databases or the platform.
    fn can_communicate(&self, left: &str, right: &str) -> bool {
        let places = |name: &str| {
            let centre = self.hosts.get(name).map(|host| host.centre.clone());
            let centre =
                centre.or_else(|| self.databases.get(name).map(|database| database.centre.clone()));
            [Some(name.to_owned()), centre]
        };
        let (left, right) = (places(left), places(right));
        let pairs = left
            .iter()
            .flatten()
            .flat_map(|one| right.iter().flatten().map(move |other| (one, other)));
        !pairs.into_iter().any(|(one, other)| self.cuts.contains(&(one.clone(), other.clone())))
    }

    fn process(&self, host: &str) -> u64 {
        self.hosts.get(host).map_or(0, |host| host.incarnation)
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Host { host, process, event } if self.process(&host) == process => {
                self.handle_event(&host, event);
            }
            Delivery::Wake { host, process } if self.process(&host) == process => {
                if let Some(state) = self.hosts.get_mut(&host) {
                    state.next_wake = None;
                }
                self.handle_event(&host, core_message::CoreEvent::TimerFired);
            }
            Delivery::Open { database, host, process, connection } => {
                self.open_connection(&database, &host, process, connection)
            }
            Delivery::Call { database, host, process, connection, call, request } => {
                self.call_database(&database, &host, process, connection, call, &request);
            }
            Delivery::Peer { to, from, process, call, request } => {
                self.call_peer(&to, &from, process, call, request)
            }
            Delivery::Platform { host, process, call, request } => {
                self.call_platform(&host, process, call, request)
            }
            Delivery::WatchEnd { process, call } => self.expire_watch(process, call),
            Delivery::Replicate { database } => self.replicate(&database),
            Delivery::Host { .. } | Delivery::Wake { .. } => {}
        }
    }

    fn handle_event(&mut self, name: &str, event: core_message::CoreEvent) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else { return };
        if host.paused {
            if !matches!(event, core_message::CoreEvent::TimerFired) {
                host.deferred.push(event);
            }
            return;
        }
        let Some(core) = host.core.as_mut() else { return };
        let actions = core.handle(now, event);
        self.checker.check_core(now, name, core, &self.config);
        for action in actions {
            self.perform_action(name, action);
        }
        self.set_wake(name);
    }

    fn set_wake(&mut self, name: &str) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        let Some(wake) = host.core.as_ref().and_then(decision_core::DecisionCore::next_timer)
        else {
            return;
        };
        let wake = wake.max(self.now.after(std::time::Duration::from_micros(10)));
        if host.next_wake.is_some_and(|set| set <= wake) {
            return;
        }
        host.next_wake = Some(wake);
        let process = host.incarnation;
        self.push(wake, Delivery::Wake { host: name.to_owned(), process });
    }

    fn perform_action(&mut self, name: &str, action: core_message::CoreAction) {
        self.checker.check_action(&action);
        let process = self.process(name);
        let host = name.to_owned();
        match action {
            core_message::CoreAction::AdmitCaller { caller } => {
                self.record_admission(caller, Ok(()))
            }
            core_message::CoreAction::RefuseCaller { caller, verdict } => {
                self.record_admission(caller, Err(verdict))
            }
            core_message::CoreAction::RespondToCaller { caller, verdict, body, .. } => {
                self.record_response(caller, verdict, body)
            }
            core_message::CoreAction::CloseCaller { caller, .. } => {
                for state in self.callers.values_mut().filter(|state| state.id == caller) {
                    state.closed = true;
                }
            }
            core_message::CoreAction::OpenConnection { connection, address } => {
                let database = self.database_at(&address);
                self.push_after(
                    ONE_WAY_DELAY_US,
                    Delivery::Open { database, host, process, connection },
                );
            }
            core_message::CoreAction::CloseConnection { connection } => {
                let process_connection = ProcessConnection { process, connection };
                for database in self.databases.values_mut() {
                    if let Some(id) = database.connections.remove(&process_connection) {
                        database.model.disconnect(id);
                    }
                }
            }
            core_message::CoreAction::CallEndpoint { call, connection, request } => {
                let process_connection = ProcessConnection { process, connection };
                let database = self
                    .databases
                    .iter()
                    .find(|(_, database)| database.connections.contains_key(&process_connection));
                let Some((database, _)) = database else { return };
                self.checker.check_endpoint_call(self.now, database, &request);
                let database = database.clone();
                self.push_after(
                    ONE_WAY_DELAY_US,
                    Delivery::Call { database, host, process, connection, call, request },
                );
            }
            core_message::CoreAction::CallPeer { call, address, request } => {
                let to = self.hosts.iter().find(|(_, state)| state.address == address);
                let to = to.map(|(name, _)| name.clone()).unwrap_or_default();
                self.push_after(
                    ONE_WAY_DELAY_US,
                    Delivery::Peer { to, from: host, process, call, request },
                );
            }
            core_message::CoreAction::ReplyToPeer { request_id, reply } => {
                let Some((to, from, process, call)) = self.peer_calls.remove(&request_id) else {
                    return;
                };
                let reply = self.can_communicate(&to, &from).then_some(reply);
                let delay = if reply.is_some() { ONE_WAY_DELAY_US } else { LOST_CALL_TIMEOUT_US };
                let event = core_message::CoreEvent::PeerReplied { call, reply };
                self.push_after(delay, Delivery::Host { host: from, process, event });
            }
            core_message::CoreAction::CallPlatform { call, request } => {
                let delay = ONE_WAY_DELAY_US + self.platform_delay_ms * 1_000;
                self.push_after(delay, Delivery::Platform { host, process, call, request });
            }
            core_message::CoreAction::ReplyToStatus { .. } | core_message::CoreAction::Stop => {}
        }
    }

    fn record_admission(
        &mut self,
        caller: u64,
        admission: Result<(), request_verdict::RequestVerdict>,
    ) {
        for state in self.callers.values_mut().filter(|state| state.id == caller) {
            state.admission = Some(admission.clone());
        }
    }

    fn record_response(
        &mut self,
        caller: u64,
        verdict: request_verdict::RequestVerdict,
        body: endpoint_message::ResponseBody,
    ) {
        let found = self.callers.iter_mut().find(|(_, state)| state.id == caller);
        let Some((name, state)) = found else { return };
        let (text, sent) = state.sent.clone().unwrap_or_default();
        state.response = Some((verdict.clone(), body.clone()));
        let account = state.account.clone();
        let name = name.clone();
        self.checker.check_response(self.now, sent, &name, &account, &text, &verdict, &body);
        self.checker.check_logs(&self.platform, &self.databases);
    }

    fn database_at(&self, address: &str) -> String {
        let found = self.databases.iter().find(|(_, database)| database.address == address);
        found.map(|(name, _)| name.clone()).unwrap_or_default()
    }

    fn open_connection(
        &mut self,
        database: &str,
        host: &str,
        process: u64,
        connection: arena_keys::ConnectionKey,
    ) {
        let opened = self.can_communicate(host, database)
            && self.databases.get(database).is_some_and(|database| database.alive);
        let reachable = self.can_communicate(host, database);
        if opened {
            let state = self.databases.get_mut(database).unwrap();
            let id = state.next_connection;
            state.next_connection += 1;
            state.connections.insert(ProcessConnection { process, connection }, id);
        }
        let delay = if reachable { ONE_WAY_DELAY_US } else { LOST_CALL_TIMEOUT_US };
        let event = core_message::CoreEvent::ConnectionOpened { connection, opened };
        self.push_after(delay, Delivery::Host { host: host.to_owned(), process, event });
    }

    fn end_connection(
        &mut self,
        database: &str,
        process_connection: ProcessConnection,
        unmatched: bool,
    ) {
        let host =
            self.hosts.iter().find(|(_, host)| host.incarnation == process_connection.process);
        let Some(host) = host.map(|(name, _)| name.clone()) else { return };
        if !self.can_communicate(&host, database) {
            return;
        }
        let event = core_message::CoreEvent::ConnectionClosed {
            connection: process_connection.connection,
            unmatched,
        };
        self.push_after(
            ONE_WAY_DELAY_US,
            Delivery::Host { host, process: process_connection.process, event },
        );
    }

    fn call_database(
        &mut self,
        database: &str,
        host: &str,
        process: u64,
        connection: arena_keys::ConnectionKey,
        call: core_message::CallId,
        request: &endpoint_message::EndpointRequest,
    ) {
        if !self.can_communicate(host, database) {
            return;
        }
        let state = self.databases.get_mut(database).unwrap();
        let process_connection = ProcessConnection { process, connection };
        let Some(id) = state.connections.get(&process_connection).copied() else { return };
        if !state.alive || state.hung_connections.contains(&id) {
            return;
        }
        let batch = endpoint_sql::join(&endpoint_sql::statements(request));
        let (results, problem) = state.model.execute(id, &batch);
        let results = problem.map_or(Ok(results), Err);
        let status = Some(state.model.status());
        let is_statement = matches!(request, endpoint_message::EndpointRequest::Run(_));
        let delay = ONE_WAY_DELAY_US + if is_statement { state.statement_ms * 1_000 } else { 0 };
        let mut outcome = endpoint_sql::outcome(request, results, status);
        if state.unmatched_answers > 0 {
            state.unmatched_answers -= 1;
            outcome = endpoint_message::EndpointOutcome::Unmatched;
        }
        let event = core_message::CoreEvent::EndpointResponded { call, outcome, reusable: true };
        self.push_after(delay, Delivery::Host { host: host.to_owned(), process, event });
    }

    fn call_peer(
        &mut self,
        to: &str,
        from: &str,
        process: u64,
        call: core_message::CallId,
        request: peer_message::PeerRequest,
    ) {
        let up = self.hosts.get(to).is_some_and(|host| host.core.is_some() && !host.paused);
        if !up || !self.can_communicate(to, from) {
            let event = core_message::CoreEvent::PeerReplied { call, reply: None };
            return self.push_after(
                LOST_CALL_TIMEOUT_US,
                Delivery::Host { host: from.to_owned(), process, event },
            );
        }
        self.sequence += 1;
        let request_id = self.sequence;
        self.peer_calls.insert(request_id, (to.to_owned(), from.to_owned(), process, call));
        self.handle_event(to, core_message::CoreEvent::PeerRequestReceived { request_id, request });
    }

    fn call_platform(
        &mut self,
        host: &str,
        process: u64,
        call: core_message::CallId,
        request: platform_message::PlatformRequest,
    ) {
        let lost = Delivery::Host {
            host: host.to_owned(),
            process,
            event: core_message::CoreEvent::PlatformReplied { call, reply: None },
        };
        if self.outage || !self.can_communicate(host, PLATFORM_NAME) {
            return self.push_after(LOST_CALL_TIMEOUT_US, lost);
        }
        let swap = matches!(request, platform_message::PlatformRequest::CompareSwap { .. });
        let reply = self.platform.handle(&request);
        match (reply, request) {
            (None, platform_message::PlatformRequest::Watch { prefix, after, wait_ms }) => {
                let until = self.now.after(std::time::Duration::from_millis(wait_ms));
                self.watches.push(PlatformWatch {
                    host: host.to_owned(),
                    process,
                    call,
                    prefix,
                    after,
                    until,
                });
                self.push(until, Delivery::WatchEnd { process, call });
            }
            (reply, _) => {
                if swap {
                    self.notify_watches();
                }
                if swap && self.lose_replies > 0 {
                    self.lose_replies -= 1;
                    return self.push_after(LOST_CALL_TIMEOUT_US, lost);
                }
                let event = core_message::CoreEvent::PlatformReplied { call, reply };
                let delay = ONE_WAY_DELAY_US + self.platform_delay_ms * 1_000;
                self.push_after(delay, Delivery::Host { host: host.to_owned(), process, event });
            }
        }
    }

    fn expire_watch(&mut self, process: u64, call: core_message::CallId) {
        let index =
            self.watches.iter().position(|watch| watch.process == process && watch.call == call);
        let Some(index) = index else { return };
        let watch = self.watches.remove(index);
        let reply = self.platform.snapshot(&watch.prefix, watch.after);
        self.reply_to_watch(watch, reply);
    }

    fn notify_watches(&mut self) {
        let (due, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|watch| self.platform.changes(&watch.prefix, watch.after).is_some());
        self.watches = kept;
        for watch in due {
            let reply = self.platform.snapshot(&watch.prefix, watch.after);
            self.reply_to_watch(watch, reply);
        }
    }

    fn reply_to_watch(&mut self, watch: PlatformWatch, reply: platform_message::PlatformReply) {
        let reached = !self.outage && self.can_communicate(&watch.host, PLATFORM_NAME);
        let reply = reached.then_some(reply);
        let delay = if reached { ONE_WAY_DELAY_US } else { LOST_CALL_TIMEOUT_US };
        let event = core_message::CoreEvent::PlatformReplied { call: watch.call, reply };
        self.push_after(delay, Delivery::Host { host: watch.host, process: watch.process, event });
    }

    /// Pulls the changes of its primary into a replica and schedules the next pull.
    fn replicate(&mut self, name: &str) {
        let database = &self.databases[name];
        let lag = database.replication_lag_ms.max(1);
        self.push_after(lag * 1_000, Delivery::Replicate { database: name.to_owned() });
        let database = &self.databases[name];
        let Some(address) = database.model.status().following else { return };
        let primary = self.database_at(&address);
        let connected = database.alive && self.can_communicate(name, &primary);
        let Some(source) = self.databases.get(&primary).filter(|source| connected && source.alive)
        else {
            return;
        };
        let term = database.model.status().adopted_term;
        let batch = source.model.changes_after(term, &database.model.term_ends());
        if let Some(batch) = batch {
            self.databases.get_mut(name).unwrap().model.apply_batch(batch);
        }
    }
}

/// Returns the identity of a database's copy, another one after each rebuild.
fn copy_id(name: &str, rebuild_count: u64) -> u64 {
    name.bytes().fold(rebuild_count + 1, |number, byte| {
        number.wrapping_mul(31).wrapping_add(u64::from(byte))
    })
}
