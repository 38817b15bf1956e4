//! Opens the shares of a new configuration once no host can serve under an older one.

use std::time::Duration;

use crate::core::activation_record;
use crate::core::clock_time;
use crate::core::core_context;
use crate::core::core_tuning;
use crate::core::platform_flow;
use crate::core::share_ledger;

/// The version of a fleet's first configuration: no host can hold a share from before it.
const FIRST_VERSION: u64 = 1;
/// Time after which a note of the opened version that did not take is written again.
const NOTE_AGAIN: Duration = Duration::from_millis(2_000);

/// Opens the shares dealt under the configuration in force as soon as that is safe.
///
/// It is safe at once where the record or the version tells that no older configuration can be
/// served; else once a majority of data centres was heard under this one and evidence of any older
/// one has aged.
pub fn activate_shares(ctx: &mut core_context::CoreContext) {
    if ctx.config.head.is_none() {
        return;
    }
    if !ctx.config.activation_scheduled {
        attest(ctx);
    }
    note_opened(ctx);
}

/// Takes up the live record.
pub fn on_live_record(ctx: &mut core_context::CoreContext, key: &str) {
    if key != activation_record::record_key() {
        return;
    }
    let Some(entry) = ctx.live_records.entry(key) else { return };
    match rmp_serde::from_slice::<activation_record::ActivationRecord>(&entry.value) {
        Ok(record) => ctx.config.activated_version = record.version,
        Err(error) => return log::error!("the record of opened shares is malformed: {error}"),
    }
    activate_shares(ctx);
}

fn attest(ctx: &mut core_context::CoreContext) {
    let version = ctx.config.version();
    let now = ctx.now;
    if version == FIRST_VERSION || ctx.config.activated_version == version {
        // What the process before this one had lent lapses first.
        let loans = share_ledger::LOAN_TTL + share_ledger::LOAN_MARGIN;
        let opens = now.max(ctx.started.after(loans));
        log::info!("shares of version {version} open at once: no older version is served");
        return set_opening(ctx, opens, |_| opens);
    }
    if !ctx.centre_majority_heard(ctx.config.applied_at) {
        return;
    }
    let hold =
        core_tuning::CoreTuning::millis(ctx.tuning.fresh_for_ms) + core_tuning::ACTIVATION_MARGIN;
    let opens = |grace_ms: u64| now.after(hold + core_tuning::CoreTuning::millis(grace_ms));
    let longest =
        ctx.accounts.values().map(|account| account.activation_delay_ms).max().unwrap_or_default();
    set_opening(ctx, opens(longest), opens);
}

/// Sets when each account's share opens, by the longest grace of its configurations.
fn set_opening(
    ctx: &mut core_context::CoreContext,
    all: clock_time::ClockTime,
    opens: impl Fn(u64) -> clock_time::ClockTime,
) {
    ctx.config.activation_scheduled = true;
    ctx.config.activated_at = all;
    for account in ctx.accounts.values_mut() {
        account.ledger.activate_at(opens(account.activation_delay_ms));
    }
}

/// Writes down that all shares of the version in force are open; the hosts that watch the platform
/// do so for the others.
fn note_opened(ctx: &mut core_context::CoreContext) {
    let version = ctx.config.version();
    let due = ctx.config.activation_scheduled
        && ctx.now >= ctx.config.activated_at.max(ctx.config.activation_retry_at);
    if !due || ctx.config.activated_version >= version || !platform_flow::should_watch(ctx) {
        return;
    }
    ctx.config.activation_retry_at = ctx.now.after(ctx.with_jitter(NOTE_AGAIN));
    let record = activation_record::ActivationRecord { version };
    platform_flow::swap_live_record(ctx, activation_record::record_key(), &record);
}
