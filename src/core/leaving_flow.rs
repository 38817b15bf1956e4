//! Follows the platform's list of leaving hosts and endpoints.

use crate::core::call_purpose::CallPurpose;
use crate::core::core_context::CoreContext;
use crate::core::core_tuning::CoreTuning;
use crate::core::drain_flow;
use crate::core::leaving_record::{self, LeavingRecord};
use crate::core::platform_flow;
use crate::core::platform_message::{ListedHost, PlatformReply, PlatformRequest};
use crate::core::timer_queue::TimerKind;

/// Time between two reads of the platform's list, in milliseconds.
const LIST_INTERVAL_MS: u64 = 1_000;

/// Reads the platform's list, when this host watches the platform for others.
pub fn on_timer(ctx: &mut CoreContext) {
    if ctx.config.head.is_some() && platform_flow::should_watch(ctx) {
        ctx.call_platform(CallPurpose::HostList, PlatformRequest::Hosts);
    }
    let interval = ctx.spread(CoreTuning::millis(LIST_INTERVAL_MS));
    ctx.wake_after(interval, TimerKind::HostList);
}

/// Takes up the platform's list; a change of who is leaving goes into the live record.
pub fn on_list(ctx: &mut CoreContext, reply: Option<PlatformReply>) {
    let Some(PlatformReply::Hosts(listed)) = reply else { return };
    let world = &ctx.config.world;
    let known = |host: &ListedHost| {
        world.hosts.contains_key(&host.name) || world.endpoints.contains_key(&host.name)
    };
    let leaving = listed.into_iter().filter(|host| host.leaving && known(host));
    let record = LeavingRecord { names: leaving.map(|host| host.name).collect() };
    if record == ctx.leaving {
        return;
    }
    let Ok(value) = rmp_serde::to_vec(&record) else { return };
    let key = leaving_record::record_key();
    let expected = ctx.feed.revision(&key);
    // A swap that is lost or loses is made again after the next read, if it is still needed.
    let request = PlatformRequest::CompareSwap { key, expected, value };
    ctx.call_platform(CallPurpose::LeavingSwap, request);
}

/// Takes up the live record.
pub fn on_live_entry(ctx: &mut CoreContext, key: &str) {
    if key != leaving_record::record_key() {
        return;
    }
    let Some(entry) = ctx.feed.entry(key) else { return };
    let Ok(record) = rmp_serde::from_slice::<LeavingRecord>(&entry.value) else {
        return log::error!("the record of leaving hosts is malformed");
    };
    log::info!("leaving: {:?}", record.names);
    ctx.leaving = record;
    ctx.leaving_since = ctx.now;
    apply(ctx);
}

/// Brings the record to bear on endpoints and on this host.
pub fn apply(ctx: &mut CoreContext) {
    let world = ctx.config.world.clone();
    for endpoint in ctx.endpoints.values_mut() {
        let leaves = ctx.leaving.names.contains(&endpoint.name);
        endpoint.in_service = world.endpoint_in_service(&endpoint.name) && !leaves;
    }
    drain_flow::after_config(ctx);
}
