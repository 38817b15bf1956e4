//! Heartbeats between hosts. They carry which hosts are reachable, which primaries a host has
//! released and which primaries do not respond to it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::clock_time;
use crate::proxy::change_relay;
use crate::proxy::config_offer;
use crate::proxy::failover_flow;
use crate::proxy::group_view;
use crate::proxy::peer_datagram;
use crate::proxy::position_history;
use crate::proxy::proxy_context;
use crate::proxy::rate_limiter;
use crate::proxy::store_sync;
use crate::proxy::usage_flow;

/// How long a primary must have been unresponsive before this host reports it in heartbeats.
const UNRESPONSIVE_FOR: Duration = Duration::from_millis(50);
/// Position samples older than this are not sent to peers.
const SAMPLE_MAX_AGE: Duration = Duration::from_millis(1_000);
/// How long the last heartbeat of a witness counts in the vote on whether a primary is
/// unresponsive.
pub const HEARTBEAT_VALIDITY: Duration = Duration::from_millis(1_500);

/// Handles a datagram from a peer.
pub fn on_datagram(ctx: &mut proxy_context::ProxyContext, message: peer_datagram::PeerDatagram) {
    match message {
        peer_datagram::PeerDatagram::Heartbeat(heartbeat) => on_heartbeat(ctx, heartbeat),
        peer_datagram::PeerDatagram::TokenAsk { host, account, allocation, count, id } => {
            rate_limiter::on_token_request(ctx, &host, account, allocation, count, id);
        }
        peer_datagram::PeerDatagram::TokenGiven { host, account, count, id } => {
            rate_limiter::on_token_reply(ctx, &host, &account, count, id);
        }
        peer_datagram::PeerDatagram::ChangesRequest(request) => {
            change_relay::on_request(ctx, request);
        }
        peer_datagram::PeerDatagram::RelayedChanges(changes) => {
            change_relay::on_changes(ctx, changes);
        }
        peer_datagram::PeerDatagram::ConfigOffer(offer) => config_offer::on_offer(ctx, *offer),
        peer_datagram::PeerDatagram::UsageTotals(totals) => usage_flow::on_totals(ctx, totals),
        peer_datagram::PeerDatagram::UsageReceipt(receipt) => {
            usage_flow::on_receipt(ctx, receipt);
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
    let unconfirmed = !ctx.allocation.confirmed;
    let witnesses = ctx.witnesses.hosts.clone();
    if ctx.is_witness() || ctx.needs_quorum() || unconfirmed {
        ctx.heartbeat_sent_at = ctx.now;
        notify_coordinator(ctx, &witnesses);
        let reply_requested = unconfirmed || !ctx.is_witness();
        return send_heartbeats(ctx, &witnesses, reply_requested);
    }
    // Half the rate suffices here: the position samples in the replies remain recent enough for
    // reads.
    if passed >= ctx.tuning.heartbeat * 2 {
        ctx.heartbeat_sent_at = ctx.now;
        notify_coordinator(ctx, &[]);
        ctx.witnesses.next_index = ctx.witnesses.next_index.wrapping_add(1);
        if let Some(host) = witnesses.get(ctx.witnesses.next_index % witnesses.len().max(1)) {
            send_heartbeat(ctx, host, true);
        }
    }
}

/// Sends a heartbeat to the coordinator during a failover, unless it is among `recipients`
/// anyway. Sent with every round, because the coordinator may be new and a datagram may be lost.
fn notify_coordinator(ctx: &mut proxy_context::ProxyContext, recipients: &[String]) {
    if !ctx.groups.values().any(is_awaited) {
        return;
    }
    let coordinator = ctx.coordinator.record.as_ref().map(|(record, _)| record.host.clone());
    if let Some(coordinator) = coordinator.filter(|host| !recipients.contains(host)) {
        send_heartbeats(ctx, &[coordinator], false);
    }
}

/// Returns whether the coordinator waits until every host knows the group's epoch.
fn is_awaited(group: &group_view::GroupView) -> bool {
    group.failover_in_progress() || group.recount_in_progress()
}

/// Sends heartbeats to the witnesses and, during a failover, to the coordinator at once.
pub fn broadcast_heartbeat(ctx: &mut proxy_context::ProxyContext) {
    ctx.heartbeat_sent_at = ctx.now;
    let hosts = ctx.witnesses.hosts.clone();
    send_heartbeats(ctx, &hosts, false);
    notify_coordinator(ctx, &hosts);
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

/// Returns whether most witnesses with a recent heartbeat report the primary as unresponsive. If
/// this host is a witness, its own observation counts and must agree.
pub fn majority_reports_failure(ctx: &proxy_context::ProxyContext, group: &str) -> bool {
    let own = ctx.is_witness();
    let own_unresponsive = own && primary_unresponsive(ctx, group);
    let mut witnesses_counted = usize::from(own);
    let mut unresponsive = usize::from(own_unresponsive);
    for host in ctx.witnesses.hosts.iter().filter(|host| **host != ctx.identity.host) {
        let Some(member) = ctx.members.get(host) else { continue };
        let recent = member
            .last_heartbeat
            .is_some_and(|arrived| ctx.now.since(arrived) < HEARTBEAT_VALIDITY);
        if member.removed_at.is_some() || !recent {
            continue;
        }
        witnesses_counted += 1;
        unresponsive += usize::from(
            member.observations.get(group).is_some_and(|observation| observation.unresponsive),
        );
    }
    (own_unresponsive || !own) && unresponsive * 2 > witnesses_counted
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
    member.last_heartbeat = Some(now);
    member.witnesses = heartbeat.witnesses;
    member.store_revision = member.store_revision.max(heartbeat.store_revision);
    member.allocation = heartbeat.allocation;
    member.allocation_confirmed = heartbeat.allocation_confirmed;
    member.sent_at_us = heartbeat.sent_at_us;
    let valid = heartbeat.echoed_us > 0 && heartbeat.echo_incarnation == ctx.identity.incarnation;
    let echoed_at = valid.then(|| clock_time::ClockTime::from_micros(heartbeat.echoed_us));
    if let Some(echoed_at) = echoed_at {
        member.acknowledged_sent_at =
            Some(member.acknowledged_sent_at.map_or(echoed_at, |sent_at| sent_at.max(echoed_at)));
    }
    let observations: BTreeMap<String, peer_datagram::PrimaryObservation> = heartbeat
        .observations
        .into_iter()
        .map(|observation| (observation.group.clone(), observation))
        .collect();
    member.observations = observations.clone();
    member.unreachable = heartbeat.unreachable.into_iter().collect();
    for observation in observations.values() {
        apply_observation(ctx, observation, echoed_at);
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
/// The peer sent it after receiving the heartbeat that this host sent at `echoed_at`. Counting the
/// sample's age back from `echoed_at` therefore never makes the sample appear more recent than it
/// is.
fn apply_observation(
    ctx: &mut proxy_context::ProxyContext,
    observation: &peer_datagram::PrimaryObservation,
    echoed_at: Option<clock_time::ClockTime>,
) {
    let Some(group) = ctx.group_names.get(&observation.group).copied() else { return };
    let view = &mut ctx.groups[group];
    view.peer_epoch = view.peer_epoch.max(observation.known_epoch);
    if let Some(record) = observation.record.clone() {
        failover_flow::on_record(ctx, group, record, observation.revision);
    }
    let view = &mut ctx.groups[group];
    let Some((point, age)) = observation.sample else { return };
    let Some(echoed_at) = echoed_at.filter(|_| observation.known_epoch == view.epoch()) else {
        return;
    };
    let requested_at = echoed_at.before(Duration::from_micros(age));
    view.samples.push(position_history::PositionSample { requested_at, point });
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
    let is_witness = ctx.is_witness();
    let era = ctx.store.era();
    let relevant = |group: &&group_view::GroupView| is_witness || is_awaited(group);
    let groups = ctx.groups.values().filter(|group| group.record.is_some()).filter(relevant);
    let observations = groups.map(|group| {
        let sample = group
            .samples
            .last()
            .map(|sample| (sample.point, ctx.now.since(sample.requested_at).as_micros() as u64));
        let known = member.observations.get(&group.name);
        let peer_revision = known.map(|observation| observation.revision).unwrap_or_default();
        let peer_revision = peer_revision.max(member.store_revision);
        // A restored store may hold an older record than this host knows, at a later revision.
        let unconfirmed = group.record.as_ref().is_some_and(|record| record.era() < era);
        let behind = known.is_some_and(|observation| observation.known_epoch < group.epoch());
        let needed = peer_revision < group.revision || unconfirmed || behind;
        peer_datagram::PrimaryObservation {
            group: group.name.clone(),
            known_epoch: group.epoch().max(group.peer_epoch),
            revision: group.revision,
            record: group.record.clone().filter(|_| needed),
            released_epoch: group.released_epoch,
            unresponsive: primary_unresponsive(ctx, &group.name),
            sample: sample.filter(|(_, age)| *age < SAMPLE_MAX_AGE.as_micros() as u64),
        }
    });
    let heartbeat = peer_datagram::HostHeartbeat {
        host: ctx.identity.host.clone(),
        incarnation: ctx.identity.incarnation,
        witnesses: ctx.witnesses.hash,
        store_revision: ctx.store.revision.unwrap_or_default(),
        allocation: ctx.allocation.hash,
        allocation_confirmed: ctx.allocation.confirmed,
        observations: observations.collect(),
        unreachable: unreachable_hosts(ctx),
        sent_at_us: ctx.now.as_micros(),
        echoed_us,
        echo_incarnation,
        reply_requested,
    };
    ctx.send_datagram(address, peer_datagram::PeerDatagram::Heartbeat(heartbeat));
}

/// Returns the hosts that this host reports as unreachable in its heartbeats.
fn unreachable_hosts(ctx: &proxy_context::ProxyContext) -> Vec<String> {
    ctx.roster.keys().filter(|host| is_unreachable(ctx, host)).cloned().collect()
}

/// Returns whether a host that is a witness or has no member record has sent no heartbeat for the
/// duration of a quorum lease.
pub fn is_unreachable(ctx: &proxy_context::ProxyContext, host: &String) -> bool {
    let since = ctx.now.before(ctx.tuning.quorum_lease);
    let member = ctx.members.get(host);
    let removed = member.is_none_or(|member| member.removed_at.is_some());
    let reported = removed || ctx.witnesses.hosts.contains(host);
    let last_heartbeat = member.and_then(|member| member.last_heartbeat);
    reported && *host != ctx.identity.host && last_heartbeat.is_none_or(|arrived| arrived < since)
}

fn primary_unresponsive(ctx: &proxy_context::ProxyContext, group: &str) -> bool {
    let Some(group) = ctx.group_names.get(group).map(|key| &ctx.groups[*key]) else { return false };
    let Some(record) = &group.record else { return false };
    let Some(endpoint) = ctx.endpoint_names.get(&record.primary) else { return true };
    let view = &ctx.endpoints[*endpoint];
    view.unresponsive_since.is_some_and(|since| ctx.now.since(since) >= UNRESPONSIVE_FOR)
}
