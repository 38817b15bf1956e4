//! Heartbeats between hosts. They carry which hosts are reachable, which primaries a host has
//! released and which primaries do not respond to it.

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

/// How long a primary must have been unresponsive before this host reports it.
const FAILING_FOR: Duration = Duration::from_millis(50);
/// Position samples older than this are not sent to peers.
const SAMPLE_TOLD: Duration = Duration::from_millis(1_000);
/// How long the last heartbeat of a witness counts when unresponsive primaries are counted.
pub const HEARTBEAT_VALIDITY: Duration = Duration::from_millis(1_500);

/// Handles a datagram from a peer.
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

/// Sends the heartbeats that are due.
///
/// Witnesses send theirs to all witnesses. Any other host sends to one witness in turn, or to all
/// of them while it needs a quorum lease. During a failover every host also sends to the
/// coordinator, which waits for all hosts.
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
    // Half the rate suffices here: the position samples in the replies remain recent enough for
    // reads.
    if passed >= ctx.tuning.heartbeat * 2 {
        ctx.heartbeat_sent_at = ctx.now;
        tell_holder(ctx, &[]);
        ctx.witnesses.turn = ctx.witnesses.turn.wrapping_add(1);
        if let Some(host) = witnesses.get(ctx.witnesses.turn % witnesses.len().max(1)) {
            send_heartbeat(ctx, host, true);
        }
    }
}

/// Sends a heartbeat to the coordinator during a failover, unless it is among the other recipients
/// anyway. Sent with every round, because the coordinator may be new and a datagram may be lost.
fn tell_holder(ctx: &mut proxy_context::ProxyContext, told: &[String]) {
    if !ctx.groups.values().any(|group| group.changing()) {
        return;
    }
    let holder = ctx.coordinator.record.as_ref().map(|(record, _)| record.host.clone());
    if let Some(holder) = holder.filter(|holder| !told.contains(holder)) {
        send_heartbeats(ctx, &[holder], false);
    }
}

/// Sends heartbeats to the witnesses and, during a failover, to the coordinator at once.
pub fn broadcast_heartbeat(ctx: &mut proxy_context::ProxyContext) {
    ctx.heartbeat_sent_at = ctx.now;
    let hosts = ctx.witnesses.hosts.clone();
    send_heartbeats(ctx, &hosts, false);
    tell_holder(ctx, &hosts);
}

/// Sends a heartbeat to a host that has just registered.
pub fn send_first_heartbeat(ctx: &mut proxy_context::ProxyContext, host: &str) {
    if host != ctx.identity.host && (ctx.is_witness() || ctx.witnesses.hosts.is_empty()) {
        send_heartbeat(ctx, host, !ctx.allocation.confirmed);
    }
}

fn send_heartbeats(ctx: &mut proxy_context::ProxyContext, hosts: &[String], reply_requested: bool) {
    // Hosts without a member record are included: they may be cut off from the store only.
    for host in hosts {
        if *host != ctx.identity.host {
            send_heartbeat(ctx, host, reply_requested);
        }
    }
}

/// Returns whether the primary is unresponsive to most witnesses with a recent heartbeat. If this
/// host is a witness, the primary must be unresponsive to this host as well.
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
    // Datagrams may arrive out of order; an older one must not overwrite newer state.
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

/// Applies a peer's observation of a primary: a newer epoch or record, and a position sample.
///
/// The peer sent it after receiving the heartbeat that this host sent at `spoken`. Counting the
/// sample's age back from `spoken` therefore never makes the sample appear more recent than it is.
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
    let asked = spoken.before(Duration::from_micros(age));
    view.samples.push(position_history::PositionSample { asked, point });
}

fn send_heartbeat(ctx: &mut proxy_context::ProxyContext, host: &str, reply_requested: bool) {
    // Before the first full read this host knows no epochs and must not acknowledge any.
    if ctx.store.revision.is_none() {
        return;
    }
    let Some(member) = ctx.members.get(host) else { return };
    let (address, echoed_us) = (member.record.address.clone(), member.sent_at_us);
    let echo_incarnation = member.record.incarnation;
    // Outside a failover, observations count only if they come from a witness.
    let all = ctx.is_witness();
    let told = |group: &&group_view::GroupView| all || group.changing();
    let groups = ctx.groups.values().filter(|group| group.record.is_some()).filter(told);
    let observations = groups.map(|group| {
        let sample = group
            .samples
            .last()
            .map(|sample| (sample.point, ctx.now.since(sample.asked).as_micros() as u64));
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

/// Returns the hosts that this host reports as unreachable in its heartbeats.
fn silent_hosts(ctx: &proxy_context::ProxyContext) -> Vec<String> {
    ctx.roster.keys().filter(|host| is_silent(ctx, host)).cloned().collect()
}

/// Returns whether a host that is a witness or has no member record has sent no heartbeat for the
/// duration of a quorum lease.
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
    view.failing.is_some_and(|since| ctx.now.since(since) >= FAILING_FOR)
}
