//! Recovery of a host after the store was restored from a copy.
//!
//! Such a store has lost what it acknowledged since the copy, and gives out the revisions of that time
//! again. It counts its restores in its era. Nothing that a host knows by revision can be compared with
//! a later era by number, so the host reads everything again.

use std::time::Duration;

use crate::proxy::proxy_context;
use crate::proxy::store_message;
use crate::proxy::store_session;
use crate::proxy::store_sync;

/// Time for each running host over which the hosts of a large fleet spread their reads and
/// registrations.
const READ_SPREAD_PER_HOST: Duration = Duration::from_millis(2);

/// Records the era that a reply states, and returns what the reply says to this host.
///
/// A reply of another era than that in which its request was made says nothing certain: the request
/// named revisions or a lease that the store may have lost.
pub fn check_era(
    ctx: &mut proxy_context::ProxyContext,
    call: &store_session::StoreCall,
    stamped: store_message::StampedReply,
) -> store_message::StoreReply {
    let store_message::StampedReply { era: Some(era), reply } = stamped else {
        return stamped.reply;
    };
    match ctx.store.era {
        None => {
            ctx.store.first_era = era;
            set_era(ctx, era);
        }
        Some(known) if era > known => on_restored(ctx, known, era),
        Some(_) => {}
    }
    let same_era = call.era.is_none_or(|known| known == era) && ctx.store.era == Some(era);
    if same_era { reply } else { store_message::StoreReply::NoReply }
}

fn set_era(ctx: &mut proxy_context::ProxyContext, era: u64) {
    ctx.store.era = Some(era);
    ctx.store.era_since = ctx.now;
}

fn on_restored(ctx: &mut proxy_context::ProxyContext, before: u64, era: u64) {
    ctx.counts.store_restores += 1;
    log::warn!(
        "event=store_restored era={era} before={before} revision={:?} known_items={}",
        ctx.store.revision,
        ctx.store.known.len()
    );
    set_era(ctx, era);
    ctx.coordinator.lease = None;
    ctx.coordinator.until = Default::default();
    ctx.history.clear();
    // In a large fleet, hosts read the configuration in turn.
    let small = ctx.roster.len() <= ctx.tuning.witnesses_all;
    let scope = match small {
        true => store_message::ListScope::All,
        false => store_message::ListScope::WithoutConfig,
    };
    store_sync::read_again(ctx, scope);
    let spread = READ_SPREAD_PER_HOST * ctx.running_members().count() as u32;
    let fraction = if small { 0.0 } else { ctx.random_fraction() };
    ctx.store.next_read = ctx.now.after(spread.mul_f64(fraction));
    // The store may have lost the lease, the member record, or only one of them.
    ctx.store.lease = None;
    ctx.store.registered = None;
    ctx.store.lease_until = Default::default();
    ctx.store.next_lease = ctx.store.next_read;
}

/// Returns whether no coordinator of an earlier era can still be certain of its lease.
///
/// Such a lease was renewed before the store was restored, so it has ended one duration after this host
/// saw the present era. Whoever has written a record in this era has waited for that already.
pub fn earlier_coordinator_expired(ctx: &proxy_context::ProxyContext) -> bool {
    let era = ctx.store.era();
    let mut records = ctx.groups.values().filter_map(|group| group.record.as_ref());
    era == 0
        || ctx.now.since(ctx.store.era_since) >= ctx.tuning.coordinator_lease
        || records.any(|record| record.era() == era)
}
