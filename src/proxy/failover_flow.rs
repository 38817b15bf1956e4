//! Failover: replaces the primary of a group. Runs on the coordinator.
//!
//! The coordinator records in the store that hosts must release the old primary and waits until
//! every host with a member record has reported that it did. It then requests the log positions of
//! the endpoints, records the most advanced one as the candidate and has the platform promote it.
//! Once the endpoint itself reports that it is the primary, the coordinator records it as such and
//! the hosts use it. A host that cannot be reached releases the old primary when its membership
//! lease expires; the store removes its member record after that. Hosts that have departed as planned
//! are not awaited, nor are those that have been isolated from the store for long.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::core::arena_keys;
use crate::core::endpoint_message;
use crate::proxy::commit_bound;
use crate::proxy::connection_flow;
use crate::proxy::connection_state;
use crate::proxy::duty_call;
use crate::proxy::duty_flow;
use crate::proxy::endpoint_command;
use crate::proxy::epoch_fence;
use crate::proxy::group_view;
use crate::proxy::heartbeat_flow;
use crate::proxy::holder_flow;
use crate::proxy::primary_release;
use crate::proxy::primary_wait;
use crate::proxy::proxy_context;
use crate::proxy::receipt_flow;
use crate::proxy::store_message;
use crate::proxy::store_record;
use crate::proxy::store_revision;
use crate::proxy::store_session;

/// Timeout for writing the group record; after it, the failover starts over.
const RECORD_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Least interval between status requests to the endpoints during a failover.
const STATUS_INTERVAL: Duration = Duration::from_millis(50);
/// How long the choice of a candidate waits for endpoints that have not responded.
const CANDIDATE_WAIT: Duration = Duration::from_millis(250);
/// How long a planned failover waits for a replica that has all of the primary's log.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1_500);
/// How far a successor's log may be behind when a planned failover begins in a group with synchronous
/// replicas.
const SUCCESSOR_LAG_MAX: Duration = Duration::from_millis(1_000);
/// Most hosts named in the log line of a failover that waits for them.
const AWAITED_LOGGED_MAX: usize = 8;
/// Interval between log lines of a failover that waits.
const WAIT_LOG_INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest time until the platform's reply to a promotion.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause before a promotion that got no reply is requested again.
const PROMOTION_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// How long a promoted endpoint may take to report that it is the primary.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Greatest age of the status of a promoted endpoint that shows that it stays in its term.
const STAYING_REPORT_AGE_MAX: Duration = Duration::from_millis(500);
/// Least time between a change of a group's record and a failover because the primary is
/// unresponsive, so that primaries which respond slowly do not replace one another in quick
/// succession. Other reasons for a failover do not wait.
const FAILOVER_INTERVAL_MIN: Duration = Duration::from_millis(1_000);

/// For every group, releases the old primary if the record demands it, and advances the failover if
/// this host is the coordinator.
pub fn advance_all(ctx: &mut proxy_context::ProxyContext) {
    let groups: Vec<arena_keys::GroupKey> = ctx.groups.keys().collect();
    for group in groups {
        primary_release::release_when_drained(ctx, group);
        advance(ctx, group);
    }
    primary_wait::place_waiting(ctx);
}

/// Advances the group's failover after an endpoint's status has been recorded.
pub fn on_status(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    receipt_flow::settle(ctx, group);
    advance(ctx, group);
}

/// Applies a group record as read from the store or received from a peer.
pub fn on_record(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    record: store_record::GroupRecord,
    revision: store_revision::StoreRevision,
) {
    let now = ctx.now;
    let own = record.proposer == proposer(ctx);
    // A peer's record may be of before a restore that has lost it.
    let held = revision.era() >= ctx.store.era();
    let view = &mut ctx.groups[group];
    let later_revision = held && revision > view.revision;
    // The next write has to name what the store holds, also where this host knows better.
    if later_revision {
        view.revision = revision;
    }
    let known = view.record.as_ref().map(store_record::GroupRecord::progress);
    let progress = Some(record.progress());
    if progress < known || (progress == known && !later_revision) {
        if later_revision {
            log::warn!(
                "event=group_record_outdated group={} epoch={} known_epoch={} revision={revision}",
                view.name,
                record.epoch,
                view.epoch()
            );
        }
        return;
    }
    log::info!(
        "event=group_record group={} epoch={} phase={:?} primary={} term={} candidate={:?} by={} revision={revision}",
        view.name,
        record.epoch,
        record.phase,
        record.primary,
        record.term,
        record.candidate,
        record.proposer
    );
    if record.epoch != view.epoch() {
        view.failover.epoch_known_since = None;
        view.failover.epoch_seen_since = None;
    }
    let recounts = view.record.as_ref().is_some_and(|last| record.recounts(last));
    if let Some(last) = &view.record {
        let since = view.record_received_at;
        ctx.failover_durations.record(now, last.phase, since, record.phase);
    }
    let serving = record.phase == store_record::GroupPhase::Serving;
    // To the primary's users nothing has changed.
    if !recounts {
        view.record_received_at = now;
        view.leadership_lost = false;
        if serving || record.epoch > view.epoch() + 1 {
            view.serving_since_epoch = record.epoch;
        }
    }
    view.record = Some(record);
    let state = view.failover.cursor.state().to_owned();
    if !own && state != "watching" {
        fire(ctx, group, "failover_abandoned");
    } else if own && ((state == "stopping" && !serving) || (state == "recording" && serving)) {
        fire(ctx, group, "record_written");
    }
    primary_release::release_when_drained(ctx, group);
    receipt_flow::settle(ctx, group);
    advance(ctx, group);
    primary_wait::place_waiting(ctx);
}

/// Notes that the store has no record of the group. What this host knows of it stays valid.
pub fn on_record_missing(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    let view = &mut ctx.groups[group];
    log::warn!("event=group_record_missing group={} known_epoch={}", view.name, view.epoch());
    view.revision = store_revision::StoreRevision::ABSENT;
}

/// Handles the store's reply to the write of a group record.
pub fn on_record_reply(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    record: store_record::GroupRecord,
    reply: &store_message::StoreReply,
) {
    ctx.groups[group].failover.call_pending = false;
    match reply {
        store_message::StoreReply::Written { revision } => {
            on_record(ctx, group, record, *revision);
        }
        store_message::StoreReply::Conflict => fire(ctx, group, "failover_abandoned"),
        _ => {}
    }
    advance(ctx, group);
}

/// Handles the platform's reply to a promotion.
pub fn on_promotion_reply(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    reply: duty_call::DutyReply,
) {
    let now = ctx.now;
    let view = &mut ctx.groups[group];
    view.failover.call_pending = false;
    view.failover.last_attempt_at = now;
    log::info!("event=promotion_replied group={} reply={reply:?}", view.name);
    if view.failover.cursor.state() != "promoting" {
        return;
    }
    view.failover.promotion_uncertain |= reply != duty_call::DutyReply::Rejected;
    match reply {
        duty_call::DutyReply::Accepted => fire(ctx, group, "promotion_accepted"),
        duty_call::DutyReply::Rejected => {
            let candidate = view.record.as_ref().and_then(|record| record.candidate.clone());
            let key = candidate.and_then(|id| ctx.endpoint_names.get(&id).copied());
            ctx.groups[group].failover.rejected_candidates.extend(key);
            fire(ctx, group, "promotion_rejected");
        }
        duty_call::DutyReply::NoReply => {}
    }
    advance(ctx, group);
}

fn advance(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    if ctx.fencing_token().is_none() || !ctx.store.membership_valid(ctx.now) {
        if ctx.groups[group].failover.cursor.state() != "watching" {
            fire(ctx, group, "failover_abandoned");
        }
        return;
    }
    match ctx.groups[group].failover.cursor.state() {
        "watching" => check_for_failover(ctx, group),
        "stopping" | "recording" => check_record_timeout(ctx, group),
        "confirming_record" => confirm_record(ctx, group),
        "awaiting_hosts" => await_hosts(ctx, group),
        "choosing_candidate" => choose_candidate(ctx, group),
        "promoting" => promote(ctx, group),
        "confirming_primary" => confirm_primary(ctx, group),
        _ => {}
    }
}

fn check_for_failover(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    let Some(reason) = find_reason(ctx, group) else {
        holder_flow::maintain(ctx, group);
        return demote_others(ctx, group);
    };
    if reason == group_view::FailoverReason::Leaving && !successor_has_caught_up(ctx, group) {
        return request_statuses(ctx, group);
    }
    let now = ctx.now;
    let view = &mut ctx.groups[group];
    view.failover.started_at = now;
    view.failover.rejected_candidates.clear();
    // An earlier coordinator, or this host before it lost the role, may have had it promoted.
    view.failover.promotion_uncertain =
        view.record.as_ref().is_some_and(|record| record.candidate.is_some());
    log::info!(
        "event=change_begins group={} reason={reason:?} epoch={} primary={:?}",
        view.name,
        view.epoch(),
        view.record.as_ref().map(|record| &record.primary)
    );
    match reason {
        group_view::FailoverReason::NoRecord => fire(ctx, group, "record_missing"),
        group_view::FailoverReason::Unfinished => {
            fire(ctx, group, "unfinished_found");
        }
        group_view::FailoverReason::StoreRestored => fire(ctx, group, "record_unconfirmed"),
        _ => stop_primary(ctx, group),
    }
    advance(ctx, group);
}

/// Has all hosts release the primary.
fn stop_primary(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    let Some(mut record) = ctx.groups[group].record.clone() else { return };
    record.epoch = store_record::next_epoch(record.epoch, ctx.store.era());
    record.phase = store_record::GroupPhase::Stopping;
    record.candidate = None;
    fire(ctx, group, "reason_found");
    write_record(ctx, group, record);
}

/// Records which logs do not count, in a new epoch in which the primary goes on serving.
pub fn recount(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    uncounted: BTreeSet<String>,
) {
    let Some(mut record) = ctx.groups[group].serving().cloned() else { return };
    record.epoch = store_record::next_epoch(record.epoch, ctx.store.era());
    record.uncounted = uncounted;
    let addresses: Vec<&str> = record.uncounted.iter().map(String::as_str).collect();
    log::info!(
        "event=logs_uncounted group={} epoch={} addresses={}",
        ctx.groups[group].name,
        record.epoch,
        addresses.join(",")
    );
    write_record(ctx, group, record);
}

/// Returns why the group needs a failover, if it does.
fn find_reason(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
) -> Option<group_view::FailoverReason> {
    let view = &ctx.groups[group];
    // An entry of another writer may name a group that does not exist.
    let configured =
        ctx.config.as_ref().is_some_and(|config| config.groups.contains_key(&view.name));
    if !configured || view.endpoints.is_empty() || !records_compared(ctx, group) {
        return None;
    }
    let Some(record) = &view.record else { return Some(group_view::FailoverReason::NoRecord) };
    if record.phase != store_record::GroupPhase::Serving {
        return Some(group_view::FailoverReason::Unfinished);
    }
    if record.era() < ctx.store.era() {
        return Some(group_view::FailoverReason::StoreRestored);
    }
    let successor = view.endpoints.iter().any(|endpoint| {
        let other = &ctx.endpoints[*endpoint];
        other.entry.id != record.primary && other.eligible() && other.circuit.closed()
    });
    if !successor {
        return None;
    }
    if view.leadership_lost {
        return Some(group_view::FailoverReason::LeadershipLost);
    }
    let Some(endpoint) = ctx.endpoint_names.get(&record.primary) else {
        return Some(group_view::FailoverReason::Leaving);
    };
    let primary = &ctx.endpoints[*endpoint];
    if primary.should_be_replaced(ctx.now, &ctx.tuning) {
        return Some(group_view::FailoverReason::Leaving);
    }
    let interval_passed = ctx.now.since(view.record_received_at) >= FAILOVER_INTERVAL_MIN;
    // Half the usual time suffices for this host's own observation; a majority of the witnesses
    // must report the same.
    let unresponsive = primary
        .unresponsive_since
        .is_some_and(|since| ctx.now.since(since) >= ctx.tuning.unresponsive_after / 2);
    (interval_passed && unresponsive && heartbeat_flow::majority_reports_failure(ctx, &view.name))
        .then_some(group_view::FailoverReason::Unreachable)
}

/// Returns whether this host knows the latest record of the group that any host knows. After a restore
/// of the store that is not certain before most witnesses have sent theirs.
fn records_compared(ctx: &proxy_context::ProxyContext, group: arena_keys::GroupKey) -> bool {
    let view = &ctx.groups[group];
    let era = ctx.store.era();
    if era == 0 || view.confirmed_in(era) {
        return true;
    }
    let since = ctx.store.era_since;
    let heard = |host: &String| {
        let last_heartbeat = ctx.members.get(host).and_then(|member| member.last_heartbeat);
        *host == ctx.identity.host || last_heartbeat.is_some_and(|arrived| arrived > since)
    };
    let complete = view.peer_epoch <= view.epoch() && epoch_fence::holds_for_majorities(ctx, heard);
    complete || ctx.now.since(since) >= CONFIRMATION_TIMEOUT
}

fn check_record_timeout(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    if ctx.now.since(ctx.groups[group].failover.since) >= RECORD_TIMEOUT {
        fire(ctx, group, "timed_out");
    }
}

/// Waits until no host can use the old primary. A host has either reported its release, or it has
/// no member record and can neither hold nor obtain a quorum lease for an older epoch.
fn await_hosts(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    let fenced = epoch_fence::older_epochs_fenced(ctx, group);
    let isolated_fenced = epoch_fence::isolated_hosts_fenced(ctx, group);
    let view = &ctx.groups[group];
    let (name, epoch) = (&view.name, view.epoch());
    let own = &ctx.identity.host;
    let has_released = |host: &String| {
        let Some(member) = ctx.members.get(host) else { return false };
        let released = member
            .observations
            .get(name)
            .is_some_and(|observation| observation.released_epoch >= epoch);
        let cannot_use_primary =
            || epoch_fence::cannot_use_older(ctx, group, host, fenced, isolated_fenced);
        released || host == own || (member.removed_at.is_some() && cannot_use_primary())
    };
    let mut awaited = ctx.roster.keys().filter(|host| !has_released(host)).cloned().peekable();
    let all_released = awaited.peek().is_none();
    let awaited: Vec<String> = awaited.take(AWAITED_LOGGED_MAX).collect();
    if ctx.groups[group].released_epoch >= epoch && all_released {
        let waited = ctx.now.since(ctx.groups[group].failover.started_at).as_millis();
        let name = &ctx.groups[group].name;
        log::info!(
            "event=hosts_released group={name} epoch={epoch} fenced={fenced} after_ms={waited}"
        );
        fire(ctx, group, "hosts_released");
        return advance(ctx, group);
    }
    log_wait(ctx, group, |_| format!("fenced={fenced} hosts={}", awaited.join(",")));
}

/// Requests the endpoints' statuses. Returns those that arrived since the present state of the failover
/// was entered, once no other endpoint is worth waiting for.
fn collect_reports(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
) -> Option<Vec<(arena_keys::EndpointKey, endpoint_command::EndpointStatus)>> {
    request_statuses(ctx, group);
    let view = &ctx.groups[group];
    let since = view.failover.since;
    let reports: Vec<(arena_keys::EndpointKey, endpoint_command::EndpointStatus)> = view
        .endpoints
        .iter()
        .filter_map(|endpoint| {
            let (requested_at, report) = ctx.endpoints[*endpoint].report?;
            (requested_at >= since).then_some((*endpoint, report))
        })
        .collect();
    let mut responsive = view.endpoints.iter().filter(|endpoint| {
        let other = &ctx.endpoints[**endpoint];
        other.deregistered_since.is_none() && other.unresponsive_since.is_none()
    });
    let complete = responsive.all(|endpoint| reports.iter().any(|(other, _)| other == endpoint));
    let usable = !reports.is_empty() && (complete || ctx.now.since(since) >= CANDIDATE_WAIT);
    usable.then_some(reports)
}

/// Confirms a record of before a restore of the store, if the endpoints agree with it. Otherwise a
/// failover finds out which endpoint is the primary.
fn confirm_record(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    let Some(reports) = collect_reports(ctx, group) else { return };
    let view = &ctx.groups[group];
    let Some(record) = &view.record else { return };
    let recorded = ctx.endpoint_names.get(&record.primary).copied();
    let primaries = reports.iter().filter(|(_, report)| report.primary);
    let newest = primaries.max_by_key(|(_, report)| report.term).copied();
    if let Some((endpoint, report)) = newest
        && recorded == Some(endpoint)
        && report.term == record.term
    {
        return record_primary(ctx, group, endpoint, report.term);
    }
    let answered = reports.iter().any(|(endpoint, _)| recorded == Some(*endpoint));
    let lost = heartbeat_flow::majority_reports_failure(ctx, &view.name);
    if answered || lost || ctx.now.since(view.failover.since) >= CONFIRMATION_TIMEOUT {
        stop_primary(ctx, group);
    }
}

fn choose_candidate(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    let Some(reports) = collect_reports(ctx, group) else { return };
    let view = &ctx.groups[group];
    let term = view.term();
    let waited = ctx.now.since(view.failover.since);
    let uncertain = view.failover.promotion_uncertain;
    // A pending candidate that has been unresponsive for the whole confirmation timeout is given
    // up.
    if let Some(candidate) = pending_candidate(ctx, group)
        && !(waited >= CONFIRMATION_TIMEOUT
            && ctx.endpoints[candidate].unresponsive_since.is_some())
    {
        return continue_promotion(ctx, group, candidate, &reports);
    }
    let recorded = view.record.as_ref().map(|record| record.primary.clone()).unwrap_or_default();
    let current_primary = reports.iter().filter(|(_, report)| report.primary);
    let current_primary = current_primary.max_by_key(|(_, report)| report.term).copied();
    if let Some((endpoint, report)) = current_primary {
        let other = &ctx.endpoints[endpoint];
        let new = other.entry.id != recorded;
        // Another endpoint is the primary already, or the old primary responds again and may stay.
        let may_stay = if new { report.term >= term } else { other.eligible() };
        if report.term > term || (may_stay && !uncertain) {
            return record_primary(ctx, group, endpoint, report.term);
        }
    }
    let old = reports.iter().find(|(endpoint, _)| ctx.endpoints[*endpoint].entry.id == recorded);
    let primary_position = old.map(|(_, report)| report.position);
    let Some(required) = required_position(ctx, group, &reports) else {
        return log_wait(ctx, group, |ctx| {
            format!("cause=too_few_positions known={}", describe_positions(ctx, &reports))
        });
    };
    let rejected_candidates = &ctx.groups[group].failover.rejected_candidates;
    // Once an uncertain promotion has had the time to take effect, a promotion of the old primary tells
    // whether it has: an endpoint that is the primary still stays in its term.
    let primary_suitable = uncertain && waited >= CONFIRMATION_TIMEOUT;
    let suitable = reports.iter().filter(|(endpoint, report)| {
        (!report.primary || primary_suitable)
            && report.position >= required
            && !rejected_candidates.contains(endpoint)
    });
    let eligible = suitable.clone().filter(|(endpoint, _)| ctx.endpoints[*endpoint].eligible());
    let mut candidate = eligible.max_by_key(|(_, report)| report.position);
    // Only an endpoint that is about to leave holds all acknowledged commits: the others get them
    // from it, and one of them replaces it.
    if required > endpoint_message::LogPoint::default() && current_primary.is_none() {
        candidate = candidate.or_else(|| suitable.max_by_key(|(_, report)| report.position));
    }
    let Some((endpoint, report)) = candidate else {
        if waited >= CONFIRMATION_TIMEOUT {
            ctx.groups[group].failover.rejected_candidates.clear();
        }
        return log_wait(ctx, group, |ctx| {
            let known = describe_positions(ctx, &reports);
            format!("cause=no_candidate required={required:?} known={known}")
        });
    };
    let behind =
        primary_position.is_some_and(|primary_position| report.position < primary_position);
    if behind && waited < CATCH_UP_WAIT {
        return;
    }
    let id = ctx.endpoints[*endpoint].entry.id.clone();
    log::info!(
        "event=candidate_chosen group={} endpoint={id} position={:?} primary_position={primary_position:?} reports={} after_ms={}",
        ctx.groups[group].name,
        report.position,
        reports.len(),
        waited.as_millis()
    );
    let Some(mut record) = ctx.groups[group].record.clone() else { return };
    record.phase = store_record::GroupPhase::Promoting;
    record.candidate = Some(id);
    fire(ctx, group, "candidate_chosen");
    write_record(ctx, group, record);
}

/// Returns the candidate of a promotion that may still be in progress, because its reply or the
/// host that requested it was lost.
fn pending_candidate(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
) -> Option<arena_keys::EndpointKey> {
    let view = &ctx.groups[group];
    let record = view.record.as_ref()?;
    let candidate = *ctx.endpoint_names.get(record.candidate.as_ref()?)?;
    let in_progress = record.phase == store_record::GroupPhase::Promoting
        && !view.failover.rejected_candidates.contains(&candidate);
    in_progress.then_some(candidate)
}

/// Continues a promotion that may be in progress. No other endpoint may be chosen until the
/// promotion has taken effect or the platform has rejected it.
///
/// The promotion is requested again if the candidate has sent a status or refuses connections. A
/// candidate that refuses connections is assumed not to run; the platform then rejects the
/// promotion, and another candidate is chosen.
fn continue_promotion(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    candidate: arena_keys::EndpointKey,
    reports: &[(arena_keys::EndpointKey, endpoint_command::EndpointStatus)],
) {
    let term = ctx.groups[group].term();
    let newer = reports.iter().filter(|(_, report)| report.primary && report.term > term);
    if let Some((endpoint, report)) = newer.max_by_key(|(_, report)| report.term) {
        return record_primary(ctx, group, *endpoint, report.term);
    }
    let responded = reports.iter().any(|(endpoint, _)| *endpoint == candidate);
    let refuses_connections = ctx.endpoints[candidate].connections_refused_since.is_some();
    if responded || refuses_connections {
        // Repeating a promotion has no effect on an endpoint that is the primary already.
        fire(ctx, group, "candidate_chosen");
    }
}

/// Returns the log position that a candidate must have reached, so that no acknowledged commit is
/// lost; `None` if the reports do not suffice to tell.
fn required_position(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    reports: &[(arena_keys::EndpointKey, endpoint_command::EndpointStatus)],
) -> Option<endpoint_message::LogPoint> {
    let sync_replicas = sync_replicas(ctx, group)?;
    let holders = holder_flow::current(ctx, group);
    let positions: BTreeMap<&String, endpoint_message::LogPoint> = reports
        .iter()
        .map(|(endpoint, report)| (&ctx.endpoints[*endpoint].entry.address, report.position))
        .filter(|(address, _)| holders.contains_key(*address))
        .collect();
    let positions: Vec<endpoint_message::LogPoint> = positions.into_values().collect();
    commit_bound::required_position(&positions, holders.len(), sync_replicas)
}

/// Returns how many replicas hold a commit of the group before it is acknowledged; `None` while this
/// host has no configuration.
pub fn sync_replicas(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
) -> Option<usize> {
    let object = ctx.config.as_ref()?.groups.get(&ctx.groups[group].name);
    Some(object.map_or(0, |object| object.sync_replicas as usize))
}

/// Returns whether a planned failover may begin: some successor has received nearly all of the
/// primary's log. Until then the primary keeps serving for as long as it may.
fn successor_has_caught_up(ctx: &proxy_context::ProxyContext, group: arena_keys::GroupKey) -> bool {
    let view = &ctx.groups[group];
    let primary = view.record.as_ref().and_then(|record| ctx.endpoint_names.get(&record.primary));
    let usable = primary.map(|endpoint| &ctx.endpoints[*endpoint]).is_some_and(|primary| {
        !primary.is_excluded(ctx.now, &ctx.tuning) && primary.unresponsive_since.is_none()
    });
    if !usable || sync_replicas(ctx, group).is_none_or(|count| count == 0) {
        return true;
    }
    let since = ctx.now.before(SUCCESSOR_LAG_MAX);
    let Some(required) = view.samples.required(since) else { return false };
    view.endpoints.iter().map(|endpoint| &ctx.endpoints[*endpoint]).any(|other| {
        let recent = other.report.filter(|(requested_at, _)| *requested_at >= since);
        let caught_up =
            recent.is_some_and(|(_, report)| !report.primary && report.position >= required);
        other.eligible() && caught_up
    })
}

fn promote(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    let view = &ctx.groups[group];
    let Some(record) = &view.record else { return };
    let written = record.phase == store_record::GroupPhase::Promoting;
    if view.failover.call_pending {
        return;
    }
    if !written {
        // The reply to the write of the record was lost; the store watch will show whether it was
        // written.
        if ctx.now.since(view.failover.since) >= RECORD_TIMEOUT {
            fire(ctx, group, "failover_abandoned");
        }
        return;
    }
    let Some(candidate) = record.candidate.clone() else { return };
    if ctx.now.since(view.failover.last_attempt_at) < PROMOTION_RETRY_PAUSE
        && view.failover.last_attempt_at > view.failover.since
    {
        return;
    }
    let name = view.name.clone();
    let duty = duty_call::DutyCall::Promotion { group: name.clone(), endpoint: candidate.clone() };
    let subject = duty_call::DutySubject::Promotion(group);
    let Some(token) = duty_flow::call(ctx, subject, duty, Some(PROMOTION_TIMEOUT)) else { return };
    ctx.groups[group].failover.call_pending = true;
    log::info!("event=promotion_requested group={name} endpoint={candidate} token={token}");
}

fn confirm_primary(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    request_statuses(ctx, group);
    let view = &ctx.groups[group];
    let Some(record) = &view.record else { return };
    let candidate = record.candidate.as_ref().and_then(|id| ctx.endpoint_names.get(id)).copied();
    let report = candidate.and_then(|endpoint| ctx.endpoints[endpoint].report);
    let is_primary = report.filter(|(requested_at, report)| {
        *requested_at >= view.failover.since && report.primary && report.term > record.term
    });
    if let (Some((_, report)), Some(endpoint)) = (is_primary, candidate) {
        return record_primary(ctx, group, endpoint, report.term);
    }
    if ctx.now.since(view.failover.since) < CONFIRMATION_TIMEOUT {
        return;
    }
    // The platform has accepted the promotion of an endpoint that stays in its term: it had been the
    // primary all along.
    let stays = report.filter(|(requested_at, report)| {
        ctx.now.since(*requested_at) < STAYING_REPORT_AGE_MAX
            && report.primary
            && report.term == record.term
    });
    match (stays, candidate) {
        (Some((_, report)), Some(endpoint)) => record_primary(ctx, group, endpoint, report.term),
        _ => fire(ctx, group, "timed_out"),
    }
}

/// Records the primary that hosts may use from now on.
fn record_primary(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    endpoint: arena_keys::EndpointKey,
    term: u64,
) {
    // A record of an earlier era is confirmed by an epoch of this one.
    let epoch = ctx.groups[group].epoch().max(store_record::first_epoch(ctx.store.era()));
    let record = store_record::GroupRecord {
        epoch,
        phase: store_record::GroupPhase::Serving,
        primary: ctx.endpoints[endpoint].entry.id.clone(),
        term,
        candidate: None,
        proposer: proposer(ctx),
        uncounted: ctx.groups[group].uncounted().clone(),
    };
    let duration = ctx.now.since(ctx.groups[group].failover.started_at).as_millis();
    log::info!(
        "event=primary_decided group={} endpoint={} term={term} epoch={} after_ms={duration}",
        ctx.groups[group].name,
        record.primary,
        record.epoch
    );
    fire(ctx, group, "primary_found");
    write_record(ctx, group, record);
}

/// Commands endpoints that still act as primary in an older term to step down.
fn demote_others(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    let view = &ctx.groups[group];
    let Some(record) = view.serving() else { return };
    let (term, primary) = (record.term, record.primary.clone());
    let old: Vec<arena_keys::EndpointKey> = view
        .endpoints
        .iter()
        .copied()
        .filter(|endpoint| {
            let other = &ctx.endpoints[*endpoint];
            let claims_primary = other.entry.primary
                || other.report.is_some_and(|(_, report)| report.primary && report.term < term);
            let is_replica = other.report.is_some_and(|(requested_at, report)| {
                requested_at >= view.record_received_at && !report.primary
            });
            other.entry.id != primary && claims_primary && !is_replica
        })
        .collect();
    for endpoint in old {
        let user = connection_state::ConnectionUser::Failover(group);
        let command = endpoint_command::EndpointCommand::StepDown { term };
        connection_flow::send_command(ctx, endpoint, user, command, true);
    }
}

/// Requests the statuses of the group's endpoints.
pub fn request_statuses(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    if ctx.now.since(ctx.groups[group].failover.last_attempt_at) < STATUS_INTERVAL {
        return;
    }
    ctx.groups[group].failover.last_attempt_at = ctx.now;
    for endpoint in ctx.groups[group].endpoints.clone() {
        let user = connection_state::ConnectionUser::Failover(group);
        let command = endpoint_command::EndpointCommand::Status;
        connection_flow::send_command(ctx, endpoint, user, command, true);
    }
    ctx.timers.push(ctx.now.after(STATUS_INTERVAL), proxy_context::ProxyTimer::Failover(group));
}

fn write_record(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    mut record: store_record::GroupRecord,
) {
    record.proposer = proposer(ctx);
    let Ok(value) = rmp_serde::to_vec(&record) else { return };
    let view = &mut ctx.groups[group];
    view.failover.call_pending = true;
    let request = store_message::StoreRequest::Write {
        key: format!("{}{}", store_record::GROUP_PREFIX, view.name),
        value,
        lease: 0,
        expect: Some(view.revision),
    };
    ctx.call_store(store_session::StorePurpose::GroupRecord { group, record }, request);
}

/// Returns the endpoints of the reports with their positions, for the log.
fn describe_positions(
    ctx: &proxy_context::ProxyContext,
    reports: &[(arena_keys::EndpointKey, endpoint_command::EndpointStatus)],
) -> String {
    let positions = reports.iter().map(|(endpoint, report)| {
        let point = report.position;
        format!("{}:{}.{}", ctx.endpoints[*endpoint].entry.id, point.term, point.position)
    });
    positions.collect::<Vec<_>>().join(",")
}

/// Logs what a failover waits for, at most once per [`WAIT_LOG_INTERVAL`].
fn log_wait(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    detail: impl FnOnce(&proxy_context::ProxyContext) -> String,
) {
    let failover = &ctx.groups[group].failover;
    let last = failover.since.max(failover.wait_logged_at);
    if ctx.now.since(last) < WAIT_LOG_INTERVAL {
        return;
    }
    let detail = detail(ctx);
    let now = ctx.now;
    let view = &mut ctx.groups[group];
    view.failover.wait_logged_at = now;
    log::info!(
        "event=failover_waits group={} epoch={} state={} for_ms={} {detail}",
        view.name,
        view.epoch(),
        view.failover.cursor.state(),
        now.since(view.failover.since).as_millis()
    );
}

fn fire(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey, event: &str) {
    let now = ctx.now;
    let failover = &mut ctx.groups[group].failover;
    if failover.cursor.fire(event) {
        failover.since = now;
        failover.call_pending = false;
        failover.epoch_known_since = None;
        failover.epoch_seen_since = None;
    }
}

fn proposer(ctx: &proxy_context::ProxyContext) -> String {
    format!("{}#{}", ctx.identity.host, ctx.identity.incarnation)
}
