//! Applies endpoints' registrations and evacuations of data centres as the store reports them.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::circuit_breaker;
use crate::proxy::connection_flow;
use crate::proxy::endpoint_view;
use crate::proxy::holder_flow;
use crate::proxy::pool_server;
use crate::proxy::proxy_context;
use crate::proxy::store_message;
use crate::proxy::store_sync;

/// Time for which a deregistered endpoint is kept.
const DEREGISTERED_RETENTION: Duration = Duration::from_secs(60);
/// Latency assumed for an endpoint that has not responded yet, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 20.0;

/// Applies a new or changed registration. Closes the endpoint's connections if it was restarted or
/// moved.
pub fn apply_registration(
    ctx: &mut proxy_context::ProxyContext,
    entry: store_message::EndpointRegistration,
) {
    let group = store_sync::group_key(ctx, &entry.group);
    let now = ctx.now;
    let evacuated_since = ctx.evacuations.get(&entry.data_centre).copied();
    let Some(endpoint) = ctx.endpoint_names.get(&entry.id).copied() else {
        log::info!(
            "event=endpoint_registered endpoint={} group={} address={} primary={} draining={}",
            entry.id,
            entry.group,
            entry.address,
            entry.primary,
            entry.draining
        );
        let id = entry.id.clone();
        let draining_since = entry.draining.then_some(now);
        let endpoint = ctx.endpoints.insert(endpoint_view::EndpointView {
            entry,
            group,
            deregistered_since: None,
            draining_since,
            evacuated_since,
            circuit: circuit_breaker::CircuitBreaker::default(),
            connections: Vec::new(),
            connection_limit_until: Default::default(),
            queue: Vec::new(),
            position: Default::default(),
            lag_count: 0,
            lagging_until: Default::default(),
            last_response_at: Default::default(),
            unresponsive_since: None,
            connections_refused_since: None,
            report: None,
            latency_ms: INITIAL_LATENCY_MS,
            lease_wait: Default::default(),
        });
        ctx.endpoint_names.insert(id, endpoint);
        ctx.groups[group].endpoints.push(endpoint);
        holder_flow::on_registration_changed(ctx, group);
        return;
    };
    let view = &mut ctx.endpoints[endpoint];
    let restarted = view.entry.born != entry.born || view.entry.address != entry.address;
    let moved = view.group != group;
    let returned = view.deregistered_since.is_some();
    let old_group = view.group;
    if view.entry.draining != entry.draining || returned || restarted {
        log::info!(
            "event=endpoint_changed endpoint={} draining={} returned={returned} restarted={restarted} primary={}",
            entry.id,
            entry.draining,
            entry.primary
        );
    }
    view.deregistered_since = None;
    view.draining_since = if entry.draining { view.draining_since.or(Some(now)) } else { None };
    view.evacuated_since = evacuated_since;
    view.group = group;
    view.entry = entry;
    if restarted {
        view.position = Default::default();
        view.report = None;
    }
    if moved {
        ctx.groups[old_group].endpoints.retain(|member| *member != endpoint);
        ctx.groups[group].endpoints.push(endpoint);
        let mut predecessors = ctx.groups[old_group].predecessors.clone();
        predecessors.insert(old_group);
        ctx.groups[group].predecessors.append(&mut predecessors);
    }
    if restarted || moved || returned {
        holder_flow::on_registration_changed(ctx, group);
    }
    if restarted || moved {
        close_connections(ctx, endpoint);
        pool_server::close_endpoint(ctx, endpoint, "endpoint_restarted");
    }
}

/// Marks an endpoint as deregistered; it may register again.
pub fn mark_deregistered(ctx: &mut proxy_context::ProxyContext, id: &str) {
    let now = ctx.now;
    let Some(endpoint) = ctx.endpoint_names.get(id).copied() else { return };
    log::info!("event=endpoint_deregistered endpoint={id}");
    ctx.endpoints[endpoint].deregistered_since.get_or_insert(now);
    let group = ctx.endpoints[endpoint].group;
    holder_flow::on_registration_changed(ctx, group);
}

fn close_connections(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
    for connection in ctx.endpoints[endpoint].connections.clone() {
        // The serving host keeps its queue of leases.
        let asked =
            ctx.connections.get(connection).is_some_and(|view| view.leased() && view.opening());
        if asked {
            continue;
        }
        connection_flow::on_closed(ctx, connection, false);
    }
    ctx.endpoints[endpoint].circuit.succeed();
    ctx.endpoints[endpoint].unresponsive_since = None;
}

/// Starts or ends the evacuation of a data centre.
pub fn set_evacuation(ctx: &mut proxy_context::ProxyContext, data_centre: String, on: bool) {
    log::info!("event=evacuation data_centre={data_centre} on={on}");
    let now = ctx.now;
    if on {
        ctx.evacuations.entry(data_centre.clone()).or_insert(now);
    } else {
        ctx.evacuations.remove(&data_centre);
    }
    let since = ctx.evacuations.get(&data_centre).copied();
    for endpoint in ctx.endpoints.values_mut() {
        if endpoint.entry.data_centre == data_centre {
            endpoint.evacuated_since = since;
        }
    }
}

/// Removes endpoints that have been deregistered for long, and that no connection, queued request
/// or group record refers to.
pub fn remove_deregistered(ctx: &mut proxy_context::ProxyContext) {
    let in_record = |id: &String| {
        ctx.groups
            .values()
            .filter_map(|group| group.record.as_ref())
            .any(|record| record.primary == *id || record.candidate.as_ref() == Some(id))
    };
    let expired: Vec<arena_keys::EndpointKey> = ctx
        .endpoints
        .iter()
        .filter(|(_, view)| {
            let past = view
                .deregistered_since
                .is_some_and(|since| ctx.now.since(since) >= DEREGISTERED_RETENTION);
            past && view.connections.is_empty()
                && view.queue.is_empty()
                && !in_record(&view.entry.id)
        })
        .map(|(key, _)| key)
        .collect();
    for endpoint in expired {
        let Some(view) = ctx.endpoints.remove(endpoint) else { continue };
        log::info!("event=endpoint_removed endpoint={}", view.entry.id);
        ctx.endpoint_names.remove(&view.entry.id);
        ctx.groups[view.group].endpoints.retain(|member| *member != endpoint);
    }
}
