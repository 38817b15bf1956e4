//! Holds the responses of primaries until a majority of the group's copies has confirmed them.
//!
//! A write is acknowledged once a majority of copies holds it while still in the term in which it
//! was executed. A change of primary fences a majority before it chooses the new primary, so it
//! either finds the write on one of those copies or prevents it from being confirmed.

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::core::connection_flow;
use crate::core::core_context;
use crate::core::core_tuning;
use crate::core::endpoint_message;
use crate::core::group_state;
use crate::core::request_verdict;
use crate::core::statement_flow;
use crate::core::statement_state;
use crate::core::timer_queue;

/// Holds a statement's response until a majority confirms it.
pub fn await_majority(
    ctx: &mut core_context::CoreContext,
    statement: arena_keys::StatementKey,
    point: endpoint_message::LogPoint,
    sent_at: clock_time::ClockTime,
    body: endpoint_message::ResponseBody,
    verdict: request_verdict::RequestVerdict,
) {
    let group = ctx.statements[statement].group;
    ctx.statements[statement].phase =
        statement_state::StatementPhase::Confirming { point, sent_at, body, verdict };
    ctx.groups[group].waiters.push(statement);
    evaluate(ctx, group);
    if !ctx.groups[group].waiters.is_empty() {
        probe_replicas(ctx, group);
    }
}

/// Finishes the group's waiting statements that have been confirmed.
pub fn evaluate(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    for statement in ctx.groups[group].waiters.clone() {
        if ctx.statements.contains_key(statement) {
            finish_if_confirmed(ctx, group, statement);
        }
    }
    schedule_probe(ctx, group);
}

/// Probes the replicas again while statements wait for confirmation.
pub fn on_timer(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let Some(state) = ctx.groups.get_mut(group) else { return };
    state.confirm_timer_set = false;
    if !state.waiters.is_empty() {
        probe_replicas(ctx, group);
        schedule_probe(ctx, group);
    }
}

/// Ends the waits for confirmation of earlier terms, which can no longer succeed: reads are
/// retried, writes fail with an unknown outcome.
pub fn on_new_term(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let term = ctx.groups[group].term();
    for statement in ctx.groups[group].waiters.clone() {
        let Some(state) = ctx.statements.get(statement) else { continue };
        let statement_state::StatementPhase::Confirming { point, .. } = state.phase else {
            continue;
        };
        if point.term >= term {
            continue;
        }
        if state.read {
            ctx.groups[group].waiters.retain(|waiter| *waiter != statement);
            statement_flow::retry(ctx, statement, request_verdict::VerdictCause::PrimaryReplaced);
        } else {
            statement_flow::abort(ctx, statement, request_verdict::VerdictCause::PrimaryReplaced);
        }
    }
}

/// Returns the end of the primary's log as of its last status, with the time at which that status
/// was requested. Returns `None` unless a majority has confirmed the current term since that time.
pub fn majority_sample(
    ctx: &core_context::CoreContext,
    group: arena_keys::GroupKey,
) -> Option<group_state::PositionSample> {
    let state = &ctx.groups[group];
    let record = state.serving()?;
    let primary = *ctx.endpoint_names.get(&record.primary)?;
    let last_status = ctx.endpoints[primary].last_status.as_ref()?;
    let is_primary = last_status.status.primary && last_status.status.adopted_term == record.term;
    let confirmations = count_confirmations(
        ctx,
        group,
        last_status.requested_at,
        endpoint_message::LogPoint::default(),
    );
    if !is_primary || !is_listed_copy(ctx, group, primary) || confirmations + 1 < state.majority() {
        return None;
    }
    Some(group_state::PositionSample {
        point: last_status.status.log_point(),
        at: last_status.requested_at,
    })
}

fn finish_if_confirmed(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    statement: arena_keys::StatementKey,
) {
    let state = &ctx.statements[statement];
    let statement_state::StatementPhase::Confirming { point, sent_at, body, verdict } =
        &state.phase
    else {
        return;
    };
    let current = ctx.groups[group].serving().is_some_and(|record| record.term == point.term);
    if !current {
        return;
    }
    let (point, sent_at) = (*point, *sent_at);
    // A write needs replicas that hold its point in the current term. A read needs only a majority
    // that was still in the current term after the read had been sent: the primary that served it
    // was then not replaced yet.
    let needed = if state.read { endpoint_message::LogPoint::default() } else { point };
    let requested_at = if state.read { sent_at } else { clock_time::ClockTime::default() };
    if count_confirmations(ctx, group, requested_at, needed) + 1 < ctx.groups[group].majority() {
        return;
    }
    let (body, verdict, caller) = (body.clone(), verdict.clone(), state.caller);
    let name = ctx.groups[group].name.clone();
    ctx.callers[caller].session.advance(&name, point);
    statement_flow::finish(ctx, statement, verdict, body);
}

/// Counts the replicas that have adopted the current term and hold `point`, according to a status
/// requested at `requested_at` or later. The default point requires the term alone.
fn count_confirmations(
    ctx: &core_context::CoreContext,
    group: arena_keys::GroupKey,
    requested_at: clock_time::ClockTime,
    point: endpoint_message::LogPoint,
) -> usize {
    let state = &ctx.groups[group];
    let Some(record) = state.serving() else { return 0 };
    let confirms = |endpoint: &&arena_keys::EndpointKey| {
        let replica = &ctx.endpoints[**endpoint];
        let Some(status) = replica.status_since(requested_at) else { return false };
        let in_term = status.adopted_term == record.term;
        let holds = point == endpoint_message::LogPoint::default()
            || (status.log_term == point.term && status.position >= point.position);
        replica.name != record.primary && is_listed_copy(ctx, group, **endpoint) && in_term && holds
    };
    state.endpoints.iter().filter(confirms).count()
}

/// Whether the group's record lists the endpoint's current copy, so that it counts towards a
/// majority.
fn is_listed_copy(
    ctx: &core_context::CoreContext,
    group: arena_keys::GroupKey,
    endpoint: arena_keys::EndpointKey,
) -> bool {
    let state = &ctx.endpoints[endpoint];
    let Some(record) = &ctx.groups[group].record else { return false };
    let copy = state.last_status.as_ref().map(|last_status| last_status.status.copy);
    copy.is_some() && record.copies.get(&state.name).copied() == copy
}

/// Requests a status from the replicas to confirm the waiting statements.
///
/// If only writes wait, the replica delays its reply until it has reached the earliest of their
/// points, so that one request takes the place of repeated probes.
fn probe_replicas(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let interval = core_tuning::CoreTuning::millis(ctx.tuning.confirm_gap_ms);
    let primary = ctx.groups[group].serving().map(|record| record.primary.clone());
    let request = probe_request(ctx, group);
    for endpoint in ctx.groups[group].endpoints.clone() {
        let state = &ctx.endpoints[endpoint];
        let due = ctx.now.since(state.last_probe_at) >= interval;
        if due && primary.as_ref() != Some(&state.name) {
            connection_flow::send_control_request(ctx, endpoint, request.clone());
        }
    }
}

fn probe_request(
    ctx: &core_context::CoreContext,
    group: arena_keys::GroupKey,
) -> endpoint_message::EndpointRequest {
    let waiters = ctx.groups[group].waiters.iter();
    let states: Vec<_> = waiters.filter_map(|waiter| ctx.statements.get(*waiter)).collect();
    if states.iter().any(|state| state.read) {
        return endpoint_message::EndpointRequest::Status;
    }
    let points = states.iter().filter_map(|state| match state.phase {
        statement_state::StatementPhase::Confirming { point, .. } => Some(point),
        _ => None,
    });
    match points.min() {
        Some(point) => endpoint_message::EndpointRequest::AwaitPoint {
            point,
            wait_ms: ctx.tuning.confirm_wait_ms,
        },
        None => endpoint_message::EndpointRequest::Status,
    }
}

fn schedule_probe(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let interval = core_tuning::CoreTuning::millis(ctx.tuning.confirm_gap_ms);
    let state = &mut ctx.groups[group];
    if state.waiters.is_empty() || state.confirm_timer_set {
        return;
    }
    state.confirm_timer_set = true;
    ctx.set_timer(interval, timer_queue::TimerKind::Confirmation(group));
}
