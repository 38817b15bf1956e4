//! Dispatches events to the flows of the proxy core and runs its timers.

use std::time::Duration;

use anyhow::Result;

use crate::core::clock_time;
use crate::proxy::change_flow;
use crate::proxy::change_record;
use crate::proxy::duty_flow;
use crate::proxy::endpoint_flow;
use crate::proxy::feed_flow;
use crate::proxy::link_flow;
use crate::proxy::member_flow;
use crate::proxy::operation_flow;
use crate::proxy::proxy_context;
use crate::proxy::proxy_message;
use crate::proxy::proxy_tuning;
use crate::proxy::quota_flow;
use crate::proxy::session_flow;
use crate::proxy::shutdown_flow;
use crate::proxy::witness_policy;

/// How recently the store or most witnesses must have replied for the host to count as connected.
/// Covers two renewals of the membership lease.
const TOUCH_SPAN: Duration = Duration::from_millis(700);
/// Time without the store and without a quorum after which the host reports itself not ready for
/// new callers.
const OUT_OF_TOUCH: Duration = Duration::from_millis(100);

/// Time after the start for which readiness waits until every routed group has a recorded primary.
const RECORDS_LIMIT: Duration = Duration::from_secs(2);
/// Interval between `counts` lines in the log.
const COUNTS_TOLD: Duration = Duration::from_secs(10);

/// The proxy core of one host.
#[derive(Debug)]
pub struct ProxyCore {
    context: proxy_context::ProxyContext,
}

impl ProxyCore {
    /// Creates a core with no configuration, endpoints or peers.
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
        let mut context = proxy_context::ProxyContext::new(identity, tuning, seed, now)?;
        context.timers.push(now, proxy_context::ProxyTimer::Tick);
        Ok(Self { context })
    }

    /// Handles one event that arrived at `now` and returns the resulting actions.
    pub fn handle(
        &mut self,
        now: clock_time::ClockTime,
        event: proxy_message::ProxyEvent,
    ) -> Vec<proxy_message::ProxyAction> {
        let ctx = &mut self.context;
        ctx.now = ctx.now.max(now);
        Self::dispatch(ctx, event);
        Self::run_timers(ctx);
        std::mem::take(&mut ctx.actions)
    }

    /// Returns the time of the next timer.
    pub fn next_wake(&self) -> Option<clock_time::ClockTime> {
        self.context.timers.first_time()
    }

    /// Returns the state, for tests and reports.
    pub fn context(&self) -> &proxy_context::ProxyContext {
        &self.context
    }

    fn dispatch(ctx: &mut proxy_context::ProxyContext, event: proxy_message::ProxyEvent) {
        match event {
            proxy_message::ProxyEvent::CallerOpened { caller, database, key } => {
                session_flow::open(ctx, caller, database, &key);
            }
            proxy_message::ProxyEvent::CallerAsked { caller, id, request } => {
                session_flow::ask(ctx, caller, id, request);
            }
            proxy_message::ProxyEvent::CallerClosed { caller } => session_flow::close(ctx, caller),
            proxy_message::ProxyEvent::LinkGreeted { link, answer } => {
                link_flow::on_greeted(ctx, link, answer);
            }
            proxy_message::ProxyEvent::LinkAnswered { link, answer } => {
                link_flow::on_answered(ctx, link, answer);
            }
            proxy_message::ProxyEvent::LinkEnded { link, refused } => {
                link_flow::on_ended(ctx, link, refused);
            }
            proxy_message::ProxyEvent::StoreAnswered { call, reply } => {
                if let Some(call) = ctx.store_calls.remove(&call) {
                    feed_flow::on_reply(ctx, &call, reply);
                }
            }
            proxy_message::ProxyEvent::AppointmentAnswered { call, reply } => {
                change_flow::on_appointment(ctx, call, reply);
            }
            proxy_message::ProxyEvent::PeerSaid { message } => {
                member_flow::on_datagram(ctx, message);
            }
            proxy_message::ProxyEvent::TuningChanged { tuning } => ctx.tuning = *tuning,
            proxy_message::ProxyEvent::StopAsked => shutdown_flow::start(ctx),
            proxy_message::ProxyEvent::Woken => {}
        }
    }

    fn run_timers(ctx: &mut proxy_context::ProxyContext) {
        while let Some(timer) = ctx.timers.pop_due(ctx.now) {
            match timer {
                proxy_context::ProxyTimer::Job(job) => operation_flow::on_timer(ctx, job),
                proxy_context::ProxyTimer::Share(account) => quota_flow::on_timer(ctx, account),
                proxy_context::ProxyTimer::Endpoint(endpoint) => {
                    link_flow::open_for_queue(ctx, endpoint);
                }
                proxy_context::ProxyTimer::Change(_) => change_flow::drive_all(ctx),
                proxy_context::ProxyTimer::Tick => Self::tick(ctx),
            }
        }
    }

    fn tick(ctx: &mut proxy_context::ProxyContext) {
        let next = ctx.now.after(ctx.tuning.tick);
        ctx.timers.push(next, proxy_context::ProxyTimer::Tick);
        feed_flow::on_tick(ctx);
        endpoint_flow::forget_gone(ctx);
        link_flow::on_tick(ctx);
        link_flow::ping_primaries(ctx);
        member_flow::on_tick(ctx);
        quota_flow::deal(ctx);
        quota_flow::attest(ctx);
        duty_flow::on_tick(ctx);
        change_flow::drive_all(ctx);
        witness_policy::forget_past(ctx);
        if ctx.in_touch(TOUCH_SPAN) {
            ctx.touched = ctx.now;
        }
        Self::end_idle_transactions(ctx);
        shutdown_flow::on_tick(ctx);
        shutdown_flow::shed_callers(ctx);
        Self::tell_readiness(ctx);
        if ctx.now.since(ctx.told) >= COUNTS_TOLD {
            ctx.told = ctx.now;
            Self::tell_counts(ctx);
        }
    }

    /// Logs the counters of served and unserved requests, so that totals by account can be read
    /// from the log alone.
    fn tell_counts(ctx: &proxy_context::ProxyContext) {
        let refused = &ctx.counts.unserved;
        let refused: u64 = refused.values().sum();
        let served: Vec<String> =
            ctx.counts.served.iter().map(|(name, count)| format!("{name}:{count}")).collect();
        log::info!(
            "event=counts sessions={} links={} replica_reads={} primary_reads={} links_opened={} \
             store_calls={} datagrams={} unserved={refused} served={}",
            ctx.sessions.len(),
            ctx.links.len(),
            ctx.counts.replica_reads,
            ctx.counts.primary_reads,
            ctx.counts.links_opened,
            ctx.counts.store_calls,
            ctx.counts.datagrams,
            served.join(",")
        );
    }

    /// Rolls back transactions that have been idle for longer than the configured limit.
    fn end_idle_transactions(ctx: &mut proxy_context::ProxyContext) {
        let Some(limit) = ctx.config.as_ref().map(|config| config.idle_transaction) else { return };
        let idle: Vec<_> = ctx
            .sessions
            .iter()
            .filter(|(_, state)| {
                state.job.is_none()
                    && state.open_work().is_some()
                    && ctx.now.since(state.active) >= limit
            })
            .map(|(key, _)| key)
            .collect();
        for session in idle {
            let link = ctx.sessions[session].open_work().and_then(|work| work.link);
            operation_flow::lose_work(ctx, session, "idle");
            if let Some(link) = link {
                link_flow::roll_back(ctx, link);
            }
        }
    }

    /// Returns whether every group that a route names has a recorded primary.
    fn all_led(ctx: &proxy_context::ProxyContext) -> bool {
        let Some(config) = &ctx.config else { return false };
        config.routes.values().all(|route| {
            let group = ctx.group_names.get(&route.group).map(|group| &ctx.groups[*group]);
            group.is_some_and(|group| group.record.is_some())
        })
    }

    fn tell_readiness(ctx: &mut proxy_context::ProxyContext) {
        let configured = ctx.config.is_some() && !ctx.endpoints.is_empty();
        let useful = ctx.now.since(ctx.touched) < OUT_OF_TOUCH;
        // After the deadline, a group without a record no longer keeps the host from serving other
        // groups.
        let led = ctx.now.since(ctx.started) >= RECORDS_LIMIT || Self::all_led(ctx);
        let ready = configured && useful && led && ctx.dealing.opened && ctx.stopping.is_none();
        if ready != ctx.ready {
            ctx.ready = ready;
            log::info!("event=readiness ready={ready}");
            ctx.actions.push(proxy_message::ProxyAction::SetReady { ready });
        }
    }
}
