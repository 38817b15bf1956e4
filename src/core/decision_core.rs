//! Entry point of the decision core: takes events and returns actions, without I/O, clocks or
//! threads.
//!
//! A driver passes in each event with the current time, carries out the returned actions, and calls
//! the core again at the time of its next timer. Every call made by an action is answered by
//! exactly one event, except for calls on a connection that the core itself closes.

use anyhow::Result;

use crate::core::call_purpose;
use crate::core::caller_flow;
use crate::core::clock_time;
use crate::core::config_flow;
use crate::core::confirm_flow;
use crate::core::connection_flow;
use crate::core::core_context;
use crate::core::core_message;
use crate::core::core_tuning;
use crate::core::drain_flow;
use crate::core::endpoint_message;
use crate::core::failover_flow;
use crate::core::leaving_flow;
use crate::core::peer_flow;
use crate::core::peer_message;
use crate::core::platform_flow;
use crate::core::platform_message;
use crate::core::rate_limiter;
use crate::core::statement_admission;
use crate::core::statement_flow;
use crate::core::status_report;
use crate::core::timer_queue;

/// Decision core of one host.
#[derive(Debug)]
pub struct DecisionCore {
    context: core_context::CoreContext,
}

impl DecisionCore {
    /// Builds the core of a host that has no configuration yet.
    ///
    /// # Errors
    ///
    /// Fails if a state chart is malformed.
    pub fn new(
        identity: core_context::HostIdentity,
        tuning: core_tuning::CoreTuning,
        seed: u64,
        now: clock_time::ClockTime,
    ) -> Result<Self> {
        let charts = core_context::CoreCharts::load()?;
        let mut context = core_context::CoreContext::new(identity, tuning, charts, seed, now);
        context.timers.push(now, timer_queue::TimerKind::Platform);
        context.timers.push(now, timer_queue::TimerKind::Heartbeat);
        context.timers.push(now, timer_queue::TimerKind::HostList);
        Ok(Self { context })
    }

    /// Handles one event at time `now` and returns the actions to carry out.
    pub fn handle(
        &mut self,
        now: clock_time::ClockTime,
        event: core_message::CoreEvent,
    ) -> Vec<core_message::CoreAction> {
        let ctx = &mut self.context;
        ctx.now = ctx.now.max(now);
        // Timers that expired while the process was paused run first, so that the event is not
        // handled with state that had already expired.
        Self::run_timers(ctx);
        Self::dispatch(ctx, event);
        Self::run_timers(ctx);
        std::mem::take(&mut ctx.actions)
    }

    /// Returns the time of the next timer.
    pub fn next_timer(&self) -> Option<clock_time::ClockTime> {
        self.context.timers.first_time()
    }

    /// Returns the state, for tests and reports.
    pub fn context(&self) -> &core_context::CoreContext {
        &self.context
    }

    fn dispatch(ctx: &mut core_context::CoreContext, event: core_message::CoreEvent) {
        match event {
            core_message::CoreEvent::CallerOpened { caller, account, key, service, settings } => {
                let login = caller_flow::CallerLogin { caller, account, key, service, settings };
                caller_flow::on_opened(ctx, login);
            }
            core_message::CoreEvent::CallerClosed { caller } => caller_flow::remove(ctx, caller),
            core_message::CoreEvent::StatementArrived { caller, text } => {
                statement_admission::on_arrived(ctx, caller, text);
            }
            core_message::CoreEvent::ConnectionOpened { connection, opened } => {
                connection_flow::on_opened(ctx, connection, opened);
            }
            core_message::CoreEvent::ConnectionClosed { connection, unmatched } => {
                connection_flow::on_closed(ctx, connection, unmatched);
            }
            core_message::CoreEvent::EndpointResponded { call, outcome, reusable } => {
                Self::on_endpoint_response(ctx, call, outcome, reusable)
            }
            core_message::CoreEvent::PeerRequestReceived { request_id, request } => {
                peer_flow::on_request(ctx, request_id, request)
            }
            core_message::CoreEvent::PeerReplied { call, reply } => {
                Self::on_peer_reply(ctx, call, reply)
            }
            core_message::CoreEvent::PlatformReplied { call, reply } => {
                Self::on_platform_reply(ctx, call, reply)
            }
            core_message::CoreEvent::StatusRequested { request_id } => {
                let report = Box::new(Self::build_report(ctx));
                ctx.actions.push(core_message::CoreAction::ReplyToStatus { request_id, report });
            }
            core_message::CoreEvent::DrainRequested => drain_flow::start(ctx),
            core_message::CoreEvent::TimerFired => {}
        }
    }

    fn on_endpoint_response(
        ctx: &mut core_context::CoreContext,
        call: core_message::CallId,
        outcome: endpoint_message::EndpointOutcome,
        reusable: bool,
    ) {
        match ctx.calls.remove(&call) {
            Some(call_purpose::CallPurpose::Statement { statement, connection }) => {
                connection_flow::set_reusable(ctx, connection, reusable);
                statement_flow::on_outcome(ctx, statement, outcome);
            }
            Some(call_purpose::CallPurpose::IdleTest { connection }) => {
                connection_flow::on_test_outcome(ctx, connection, outcome);
            }
            Some(call_purpose::CallPurpose::Status { endpoint, connection, sent }) => {
                connection_flow::on_status_outcome(ctx, endpoint, connection, sent, outcome);
            }
            // The connection was closed in the meantime; the late response is dropped.
            _ => {}
        }
    }

    fn on_peer_reply(
        ctx: &mut core_context::CoreContext,
        call: core_message::CallId,
        reply: Option<peer_message::PeerReply>,
    ) {
        let purpose = ctx.calls.remove(&call);
        if reply.is_none() {
            Self::record_missing_reply(ctx, purpose.as_ref());
        }
        match (purpose, reply) {
            (
                Some(call_purpose::CallPurpose::Heartbeat { address, sent }),
                Some(peer_message::PeerReply::Heartbeat(heartbeat)),
            ) => {
                peer_flow::on_heartbeat(ctx, &address, sent, heartbeat);
            }
            (
                Some(call_purpose::CallPurpose::Heartbeat { .. }),
                Some(peer_message::PeerReply::Superseded { incarnation }),
            ) => {
                peer_flow::on_superseded(ctx, incarnation);
            }
            (Some(call_purpose::CallPurpose::Share { account, requested_at, .. }), reply) => {
                let (grant, borrowers) = match reply {
                    Some(peer_message::PeerReply::Share { grant, borrowers }) => (grant, borrowers),
                    _ => (None, Vec::new()),
                };
                rate_limiter::on_loan_reply(ctx, account, requested_at, grant, borrowers);
            }
            (Some(call_purpose::CallPurpose::PrimaryCheck { group, term, .. }), reply) => {
                let serving =
                    matches!(reply, Some(peer_message::PeerReply::Primary { serving: true }));
                failover_flow::on_primary_check(ctx, group, term, serving);
            }
            (
                Some(call_purpose::CallPurpose::Part { hash }),
                Some(peer_message::PeerReply::Part { bytes }),
            ) => {
                config_flow::on_part(ctx, &hash, bytes);
            }
            _ => {}
        }
    }

    fn record_missing_reply(
        ctx: &mut core_context::CoreContext,
        purpose: Option<&call_purpose::CallPurpose>,
    ) {
        if let Some(
            call_purpose::CallPurpose::Heartbeat { address, .. }
            | call_purpose::CallPurpose::Share { address, .. }
            | call_purpose::CallPurpose::PrimaryCheck { address, .. },
        ) = purpose
        {
            ctx.peers.record_failure(address, ctx.now);
        }
    }

    fn on_platform_reply(
        ctx: &mut core_context::CoreContext,
        call: core_message::CallId,
        reply: Option<platform_message::PlatformReply>,
    ) {
        match ctx.calls.remove(&call) {
            Some(call_purpose::CallPurpose::Watch { sent, after }) => {
                platform_flow::on_watch(ctx, sent, after, reply);
            }
            Some(call_purpose::CallPurpose::HostList) => leaving_flow::on_list(ctx, reply),
            Some(call_purpose::CallPurpose::Part { hash }) => {
                config_flow::on_part_reply(ctx, &hash, reply)
            }
            Some(call_purpose::CallPurpose::SwapGroupRecord { group, record }) => {
                failover_flow::on_swap(ctx, group, record, reply);
            }
            Some(call_purpose::CallPurpose::ReadGroupRecord { group }) => {
                failover_flow::on_reread(ctx, group, reply);
            }
            _ => {}
        }
    }

    fn run_timers(ctx: &mut core_context::CoreContext) {
        while let Some(kind) = ctx.timers.pop_due(ctx.now) {
            match kind {
                timer_queue::TimerKind::Statement(statement) => {
                    statement_flow::on_timer(ctx, statement)
                }
                timer_queue::TimerKind::Connection(connection) => {
                    connection_flow::on_timer(ctx, connection)
                }
                timer_queue::TimerKind::Group(group) => failover_flow::on_timer(ctx, group),
                timer_queue::TimerKind::Confirmation(group) => confirm_flow::on_timer(ctx, group),
                timer_queue::TimerKind::Heartbeat => peer_flow::on_timer(ctx),
                timer_queue::TimerKind::HostList => leaving_flow::on_timer(ctx),
                timer_queue::TimerKind::Platform => platform_flow::on_timer(ctx),
                timer_queue::TimerKind::Shares => rate_limiter::on_timer(ctx),
                timer_queue::TimerKind::ConfigParts => config_flow::fetch_missing(ctx),
                timer_queue::TimerKind::Drain => drain_flow::on_timer(ctx),
            }
        }
    }

    fn build_report(ctx: &core_context::CoreContext) -> status_report::StatusReport {
        let groups = ctx.groups.values().filter(|group| !group.endpoints.is_empty());
        let groups = groups.map(|group| {
            let status = status_report::GroupStatus {
                term: group.term(),
                primary: group.serving().map(|record| record.primary.clone()),
                failover: group.cursor.state().to_owned(),
            };
            (group.name.clone(), status)
        });
        let accounts = ctx.accounts.values();
        let accounts = accounts.map(|account| (account.name.clone(), account.counts.clone()));
        status_report::StatusReport {
            host: ctx.identity.name.clone(),
            version: ctx.config.version(),
            fresh: ctx.config_fresh(0),
            leaving: !ctx.accepts_work(),
            callers: ctx.callers.len() as u64,
            statements: ctx.statements.len() as u64,
            connections: ctx.connections.len() as u64,
            groups: groups.collect(),
            accounts: accounts.collect(),
            control: ctx.control.clone(),
        }
    }
}
