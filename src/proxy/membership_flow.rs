//! Membership of this host in the store: its membership lease, its roster entry and its member
//! record.

use crate::core::clock_time;
use crate::proxy::proxy_context;
use crate::proxy::store_message;
use crate::proxy::store_record;
use crate::proxy::store_session;
use crate::proxy::store_sync;

/// Sends the next request that the membership needs: to obtain or renew the lease, or to write the
/// roster entry or the member record.
pub fn maintain_membership(ctx: &mut proxy_context::ProxyContext, stopping: bool) {
    match (ctx.store.lease, ctx.store.registered) {
        // The roster entry comes first: the lease has to last only until the member record is
        // written, also where the store refuses requests because hundreds of hosts start at once. It is
        // missing from a running host where a restored store has lost it.
        _ if !stopping && !ctx.roster.contains_key(&ctx.identity.host) => write_roster_entry(ctx),
        // Without a member record of the new process, its unplanned end could be taken for the planned
        // one of the earlier process.
        (Some(_), _) if !stopping && ctx.departures.contains_key(&ctx.identity.host) => {
            remove_departure(ctx);
        }
        (Some(lease), Some(_)) => {
            ctx.store.lease_call_pending = true;
            let request = store_message::StoreRequest::RenewLease { lease };
            ctx.call_store(store_session::StorePurpose::MembershipRenewal { lease }, request);
        }
        (Some(lease), None) if !stopping => write_member_record(ctx, lease),
        (None, _) if !stopping => {
            ctx.store.lease_call_pending = true;
            let ttl = ctx.tuning.host_lease;
            let request = store_message::StoreRequest::GrantLease { ttl };
            ctx.call_store(store_session::StorePurpose::MembershipLease, request);
        }
        _ => {}
    }
}

/// Writes this host's roster entry.
fn write_roster_entry(ctx: &mut proxy_context::ProxyContext) {
    // Before a full read, this host does not know whether its entry exists already.
    if ctx.store.revision.is_none() {
        return;
    }
    let Ok(value) = rmp_serde::to_vec(&ctx.identity) else { return };
    ctx.store.lease_call_pending = true;
    let key = format!("{}{}", store_record::ROSTER_PREFIX, ctx.identity.host);
    let request = store_message::StoreRequest::Write { key, value, lease: 0, expect: None };
    ctx.call_store(store_session::StorePurpose::RosterRecord, request);
}

/// Records that this process ends as planned and uses no primary any more.
pub fn record_departure(ctx: &mut proxy_context::ProxyContext) {
    if ctx.store.first_registered.is_none() {
        return;
    }
    let Ok(value) = rmp_serde::to_vec(&ctx.identity) else { return };
    let key = format!("{}{}", store_record::DEPARTURE_PREFIX, ctx.identity.host);
    let request = store_message::StoreRequest::Write { key, value, lease: 0, expect: None };
    ctx.call_store(store_session::StorePurpose::IgnoreReply, request);
}

fn remove_departure(ctx: &mut proxy_context::ProxyContext) {
    let Some(departure) = ctx.departures.get(&ctx.identity.host) else { return };
    let expect = departure.revision;
    ctx.store.lease_call_pending = true;
    let key = format!("{}{}", store_record::DEPARTURE_PREFIX, ctx.identity.host);
    let request = store_message::StoreRequest::Remove { key, expect };
    ctx.call_store(store_session::StorePurpose::DepartureRemoval, request);
}

/// Handles the store's reply to the removal of an earlier departure.
pub fn on_departure_reply(
    ctx: &mut proxy_context::ProxyContext,
    reply: &store_message::StoreReply,
) {
    ctx.store.lease_call_pending = false;
    match reply {
        store_message::StoreReply::Written { .. } => {
            ctx.departures.remove(&ctx.identity.host);
            ctx.store.next_lease = ctx.now;
        }
        // After a conflict the store watch brings what the store holds.
        _ => ctx.store.next_lease = store_sync::retry_time(ctx),
    }
}

fn write_member_record(ctx: &mut proxy_context::ProxyContext, lease: u64) {
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

/// Forgets the lease and the registration, of which a restored store may have lost both or either, and
/// registers again at `time`.
pub fn register_again(ctx: &mut proxy_context::ProxyContext, time: clock_time::ClockTime) {
    ctx.store.lease = None;
    ctx.store.registered = None;
    ctx.store.lease_until = clock_time::ClockTime::default();
    ctx.store.next_lease = time;
}

/// Handles the store's reply to the write of the roster entry.
pub fn on_roster_reply(ctx: &mut proxy_context::ProxyContext, reply: &store_message::StoreReply) {
    ctx.store.lease_call_pending = false;
    ctx.store.next_lease = ctx.now.after(ctx.tuning.store_pause);
    if let store_message::StoreReply::Written { revision } = reply {
        ctx.roster.insert(ctx.identity.host.clone(), *revision);
        ctx.store.next_lease = ctx.now;
    }
}

/// Handles the store's reply to the request for the membership lease.
pub fn on_lease_reply(
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

/// Handles the store's reply to the write of the member record.
pub fn on_member_record_reply(
    ctx: &mut proxy_context::ProxyContext,
    lease: u64,
    reply: &store_message::StoreReply,
) {
    ctx.store.lease_call_pending = false;
    match reply {
        store_message::StoreReply::Written { revision } if ctx.store.lease == Some(lease) => {
            log::info!("event=registered lease={lease} revision={revision}");
            ctx.store.registered = Some(*revision);
            note_registered(ctx);
            ctx.store.first_registered.get_or_insert(*revision);
            ctx.store.first_registered_at.get_or_insert(ctx.now);
            ctx.store.next_lease = ctx.now.after(ctx.host_renewal());
        }
        store_message::StoreReply::LeaseExpired => {
            ctx.store.lease = None;
            ctx.store.next_lease = store_sync::retry_time(ctx);
        }
        _ => ctx.store.next_lease = store_sync::retry_time(ctx),
    }
}

fn note_registered(ctx: &mut proxy_context::ProxyContext) {
    ctx.store.registered_until = ctx.store.registered_until.max(ctx.store.lease_until);
}

/// Handles the store's reply to a renewal of the membership lease.
pub fn on_renewal_reply(
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
            if ctx.store.registered.is_some() {
                note_registered(ctx);
            }
            // Counted from the request, so that slow replies do not shorten what is left.
            ctx.store.next_lease = call.sent.after(ctx.host_renewal());
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
