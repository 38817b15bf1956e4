//! Watches the platform's live records, for this host and for others in its data centre.

use crate::core::activation_flow;
use crate::core::call_purpose;
use crate::core::clock_time;
use crate::core::config_flow;
use crate::core::core_context;
use crate::core::core_tuning;
use crate::core::failover_flow;
use crate::core::group_record;
use crate::core::leaving_flow;
use crate::core::peer_flow;
use crate::core::platform_message;
use crate::core::rendezvous_rank;
use crate::core::timer_queue;

/// Pause after a call that the platform did not reply to, in milliseconds.
const RETRY_PAUSE_MS: u64 = 500;
/// Pause between checks whether this host should watch, and between watches while there is no
/// configuration, in milliseconds.
const CHECK_PAUSE_MS: u64 = 200;

/// Starts a watch if this host should watch the platform.
pub fn on_timer(ctx: &mut core_context::CoreContext) {
    if ctx.watching {
        return;
    }
    if should_watch(ctx) {
        return start_watch(ctx);
    }
    let pause = ctx.with_jitter(core_tuning::CoreTuning::millis(CHECK_PAUSE_MS));
    ctx.set_timer(pause, timer_queue::TimerKind::Platform);
}

/// Handles the platform's reply to a watch.
pub fn on_watch(
    ctx: &mut core_context::CoreContext,
    sent: clock_time::ClockTime,
    after: u64,
    reply: Option<platform_message::PlatformReply>,
) {
    ctx.watching = false;
    let Some(platform_message::PlatformReply::Changed { revision, entries }) = reply else {
        let pause = ctx.with_jitter(core_tuning::CoreTuning::millis(RETRY_PAUSE_MS));
        return ctx.set_timer(pause, timer_queue::TimerKind::Platform);
    };
    let current = revision >= ctx.live_records.watermark();
    merge(ctx, after, revision, entries, None);
    if current {
        record_confirmation(ctx, sent);
    }
    let unconfigured = ctx.config.head.is_none() && ctx.config.pending.is_none();
    let pause = if unconfigured {
        core_tuning::CoreTuning::millis(CHECK_PAUSE_MS)
    } else {
        core_tuning::CoreTuning::millis(1)
    };
    ctx.set_timer(pause, timer_queue::TimerKind::Platform);
}

/// Merges live records that are complete from revision `after` to `upto`, and handles those that
/// changed. `from` is the address of the peer that sent them, `None` if the platform did.
pub fn merge(
    ctx: &mut core_context::CoreContext,
    after: u64,
    upto: u64,
    entries: Vec<platform_message::StoreEntry>,
    from: Option<&str>,
) {
    let changed = ctx.live_records.merge(after, upto, entries);
    if !changed.is_empty() {
        peer_flow::gossip(ctx);
    }
    for key in changed {
        config_flow::on_live_record(ctx, &key, from);
        leaving_flow::on_live_record(ctx, &key);
        activation_flow::on_live_record(ctx, &key);
        on_group_record(ctx, &key);
    }
}

/// Writes a live record by compare-and-swap against the revision known here. The reply is ignored:
/// the live records show whether the write succeeded, and the caller repeats it if it is still
/// needed.
pub fn swap_live_record(
    ctx: &mut core_context::CoreContext,
    key: String,
    record: &impl serde::Serialize,
) {
    let Ok(value) = rmp_serde::to_vec(record) else { return };
    let expected = ctx.live_records.revision(&key);
    let request = platform_message::PlatformRequest::CompareSwap { key, expected, value };
    ctx.call_platform(call_purpose::CallPurpose::SwapLiveRecord, request);
}

/// Records that the newest head known to this host was the platform's newest at `at`.
pub fn record_confirmation(ctx: &mut core_context::CoreContext, at: clock_time::ClockTime) {
    if ctx.config.pending.is_some() {
        ctx.config.pending_confirmed = ctx.config.pending_confirmed.max(Some(at));
    } else if ctx.config.head.is_some() {
        ctx.peers.record_platform_confirmation(at);
    }
}

fn on_group_record(ctx: &mut core_context::CoreContext, key: &str) {
    let Some(name) = key.strip_prefix(&group_record::record_key("")) else { return };
    let Some(group) = ctx.group_names.get(name).copied() else { return };
    let Some(entry) = ctx.live_records.entry(key).cloned() else { return };
    failover_flow::on_record(ctx, group, &entry);
}

/// Returns whether this host should watch the platform: it is one of the watchers of its data
/// centre, or no recent confirmation of the platform has reached it.
pub fn should_watch(ctx: &core_context::CoreContext) -> bool {
    let recent = ctx.now.before(core_tuning::WATCH_FALLBACK_AGE);
    if ctx.peers.platform_confirmed_at.is_none_or(|at| at < recent) {
        return true;
    }
    let own = ctx.identity.name.as_str();
    let hosts = ctx.config.active.hosts.values().filter(|host| {
        let same_centre = host.data_centre == ctx.identity.data_centre;
        same_centre && (host.name == own || ctx.peers.usable(&host.name, ctx.now))
    });
    let ranked = rendezvous_rank::rank("watch", hosts.map(|host| host.name.as_str()));
    ranked.iter().take(core_tuning::WATCHERS_PER_CENTRE).any(|host| *host == own)
}

fn start_watch(ctx: &mut core_context::CoreContext) {
    ctx.watching = true;
    let after = ctx.live_records.watermark();
    let purpose = call_purpose::CallPurpose::Watch { sent: ctx.now, after };
    let prefix = group_record::LIVE_PREFIX.to_owned();
    let wait_ms = ctx.tuning.watch_wait_ms;
    ctx.call_platform(purpose, platform_message::PlatformRequest::Watch { prefix, after, wait_ms });
}
