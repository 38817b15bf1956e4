//! Decides when no host can use the primary of an older epoch any more.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::clock_time;
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
    let majority_knows = fenced_by_majorities(ctx, |host| knows_epoch(ctx, group, host));
    let known_since = ctx.groups[group].failover.epoch_known_since;
    let since = extend(known_since, majority_knows, ctx.now);
    ctx.groups[group].failover.epoch_known_since = since;
    since.is_some_and(|since| ctx.now.since(since) >= lease_duration(ctx))
}

/// Returns whether no host that has been isolated from the store for long can still hold a quorum
/// lease for an epoch older than the record's.
///
/// Such a host needs the acknowledgement of every witness, so one that knows the epoch suffices.
pub fn isolated_hosts_fenced(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
) -> bool {
    let some_know =
        witness_sets(ctx).all(|hosts| hosts.iter().any(|host| has_seen_epoch(ctx, group, host)));
    let seen_since = ctx.groups[group].failover.epoch_seen_since;
    let since = extend(seen_since, some_know, ctx.now);
    ctx.groups[group].failover.epoch_seen_since = since;
    since.is_some_and(|since| ctx.now.since(since) >= lease_duration(ctx))
}

/// Returns whether no host uses the primary without knowing the record's epoch. A host without a member
/// record that does not know it must be unable to hold or obtain a quorum lease for an older epoch.
pub fn adopted_by_all_hosts(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
) -> bool {
    let fenced = older_epochs_fenced(ctx, group);
    let isolated_fenced = isolated_hosts_fenced(ctx, group);
    ctx.roster.keys().all(|host| {
        let removed = ctx.members.get(host).is_some_and(|member| member.removed_at.is_some());
        let cannot_use_primary = || cannot_use_older(ctx, group, host, fenced, isolated_fenced);
        knows_epoch(ctx, group, host) || (removed && cannot_use_primary())
    })
}

/// Returns whether a host without a member record can use no primary of an older epoch, given whether
/// [`older_epochs_fenced`] and [`isolated_hosts_fenced`].
pub fn cannot_use_older(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    host: &String,
    fenced: bool,
    isolated_fenced: bool,
) -> bool {
    fenced
        || has_departed(ctx, host)
        || is_unreachable_from_majority(ctx, group, host)
        || (isolated_fenced && is_isolated(ctx, host))
}

/// Returns since when a condition holds, if it does at `now`.
fn extend(
    since: Option<clock_time::ClockTime>,
    holds: bool,
    now: clock_time::ClockTime,
) -> Option<clock_time::ClockTime> {
    holds.then(|| since.unwrap_or(now))
}

/// Returns the time after which a quorum lease has ended also on a host that checked it just before.
fn lease_duration(ctx: &proxy_context::ProxyContext) -> Duration {
    ctx.tuning.quorum_lease + ctx.tuning.lease_margin
}

/// Returns whether the host's last process ended as planned long enough ago that its acknowledgements
/// have expired. It uses no primary and acknowledges nothing any more.
pub fn has_departed(ctx: &proxy_context::ProxyContext, host: &String) -> bool {
    let (Some(member), Some(departure)) = (ctx.members.get(host), ctx.departures.get(host)) else {
        return false;
    };
    let absent = member.removed_at.is_some_and(|at| ctx.now.since(at) >= lease_duration(ctx));
    absent && departure.incarnation >= member.record.incarnation
}

/// Returns whether a host has had no member record for so long that, wherever it runs, it uses no
/// primary without the acknowledgement of every witness.
pub fn is_isolated(ctx: &proxy_context::ProxyContext, host: &String) -> bool {
    let Some(removed_at) = ctx.members.get(host).and_then(|member| member.removed_at) else {
        return false;
    };
    // A restored store may have lost a member record whose lease had not ended yet.
    let restored = ctx.store.era() > 0;
    let lapsed_at = ctx.store.era_since.after(ctx.tuning.host_lease);
    let since = if restored { removed_at.max(lapsed_at) } else { removed_at };
    ctx.now.since(since) >= ctx.tuning.isolation_limit + ctx.tuning.lease_margin
}

/// Returns whether each witness set includes a host that has a member record. It reads of changes, so
/// no host that is isolated from the store can have every witness of an older set acknowledge.
pub fn some_witnesses_registered(ctx: &proxy_context::ProxyContext) -> bool {
    witness_sets(ctx).all(|hosts| hosts.iter().any(|host| ctx.is_running(host)))
}

/// Returns whether most witnesses know the record's epoch and have received no heartbeat from
/// `target` for the duration of a quorum lease. `target` then holds no quorum lease for an older
/// epoch and cannot obtain one.
pub fn is_unreachable_from_majority(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    target: &String,
) -> bool {
    fenced_by_majorities(ctx, |host| {
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
    witness_sets(ctx).all(|hosts| witness_selection::is_majority(hosts, &holds))
}

/// Returns whether most witnesses of each set can grant nothing against a condition: it holds for
/// them, or they have departed.
pub fn fenced_by_majorities(
    ctx: &proxy_context::ProxyContext,
    holds: impl Fn(&String) -> bool,
) -> bool {
    holds_for_majorities(ctx, |host| has_departed(ctx, host) || holds(host))
}

/// Returns the past witness sets that may still be in use, and the current one.
fn witness_sets(ctx: &proxy_context::ProxyContext) -> impl Iterator<Item = &Vec<String>> {
    let past = ctx.witnesses.past.iter().map(|set| &set.hosts);
    past.chain([&ctx.witnesses.hosts])
}

/// Returns whether a host knows the record's epoch, or will never acknowledge an older one.
fn has_seen_epoch(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    host: &String,
) -> bool {
    knows_epoch(ctx, group, host) || has_departed(ctx, host)
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
