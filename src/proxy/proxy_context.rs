//! The state of the proxy core, passed by reference to its functions.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::SlotMap;

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::core::core_message;
use crate::core::share_ledger;
use crate::core::state_chart;
use crate::core::timer_queue;
use crate::daemon::latency_book;
use crate::proxy::change_record;
use crate::proxy::decision_log;
use crate::proxy::endpoint_view;
use crate::proxy::group_view;
use crate::proxy::job_state;
use crate::proxy::link_state;
use crate::proxy::member_view;
use crate::proxy::proxy_config;
use crate::proxy::proxy_message;
use crate::proxy::proxy_tuning;
use crate::proxy::session_state;
use crate::proxy::store_message;
use crate::proxy::store_session;
use crate::proxy::witness_policy;

const CHANGE_CHART: &str = include_str!("../../charts/primary_change.yaml");
const LINK_CHART: &str = include_str!("../../charts/endpoint_connection.yaml");
const CHANGE_EVENTS: [&str; 11] = [
    "reason_found",
    "record_missing",
    "unfinished_found",
    "record_written",
    "record_lost",
    "timed_out",
    "hosts_stopped",
    "candidate_chosen",
    "leader_found",
    "appointed",
    "rejected",
];
const LINK_EVENTS: [&str; 7] =
    ["opened", "failed", "silent", "discarded", "call_sent", "call_answered", "transaction_begun"];

/// Hosts whose starts lie within this interval count as started together.
const STARTED_TOGETHER: Duration = Duration::from_secs(3);

/// The purpose of a timer. Timers are never cancelled; one whose purpose has lapsed does nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyTimer {
    /// Checks a request against its deadlines.
    Job(arena_keys::StatementKey),
    /// Admits requests that wait for tokens, or asks peers for tokens again.
    Share(arena_keys::AccountKey),
    /// Opens connections to an endpoint that had reached its connection limit.
    Endpoint(arena_keys::EndpointKey),
    /// Advances a group's failover.
    Change(arena_keys::GroupKey),
    /// Runs the periodic work.
    Tick,
}

/// Counters since the process started, for the metrics page.
#[derive(Debug, Clone, Default)]
pub struct ProxyCounts {
    /// Successful requests by account.
    pub served: BTreeMap<String, u64>,
    /// Successful requests by kind of route and kind of request.
    pub served_kinds: BTreeMap<(&'static str, &'static str), u64>,
    /// Refused and failed requests by account and cause.
    pub unserved: BTreeMap<(String, String), u64>,
    /// Reads executed on replicas.
    pub replica_reads: u64,
    /// Reads executed on primaries.
    pub primary_reads: u64,
    /// Connections opened to endpoints.
    pub links_opened: u64,
    /// Statements sent again after an attempt that is known not to have run them.
    pub retries: u64,
    /// Requests to the store.
    pub store_calls: u64,
    /// Datagrams sent to peers.
    pub datagrams: u64,
}

/// One client account on this host.
#[derive(Debug)]
pub struct AccountView {
    /// Name of the account.
    pub name: String,
    /// The account's configuration; `None` once the account has been removed from the
    /// configuration.
    pub object: Option<proxy_config::AccountObject>,
    /// Home hosts: those that hold shares of the account's rate and burst.
    pub homes: Vec<String>,
    /// Hash of the home hosts, the rate and the burst.
    pub dealing: u64,
    /// This host's share of the rate and burst.
    pub ledger: share_ledger::ShareLedger,
    /// Requests that wait for a token.
    pub waiting: VecDeque<arena_keys::StatementKey>,
    /// When peers were last asked for tokens.
    pub asked: clock_time::ClockTime,
    /// Peers that were asked and have not replied.
    pub unanswered: Vec<String>,
    /// Index among the reachable home hosts of the next one to ask.
    pub turn: usize,
    /// Consecutive replies without tokens.
    pub vain: usize,
    /// Until when all peers are assumed to be out of tokens.
    pub dry_until: clock_time::ClockTime,
}

/// The current allocation of shares to hosts.
#[derive(Debug, Default)]
pub struct DealingState {
    /// Hash of the roster and the configuration version from which shares were allocated.
    pub number: u64,
    /// The hosts on the roster at the allocation.
    pub hosts: Vec<String>,
    /// When shares were allocated.
    pub since: clock_time::ClockTime,
    /// Whether all hosts are known to use the same allocation.
    pub attested: bool,
    /// Whether any allocation has been activated since the start.
    pub opened: bool,
}

/// The coordinator role as this host sees it.
#[derive(Debug, Default)]
pub struct DutyState {
    /// The coordinator record and its revision in the store, which is the fencing token.
    pub record: Option<(change_record::DutyRecord, u64)>,
    /// When the record was last seen to be removed.
    pub vacant: clock_time::ClockTime,
    /// The lease taken for this host's claim, and until when it is certain to be valid.
    pub lease: Option<(u64, clock_time::ClockTime)>,
    /// Until when this host is certain to be the coordinator, provided that the record names it.
    pub until: clock_time::ClockTime,
    /// Whether a store request about the role is pending.
    pub open: bool,
    /// When the next such request may be sent.
    pub next: clock_time::ClockTime,
}

/// The state of the proxy core.
#[derive(Debug)]
pub struct ProxyContext {
    /// This host.
    pub identity: change_record::MemberRecord,
    /// Timeouts and limits.
    pub tuning: proxy_tuning::ProxyTuning,
    /// State chart of a failover.
    pub change_chart: Arc<state_chart::StateChart>,
    /// State chart of a connection.
    pub link_chart: Arc<state_chart::StateChart>,
    /// Time of the event being handled.
    pub now: clock_time::ClockTime,
    /// The only source of randomness, seeded so that runs can be repeated.
    pub rng: SmallRng,
    /// Actions that result from the event being handled.
    pub actions: Vec<proxy_message::ProxyAction>,
    /// Pending timers.
    pub timers: timer_queue::TimerQueue<ProxyTimer>,
    /// Limits the rate of log lines about requests.
    pub decisions: decision_log::DecisionLog,
    /// Counters for the metrics page.
    pub counts: ProxyCounts,
    /// Latencies of successful requests by account.
    pub latencies: latency_book::LatencyBook,
    /// Latencies of successful requests by kind of route and kind of request.
    pub kind_latencies: latency_book::LatencyBook,
    /// The active configuration.
    pub config: Option<Arc<proxy_config::ProxyConfig>>,
    /// Data centres under evacuation, and when this host read of each.
    pub evacuations: BTreeMap<String, clock_time::ClockTime>,
    /// Store sync and membership of this host.
    pub store: store_session::StoreSession,
    /// Pending store requests.
    pub store_calls: HashMap<core_message::CallId, store_session::StoreCall>,
    /// Pending promotions.
    pub appointments: HashMap<core_message::CallId, arena_keys::GroupKey>,
    /// Hosts that belong to the fleet, running or not, with the revisions of their roster entries.
    pub roster: BTreeMap<String, u64>,
    /// Every known host by name, this one included.
    pub members: BTreeMap<String, member_view::MemberView>,
    /// Hosts whose acknowledgements form a quorum lease while the store is unreachable.
    pub witnesses: witness_policy::WitnessState,
    /// When heartbeats were last sent.
    pub pulsed: clock_time::ClockTime,
    /// The coordinator role.
    pub duty: DutyState,
    /// The current allocation of shares.
    pub dealing: DealingState,
    /// Client accounts.
    pub accounts: SlotMap<arena_keys::AccountKey, AccountView>,
    /// Client accounts by name.
    pub account_names: HashMap<String, arena_keys::AccountKey>,
    /// Groups.
    pub groups: SlotMap<arena_keys::GroupKey, group_view::GroupView>,
    /// Groups by name.
    pub group_names: BTreeMap<String, arena_keys::GroupKey>,
    /// Endpoints.
    pub endpoints: SlotMap<arena_keys::EndpointKey, endpoint_view::EndpointView>,
    /// Endpoints by id.
    pub endpoint_names: BTreeMap<String, arena_keys::EndpointKey>,
    /// Connections to endpoints.
    pub links: SlotMap<arena_keys::ConnectionKey, link_state::LinkState>,
    /// Sessions of callers.
    pub sessions: SlotMap<arena_keys::CallerKey, session_state::SessionState>,
    /// Sessions by the listener's caller id.
    pub callers: HashMap<core_message::CallerId, arena_keys::CallerKey>,
    /// Requests that have not been answered.
    pub jobs: SlotMap<arena_keys::StatementKey, job_state::JobState>,
    /// When shutdown was requested.
    pub stopping: Option<clock_time::ClockTime>,
    /// Whether the stop action has been emitted.
    pub stopped: bool,
    /// The readiness that was last reported.
    pub ready: bool,
    /// When the store or most witnesses were last reachable.
    pub touched: clock_time::ClockTime,
    /// When counters were last logged.
    pub told: clock_time::ClockTime,
    /// When the process started.
    pub started: clock_time::ClockTime,
    next_call: core_message::CallId,
}

impl ProxyContext {
    /// Creates the state of a host that has not read the store yet.
    ///
    /// # Errors
    ///
    /// Fails when a state chart is malformed.
    pub fn new(
        identity: change_record::MemberRecord,
        tuning: proxy_tuning::ProxyTuning,
        seed: u64,
        now: clock_time::ClockTime,
    ) -> Result<Self> {
        let change_chart = state_chart::StateChart::parse(CHANGE_CHART)?;
        change_chart.require_events(&CHANGE_EVENTS)?;
        let link_chart = state_chart::StateChart::parse(LINK_CHART)?;
        link_chart.require_events(&LINK_EVENTS)?;
        Ok(Self {
            identity,
            tuning,
            change_chart: Arc::new(change_chart),
            link_chart: Arc::new(link_chart),
            now,
            rng: SmallRng::seed_from_u64(seed),
            actions: Vec::new(),
            timers: timer_queue::TimerQueue::default(),
            decisions: decision_log::DecisionLog::new(now),
            counts: ProxyCounts::default(),
            latencies: latency_book::LatencyBook::default(),
            kind_latencies: latency_book::LatencyBook::default(),
            config: None,
            evacuations: BTreeMap::new(),
            store: store_session::StoreSession::default(),
            store_calls: HashMap::new(),
            appointments: HashMap::new(),
            roster: BTreeMap::new(),
            members: BTreeMap::new(),
            witnesses: witness_policy::WitnessState::default(),
            pulsed: clock_time::ClockTime::default(),
            duty: DutyState::default(),
            dealing: DealingState::default(),
            accounts: SlotMap::with_key(),
            account_names: HashMap::new(),
            groups: SlotMap::with_key(),
            group_names: BTreeMap::new(),
            endpoints: SlotMap::with_key(),
            endpoint_names: BTreeMap::new(),
            links: SlotMap::with_key(),
            sessions: SlotMap::with_key(),
            callers: HashMap::new(),
            jobs: SlotMap::with_key(),
            stopping: None,
            stopped: false,
            ready: false,
            touched: now,
            told: now,
            started: now,
            next_call: 1,
        })
    }

    /// Sends a request to the store and records its purpose.
    pub fn call_store(
        &mut self,
        purpose: store_session::StorePurpose,
        request: store_message::StoreRequest,
    ) {
        let call = self.next_number();
        self.counts.store_calls += 1;
        let sent = self.now;
        self.store_calls.insert(call, store_session::StoreCall { purpose, sent });
        self.actions.push(proxy_message::ProxyAction::CallStore { call, request });
    }

    /// Returns a new id for a request that awaits a reply.
    pub fn next_number(&mut self) -> core_message::CallId {
        let number = self.next_call;
        self.next_call += 1;
        number
    }

    /// Returns `span` lengthened by up to half of itself at random, so that hosts do not act in
    /// step.
    pub fn spread(&mut self, span: Duration) -> Duration {
        let part: f64 = self.rng.random();
        span.mul_f64(1.0 + part / 2.0)
    }

    /// Returns a random number from 0 up to 1.
    pub fn jitter(&mut self) -> f64 {
        self.rng.random()
    }

    /// Returns whether this host may use the primary in the group's record as it knows it: its
    /// membership lease is valid, or most witnesses have lately acknowledged that they know of no
    /// newer epoch.
    ///
    /// A failover waits until no host can meet either condition for the old primary.
    pub fn permitted(&self, group: arena_keys::GroupKey) -> bool {
        let view = &self.groups[group];
        if view.peer_epoch > view.epoch() {
            return false;
        }
        self.store.tenured(self.now) || self.quorum(view)
    }

    /// Returns whether the store or most witnesses replied within the last `span`. Without either,
    /// this host soon loses both its membership lease and its quorum lease.
    pub fn in_touch(&self, span: Duration) -> bool {
        let since = self.now.before(span);
        let heard = |host: &String| {
            let heard = self.members.get(host).and_then(|member| member.heard);
            *host == self.identity.host || heard.is_some_and(|heard| heard > since)
        };
        self.store.answered > since || witness_policy::most(&self.witnesses.hosts, heard)
    }

    fn quorum(&self, view: &group_view::GroupView) -> bool {
        let since = self.now.before(self.tuning.quorum_word);
        let agrees = |host: &String| {
            let Some(member) = self.members.get(host) else { return false };
            let known = member.sights.get(&view.name).map_or(0, |sight| sight.known_epoch);
            let heard = member.echoed.is_some_and(|echoed| echoed > since);
            let same = member.witnesses == self.witnesses.number;
            *host == self.identity.host || (heard && same && known <= view.epoch())
        };
        let others = self.witnesses.hosts.len() > 1;
        others && self.store.settled_in() && witness_policy::most(&self.witnesses.hosts, agrees)
    }

    /// Returns whether this host is a witness.
    pub fn is_witness(&self) -> bool {
        self.witnesses.hosts.contains(&self.identity.host)
    }

    /// Returns whether every host on the roster is a witness, as in a small fleet.
    pub fn all_witnesses(&self) -> bool {
        self.witnesses.hosts.len() == self.roster.len()
    }

    /// Returns whether the membership lease is about to expire, so that this host needs a quorum
    /// lease.
    pub fn needs_words(&self) -> bool {
        !self.store.tenured(self.now.after(self.tuning.quorum_word / 2))
    }

    /// Returns the endpoint that may be used as the group's primary now.
    pub fn usable_primary(&self, group: arena_keys::GroupKey) -> Option<arena_keys::EndpointKey> {
        if !self.permitted(group) {
            return None;
        }
        let record = self.groups[group].serving()?;
        let endpoint = *self.endpoint_names.get(&record.primary)?;
        let view = &self.endpoints[endpoint];
        (view.group == group && !view.barred(self.now, &self.tuning)).then_some(endpoint)
    }

    /// Returns the fencing token if this host is certain to be the coordinator.
    pub fn duty_token(&self) -> Option<u64> {
        let (record, revision) = self.duty.record.as_ref()?;
        let own = record.host == self.identity.host
            && record.incarnation == self.identity.incarnation
            && self.now < self.duty.until;
        own.then_some(*revision)
    }

    /// Returns the names on the roster.
    pub fn kept_hosts(&self) -> Vec<String> {
        self.roster.keys().cloned().collect()
    }

    /// Returns whether most hosts started at about the same time as this one, as after an outage of
    /// the whole fleet.
    pub fn started_together(&self) -> bool {
        let own = self.identity.incarnation;
        let near = self.members.values().filter(|member| {
            member.record.incarnation.abs_diff(own) < STARTED_TOGETHER.as_micros() as u64
        });
        near.count() * 2 > self.roster.len()
    }

    /// Writes a log line unless the limit on such lines is exceeded.
    pub fn note(&mut self, line: impl FnOnce() -> String) {
        self.decisions.write(self.now, line);
    }
}
