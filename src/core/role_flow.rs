//! Keeps endpoints in their roles, and counts rebuilt copies once they hold what matters.

use crate::core::arena_keys;
use crate::core::connection_flow;
use crate::core::core_context;
use crate::core::core_tuning;
use crate::core::endpoint_message;
use crate::core::endpoint_state;
use crate::core::failover_flow;
use crate::core::group_record;

/// Tells an endpoint its role when its status shows that it does not have it.
pub fn reconcile_role(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    endpoint: arena_keys::EndpointKey,
    status: &endpoint_message::EndpointStatus,
) {
    let Some(record) = ctx.groups[group].serving().cloned() else { return };
    if status.adopted_term > record.term {
        return;
    }
    let name = &ctx.endpoints[endpoint].name;
    if *name == record.primary {
        let counted = record.copies.get(name) == Some(&status.copy);
        let leads = status.primary && status.adopted_term == record.term;
        if counted && !leads {
            let request = endpoint_message::EndpointRequest::Promote {
                term: record.term,
                min_point: record.start,
            };
            tell_role(ctx, endpoint, request);
        }
        return;
    }
    let Some(primary) = ctx.endpoint_names.get(&record.primary) else { return };
    let address = ctx.endpoints[*primary].address.clone();
    let follows = status.adopted_term == record.term && status.following.as_ref() == Some(&address);
    if !follows {
        let request = endpoint_message::EndpointRequest::Follow { term: record.term, address };
        tell_role(ctx, endpoint, request);
    }
}

/// Tells an endpoint its role, at most once a probe: one that does not take it up must not be
/// told over and over.
fn tell_role(
    ctx: &mut core_context::CoreContext,
    endpoint: arena_keys::EndpointKey,
    request: endpoint_message::EndpointRequest,
) {
    let gap = core_tuning::CoreTuning::millis(ctx.tuning.probe_interval_ms / 2);
    let now = ctx.now;
    let state = &mut ctx.endpoints[endpoint];
    if now.since(state.role_sent_at) < gap {
        return;
    }
    state.role_sent_at = now;
    connection_flow::send_control_request(ctx, endpoint, request);
}

/// Follows copies that were rebuilt, until they hold what counts and enter the record.
pub fn track_new_copy(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    endpoint: arena_keys::EndpointKey,
    status: &endpoint_message::EndpointStatus,
) {
    let now = ctx.now;
    let Some(record) = ctx.groups[group].serving().cloned() else { return };
    let name = ctx.endpoints[endpoint].name.clone();
    if record.copies.get(&name) == Some(&status.copy) || name == record.primary {
        ctx.endpoints[endpoint].new_copy = None;
        return;
    }
    let known = ctx.endpoints[endpoint].new_copy.as_ref().map(|copy| copy.copy);
    if known != Some(status.copy) {
        let new_copy = endpoint_state::NewCopy { copy: status.copy, since: now, target: None };
        ctx.endpoints[endpoint].new_copy = Some(new_copy);
    }
    let Some(mut new_copy) = ctx.endpoints[endpoint].new_copy.clone() else { return };
    let primary = ctx.endpoint_names.get(&record.primary).map(|key| &ctx.endpoints[*key]);
    let primary = primary.and_then(|primary| primary.status_since(new_copy.since));
    let leads = |status: &&endpoint_message::EndpointStatus| {
        status.primary && status.adopted_term == record.term
    };
    if new_copy.target.is_none() {
        new_copy.target = primary.filter(leads).map(endpoint_message::EndpointStatus::log_point);
        ctx.endpoints[endpoint].new_copy = Some(new_copy.clone());
    }
    let caught_up = new_copy.target.is_some_and(|target| {
        status.adopted_term == record.term
            && status.log_term == record.term
            && status.reached(target)
    });
    let turn = core_tuning::CoreTuning::millis(ctx.tuning.claim_turn_ms)
        * failover_flow::claim_rank(ctx, group);
    if caught_up && now.since(new_copy.since) >= turn && !ctx.groups[group].copy_update_pending {
        readmit(ctx, group, record, name, status.copy);
    }
}

fn readmit(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    mut record: group_record::GroupRecord,
    endpoint: String,
    copy: u64,
) {
    if ctx.groups[group].cursor.state() != "watching" {
        return;
    }
    log::info!("group {}: counting the new copy of {endpoint}", ctx.groups[group].name);
    record.copies.insert(endpoint, copy);
    ctx.groups[group].copy_update_pending = true;
    failover_flow::swap_group_record(ctx, group, record);
}
