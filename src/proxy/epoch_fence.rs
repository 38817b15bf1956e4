//! Decides when no host can use the primary of an older epoch any more.

use crate::core::arena_keys;
use crate::proxy::heartbeat_flow;
use crate::proxy::proxy_context;
use crate::proxy::witness_selection;

/// Returns whether no host can still hold a quorum lease for an epoch older than the record's.
///
/// That is certain once most witnesses have known the new epoch for the duration of a quorum lease.
pub fn older_epochs_fenced(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
) -> bool {
    let majority_knows = holds_for_majorities(ctx, |host| knows_epoch(ctx, group, host));
    let now = ctx.now;
    let failover = &mut ctx.groups[group].failover;
    if !majority_knows {
        failover.epoch_known_since = None;
        return false;
    }
    let since = *failover.epoch_known_since.get_or_insert(now);
    now.since(since) >= ctx.tuning.quorum_lease + ctx.tuning.lease_margin
}

/// Returns whether most witnesses know the record's epoch and have received no heartbeat from
/// `target` for the duration of a quorum lease. `target` then holds no quorum lease for an older
/// epoch and cannot obtain one.
pub fn is_unreachable_from_majority(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    target: &String,
) -> bool {
    holds_for_majorities(ctx, |host| {
        is_unreachable_from(ctx, host, target) && knows_epoch(ctx, group, host)
    })
}

/// Returns whether `host` has received no heartbeat from `target` for the duration of a quorum
/// lease.
pub fn is_unreachable_from(
    ctx: &proxy_context::ProxyContext,
    host: &String,
    target: &String,
) -> bool {
    match ctx.members.get(host) {
        _ if host == &ctx.identity.host => heartbeat_flow::is_unreachable(ctx, target),
        Some(member) => member.unreachable.contains(target),
        None => false,
    }
}

/// Returns whether a condition holds for most hosts of the current witness set and of each past set
/// that a host cut off from the store may still use.
pub fn holds_for_majorities(
    ctx: &proxy_context::ProxyContext,
    holds: impl Fn(&String) -> bool,
) -> bool {
    let past = ctx.witnesses.past.iter().map(|set| &set.hosts);
    past.chain([&ctx.witnesses.hosts]).all(|hosts| witness_selection::is_majority(hosts, &holds))
}

fn knows_epoch(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    host: &String,
) -> bool {
    let view = &ctx.groups[group];
    let member = ctx.members.get(host);
    let observation = member.and_then(|member| member.observations.get(&view.name));
    *host == ctx.identity.host
        || observation.is_some_and(|observation| observation.known_epoch >= view.epoch())
}
