//! The end of a process: callers are let go between their requests.
//!
//! The host says at once that new callers are unwelcome, hands back the duty, and serves on while
//! the word gets round. After that sessions are closed as soon as they are at rest; open
//! transactions have until half of the time is over.

use std::time::Duration;

use crate::core::arena_keys;
use crate::proxy::endpoint_command;
use crate::proxy::proxy_context;
use crate::proxy::proxy_message;
use crate::proxy::request_flow;
use crate::proxy::session_flow;
use crate::proxy::session_state;
use crate::proxy::store_message;
use crate::proxy::store_session;

/// Time in which new callers may still arrive.
const WORD_GETS_ROUND: Duration = Duration::from_millis(2_300);
/// Time without anything to rely on after which callers are let go: new ones go elsewhere by then.
const SHED_AFTER: Duration = Duration::from_millis(2_400);
/// Part of the time to stop that open transactions have, as a divisor.
const TRANSACTION_PART: u32 = 2;

/// Whether new callers are turned away: the word that they are unwelcome has got round.
pub fn refuses_new_sessions(ctx: &proxy_context::ProxyContext) -> bool {
    ctx.stopping.is_some_and(|since| ctx.now.since(since) >= WORD_GETS_ROUND)
}

/// Begins to stop.
pub fn start(ctx: &mut proxy_context::ProxyContext) {
    if ctx.stopping.is_some() {
        return;
    }
    log::info!("event=stopping sessions={} jobs={}", ctx.sessions.len(), ctx.requests.len());
    ctx.stopping = Some(ctx.now);
    let own = ctx.coordinator.record.as_ref().is_some_and(|(record, _)| {
        record.host == ctx.identity.host && record.incarnation == ctx.identity.incarnation
    });
    if let (true, Some((lease, _))) = (own, ctx.coordinator.lease.take()) {
        ctx.coordinator.until = Default::default();
        let request = store_message::StoreRequest::RevokeLease { lease };
        ctx.call_store(store_session::StorePurpose::IgnoreReply, request);
    }
    on_tick(ctx);
}

/// Lets callers at rest go from a host that has nothing to rely on, once new ones are sent elsewhere.
pub fn close_idle_sessions(ctx: &mut proxy_context::ProxyContext) {
    if ctx.stopping.is_some()
        || ctx.config.is_none()
        || ctx.now.since(ctx.last_reachable) < SHED_AFTER
    {
        return;
    }
    let sessions: Vec<arena_keys::CallerKey> = ctx.sessions.keys().collect();
    for session in sessions {
        let_go(ctx, session);
    }
}

/// Lets callers at rest go, and ends the process once nothing is left.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    let Some(since) = ctx.stopping else { return };
    let passed = ctx.now.since(since);
    if passed >= WORD_GETS_ROUND {
        let sessions: Vec<arena_keys::CallerKey> = ctx.sessions.keys().collect();
        for session in sessions {
            let_go(ctx, session);
        }
    }
    if passed >= ctx.tuning.shutdown_timeout / TRANSACTION_PART + Duration::from_millis(300) {
        end_transactions(ctx);
    }
    let empty = passed >= WORD_GETS_ROUND && ctx.sessions.is_empty();
    if !ctx.stopped && (empty || passed >= ctx.tuning.shutdown_timeout) {
        ctx.stopped = true;
        if let Some(lease) = ctx.store.lease.take() {
            let request = store_message::StoreRequest::RevokeLease { lease };
            ctx.call_store(store_session::StorePurpose::IgnoreReply, request);
        }
        ctx.store.registered = None;
        log::info!(
            "event=stopped sessions_left={} after_ms={}",
            ctx.sessions.len(),
            passed.as_millis()
        );
        ctx.actions.push(proxy_message::ProxyAction::Stop);
    }
}

/// Lets a caller go that has just been answered, if the process is stopping.
pub fn after_answer(ctx: &mut proxy_context::ProxyContext, session: arena_keys::CallerKey) {
    if refuses_new_sessions(ctx) {
        let_go(ctx, session);
    }
}

fn let_go(ctx: &mut proxy_context::ProxyContext, session: arena_keys::CallerKey) {
    let Some(state) = ctx.sessions.get(session) else { return };
    let rests = state.request.is_none()
        && state.backlog.is_empty()
        && state.phase() == endpoint_command::SessionPhase::Idle;
    if rests {
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
