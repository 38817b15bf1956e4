//! Keeps the record of the logs that may hold acknowledged commits, for groups with synchronous
//! replicas. Runs on the coordinator.
//!
//! A log is added once an endpoint registers at its address. A failover counts all logs of the record,
//! also those whose endpoints are not registered.
//!
//! Silence does not tell a log that is lost from one that only the hosts cannot reach, and whose
//! receipts the primary counts. A log is therefore forgotten in steps, while no endpoint is registered
//! at its address or answers there:
//!
//! 1. Enough other replicas have received all that the primary has. The group's record then names the
//!    log as uncounted, in a new epoch. Hosts that know that epoch pass a commit's acknowledgement on
//!    only if enough replicas that count hold the commit (`receipt_flow`).
//! 2. All hosts know the epoch, or cannot use the primary.
//! 3. Enough other replicas have received all that the primary had then. The record of the holders
//!    drops the log, which stays uncounted.
//!
//! An uncounted log counts again once an endpoint is registered at its address. It is dropped when an
//! endpoint of another group has the address, or after [`ProxyTuning::lost_log_retention`].
//!
//! [`ProxyTuning::lost_log_retention`]: crate::proxy::proxy_tuning::ProxyTuning::lost_log_retention

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::proxy::endpoint_command;
use crate::proxy::endpoint_view;
use crate::proxy::epoch_fence;
use crate::proxy::failover_flow;
use crate::proxy::holder_record;
use crate::proxy::log_holders;
use crate::proxy::proxy_context;
use crate::proxy::store_message;
use crate::proxy::store_record;
use crate::proxy::store_revision;
use crate::proxy::store_session;

/// How long no endpoint may be registered at an address before its log can be forgotten. One that was
/// draining before can be forgotten at once.
const ABSENCE_MIN: Duration = Duration::from_millis(5_000);
/// How long an endpoint that is not registered may take to answer a status request.
const ANSWER_TIME: Duration = Duration::from_millis(1_500);
/// Interval between comparisons of a group's record with its endpoints; changes of registrations are
/// applied at once.
const COMPARE_INTERVAL: Duration = Duration::from_millis(500);
/// The same while absent logs are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Applies the record as read from the store, or its removal.
pub fn on_read(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    record: Option<holder_record::HolderRecord>,
    revision: store_revision::StoreRevision,
) {
    let holders = &mut ctx.groups[group].holders;
    let Some(record) = record else {
        holders.stored = None;
        holders.revision = store_revision::StoreRevision::ABSENT;
        return;
    };
    if revision.era() > holders.revision.era() {
        holders.known.holders.extend(record.holders.clone());
    } else {
        holders.known = record.clone();
    }
    holders.stored = Some(record);
    holders.revision = revision;
}

/// Handles the store's reply to the write of a record.
pub fn on_reply(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    record: holder_record::HolderRecord,
    reply: &store_message::StoreReply,
) {
    let token = ctx.fencing_token();
    let holders = &mut ctx.groups[group].holders;
    holders.call_pending = false;
    let store_message::StoreReply::Written { revision } = reply else { return };
    holders.written_under = token;
    holders.next_check = clock_time::ClockTime::default();
    if *revision > holders.revision {
        on_read(ctx, group, Some(record), *revision);
    }
}

/// Returns the logs that may hold acknowledged commits.
pub fn current(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
) -> BTreeMap<String, String> {
    let view = &ctx.groups[group];
    let mut holders = view.holders.known.holders.clone();
    let entry_of =
        |other: &endpoint_view::EndpointView| (other.entry.address.clone(), other.entry.id.clone());
    if view.holders.stored.is_none() {
        holders.extend(group_endpoints(ctx, group).map(entry_of));
    }
    let registered = group_endpoints(ctx, group);
    let registered = registered.filter(|other| other.deregistered_since.is_none());
    holders.extend(registered.map(entry_of));
    holders
}

/// Compares the record at the next opportunity, because an endpoint's registration has changed.
pub fn on_registration_changed(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    ctx.groups[group].holders.next_check = clock_time::ClockTime::default();
}

/// Writes the records that are outdated, while the group has a primary.
pub fn maintain(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    let view = &ctx.groups[group];
    let pending = view.holders.call_pending || view.failover.call_pending;
    if pending || ctx.now < view.holders.next_check {
        return;
    }
    let Some(sync_replicas) = failover_flow::sync_replicas(ctx, group) else { return };
    if sync_replicas == 0 {
        return;
    }
    let mut holders = current(ctx, group);
    let uncounted = ctx.groups[group].uncounted().clone();
    let unneeded = find_unneeded(ctx, group, &holders, sync_replicas);
    let fenced = ctx.groups[group].holders.check.is_some_and(|check| check.fenced);
    let mut next_uncounted = still_uncounted(ctx, group);
    for address in unneeded {
        if fenced && uncounted.contains(&address) {
            holders.remove(&address);
        }
        next_uncounted.insert(address);
    }
    let checking = ctx.groups[group].holders.check.is_some();
    let interval = if checking { CHECK_INTERVAL } else { COMPARE_INTERVAL };
    ctx.groups[group].holders.next_check = ctx.now.after(interval);
    let record = holder_record::HolderRecord { holders };
    // A pending write of an earlier coordinator could still forget a log that has come back. Any
    // later write keeps it from taking effect.
    let returned = uncounted.iter().any(|address| is_registered(ctx, group, address));
    let view = &ctx.groups[group];
    let rewrite = returned && view.holders.written_under != ctx.fencing_token();
    if view.holders.stored.as_ref() != Some(&record) || rewrite {
        write_record(ctx, group, record);
    } else if next_uncounted != uncounted {
        failover_flow::recount(ctx, group, next_uncounted);
    }
}

fn write_record(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    record: holder_record::HolderRecord,
) {
    let view = &mut ctx.groups[group];
    let Ok(value) = rmp_serde::to_vec(&record) else { return };
    let described: Vec<String> =
        record.holders.iter().map(|(address, id)| format!("{id}@{address}")).collect();
    log::info!("event=log_holders group={} holders={}", view.name, described.join(","));
    let request = store_message::StoreRequest::Write {
        key: format!("{}{}", store_record::HOLDER_PREFIX, view.name),
        value,
        lease: 0,
        expect: Some(view.holders.revision),
    };
    view.holders.call_pending = true;
    view.holders.written_under = None;
    ctx.call_store(store_session::StorePurpose::HolderRecord { group, record }, request);
}

/// Returns the uncounted logs that do not count yet.
fn still_uncounted(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
) -> BTreeSet<String> {
    let mut uncounted = ctx.groups[group].uncounted().clone();
    let now = ctx.now;
    let since = &mut ctx.groups[group].holders.uncounted_since;
    since.retain(|address, _| uncounted.contains(address));
    for address in &uncounted {
        since.entry(address.clone()).or_insert(now);
    }
    let written = ctx.groups[group].holders.written_under.is_some()
        && ctx.groups[group].holders.written_under == ctx.fencing_token();
    uncounted.retain(|address| {
        let state = &ctx.groups[group].holders;
        let counted =
            state.stored.as_ref().is_some_and(|record| record.holders.contains_key(address));
        if is_registered(ctx, group, address) {
            return !(counted && written);
        }
        let absent = state.uncounted_since.get(address).map(|since| ctx.now.since(*since));
        let lost = absent.is_some_and(|absent| absent >= ctx.tuning.lost_log_retention);
        counted || !(lost || is_reused(ctx, group, address))
    });
    uncounted
}

/// Returns whether an endpoint of the group is registered at an address.
fn is_registered(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    address: &str,
) -> bool {
    endpoints_at(ctx, group, address).any(|other| other.deregistered_since.is_none())
}

/// Returns whether an endpoint of another group is registered at an address. The log that was there is
/// gone then.
fn is_reused(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    address: &str,
) -> bool {
    ctx.endpoints.values().any(|other| {
        other.group != group && other.entry.address == address && other.deregistered_since.is_none()
    })
}

/// Returns the addresses of logs that are not needed any more: their endpoints are absent, and
/// `sync_replicas` other replicas have all that the primary had when the check began.
fn find_unneeded(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    holders: &BTreeMap<String, String>,
    sync_replicas: usize,
) -> Vec<String> {
    let absent: Vec<String> =
        holders.keys().filter(|address| is_absent(ctx, group, address)).cloned().collect();
    if absent.is_empty() {
        ctx.groups[group].holders.check = None;
        return Vec::new();
    }
    let now = ctx.now;
    let awaited = ctx.groups[group].recount_in_progress();
    let fenced = awaited && epoch_fence::adopted_by_all_hosts(ctx, group);
    let view = &ctx.groups[group];
    let epoch = view.epoch();
    let begun = view.holders.check.filter(|check| {
        check.since >= view.record_received_at && check.epoch == epoch && check.fenced == fenced
    });
    let new_check = log_holders::HolderCheck { since: now, epoch, fenced, primary_position: None };
    let mut check = begun.unwrap_or(new_check);
    failover_flow::request_statuses(ctx, group);
    let term = ctx.groups[group].term();
    let reports = reports_since(ctx, group, check.since);
    let primary = reports.values().find(|report| report.primary && report.term == term);
    check.primary_position = check.primary_position.or(primary.map(|report| report.position));
    ctx.groups[group].holders.check = Some(check);
    let Some(position) = check.primary_position else { return Vec::new() };
    let uncounted = ctx.groups[group].uncounted();
    let replicas = reports.iter().filter(|(address, report)| {
        !report.primary
            && report.position >= position
            && !absent.contains(*address)
            && !uncounted.contains(*address)
    });
    if replicas.count() < sync_replicas {
        return Vec::new();
    }
    let timed_out = now.since(check.since) >= ANSWER_TIME;
    let silent = |address: &String| {
        !reports.contains_key(address) && (timed_out || is_unreachable(ctx, group, address))
    };
    absent.into_iter().filter(silent).collect()
}

/// Returns whether no endpoint has been registered at an address for long enough.
fn is_absent(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    address: &str,
) -> bool {
    let mut known = endpoints_at(ctx, group, address).peekable();
    if known.peek().is_none() {
        return ctx.store.listed_at.is_some_and(|at| ctx.now.since(at) >= ABSENCE_MIN);
    }
    known.all(|other| {
        let least = if other.draining_since.is_some() { Duration::ZERO } else { ABSENCE_MIN };
        other.deregistered_since.is_some_and(|since| ctx.now.since(since) >= least)
    })
}

/// Returns whether the endpoints that this host knows at an address do not respond.
fn is_unreachable(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    address: &str,
) -> bool {
    endpoints_at(ctx, group, address).all(|other| {
        other.unresponsive_since.is_some() || other.connections_refused_since.is_some()
    })
}

/// Returns the reports that were requested since a time, by address.
fn reports_since(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    since: clock_time::ClockTime,
) -> BTreeMap<String, endpoint_command::EndpointStatus> {
    let reported = group_endpoints(ctx, group).filter_map(|other| {
        let (requested_at, report) = other.report?;
        (requested_at >= since).then(|| (other.entry.address.clone(), report))
    });
    reported.collect()
}

/// Returns the endpoints of the group that this host knows, registered or not.
fn group_endpoints(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
) -> impl Iterator<Item = &endpoint_view::EndpointView> {
    ctx.groups[group].endpoints.iter().map(|endpoint| &ctx.endpoints[*endpoint])
}

/// Returns those of them at an address.
fn endpoints_at<'a>(
    ctx: &'a proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    address: &'a str,
) -> impl Iterator<Item = &'a endpoint_view::EndpointView> {
    group_endpoints(ctx, group).filter(move |other| other.entry.address == address)
}
