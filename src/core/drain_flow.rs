//! Graceful leaving: no new work, every accepted statement and transaction finished.

use crate::core::arena_keys;
use crate::core::caller_flow;
use crate::core::core_context;
use crate::core::core_message;
use crate::core::core_tuning;
use crate::core::request_verdict;
use crate::core::timer_queue;

/// Starts the shutdown of this process.
pub fn start(ctx: &mut core_context::CoreContext) {
    if ctx.drain_since.is_some() {
        return;
    }
    log::info!("leaving: {} callers, {} statements", ctx.callers.len(), ctx.statements.len());
    ctx.drain_since = Some(ctx.now);
    let limit = core_tuning::CoreTuning::millis(ctx.tuning.drain_timeout_ms);
    ctx.wake_after(limit, timer_queue::TimerKind::Drain);
    close_idle_callers(ctx);
    check_finished(ctx);
}

/// Acts on a configuration that may have taken this host out of service.
pub fn after_config(ctx: &mut core_context::CoreContext) {
    if !ctx.takes_work() {
        close_idle_callers(ctx);
    }
}

/// Ends the connection of a caller that was just answered, when this host is leaving.
pub fn after_answer(ctx: &mut core_context::CoreContext, caller: arena_keys::CallerKey) {
    if ctx.takes_work() {
        return;
    }
    close_caller_if_idle(ctx, caller);
    check_finished(ctx);
}

/// Ends the shutdown when it has taken too long.
pub fn on_timer(ctx: &mut core_context::CoreContext) {
    if ctx.drain_since.is_some() && !ctx.stopped {
        log::warn!("leaving with {} statements unfinished", ctx.statements.len());
        ctx.stopped = true;
        ctx.actions.push(core_message::CoreAction::Stop);
    }
}

/// Announces the end of the shutdown once no caller is left.
pub fn check_finished(ctx: &mut core_context::CoreContext) {
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
    caller_flow::close(ctx, id);
}
