//! All state of the proxy core, handed by reference to its functions.

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
use crate::daemon::latency_histograms;
use crate::proxy::connection_state;
use crate::proxy::endpoint_view;
use crate::proxy::group_view;
use crate::proxy::log_limiter;
use crate::proxy::member_view;
use crate::proxy::pending_request;
use crate::proxy::proxy_config;
use crate::proxy::proxy_message;
use crate::proxy::proxy_tuning;
use crate::proxy::session_state;
use crate::proxy::store_message;
use crate::proxy::store_record;
use crate::proxy::store_session;
use crate::proxy::witness_selection;

const FAILOVER_CHART: &str = include_str!("../../charts/proxy_failover.yaml");
const CONNECTION_CHART: &str = include_str!("../../charts/endpoint_connection.yaml");
const FAILOVER_EVENTS: [&str; 11] = [
    "reason_found",
    "record_missing",
    "unfinished_found",
    "record_written",
    "record_lost",
    "timed_out",
    "hosts_stopped",
    "candidate_chosen",
    "primary_found",
    "promotion_accepted",
    "promotion_rejected",
];
const CONNECTION_EVENTS: [&str; 7] = [
    "opened",
    "failed",
    "timed_out",
    "discarded",
    "call_sent",
    "call_answered",
    "transaction_begun",
];

/// Time between starts of hosts that count as starting together.
const STARTED_TOGETHER: Duration = Duration::from_secs(3);

/// What a timer is for. Timers are never cancelled; those that have lost their cause do nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyTimer {
    /// A job may have reached one of its time limits.
    Request(arena_keys::StatementKey),
    /// Requests may go on that wait for tokens.
    Share(arena_keys::AccountKey),
    /// Links may be opened again to an endpoint that had too many.
    Endpoint(arena_keys::EndpointKey),
    /// A change of primary may go on.
    Failover(arena_keys::GroupKey),
    /// Everything that time alone changes is due for a look.
    Tick,
}

/// Counts since the start, for the metrics page.
#[derive(Debug, Clone, Default)]
pub struct ProxyCounts {
    /// Requests answered with success, by account.
    pub served: BTreeMap<String, u64>,
    /// Requests answered with success, by the route's kind and what the request does.
    pub served_kinds: BTreeMap<(&'static str, &'static str), u64>,
    /// Requests refused or failed, by account and cause.
    pub unserved: BTreeMap<(String, String), u64>,
    /// Reads that ran on replicas.
    pub replica_reads: u64,
    /// Reads that ran on primaries.
    pub primary_reads: u64,
    /// Links opened.
    pub connections_opened: u64,
    /// Statements sent again because they surely had not run.
    pub retries: u64,
    /// Calls to the store.
    pub store_calls: u64,
    /// Datagrams to peers.
    pub datagrams: u64,
}

/// One client account on this host.
#[derive(Debug)]
pub struct AccountView {
    /// Name.
    pub name: String,
    /// Its object; `None` once the configuration lacks it.
    pub object: Option<proxy_config::AccountObject>,
    /// The hosts that hold shares of its rate and burst.
    pub homes: Vec<String>,
    /// Identifies these hosts, the rate and the burst.
    pub allocation: u64,
    /// This host's share of its rate and burst.
    pub ledger: share_ledger::ShareLedger,
    /// Jobs that wait for a share.
    pub waiting: VecDeque<arena_keys::StatementKey>,
    /// When peers were last asked for tokens.
    pub asked: clock_time::ClockTime,
    /// Peers that were asked and have not answered.
    pub unanswered: Vec<String>,
    /// The peer that is asked next, by its place among those in reach.
    pub turn: usize,
    /// Answers in a row that brought nothing.
    pub empty_replies: usize,
    /// Until when nobody is held to have tokens to spare.
    pub exhausted_until: clock_time::ClockTime,
}

/// How shares are dealt at present.
#[derive(Debug, Default)]
pub struct AllocationState {
    /// Identifies the hosts and configuration that shares were dealt by.
    pub number: u64,
    /// The hosts that they were dealt to.
    pub hosts: Vec<String>,
    /// When they were dealt.
    pub since: clock_time::ClockTime,
    /// Whether all hosts are known to go by the same dealing.
    pub confirmed: bool,
    /// Whether any dealing was ever opened.
    pub opened: bool,
}

/// The duty of changing primaries as this host sees it.
#[derive(Debug, Default)]
pub struct CoordinatorState {
    /// The record in the store and its revision, which serves as the token.
    pub record: Option<(store_record::CoordinatorRecord, u64)>,
    /// When the record was last seen to vanish.
    pub vacant: clock_time::ClockTime,
    /// A lease taken for a claim, and when the call for it was sent.
    pub lease: Option<(u64, clock_time::ClockTime)>,
    /// Until when this host surely holds the duty, if the record names it.
    pub until: clock_time::ClockTime,
    /// Whether a call about the duty is under way.
    pub open: bool,
    /// When the next call may be sent.
    pub next: clock_time::ClockTime,
}

/// All state of the proxy core.
#[derive(Debug)]
pub struct ProxyContext {
    /// This host.
    pub identity: store_record::MemberRecord,
    /// Spans and bounds.
    pub tuning: proxy_tuning::ProxyTuning,
    /// Chart of a change of primary.
    pub failover_chart: Arc<state_chart::StateChart>,
    /// Chart of a link.
    pub connection_chart: Arc<state_chart::StateChart>,
    /// The time of the event being handled.
    pub now: clock_time::ClockTime,
    /// Source of all randomness.
    pub rng: SmallRng,
    /// Actions of the event being handled.
    pub actions: Vec<proxy_message::ProxyAction>,
    /// Timers.
    pub timers: timer_queue::TimerQueue<ProxyTimer>,
    /// Budget of log lines about requests.
    pub log_limiter: log_limiter::LogLimiter,
    /// Counts since the start.
    pub counts: ProxyCounts,
    /// Latencies of served requests by account.
    pub latencies: latency_histograms::LatencyHistograms,
    /// Latencies of served requests by the route's kind and what the request does.
    pub kind_latencies: latency_histograms::LatencyHistograms,
    /// The configuration in force.
    pub config: Option<Arc<proxy_config::ProxyConfig>>,
    /// Data centres under evacuation, and since when that is known.
    pub evacuations: BTreeMap<String, clock_time::ClockTime>,
    /// Standing with the store.
    pub store: store_session::StoreSession,
    /// Calls to the store under way.
    pub store_calls: HashMap<core_message::CallId, store_session::StoreCall>,
    /// Appointments under way.
    pub promotions: HashMap<core_message::CallId, arena_keys::GroupKey>,
    /// Names of the hosts that take part, whether they run or not, and the revisions of their
    /// entries.
    pub roster: BTreeMap<String, u64>,
    /// All hosts, by name.
    pub members: BTreeMap<String, member_view::MemberView>,
    /// Hosts whose words count while the store is silent.
    pub witnesses: witness_selection::WitnessState,
    /// When the last pulse was sent.
    pub heartbeat_sent_at: clock_time::ClockTime,
    /// The duty of changing primaries.
    pub coordinator: CoordinatorState,
    /// How shares are dealt.
    pub allocation: AllocationState,
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
    /// Links.
    pub connections: SlotMap<arena_keys::ConnectionKey, connection_state::ConnectionState>,
    /// Sessions.
    pub sessions: SlotMap<arena_keys::CallerKey, session_state::SessionState>,
    /// Sessions by the door's number.
    pub callers: HashMap<core_message::CallerId, arena_keys::CallerKey>,
    /// Jobs.
    pub requests: SlotMap<arena_keys::StatementKey, pending_request::PendingRequest>,
    /// When the process was asked to stop.
    pub stopping: Option<clock_time::ClockTime>,
    /// Whether the end was announced.
    pub stopped: bool,
    /// Whether this host said last that new callers are welcome.
    pub ready: bool,
    /// When the store or most hosts were last in reach.
    pub last_reachable: clock_time::ClockTime,
    /// When counts were last written to the log.
    pub told: clock_time::ClockTime,
    /// When the process started.
    pub started: clock_time::ClockTime,
    next_call: core_message::CallId,
}

impl ProxyContext {
    /// Builds the state of a host that knows nothing yet.
    ///
    /// # Errors
    ///
    /// Fails when a state chart is malformed.
    pub fn new(
        identity: store_record::MemberRecord,
        tuning: proxy_tuning::ProxyTuning,
        seed: u64,
        now: clock_time::ClockTime,
    ) -> Result<Self> {
        let failover_chart = state_chart::StateChart::parse(FAILOVER_CHART)?;
        failover_chart.require_events(&FAILOVER_EVENTS)?;
        let connection_chart = state_chart::StateChart::parse(CONNECTION_CHART)?;
        connection_chart.require_events(&CONNECTION_EVENTS)?;
        Ok(Self {
            identity,
            tuning,
            failover_chart: Arc::new(failover_chart),
            connection_chart: Arc::new(connection_chart),
            now,
            rng: SmallRng::seed_from_u64(seed),
            actions: Vec::new(),
            timers: timer_queue::TimerQueue::default(),
            log_limiter: log_limiter::LogLimiter::new(now),
            counts: ProxyCounts::default(),
            latencies: latency_histograms::LatencyHistograms::default(),
            kind_latencies: latency_histograms::LatencyHistograms::default(),
            config: None,
            evacuations: BTreeMap::new(),
            store: store_session::StoreSession::default(),
            store_calls: HashMap::new(),
            promotions: HashMap::new(),
            roster: BTreeMap::new(),
            members: BTreeMap::new(),
            witnesses: witness_selection::WitnessState::default(),
            heartbeat_sent_at: clock_time::ClockTime::default(),
            coordinator: CoordinatorState::default(),
            allocation: AllocationState::default(),
            accounts: SlotMap::with_key(),
            account_names: HashMap::new(),
            groups: SlotMap::with_key(),
            group_names: BTreeMap::new(),
            endpoints: SlotMap::with_key(),
            endpoint_names: BTreeMap::new(),
            connections: SlotMap::with_key(),
            sessions: SlotMap::with_key(),
            callers: HashMap::new(),
            requests: SlotMap::with_key(),
            stopping: None,
            stopped: false,
            ready: false,
            last_reachable: now,
            told: now,
            started: now,
            next_call: 1,
        })
    }

    /// Calls the store.
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

    /// Returns a number for a call that awaits an answer.
    pub fn next_number(&mut self) -> core_message::CallId {
        let number = self.next_call;
        self.next_call += 1;
        number
    }

    /// Returns `span` lengthened by up to a half, so that hosts do not act in step.
    pub fn with_jitter(&mut self, span: Duration) -> Duration {
        let part: f64 = self.rng.random();
        span.mul_f64(1.0 + part / 2.0)
    }

    /// Returns a number between 0 and 1.
    pub fn random_fraction(&mut self) -> f64 {
        self.rng.random()
    }

    /// Whether this host may rely on the group's record that it knows: either its own lease runs,
    /// or most witnesses have said lately that they know of no newer record.
    ///
    /// A replacement of a primary waits until no host can be in either state.
    pub fn may_use_primary(&self, group: arena_keys::GroupKey) -> bool {
        let view = &self.groups[group];
        if view.peer_epoch > view.epoch() {
            return false;
        }
        self.store.membership_valid(self.now) || self.quorum(view)
    }

    /// Whether the store or most witnesses were heard within `span`: without either, this host will soon
    /// have nothing to rely on.
    pub fn store_or_quorum_reachable(&self, span: Duration) -> bool {
        let since = self.now.before(span);
        let heard = |host: &String| {
            let heard = self.members.get(host).and_then(|member| member.heard);
            *host == self.identity.host || heard.is_some_and(|heard| heard > since)
        };
        self.store.answered > since || witness_selection::is_majority(&self.witnesses.hosts, heard)
    }

    fn quorum(&self, view: &group_view::GroupView) -> bool {
        let since = self.now.before(self.tuning.quorum_lease);
        let agrees = |host: &String| {
            let Some(member) = self.members.get(host) else { return false };
            let known = member
                .observations
                .get(&view.name)
                .map_or(0, |observation| observation.known_epoch);
            let heard = member.echoed.is_some_and(|echoed| echoed > since);
            let same = member.witnesses == self.witnesses.number;
            *host == self.identity.host || (heard && same && known <= view.epoch())
        };
        let others = self.witnesses.hosts.len() > 1;
        others
            && self.store.knows_own_registration()
            && witness_selection::is_majority(&self.witnesses.hosts, agrees)
    }

    /// Whether this host is a witness.
    pub fn is_witness(&self) -> bool {
        self.witnesses.hosts.contains(&self.identity.host)
    }

    /// Whether the fleet is so small that every host is a witness.
    pub fn all_witnesses(&self) -> bool {
        self.witnesses.hosts.len() == self.roster.len()
    }

    /// Whether this host's lease in the store will soon have run out, so that it needs the words of
    /// witnesses.
    pub fn needs_quorum(&self) -> bool {
        !self.store.membership_valid(self.now.after(self.tuning.quorum_lease / 2))
    }

    /// Returns the endpoint that may be used as the group's primary now.
    pub fn usable_primary(&self, group: arena_keys::GroupKey) -> Option<arena_keys::EndpointKey> {
        if !self.may_use_primary(group) {
            return None;
        }
        let record = self.groups[group].serving()?;
        let endpoint = *self.endpoint_names.get(&record.primary)?;
        let view = &self.endpoints[endpoint];
        (view.group == group && !view.is_excluded(self.now, &self.tuning)).then_some(endpoint)
    }

    /// Whether this host surely holds the duty of changing primaries; returns the token.
    pub fn coordinator_token(&self) -> Option<u64> {
        let (record, revision) = self.coordinator.record.as_ref()?;
        let own = record.host == self.identity.host
            && record.incarnation == self.identity.incarnation
            && self.now < self.coordinator.until;
        own.then_some(*revision)
    }

    /// Returns the hosts that take part, whether they run or not.
    pub fn roster_hosts(&self) -> Vec<String> {
        self.roster.keys().cloned().collect()
    }

    /// Whether most hosts started at about the time that this one did: all may have ended at once.
    pub fn started_together(&self) -> bool {
        let own = self.identity.incarnation;
        let near = self.members.values().filter(|member| {
            member.record.incarnation.abs_diff(own) < STARTED_TOGETHER.as_micros() as u64
        });
        near.count() * 2 > self.roster.len()
    }

    /// Writes a line about a request or a belief, within the budget of lines.
    pub fn log_limited(&mut self, line: impl FnOnce() -> String) {
        self.log_limiter.write(self.now, line);
    }
}
