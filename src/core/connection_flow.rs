//! Connections to endpoints: opening, lending to statements, testing and closing.

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

/// Runs a statement on the endpoint, now or when a connection is free.
///
/// # Errors
///
/// A refusal when too many statements wait for the endpoint.
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

/// Sends a request on a connection and notes the call.
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

/// Returns a work connection to the endpoint after a statement has ended.
pub fn release(ctx: &mut core_context::CoreContext, connection: arena_keys::ConnectionKey) {
    let Some(state) = ctx.connections.get_mut(connection) else { return };
    state.cursor.fire("call_answered");
    state.call = None;
    state.pinned = None;
    state.since = ctx.now;
    let endpoint = state.endpoint;
    let over_quota = ctx.endpoints[endpoint].statement_connections.len()
        > ctx.endpoints[endpoint].connection_limit;
    if over_quota {
        return discard(ctx, connection, "discarded");
    }
    arm_idle_test(ctx, connection, core_tuning::CoreTuning::millis(ctx.tuning.idle_test_ms));
    serve_queue(ctx, endpoint);
}

/// Keeps a connection for the caller's transaction.
pub fn pin(
    ctx: &mut core_context::CoreContext,
    connection: arena_keys::ConnectionKey,
    caller: arena_keys::CallerKey,
) {
    let Some(state) = ctx.connections.get_mut(connection) else { return };
    state.cursor.fire("transaction_begun");
    state.call = None;
    state.pinned = Some(caller);
    state.since = ctx.now;
    arm_idle_test(ctx, connection, core_tuning::CoreTuning::millis(ctx.tuning.idle_transaction_ms));
}

/// Closes a connection; it is never used again, and its late answers are dropped.
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
        refill(ctx, state.endpoint);
    }
}

/// Notes that an endpoint failed; a circuit that opens turns its queue away.
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

/// Takes up news of a connection that was being opened.
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
        connection_state::ConnectionRole::Control => flush_backlog(ctx, connection),
        connection_state::ConnectionRole::Statement => {
            arm_idle_test(
                ctx,
                connection,
                core_tuning::CoreTuning::millis(ctx.tuning.idle_test_ms),
            );
            serve_queue(ctx, endpoint);
        }
    }
}

/// Takes up news of a connection that ended by itself.
pub fn on_ended(ctx: &mut core_context::CoreContext, connection: arena_keys::ConnectionKey) {
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
    lose_pinned(ctx, connection);
    if role == connection_state::ConnectionRole::Control {
        let now = ctx.now;
        ctx.endpoints[endpoint].refusing_since.get_or_insert(now);
        record_failure(ctx, endpoint);
    }
}

/// Sends a request on the endpoint's status connection, opening it if need be.
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
        return send_command(ctx, connection, request);
    }
    let backlog = &mut ctx.connections[connection].backlog;
    if !backlog.contains(&request) {
        backlog.push(request);
    }
}

/// Probes all endpoints of a group.
pub fn probe_group(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    for endpoint in ctx.groups[group].members.clone() {
        send_control_request(ctx, endpoint, endpoint_message::EndpointRequest::Status);
    }
}

/// Probes the endpoints of a group whose status is not known from other answers: often those that
/// statements run on, seldom those at rest.
pub fn probe_due(ctx: &mut core_context::CoreContext, group: arena_keys::GroupKey) {
    for endpoint in ctx.groups[group].members.clone() {
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

/// Takes up the outcome of a probe or command on a status connection.
pub fn on_status_outcome(
    ctx: &mut core_context::CoreContext,
    endpoint: arena_keys::EndpointKey,
    connection: arena_keys::ConnectionKey,
    sent: clock_time::ClockTime,
    outcome: endpoint_message::EndpointOutcome,
) {
    let endpoint_message::EndpointOutcome::Status(status) = outcome else {
        discard(ctx, connection, "failed");
        return record_failure(ctx, endpoint);
    };
    let now = ctx.now;
    if let Some(state) = ctx.connections.get_mut(connection) {
        state.cursor.fire("call_answered");
        state.call = None;
        state.since = now;
        flush_backlog(ctx, connection);
    }
    record_status(ctx, endpoint, sent, status);
}

/// Takes up an endpoint's status as of a call sent at `sent`.
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

/// Takes up the outcome of a test of an idle connection.
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

/// Acts on a connection that may be silent, or idle for long.
pub fn on_timer(ctx: &mut core_context::CoreContext, connection: arena_keys::ConnectionKey) {
    let Some(state) = ctx.connections.get_mut(connection) else { return };
    state.idle_timer_armed = false;
    let passed = ctx.now.since(state.since);
    let silent_after = core_tuning::CoreTuning::millis(ctx.tuning.probe_timeout_ms);
    let idle_limit = core_tuning::CoreTuning::millis(ctx.tuning.idle_test_ms);
    let pinned_limit = core_tuning::CoreTuning::millis(ctx.tuning.idle_transaction_ms);
    let (endpoint, role, call) = (state.endpoint, state.role, state.call);
    let cursor = state.cursor.clone();
    let testing = call.is_some_and(|call| {
        matches!(ctx.calls.get(&call), Some(call_purpose::CallPurpose::IdleTest { .. }))
    });
    match cursor.state() {
        "opening" if passed >= silent_after => {
            discard(ctx, connection, "timed_out");
            record_failure(ctx, endpoint);
        }
        "busy"
            if passed >= silent_after
                && (role == connection_state::ConnectionRole::Control || testing) =>
        {
            discard(ctx, connection, "timed_out");
            if role == connection_state::ConnectionRole::Control {
                record_failure(ctx, endpoint);
            }
        }
        "pinned" if passed < pinned_limit => {
            arm_idle_test(ctx, connection, pinned_limit - passed);
        }
        "pinned" => lose_pinned(ctx, connection),
        "busy" if role == connection_state::ConnectionRole::Statement && !testing => {
            arm_idle_test(ctx, connection, idle_limit);
        }
        "idle" if passed < idle_limit && role == connection_state::ConnectionRole::Statement => {
            arm_idle_test(ctx, connection, idle_limit - passed);
        }
        "idle" if role == connection_state::ConnectionRole::Statement => {
            let purpose = call_purpose::CallPurpose::IdleTest { connection };
            send(ctx, connection, purpose, endpoint_message::EndpointRequest::Status);
            ctx.set_timer(silent_after, timer_queue::TimerKind::Connection(connection));
        }
        _ => {}
    }
}

/// Rolls back the transaction that a connection is kept for, and closes the connection.
fn lose_pinned(ctx: &mut core_context::CoreContext, connection: arena_keys::ConnectionKey) {
    let caller = ctx.connections[connection].pinned;
    if let Some(caller) = caller.and_then(|caller| ctx.callers.get_mut(caller)) {
        caller.lose_transaction();
    }
    discard(ctx, connection, "discarded");
}

/// Opens a connection to the endpoint.
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
        pinned: None,
        since: ctx.now,
        idle_timer_armed: false,
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

/// Hands free connections to waiting statements, and opens more within the quota.
fn serve_queue(ctx: &mut core_context::CoreContext, endpoint: arena_keys::EndpointKey) {
    while !ctx.endpoints[endpoint].queue.is_empty() {
        let Some(connection) = idle_connection(ctx, endpoint) else { return };
        let Some(statement) = take_fairest(ctx, endpoint) else { return };
        statement_flow::dispatch(ctx, statement, connection);
    }
}

fn refill(ctx: &mut core_context::CoreContext, endpoint: arena_keys::EndpointKey) {
    let state = &ctx.endpoints[endpoint];
    if state.statement_connections.len() < state.connection_limit && state.circuit.closed() {
        open(ctx, endpoint, connection_state::ConnectionRole::Statement);
    }
}

/// Removes the oldest waiting statement of the account that uses the endpoint least for its
/// weight.
fn take_fairest(
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
    let use_of = |statement: arena_keys::StatementKey| {
        let account = ctx.statements[statement].account;
        let waiting = queue.iter().filter(|other| ctx.statements[**other].account == account);
        let weight = u64::from(ctx.accounts[account].weight.max(1));
        (running(account) + waiting.count()) as u64 * 1_000 / weight
    };
    let position = (0..queue.len()).min_by_key(|position| (use_of(queue[*position]), *position))?;
    Some(ctx.endpoints[endpoint].queue.remove(position))
}

fn flush_backlog(ctx: &mut core_context::CoreContext, connection: arena_keys::ConnectionKey) {
    let Some(state) = ctx.connections.get_mut(connection) else { return };
    if state.backlog.is_empty() || !state.idle() {
        return;
    }
    let request = state.backlog.remove(0);
    send_command(ctx, connection, request);
}

fn send_command(
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

fn arm_idle_test(
    ctx: &mut core_context::CoreContext,
    connection: arena_keys::ConnectionKey,
    span: Duration,
) {
    let state = &mut ctx.connections[connection];
    if state.idle_timer_armed {
        return;
    }
    state.idle_timer_armed = true;
    ctx.set_timer(span, timer_queue::TimerKind::Connection(connection));
}
