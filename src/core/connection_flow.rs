//! Connection pools of endpoints: opens, tests and closes connections, assigns them to statements,
//! and probes the endpoints' status.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::call_purpose;
use crate::core::chart_cursor;
use crate::core::clock_time;
use crate::core::confirm_flow;
use crate::core::connection_state;
use crate::core::core_context;
use crate::core::core_message;
use crate::core::core_tuning;
use crate::core::endpoint_message;
use crate::core::endpoint_state;
use crate::core::failover_flow;
use crate::core::request_verdict;
use crate::core::statement_flow;
use crate::core::statement_state;
use crate::core::timer_queue;

/// Runs a statement on an idle connection to the endpoint, or queues it for the next free one.
///
/// # Errors
///
/// Returns a `QueueFull` verdict if too many statements wait for the endpoint.
pub fn acquire(
    ctx: &mut core_context::CoreContext,
    endpoint: arena_keys::EndpointKey,
    statement: arena_keys::StatementKey,
) -> Result<(), request_verdict::RequestVerdict> {
    let idle = idle_connection(ctx, endpoint);
    if let Some(connection) = idle {
        statement_flow::dispatch(ctx, statement, connection);
        return Ok(());
    }
    let state = &ctx.endpoints[endpoint];
    if state.queue.len() >= ctx.tuning.queue_limit {
        let wait = Some(core_tuning::SHORT_RETRY);
        return Err(request_verdict::RequestVerdict::not_run(
            request_verdict::VerdictCause::QueueFull,
            wait,
        ));
    }
    if state.statement_connections.len() < state.connection_limit {
        open(ctx, endpoint, connection_state::ConnectionRole::Statement);
    }
    let until = ctx.now.after(core_tuning::CoreTuning::millis(ctx.tuning.queue_wait_ms));
    ctx.endpoints[endpoint].queue.push(statement);
    ctx.statements[statement].phase = statement_state::StatementPhase::Queued { endpoint, until };
    ctx.timers.push(until, timer_queue::TimerKind::Statement(statement));
    Ok(())
}

/// Sends a request on a connection and registers the call.
pub fn send(
    ctx: &mut core_context::CoreContext,
    connection: arena_keys::ConnectionKey,
    purpose: call_purpose::CallPurpose,
    request: endpoint_message::EndpointRequest,
) -> core_message::CallId {
    let call = ctx.register_call(purpose);
    let now = ctx.now;
    let state = &mut ctx.connections[connection];
    state.cursor.fire("call_sent");
    state.call = Some(call);
    state.since = now;
    ctx.actions.push(core_message::CoreAction::CallEndpoint { call, connection, request });
    call
}

/// Records whether a connection may carry another request after the call in progress.
pub fn set_reusable(
    ctx: &mut core_context::CoreContext,
    connection: arena_keys::ConnectionKey,
    reusable: bool,
) {
    if let Some(state) = ctx.connections.get_mut(connection) {
        state.reusable = reusable;
    }
}

/// Returns a connection to the pool after a statement, or closes it if it may not be reused or the
/// pool is above its limit.
pub fn release(ctx: &mut core_context::CoreContext, connection: arena_keys::ConnectionKey) {
    let Some(state) = ctx.connections.get_mut(connection) else { return };
    if !state.reusable {
        return discard(ctx, connection, "discarded");
    }
    state.cursor.fire("response_received");
    state.call = None;
    state.pinned = None;
    state.since = ctx.now;
    let endpoint = state.endpoint;
    let over_limit = ctx.endpoints[endpoint].statement_connections.len()
        > ctx.endpoints[endpoint].connection_limit;
    if over_limit {
        return discard(ctx, connection, "discarded");
    }
    set_idle_timer(ctx, connection, core_tuning::CoreTuning::millis(ctx.tuning.idle_test_ms));
    serve_queue(ctx, endpoint);
}

/// Reserves a connection for the caller's transaction, which is lost if the connection may not be
/// reused.
pub fn pin(
    ctx: &mut core_context::CoreContext,
    connection: arena_keys::ConnectionKey,
    caller: arena_keys::CallerKey,
) {
    let Some(state) = ctx.connections.get_mut(connection) else { return };
    state.pinned = Some(caller);
    if !state.reusable {
        return abort_pinned(ctx, connection);
    }
    state.cursor.fire("transaction_begun");
    state.call = None;
    state.since = ctx.now;
    set_idle_timer(
        ctx,
        connection,
        core_tuning::CoreTuning::millis(ctx.tuning.idle_transaction_ms),
    );
}

/// Closes a connection with `event` of its state chart. Replies to its pending call are ignored.
pub fn discard(
    ctx: &mut core_context::CoreContext,
    connection: arena_keys::ConnectionKey,
    event: &str,
) {
    let Some(mut state) = ctx.connections.remove(connection) else { return };
    state.cursor.fire(event);
    if let Some(call) = state.call {
        ctx.calls.remove(&call);
    }
    let endpoint = &mut ctx.endpoints[state.endpoint];
    endpoint.statement_connections.retain(|open| *open != connection);
    if endpoint.control_connection == Some(connection) {
        endpoint.control_connection = None;
    }
    ctx.actions.push(core_message::CoreAction::CloseConnection { connection });
    let waiting = !ctx.endpoints[state.endpoint].queue.is_empty();
    if waiting && state.role == connection_state::ConnectionRole::Statement {
        replace_connection(ctx, state.endpoint);
    }
}

/// Records a failure of an endpoint. If its circuit opens, the statements in its queue are retried
/// elsewhere or rejected.
pub fn record_failure(ctx: &mut core_context::CoreContext, endpoint: arena_keys::EndpointKey) {
    let jitter = ctx.jitter();
    let now = ctx.now;
    let state = &mut ctx.endpoints[endpoint];
    state.circuit.fail(now, jitter);
    if state.circuit.closed() {
        return;
    }
    for statement in std::mem::take(&mut state.queue) {
        ctx.statements[statement].phase =
            statement_state::StatementPhase::AwaitingShare { until: now };
        statement_flow::retry(ctx, statement, request_verdict::VerdictCause::NoEndpoint);
    }
}

/// Handles the result of opening a connection.
pub fn on_opened(
    ctx: &mut core_context::CoreContext,
    connection: arena_keys::ConnectionKey,
    opened: bool,
) {
    let now = ctx.now;
    let Some(state) = ctx.connections.get_mut(connection) else { return };
    let endpoint = state.endpoint;
    if !opened {
        discard(ctx, connection, "failed");
        ctx.endpoints[endpoint].refusing_since.get_or_insert(now);
        return record_failure(ctx, endpoint);
    }
    state.cursor.fire("opened");
    state.since = now;
    match state.role {
        connection_state::ConnectionRole::Control => send_backlog(ctx, connection),
        connection_state::ConnectionRole::Statement => {
            set_idle_timer(
                ctx,
                connection,
                core_tuning::CoreTuning::millis(ctx.tuning.idle_test_ms),
            );
            serve_queue(ctx, endpoint);
        }
    }
}

/// Handles a connection that was closed from outside the core. An endpoint that sent an `unmatched`
/// answer is up, so this is not counted as its failure.
pub fn on_closed(
    ctx: &mut core_context::CoreContext,
    connection: arena_keys::ConnectionKey,
    unmatched: bool,
) {
    let Some(state) = ctx.connections.get(connection) else { return };
    let (endpoint, role) = (state.endpoint, state.role);
    let purpose = state.call.and_then(|call| ctx.calls.remove(&call));
    if let Some(call_purpose::CallPurpose::Statement { statement, .. }) = purpose {
        return statement_flow::on_outcome(
            ctx,
            statement,
            endpoint_message::EndpointOutcome::ConnectionLost,
        );
    }
    abort_pinned(ctx, connection);
    if role == connection_state::ConnectionRole::Control && !unmatched {
        let now = ctx.now;
        ctx.endpoints[endpoint].refusing_since.get_or_insert(now);
        record_failure(ctx, endpoint);
    }
}

/// Sends a request on the endpoint's control connection, or queues it until the connection is open
/// and idle. Does nothing if the connection is closed and the circuit breaker does not allow a
/// probe yet.
pub fn send_control_request(
    ctx: &mut core_context::CoreContext,
    endpoint: arena_keys::EndpointKey,
    request: endpoint_message::EndpointRequest,
) {
    let connection = match ctx.endpoints[endpoint].control_connection {
        Some(connection) => connection,
        None if !ctx.endpoints[endpoint].circuit.may_probe(ctx.now) => return,
        None => open(ctx, endpoint, connection_state::ConnectionRole::Control),
    };
    if ctx.connections[connection].idle() {
        return send_on_control(ctx, connection, request);
    }
    let backlog = &mut ctx.connections[connection].backlog;
    if !backlog.contains(&request) {
        backlog.push(request);
    }
}

/// Probes all endpoints of a group.
pub fn probe_group(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    for endpoint in ctx.groups[group].endpoints.clone() {
        send_control_request(ctx, endpoint, endpoint_message::EndpointRequest::Status);
    }
}

/// Probes the endpoints of a group whose last status is too old: older than `probe_interval_ms` for
/// endpoints that run statements, `rest_interval_ms` for the others.
pub fn probe_due(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    for endpoint in ctx.groups[group].endpoints.clone() {
        let state = &ctx.endpoints[endpoint];
        let busy = state
            .statement_connections
            .iter()
            .any(|connection| !ctx.connections[*connection].idle());
        let interval =
            if busy { ctx.tuning.probe_interval_ms } else { ctx.tuning.rest_interval_ms };
        let requested_at = state
            .last_status
            .as_ref()
            .map_or(clock_time::ClockTime::default(), |last_status| last_status.requested_at);
        if ctx.now.since(requested_at) >= core_tuning::CoreTuning::millis(interval) {
            send_control_request(ctx, endpoint, endpoint_message::EndpointRequest::Status);
        }
    }
}

/// Handles the outcome of a request on a control connection.
pub fn on_status_outcome(
    ctx: &mut core_context::CoreContext,
    endpoint: arena_keys::EndpointKey,
    connection: arena_keys::ConnectionKey,
    sent: clock_time::ClockTime,
    outcome: endpoint_message::EndpointOutcome,
) {
    let status = match outcome {
        endpoint_message::EndpointOutcome::Status(status) => status,
        endpoint_message::EndpointOutcome::Unmatched => {
            return discard(ctx, connection, "discarded");
        }
        _ => {
            discard(ctx, connection, "failed");
            return record_failure(ctx, endpoint);
        }
    };
    let now = ctx.now;
    if let Some(state) = ctx.connections.get_mut(connection) {
        state.cursor.fire("response_received");
        state.call = None;
        state.since = now;
        send_backlog(ctx, connection);
    }
    record_status(ctx, endpoint, sent, status);
}

/// Records a status that was requested at `sent`, and closes the endpoint's circuit.
pub fn record_status(
    ctx: &mut core_context::CoreContext,
    endpoint: arena_keys::EndpointKey,
    sent: clock_time::ClockTime,
    status: endpoint_message::EndpointStatus,
) {
    let state = &mut ctx.endpoints[endpoint];
    state.circuit.succeed();
    state.refusing_since = None;
    let newer =
        state.last_status.as_ref().is_none_or(|last_status| last_status.requested_at <= sent);
    if newer {
        state.last_status = Some(endpoint_state::ObservedStatus { status, requested_at: sent });
    }
    if let Some(group) = ctx.endpoints[endpoint].group {
        failover_flow::on_status(ctx, group, endpoint);
        confirm_flow::evaluate(ctx, group);
    }
}

/// Handles the outcome of an idle test: keeps a connection that responded and closes any other.
pub fn on_test_outcome(
    ctx: &mut core_context::CoreContext,
    connection: arena_keys::ConnectionKey,
    outcome: endpoint_message::EndpointOutcome,
) {
    match outcome {
        endpoint_message::EndpointOutcome::Status(_) => release(ctx, connection),
        _ => discard(ctx, connection, "failed"),
    }
}

/// Closes a connection that has timed out, and tests one that has been idle for too long.
pub fn on_timer(ctx: &mut core_context::CoreContext, connection: arena_keys::ConnectionKey) {
    let Some(state) = ctx.connections.get_mut(connection) else { return };
    state.idle_timer_set = false;
    let passed = ctx.now.since(state.since);
    let call_timeout = core_tuning::CoreTuning::millis(ctx.tuning.probe_timeout_ms);
    let idle_limit = core_tuning::CoreTuning::millis(ctx.tuning.idle_test_ms);
    let pinned_limit = core_tuning::CoreTuning::millis(ctx.tuning.idle_transaction_ms);
    let (endpoint, role, call) = (state.endpoint, state.role, state.call);
    let cursor = state.cursor.clone();
    let testing = call.is_some_and(|call| {
        matches!(ctx.calls.get(&call), Some(call_purpose::CallPurpose::IdleTest { .. }))
    });
    match cursor.state() {
        "opening" if passed >= call_timeout => {
            discard(ctx, connection, "timed_out");
            record_failure(ctx, endpoint);
        }
        "busy"
            if passed >= call_timeout
                && (role == connection_state::ConnectionRole::Control || testing) =>
        {
            discard(ctx, connection, "timed_out");
            if role == connection_state::ConnectionRole::Control {
                record_failure(ctx, endpoint);
            }
        }
        "pinned" if passed < pinned_limit => {
            set_idle_timer(ctx, connection, pinned_limit - passed);
        }
        "pinned" => abort_pinned(ctx, connection),
        "busy" if role == connection_state::ConnectionRole::Statement && !testing => {
            set_idle_timer(ctx, connection, idle_limit);
        }
        "idle" if passed < idle_limit && role == connection_state::ConnectionRole::Statement => {
            set_idle_timer(ctx, connection, idle_limit - passed);
        }
        "idle" if role == connection_state::ConnectionRole::Statement => {
            let purpose = call_purpose::CallPurpose::IdleTest { connection };
            send(ctx, connection, purpose, endpoint_message::EndpointRequest::Status);
            ctx.set_timer(call_timeout, timer_queue::TimerKind::Connection(connection));
        }
        _ => {}
    }
}

/// Closes a connection and marks the transaction that it is reserved for as rolled back.
fn abort_pinned(ctx: &mut core_context::CoreContext, connection: arena_keys::ConnectionKey) {
    let caller = ctx.connections[connection].pinned;
    if let Some(caller) = caller.and_then(|caller| ctx.callers.get_mut(caller)) {
        caller.mark_transaction_lost();
    }
    discard(ctx, connection, "discarded");
}

/// Starts to open a connection to the endpoint.
fn open(
    ctx: &mut core_context::CoreContext,
    endpoint: arena_keys::EndpointKey,
    role: connection_state::ConnectionRole,
) -> arena_keys::ConnectionKey {
    let connection = ctx.connections.insert(connection_state::ConnectionState {
        endpoint,
        role,
        cursor: chart_cursor::ChartCursor::new(ctx.charts.connection.clone()),
        call: None,
        reusable: true,
        pinned: None,
        since: ctx.now,
        idle_timer_set: false,
        backlog: Vec::new(),
    });
    let state = &mut ctx.endpoints[endpoint];
    match role {
        connection_state::ConnectionRole::Control => state.control_connection = Some(connection),
        connection_state::ConnectionRole::Statement => state.statement_connections.push(connection),
    }
    let address = state.address.clone();
    ctx.actions.push(core_message::CoreAction::OpenConnection { connection, address });
    let limit = core_tuning::CoreTuning::millis(ctx.tuning.probe_timeout_ms);
    ctx.set_timer(limit, timer_queue::TimerKind::Connection(connection));
    connection
}

fn idle_connection(
    ctx: &core_context::CoreContext,
    endpoint: arena_keys::EndpointKey,
) -> Option<arena_keys::ConnectionKey> {
    let statement_connections = &ctx.endpoints[endpoint].statement_connections;
    statement_connections.iter().copied().find(|connection| ctx.connections[*connection].idle())
}

/// Sends waiting statements on the endpoint's idle connections.
fn serve_queue(ctx: &mut core_context::CoreContext, endpoint: arena_keys::EndpointKey) {
    while !ctx.endpoints[endpoint].queue.is_empty() {
        let Some(connection) = idle_connection(ctx, endpoint) else { return };
        let Some(statement) = dequeue_fairest(ctx, endpoint) else { return };
        statement_flow::dispatch(ctx, statement, connection);
    }
}

fn replace_connection(ctx: &mut core_context::CoreContext, endpoint: arena_keys::EndpointKey) {
    let state = &ctx.endpoints[endpoint];
    if state.statement_connections.len() < state.connection_limit && state.circuit.closed() {
        open(ctx, endpoint, connection_state::ConnectionRole::Statement);
    }
}

/// Removes the oldest waiting statement of the account with the fewest running and waiting
/// statements in proportion to its weight, so that one account cannot starve the others.
fn dequeue_fairest(
    ctx: &mut core_context::CoreContext,
    endpoint: arena_keys::EndpointKey,
) -> Option<arena_keys::StatementKey> {
    let running = |account: arena_keys::AccountKey| {
        let statement_connections = &ctx.endpoints[endpoint].statement_connections;
        let calls =
            statement_connections.iter().filter_map(|connection| ctx.connections[*connection].call);
        let purposes = calls.filter_map(|call| ctx.calls.get(&call));
        let same = purposes.filter(|purpose| match purpose {
            call_purpose::CallPurpose::Statement { statement, .. } => {
                ctx.statements.get(*statement).is_some_and(|state| state.account == account)
            }
            _ => false,
        });
        same.count()
    };
    let queue = &ctx.endpoints[endpoint].queue;
    let relative_load = |statement: arena_keys::StatementKey| {
        let account = ctx.statements[statement].account;
        let waiting = queue.iter().filter(|other| ctx.statements[**other].account == account);
        let weight = u64::from(ctx.accounts[account].weight.max(1));
        (running(account) + waiting.count()) as u64 * 1_000 / weight
    };
    let position =
        (0..queue.len()).min_by_key(|position| (relative_load(queue[*position]), *position))?;
    Some(ctx.endpoints[endpoint].queue.remove(position))
}

fn send_backlog(ctx: &mut core_context::CoreContext, connection: arena_keys::ConnectionKey) {
    let Some(state) = ctx.connections.get_mut(connection) else { return };
    if state.backlog.is_empty() || !state.idle() {
        return;
    }
    let request = state.backlog.remove(0);
    send_on_control(ctx, connection, request);
}

fn send_on_control(
    ctx: &mut core_context::CoreContext,
    connection: arena_keys::ConnectionKey,
    request: endpoint_message::EndpointRequest,
) {
    let endpoint = ctx.connections[connection].endpoint;
    ctx.control.probes += 1;
    ctx.endpoints[endpoint].last_probe_at = ctx.now;
    let purpose = call_purpose::CallPurpose::Status { endpoint, connection, sent: ctx.now };
    send(ctx, connection, purpose, request);
    let limit = core_tuning::CoreTuning::millis(ctx.tuning.probe_timeout_ms);
    ctx.set_timer(limit, timer_queue::TimerKind::Connection(connection));
}

fn set_idle_timer(
    ctx: &mut core_context::CoreContext,
    connection: arena_keys::ConnectionKey,
    delay: Duration,
) {
    let state = &mut ctx.connections[connection];
    if state.idle_timer_set {
        return;
    }
    state.idle_timer_set = true;
    ctx.set_timer(delay, timer_queue::TimerKind::Connection(connection));
}
