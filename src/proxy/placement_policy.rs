//! Which endpoint a job goes to.
//!
//! Writes, transactions that may write and reads of primary routes go to the primary in force. Any
//! other read goes where it should be answered soonest: that weighs what the endpoint has taken
//! lately, what this host has under way there, whether a link of the account rests there, the data
//! centre, and that primaries have work which nobody else can do.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::endpoint_message;
use crate::core::request_verdict;
use crate::proxy::connection_flow;
use crate::proxy::pending_request;
use crate::proxy::proxy_context;

/// Taken off a route's age, for the time between placing a read and the sending of it, in
/// milliseconds.
const AGE_MARGIN_MS: u64 = 50;
/// Latency assumed at least, in milliseconds.
const LATENCY_LEAST_MS: f64 = 5.0;
/// Cost of opening a link in a free place, in milliseconds; later jobs have the use of it too.
const OPEN_COST_MS: f64 = 6.0;
/// Cost of opening a link in place of another at rest, in milliseconds.
const REPLACE_COST_MS: f64 = 20.0;
/// Cost of waiting for a busy link, in milliseconds.
const WAIT_COST_MS: f64 = 40.0;
/// Cost of waiting until an endpoint with too many links takes one, in milliseconds.
const FULL_COST_MS: f64 = 80.0;
/// Cost of leaving the data centre, in milliseconds: two mean reads, for links between data centres
/// are shared and dear.
const CENTRE_COST_MS: f64 = 40.0;
/// Cost of using a primary for what a replica can do, in milliseconds.
const PRIMARY_COST_MS: f64 = 15.0;
/// Cost of a replica that was last seen behind the point needed, in milliseconds.
const BEHIND_COST_MS: f64 = 8.0;
/// Spread of costs, so that hosts do not choose alike, in milliseconds.
const SPREAD_MS: f64 = 2.0;

/// Whether the job, or the transaction that it belongs to, can only run on a primary.
pub fn needs_primary(ctx: &proxy_context::ProxyContext, request: arena_keys::StatementKey) -> bool {
    let state = &ctx.requests[request];
    let transaction = ctx.sessions[state.session].open_transaction();
    let reads = transaction.map_or(state.reads(), |transaction| transaction.read_only);
    !reads || state.route.kind.max_age().is_none()
}

/// Returns the log point that an endpoint other than the primary must hold for the job, if it is
/// known.
pub fn read_point(
    ctx: &proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
) -> Option<endpoint_message::LogPoint> {
    let state = &ctx.requests[request];
    let group = &ctx.groups[state.group];
    let age = state.route.kind.max_age()?;
    let since = ctx.now.before(age.saturating_sub(Duration::from_millis(AGE_MARGIN_MS)));
    let point = group.samples.required(since)?;
    let session = &ctx.sessions[state.session];
    let mark = session.mark.filter(|(marked, _)| *marked == state.group).map(|(_, mark)| mark);
    let point = mark.map_or(point, |mark| mark.max(point));
    if point.term < group.term() {
        // Part of an older term's log may be gone; the new primary's log holds what is left of it.
        return group.samples.first_in_term(group.term());
    }
    Some(point)
}

/// Whether a job that was placed on an endpoint earlier may still be sent there.
pub fn still_eligible(
    ctx: &proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    endpoint: arena_keys::EndpointKey,
) -> bool {
    let leads = ctx.usable_primary(ctx.requests[request].group) == Some(endpoint);
    if leads || needs_primary(ctx, request) {
        return leads;
    }
    ctx.endpoints[endpoint].eligible() && read_point(ctx, request).is_some()
}

/// Chooses an endpoint for a job.
///
/// # Errors
///
/// The cause, when no endpoint can take the job now.
pub fn choose_endpoint(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
) -> Result<arena_keys::EndpointKey, request_verdict::VerdictCause> {
    let group = ctx.requests[request].group;
    let primary = ctx.usable_primary(group).filter(|endpoint| {
        let open = ctx.endpoints[*endpoint].open(ctx.now);
        open && !ctx.requests[request].avoided.contains(endpoint)
    });
    if needs_primary(ctx, request) {
        return primary.ok_or(request_verdict::VerdictCause::NoPrimary);
    }
    let point = read_point(ctx, request);
    let members = ctx.groups[group].endpoints.clone();
    let mut best: Option<(f64, arena_keys::EndpointKey)> = None;
    for endpoint in members {
        let leads = primary == Some(endpoint);
        if !leads && !replica_fits(ctx, request, endpoint, point) {
            continue;
        }
        let cost = cost(ctx, request, endpoint, leads, point) + ctx.random_fraction() * SPREAD_MS;
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, endpoint));
        }
    }
    best.map(|(_, endpoint)| endpoint).ok_or(request_verdict::VerdictCause::NoEndpoint)
}

fn replica_fits(
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
    leads: bool,
    point: Option<endpoint_message::LogPoint>,
) -> f64 {
    let view = &ctx.endpoints[endpoint];
    let state: &pending_request::PendingRequest = &ctx.requests[request];
    let connections = view.connections.iter().map(|connection| &ctx.connections[*connection]);
    let busy = connections.clone().filter(|connection| connection.in_flight.is_some()).count()
        + view.queue.len();
    let slots = f64::from(view.entry.slots.max(1));
    let mut cost = view.latency_ms.max(LATENCY_LEAST_MS) * (1.0 + busy as f64 / slots);
    let own = connections
        .clone()
        .any(|connection| connection.idle() && connection.account == state.account);
    if !own {
        let room = view.connections.len() < connection_flow::connection_limit(ctx, view.group);
        let resting = connections.clone().any(|connection| connection.idle());
        cost += match (connection_flow::at_connection_limit(ctx, endpoint), room, resting) {
            (true, _, _) if view.connections.is_empty() => FULL_COST_MS,
            (false, true, _) => OPEN_COST_MS,
            (false, false, true) => REPLACE_COST_MS,
            _ => WAIT_COST_MS,
        };
    }
    if view.entry.data_centre != ctx.identity.data_centre {
        cost += CENTRE_COST_MS;
    }
    if leads {
        cost += PRIMARY_COST_MS;
    } else if point.is_some_and(|point| view.position < point) {
        cost += BEHIND_COST_MS;
    }
    cost
}
