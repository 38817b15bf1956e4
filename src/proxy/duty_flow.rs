//! Sends the calls of duties under the coordinator's fencing token, and passes on the replies.

use std::time::Duration;

use crate::core::clock_time;
use crate::core::core_message;
use crate::proxy::duty_call;
use crate::proxy::failover_flow;
use crate::proxy::pending_duty;
use crate::proxy::proxy_context;
use crate::proxy::proxy_message;
use crate::proxy::usage_flow;

/// Least remaining time of the coordinator lease for which a call is still begun.
const REMAINING_MIN: Duration = Duration::from_millis(200);

/// Sends a call if this host is certain to be the coordinator and no other holder took a turn too
/// recently. Returns the fencing token of the call, or `None` if it was not sent.
///
/// The call is given up when the lease ends, which a renewal puts off, but not beyond `limit`. Without
/// a limit, a renewal does not put it off.
pub fn call(
    ctx: &mut proxy_context::ProxyContext,
    subject: duty_call::DutySubject,
    duty: duty_call::DutyCall,
    limit: Option<Duration>,
) -> Option<u64> {
    let token = ctx.fencing_token()?;
    let lease_end = ctx.coordinator.until;
    if lease_end.since(ctx.now) < REMAINING_MIN {
        return None;
    }
    if !ctx.duty_fence.allows(subject, token, ctx.now, ctx.tuning.duty_turn) {
        return None;
    }
    ctx.duty_fence.record(subject, token, ctx.now);
    let call = ctx.next_call_id();
    let latest = limit.map_or(lease_end, |limit| ctx.now.after(limit));
    ctx.duty_calls.insert(call, pending_duty::PendingDuty { subject, token, latest });
    let deadline = latest.min(lease_end);
    let holder = ctx.identity.host.clone();
    ctx.actions.push(proxy_message::ProxyAction::CallDuty { call, duty, holder, token, deadline });
    Some(token)
}

/// Lets pending calls under the present token go on until the new end of the coordinator lease, after
/// which another holder may call under a higher token.
pub fn on_lease_renewed(ctx: &mut proxy_context::ProxyContext) {
    let (token, lease_end) = (ctx.fencing_token(), ctx.coordinator.until);
    for (call, duty) in &ctx.duty_calls {
        if token == Some(duty.token) {
            let (call, deadline) = (*call, duty.latest.min(lease_end));
            ctx.actions.push(proxy_message::ProxyAction::SetDutyDeadline { call, deadline });
        }
    }
}

/// Gives up all pending calls, as the coordinator lease has ended.
pub fn on_lease_lost(ctx: &mut proxy_context::ProxyContext) {
    for call in ctx.duty_calls.keys() {
        let (call, deadline) = (*call, ctx.now);
        ctx.actions.push(proxy_message::ProxyAction::SetDutyDeadline { call, deadline });
    }
}

/// Handles the platform's reply to a call.
pub fn on_reply(
    ctx: &mut proxy_context::ProxyContext,
    call: core_message::CallId,
    reply: duty_call::DutyReply,
) {
    match ctx.duty_calls.remove(&call).map(|duty| duty.subject) {
        Some(duty_call::DutySubject::Promotion(group)) => {
            failover_flow::on_promotion_reply(ctx, group, reply)
        }
        Some(duty_call::DutySubject::Usage) => usage_flow::on_report_reply(ctx, reply),
        None => {}
    }
}

/// Returns whether a process that started at `started` may have made calls in an earlier process of
/// its host within the last `turn`.
pub fn may_follow_own_calls(
    started: clock_time::ClockTime,
    now: clock_time::ClockTime,
    turn: Duration,
) -> bool {
    now.since(started) < turn
}
