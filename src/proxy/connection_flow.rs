//! Links to endpoints: opening, lending to jobs, restoring sessions, pinging and closing.
//!
//! An endpoint is told the account when a link is opened, so a link serves one account only. Jobs
//! of other accounts take the place of links at rest.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::chart_cursor;
use crate::core::request_verdict;
use crate::proxy::connection_state;
use crate::proxy::endpoint_command;
use crate::proxy::failover_flow;
use crate::proxy::pending_request;
use crate::proxy::placement_policy;
use crate::proxy::position_history;
use crate::proxy::proxy_context;
use crate::proxy::proxy_message;
use crate::proxy::request_flow;
use crate::proxy::response_flow;

/// Prepared statements kept on one link; more are dropped together with the session values.
const PREPARED_MAX: usize = 256;
/// Time after which a link at rest is closed.
const REST_LIMIT: Duration = Duration::from_secs(40);
/// Time after which a link at rest is closed where connections are scarce: an endpoint takes some 100
/// statements a second from all hosts, and holds some 40 connections.
const REST_SCARCE: Duration = Duration::from_millis(200);
/// Links of one host to an endpoint with fewer connections than there are hosts: one that runs and
/// one that opens.
const LINKS_SCARCE: usize = 2;
/// Part of an endpoint's connections that the hosts share out: the rest is for hosts that start
/// again while the endpoint still holds the connections of their predecessors.
const LINKS_USED: usize = 2;
/// See `LINKS_USED`.
const LINKS_ALL: usize = 3;
/// Time for which endpoints may still hold the connections of hosts that ended without a word.
const LINKS_LINGER: Duration = Duration::from_millis(3_300);
/// Pause before the next link to an endpoint that had too many: some statements' time.
const FULL_PAUSE: Duration = Duration::from_millis(80);
/// Weight of a new answer in the mean of an endpoint's latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// Runs a job on the endpoint, now or when a link is free.
///
/// # Errors
///
/// The cause, when too many jobs wait there.
pub fn acquire(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    request: arena_keys::StatementKey,
) -> Result<(), request_verdict::VerdictCause> {
    if let Some(connection) = best_idle(ctx, endpoint, request) {
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

/// Returns the links that this host may hold to one endpoint of the group.
///
/// A host that vanished may still hold its links, so they count as taken for as long as its share.
pub fn connection_limit(ctx: &proxy_context::ProxyContext, group: arena_keys::GroupKey) -> usize {
    if ctx.now.since(ctx.started) < LINKS_LINGER && ctx.started_together() {
        return 1;
    }
    match connections_shared(ctx, group) / ctx.allocation.hosts.len().max(1) {
        0 => LINKS_SCARCE,
        share => share,
    }
}

/// Returns the links to one endpoint of the group that all hosts share out.
fn connections_shared(ctx: &proxy_context::ProxyContext, group: arena_keys::GroupKey) -> usize {
    let name = &ctx.groups[group].name;
    let object = ctx.config.as_ref().and_then(|config| config.groups.get(name));
    let most = object.map_or(1, |object| object.max_connections) as usize;
    most * LINKS_USED / LINKS_ALL
}

/// Returns the time after which a link at rest is closed: soon, where the hosts are more than an
/// endpoint's connections and each must leave them to others.
fn rest_limit(ctx: &proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) -> Duration {
    let scarce =
        connections_shared(ctx, ctx.endpoints[endpoint].group) < ctx.allocation.hosts.len();
    // A witness keeps one link to each primary, to ping it.
    let kept = ctx.is_witness() && ctx.endpoints[endpoint].connections.len() == 1;
    if scarce && !kept { REST_SCARCE } else { REST_LIMIT }
}

/// Whether the endpoint lately had more links than it takes, so that none is opened.
pub fn at_connection_limit(
    ctx: &proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
) -> bool {
    ctx.now < ctx.endpoints[endpoint].connection_limit_until
}

/// Sends the first command of a job on an idle link, after what restores its session there.
///
/// What allowed the placing may have passed while the job waited; then it is sought another place.
/// Returns whether the link is in use.
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

/// Takes up the greeting's answer on a link that was being opened.
pub fn on_opened(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    answer: endpoint_command::EndpointResponse,
) {
    if !ctx.connections.contains_key(connection) {
        return;
    }
    let endpoint = ctx.connections[connection].endpoint;
    if let Err(fault) = &answer.outcome {
        let id = ctx.endpoints[endpoint].entry.id.clone();
        let line = format!("event=link_rejected endpoint={id} fault={fault:?}");
        ctx.log_limited(|| line);
        if matches!(fault, endpoint_command::EndpointFault::TooManyConnections) {
            let pause = ctx.with_jitter(FULL_PAUSE);
            let until = ctx.now.after(pause);
            ctx.endpoints[endpoint].connection_limit_until = until;
            ctx.timers.push(until, proxy_context::ProxyTimer::Endpoint(endpoint));
            close(ctx, connection, "failed");
            return move_reads(ctx, endpoint);
        }
        record_failure(ctx, endpoint);
        close(ctx, connection, "failed");
        return reroute_queue(ctx, endpoint);
    }
    note_position(ctx, connection, &answer);
    ctx.endpoints[endpoint].record_response(ctx.now);
    ctx.connections[connection].cursor.fire("opened");
    rest(ctx, connection);
}

/// Takes up the answer to the last command on a link.
pub fn on_response(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    answer: endpoint_command::EndpointResponse,
) {
    let Some(view) = ctx.connections.get_mut(connection) else { return };
    let Some(command) = view.in_flight.take() else { return };
    let endpoint = view.endpoint;
    note_position(ctx, connection, &answer);
    let (now, sent) = (ctx.now, ctx.connections[connection].sent);
    ctx.endpoints[endpoint].record_response(now);
    if let Some(report) = answer.report {
        ctx.endpoints[endpoint].report = Some((sent, report));
    }
    if answer.outcome.is_ok() {
        note_done(ctx, connection, &command);
    }
    let Some(user) = ctx.connections[connection].user else { return rest(ctx, connection) };
    match user {
        connection_state::ConnectionUser::Request(request) => {
            on_request_response(ctx, connection, request, command, answer)
        }
        connection_state::ConnectionUser::Failover(group) => {
            release(ctx, connection);
            failover_flow::on_status(ctx, group);
        }
        connection_state::ConnectionUser::Reset | connection_state::ConnectionUser::Probe => {
            if answer.phase != endpoint_command::SessionPhase::Idle {
                return close(ctx, connection, "discarded");
            }
            go_on(ctx, connection);
        }
    }
}

/// Takes up the end of a link.
pub fn on_closed(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    refused: bool,
) {
    let Some(view) = ctx.connections.get(connection) else { return };
    let (endpoint, opening) = (view.endpoint, view.opening());
    let busy = view.in_flight.is_some();
    let user = view.user;
    let pinned = view.pinned;
    close(ctx, connection, "failed");
    let now = ctx.now;
    if refused {
        ctx.endpoints[endpoint].refused_since.get_or_insert(now);
    }
    if opening || busy {
        record_failure(ctx, endpoint);
    }
    if let Some(connection_state::ConnectionUser::Request(request)) = user {
        request_flow::on_connection_lost(ctx, request);
    } else if let Some(session) = pinned {
        request_flow::fail_transaction(ctx, session, "link_lost");
    }
    if opening {
        reroute_queue(ctx, endpoint);
    }
}

/// Gives a link back after its user is done with it.
pub fn release(ctx: &mut proxy_context::ProxyContext, connection: arena_keys::ConnectionKey) {
    let Some(view) = ctx.connections.get_mut(connection) else { return };
    view.cursor.fire("call_answered");
    view.pinned = None;
    view.pending_commands.clear();
    rest(ctx, connection);
}

/// Keeps a link for the transaction of a session.
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

/// Rolls back what is open on a link and gives the link back.
pub fn roll_back(ctx: &mut proxy_context::ProxyContext, connection: arena_keys::ConnectionKey) {
    let Some(view) = ctx.connections.get_mut(connection) else { return };
    if view.in_flight.is_some() {
        return close(ctx, connection, "discarded");
    }
    view.pinned = None;
    view.user = Some(connection_state::ConnectionUser::Reset);
    view.pending_commands = [endpoint_command::EndpointCommand::Rollback].into();
    send_next(ctx, connection);
}

/// Closes a link; its late answers are never heard.
pub fn close(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    event: &str,
) {
    let Some(mut view) = ctx.connections.remove(connection) else { return };
    view.cursor.fire(event);
    ctx.endpoints[view.endpoint].connections.retain(|open| *open != connection);
    ctx.actions.push(proxy_message::ProxyAction::CloseConnection { connection });
    open_for_queue(ctx, view.endpoint);
}

/// Asks an endpoint on behalf of a change of primary; the answer comes to `failover_flow`.
pub fn command(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    user: connection_state::ConnectionUser,
    command: endpoint_command::EndpointCommand,
) {
    let connections = &ctx.endpoints[endpoint].connections;
    let asking = connections.iter().any(|connection| {
        let view = &ctx.connections[*connection];
        view.user == Some(user) || (view.account.is_none() && view.opening())
    });
    if asking {
        return;
    }
    let Some(connection) =
        connections.iter().copied().find(|connection| ctx.connections[*connection].idle())
    else {
        if ctx.endpoints[endpoint].circuit.may_probe(ctx.now) && !at_connection_limit(ctx, endpoint)
        {
            make_room(ctx, endpoint);
            open(ctx, endpoint, None);
        }
        return;
    };
    let view = &mut ctx.connections[connection];
    view.user = Some(user);
    view.pending_commands = [command].into();
    send_next(ctx, connection);
}

/// Looks after the links that time alone changes: silent ones, and those at rest for long.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    let keys: Vec<arena_keys::ConnectionKey> = ctx.connections.keys().collect();
    for connection in keys {
        let Some(view) = ctx.connections.get(connection) else { continue };
        let passed = ctx.now.since(view.sent);
        let endpoint = view.endpoint;
        if view.opening() {
            if passed >= ctx.tuning.connect_timeout {
                on_closed(ctx, connection, false);
            }
            continue;
        }
        let silent = view.in_flight.is_some() && passed >= ctx.tuning.unresponsive_after;
        let answered = ctx.endpoints[endpoint].answered > view.sent;
        if silent && !answered {
            let now = ctx.now;
            ctx.endpoints[endpoint].failing.get_or_insert(now);
        }
        let own = matches!(
            view.user,
            Some(
                connection_state::ConnectionUser::Probe
                    | connection_state::ConnectionUser::Reset
                    | connection_state::ConnectionUser::Failover(_)
            )
        );
        if silent && own {
            on_closed(ctx, connection, false);
        } else if view.idle() && ctx.now.since(view.idle_since) >= rest_limit(ctx, endpoint) {
            close(ctx, connection, "discarded");
        }
    }
}

/// Pings primaries that have not answered for a while: that shows whether they run, and how far
/// their logs have grown. Witnesses do so for all hosts.
pub fn probe_primaries(ctx: &mut proxy_context::ProxyContext) {
    if !ctx.is_witness() {
        return;
    }
    let groups: Vec<arena_keys::GroupKey> = ctx.groups.keys().collect();
    for group in groups {
        let Some(endpoint) = ctx.usable_primary(group) else { continue };
        if ctx.now.since(ctx.endpoints[endpoint].answered) < ctx.tuning.probe_after {
            continue;
        }
        let ping = endpoint_command::EndpointCommand::Discard;
        command(ctx, endpoint, connection_state::ConnectionUser::Probe, ping);
    }
}

/// Notes that an endpoint failed.
pub fn record_failure(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
    let (now, random_fraction) = (ctx.now, ctx.random_fraction());
    let view = &mut ctx.endpoints[endpoint];
    view.circuit.fail(now, random_fraction);
    view.failing.get_or_insert(now);
}

/// Sends reads that wait at an endpoint with too many links to others; what only this endpoint can
/// run waits until a link may be opened again, or its time is up.
fn move_reads(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
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
    let usable = ctx.endpoints[endpoint]
        .connections
        .iter()
        .any(|connection| !ctx.connections[*connection].opening());
    if usable {
        return;
    }
    for request in std::mem::take(&mut ctx.endpoints[endpoint].queue) {
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
    answer: endpoint_command::EndpointResponse,
) {
    if command.is_from_caller() {
        let passed = ctx.now.since(ctx.connections[connection].sent).as_secs_f64() * 1_000.0;
        let view = &mut ctx.endpoints[ctx.connections[connection].endpoint];
        view.latency_ms += (passed - view.latency_ms) * LATENCY_WEIGHT;
        return response_flow::on_statement_response(ctx, request, connection, answer);
    }
    match answer.outcome {
        Ok(_) => send_next(ctx, connection),
        Err(fault) => request_flow::on_setup_fault(ctx, request, connection, fault),
    }
}

/// Sends the next command of a link, or gives the link back when there is none.
fn go_on(ctx: &mut proxy_context::ProxyContext, connection: arena_keys::ConnectionKey) {
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
    }
    ctx.actions.push(proxy_message::ProxyAction::SendCommand { connection, command });
}

/// Lets a link rest, and serves a job that waits for it.
fn rest(ctx: &mut proxy_context::ProxyContext, connection: arena_keys::ConnectionKey) {
    let now = ctx.now;
    let Some(view) = ctx.connections.get_mut(connection) else { return };
    view.user = None;
    view.in_flight = None;
    view.idle_since = now;
    let (endpoint, account) = (view.endpoint, view.account);
    let group = ctx.endpoints[endpoint].group;
    if ctx.endpoints[endpoint].connections.len() > connection_limit(ctx, group) {
        return close(ctx, connection, "discarded");
    }
    while let Some(request) = take_waiting(ctx, endpoint, account) {
        if dispatch(ctx, connection, request) || !ctx.connections.contains_key(connection) {
            return;
        }
    }
    open_for_queue(ctx, endpoint);
}

/// Takes the most urgent job of an account out of an endpoint's queue.
fn take_waiting(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    account: Option<arena_keys::AccountKey>,
) -> Option<arena_keys::StatementKey> {
    let queue = &ctx.endpoints[endpoint].queue;
    let fitting = (0..queue.len())
        .filter(|position| ctx.requests[queue[*position]].account == account)
        .min_by_key(|position| (ctx.requests[queue[*position]].route.priority, *position))?;
    Some(ctx.endpoints[endpoint].queue.remove(fitting))
}

/// Opens links for queued jobs whose account has none on the way; links at rest make room.
pub fn open_for_queue(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
    if !ctx.endpoints.contains_key(endpoint) || at_connection_limit(ctx, endpoint) {
        return;
    }
    let queue = ctx.endpoints[endpoint].queue.clone();
    let mut covered: Vec<Option<arena_keys::AccountKey>> = Vec::new();
    for connection in &ctx.endpoints[endpoint].connections {
        let view = &ctx.connections[*connection];
        if view.opening() {
            covered.push(view.account);
        }
    }
    let limit = connection_limit(ctx, ctx.endpoints[endpoint].group);
    for request in queue {
        let account = ctx.requests[request].account;
        if let Some(position) = covered.iter().position(|other| *other == account) {
            covered.swap_remove(position);
            continue;
        }
        let full = ctx.endpoints[endpoint].connections.len() >= limit;
        if full && !make_room(ctx, endpoint) {
            return;
        }
        open(ctx, endpoint, account);
    }
}

/// Closes the link that has rested longest, if the endpoint's links are used up.
fn make_room(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) -> bool {
    let limit = connection_limit(ctx, ctx.endpoints[endpoint].group);
    if ctx.endpoints[endpoint].connections.len() < limit {
        return true;
    }
    let idle = ctx.endpoints[endpoint].connections.iter().copied();
    let idle = idle.filter(|connection| ctx.connections[*connection].idle());
    let Some(connection) = idle.min_by_key(|connection| ctx.connections[*connection].idle_since)
    else {
        return false;
    };
    let Some(mut view) = ctx.connections.remove(connection) else { return false };
    view.cursor.fire("discarded");
    ctx.endpoints[endpoint].connections.retain(|open| *open != connection);
    ctx.actions.push(proxy_message::ProxyAction::CloseConnection { connection });
    true
}

fn open(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    account: Option<arena_keys::AccountKey>,
) {
    let connection = ctx.connections.insert(connection_state::ConnectionState {
        endpoint,
        account,
        cursor: chart_cursor::ChartCursor::new(ctx.connection_chart.clone()),
        values: Default::default(),
        prepared: Default::default(),
        pinned: None,
        user: None,
        pending_commands: Default::default(),
        in_flight: None,
        sent: ctx.now,
        idle_since: ctx.now,
    });
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
}

/// Returns the idle link of the job's account that needs least to become the session's.
fn best_idle(
    ctx: &proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    request: arena_keys::StatementKey,
) -> Option<arena_keys::ConnectionKey> {
    let state = &ctx.requests[request];
    let session = &ctx.sessions[state.session];
    let connections = ctx.endpoints[endpoint].connections.iter().copied();
    let fitting = connections.filter(|connection| {
        let view = &ctx.connections[*connection];
        view.idle() && view.account == state.account
    });
    fitting.min_by_key(|connection| {
        let view = &ctx.connections[*connection];
        (view.values != session.values, std::cmp::Reverse(view.idle_since))
    })
}

/// Returns what has to be sent so that the job runs as its session left things.
fn plan_commands(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    request: arena_keys::StatementKey,
) -> Vec<endpoint_command::EndpointCommand> {
    let mut commands = Vec::new();
    let state = &ctx.requests[request];
    let session = &ctx.sessions[state.session];
    let view = &ctx.connections[connection];
    let shape = match &state.kind {
        pending_request::RequestKind::Statement { prepared: Some(name), .. } => {
            session.prepared.get(name)
        }
        _ => None,
    };
    let extra = view.values.keys().any(|name| !session.values.contains_key(name));
    let pinned = view.pinned.is_some();
    let drop_all = !pinned && (extra || view.prepared.len() > PREPARED_MAX);
    if drop_all {
        commands.push(endpoint_command::EndpointCommand::Discard);
    }
    for (name, value) in &session.values {
        if drop_all || view.values.get(name) != Some(value) {
            let (name, value) = (name.clone(), value.clone());
            commands.push(endpoint_command::EndpointCommand::Set { name, value });
        }
    }
    if let Some(shape) = shape.filter(|shape| drop_all || !view.prepared.contains(&shape.name)) {
        commands.push(endpoint_command::EndpointCommand::Prepare {
            name: shape.name.clone(),
            kind: shape.kind,
            shape: shape.shape.clone(),
        });
    }
    let transaction = session.open_transaction();
    let single = transaction.is_none();
    let unbegun = transaction.filter(|_| !pinned).map(|transaction| transaction.read_only);
    let after = request_flow::required_point(ctx, request, view.endpoint);
    if let Some(read_only) = unbegun {
        commands.push(endpoint_command::EndpointCommand::Begin { read_only, after });
    }
    let state = &ctx.requests[request];
    let id = state.id.clone();
    match &state.kind {
        pending_request::RequestKind::Statement { body, .. } => {
            let after = after.filter(|_| single && state.reads());
            let body = body.clone();
            commands.push(endpoint_command::EndpointCommand::Run { id, body, after });
        }
        _ => commands.push(endpoint_command::EndpointCommand::Commit { id }),
    }
    commands
}

/// Notes what a command that completed has changed on the link.
fn note_done(
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

/// Takes up the log's end that came with an answer; from the primary it proves an age.
fn note_position(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    answer: &endpoint_command::EndpointResponse,
) {
    let Some(point) = answer.position else { return };
    let (endpoint, asked) =
        (ctx.connections[connection].endpoint, ctx.connections[connection].sent);
    ctx.endpoints[endpoint].position = point;
    let group = ctx.endpoints[endpoint].group;
    // An answer to a question from before the change of primary may come from a replica.
    let led = asked >= ctx.groups[group].learned_at;
    if led && ctx.usable_primary(group) == Some(endpoint) {
        ctx.groups[group].samples.push(position_history::PositionSample { asked, point });
    }
}
