//! Requests that need the primary while there is none: whether they wait for the next one, and in
//! which order they are placed.
//!
//! The load: thousands of writes that meet a failover. Each was refused at once, also those that
//! came shortly before its end and could have run within their target latency. A request waits if
//! the next primary is expected in time, by the measured duration of failovers; any other one is
//! refused at once. Only requests that were not sent to any endpoint wait.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::core::request_verdict;
use crate::proxy::group_view;
use crate::proxy::pending_request;
use crate::proxy::proxy_context;
use crate::proxy::request_flow;
use crate::proxy::store_record;

/// Duration of a promotion that is assumed before one was measured.
const PROMOTION_ASSUMED: Duration = Duration::from_millis(1_000);
/// Time from the start of a failover to its promotion that is assumed before one was measured.
const RELEASE_ASSUMED: Duration = Duration::from_millis(500);
/// Weight of the latest failover in the average durations.
const DURATION_WEIGHT: f64 = 0.5;

/// Durations of the failovers that this host has seen, over all groups.
#[derive(Debug, Clone, Copy)]
pub struct FailoverDurations {
    /// From the record of the failover to the record of its promotion.
    pub release: Duration,
    /// From the record of the promotion to that of the new primary.
    pub promotion: Duration,
}

impl Default for FailoverDurations {
    fn default() -> Self {
        Self { release: RELEASE_ASSUMED, promotion: PROMOTION_ASSUMED }
    }
}

impl FailoverDurations {
    /// Records a change of a group's phase. `previous` is the last phase, which began at `since`.
    pub fn record(
        &mut self,
        now: clock_time::ClockTime,
        previous: store_record::GroupPhase,
        since: clock_time::ClockTime,
        next: store_record::GroupPhase,
    ) {
        let measured = now.since(since);
        match (previous, next) {
            (store_record::GroupPhase::Stopping, store_record::GroupPhase::Promoting) => {
                self.release = average(self.release, measured);
            }
            (store_record::GroupPhase::Promoting, store_record::GroupPhase::Serving) => {
                self.promotion = average(self.promotion, measured);
            }
            _ => {}
        }
    }
}

/// Why a group has no usable primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GapPhase {
    /// There is a usable primary.
    None,
    /// The recorded primary does not respond or is leaving, and its failover has not begun.
    Unresponsive,
    /// Hosts release the old primary.
    Stopping,
    /// The next primary is being promoted.
    Promoting,
    /// This host may not use any primary: it reaches neither the store nor most witnesses.
    NoLease,
    /// The group has no record yet.
    NoRecord,
}

/// When a primary is expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrimaryOutlook {
    /// Why there is none.
    pub phase: GapPhase,
    /// How long that phase has lasted.
    pub age: Duration,
    /// Time until the next primary; `None` if nothing tells it.
    pub remaining: Option<Duration>,
}

/// Returns when a primary is expected after `age` in `phase`.
///
/// A failover that takes longer than expected is assumed to take as much longer again.
pub fn outlook(
    phase: GapPhase,
    age: Duration,
    durations: &FailoverDurations,
    detection: Duration,
) -> PrimaryOutlook {
    let expected = match phase {
        GapPhase::None => Some(Duration::ZERO),
        GapPhase::Unresponsive => Some(detection + durations.release + durations.promotion),
        GapPhase::Stopping => Some(durations.release + durations.promotion),
        GapPhase::Promoting => Some(durations.promotion),
        GapPhase::NoLease | GapPhase::NoRecord => None,
    };
    PrimaryOutlook { phase, age, remaining: expected.map(|expected| expected.abs_diff(age)) }
}

/// Returns when a primary of the group is expected.
pub fn group_outlook(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
) -> PrimaryOutlook {
    let view = &ctx.groups[group];
    let now = ctx.now;
    let (phase, since) = match view.record.as_ref().map(|record| record.phase) {
        None => (GapPhase::NoRecord, view.record_received_at),
        Some(store_record::GroupPhase::Stopping) => (GapPhase::Stopping, view.record_received_at),
        Some(store_record::GroupPhase::Promoting) => (GapPhase::Promoting, view.record_received_at),
        Some(store_record::GroupPhase::Serving) if view.peer_epoch > view.epoch() => {
            (GapPhase::Stopping, now)
        }
        Some(store_record::GroupPhase::Serving) if !ctx.may_use_primary(group) => {
            (GapPhase::NoLease, ctx.last_reachable)
        }
        Some(store_record::GroupPhase::Serving) => serving_phase(ctx, group, view),
    };
    outlook(phase, now.since(since), &ctx.failover_durations, ctx.tuning.unresponsive_after)
}

/// Returns the phase of a group whose record names a primary, and since when it lasts.
fn serving_phase(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    view: &group_view::GroupView,
) -> (GapPhase, clock_time::ClockTime) {
    let usable = ctx.usable_primary(group).map(|endpoint| &ctx.endpoints[endpoint]);
    if usable.is_some_and(|endpoint| endpoint.circuit_permits(ctx.now)) {
        return (GapPhase::None, ctx.now);
    }
    let since = usable.and_then(|endpoint| endpoint.unresponsive_since);
    (GapPhase::Unresponsive, since.unwrap_or(view.record_received_at))
}

/// Lets a request wait for the group's next primary, or refuses it at once with `cause`.
pub fn wait_or_refuse(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    cause: request_verdict::VerdictCause,
) {
    let state = &ctx.requests[request];
    let group = state.group;
    let target = state.arrived.after(state.route.target_latency).min(state.deadline);
    let run_time = typical_latency(ctx, group);
    let until = target.before(run_time);
    let outlook = group_outlook(ctx, group);
    let in_gap = outlook.phase != GapPhase::None;
    let in_time = outlook.remaining.is_some_and(|remaining| ctx.now.after(remaining) < until);
    let room = ctx.groups[group].primary_waiting.len() < ctx.tuning.queue_limit;
    if !in_gap || !in_time || !room || state.attempts > 0 {
        return request_flow::refuse(ctx, request, cause);
    }
    ctx.requests[request].phase = pending_request::RequestPhase::AwaitingPrimary { until };
    ctx.groups[group].primary_waiting.push(request);
    ctx.timers.push(until, proxy_context::ProxyTimer::Request(request));
}

/// Places the requests that wait for primaries which may be used now, by priority and then by the
/// time of their target latency.
pub fn place_waiting(ctx: &mut proxy_context::ProxyContext) {
    let groups: Vec<arena_keys::GroupKey> = ctx
        .groups
        .iter()
        .filter(|(_, view)| !view.primary_waiting.is_empty())
        .map(|(group, _)| group)
        .collect();
    for group in groups {
        if group_outlook(ctx, group).phase != GapPhase::None {
            continue;
        }
        let mut waiting = std::mem::take(&mut ctx.groups[group].primary_waiting);
        waiting.sort_by_key(|request| {
            let state = &ctx.requests[*request];
            (state.route.priority, state.arrived.after(state.route.target_latency))
        });
        for request in waiting {
            if ctx.requests.contains_key(request) {
                let until = ctx.now;
                ctx.requests[request].phase =
                    pending_request::RequestPhase::AwaitingShare { until };
                ctx.counts.primary_waits_placed += 1;
                request_flow::place(ctx, request);
            }
        }
    }
}

/// Returns the time that a statement takes at the group's endpoints.
fn typical_latency(ctx: &proxy_context::ProxyContext, group: arena_keys::GroupKey) -> Duration {
    let endpoints = ctx.groups[group].endpoints.iter();
    let latency_ms = endpoints.map(|endpoint| ctx.endpoints[*endpoint].latency_ms);
    let lowest_ms = latency_ms.fold(f64::INFINITY, f64::min);
    Duration::try_from_secs_f64(lowest_ms / 1_000.0).unwrap_or_default()
}

fn average(last: Duration, measured: Duration) -> Duration {
    last.mul_f64(1.0 - DURATION_WEIGHT) + measured.mul_f64(DURATION_WEIGHT)
}
