//! The duty of changing primaries: one host at a time holds it, under a short lease.
//!
//! The record's revision in the store is the token: it grows with every holder.

use std::time::Duration;

use crate::core::rendezvous_rank;
use crate::proxy::epoch_fence;
use crate::proxy::proxy_context;
use crate::proxy::store_message;
use crate::proxy::store_record;
use crate::proxy::store_session;
use crate::proxy::witness_selection;

/// Time between the turns of hosts that may claim a vacant duty.
const TURN: Duration = Duration::from_millis(150);
/// Pause after a claim that failed.
const CLAIM_PAUSE: Duration = Duration::from_millis(400);

/// Claims the duty when it is vacant, renews it when it is held.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    if ctx.stopping.is_some() || ctx.coordinator.open || ctx.now < ctx.coordinator.next {
        return;
    }
    if !ctx.store.membership_valid(ctx.now) {
        return;
    }
    match &ctx.coordinator.record {
        Some((record, _)) if record.host != ctx.identity.host => {}
        Some((record, _)) if record.incarnation == ctx.identity.incarnation => renew(ctx),
        Some(_) => claim(ctx),
        None => {
            let present = ctx.members.values().filter(|member| member.gone.is_none());
            let names = present.map(|member| member.record.host.as_str());
            let mut ranked = rendezvous_rank::rank("duty", names);
            // Witnesses come first: they see all primaries.
            ranked.sort_by_key(|host| !ctx.witnesses.hosts.iter().any(|other| other == host));
            let turn = ranked.iter().position(|host| *host == ctx.identity.host);
            let turn = turn.unwrap_or(ranked.len()) as u32;
            if ctx.now.since(ctx.coordinator.vacant) >= TURN * turn {
                claim(ctx);
            }
        }
    }
}

/// Takes hosts off the roster that have been absent for long.
pub fn tidy_roster(ctx: &mut proxy_context::ProxyContext) {
    if ctx.coordinator_token().is_none() {
        return;
    }
    let kept = ctx.tuning.absent_share_retention;
    let absent = |host: &String| {
        let gone = ctx.members.get(host).and_then(|member| member.gone);
        let span = gone.map_or(Duration::ZERO, |gone| ctx.now.since(gone));
        // Hosts that cannot reach the store may serve on by each other's words.
        let alone = || {
            epoch_fence::holds_for_majorities(ctx, |other| {
                epoch_fence::is_unreachable_from(ctx, other, host)
            })
        };
        (span >= kept && alone()) || span >= witness_selection::PAST_SET_RETENTION
    };
    let gone = ctx.roster.iter().find(|(host, _)| absent(host));
    let Some((host, revision)) = gone.map(|(host, revision)| (host.clone(), *revision)) else {
        return;
    };
    log::info!("event=host_struck_off host={host}");
    // One at a time: the next look comes with the next renewal of the duty.
    let key = format!("{}{host}", store_record::ROSTER_PREFIX);
    let request = store_message::StoreRequest::Remove { key, expect: revision };
    ctx.call_store(store_session::StorePurpose::IgnoreReply, request);
}

/// Takes up the store's answer to the taking of a lease.
pub fn on_lease(
    ctx: &mut proxy_context::ProxyContext,
    call: &store_session::StoreCall,
    reply: &store_message::StoreReply,
) {
    let store_message::StoreReply::LeaseGranted { lease, ttl } = reply else { return fail(ctx) };
    let record = store_record::CoordinatorRecord {
        host: ctx.identity.host.clone(),
        incarnation: ctx.identity.incarnation,
        lease: *lease,
    };
    let Ok(value) = rmp_serde::to_vec(&record) else { return fail(ctx) };
    ctx.coordinator.lease = Some((*lease, call.lease_end(*ttl, ctx.tuning.lease_margin)));
    let expect = ctx.coordinator.record.as_ref().map_or(0, |(_, revision)| *revision);
    let request = store_message::StoreRequest::Write {
        key: store_record::COORDINATOR_KEY.to_owned(),
        value,
        lease: *lease,
        expect: Some(expect),
    };
    ctx.call_store(store_session::StorePurpose::CoordinatorRecord, request);
}

/// Takes up the store's answer to the writing of the record.
pub fn on_record(ctx: &mut proxy_context::ProxyContext, reply: &store_message::StoreReply) {
    ctx.coordinator.open = false;
    // The record itself comes with the feed; the answer only tells when to try again.
    if !matches!(reply, store_message::StoreReply::Written { .. }) {
        fail(ctx);
    }
}

/// Takes up the store's answer to a renewal.
pub fn on_keep(
    ctx: &mut proxy_context::ProxyContext,
    call: &store_session::StoreCall,
    reply: &store_message::StoreReply,
) {
    ctx.coordinator.open = false;
    match reply {
        store_message::StoreReply::LeaseGranted { ttl, .. } => {
            tidy_roster(ctx);
            let until = call.lease_end(*ttl, ctx.tuning.lease_margin);
            ctx.coordinator.until = ctx.coordinator.until.max(until);
        }
        store_message::StoreReply::LeaseExpired => {
            log::warn!("event=duty_lost cause=lease_ended");
            ctx.coordinator.until = Default::default();
            ctx.coordinator.lease = None;
            ctx.coordinator.next = ctx.now.after(CLAIM_PAUSE);
        }
        _ => ctx.coordinator.next = ctx.now.after(CLAIM_PAUSE / 2),
    }
}

/// Takes up the record as the feed tells it.
pub fn on_feed(
    ctx: &mut proxy_context::ProxyContext,
    record: Option<store_record::CoordinatorRecord>,
    revision: u64,
) {
    let Some(record) = record else {
        ctx.coordinator.record = None;
        ctx.coordinator.vacant = ctx.now;
        return;
    };
    let own = record.host == ctx.identity.host
        && record.incarnation == ctx.identity.incarnation
        && ctx.coordinator.lease.is_some_and(|(lease, _)| lease == record.lease);
    if let (true, Some((_, until))) = (own, ctx.coordinator.lease) {
        ctx.coordinator.until = ctx.coordinator.until.max(until);
    }
    log::info!("event=duty_holder host={} token={revision} own={own}", record.host);
    ctx.coordinator.record = Some((record, revision));
}

fn claim(ctx: &mut proxy_context::ProxyContext) {
    ctx.coordinator.open = true;
    let ttl = ctx.tuning.coordinator_lease;
    let request = store_message::StoreRequest::GrantLease { ttl };
    ctx.call_store(store_session::StorePurpose::CoordinatorLease, request);
}

fn renew(ctx: &mut proxy_context::ProxyContext) {
    let Some((lease, _)) = ctx.coordinator.lease else { return claim(ctx) };
    ctx.coordinator.open = true;
    ctx.coordinator.next = ctx.now.after(ctx.tuning.coordinator_renewal);
    let request = store_message::StoreRequest::RenewLease { lease };
    ctx.call_store(store_session::StorePurpose::CoordinatorRenewal, request);
}

fn fail(ctx: &mut proxy_context::ProxyContext) {
    ctx.coordinator.open = false;
    let pause = ctx.with_jitter(CLAIM_PAUSE);
    ctx.coordinator.next = ctx.now.after(pause);
}
