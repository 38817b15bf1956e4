//! Graceful shutdown: closes callers' sessions between their requests.
//!
//! The host reports at once that it is not ready, gives up the coordinator lease and keeps serving
//! until new callers are sent elsewhere. It then closes sessions as soon as they are idle. Open
//! transactions may continue until half of the shutdown timeout has passed.

use std::time::Duration;

use crate::core::arena_keys;
use crate::proxy::endpoint_command;
use crate::proxy::membership_flow;
use crate::proxy::proxy_context;
use crate::proxy::proxy_message;
use crate::proxy::request_flow;
use crate::proxy::session_flow;
use crate::proxy::session_state;
use crate::proxy::store_message;
use crate::proxy::store_session;
use crate::proxy::usage_flow;

/// Time for which new callers may still arrive after the host reported that it is not ready.
const READINESS_DELAY: Duration = Duration::from_millis(2_300);
/// Time without a reachable store or quorum after which idle sessions are closed: new callers are
/// sent elsewhere by then.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Divisor of the shutdown timeout that gives the time for open transactions.
const TRANSACTION_TIME_DIVISOR: u32 = 2;

/// Whether new sessions are refused: the host is shutting down, and new callers should have stopped
/// arriving.
pub fn refuses_new_sessions(ctx: &proxy_context::ProxyContext) -> bool {
    ctx.stopping.is_some_and(|since| ctx.now.since(since) >= READINESS_DELAY)
}

/// Starts the shutdown.
pub fn start(ctx: &mut proxy_context::ProxyContext) {
    if ctx.stopping.is_some() {
        return;
    }
    log::info!("event=stopping sessions={} requests={}", ctx.sessions.len(), ctx.requests.len());
    ctx.stopping = Some(ctx.now);
    let holds_lease = ctx.coordinator.record.as_ref().is_some_and(|(record, _)| {
        record.host == ctx.identity.host && record.incarnation == ctx.identity.incarnation
    });
    if let (true, Some((lease, _))) = (holds_lease, ctx.coordinator.lease.take()) {
        ctx.coordinator.until = Default::default();
        // The call of a duty may still be on its way: the next holder has to come after it, so the
        // lease is left to expire.
        if !ctx.duty_calls.is_empty() {
            return on_tick(ctx);
        }
        let request = store_message::StoreRequest::RevokeLease { lease };
        ctx.call_store(store_session::StorePurpose::IgnoreReply, request);
    }
    on_tick(ctx);
}

/// Closes idle sessions on a host that has reached neither the store nor a quorum for a while, once
/// new callers are sent elsewhere.
pub fn close_idle_sessions(ctx: &mut proxy_context::ProxyContext) {
    if ctx.stopping.is_some()
        || ctx.config.is_none()
        || ctx.now.since(ctx.last_reachable) < UNREACHABLE_TIMEOUT
    {
        return;
    }
    let sessions: Vec<arena_keys::CallerKey> = ctx.sessions.keys().collect();
    for session in sessions {
        close_if_idle(ctx, session);
    }
}

/// Advances the shutdown: closes idle sessions, ends open transactions when their time is over, and
/// ends the process when no session is left or the timeout has passed.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    let Some(since) = ctx.stopping else { return };
    let elapsed = ctx.now.since(since);
    if elapsed >= READINESS_DELAY {
        let sessions: Vec<arena_keys::CallerKey> = ctx.sessions.keys().collect();
        for session in sessions {
            close_if_idle(ctx, session);
        }
    }
    if elapsed
        >= ctx.tuning.shutdown_timeout / TRANSACTION_TIME_DIVISOR + Duration::from_millis(300)
    {
        end_transactions(ctx);
    }
    let empty = elapsed >= READINESS_DELAY && ctx.sessions.is_empty() && !ctx.pool.in_use();
    if !ctx.stopped && (empty || elapsed >= ctx.tuning.shutdown_timeout) {
        ctx.stopped = true;
        usage_flow::on_stop(ctx);
        membership_flow::record_departure(ctx);
        if let Some(lease) = ctx.store.lease.take() {
            let request = store_message::StoreRequest::RevokeLease { lease };
            ctx.call_store(store_session::StorePurpose::IgnoreReply, request);
        }
        ctx.store.registered = None;
        log::info!(
            "event=stopped sessions_left={} after_ms={}",
            ctx.sessions.len(),
            elapsed.as_millis()
        );
        ctx.actions.push(proxy_message::ProxyAction::Stop);
    }
}

/// Closes the session after a response if it is idle and the host is shutting down.
pub fn on_response_sent(ctx: &mut proxy_context::ProxyContext, session: arena_keys::CallerKey) {
    if refuses_new_sessions(ctx) {
        close_if_idle(ctx, session);
    }
}

fn close_if_idle(ctx: &mut proxy_context::ProxyContext, session: arena_keys::CallerKey) {
    let Some(state) = ctx.sessions.get(session) else { return };
    let idle = state.request.is_none()
        && state.backlog.is_empty()
        && state.phase() == endpoint_command::SessionPhase::Idle;
    if idle {
        let caller = state.caller;
        ctx.actions.push(proxy_message::ProxyAction::CloseCaller { caller });
        session_flow::close(ctx, caller);
    }
}

fn end_transactions(ctx: &mut proxy_context::ProxyContext) {
    let open: Vec<arena_keys::CallerKey> = ctx
        .sessions
        .iter()
        .filter(|(_, state)| state.open_transaction().is_some() && state.request.is_none())
        .map(|(key, _)| key)
        .collect();
    for session in open {
        request_flow::end_transaction(ctx, session, session_state::TransactionState::Failed);
    }
}
