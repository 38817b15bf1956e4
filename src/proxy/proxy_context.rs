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
use crate::daemon::latency_histograms;
use crate::proxy::change_history;
use crate::proxy::connection_state;
use crate::proxy::duty_fence;
use crate::proxy::endpoint_view;
use crate::proxy::group_view;
use crate::proxy::lease_book;
use crate::proxy::log_limiter;
use crate::proxy::member_view;
use crate::proxy::peer_datagram;
use crate::proxy::pending_duty;
use crate::proxy::pending_request;
use crate::proxy::pool_state;
use crate::proxy::primary_wait;
use crate::proxy::proxy_config;
use crate::proxy::proxy_message;
use crate::proxy::proxy_tuning;
use crate::proxy::relay_state;
use crate::proxy::return_schedule;
use crate::proxy::session_state;
use crate::proxy::store_message;
use crate::proxy::store_record;
use crate::proxy::store_revision;
use crate::proxy::store_session;
use crate::proxy::token_outlook;
use crate::proxy::usage_state;
use crate::proxy::witness_selection;

const FAILOVER_CHART: &str = include_str!("../../charts/proxy_failover.yaml");
const CONNECTION_CHART: &str = include_str!("../../charts/endpoint_connection.yaml");
const FAILOVER_EVENTS: [&str; 12] = [
    "reason_found",
    "record_missing",
    "unfinished_found",
    "record_unconfirmed",
    "record_written",
    "failover_abandoned",
    "timed_out",
    "hosts_released",
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
    "response_received",
    "transaction_begun",
];

/// Name of the only histogram in `lease_waits`.
pub const LEASE_WAITS: &str = "lease";
/// Hosts whose starts lie within this interval count as started together.
const STARTED_TOGETHER: Duration = Duration::from_secs(3);

/// The purpose of a timer. Timers are never cancelled; one whose purpose has lapsed does nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyTimer {
    /// Checks a request against its deadlines.
    Request(arena_keys::StatementKey),
    /// Admits requests that wait for tokens, or requests tokens from peers again.
    Share(arena_keys::AccountKey),
    /// Opens connections to an endpoint that had reached its connection limit.
    Endpoint(arena_keys::EndpointKey),
    /// Grants or refuses waiting requests for leases of an endpoint's connections.
    Pool(arena_keys::EndpointKey),
    /// Advances a group's failover.
    Failover(arena_keys::GroupKey),
    /// Requests the receipts that commits of a group wait for.
    Receipts(arena_keys::GroupKey),
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
    pub connections_opened: u64,
    /// Those opened for probes and failovers, which found none that could prove the response.
    pub connections_opened_for_commands: u64,
    /// Responses of endpoints that were not matched with the command in flight, by what they were.
    pub responses_out_of_order: BTreeMap<&'static str, u64>,
    /// Statements sent again after an attempt that is known not to have run them.
    pub retries: u64,
    /// Requests refused on arrival, by cause.
    pub refused_at_once: BTreeMap<String, u64>,
    /// Requests refused after they had waited, by cause.
    pub refused_after_wait: BTreeMap<String, u64>,
    /// Requests that waited for a primary and were placed on it.
    pub primary_waits_placed: u64,
    /// Requests that waited for a primary and were refused.
    pub primary_waits_expired: u64,
    /// Requests to the store.
    pub store_calls: u64,
    /// Replies of the store by purpose of the request and outcome.
    pub store_replies: BTreeMap<(&'static str, &'static str), u64>,
    /// Times that the store was found to be restored from a copy.
    pub store_restores: u64,
    /// Watches that could not continue because the store no longer had their history.
    pub histories_lost: u64,
    /// Changes that were not applied because a later one of the same item was known, by kind of item.
    pub items_ignored: BTreeMap<&'static str, u64>,
    /// Changes of the store that peers have delivered.
    pub relayed_changes: u64,
    /// Datagrams sent to peers.
    pub datagrams: u64,
    /// Leases that this host has asked serving hosts for.
    pub leases_asked: u64,
    /// Leases that serving hosts have refused, by cause.
    pub lease_refusals: BTreeMap<&'static str, u64>,
    /// Links to serving hosts that were lost.
    pub pool_links_lost: u64,
    /// Leases granted to the fleet.
    pub leases_granted: u64,
    /// Refused requests for leases, by cause.
    pub leases_refused: BTreeMap<&'static str, u64>,
    /// Connections opened for leases.
    pub pool_opened: u64,
    /// Leases granted on a connection that another lease had used before.
    pub pool_reused: u64,
    /// Requests that endpoints began to run, as counted for usage reports.
    pub usage_requests: u64,
    /// Windows whose usage report was accepted from this host.
    pub usage_windows_reported: u64,
    /// Windows whose usage report this host could not bring in on time.
    pub usage_windows_missed: u64,
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
    pub allocation: u64,
    /// This host's share of the rate and burst.
    pub ledger: share_ledger::ShareLedger,
    /// Requests that wait for a token.
    pub waiting: VecDeque<arena_keys::StatementKey>,
    /// When tokens were last requested from peers.
    pub requested_at: clock_time::ClockTime,
    /// Peers that have not replied to the last token requests.
    pub pending_peers: Vec<String>,
    /// Token requests without a reply, by number, and when they were sent.
    pub open_asks: BTreeMap<u64, clock_time::ClockTime>,
    /// Index, among the reachable home hosts, of the one that gets the next token request.
    pub next_peer: usize,
    /// Consecutive replies without tokens.
    pub empty_replies: usize,
    /// Consecutive searches of all home hosts that found no token.
    pub fruitless_searches: u32,
    /// When the next search may begin.
    pub next_search: clock_time::ClockTime,
    /// What searches and admissions on this host show about the account's tokens.
    pub history: token_outlook::TokenHistory,
    /// Slots given to refused callers.
    pub returns: return_schedule::ReturnSchedule,
    /// When waiting requests are next admitted with tokens that this host's share accrues.
    pub accrual_check_at: clock_time::ClockTime,
}

/// The planned end of a host's process, as recorded in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostDeparture {
    /// The process that has ended.
    pub incarnation: u64,
    /// Revision of the record.
    pub revision: store_revision::StoreRevision,
}

/// The current allocation of shares to hosts.
#[derive(Debug, Default)]
pub struct AllocationState {
    /// Hash of the roster and the configuration version from which shares were allocated.
    pub hash: u64,
    /// The hosts on the roster at the allocation.
    pub hosts: Vec<String>,
    /// When shares were allocated.
    pub since: clock_time::ClockTime,
    /// Whether all hosts are known to use the same allocation.
    pub confirmed: bool,
    /// Whether any allocation has been activated since the start.
    pub ever_activated: bool,
}

/// The coordinator role as this host sees it.
#[derive(Debug, Default)]
pub struct CoordinatorState {
    /// The coordinator record and its revision in the store, which is the fencing token.
    pub record: Option<(store_record::CoordinatorRecord, store_revision::StoreRevision)>,
    /// When the record was last seen to be removed.
    pub vacant_since: clock_time::ClockTime,
    /// The lease taken for this host's claim, and until when it is certain to be valid.
    pub lease: Option<(u64, clock_time::ClockTime)>,
    /// Until when this host is certain to be the coordinator, provided that the record names it.
    pub until: clock_time::ClockTime,
    /// Whether a store request about the role is pending.
    pub call_pending: bool,
    /// When the next such request may be sent.
    pub next_call_at: clock_time::ClockTime,
}

/// The state of the proxy core.
#[derive(Debug)]
pub struct ProxyContext {
    /// This host.
    pub identity: store_record::MemberRecord,
    /// Timeouts and limits.
    pub tuning: proxy_tuning::ProxyTuning,
    /// State chart of a failover.
    pub failover_chart: Arc<state_chart::StateChart>,
    /// State chart of a connection.
    pub connection_chart: Arc<state_chart::StateChart>,
    /// Time of the event being handled.
    pub now: clock_time::ClockTime,
    /// The only source of randomness, seeded so that runs can be repeated.
    pub rng: SmallRng,
    /// Actions that result from the event being handled.
    pub actions: Vec<proxy_message::ProxyAction>,
    /// Pending timers.
    pub timers: timer_queue::TimerQueue<ProxyTimer>,
    /// Limits the rate of log lines about requests.
    pub log_limiter: log_limiter::LogLimiter,
    /// Counters for the metrics page.
    pub counts: ProxyCounts,
    /// Latencies of successful requests by account.
    pub latencies: latency_histograms::LatencyHistograms,
    /// Latencies of successful requests by kind of route and kind of request.
    pub kind_latencies: latency_histograms::LatencyHistograms,
    /// Time that requests waited for a lease, under the name of [`LEASE_WAITS`].
    pub lease_waits: latency_histograms::LatencyHistograms,
    /// Times for which requests were held before they were refused, by cause.
    pub hold_times: latency_histograms::LatencyHistograms,
    /// Durations of the failovers that this host has seen.
    pub failover_durations: primary_wait::FailoverDurations,
    /// The active configuration.
    pub config: Option<Arc<proxy_config::ProxyConfig>>,
    /// Data centres under evacuation, and when this host read of each.
    pub evacuations: BTreeMap<String, clock_time::ClockTime>,
    /// Store sync and membership of this host.
    pub store: store_session::StoreSession,
    /// The latest changes of the store, for hosts that do not watch it.
    pub history: change_history::ChangeHistory,
    /// Relay of these changes between hosts.
    pub relay: relay_state::RelayState,
    /// Pending store requests.
    pub store_calls: HashMap<core_message::CallId, store_session::StoreCall>,
    /// Pending calls of duties.
    pub duty_calls: HashMap<core_message::CallId, pending_duty::PendingDuty>,
    /// This host's last calls of duties.
    pub duty_fence: duty_fence::DutyFence,
    /// Usage reports.
    pub usage: usage_state::UsageState,
    /// Hosts that belong to the fleet, running or not, with the revisions of their roster entries.
    pub roster: BTreeMap<String, store_revision::StoreRevision>,
    /// Last processes of hosts that have ended as planned.
    pub departures: BTreeMap<String, HostDeparture>,
    /// Every known host by name, this one included.
    pub members: BTreeMap<String, member_view::MemberView>,
    /// Hosts whose acknowledgements form a quorum lease while the store is unreachable.
    pub witnesses: witness_selection::WitnessState,
    /// When heartbeats were last sent.
    pub heartbeat_sent_at: clock_time::ClockTime,
    /// The coordinator role.
    pub coordinator: CoordinatorState,
    /// The current allocation of shares.
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
    /// Links to serving hosts.
    pub leases: lease_book::LeaseBook,
    /// Connections to endpoints.
    pub connections: SlotMap<arena_keys::ConnectionKey, connection_state::ConnectionState>,
    /// Connections that this host serves to the fleet, and their leases.
    pub pool: pool_state::PoolState,
    /// Sessions of callers.
    pub sessions: SlotMap<arena_keys::CallerKey, session_state::SessionState>,
    /// Sessions by the listener's caller id.
    pub callers: HashMap<core_message::CallerId, arena_keys::CallerKey>,
    /// Requests without a response yet.
    pub requests: SlotMap<arena_keys::StatementKey, pending_request::PendingRequest>,
    /// When shutdown was requested.
    pub stopping: Option<clock_time::ClockTime>,
    /// Whether the stop action has been emitted.
    pub stopped: bool,
    /// The readiness that was last reported.
    pub ready: bool,
    /// When the store or most witnesses were last reachable.
    pub last_reachable: clock_time::ClockTime,
    /// When counters were last logged.
    pub counts_logged_at: clock_time::ClockTime,
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
            lease_waits: latency_histograms::LatencyHistograms::default(),
            hold_times: latency_histograms::LatencyHistograms::default(),
            failover_durations: primary_wait::FailoverDurations::default(),
            config: None,
            evacuations: BTreeMap::new(),
            store: store_session::StoreSession::default(),
            history: change_history::ChangeHistory::default(),
            relay: relay_state::RelayState::default(),
            store_calls: HashMap::new(),
            duty_calls: HashMap::new(),
            duty_fence: duty_fence::DutyFence::default(),
            usage: usage_state::UsageState::default(),
            roster: BTreeMap::new(),
            departures: BTreeMap::new(),
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
            leases: lease_book::LeaseBook::default(),
            connections: SlotMap::with_key(),
            pool: pool_state::PoolState::default(),
            sessions: SlotMap::with_key(),
            callers: HashMap::new(),
            requests: SlotMap::with_key(),
            stopping: None,
            stopped: false,
            ready: false,
            last_reachable: now,
            counts_logged_at: now,
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
        let call = self.next_call_id();
        self.counts.store_calls += 1;
        let sent = self.now;
        let era = self.store.era;
        self.store_calls.insert(call, store_session::StoreCall { purpose, sent, era });
        self.actions.push(proxy_message::ProxyAction::CallStore { call, request });
    }

    /// Sends a datagram to a peer.
    pub fn send_datagram(&mut self, address: String, message: peer_datagram::PeerDatagram) {
        self.counts.datagrams += 1;
        self.actions.push(proxy_message::ProxyAction::SendDatagram { address, message });
    }

    /// Returns a new id for a request that awaits a reply.
    pub fn next_call_id(&mut self) -> core_message::CallId {
        let call = self.next_call;
        self.next_call += 1;
        call
    }

    /// Returns `duration` lengthened by up to half of itself at random, so that hosts do not act in
    /// step.
    pub fn with_jitter(&mut self, duration: Duration) -> Duration {
        let part: f64 = self.rng.random();
        duration.mul_f64(1.0 + part / 2.0)
    }

    /// Returns a random number from 0 up to 1.
    pub fn random_fraction(&mut self) -> f64 {
        self.rng.random()
    }

    /// Returns whether this host may use the primary in the group's record as it knows it: its
    /// membership lease is valid and the record was written in the store's present era, or most
    /// witnesses have lately acknowledged that they know of no newer epoch. A host that has been
    /// isolated from the store for long needs the acknowledgement of every witness.
    ///
    /// A failover waits until no host can meet either condition for the old primary. A record of an
    /// earlier era may be older than one that the store has lost.
    pub fn may_use_primary(&self, group: arena_keys::GroupKey) -> bool {
        let view = &self.groups[group];
        if view.peer_epoch > view.epoch() {
            return false;
        }
        let confirmed = view.confirmed_in(self.store.era());
        // A process that started after a restore cannot know what the store has lost.
        let known = confirmed || self.store.first_era < self.store.era();
        (confirmed && self.store.membership_valid(self.now))
            || (known && self.has_quorum_lease(view))
    }

    /// Returns whether the store or most witnesses replied within the last `duration`. Without
    /// either, this host soon loses both its membership lease and its quorum lease.
    pub fn store_or_quorum_reachable(&self, duration: Duration) -> bool {
        let since = self.now.before(duration);
        let reachable = |host: &String| {
            let last_heartbeat = self.members.get(host).and_then(|member| member.last_heartbeat);
            *host == self.identity.host || last_heartbeat.is_some_and(|arrived| arrived > since)
        };
        self.store.last_reply_at > since
            || witness_selection::is_majority(&self.witnesses.hosts, reachable)
    }

    fn has_quorum_lease(&self, view: &group_view::GroupView) -> bool {
        let since = self.now.before(self.tuning.quorum_lease);
        let acknowledges = |host: &String| {
            let Some(member) = self.members.get(host) else { return false };
            let known = member
                .observations
                .get(&view.name)
                .map_or(0, |observation| observation.known_epoch);
            let recent = member.acknowledged_sent_at.is_some_and(|sent_at| sent_at > since);
            let same = member.witnesses == self.witnesses.hash;
            *host == self.identity.host || (recent && same && known <= view.epoch())
        };
        let hosts = &self.witnesses.hosts;
        let isolated = self.now >= self.store.registered_until.after(self.tuning.isolation_limit);
        // A failover no longer waits for a host that has been isolated for so long, once a single
        // witness knows of it.
        let acknowledged = match isolated {
            true => hosts.iter().all(acknowledges),
            false => witness_selection::is_majority(hosts, acknowledges),
        };
        hosts.len() > 1 && self.store.knows_own_registration() && acknowledged
    }

    /// Returns whether this host is a witness.
    pub fn is_witness(&self) -> bool {
        self.witnesses.hosts.contains(&self.identity.host)
    }

    /// Returns whether every host on the roster is a witness, as in a small fleet.
    pub fn all_witnesses(&self) -> bool {
        self.witnesses.hosts.len() == self.roster.len()
    }

    /// Returns the interval between renewals of the membership lease.
    pub fn host_renewal(&self) -> Duration {
        match self.all_witnesses() {
            true => self.tuning.host_renewal,
            false => self.tuning.host_renewal_large,
        }
    }

    /// Returns whether the membership lease is about to expire, so that this host needs a quorum
    /// lease.
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

    /// Returns the fencing token if this host is certain to be the coordinator.
    pub fn fencing_token(&self) -> Option<u64> {
        let (record, revision) = self.coordinator.record.as_ref()?;
        let own = record.host == self.identity.host
            && record.incarnation == self.identity.incarnation
            && self.now < self.coordinator.until;
        own.then_some(revision.as_u64())
    }

    /// Returns the names on the roster.
    pub fn roster_hosts(&self) -> Vec<String> {
        self.roster.keys().cloned().collect()
    }

    /// Returns the hosts that have a member record.
    pub fn running_members(&self) -> impl Iterator<Item = &member_view::MemberView> {
        self.members.values().filter(|member| member.removed_at.is_none())
    }

    /// Returns whether a host has a member record.
    pub fn is_running(&self, host: &str) -> bool {
        self.members.get(host).is_some_and(|member| member.removed_at.is_none())
    }

    /// Returns whether a host started at about the same time as this one.
    pub fn is_start_mate(&self, member: &member_view::MemberView) -> bool {
        let apart = member.record.incarnation.abs_diff(self.identity.incarnation);
        apart < STARTED_TOGETHER.as_micros() as u64
    }

    /// Returns whether most hosts started at about the same time as this one, as after an outage of
    /// the whole fleet.
    pub fn started_together(&self) -> bool {
        let near = self.members.values().filter(|member| self.is_start_mate(member));
        near.count() * 2 > self.roster.len()
    }

    /// Writes a log line unless the limit on such lines is exceeded.
    pub fn log_limited(&mut self, line: impl FnOnce() -> String) {
        self.log_limiter.write(self.now, line);
    }
}
