//! Selects the group and the endpoint for a statement, and the condition that the endpoint must
//! check before it runs the statement.

use xxhash_rust::xxh3;

use crate::core::arena_keys;
use crate::core::core_context;
use crate::core::core_tuning;
use crate::core::endpoint_message;
use crate::core::failover_flow;
use crate::core::request_verdict;
use crate::core::statement_state;

/// Endpoint for a statement and the condition that it must check first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteChoice {
    /// Endpoint to send the statement to.
    pub endpoint: arena_keys::EndpointKey,
    /// For reads that any up-to-date endpoint may serve, the log point that it must have reached.
    pub read_point: Option<endpoint_message::LogPoint>,
    /// For statements that need the primary, the term of which the endpoint must be the primary.
    pub write_term: Option<u64>,
}

/// Returns the group that the caller's settings select: the named group, the one that `route_key`
/// hashes to, or the service's only group.
///
/// # Errors
///
/// Names the setting that is missing or matches no group.
pub fn pick_group(
    ctx: &core_context::CoreContext,
    caller: arena_keys::CallerKey,
) -> Result<arena_keys::GroupKey, request_verdict::RequestVerdict> {
    let state = &ctx.callers[caller];
    let Some(service) = ctx.config.active.services.get(&state.service) else {
        return Err(invalid_setting(format!("service {} is unknown", state.service)));
    };
    let settings = &state.settings;
    let name = match (&settings.group, &settings.route_key, service.groups.as_slice()) {
        (Some(group), _, groups) if groups.contains(group) => group,
        (Some(group), _, _) => {
            return Err(invalid_setting(format!(
                "quetzaldeal.group: {group:?}: no group of the service"
            )));
        }
        (None, Some(key), groups) => {
            &groups[(xxh3::xxh3_64(key.as_bytes()) % groups.len() as u64) as usize]
        }
        (None, None, [only]) => only,
        (None, None, _) => {
            let detail = "set quetzaldeal.route_key or quetzaldeal.group first";
            return Err(invalid_setting(detail.to_owned()));
        }
    };
    let missing = || {
        request_verdict::RequestVerdict::not_run(request_verdict::VerdictCause::NoEndpoint, None)
    };
    ctx.group_names.get(name).copied().ok_or_else(missing)
}

/// Selects the endpoint for a statement that is outside of a transaction or begins one.
///
/// # Errors
///
/// Returns a verdict with a retry delay if no endpoint can take the statement.
pub fn choose(
    ctx: &core_context::CoreContext,
    statement: arena_keys::StatementKey,
) -> Result<RouteChoice, request_verdict::RequestVerdict> {
    let state = &ctx.statements[statement];
    if !state.read {
        return choose_primary(ctx, state, None);
    }
    let Some(point) = read_point(ctx, state) else {
        return choose_primary(ctx, state, None);
    };
    if !state.primary_only
        && ctx.tuning.replica_reads
        && let Some(endpoint) = best_replica(ctx, state, point)
    {
        return Ok(RouteChoice { endpoint, read_point: Some(point), write_term: None });
    }
    choose_primary(ctx, state, Some(point))
        .or_else(|verdict| lagging_replica(ctx, state, point).ok_or(verdict))
}

/// Returns the log point that an endpoint must have reached to serve a read: the session's point,
/// the point that satisfies `max_age_ms`, or the later of both. Returns `None` if only the primary
/// can serve it.
fn read_point(
    ctx: &core_context::CoreContext,
    state: &statement_state::StatementState,
) -> Option<endpoint_message::LogPoint> {
    let group = &ctx.groups[state.group];
    let session = ctx.callers[state.caller].session.point(&group.name);
    let aged = state.max_age_ms.and_then(|age| {
        let since = ctx.now.before(core_tuning::CoreTuning::millis(age));
        group.sample_since(since)
    });
    match (session, aged) {
        (Some(session), Some(aged)) if state.max_age_ms.is_some() => Some(session.max(aged)),
        // No sample is recent enough to satisfy `max_age_ms`, so the primary has to serve the read.
        (Some(_), None) if state.max_age_ms.is_some() => None,
        (Some(session), _) => Some(session),
        (None, aged) => aged,
    }
}

fn choose_primary(
    ctx: &core_context::CoreContext,
    state: &statement_state::StatementState,
    read_point: Option<endpoint_message::LogPoint>,
) -> Result<RouteChoice, request_verdict::RequestVerdict> {
    let retry = Some(core_tuning::FAILOVER_RETRY);
    let no_primary = || {
        request_verdict::RequestVerdict::not_run(request_verdict::VerdictCause::NoPrimary, retry)
    };
    let group = &ctx.groups[state.group];
    let record = group.serving().ok_or_else(no_primary)?;
    let endpoint = *ctx.endpoint_names.get(&record.primary).ok_or_else(no_primary)?;
    let session = ctx.callers[state.caller].session.point(&group.name);
    if session.is_some_and(|point| point.term > record.term) {
        return Err(no_primary());
    }
    if !ctx.endpoints[endpoint].circuit.closed() {
        return Err(no_primary());
    }
    if !ctx.endpoints[endpoint].in_service && failover_flow::leave_grace_over(ctx) {
        return Err(no_primary());
    }
    let write_term = if read_point.is_none() { Some(record.term) } else { None };
    Ok(RouteChoice { endpoint, read_point, write_term })
}

/// Returns the least loaded replica in service whose last known status has reached `point`.
fn best_replica(
    ctx: &core_context::CoreContext,
    state: &statement_state::StatementState,
    point: endpoint_message::LogPoint,
) -> Option<arena_keys::EndpointKey> {
    let caught_up = |endpoint: &arena_keys::EndpointKey| {
        let last_status = ctx.endpoints[*endpoint].last_status.as_ref();
        last_status.is_some_and(|last_status| last_status.status.reached(point))
    };
    replicas(ctx, state).filter(caught_up).min_by_key(|endpoint| load_order(ctx, *endpoint))
}

/// Returns the least loaded replica even if its last known status is before `point`. It is tried
/// when there is no primary, as it may have caught up since.
fn lagging_replica(
    ctx: &core_context::CoreContext,
    state: &statement_state::StatementState,
    point: endpoint_message::LogPoint,
) -> Option<RouteChoice> {
    let endpoint = replicas(ctx, state).min_by_key(|endpoint| load_order(ctx, *endpoint))?;
    if state.primary_only {
        return None;
    }
    Some(RouteChoice { endpoint, read_point: Some(point), write_term: None })
}

fn replicas<'a>(
    ctx: &'a core_context::CoreContext,
    state: &statement_state::StatementState,
) -> impl Iterator<Item = arena_keys::EndpointKey> + use<'a> {
    let group = &ctx.groups[state.group];
    let primary = group.record.as_ref().map(|record| record.primary.as_str());
    group.endpoints.iter().copied().filter(move |endpoint| {
        let endpoint = &ctx.endpoints[*endpoint];
        let replica = primary.is_some_and(|primary| primary != endpoint.name);
        replica && endpoint.in_service && endpoint.circuit.closed() && endpoint.connection_limit > 0
    })
}

/// Returns the sort key for load balancing: fewest waiting statements, then this host's own data
/// centre, then fewest connections.
fn load_order(
    ctx: &core_context::CoreContext,
    endpoint: arena_keys::EndpointKey,
) -> (usize, bool, usize) {
    let state = &ctx.endpoints[endpoint];
    let other_centre = state.data_centre != ctx.identity.data_centre;
    (state.queue.len(), other_centre, state.statement_connections.len())
}

fn invalid_setting(detail: String) -> request_verdict::RequestVerdict {
    request_verdict::RequestVerdict::not_run(
        request_verdict::VerdictCause::StatementInvalid { detail },
        None,
    )
}
