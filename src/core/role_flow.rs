//! Assigns endpoints the roles that their group's record gives them, and adds rebuilt copies to the
//! record once they have caught up.

use crate::core::arena_keys;
use crate::core::connection_flow;
use crate::core::core_context;
use crate::core::core_tuning;
use crate::core::endpoint_message;
use crate::core::endpoint_state;
use crate::core::failover_flow;
use crate::core::group_record;

/// Sends an endpoint its role if its status shows a different one.
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
        let listed = record.copies.get(name) == Some(&status.copy);
        let is_primary = status.primary && status.adopted_term == record.term;
        if listed && !is_primary {
            let request = endpoint_message::EndpointRequest::Promote {
                term: record.term,
                min_point: record.start,
            };
            send_role(ctx, endpoint, request);
        }
        return;
    }
    let Some(primary) = ctx.endpoint_names.get(&record.primary) else { return };
    let address = ctx.endpoints[*primary].address.clone();
    let follows = status.adopted_term == record.term && status.following.as_ref() == Some(&address);
    if !follows {
        let request = endpoint_message::EndpointRequest::Follow { term: record.term, address };
        send_role(ctx, endpoint, request);
    }
}

/// Sends an endpoint its role, at most once per half a probe interval. Without this limit, an
/// endpoint that does not adopt its role would get the request with each of its statuses.
fn send_role(
    ctx: &mut core_context::CoreContext,
    endpoint: arena_keys::EndpointKey,
    request: endpoint_message::EndpointRequest,
) {
    let interval = core_tuning::CoreTuning::millis(ctx.tuning.probe_interval_ms / 2);
    let now = ctx.now;
    let state = &mut ctx.endpoints[endpoint];
    if now.since(state.role_sent_at) < interval {
        return;
    }
    state.role_sent_at = now;
    connection_flow::send_control_request(ctx, endpoint, request);
}

/// Tracks a rebuilt copy until it has reached the end of the primary's log, and then adds it to the
/// group's record. Each host first waits for a time given by its claim rank, so that the hosts do
/// not all write the record at once.
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
    let is_primary = |status: &&endpoint_message::EndpointStatus| {
        status.primary && status.adopted_term == record.term
    };
    if new_copy.target.is_none() {
        new_copy.target =
            primary.filter(is_primary).map(endpoint_message::EndpointStatus::log_point);
        ctx.endpoints[endpoint].new_copy = Some(new_copy.clone());
    }
    let caught_up = new_copy.target.is_some_and(|target| {
        status.adopted_term == record.term
            && status.log_term == record.term
            && status.reached(target)
    });
    let rank_delay = core_tuning::CoreTuning::millis(ctx.tuning.claim_turn_ms)
        * failover_flow::claim_rank(ctx, group);
    if caught_up
        && now.since(new_copy.since) >= rank_delay
        && !ctx.groups[group].copy_update_pending
    {
        add_copy(ctx, group, record, name, status.copy);
    }
}

fn add_copy(
    ctx: &mut core_context::CoreContext,
    group: arena_keys::GroupKey,
    mut record: group_record::GroupRecord,
    endpoint: String,
    copy: u64,
) {
    if ctx.groups[group].cursor.state() != "watching" {
        return;
    }
    log::info!(
        "group {}: adding the rebuilt copy of {endpoint} to the record",
        ctx.groups[group].name
    );
    record.copies.insert(endpoint, copy);
    ctx.groups[group].copy_update_pending = true;
    failover_flow::swap_group_record(ctx, group, record);
}
