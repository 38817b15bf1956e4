//! Graceful drain: accepts no new statements, and closes each caller once its statement and
//! transaction have ended.

use crate::core::arena_keys;
use crate::core::caller_flow;
use crate::core::core_context;
use crate::core::core_message;
use crate::core::core_tuning;
use crate::core::request_verdict;
use crate::core::timer_queue;

/// Starts the graceful shutdown of this process; `drain_timeout_ms` limits how long it takes.
pub fn start(ctx: &mut core_context::CoreContext) {
    if ctx.drain_since.is_some() {
        return;
    }
    log::info!(
        "drain started: {} callers connected, {} statements in progress",
        ctx.callers.len(),
        ctx.statements.len()
    );
    ctx.drain_since = Some(ctx.now);
    let limit = core_tuning::CoreTuning::millis(ctx.tuning.drain_timeout_ms);
    ctx.set_timer(limit, timer_queue::TimerKind::Drain);
    close_idle_callers(ctx);
    stop_if_finished(ctx);
}

/// Closes idle callers if the new configuration takes this host out of service.
pub fn on_config_changed(ctx: &mut core_context::CoreContext) {
    if !ctx.accepts_work() {
        close_idle_callers(ctx);
    }
}

/// Closes a caller that just got its response, if this host is draining.
pub fn on_response(ctx: &mut core_context::CoreContext, caller: arena_keys::CallerKey) {
    if ctx.accepts_work() {
        return;
    }
    close_caller_if_idle(ctx, caller);
    stop_if_finished(ctx);
}

/// Stops the process when the shutdown has reached its time limit.
pub fn on_timer(ctx: &mut core_context::CoreContext) {
    if ctx.drain_since.is_some() && !ctx.stopped {
        log::warn!("drain timed out: {} statements unfinished", ctx.statements.len());
        ctx.stopped = true;
        ctx.actions.push(core_message::CoreAction::Stop);
    }
}

/// Stops the process if it is shutting down and no callers are left.
pub fn stop_if_finished(ctx: &mut core_context::CoreContext) {
    if ctx.drain_since.is_some() && !ctx.stopped && ctx.callers.is_empty() {
        ctx.stopped = true;
        ctx.actions.push(core_message::CoreAction::Stop);
    }
}

fn close_idle_callers(ctx: &mut core_context::CoreContext) {
    let callers: Vec<arena_keys::CallerKey> = ctx.callers.keys().collect();
    for caller in callers {
        close_caller_if_idle(ctx, caller);
    }
}

fn close_caller_if_idle(ctx: &mut core_context::CoreContext, caller: arena_keys::CallerKey) {
    let Some(state) = ctx.callers.get(caller) else { return };
    if state.statement.is_some() || state.transaction.is_some() {
        return;
    }
    let id = state.id;
    let wait = Some(core_tuning::SHORT_RETRY);
    let verdict =
        request_verdict::RequestVerdict::not_run(request_verdict::VerdictCause::Draining, wait);
    ctx.actions.push(core_message::CoreAction::CloseCaller { caller: id, verdict });
    caller_flow::remove(ctx, id);
}
