//! For which account statements run, and by which route, when a configuration changes routes, keys or
//! accounts meanwhile. Each case of `docs/design/access-changes.md` is played at several times. Run in
//! virtual time; the fakes report a statement that ran for another account as a violation.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a panic fails the test")]

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use proxy_fakes::{ProxyFleet, ReceivedResponse, millis, read, write};
use quetzaldeal::core::core_message;
use quetzaldeal::proxy::endpoint_command;
use quetzaldeal::proxy::proxy_config;
use quetzaldeal::proxy::session_request;

/// Host that the session is open on.
const HOST: usize = 1;
/// Replica in the data centre of the host, which serves its reads.
const NEAR_REPLICA: &str = "db1";
/// Route of the session.
const ROUTE: &str = "own";
/// Group that the route leads to at first, and another one.
const GROUP: &str = "orders";
const OTHER_GROUP: &str = "archive";
/// Accounts; the key of each is its name at first.
const ACCOUNT: &str = "large";
const OTHER_ACCOUNT: &str = "other";
/// Account of statements on a public route.
const NOBODY: &str = "";

/// What the statements of a session meet.
#[derive(Debug, Clone, Copy)]
enum ExpectedAccess {
    /// They run for the account in the group.
    Runs { account: &'static str, group: &'static str },
    /// They are refused with the cause of this name.
    Refused(&'static str),
}

/// A change of the configuration, and what it means for a session.
#[derive(Debug, Clone, Copy)]
struct AccessChange {
    /// Key of the session.
    key: &'static str,
    /// Whether the route is public at first.
    public: bool,
    change: fn(&mut proxy_config::ProxyConfig),
    /// What a transaction that began before the change meets.
    open: ExpectedAccess,
    /// What the next transaction meets.
    next: ExpectedAccess,
}

/// When the change comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChangeTime {
    BeforeBegin,
    AfterBegin,
    AfterFirstStatement,
    /// While settings and a prepared statement are restored on a connection.
    InRestore,
    /// While the first statement waits for a connection.
    InQueue,
    /// Before an endpoint says that it is busy, so that the first statement is placed again.
    InRetry,
    /// While a statement is at an endpoint that is busy.
    InRejection,
    /// While a statement is at an endpoint that no longer knows what it prepared.
    InLostPreparation,
}

const RUNS: ExpectedAccess = ExpectedAccess::Runs { account: ACCOUNT, group: GROUP };
const RUNS_FOR_NOBODY: ExpectedAccess = ExpectedAccess::Runs { account: NOBODY, group: GROUP };
const NO_ROUTE: ExpectedAccess = ExpectedAccess::Refused("RuleDenied");
const KEY_REJECTED: ExpectedAccess = ExpectedAccess::Refused("KeyRejected");
const ACCOUNT_CHANGED: ExpectedAccess = ExpectedAccess::Refused("AccountChanged");

/// Guards against statements that run for nobody once the route of their transaction is gone.
const ROUTE_REMOVED: AccessChange =
    AccessChange { key: ACCOUNT, public: false, change: remove_route, open: RUNS, next: NO_ROUTE };
/// Guards against statements that run in the group of a route that came after their transaction.
const ROUTE_REPLACED: AccessChange = AccessChange {
    key: ACCOUNT,
    public: false,
    change: replace_route,
    open: RUNS,
    next: ExpectedAccess::Runs { account: ACCOUNT, group: OTHER_GROUP },
};
/// Guards against statements that run for nobody as the route became public after their BEGIN.
const ROUTE_MADE_PUBLIC: AccessChange = AccessChange {
    key: ACCOUNT,
    public: false,
    change: |config| route(config).public = true,
    open: RUNS,
    next: RUNS_FOR_NOBODY,
};
/// Guards against statements of a public route's transaction that run for the account of the key.
const ROUTE_MADE_PRIVATE: AccessChange = AccessChange {
    key: ACCOUNT,
    public: true,
    change: |config| route(config).public = false,
    open: RUNS_FOR_NOBODY,
    next: RUNS,
};
/// Guards against a public route's transaction that is refused as its key is not known.
const ROUTE_MADE_PRIVATE_FOR_UNKNOWN_KEY: AccessChange =
    AccessChange { key: "unknown", next: KEY_REJECTED, ..ROUTE_MADE_PRIVATE };
/// The same where the key is withdrawn in the same version.
const ROUTE_MADE_PRIVATE_AND_KEY_WITHDRAWN: AccessChange = AccessChange {
    change: |config| {
        route(config).public = false;
        withdraw_key(config);
    },
    next: KEY_REJECTED,
    ..ROUTE_MADE_PRIVATE
};
/// Guards against a public route's transaction that ends with the route.
const PUBLIC_ROUTE_REMOVED_AND_KEY_WITHDRAWN: AccessChange = AccessChange {
    change: |config| {
        remove_route(config);
        withdraw_key(config);
    },
    next: NO_ROUTE,
    ..ROUTE_MADE_PRIVATE
};
/// Guards against a public route that needs a key.
const KEY_WITHDRAWN_ON_PUBLIC_ROUTE: AccessChange =
    AccessChange { change: withdraw_key, next: RUNS_FOR_NOBODY, ..ROUTE_MADE_PRIVATE };
/// Guards against statements that run with a withdrawn key.
const KEY_WITHDRAWN: AccessChange = AccessChange {
    key: ACCOUNT,
    public: false,
    change: withdraw_key,
    open: KEY_REJECTED,
    next: KEY_REJECTED,
};
/// The same where the whole account is gone.
const ACCOUNT_REMOVED: AccessChange = AccessChange { change: remove_account, ..KEY_WITHDRAWN };
/// Guards against a withdrawn key that goes unnoticed as the route of the transaction is gone, too.
const ROUTE_REMOVED_AND_KEY_WITHDRAWN: AccessChange = AccessChange {
    change: |config| {
        remove_route(config);
        withdraw_key(config);
    },
    next: NO_ROUTE,
    ..KEY_WITHDRAWN
};
/// The same where the whole account is gone.
const ROUTE_AND_ACCOUNT_REMOVED: AccessChange = AccessChange {
    change: |config| {
        remove_route(config);
        remove_account(config);
    },
    ..ROUTE_REMOVED_AND_KEY_WITHDRAWN
};
/// The same where the route leads to another group.
const ROUTE_REPLACED_AND_KEY_WITHDRAWN: AccessChange = AccessChange {
    change: |config| {
        replace_route(config);
        withdraw_key(config);
    },
    ..KEY_WITHDRAWN
};
/// The same where the route needs no key any more.
const ROUTE_MADE_PUBLIC_AND_KEY_WITHDRAWN: AccessChange = AccessChange {
    change: |config| {
        route(config).public = true;
        withdraw_key(config);
    },
    next: RUNS_FOR_NOBODY,
    ..KEY_WITHDRAWN
};
/// Guards against a transaction that goes on for the account that held its key before.
const KEY_MOVED: AccessChange = AccessChange {
    key: ACCOUNT,
    public: false,
    change: move_key,
    open: ACCOUNT_CHANGED,
    next: ExpectedAccess::Runs { account: OTHER_ACCOUNT, group: GROUP },
};
/// The same where the former account is gone.
const ACCOUNT_REMOVED_AND_KEY_MOVED: AccessChange = AccessChange {
    change: |config| {
        remove_account(config);
        move_key(config);
    },
    ..KEY_MOVED
};
/// The same where the route of the transaction is gone, too.
const ROUTE_REMOVED_AND_KEY_MOVED: AccessChange = AccessChange {
    change: |config| {
        remove_route(config);
        move_key(config);
    },
    next: NO_ROUTE,
    ..KEY_MOVED
};
/// The same where the route leads to another group.
const ROUTE_REPLACED_AND_KEY_MOVED: AccessChange = AccessChange {
    change: |config| {
        replace_route(config);
        move_key(config);
    },
    next: ExpectedAccess::Runs { account: OTHER_ACCOUNT, group: OTHER_GROUP },
    ..KEY_MOVED
};
/// The same where the route needs no key any more.
const ROUTE_MADE_PUBLIC_AND_KEY_MOVED: AccessChange = AccessChange {
    change: |config| {
        route(config).public = true;
        move_key(config);
    },
    next: RUNS_FOR_NOBODY,
    ..KEY_MOVED
};
/// Guards against a public route's transaction that ends with a change of the key.
const ROUTE_MADE_PRIVATE_AND_KEY_MOVED: AccessChange = AccessChange {
    change: |config| {
        route(config).public = false;
        move_key(config);
    },
    next: KEY_MOVED.next,
    ..ROUTE_MADE_PRIVATE
};

/// Declares a module of a change with a test for each time at which it comes.
macro_rules! change_cases {
    ($play:ident, $name:ident, $change:expr, $($test:ident($time:ident, $read_only:expr);)*) => {
        mod $name {
            use super::*;
            $(
                #[test]
                fn $test() {
                    $play(&$change, ChangeTime::$time, $read_only);
                }
            )*
        }
    };
}

/// Plays changes that come before a statement is sent, in transactions that may write and read-only
/// ones.
macro_rules! admission_cases {
    ($($name:ident: $change:expr;)*) => {
        $(change_cases! {
            play_transaction, $name, $change,
            before_begin(BeforeBegin, false);
            before_begin_read(BeforeBegin, true);
            after_begin(AfterBegin, false);
            after_begin_read(AfterBegin, true);
            after_first_write(AfterFirstStatement, false);
            after_first_read(AfterFirstStatement, true);
        })*
    };
}

/// Plays changes that come before a statement that was sent can run.
macro_rules! waiting_cases {
    ($($name:ident: $change:expr;)*) => {
        $(change_cases! {
            play_transaction, $name, $change,
            in_restore(InRestore, false);
            in_restore_for_read(InRestore, true);
            in_queue(InQueue, false);
            in_retry_of_read(InRetry, true);
        })*
    };
}

/// Plays changes that come while a single statement waits or is tried again.
macro_rules! single_cases {
    ($($name:ident: $change:expr;)*) => {
        $(change_cases! {
            play_single, $name, $change,
            in_restore(InRestore, false);
            in_restore_for_read(InRestore, true);
            in_queue(InQueue, false);
            in_rejection_of_read(InRejection, true);
            in_lost_preparation_of_read(InLostPreparation, true);
        })*
    };
}

admission_cases! {
    route_removed: ROUTE_REMOVED;
    route_replaced: ROUTE_REPLACED;
    route_made_public: ROUTE_MADE_PUBLIC;
    route_made_private: ROUTE_MADE_PRIVATE;
    route_made_private_for_unknown_key: ROUTE_MADE_PRIVATE_FOR_UNKNOWN_KEY;
    route_made_private_and_key_withdrawn: ROUTE_MADE_PRIVATE_AND_KEY_WITHDRAWN;
    public_route_removed_and_key_withdrawn: PUBLIC_ROUTE_REMOVED_AND_KEY_WITHDRAWN;
    key_withdrawn_on_public_route: KEY_WITHDRAWN_ON_PUBLIC_ROUTE;
    key_withdrawn: KEY_WITHDRAWN;
    account_removed: ACCOUNT_REMOVED;
    route_removed_and_key_withdrawn: ROUTE_REMOVED_AND_KEY_WITHDRAWN;
    route_and_account_removed: ROUTE_AND_ACCOUNT_REMOVED;
    route_replaced_and_key_withdrawn: ROUTE_REPLACED_AND_KEY_WITHDRAWN;
    route_made_public_and_key_withdrawn: ROUTE_MADE_PUBLIC_AND_KEY_WITHDRAWN;
    key_moved: KEY_MOVED;
    account_removed_and_key_moved: ACCOUNT_REMOVED_AND_KEY_MOVED;
    route_removed_and_key_moved: ROUTE_REMOVED_AND_KEY_MOVED;
    route_replaced_and_key_moved: ROUTE_REPLACED_AND_KEY_MOVED;
    route_made_public_and_key_moved: ROUTE_MADE_PUBLIC_AND_KEY_MOVED;
    route_made_private_and_key_moved: ROUTE_MADE_PRIVATE_AND_KEY_MOVED;
}

waiting_cases! {
    route_removed_meanwhile: ROUTE_REMOVED;
    route_replaced_meanwhile: ROUTE_REPLACED;
    route_made_public_meanwhile: ROUTE_MADE_PUBLIC;
    route_made_private_meanwhile: ROUTE_MADE_PRIVATE;
    route_made_private_for_unknown_key_meanwhile: ROUTE_MADE_PRIVATE_FOR_UNKNOWN_KEY;
    route_made_private_and_key_withdrawn_meanwhile: ROUTE_MADE_PRIVATE_AND_KEY_WITHDRAWN;
    public_route_removed_and_key_withdrawn_meanwhile: PUBLIC_ROUTE_REMOVED_AND_KEY_WITHDRAWN;
    key_withdrawn_on_public_route_meanwhile: KEY_WITHDRAWN_ON_PUBLIC_ROUTE;
    route_made_private_and_key_moved_meanwhile: ROUTE_MADE_PRIVATE_AND_KEY_MOVED;
    key_withdrawn_meanwhile: KEY_WITHDRAWN;
    account_removed_meanwhile: ACCOUNT_REMOVED;
    route_removed_and_key_withdrawn_meanwhile: ROUTE_REMOVED_AND_KEY_WITHDRAWN;
    route_and_account_removed_meanwhile: ROUTE_AND_ACCOUNT_REMOVED;
    route_replaced_and_key_withdrawn_meanwhile: ROUTE_REPLACED_AND_KEY_WITHDRAWN;
    route_made_public_and_key_withdrawn_meanwhile: ROUTE_MADE_PUBLIC_AND_KEY_WITHDRAWN;
    key_moved_meanwhile: KEY_MOVED;
    account_removed_and_key_moved_meanwhile: ACCOUNT_REMOVED_AND_KEY_MOVED;
    route_removed_and_key_moved_meanwhile: ROUTE_REMOVED_AND_KEY_MOVED;
    route_replaced_and_key_moved_meanwhile: ROUTE_REPLACED_AND_KEY_MOVED;
    route_made_public_and_key_moved_meanwhile: ROUTE_MADE_PUBLIC_AND_KEY_MOVED;
}

single_cases! {
    single_route_removed: ROUTE_REMOVED;
    single_route_replaced: ROUTE_REPLACED;
    single_route_made_public: ROUTE_MADE_PUBLIC;
    single_route_made_private: ROUTE_MADE_PRIVATE;
    single_route_made_private_and_key_withdrawn: ROUTE_MADE_PRIVATE_AND_KEY_WITHDRAWN;
    single_key_withdrawn_on_public_route: KEY_WITHDRAWN_ON_PUBLIC_ROUTE;
    single_key_withdrawn: KEY_WITHDRAWN;
    single_account_removed: ACCOUNT_REMOVED;
    single_route_removed_and_key_withdrawn: ROUTE_REMOVED_AND_KEY_WITHDRAWN;
    single_route_made_public_and_key_withdrawn: ROUTE_MADE_PUBLIC_AND_KEY_WITHDRAWN;
    single_key_moved: KEY_MOVED;
    single_route_removed_and_key_moved: ROUTE_REMOVED_AND_KEY_MOVED;
    single_route_made_public_and_key_moved: ROUTE_MADE_PUBLIC_AND_KEY_MOVED;
}

fn route(config: &mut proxy_config::ProxyConfig) -> &mut proxy_config::RouteObject {
    config.routes.get_mut(ROUTE).expect("the route")
}

fn remove_route(config: &mut proxy_config::ProxyConfig) {
    config.routes.remove(ROUTE);
}

fn replace_route(config: &mut proxy_config::ProxyConfig) {
    route(config).group = OTHER_GROUP.to_owned();
}

fn withdraw_key(config: &mut proxy_config::ProxyConfig) {
    config.keys.remove(&proxy_config::digest_key(ACCOUNT));
}

fn move_key(config: &mut proxy_config::ProxyConfig) {
    config.keys.insert(proxy_config::digest_key(ACCOUNT), OTHER_ACCOUNT.to_owned());
}

fn remove_account(config: &mut proxy_config::ProxyConfig) {
    withdraw_key(config);
    config.accounts.remove(ACCOUNT);
}

/// A session that the change concerns.
struct ChangedSession {
    fleet: ProxyFleet,
    caller: core_message::CallerId,
    change: AccessChange,
}

impl ChangedSession {
    fn open(change: &AccessChange) -> Self {
        let accounts = [(ACCOUNT, 1_000.0, 1_000.0), (OTHER_ACCOUNT, 1_000.0, 1_000.0)];
        let mut fleet = ProxyFleet::new(4, &accounts, 1);
        fleet.add_group(OTHER_GROUP, 10);
        fleet.reconfigure(|config| route(config).public = change.public);
        // A host may hold one connection only until endpoints have dropped those of its last process.
        fleet.run(millis(4_000));
        let caller = fleet.open(HOST, change.key, ROUTE);
        let mut session = Self { fleet, caller, change: *change };
        let before = if change.public { RUNS_FOR_NOBODY } else { RUNS };
        // Connections for later statements are open then.
        session.check(write(), before);
        session.fleet.run(millis(200));
        session.check(read(), before);
        session
    }

    fn expect(&mut self, access: ExpectedAccess) {
        if let ExpectedAccess::Runs { account, .. } = access {
            self.fleet.expect_account(HOST, self.caller, account);
        }
    }

    /// Publishes the change and waits until the host knows it.
    fn apply(&mut self) {
        self.fleet.reconfigure(self.change.change);
        let version = self.fleet.published().version;
        for _ in 0..150 {
            let config = &self.fleet.core(HOST).context().config;
            if config.as_ref().is_some_and(|config| config.version == version) {
                return;
            }
            self.fleet.run(millis(1));
        }
        panic!("the host does not know version {version}");
    }

    /// Sends a request and checks that it meets this access.
    fn check(&mut self, request: session_request::SessionRequest, access: ExpectedAccess) {
        self.expect(access);
        let id = self.fleet.send(HOST, self.caller, request);
        self.check_response(&id, access);
    }

    /// Waits for the response to a request and checks that it met this access.
    fn check_response(&mut self, id: &str, access: ExpectedAccess) {
        let received = self.wait();
        let verdict = &received.response.verdict;
        match access {
            ExpectedAccess::Runs { group, .. } => {
                assert!(received.ran(), "{verdict:?}");
                if let Some(signature) = &received.response.signature {
                    let endpoint = signature.split('.').next().unwrap_or_default();
                    assert_eq!(self.fleet.databases[endpoint].group, group);
                }
            }
            ExpectedAccess::Refused(cause) => {
                assert!(format!("{:?}", verdict.cause).starts_with(cause), "{verdict:?}");
                assert!(!self.fleet.executed(id), "{id} ran");
            }
        }
    }

    fn wait(&mut self) -> ReceivedResponse {
        self.fleet.wait_for_response(HOST, self.caller).expect("an answer within 3 s")
    }

    /// Sends a request that a host answers by itself.
    fn run(&mut self, request: session_request::SessionRequest) {
        self.fleet.send(HOST, self.caller, request);
        let received = self.wait();
        assert!(received.ran(), "{:?}", received.response.verdict);
    }

    /// Sends writes until one waits in a phase of this name.
    fn send_until(&mut self, phase: &str) -> String {
        for _ in 0..200 {
            let id = self.fleet.send(HOST, self.caller, write());
            let mut requests = self.fleet.core(HOST).context().requests.values();
            if requests.any(|request| request.id == id && request.phase.name() == phase) {
                return id;
            }
            self.wait();
        }
        panic!("no request waits in the phase {phase}");
    }

    /// Has the session set a value and prepare a statement, and returns the request that runs it.
    fn prepare(&mut self, read_only: bool) -> session_request::SessionRequest {
        let kind = match read_only {
            true => session_request::StatementKind::Read,
            false => session_request::StatementKind::Write,
        };
        let (name, shape) = ("s1".to_owned(), "shape".to_owned());
        self.run(session_request::SessionRequest::Prepare { name, kind, shape });
        let (name, value) = ("tone".to_owned(), "dark".to_owned());
        self.run(session_request::SessionRequest::Set { name, value });
        execute()
    }

    /// Sends a statement, has the change come before it can run, and checks what it meets.
    fn change_before_run(&mut self, request: session_request::SessionRequest, time: ChangeTime) {
        let delayed = time != ChangeTime::InQueue;
        if delayed {
            // Each command takes 80 ms, and the change arrives within the first one.
            self.fleet.database_latency_us = 40_000;
        }
        let replica = self.fleet.databases.get_mut(NEAR_REPLICA).expect("the replica");
        let busy = endpoint_command::EndpointFault::Busy;
        match time {
            ChangeTime::InRetry => replica.setup_rejections.push_back(busy),
            ChangeTime::InRejection => replica.rejections.push_back(busy),
            ChangeTime::InLostPreparation => {
                replica.rejections.push_back(endpoint_command::EndpointFault::UnknownStatement);
            }
            _ => {}
        }
        let users = if delayed { Vec::new() } else { self.use_up_connections() };
        let id = self.fleet.send(HOST, self.caller, request);
        self.apply();
        assert!(!self.fleet.executed(&id), "{id} ran before the change");
        for user in users {
            self.fleet.close(HOST, user);
        }
        self.check_response(&id, self.change.open);
        // A request that is refused at once does not reach the busy endpoint.
        let refused_earlier =
            matches!(self.change.open, ExpectedAccess::Refused(_)) && time == ChangeTime::InRetry;
        let replica = &self.fleet.databases[NEAR_REPLICA];
        assert!(replica.rejections.is_empty());
        assert!(replica.setup_rejections.is_empty() || refused_earlier);
    }

    /// Has other sessions use the two connections that the host may hold to the primary.
    fn use_up_connections(&mut self) -> Vec<core_message::CallerId> {
        self.fleet.reconfigure(|config| {
            config.groups.get_mut(GROUP).expect("the group").max_connections = 12;
        });
        self.fleet.run(millis(150));
        (0..2)
            .map(|_| {
                let user = self.fleet.open(HOST, OTHER_ACCOUNT, "strict");
                for request in [begin(false), write()] {
                    let received = self.fleet.send_and_wait(HOST, user, request);
                    let received = received.expect("an answer");
                    assert!(received.ran(), "{:?}", received.response.verdict);
                }
                user
            })
            .collect()
    }
}

/// Runs what [`ChangedSession::prepare`] prepared.
fn execute() -> session_request::SessionRequest {
    let (name, arguments) = ("s1".to_owned(), "a b".to_owned());
    session_request::SessionRequest::Execute { name, arguments }
}

fn begin(read_only: bool) -> session_request::SessionRequest {
    session_request::SessionRequest::Begin { read_only }
}

/// Plays a change while a single statement waits or is tried again.
fn play_single(change: &AccessChange, time: ChangeTime, read_only: bool) {
    let mut session = ChangedSession::open(change);
    let statement = match time {
        ChangeTime::InRestore => session.prepare(read_only),
        ChangeTime::InLostPreparation => {
            let execute = session.prepare(read_only);
            session.run(execute.clone());
            execute
        }
        _ if read_only => read(),
        _ => write(),
    };
    session.change_before_run(statement, time);
    session.check(if read_only { read() } else { write() }, change.next);
    assert!(session.fleet.violations.is_empty(), "{:#?}", session.fleet.violations);
}

fn play_transaction(change: &AccessChange, time: ChangeTime, read_only: bool) {
    let mut session = ChangedSession::open(change);
    let statement = || if read_only { read() } else { write() };
    if time == ChangeTime::BeforeBegin {
        session.apply();
    }
    let met = if time == ChangeTime::BeforeBegin { change.next } else { change.open };
    match time {
        ChangeTime::BeforeBegin => session.check(begin(read_only), met),
        ChangeTime::AfterBegin => {
            session.run(begin(read_only));
            session.apply();
        }
        ChangeTime::AfterFirstStatement => {
            session.run(begin(read_only));
            session.run(statement());
            session.apply();
        }
        ChangeTime::InRestore => {
            let execute = session.prepare(read_only);
            session.run(begin(read_only));
            session.change_before_run(execute, time);
        }
        _ => {
            session.run(begin(read_only));
            session.change_before_run(statement(), time);
        }
    }
    match met {
        ExpectedAccess::Runs { .. } => {
            session.check(statement(), met);
            session.check(session_request::SessionRequest::Commit, met);
        }
        ExpectedAccess::Refused(_) if time == ChangeTime::BeforeBegin => {}
        ExpectedAccess::Refused(_) => {
            if matches!(time, ChangeTime::AfterBegin | ChangeTime::AfterFirstStatement) {
                session.check(statement(), met);
            }
            session.run(session_request::SessionRequest::Rollback);
        }
    }
    session.check(statement(), change.next);
    if time == ChangeTime::InRestore {
        session.check(execute(), change.next);
    }
    assert!(session.fleet.violations.is_empty(), "{:#?}", session.fleet.violations);
}

/// Guards against a COMMIT that is refused and leaves its session in the transaction.
#[test]
fn refused_commit_ends_the_transaction() {
    for change in [KEY_WITHDRAWN, KEY_MOVED] {
        let mut session = ChangedSession::open(&change);
        session.run(begin(false));
        session.run(write());
        session.apply();
        session.check(session_request::SessionRequest::Commit, change.open);
        session.check(write(), change.next);
        assert!(session.fleet.violations.is_empty(), "{:#?}", session.fleet.violations);
    }
}

/// Has a statement wait in a phase of this name, applies the change, and checks that it is refused at once.
fn refuse_in_phase(change: &AccessChange, phase: &str, prepare: fn(&mut ChangedSession)) {
    let mut session = ChangedSession::open(change);
    prepare(&mut session);
    let id = session.send_until(phase);
    session.apply();
    let applied = session.fleet.now;
    session.check_response(&id, change.open);
    assert!(session.fleet.now - applied <= 1_000, "refused only after a wait");
    assert!(session.fleet.violations.is_empty(), "{:#?}", session.fleet.violations);
}

/// Leaves the account without tokens.
fn spend_tokens(session: &mut ChangedSession) {
    session.fleet.reconfigure(|config| {
        let account = config.accounts.get_mut(ACCOUNT).expect("the account");
        (account.rate, account.burst) = (8.0, 1.0);
    });
    session.fleet.run(millis(8_000));
}

/// Leaves the group without a primary shortly before the next one.
fn replace_primary(session: &mut ChangedSession) {
    session.fleet.crash("db0", false);
    let promoting = |session: &ChangedSession| {
        let context = session.fleet.core(HOST).context();
        let record = context.groups[context.group_names[GROUP]].record.as_ref();
        record.is_some_and(|record| record.candidate.is_some())
    };
    while !promoting(session) {
        session.fleet.run(millis(10));
    }
    session.fleet.run(millis(800));
}

/// Guards against requests that wait for tokens or a primary with a withdrawn or moved key.
#[test]
fn waiting_requests_are_refused_in_each_phase() {
    for change in [KEY_WITHDRAWN, KEY_MOVED] {
        refuse_in_phase(&change, "waiting", spend_tokens);
        refuse_in_phase(&change, "awaiting_primary", replace_primary);
    }
}
