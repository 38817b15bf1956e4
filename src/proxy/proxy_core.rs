//! Dispatches events to the flows of the proxy core and runs its timers.

use std::time::Duration;

use anyhow::Result;

use crate::core::clock_time;
use crate::proxy::change_relay;
use crate::proxy::config_read;
use crate::proxy::connection_flow;
use crate::proxy::coordinator_election;
use crate::proxy::duty_flow;
use crate::proxy::endpoint_flow;
use crate::proxy::failover_flow;
use crate::proxy::heartbeat_flow;
use crate::proxy::pool_client;
use crate::proxy::pool_server;
use crate::proxy::proxy_context;
use crate::proxy::proxy_message;
use crate::proxy::proxy_tuning;
use crate::proxy::rate_limiter;
use crate::proxy::receipt_flow;
use crate::proxy::request_flow;
use crate::proxy::session_flow;
use crate::proxy::shutdown_flow;
use crate::proxy::store_record;
use crate::proxy::store_sync;
use crate::proxy::usage_flow;
use crate::proxy::witness_selection;

/// Renewals of the membership lease within which the store or most witnesses must have replied for
/// the host to count as connected.
const REACHABLE_RENEWALS: u32 = 2;
/// Time without the store and without a quorum after which the host reports itself not ready for
/// new callers.
const UNREACHABLE_GRACE: Duration = Duration::from_millis(100);

/// Time after the start for which readiness waits until every routed group has a recorded primary.
const RECORDS_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between `counts` lines in the log.
const COUNTS_INTERVAL: Duration = Duration::from_secs(10);

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
        identity: store_record::MemberRecord,
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
        pool_client::deliver_own(ctx);
        std::mem::take(&mut ctx.actions)
    }

    /// Returns the time of the next timer.
    pub fn next_timer(&self) -> Option<clock_time::ClockTime> {
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
            proxy_message::ProxyEvent::RequestReceived { caller, id, request } => {
                session_flow::on_request(ctx, caller, id, request);
            }
            proxy_message::ProxyEvent::CallerClosed { caller } => session_flow::close(ctx, caller),
            proxy_message::ProxyEvent::ConnectionOpened { connection, response } => {
                connection_flow::on_opened(ctx, connection, response);
            }
            proxy_message::ProxyEvent::ResponseReceived { connection, response } => {
                connection_flow::on_response(ctx, connection, response);
            }
            proxy_message::ProxyEvent::ConnectionClosed { connection, refused } => {
                connection_flow::on_closed(ctx, connection, refused);
            }
            proxy_message::ProxyEvent::StoreReplied { call, reply } => {
                if let Some(call) = ctx.store_calls.remove(&call) {
                    store_sync::on_reply(ctx, &call, reply);
                }
            }
            proxy_message::ProxyEvent::DutyReplied { call, reply } => {
                duty_flow::on_reply(ctx, call, reply);
            }
            proxy_message::ProxyEvent::DatagramReceived { message } => {
                heartbeat_flow::on_datagram(ctx, message);
            }
            proxy_message::ProxyEvent::PoolReplyReceived { address, reply } => {
                pool_client::on_reply(ctx, &address, reply);
            }
            proxy_message::ProxyEvent::PoolLinkLost { address } => {
                pool_client::on_link_lost(ctx, &address);
            }
            proxy_message::ProxyEvent::PoolRequestReceived { link, request } => {
                pool_server::on_request(ctx, link, request);
            }
            proxy_message::ProxyEvent::PoolLinkClosed { link } => {
                pool_server::on_link_closed(ctx, link);
            }
            proxy_message::ProxyEvent::TuningChanged { tuning } => {
                usage_flow::on_tuning(ctx, tuning.usage);
                ctx.tuning = *tuning;
            }
            proxy_message::ProxyEvent::WallClockRead { unix_us } => {
                ctx.usage.clock.read_own(ctx.now, unix_us);
            }
            proxy_message::ProxyEvent::ShutdownRequested => shutdown_flow::start(ctx),
            proxy_message::ProxyEvent::TimerFired => {}
        }
    }

    fn run_timers(ctx: &mut proxy_context::ProxyContext) {
        while let Some(timer) = ctx.timers.pop_due(ctx.now) {
            match timer {
                proxy_context::ProxyTimer::Request(request) => request_flow::on_timer(ctx, request),
                proxy_context::ProxyTimer::Share(account) => rate_limiter::on_timer(ctx, account),
                proxy_context::ProxyTimer::Endpoint(endpoint) => {
                    connection_flow::open_for_queue(ctx, endpoint);
                }
                proxy_context::ProxyTimer::Pool(endpoint) => {
                    pool_server::on_timer(ctx, endpoint);
                }
                proxy_context::ProxyTimer::Failover(_) => failover_flow::advance_all(ctx),
                proxy_context::ProxyTimer::Receipts(group) => receipt_flow::on_timer(ctx, group),
                proxy_context::ProxyTimer::Tick => Self::tick(ctx),
            }
        }
    }

    fn tick(ctx: &mut proxy_context::ProxyContext) {
        let next = ctx.now.after(ctx.tuning.tick);
        ctx.timers.push(next, proxy_context::ProxyTimer::Tick);
        store_sync::on_tick(ctx);
        change_relay::on_tick(ctx);
        endpoint_flow::remove_deregistered(ctx);
        connection_flow::on_tick(ctx);
        connection_flow::probe_primaries(ctx);
        pool_client::on_tick(ctx);
        pool_server::on_tick(ctx);
        heartbeat_flow::on_tick(ctx);
        rate_limiter::allocate_shares(ctx);
        rate_limiter::confirm_allocation(ctx);
        coordinator_election::on_tick(ctx);
        failover_flow::advance_all(ctx);
        receipt_flow::on_tick(ctx);
        usage_flow::on_tick(ctx);
        witness_selection::expire_past_sets(ctx);
        if ctx.store_or_quorum_reachable(ctx.host_renewal() * REACHABLE_RENEWALS) {
            ctx.last_reachable = ctx.now;
        }
        Self::end_idle_transactions(ctx);
        shutdown_flow::on_tick(ctx);
        shutdown_flow::close_idle_sessions(ctx);
        Self::report_readiness(ctx);
        if ctx.now.since(ctx.counts_logged_at) >= COUNTS_INTERVAL {
            ctx.counts_logged_at = ctx.now;
            Self::log_counts(ctx);
        }
    }

    /// Logs the counters of served and unserved requests, so that totals by account can be read
    /// from the log alone.
    fn log_counts(ctx: &proxy_context::ProxyContext) {
        let refused = &ctx.counts.unserved;
        let refused: u64 = refused.values().sum();
        let served: Vec<String> =
            ctx.counts.served.iter().map(|(name, count)| format!("{name}:{count}")).collect();
        let store_replies: Vec<String> = ctx
            .counts
            .store_replies
            .iter()
            .map(|((purpose, outcome), count)| format!("{purpose}/{outcome}:{count}"))
            .collect();
        log::info!(
            "event=counts sessions={} connections={} replica_reads={} primary_reads={} connections_opened={} \
             responses_out_of_order={} leases_asked={} lease_refusals={} pool_links_lost={} \
             store_calls={} store_replies={} relayed_changes={} datagrams={} unserved={refused} served={}",
            ctx.sessions.len(),
            ctx.connections.len(),
            ctx.counts.replica_reads,
            ctx.counts.primary_reads,
            ctx.counts.connections_opened,
            ctx.counts.responses_out_of_order.values().sum::<u64>(),
            ctx.counts.leases_asked,
            ctx.counts.lease_refusals.values().sum::<u64>(),
            ctx.counts.pool_links_lost,
            ctx.counts.store_calls,
            store_replies.join(","),
            ctx.counts.relayed_changes,
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
                state.request.is_none()
                    && state.open_transaction().is_some()
                    && ctx.now.since(state.last_active) >= limit
            })
            .map(|(key, _)| key)
            .collect();
        for session in idle {
            let connection = ctx.sessions[session]
                .open_transaction()
                .and_then(|transaction| transaction.connection);
            request_flow::fail_transaction(ctx, session, "idle");
            if let Some(connection) = connection {
                connection_flow::roll_back(ctx, connection);
            }
        }
    }

    /// Returns whether every group that a route names has a recorded primary.
    fn all_primaries_recorded(ctx: &proxy_context::ProxyContext) -> bool {
        let Some(config) = &ctx.config else { return false };
        config.routes.values().all(|route| {
            let group = ctx.group_names.get(&route.group).map(|group| &ctx.groups[*group]);
            group.is_some_and(|group| group.record.is_some())
        })
    }

    fn report_readiness(ctx: &mut proxy_context::ProxyContext) {
        let configured =
            ctx.config.is_some() && !config_read::is_overdue(ctx) && !ctx.endpoints.is_empty();
        let reachable = ctx.now.since(ctx.last_reachable) < UNREACHABLE_GRACE;
        // After the deadline, a group without a record no longer keeps the host from serving other
        // groups.
        let primaries_recorded =
            ctx.now.since(ctx.started) >= RECORDS_TIMEOUT || Self::all_primaries_recorded(ctx);
        let ready = configured
            && reachable
            && primaries_recorded
            && ctx.allocation.ever_activated
            && ctx.stopping.is_none();
        if ready != ctx.ready {
            ctx.ready = ready;
            log::info!("event=readiness ready={ready}");
            ctx.actions.push(proxy_message::ProxyAction::SetReadiness { ready });
        }
    }
}
