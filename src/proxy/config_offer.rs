//! Hands the configuration to hosts that start, so that they need not read it from the store in turn.
//!
//! Answers the load of hundreds of hosts that start together: a few of them read the configuration from
//! the store at once, and the others get it from these if it fits into a datagram.

use std::sync::Arc;

use crate::proxy::config_patch;
use crate::proxy::config_read;
use crate::proxy::peer_datagram;
use crate::proxy::proxy_config;
use crate::proxy::proxy_context;
use crate::proxy::relay_state;
use crate::proxy::store_message;
use crate::proxy::store_sync;
use crate::proxy::sync_source;

/// Largest configuration that is offered, in encoded bytes. It has to fit into a UDP datagram.
const OFFER_BYTES_MAX: usize = 60_000;
/// Most bytes of offers that a host sends between two ticks: ten megabits a second, the slowest link of
/// a host.
const TICK_BYTES_MAX: usize = 125_000;

/// Offers the configuration to a host that has none, if this host lately knew that its own is in force.
pub fn send_offer(ctx: &mut proxy_context::ProxyContext, request: &peer_datagram::ChangesRequest) {
    let age = ctx.now.since(ctx.store.synced_at);
    if age >= sync_source::local_age_limit(ctx.tuning.watch_wait_short) {
        return;
    }
    let (Some(config), Some(current_at)) = (ctx.config.clone(), ctx.store.revision) else { return };
    let known = ctx.store.known.get(&store_message::ItemSubject::Config);
    let Some(revision) = known.copied().filter(|_| ctx.store.config_read.is_none()) else { return };
    let Some(member) = ctx.members.get(&request.host) else { return };
    let address = member.record.address.clone();
    if ctx.relay.offer.as_ref().is_none_or(|offer| offer.version != config.version) {
        ctx.relay.offer = encode(&config);
    }
    let Some(encoded) = &ctx.relay.offer else { return };
    if ctx.relay.offered_bytes + encoded.bytes > TICK_BYTES_MAX {
        return;
    }
    let Some(config) = encoded.patch.clone() else { return };
    ctx.relay.offered_bytes += encoded.bytes;
    let host = ctx.identity.host.clone();
    let echo_incarnation = request.incarnation;
    let offer = peer_datagram::ConfigOffer { host, revision, current_at, config, echo_incarnation };
    ctx.send_datagram(address, peer_datagram::PeerDatagram::ConfigOffer(Box::new(offer)));
}

/// Returns the configuration as the difference from an empty one, without its content if that is too
/// large.
fn encode(config: &proxy_config::ProxyConfig) -> Option<relay_state::EncodedConfig> {
    let empty = proxy_config::ProxyConfig::default();
    let patch = config_patch::ConfigPatch::between(&empty, config);
    match rmp_serde::to_vec(&patch) {
        Ok(encoded) => {
            let bytes = encoded.len();
            let patch = (bytes <= OFFER_BYTES_MAX).then_some(patch);
            Some(relay_state::EncodedConfig { version: config.version, patch, bytes })
        }
        Err(error) => {
            log::error!("event=config_offer_encode_failed cause={error}");
            None
        }
    }
}

/// Takes the configuration of an offer if this host has none. An offer to the process before this one
/// may have been under way since long before.
///
/// If the sender knows less of the store than this host, a later configuration may be missing. This host
/// then serves with the offered one and still reads the configuration in its turn.
pub fn on_offer(ctx: &mut proxy_context::ProxyContext, offer: peer_datagram::ConfigOffer) {
    let known = ctx.store.revision.is_some() && ctx.members.contains_key(&offer.host);
    let own = offer.echo_incarnation == ctx.identity.incarnation;
    if ctx.config.is_some() || !known || !own {
        return;
    }
    let empty = proxy_config::ProxyConfig::default();
    let Some(config) = offer.config.apply(&empty) else {
        let line = format!("event=config_offer_rejected peer={} cause=not_whole", offer.host);
        return ctx.log_limited(|| line);
    };
    log::info!(
        "event=config_offered peer={} version={} revision={} current_at={}",
        offer.host,
        config.version,
        offer.revision,
        offer.current_at
    );
    let item = store_message::StoreItem {
        subject: store_message::ItemSubject::Config,
        revision: offer.revision,
        body: Some(store_message::ItemContent::Config(Arc::new(config))),
    };
    store_sync::apply_and_advance(ctx, vec![item]);
    config_read::note_known(ctx, offer.current_at);
}
