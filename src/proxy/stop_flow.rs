//! Release of a primary: how a host stops using a primary that is being replaced.

use crate::core::arena_keys;
use crate::proxy::change_record;
use crate::proxy::job_state;
use crate::proxy::link_flow;
use crate::proxy::member_flow;
use crate::proxy::operation_flow;
use crate::proxy::proxy_context;

/// Records and reports that this host has released the old primary, once no write or open
/// transaction depends on it. Those that outlast the drain timeout, or run on an unresponsive
/// primary, are ended.
pub fn settle_stop(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    let view = &ctx.groups[group];
    let Some(record) = &view.record else { return };
    let stopping = record.phase != change_record::ChangePhase::Serving;
    // A peer may have reported a failover that this host has not read from the store yet.
    let epoch = if stopping { record.epoch.max(view.peer_epoch) } else { view.peer_epoch };
    if epoch < record.epoch + u64::from(!stopping) || view.stopped_epoch >= epoch {
        return;
    }
    let primary = ctx.endpoint_names.get(&record.primary).copied();
    let late = ctx.now.since(view.learnt) >= ctx.tuning.stop_writes;
    let failing = primary.is_none_or(|endpoint| ctx.endpoints[endpoint].failing.is_some());
    let (jobs, links) = work_on(ctx, group, primary);
    if !jobs.is_empty() || !links.is_empty() {
        if !late && !failing {
            return;
        }
        for job in jobs {
            operation_flow::cut_short(ctx, job);
        }
        for link in links {
            if let Some(session) = ctx.links.get(link).and_then(|view| view.pinned) {
                operation_flow::lose_work(ctx, session, "primary_replaced");
                link_flow::close(ctx, link, "discarded");
            }
        }
    }
    ctx.groups[group].stopped_epoch = epoch;
    log::info!("event=primary_released group={} epoch={epoch}", ctx.groups[group].name);
    member_flow::pulse_all(ctx);
}

/// Returns the requests and idle transactions that depend on the primary.
fn work_on(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    primary: Option<arena_keys::EndpointKey>,
) -> (Vec<arena_keys::StatementKey>, Vec<arena_keys::ConnectionKey>) {
    let jobs = ctx.jobs.iter().filter(|(_, job)| {
        let running = matches!(job.phase, job_state::JobPhase::Running { .. });
        let within = ctx.sessions[job.session].open_work().is_some_and(|work| !work.read_only);
        running && job.group == group && job.primary_epoch.is_some() && (within || !job.reads())
    });
    let jobs = jobs.map(|(key, _)| key).collect();
    let links = ctx.links.iter().filter(|(_, link)| {
        let session = link.pinned.and_then(|session| ctx.sessions.get(session));
        let plain = session.and_then(|session| session.open_work());
        Some(link.endpoint) == primary
            && link.user.is_none()
            && plain.is_some_and(|work| !work.read_only)
    });
    (jobs, links.map(|(key, _)| key).collect())
}
