//! Fetches the parts of a newly published configuration and applies it on this host.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use rand::seq::IndexedRandom;

use crate::config::config_head;
use crate::config::config_object;
use crate::config::fleet_config;
use crate::core::account_state;
use crate::core::activation_flow;
use crate::core::arena_keys;
use crate::core::call_purpose;
use crate::core::caller_flow;
use crate::core::circuit_breaker;
use crate::core::clock_time;
use crate::core::connection_flow;
use crate::core::core_context;
use crate::core::core_message;
use crate::core::endpoint_state;
use crate::core::failover_flow;
use crate::core::grant_index;
use crate::core::group_record;
use crate::core::group_state;
use crate::core::leaving_flow;
use crate::core::peer_message;
use crate::core::peer_table;
use crate::core::platform_message;
use crate::core::rate_limiter;
use crate::core::rendezvous_rank;
use crate::core::share_ledger;
use crate::core::timer_queue;

/// Connections of an endpoint that are reserved for its operators and replicas.
const CONNECTIONS_RESERVED: u32 = 2;
/// Time between two rounds of requests for missing parts.
const PARTS_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a host that received a head from a peer requests the parts from that peer only,
/// and not from the platform.
const SOURCE_PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Handles a changed live record. If it is a newer configuration head, starts to fetch its parts.
/// `from` is the address of the peer that sent the record, `None` if the platform did.
pub fn on_live_record(ctx: &mut core_context::CoreContext, key: &str, from: Option<&str>) {
    if key != config_head::head_key() {
        return;
    }
    let Some(entry) = ctx.live_records.entry(key) else { return };
    match config_head::ConfigHead::decode(&entry.value) {
        Ok(head) if head.version > ctx.config.known_version() => {
            ctx.config.pending = Some(head);
            ctx.config.pending_confirmed = None;
            ctx.config.pending_since = ctx.now;
            ctx.config.pending_source = from.map(str::to_owned);
            fetch_missing(ctx);
            apply_if_complete(ctx);
        }
        Ok(head) => {
            log::debug!("configuration {} is not newer than the known one; ignored", head.version)
        }
        Err(error) => log::error!("cannot decode the configuration head: {error:#}"),
    }
}

/// Handles a received part of the configuration; `bytes` is `None` if the host or store asked did
/// not have it.
pub fn on_part(ctx: &mut core_context::CoreContext, hash: &str, bytes: Option<Vec<u8>>) {
    let wanted = ctx.config.missing_parts().iter().any(|missing| missing == hash);
    match bytes {
        Some(bytes) if wanted && config_head::part_hash(&bytes) == hash => {
            ctx.config.parts.insert(hash.to_owned(), bytes);
            apply_if_complete(ctx);
        }
        Some(_) if wanted => log::error!("configuration part {hash} does not match its hash"),
        _ => {}
    }
}

/// Handles the platform's reply to a read of a part.
pub fn on_part_reply(
    ctx: &mut core_context::CoreContext,
    hash: &str,
    reply: Option<platform_message::PlatformReply>,
) {
    let bytes = match reply {
        Some(platform_message::PlatformReply::Value(Some(entry))) => Some(entry.value),
        _ => None,
    };
    on_part(ctx, hash, bytes);
}

/// Requests each missing part: from the platform and a random peer if the head came from the
/// platform, or else from the peer that sent the head. Once `SOURCE_PEER_TIMEOUT` has passed, a
/// random peer and the platform are asked in either case.
pub fn fetch_missing(ctx: &mut core_context::CoreContext) {
    let missing = ctx.config.missing_parts();
    if missing.is_empty() {
        return;
    }
    let timed_out = ctx.now.since(ctx.config.pending_since) >= SOURCE_PEER_TIMEOUT;
    let source = ctx.config.pending_source.clone();
    let platform = timed_out || source.is_none();
    let peer = if timed_out || source.is_none() { random_peer(ctx) } else { source };
    for hash in missing {
        let purpose = call_purpose::CallPurpose::Part { hash: hash.clone() };
        if platform {
            let key = config_head::part_key(&hash);
            ctx.call_platform(purpose.clone(), platform_message::PlatformRequest::Get { key });
        }
        if let Some(address) = peer.clone() {
            let call = ctx.register_call(purpose);
            let request = peer_message::PeerRequest::Part { hash };
            ctx.control.peer_calls += 1;
            ctx.actions.push(core_message::CoreAction::CallPeer { call, address, request });
        }
    }
    ctx.set_timer(PARTS_RETRY_INTERVAL, timer_queue::TimerKind::ConfigParts);
}

fn random_peer(ctx: &mut core_context::CoreContext) -> Option<String> {
    let usable = ctx.peers.peers.values().filter(|peer| peer.last_reply_at.is_some());
    let mut addresses: Vec<String> = usable.map(|peer| peer.address.clone()).collect();
    if addresses.is_empty() {
        addresses.clone_from(&ctx.identity.seeds);
    }
    addresses.choose(&mut ctx.rng).cloned()
}

fn apply_if_complete(ctx: &mut core_context::CoreContext) {
    if ctx.config.pending.is_none() || !ctx.config.missing_parts().is_empty() {
        return;
    }
    let Some(head) = ctx.config.pending.take() else { return };
    match update_config(ctx, &head) {
        Ok(()) => apply_config(ctx, head),
        Err(error) => log::error!("cannot apply configuration {}: {error:#}", head.version),
    }
}

/// Applies the parts that differ to the active objects; unchanged parts are not decoded again.
fn update_config(
    ctx: &mut core_context::CoreContext,
    head: &config_head::ConfigHead,
) -> Result<()> {
    let old = ctx.config.head.as_ref().map(|head| head.parts.as_slice()).unwrap_or_default();
    let old: BTreeSet<&String> = old.iter().collect();
    let new: BTreeSet<&String> = head.parts.iter().collect();
    let decode = |hash: &&String| config_head::decode_part(&ctx.config.parts[*hash]);
    let removed: Vec<Vec<config_object::ConfigObject>> =
        old.difference(&new).map(decode).collect::<Result<_>>()?;
    let added: Vec<Vec<config_object::ConfigObject>> =
        new.difference(&old).map(decode).collect::<Result<_>>()?;
    let config = Arc::make_mut(&mut ctx.config.active);
    for object in removed.iter().flatten() {
        config.remove(object);
    }
    for object in added.into_iter().flatten() {
        config.insert(object)?;
    }
    Ok(())
}

/// Makes a complete configuration the active one and updates all state derived from it.
fn apply_config(ctx: &mut core_context::CoreContext, head: config_head::ConfigHead) {
    log::info!("configuration {} is active", head.version);
    let used: BTreeSet<&String> = head.parts.iter().collect();
    ctx.config.parts.retain(|hash, _| used.contains(hash));
    ctx.config.head = Some(head);
    ctx.config.applied_at = ctx.now;
    ctx.config.activation_scheduled = false;
    ctx.peers.clear_confirmations();
    if let Some(at) = ctx.config.pending_confirmed.take() {
        ctx.peers.record_platform_confirmation(at);
    }
    let config = ctx.config.active.clone();
    ctx.config.grants = grant_index::GrantIndex::new(&config);
    apply_peers(ctx, &config);
    apply_endpoints(ctx, &config);
    apply_groups(ctx, &config);
    apply_accounts(ctx, &config);
    activation_flow::activate_shares(ctx);
    leaving_flow::apply(ctx);
    caller_flow::close_revoked(ctx);
}

fn apply_peers(ctx: &mut core_context::CoreContext, config: &fleet_config::FleetConfig) {
    let own = ctx.identity.name.clone();
    ctx.peers.peers.retain(|name, _| config.hosts.contains_key(name));
    for host in config.hosts.values().filter(|host| host.name != own) {
        let peer =
            ctx.peers.peers.entry(host.name.clone()).or_insert_with(|| peer_table::PeerState {
                address: host.address.clone(),
                data_centre: host.data_centre.clone(),
                incarnation: 0,
                last_reply_at: None,
                last_failure_at: None,
                leaving: false,
            });
        peer.address = host.address.clone();
        peer.data_centre = host.data_centre.clone();
    }
}

fn apply_endpoints(ctx: &mut core_context::CoreContext, config: &fleet_config::FleetConfig) {
    // Hosts out of service keep their control connections, so every host counts towards the limit.
    let hosts = (config.hosts.len() as u32).max(1);
    for object in config.endpoints.values() {
        let known = ctx.endpoint_names.get(&object.name).copied();
        let key = known.unwrap_or_else(|| new_endpoint(ctx, &object.name));
        let per_host = object.connections.saturating_sub(CONNECTIONS_RESERVED) / hosts;
        let state = &mut ctx.endpoints[key];
        let moved = !state.address.is_empty() && state.address != object.address;
        state.address = object.address.clone();
        state.data_centre = object.data_centre.clone();
        state.connection_limit = (per_host.saturating_sub(1) as usize).max(1);
        if moved {
            drop_connections(ctx, key);
        }
    }
    let configured =
        |endpoint: &endpoint_state::EndpointState| config.endpoints.contains_key(&endpoint.name);
    for endpoint in ctx.endpoints.values_mut().filter(|endpoint| !configured(endpoint)) {
        endpoint.group = None;
    }
}

fn new_endpoint(ctx: &mut core_context::CoreContext, name: &str) -> arena_keys::EndpointKey {
    let key = ctx.endpoints.insert(endpoint_state::EndpointState {
        name: name.to_owned(),
        address: String::new(),
        data_centre: String::new(),
        group: None,
        in_service: false,
        connection_limit: 1,
        statement_connections: Vec::new(),
        control_connection: None,
        last_status: None,
        refusing_since: None,
        last_probe_at: clock_time::ClockTime::default(),
        role_sent_at: clock_time::ClockTime::default(),
        queue: Vec::new(),
        circuit: circuit_breaker::CircuitBreaker::default(),
        new_copy: None,
    });
    ctx.endpoint_names.insert(name.to_owned(), key);
    key
}

fn drop_connections(ctx: &mut core_context::CoreContext, endpoint: arena_keys::EndpointKey) {
    let state = &ctx.endpoints[endpoint];
    let idle =
        state.statement_connections.iter().copied().filter(|key| ctx.connections[*key].idle());
    let to_discard: Vec<_> = idle.chain(state.control_connection).collect();
    for connection in to_discard {
        connection_flow::discard(ctx, connection, "discarded");
    }
}

fn apply_groups(ctx: &mut core_context::CoreContext, config: &fleet_config::FleetConfig) {
    for object in config.groups.values() {
        let known = ctx.group_names.get(&object.name).copied();
        let key = known.unwrap_or_else(|| new_group(ctx, &object.name));
        let endpoints = object.endpoints.iter().filter_map(|name| ctx.endpoint_names.get(name));
        let endpoints: Vec<arena_keys::EndpointKey> = endpoints.copied().collect();
        for endpoint in &endpoints {
            ctx.endpoints[*endpoint].group = Some(key);
        }
        ctx.groups[key].endpoints = endpoints;
        let entry = ctx.live_records.entry(&group_record::record_key(&object.name)).cloned();
        if let Some(entry) = entry {
            failover_flow::on_record(ctx, key, &entry);
        }
    }
    let removed =
        ctx.groups.iter_mut().filter(|(_, group)| !config.groups.contains_key(&group.name));
    for (_, group) in removed {
        group.endpoints.clear();
    }
}

fn new_group(ctx: &mut core_context::CoreContext, name: &str) -> arena_keys::GroupKey {
    let chart = ctx.charts.failover.clone();
    let key = ctx.groups.insert(group_state::GroupState::new(name.to_owned(), chart, ctx.now));
    ctx.group_names.insert(name.to_owned(), key);
    ctx.timers.push(ctx.now, timer_queue::TimerKind::Group(key));
    key
}

fn apply_accounts(ctx: &mut core_context::CoreContext, config: &fleet_config::FleetConfig) {
    let hosts = rendezvous_rank::HomeMap::new(config);
    let same_hosts = ctx.config.home_map == hosts;
    for object in config.accounts.values() {
        let known = ctx.account_names.get(&object.name).copied();
        let key = known.unwrap_or_else(|| {
            let key = ctx.accounts.insert(account_state::AccountState {
                name: object.name.clone(),
                weight: object.weight,
                ledger: share_ledger::ShareLedger::new(ctx.now),
                object: None,
                homes: Vec::new(),
                waiting: Vec::new(),
                requested_at: clock_time::ClockTime::default(),
                replies_pending: 0,
                grace_ms: 0,
                activation_delay_ms: 0,
                fruitless_rounds: 0,
                borrowers: BTreeSet::new(),
                counts: Default::default(),
            });
            ctx.account_names.insert(object.name.clone(), key);
            key
        });
        ctx.accounts[key].weight = object.weight;
        rate_limiter::allocate(ctx, key, object, &hosts, same_hosts);
    }
    ctx.config.home_map = hosts;
    let removed: Vec<_> = ctx
        .account_names
        .iter()
        .filter(|(name, _)| !config.accounts.contains_key(*name))
        .map(|(_, key)| *key)
        .collect();
    for key in removed {
        rate_limiter::revoke(ctx, key);
    }
}
