//! Heartbeats between hosts. They carry which hosts are reachable, which primaries a host has
//! released and which primaries do not respond to it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::clock_time;
use crate::proxy::change_flow;
use crate::proxy::feed_flow;
use crate::proxy::group_view;
use crate::proxy::peer_datagram;
use crate::proxy::proxy_context;
use crate::proxy::quota_flow;
use crate::proxy::sample_log;

/// How long a primary must have been unresponsive before this host reports it.
const FAILING_FOR: Duration = Duration::from_millis(50);
/// Position samples older than this are not sent to peers.
const SAMPLE_TOLD: Duration = Duration::from_millis(1_000);
/// How long the last heartbeat of a witness counts when unresponsive primaries are counted.
pub const WORD_LASTS: Duration = Duration::from_millis(1_500);

/// Handles a datagram from a peer.
pub fn on_datagram(ctx: &mut proxy_context::ProxyContext, message: peer_datagram::PeerDatagram) {
    match message {
        peer_datagram::PeerDatagram::Pulse(pulse) => on_pulse(ctx, pulse),
        peer_datagram::PeerDatagram::TokenAsk { host, account, dealing, count } => {
            quota_flow::on_ask(ctx, &host, account, dealing, count);
        }
        peer_datagram::PeerDatagram::TokenGiven { host, account, count } => {
            quota_flow::on_given(ctx, &host, &account, count);
        }
    }
}

/// Sends the heartbeats that are due.
///
/// Witnesses send theirs to all witnesses. Any other host sends to one witness in turn, or to all
/// of them while it needs a quorum lease. During a failover every host also sends to the
/// coordinator, which waits for all hosts.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    let passed = ctx.now.since(ctx.pulsed);
    if passed < ctx.tuning.pulse {
        return;
    }
    let unsettled = !ctx.dealing.attested;
    let witnesses = ctx.witnesses.hosts.clone();
    if ctx.is_witness() || ctx.needs_words() || unsettled {
        ctx.pulsed = ctx.now;
        tell_holder(ctx, &witnesses);
        let hello = unsettled || !ctx.is_witness();
        return pulse_each(ctx, &witnesses, hello);
    }
    // Half the rate suffices here: the position samples in the replies remain recent enough for
    // reads.
    if passed >= ctx.tuning.pulse * 2 {
        ctx.pulsed = ctx.now;
        tell_holder(ctx, &[]);
        ctx.witnesses.turn = ctx.witnesses.turn.wrapping_add(1);
        if let Some(host) = witnesses.get(ctx.witnesses.turn % witnesses.len().max(1)) {
            pulse_one(ctx, host, true);
        }
    }
}

/// Sends a heartbeat to the coordinator during a failover, unless it is among the other recipients
/// anyway. Sent with every round, because the coordinator may be new and a datagram may be lost.
fn tell_holder(ctx: &mut proxy_context::ProxyContext, told: &[String]) {
    if !ctx.groups.values().any(|group| group.changing()) {
        return;
    }
    let holder = ctx.duty.record.as_ref().map(|(record, _)| record.host.clone());
    if let Some(holder) = holder.filter(|holder| !told.contains(holder)) {
        pulse_each(ctx, &[holder], false);
    }
}

/// Sends heartbeats to the witnesses and, during a failover, to the coordinator at once.
pub fn pulse_all(ctx: &mut proxy_context::ProxyContext) {
    ctx.pulsed = ctx.now;
    let hosts = ctx.witnesses.hosts.clone();
    pulse_each(ctx, &hosts, false);
    tell_holder(ctx, &hosts);
}

/// Sends a heartbeat to a host that has just registered.
pub fn greet(ctx: &mut proxy_context::ProxyContext, host: &str) {
    if host != ctx.identity.host && (ctx.is_witness() || ctx.witnesses.hosts.is_empty()) {
        pulse_one(ctx, host, !ctx.dealing.attested);
    }
}

fn pulse_each(ctx: &mut proxy_context::ProxyContext, hosts: &[String], hello: bool) {
    // Hosts without a member record are included: they may be cut off from the store only.
    for host in hosts {
        if *host != ctx.identity.host {
            pulse_one(ctx, host, hello);
        }
    }
}

/// Returns whether the primary is unresponsive to most witnesses with a recent heartbeat. If this
/// host is a witness, the primary must be unresponsive to this host as well.
pub fn most_fail(ctx: &proxy_context::ProxyContext, group: &str) -> bool {
    let own = ctx.is_witness();
    let own_fails = own && own_failing(ctx, group);
    let mut heard = usize::from(own);
    let mut failing = usize::from(own_fails);
    for host in ctx.witnesses.hosts.iter().filter(|host| **host != ctx.identity.host) {
        let Some(member) = ctx.members.get(host) else { continue };
        let fresh = member.heard.is_some_and(|heard| ctx.now.since(heard) < WORD_LASTS);
        if member.gone.is_some() || !fresh {
            continue;
        }
        heard += 1;
        failing += usize::from(member.sights.get(group).is_some_and(|sight| sight.failing));
    }
    (own_fails || !own) && failing * 2 > heard
}

fn on_pulse(ctx: &mut proxy_context::ProxyContext, pulse: peer_datagram::HostPulse) {
    let now = ctx.now;
    let Some(member) = ctx.members.get_mut(&pulse.host) else { return };
    // Datagrams may arrive out of order; an older one must not overwrite newer state.
    if member.record.incarnation != pulse.incarnation || pulse.stamp < member.stamp {
        return;
    }
    member.heard = Some(now);
    member.witnesses = pulse.witnesses;
    member.feed = member.feed.max(pulse.feed);
    member.dealing = pulse.dealing;
    member.settled = pulse.settled;
    member.stamp = pulse.stamp;
    let valid = pulse.echo > 0 && pulse.echo_incarnation == ctx.identity.incarnation;
    let spoken = valid.then(|| clock_time::ClockTime::from_micros(pulse.echo));
    if let Some(spoken) = spoken {
        member.echoed = Some(member.echoed.map_or(spoken, |echoed| echoed.max(spoken)));
    }
    let sights: BTreeMap<String, peer_datagram::PrimarySight> =
        pulse.sights.into_iter().map(|sight| (sight.group.clone(), sight)).collect();
    member.sights = sights.clone();
    member.silent = pulse.silent.into_iter().collect();
    for sight in sights.values() {
        take_sight(ctx, sight, spoken);
    }
    if pulse.hello {
        pulse_one(ctx, &pulse.host, false);
    }
    feed_flow::note_peer(ctx, pulse.feed);
    quota_flow::attest(ctx);
    change_flow::drive_all(ctx);
}

/// Applies a peer's observation of a primary: a newer epoch or record, and a position sample.
///
/// The peer sent it after receiving the heartbeat that this host sent at `spoken`. Counting the
/// sample's age back from `spoken` therefore never makes the sample appear more recent than it is.
fn take_sight(
    ctx: &mut proxy_context::ProxyContext,
    sight: &peer_datagram::PrimarySight,
    spoken: Option<clock_time::ClockTime>,
) {
    let Some(group) = ctx.group_names.get(&sight.group).copied() else { return };
    let view = &mut ctx.groups[group];
    view.peer_epoch = view.peer_epoch.max(sight.known_epoch);
    if let Some(record) = sight.record.clone().filter(|_| sight.revision > view.revision) {
        change_flow::on_record(ctx, group, record, sight.revision);
    }
    let view = &mut ctx.groups[group];
    let Some((point, age)) = sight.sample else { return };
    let Some(spoken) = spoken.filter(|_| sight.known_epoch == view.epoch()) else { return };
    let asked = spoken.before(Duration::from_micros(age));
    view.samples.push(sample_log::LogSample { asked, point });
}

fn pulse_one(ctx: &mut proxy_context::ProxyContext, host: &str, hello: bool) {
    // Before the first full read this host knows no epochs and must not acknowledge any.
    if ctx.store.revision.is_none() {
        return;
    }
    let Some(member) = ctx.members.get(host) else { return };
    let (address, echo) = (member.record.address.clone(), member.stamp);
    let echo_incarnation = member.record.incarnation;
    // Outside a failover, observations count only if they come from a witness.
    let all = ctx.is_witness();
    let told = |group: &&group_view::GroupView| all || group.changing();
    let groups = ctx.groups.values().filter(|group| group.record.is_some()).filter(told);
    let sights = groups.map(|group| {
        let sample = group
            .samples
            .last()
            .map(|sample| (sample.point, ctx.now.since(sample.asked).as_micros() as u64));
        let held = member.sights.get(&group.name).map_or(0, |sight| sight.revision);
        let held = held.max(member.feed);
        peer_datagram::PrimarySight {
            group: group.name.clone(),
            known_epoch: group.epoch().max(group.peer_epoch),
            revision: group.revision,
            record: group.record.clone().filter(|_| held < group.revision),
            stopped_epoch: group.stopped_epoch,
            failing: own_failing(ctx, &group.name),
            sample: sample.filter(|(_, age)| *age < SAMPLE_TOLD.as_micros() as u64),
        }
    });
    let pulse = peer_datagram::HostPulse {
        host: ctx.identity.host.clone(),
        incarnation: ctx.identity.incarnation,
        witnesses: ctx.witnesses.number,
        feed: ctx.store.revision.unwrap_or(0),
        dealing: ctx.dealing.number,
        settled: ctx.dealing.attested,
        sights: sights.collect(),
        silent: silent_hosts(ctx),
        stamp: ctx.now.as_micros(),
        echo,
        echo_incarnation,
        hello,
    };
    quota_flow::tell(ctx, address, peer_datagram::PeerDatagram::Pulse(pulse));
}

/// Returns the hosts that this host reports as unreachable in its heartbeats.
fn silent_hosts(ctx: &proxy_context::ProxyContext) -> Vec<String> {
    ctx.roster.keys().filter(|host| is_silent(ctx, host)).cloned().collect()
}

/// Returns whether a host that is a witness or has no member record has sent no heartbeat for the
/// duration of a quorum lease.
pub fn is_silent(ctx: &proxy_context::ProxyContext, host: &String) -> bool {
    let since = ctx.now.before(ctx.tuning.quorum_word);
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
