//! Exchanges heartbeats with peers: liveness, confirmations of the configuration, and live records.

use rand::seq::SliceRandom;

use crate::core::activation_flow;
use crate::core::call_purpose;
use crate::core::clock_time;
use crate::core::core_context;
use crate::core::core_message;
use crate::core::core_tuning;
use crate::core::drain_flow;
use crate::core::failover_flow;
use crate::core::peer_message;
use crate::core::platform_flow;
use crate::core::platform_message;
use crate::core::rate_limiter;
use crate::core::timer_queue;

/// Number of hosts in the own data centre that each round of heartbeats goes to.
const LOCAL_TARGETS: usize = 1;
/// Number of other data centres that each round of heartbeats goes to, one host in each.
const REMOTE_TARGETS: usize = 2;

/// Sends the periodic heartbeats to a few hosts.
pub fn on_timer(ctx: &mut core_context::CoreContext) {
    gossip(ctx);
    activation_flow::activate_shares(ctx);
    let interval = ctx.with_jitter(core_tuning::CoreTuning::millis(ctx.tuning.pulse_interval_ms));
    ctx.set_timer(interval, timer_queue::TimerKind::Heartbeat);
}

/// Sends heartbeats to a few hosts; also called between rounds to pass on changed live records.
pub fn gossip(ctx: &mut core_context::CoreContext) {
    for address in pick_targets(ctx) {
        send_heartbeat(ctx, address);
    }
}

fn send_heartbeat(ctx: &mut core_context::CoreContext, address: String) {
    let heartbeat = make_heartbeat(ctx, Vec::new());
    let purpose = call_purpose::CallPurpose::Heartbeat { address: address.clone(), sent: ctx.now };
    let call = ctx.register_call(purpose);
    let request = peer_message::PeerRequest::Heartbeat(heartbeat);
    ctx.control.peer_calls += 1;
    ctx.actions.push(core_message::CoreAction::CallPeer { call, address, request });
}

/// Handles a request from a peer and replies to it.
pub fn on_request(
    ctx: &mut core_context::CoreContext,
    request_id: core_message::RequestId,
    request: peer_message::PeerRequest,
) {
    ctx.control.peer_answers += 1;
    let reply = match request {
        peer_message::PeerRequest::Heartbeat(heartbeat) => reply_heartbeat(ctx, &heartbeat),
        peer_message::PeerRequest::Share { host, account, version, want } => {
            rate_limiter::on_loan_request(ctx, &host, &account, version, want)
        }
        peer_message::PeerRequest::Primary { group, term } => peer_message::PeerReply::Primary {
            serving: failover_flow::confirms_primary(ctx, &group, term),
        },
        peer_message::PeerRequest::Part { hash } => {
            peer_message::PeerReply::Part { bytes: ctx.config.parts.get(&hash).cloned() }
        }
    };
    ctx.actions.push(core_message::CoreAction::ReplyToPeer { request_id, reply });
}

/// Handles a peer's reply to the heartbeat sent at `sent`.
pub fn on_heartbeat(
    ctx: &mut core_context::CoreContext,
    address: &str,
    sent: clock_time::ClockTime,
    mut heartbeat: peer_message::PeerHeartbeat,
) {
    if !ctx.peers.record_reply(&heartbeat.host, heartbeat.incarnation, sent) {
        log::warn!(
            "peer {} at {address} has a later process with the same name; its heartbeat is ignored",
            heartbeat.host
        );
        return;
    }
    if let Some(peer) = ctx.peers.peers.get_mut(&heartbeat.host) {
        peer.leaving = heartbeat.leaving;
    }
    let after = ctx.live_records.watermark();
    let entries = std::mem::take(&mut heartbeat.entries);
    platform_flow::merge(ctx, after, heartbeat.watermark, entries, Some(address));
    if heartbeat.version == 0 || heartbeat.version != ctx.config.known_version() {
        return;
    }
    if let Some(age_ms) = heartbeat.platform_age_ms {
        platform_flow::record_confirmation(
            ctx,
            sent.before(core_tuning::CoreTuning::millis(age_ms)),
        );
    }
    if heartbeat.version == ctx.config.version() {
        record_reachable_centres(ctx, sent, &heartbeat);
    }
    activation_flow::activate_shares(ctx);
}

/// Stops accepting work if a later process runs under this host's name.
pub fn on_superseded(ctx: &mut core_context::CoreContext, incarnation: u64) {
    if incarnation > ctx.identity.incarnation && !ctx.superseded {
        log::error!(
            "a later process runs as host {}; this process stops accepting work",
            ctx.identity.name
        );
        ctx.superseded = true;
        drain_flow::on_service_change(ctx);
    }
}

fn reply_heartbeat(
    ctx: &mut core_context::CoreContext,
    heartbeat: &peer_message::PeerHeartbeat,
) -> peer_message::PeerReply {
    if let Some(peer) = ctx.peers.peers.get_mut(&heartbeat.host) {
        if heartbeat.incarnation < peer.incarnation {
            return peer_message::PeerReply::Superseded { incarnation: peer.incarnation };
        }
        peer.incarnation = heartbeat.incarnation;
        peer.leaving = heartbeat.leaving;
    }
    if heartbeat.watermark > ctx.live_records.watermark() {
        request_records(ctx, &heartbeat.host);
    }
    let entries = ctx.live_records.entries_after(heartbeat.watermark);
    peer_message::PeerReply::Heartbeat(make_heartbeat(ctx, entries))
}

/// Sends a heartbeat to a peer that has newer live records, without waiting for the next round.
fn request_records(ctx: &mut core_context::CoreContext, host: &str) {
    let address = ctx.peers.peers.get(host).map(|peer| peer.address.clone());
    if let Some(address) = address {
        send_heartbeat(ctx, address);
    }
}

/// Records when the peer's data centre and those that the peer reports were last reachable.
///
/// Ages count back from the time that the heartbeat was sent, not from the reply, so that no data
/// centre appears to have been reachable later than it was.
fn record_reachable_centres(
    ctx: &mut core_context::CoreContext,
    sent: clock_time::ClockTime,
    heartbeat: &peer_message::PeerHeartbeat,
) {
    let centre = ctx.config.active.hosts.get(&heartbeat.host).map(|host| host.data_centre.clone());
    if let Some(centre) = centre {
        ctx.peers.record_centre_reachable(&centre, sent);
    }
    let config = ctx.config.active.clone();
    for (centre, age) in config.centres.keys().zip(&heartbeat.centre_ages) {
        if *age != peer_message::AGE_UNKNOWN && *centre != ctx.identity.data_centre {
            let age = core_tuning::CoreTuning::millis(u64::from(*age) * peer_message::AGE_UNIT_MS);
            ctx.peers.record_centre_reachable(centre, sent.before(age));
        }
    }
}

fn make_heartbeat(
    ctx: &core_context::CoreContext,
    entries: Vec<platform_message::StoreEntry>,
) -> peer_message::PeerHeartbeat {
    let age = |at: clock_time::ClockTime| ctx.now.since(at).as_millis() as u64 + 1;
    peer_message::PeerHeartbeat {
        host: ctx.identity.name.clone(),
        incarnation: ctx.identity.incarnation,
        version: ctx.config.version(),
        watermark: ctx.live_records.watermark(),
        platform_age_ms: ctx.peers.platform_confirmed_at.map(age),
        centre_ages: ctx.peers.centre_ages(ctx.now, ctx.config.active.centres.keys()),
        leaving: ctx.drain_since.is_some() || ctx.superseded,
        entries,
    }
}

/// Picks hosts of the own data centre, and one host in each of a few others.
fn pick_targets(ctx: &mut core_context::CoreContext) -> Vec<String> {
    if ctx.peers.peers.is_empty() {
        return ctx.identity.seeds.clone();
    }
    let mut peers: Vec<(String, String)> = ctx
        .peers
        .peers
        .values()
        .map(|peer| (peer.data_centre.clone(), peer.address.clone()))
        .collect();
    peers.shuffle(&mut ctx.rng);
    let own = ctx.identity.data_centre.clone();
    let local = peers.iter().filter(|(centre, _)| *centre == own).take(LOCAL_TARGETS);
    let mut targets: Vec<String> = local.map(|(_, address)| address.clone()).collect();
    let mut centres = vec![own];
    for (centre, address) in peers {
        if centres.len() > REMOTE_TARGETS {
            break;
        }
        if !centres.contains(&centre) {
            centres.push(centre);
            targets.push(address);
        }
    }
    targets
}
