//! Changes of primary: noticing, claiming a term, fencing a majority, choosing.
//!
//! A term is claimed by compare-and-swap on the group's record in the platform. The claimant then
//! fences the copies: a fenced copy takes nothing more from lower terms, neither statements nor
//! log. Once a majority is fenced, every acknowledged write is on one of its copies, and the most
//! advanced of them is written to the record as the primary by a second compare-and-swap. A
//! claimant that pauses or dies half way loses to the next claim; whatever it still does is
//! refused by the copies or by the record.

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

/// Peers asked for their opinion before a primary out of reach is replaced.
const OPINIONS_ASKED: usize = 2;
/// Time that a claim waits for opinions, in milliseconds.
const OPINION_WAIT_MS: u64 = 300;
/// Time that an election waits for copies beyond the majority, in milliseconds.
const FENCE_GRACE_MS: u64 = 150;
/// Time that the first election of a group waits for all copies, in milliseconds.
const FIRST_GRACE_MS: u64 = 1_000;
/// Time between the taking out of a primary's endpoint and the change of primary.
const LEAVE_GRACE: Duration = Duration::from_millis(2_500);
/// Time for which an endpoint must have turned connections away before it is suspected.
const REFUSED_FOR: Duration = Duration::from_millis(300);
/// Age of a status at which a peer still vouches for a primary, in milliseconds.
const VOUCH_AGE_MS: u64 = 1_300;

/// Looks after one group: probes its endpoints, and drives a change of primary.
pub fn on_timer(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    if !ctx.groups.contains_key(group) {
        return;
    }
    if ctx.groups[group].cursor.state() == "watching" {
        connection_flow::probe_due(ctx, group);
    } else {
        connection_flow::probe_group(ctx, group);
    }
    step(ctx, group);
    let settled = ctx.groups[group].cursor.state() == "watching";
    let interval = core_tuning::CoreTuning::millis(ctx.tuning.probe_interval_ms);
    let span = if settled { interval } else { interval / 4 };
    let span = ctx.with_jitter(span);
    ctx.set_timer(span, timer_queue::TimerKind::Group(group));
}

/// Takes up the group's record as the platform holds it.
pub fn on_record(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    entry: &platform_message::StoreEntry,
) {
    let Ok(record) = rmp_serde::from_slice::<group_record::GroupRecord>(&entry.value) else {
        log::error!("group {}: the platform's record is malformed", ctx.groups[group].name);
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

/// Takes up a new status of one of the group's endpoints.
pub fn on_status(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    endpoint: arena_keys::EndpointKey,
) {
    let Some(last_status) = ctx.endpoints[endpoint].last_status.clone() else { return };
    if ctx.groups[group].cursor.state() == "fencing" {
        note_fenced(ctx, group, endpoint, &last_status.status);
    }
    note_progress(ctx, group);
    role_flow::track_new_copy(ctx, group, endpoint, &last_status.status);
    role_flow::reconcile_role(ctx, group, endpoint, &last_status.status);
    if let Some(sample) = confirm_flow::majority_sample(ctx, group) {
        ctx.groups[group].add_sample(sample);
    }
    step(ctx, group);
}

/// Whether this host saw the primary of `term` or later serve lately.
pub fn confirms_primary(ctx: &core_context::CoreContext, group: &str, term: u64) -> bool {
    let Some(group) = ctx.group_names.get(group).map(|key| &ctx.groups[*key]) else { return false };
    let Some(record) = group.serving().filter(|record| record.term >= term) else { return false };
    let Some(endpoint) = ctx.endpoint_names.get(&record.primary) else { return false };
    let since = ctx.now.before(core_tuning::CoreTuning::millis(VOUCH_AGE_MS));
    let endpoint = &ctx.endpoints[*endpoint];
    let status = endpoint.status_since(since).filter(|_| endpoint.refusing_since.is_none());
    status.is_some_and(|status| status.primary && status.adopted_term == record.term)
}

/// Takes up a peer's opinion of a primary.
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
    step(ctx, group);
}

/// Takes up the platform's answer to a swap of the group's record.
pub fn on_swap(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    record: group_record::GroupRecord,
    reply: Option<platform_message::PlatformReply>,
) {
    ctx.groups[group].copy_update_pending = false;
    match reply {
        Some(platform_message::PlatformReply::Swapped { revision }) => {
            won(ctx, group, record, revision)
        }
        Some(platform_message::PlatformReply::Conflict(Some(entry))) => {
            on_conflict(ctx, group, entry)
        }
        Some(_) => lose(ctx, group),
        None => {
            let key = group_record::record_key(&ctx.groups[group].name);
            let purpose = call_purpose::CallPurpose::ReadGroupRecord { group };
            ctx.call_platform(purpose, platform_message::PlatformRequest::Get { key });
        }
    }
}

/// Takes up the record as read after a swap whose answer was lost.
pub fn on_reread(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    reply: Option<platform_message::PlatformReply>,
) {
    match reply {
        Some(platform_message::PlatformReply::Value(Some(entry))) => on_conflict(ctx, group, entry),
        Some(_) => lose(ctx, group),
        // Nothing is known; the election times out, and the feed tells what became of it.
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
            return won(ctx, group, record, entry.revision);
        }
    }
    lose(ctx, group);
    let key = entry.key.clone();
    ctx.live_records.take(entry.clone());
    log::debug!("record {key} was changed by another host");
    on_record(ctx, group, &entry);
}

fn lose(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let now = ctx.now;
    if matches!(ctx.groups[group].cursor.state(), "claiming" | "deciding") {
        ctx.groups[group].fire("claim_lost", now);
    }
}

fn won(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    record: group_record::GroupRecord,
    revision: u64,
) {
    let Ok(value) = rmp_serde::to_vec(&record) else { return };
    let key = group_record::record_key(&ctx.groups[group].name);
    let entry = platform_message::StoreEntry { key, revision, value };
    ctx.live_records.take(entry.clone());
    let now = ctx.now;
    match ctx.groups[group].cursor.state() {
        "claiming" if record.phase == group_record::TermPhase::Electing => {
            ctx.groups[group].fire("claim_won", now);
            install(ctx, group, record, revision);
            fence_all(ctx, group);
        }
        "deciding" if record.phase == group_record::TermPhase::Serving => {
            ctx.groups[group].fire("decision_won", now);
            log::info!(
                "group {}: term {} has primary {}",
                ctx.groups[group].name,
                record.term,
                record.primary
            );
            install(ctx, group, record, revision);
            connection_flow::probe_group(ctx, group);
        }
        _ => on_record(ctx, group, &entry),
    }
}

/// Takes up this host's own change of the record.
fn install(
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

/// Moves a change of primary on as far as it can go now.
fn step(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    match ctx.groups[group].cursor.state() {
        "watching" => watch(ctx, group),
        "suspecting" => suspect(ctx, group),
        "claiming" => time_out(ctx, group),
        "fencing" => fence(ctx, group),
        "deciding" => time_out(ctx, group),
        _ => {}
    }
}

fn watch(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
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

/// Returns why the group needs a change of primary, if it does.
fn find_reason(
    ctx: &core_context::CoreContext,
    group: arena_keys::GroupKey,
) -> Option<group_state::FailoverReason> {
    let state = &ctx.groups[group];
    if state.members.is_empty() || !ctx.may_change_records() {
        return None;
    }
    let Some(record) = &state.record else {
        return ctx.peers.platform.map(|_| group_state::FailoverReason::NoRecord);
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
    if refuses(ctx, primary) {
        return Some(group_state::FailoverReason::Unreachable);
    }
    if ctx.now.since(state.replica_progress.1) >= limit * 2 && has_live_replica(ctx, group) {
        return Some(group_state::FailoverReason::Isolated);
    }
    let leaving = !ctx.endpoints[primary].in_service && successor_ready(ctx, group, primary);
    // Open transactions get some time to end: a fence ends them.
    let settled = age >= LEAVE_GRACE && leave_grace_over(ctx);
    (leaving && settled).then_some(group_state::FailoverReason::Leaving)
}

/// Whether the endpoint has turned connections away for some time; that tells more than silence.
fn refuses(ctx: &core_context::CoreContext, endpoint: arena_keys::EndpointKey) -> bool {
    let since = ctx.endpoints[endpoint].refusing_since;
    since.is_some_and(|since| ctx.now.since(since) >= REFUSED_FOR)
}

/// Whether endpoints that the configuration takes out of service get no new work any more, even
/// as primaries. Their replicas can then catch up for the change of primary.
pub fn leave_grace_over(ctx: &core_context::CoreContext) -> bool {
    ctx.now.since(ctx.config.applied_at.max(ctx.leaving_since)) >= LEAVE_GRACE
}

fn suspect(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let now = ctx.now;
    let reason = find_reason(ctx, group);
    let Some(reason) = reason else { return ctx.groups[group].fire("primary_seen", now) };
    let state = &mut ctx.groups[group];
    state.reason = Some(reason);
    let mut turn =
        core_tuning::CoreTuning::millis(ctx.tuning.claim_turn_ms) * claim_rank(ctx, group);
    if reason == group_state::FailoverReason::Unreachable {
        ask_opinions(ctx, group);
        if ctx.groups[group].checks_pending > 0 {
            turn += core_tuning::CoreTuning::millis(OPINION_WAIT_MS);
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
    log::info!("group {name}: claiming term {}: {reason:?}", record.term);
    let now = ctx.now;
    ctx.groups[group].fire("claim_sent", now);
    swap_group_record(ctx, group, record);
}

fn fence_all(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let term = ctx.groups[group].term();
    for endpoint in ctx.groups[group].members.clone() {
        connection_flow::send_control_request(
            ctx,
            endpoint,
            endpoint_message::EndpointRequest::Fence { term },
        );
    }
}

fn note_fenced(
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

fn fence(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let now = ctx.now;
    let state = &mut ctx.groups[group];
    if state.fenced.len() < state.majority() {
        fence_all(ctx, group);
        return time_out(ctx, group);
    }
    let first = state.record.as_ref().is_some_and(|record| record.copies.is_empty());
    let majority_fenced_at = *state.majority_fenced_at.get_or_insert(now);
    let unhurried = first || state.reason == Some(group_state::FailoverReason::Leaving);
    let grace = if unhurried { FIRST_GRACE_MS } else { FENCE_GRACE_MS };
    let complete = state.fenced.len() == state.members.len();
    if complete || now.since(majority_fenced_at) >= core_tuning::CoreTuning::millis(grace) {
        return decide(ctx, group);
    }
    fence_all(ctx, group);
}

/// Writes the chosen primary to the record.
fn decide(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let now = ctx.now;
    let Some(chosen) = choose_primary(ctx, group) else { return time_out(ctx, group) };
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

/// Returns the fenced copy that takes over.
///
/// An acknowledged write is on a majority of all copies, so it is on all of the best
/// `majority - missing` fenced ones, and on all that are level with the best. Among these, one in
/// service is preferred, then the most advanced.
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
    let missing = state.members.len() - state.fenced.len();
    let safe = state.majority().saturating_sub(missing).max(1);
    let best = ranked.first().map(|(_, status)| status.log_point())?;
    let level = ranked.iter().filter(|(_, status)| status.log_point() == best).count();
    let safe = &ranked[..safe.max(level).min(ranked.len())];
    let serving = safe.iter().find(|(endpoint, _)| ctx.endpoints[**endpoint].in_service);
    serving.or(safe.first()).map(|(endpoint, _)| **endpoint)
}

fn time_out(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let now = ctx.now;
    let limit = core_tuning::CoreTuning::millis(ctx.tuning.election_timeout_ms);
    if now.since(ctx.groups[group].since) >= limit {
        ctx.groups[group].fire("timed_out", now);
    }
}

/// Notes when the replicas last advanced, or had nothing to advance to.
fn note_progress(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    let now = ctx.now;
    let Some(record) = ctx.groups[group].serving() else { return };
    let Some(primary) = ctx.endpoint_names.get(&record.primary).copied() else { return };
    let primary_point = ctx.endpoints[primary]
        .last_status
        .as_ref()
        .map(|last_status| last_status.status.log_point());
    let best = |state: &group_state::GroupState| {
        let others = state.members.iter().filter(|member| **member != primary);
        let last_status = others.filter_map(|member| ctx.endpoints[*member].last_status.as_ref());
        last_status.map(|last_status| last_status.status.log_point()).max().unwrap_or_default()
    };
    let replica_point = best(&ctx.groups[group]);
    let level = primary_point.is_none_or(|point| replica_point >= point);
    let state = &mut ctx.groups[group];
    let moved = replica_point > state.replica_progress.0;
    if moved || level || state.members.len() == 1 {
        state.replica_progress = (replica_point, now);
    }
}

fn has_live_replica(ctx: &core_context::CoreContext, group: arena_keys::GroupKey) -> bool {
    let state = &ctx.groups[group];
    let since = ctx.now.before(core_tuning::CoreTuning::millis(ctx.tuning.suspect_after_ms));
    let live = |endpoint: &&arena_keys::EndpointKey| {
        ctx.endpoints[**endpoint].status_since(since).is_some_and(|status| !status.primary)
    };
    state.members.iter().filter(live).count() + 1 >= state.majority()
}

/// Whether a replica in service holds all that the leaving primary holds, among a majority in
/// reach.
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
    let reachable = state.members.iter().filter(|endpoint| live(endpoint).is_some()).count();
    let level = state.members.iter().any(|endpoint| {
        ctx.endpoints[*endpoint].in_service
            && live(endpoint).is_some_and(|status| status.reached(point))
    });
    reachable >= state.majority() && level
}

/// Swaps the group's record for a new one.
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

fn ask_opinions(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
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
    peers.truncate(OPINIONS_ASKED);
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

/// Returns this host's turn among the hosts that may claim the group's next term.
pub fn claim_rank(ctx: &core_context::CoreContext, group: arena_keys::GroupKey) -> u32 {
    let state = &ctx.groups[group];
    let subject = format!("{}/{}", state.name, state.term());
    let hosts = ctx
        .config
        .world
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
