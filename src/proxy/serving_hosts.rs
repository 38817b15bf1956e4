//! Decides where serving hosts hold an endpoint's connections, and which host serves an endpoint.
//!
//! All hosts decide alike from the configuration, the roster and the members that they know. Where
//! they differ for a while, two hosts serve an endpoint, each below its part of the limit.

use std::net::SocketAddr;

use crate::core::arena_keys;
use crate::core::rendezvous_rank;
use crate::proxy::connection_flow;
use crate::proxy::member_view;
use crate::proxy::proxy_context;

/// Whether serving hosts hold the connections to the group's endpoints: the fleet has more hosts
/// than witnesses, and the connections that the hosts share are too few for each host.
pub fn needed(ctx: &proxy_context::ProxyContext, group: arena_keys::GroupKey) -> bool {
    let below = ctx.tuning.serving_below;
    if below <= 0.0 || ctx.all_witnesses() || ctx.config.is_none() {
        return false;
    }
    let shared = connection_flow::connections_shared(ctx, group) as f64;
    shared / (ctx.roster.len().max(1) as f64) < below
}

/// Returns the host that serves the endpoint: of the running hosts in the endpoint's data centre,
/// then of all others, the first in rendezvous order that is not suspected.
pub fn choose(
    ctx: &proxy_context::ProxyContext,
    endpoint: arena_keys::EndpointKey,
) -> Option<&member_view::MemberView> {
    let entry = &ctx.endpoints[endpoint].entry;
    let candidates = ctx.members.iter().filter(|(host, member)| {
        let leaving = ctx.stopping.is_some() && **host == ctx.identity.host;
        member.removed_at.is_none() && !leaving && !ctx.leases.is_suspected(host, endpoint, ctx.now)
    });
    let best = candidates.max_by_key(|(host, member)| {
        let near = member.record.data_centre == entry.data_centre;
        (near, rendezvous_rank::weight(&entry.id, host))
    });
    best.map(|(_, member)| member)
}

/// Returns the address on which a host accepts links, given the one in its member record: the next
/// port. `None` if the address is malformed.
pub fn pool_address(member_address: &str) -> Option<String> {
    let address: SocketAddr = member_address.parse().ok()?;
    let port = address.port().checked_add(1)?;
    Some(SocketAddr::new(address.ip(), port).to_string())
}
