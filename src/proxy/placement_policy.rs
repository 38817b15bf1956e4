//! Chooses the endpoint that runs a request.
//!
//! Writes, transactions that may write and reads of primary routes go to the group's primary. Any
//! other read goes to the endpoint with the lowest estimated cost in milliseconds. The estimate
//! weighs the endpoint's recent latency, the requests that this host has in progress there, whether
//! a connection of the account is idle, the data centre, and that the primary also has work that no
//! other endpoint can do. Where serving hosts hold the connections, it weighs the wait for a lease
//! instead of the connections.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::endpoint_message;
use crate::core::request_verdict;
use crate::proxy::commit_points;
use crate::proxy::connection_flow;
use crate::proxy::pending_request;
use crate::proxy::proxy_context;
use crate::proxy::serving_hosts;

/// Subtracted from a route's maximum age to cover the time between placing a read and sending it,
/// in milliseconds.
const AGE_MARGIN_MS: u64 = 50;
/// Lower bound of an endpoint's latency in the estimate, in milliseconds.
const LATENCY_MIN_MS: f64 = 5.0;
/// Cost of opening a connection below the connection limit, in milliseconds. Later requests can use
/// it as well.
const OPEN_COST_MS: f64 = 6.0;
/// Cost of opening a connection in place of an idle one, in milliseconds.
const REPLACE_COST_MS: f64 = 20.0;
/// Cost of waiting for a busy connection, in milliseconds.
const WAIT_COST_MS: f64 = 40.0;
/// Cost of waiting until an endpoint at its connection limit accepts a connection, in milliseconds.
const LIMIT_COST_MS: f64 = 80.0;
/// Cost of using an endpoint in another data centre, in milliseconds. It is that of two average
/// reads, because the network between data centres is shared and expensive.
const DATA_CENTRE_COST_MS: f64 = 40.0;
/// Cost of using the primary for a read that a replica can serve, in milliseconds.
const PRIMARY_COST_MS: f64 = 15.0;
/// The same in a fleet with more hosts than witnesses. There, a host sends the primary too few
/// statements to know its load, and a replica in another data centre is the better choice.
const PRIMARY_COST_LARGE_MS: f64 = 45.0;
/// Cost of a replica whose last known log position is behind the required point, in milliseconds.
const LAGGING_COST_MS: f64 = 8.0;
/// Maximum random part of a cost, in milliseconds, so that hosts do not all choose the same
/// endpoint.
const JITTER_MS: f64 = 2.0;

/// Whether the request, or the transaction that it belongs to, must run on the primary.
pub fn needs_primary(ctx: &proxy_context::ProxyContext, request: arena_keys::StatementKey) -> bool {
    let state = &ctx.requests[request];
    let transaction = ctx.sessions[state.session].open_transaction();
    let reads = transaction.map_or(state.reads(), |transaction| transaction.read_only);
    !reads
        || state.route.kind.max_age().is_none()
        || own_commits(ctx, request) == commit_points::OwnCommits::Unknown
}

/// Returns what the request must see of the commits of its own session.
///
/// A group has the log of another one if endpoints moved between them, or if the other one is no longer
/// configured, as after a service was renamed.
fn own_commits(
    ctx: &proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
) -> commit_points::OwnCommits {
    let state = &ctx.requests[request];
    let commits = &ctx.sessions[state.session].commits;
    let configured =
        |name: &String| ctx.config.as_ref().is_some_and(|config| config.groups.contains_key(name));
    let moved = commits.groups().any(|other| {
        let same_log = ctx.groups[state.group].predecessors.contains(&other);
        other != state.group && (same_log || !configured(&ctx.groups[other].name))
    });
    match moved {
        true => commit_points::OwnCommits::Unknown,
        false => commits.in_group(state.group),
    }
}

/// Returns the log point that a replica must hold to serve the request's read; `None` if the route
/// reads from the primary only or no position is known that is recent enough.
pub fn required_read_point(
    ctx: &proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
) -> Option<endpoint_message::LogPoint> {
    let state = &ctx.requests[request];
    let group = &ctx.groups[state.group];
    let age = state.route.kind.max_age()?;
    let since = ctx.now.before(age.saturating_sub(Duration::from_millis(AGE_MARGIN_MS)));
    let point = group.samples.required(since)?;
    let point = match own_commits(ctx, request) {
        commit_points::OwnCommits::None => point,
        commit_points::OwnCommits::Until(own) => own.max(point),
        commit_points::OwnCommits::Unknown => return None,
    };
    if point.term < group.term() {
        // A failover may have discarded the end of the older term's log. The new primary's log
        // contains what is left of it.
        return group.samples.first_in_term(group.term());
    }
    Some(point)
}

/// Whether a request may still be sent to the endpoint that was chosen for it earlier.
pub fn still_eligible(
    ctx: &proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    endpoint: arena_keys::EndpointKey,
) -> bool {
    let is_primary = ctx.usable_primary(ctx.requests[request].group) == Some(endpoint);
    if is_primary || needs_primary(ctx, request) {
        return is_primary;
    }
    ctx.endpoints[endpoint].eligible() && required_read_point(ctx, request).is_some()
}

/// Chooses an endpoint for the request.
///
/// # Errors
///
/// `NoPrimary` or `NoEndpoint`, if no suitable endpoint can take the request now.
pub fn choose_endpoint(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
) -> Result<arena_keys::EndpointKey, request_verdict::VerdictCause> {
    let group = ctx.requests[request].group;
    let primary = ctx.usable_primary(group).filter(|endpoint| {
        let circuit_permits = ctx.endpoints[*endpoint].circuit_permits(ctx.now);
        circuit_permits && !ctx.requests[request].avoided.contains(endpoint)
    });
    if needs_primary(ctx, request) {
        return primary.ok_or(request_verdict::VerdictCause::NoPrimary);
    }
    let point = required_read_point(ctx, request);
    let members = ctx.groups[group].endpoints.clone();
    let leased = serving_hosts::needed(ctx, group);
    let mut best: Option<(f64, arena_keys::EndpointKey)> = None;
    for endpoint in members {
        let is_primary = primary == Some(endpoint);
        if !is_primary && !replica_eligible(ctx, request, endpoint, point) {
            continue;
        }
        let cost = cost(ctx, request, endpoint, is_primary, point, leased)
            + ctx.random_fraction() * JITTER_MS;
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, endpoint));
        }
    }
    best.map(|(_, endpoint)| endpoint).ok_or(request_verdict::VerdictCause::NoEndpoint)
}

fn replica_eligible(
    ctx: &proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    endpoint: arena_keys::EndpointKey,
    point: Option<endpoint_message::LogPoint>,
) -> bool {
    let view = &ctx.endpoints[endpoint];
    let Some(point) = point else { return false };
    view.accepts_reads(ctx.now)
        && !ctx.requests[request].avoided.contains(&endpoint)
        && (view.position >= point || ctx.now >= view.lagging_until)
}

fn cost(
    ctx: &proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    endpoint: arena_keys::EndpointKey,
    is_primary: bool,
    point: Option<endpoint_message::LogPoint>,
    leased: bool,
) -> f64 {
    let view = &ctx.endpoints[endpoint];
    let state: &pending_request::PendingRequest = &ctx.requests[request];
    let connections = view.connections.iter().map(|connection| &ctx.connections[*connection]);
    let busy = connections.clone().filter(|connection| connection.in_flight.is_some()).count()
        + view.queue.len();
    let slots = f64::from(view.entry.slots.max(1));
    let mut cost = view.latency_ms.max(LATENCY_MIN_MS) * (1.0 + busy as f64 / slots);
    let has_idle = || {
        let mut connections = connections.clone();
        connections.any(|connection| connection.idle() && connection.account == state.account)
    };
    if leased {
        cost += view.lease_wait.expected_ms(ctx.now);
    } else if !has_idle() {
        let below_limit = connection_flow::own_connections(ctx, endpoint).count()
            < connection_flow::connection_limit(ctx, view.group);
        let any_idle = connections.clone().any(|connection| connection.idle());
        cost += match (connection_flow::at_connection_limit(ctx, endpoint), below_limit, any_idle) {
            (true, _, _) if view.connections.is_empty() => LIMIT_COST_MS,
            (false, true, _) => OPEN_COST_MS,
            (false, false, true) => REPLACE_COST_MS,
            _ => WAIT_COST_MS,
        };
    }
    if view.entry.data_centre != ctx.identity.data_centre {
        cost += DATA_CENTRE_COST_MS;
    }
    if is_primary {
        cost += if ctx.all_witnesses() { PRIMARY_COST_MS } else { PRIMARY_COST_LARGE_MS };
    } else if point.is_some_and(|point| view.position < point) {
        cost += LAGGING_COST_MS;
    }
    cost
}
