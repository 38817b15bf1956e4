//! Pulses between hosts: who is there, who has stopped using which primary, who cannot reach it.

use std::time::Duration;

use crate::proxy::change_flow;
use crate::proxy::member_view;
use crate::proxy::peer_datagram;
use crate::proxy::proxy_context;
use crate::proxy::quota_flow;

/// Time for which a primary must have failed before this host says so.
const FAILING_FOR: Duration = Duration::from_millis(200);
/// Time for which a host's word counts.
pub const WORD_LASTS: Duration = Duration::from_millis(1_500);

/// Takes up a datagram.
pub fn on_datagram(ctx: &mut proxy_context::ProxyContext, message: peer_datagram::PeerDatagram) {
    match message {
        peer_datagram::PeerDatagram::Pulse(pulse) => on_pulse(ctx, pulse),
        peer_datagram::PeerDatagram::TokenAsk { host, account, dealing, count } => {
            quota_flow::on_ask(ctx, &host, account, dealing, count);
        }
        peer_datagram::PeerDatagram::TokenGiven { account, count } => {
            quota_flow::on_given(ctx, &account, count);
        }
    }
}

/// Sends a pulse to all hosts when one is due.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    if ctx.now.since(ctx.pulsed) >= ctx.tuning.pulse {
        pulse_all(ctx);
    }
}

/// Sends a pulse to all hosts at once.
pub fn pulse_all(ctx: &mut proxy_context::ProxyContext) {
    let hello = !ctx.dealing.attested;
    let pulse = own_pulse(ctx, hello);
    ctx.pulsed = ctx.now;
    let own = &ctx.identity.host;
    let others = ctx.members.values();
    let others = others.filter(|member| member.gone.is_none() && member.record.host != *own);
    let addresses: Vec<String> = others.map(|member| member.record.address.clone()).collect();
    for address in addresses {
        quota_flow::tell(ctx, address, peer_datagram::PeerDatagram::Pulse(pulse.clone()));
    }
}

/// Whether most of the hosts heard lately, this one included, get no answer from a primary.
pub fn most_fail(ctx: &proxy_context::ProxyContext, group: &str) -> bool {
    let own = own_failing(ctx, group);
    let mut heard = 1;
    let mut failing = usize::from(own);
    for member in ctx.members.values() {
        let fresh = member.heard.is_some_and(|heard| ctx.now.since(heard) < WORD_LASTS);
        if member.record.host == ctx.identity.host || member.gone.is_some() || !fresh {
            continue;
        }
        heard += 1;
        failing += usize::from(member.sights.get(group).is_some_and(|sight| sight.failing));
    }
    own && failing * 2 > heard
}

fn on_pulse(ctx: &mut proxy_context::ProxyContext, pulse: peer_datagram::HostPulse) {
    let now = ctx.now;
    let Some(member) = ctx.members.get_mut(&pulse.host) else { return };
    if member.record.incarnation != pulse.incarnation {
        return;
    }
    member.heard = Some(now);
    member.dealing = pulse.dealing;
    member.sights = pulse.sights.into_iter().map(|sight| (sight.group.clone(), sight)).collect();
    reply(ctx, &pulse.host, pulse.hello);
    quota_flow::attest(ctx);
    change_flow::drive_all(ctx);
}

fn reply(ctx: &mut proxy_context::ProxyContext, host: &str, hello: bool) {
    if !hello {
        return;
    }
    let pulse = own_pulse(ctx, false);
    let Some(member): Option<&member_view::MemberView> = ctx.members.get(host) else { return };
    let address = member.record.address.clone();
    quota_flow::tell(ctx, address, peer_datagram::PeerDatagram::Pulse(pulse));
}

fn own_pulse(ctx: &proxy_context::ProxyContext, hello: bool) -> peer_datagram::HostPulse {
    let sights = ctx.groups.values().filter(|group| group.record.is_some()).map(|group| {
        peer_datagram::PrimarySight {
            group: group.name.clone(),
            stopped_epoch: group.stopped_epoch,
            failing: own_failing(ctx, &group.name),
        }
    });
    peer_datagram::HostPulse {
        host: ctx.identity.host.clone(),
        incarnation: ctx.identity.incarnation,
        dealing: ctx.dealing.number,
        sights: sights.collect(),
        hello,
    }
}

fn own_failing(ctx: &proxy_context::ProxyContext, group: &str) -> bool {
    let Some(group) = ctx.group_names.get(group).map(|key| &ctx.groups[*key]) else { return false };
    let Some(record) = &group.record else { return false };
    let Some(endpoint) = ctx.endpoint_names.get(&record.primary) else { return true };
    let view = &ctx.endpoints[*endpoint];
    view.failing.is_some_and(|since| ctx.now.since(since) >= FAILING_FOR)
}
