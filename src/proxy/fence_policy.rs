//! When no host can use a primary of an older epoch any more.

use crate::core::arena_keys;
use crate::proxy::member_flow;
use crate::proxy::proxy_context;
use crate::proxy::witness_policy;

/// Whether no host can have the word of most witnesses for an epoch before the record's.
///
/// That is so once most witnesses have known the new epoch for as long as such words last.
pub fn fence(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) -> bool {
    let held = by_most(ctx, |host| knows_epoch(ctx, group, host));
    let now = ctx.now;
    let change = &mut ctx.groups[group].change;
    if !held {
        change.fenced_since = None;
        return false;
    }
    let since = *change.fenced_since.get_or_insert(now);
    now.since(since) >= ctx.tuning.quorum_word + ctx.tuning.lease_margin
}

/// Whether most witnesses know the record's epoch and have not heard `target` for as long as words
/// last: it has nobody's word for an older epoch, and will get none.
pub fn unheard_by_most(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    target: &String,
) -> bool {
    by_most(ctx, |host| unheard(ctx, host, target) && knows_epoch(ctx, group, host))
}

/// Whether `host` has not heard `target` for as long as words last.
pub fn unheard(ctx: &proxy_context::ProxyContext, host: &String, target: &String) -> bool {
    match ctx.members.get(host) {
        _ if host == &ctx.identity.host => member_flow::is_silent(ctx, target),
        Some(member) => member.silent.contains(target),
        None => false,
    }
}

/// Whether something holds for most witnesses, in every set of them that a host which was cut off may
/// still go by.
pub fn by_most(ctx: &proxy_context::ProxyContext, holds: impl Fn(&String) -> bool) -> bool {
    let past = ctx.witnesses.past.iter().map(|set| &set.hosts);
    past.chain([&ctx.witnesses.hosts]).all(|hosts| witness_policy::most(hosts, &holds))
}

fn knows_epoch(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    host: &String,
) -> bool {
    let view = &ctx.groups[group];
    let member = ctx.members.get(host);
    let sight = member.and_then(|member| member.sights.get(&view.name));
    *host == ctx.identity.host || sight.is_some_and(|sight| sight.known_epoch >= view.epoch())
}
