//! Tracks the hosts and endpoints that the platform lists as leaving.

use crate::core::call_purpose;
use crate::core::core_context;
use crate::core::core_tuning;
use crate::core::drain_flow;
use crate::core::leaving_record;
use crate::core::platform_flow;
use crate::core::platform_message;
use crate::core::timer_queue;

/// Interval between reads of the platform's list, in milliseconds.
const LIST_INTERVAL_MS: u64 = 1_000;

/// Reads the platform's list if this host watches the platform on behalf of others.
pub fn on_timer(ctx: &mut core_context::CoreContext) {
    if ctx.config.head.is_some() && platform_flow::should_watch(ctx) {
        ctx.call_platform(
            call_purpose::CallPurpose::HostList,
            platform_message::PlatformRequest::Hosts,
        );
    }
    let interval = ctx.with_jitter(core_tuning::CoreTuning::millis(LIST_INTERVAL_MS));
    ctx.set_timer(interval, timer_queue::TimerKind::HostList);
}

/// Handles the platform's list: writes the names that are leaving to the live record if they
/// changed.
pub fn on_list(
    ctx: &mut core_context::CoreContext,
    reply: Option<platform_message::PlatformReply>,
) {
    let Some(platform_message::PlatformReply::Hosts(listed)) = reply else { return };
    let config = &ctx.config.active;
    let known = |host: &platform_message::ListedHost| {
        config.hosts.contains_key(&host.name) || config.endpoints.contains_key(&host.name)
    };
    let leaving = listed.into_iter().filter(|host| host.leaving && known(host));
    let record = leaving_record::LeavingRecord { names: leaving.map(|host| host.name).collect() };
    if record == ctx.leaving {
        return;
    }
    platform_flow::swap_live_record(ctx, leaving_record::record_key(), &record);
}

/// Applies a change of the live record.
pub fn on_live_record(ctx: &mut core_context::CoreContext, key: &str) {
    if key != leaving_record::record_key() {
        return;
    }
    let Some(entry) = ctx.live_records.entry(key) else { return };
    let Ok(record) = rmp_serde::from_slice::<leaving_record::LeavingRecord>(&entry.value) else {
        return log::error!("cannot decode the record of leaving hosts and endpoints");
    };
    log::info!("leaving hosts and endpoints: {:?}", record.names);
    ctx.leaving = record;
    ctx.leaving_since = ctx.now;
    apply(ctx);
}

/// Applies the live record to the endpoints and to this host.
pub fn apply(ctx: &mut core_context::CoreContext) {
    let config = ctx.config.active.clone();
    for endpoint in ctx.endpoints.values_mut() {
        let leaves = ctx.leaving.names.contains(&endpoint.name);
        endpoint.in_service = config.endpoint_in_service(&endpoint.name) && !leaves;
    }
    drain_flow::on_service_change(ctx);
}
