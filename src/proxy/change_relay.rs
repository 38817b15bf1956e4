//! Passes changes of the store from the few hosts that watch it to all others.
//!
//! In a large fleet one or two hosts of each data centre watch the store. The others request changes
//! from them in turn and get later ones as they come. A host knows how old its knowledge is from the
//! time at which it sent the request that was answered, so silence is never taken for "no change".
//! Answers the load of changes on hundreds of hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::core::clock_time;
use crate::core::rendezvous_rank;
use crate::proxy::change_history;
use crate::proxy::config_offer;
use crate::proxy::peer_datagram;
use crate::proxy::proxy_context;
use crate::proxy::relay_state;
use crate::proxy::relayed_content;
use crate::proxy::store_message;
use crate::proxy::store_sync;
use crate::proxy::sync_source;

/// Running hosts of a data centre from which on two of them watch the store, so that one may be lost
/// without a delay. Below, one does, and watchers of other data centres take over from it.
const SECOND_WATCHER_FROM: usize = 16;
/// Interval between requests while peers are known to have later changes or knowledge is old.
const REQUEST_INTERVAL_LATE: Duration = Duration::from_millis(150);
/// The same while this host has no configuration.
const REQUEST_INTERVAL_START: Duration = Duration::from_millis(50);
/// How long a host gets changes as they come after its last request.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Most changes sent between two ticks to all hosts together, so that a burst of registrations does
/// not fill the link. A host that gets no reply requests again, or reads the store.
const ITEMS_PER_TICK_MAX: usize = 400;
/// Most changes that are sent to a host without a request.
const ITEMS_UNREQUESTED_MAX: usize = 32;

/// Returns whether this host is one of those of its data centre that watch the store.
pub fn is_watcher(ctx: &proxy_context::ProxyContext) -> bool {
    watchers(ctx, &ctx.identity.data_centre).contains(&ctx.identity.host)
}

/// Requests changes from peers when that is due.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    let now = ctx.now;
    ctx.relay.items_sent = 0;
    ctx.relay.offered_bytes = 0;
    ctx.relay.followers.retain(|_, follower| now.since(follower.arrived_at) < FOLLOWER_TIMEOUT);
    if ctx.all_witnesses() || ctx.store.revision.is_none() || ctx.stopped {
        return;
    }
    let age = now.since(ctx.store.synced_at);
    let age_limit = sync_source::local_age_limit(ctx.tuning.watch_wait_short);
    if is_watcher(ctx) && age < age_limit {
        return;
    }
    let late = ctx.store.behind_since.is_some() || age >= age_limit;
    let starting = ctx.config.is_none();
    let interval = match late {
        _ if starting => REQUEST_INTERVAL_START,
        true => REQUEST_INTERVAL_LATE,
        false => ctx.tuning.watch_wait_short,
    };
    if now.since(ctx.relay.requested_at) < interval {
        return;
    }
    ctx.relay.requested_at = now;
    ctx.relay.requests = ctx.relay.requests.wrapping_add(1);
    let mut peers = match age >= age_limit || starting {
        false => watchers(ctx, &ctx.identity.data_centre),
        true if ctx.relay.requests.is_multiple_of(2) => all_watchers(ctx),
        // All watchers may be cut off from the store, or not have started yet, while other hosts have.
        true => {
            let running = ctx.running_members().map(|member| member.record.host.as_str());
            let ranked = rendezvous_rank::rank(&ctx.identity.host, running);
            ranked.into_iter().map(str::to_owned).collect()
        }
    };
    peers.retain(|host| *host != ctx.identity.host);
    let Some(host) = peers.get((ctx.relay.requests / 2) % peers.len().max(1)) else { return };
    let Some(member) = ctx.members.get(host) else { return };
    let address = member.record.address.clone();
    let request = peer_datagram::ChangesRequest {
        host: ctx.identity.host.clone(),
        incarnation: ctx.identity.incarnation,
        revision: ctx.store.revision.unwrap_or_default(),
        config_version: ctx.config.as_ref().map_or(0, |config| config.version),
        sent_at_us: now.as_micros(),
    };
    let message = peer_datagram::PeerDatagram::ChangesRequest(request);
    ctx.send_datagram(address, message);
}

/// Handles a request for changes.
pub fn on_request(ctx: &mut proxy_context::ProxyContext, request: peer_datagram::ChangesRequest) {
    if ctx.store.revision.is_none() || !ctx.members.contains_key(&request.host) {
        return;
    }
    store_sync::note_peer_revision(ctx, request.revision);
    if request.config_version == 0 {
        config_offer::send_offer(ctx, &request);
    }
    let parts = ctx.history.parts_after(request.revision, request.config_version);
    send_changes(ctx, &request, parts.as_deref(), ITEMS_PER_TICK_MAX);
    let arrived_at = ctx.now;
    let host = request.host.clone();
    ctx.relay.followers.insert(host, relay_state::FollowerView { request, arrived_at });
}

/// Sends new changes to all hosts that requested changes lately.
pub fn notify_followers(ctx: &mut proxy_context::ProxyContext) {
    let followers: Vec<_> = ctx.relay.followers.values().cloned().collect();
    // Most followers have the same revision and configuration.
    let mut parts = BTreeMap::new();
    for follower in followers {
        let request = &follower.request;
        let parts = parts
            .entry((request.revision, request.config_version))
            .or_insert_with_key(|(known, config)| ctx.history.parts_after(*known, *config));
        // The host may have read the configuration since its latest request.
        let omitted = parts.iter().flatten().any(change_history::HistoryPart::omits_config);
        let items_max = if omitted { 0 } else { ITEMS_UNREQUESTED_MAX };
        send_changes(ctx, request, parts.as_deref(), items_max);
    }
}

/// Applies changes from a peer.
pub fn on_changes(ctx: &mut proxy_context::ProxyContext, changes: peer_datagram::RelayedChanges) {
    let Some(known) = ctx.store.revision else { return };
    // Answers to the process before this one may carry times of a clock that has started anew.
    let own = changes.echo_incarnation == ctx.identity.incarnation;
    let from_future = own && changes.echoed_us > ctx.now.as_micros();
    let from_member = ctx.members.contains_key(&changes.host);
    if !from_member || from_future || changes.after > changes.revision {
        let line = format!(
            "event=changes_rejected peer={} member={from_member} after={} revision={} echoed_us={}",
            changes.host, changes.after, changes.revision, changes.echoed_us
        );
        return ctx.log_limited(|| line);
    }
    let Some(items) = changes.items else {
        if changes.revision > known {
            log::info!(
                "event=changes_missing peer={} revision={known} peer_revision={}",
                changes.host,
                changes.revision
            );
            ctx.relay.changes_missing = true;
        }
        return;
    };
    // Changes in between were lost or not sent yet; the next request gets them.
    if changes.after > known {
        return store_sync::note_peer_revision(ctx, changes.after);
    }
    if changes.revision > known {
        let Some(items) = decode(ctx, items) else {
            ctx.relay.changes_missing = true;
            return;
        };
        ctx.counts.relayed_changes += items.len() as u64;
        ctx.store.behind_since = None;
        store_sync::apply_changes(ctx, changes.after, changes.revision, items);
    }
    if changes.complete && own {
        let echoed_at = clock_time::ClockTime::from_micros(changes.echoed_us);
        let synced_at = echoed_at.before(Duration::from_micros(changes.age_us));
        ctx.store.synced_at = ctx.store.synced_at.max(synced_at);
    }
}

/// Returns the watchers of a data centre: its first running hosts in an order that all hosts share.
fn watchers(ctx: &proxy_context::ProxyContext, data_centre: &str) -> Vec<String> {
    let running = ctx.running_members().filter(|member| member.record.data_centre == data_centre);
    let ranked = rendezvous_rank::rank("watch", running.map(|member| member.record.host.as_str()));
    let count = if ranked.len() >= SECOND_WATCHER_FROM { 2 } else { 1 };
    ranked.into_iter().take(count).map(str::to_owned).collect()
}

fn all_watchers(ctx: &proxy_context::ProxyContext) -> Vec<String> {
    let centres: BTreeSet<&String> =
        ctx.members.values().map(|member| &member.record.data_centre).collect();
    centres.into_iter().flat_map(|centre| watchers(ctx, centre)).collect()
}

/// Sends the changes that a host lacks by its latest request, or that this host cannot deliver them.
/// If they are more than `items_max`, or
/// than this host still sends before the next tick, it only announces them.
fn send_changes(
    ctx: &mut proxy_context::ProxyContext,
    request: &peer_datagram::ChangesRequest,
    parts: Option<&[change_history::HistoryPart]>,
    items_max: usize,
) {
    let Some(revision) = ctx.store.revision else { return };
    let Some(member) = ctx.members.get(&request.host) else { return };
    let address = member.record.address.clone();
    let known = request.revision;
    let message = |after, revision, items, complete| peer_datagram::RelayedChanges {
        host: ctx.identity.host.clone(),
        after,
        revision,
        items,
        complete,
        age_us: ctx.now.since(ctx.store.synced_at).as_micros() as u64,
        echoed_us: request.sent_at_us,
        echo_incarnation: request.incarnation,
    };
    let count: usize = parts.into_iter().flatten().map(|part| part.items.len()).sum();
    let allowed = items_max.min(ITEMS_PER_TICK_MAX.saturating_sub(ctx.relay.items_sent));
    let mut messages = Vec::new();
    match parts {
        // The receiver then requests the changes soon.
        _ if count > allowed => messages.push(message(revision, revision, Some(Vec::new()), false)),
        None => messages.push(message(known, revision, None, false)),
        // The receiver may know more than this host; what this host knows is still confirmed.
        Some(parts) if parts.is_empty() && known >= revision => {
            messages.push(message(revision, revision, Some(Vec::new()), true));
        }
        Some(parts) => {
            let end = parts.last().map_or(known, |part| part.revision);
            for part in parts {
                let complete = part.revision >= revision;
                messages.push(message(
                    part.after,
                    part.revision,
                    Some(part.items.clone()),
                    complete,
                ));
            }
            if end < revision {
                messages.push(message(end, revision, None, false));
            }
        }
    }
    if count <= allowed {
        ctx.relay.items_sent += count;
    }
    for changes in messages {
        let message = peer_datagram::PeerDatagram::RelayedChanges(changes);
        ctx.send_datagram(address.clone(), message);
    }
}

/// Returns the items as the store would have sent them; `None` if one is a patch of a version of
/// the configuration that this host does not have.
fn decode(
    ctx: &proxy_context::ProxyContext,
    items: Vec<peer_datagram::RelayedItem>,
) -> Option<Vec<store_message::StoreItem>> {
    let mut config = ctx.config.clone();
    let mut decoded = Vec::with_capacity(items.len());
    for item in items {
        let body = match item.content {
            None => None,
            Some(content) => Some(relayed_content::decode(content, &mut config)?),
        };
        decoded.push(store_message::StoreItem {
            subject: item.subject,
            revision: item.revision,
            body,
        });
    }
    Some(decoded)
}
