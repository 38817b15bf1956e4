//! Reads the configuration from the store on its own, in turn with the other hosts.
//!
//! The configuration is by far the largest item. Where hundreds of hosts start together, or cannot
//! get a change of it from peers, each waits for a turn, so that the store's link is not filled by
//! replies that arrive too late.

use std::time::Duration;

use crate::core::clock_time;
use crate::proxy::change_relay;
use crate::proxy::proxy_context;
use crate::proxy::store_message;
use crate::proxy::store_record;
use crate::proxy::store_revision;
use crate::proxy::store_session;
use crate::proxy::store_sync;

/// Interval between the turns of two hosts. Together with the size of the largest configuration it
/// stays below the rate of the store's link.
const TURN_INTERVAL: Duration = Duration::from_millis(20);
/// Hosts that may read at the same time without turns.
const UNORDERED_HOSTS: usize = 32;
/// How long a host that starts waits for its registration, whose order determines the turns.
const REGISTRATION_WAIT: Duration = Duration::from_millis(2_000);
/// Longest wait for the configuration; doubled after each read that did not arrive.
const READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Most doublings of that wait.
const READ_DOUBLINGS_MAX: u32 = 4;

/// A read of the configuration that this host needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigRead {
    /// Revision as of which the configuration has to be read.
    pub revision: store_revision::StoreRevision,
    /// Until when this host is certain to have known the configuration in force.
    pub current_until: clock_time::ClockTime,
    /// When the read may be sent; `None` until the turn of this host is known.
    pub due: Option<clock_time::ClockTime>,
    /// Whether the read is pending.
    pub pending: bool,
    /// Consecutive reads that did not arrive.
    pub failures: u32,
}

/// Records that this host lacks the configuration as of `revision`.
pub fn require(ctx: &mut proxy_context::ProxyContext, revision: store_revision::StoreRevision) {
    if let Some(read) = &mut ctx.store.config_read {
        read.revision = read.revision.max(revision);
        return;
    }
    let due = match ctx.config.is_some() {
        true => Some(update_turn(ctx)),
        false => start_turn(ctx),
    };
    log::info!("event=config_read_needed revision={revision}");
    ctx.store.config_read = Some(ConfigRead {
        revision,
        current_until: ctx.store.synced_at,
        due,
        pending: false,
        failures: 0,
    });
}

/// Records that this host has the configuration as of `revision`.
pub fn note_known(ctx: &mut proxy_context::ProxyContext, revision: store_revision::StoreRevision) {
    if ctx.store.config_read.is_some_and(|read| read.revision <= revision) {
        ctx.store.config_read = None;
    }
}

/// Reads the configuration if that is due.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    let Some(mut read) = ctx.store.config_read else { return };
    if read.due.is_none() {
        read.due = start_turn(ctx);
        ctx.store.config_read = Some(read);
    }
    if read.pending || read.due.is_none_or(|due| ctx.now < due) {
        return;
    }
    read.pending = true;
    ctx.store.config_read = Some(read);
    let limit = READ_TIMEOUT * (1 << read.failures.min(READ_DOUBLINGS_MAX));
    let scope = store_message::ListScope::ConfigOnly;
    let request = store_message::StoreRequest::List { scope, after: None, limit };
    ctx.call_store(store_session::StorePurpose::ConfigRead, request);
}

/// Handles the store's reply to the read.
pub fn on_reply(ctx: &mut proxy_context::ProxyContext, reply: store_message::StoreReply) {
    let retry = store_sync::retry_time(ctx);
    let Some(read) = &mut ctx.store.config_read else { return };
    read.pending = false;
    let store_message::StoreReply::Listed { items, revision, .. } = reply else {
        read.failures = read.failures.saturating_add(1);
        read.due = Some(retry);
        return;
    };
    // A change that peers reported meanwhile may not be in the reply.
    let complete = revision >= read.revision;
    if complete {
        ctx.store.config_read = None;
    }
    store_sync::apply_and_advance(ctx, items);
}

/// Returns whether this host knows that its configuration was replaced, so long ago that the new one
/// has to be in force.
pub fn is_overdue(ctx: &proxy_context::ProxyContext) -> bool {
    // Nine tenths of the time that a configuration may take, of which a short watch is a third.
    let limit = ctx.tuning.watch_wait_short * 27 / 10;
    let overdue = |read: ConfigRead| ctx.now.since(read.current_until) >= limit;
    ctx.config.is_some() && ctx.store.config_read.is_some_and(overdue)
}

/// Returns the turn of a host that starts: the order in which the hosts that started together have
/// registered. `None` while this host does not know its own registration.
fn start_turn(ctx: &mut proxy_context::ProxyContext) -> Option<clock_time::ClockTime> {
    let small = ctx.roster.len() <= ctx.tuning.witnesses_all;
    if small && ctx.roster.contains_key(&ctx.identity.host) {
        return Some(ctx.now);
    }
    if ctx.store.knows_own_registration() {
        // The others get changes of the configuration from the watchers.
        if change_relay::is_watcher(ctx) {
            return Some(ctx.now);
        }
        let before = starters_before(ctx).saturating_sub(UNORDERED_HOSTS);
        return Some(ctx.now.after(TURN_INTERVAL * before as u32));
    }
    let listed_at = ctx.store.listed_at?;
    if ctx.now.since(listed_at) < REGISTRATION_WAIT {
        return None;
    }
    let hosts = ctx.roster.len().saturating_sub(UNORDERED_HOSTS);
    Some(random_turn(ctx, TURN_INTERVAL * hosts as u32))
}

/// Returns the turn of a host whose configuration was replaced.
fn update_turn(ctx: &mut proxy_context::ProxyContext) -> clock_time::ClockTime {
    let hosts = ctx.running_members().count().saturating_sub(UNORDERED_HOSTS);
    // Half of the time that a configuration may take.
    let spread = (TURN_INTERVAL * hosts as u32).min(ctx.tuning.watch_wait_short * 3 / 2);
    random_turn(ctx, spread)
}

fn random_turn(ctx: &mut proxy_context::ProxyContext, spread: Duration) -> clock_time::ClockTime {
    let fraction = ctx.random_fraction();
    ctx.now.after(spread.mul_f64(fraction))
}

/// Returns how many of the hosts that started together with this one have registered before it.
fn starters_before(ctx: &proxy_context::ProxyContext) -> usize {
    let before = |host: &str| {
        let key = format!("{}{host}", store_record::MEMBER_PREFIX);
        let revision = ctx.store.known.get(&store_message::ItemSubject::Record(key));
        revision.is_some_and(|revision| Some(*revision) < ctx.store.first_registered)
    };
    let starters = ctx.running_members().filter(|member| ctx.is_start_mate(member));
    starters.filter(|member| before(&member.record.host)).count()
}
