//! Pulses between hosts: who is there, who has stopped using which primary, who cannot reach it.

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

/// Time for which a primary must have failed before this host says so.
const FAILING_FOR: Duration = Duration::from_millis(50);
/// Age of a sample beyond which peers are not told of it.
const SAMPLE_TOLD: Duration = Duration::from_millis(1_000);
/// Time for which a host's word counts.
pub const WORD_LASTS: Duration = Duration::from_millis(1_500);

/// Takes up a datagram.
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

/// Sends the pulses that are due.
///
/// Witnesses tell each other how they are. Any other host asks one witness after the other, and all
/// of them while it needs their words. While a primary is being replaced all tell who waits for it.
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
    // Samples in the answers are young enough for reads at half the pace.
    if passed >= ctx.tuning.pulse * 2 {
        ctx.pulsed = ctx.now;
        tell_holder(ctx, &[]);
        ctx.witnesses.turn = ctx.witnesses.turn.wrapping_add(1);
        if let Some(host) = witnesses.get(ctx.witnesses.turn % witnesses.len().max(1)) {
            pulse_one(ctx, host, true);
        }
    }
}

/// Tells the holder of the duty where this host stands while a primary is being replaced, unless it
/// is among the hosts `told` anyway: a holder may be new, and a datagram may be lost.
fn tell_holder(ctx: &mut proxy_context::ProxyContext, told: &[String]) {
    if !ctx.groups.values().any(|group| group.changing()) {
        return;
    }
    let holder = ctx.duty.record.as_ref().map(|(record, _)| record.host.clone());
    if let Some(holder) = holder.filter(|holder| !told.contains(holder)) {
        pulse_each(ctx, &[holder], false);
    }
}

/// Tells the witnesses and the holder of the duty at once how this host is.
pub fn pulse_all(ctx: &mut proxy_context::ProxyContext) {
    ctx.pulsed = ctx.now;
    let hosts = ctx.witnesses.hosts.clone();
    pulse_each(ctx, &hosts, false);
    tell_holder(ctx, &hosts);
}

/// Tells a host that has come how this one is.
pub fn greet(ctx: &mut proxy_context::ProxyContext, host: &str) {
    if host != ctx.identity.host && (ctx.is_witness() || ctx.witnesses.hosts.is_empty()) {
        pulse_one(ctx, host, !ctx.dealing.attested);
    }
}

fn pulse_each(ctx: &mut proxy_context::ProxyContext, hosts: &[String], hello: bool) {
    // A host whose record vanished may be cut off from the store alone.
    for host in hosts {
        if *host != ctx.identity.host {
            pulse_one(ctx, host, hello);
        }
    }
}

/// Whether most of the witnesses heard lately get no answer from a primary; this host neither, if it
/// is one.
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
    // Datagrams may overtake each other: an older one must not bring back what no longer holds.
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

/// Takes up a peer's view of a group: a newer epoch, and how far the log had grown.
///
/// The peer said it after it had heard what this host said at `spoken`, so its sample is no older
/// than the sample's age before that.
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
    let requested_at = spoken.before(Duration::from_micros(age));
    view.samples.push(sample_log::LogSample { requested_at, point });
}

fn pulse_one(ctx: &mut proxy_context::ProxyContext, host: &str, hello: bool) {
    // Before the first full reading this host knows no epochs and must not vouch for any.
    if ctx.store.revision.is_none() {
        return;
    }
    let Some(member) = ctx.members.get(host) else { return };
    let (address, echo) = (member.record.address.clone(), member.stamp);
    let echo_incarnation = member.record.incarnation;
    // Nobody relies on what a host that is no witness sees of a group at rest.
    let all = ctx.is_witness();
    let told = |group: &&group_view::GroupView| all || group.changing();
    let groups = ctx.groups.values().filter(|group| group.record.is_some()).filter(told);
    let sights = groups.map(|group| {
        let sample = group
            .samples
            .last()
            .map(|sample| (sample.point, ctx.now.since(sample.requested_at).as_micros() as u64));
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

/// Returns the hosts that this host says it does not hear.
fn silent_hosts(ctx: &proxy_context::ProxyContext) -> Vec<String> {
    ctx.roster.keys().filter(|host| is_silent(ctx, host)).cloned().collect()
}

/// Whether a host is a witness or without a member record, and was not heard for as long as words
/// count.
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
    view.unresponsive_since.is_some_and(|since| ctx.now.since(since) >= FAILING_FOR)
}
