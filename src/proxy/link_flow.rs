//! Connections to endpoints: opens, assigns and closes them, restores session state on them, and
//! probes primaries.
//!
//! A connection names its account in the start-up message, so it serves one account only. Where the
//! connection limit is reached, an idle connection of one account is closed to open one for
//! another.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::chart_cursor;
use crate::core::request_verdict;
use crate::proxy::answer_flow;
use crate::proxy::change_flow;
use crate::proxy::endpoint_command;
use crate::proxy::job_state;
use crate::proxy::link_state;
use crate::proxy::operation_flow;
use crate::proxy::placement_policy;
use crate::proxy::proxy_context;
use crate::proxy::proxy_message;
use crate::proxy::sample_log;

/// Prepared statements kept on one connection; more are dropped together with the session settings.
const PREPARED_MAX: usize = 256;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(40);
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
/// Time for which endpoints may hold the connections of hosts that ended without closing them.
const STALE_CONNECTION_SPAN: Duration = Duration::from_millis(3_300);
/// Pause before the next connection to an endpoint that refused one at its connection limit. It is
/// the time of a few statements.
const CONNECTION_LIMIT_BACKOFF: Duration = Duration::from_millis(80);
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
    job: arena_keys::StatementKey,
) -> Result<(), request_verdict::VerdictCause> {
    if let Some(link) = choose_idle(ctx, endpoint, job) {
        dispatch(ctx, link, job);
        return Ok(());
    }
    if ctx.endpoints[endpoint].queue.len() >= ctx.tuning.queue_limit {
        return Err(request_verdict::VerdictCause::QueueFull);
    }
    let state = &mut ctx.jobs[job];
    let wait = ctx.tuning.queue_wait.min(state.route.target);
    let until = ctx.now.after(wait).min(state.deadline);
    state.phase = job_state::JobPhase::Queued { endpoint, until };
    ctx.timers.push(until, proxy_context::ProxyTimer::Job(job));
    ctx.endpoints[endpoint].queue.push(job);
    open_for_queue(ctx, endpoint);
    Ok(())
}

/// Returns the number of connections that this host may hold to one endpoint of the group.
///
/// An unreachable host may still hold its connections, so it counts for as long as its share is
/// reserved. After a restart of most hosts, the limit is one until the endpoints have dropped the
/// connections of the previous processes.
pub fn link_limit(ctx: &proxy_context::ProxyContext, group: arena_keys::GroupKey) -> usize {
    if ctx.now.since(ctx.started) < STALE_CONNECTION_SPAN && ctx.started_together() {
        return 1;
    }
    match links_dealt(ctx, group) / ctx.dealing.hosts.len().max(1) {
        0 => CONNECTIONS_MIN,
        share => share,
    }
}

/// Returns the number of connections to one endpoint of the group that all hosts share.
fn links_dealt(ctx: &proxy_context::ProxyContext, group: arena_keys::GroupKey) -> usize {
    let name = &ctx.groups[group].name;
    let object = ctx.config.as_ref().and_then(|config| config.groups.get(name));
    let accepted = object.map_or(1, |object| object.max_links) as usize;
    accepted * SHARED_NUMERATOR / SHARED_DENOMINATOR
}

/// Returns the time after which an idle connection is closed. It is short where there are more
/// hosts than connections, so that other hosts can use the endpoint.
fn idle_timeout(ctx: &proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) -> Duration {
    let scarce = links_dealt(ctx, ctx.endpoints[endpoint].group) < ctx.dealing.hosts.len();
    // A witness keeps one connection to the endpoint for probes.
    let probe_connection = ctx.is_witness() && ctx.endpoints[endpoint].links.len() == 1;
    if scarce && !probe_connection { IDLE_TIMEOUT_SCARCE } else { IDLE_TIMEOUT }
}

/// Whether the endpoint recently refused a connection at its connection limit, so that none is
/// opened for now.
pub fn is_full(ctx: &proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) -> bool {
    ctx.now < ctx.endpoints[endpoint].full_until
}

/// Starts a request on an idle or pinned connection. The commands that restore its session there
/// are sent ahead of its statement.
///
/// If the endpoint has become unsuitable while the request waited, the request is moved to another
/// one. Returns whether the connection is in use.
pub fn dispatch(
    ctx: &mut proxy_context::ProxyContext,
    link: arena_keys::ConnectionKey,
    job: arena_keys::StatementKey,
) -> bool {
    let endpoint = ctx.links[link].endpoint;
    if ctx.links[link].pinned.is_none() && !placement_policy::still_fits(ctx, job, endpoint) {
        let cause = request_verdict::VerdictCause::NoEndpoint;
        operation_flow::try_elsewhere(ctx, job, endpoint, cause);
        return false;
    }
    let commands = plan_commands(ctx, link, job);
    let group = ctx.endpoints[endpoint].group;
    let primary = ctx.usable_primary(group) == Some(endpoint);
    let epoch = ctx.groups[group].epoch();
    let state = &mut ctx.jobs[job];
    state.attempts += 1;
    state.primary_epoch = primary.then_some(epoch);
    state.phase = job_state::JobPhase::Running { link, sent: false };
    let view = &mut ctx.links[link];
    view.user = Some(link_state::LinkUser::Job(job));
    view.todo = commands.into();
    send_next(ctx, link);
    true
}

/// Handles the endpoint's response to the start-up message of a new connection.
pub fn on_greeted(
    ctx: &mut proxy_context::ProxyContext,
    link: arena_keys::ConnectionKey,
    answer: endpoint_command::EndpointAnswer,
) {
    if !ctx.links.contains_key(link) {
        return;
    }
    let endpoint = ctx.links[link].endpoint;
    if let Err(fault) = &answer.outcome {
        let id = ctx.endpoints[endpoint].entry.id.clone();
        let line = format!("event=connection_rejected endpoint={id} fault={fault:?}");
        ctx.note(|| line);
        if matches!(fault, endpoint_command::EndpointFault::TooManyLinks) {
            let backoff = ctx.spread(CONNECTION_LIMIT_BACKOFF);
            let until = ctx.now.after(backoff);
            ctx.endpoints[endpoint].full_until = until;
            ctx.timers.push(until, proxy_context::ProxyTimer::Endpoint(endpoint));
            close(ctx, link, "failed");
            return reroute_reads(ctx, endpoint);
        }
        note_failure(ctx, endpoint);
        close(ctx, link, "failed");
        return turn_queue_away(ctx, endpoint);
    }
    record_position(ctx, link, &answer);
    ctx.endpoints[endpoint].note_answer(ctx.now);
    ctx.links[link].cursor.fire("opened");
    set_idle(ctx, link);
}

/// Handles the response to the command in flight on a connection.
pub fn on_answered(
    ctx: &mut proxy_context::ProxyContext,
    link: arena_keys::ConnectionKey,
    answer: endpoint_command::EndpointAnswer,
) {
    let Some(view) = ctx.links.get_mut(link) else { return };
    let Some(command) = view.current.take() else { return };
    let endpoint = view.endpoint;
    record_position(ctx, link, &answer);
    let (now, sent) = (ctx.now, ctx.links[link].sent);
    ctx.endpoints[endpoint].note_answer(now);
    if let Some(report) = answer.report {
        ctx.endpoints[endpoint].report = Some((sent, report));
    }
    if answer.outcome.is_ok() {
        record_session_state(ctx, link, &command);
    }
    let Some(user) = ctx.links[link].user else { return set_idle(ctx, link) };
    match user {
        link_state::LinkUser::Job(job) => on_job_answer(ctx, link, job, command, answer),
        link_state::LinkUser::Change(group) => {
            release(ctx, link);
            change_flow::on_report(ctx, group);
        }
        link_state::LinkUser::Tidy | link_state::LinkUser::Ping => {
            if answer.phase != endpoint_command::SessionPhase::Idle {
                return close(ctx, link, "discarded");
            }
            send_next_or_release(ctx, link);
        }
    }
}

/// Handles the end of a connection, or its failure to open. `refused` tells whether the endpoint's
/// address refused the connection.
pub fn on_ended(
    ctx: &mut proxy_context::ProxyContext,
    link: arena_keys::ConnectionKey,
    refused: bool,
) {
    let Some(view) = ctx.links.get(link) else { return };
    let (endpoint, opening) = (view.endpoint, view.opening());
    let busy = view.current.is_some();
    let user = view.user;
    let pinned = view.pinned;
    close(ctx, link, "failed");
    let now = ctx.now;
    if refused {
        ctx.endpoints[endpoint].refusing.get_or_insert(now);
    }
    if opening || busy {
        note_failure(ctx, endpoint);
    }
    if let Some(link_state::LinkUser::Job(job)) = user {
        operation_flow::on_link_lost(ctx, job);
    } else if let Some(session) = pinned {
        operation_flow::lose_work(ctx, session, "connection_lost");
    }
    if opening {
        turn_queue_away(ctx, endpoint);
    }
}

/// Makes a connection idle again after its use.
pub fn release(ctx: &mut proxy_context::ProxyContext, link: arena_keys::ConnectionKey) {
    let Some(view) = ctx.links.get_mut(link) else { return };
    view.cursor.fire("call_answered");
    view.pinned = None;
    view.todo.clear();
    set_idle(ctx, link);
}

/// Reserves a connection for the session's transaction.
pub fn pin(
    ctx: &mut proxy_context::ProxyContext,
    link: arena_keys::ConnectionKey,
    session: arena_keys::CallerKey,
) {
    let Some(view) = ctx.links.get_mut(link) else { return };
    view.cursor.fire("transaction_begun");
    view.user = None;
    view.pinned = Some(session);
    view.idle_since = ctx.now;
}

/// Rolls back the transaction on a connection and makes the connection idle. Closes it instead if a
/// command is in flight.
pub fn roll_back(ctx: &mut proxy_context::ProxyContext, link: arena_keys::ConnectionKey) {
    let Some(view) = ctx.links.get_mut(link) else { return };
    if view.current.is_some() {
        return close(ctx, link, "discarded");
    }
    view.pinned = None;
    view.user = Some(link_state::LinkUser::Tidy);
    view.todo = [endpoint_command::EndpointCommand::Rollback].into();
    send_next(ctx, link);
}

/// Closes a connection; late responses on it are ignored. `event` is the event of its chart.
pub fn close(ctx: &mut proxy_context::ProxyContext, link: arena_keys::ConnectionKey, event: &str) {
    let Some(mut view) = ctx.links.remove(link) else { return };
    view.cursor.fire(event);
    ctx.endpoints[view.endpoint].links.retain(|open| *open != link);
    ctx.actions.push(proxy_message::ProxyAction::CloseLink { link });
    open_for_queue(ctx, view.endpoint);
}

/// Sends a command for a failover or a probe on an idle connection. Without one it opens a
/// connection, and the caller sends the command again later. Does nothing while the same user's
/// command is in flight or a connection of this host itself is being opened.
pub fn send_command(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    user: link_state::LinkUser,
    command: endpoint_command::EndpointCommand,
) {
    let links = &ctx.endpoints[endpoint].links;
    let in_progress = links.iter().any(|link| {
        let view = &ctx.links[*link];
        view.user == Some(user) || (view.account.is_none() && view.opening())
    });
    if in_progress {
        return;
    }
    let Some(link) = links.iter().copied().find(|link| ctx.links[*link].idle()) else {
        if ctx.endpoints[endpoint].circuit.may_probe(ctx.now) && !is_full(ctx, endpoint) {
            make_room(ctx, endpoint);
            open(ctx, endpoint, None);
        }
        return;
    };
    let view = &mut ctx.links[link];
    view.user = Some(user);
    view.todo = [command].into();
    send_next(ctx, link);
}

/// Runs the periodic checks: marks endpoints that do not respond, and closes connections that do
/// not open, do not respond to this host's own commands or have been idle for long.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    let keys: Vec<arena_keys::ConnectionKey> = ctx.links.keys().collect();
    for link in keys {
        let Some(view) = ctx.links.get(link) else { continue };
        let elapsed = ctx.now.since(view.sent);
        let endpoint = view.endpoint;
        if view.opening() {
            if elapsed >= ctx.tuning.open_limit {
                on_ended(ctx, link, false);
            }
            continue;
        }
        let unresponsive = view.current.is_some() && elapsed >= ctx.tuning.silent_after;
        let responded = ctx.endpoints[endpoint].last_response_at > view.sent;
        if unresponsive && !responded {
            let now = ctx.now;
            ctx.endpoints[endpoint].unresponsive_since.get_or_insert(now);
        }
        let internal = matches!(
            view.user,
            Some(
                link_state::LinkUser::Ping
                    | link_state::LinkUser::Tidy
                    | link_state::LinkUser::Change(_)
            )
        );
        if unresponsive && internal {
            on_ended(ctx, link, false);
        } else if view.idle() && ctx.now.since(view.idle_since) >= idle_timeout(ctx, endpoint) {
            close(ctx, link, "discarded");
        }
    }
}

/// Probes primaries that have not responded for a while, which shows whether they run and how far
/// their logs have grown. Witnesses do so for all hosts.
pub fn ping_primaries(ctx: &mut proxy_context::ProxyContext) {
    if !ctx.is_witness() {
        return;
    }
    let groups: Vec<arena_keys::GroupKey> = ctx.groups.keys().collect();
    for group in groups {
        let Some(endpoint) = ctx.usable_primary(group) else { continue };
        if ctx.now.since(ctx.endpoints[endpoint].last_response_at) < ctx.tuning.ping_after {
            continue;
        }
        let ping = endpoint_command::EndpointCommand::Discard;
        send_command(ctx, endpoint, link_state::LinkUser::Ping, ping);
    }
}

/// Records a failure of the endpoint in its circuit breaker and marks it unresponsive.
pub fn note_failure(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
    let (now, jitter) = (ctx.now, ctx.jitter());
    let view = &mut ctx.endpoints[endpoint];
    view.circuit.fail(now, jitter);
    view.unresponsive_since.get_or_insert(now);
}

/// Moves queued reads from an endpoint at its connection limit to other endpoints. Requests that
/// only this endpoint can run stay queued until a connection may be opened again or they time out.
fn reroute_reads(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
    for job in ctx.endpoints[endpoint].queue.clone() {
        if placement_policy::needs_primary(ctx, job) {
            continue;
        }
        ctx.jobs[job].avoided.push(endpoint);
        match placement_policy::choose(ctx, job) {
            Ok(other) => {
                ctx.endpoints[endpoint].queue.retain(|waiting| *waiting != job);
                if let Err(cause) = acquire(ctx, other, job) {
                    operation_flow::refuse(ctx, job, cause);
                }
            }
            Err(_) => drop(ctx.jobs[job].avoided.pop()),
        }
    }
}

fn turn_queue_away(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
    let any_open = ctx.endpoints[endpoint].links.iter().any(|link| !ctx.links[*link].opening());
    if any_open {
        return;
    }
    for job in std::mem::take(&mut ctx.endpoints[endpoint].queue) {
        operation_flow::try_elsewhere(
            ctx,
            job,
            endpoint,
            request_verdict::VerdictCause::NoEndpoint,
        );
    }
}

fn on_job_answer(
    ctx: &mut proxy_context::ProxyContext,
    link: arena_keys::ConnectionKey,
    job: arena_keys::StatementKey,
    command: endpoint_command::EndpointCommand,
    answer: endpoint_command::EndpointAnswer,
) {
    if command.is_callers() {
        let elapsed = ctx.now.since(ctx.links[link].sent).as_secs_f64() * 1_000.0;
        let view = &mut ctx.endpoints[ctx.links[link].endpoint];
        view.latency_ms += (elapsed - view.latency_ms) * LATENCY_WEIGHT;
        return answer_flow::on_answer(ctx, job, link, answer);
    }
    match answer.outcome {
        Ok(_) => send_next(ctx, link),
        Err(fault) => operation_flow::on_setup_fault(ctx, job, link, fault),
    }
}

/// Sends the connection's next pending command, or makes the connection idle if there is none.
fn send_next_or_release(ctx: &mut proxy_context::ProxyContext, link: arena_keys::ConnectionKey) {
    if ctx.links[link].todo.is_empty() {
        return release(ctx, link);
    }
    send_next(ctx, link);
}

fn send_next(ctx: &mut proxy_context::ProxyContext, link: arena_keys::ConnectionKey) {
    let now = ctx.now;
    let Some(view) = ctx.links.get_mut(link) else { return };
    let Some(command) = view.todo.pop_front() else { return };
    view.cursor.fire("call_sent");
    view.sent = now;
    view.current = Some(command.clone());
    if let (true, Some(link_state::LinkUser::Job(job))) = (command.is_callers(), view.user) {
        ctx.jobs[job].phase = job_state::JobPhase::Running { link, sent: true };
    }
    ctx.actions.push(proxy_message::ProxyAction::SendLink { link, command });
}

/// Makes a connection idle and starts a queued request on it. Closes it if this host holds more
/// connections than it may.
fn set_idle(ctx: &mut proxy_context::ProxyContext, link: arena_keys::ConnectionKey) {
    let now = ctx.now;
    let Some(view) = ctx.links.get_mut(link) else { return };
    view.user = None;
    view.current = None;
    view.idle_since = now;
    let (endpoint, account) = (view.endpoint, view.account);
    let group = ctx.endpoints[endpoint].group;
    if ctx.endpoints[endpoint].links.len() > link_limit(ctx, group) {
        return close(ctx, link, "discarded");
    }
    while let Some(job) = dequeue(ctx, endpoint, account) {
        if dispatch(ctx, link, job) || !ctx.links.contains_key(link) {
            return;
        }
    }
    open_for_queue(ctx, endpoint);
}

/// Removes the most urgent request of the account from the endpoint's queue and returns it.
fn dequeue(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    account: Option<arena_keys::AccountKey>,
) -> Option<arena_keys::StatementKey> {
    let queue = &ctx.endpoints[endpoint].queue;
    let matching = (0..queue.len())
        .filter(|position| ctx.jobs[queue[*position]].account == account)
        .min_by_key(|position| (ctx.jobs[queue[*position]].route.priority, *position))?;
    Some(ctx.endpoints[endpoint].queue.remove(matching))
}

/// Opens connections for queued requests whose account has none opening. Closes idle connections
/// where the limit is reached.
pub fn open_for_queue(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
    if !ctx.endpoints.contains_key(endpoint) || is_full(ctx, endpoint) {
        return;
    }
    let queue = ctx.endpoints[endpoint].queue.clone();
    let mut covered: Vec<Option<arena_keys::AccountKey>> = Vec::new();
    for link in &ctx.endpoints[endpoint].links {
        let view = &ctx.links[*link];
        if view.opening() {
            covered.push(view.account);
        }
    }
    let limit = link_limit(ctx, ctx.endpoints[endpoint].group);
    for job in queue {
        let account = ctx.jobs[job].account;
        if let Some(position) = covered.iter().position(|other| *other == account) {
            covered.swap_remove(position);
            continue;
        }
        let full = ctx.endpoints[endpoint].links.len() >= limit;
        if full && !make_room(ctx, endpoint) {
            return;
        }
        open(ctx, endpoint, account);
    }
}

/// Closes the connection that has been idle for longest if this host's connections to the endpoint
/// are used up. Returns whether one more may be opened.
fn make_room(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) -> bool {
    let limit = link_limit(ctx, ctx.endpoints[endpoint].group);
    if ctx.endpoints[endpoint].links.len() < limit {
        return true;
    }
    let idle = ctx.endpoints[endpoint].links.iter().copied();
    let idle = idle.filter(|link| ctx.links[*link].idle());
    let Some(link) = idle.min_by_key(|link| ctx.links[*link].idle_since) else { return false };
    let Some(mut view) = ctx.links.remove(link) else { return false };
    view.cursor.fire("discarded");
    ctx.endpoints[endpoint].links.retain(|open| *open != link);
    ctx.actions.push(proxy_message::ProxyAction::CloseLink { link });
    true
}

fn open(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    account: Option<arena_keys::AccountKey>,
) {
    let link = ctx.links.insert(link_state::LinkState {
        endpoint,
        account,
        cursor: chart_cursor::ChartCursor::new(ctx.link_chart.clone()),
        values: Default::default(),
        prepared: Default::default(),
        pinned: None,
        user: None,
        todo: Default::default(),
        current: None,
        sent: ctx.now,
        idle_since: ctx.now,
    });
    ctx.counts.links_opened += 1;
    let name = account.map(|account| ctx.accounts[account].name.clone()).unwrap_or_default();
    let view = &mut ctx.endpoints[endpoint];
    view.links.push(link);
    let action = proxy_message::ProxyAction::OpenLink {
        link,
        address: view.entry.address.clone(),
        group: view.entry.group.clone(),
        account: name,
        endpoint: view.entry.id.clone(),
        limit: ctx.tuning.open_limit,
    };
    ctx.actions.push(action);
}

/// Returns the idle connection of the request's account that fits best: one with the session's
/// settings first, then the one used last.
fn choose_idle(
    ctx: &proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    job: arena_keys::StatementKey,
) -> Option<arena_keys::ConnectionKey> {
    let state = &ctx.jobs[job];
    let session = &ctx.sessions[state.session];
    let links = ctx.endpoints[endpoint].links.iter().copied();
    let matching = links.filter(|link| {
        let view = &ctx.links[*link];
        view.idle() && view.account == state.account
    });
    matching.min_by_key(|link| {
        let view = &ctx.links[*link];
        (view.values != session.values, std::cmp::Reverse(view.idle_since))
    })
}

/// Returns the commands that restore the session's state on the connection, followed by the
/// request's own command.
fn plan_commands(
    ctx: &mut proxy_context::ProxyContext,
    link: arena_keys::ConnectionKey,
    job: arena_keys::StatementKey,
) -> Vec<endpoint_command::EndpointCommand> {
    let mut commands = Vec::new();
    let state = &ctx.jobs[job];
    let session = &ctx.sessions[state.session];
    let view = &ctx.links[link];
    let shape = match &state.kind {
        job_state::JobKind::Statement { prepared: Some(name), .. } => session.prepared.get(name),
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
    if let Some(shape) = shape.filter(|shape| discard_all || !view.prepared.contains(&shape.name)) {
        commands.push(endpoint_command::EndpointCommand::Prepare {
            name: shape.name.clone(),
            kind: shape.kind,
            shape: shape.shape.clone(),
        });
    }
    let work = session.open_work();
    let standalone = work.is_none();
    let not_begun = work.filter(|_| !pinned).map(|work| work.read_only);
    let after = operation_flow::required_point(ctx, job, view.endpoint);
    if let Some(read_only) = not_begun {
        commands.push(endpoint_command::EndpointCommand::Begin { read_only, after });
    }
    let state = &ctx.jobs[job];
    let id = state.id.clone();
    match &state.kind {
        job_state::JobKind::Statement { body, .. } => {
            let after = after.filter(|_| standalone && state.reads());
            let body = body.clone();
            commands.push(endpoint_command::EndpointCommand::Run { id, body, after });
        }
        _ => commands.push(endpoint_command::EndpointCommand::Commit { id }),
    }
    commands
}

/// Records the settings and prepared statements that a completed command left on the connection.
fn record_session_state(
    ctx: &mut proxy_context::ProxyContext,
    link: arena_keys::ConnectionKey,
    command: &endpoint_command::EndpointCommand,
) {
    let view = &mut ctx.links[link];
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
    link: arena_keys::ConnectionKey,
    answer: &endpoint_command::EndpointAnswer,
) {
    let Some(point) = answer.position else { return };
    let (endpoint, requested_at) = (ctx.links[link].endpoint, ctx.links[link].sent);
    ctx.endpoints[endpoint].position = point;
    let group = ctx.endpoints[endpoint].group;
    // A response to a command sent before this host learned of a failover may come from a replica.
    let was_primary = requested_at >= ctx.groups[group].learnt;
    if was_primary && ctx.usable_primary(group) == Some(endpoint) {
        ctx.groups[group].samples.push(sample_log::LogSample { requested_at, point });
    }
}
