//! When refused callers may return.
//!
//! The load: thousands of callers refused in the same second, all of them told the same time. They
//! returned together and were refused again. Each gets a slot of its own, spaced by what can be
//! served beside the callers that have not been refused.
//!
//! Callers return on any host and with a new identifier, so a host cannot tell a return from a new
//! request. A return is therefore served because slots are far enough apart, and because no request
//! waits for a token that is promised to a return. Returns to an account whose callers ignore their
//! slots are treated as any other request.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::core::request_verdict;
use crate::proxy::endpoint_view;
use crate::proxy::primary_wait;
use crate::proxy::proxy_context;
use crate::proxy::rate_limiter;

/// Longest retry delay stated in a refusal. Callers that were told more would miss the end of a
/// short overload.
pub const RETRY_MAX: Duration = Duration::from_secs(10);
/// Least fraction of an account's rate that is given to returns.
const RETURN_FRACTION_MIN: f64 = 0.1;

/// Retry delay where no endpoint of the group is known, so that nothing tells when one can take a
/// request.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(100);
/// Time after which callers may retry, on another host, when this one is draining or has no
/// configuration.
const OTHER_HOST_RETRY: Duration = Duration::from_millis(50);

/// Slots given to refused callers, as the time of the next free one.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReturnSchedule {
    next_slot: clock_time::ClockTime,
}

impl ReturnSchedule {
    /// Gives the next slot, no earlier than `earliest` from now, and returns the time until then.
    ///
    /// `random` between 0 and 1 places the return within its slot. Where the longest delay is
    /// reached, returns are spread at random over its second half.
    pub fn assign(
        &mut self,
        now: clock_time::ClockTime,
        earliest: Duration,
        spacing: Duration,
        random: f64,
    ) -> Duration {
        let slot = self.next_slot.max(now.after(earliest));
        let wait = slot.since(now);
        if wait.saturating_add(spacing) > RETRY_MAX {
            return RETRY_MAX.mul_f64(0.5 + random / 2.0);
        }
        self.next_slot = slot.after(spacing);
        wait + spacing.mul_f64(random)
    }

    /// Returns the number of slots between now and `within`.
    pub fn promised_within(
        &self,
        now: clock_time::ClockTime,
        within: Duration,
        spacing: Duration,
    ) -> f64 {
        let span = self.next_slot.since(now).min(within).as_secs_f64();
        if spacing.is_zero() { 0.0 } else { span / spacing.as_secs_f64() }
    }
}

/// Returns the time between the returns that one host promises to callers of an account.
///
/// Returns get what the account's `rate` leaves beside the requests that are admitted anyway. Each
/// of `hosts` promises an equal part; `admitted` is the rate of admissions on this host.
pub fn account_spacing(rate: f64, admitted: f64, hosts: usize) -> Duration {
    let hosts = hosts.max(1) as f64;
    let spare = (rate - admitted * hosts).max(rate * RETURN_FRACTION_MIN);
    spacing_of(spare / hosts)
}

/// Returns the time between the returns that one host promises to callers of an endpoint that runs
/// `slots` statements at once, each for `latency_ms`, for all `hosts` together.
pub fn endpoint_spacing(latency_ms: f64, slots: u32, hosts: usize) -> Duration {
    spacing_of(f64::from(slots.max(1)) * 1_000.0 / latency_ms.max(1.0) / hosts.max(1) as f64)
}

/// Returns the time until an endpoint has run the statements that this host has there.
pub fn endpoint_drain(latency_ms: f64, slots: u32, statements: usize) -> Duration {
    let rounds = (statements + 1) as f64 / f64::from(slots.max(1));
    Duration::try_from_secs_f64(latency_ms.max(1.0) * rounds / 1_000.0).unwrap_or(RETRY_MAX)
}

/// Returns the time after which the caller of a refused request may return; `None` if a return
/// cannot succeed.
pub fn retry_after(
    ctx: &mut proxy_context::ProxyContext,
    request: Option<arena_keys::StatementKey>,
    cause: &request_verdict::VerdictCause,
) -> Option<Duration> {
    let state = request.map(|request| &ctx.requests[request]);
    let (account, group) = (state.and_then(|state| state.account), state.map(|state| state.group));
    match cause {
        request_verdict::VerdictCause::OverRate => {
            account.map(|account| rate_limiter::retry_after(ctx, account))
        }
        request_verdict::VerdictCause::ShareClosed => {
            Some(ctx.with_jitter(rate_limiter::SKIP_DURATION))
        }
        request_verdict::VerdictCause::NoPrimary => {
            Some(group.map_or(NO_ENDPOINT_RETRY, |group| primary_return(ctx, group)))
        }
        request_verdict::VerdictCause::NoEndpoint
        | request_verdict::VerdictCause::QueueFull
        | request_verdict::VerdictCause::TransactionLost
        | request_verdict::VerdictCause::ConnectionLost => {
            Some(group.map_or(NO_ENDPOINT_RETRY, |group| endpoint_return(ctx, group)))
        }
        request_verdict::VerdictCause::AccountChanged => Some(Duration::ZERO),
        request_verdict::VerdictCause::Draining | request_verdict::VerdictCause::ConfigMissing => {
            Some(ctx.with_jitter(OTHER_HOST_RETRY))
        }
        _ => None,
    }
}

/// Returns the time until the group is expected to have a primary that can run one more request.
/// Where nothing tells it, the next renewal of the membership lease may.
fn primary_return(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) -> Duration {
    let outlook = primary_wait::group_outlook(ctx, group);
    let remaining = outlook.remaining.unwrap_or(ctx.host_renewal());
    // Hosts learn of a new primary within a tick.
    let earliest = remaining.saturating_add(ctx.tuning.tick);
    assign_at_group(ctx, group, earliest, 1)
}

/// Returns the time until an endpoint of the group is expected to be able to run one more request.
fn endpoint_return(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) -> Duration {
    let eligible: Vec<&endpoint_view::EndpointView> = ctx.groups[group]
        .endpoints
        .iter()
        .map(|endpoint| &ctx.endpoints[*endpoint])
        .filter(|view| view.eligible())
        .collect();
    let ready = |view: &&endpoint_view::EndpointView| {
        let statements = view.queue.len() + view.connections.len();
        endpoint_drain(view.latency_ms, view.entry.slots, statements)
            .max(view.connection_limit_until.since(ctx.now))
            .max(view.lagging_until.since(ctx.now))
    };
    let (count, earliest) = (eligible.len(), eligible.iter().map(ready).min());
    assign_at_group(ctx, group, earliest.unwrap_or(NO_ENDPOINT_RETRY), count)
}

/// Gives the next slot of a group of which `endpoints` can run the request.
fn assign_at_group(
    ctx: &mut proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    earliest: Duration,
    endpoints: usize,
) -> Duration {
    let views = ctx.groups[group].endpoints.iter().map(|endpoint| &ctx.endpoints[*endpoint]);
    let spacings = views.map(|view| {
        endpoint_spacing(view.latency_ms, view.entry.slots, ctx.allocation.hosts.len())
    });
    let spacing = spacings.min().unwrap_or(NO_ENDPOINT_RETRY) / endpoints.max(1) as u32;
    let (now, random) = (ctx.now, ctx.random_fraction());
    ctx.groups[group].returns.assign(now, earliest, spacing, random)
}

fn spacing_of(rate: f64) -> Duration {
    if rate <= 0.0 {
        return RETRY_MAX;
    }
    Duration::try_from_secs_f64(1.0 / rate).unwrap_or(RETRY_MAX).min(RETRY_MAX)
}
