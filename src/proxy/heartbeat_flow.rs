//! Pulses between hosts: who is there, who has stopped using which primary, who cannot reach it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::clock_time;
use crate::proxy::failover_flow;
use crate::proxy::group_view;
use crate::proxy::peer_datagram;
use crate::proxy::position_history;
use crate::proxy::proxy_context;
use crate::proxy::rate_limiter;
use crate::proxy::store_sync;

/// Time for which a primary must have failed before this host says so.
const FAILING_FOR: Duration = Duration::from_millis(50);
/// Age of a sample beyond which peers are not told of it.
const SAMPLE_TOLD: Duration = Duration::from_millis(1_000);
/// Time for which a host's word counts.
pub const HEARTBEAT_VALIDITY: Duration = Duration::from_millis(1_500);

/// Takes up a datagram.
pub fn on_datagram(ctx: &mut proxy_context::ProxyContext, message: peer_datagram::PeerDatagram) {
    match message {
        peer_datagram::PeerDatagram::Heartbeat(heartbeat) => on_heartbeat(ctx, heartbeat),
        peer_datagram::PeerDatagram::TokenAsk { host, account, allocation, count } => {
            rate_limiter::on_token_request(ctx, &host, account, allocation, count);
        }
        peer_datagram::PeerDatagram::TokenGiven { host, account, count } => {
            rate_limiter::on_token_reply(ctx, &host, &account, count);
        }
    }
}

/// Sends the pulses that are due.
///
/// Witnesses tell each other how they are. Any other host asks one witness after the other, and all
/// of them while it needs their words. While a primary is being replaced all tell who waits for it.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    let passed = ctx.now.since(ctx.heartbeat_sent_at);
    if passed < ctx.tuning.heartbeat {
        return;
    }
    let unsettled = !ctx.allocation.confirmed;
    let witnesses = ctx.witnesses.hosts.clone();
    if ctx.is_witness() || ctx.needs_quorum() || unsettled {
        ctx.heartbeat_sent_at = ctx.now;
        tell_holder(ctx, &witnesses);
        let reply_requested = unsettled || !ctx.is_witness();
        return send_heartbeats(ctx, &witnesses, reply_requested);
    }
    // Samples in the answers are young enough for reads at half the pace.
    if passed >= ctx.tuning.heartbeat * 2 {
        ctx.heartbeat_sent_at = ctx.now;
        tell_holder(ctx, &[]);
        ctx.witnesses.turn = ctx.witnesses.turn.wrapping_add(1);
        if let Some(host) = witnesses.get(ctx.witnesses.turn % witnesses.len().max(1)) {
            send_heartbeat(ctx, host, true);
        }
    }
}

/// Tells the holder of the duty where this host stands while a primary is being replaced, unless it
/// is among the hosts `told` anyway: a holder may be new, and a datagram may be lost.
fn tell_holder(ctx: &mut proxy_context::ProxyContext, told: &[String]) {
    if !ctx.groups.values().any(|group| group.changing()) {
        return;
    }
    let holder = ctx.coordinator.record.as_ref().map(|(record, _)| record.host.clone());
    if let Some(holder) = holder.filter(|holder| !told.contains(holder)) {
        send_heartbeats(ctx, &[holder], false);
    }
}

/// Tells the witnesses and the holder of the duty at once how this host is.
pub fn broadcast_heartbeat(ctx: &mut proxy_context::ProxyContext) {
    ctx.heartbeat_sent_at = ctx.now;
    let hosts = ctx.witnesses.hosts.clone();
    send_heartbeats(ctx, &hosts, false);
    tell_holder(ctx, &hosts);
}

/// Tells a host that has come how this one is.
pub fn send_first_heartbeat(ctx: &mut proxy_context::ProxyContext, host: &str) {
    if host != ctx.identity.host && (ctx.is_witness() || ctx.witnesses.hosts.is_empty()) {
        send_heartbeat(ctx, host, !ctx.allocation.confirmed);
    }
}

fn send_heartbeats(ctx: &mut proxy_context::ProxyContext, hosts: &[String], reply_requested: bool) {
    // A host whose record vanished may be cut off from the store alone.
    for host in hosts {
        if *host != ctx.identity.host {
            send_heartbeat(ctx, host, reply_requested);
        }
    }
}

/// Whether most of the witnesses heard lately get no answer from a primary; this host neither, if it
/// is one.
pub fn majority_reports_failure(ctx: &proxy_context::ProxyContext, group: &str) -> bool {
    let own = ctx.is_witness();
    let own_fails = own && own_failing(ctx, group);
    let mut heard = usize::from(own);
    let mut failing = usize::from(own_fails);
    for host in ctx.witnesses.hosts.iter().filter(|host| **host != ctx.identity.host) {
        let Some(member) = ctx.members.get(host) else { continue };
        let fresh = member.heard.is_some_and(|heard| ctx.now.since(heard) < HEARTBEAT_VALIDITY);
        if member.gone.is_some() || !fresh {
            continue;
        }
        heard += 1;
        failing += usize::from(
            member.observations.get(group).is_some_and(|observation| observation.failing),
        );
    }
    (own_fails || !own) && failing * 2 > heard
}

fn on_heartbeat(ctx: &mut proxy_context::ProxyContext, heartbeat: peer_datagram::HostHeartbeat) {
    let now = ctx.now;
    let Some(member) = ctx.members.get_mut(&heartbeat.host) else { return };
    // Datagrams may overtake each other: an older one must not bring back what no longer holds.
    if member.record.incarnation != heartbeat.incarnation
        || heartbeat.sent_at_us < member.sent_at_us
    {
        return;
    }
    member.heard = Some(now);
    member.witnesses = heartbeat.witnesses;
    member.store_revision = member.store_revision.max(heartbeat.store_revision);
    member.allocation = heartbeat.allocation;
    member.allocation_confirmed = heartbeat.allocation_confirmed;
    member.sent_at_us = heartbeat.sent_at_us;
    let valid = heartbeat.echoed_us > 0 && heartbeat.echo_incarnation == ctx.identity.incarnation;
    let spoken = valid.then(|| clock_time::ClockTime::from_micros(heartbeat.echoed_us));
    if let Some(spoken) = spoken {
        member.echoed = Some(member.echoed.map_or(spoken, |echoed| echoed.max(spoken)));
    }
    let observations: BTreeMap<String, peer_datagram::PrimaryObservation> = heartbeat
        .observations
        .into_iter()
        .map(|observation| (observation.group.clone(), observation))
        .collect();
    member.observations = observations.clone();
    member.silent = heartbeat.silent.into_iter().collect();
    for observation in observations.values() {
        take_sight(ctx, observation, spoken);
    }
    if heartbeat.reply_requested {
        send_heartbeat(ctx, &heartbeat.host, false);
    }
    store_sync::note_peer_revision(ctx, heartbeat.store_revision);
    rate_limiter::confirm_allocation(ctx);
    failover_flow::advance_all(ctx);
}

/// Takes up a peer's view of a group: a newer epoch, and how far the log had grown.
///
/// The peer said it after it had heard what this host said at `spoken`, so its sample is no older
/// than the sample's age before that.
fn take_sight(
    ctx: &mut proxy_context::ProxyContext,
    observation: &peer_datagram::PrimaryObservation,
    spoken: Option<clock_time::ClockTime>,
) {
    let Some(group) = ctx.group_names.get(&observation.group).copied() else { return };
    let view = &mut ctx.groups[group];
    view.peer_epoch = view.peer_epoch.max(observation.known_epoch);
    if let Some(record) =
        observation.record.clone().filter(|_| observation.revision > view.revision)
    {
        failover_flow::on_record(ctx, group, record, observation.revision);
    }
    let view = &mut ctx.groups[group];
    let Some((point, age)) = observation.sample else { return };
    let Some(spoken) = spoken.filter(|_| observation.known_epoch == view.epoch()) else { return };
    let requested_at = spoken.before(Duration::from_micros(age));
    view.samples.push(position_history::PositionSample { requested_at, point });
}

fn send_heartbeat(ctx: &mut proxy_context::ProxyContext, host: &str, reply_requested: bool) {
    // Before the first full reading this host knows no epochs and must not vouch for any.
    if ctx.store.revision.is_none() {
        return;
    }
    let Some(member) = ctx.members.get(host) else { return };
    let (address, echoed_us) = (member.record.address.clone(), member.sent_at_us);
    let echo_incarnation = member.record.incarnation;
    // Nobody relies on what a host that is no witness sees of a group at rest.
    let all = ctx.is_witness();
    let told = |group: &&group_view::GroupView| all || group.changing();
    let groups = ctx.groups.values().filter(|group| group.record.is_some()).filter(told);
    let observations = groups.map(|group| {
        let sample = group
            .samples
            .last()
            .map(|sample| (sample.point, ctx.now.since(sample.requested_at).as_micros() as u64));
        let held =
            member.observations.get(&group.name).map_or(0, |observation| observation.revision);
        let held = held.max(member.store_revision);
        peer_datagram::PrimaryObservation {
            group: group.name.clone(),
            known_epoch: group.epoch().max(group.peer_epoch),
            revision: group.revision,
            record: group.record.clone().filter(|_| held < group.revision),
            stopped_epoch: group.stopped_epoch,
            failing: own_failing(ctx, &group.name),
            sample: sample.filter(|(_, age)| *age < SAMPLE_TOLD.as_micros() as u64),
        }
    });
    let heartbeat = peer_datagram::HostHeartbeat {
        host: ctx.identity.host.clone(),
        incarnation: ctx.identity.incarnation,
        witnesses: ctx.witnesses.number,
        store_revision: ctx.store.revision.unwrap_or(0),
        allocation: ctx.allocation.number,
        allocation_confirmed: ctx.allocation.confirmed,
        observations: observations.collect(),
        silent: silent_hosts(ctx),
        sent_at_us: ctx.now.as_micros(),
        echoed_us,
        echo_incarnation,
        reply_requested,
    };
    rate_limiter::send_datagram(ctx, address, peer_datagram::PeerDatagram::Heartbeat(heartbeat));
}

/// Returns the hosts that this host says it does not hear.
fn silent_hosts(ctx: &proxy_context::ProxyContext) -> Vec<String> {
    ctx.roster.keys().filter(|host| is_silent(ctx, host)).cloned().collect()
}

/// Whether a host is a witness or without a member record, and was not heard for as long as words
/// count.
pub fn is_silent(ctx: &proxy_context::ProxyContext, host: &String) -> bool {
    let since = ctx.now.before(ctx.tuning.quorum_lease);
    let member = ctx.members.get(host);
    let gone = member.is_none_or(|member| member.gone.is_some());
    let told = gone || ctx.witnesses.hosts.contains(host);
    let heard = member.and_then(|member| member.heard);
    told && *host != ctx.identity.host && heard.is_none_or(|heard| heard < since)
}

fn own_failing(ctx: &proxy_context::ProxyContext, group: &str) -> bool {
    let Some(group) = ctx.group_names.get(group).map(|key| &ctx.groups[*key]) else { return false };
    let Some(record) = &group.record else { return false };
    let Some(endpoint) = ctx.endpoint_names.get(&record.primary) else { return true };
    let view = &ctx.endpoints[*endpoint];
    view.unresponsive_since.is_some_and(|since| ctx.now.since(since) >= FAILING_FOR)
}
