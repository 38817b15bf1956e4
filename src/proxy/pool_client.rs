//! Leases connections from serving hosts, one for each queued request, and follows the links to
//! these hosts.
//!
//! A leased connection is in `connections` like one of this host's own, in the state `opening` until
//! the lease is granted. The key of the connection is the channel of its lease.

use std::time::Duration;

use slotmap::{Key, KeyData};

use crate::core::arena_keys;
use crate::core::chart_cursor;
use crate::core::request_verdict;
use crate::proxy::asked_lease;
use crate::proxy::connection_flow;
use crate::proxy::connection_state;
use crate::proxy::endpoint_command;
use crate::proxy::pending_request;
use crate::proxy::placement_policy;
use crate::proxy::pool_message;
use crate::proxy::pool_server;
use crate::proxy::proxy_context;
use crate::proxy::proxy_message;
use crate::proxy::request_flow;
use crate::proxy::serving_hosts;
use crate::proxy::serving_link;
use crate::proxy::store_record;

/// Identifier of the link of a serving host to itself, which needs no transport.
pub const OWN_LINK: pool_message::LinkId = pool_message::LinkId::MAX;
/// Time without a reply, while leases are open, after which a serving host is pinged.
const PING_AFTER: Duration = Duration::from_millis(200);
/// Time without a reply to a ping after which the link is given up.
const SILENCE_MAX: Duration = Duration::from_millis(400);
/// Periodic checks that a silence must span, so that a pause of this process is not taken for one
/// of the serving host.
const SILENT_CHECKS_MIN: u32 = 3;
/// Time without leases after which a link is closed.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Serving hosts that must fail to connect to an endpoint before it is taken to be unreachable.
const UNREACHABLE_HOSTS: usize = 2;

/// Asks for a lease for each queued request of the endpoint that has none. Returns whether every
/// request has one; otherwise no serving host can be asked.
pub fn lease_for_queue(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
) -> bool {
    for position in 0..ctx.endpoints[endpoint].queue.len() {
        let request = ctx.endpoints[endpoint].queue[position];
        if ctx.requests[request].lease.is_some() {
            continue;
        }
        let Some(link) = choose_link(ctx, endpoint) else { return false };
        ask(ctx, endpoint, request, link);
    }
    true
}

/// Handles a reply of a serving host.
pub fn on_reply(
    ctx: &mut proxy_context::ProxyContext,
    address: &str,
    reply: pool_message::PoolReply,
) {
    let Some(key) = ctx.leases.addresses.get(address).copied() else { return };
    let now = ctx.now;
    let link = &mut ctx.leases.links[key];
    link.heard_at = now;
    link.pinged = None;
    link.unheard = false;
    let refused_service = matches!(
        reply,
        pool_message::PoolReply::Refused { cause: pool_message::LeaseRefusal::NotServing, .. }
    );
    if !refused_service && !ctx.leases.suspected.is_empty() {
        ctx.leases.suspected.remove(&link.host);
    }
    match reply {
        pool_message::PoolReply::Leased { channel, values, prepared } => {
            let Some(connection) = find(ctx, key, channel) else { return };
            if let Some(view) = ctx.connections.get_mut(connection).filter(|view| view.opening()) {
                view.values = values;
                view.prepared = prepared;
                on_leased(ctx, connection);
            }
        }
        pool_message::PoolReply::Refused { channel, cause, retry_after_ms } => {
            let Some(connection) = find(ctx, key, channel) else { return };
            let retry_after = Duration::from_millis(u64::from(retry_after_ms));
            if ctx.connections[connection].opening() {
                on_refused(ctx, connection, cause, retry_after);
            }
        }
        pool_message::PoolReply::Response { channel, response } => {
            let Some(connection) = find(ctx, key, channel) else { return };
            connection_flow::on_response(ctx, connection, response);
        }
        pool_message::PoolReply::Ended { channel } => {
            let Some(connection) = find(ctx, key, channel) else { return };
            if ctx.connections[connection].opening() {
                // Nothing was leased, so another serving host may have the connection.
                let refusal = pool_message::LeaseRefusal::NotServing;
                return on_refused(ctx, connection, refusal, Duration::ZERO);
            }
            mark_ended(ctx, connection);
            connection_flow::on_closed(ctx, connection, false);
        }
        pool_message::PoolReply::OrderLost { channel } => {
            let Some(connection) = find(ctx, key, channel) else { return };
            mark_ended(ctx, connection);
            connection_flow::on_order_lost(ctx, connection);
        }
        pool_message::PoolReply::Pong => {}
    }
}

/// Ends all leases on a link that was lost, and suspects its serving host. The endpoints are not to
/// blame. Requests that wait for a lease, or were not sent, ask the next serving host.
pub fn on_link_lost(ctx: &mut proxy_context::ProxyContext, address: &str) {
    let Some(key) = ctx.leases.addresses.remove(address) else { return };
    let Some(link) = ctx.leases.links.remove(key) else { return };
    ctx.counts.pool_links_lost += 1;
    suspect(ctx, &link.host, "link_lost");
    let mut lost: Vec<arena_keys::ConnectionKey> = Vec::new();
    for (connection, view) in &mut ctx.connections {
        if let Some(lease) = view.lease.as_mut().filter(|lease| lease.link == key) {
            lease.ended = true;
            lost.push(connection);
        }
    }
    let mut waiting: Vec<arena_keys::EndpointKey> = Vec::new();
    for connection in lost {
        let Some(view) = ctx.connections.get(connection) else { continue };
        let (endpoint, opening) = (view.endpoint, view.opening());
        let (user, pinned) = (view.user, view.pinned);
        connection_flow::remove(ctx, connection, "failed");
        if opening && !waiting.contains(&endpoint) {
            waiting.push(endpoint);
        }
        if let Some(connection_state::ConnectionUser::Request(request)) = user {
            request_flow::on_link_lost(ctx, request);
        } else if let Some(session) = pinned {
            request_flow::fail_transaction(ctx, session, "link_lost");
        }
    }
    for endpoint in waiting {
        connection_flow::open_for_queue(ctx, endpoint);
    }
}

/// Checks that the serving hosts of open leases respond, and closes links without leases.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    let now = ctx.now;
    ctx.leases.expire_suspicions(now);
    ping_suspected(ctx);
    let mut silent: Vec<String> = Vec::new();
    let mut idle: Vec<String> = Vec::new();
    let mut pings: Vec<String> = Vec::new();
    for link in ctx.leases.links.values_mut() {
        if link.host == ctx.identity.host {
            continue;
        }
        let quiet = now.since(link.heard_at);
        if link.leases == 0 && !link.unheard {
            if quiet >= LINK_IDLE_TIMEOUT {
                idle.push(link.address.clone());
            }
            continue;
        }
        if let Some((sent_at, checks)) = &mut link.pinged {
            *checks += 1;
            if now.since(*sent_at) >= SILENCE_MAX && *checks >= SILENT_CHECKS_MIN {
                silent.push(link.address.clone());
            }
        } else if quiet >= PING_AFTER {
            link.pinged = Some((now, 0));
            pings.push(link.address.clone());
        }
    }
    for address in pings {
        let request = pool_message::PoolRequest::Ping;
        ctx.actions.push(proxy_message::ProxyAction::SendPoolRequest { address, request });
    }
    for address in silent {
        let action = proxy_message::ProxyAction::ClosePoolLink { address: address.clone() };
        ctx.actions.push(action);
        on_link_lost(ctx, &address);
    }
    for address in idle {
        if let Some(key) = ctx.leases.addresses.remove(&address) {
            ctx.leases.links.remove(key);
        }
        ctx.actions.push(proxy_message::ProxyAction::ClosePoolLink { address });
    }
}

/// Pings suspected hosts whose pause is over, so that no caller's request has to try them, and
/// forgets those that do not run.
fn ping_suspected(ctx: &mut proxy_context::ProxyContext) {
    let now = ctx.now;
    let due = ctx.leases.suspected.iter().filter(|(_, suspicion)| !suspicion.active(now));
    let due: Vec<String> = due.map(|(host, _)| host.clone()).collect();
    for host in due {
        let running = ctx.members.get(&host).filter(|member| member.removed_at.is_none());
        let record = running.map(|member| member.record.clone());
        let Some(link) = record.and_then(|record| link_to(ctx, &record)) else {
            ctx.leases.suspected.remove(&host);
            continue;
        };
        if let Some(suspicion) = ctx.leases.suspected.get_mut(&host) {
            suspicion.raise(now);
        }
        send(ctx, link, pool_message::PoolRequest::Ping);
    }
}

/// Delivers the requests of this host to itself as serving host, and its replies.
pub fn deliver_own(ctx: &mut proxy_context::ProxyContext) {
    loop {
        while let Some(request) = ctx.leases.own_requests.pop_front() {
            pool_server::on_request(ctx, OWN_LINK, request);
        }
        let is_own = |action: &mut proxy_message::ProxyAction| {
            matches!(action, proxy_message::ProxyAction::SendPoolReply { link: OWN_LINK, .. })
        };
        let replies: Vec<_> = ctx.actions.extract_if(.., is_own).collect();
        if replies.is_empty() {
            return;
        }
        let Some(address) = serving_hosts::pool_address(&ctx.identity.address) else { return };
        for action in replies {
            if let proxy_message::ProxyAction::SendPoolReply { reply, .. } = action {
                on_reply(ctx, &address, reply);
            }
        }
    }
}

/// Sends a command on a leased connection.
pub fn send_command(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    link: arena_keys::LinkKey,
    command: endpoint_command::EndpointCommand,
) {
    let channel = channel_of(connection);
    send(ctx, link, pool_message::PoolRequest::Command { channel, command });
}

/// Releases a lease, or withdraws the request for it. `granted` tells which.
pub fn release(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    endpoint: arena_keys::EndpointKey,
    lease: asked_lease::AskedLease,
    granted: bool,
) {
    let now = ctx.now;
    if let Some(state) = ctx.requests.get_mut(lease.request).filter(|_| !granted)
        && state.lease == Some(connection)
    {
        state.lease = None;
    }
    if let Some(link) = ctx.leases.links.get_mut(lease.link) {
        link.leases = link.leases.saturating_sub(1);
    }
    if lease.ended {
        return;
    }
    if !granted {
        let wait = now.since(lease.asked_at);
        ctx.endpoints[endpoint].lease_wait.observe_at_least(now, wait);
    }
    let channel = channel_of(connection);
    send(ctx, lease.link, pool_message::PoolRequest::Release { channel });
}

/// Withdraws the request for a lease that a caller's request no longer waits for.
pub fn withdraw(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    let lease = ctx.requests.get_mut(request).and_then(|state| state.lease.take());
    if let Some(connection) = lease {
        connection_flow::remove(ctx, connection, "discarded");
    }
}

/// Handles a command on a leased connection that the endpoint has not responded to for long: the
/// serving host may be cut off from the endpoint, so that the next one is asked for a while.
pub fn on_unresponsive(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    link: arena_keys::LinkKey,
) {
    let Some(host) = ctx.leases.links.get(link).map(|link| link.host.clone()) else { return };
    if ctx.leases.is_suspected(&host, endpoint, ctx.now) {
        return;
    }
    raise_unreachable(ctx, endpoint, host, "no_response");
}

fn raise_unreachable(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    host: String,
    cause: &str,
) {
    let now = ctx.now;
    let id = ctx.endpoints[endpoint].entry.id.clone();
    let line_host = host.clone();
    let pause = ctx.leases.unreachable.entry((endpoint, host)).or_default().raise(now);
    ctx.log_limited(|| {
        format!(
            "event=serving_host_suspected host={line_host} endpoint={id} cause={cause} for_ms={}",
            pause.as_millis()
        )
    });
}

/// Whether the serving host of a leased connection has replied within the last `duration`, which
/// it does at least to pings.
pub fn is_heard(
    ctx: &proxy_context::ProxyContext,
    link: arena_keys::LinkKey,
    duration: Duration,
) -> bool {
    let link = ctx.leases.links.get(link);
    link.is_some_and(|link| {
        link.host == ctx.identity.host || ctx.now.since(link.heard_at) < duration
    })
}

fn channel_of(connection: arena_keys::ConnectionKey) -> pool_message::ChannelId {
    connection.data().as_ffi()
}

/// Returns the connection of a channel if it is leased on this link.
fn find(
    ctx: &proxy_context::ProxyContext,
    link: arena_keys::LinkKey,
    channel: pool_message::ChannelId,
) -> Option<arena_keys::ConnectionKey> {
    let connection = arena_keys::ConnectionKey::from(KeyData::from_ffi(channel));
    let lease = ctx.connections.get(connection)?.lease?;
    (lease.link == link).then_some(connection)
}

/// Returns the link to the host that serves the endpoint; `None` if no host can be asked.
fn choose_link(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
) -> Option<arena_keys::LinkKey> {
    let record = serving_hosts::choose(ctx, endpoint)?.record.clone();
    link_to(ctx, &record)
}

/// Returns the link to a host, which is opened with the first request.
fn link_to(
    ctx: &mut proxy_context::ProxyContext,
    record: &store_record::MemberRecord,
) -> Option<arena_keys::LinkKey> {
    let known = ctx
        .leases
        .links
        .iter()
        .find(|(_, link)| link.host == record.host && link.member_address == record.address);
    if let Some((key, _)) = known {
        return Some(key);
    }
    let address = serving_hosts::pool_address(&record.address)?;
    let link = serving_link::ServingLink {
        host: record.host.clone(),
        member_address: record.address.clone(),
        address: address.clone(),
        leases: 0,
        unheard: false,
        heard_at: ctx.now,
        pinged: None,
    };
    let key = ctx.leases.links.insert(link);
    ctx.leases.addresses.insert(address, key);
    Some(key)
}

fn ask(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    request: arena_keys::StatementKey,
    key: arena_keys::LinkKey,
) {
    let now = ctx.now;
    let state = &ctx.requests[request];
    let account = state.account;
    let pending_request::RequestPhase::Queued { until, .. } = state.phase else { return };
    let target_at = state.arrived.after(state.route.target_latency);
    let urgency = pool_message::LeaseUrgency {
        priority: state.route.priority,
        target_ms: whole_millis(target_at.since(now)),
        wait_ms: whole_millis(until.since(now)),
    };
    let lease = asked_lease::AskedLease { link: key, request, asked_at: now, ended: false };
    let cursor = chart_cursor::ChartCursor::new(ctx.connection_chart.clone());
    let view = connection_state::ConnectionState::new(endpoint, account, cursor, now);
    let view = connection_state::ConnectionState { lease: Some(lease), ..view };
    let connection = ctx.connections.insert(view);
    ctx.requests[request].lease = Some(connection);
    ctx.counts.leases_asked += 1;
    let view = &mut ctx.endpoints[endpoint];
    view.connections.push(connection);
    let request = pool_message::PoolRequest::Lease {
        channel: channel_of(connection),
        endpoint: view.entry.id.clone(),
        account: account.map(|account| ctx.accounts[account].name.clone()).unwrap_or_default(),
        urgency,
    };
    let link = &mut ctx.leases.links[key];
    if link.leases == 0 && !link.unheard {
        link.heard_at = now;
    }
    link.unheard = true;
    link.leases += 1;
    send(ctx, key, request);
}

fn send(
    ctx: &mut proxy_context::ProxyContext,
    link: arena_keys::LinkKey,
    request: pool_message::PoolRequest,
) {
    let Some(link) = ctx.leases.links.get(link) else { return };
    if link.host == ctx.identity.host {
        return ctx.leases.own_requests.push_back(request);
    }
    let address = link.address.clone();
    ctx.actions.push(proxy_message::ProxyAction::SendPoolRequest { address, request });
}

/// Starts the request that the lease was asked for, or another one of the same account.
fn on_leased(ctx: &mut proxy_context::ProxyContext, connection: arena_keys::ConnectionKey) {
    let now = ctx.now;
    let view = &mut ctx.connections[connection];
    view.cursor.fire("opened");
    let endpoint = view.endpoint;
    let Some(lease) = view.lease else { return };
    let wait = now.since(lease.asked_at);
    ctx.lease_waits.record(proxy_context::LEASE_WAITS, wait);
    ctx.endpoints[endpoint].lease_wait.observe(now, wait);
    if let Some(link) = ctx.leases.links.get(lease.link)
        && !ctx.leases.unreachable.is_empty()
    {
        ctx.leases.unreachable.remove(&(endpoint, link.host.clone()));
    }
    if let Some(state) = ctx.requests.get_mut(lease.request)
        && state.lease == Some(connection)
    {
        state.lease = None;
        ctx.endpoints[endpoint].queue.retain(|waiting| *waiting != lease.request);
        if connection_flow::dispatch(ctx, connection, lease.request)
            || !ctx.connections.contains_key(connection)
        {
            return;
        }
    }
    connection_flow::set_idle(ctx, connection);
}

fn on_refused(
    ctx: &mut proxy_context::ProxyContext,
    connection: arena_keys::ConnectionKey,
    cause: pool_message::LeaseRefusal,
    retry_after: Duration,
) {
    mark_ended(ctx, connection);
    let view = &ctx.connections[connection];
    let endpoint = view.endpoint;
    let Some(lease) = view.lease else { return };
    let host = ctx.leases.links[lease.link].host.clone();
    connection_flow::remove(ctx, connection, "failed");
    let name = match cause {
        pool_message::LeaseRefusal::Busy => "busy",
        pool_message::LeaseRefusal::NotServing => "not_serving",
        pool_message::LeaseRefusal::Unreachable => "unreachable",
    };
    *ctx.counts.lease_refusals.entry(name).or_default() += 1;
    let id = ctx.endpoints[endpoint].entry.id.clone();
    let line_host = host.clone();
    ctx.log_limited(|| {
        format!(
            "event=lease_refused endpoint={id} host={line_host} cause={name} retry_ms={}",
            retry_after.as_millis()
        )
    });
    let now = ctx.now;
    match cause {
        pool_message::LeaseRefusal::Busy => {
            ctx.endpoints[endpoint].lease_wait.observe(now, retry_after);
            on_busy(ctx, endpoint, lease.request, retry_after);
        }
        pool_message::LeaseRefusal::NotServing => {
            suspect(ctx, &host, "not_serving");
            connection_flow::open_for_queue(ctx, endpoint);
        }
        pool_message::LeaseRefusal::Unreachable => {
            raise_unreachable(ctx, endpoint, host, "unreachable");
            if ctx.leases.unreachable_count(endpoint, now) < UNREACHABLE_HOSTS {
                return connection_flow::open_for_queue(ctx, endpoint);
            }
            connection_flow::record_failure(ctx, endpoint);
            ctx.endpoints[endpoint].connections_refused_since.get_or_insert(now);
            let cause = request_verdict::VerdictCause::NoEndpoint;
            request_flow::leave_queue(ctx, lease.request);
            request_flow::retry_elsewhere(ctx, lease.request, endpoint, cause);
        }
    }
}

/// Moves a read to another endpoint after the serving host could not lease a connection in time.
/// Refuses any other request at once.
fn on_busy(
    ctx: &mut proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
    request: arena_keys::StatementKey,
    retry_after: Duration,
) {
    if !ctx.requests.contains_key(request) {
        return;
    }
    request_flow::leave_queue(ctx, request);
    let (now, attempts_max) = (ctx.now, ctx.tuning.attempts_max);
    let state = &mut ctx.requests[request];
    state.attempts += 1;
    state.avoided.push(endpoint);
    let retried = state.attempts < attempts_max && now < state.deadline;
    if retried && !placement_policy::needs_primary(ctx, request) {
        let placed = placement_policy::choose_endpoint(ctx, request)
            .and_then(|other| connection_flow::acquire(ctx, other, request));
        if placed.is_ok() {
            ctx.counts.retries += 1;
            return;
        }
    }
    let cause = request_verdict::VerdictCause::QueueFull;
    request_flow::refuse_until(ctx, request, cause, retry_after);
}

/// Records that the serving host has ended the lease by itself.
fn mark_ended(ctx: &mut proxy_context::ProxyContext, connection: arena_keys::ConnectionKey) {
    if let Some(lease) = &mut ctx.connections[connection].lease {
        lease.ended = true;
    }
}

fn suspect(ctx: &mut proxy_context::ProxyContext, host: &str, cause: &str) {
    let now = ctx.now;
    let pause = ctx.leases.suspected.entry(host.to_owned()).or_default().raise(now);
    log::info!(
        "event=serving_host_suspected host={host} cause={cause} for_ms={}",
        pause.as_millis()
    );
}

fn whole_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
