//! All state of the decision core, handed by reference to its functions.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::SlotMap;

use crate::core::account_state::AccountState;
use crate::core::arena_keys::{
    AccountKey, CallerKey, ConnectionKey, EndpointKey, GroupKey, StatementKey,
};
use crate::core::call_purpose::CallPurpose;
use crate::core::caller_state::CallerState;
use crate::core::clock_time::ClockTime;
use crate::core::config_state::ConfigState;
use crate::core::connection_state::ConnectionState;
use crate::core::core_message::{CallId, CallerId, CoreAction};
use crate::core::core_tuning::CoreTuning;
use crate::core::endpoint_state::EndpointState;
use crate::core::group_state::GroupState;
use crate::core::leaving_record::LeavingRecord;
use crate::core::live_feed::LiveFeed;
use crate::core::peer_table::PeerTable;
use crate::core::platform_message::PlatformRequest;
use crate::core::retry_budget::RetryBudget;
use crate::core::state_chart::StateChart;
use crate::core::statement_state::StatementState;
use crate::core::status_report::ControlCounts;
use crate::core::timer_queue::{TimerKind, TimerQueue};

const FAILOVER_CHART: &str = include_str!("../../charts/group_failover.yaml");
const CONNECTION_CHART: &str = include_str!("../../charts/endpoint_connection.yaml");
const FAILOVER_EVENTS: [&str; 12] = [
    "primary_missing",
    "record_missing",
    "primary_seen",
    "peers_see_primary",
    "claim_sent",
    "claim_won",
    "claim_lost",
    "timed_out",
    "majority_fenced",
    "decision_won",
    "record_moved",
    "timed_out",
];
const CONNECTION_EVENTS: [&str; 7] =
    ["opened", "failed", "silent", "discarded", "call_sent", "call_answered", "transaction_begun"];

/// Who this host is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostIdentity {
    /// Name, as the configuration knows it.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Greater for each process that runs under this name.
    pub incarnation: u64,
    /// Addresses of peers to ask while there is no configuration.
    pub seeds: Vec<String>,
}

/// The state charts that the core interprets.
#[derive(Debug, Clone)]
pub struct CoreCharts {
    /// Changes of primary.
    pub failover: Arc<StateChart>,
    /// Connections to endpoints.
    pub connection: Arc<StateChart>,
}

impl CoreCharts {
    /// Loads and checks the charts.
    ///
    /// # Errors
    ///
    /// Names the chart and what is wrong with it.
    pub fn load() -> Result<Self> {
        let failover = StateChart::parse(FAILOVER_CHART)?;
        failover.require_events(&FAILOVER_EVENTS)?;
        let connection = StateChart::parse(CONNECTION_CHART)?;
        connection.require_events(&CONNECTION_EVENTS)?;
        Ok(Self { failover: Arc::new(failover), connection: Arc::new(connection) })
    }
}

/// All state of the decision core.
#[derive(Debug)]
pub struct CoreContext {
    /// Who this host is.
    pub identity: HostIdentity,
    /// Spans and bounds.
    pub tuning: CoreTuning,
    /// State charts.
    pub charts: CoreCharts,
    /// The time of the event being handled.
    pub now: ClockTime,
    /// Source of all randomness.
    pub rng: SmallRng,
    /// Actions of the event being handled.
    pub actions: Vec<CoreAction>,
    /// Timers.
    pub timers: TimerQueue,
    /// Calls that await answers.
    pub calls: HashMap<CallId, CallPurpose>,
    /// Live records of the platform.
    pub feed: LiveFeed,
    /// The configuration.
    pub config: ConfigState,
    /// Evidence of peers.
    pub peers: PeerTable,
    /// Client accounts.
    pub accounts: SlotMap<AccountKey, AccountState>,
    /// Client accounts by name.
    pub account_names: HashMap<String, AccountKey>,
    /// Accounts with statements lately.
    pub active_accounts: BTreeSet<AccountKey>,
    /// Whether the timer of the shares is set.
    pub shares_armed: bool,
    /// Groups.
    pub groups: SlotMap<GroupKey, GroupState>,
    /// Groups by name.
    pub group_names: HashMap<String, GroupKey>,
    /// Endpoints.
    pub endpoints: SlotMap<EndpointKey, EndpointState>,
    /// Endpoints by name.
    pub endpoint_names: HashMap<String, EndpointKey>,
    /// Connections to endpoints.
    pub connections: SlotMap<ConnectionKey, ConnectionState>,
    /// Callers.
    pub callers: SlotMap<CallerKey, CallerState>,
    /// Callers by the door's number.
    pub caller_ids: HashMap<CallerId, CallerKey>,
    /// Statements not answered yet.
    pub statements: SlotMap<StatementKey, StatementState>,
    /// Whether the process was asked to stop, and when.
    pub drain_since: Option<ClockTime>,
    /// Whether the end of the shutdown was announced.
    pub stopped: bool,
    /// Whether a later process runs under this host's name.
    pub superseded: bool,
    /// Hosts and endpoints that the platform says are leaving.
    pub leaving: LeavingRecord,
    /// When that was last learnt.
    pub leaving_since: ClockTime,
    /// What retries may still cost.
    pub retries: RetryBudget,
    /// Whether a watch on the platform is open.
    pub watching: bool,
    /// Cost of control.
    pub control: ControlCounts,
    next_call: CallId,
}

impl CoreContext {
    /// Builds the state of a host that knows nothing yet.
    pub fn new(
        identity: HostIdentity,
        tuning: CoreTuning,
        charts: CoreCharts,
        seed: u64,
        now: ClockTime,
    ) -> Self {
        Self {
            identity,
            tuning,
            charts,
            now,
            rng: SmallRng::seed_from_u64(seed),
            actions: Vec::new(),
            timers: TimerQueue::default(),
            calls: HashMap::new(),
            feed: LiveFeed::default(),
            config: ConfigState::default(),
            peers: PeerTable::default(),
            accounts: SlotMap::with_key(),
            account_names: HashMap::new(),
            active_accounts: BTreeSet::new(),
            shares_armed: false,
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
            leaving: LeavingRecord::default(),
            leaving_since: now,
            retries: RetryBudget::default(),
            watching: false,
            control: ControlCounts::default(),
            next_call: 1,
        }
    }

    /// Registers a call that an answer is awaited for.
    pub fn open_call(&mut self, purpose: CallPurpose) -> CallId {
        let call = self.next_call;
        self.next_call += 1;
        self.calls.insert(call, purpose);
        call
    }

    /// Calls the platform.
    pub fn call_platform(&mut self, purpose: CallPurpose, request: PlatformRequest) {
        self.control.platform_calls += 1;
        let call = self.open_call(purpose);
        self.actions.push(CoreAction::CallPlatform { call, request });
    }

    /// Sets a timer.
    pub fn wake_after(&mut self, span: Duration, kind: TimerKind) {
        self.timers.push(self.now.after(span), kind);
    }

    /// Returns a random number from 0 up to 1.
    pub fn jitter(&mut self) -> f64 {
        self.rng.random::<f64>()
    }

    /// Returns `span` with up to a quarter taken off or added at random.
    pub fn spread(&mut self, span: Duration) -> Duration {
        span.mul_f64(0.75 + self.jitter() / 2.0)
    }

    /// Whether this host takes new work: it is configured, in service, and not stopping.
    pub fn takes_work(&self) -> bool {
        let wanted = self.config.world.host_in_service(&self.identity.name);
        let leaves = self.leaving.names.contains(&self.identity.name);
        wanted && !leaves && self.drain_since.is_none() && !self.superseded
    }

    /// Whether this host may change groups' records.
    pub fn takes_part(&self) -> bool {
        self.config.world.hosts.contains_key(&self.identity.name) && !self.superseded
    }

    /// Whether the evidence that the configuration is current is younger than the limit plus
    /// `grace_ms`.
    pub fn config_fresh(&self, grace_ms: u64) -> bool {
        let limit = CoreTuning::millis(self.tuning.fresh_for_ms.saturating_add(grace_ms));
        let since = self.now.before(limit);
        if self.peers.platform.is_some_and(|at| at >= since) {
            return true;
        }
        self.config.pending.is_none() && self.all_heard(since)
    }

    /// Whether every other data centre in service was heard at `since` or later.
    ///
    /// Only then does silence of the platform mean that it is out: a data centre that still
    /// reached it would have told of a newer configuration.
    pub fn all_heard(&self, since: ClockTime) -> bool {
        let own = &self.identity.data_centre;
        let in_service = self.config.world.centres.values().filter(|centre| centre.in_service);
        let mut others = in_service.filter(|centre| centre.name != *own);
        let heard = |at: &ClockTime| *at >= since;
        others.all(|centre| self.peers.centres.get(&centre.name).is_some_and(heard))
    }

    /// Whether more than half of the data centres were heard at `since` or later.
    pub fn majority_heard(&self, since: ClockTime) -> bool {
        let centres = &self.config.world.centres;
        let others = self.peers.centres_since(
            since,
            centres.keys().filter(|centre| **centre != self.identity.data_centre),
        );
        centres.contains_key(&self.identity.data_centre) && (others + 1) * 2 > centres.len()
    }
}
