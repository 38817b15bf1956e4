//! Small fakes around real decision cores, in virtual time.
//!
//! Hosts are real cores; databases and the platform are the stand-ins' models; the network is a
//! queue of deliveries. After each event the truth of the fakes is checked against what must hold.

#![allow(dead_code, reason = "each test program uses its own part of the fakes")]

pub(crate) mod fleet_truth;
pub(crate) mod fleet_world;

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

use fleet_truth::FleetTruth;

/// One way across the network, in microseconds.
const HOP_US: u64 = 1_000;
/// Time after which a call that got lost is given up by the driver, in microseconds.
const LOST_CALL_US: u64 = 1_000_000;
/// The platform's place in cuts.
pub(crate) const PLATFORM: &str = "platform";

/// A host with its real core.
pub(crate) struct FakeHost {
    pub(crate) centre: String,
    pub(crate) address: String,
    pub(crate) core: Option<decision_core::DecisionCore>,
    pub(crate) incarnation: u64,
    pub(crate) paused: bool,
    held: Vec<core_message::CoreEvent>,
    wake_set: Option<clock_time::ClockTime>,
}

/// A database with what can go wrong with it.
pub(crate) struct FakeBase {
    pub(crate) address: String,
    pub(crate) centre: String,
    pub(crate) model: DatabaseModel,
    pub(crate) alive: bool,
    pub(crate) lag_ms: u64,
    pub(crate) work_ms: u64,
    copies: u64,
    connections: HashMap<LinkKey, u64>,
    silent: BTreeSet<u64>,
    next_connection: u64,
}

/// A caller and the answers it has got.
pub(crate) struct FakeCaller {
    pub(crate) host: String,
    pub(crate) account: String,
    pub(crate) id: u64,
    pub(crate) open: Option<Result<(), request_verdict::RequestVerdict>>,
    pub(crate) sent: Option<(String, clock_time::ClockTime)>,
    pub(crate) answer: Option<(request_verdict::RequestVerdict, endpoint_message::ResponseBody)>,
    pub(crate) closed: bool,
}

/// A connection as one process of a host knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct LinkKey {
    process: u64,
    connection: arena_keys::ConnectionKey,
}

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
        base: String,
        host: String,
        process: u64,
        connection: arena_keys::ConnectionKey,
    },
    Call {
        base: String,
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
        base: String,
    },
}

struct OpenWatch {
    host: String,
    process: u64,
    call: core_message::CallId,
    prefix: String,
    after: u64,
    until: clock_time::ClockTime,
}

/// A fleet of real cores among fakes.
pub(crate) struct FakeFleet {
    pub(crate) now: clock_time::ClockTime,
    pub(crate) hosts: BTreeMap<String, FakeHost>,
    pub(crate) bases: BTreeMap<String, FakeBase>,
    pub(crate) callers: BTreeMap<String, FakeCaller>,
    pub(crate) platform: PlatformModel,
    pub(crate) outage: bool,
    pub(crate) slow_ms: u64,
    pub(crate) lose_answers: u32,
    pub(crate) truth: FleetTruth,
    pub(crate) config: fleet_config::FleetConfig,
    pub(crate) version: u64,
    pub(crate) tuning: core_tuning::CoreTuning,
    cuts: BTreeSet<(String, String)>,
    queue: BTreeMap<(clock_time::ClockTime, u64), Delivery>,
    watches: Vec<OpenWatch>,
    asks: HashMap<u64, (String, String, u64, core_message::CallId)>,
    sequence: u64,
    seed: u64,
}

impl FakeFleet {
    pub(crate) fn new(config: fleet_config::FleetConfig, seed: u64) -> Self {
        let mut fleet = Self {
            now: clock_time::ClockTime::from_millis(1_000),
            hosts: BTreeMap::new(),
            bases: BTreeMap::new(),
            callers: BTreeMap::new(),
            platform: PlatformModel::default(),
            outage: false,
            slow_ms: 0,
            lose_answers: 0,
            truth: FleetTruth::default(),
            config: config.clone(),
            version: 0,
            tuning: core_tuning::CoreTuning::default(),
            cuts: BTreeSet::new(),
            queue: BTreeMap::new(),
            watches: Vec::new(),
            asks: HashMap::new(),
            sequence: 0,
            seed,
        };
        for endpoint in config.endpoints.values() {
            fleet.add_base(&endpoint.name, &endpoint.address, &endpoint.data_centre);
        }
        fleet.publish(config.clone());
        for host in config.hosts.keys() {
            fleet.start(host);
        }
        fleet
    }

    /// Lets virtual time pass.
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

    /// Publishes a configuration as an operator would.
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
        self.truth.note_published(self.now, &self.config, &config);
        self.config = config;
        self.notify_watches();
    }

    /// Starts a process: a host that is not running, or a database that was killed (rebuilt empty).
    pub(crate) fn start(&mut self, name: &str) {
        if let Some(base) = self.bases.get_mut(name) {
            base.copies += 1;
            base.alive = true;
            base.model = DatabaseModel::new(copy_number(name, base.copies));
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
            held: Vec::new(),
            wake_set: None,
        };
        self.hosts.insert(name.to_owned(), host);
        self.truth.note_start(name);
        self.reach_host(name, core_message::CoreEvent::TimerFired);
    }

    /// Kills a process at once.
    pub(crate) fn kill(&mut self, name: &str) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.core = None;
            let process = host.incarnation;
            for caller in self.callers.values_mut().filter(|caller| caller.host == name) {
                caller.closed = true;
            }
            for base in self.bases.values_mut() {
                let gone: Vec<LinkKey> = base
                    .connections
                    .keys()
                    .filter(|link| link.process == process)
                    .copied()
                    .collect();
                for link in gone {
                    if let Some(id) = base.connections.remove(&link) {
                        base.model.disconnect(id);
                    }
                }
            }
        }
        if let Some(base) = self.bases.get_mut(name) {
            base.alive = false;
            base.silent.clear();
            let links: Vec<LinkKey> = base.connections.drain().map(|(link, _)| link).collect();
            for link in links {
                self.end_link(name, link);
            }
        }
    }

    pub(crate) fn pause(&mut self, host: &str) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.paused = true;
        }
    }

    /// Lets a paused host go on; what reached it meanwhile is handled now.
    pub(crate) fn resume(&mut self, name: &str) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        host.paused = false;
        let held = std::mem::take(&mut host.held);
        for event in held {
            self.reach_host(name, event);
        }
        self.reach_host(name, core_message::CoreEvent::TimerFired);
    }

    pub(crate) fn cut(&mut self, left: &str, right: &str) {
        self.cuts.insert((left.to_owned(), right.to_owned()));
        self.cuts.insert((right.to_owned(), left.to_owned()));
    }

    pub(crate) fn heal_all(&mut self) {
        self.cuts.clear();
    }

    pub(crate) fn heal(&mut self, left: &str, right: &str) {
        self.cuts.remove(&(left.to_owned(), right.to_owned()));
        self.cuts.remove(&(right.to_owned(), left.to_owned()));
    }

    /// Makes the open connections to a database silent for good; new ones work.
    pub(crate) fn silence(&mut self, base: &str) {
        let base = self.bases.get_mut(base).unwrap();
        base.silent = base.connections.values().copied().collect();
    }

    /// Opens a caller's connection; the answer is there after some time.
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
            open: None,
            sent: None,
            answer: None,
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
        self.reach_host(host, event);
    }

    /// Sends a statement without waiting for the answer.
    pub(crate) fn send(&mut self, name: &str, text: &str) {
        let now = self.now;
        let caller = self.callers.get_mut(name).unwrap();
        caller.answer = None;
        caller.sent = Some((text.to_owned(), now));
        let (host, id) = (caller.host.clone(), caller.id);
        self.truth.note_sent(name, text);
        self.reach_host(
            &host,
            core_message::CoreEvent::StatementArrived { caller: id, text: text.to_owned() },
        );
    }

    /// Sends a statement and lets time pass until it is answered, at most `limit_ms`.
    pub(crate) fn ask(
        &mut self,
        name: &str,
        text: &str,
        limit_ms: u64,
    ) -> Option<(request_verdict::RequestVerdict, endpoint_message::ResponseBody)> {
        self.send(name, text);
        for _ in 0..limit_ms {
            let caller = &self.callers[name];
            if caller.answer.is_some() || caller.closed {
                break;
            }
            self.run_ms(1);
        }
        self.callers.get_mut(name).unwrap().answer.take()
    }

    /// Ends a caller's connection.
    pub(crate) fn close(&mut self, name: &str) {
        let Some(caller) = self.callers.remove(name) else { return };
        if !caller.closed {
            self.reach_host(
                &caller.host,
                core_message::CoreEvent::CallerClosed { caller: caller.id },
            );
        }
    }

    /// Lists a host or endpoint in the platform as live or leaving.
    pub(crate) fn list(&mut self, name: &str, leaving: bool) {
        self.platform.list_host(name, leaving);
        self.truth.note_service(self.now, name, leaving);
    }

    pub(crate) fn drain(&mut self, host: &str) {
        self.reach_host(host, core_message::CoreEvent::DrainRequested);
    }

    fn add_base(&mut self, name: &str, address: &str, centre: &str) {
        let base = FakeBase {
            address: address.to_owned(),
            centre: centre.to_owned(),
            model: DatabaseModel::new(copy_number(name, 0)),
            alive: true,
            lag_ms: 10,
            work_ms: 0,
            copies: 0,
            connections: HashMap::new(),
            silent: BTreeSet::new(),
            next_connection: 1,
        };
        self.bases.insert(name.to_owned(), base);
        self.push(self.now, Delivery::Replicate { base: name.to_owned() });
    }

    fn push(&mut self, at: clock_time::ClockTime, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), delivery);
    }

    fn push_after(&mut self, micros: u64, delivery: Delivery) {
        let at = self.now.after(std::time::Duration::from_micros(micros));
        self.push(at, delivery);
    }

    /// Whether messages pass between two places: hosts, databases, the platform.
    fn reaches(&self, left: &str, right: &str) -> bool {
        let places = |name: &str| {
            let centre = self.hosts.get(name).map(|host| host.centre.clone());
            let centre = centre.or_else(|| self.bases.get(name).map(|base| base.centre.clone()));
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
                self.reach_host(&host, event);
            }
            Delivery::Wake { host, process } if self.process(&host) == process => {
                if let Some(state) = self.hosts.get_mut(&host) {
                    state.wake_set = None;
                }
                self.reach_host(&host, core_message::CoreEvent::TimerFired);
            }
            Delivery::Open { base, host, process, connection } => {
                self.open_link(&base, &host, process, connection)
            }
            Delivery::Call { base, host, process, connection, call, request } => {
                self.call_base(&base, &host, process, connection, call, &request);
            }
            Delivery::Peer { to, from, process, call, request } => {
                self.ask_peer(&to, &from, process, call, request)
            }
            Delivery::Platform { host, process, call, request } => {
                self.call_platform(&host, process, call, request)
            }
            Delivery::WatchEnd { process, call } => self.expire_watch(process, call),
            Delivery::Replicate { base } => self.replicate(&base),
            Delivery::Host { .. } | Delivery::Wake { .. } => {}
        }
    }

    fn reach_host(&mut self, name: &str, event: core_message::CoreEvent) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else { return };
        if host.paused {
            if !matches!(event, core_message::CoreEvent::TimerFired) {
                host.held.push(event);
            }
            return;
        }
        let Some(core) = host.core.as_mut() else { return };
        let actions = core.handle(now, event);
        self.truth.check_core(now, name, core, &self.config);
        for action in actions {
            self.carry_out(name, action);
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
        if host.wake_set.is_some_and(|set| set <= wake) {
            return;
        }
        host.wake_set = Some(wake);
        let process = host.incarnation;
        self.push(wake, Delivery::Wake { host: name.to_owned(), process });
    }

    fn carry_out(&mut self, name: &str, action: core_message::CoreAction) {
        self.truth.check_action(&action);
        let process = self.process(name);
        let host = name.to_owned();
        match action {
            core_message::CoreAction::AdmitCaller { caller } => self.note_opened(caller, Ok(())),
            core_message::CoreAction::RefuseCaller { caller, verdict } => {
                self.note_opened(caller, Err(verdict))
            }
            core_message::CoreAction::RespondToCaller { caller, verdict, body, .. } => {
                self.note_answer(caller, verdict, body)
            }
            core_message::CoreAction::CloseCaller { caller, .. } => {
                for state in self.callers.values_mut().filter(|state| state.id == caller) {
                    state.closed = true;
                }
            }
            core_message::CoreAction::OpenConnection { connection, address } => {
                let base = self.base_at(&address);
                self.push_after(HOP_US, Delivery::Open { base, host, process, connection });
            }
            core_message::CoreAction::CloseConnection { connection } => {
                let link = LinkKey { process, connection };
                for base in self.bases.values_mut() {
                    if let Some(id) = base.connections.remove(&link) {
                        base.model.disconnect(id);
                    }
                }
            }
            core_message::CoreAction::CallEndpoint { call, connection, request } => {
                let link = LinkKey { process, connection };
                let base = self.bases.iter().find(|(_, base)| base.connections.contains_key(&link));
                let Some((base, _)) = base else { return };
                self.truth.check_endpoint_call(self.now, base, &request);
                let base = base.clone();
                self.push_after(
                    HOP_US,
                    Delivery::Call { base, host, process, connection, call, request },
                );
            }
            core_message::CoreAction::CallPeer { call, address, request } => {
                let to = self.hosts.iter().find(|(_, state)| state.address == address);
                let to = to.map(|(name, _)| name.clone()).unwrap_or_default();
                self.push_after(HOP_US, Delivery::Peer { to, from: host, process, call, request });
            }
            core_message::CoreAction::ReplyToPeer { request_id, reply } => {
                let Some((to, from, process, call)) = self.asks.remove(&request_id) else { return };
                let reply = self.reaches(&to, &from).then_some(reply);
                let delay = if reply.is_some() { HOP_US } else { LOST_CALL_US };
                let event = core_message::CoreEvent::PeerReplied { call, reply };
                self.push_after(delay, Delivery::Host { host: from, process, event });
            }
            core_message::CoreAction::CallPlatform { call, request } => {
                let delay = HOP_US + self.slow_ms * 1_000;
                self.push_after(delay, Delivery::Platform { host, process, call, request });
            }
            core_message::CoreAction::ReplyToStatus { .. } | core_message::CoreAction::Stop => {}
        }
    }

    fn note_opened(&mut self, caller: u64, opened: Result<(), request_verdict::RequestVerdict>) {
        for state in self.callers.values_mut().filter(|state| state.id == caller) {
            state.open = Some(opened.clone());
        }
    }

    fn note_answer(
        &mut self,
        caller: u64,
        verdict: request_verdict::RequestVerdict,
        body: endpoint_message::ResponseBody,
    ) {
        let found = self.callers.iter_mut().find(|(_, state)| state.id == caller);
        let Some((name, state)) = found else { return };
        let (text, sent) = state.sent.clone().unwrap_or_default();
        state.answer = Some((verdict.clone(), body.clone()));
        let account = state.account.clone();
        let name = name.clone();
        self.truth.check_answer(self.now, sent, &name, &account, &text, &verdict, &body);
        self.truth.check_logs(&self.platform, &self.bases);
    }

    fn base_at(&self, address: &str) -> String {
        let found = self.bases.iter().find(|(_, base)| base.address == address);
        found.map(|(name, _)| name.clone()).unwrap_or_default()
    }

    fn open_link(
        &mut self,
        base: &str,
        host: &str,
        process: u64,
        connection: arena_keys::ConnectionKey,
    ) {
        let opened =
            self.reaches(host, base) && self.bases.get(base).is_some_and(|base| base.alive);
        let reachable = self.reaches(host, base);
        if opened {
            let state = self.bases.get_mut(base).unwrap();
            let id = state.next_connection;
            state.next_connection += 1;
            state.connections.insert(LinkKey { process, connection }, id);
        }
        let delay = if reachable { HOP_US } else { LOST_CALL_US };
        let event = core_message::CoreEvent::ConnectionOpened { connection, opened };
        self.push_after(delay, Delivery::Host { host: host.to_owned(), process, event });
    }

    fn end_link(&mut self, base: &str, link: LinkKey) {
        let host = self.hosts.iter().find(|(_, host)| host.incarnation == link.process);
        let Some(host) = host.map(|(name, _)| name.clone()) else { return };
        if !self.reaches(&host, base) {
            return;
        }
        let event = core_message::CoreEvent::ConnectionClosed { connection: link.connection };
        self.push_after(HOP_US, Delivery::Host { host, process: link.process, event });
    }

    fn call_base(
        &mut self,
        base: &str,
        host: &str,
        process: u64,
        connection: arena_keys::ConnectionKey,
        call: core_message::CallId,
        request: &endpoint_message::EndpointRequest,
    ) {
        if !self.reaches(host, base) {
            return;
        }
        let state = self.bases.get_mut(base).unwrap();
        let link = LinkKey { process, connection };
        let Some(id) = state.connections.get(&link).copied() else { return };
        if !state.alive || state.silent.contains(&id) {
            return;
        }
        let results = state.model.execute(id, &endpoint_sql::batch(request));
        let status = Some(state.model.status());
        let works = matches!(request, endpoint_message::EndpointRequest::Run(_));
        let delay = HOP_US + if works { state.work_ms * 1_000 } else { 0 };
        let outcome = endpoint_sql::outcome(request, results, status);
        let event = core_message::CoreEvent::EndpointResponded { call, outcome };
        self.push_after(delay, Delivery::Host { host: host.to_owned(), process, event });
    }

    fn ask_peer(
        &mut self,
        to: &str,
        from: &str,
        process: u64,
        call: core_message::CallId,
        request: peer_message::PeerRequest,
    ) {
        let up = self.hosts.get(to).is_some_and(|host| host.core.is_some() && !host.paused);
        if !up || !self.reaches(to, from) {
            let event = core_message::CoreEvent::PeerReplied { call, reply: None };
            return self.push_after(
                LOST_CALL_US,
                Delivery::Host { host: from.to_owned(), process, event },
            );
        }
        self.sequence += 1;
        let request_id = self.sequence;
        self.asks.insert(request_id, (to.to_owned(), from.to_owned(), process, call));
        self.reach_host(to, core_message::CoreEvent::PeerRequestReceived { request_id, request });
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
        if self.outage || !self.reaches(host, PLATFORM) {
            return self.push_after(LOST_CALL_US, lost);
        }
        let swap = matches!(request, platform_message::PlatformRequest::CompareSwap { .. });
        let reply = self.platform.handle(&request);
        match (reply, request) {
            (None, platform_message::PlatformRequest::Watch { prefix, after, wait_ms }) => {
                let until = self.now.after(std::time::Duration::from_millis(wait_ms));
                self.watches.push(OpenWatch {
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
                if swap && self.lose_answers > 0 {
                    self.lose_answers -= 1;
                    return self.push_after(LOST_CALL_US, lost);
                }
                let event = core_message::CoreEvent::PlatformReplied { call, reply };
                let delay = HOP_US + self.slow_ms * 1_000;
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
        self.answer_watch(watch, reply);
    }

    fn notify_watches(&mut self) {
        let (told, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|watch| self.platform.changes(&watch.prefix, watch.after).is_some());
        self.watches = kept;
        for watch in told {
            let reply = self.platform.snapshot(&watch.prefix, watch.after);
            self.answer_watch(watch, reply);
        }
    }

    fn answer_watch(&mut self, watch: OpenWatch, reply: platform_message::PlatformReply) {
        let reached = !self.outage && self.reaches(&watch.host, PLATFORM);
        let reply = reached.then_some(reply);
        let delay = if reached { HOP_US } else { LOST_CALL_US };
        let event = core_message::CoreEvent::PlatformReplied { call: watch.call, reply };
        self.push_after(delay, Delivery::Host { host: watch.host, process: watch.process, event });
    }

    /// Lets a replica pull from its primary, and sets its next pull.
    fn replicate(&mut self, name: &str) {
        let base = &self.bases[name];
        let lag = base.lag_ms.max(1);
        self.push_after(lag * 1_000, Delivery::Replicate { base: name.to_owned() });
        let base = &self.bases[name];
        let Some(address) = base.model.status().following else { return };
        let primary = self.base_at(&address);
        let open = base.alive && self.reaches(name, &primary);
        let Some(source) = self.bases.get(&primary).filter(|source| open && source.alive) else {
            return;
        };
        let term = base.model.status().adopted_term;
        let batch = source.model.changes_after(term, &base.model.term_ends());
        if let Some(batch) = batch {
            self.bases.get_mut(name).unwrap().model.apply_batch(batch);
        }
    }
}

fn copy_number(name: &str, copies: u64) -> u64 {
    name.bytes()
        .fold(copies + 1, |number, byte| number.wrapping_mul(31).wrapping_add(u64::from(byte)))
}
