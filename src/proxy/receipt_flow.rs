//! Holds acknowledgements of commits back until replicas that count are known to hold them.
//!
//! Applies to groups with synchronous replicas while the group's record names logs that do not count:
//! the primary may have acknowledged a commit because such a replica received it, and a failover does
//! without that replica.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::core::arena_keys;
use crate::core::endpoint_message;
use crate::core::request_verdict;
use crate::proxy::connection_flow;
use crate::proxy::connection_state;
use crate::proxy::endpoint_command;
use crate::proxy::endpoint_view;
use crate::proxy::failover_flow;
use crate::proxy::held_acknowledgement;
use crate::proxy::pending_request;
use crate::proxy::proxy_context;
use crate::proxy::request_flow;
use crate::proxy::response_flow;

/// Least interval between requests for the receipts of a group's replicas.
const RECEIPT_INTERVAL: Duration = Duration::from_millis(20);

/// Passes the primary's acknowledgement of a commit on, or holds it back until enough replicas are
/// known to hold the commit, or the request's deadline has passed.
pub fn acknowledge(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    endpoint: arena_keys::EndpointKey,
    point: Option<endpoint_message::LogPoint>,
    rows: Vec<String>,
    signature: String,
) {
    let group = ctx.requests[request].group;
    if ctx.groups[group].uncounted().is_empty() || receipts_needed(ctx, group) == 0 {
        let verdict = request_verdict::RequestVerdict::ran();
        return request_flow::finish(ctx, request, rows, Some(signature), verdict);
    }
    // Without a position no replica can be shown to hold the commit.
    let Some(point) = point else {
        let cause = request_verdict::VerdictCause::ConnectionLost;
        let verdict = request_verdict::RequestVerdict::may_have_run(cause);
        return request_flow::finish(ctx, request, Vec::new(), None, verdict);
    };
    let held = held_acknowledgement::HeldAcknowledgement { endpoint, point, rows, signature };
    let state = &mut ctx.requests[request];
    state.acknowledgement = Some(held);
    state.phase = pending_request::RequestPhase::AwaitingReceipts;
    ctx.groups[group].receipts_awaited.push(request);
    settle(ctx, group);
    if !ctx.groups[group].receipts_awaited.is_empty() {
        request_receipts(ctx, group);
    }
}

/// Returns whether too few replicas that count respond to confirm a commit.
pub fn lacks_replicas(ctx: &proxy_context::ProxyContext, group: arena_keys::GroupKey) -> bool {
    if ctx.groups[group].uncounted().is_empty() {
        return false;
    }
    let members = ctx.groups[group].endpoints.iter().map(|endpoint| &ctx.endpoints[*endpoint]);
    let responsive = members.filter(|other| {
        other.deregistered_since.is_none()
            && other.unresponsive_since.is_none()
            && counts(ctx, group, other)
    });
    let addresses: BTreeSet<&String> = responsive.map(|other| &other.entry.address).collect();
    addresses.len() < receipts_needed(ctx, group)
}

/// Passes on the group's held acknowledgements that need not wait any longer, and ends requests whose
/// primary may have been replaced.
pub fn settle(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    for request in ctx.groups[group].receipts_awaited.clone() {
        let Some(state) = ctx.requests.get(request) else { continue };
        let Some(held) = &state.acknowledgement else { continue };
        if !response_flow::primary_unchanged(ctx, request, held.endpoint) {
            request_flow::abort(ctx, request);
        } else if is_received(ctx, group, held.point) {
            let Some(held) = ctx.requests[request].acknowledgement.take() else { continue };
            let verdict = request_verdict::RequestVerdict::ran();
            request_flow::finish(ctx, request, held.rows, Some(held.signature), verdict);
        }
    }
}

/// Finds out whether replicas respond again where too few of them do.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    let groups: Vec<arena_keys::GroupKey> = ctx.groups.keys().collect();
    for group in groups {
        if lacks_replicas(ctx, group) {
            request_receipts(ctx, group);
        }
    }
}

/// Requests the receipts that commits of the group still wait for.
pub fn on_timer(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    if !ctx.groups[group].receipts_awaited.is_empty() {
        request_receipts(ctx, group);
    }
}

/// Requests the positions of the replicas that count, unless that was done just before.
fn request_receipts(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    if ctx.now < ctx.groups[group].next_receipts {
        return;
    }
    let next = ctx.now.after(RECEIPT_INTERVAL);
    ctx.groups[group].next_receipts = next;
    ctx.timers.push(next, proxy_context::ProxyTimer::Receipts(group));
    let members = ctx.groups[group].endpoints.iter().copied();
    let replicas: Vec<arena_keys::EndpointKey> =
        members.filter(|endpoint| counts(ctx, group, &ctx.endpoints[*endpoint])).collect();
    for endpoint in replicas {
        let user = connection_state::ConnectionUser::Failover(group);
        let command = endpoint_command::EndpointCommand::Status;
        // An older status that is taken for the new one shows a lower position.
        connection_flow::send_command(ctx, endpoint, user, command, false);
    }
}

/// Returns whether enough replicas that count are known to hold `point`.
fn is_received(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    point: endpoint_message::LogPoint,
) -> bool {
    if ctx.groups[group].uncounted().is_empty() {
        return true;
    }
    let members = ctx.groups[group].endpoints.iter().map(|endpoint| &ctx.endpoints[*endpoint]);
    // A log that ends in the same term is of the same branch.
    let holds = |other: &&endpoint_view::EndpointView| {
        let reported = other.report.map(|(_, report)| report.position);
        let mut known = [Some(other.position), reported].into_iter().flatten();
        known.any(|known| known.term == point.term && known >= point)
    };
    let holders = members.filter(|other| counts(ctx, group, other)).filter(holds);
    let addresses: BTreeSet<&String> = holders.map(|other| &other.entry.address).collect();
    addresses.len() >= receipts_needed(ctx, group)
}

/// Returns whether a failover counts the log of a replica.
fn counts(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    other: &endpoint_view::EndpointView,
) -> bool {
    let view = &ctx.groups[group];
    let primary = view.record.as_ref().map(|record| &record.primary);
    let recorded = &view.holders.stored;
    recorded.as_ref().is_some_and(|record| record.holders.contains_key(&other.entry.address))
        && !view.uncounted().contains(&other.entry.address)
        && primary != Some(&other.entry.id)
}

/// Returns how many replicas must have received a commit of the group.
fn receipts_needed(ctx: &proxy_context::ProxyContext, group: arena_keys::GroupKey) -> usize {
    failover_flow::sync_replicas(ctx, group).unwrap_or(0)
}
