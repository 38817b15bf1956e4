//! The decision core: events in, actions out, without I/O, clocks or threads.
//!
//! A driver hands in each event with the time, carries out the actions, and wakes the core at the
//! time that it asks for. Each call that an action makes is answered by exactly one event, except
//! calls on a connection that the core closes itself.

use anyhow::Result;

use crate::core::call_purpose::CallPurpose;
use crate::core::caller_flow::{self, CallerLogin};
use crate::core::clock_time::ClockTime;
use crate::core::config_flow;
use crate::core::confirm_flow;
use crate::core::connection_flow;
use crate::core::core_context::{CoreCharts, CoreContext, HostIdentity};
use crate::core::core_message::{CallId, CoreAction, CoreEvent};
use crate::core::core_tuning::CoreTuning;
use crate::core::drain_flow;
use crate::core::endpoint_message::EndpointOutcome;
use crate::core::failover_flow;
use crate::core::leaving_flow;
use crate::core::peer_flow;
use crate::core::peer_message::PeerReply;
use crate::core::platform_flow;
use crate::core::platform_message::PlatformReply;
use crate::core::share_flow;
use crate::core::statement_flow;
use crate::core::statement_intake;
use crate::core::status_report::{GroupStatus, StatusReport};
use crate::core::timer_queue::TimerKind;

/// The decision core of one host.
#[derive(Debug)]
pub struct DecisionCore {
    context: CoreContext,
}

impl DecisionCore {
    /// Builds the core of a host that knows nothing yet.
    ///
    /// # Errors
    ///
    /// Fails when a state chart is malformed.
    pub fn new(
        identity: HostIdentity,
        tuning: CoreTuning,
        seed: u64,
        now: ClockTime,
    ) -> Result<Self> {
        let charts = CoreCharts::load()?;
        let mut context = CoreContext::new(identity, tuning, charts, seed, now);
        context.timers.push(now, TimerKind::Platform);
        context.timers.push(now, TimerKind::Pulse);
        context.timers.push(now, TimerKind::HostList);
        Ok(Self { context })
    }

    /// Takes up one event at `now` and returns what is to be done.
    pub fn handle(&mut self, now: ClockTime, event: CoreEvent) -> Vec<CoreAction> {
        let ctx = &mut self.context;
        ctx.now = ctx.now.max(now);
        // Timers that fell due while the process was paused come first, so that an event is never
        // judged by state that had lapsed before it.
        Self::run_timers(ctx);
        Self::dispatch(ctx, event);
        Self::run_timers(ctx);
        std::mem::take(&mut ctx.actions)
    }

    /// Returns the time at which the core wants to be woken.
    pub fn next_wake(&self) -> Option<ClockTime> {
        self.context.timers.first_time()
    }

    /// Returns the state, for tests and reports.
    pub fn context(&self) -> &CoreContext {
        &self.context
    }

    fn dispatch(ctx: &mut CoreContext, event: CoreEvent) {
        match event {
            CoreEvent::CallerOpened { caller, account, key, service, settings } => {
                let login = CallerLogin { caller, account, key, service, settings };
                caller_flow::open(ctx, login);
            }
            CoreEvent::CallerClosed { caller } => caller_flow::close(ctx, caller),
            CoreEvent::StatementArrived { caller, text } => {
                statement_intake::arrive(ctx, caller, text);
            }
            CoreEvent::ConnectionOpened { connection, opened } => {
                connection_flow::on_opened(ctx, connection, opened);
            }
            CoreEvent::ConnectionEnded { connection } => {
                connection_flow::on_ended(ctx, connection);
            }
            CoreEvent::EndpointAnswered { call, outcome } => Self::endpoint(ctx, call, outcome),
            CoreEvent::PeerAsked { ask, request } => peer_flow::on_asked(ctx, ask, request),
            CoreEvent::PeerAnswered { call, reply } => Self::peer(ctx, call, reply),
            CoreEvent::PlatformAnswered { call, reply } => Self::platform(ctx, call, reply),
            CoreEvent::StatusAsked { ask } => {
                let report = Box::new(Self::report(ctx));
                ctx.actions.push(CoreAction::AnswerStatus { ask, report });
            }
            CoreEvent::DrainAsked => drain_flow::start(ctx),
            CoreEvent::Woken => {}
        }
    }

    fn endpoint(ctx: &mut CoreContext, call: CallId, outcome: EndpointOutcome) {
        match ctx.calls.remove(&call) {
            Some(CallPurpose::Statement { statement, .. }) => {
                statement_flow::on_outcome(ctx, statement, outcome);
            }
            Some(CallPurpose::IdleTest { connection }) => {
                connection_flow::on_test_outcome(ctx, connection, outcome);
            }
            Some(CallPurpose::Status { endpoint, connection, sent }) => {
                connection_flow::on_status_outcome(ctx, endpoint, connection, sent, outcome);
            }
            // The connection was closed meanwhile: a late answer is dropped.
            _ => {}
        }
    }

    fn peer(ctx: &mut CoreContext, call: CallId, reply: Option<PeerReply>) {
        let purpose = ctx.calls.remove(&call);
        if reply.is_none() {
            Self::note_unanswered(ctx, purpose.as_ref());
        }
        match (purpose, reply) {
            (Some(CallPurpose::Pulse { address, sent }), Some(PeerReply::Pulse(pulse))) => {
                peer_flow::on_pulse(ctx, &address, sent, pulse);
            }
            (Some(CallPurpose::Pulse { .. }), Some(PeerReply::Superseded { incarnation })) => {
                peer_flow::on_superseded(ctx, incarnation);
            }
            (Some(CallPurpose::Share { account, asked, .. }), reply) => {
                let (grant, holders) = match reply {
                    Some(PeerReply::Share { grant, holders }) => (grant, holders),
                    _ => (None, Vec::new()),
                };
                share_flow::on_answer(ctx, account, asked, grant, holders);
            }
            (Some(CallPurpose::PrimaryOpinion { group, term, .. }), reply) => {
                let serving = matches!(reply, Some(PeerReply::Primary { serving: true }));
                failover_flow::on_opinion(ctx, group, term, serving);
            }
            (Some(CallPurpose::Part { hash }), Some(PeerReply::Part { bytes })) => {
                config_flow::on_part(ctx, &hash, bytes);
            }
            _ => {}
        }
    }

    fn note_unanswered(ctx: &mut CoreContext, purpose: Option<&CallPurpose>) {
        if let Some(
            CallPurpose::Pulse { address, .. }
            | CallPurpose::Share { address, .. }
            | CallPurpose::PrimaryOpinion { address, .. },
        ) = purpose
        {
            ctx.peers.note_failed(address, ctx.now);
        }
    }

    fn platform(ctx: &mut CoreContext, call: CallId, reply: Option<PlatformReply>) {
        match ctx.calls.remove(&call) {
            Some(CallPurpose::Watch { sent, after }) => {
                platform_flow::on_watch(ctx, sent, after, reply);
            }
            Some(CallPurpose::HostList) => leaving_flow::on_list(ctx, reply),
            Some(CallPurpose::Part { hash }) => config_flow::on_part_reply(ctx, &hash, reply),
            Some(CallPurpose::SwapRecord { group, record }) => {
                failover_flow::on_swap(ctx, group, record, reply);
            }
            Some(CallPurpose::ReadRecord { group }) => {
                failover_flow::on_reread(ctx, group, reply);
            }
            _ => {}
        }
    }

    fn run_timers(ctx: &mut CoreContext) {
        while let Some(kind) = ctx.timers.pop_due(ctx.now) {
            match kind {
                TimerKind::Statement(statement) => statement_flow::on_timer(ctx, statement),
                TimerKind::Connection(connection) => connection_flow::on_timer(ctx, connection),
                TimerKind::Group(group) => failover_flow::on_timer(ctx, group),
                TimerKind::Confirm(group) => confirm_flow::on_timer(ctx, group),
                TimerKind::Pulse => peer_flow::on_timer(ctx),
                TimerKind::HostList => leaving_flow::on_timer(ctx),
                TimerKind::Platform => platform_flow::on_timer(ctx),
                TimerKind::Shares => share_flow::on_timer(ctx),
                TimerKind::Parts => config_flow::fetch_missing(ctx),
                TimerKind::Drain => drain_flow::on_timer(ctx),
            }
        }
    }

    fn report(ctx: &CoreContext) -> StatusReport {
        let groups = ctx.groups.values().filter(|group| !group.members.is_empty());
        let groups = groups.map(|group| {
            let status = GroupStatus {
                term: group.term(),
                primary: group.serving().map(|record| record.primary.clone()),
                failover: group.cursor.state().to_owned(),
            };
            (group.name.clone(), status)
        });
        let accounts = ctx.accounts.values();
        let accounts = accounts.map(|account| (account.name.clone(), account.counts.clone()));
        StatusReport {
            host: ctx.identity.name.clone(),
            version: ctx.config.version(),
            fresh: ctx.config_fresh(0),
            leaving: !ctx.takes_work(),
            callers: ctx.callers.len() as u64,
            statements: ctx.statements.len() as u64,
            connections: ctx.connections.len() as u64,
            groups: groups.collect(),
            accounts: accounts.collect(),
            control: ctx.control.clone(),
        }
    }
}
