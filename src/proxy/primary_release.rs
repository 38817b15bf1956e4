//! Releases a primary that is being replaced, so that this host no longer uses it.

use crate::core::arena_keys;
use crate::proxy::connection_flow;
use crate::proxy::heartbeat_flow;
use crate::proxy::pending_request;
use crate::proxy::proxy_context;
use crate::proxy::request_flow;
use crate::proxy::store_record;

/// Records and reports that this host has released the old primary, once no write and no open
/// transaction that may write depends on it.
///
/// Writes and transactions that are left after the drain timeout, or whose primary is unresponsive,
/// are ended, and the primary is released at once.
pub fn release_when_drained(ctx: &mut proxy_context::ProxyContext, group: arena_keys::GroupKey) {
    let view = &ctx.groups[group];
    let Some(record) = &view.record else { return };
    let stopping = record.phase != store_record::GroupPhase::Serving;
    // A peer may have reported a failover that this host has not read from the store yet.
    let epoch = if stopping { record.epoch.max(view.peer_epoch) } else { view.peer_epoch };
    if epoch < record.epoch + u64::from(!stopping) || view.released_epoch >= epoch {
        return;
    }
    let primary = ctx.endpoint_names.get(&record.primary).copied();
    let timed_out = ctx.now.since(view.record_received_at) >= ctx.tuning.write_drain_timeout;
    let unresponsive =
        primary.is_none_or(|endpoint| ctx.endpoints[endpoint].unresponsive_since.is_some());
    let (requests, connections) = dependents(ctx, group, primary);
    if !requests.is_empty() || !connections.is_empty() {
        if !timed_out && !unresponsive {
            return;
        }
        for request in requests {
            request_flow::abort(ctx, request);
        }
        for connection in connections {
            if let Some(session) = ctx.connections.get(connection).and_then(|view| view.pinned) {
                request_flow::fail_transaction(ctx, session, "primary_replaced");
                connection_flow::close(ctx, connection, "discarded");
            }
        }
    }
    ctx.groups[group].released_epoch = epoch;
    log::info!("event=primary_released group={} epoch={epoch}", ctx.groups[group].name);
    heartbeat_flow::broadcast_heartbeat(ctx);
}

/// Returns the running requests that depend on the primary, and the connections to it that are
/// pinned by a transaction without a running request. Reads outside of transactions that may write
/// do not count.
fn dependents(
    ctx: &proxy_context::ProxyContext,
    group: arena_keys::GroupKey,
    primary: Option<arena_keys::EndpointKey>,
) -> (Vec<arena_keys::StatementKey>, Vec<arena_keys::ConnectionKey>) {
    let requests = ctx.requests.iter().filter(|(_, request)| {
        let running = matches!(
            request.phase,
            pending_request::RequestPhase::Running { .. }
                | pending_request::RequestPhase::AwaitingReceipts
        );
        let within = ctx.sessions[request.session]
            .open_transaction()
            .is_some_and(|transaction| !transaction.read_only);
        running
            && request.group == group
            && request.primary_epoch.is_some()
            && (within || !request.reads())
    });
    let requests = requests.map(|(key, _)| key).collect();
    let connections = ctx.connections.iter().filter(|(_, connection)| {
        let session = connection.pinned.and_then(|session| ctx.sessions.get(session));
        let transaction = session.and_then(|session| session.open_transaction());
        Some(connection.endpoint) == primary
            && connection.user.is_none()
            && transaction.is_some_and(|transaction| !transaction.read_only)
    });
    (requests, connections.map(|(key, _)| key).collect())
}
