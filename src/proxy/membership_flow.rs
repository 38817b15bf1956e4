//! This host's own membership in the store: its lease, its entry in the roster, its record.

use crate::proxy::proxy_context;
use crate::proxy::store_message;
use crate::proxy::store_record;
use crate::proxy::store_session;
use crate::proxy::store_sync;

/// Takes, registers or renews what is due of the membership.
pub fn look_after_lease(ctx: &mut proxy_context::ProxyContext, stopping: bool) {
    match (ctx.store.lease, ctx.store.registered) {
        (Some(lease), Some(_)) => {
            ctx.store.lease_call_pending = true;
            let request = store_message::StoreRequest::RenewLease { lease };
            ctx.call_store(store_session::StorePurpose::MembershipRenewal { lease }, request);
        }
        (Some(_), None) if !stopping && !ctx.roster.contains_key(&ctx.identity.host) => enrol(ctx),
        (Some(lease), None) if !stopping => register(ctx, lease),
        (None, _) if !stopping => {
            ctx.store.lease_call_pending = true;
            let ttl = ctx.tuning.host_lease;
            let request = store_message::StoreRequest::GrantLease { ttl };
            ctx.call_store(store_session::StorePurpose::MembershipLease, request);
        }
        _ => {}
    }
}

/// Writes this host's entry in the roster.
fn enrol(ctx: &mut proxy_context::ProxyContext) {
    // Without a full reading this host does not know whether its entry is there.
    if ctx.store.revision.is_none() {
        return;
    }
    let Ok(value) = rmp_serde::to_vec(&ctx.identity) else { return };
    ctx.store.lease_call_pending = true;
    let key = format!("{}{}", store_record::ROSTER_PREFIX, ctx.identity.host);
    let request = store_message::StoreRequest::Write { key, value, lease: 0, expect: None };
    ctx.call_store(store_session::StorePurpose::RosterRecord, request);
}

fn register(ctx: &mut proxy_context::ProxyContext, lease: u64) {
    let Ok(value) = rmp_serde::to_vec(&ctx.identity) else { return };
    ctx.store.lease_call_pending = true;
    let request = store_message::StoreRequest::Write {
        key: format!("{}{}", store_record::MEMBER_PREFIX, ctx.identity.host),
        value,
        lease,
        expect: None,
    };
    ctx.call_store(store_session::StorePurpose::MemberRecord { lease }, request);
}

/// Takes up the store's answer to the writing of the entry in the roster.
pub fn on_roster_record(ctx: &mut proxy_context::ProxyContext, reply: &store_message::StoreReply) {
    ctx.store.lease_call_pending = false;
    ctx.store.next_lease = ctx.now.after(ctx.tuning.store_pause);
    if let store_message::StoreReply::Written { revision } = reply {
        ctx.roster.insert(ctx.identity.host.clone(), *revision);
        ctx.store.next_lease = ctx.now;
    }
}

/// Takes up the store's answer to the taking of a lease.
pub fn on_host_lease(
    ctx: &mut proxy_context::ProxyContext,
    call: &store_session::StoreCall,
    reply: &store_message::StoreReply,
) {
    ctx.store.lease_call_pending = false;
    let store_message::StoreReply::LeaseGranted { lease, ttl } = reply else {
        ctx.store.next_lease = store_sync::retry_time(ctx);
        return;
    };
    ctx.store.lease = Some(*lease);
    ctx.store.registered = None;
    ctx.store.lease_until = call.lease_end(*ttl, ctx.tuning.lease_margin);
}

/// Takes up the store's answer to the writing of the member record.
pub fn on_host_record(
    ctx: &mut proxy_context::ProxyContext,
    lease: u64,
    reply: &store_message::StoreReply,
) {
    ctx.store.lease_call_pending = false;
    match reply {
        store_message::StoreReply::Written { revision } if ctx.store.lease == Some(lease) => {
            log::info!("event=registered lease={lease} revision={revision}");
            ctx.store.registered = Some(*revision);
            ctx.store.first_registered.get_or_insert(*revision);
            let renewal = ctx.tuning.host_renewal;
            ctx.store.next_lease = ctx.now.after(renewal);
        }
        store_message::StoreReply::LeaseExpired => {
            ctx.store.lease = None;
            ctx.store.next_lease = store_sync::retry_time(ctx);
        }
        _ => ctx.store.next_lease = store_sync::retry_time(ctx),
    }
}

/// Takes up the store's answer to the renewal of the lease.
pub fn on_host_keep(
    ctx: &mut proxy_context::ProxyContext,
    call: &store_session::StoreCall,
    lease: u64,
    reply: &store_message::StoreReply,
) {
    ctx.store.lease_call_pending = false;
    if ctx.store.lease != Some(lease) {
        return;
    }
    match reply {
        store_message::StoreReply::LeaseGranted { ttl, .. } => {
            let until = call.lease_end(*ttl, ctx.tuning.lease_margin);
            ctx.store.lease_until = ctx.store.lease_until.max(until);
            let renewal = ctx.tuning.host_renewal;
            ctx.store.next_lease = ctx.now.after(renewal);
        }
        store_message::StoreReply::LeaseExpired => {
            log::warn!("event=membership_lost lease={lease}");
            ctx.store.lease = None;
            ctx.store.registered = None;
            ctx.store.next_lease = ctx.now;
        }
        _ => ctx.store.next_lease = store_sync::retry_time(ctx),
    }
}
