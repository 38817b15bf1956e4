//! Links to endpoints: opening, lending to jobs, restoring sessions, pinging and closing.
//!
//! An endpoint is told the account when a link is opened, so a link serves one account only. Jobs
//! of other accounts take the place of links at rest.

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
    job: arena_keys::StatementKey,
) -> Result<(), request_verdict::VerdictCause> {
    if let Some(link) = best_idle(ctx, endpoint, job) {
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

/// Returns the links that this host may hold to one endpoint of the group.
///
/// A host that vanished may still hold its links, so they count as taken for as long as its share.
pub fn link_limit(ctx: &proxy_context::ProxyContext, group: arena_keys::GroupKey) -> usize {
    if ctx.now.since(ctx.started) < LINKS_LINGER && ctx.started_together() {
        return 1;
    }
    match links_dealt(ctx, group) / ctx.dealing.hosts.len().max(1) {
        0 => LINKS_SCARCE,
        share => share,
    }
}

/// Returns the links to one endpoint of the group that all hosts share out.
fn links_dealt(ctx: &proxy_context::ProxyContext, group: arena_keys::GroupKey) -> usize {
    let name = &ctx.groups[group].name;
    let object = ctx.config.as_ref().and_then(|config| config.groups.get(name));
    let most = object.map_or(1, |object| object.max_links) as usize;
    most * LINKS_USED / LINKS_ALL
}

/// Returns the time after which a link at rest is closed: soon, where the hosts are more than an
/// endpoint's connections and each must leave them to others.
fn rest_limit(ctx: &proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) -> Duration {
    let scarce = links_dealt(ctx, ctx.endpoints[endpoint].group) < ctx.dealing.hosts.len();
    // A witness keeps one link to each primary, to ping it.
    let kept = ctx.is_witness() && ctx.endpoints[endpoint].links.len() == 1;
    if scarce && !kept { REST_SCARCE } else { REST_LIMIT }
}

/// Whether the endpoint lately had more links than it takes, so that none is opened.
pub fn is_full(ctx: &proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) -> bool {
    ctx.now < ctx.endpoints[endpoint].full_until
}

/// Sends the first command of a job on an idle link, after what restores its session there.
///
/// What allowed the placing may have passed while the job waited; then it is sought another place.
/// Returns whether the link is in use.
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

/// Takes up the greeting's answer on a link that was being opened.
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
        let line = format!("event=link_rejected endpoint={id} fault={fault:?}");
        ctx.note(|| line);
        if matches!(fault, endpoint_command::EndpointFault::TooManyLinks) {
            let pause = ctx.spread(FULL_PAUSE);
            let until = ctx.now.after(pause);
            ctx.endpoints[endpoint].full_until = until;
            ctx.timers.push(until, proxy_context::ProxyTimer::Endpoint(endpoint));
            close(ctx, link, "failed");
            return move_reads(ctx, endpoint);
        }
        note_failure(ctx, endpoint);
        close(ctx, link, "failed");
        return turn_queue_away(ctx, endpoint);
    }
    note_position(ctx, link, &answer);
    ctx.endpoints[endpoint].note_answer(ctx.now);
    ctx.links[link].cursor.fire("opened");
    rest(ctx, link);
}

/// Takes up the answer to the last command on a link.
pub fn on_answered(
    ctx: &mut proxy_context::ProxyContext,
    link: arena_keys::ConnectionKey,
    answer: endpoint_command::EndpointAnswer,
) {
    let Some(view) = ctx.links.get_mut(link) else { return };
    let Some(command) = view.current.take() else { return };
    let endpoint = view.endpoint;
    note_position(ctx, link, &answer);
    let (now, sent) = (ctx.now, ctx.links[link].sent);
    ctx.endpoints[endpoint].note_answer(now);
    if let Some(report) = answer.report {
        ctx.endpoints[endpoint].report = Some((sent, report));
    }
    if answer.outcome.is_ok() {
        note_done(ctx, link, &command);
    }
    let Some(user) = ctx.links[link].user else { return rest(ctx, link) };
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
            go_on(ctx, link);
        }
    }
}

/// Takes up the end of a link.
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
        operation_flow::lose_work(ctx, session, "link_lost");
    }
    if opening {
        turn_queue_away(ctx, endpoint);
    }
}

/// Gives a link back after its user is done with it.
pub fn release(ctx: &mut proxy_context::ProxyContext, link: arena_keys::ConnectionKey) {
    let Some(view) = ctx.links.get_mut(link) else { return };
    view.cursor.fire("call_answered");
    view.pinned = None;
    view.todo.clear();
    rest(ctx, link);
}

/// Keeps a link for the transaction of a session.
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

/// Rolls back what is open on a link and gives the link back.
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

/// Closes a link; its late answers are never heard.
pub fn close(ctx: &mut proxy_context::ProxyContext, link: arena_keys::ConnectionKey, event: &str) {
    let Some(mut view) = ctx.links.remove(link) else { return };
    view.cursor.fire(event);
    ctx.endpoints[view.endpoint].links.retain(|open| *open != link);
    ctx.actions.push(proxy_message::ProxyAction::CloseLink { link });
    open_for_queue(ctx, view.endpoint);
}

/// Asks an endpoint on behalf of a change of primary; the answer comes to `change_flow`.
pub fn command(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    user: link_state::LinkUser,
    command: endpoint_command::EndpointCommand,
) {
    let links = &ctx.endpoints[endpoint].links;
    let asking = links.iter().any(|link| {
        let view = &ctx.links[*link];
        view.user == Some(user) || (view.account.is_none() && view.opening())
    });
    if asking {
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

/// Looks after the links that time alone changes: silent ones, and those at rest for long.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    let keys: Vec<arena_keys::ConnectionKey> = ctx.links.keys().collect();
    for link in keys {
        let Some(view) = ctx.links.get(link) else { continue };
        let passed = ctx.now.since(view.sent);
        let endpoint = view.endpoint;
        if view.opening() {
            if passed >= ctx.tuning.open_limit {
                on_ended(ctx, link, false);
            }
            continue;
        }
        let silent = view.current.is_some() && passed >= ctx.tuning.silent_after;
        let answered = ctx.endpoints[endpoint].answered > view.sent;
        if silent && !answered {
            let now = ctx.now;
            ctx.endpoints[endpoint].failing.get_or_insert(now);
        }
        let own = matches!(
            view.user,
            Some(
                link_state::LinkUser::Ping
                    | link_state::LinkUser::Tidy
                    | link_state::LinkUser::Change(_)
            )
        );
        if silent && own {
            on_ended(ctx, link, false);
        } else if view.idle() && ctx.now.since(view.idle_since) >= rest_limit(ctx, endpoint) {
            close(ctx, link, "discarded");
        }
    }
}

/// Pings primaries that have not answered for a while: that shows whether they run, and how far
/// their logs have grown. Witnesses do so for all hosts.
pub fn ping_primaries(ctx: &mut proxy_context::ProxyContext) {
    if !ctx.is_witness() {
        return;
    }
    let groups: Vec<arena_keys::GroupKey> = ctx.groups.keys().collect();
    for group in groups {
        let Some(endpoint) = ctx.usable_primary(group) else { continue };
        if ctx.now.since(ctx.endpoints[endpoint].answered) < ctx.tuning.ping_after {
            continue;
        }
        let ping = endpoint_command::EndpointCommand::Discard;
        command(ctx, endpoint, link_state::LinkUser::Ping, ping);
    }
}

/// Notes that an endpoint failed.
pub fn note_failure(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
    let (now, jitter) = (ctx.now, ctx.jitter());
    let view = &mut ctx.endpoints[endpoint];
    view.circuit.fail(now, jitter);
    view.failing.get_or_insert(now);
}

/// Sends reads that wait at an endpoint with too many links to others; what only this endpoint can
/// run waits until a link may be opened again, or its time is up.
fn move_reads(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
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
    let usable = ctx.endpoints[endpoint].links.iter().any(|link| !ctx.links[*link].opening());
    if usable {
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
        let passed = ctx.now.since(ctx.links[link].sent).as_secs_f64() * 1_000.0;
        let view = &mut ctx.endpoints[ctx.links[link].endpoint];
        view.latency_ms += (passed - view.latency_ms) * LATENCY_WEIGHT;
        return answer_flow::on_answer(ctx, job, link, answer);
    }
    match answer.outcome {
        Ok(_) => send_next(ctx, link),
        Err(fault) => operation_flow::on_setup_fault(ctx, job, link, fault),
    }
}

/// Sends the next command of a link, or gives the link back when there is none.
fn go_on(ctx: &mut proxy_context::ProxyContext, link: arena_keys::ConnectionKey) {
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

/// Lets a link rest, and serves a job that waits for it.
fn rest(ctx: &mut proxy_context::ProxyContext, link: arena_keys::ConnectionKey) {
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
    while let Some(job) = take_waiting(ctx, endpoint, account) {
        if dispatch(ctx, link, job) || !ctx.links.contains_key(link) {
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
        .filter(|position| ctx.jobs[queue[*position]].account == account)
        .min_by_key(|position| (ctx.jobs[queue[*position]].route.priority, *position))?;
    Some(ctx.endpoints[endpoint].queue.remove(fitting))
}

/// Opens links for queued jobs whose account has none on the way; links at rest make room.
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

/// Closes the link that has rested longest, if the endpoint's links are used up.
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

/// Returns the idle link of the job's account that needs least to become the session's.
fn best_idle(
    ctx: &proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    job: arena_keys::StatementKey,
) -> Option<arena_keys::ConnectionKey> {
    let state = &ctx.jobs[job];
    let session = &ctx.sessions[state.session];
    let links = ctx.endpoints[endpoint].links.iter().copied();
    let fitting = links.filter(|link| {
        let view = &ctx.links[*link];
        view.idle() && view.account == state.account
    });
    fitting.min_by_key(|link| {
        let view = &ctx.links[*link];
        (view.values != session.values, std::cmp::Reverse(view.idle_since))
    })
}

/// Returns what has to be sent so that the job runs as its session left things.
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
    let work = session.open_work();
    let single = work.is_none();
    let unbegun = work.filter(|_| !pinned).map(|work| work.read_only);
    let after = operation_flow::required_point(ctx, job, view.endpoint);
    if let Some(read_only) = unbegun {
        commands.push(endpoint_command::EndpointCommand::Begin { read_only, after });
    }
    let state = &ctx.jobs[job];
    let id = state.id.clone();
    match &state.kind {
        job_state::JobKind::Statement { body, .. } => {
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

/// Takes up the log's end that came with an answer; from the primary it proves an age.
fn note_position(
    ctx: &mut proxy_context::ProxyContext,
    link: arena_keys::ConnectionKey,
    answer: &endpoint_command::EndpointAnswer,
) {
    let Some(point) = answer.position else { return };
    let (endpoint, asked) = (ctx.links[link].endpoint, ctx.links[link].sent);
    ctx.endpoints[endpoint].position = point;
    let group = ctx.endpoints[endpoint].group;
    // An answer to a question from before the change of primary may come from a replica.
    let led = asked >= ctx.groups[group].learnt;
    if led && ctx.usable_primary(group) == Some(endpoint) {
        ctx.groups[group].samples.push(sample_log::LogSample { asked, point });
    }
}
