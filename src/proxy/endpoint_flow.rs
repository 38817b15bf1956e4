//! What the store tells of endpoints: registrations, their end, evacuated data centres.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::circuit_breaker;
use crate::proxy::connection_flow;
use crate::proxy::endpoint_view;
use crate::proxy::proxy_context;
use crate::proxy::store_message;
use crate::proxy::store_sync;

/// Time for which an endpoint that is gone is remembered.
const GONE_KEPT: Duration = Duration::from_secs(60);
/// Latency assumed of an endpoint that has not answered yet, in milliseconds.
const FIRST_LATENCY_MS: f64 = 20.0;

/// Takes up a registration, new or changed.
pub fn apply_registration(
    ctx: &mut proxy_context::ProxyContext,
    entry: store_message::EndpointRegistration,
) {
    let group = store_sync::group_key(ctx, &entry.group);
    let now = ctx.now;
    let evacuated = ctx.evacuations.get(&entry.data_centre).copied();
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
        let draining = entry.draining.then_some(now);
        let endpoint = ctx.endpoints.insert(endpoint_view::EndpointView {
            entry,
            group,
            gone: None,
            draining,
            evacuated,
            circuit: circuit_breaker::CircuitBreaker::default(),
            connections: Vec::new(),
            connection_limit_until: Default::default(),
            queue: Vec::new(),
            position: Default::default(),
            lag_count: 0,
            lagging_until: Default::default(),
            answered: Default::default(),
            failing: None,
            refused_since: None,
            report: None,
            latency_ms: FIRST_LATENCY_MS,
        });
        ctx.endpoint_names.insert(id, endpoint);
        ctx.groups[group].endpoints.push(endpoint);
        return;
    };
    let view = &mut ctx.endpoints[endpoint];
    let reborn = view.entry.born != entry.born || view.entry.address != entry.address;
    let moved = view.group != group;
    let old_group = view.group;
    if view.entry.draining != entry.draining || view.gone.is_some() || reborn {
        log::info!(
            "event=endpoint_changed endpoint={} draining={} back={} reborn={reborn} primary={}",
            entry.id,
            entry.draining,
            view.gone.is_some(),
            entry.primary
        );
    }
    view.gone = None;
    view.draining = if entry.draining { view.draining.or(Some(now)) } else { None };
    view.evacuated = evacuated;
    view.group = group;
    view.entry = entry;
    if reborn {
        view.position = Default::default();
        view.report = None;
    }
    if moved {
        ctx.groups[old_group].endpoints.retain(|member| *member != endpoint);
        ctx.groups[group].endpoints.push(endpoint);
    }
    if reborn || moved {
        close_links(ctx, endpoint);
    }
}

/// Notes that a registration vanished; it may come back.
pub fn mark_deregistered(ctx: &mut proxy_context::ProxyContext, id: &str) {
    let now = ctx.now;
    let Some(endpoint) = ctx.endpoint_names.get(id).copied() else { return };
    log::info!("event=endpoint_gone endpoint={id}");
    ctx.endpoints[endpoint].gone.get_or_insert(now);
}

fn close_links(ctx: &mut proxy_context::ProxyContext, endpoint: arena_keys::EndpointKey) {
    for connection in ctx.endpoints[endpoint].connections.clone() {
        connection_flow::on_closed(ctx, connection, false);
    }
    ctx.endpoints[endpoint].circuit.succeed();
    ctx.endpoints[endpoint].failing = None;
}

/// Notes that a data centre is being evacuated, or is no longer.
pub fn set_evacuation(ctx: &mut proxy_context::ProxyContext, centre: String, on: bool) {
    log::info!("event=evacuation data_centre={centre} on={on}");
    let now = ctx.now;
    if on {
        ctx.evacuations.entry(centre.clone()).or_insert(now);
    } else {
        ctx.evacuations.remove(&centre);
    }
    let since = ctx.evacuations.get(&centre).copied();
    for endpoint in ctx.endpoints.values_mut() {
        if endpoint.entry.data_centre == centre {
            endpoint.evacuated = since;
        }
    }
}

/// Forgets endpoints that have been gone for long and that nothing refers to.
pub fn remove_deregistered(ctx: &mut proxy_context::ProxyContext) {
    let recorded = |id: &String| {
        ctx.groups
            .values()
            .filter_map(|group| group.record.as_ref())
            .any(|record| record.primary == *id || record.candidate.as_ref() == Some(id))
    };
    let gone: Vec<arena_keys::EndpointKey> = ctx
        .endpoints
        .iter()
        .filter(|(_, view)| {
            let past = view.gone.is_some_and(|since| ctx.now.since(since) >= GONE_KEPT);
            past && view.connections.is_empty()
                && view.queue.is_empty()
                && !recorded(&view.entry.id)
        })
        .map(|(key, _)| key)
        .collect();
    for endpoint in gone {
        let Some(view) = ctx.endpoints.remove(endpoint) else { continue };
        log::info!("event=endpoint_forgotten endpoint={}", view.entry.id);
        ctx.endpoint_names.remove(&view.entry.id);
        ctx.groups[view.group].endpoints.retain(|member| *member != endpoint);
    }
}
