//! Watches the platform's live records, for this host and for others in its data centre.

use crate::core::call_purpose::CallPurpose;
use crate::core::clock_time::ClockTime;
use crate::core::config_flow;
use crate::core::core_context::CoreContext;
use crate::core::core_tuning::{self, CoreTuning};
use crate::core::failover_flow;
use crate::core::group_record;
use crate::core::leaving_flow;
use crate::core::peer_flow;
use crate::core::platform_message::{PlatformReply, PlatformRequest, StoreEntry};
use crate::core::rendezvous_rank;
use crate::core::timer_queue::TimerKind;

/// Pause after a call that the platform did not answer, in milliseconds.
const OUTAGE_PAUSE_MS: u64 = 500;
/// Pause between watches and between looks whether to watch, in milliseconds.
const LOOK_PAUSE_MS: u64 = 200;

/// Starts a watch when it is this host's task.
pub fn on_timer(ctx: &mut CoreContext) {
    if ctx.watching {
        return;
    }
    if should_watch(ctx) {
        return watch(ctx);
    }
    let pause = ctx.spread(CoreTuning::millis(LOOK_PAUSE_MS));
    ctx.wake_after(pause, TimerKind::Platform);
}

/// Takes up the platform's answer to a watch.
pub fn on_watch(ctx: &mut CoreContext, sent: ClockTime, after: u64, reply: Option<PlatformReply>) {
    ctx.watching = false;
    let Some(PlatformReply::Changed { revision, entries }) = reply else {
        let pause = ctx.spread(CoreTuning::millis(OUTAGE_PAUSE_MS));
        return ctx.wake_after(pause, TimerKind::Platform);
    };
    let current = revision >= ctx.feed.watermark();
    merge(ctx, after, revision, entries, None);
    if current {
        note_confirmed(ctx, sent);
    }
    let first = ctx.config.head.is_none() && ctx.config.pending.is_none();
    let pause = if first { CoreTuning::millis(LOOK_PAUSE_MS) } else { CoreTuning::millis(1) };
    ctx.wake_after(pause, TimerKind::Platform);
}

/// Takes up live records that are complete from `after` to `upto`, from the platform or from the
/// peer at the address `from`.
pub fn merge(
    ctx: &mut CoreContext,
    after: u64,
    upto: u64,
    entries: Vec<StoreEntry>,
    from: Option<&str>,
) {
    let changed = ctx.feed.merge(after, upto, entries);
    if !changed.is_empty() {
        peer_flow::spread(ctx);
    }
    for key in changed {
        config_flow::on_live_entry(ctx, &key, from);
        leaving_flow::on_live_entry(ctx, &key);
        on_group_entry(ctx, &key);
    }
}

/// Notes that the newest head known here was the platform's at `at`.
pub fn note_confirmed(ctx: &mut CoreContext, at: ClockTime) {
    if ctx.config.pending.is_some() {
        ctx.config.pending_confirmed = ctx.config.pending_confirmed.max(Some(at));
    } else if ctx.config.head.is_some() {
        ctx.peers.note_platform(at);
    }
}

fn on_group_entry(ctx: &mut CoreContext, key: &str) {
    let Some(name) = key.strip_prefix(&group_record::record_key("")) else { return };
    let Some(group) = ctx.group_names.get(name).copied() else { return };
    let Some(entry) = ctx.feed.entry(key).cloned() else { return };
    failover_flow::on_record(ctx, group, &entry);
}

/// Whether this host is one of the few of its data centre that watch, or hears of nobody's watch.
pub fn should_watch(ctx: &CoreContext) -> bool {
    let lately = ctx.now.before(core_tuning::SELF_WATCH_AGE);
    if ctx.peers.platform.is_none_or(|at| at < lately) {
        return true;
    }
    let own = ctx.identity.name.as_str();
    let hosts = ctx.config.world.hosts.values().filter(|host| {
        let near = host.data_centre == ctx.identity.data_centre;
        near && (host.name == own || ctx.peers.usable(&host.name, ctx.now))
    });
    let ranked = rendezvous_rank::rank("watch", hosts.map(|host| host.name.as_str()));
    ranked.iter().take(core_tuning::WATCHERS_PER_CENTRE).any(|host| *host == own)
}

fn watch(ctx: &mut CoreContext) {
    ctx.watching = true;
    let after = ctx.feed.watermark();
    let purpose = CallPurpose::Watch { sent: ctx.now, after };
    let prefix = group_record::LIVE_PREFIX.to_owned();
    let wait_ms = ctx.tuning.watch_wait_ms;
    ctx.call_platform(purpose, PlatformRequest::Watch { prefix, after, wait_ms });
}
