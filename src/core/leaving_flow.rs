//! Follows the platform's list of leaving hosts and endpoints.

use crate::core::call_purpose;
use crate::core::core_context;
use crate::core::core_tuning;
use crate::core::drain_flow;
use crate::core::leaving_record;
use crate::core::platform_flow;
use crate::core::platform_message;
use crate::core::timer_queue;

/// Time between two reads of the platform's list, in milliseconds.
const LIST_INTERVAL_MS: u64 = 1_000;

/// Reads the platform's list, when this host watches the platform for others.
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

/// Takes up the platform's list; a change of who is leaving goes into the live record.
pub fn on_list(
    ctx: &mut core_context::CoreContext,
    reply: Option<platform_message::PlatformReply>,
) {
    let Some(platform_message::PlatformReply::Hosts(listed)) = reply else { return };
    let world = &ctx.config.world;
    let known = |host: &platform_message::ListedHost| {
        world.hosts.contains_key(&host.name) || world.endpoints.contains_key(&host.name)
    };
    let leaving = listed.into_iter().filter(|host| host.leaving && known(host));
    let record = leaving_record::LeavingRecord { names: leaving.map(|host| host.name).collect() };
    if record == ctx.leaving {
        return;
    }
    platform_flow::swap_live_record(ctx, leaving_record::record_key(), &record);
}

/// Takes up the live record.
pub fn on_live_record(ctx: &mut core_context::CoreContext, key: &str) {
    if key != leaving_record::record_key() {
        return;
    }
    let Some(entry) = ctx.live_records.entry(key) else { return };
    let Ok(record) = rmp_serde::from_slice::<leaving_record::LeavingRecord>(&entry.value) else {
        return log::error!("the record of leaving hosts is malformed");
    };
    log::info!("leaving: {:?}", record.names);
    ctx.leaving = record;
    ctx.leaving_since = ctx.now;
    apply(ctx);
}

/// Brings the record to bear on endpoints and on this host.
pub fn apply(ctx: &mut core_context::CoreContext) {
    let world = ctx.config.world.clone();
    for endpoint in ctx.endpoints.values_mut() {
        let leaves = ctx.leaving.names.contains(&endpoint.name);
        endpoint.in_service = world.endpoint_in_service(&endpoint.name) && !leaves;
    }
    drain_flow::on_config_changed(ctx);
}
