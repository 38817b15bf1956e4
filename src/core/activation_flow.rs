//! Activates the shares of a new configuration once no host can serve under an older one.

use std::time::Duration;

use crate::core::activation_record;
use crate::core::clock_time;
use crate::core::core_context;
use crate::core::core_tuning;
use crate::core::platform_flow;
use crate::core::share_ledger;

/// First configuration version of a fleet; no host can hold shares of an earlier one.
const FIRST_VERSION: u64 = 1;
/// Time after which the activated version is written to the live record again if the write did not
/// succeed.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(2_000);

/// Activates the shares of the active configuration as soon as that is safe.
///
/// It is safe at once if the live record or the version shows that no host can serve under an older
/// configuration. Otherwise it is safe once a majority of data centres was reachable under this
/// configuration and all confirmations of an older one have expired.
pub fn activate_shares(ctx: &mut core_context::CoreContext) {
    if ctx.config.head.is_none() {
        return;
    }
    if !ctx.config.activation_scheduled {
        schedule_activation(ctx);
    }
    record_activated(ctx);
}

/// Handles a change of the live record.
pub fn on_live_record(ctx: &mut core_context::CoreContext, key: &str) {
    if key != activation_record::record_key() {
        return;
    }
    let Some(entry) = ctx.live_records.entry(key) else { return };
    match rmp_serde::from_slice::<activation_record::ActivationRecord>(&entry.value) {
        Ok(record) => ctx.config.activated_version = record.version,
        Err(error) => return log::error!("cannot decode the record of activated shares: {error}"),
    }
    activate_shares(ctx);
}

fn schedule_activation(ctx: &mut core_context::CoreContext) {
    let version = ctx.config.version();
    let now = ctx.now;
    if version == FIRST_VERSION || ctx.config.activated_version == version {
        // Loans granted by the previous process of this host must expire first.
        let loans = share_ledger::LOAN_TTL + share_ledger::LOAN_MARGIN;
        let activation = now.max(ctx.started.after(loans));
        log::info!(
            "shares of version {version} need no waiting period: no host serves an older version"
        );
        return set_activation_times(ctx, activation, |_| activation);
    }
    if !ctx.centre_majority_reachable(ctx.config.applied_at) {
        return;
    }
    let waiting_period =
        core_tuning::CoreTuning::millis(ctx.tuning.fresh_for_ms) + core_tuning::ACTIVATION_MARGIN;
    let activation =
        |grace_ms: u64| now.after(waiting_period + core_tuning::CoreTuning::millis(grace_ms));
    let longest =
        ctx.accounts.values().map(|account| account.activation_delay_ms).max().unwrap_or_default();
    set_activation_times(ctx, activation(longest), activation);
}

/// Sets the activation time of each account's share from its `activation_delay_ms`.
fn set_activation_times(
    ctx: &mut core_context::CoreContext,
    all: clock_time::ClockTime,
    activation: impl Fn(u64) -> clock_time::ClockTime,
) {
    ctx.config.activation_scheduled = true;
    ctx.config.activated_at = all;
    for account in ctx.accounts.values_mut() {
        account.ledger.activate_at(activation(account.activation_delay_ms));
    }
}

/// Writes to the live record that all shares of the active version are active. Only hosts that
/// watch the platform write it, on behalf of the others.
fn record_activated(ctx: &mut core_context::CoreContext) {
    let version = ctx.config.version();
    let due = ctx.config.activation_scheduled
        && ctx.now >= ctx.config.activated_at.max(ctx.config.activation_retry_at);
    if !due || ctx.config.activated_version >= version || !platform_flow::should_watch(ctx) {
        return;
    }
    ctx.config.activation_retry_at = ctx.now.after(ctx.with_jitter(WRITE_RETRY_INTERVAL));
    let record = activation_record::ActivationRecord { version };
    platform_flow::swap_live_record(ctx, activation_record::record_key(), &record);
}
