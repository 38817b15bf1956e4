//! Failover of a group: suspecting the primary, claiming a term, fencing a majority and choosing
//! the new primary.
//!
//! A host claims a term by compare-and-swap on the group's record in the platform. It then fences
//! the copies: a fenced copy accepts neither statements nor log entries of lower terms. Once a
//! majority is fenced, every acknowledged write is on at least one of the fenced copies. The most
//! advanced of them is written to the record as the primary by a second compare-and-swap. If the
//! claiming host pauses or crashes midway, a later claim replaces its own, and the copies or the
//! record reject whatever it still sends.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::call_purpose;
use crate::core::confirm_flow;
use crate::core::connection_flow;
use crate::core::core_context;
use crate::core::core_message;
use crate::core::core_tuning;
use crate::core::endpoint_message;
use crate::core::group_record;
use crate::core::group_state;
use crate::core::peer_message;
use crate::core::platform_message;
use crate::core::rendezvous_rank;
use crate::core::role_flow;
use crate::core::timer_queue;

/// Number of peers that are asked for a primary check before an unreachable primary is replaced.
const PEERS_CHECKED: usize = 2;
/// Time that a claim waits for the replies to primary checks, in milliseconds.
const PRIMARY_CHECK_WAIT_MS: u64 = 300;
/// Time that an election waits for further copies after a majority is fenced, in milliseconds.
const FENCE_WAIT_MS: u64 = 150;
/// Time that a group's first election, or a planned failover, waits for all copies, in
/// milliseconds.
const ALL_COPIES_WAIT_MS: u64 = 1_000;
/// Time between taking a primary's endpoint out of service and the planned failover.
const LEAVE_GRACE: Duration = Duration::from_millis(2_500);
/// Time for which an endpoint must have refused connections before it counts as unreachable.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum age of the status on which a host confirms a primary to a peer, in milliseconds.
const CONFIRM_AGE_MAX_MS: u64 = 1_300;

/// Runs the periodic work of one group: probes its endpoints and advances a failover.
pub fn on_timer(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    if !ctx.groups.contains_key(group) {
        return;
    }
    if ctx.groups[group].cursor.state() == "watching" {
        connection_flow::probe_due(ctx, group);
    } else {
        connection_flow::probe_group(ctx, group);
    }
    advance(ctx, group);
    let settled = ctx.groups[group].cursor.state() == "watching";
    let interval = core_tuning::CoreTuning::millis(ctx.tuning.probe_interval_ms);
    let span = if settled { interval } else { interval / 4 };
    let span = ctx.with_jitter(span);
    ctx.set_timer(span, timer_queue::TimerKind::Group(group));
}

/// Applies the group's record as stored in the platform.
pub fn on_record(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    entry: &platform_message::StoreEntry,
) {
    let Ok(record) = rmp_serde::from_slice::<group_record::GroupRecord>(&entry.value) else {
        log::error!(
            "group {}: cannot decode the record in the platform's store",
            ctx.groups[group].name
        );
        return;
    };
    let now = ctx.now;
    let state = &mut ctx.groups[group];
    if entry.revision <= state.revision {
        return;
    }
    let new_term = record.term > state.term();
    let term_changed =
        state.record.as_ref().map(|old| (old.term, old.phase)) != Some((record.term, record.phase));
    state.revision = entry.revision;
    state.record = Some(record);
    if term_changed {
        state.record_at = now;
        state.replica_progress = (endpoint_message::LogPoint::default(), now);
    }
    if new_term {
        state.fire("record_changed", now);
        confirm_flow::on_new_term(ctx, group);
    }
    connection_flow::probe_group(ctx, group);
}

/// Handles a new status of one of the group's endpoints.
pub fn on_status(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    endpoint: arena_keys::EndpointKey,
) {
    let Some(last_status) = ctx.endpoints[endpoint].last_status.clone() else { return };
    if ctx.groups[group].cursor.state() == "fencing" {
        record_fenced(ctx, group, endpoint, &last_status.status);
    }
    record_progress(ctx, group);
    role_flow::track_new_copy(ctx, group, endpoint, &last_status.status);
    role_flow::reconcile_role(ctx, group, endpoint, &last_status.status);
    if let Some(sample) = confirm_flow::majority_sample(ctx, group) {
        ctx.groups[group].add_sample(sample);
    }
    advance(ctx, group);
}

/// Returns whether this host recently saw the primary of `term`, or of a later term, serve.
pub fn confirms_primary(ctx: &core_context::CoreContext, group: &str, term: u64) -> bool {
    let Some(group) = ctx.group_names.get(group).map(|key| &ctx.groups[*key]) else { return false };
    let Some(record) = group.serving().filter(|record| record.term >= term) else { return false };
    let Some(endpoint) = ctx.endpoint_names.get(&record.primary) else { return false };
    let since = ctx.now.before(core_tuning::CoreTuning::millis(CONFIRM_AGE_MAX_MS));
    let endpoint = &ctx.endpoints[*endpoint];
    let status = endpoint.status_since(since).filter(|_| endpoint.refusing_since.is_none());
    status.is_some_and(|status| status.primary && status.adopted_term == record.term)
}

/// Handles a peer's reply to a primary check.
pub fn on_primary_check(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    term: u64,
    serving: bool,
) {
    let now = ctx.now;
    let state = &mut ctx.groups[group];
    state.checks_pending = state.checks_pending.saturating_sub(1);
    if serving
        && state.term() == term
        && state.reason == Some(group_state::FailoverReason::Unreachable)
    {
        return state.fire("peers_confirm_primary", now);
    }
    advance(ctx, group);
}

/// Handles the platform's reply to a compare-and-swap of the group's record.
pub fn on_swap(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    record: group_record::GroupRecord,
    reply: Option<platform_message::PlatformReply>,
) {
    ctx.groups[group].copy_update_pending = false;
    match reply {
        Some(platform_message::PlatformReply::Swapped { revision }) => {
            on_write_accepted(ctx, group, record, revision)
        }
        Some(platform_message::PlatformReply::Conflict(Some(entry))) => {
            on_conflict(ctx, group, entry)
        }
        Some(_) => on_write_rejected(ctx, group),
        None => {
            let key = group_record::record_key(&ctx.groups[group].name);
            let purpose = call_purpose::CallPurpose::ReadGroupRecord { group };
            ctx.call_platform(purpose, platform_message::PlatformRequest::Get { key });
        }
    }
}

/// Handles the record as read after the reply to a compare-and-swap was lost.
pub fn on_reread(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    reply: Option<platform_message::PlatformReply>,
) {
    match reply {
        Some(platform_message::PlatformReply::Value(Some(entry))) => on_conflict(ctx, group, entry),
        Some(_) => on_write_rejected(ctx, group),
        // The outcome is unknown. The election times out, and the live records show which write
        // won.
        None => {}
    }
}

fn on_conflict(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    entry: platform_message::StoreEntry,
) {
    let own = proposer(ctx);
    let record = rmp_serde::from_slice::<group_record::GroupRecord>(&entry.value).ok();
    let state = ctx.groups[group].cursor.state().to_owned();
    if let Some(record) = record.filter(|record| record.proposer == own) {
        let claimed = state == "claiming" && record.phase == group_record::TermPhase::Electing;
        let decided = state == "deciding" && record.phase == group_record::TermPhase::Serving;
        if (claimed || decided) && entry.revision > ctx.groups[group].revision {
            return on_write_accepted(ctx, group, record, entry.revision);
        }
    }
    on_write_rejected(ctx, group);
    let key = entry.key.clone();
    ctx.live_records.insert_newer(entry.clone());
    log::debug!("record {key} was changed by another host; its record is applied");
    on_record(ctx, group, &entry);
}

fn on_write_rejected(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let now = ctx.now;
    if matches!(ctx.groups[group].cursor.state(), "claiming" | "deciding") {
        ctx.groups[group].fire("claim_lost", now);
    }
}

fn on_write_accepted(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    record: group_record::GroupRecord,
    revision: u64,
) {
    let Ok(value) = rmp_serde::to_vec(&record) else { return };
    let key = group_record::record_key(&ctx.groups[group].name);
    let entry = platform_message::StoreEntry { key, revision, value };
    ctx.live_records.insert_newer(entry.clone());
    let now = ctx.now;
    match ctx.groups[group].cursor.state() {
        "claiming" if record.phase == group_record::TermPhase::Electing => {
            ctx.groups[group].fire("claim_won", now);
            store_record(ctx, group, record, revision);
            fence_endpoints(ctx, group);
        }
        "deciding" if record.phase == group_record::TermPhase::Serving => {
            ctx.groups[group].fire("decision_won", now);
            log::info!(
                "group {}: term {} has primary {}",
                ctx.groups[group].name,
                record.term,
                record.primary
            );
            store_record(ctx, group, record, revision);
            connection_flow::probe_group(ctx, group);
        }
        _ => on_record(ctx, group, &entry),
    }
}

/// Stores the record that this host has written.
fn store_record(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    record: group_record::GroupRecord,
    revision: u64,
) {
    let now = ctx.now;
    let state = &mut ctx.groups[group];
    state.revision = revision;
    state.record = Some(record);
    state.record_at = now;
    state.replica_progress = (endpoint_message::LogPoint::default(), now);
    confirm_flow::on_new_term(ctx, group);
}

/// Advances a failover as far as currently possible.
fn advance(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    match ctx.groups[group].cursor.state() {
        "watching" => check_primary(ctx, group),
        "suspecting" => await_claim_turn(ctx, group),
        "claiming" => check_timeout(ctx, group),
        "fencing" => await_fenced_majority(ctx, group),
        "deciding" => check_timeout(ctx, group),
        _ => {}
    }
}

fn check_primary(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let Some(reason) = find_reason(ctx, group) else { return };
    let now = ctx.now;
    let event = match reason {
        group_state::FailoverReason::NoRecord => "record_missing",
        _ => "primary_missing",
    };
    let state = &mut ctx.groups[group];
    state.fire(event, now);
    state.reason = Some(reason);
}

/// Returns why the group needs a failover, if it does.
fn find_reason(
    ctx: &core_context::CoreContext,
    group: arena_keys::GroupKey,
) -> Option<group_state::FailoverReason> {
    let state = &ctx.groups[group];
    if state.endpoints.is_empty() || !ctx.may_change_records() {
        return None;
    }
    let Some(record) = &state.record else {
        return ctx.peers.platform_confirmed_at.map(|_| group_state::FailoverReason::NoRecord);
    };
    let age = ctx.now.since(state.record_at);
    if record.phase == group_record::TermPhase::Electing {
        let limit = core_tuning::CoreTuning::millis(ctx.tuning.election_timeout_ms);
        return (age >= limit).then_some(group_state::FailoverReason::ElectionStalled);
    }
    let limit = core_tuning::CoreTuning::millis(ctx.tuning.suspect_after_ms);
    let primary = *ctx.endpoint_names.get(&record.primary)?;
    let status = ctx.endpoints[primary].status_since(ctx.now.before(limit));
    let serves = status.is_some_and(|status| status.primary && status.adopted_term == record.term);
    if !serves {
        return (age >= limit).then_some(group_state::FailoverReason::Unreachable);
    }
    if is_refusing(ctx, primary) {
        return Some(group_state::FailoverReason::Unreachable);
    }
    if ctx.now.since(state.replica_progress.1) >= limit * 2 && has_reachable_majority(ctx, group) {
        return Some(group_state::FailoverReason::Isolated);
    }
    let leaving = !ctx.endpoints[primary].in_service && successor_ready(ctx, group, primary);
    // Fencing ends open transactions, so they get time to finish first.
    let settled = age >= LEAVE_GRACE && leave_grace_over(ctx);
    (leaving && settled).then_some(group_state::FailoverReason::Leaving)
}

/// Returns whether the endpoint has refused connections for `REFUSAL_TIMEOUT`. A refusal is
/// stronger evidence than a missing response, so it counts sooner.
fn is_refusing(ctx: &core_context::CoreContext, endpoint: arena_keys::EndpointKey) -> bool {
    let since = ctx.endpoints[endpoint].refusing_since;
    since.is_some_and(|since| ctx.now.since(since) >= REFUSAL_TIMEOUT)
}

/// Returns whether the grace period of endpoints taken out of service is over. From then on they
/// receive no new work, not even as primaries, so that their replicas can catch up for the
/// failover.
pub fn leave_grace_over(ctx: &core_context::CoreContext) -> bool {
    ctx.now.since(ctx.config.applied_at.max(ctx.leaving_since)) >= LEAVE_GRACE
}

fn await_claim_turn(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let now = ctx.now;
    let reason = find_reason(ctx, group);
    let Some(reason) = reason else { return ctx.groups[group].fire("primary_seen", now) };
    let state = &mut ctx.groups[group];
    state.reason = Some(reason);
    let mut turn =
        core_tuning::CoreTuning::millis(ctx.tuning.claim_turn_ms) * claim_rank(ctx, group);
    if reason == group_state::FailoverReason::Unreachable {
        send_primary_checks(ctx, group);
        if ctx.groups[group].checks_pending > 0 {
            turn += core_tuning::CoreTuning::millis(PRIMARY_CHECK_WAIT_MS);
        }
    }
    if now.since(ctx.groups[group].since) >= turn {
        claim(ctx, group);
    }
}

fn claim(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let proposer = proposer(ctx);
    let state = &ctx.groups[group];
    let old = state.record.clone();
    let record = group_record::GroupRecord {
        term: state.term() + 1,
        phase: group_record::TermPhase::Electing,
        primary: old.as_ref().map(|old| old.primary.clone()).unwrap_or_default(),
        proposer,
        start: old.as_ref().map(|old| old.start).unwrap_or_default(),
        copies: old.map(|old| old.copies).unwrap_or_default(),
    };
    let (name, reason) = (&state.name, state.reason);
    log::info!("group {name}: claiming term {}, reason {reason:?}", record.term);
    let now = ctx.now;
    ctx.groups[group].fire("claim_sent", now);
    swap_group_record(ctx, group, record);
}

fn fence_endpoints(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let term = ctx.groups[group].term();
    for endpoint in ctx.groups[group].endpoints.clone() {
        connection_flow::send_control_request(
            ctx,
            endpoint,
            endpoint_message::EndpointRequest::Fence { term },
        );
    }
}

fn record_fenced(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    endpoint: arena_keys::EndpointKey,
    status: &endpoint_message::EndpointStatus,
) {
    let name = ctx.endpoints[endpoint].name.clone();
    let state = &mut ctx.groups[group];
    let Some(record) = &state.record else { return };
    let counted = record.copies.is_empty() || record.copies.get(&name) == Some(&status.copy);
    if status.adopted_term == record.term && counted {
        state.fenced.insert(endpoint, status.clone());
    }
}

fn await_fenced_majority(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let now = ctx.now;
    let state = &mut ctx.groups[group];
    if state.fenced.len() < state.majority() {
        fence_endpoints(ctx, group);
        return check_timeout(ctx, group);
    }
    let first = state.record.as_ref().is_some_and(|record| record.copies.is_empty());
    let majority_fenced_at = *state.majority_fenced_at.get_or_insert(now);
    let wait_for_all = first || state.reason == Some(group_state::FailoverReason::Leaving);
    let grace = if wait_for_all { ALL_COPIES_WAIT_MS } else { FENCE_WAIT_MS };
    let complete = state.fenced.len() == state.endpoints.len();
    if complete || now.since(majority_fenced_at) >= core_tuning::CoreTuning::millis(grace) {
        return decide(ctx, group);
    }
    fence_endpoints(ctx, group);
}

/// Writes the chosen primary to the record.
fn decide(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let now = ctx.now;
    let Some(chosen) = choose_primary(ctx, group) else { return check_timeout(ctx, group) };
    let state = &ctx.groups[group];
    let Some(mut record) = state.record.clone() else { return };
    record.phase = group_record::TermPhase::Serving;
    record.primary = ctx.endpoints[chosen].name.clone();
    record.start = state.fenced[&chosen].log_point();
    for (endpoint, status) in &state.fenced {
        record.copies.insert(ctx.endpoints[*endpoint].name.clone(), status.copy);
    }
    ctx.groups[group].fire("majority_fenced", now);
    swap_group_record(ctx, group, record);
}

/// Returns the fenced copy that becomes the primary.
///
/// An acknowledged write is on a majority of all copies, so it is on each of the most advanced
/// `majority - missing` fenced copies, and on each that is level with the most advanced one. Among
/// these, a copy in service is preferred, then the most advanced.
fn choose_primary(
    ctx: &core_context::CoreContext,
    group: arena_keys::GroupKey,
) -> Option<arena_keys::EndpointKey> {
    let state = &ctx.groups[group];
    let mut ranked: Vec<(&arena_keys::EndpointKey, &endpoint_message::EndpointStatus)> =
        state.fenced.iter().collect();
    ranked.sort_by_key(|(endpoint, status)| {
        (std::cmp::Reverse(status.log_point()), &ctx.endpoints[**endpoint].name)
    });
    let missing = state.endpoints.len() - state.fenced.len();
    let safe = state.majority().saturating_sub(missing).max(1);
    let best = ranked.first().map(|(_, status)| status.log_point())?;
    let level = ranked.iter().filter(|(_, status)| status.log_point() == best).count();
    let safe = &ranked[..safe.max(level).min(ranked.len())];
    let serving = safe.iter().find(|(endpoint, _)| ctx.endpoints[**endpoint].in_service);
    serving.or(safe.first()).map(|(endpoint, _)| **endpoint)
}

fn check_timeout(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let now = ctx.now;
    let limit = core_tuning::CoreTuning::millis(ctx.tuning.election_timeout_ms);
    if now.since(ctx.groups[group].since) >= limit {
        ctx.groups[group].fire("timed_out", now);
    }
}

/// Records the time at which the replicas last advanced, or were level with the primary.
fn record_progress(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let now = ctx.now;
    let Some(record) = ctx.groups[group].serving() else { return };
    let Some(primary) = ctx.endpoint_names.get(&record.primary).copied() else { return };
    let primary_point =
        ctx.endpoints[primary].last_status.as_ref().map(|observed| observed.status.log_point());
    let best = |state: &group_state::GroupState| {
        let others = state.endpoints.iter().filter(|endpoint| **endpoint != primary);
        let observed = others.filter_map(|endpoint| ctx.endpoints[*endpoint].last_status.as_ref());
        observed.map(|observed| observed.status.log_point()).max().unwrap_or_default()
    };
    let replica_point = best(&ctx.groups[group]);
    let level = primary_point.is_none_or(|point| replica_point >= point);
    let state = &mut ctx.groups[group];
    let moved = replica_point > state.replica_progress.0;
    if moved || level || state.endpoints.len() == 1 {
        state.replica_progress = (replica_point, now);
    }
}

fn has_reachable_majority(ctx: &core_context::CoreContext, group: arena_keys::GroupKey) -> bool {
    let state = &ctx.groups[group];
    let since = ctx.now.before(core_tuning::CoreTuning::millis(ctx.tuning.suspect_after_ms));
    let live = |endpoint: &&arena_keys::EndpointKey| {
        ctx.endpoints[**endpoint].status_since(since).is_some_and(|status| !status.primary)
    };
    state.endpoints.iter().filter(live).count() + 1 >= state.majority()
}

/// Returns whether a majority is reachable and a replica in service holds everything that the
/// leaving primary holds.
fn successor_ready(
    ctx: &core_context::CoreContext,
    group: arena_keys::GroupKey,
    primary: arena_keys::EndpointKey,
) -> bool {
    let since = ctx.now.before(core_tuning::CoreTuning::millis(ctx.tuning.suspect_after_ms));
    let state = &ctx.groups[group];
    let live = |endpoint: &arena_keys::EndpointKey| ctx.endpoints[*endpoint].status_since(since);
    let Some(leader) = live(&primary) else { return false };
    let point = leader.log_point();
    let reachable = state.endpoints.iter().filter(|endpoint| live(endpoint).is_some()).count();
    let level = state.endpoints.iter().any(|endpoint| {
        ctx.endpoints[*endpoint].in_service
            && live(endpoint).is_some_and(|status| status.reached(point))
    });
    reachable >= state.majority() && level
}

/// Replaces the group's record by compare-and-swap.
pub fn swap_group_record(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    record: group_record::GroupRecord,
) {
    let Ok(value) = rmp_serde::to_vec(&record) else { return };
    let state = &ctx.groups[group];
    let key = group_record::record_key(&state.name);
    let expected = state.revision;
    let purpose = call_purpose::CallPurpose::SwapGroupRecord { group, record };
    ctx.call_platform(
        purpose,
        platform_message::PlatformRequest::CompareSwap { key, expected, value },
    );
}

fn send_primary_checks(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    if std::mem::replace(&mut ctx.groups[group].checks_sent, true) {
        return;
    }
    let (name, term) = (ctx.groups[group].name.clone(), ctx.groups[group].term());
    let usable = ctx.peers.peers.iter().filter(|(host, _)| ctx.peers.usable(host, ctx.now));
    let peers: Vec<(&String, String)> =
        usable.map(|(host, peer)| (host, peer.address.clone())).collect();
    let mut peers: Vec<(u64, String)> = peers
        .into_iter()
        .map(|(host, address)| (rendezvous_rank::weight(&name, host), address))
        .collect();
    peers.sort();
    peers.truncate(PEERS_CHECKED);
    ctx.groups[group].checks_pending = peers.len() as u32;
    for (_, address) in peers {
        let purpose =
            call_purpose::CallPurpose::PrimaryCheck { group, address: address.clone(), term };
        let call = ctx.register_call(purpose);
        let request = peer_message::PeerRequest::Primary { group: name.clone(), term };
        ctx.control.peer_calls += 1;
        ctx.actions.push(core_message::CoreAction::CallPeer { call, address, request });
    }
}

/// Returns this host's position in the order in which hosts may claim the group's next term.
pub fn claim_rank(ctx: &core_context::CoreContext, group: arena_keys::GroupKey) -> u32 {
    let state = &ctx.groups[group];
    let subject = format!("{}/{}", state.name, state.term());
    let hosts = ctx
        .config
        .active
        .hosts
        .keys()
        .filter(|host| **host == ctx.identity.name || ctx.peers.usable(host, ctx.now));
    let ranked = rendezvous_rank::rank(&subject, hosts.map(String::as_str));
    let turn = ranked.iter().position(|host| *host == ctx.identity.name).unwrap_or(ranked.len());
    turn as u32
}

fn proposer(ctx: &core_context::CoreContext) -> String {
    format!("{}#{}", ctx.identity.name, ctx.identity.incarnation)
}
