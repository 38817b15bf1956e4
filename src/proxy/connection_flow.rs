//! Connections to endpoints: opens, assigns and closes them, restores session state on them, and
//! probes primaries.
//!
//! A connection names its account in the start-up message, so it serves one account only. Where the
//! connection limit is reached, an idle connection of one account is closed to open one for
//! another. Where serving hosts hold the connections, one is leased for each request instead.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::chart_cursor;
use crate::core::request_verdict;
use crate::proxy::connection_state;
use crate::proxy::endpoint_command;
use crate::proxy::failover_flow;
use crate::proxy::pending_request;
use crate::proxy::placement_policy;
use crate::proxy::pool_client;
use crate::proxy::pool_server;
use crate::proxy::position_history;
use crate::proxy::proxy_context;
use crate::proxy::proxy_message;
use crate::proxy::request_flow;
use crate::proxy::response_flow;
use crate::proxy::response_match;
use crate::proxy::serving_hosts;
use crate::proxy::usage_flow;

/// Prepared statements kept on one connection; more are dropped together with the session settings.
const PREPARED_MAX: usize = 256;
/// Time after which an idle connection is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(40);
/// Time after which an idle connection is closed where there are more hosts than connections: an
/// endpoint runs about 100 statements a second for all hosts together, and accepts about 40
/// connections.
const IDLE_TIMEOUT_SCARCE: Duration = Duration::from_millis(200);
/// Connections of one host to an endpoint that accepts fewer connections than there are hosts: one
/// that runs a request and one that is being opened.
const CONNECTIONS_MIN: usize = 2;
/// Numerator of the fraction of an endpoint's connections that the hosts share. The rest is left
/// for hosts that restart while the endpoint still holds the connections of their previous process.
const SHARED_NUMERATOR: usize = 2;
/// Denominator of the fraction of an endpoint's connections that the hosts share.
const SHARED_DENOMINATOR: usize = 3;
/// Time after which endpoints have closed the connections of hosts that ended without closing them.
const STALE_CONNECTION_TIMEOUT: Duration = Duration::from_millis(3_300);
/// Pause before the next connection to an endpoint that refused one at its connection limit. It is
/// the time of a few statements.
pub const CONNECTION_LIMIT_BACKOFF: Duration = Duration::from_millis(80);
/// Time without a reply of a serving host after which commands without a response on its
/// connections say nothing about the endpoint. Pings are sent more often.
const SERVING_HOST_HEARD: Duration = Duration::from_millis(400);
/// Age of the group's newest position sample from which a probe must give a new one.
const SAMPLE_AGE_MAX: Duration = Duration::from_millis(700);
/// Time by which it may be older for each witness ahead of this host, in which a sample reaches it.
const SAMPLE_AGE_STEP: Duration = Duration::from_millis(300);
/// Most such steps.
const SAMPLE_AGE_STEPS_MAX: u32 = 2;
/// Weight of a new measurement in the moving average of an endpoint's latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// Runs a request on an idle connection to the endpoint, or queues it until one is available.
///
/// # Errors
///
/// `QueueFull`, if the endpoint's queue is at its limit.
pub fn acquire(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    request: arena_keys::StatementKey,
) -> Result<(), request_verdict::VerdictCause> {
    pool_client::withdraw(ctx, request);
    if let Some(connection) = choose_idle(ctx, endpoint, request) {
        dispatch(ctx, connection, request);
        return Ok(());
    }
    if ctx.endpoints[endpoint].queue.len() >= ctx.tuning.queue_limit {
        return Err(request_verdict::VerdictCause::QueueFull);
    }
    let state = &mut ctx.requests[request];
    let wait = ctx.tuning.queue_wait.min(state.route.target_latency);
    let until = ctx.now.after(wait).min(state.deadline);
    state.phase = pending_request::RequestPhase::Queued { endpoint, until };
    ctx.timers.push(until, proxy_context::ProxyTimer::Request(request));
    ctx.endpoints[endpoint].queue.push(request);
    open_for_queue(ctx, endpoint);
    Ok(())
}

/// Returns the number of connections that this host may hold to one endpoint of the group.
///
/// An unreachable host may still hold its connections, so it counts for as long as its share is
/// reserved. After a restart of most hosts, the limit is one until the endpoints have dropped the
/// connections of the previous processes.
pub fn connection_limit(ctx: &proxy_context::ProxyContext, group: arena_keys::GroupKey) -> usize {
    if ctx.now.since(ctx.started) < STALE_CONNECTION_TIMEOUT && ctx.started_together() {
        return 1;
    }
    match connections_shared(ctx, group) / ctx.allocation.hosts.len().max(1) {
        0 => CONNECTIONS_MIN,
        share => share,
    }
}

/// Returns the number of connections to one endpoint of the group that all hosts share.
pub fn connections_shared(ctx: &proxy_context::ProxyContext, group: arena_keys::GroupKey) -> usize {
    let name = &ctx.groups[group].name;
    let object = ctx.config.as_ref().and_then(|config| config.groups.get(name));
    let accepted = object.map_or(1, |object| object.max_connections) as usize;
    accepted * SHARED_NUMERATOR / SHARED_DENOMINATOR
}

/// Returns the connections to the endpoint that this host holds itself.
pub fn own_connections(
    ctx: &proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
) -> impl Iterator<Item = arena_keys::ConnectionKey> {
    let connections = ctx.endpoints[endpoint].connections.iter().copied();
    connections.filter(|connection| !ctx.connections[*connection].leased())
}

/// Returns the time after which an idle connection is closed. It is short where there are more
/// hosts than connections, so that other hosts can use the endpoint.
fn idle_timeout(ctx: &proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) -> Duration {
    let scarce =
        connections_shared(ctx, ctx.endpoints[endpoint].group) < ctx.allocation.hosts.len();
    // A witness keeps one connection to the endpoint for probes.
    let probe_connection = ctx.is_witness() && own_connections(ctx, endpoint).count() == 1;
    if scarce && !probe_connection { IDLE_TIMEOUT_SCARCE } else { IDLE_TIMEOUT }
}

/// Whether the endpoint recently refused a connection at its connection limit, so that none is
/// opened for now.
pub fn at_connection_limit(
    ctx: &proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
) -> bool {
    ctx.now < ctx.endpoints[endpoint].connection_limit_until
}

/// Starts a request on an idle or pinned connection. The commands that restore its session there
/// are sent ahead of its statement.
///
/// If the endpoint has become unsuitable while the request waited, the request is moved to another
/// one. Returns whether the connection is in use.
pub fn dispatch(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    request: arena_keys::StatementKey,
) -> bool {
    let endpoint = ctx.connections[connection].endpoint;
    if ctx.connections[connection].pinned.is_none()
        && !placement_policy::still_eligible(ctx, request, endpoint)
    {
        let cause = request_verdict::VerdictCause::NoEndpoint;
        request_flow::retry_elsewhere(ctx, request, endpoint, cause);
        return false;
    }
    pool_client::withdraw(ctx, request);
    let commands = plan_commands(ctx, connection, request);
    let group = ctx.endpoints[endpoint].group;
    let primary = ctx.usable_primary(group) == Some(endpoint);
    let epoch = ctx.groups[group].epoch();
    let state = &mut ctx.requests[request];
    state.attempts += 1;
    state.primary_epoch = primary.then_some(epoch);
    state.phase = pending_request::RequestPhase::Running { connection, sent: false };
    let view = &mut ctx.connections[connection];
    view.user = Some(connection_state::ConnectionUser::Request(request));
    view.pending_commands = commands.into();
    send_next(ctx, connection);
    true
}

/// Handles the endpoint's response to the start-up message of a new connection.
pub fn on_opened(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    response: endpoint_command::EndpointResponse,
) {
    if !ctx.connections.contains_key(connection) {
        return;
    }
    if ctx.connections[connection].pooled() {
        return pool_server::on_opened(ctx, connection, response);
    }
    let endpoint = ctx.connections[connection].endpoint;
    if let Err(fault) = &response.outcome {
        let id = ctx.endpoints[endpoint].entry.id.clone();
        let line = format!("event=connection_rejected endpoint={id} fault={fault:?}");
        ctx.log_limited(|| line);
        if matches!(fault, endpoint_command::EndpointFault::TooManyConnections) {
            let backoff = ctx.with_jitter(CONNECTION_LIMIT_BACKOFF);
            let until = ctx.now.after(backoff);
            ctx.endpoints[endpoint].connection_limit_until = until;
            ctx.timers.push(until, proxy_context::ProxyTimer::Endpoint(endpoint));
            close(ctx, connection, "failed");
            if serving_hosts::needed(ctx, ctx.endpoints[endpoint].group) {
                return;
            }
            return reroute_reads(ctx, endpoint);
        }
        record_failure(ctx, endpoint);
        close(ctx, connection, "failed");
        return reroute_queue(ctx, endpoint);
    }
    record_position(ctx, connection, &response);
    ctx.endpoints[endpoint].record_response(ctx.now);
    let view = &mut ctx.connections[connection];
    view.cursor.fire("opened");
    match view.user {
        Some(_) => send_next(ctx, connection),
        None => set_idle(ctx, connection),
    }
}

/// Handles the response to the command in flight on a connection.
pub fn on_response(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    response: endpoint_command::EndpointResponse,
) {
    if !ctx.connections.contains_key(connection) {
        return;
    }
    let outcome = match_response(ctx, connection, &response);
    let view = &mut ctx.connections[connection];
    let in_use = view.in_flight.is_some() || view.user.is_some() || view.pinned.is_some();
    match outcome {
        response_match::ResponseMatch::Proven | response_match::ResponseMatch::Plausible => {}
        // The response to the command in flight is yet to come, and can be told from this one.
        response_match::ResponseMatch::Repeated if in_use => return,
        response_match::ResponseMatch::Repeated | response_match::ResponseMatch::Unmatched => {
            return on_order_lost(ctx, connection);
        }
    }
    let Some(command) = view.in_flight.take() else { return on_order_lost(ctx, connection) };
    if view.pooled() {
        return pool_server::on_response(ctx, connection, &command, response);
    }
    let endpoint = view.endpoint;
    if outcome == response_match::ResponseMatch::Proven {
        record_position(ctx, connection, &response);
    }
    let (now, sent) = (ctx.now, ctx.connections[connection].sent);
    ctx.endpoints[endpoint].record_response(now);
    if let Some(report) = response.report {
        ctx.endpoints[endpoint].report = Some((sent, report));
    }
    if response.outcome.is_ok() {
        record_session_state(ctx, connection, &command);
    }
    let Some(user) = ctx.connections[connection].user else { return set_idle(ctx, connection) };
    match user {
        connection_state::ConnectionUser::Request(request) => {
            on_request_response(ctx, connection, request, command, response)
        }
        connection_state::ConnectionUser::Failover(group) => {
            release(ctx, connection);
            failover_flow::on_status(ctx, group);
        }
        connection_state::ConnectionUser::Reset | connection_state::ConnectionUser::Probe => {
            if response.phase != endpoint_command::SessionPhase::Idle {
                return close(ctx, connection, "discarded");
            }
            send_next_or_release(ctx, connection);
        }
        // Only pooled connections are leased.
        connection_state::ConnectionUser::Lease(_) => {}
    }
}

/// Matches a response with the command in flight on the connection, and records one that does not
/// belong to it. Responses on leased connections are matched by their serving host.
fn match_response(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    response: &endpoint_command::EndpointResponse,
) -> response_match::ResponseMatch {
    let now = ctx.now;
    let view = &mut ctx.connections[connection];
    if view.leased() {
        return view.order.accept_matched(response);
    }
    let outcome = view.order.check(view.in_flight.as_ref(), response);
    if matches!(
        outcome,
        response_match::ResponseMatch::Proven | response_match::ResponseMatch::Plausible
    ) {
        return outcome;
    }
    let age_ms = now.since(view.sent).as_millis();
    let command = view.in_flight.as_ref().map_or("none", endpoint_command::EndpointCommand::name);
    let (state, endpoint) = (view.cursor.state().to_owned(), view.endpoint);
    let id = ctx.endpoints[endpoint].entry.id.clone();
    let (name, received, rows) = (outcome.name(), response.outcome.clone(), response.rows.len());
    *ctx.counts.responses_out_of_order.entry(name).or_default() += 1;
    ctx.log_limited(|| {
        format!(
            "event=response_out_of_order endpoint={id} connection={connection:?} state={state} command={command} \
             age_ms={age_ms} match={name} received={received:?} rows={rows}"
        )
    });
    outcome
}

/// Closes a connection on which it is in doubt which response belongs to which command. The endpoint
/// did respond, so nothing is recorded against it.
pub fn on_order_lost(ctx: &mut proxy_context::ProxyContext, connection: arena_keys::ConnectionKey) {
    let view = &ctx.connections[connection];
    if view.pooled() {
        return pool_server::on_order_lost(ctx, connection);
    }
    let (user, pinned) = (view.user, view.pinned);
    close(ctx, connection, "failed");
    if let Some(connection_state::ConnectionUser::Request(request)) = user {
        request_flow::on_order_lost(ctx, request);
    } else if let Some(session) = pinned {
        request_flow::fail_transaction(ctx, session, "response_order_lost");
    }
}

/// Handles the end of a connection, or its failure to open. `refused` is set if the endpoint's
/// address refused the connection.
pub fn on_closed(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    refused: bool,
) {
    let Some(view) = ctx.connections.get(connection) else { return };
    if view.pooled() {
        return pool_server::on_closed(ctx, connection, refused);
    }
    let (endpoint, opening) = (view.endpoint, view.opening());
    let busy = view.in_flight.is_some();
    let user = view.user;
    let pinned = view.pinned;
    close(ctx, connection, "failed");
    let now = ctx.now;
    if refused {
        ctx.endpoints[endpoint].connections_refused_since.get_or_insert(now);
    }
    if opening || busy {
        record_failure(ctx, endpoint);
    }
    if let Some(connection_state::ConnectionUser::Request(request)) = user {
        request_flow::on_connection_lost(ctx, request);
    } else if let Some(session) = pinned {
        request_flow::fail_transaction(ctx, session, "connection_lost");
    }
    if opening {
        reroute_queue(ctx, endpoint);
    }
}

/// Makes a connection idle again after its use.
pub fn release(ctx: &mut proxy_context::ProxyContext, connection: arena_keys::ConnectionKey) {
    let Some(view) = ctx.connections.get_mut(connection) else { return };
    view.cursor.fire("response_received");
    view.pinned = None;
    view.pending_commands.clear();
    set_idle(ctx, connection);
}

/// Reserves a connection for the session's transaction.
pub fn pin(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    session: arena_keys::CallerKey,
) {
    let Some(view) = ctx.connections.get_mut(connection) else { return };
    view.cursor.fire("transaction_begun");
    view.user = None;
    view.pinned = Some(session);
    view.idle_since = ctx.now;
}

/// Rolls back the transaction on a connection and makes the connection idle. Closes it instead if a
/// command is in flight.
pub fn roll_back(ctx: &mut proxy_context::ProxyContext, connection: arena_keys::ConnectionKey) {
    let Some(view) = ctx.connections.get_mut(connection) else { return };
    // The serving host rolls back when the lease is released.
    if view.in_flight.is_some() || view.leased() || view.order.retired() {
        return close(ctx, connection, "discarded");
    }
    view.pinned = None;
    view.user = Some(connection_state::ConnectionUser::Reset);
    view.pending_commands = [endpoint_command::EndpointCommand::Rollback].into();
    send_next(ctx, connection);
}

/// Closes a connection, or releases its lease; late responses on it are ignored. `event` is the
/// event of its chart.
pub fn close(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    event: &str,
) {
    if let Some(endpoint) = remove(ctx, connection, event) {
        open_for_queue(ctx, endpoint);
    }
}

/// Does the same as [`close`], but opens no connection for queued requests. Returns the endpoint of
/// the connection.
pub fn remove(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    event: &str,
) -> Option<arena_keys::EndpointKey> {
    let mut view = ctx.connections.remove(connection)?;
    let granted = !view.opening();
    view.cursor.fire(event);
    ctx.endpoints[view.endpoint].connections.retain(|open| *open != connection);
    match view.lease {
        Some(lease) => pool_client::release(ctx, connection, view.endpoint, lease, granted),
        None => ctx.actions.push(proxy_message::ProxyAction::CloseConnection { connection }),
    }
    Some(view.endpoint)
}

/// Sends a command for a failover or a probe on an idle connection, or on a new one. Prefers one on
/// which the response can be told from earlier ones, and uses no other if `proof` is set. Does
/// nothing while the same user's command is in flight or a connection of this host itself is being
/// opened.
pub fn send_command(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    user: connection_state::ConnectionUser,
    command: endpoint_command::EndpointCommand,
    proof: bool,
) {
    let in_progress = own_connections(ctx, endpoint).any(|connection| {
        let view = &ctx.connections[connection];
        view.user == Some(user) || (view.account.is_none() && view.opening())
    });
    if in_progress {
        return;
    }
    let idle: Vec<arena_keys::ConnectionKey> = own_connections(ctx, endpoint)
        .filter(|connection| ctx.connections[*connection].idle())
        .collect();
    let proving = |connection: &arena_keys::ConnectionKey| {
        ctx.connections[*connection].order.can_prove(&command)
    };
    let first = idle.iter().copied().find(proving);
    let first = first.or_else(|| idle.first().copied().filter(|_| !proof));
    if let Some(connection) = first {
        let view = &mut ctx.connections[connection];
        view.user = Some(user);
        view.pending_commands = [command].into();
        return send_next(ctx, connection);
    }
    if ctx.endpoints[endpoint].circuit.may_probe(ctx.now) && !at_connection_limit(ctx, endpoint) {
        let used = idle.into_iter().find(|other| ctx.connections[*other].account.is_none());
        match used {
            Some(used) => drop(remove(ctx, used, "discarded")),
            None => drop(make_room(ctx, endpoint)),
        }
        let connection = open(ctx, endpoint, None);
        ctx.counts.connections_opened_for_commands += 1;
        let view = &mut ctx.connections[connection];
        view.user = Some(user);
        view.pending_commands = [command].into();
    }
}

/// Runs the periodic checks: marks endpoints that do not respond, and closes connections that do
/// not open, do not respond to this host's own commands or have been idle for long.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    let keys: Vec<arena_keys::ConnectionKey> = ctx.connections.keys().collect();
    for connection in keys {
        let Some(view) = ctx.connections.get(connection) else { continue };
        if view.pooled() {
            continue;
        }
        let elapsed = ctx.now.since(view.sent);
        let endpoint = view.endpoint;
        if view.opening() {
            // The wait for a lease says nothing about the endpoint.
            if !view.leased() && elapsed >= ctx.tuning.connect_timeout {
                on_closed(ctx, connection, false);
            }
            continue;
        }
        let unresponsive = view.in_flight.is_some() && elapsed >= ctx.tuning.unresponsive_after;
        let responded = ctx.endpoints[endpoint].last_response_at > view.sent;
        let reached = view
            .lease
            .is_none_or(|lease| pool_client::is_heard(ctx, lease.link, SERVING_HOST_HEARD));
        if unresponsive && !responded && reached {
            let now = ctx.now;
            ctx.endpoints[endpoint].unresponsive_since.get_or_insert(now);
        }
        if let Some(lease) = view.lease {
            if unresponsive && reached {
                pool_client::on_unresponsive(ctx, endpoint, lease.link);
            }
            continue;
        }
        let internal = matches!(
            view.user,
            Some(
                connection_state::ConnectionUser::Probe
                    | connection_state::ConnectionUser::Reset
                    | connection_state::ConnectionUser::Failover(_)
            )
        );
        if unresponsive && internal {
            on_closed(ctx, connection, false);
        } else if view.idle() && ctx.now.since(view.idle_since) >= idle_timeout(ctx, endpoint) {
            close(ctx, connection, "discarded");
        }
    }
}

/// Probes primaries that have not responded for a while, which shows whether they run and how far
/// their logs have grown. Witnesses do so for all hosts.
pub fn probe_primaries(ctx: &mut proxy_context::ProxyContext) {
    // The coordinator needs an observation of its own to begin a failover.
    if !ctx.is_witness() && ctx.fencing_token().is_none() {
        return;
    }
    let groups: Vec<arena_keys::GroupKey> = ctx.groups.keys().collect();
    for group in groups {
        let Some(endpoint) = ctx.usable_primary(group) else { continue };
        if ctx.now.since(ctx.endpoints[endpoint].last_response_at) < ctx.tuning.probe_after {
            continue;
        }
        // The first witness gives the new sample, and the others while it does not.
        let rank = ctx.witnesses.hosts.iter().position(|host| *host == ctx.identity.host);
        let rank = u32::try_from(rank.unwrap_or_default()).unwrap_or(u32::MAX);
        let age_max = SAMPLE_AGE_MAX + SAMPLE_AGE_STEP * rank.min(SAMPLE_AGE_STEPS_MAX);
        let sample = ctx.groups[group].samples.last();
        let proof = sample.is_none_or(|last| ctx.now.since(last.requested_at) >= age_max);
        let probe = endpoint_command::EndpointCommand::Discard;
        send_command(ctx, endpoint, connection_state::ConnectionUser::Probe, probe, proof);
    }
}

/// Records a failure of the endpoint in its circuit breaker and marks it unresponsive.
pub fn record_failure(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
    let (now, random_fraction) = (ctx.now, ctx.random_fraction());
    let view = &mut ctx.endpoints[endpoint];
    view.circuit.fail(now, random_fraction);
    view.unresponsive_since.get_or_insert(now);
}

/// Moves queued reads from an endpoint at its connection limit to other endpoints. Requests that
/// only this endpoint can run stay queued until a connection may be opened again or they time out.
fn reroute_reads(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
    for request in ctx.endpoints[endpoint].queue.clone() {
        if placement_policy::needs_primary(ctx, request) {
            continue;
        }
        ctx.requests[request].avoided.push(endpoint);
        match placement_policy::choose_endpoint(ctx, request) {
            Ok(other) => {
                ctx.endpoints[endpoint].queue.retain(|waiting| *waiting != request);
                if let Err(cause) = acquire(ctx, other, request) {
                    request_flow::refuse(ctx, request, cause);
                }
            }
            Err(_) => drop(ctx.requests[request].avoided.pop()),
        }
    }
}

fn reroute_queue(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
    let any_open = ctx.endpoints[endpoint]
        .connections
        .iter()
        .any(|connection| !ctx.connections[*connection].opening());
    if any_open {
        return;
    }
    for request in std::mem::take(&mut ctx.endpoints[endpoint].queue) {
        pool_client::withdraw(ctx, request);
        request_flow::retry_elsewhere(
            ctx,
            request,
            endpoint,
            request_verdict::VerdictCause::NoEndpoint,
        );
    }
}

fn on_request_response(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    request: arena_keys::StatementKey,
    command: endpoint_command::EndpointCommand,
    response: endpoint_command::EndpointResponse,
) {
    if command.is_from_caller() {
        let elapsed = ctx.now.since(ctx.connections[connection].sent).as_secs_f64() * 1_000.0;
        let view = &mut ctx.endpoints[ctx.connections[connection].endpoint];
        view.latency_ms += (elapsed - view.latency_ms) * LATENCY_WEIGHT;
        if response.outcome.as_ref().is_err_and(endpoint_command::EndpointFault::is_not_run) {
            let sent = ctx.connections[connection].sent;
            usage_flow::count_not_run(ctx, request, sent);
        }
        return response_flow::on_statement_response(ctx, request, connection, response);
    }
    match response.outcome {
        Ok(_) => send_next(ctx, connection),
        Err(fault) => request_flow::on_setup_fault(ctx, request, connection, fault),
    }
}

/// Sends the connection's next pending command, or makes the connection idle if there is none.
fn send_next_or_release(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
) {
    if ctx.connections[connection].pending_commands.is_empty() {
        return release(ctx, connection);
    }
    send_next(ctx, connection);
}

fn send_next(ctx: &mut proxy_context::ProxyContext, connection: arena_keys::ConnectionKey) {
    let now = ctx.now;
    let Some(view) = ctx.connections.get_mut(connection) else { return };
    let Some(command) = view.pending_commands.pop_front() else { return };
    view.cursor.fire("call_sent");
    view.sent = now;
    view.in_flight = Some(command.clone());
    if let (true, Some(connection_state::ConnectionUser::Request(request))) =
        (command.is_from_caller(), view.user)
    {
        ctx.requests[request].phase =
            pending_request::RequestPhase::Running { connection, sent: true };
        usage_flow::count_sent(ctx, request);
    }
    match ctx.connections[connection].lease {
        Some(lease) => pool_client::send_command(ctx, connection, lease.link, command),
        None => {
            ctx.actions.push(proxy_message::ProxyAction::SendCommand { connection, command });
        }
    }
}

/// Makes a connection idle and starts a queued request on it. Closes it if this host holds more
/// connections than it may, or if it is leased and no queued request can use it.
pub fn set_idle(ctx: &mut proxy_context::ProxyContext, connection: arena_keys::ConnectionKey) {
    let now = ctx.now;
    let Some(view) = ctx.connections.get_mut(connection) else { return };
    view.user = None;
    view.in_flight = None;
    view.idle_since = now;
    let (endpoint, account, leased) = (view.endpoint, view.account, view.leased());
    let retired = view.order.retired();
    let group = ctx.endpoints[endpoint].group;
    let above_limit =
        !leased && own_connections(ctx, endpoint).count() > connection_limit(ctx, group);
    if retired || above_limit {
        return close(ctx, connection, "discarded");
    }
    while let Some(request) = dequeue(ctx, connection, endpoint, account) {
        if dispatch(ctx, connection, request) || !ctx.connections.contains_key(connection) {
            return;
        }
    }
    if leased {
        return close(ctx, connection, "discarded");
    }
    open_for_queue(ctx, endpoint);
}

/// Whether the connection can serve the request: if it begins a transaction, the response to BEGIN
/// must be told from earlier ones. Serving hosts see to that on their own connections.
fn can_serve(
    ctx: &proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    request: arena_keys::StatementKey,
) -> bool {
    let view = &ctx.connections[connection];
    let begins = ctx.sessions[ctx.requests[request].session]
        .open_transaction()
        .is_some_and(|transaction| transaction.connection.is_none());
    !begins || view.leased() || view.order.can_begin(ctx.endpoints[view.endpoint].position)
}

/// Removes the most urgent request of the account that the connection can serve from the endpoint's
/// queue and returns it.
fn dequeue(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    endpoint: arena_keys::EndpointKey,
    account: Option<arena_keys::AccountKey>,
) -> Option<arena_keys::StatementKey> {
    let queue = &ctx.endpoints[endpoint].queue;
    let matching = (0..queue.len())
        .filter(|position| ctx.requests[queue[*position]].account == account)
        .filter(|position| can_serve(ctx, connection, queue[*position]))
        .min_by_key(|position| (ctx.requests[queue[*position]].route.priority, *position))?;
    Some(ctx.endpoints[endpoint].queue.remove(matching))
}

/// Asks for a lease for each queued request where serving hosts hold the connections. Otherwise
/// opens connections for queued requests whose account has none opening, and closes idle
/// connections where the limit is reached.
pub fn open_for_queue(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
    let Some(view) = ctx.endpoints.get(endpoint) else { return };
    let group = view.group;
    if view.queue.is_empty() {
        return;
    }
    if serving_hosts::needed(ctx, group) && pool_client::lease_for_queue(ctx, endpoint) {
        return;
    }
    if at_connection_limit(ctx, endpoint) {
        return;
    }
    let queue = ctx.endpoints[endpoint].queue.clone();
    let mut covered: Vec<Option<arena_keys::AccountKey>> = Vec::new();
    for connection in own_connections(ctx, endpoint) {
        let view = &ctx.connections[connection];
        if view.opening() {
            covered.push(view.account);
        }
    }
    let limit = connection_limit(ctx, group);
    for request in queue {
        if ctx.requests[request].lease.is_some() {
            continue;
        }
        let account = ctx.requests[request].account;
        if let Some(position) = covered.iter().position(|other| *other == account) {
            covered.swap_remove(position);
            continue;
        }
        let full = own_connections(ctx, endpoint).count() >= limit;
        if full && !make_room(ctx, endpoint) {
            return;
        }
        open(ctx, endpoint, account);
    }
}

/// Closes the connection that has been idle for longest if this host's connections to the endpoint
/// are used up. Returns whether one more may be opened.
fn make_room(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) -> bool {
    let limit = connection_limit(ctx, ctx.endpoints[endpoint].group);
    if own_connections(ctx, endpoint).count() < limit {
        return true;
    }
    let idle =
        own_connections(ctx, endpoint).filter(|connection| ctx.connections[*connection].idle());
    let Some(connection) = idle.min_by_key(|connection| ctx.connections[*connection].idle_since)
    else {
        return false;
    };
    remove(ctx, connection, "discarded").is_some()
}

fn open(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    account: Option<arena_keys::AccountKey>,
) -> arena_keys::ConnectionKey {
    let cursor = chart_cursor::ChartCursor::new(ctx.connection_chart.clone());
    let view = connection_state::ConnectionState::new(endpoint, account, cursor, ctx.now);
    let connection = ctx.connections.insert(view);
    ctx.counts.connections_opened += 1;
    let name = account.map(|account| ctx.accounts[account].name.clone()).unwrap_or_default();
    let view = &mut ctx.endpoints[endpoint];
    view.connections.push(connection);
    let action = proxy_message::ProxyAction::OpenConnection {
        connection,
        address: view.entry.address.clone(),
        group: view.entry.group.clone(),
        account: name,
        endpoint: view.entry.id.clone(),
        limit: ctx.tuning.connect_timeout,
    };
    ctx.actions.push(action);
    connection
}

/// Returns the idle connection of the request's account that fits best: one with the session's
/// settings first, then the one used last.
fn choose_idle(
    ctx: &proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    request: arena_keys::StatementKey,
) -> Option<arena_keys::ConnectionKey> {
    let state = &ctx.requests[request];
    let session = &ctx.sessions[state.session];
    let connections = ctx.endpoints[endpoint].connections.iter().copied();
    let matching = connections.filter(|connection| {
        let view = &ctx.connections[*connection];
        view.idle() && view.account == state.account && can_serve(ctx, *connection, request)
    });
    matching.min_by_key(|connection| {
        let view = &ctx.connections[*connection];
        (view.values != session.values, std::cmp::Reverse(view.idle_since))
    })
}

/// Returns the commands that restore the session's state on the connection, followed by the
/// request's own command.
fn plan_commands(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    request: arena_keys::StatementKey,
) -> Vec<endpoint_command::EndpointCommand> {
    let mut commands = Vec::new();
    let state = &ctx.requests[request];
    let session = &ctx.sessions[state.session];
    let view = &ctx.connections[connection];
    let statement = match &state.kind {
        pending_request::RequestKind::Statement { prepared: Some(name), .. } => {
            session.prepared.get(name)
        }
        _ => None,
    };
    let stale_settings = view.values.keys().any(|name| !session.values.contains_key(name));
    let pinned = view.pinned.is_some();
    let discard_all = !pinned && (stale_settings || view.prepared.len() > PREPARED_MAX);
    if discard_all {
        commands.push(endpoint_command::EndpointCommand::Discard);
    }
    for (name, value) in &session.values {
        if discard_all || view.values.get(name) != Some(value) {
            let (name, value) = (name.clone(), value.clone());
            commands.push(endpoint_command::EndpointCommand::Set { name, value });
        }
    }
    if let Some(statement) =
        statement.filter(|statement| discard_all || !view.prepared.contains(&statement.name))
    {
        commands.push(endpoint_command::EndpointCommand::Prepare {
            name: statement.name.clone(),
            kind: statement.kind,
            shape: statement.shape.clone(),
        });
    }
    let transaction = session.open_transaction();
    let standalone = transaction.is_none();
    let not_begun = transaction.filter(|_| !pinned).map(|transaction| transaction.read_only);
    let after = request_flow::required_point(ctx, request, view.endpoint);
    if let Some(read_only) = not_begun {
        commands.push(endpoint_command::EndpointCommand::Begin { read_only, after });
    }
    let state = &ctx.requests[request];
    let id = state.id.clone();
    match &state.kind {
        pending_request::RequestKind::Statement { body, .. } => {
            let after = after.filter(|_| standalone && state.reads());
            let body = body.clone();
            commands.push(endpoint_command::EndpointCommand::Run { id, body, after });
        }
        _ => commands.push(endpoint_command::EndpointCommand::Commit { id }),
    }
    commands
}

/// Records the settings and prepared statements that a completed command left on the connection.
pub fn record_session_state(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    command: &endpoint_command::EndpointCommand,
) {
    let view = &mut ctx.connections[connection];
    match command {
        endpoint_command::EndpointCommand::Set { name, value } => {
            view.values.insert(name.clone(), value.clone());
        }
        endpoint_command::EndpointCommand::Prepare { name, .. } => {
            view.prepared.insert(name.clone());
        }
        endpoint_command::EndpointCommand::Discard => {
            view.values.clear();
            view.prepared.clear();
        }
        _ => {}
    }
}

/// Records the log position of a response. A position of the primary is also added to the group's
/// samples, which bound the age of reads.
fn record_position(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    response: &endpoint_command::EndpointResponse,
) {
    let Some(point) = response.position else { return };
    let (endpoint, requested_at) =
        (ctx.connections[connection].endpoint, ctx.connections[connection].sent);
    ctx.endpoints[endpoint].position = point;
    let group = ctx.endpoints[endpoint].group;
    // A response to a command sent before this host learned of a failover may come from a replica.
    let was_primary = requested_at >= ctx.groups[group].record_received_at;
    if was_primary && ctx.usable_primary(group) == Some(endpoint) {
        ctx.groups[group].samples.push(position_history::PositionSample { requested_at, point });
    }
}
