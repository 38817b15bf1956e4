//! Election of the coordinator: the one host at a time that may run failovers.
//!
//! A host is the coordinator while it holds a short lease and the coordinator record in the store
//! names it. The record's revision is the fencing token: it is higher for each new coordinator.

use std::time::Duration;

use crate::core::rendezvous_rank;
use crate::proxy::duty_flow;
use crate::proxy::epoch_fence;
use crate::proxy::proxy_context;
use crate::proxy::store_message;
use crate::proxy::store_record;
use crate::proxy::store_restore;
use crate::proxy::store_revision;
use crate::proxy::store_session;
use crate::proxy::witness_selection;

/// Delay between the hosts' turns to claim a vacant coordinator role.
const CLAIM_TURN: Duration = Duration::from_millis(150);
/// How long a host has been registered before it claims the role, so that it knows the hosts that
/// start with it; otherwise, all would claim at once.
const CLAIM_SETTLING: Duration = Duration::from_millis(300);
/// Pause after a failed claim.
const CLAIM_PAUSE: Duration = Duration::from_millis(400);

/// Most records of absent hosts that are removed at once.
const PRUNED_AT_ONCE: usize = 8;

/// Claims the coordinator role when it is vacant, and renews the lease while this host holds it.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    if ctx.stopping.is_some()
        || ctx.coordinator.call_pending
        || ctx.now < ctx.coordinator.next_call_at
    {
        return;
    }
    if !ctx.store.membership_valid(ctx.now) || !store_restore::earlier_coordinator_expired(ctx) {
        return;
    }
    let registered_at = ctx.store.first_registered_at.unwrap_or(ctx.now);
    let settled_at = registered_at.after(CLAIM_SETTLING);
    match &ctx.coordinator.record {
        None if ctx.now < settled_at => {}
        Some((record, _)) if record.host != ctx.identity.host => {}
        Some((record, _)) if record.incarnation == ctx.identity.incarnation => renew(ctx),
        Some(_) => claim(ctx),
        None => {
            let names = ctx.running_members().map(|member| member.record.host.as_str());
            let mut ranked = rendezvous_rank::rank("duty", names);
            // Witnesses claim first, because they observe all primaries.
            ranked.sort_by_key(|host| !ctx.witnesses.hosts.iter().any(|other| other == host));
            let turn = ranked.iter().position(|host| *host == ctx.identity.host);
            let turn = turn.unwrap_or(ranked.len()) as u32;
            let since = ctx.coordinator.vacant_since.max(settled_at);
            if ctx.now.since(since) >= CLAIM_TURN * turn {
                claim(ctx);
            }
        }
    }
}

/// Removes hosts from the roster that have been absent for too long, and their departures.
pub fn prune_roster(ctx: &mut proxy_context::ProxyContext) {
    if ctx.fencing_token().is_none() {
        return;
    }
    let retention = ctx.tuning.absent_share_retention;
    let witnesses_left = epoch_fence::some_witnesses_registered(ctx);
    let absent = |host: &String| {
        let removed_at = ctx.members.get(host).and_then(|member| member.removed_at);
        let absence = removed_at.map_or(Duration::ZERO, |removed_at| ctx.now.since(removed_at));
        // A host that cannot reach the store may still use a primary under a quorum lease.
        let unreachable = || {
            epoch_fence::fenced_by_majorities(ctx, |other| {
                epoch_fence::is_unreachable_from(ctx, other, host)
            })
        };
        let isolated = || witnesses_left && epoch_fence::is_isolated(ctx, host);
        let departed =
            absence >= ctx.tuning.departed_share_retention && epoch_fence::has_departed(ctx, host);
        departed
            || (absence >= retention && (unreachable() || isolated()))
            || absence >= witness_selection::PAST_SET_RETENTION
    };
    // Few at a time; the next check comes with the next renewal of the coordinator lease.
    let roster = ctx.roster.iter().filter(|(host, _)| absent(host));
    let expired = roster.map(|(host, revision)| (store_record::ROSTER_PREFIX, host, *revision));
    let outdated = ctx.departures.iter().filter(|(host, departure)| {
        let member = ctx.members.get(*host).filter(|member| member.removed_at.is_none());
        let returned =
            member.is_some_and(|member| member.record.incarnation > departure.incarnation);
        returned || !ctx.roster.contains_key(*host)
    });
    let outdated = outdated
        .map(|(host, departure)| (store_record::DEPARTURE_PREFIX, host, departure.revision));
    let records: Vec<(String, store_revision::StoreRevision)> = expired
        .chain(outdated)
        .take(PRUNED_AT_ONCE)
        .map(|(prefix, host, revision)| (format!("{prefix}{host}"), revision))
        .collect();
    for (key, expect) in records {
        log::info!("event=host_record_removed key={key}");
        let request = store_message::StoreRequest::Remove { key, expect };
        ctx.call_store(store_session::StorePurpose::IgnoreReply, request);
    }
}

/// Handles the store's reply to the request for the coordinator lease.
pub fn on_lease_reply(
    ctx: &mut proxy_context::ProxyContext,
    call: &store_session::StoreCall,
    reply: &store_message::StoreReply,
) {
    let store_message::StoreReply::LeaseGranted { lease, ttl } = reply else {
        return retry_later(ctx);
    };
    let record = store_record::CoordinatorRecord {
        host: ctx.identity.host.clone(),
        incarnation: ctx.identity.incarnation,
        lease: *lease,
    };
    let Ok(value) = rmp_serde::to_vec(&record) else { return retry_later(ctx) };
    ctx.coordinator.lease = Some((*lease, call.lease_end(*ttl, ctx.tuning.lease_margin)));
    let expect = ctx.coordinator.record.as_ref();
    let expect = expect.map_or(store_revision::StoreRevision::ABSENT, |(_, revision)| *revision);
    let request = store_message::StoreRequest::Write {
        key: store_record::COORDINATOR_KEY.to_owned(),
        value,
        lease: *lease,
        expect: Some(expect),
    };
    ctx.call_store(store_session::StorePurpose::CoordinatorRecord, request);
}

/// Handles the store's reply to the write of the coordinator record.
pub fn on_record_reply(ctx: &mut proxy_context::ProxyContext, reply: &store_message::StoreReply) {
    ctx.coordinator.call_pending = false;
    // The record itself arrives through the store watch; the reply only determines when to retry.
    if !matches!(reply, store_message::StoreReply::Written { .. }) {
        retry_later(ctx);
    }
}

/// Handles the store's reply to a renewal of the coordinator lease.
pub fn on_renewal_reply(
    ctx: &mut proxy_context::ProxyContext,
    call: &store_session::StoreCall,
    reply: &store_message::StoreReply,
) {
    ctx.coordinator.call_pending = false;
    match reply {
        store_message::StoreReply::LeaseGranted { ttl, .. } => {
            prune_roster(ctx);
            let until = call.lease_end(*ttl, ctx.tuning.lease_margin);
            ctx.coordinator.until = ctx.coordinator.until.max(until);
            duty_flow::on_lease_renewed(ctx);
        }
        store_message::StoreReply::LeaseExpired => {
            log::warn!("event=coordinator_lease_lost cause=lease_ended");
            give_up_lease(ctx);
            ctx.coordinator.next_call_at = ctx.now.after(CLAIM_PAUSE);
        }
        _ => ctx.coordinator.next_call_at = ctx.now.after(CLAIM_PAUSE / 2),
    }
}

/// Gives up the coordinator lease, which the store has ended or may have lost.
pub fn give_up_lease(ctx: &mut proxy_context::ProxyContext) {
    ctx.coordinator.until = Default::default();
    ctx.coordinator.lease = None;
    duty_flow::on_lease_lost(ctx);
}

/// Applies the coordinator record as read from the store, or its removal.
pub fn on_record_read(
    ctx: &mut proxy_context::ProxyContext,
    record: Option<store_record::CoordinatorRecord>,
    revision: store_revision::StoreRevision,
) {
    let Some(record) = record else {
        ctx.coordinator.record = None;
        ctx.coordinator.vacant_since = ctx.now;
        return;
    };
    let own = record.host == ctx.identity.host
        && record.incarnation == ctx.identity.incarnation
        && ctx.coordinator.lease.is_some_and(|(lease, _)| lease == record.lease);
    if let (true, Some((_, until))) = (own, ctx.coordinator.lease) {
        ctx.coordinator.until = ctx.coordinator.until.max(until);
    }
    let token = revision.as_u64();
    log::info!("event=coordinator_changed host={} token={token} own={own}", record.host);
    ctx.coordinator.record = Some((record, revision));
}

fn claim(ctx: &mut proxy_context::ProxyContext) {
    ctx.coordinator.call_pending = true;
    let ttl = ctx.tuning.coordinator_lease;
    let request = store_message::StoreRequest::GrantLease { ttl };
    ctx.call_store(store_session::StorePurpose::CoordinatorLease, request);
}

fn renew(ctx: &mut proxy_context::ProxyContext) {
    let Some((lease, _)) = ctx.coordinator.lease else { return claim(ctx) };
    ctx.coordinator.call_pending = true;
    ctx.coordinator.next_call_at = ctx.now.after(ctx.tuning.coordinator_renewal);
    let request = store_message::StoreRequest::RenewLease { lease };
    ctx.call_store(store_session::StorePurpose::CoordinatorRenewal, request);
}

fn retry_later(ctx: &mut proxy_context::ProxyContext) {
    ctx.coordinator.call_pending = false;
    let pause = ctx.with_jitter(CLAIM_PAUSE);
    ctx.coordinator.next_call_at = ctx.now.after(pause);
}
