//! State of the decision core, passed by reference to all of its functions.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::SlotMap;

use crate::core::account_state;
use crate::core::arena_keys;
use crate::core::call_purpose;
use crate::core::caller_state;
use crate::core::clock_time;
use crate::core::config_state;
use crate::core::connection_state;
use crate::core::core_message;
use crate::core::core_tuning;
use crate::core::endpoint_state;
use crate::core::group_state;
use crate::core::leaving_record;
use crate::core::live_records;
use crate::core::peer_table;
use crate::core::platform_message;
use crate::core::retry_budget;
use crate::core::state_chart;
use crate::core::statement_state;
use crate::core::status_report;
use crate::core::timer_queue;

const FAILOVER_CHART: &str = include_str!("../../charts/group_failover.yaml");
const CONNECTION_CHART: &str = include_str!("../../charts/endpoint_connection.yaml");
const FAILOVER_EVENTS: [&str; 12] = [
    "primary_missing",
    "record_missing",
    "primary_seen",
    "peers_confirm_primary",
    "claim_sent",
    "claim_won",
    "claim_lost",
    "timed_out",
    "majority_fenced",
    "decision_won",
    "record_changed",
    "timed_out",
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

/// Identity of this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostIdentity {
    /// Host name in the configuration.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Incarnation of the process; greater for each later process with the same host name.
    pub incarnation: u64,
    /// Addresses of the peers to contact while there is no configuration.
    pub seeds: Vec<String>,
}

/// State charts that the core interprets.
#[derive(Debug, Clone)]
pub struct CoreCharts {
    /// Chart of a failover.
    pub failover: Arc<state_chart::StateChart>,
    /// Chart of a connection to an endpoint.
    pub connection: Arc<state_chart::StateChart>,
}

impl CoreCharts {
    /// Parses the charts and checks that they define the events that the code fires.
    ///
    /// # Errors
    ///
    /// Names the chart and what is wrong with it.
    pub fn load() -> Result<Self> {
        let failover = state_chart::StateChart::parse(FAILOVER_CHART)?;
        failover.require_events(&FAILOVER_EVENTS)?;
        let connection = state_chart::StateChart::parse(CONNECTION_CHART)?;
        connection.require_events(&CONNECTION_EVENTS)?;
        Ok(Self { failover: Arc::new(failover), connection: Arc::new(connection) })
    }
}

/// State of the decision core.
#[derive(Debug)]
pub struct CoreContext {
    /// Identity of this host.
    pub identity: HostIdentity,
    /// Timeouts and limits.
    pub tuning: core_tuning::CoreTuning,
    /// State charts.
    pub charts: CoreCharts,
    /// Time of the event being handled.
    pub now: clock_time::ClockTime,
    /// Source of all randomness.
    pub rng: SmallRng,
    /// Actions collected while the current event is handled.
    pub actions: Vec<core_message::CoreAction>,
    /// Pending timers.
    pub timers: timer_queue::TimerQueue,
    /// Calls that have not been answered, by identifier.
    pub calls: HashMap<core_message::CallId, call_purpose::CallPurpose>,
    /// Live records of the platform.
    pub live_records: live_records::LiveRecords,
    /// The active configuration and the one being fetched.
    pub config: config_state::ConfigState,
    /// Peers, and the confirmations received from them.
    pub peers: peer_table::PeerTable,
    /// Client accounts.
    pub accounts: SlotMap<arena_keys::AccountKey, account_state::AccountState>,
    /// Client accounts by name.
    pub account_names: HashMap<String, arena_keys::AccountKey>,
    /// Accounts with recent statements.
    pub active_accounts: BTreeSet<arena_keys::AccountKey>,
    /// Whether the timer of the active accounts' shares is set.
    pub share_timer_set: bool,
    /// Groups.
    pub groups: SlotMap<arena_keys::GroupKey, group_state::GroupState>,
    /// Groups by name.
    pub group_names: HashMap<String, arena_keys::GroupKey>,
    /// Endpoints.
    pub endpoints: SlotMap<arena_keys::EndpointKey, endpoint_state::EndpointState>,
    /// Endpoints by name.
    pub endpoint_names: HashMap<String, arena_keys::EndpointKey>,
    /// Connections to endpoints.
    pub connections: SlotMap<arena_keys::ConnectionKey, connection_state::ConnectionState>,
    /// Callers.
    pub callers: SlotMap<arena_keys::CallerKey, caller_state::CallerState>,
    /// Callers by the listener's identifier.
    pub caller_ids: HashMap<core_message::CallerId, arena_keys::CallerKey>,
    /// Statements without a response.
    pub statements: SlotMap<arena_keys::StatementKey, statement_state::StatementState>,
    /// When the process was asked to shut down.
    pub drain_since: Option<clock_time::ClockTime>,
    /// Whether the core has reported that the shutdown is complete.
    pub stopped: bool,
    /// Whether a later process runs under this host's name.
    pub superseded: bool,
    /// Hosts and endpoints that are leaving according to the platform.
    pub leaving: leaving_record::LeavingRecord,
    /// When the list of leaving hosts last changed here.
    pub leaving_since: clock_time::ClockTime,
    /// When this process started.
    pub started: clock_time::ClockTime,
    /// Budget that limits retries.
    pub retries: retry_budget::RetryBudget,
    /// Whether a watch on the platform is outstanding.
    pub watching: bool,
    /// Traffic of the control plane.
    pub control: status_report::ControlCounts,
    next_call: core_message::CallId,
}

impl CoreContext {
    /// Builds the state of a host that has no configuration yet.
    pub fn new(
        identity: HostIdentity,
        tuning: core_tuning::CoreTuning,
        charts: CoreCharts,
        seed: u64,
        now: clock_time::ClockTime,
    ) -> Self {
        Self {
            identity,
            tuning,
            charts,
            now,
            rng: SmallRng::seed_from_u64(seed),
            actions: Vec::new(),
            timers: timer_queue::TimerQueue::default(),
            calls: HashMap::new(),
            live_records: live_records::LiveRecords::default(),
            config: config_state::ConfigState::default(),
            peers: peer_table::PeerTable::default(),
            accounts: SlotMap::with_key(),
            account_names: HashMap::new(),
            active_accounts: BTreeSet::new(),
            share_timer_set: false,
            groups: SlotMap::with_key(),
            group_names: HashMap::new(),
            endpoints: SlotMap::with_key(),
            endpoint_names: HashMap::new(),
            connections: SlotMap::with_key(),
            callers: SlotMap::with_key(),
            caller_ids: HashMap::new(),
            statements: SlotMap::with_key(),
            drain_since: None,
            stopped: false,
            superseded: false,
            leaving: leaving_record::LeavingRecord::default(),
            leaving_since: now,
            started: now,
            retries: retry_budget::RetryBudget::default(),
            watching: false,
            control: status_report::ControlCounts::default(),
            next_call: 1,
        }
    }

    /// Registers a call to be answered, and returns its identifier.
    pub fn register_call(&mut self, purpose: call_purpose::CallPurpose) -> core_message::CallId {
        let call = self.next_call;
        self.next_call += 1;
        self.calls.insert(call, purpose);
        call
    }

    /// Sends a request to the platform.
    pub fn call_platform(
        &mut self,
        purpose: call_purpose::CallPurpose,
        request: platform_message::PlatformRequest,
    ) {
        self.control.platform_calls += 1;
        let call = self.register_call(purpose);
        self.actions.push(core_message::CoreAction::CallPlatform { call, request });
    }

    /// Sets a timer that fires after `span`.
    pub fn set_timer(&mut self, span: Duration, kind: timer_queue::TimerKind) {
        self.timers.push(self.now.after(span), kind);
    }

    /// Returns a random number in the range [0, 1).
    pub fn jitter(&mut self) -> f64 {
        self.rng.random::<f64>()
    }

    /// Returns `span` with random jitter of up to 25 % in either direction.
    pub fn with_jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(0.75 + self.jitter() / 2.0)
    }

    /// Returns whether this host accepts new work: it is configured, in service, and not shutting
    /// down.
    pub fn accepts_work(&self) -> bool {
        let wanted = self.config.active.host_in_service(&self.identity.name);
        let leaves = self.leaving.names.contains(&self.identity.name);
        wanted && !leaves && self.drain_since.is_none() && !self.superseded
    }

    /// Returns whether this host may change group records.
    pub fn may_change_records(&self) -> bool {
        self.config.active.hosts.contains_key(&self.identity.name) && !self.superseded
    }

    /// Returns whether the configuration was confirmed as current within `fresh_for_ms` plus
    /// `grace_ms`, by the platform or by all other data centres.
    pub fn config_fresh(&self, grace_ms: u64) -> bool {
        let limit =
            core_tuning::CoreTuning::millis(self.tuning.fresh_for_ms.saturating_add(grace_ms));
        let since = self.now.before(limit);
        if self.peers.platform_confirmed_at.is_some_and(|at| at >= since) {
            return true;
        }
        self.config.pending.is_none() && self.all_centres_reachable(since)
    }

    /// Returns whether every other data centre in service was reachable at `since` or later.
    ///
    /// Only in this case does an unreachable platform mean that it is down everywhere: a data
    /// centre that still reached it would have passed on a newer configuration.
    pub fn all_centres_reachable(&self, since: clock_time::ClockTime) -> bool {
        let own = &self.identity.data_centre;
        let in_service = self.config.active.centres.values().filter(|centre| centre.in_service);
        let mut others = in_service.filter(|centre| centre.name != *own);
        let reachable = |at: &clock_time::ClockTime| *at >= since;
        others.all(|centre| self.peers.centres.get(&centre.name).is_some_and(reachable))
    }

    /// Returns whether more than half of the data centres were reachable at `since` or later, this
    /// host's own included.
    pub fn centre_majority_reachable(&self, since: clock_time::ClockTime) -> bool {
        let centres = &self.config.active.centres;
        let others = self.peers.centres_since(
            since,
            centres.keys().filter(|centre| **centre != self.identity.data_centre),
        );
        centres.contains_key(&self.identity.data_centre) && (others + 1) * 2 > centres.len()
    }
}
