//! Tests of the serving host's side of leased connections: one proxy core, driven by events.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use quetzaldeal::core::arena_keys;
use quetzaldeal::core::clock_time;
use quetzaldeal::core::endpoint_message;
use quetzaldeal::proxy::endpoint_command;
use quetzaldeal::proxy::pool_message;
use quetzaldeal::proxy::pool_server;
use quetzaldeal::proxy::proxy_config;
use quetzaldeal::proxy::proxy_core;
use quetzaldeal::proxy::proxy_message;
use quetzaldeal::proxy::proxy_tuning;
use quetzaldeal::proxy::store_message;
use quetzaldeal::proxy::store_record;
use quetzaldeal::proxy::store_revision;

/// Connections that each endpoint accepts.
const MAX_CONNECTIONS: u32 = 10;
/// Connections that the serving host may open: 45 % of them.
const CONNECTION_CAP: usize = 4;
/// Slots of each endpoint.
const SLOTS: u32 = 2;
const CASES_IN_CI: u32 = 64;

/// Declares a test for each name, which runs on a host that knows the endpoint `db0`.
macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let run: fn(&mut ServingHost) = $body;
                run(&mut ServingHost::start());
            }
        )*
    };
}

/// An answer of an endpoint.
#[derive(Debug, Clone)]
struct GivenAnswer {
    at: clock_time::ClockTime,
    connection: arena_keys::ConnectionKey,
    response: endpoint_command::EndpointResponse,
}

/// A core and what it asked for.
#[derive(Debug)]
struct ServingHost {
    core: proxy_core::ProxyCore,
    now: clock_time::ClockTime,
    /// Replies that were not looked at yet.
    replies: Vec<(pool_message::LinkId, pool_message::PoolReply)>,
    /// Pooled connections that are being opened, with their accounts.
    opening: Vec<(arena_keys::ConnectionKey, String)>,
    /// Pooled connections that were opened, or are being opened.
    connections: BTreeSet<arena_keys::ConnectionKey>,
    /// Commands that were sent and have no response yet, one for each connection unless answers
    /// were repeated.
    sent: Vec<(arena_keys::ConnectionKey, endpoint_command::EndpointCommand)>,
    /// Answers on open connections, and when they arrived.
    answered: Vec<GivenAnswer>,
    /// Number of signed answers.
    signed: usize,
    /// Whether an answer was repeated.
    repeated: bool,
    /// Most pooled connections at once.
    most_connections: usize,
    stopped: bool,
    revision: u64,
}

impl ServingHost {
    fn start() -> Self {
        let now = clock_time::ClockTime::from_millis(10_000);
        let identity = store_record::MemberRecord {
            host: "host0".to_owned(),
            incarnation: 1,
            address: "10.1.0.0:1".to_owned(),
            data_centre: "centre0".to_owned(),
        };
        let tuning = proxy_tuning::ProxyTuning::default();
        let core = proxy_core::ProxyCore::new(identity, tuning, 1, now)
            .unwrap_or_else(|error| panic!("{error:#}"));
        let mut host = Self {
            core,
            now,
            replies: Vec::new(),
            opening: Vec::new(),
            connections: BTreeSet::new(),
            sent: Vec::new(),
            answered: Vec::new(),
            signed: 0,
            repeated: false,
            most_connections: 0,
            stopped: false,
            revision: 1,
        };
        host.handle(proxy_message::ProxyEvent::TimerFired);
        host.advance(Duration::from_secs(3));
        assert!(host.core.context().endpoint_names.contains_key("db0"));
        host
    }

    fn handle(&mut self, event: proxy_message::ProxyEvent) {
        for action in self.core.handle(self.now, event) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: proxy_message::ProxyAction) {
        match action {
            proxy_message::ProxyAction::OpenConnection { connection, account, .. }
                if !account.is_empty() =>
            {
                self.opening.push((connection, account));
                self.connections.insert(connection);
                self.most_connections = self.most_connections.max(self.connections.len());
            }
            proxy_message::ProxyAction::CloseConnection { connection } => {
                self.opening.retain(|(other, _)| *other != connection);
                self.sent.retain(|(other, _)| *other != connection);
                self.answered.retain(|answer| answer.connection != connection);
                self.connections.remove(&connection);
            }
            proxy_message::ProxyAction::SendCommand { connection, command } => {
                let waiting = self.sent.iter().any(|(other, _)| *other == connection);
                assert!(self.repeated || !waiting, "two commands at once");
                self.sent.push((connection, command));
            }
            proxy_message::ProxyAction::SendPoolReply { link, reply } => {
                self.replies.push((link, reply));
            }
            proxy_message::ProxyAction::CallStore {
                call,
                request: store_message::StoreRequest::List { .. },
            } => {
                let items = vec![
                    item(store_message::ItemSubject::Config, 1, config()),
                    item(endpoint_subject("db0"), 1, registration("db0", 1)),
                    item(endpoint_subject("db1"), 1, registration("db1", 1)),
                ];
                let reply = store_message::StoreReply::Listed {
                    items,
                    next: None,
                    revision: revision_at(1),
                };
                let reply = store_message::StampedReply::unstamped(reply);
                self.handle(proxy_message::ProxyEvent::StoreReplied { call, reply });
            }
            proxy_message::ProxyAction::Stop => self.stopped = true,
            _ => {}
        }
    }

    /// Advances the clock and fires the timers on the way.
    fn advance(&mut self, duration: Duration) {
        let until = self.now.after(duration);
        while let Some(next) = self.core.next_timer().filter(|next| *next <= until) {
            self.now = self.now.max(next);
            self.handle(proxy_message::ProxyEvent::TimerFired);
        }
        self.now = until;
    }

    fn request(&mut self, link: pool_message::LinkId, request: pool_message::PoolRequest) {
        self.handle(proxy_message::ProxyEvent::PoolRequestReceived { link, request });
    }

    fn lease(&mut self, link: pool_message::LinkId, channel: u64, account: &str) {
        self.lease_of(link, channel, "db0", account, 2_000);
    }

    fn lease_of(&mut self, link: u64, channel: u64, endpoint: &str, account: &str, wait_ms: u32) {
        let urgency = pool_message::LeaseUrgency { priority: 1, target_ms: 200, wait_ms };
        let (endpoint, account) = (endpoint.to_owned(), account.to_owned());
        let request = pool_message::PoolRequest::Lease { channel, endpoint, account, urgency };
        self.request(link, request);
    }

    fn command(&mut self, link: u64, channel: u64, command: endpoint_command::EndpointCommand) {
        self.request(link, pool_message::PoolRequest::Command { channel, command });
    }

    fn release(&mut self, link: u64, channel: u64) {
        self.request(link, pool_message::PoolRequest::Release { channel });
    }

    fn close_link(&mut self, link: u64) {
        self.handle(proxy_message::ProxyEvent::PoolLinkClosed { link });
    }

    /// Has the endpoint accept the connection whose opening began first.
    fn accept(&mut self) -> arena_keys::ConnectionKey {
        let (connection, _) = self.opening.remove(0);
        let response = response(Ok(String::new()), endpoint_command::SessionPhase::Idle);
        self.answered.push(GivenAnswer { at: self.now, connection, response: response.clone() });
        self.handle(proxy_message::ProxyEvent::ConnectionOpened { connection, response });
        connection
    }

    fn reject(&mut self, fault: endpoint_command::EndpointFault) {
        let (connection, _) = self.opening.remove(0);
        let response = response(Err(fault), endpoint_command::SessionPhase::Idle);
        self.handle(proxy_message::ProxyEvent::ConnectionOpened { connection, response });
    }

    fn close(&mut self, connection: arena_keys::ConnectionKey, refused: bool) {
        self.handle(proxy_message::ProxyEvent::ConnectionClosed { connection, refused });
    }

    /// Has the endpoint respond to the oldest command; returns the command.
    fn respond(
        &mut self,
        phase: endpoint_command::SessionPhase,
    ) -> endpoint_command::EndpointCommand {
        let (connection, _) = self.sent[0];
        self.respond_on(connection, phase)
    }

    /// Has the endpoint respond to the oldest command on a connection; returns the command. A
    /// statement's signature names its request.
    fn respond_on(
        &mut self,
        connection: arena_keys::ConnectionKey,
        phase: endpoint_command::SessionPhase,
    ) -> endpoint_command::EndpointCommand {
        let oldest = self.sent.iter().position(|(other, _)| *other == connection);
        let (_, command) = self.sent.remove(oldest.unwrap_or_else(|| panic!("no command")));
        let signature = match &command {
            endpoint_command::EndpointCommand::Run { id, .. }
            | endpoint_command::EndpointCommand::Commit { id } => {
                self.signed += 1;
                format!("{id}.{}", self.signed)
            }
            _ => "-".to_owned(),
        };
        self.answer(connection, Ok(signature), phase);
        command
    }

    fn answer(
        &mut self,
        connection: arena_keys::ConnectionKey,
        outcome: Result<String, endpoint_command::EndpointFault>,
        phase: endpoint_command::SessionPhase,
    ) {
        let mut response = response(outcome, phase);
        let position = self.signed as u64;
        response.position = Some(endpoint_message::LogPoint { term: 1, position });
        self.answered.push(GivenAnswer { at: self.now, connection, response: response.clone() });
        self.handle(proxy_message::ProxyEvent::ResponseReceived { connection, response });
    }

    /// Has the endpoint send its last answer for the second time.
    fn repeat_last(&mut self) {
        let answer = self.answered.last().cloned().unwrap_or_else(|| panic!("no answer"));
        self.repeat(answer);
    }

    fn repeat(&mut self, answer: GivenAnswer) {
        self.repeated = true;
        let GivenAnswer { connection, response, .. } = answer;
        self.handle(proxy_message::ProxyEvent::ResponseReceived { connection, response });
    }

    /// Takes the replies; returns the outcomes of the responses among them.
    fn take_outcomes(&mut self) -> Vec<Result<String, endpoint_command::EndpointFault>> {
        let outcome = |reply| match reply {
            pool_message::PoolReply::Response { response, .. } => Some(response.outcome),
            _ => None,
        };
        self.take_replies().into_iter().filter_map(|(_, reply)| outcome(reply)).collect()
    }

    /// Leases a connection of the account that has to be opened first.
    fn lease_new(&mut self, link: u64, channel: u64, account: &str) -> arena_keys::ConnectionKey {
        self.lease(link, channel, account);
        let connection = self.accept();
        assert_eq!(self.take_replies(), [(link, leased(channel))]);
        connection
    }

    /// Begins a transaction on a lease.
    fn begin(&mut self, link: u64, channel: u64) {
        self.command(link, channel, begin());
        self.respond(endpoint_command::SessionPhase::Open);
        let replies = self.take_replies();
        assert!(matches!(replies[..], [(_, pool_message::PoolReply::Response { .. })]));
    }

    fn take_replies(&mut self) -> Vec<(pool_message::LinkId, pool_message::PoolReply)> {
        std::mem::take(&mut self.replies)
    }

    /// Delivers a registration of an endpoint, as the store's watch does.
    fn register(&mut self, id: &str, born: u64) {
        self.deliver(item(endpoint_subject(id), 0, registration(id, born)));
    }

    fn deliver(&mut self, mut changed: store_message::StoreItem) {
        self.revision += 1;
        changed.revision = revision_at(self.revision);
        let (call, _) = self
            .core
            .context()
            .store_calls
            .iter()
            .find(|(_, call)| format!("{:?}", call.purpose).starts_with("Watch"))
            .unwrap_or_else(|| panic!("no watch in {:?}", self.core.context().store_calls));
        let (call, revision) = (*call, revision_at(self.revision));
        let reply = store_message::StoreReply::Changed { items: vec![changed], revision };
        let reply = store_message::StampedReply::unstamped(reply);
        self.handle(proxy_message::ProxyEvent::StoreReplied { call, reply });
    }

    /// Returns the number of leases that execute.
    fn executing(&self) -> usize {
        let context = self.core.context();
        let pooled = context.connections.values().filter(|view| view.pooled());
        pooled
            .filter(|view| !view.in_transaction() && !view.opening() && view.user.is_some())
            .count()
    }
}

fn revision_at(number: u64) -> store_revision::StoreRevision {
    store_revision::StoreRevision::new(0, number)
}

fn item(
    subject: store_message::ItemSubject,
    revision: u64,
    content: store_message::ItemContent,
) -> store_message::StoreItem {
    let revision = revision_at(revision);
    store_message::StoreItem { subject, revision, body: Some(content) }
}

fn endpoint_subject(id: &str) -> store_message::ItemSubject {
    store_message::ItemSubject::Endpoint(id.to_owned())
}

fn registration(id: &str, born: u64) -> store_message::ItemContent {
    store_message::ItemContent::Endpoint(store_message::EndpointRegistration {
        id: id.to_owned(),
        group: "orders".to_owned(),
        address: format!("10.2.0.1:{id}"),
        data_centre: "centre0".to_owned(),
        slots: SLOTS,
        draining: false,
        primary: id == "db0",
        born,
    })
}

fn config() -> store_message::ItemContent {
    let account = |name: &str| proxy_config::AccountObject {
        name: name.to_owned(),
        rate: 100.0,
        burst: 100.0,
    };
    let accounts = ["a", "b", "c", "d", "e"].map(|name| (name.to_owned(), account(name)));
    let group = proxy_config::GroupObject {
        name: "orders".to_owned(),
        max_connections: MAX_CONNECTIONS,
        sync_replicas: 0,
    };
    let route = proxy_config::RouteObject {
        database: "strict".to_owned(),
        group: "orders".to_owned(),
        kind: proxy_config::RouteKind::Primary,
        timeout: Duration::from_millis(800),
        target_latency: Duration::from_millis(200),
        priority: 1,
        public: false,
    };
    store_message::ItemContent::Config(Arc::new(proxy_config::ProxyConfig {
        version: 1,
        routes: [(route.database.clone(), route)].into(),
        groups: [(group.name.clone(), group)].into(),
        accounts: accounts.into(),
        keys: Default::default(),
        idle_transaction: Duration::from_millis(3_000),
    }))
}

fn response(
    outcome: Result<String, endpoint_command::EndpointFault>,
    phase: endpoint_command::SessionPhase,
) -> endpoint_command::EndpointResponse {
    let position = Some(endpoint_message::LogPoint { term: 1, position: 1 });
    endpoint_command::EndpointResponse { rows: Vec::new(), outcome, phase, position, report: None }
}

fn leased(channel: u64) -> pool_message::PoolReply {
    let (values, prepared) = Default::default();
    pool_message::PoolReply::Leased { channel, values, prepared }
}

fn ended(channel: u64) -> pool_message::PoolReply {
    pool_message::PoolReply::Ended { channel }
}

fn begin() -> endpoint_command::EndpointCommand {
    endpoint_command::EndpointCommand::Begin { read_only: false, after: None }
}

fn run(id: &str) -> endpoint_command::EndpointCommand {
    let body = endpoint_command::StatementBody::Text("READ 1".to_owned());
    endpoint_command::EndpointCommand::Run { id: id.to_owned(), body, after: None }
}

fn set(value: &str) -> endpoint_command::EndpointCommand {
    let (name, value) = ("zone".to_owned(), value.to_owned());
    endpoint_command::EndpointCommand::Set { name, value }
}

fn refusals(
    replies: &[(pool_message::LinkId, pool_message::PoolReply)],
) -> Vec<(u64, pool_message::LeaseRefusal, u32)> {
    let refusal = |reply: &pool_message::PoolReply| match reply {
        pool_message::PoolReply::Refused { channel, cause, retry_after_ms } => {
            Some((*channel, *cause, *retry_after_ms))
        }
        _ => None,
    };
    replies.iter().filter_map(|(_, reply)| refusal(reply)).collect()
}

const IDLE: endpoint_command::SessionPhase = endpoint_command::SessionPhase::Idle;
const OPEN: endpoint_command::SessionPhase = endpoint_command::SessionPhase::Open;

cases! {
    lease_runs_a_command_and_is_released: |host| {
        let connection = host.lease_new(1, 1, "a");
        host.command(1, 1, run("r1"));
        assert_eq!(host.sent, [(connection, run("r1"))]);
        host.respond(IDLE);
        let expected = response(Ok("r1.1".to_owned()), IDLE);
        let reply = pool_message::PoolReply::Response { channel: 1, response: expected };
        assert_eq!(host.take_replies(), [(1, reply)]);
        host.release(1, 1);
        assert!(host.take_replies().is_empty() && !host.core.context().pool.in_use());
        assert_eq!(host.connections.len(), 1);
    };
    second_host_gets_the_connection_with_its_state: |host| {
        host.lease_new(1, 1, "a");
        host.command(1, 1, set("x"));
        host.respond(IDLE);
        host.release(1, 1);
        host.take_replies();
        host.lease(2, 1, "a");
        let values = [("zone".to_owned(), "x".to_owned())].into();
        let reply = pool_message::PoolReply::Leased { channel: 1, values, prepared: BTreeSet::new() };
        assert_eq!(host.take_replies(), [(2, reply)]);
        assert!(host.opening.is_empty());
        let counts = &host.core.context().counts;
        assert_eq!((counts.leases_granted, counts.pool_opened, counts.pool_reused), (2, 1, 1));
    };
    accounts_never_share_a_connection: |host| {
        host.lease_new(1, 1, "a");
        host.release(1, 1);
        host.lease_new(1, 2, "b");
        assert_eq!(host.connections.len(), 2);
    };
    idle_connection_of_another_account_makes_room: |host| {
        let oldest = host.lease_new(1, 1, "a");
        host.release(1, 1);
        for (channel, account) in [(2, "b"), (3, "c"), (4, "d")] {
            host.advance(Duration::from_millis(1));
            host.lease_new(1, channel, account);
            host.release(1, channel);
        }
        assert_eq!(host.connections.len(), CONNECTION_CAP);
        host.lease_new(1, 5, "e");
        assert_eq!(host.most_connections, CONNECTION_CAP);
        assert!(!host.connections.contains(&oldest));
    };
    released_in_a_transaction_is_rolled_back: |host| {
        let connection = host.lease_new(1, 1, "a");
        host.begin(1, 1);
        host.release(1, 1);
        assert_eq!(host.sent, [(connection, endpoint_command::EndpointCommand::Rollback)]);
        // The connection is not leased again before it is rolled back.
        host.lease(2, 1, "a");
        assert!(host.take_replies().is_empty());
        host.respond(IDLE);
        assert_eq!(host.take_replies(), [(2, leased(1))]);
    };
    released_with_a_command_in_flight_closes_the_connection: |host| {
        let connection = host.lease_new(1, 1, "a");
        host.command(1, 1, run("r1"));
        host.release(1, 1);
        assert!(!host.connections.contains(&connection));
        assert!(host.take_replies().is_empty());
    };
    link_closed_in_a_transaction_rolls_back: |host| {
        host.lease_new(1, 1, "a");
        host.begin(1, 1);
        host.close_link(1);
        assert_eq!(host.respond(IDLE), endpoint_command::EndpointCommand::Rollback);
        assert!(!host.core.context().pool.in_use() && host.core.context().pool.links.is_empty());
        assert_eq!(host.connections.len(), 1);
    };
    link_closed_drops_its_waiting_requests: |host| {
        for channel in 1..=6 {
            host.lease(1, channel, "a");
        }
        host.lease(2, 1, "a");
        host.close_link(1);
        while !host.opening.is_empty() {
            host.accept();
        }
        assert_eq!(host.take_replies(), [(2, leased(1))]);
    };
    endpoint_closes_a_leased_connection: |host| {
        let connection = host.lease_new(1, 1, "a");
        host.command(1, 1, run("r1"));
        host.close(connection, false);
        assert_eq!(host.take_replies(), [(1, ended(1))]);
        host.command(1, 1, run("r2"));
        assert_eq!(host.take_replies(), [(1, ended(1))]);
    };
    endpoint_restarts_as_another_process: |host| {
        let leased_connection = host.lease_new(1, 1, "a");
        let idle_connection = host.lease_new(1, 2, "b");
        host.release(1, 2);
        host.register("db0", 2);
        assert_eq!(host.take_replies(), [(1, ended(1))]);
        assert!(!host.connections.contains(&leased_connection));
        assert!(!host.connections.contains(&idle_connection));
        host.lease_new(1, 3, "a");
    };
    waiting_requests_survive_a_restart_of_the_endpoint: |host| {
        for channel in 1..=5 {
            host.lease(1, channel, "a");
        }
        while !host.opening.is_empty() {
            host.accept();
        }
        host.take_replies();
        host.register("db0", 2);
        assert_eq!(host.take_replies().len(), 4);
        host.accept();
        assert_eq!(host.take_replies(), [(1, leased(5))]);
    };
    two_links_share_one_connection_in_turn: |host| {
        let connection = host.lease_new(1, 1, "a");
        for link in [2, 1, 2] {
            host.release(3 - link, 1);
            host.lease(link, 1, "a");
            assert_eq!(host.take_replies(), [(link, leased(1))]);
            host.command(link, 1, run("r"));
            assert_eq!(host.sent, [(connection, run("r"))]);
            host.respond(IDLE);
            host.take_replies();
        }
    };
    stopping_host_refuses_and_waits_for_its_leases: |host| {
        host.lease_new(1, 1, "a");
        host.handle(proxy_message::ProxyEvent::ShutdownRequested);
        host.lease(1, 2, "a");
        assert_eq!(refusals(&host.take_replies()), [(2, pool_message::LeaseRefusal::NotServing, 0)]);
        for _ in 0..5 {
            host.command(1, 1, run("r"));
            host.advance(Duration::from_millis(500));
            host.respond(IDLE);
        }
        assert!(!host.stopped);
        host.release(1, 1);
        host.advance(Duration::from_millis(200));
        assert!(host.stopped);
    };
    stopping_host_ends_within_its_timeout: |host| {
        host.lease_new(1, 1, "a");
        host.begin(1, 1);
        host.handle(proxy_message::ProxyEvent::ShutdownRequested);
        for _ in 0..12 {
            host.command(1, 1, run("r"));
            host.advance(Duration::from_millis(500));
            host.respond(OPEN);
        }
        assert!(host.stopped);
    };
    unknown_channel_and_endpoint: |host| {
        host.command(1, 9, run("r"));
        host.release(1, 9);
        assert_eq!(host.take_replies(), [(1, ended(9))]);
        host.lease_of(1, 1, "db9", "a", 1_000);
        assert_eq!(refusals(&host.take_replies()), [(1, pool_message::LeaseRefusal::NotServing, 0)]);
        host.request(1, pool_message::PoolRequest::Ping);
        assert_eq!(host.take_replies(), [(1, pool_message::PoolReply::Pong)]);
    };
    second_command_at_once_ends_the_lease: |host| {
        let connection = host.lease_new(1, 1, "a");
        host.command(1, 1, run("r1"));
        host.command(1, 1, run("r2"));
        assert_eq!(host.take_replies(), [(1, ended(1))]);
        assert!(!host.connections.contains(&connection));
    };
    idle_lease_is_ended: |host| {
        host.lease_new(1, 1, "a");
        host.advance(Duration::from_millis(900));
        assert!(host.take_replies().is_empty());
        host.advance(Duration::from_millis(200));
        assert_eq!(host.take_replies(), [(1, ended(1))]);
        assert_eq!(host.connections.len(), 1);
    };
    idle_transaction_is_ended_after_the_configured_limit: |host| {
        host.lease_new(1, 1, "a");
        host.begin(1, 1);
        host.advance(Duration::from_millis(3_900));
        assert!(host.take_replies().is_empty());
        host.advance(Duration::from_millis(200));
        assert_eq!(host.take_replies(), [(1, ended(1))]);
        assert_eq!(host.respond(IDLE), endpoint_command::EndpointCommand::Rollback);
    };
    idle_connection_is_closed_after_a_while: |host| {
        host.lease_new(1, 1, "a");
        host.release(1, 1);
        host.advance(Duration::from_secs(39));
        assert_eq!(host.connections.len(), 1);
        host.advance(Duration::from_secs(2));
        assert!(host.connections.is_empty());
    };
    // A frozen endpoint must not hold a place when the leasing host is gone as well.
    command_without_a_response_ends: |host| {
        host.lease_new(1, 1, "a");
        host.command(1, 1, run("r1"));
        host.advance(Duration::from_millis(2_000));
        assert_eq!(host.take_replies(), [(1, ended(1))]);
        assert!(host.connections.is_empty());
    };
    refused_connection_refuses_all_that_wait: |host| {
        for channel in 1..=6 {
            host.lease(1, channel, "a");
        }
        let (connection, _) = host.opening[0];
        host.close(connection, true);
        let refused = refusals(&host.take_replies());
        assert_eq!(refused.len(), 6);
        assert!(refused.iter().all(|(_, cause, _)| *cause == pool_message::LeaseRefusal::Unreachable));
        // The next one is refused at once, and says when it is tried again.
        host.lease(1, 7, "a");
        let refused = refusals(&host.take_replies());
        assert!(matches!(refused[..], [(7, pool_message::LeaseRefusal::Unreachable, 1..=200)]));
        host.advance(Duration::from_millis(200));
        host.opening.clear();
        host.lease(1, 8, "a");
        assert_eq!(host.opening.len(), 1);
    };
    connection_limit_of_the_endpoint_delays: |host| {
        host.lease(1, 1, "a");
        host.reject(endpoint_command::EndpointFault::TooManyConnections);
        assert!(host.take_replies().is_empty() && host.opening.is_empty());
        host.advance(Duration::from_millis(150));
        host.accept();
        assert_eq!(host.take_replies(), [(1, leased(1))]);
    };
    wrong_endpoint_is_unreachable: |host| {
        host.lease(1, 1, "a");
        host.reject(endpoint_command::EndpointFault::WrongEndpoint);
        let refused = refusals(&host.take_replies());
        assert!(matches!(refused[..], [(1, pool_message::LeaseRefusal::Unreachable, 1..)]));
    };
    connection_that_does_not_open_is_tried_again: |host| {
        host.lease(1, 1, "a");
        host.advance(Duration::from_millis(1_100));
        assert!(host.take_replies().is_empty());
        host.accept();
        assert_eq!(host.take_replies(), [(1, leased(1))]);
    };
    leases_that_execute_are_bounded_by_the_slots: |host| {
        for channel in 1..=6 {
            host.lease(1, channel, "a");
        }
        while !host.opening.is_empty() {
            host.accept();
        }
        assert_eq!(host.take_replies().len(), 2 * SLOTS as usize);
        // A lease idle in a transaction holds its connection, but no slot.
        host.begin(1, 1);
        assert_eq!(host.executing(), 3);
    };
    request_that_would_wait_too_long_is_refused_at_once: |host| {
        for channel in 1..=8 {
            host.lease(1, channel, "a");
        }
        while !host.opening.is_empty() {
            host.accept();
        }
        host.take_replies();
        host.lease_of(2, 1, "db0", "a", 5);
        let refused = refusals(&host.take_replies());
        assert!(matches!(refused[..], [(1, pool_message::LeaseRefusal::Busy, 1..)]), "{refused:?}");
    };
    request_is_refused_when_its_time_is_over: |host| {
        for channel in 1..=4 {
            host.lease(1, channel, "a");
        }
        while !host.opening.is_empty() {
            host.accept();
        }
        host.take_replies();
        host.lease_of(1, 5, "db0", "a", 100);
        host.advance(Duration::from_millis(100));
        let refused = refusals(&host.take_replies());
        assert!(matches!(refused[..], [(5, pool_message::LeaseRefusal::Busy, 1..)]), "{refused:?}");
    };
    answer_on_a_free_connection_ends_it: |host| {
        let connection = host.lease_new(1, 1, "a");
        host.command(1, 1, run("r1"));
        host.respond(IDLE);
        host.release(1, 1);
        host.take_replies();
        assert!(host.connections.contains(&connection));
        host.repeat_last();
        assert!(!host.connections.contains(&connection));
        host.lease_new(1, 2, "a");
    };
    answer_on_an_unused_lease_is_not_passed_on: |host| {
        let connection = host.lease_new(1, 1, "a");
        host.command(1, 1, run("r1"));
        host.respond(IDLE);
        host.take_replies();
        host.repeat_last();
        assert!(host.take_outcomes().is_empty());
        host.release(1, 1);
        assert!(!host.connections.contains(&connection));
    };
    answer_in_an_idle_transaction_is_not_passed_on: |host| {
        let connection = host.lease_new(1, 1, "a");
        host.begin(1, 1);
        host.command(1, 1, run("r1"));
        host.respond(OPEN);
        host.take_replies();
        host.repeat_last();
        assert!(host.take_outcomes().is_empty());
        host.release(1, 1);
        while !host.sent.is_empty() {
            host.respond(IDLE);
        }
        assert!(!host.connections.contains(&connection));
    };
    signed_answer_is_not_passed_to_the_next_lease: |host| {
        let connection = host.lease_new(1, 1, "a");
        host.command(1, 1, run("r1"));
        host.respond(IDLE);
        host.release(1, 1);
        host.take_replies();
        let answer = host.answered[host.answered.len() - 1].clone();
        host.lease(2, 1, "a");
        host.command(2, 1, run("r2"));
        host.repeat(answer);
        assert!(host.take_outcomes().is_empty());
        if host.connections.contains(&connection) {
            host.respond(IDLE);
            assert_eq!(host.take_outcomes(), [Ok("r2.2".to_owned())]);
            host.release(2, 1);
        }
        assert!(!host.connections.contains(&connection));
    };
    start_up_answer_is_not_passed_to_the_first_command: |host| {
        host.lease_new(1, 1, "a");
        host.command(1, 1, run("r1"));
        host.repeat_last();
        assert!(host.take_outcomes().is_empty());
    };
    start_up_answer_does_not_confirm_a_setting: |host| {
        let connection = host.lease_new(1, 1, "a");
        host.command(1, 1, set("x"));
        host.repeat_last();
        assert!(host.take_outcomes().is_empty());
        let settings = host.core.context().connections.get(connection).map(|view| view.values.len());
        assert!(settings.is_none_or(|settings| settings == 0));
    };
    signed_answer_does_not_confirm_a_setting: |host| {
        let connection = host.lease_new(1, 1, "a");
        host.command(1, 1, run("r1"));
        host.respond(IDLE);
        let answer = host.answered[host.answered.len() - 1].clone();
        host.take_replies();
        host.command(1, 1, set("x"));
        host.repeat(answer);
        assert!(host.take_outcomes().is_empty());
        let settings = host.core.context().connections.get(connection).map(|view| view.values.len());
        assert!(settings.is_none_or(|settings| settings == 0));
    };
    busy_answer_is_no_promise_about_the_next_lease: |host| {
        let connection = host.lease_new(1, 1, "a");
        host.command(1, 1, run("r1"));
        host.sent.clear();
        host.answer(connection, Err(endpoint_command::EndpointFault::Busy), IDLE);
        host.release(1, 1);
        host.take_replies();
        let Some(answer) = host.answered.last().cloned() else { return };
        host.lease(2, 1, "a");
        host.command(2, 1, run("r2"));
        host.repeat(answer);
        assert!(host.take_outcomes().is_empty());
    };
    signed_answer_does_not_free_a_connection_that_rolls_back: |host| {
        let connection = host.lease_new(1, 1, "a");
        host.begin(1, 1);
        host.command(1, 1, run("r1"));
        host.respond(OPEN);
        host.command(1, 1, endpoint_command::EndpointCommand::Commit { id: "r2".to_owned() });
        host.respond(IDLE);
        let answer = host.answered[host.answered.len() - 1].clone();
        host.take_replies();
        host.begin(1, 1);
        host.release(1, 1);
        assert_eq!(host.sent, [(connection, endpoint_command::EndpointCommand::Rollback)]);
        host.take_replies();
        host.lease(2, 1, "a");
        host.repeat(answer);
        assert!(!host.take_replies().contains(&(2, leased(1))));
    };
    pool_does_not_count_as_this_hosts_connections: |host| {
        let connection = host.lease_new(1, 1, "a");
        host.command(1, 1, run("r1"));
        host.close(connection, false);
        let context = host.core.context();
        let endpoint = &context.endpoints[context.endpoint_names["db0"]];
        assert!(endpoint.connections.is_empty() && endpoint.circuit.closed());
        assert_eq!(endpoint.unresponsive_since, None);
    };
}

/// One step of a random history. Numbers choose among what there is at that moment.
#[derive(Debug, Clone)]
enum HistoryStep {
    Lease { link: u64, endpoint: usize, account: usize, wait_ms: u32 },
    Command { lease: usize },
    Release { lease: usize },
    CloseLink { link: u64 },
    Accept,
    Reject { limit: bool },
    Refuse,
    Respond { command: usize, open: bool },
    CloseConnection { connection: usize },
    Restart { endpoint: usize },
    Advance { ms: u64 },
    Repeat { answer: usize },
}

fn history_step() -> impl Strategy<Value = HistoryStep> {
    let link = 0_u64..4;
    prop_oneof![
        6 => (link.clone(), 0_usize..2, 0_usize..5, 0_u32..400).prop_map(
            |(link, endpoint, account, wait_ms)| HistoryStep::Lease { link, endpoint, account, wait_ms }
        ),
        8 => (0_usize..16).prop_map(|lease| HistoryStep::Command { lease }),
        5 => (0_usize..16).prop_map(|lease| HistoryStep::Release { lease }),
        1 => link.prop_map(|link| HistoryStep::CloseLink { link }),
        8 => Just(HistoryStep::Accept),
        1 => any::<bool>().prop_map(|limit| HistoryStep::Reject { limit }),
        1 => Just(HistoryStep::Refuse),
        8 => (0_usize..16, any::<bool>())
            .prop_map(|(command, open)| HistoryStep::Respond { command, open }),
        1 => (0_usize..16).prop_map(|connection| HistoryStep::CloseConnection { connection }),
        1 => (0_usize..2).prop_map(|endpoint| HistoryStep::Restart { endpoint }),
        4 => (1_u64..1_500).prop_map(|ms| HistoryStep::Advance { ms }),
    ]
}

/// Steps, of which some repeat an answer of the last 300 ms.
fn repeating_step() -> impl Strategy<Value = HistoryStep> {
    let repeat = (0_usize..16).prop_map(|answer| HistoryStep::Repeat { answer });
    prop_oneof![12 => history_step(), 1 => repeat]
}

/// What a leasing host knows of a channel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChannelState {
    Requested,
    Leased,
    CommandSent,
    Over,
}

/// A serving host, and what the hosts and endpoints around it know.
#[derive(Debug)]
struct HistoryBench {
    host: ServingHost,
    channels: BTreeMap<(u64, u64), ChannelState>,
    /// Connections with an open transaction at the endpoint.
    in_transaction: BTreeSet<arena_keys::ConnectionKey>,
    /// Requests that were sent last, by channel.
    requests: BTreeMap<(u64, u64), String>,
    next_channel: u64,
    next_request: u64,
    born: u64,
}

impl HistoryBench {
    fn new() -> Self {
        Self {
            host: ServingHost::start(),
            channels: BTreeMap::new(),
            in_transaction: BTreeSet::new(),
            requests: BTreeMap::new(),
            next_channel: 1,
            next_request: 1,
            born: 2,
        }
    }

    fn live(&self) -> Vec<(u64, u64)> {
        let live = self.channels.iter().filter(|(_, state)| **state != ChannelState::Over);
        live.map(|(channel, _)| *channel).collect()
    }

    fn run(&mut self, step: &HistoryStep) {
        let host = &mut self.host;
        match step {
            HistoryStep::Lease { link, endpoint, account, wait_ms } => {
                let channel = self.next_channel;
                self.next_channel += 1;
                self.channels.insert((*link, channel), ChannelState::Requested);
                let account = ["a", "b", "c", "d", "e"][*account];
                host.lease_of(*link, channel, ["db0", "db1"][*endpoint], account, *wait_ms);
            }
            HistoryStep::Command { lease } => {
                let ready: Vec<(u64, u64)> = self
                    .channels
                    .iter()
                    .filter(|(_, state)| **state == ChannelState::Leased)
                    .map(|(channel, _)| *channel)
                    .collect();
                if let Some((link, channel)) = ready.get(lease % ready.len().max(1)).copied() {
                    self.channels.insert((link, channel), ChannelState::CommandSent);
                    let request = format!("r{}", self.next_request);
                    self.next_request += 1;
                    host.command(link, channel, run(&request));
                    self.requests.insert((link, channel), request);
                }
            }
            HistoryStep::Release { lease } => {
                let live = self.live();
                if let Some((link, channel)) = live.get(lease % live.len().max(1)).copied() {
                    self.channels.insert((link, channel), ChannelState::Over);
                    self.host.release(link, channel);
                }
            }
            HistoryStep::CloseLink { link } => {
                let own = self.channels.iter_mut().filter(|((other, _), _)| other == link);
                own.for_each(|(_, state)| *state = ChannelState::Over);
                host.close_link(*link);
            }
            HistoryStep::Accept if !host.opening.is_empty() => drop(host.accept()),
            HistoryStep::Reject { limit } if !host.opening.is_empty() => host.reject(match limit {
                true => endpoint_command::EndpointFault::TooManyConnections,
                false => endpoint_command::EndpointFault::WrongEndpoint,
            }),
            HistoryStep::Refuse => {
                if let Some((connection, _)) = host.opening.first().cloned() {
                    host.close(connection, true);
                }
            }
            HistoryStep::Respond { command, open } if !host.sent.is_empty() => {
                let (connection, _) = host.sent[command % host.sent.len()];
                let mut sent = host.sent.iter().filter(|(other, _)| *other == connection);
                let Some((_, command)) = sent.next().cloned() else { return };
                let rollback = command == endpoint_command::EndpointCommand::Rollback;
                let open = *open && !rollback;
                match open {
                    true => self.in_transaction.insert(connection),
                    false => self.in_transaction.remove(&connection),
                };
                host.respond_on(connection, if open { OPEN } else { IDLE });
            }
            HistoryStep::Repeat { answer } => {
                let since = host.now.before(Duration::from_millis(300));
                let recent: Vec<GivenAnswer> =
                    host.answered.iter().filter(|answer| answer.at >= since).cloned().collect();
                if let Some(answer) = recent.get(answer % recent.len().max(1)).cloned() {
                    let connection = answer.connection;
                    host.repeat(answer);
                    // The endpoint runs what follows a rollback after it, answered or not.
                    let mut sent = host.sent.iter().filter(|(other, _)| *other == connection);
                    if sent.next().is_some_and(|(_, command)| {
                        *command == endpoint_command::EndpointCommand::Rollback
                    }) {
                        self.in_transaction.remove(&connection);
                    }
                }
            }
            HistoryStep::CloseConnection { connection } => {
                let open: Vec<_> = host.connections.iter().copied().collect();
                if let Some(connection) = open.get(connection % open.len().max(1)) {
                    host.close(*connection, false);
                }
            }
            HistoryStep::Restart { endpoint } => {
                self.born += 1;
                host.register(["db0", "db1"][*endpoint], self.born);
            }
            HistoryStep::Advance { ms } => host.advance(Duration::from_millis(*ms)),
            _ => {}
        }
    }

    /// Takes the replies over into what the leasing hosts know.
    fn take_replies(&mut self) -> Result<(), TestCaseError> {
        for (link, reply) in self.host.take_replies() {
            let (channel, allowed, next): (u64, &[ChannelState], ChannelState) = match &reply {
                pool_message::PoolReply::Leased { channel, .. } => {
                    (*channel, &[ChannelState::Requested], ChannelState::Leased)
                }
                pool_message::PoolReply::Refused { channel, .. } => {
                    (*channel, &[ChannelState::Requested], ChannelState::Over)
                }
                pool_message::PoolReply::Response { channel, .. } => {
                    (*channel, &[ChannelState::CommandSent], ChannelState::Leased)
                }
                pool_message::PoolReply::Ended { channel }
                | pool_message::PoolReply::OrderLost { channel } => {
                    let allowed = &[ChannelState::Leased, ChannelState::CommandSent];
                    (*channel, allowed, ChannelState::Over)
                }
                pool_message::PoolReply::Pong => continue,
            };
            let state = self.channels.get(&(link, channel)).copied();
            prop_assert!(
                state.is_some_and(|state| allowed.contains(&state)),
                "{reply:?} on link {link} in {state:?}"
            );
            if let pool_message::PoolReply::Response { response, .. } = &reply {
                let request = self.requests.get(&(link, channel)).cloned().unwrap_or_default();
                let own = response.outcome.as_ref().is_ok_and(|signature| {
                    signature.split_once('.').is_some_and(|(signed, _)| signed == request)
                });
                prop_assert!(own, "{reply:?} to {request}");
            }
            self.channels.insert((link, channel), next);
        }
        Ok(())
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let context = self.host.core.context();
        let mut pooled = BTreeSet::new();
        for (endpoint, pool) in &context.pool.endpoints {
            prop_assert!(pool.connections.len() <= CONNECTION_CAP);
            pooled.extend(pool.connections.iter().copied());
            let load = pool_server::measure_load(context, endpoint);
            // Open transactions go on beside the leases that are granted.
            let resumed = context.pool.leases.values().filter(|state| {
                let connection = state.connection().filter(|_| state.endpoint == endpoint);
                connection.is_some_and(|connection| self.in_transaction.contains(&connection))
            });
            prop_assert!(load.in_use <= 2 * SLOTS as usize + resumed.count());
        }
        prop_assert_eq!(&pooled, &self.host.connections);
        let mut used = BTreeSet::new();
        for state in context.pool.leases.values() {
            let known = self.channels.get(&(state.link, state.channel));
            prop_assert!(known.is_some_and(|state| *state != ChannelState::Over));
            let Some(connection) = state.connection() else { continue };
            prop_assert!(used.insert(connection), "two leases of one connection");
            let view = &context.connections[connection];
            prop_assert_eq!(view.pool_account.as_ref(), Some(&state.request.account));
            prop_assert_eq!(view.endpoint, state.endpoint);
            let untouched = state.occupied == Duration::ZERO && view.in_flight.is_none();
            let began = self.in_transaction.contains(&connection);
            prop_assert!(!(untouched && began && !view.in_transaction()), "inside another's");
        }
        prop_assert_eq!(context.pool.leases.len(), self.live().len());
        Ok(())
    }
}

#[test]
fn random_histories_keep_cap_leases_and_channels_apart() {
    check_histories(history_step());
}

#[test]
fn random_histories_with_repeated_answers_keep_answers_apart() {
    check_histories(repeating_step());
}

fn check_histories(step: impl Strategy<Value = HistoryStep>) {
    let variable =
        |name: &str| std::env::var(name).ok().and_then(|value| value.parse::<u64>().ok());
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&variable("PROPERTY_SEED").unwrap_or(1_u64).to_le_bytes());
    let cases = variable("PROPERTY_CASES").map_or(CASES_IN_CI, |cases| cases as u32);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let history = prop::collection::vec(step, 1..300);
    let outcome = runner.run(&history, |steps| {
        let mut bench = HistoryBench::new();
        for step in &steps {
            bench.run(step);
            bench.take_replies()?;
            bench.check()?;
        }
        for link in 0..4 {
            bench.run(&HistoryStep::CloseLink { link });
            bench.take_replies()?;
        }
        while !bench.host.sent.is_empty() || !bench.host.opening.is_empty() {
            bench.run(&HistoryStep::Accept);
            bench.run(&HistoryStep::Respond { command: 0, open: false });
        }
        bench.check()?;
        bench.host.advance(Duration::from_secs(45));
        let context = bench.host.core.context();
        prop_assert!(context.pool.leases.is_empty() && context.pool.links.is_empty());
        prop_assert!(bench.host.connections.is_empty());
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}
