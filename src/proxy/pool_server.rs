//! Serves an endpoint's connections to the fleet: opens and keeps them, leases them to hosts, and
//! forwards commands and responses.
//!
//! Pooled connections stand apart from those that this host opens for its own requests: they count
//! neither in its placement nor in its circuit breakers.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::core::arena_keys;
use crate::core::chart_cursor;
use crate::proxy::connection_flow;
use crate::proxy::connection_state;
use crate::proxy::endpoint_command;
use crate::proxy::lease_delay;
use crate::proxy::lease_load;
use crate::proxy::lease_state;
use crate::proxy::pool_message;
use crate::proxy::pool_state;
use crate::proxy::proxy_context;
use crate::proxy::proxy_message;
use crate::proxy::waiting_lease;

/// Links with leases or requests for leases.
const LINKS_MAX: usize = 4_096;
/// Leases and requests for leases on one link.
const CHANNELS_MAX: usize = 1_024;
/// Percentage of an endpoint's connections that one serving host opens. Two hosts that both serve
/// the endpoint stay below its limit.
const CONNECTIONS_PERCENT: usize = 45;
/// Connections to an endpoint that a serving host may open in any case.
const CONNECTIONS_MIN: usize = 2;
/// Leases that may execute at once for each slot of the endpoint. An endpoint queues little, and a
/// message takes a round trip.
const LEASES_PER_SLOT: usize = 2;
/// Time after which a lease without a command is ended outside a transaction, and by which it may
/// exceed the limit on idle transactions.
const LEASE_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time by which a command may exceed the longest timeout of all routes.
const COMMAND_GRACE: Duration = Duration::from_secs(1);
/// Pause after a connection could not be opened; doubled with each further failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(100);
/// Most times that the pause is doubled.
const BACKOFF_DOUBLINGS_MAX: u32 = 4;

/// Handles a request of a host.
pub fn on_request(
    ctx: &mut proxy_context::ProxyContext,
    link: pool_message::LinkId,
    request: pool_message::PoolRequest,
) {
    match request {
        pool_message::PoolRequest::Lease { channel, endpoint, account, urgency } => {
            lease(ctx, link, channel, &endpoint, account, urgency);
        }
        pool_message::PoolRequest::Command { channel, command } => {
            forward(ctx, link, channel, command);
        }
        pool_message::PoolRequest::Release { channel } => {
            if let Some(lease) = ctx.pool.find(link, channel) {
                end_lease(ctx, lease, "released");
            }
        }
        pool_message::PoolRequest::Ping => reply(ctx, link, pool_message::PoolReply::Pong),
    }
}

/// Ends all leases of a link that ended.
pub fn on_link_closed(ctx: &mut proxy_context::ProxyContext, link: pool_message::LinkId) {
    let leases: Vec<arena_keys::LeaseKey> = ctx
        .pool
        .links
        .get(&link)
        .into_iter()
        .flat_map(|channels| channels.values().copied())
        .collect();
    // Requests that wait go first, so that none of them is granted on the way.
    let (granted, waiting): (Vec<_>, Vec<_>) = leases.into_iter().partition(|lease| {
        ctx.pool.leases.get(*lease).is_some_and(|state| state.connection().is_some())
    });
    for lease in waiting.into_iter().chain(granted) {
        end_lease(ctx, lease, "link_closed");
    }
}

/// Handles the endpoint's response to the start-up message of a pooled connection.
pub fn on_opened(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    response: endpoint_command::EndpointResponse,
) {
    let Some(view) = ctx.connections.get_mut(connection) else { return };
    let endpoint = view.endpoint;
    match response.outcome {
        Ok(_) => {
            view.cursor.fire("opened");
            if let Some(pool) = ctx.pool.endpoints.get_mut(endpoint) {
                (pool.failures, pool.refusing) = (0, false);
            }
            set_free(ctx, connection, false);
        }
        Err(endpoint_command::EndpointFault::TooManyConnections) => {
            let pause = ctx.with_jitter(connection_flow::CONNECTION_LIMIT_BACKOFF);
            fail_opening(ctx, connection, "connection_limit", pause);
        }
        Err(fault) => {
            let id = &ctx.endpoints[endpoint].entry.id;
            let line = format!("event=pool_connection_rejected endpoint={id} fault={fault:?}");
            ctx.log_limited(|| line);
            on_refused(ctx, connection, "rejected");
        }
    }
}

/// Handles the response to the command in flight on a pooled connection.
pub fn on_response(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    command: &endpoint_command::EndpointCommand,
    response: endpoint_command::EndpointResponse,
) {
    match response.outcome {
        Ok(_) => connection_flow::record_session_state(ctx, connection, command),
        Err(endpoint_command::EndpointFault::UnknownStatement) => {
            ctx.connections[connection].prepared.clear();
        }
        Err(_) => {}
    }
    let now = ctx.now;
    let idle = response.phase == endpoint_command::SessionPhase::Idle;
    let view = &mut ctx.connections[connection];
    view.cursor.fire(if idle { "response_received" } else { "transaction_begun" });
    view.idle_since = now;
    let endpoint = view.endpoint;
    let Some(connection_state::ConnectionUser::Lease(lease)) = view.user else {
        return match idle {
            true => set_free(ctx, connection, true),
            false => drop_connection(ctx, connection, "not_rolled_back"),
        };
    };
    let Some(state) = ctx.pool.leases.get_mut(lease) else {
        return drop_connection(ctx, connection, "lease_missing");
    };
    if !idle {
        state.vacate(now);
    }
    let (link, channel) = (state.link, state.channel);
    let fault = response.outcome.as_ref().err();
    let failed = fault.is_some_and(endpoint_command::EndpointFault::ends_connection);
    reply(ctx, link, pool_message::PoolReply::Response { channel, response });
    if failed {
        return end_lease(ctx, lease, "endpoint_fault");
    }
    schedule(ctx, endpoint);
}

/// Closes a pooled connection on which it is in doubt which response belongs to which command.
pub fn on_order_lost(ctx: &mut proxy_context::ProxyContext, connection: arena_keys::ConnectionKey) {
    let view = &mut ctx.connections[connection];
    let (endpoint, user) = (view.endpoint, view.user.take());
    drop_connection(ctx, connection, "response_order_lost");
    if let Some(connection_state::ConnectionUser::Lease(lease)) = user
        && let Some(state) = remove_lease(ctx, lease, "response_order_lost")
    {
        let (link, channel) = (state.link, state.channel);
        reply(ctx, link, pool_message::PoolReply::OrderLost { channel });
    }
    schedule(ctx, endpoint);
}

/// Handles the end of a pooled connection, or its failure to open. `refused` is set if the
/// endpoint's address refused the connection.
pub fn on_closed(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    refused: bool,
) {
    let Some(view) = ctx.connections.get(connection) else { return };
    let (endpoint, opening) = (view.endpoint, view.opening());
    match (opening, refused) {
        (true, true) => on_refused(ctx, connection, "refused"),
        (true, false) => {
            let pause = failure_pause(ctx, endpoint);
            fail_opening(ctx, connection, "not_opened", pause);
        }
        (false, _) => {
            drop_connection(ctx, connection, "closed_by_endpoint");
            schedule(ctx, endpoint);
        }
    }
}

/// Closes all pooled connections to an endpoint. Requests that wait are kept.
pub fn close_endpoint(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    cause: &str,
) {
    let Some(pool) = ctx.pool.endpoints.get_mut(endpoint) else { return };
    pool.blocked_until = Default::default();
    (pool.failures, pool.refusing) = (0, false);
    for connection in pool.connections.clone() {
        drop_connection(ctx, connection, cause);
    }
    put_back_uncovered(ctx, endpoint);
    schedule(ctx, endpoint);
}

/// Refuses requests whose time is over, and grants others where that is possible again.
pub fn on_timer(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
    let Some(pool) = ctx.pool.endpoints.get_mut(endpoint) else { return };
    let expired = pool.scheduler.take_expired(ctx.now);
    for request in expired {
        refuse_queued(ctx, request.lease, pool_message::LeaseRefusal::Busy);
    }
    schedule(ctx, endpoint);
}

/// Ends leases that are not used, and closes connections that have been idle for long.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    let endpoints: Vec<arena_keys::EndpointKey> = ctx.pool.endpoints.keys().collect();
    for endpoint in endpoints {
        let serving =
            ctx.endpoints.get(endpoint).is_some_and(|view| !view.is_excluded(ctx.now, &ctx.tuning));
        if !serving || ctx.stopping.is_some() {
            refuse_all(ctx, endpoint, pool_message::LeaseRefusal::NotServing);
        }
        for connection in ctx.pool.endpoints[endpoint].connections.clone() {
            if serving {
                check_connection(ctx, connection);
            } else {
                drop_connection(ctx, connection, "endpoint_excluded");
            }
        }
        match ctx.endpoints.contains_key(endpoint) {
            true => on_timer(ctx, endpoint),
            false => drop(ctx.pool.endpoints.remove(endpoint)),
        }
    }
}

/// Returns the number of connections that this host opens to one endpoint of the group for the
/// fleet.
pub fn connection_limit(ctx: &proxy_context::ProxyContext, group: arena_keys::GroupKey) -> usize {
    let name = &ctx.groups[group].name;
    let object = ctx.config.as_ref().and_then(|config| config.groups.get(name));
    let accepted = object.map_or(0, |object| object.max_connections) as usize;
    (accepted * CONNECTIONS_PERCENT / 100).max(CONNECTIONS_MIN)
}

/// Returns how much of the endpoint leases use.
pub fn measure_load(
    ctx: &proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
) -> lease_load::LeaseLoad {
    let view = &ctx.endpoints[endpoint];
    let mut load = lease_load::LeaseLoad::default();
    let Some(pool) = ctx.pool.endpoints.get(endpoint) else { return load };
    let mut in_transaction = 0;
    for connection in &pool.connections {
        let view = &ctx.connections[*connection];
        if view.in_transaction() {
            in_transaction += 1;
        } else if view.opening() || view.user.is_some() {
            load.in_use += 1;
        }
    }
    let slots = view.entry.slots.max(1) as usize * LEASES_PER_SLOT;
    load.places = slots.min(connection_limit(ctx, view.group).saturating_sub(in_transaction));
    load.delay = pool.blocked_until.since(ctx.now);
    load
}

fn lease(
    ctx: &mut proxy_context::ProxyContext,
    link: pool_message::LinkId,
    channel: pool_message::ChannelId,
    id: &str,
    account: String,
    urgency: pool_message::LeaseUrgency,
) {
    if let Some(lease) = ctx.pool.find(link, channel) {
        log::warn!("event=lease_channel_reused link={link} channel={channel} endpoint={id}");
        end_lease(ctx, lease, "channel_reused");
        return reply(ctx, link, pool_message::PoolReply::Ended { channel });
    }
    let endpoint = ctx.endpoint_names.get(id).copied().filter(|endpoint| {
        ctx.stopping.is_none() && !ctx.endpoints[*endpoint].is_excluded(ctx.now, &ctx.tuning)
    });
    let priority = urgency.priority;
    let Some(endpoint) = endpoint else {
        let cause = pool_message::LeaseRefusal::NotServing;
        let delay = lease_delay::LeaseDelay { wait: Duration::ZERO, retry_after: Duration::ZERO };
        log_refusal(ctx, id, &account, priority, 0, delay, cause);
        return refuse(ctx, link, channel, cause, Duration::ZERO);
    };
    let rate = ctx.config.as_ref().and_then(|config| config.accounts.get(&account));
    let request = waiting_lease::WaitingLease {
        lease: Default::default(),
        account,
        weight: rate.map_or(1.0, |object| object.rate.max(1.0)),
        priority,
        target: ctx.now.after(Duration::from_millis(urgency.target_ms.into())),
        until: ctx.now.after(Duration::from_millis(urgency.wait_ms.into())),
    };
    if let Err((cause, delay)) = enqueue(ctx, link, channel, endpoint, request.clone()) {
        let queue = ctx.pool.endpoints[endpoint].scheduler.len();
        log_refusal(ctx, id, &request.account, priority, queue, delay, cause);
        return refuse(ctx, link, channel, cause, delay.retry_after);
    }
    schedule(ctx, endpoint);
    let waits = ctx.pool.find(link, channel).and_then(|lease| ctx.pool.leases.get(lease));
    if waits.is_some_and(|state| state.phase == lease_state::LeasePhase::Waiting) {
        ctx.timers.push(request.until, proxy_context::ProxyTimer::Pool(endpoint));
    }
}

/// Queues a request for a lease, or returns why it is refused.
fn enqueue(
    ctx: &mut proxy_context::ProxyContext,
    link: pool_message::LinkId,
    channel: pool_message::ChannelId,
    endpoint: arena_keys::EndpointKey,
    mut request: waiting_lease::WaitingLease,
) -> Result<(), (pool_message::LeaseRefusal, lease_delay::LeaseDelay)> {
    if !ctx.pool.endpoints.contains_key(endpoint) {
        ctx.pool.endpoints.insert(endpoint, Default::default());
    }
    let ready = ready_accounts(ctx, endpoint).contains(&request.account);
    let mut load = measure_load(ctx, endpoint);
    if ready {
        load.delay = Duration::ZERO;
    }
    let now = ctx.now;
    let pool = &mut ctx.pool.endpoints[endpoint];
    let delay = |retry_after: Duration| lease_delay::LeaseDelay { wait: retry_after, retry_after };
    if pool.refusing && load.delay > Duration::ZERO {
        return Err((pool_message::LeaseRefusal::Unreachable, delay(load.delay)));
    }
    let channels = ctx.pool.links.get(&link).map_or(0, |channels| channels.len());
    let too_many = match channels {
        0 => ctx.pool.links.len() >= LINKS_MAX,
        channels => channels >= CHANNELS_MAX,
    };
    if too_many {
        let wait = pool.scheduler.expected_wait(now, &request, load).max(pool.scheduler.service());
        return Err((pool_message::LeaseRefusal::Busy, delay(wait)));
    }
    let state = |lease: arena_keys::LeaseKey| {
        request.lease = lease;
        lease_state::LeaseState {
            link,
            channel,
            endpoint,
            request: request.clone(),
            requested_at: now,
            phase: lease_state::LeasePhase::Waiting,
            occupied: Duration::ZERO,
            occupied_since: None,
        }
    };
    let lease = ctx.pool.leases.insert_with_key(state);
    if let Err(delay) = pool.scheduler.push(now, request, load) {
        ctx.pool.leases.remove(lease);
        return Err((pool_message::LeaseRefusal::Busy, delay));
    }
    ctx.pool.links.entry(link).or_default().insert(channel, lease);
    Ok(())
}

/// Grants waiting requests while leases may execute and connections may be used or opened.
fn schedule(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
    if !ctx.endpoints.contains_key(endpoint) || !ctx.pool.endpoints.contains_key(endpoint) {
        return;
    }
    let limit = connection_limit(ctx, ctx.endpoints[endpoint].group);
    while !ctx.pool.endpoints[endpoint].scheduler.is_empty() {
        let load = measure_load(ctx, endpoint);
        if load.in_use >= load.places {
            return;
        }
        let ready = ready_accounts(ctx, endpoint);
        let now = ctx.now;
        let pool = &mut ctx.pool.endpoints[endpoint];
        let may_open =
            now >= pool.blocked_until && (pool.connections.len() < limit || !ready.is_empty());
        let Some(request) = pool.scheduler.next(now, &ready, may_open) else { return };
        if let Some(connection) = choose_idle(ctx, endpoint, &request.account) {
            grant(ctx, request.lease, connection, true);
            continue;
        }
        make_room(ctx, endpoint, limit);
        open(ctx, endpoint, request);
    }
}

fn grant(
    ctx: &mut proxy_context::ProxyContext,
    lease: arena_keys::LeaseKey,
    connection: arena_keys::ConnectionKey,
    reused: bool,
) {
    let now = ctx.now;
    let Some(state) = ctx.pool.leases.get_mut(lease) else { return };
    state.phase = lease_state::LeasePhase::Granted(connection);
    state.occupy(now);
    let (link, channel) = (state.link, state.channel);
    ctx.pool.waits.record(pool_state::WAIT_NAME, now.since(state.requested_at));
    ctx.counts.leases_granted += 1;
    ctx.counts.pool_reused += u64::from(reused);
    let view = &mut ctx.connections[connection];
    view.user = Some(connection_state::ConnectionUser::Lease(lease));
    view.idle_since = now;
    let (values, prepared) = (view.values.clone(), view.prepared.clone());
    reply(ctx, link, pool_message::PoolReply::Leased { channel, values, prepared });
}

/// Makes an open connection available to the next request.
fn set_free(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    reused: bool,
) {
    let now = ctx.now;
    let view = &mut ctx.connections[connection];
    view.user = None;
    view.idle_since = now;
    let endpoint = view.endpoint;
    let account = view.pool_account.clone().unwrap_or_default();
    let limit = connection_limit(ctx, ctx.endpoints[endpoint].group);
    let retired = ctx.connections[connection].order.retired();
    let pool = &mut ctx.pool.endpoints[endpoint];
    if retired || pool.connections.len() > limit {
        let cause = if retired { "retired" } else { "above_limit" };
        drop_connection(ctx, connection, cause);
        put_back_uncovered(ctx, endpoint);
        return schedule(ctx, endpoint);
    }
    let leases = &ctx.pool.leases;
    let opening = pool
        .opening
        .iter()
        .position(|lease| leases.get(*lease).is_some_and(|state| state.request.account == account));
    if let Some(position) = opening {
        let lease = pool.opening.remove(position);
        grant(ctx, lease, connection, reused);
    }
    schedule(ctx, endpoint);
}

fn open(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    request: waiting_lease::WaitingLease,
) {
    let now = ctx.now;
    let account = request.account;
    let account_key = ctx.account_names.get(&account).copied();
    let cursor = chart_cursor::ChartCursor::new(ctx.connection_chart.clone());
    let view = connection_state::ConnectionState::new(endpoint, account_key, cursor, now);
    let pool_account = Some(account.clone());
    let view = connection_state::ConnectionState { pool_account, ..view };
    let connection = ctx.connections.insert(view);
    let pool = &mut ctx.pool.endpoints[endpoint];
    pool.connections.push(connection);
    pool.opening.push(request.lease);
    if let Some(state) = ctx.pool.leases.get_mut(request.lease) {
        state.phase = lease_state::LeasePhase::Opening;
        state.occupy(now);
    }
    ctx.counts.connections_opened += 1;
    ctx.counts.pool_opened += 1;
    let entry = &ctx.endpoints[endpoint].entry;
    log::debug!(
        "event=pool_connection_opened endpoint={} account={account} connections={}",
        entry.id,
        pool.connections.len()
    );
    ctx.actions.push(proxy_message::ProxyAction::OpenConnection {
        connection,
        address: entry.address.clone(),
        group: entry.group.clone(),
        account,
        endpoint: entry.id.clone(),
        limit: ctx.tuning.connect_timeout,
    });
}

/// Closes the connection that has been idle for longest if there are as many as there may be.
fn make_room(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    limit: usize,
) {
    if ctx.pool.endpoints[endpoint].connections.len() < limit {
        return;
    }
    let oldest = idle_connections(ctx, endpoint)
        .min_by_key(|connection| ctx.connections[*connection].idle_since);
    if let Some(connection) = oldest {
        drop_connection(ctx, connection, "replaced");
    }
}

fn idle_connections(
    ctx: &proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
) -> impl Iterator<Item = arena_keys::ConnectionKey> {
    let connections = ctx.pool.endpoints[endpoint].connections.iter().copied();
    connections.filter(|connection| {
        let view = &ctx.connections[*connection];
        view.idle() && view.user.is_none()
    })
}

/// Returns the accounts that have an idle connection.
fn ready_accounts(
    ctx: &proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
) -> BTreeSet<String> {
    idle_connections(ctx, endpoint)
        .filter_map(|connection| ctx.connections[connection].pool_account.clone())
        .collect()
}

/// Returns the account's idle connection that was used last.
fn choose_idle(
    ctx: &proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    account: &str,
) -> Option<arena_keys::ConnectionKey> {
    idle_connections(ctx, endpoint)
        .filter(|connection| ctx.connections[*connection].pool_account.as_deref() == Some(account))
        .max_by_key(|connection| ctx.connections[*connection].idle_since)
}

/// Sends a command on the leased connection. A lease with another command in flight is ended.
fn forward(
    ctx: &mut proxy_context::ProxyContext,
    link: pool_message::LinkId,
    channel: pool_message::ChannelId,
    command: endpoint_command::EndpointCommand,
) {
    let Some(lease) = ctx.pool.find(link, channel) else {
        return reply(ctx, link, pool_message::PoolReply::Ended { channel });
    };
    let now = ctx.now;
    let connection = ctx.pool.leases[lease].connection();
    let free = connection.filter(|connection| ctx.connections[*connection].in_flight.is_none());
    let Some(connection) = free else {
        log::warn!("event=lease_command_unexpected link={link} channel={channel}");
        end_lease(ctx, lease, "command_unexpected");
        return reply(ctx, link, pool_message::PoolReply::Ended { channel });
    };
    let view = &ctx.connections[connection];
    let begins = matches!(command, endpoint_command::EndpointCommand::Begin { .. });
    if begins && !view.order.can_begin(ctx.endpoints[view.endpoint].position) {
        return on_order_lost(ctx, connection);
    }
    ctx.pool.leases[lease].occupy(now);
    send(ctx, connection, command);
}

fn send(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    command: endpoint_command::EndpointCommand,
) {
    let now = ctx.now;
    let view = &mut ctx.connections[connection];
    view.cursor.fire("call_sent");
    view.sent = now;
    view.in_flight = Some(command.clone());
    ctx.actions.push(proxy_message::ProxyAction::SendCommand { connection, command });
}

/// Ends a lease, or withdraws the request for it, and makes its connection available: rolls an open
/// transaction back, and closes the connection if a command is in flight.
fn end_lease(ctx: &mut proxy_context::ProxyContext, lease: arena_keys::LeaseKey, cause: &str) {
    let Some(state) = remove_lease(ctx, lease, cause) else { return };
    let Some(connection) = state.connection() else { return };
    let view = &ctx.connections[connection];
    if view.in_flight.is_some() || view.order.retired() {
        drop_connection(ctx, connection, cause);
        return schedule(ctx, state.endpoint);
    }
    if view.in_transaction() {
        ctx.connections[connection].user = Some(connection_state::ConnectionUser::Reset);
        return send(ctx, connection, endpoint_command::EndpointCommand::Rollback);
    }
    set_free(ctx, connection, true);
}

/// Forgets a lease or a request for one, and records how long it occupied the endpoint.
fn remove_lease(
    ctx: &mut proxy_context::ProxyContext,
    lease: arena_keys::LeaseKey,
    cause: &str,
) -> Option<lease_state::LeaseState> {
    let mut state = ctx.pool.leases.remove(lease)?;
    if let Some(channels) = ctx.pool.links.get_mut(&state.link) {
        channels.remove(&state.channel);
        if channels.is_empty() {
            ctx.pool.links.remove(&state.link);
        }
    }
    let now = ctx.now;
    state.vacate(now);
    if let Some(pool) = ctx.pool.endpoints.get_mut(state.endpoint) {
        match state.phase {
            lease_state::LeasePhase::Waiting => pool.scheduler.remove(lease),
            lease_state::LeasePhase::Opening => pool.opening.retain(|other| *other != lease),
            lease_state::LeasePhase::Granted(_) => pool.scheduler.record_service(state.occupied),
        }
    }
    let endpoint = ctx.endpoints.get(state.endpoint).map_or("", |view| &view.entry.id);
    let line = format!(
        "event=lease_ended endpoint={endpoint} account={} link={} channel={} occupied_ms={} cause={cause}",
        state.request.account,
        state.link,
        state.channel,
        state.occupied.as_millis()
    );
    match cause {
        "released" => log::debug!("{line}"),
        _ => ctx.log_limited(|| line),
    }
    Some(state)
}

/// Closes a pooled connection and ends the lease that it has.
fn drop_connection(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    cause: &str,
) {
    let Some(view) = ctx.connections.remove(connection) else { return };
    if let Some(pool) = ctx.pool.endpoints.get_mut(view.endpoint) {
        pool.connections.retain(|open| *open != connection);
    }
    ctx.actions.push(proxy_message::ProxyAction::CloseConnection { connection });
    log::debug!(
        "event=pool_connection_closed endpoint={} account={} cause={cause}",
        ctx.endpoints.get(view.endpoint).map_or("", |endpoint| &endpoint.entry.id),
        view.pool_account.unwrap_or_default()
    );
    let Some(connection_state::ConnectionUser::Lease(lease)) = view.user else { return };
    if let Some(state) = remove_lease(ctx, lease, cause) {
        let (link, channel) = (state.link, state.channel);
        reply(ctx, link, pool_message::PoolReply::Ended { channel });
    }
}

/// Handles a connection that could not be opened: pauses, and queues the request again.
fn fail_opening(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    cause: &str,
    pause: Duration,
) {
    let endpoint = ctx.connections[connection].endpoint;
    let until = ctx.now.after(pause);
    drop_connection(ctx, connection, cause);
    if let Some(pool) = ctx.pool.endpoints.get_mut(endpoint) {
        pool.blocked_until = until;
    }
    ctx.timers.push(until, proxy_context::ProxyTimer::Pool(endpoint));
    put_back_uncovered(ctx, endpoint);
    schedule(ctx, endpoint);
}

/// Handles a connection that the endpoint does not accept: requests that wait are refused.
fn on_refused(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    cause: &str,
) {
    let endpoint = ctx.connections[connection].endpoint;
    let pause = failure_pause(ctx, endpoint);
    ctx.pool.endpoints[endpoint].refusing = true;
    ctx.pool.endpoints[endpoint].blocked_until = ctx.now.after(pause);
    refuse_all(ctx, endpoint, pool_message::LeaseRefusal::Unreachable);
    fail_opening(ctx, connection, cause, pause);
}

fn failure_pause(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
) -> Duration {
    let pool = &mut ctx.pool.endpoints[endpoint];
    let pause = FAILURE_BACKOFF * (1 << pool.failures.min(BACKOFF_DOUBLINGS_MAX));
    pool.failures = pool.failures.saturating_add(1);
    ctx.with_jitter(pause)
}

/// Queues requests again for whose accounts no connection is being opened any more.
fn put_back_uncovered(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
    let now = ctx.now;
    let Some(pool) = ctx.pool.endpoints.get_mut(endpoint) else { return };
    let mut covered: Vec<String> = pool
        .connections
        .iter()
        .map(|connection| &ctx.connections[*connection])
        .filter(|view| view.opening())
        .filter_map(|view| view.pool_account.clone())
        .collect();
    let leases = &mut ctx.pool.leases;
    let scheduler = &mut pool.scheduler;
    pool.opening.retain(|lease| {
        let Some(state) = leases.get_mut(*lease) else { return false };
        let account = &state.request.account;
        if let Some(position) = covered.iter().position(|other| other == account) {
            covered.swap_remove(position);
            return true;
        }
        state.phase = lease_state::LeasePhase::Waiting;
        state.vacate(now);
        scheduler.put_back(state.request.clone());
        ctx.timers.push(state.request.until, proxy_context::ProxyTimer::Pool(endpoint));
        false
    });
}

/// Checks one connection against the limits on its opening, its command and its lease.
fn check_connection(ctx: &mut proxy_context::ProxyContext, connection: arena_keys::ConnectionKey) {
    let Some(view) = ctx.connections.get(connection) else { return };
    let elapsed = ctx.now.since(view.sent);
    let idle = ctx.now.since(view.idle_since);
    if view.opening() {
        if elapsed >= ctx.tuning.connect_timeout {
            on_closed(ctx, connection, false);
        }
        return;
    }
    let endpoint = view.endpoint;
    let config = ctx.config.as_ref();
    match view.user {
        Some(connection_state::ConnectionUser::Lease(lease)) => {
            let longest =
                config.and_then(|config| config.routes.values().map(|route| route.timeout).max());
            let idle_limit = match (view.in_transaction(), config) {
                (true, Some(config)) => config.idle_transaction + LEASE_IDLE_TIMEOUT,
                _ => LEASE_IDLE_TIMEOUT,
            };
            if view.in_flight.is_some() {
                if elapsed >= longest.unwrap_or_default() + COMMAND_GRACE {
                    drop_connection(ctx, connection, "command_timeout");
                    schedule(ctx, endpoint);
                }
            } else if idle >= idle_limit {
                let state = &ctx.pool.leases[lease];
                let (link, channel) = (state.link, state.channel);
                end_lease(ctx, lease, "idle");
                reply(ctx, link, pool_message::PoolReply::Ended { channel });
            }
        }
        Some(_) if elapsed >= ctx.tuning.unresponsive_after => {
            drop_connection(ctx, connection, "rollback_timeout");
            schedule(ctx, endpoint);
        }
        None if idle >= connection_flow::IDLE_TIMEOUT => drop_connection(ctx, connection, "idle"),
        _ => {}
    }
}

/// Refuses all requests for leases of the endpoint that have no connection yet.
fn refuse_all(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    cause: pool_message::LeaseRefusal,
) {
    let Some(pool) = ctx.pool.endpoints.get_mut(endpoint) else { return };
    let waiting = pool.scheduler.take_all().into_iter().map(|request| request.lease);
    let leases: Vec<arena_keys::LeaseKey> = pool.opening.drain(..).chain(waiting).collect();
    for lease in leases {
        refuse_queued(ctx, lease, cause);
    }
}

/// Refuses a request that was queued.
fn refuse_queued(
    ctx: &mut proxy_context::ProxyContext,
    lease: arena_keys::LeaseKey,
    cause: pool_message::LeaseRefusal,
) {
    let Some(state) = ctx.pool.leases.get(lease) else { return };
    let endpoint = state.endpoint;
    let (link, channel, request) = (state.link, state.channel, state.request.clone());
    let mut delay = lease_delay::LeaseDelay { wait: Duration::ZERO, retry_after: Duration::ZERO };
    let mut queue = 0;
    if ctx.endpoints.contains_key(endpoint) && cause != pool_message::LeaseRefusal::NotServing {
        let load = measure_load(ctx, endpoint);
        let scheduler = &ctx.pool.endpoints[endpoint].scheduler;
        queue = scheduler.len();
        delay.wait = scheduler.expected_wait(ctx.now, &request, load);
        delay.retry_after = delay.wait.max(load.delay).max(Duration::from_millis(1));
    }
    let id = ctx.endpoints.get(endpoint).map(|view| view.entry.id.clone()).unwrap_or_default();
    log_refusal(ctx, &id, &request.account, request.priority, queue, delay, cause);
    remove_lease(ctx, lease, "refused");
    refuse(ctx, link, channel, cause, delay.retry_after);
}

fn log_refusal(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: &str,
    account: &str,
    priority: u32,
    queue: usize,
    delay: lease_delay::LeaseDelay,
    cause: pool_message::LeaseRefusal,
) {
    ctx.log_limited(|| {
        format!(
            "event=lease_refused endpoint={endpoint} account={account} priority={priority} \
             queue={queue} expected_wait_ms={} retry_after_ms={} cause={cause:?}",
            delay.wait.as_millis(),
            delay.retry_after.as_millis()
        )
    });
}

fn refuse(
    ctx: &mut proxy_context::ProxyContext,
    link: pool_message::LinkId,
    channel: pool_message::ChannelId,
    cause: pool_message::LeaseRefusal,
    retry_after: Duration,
) {
    let name = match cause {
        pool_message::LeaseRefusal::Busy => "busy",
        pool_message::LeaseRefusal::NotServing => "not_serving",
        pool_message::LeaseRefusal::Unreachable => "unreachable",
    };
    *ctx.counts.leases_refused.entry(name).or_default() += 1;
    let retry_after_ms = u32::try_from(retry_after.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX);
    reply(ctx, link, pool_message::PoolReply::Refused { channel, cause, retry_after_ms });
}

fn reply(
    ctx: &mut proxy_context::ProxyContext,
    link: pool_message::LinkId,
    reply: pool_message::PoolReply,
) {
    ctx.actions.push(proxy_message::ProxyAction::SendPoolReply { link, reply });
}
