//! Recovery of a host after the store was restored from a copy.
//!
//! Such a store has lost what it acknowledged since the copy, and gives out the revisions of that time
//! again. It counts its restores in its era. Nothing that a host knows by revision can be compared with
//! a later era by number, so the host reads everything again. What the copy holds is older than what the
//! host knows until it is written again.

use std::time::Duration;

use crate::core::clock_time;
use crate::proxy::coordinator_election;
use crate::proxy::membership_flow;
use crate::proxy::proxy_context;
use crate::proxy::store_message;
use crate::proxy::store_record;
use crate::proxy::store_session;
use crate::proxy::store_sync;

/// Time for each running host over which the hosts of a large fleet spread their reads and
/// registrations.
const READ_SPREAD_PER_HOST: Duration = Duration::from_millis(2);

/// Time within which operators, databases and hosts write again what a restored store has lost.
const REWRITE_TIME: Duration = Duration::from_millis(2_500);

/// What a restored store says of an item of which this host knows something later.
#[derive(Debug)]
pub struct HeldItem {
    item: store_message::StoreItem,
    due: clock_time::ClockTime,
}

/// Returns the items of the first full read after a restore that are applied at once. The others are
/// held until their writers have had time to write them again.
pub fn hold_outdated(
    ctx: &mut proxy_context::ProxyContext,
    items: Vec<store_message::StoreItem>,
) -> Vec<store_message::StoreItem> {
    let due = ctx.now.after(REWRITE_TIME);
    let (held, current): (Vec<_>, Vec<_>) =
        items.into_iter().partition(|item| is_outdated(ctx, item));
    log::info!("event=items_held held={} applied={}", held.len(), current.len());
    for item in held {
        let (subject, revision, removed) = (&item.subject, item.revision, item.body.is_none());
        ctx.log_limited(|| {
            format!("event=item_held subject={subject:?} revision={revision} removed={removed}")
        });
        ctx.store.held.insert(item.subject.clone(), HeldItem { item, due });
    }
    current
}

/// Applies the held items that nobody has written again in time.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    let now = ctx.now;
    let due = ctx.store.held.extract_if(.., |_, held| now >= held.due);
    let items: Vec<store_message::StoreItem> = due.map(|(_, held)| held.item).collect();
    if !items.is_empty() {
        store_sync::apply_and_advance(ctx, items);
    }
}

/// Returns whether an item as read from a restored store is older than what this host knows of it. In
/// the copy it then has a lower number, or it is missing.
///
/// Configurations and records with an order of their own are never held.
fn is_outdated(ctx: &proxy_context::ProxyContext, item: &store_message::StoreItem) -> bool {
    let held_back = match &item.subject {
        store_message::ItemSubject::Endpoint(_) | store_message::ItemSubject::Evacuation(_) => true,
        store_message::ItemSubject::Record(key) => {
            let prefixes = [store_record::MEMBER_PREFIX, store_record::ROSTER_PREFIX];
            let host = prefixes.iter().find_map(|prefix| key.strip_prefix(prefix));
            host.is_some_and(|host| host != ctx.identity.host)
        }
        _ => false,
    };
    let known = ctx.store.known.get(&item.subject);
    let older = known.is_some_and(|known| item.revision.number() < known.number());
    held_back && (item.body.is_none() || older)
}

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
    membership_flow::register_again(ctx, ctx.store.next_read);
    coordinator_election::give_up_lease(ctx);
}

/// Returns whether no coordinator of an earlier era can still be certain of its lease.
///
/// Such a lease was renewed before the store was restored, so it has ended one duration after this host
/// saw the present era. Whoever has written a record in this era has waited for that already.
pub fn earlier_coordinator_expired(ctx: &proxy_context::ProxyContext) -> bool {
    let era = ctx.store.era();
    era == 0
        || ctx.now.since(ctx.store.era_since) >= ctx.tuning.coordinator_lease
        || ctx.groups.values().any(|group| group.confirmed_in(era))
}
