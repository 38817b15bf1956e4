//! Runs admitted statements: routes them to an endpoint, handles its outcome, retries reads and
//! returns the final response.

use crate::core::arena_keys;
use crate::core::call_purpose;
use crate::core::caller_state;
use crate::core::clock_time;
use crate::core::confirm_flow;
use crate::core::connection_flow;
use crate::core::core_context;
use crate::core::core_message;
use crate::core::core_tuning;
use crate::core::drain_flow;
use crate::core::endpoint_message;
use crate::core::request_verdict;
use crate::core::route_choice;
use crate::core::statement_state;

/// Most times that a read is sent to an endpoint before it fails.
const READ_ATTEMPTS_MAX: u32 = 3;

/// Routes a statement to an endpoint, or finishes it with an error if none can take it.
pub fn route_and_send(ctx: &mut core_context::CoreContext, statement: arena_keys::StatementKey) {
    if let Err(verdict) = try_route(ctx, statement) {
        finish(ctx, statement, verdict, endpoint_message::ResponseBody::default());
    }
}

/// Sends a statement on `connection`, which must be free for it.
pub fn dispatch(
    ctx: &mut core_context::CoreContext,
    statement: arena_keys::StatementKey,
    connection: arena_keys::ConnectionKey,
) {
    let request = endpoint_message::EndpointRequest::Run(ctx.statements[statement].request.clone());
    let purpose = call_purpose::CallPurpose::Statement { statement, connection };
    let call = connection_flow::send(ctx, connection, purpose, request);
    let state = &mut ctx.statements[statement];
    state.attempts += 1;
    state.phase = statement_state::StatementPhase::Running { connection, call };
}

/// Handles an endpoint's outcome for a statement.
pub fn on_outcome(
    ctx: &mut core_context::CoreContext,
    statement: arena_keys::StatementKey,
    outcome: endpoint_message::EndpointOutcome,
) {
    let Some(state) = ctx.statements.get(statement) else { return };
    let statement_state::StatementPhase::Running { connection, .. } = state.phase else { return };
    let endpoint = ctx.connections.get(connection).map(|connection| connection.endpoint);
    match outcome {
        endpoint_message::EndpointOutcome::Ran { body, status } => {
            on_executed(
                ctx,
                statement,
                connection,
                body,
                status,
                request_verdict::RequestVerdict::ran(),
            );
        }
        endpoint_message::EndpointOutcome::Duplicate { status } => {
            let verdict = request_verdict::RequestVerdict {
                cause: request_verdict::VerdictCause::CompletedEarlier,
                ..request_verdict::RequestVerdict::ran()
            };
            on_executed(
                ctx,
                statement,
                connection,
                endpoint_message::ResponseBody::default(),
                Some(status),
                verdict,
            );
        }
        endpoint_message::EndpointOutcome::Refused { sqlstate, message } => {
            on_rejected(ctx, statement, connection, sqlstate, message);
        }
        endpoint_message::EndpointOutcome::Lagging => {
            release_connection(ctx, statement, connection, false);
            ctx.statements[statement].primary_only = true;
            // A lagging replica is not a failure, so the attempt at the primary does not count
            // against the retry budget.
            route_and_send(ctx, statement);
        }
        endpoint_message::EndpointOutcome::WrongTerm => {
            release_connection(ctx, statement, connection, false);
            connection_flow::probe_group(ctx, ctx.statements[statement].group);
            retry(ctx, statement, request_verdict::VerdictCause::NoPrimary);
        }
        endpoint_message::EndpointOutcome::NotSent => {
            connection_flow::discard(ctx, connection, "failed");
            if let Some(endpoint) = endpoint {
                connection_flow::record_failure(ctx, endpoint);
            }
            retry(ctx, statement, request_verdict::VerdictCause::ConnectionLost);
        }
        endpoint_message::EndpointOutcome::Unmatched => {
            connection_flow::discard(ctx, connection, "discarded");
            finish_unanswered(ctx, statement);
        }
        endpoint_message::EndpointOutcome::ConnectionLost
        | endpoint_message::EndpointOutcome::Status(_) => {
            connection_flow::discard(ctx, connection, "failed");
            if let Some(endpoint) = endpoint {
                connection_flow::record_failure(ctx, endpoint);
            }
            finish_unanswered(ctx, statement);
        }
    }
}

/// Ends a statement whose deadline or maximum wait has passed.
pub fn on_timer(ctx: &mut core_context::CoreContext, statement: arena_keys::StatementKey) {
    let Some(state) = ctx.statements.get(statement) else { return };
    let deadline = state.deadline;
    match state.phase.clone() {
        statement_state::StatementPhase::AwaitingShare { until }
            if ctx.now >= until.min(deadline) =>
        {
            let wait = ctx.accounts[state.account].ledger.wait_for_token(ctx.now);
            finish_with_error(
                ctx,
                statement,
                request_verdict::RequestVerdict::not_run(
                    request_verdict::VerdictCause::OverRate,
                    Some(wait),
                ),
            );
        }
        statement_state::StatementPhase::Queued { until, .. } if ctx.now >= until.min(deadline) => {
            let wait = Some(core_tuning::CoreTuning::millis(ctx.tuning.queue_wait_ms / 2));
            finish_with_error(
                ctx,
                statement,
                request_verdict::RequestVerdict::not_run(
                    request_verdict::VerdictCause::QueueFull,
                    wait,
                ),
            );
        }
        statement_state::StatementPhase::Running { .. }
        | statement_state::StatementPhase::Confirming { .. }
            if ctx.now >= deadline =>
        {
            finish_with_error(
                ctx,
                statement,
                request_verdict::RequestVerdict::may_have_run(
                    request_verdict::VerdictCause::DeadlinePassed,
                ),
            );
        }
        _ => {}
    }
}

/// Ends a statement for `cause`. The verdict states that the statement may have run if it was
/// already sent to an endpoint.
pub fn abort(
    ctx: &mut core_context::CoreContext,
    statement: arena_keys::StatementKey,
    cause: request_verdict::VerdictCause,
) {
    let Some(state) = ctx.statements.get(statement) else { return };
    let verdict = match state.phase {
        statement_state::StatementPhase::AwaitingShare { .. }
        | statement_state::StatementPhase::Queued { .. } => {
            request_verdict::RequestVerdict::not_run(cause, None)
        }
        statement_state::StatementPhase::Running { .. }
        | statement_state::StatementPhase::Confirming { .. } => {
            request_verdict::RequestVerdict::may_have_run(cause)
        }
    };
    finish_with_error(ctx, statement, verdict);
}

/// Drops a statement without a response, because its caller has disconnected.
pub fn cancel(ctx: &mut core_context::CoreContext, statement: arena_keys::StatementKey) {
    release_resources(ctx, statement);
    ctx.statements.remove(statement);
}

/// Routes a read again if its attempts and the retry budget allow it; otherwise fails the
/// statement as not run because of `cause`.
pub fn retry(
    ctx: &mut core_context::CoreContext,
    statement: arena_keys::StatementKey,
    cause: request_verdict::VerdictCause,
) {
    let Some(state) = ctx.statements.get(statement) else { return };
    let single = state.request.step == endpoint_message::TransactionStep::Single;
    let may_retry = state.attempts < READ_ATTEMPTS_MAX && single && state.read;
    if may_retry && ctx.retries.spend() {
        return route_and_send(ctx, statement);
    }
    let wait = Some(core_tuning::FAILOVER_RETRY);
    finish(
        ctx,
        statement,
        request_verdict::RequestVerdict::not_run(cause, wait),
        endpoint_message::ResponseBody::default(),
    );
}

/// Sends the final response to the caller and removes the statement.
pub fn finish(
    ctx: &mut core_context::CoreContext,
    statement: arena_keys::StatementKey,
    verdict: request_verdict::RequestVerdict,
    body: endpoint_message::ResponseBody,
) {
    release_resources(ctx, statement);
    let Some(state) = ctx.statements.remove(statement) else { return };
    count_outcome(ctx, &state, &verdict);
    if let Some(caller) = ctx.callers.get_mut(state.caller) {
        caller.statement = None;
        restore_request_id(caller, &state, &verdict);
        let in_transaction = caller.in_transaction();
        let caller = caller.id;
        ctx.actions.push(core_message::CoreAction::RespondToCaller {
            caller,
            verdict,
            body,
            in_transaction,
        });
        drain_flow::on_response(ctx, state.caller);
    }
}

/// Restores the caller's `request_id` if the write that used it was not run, so that a retry keeps
/// it.
fn restore_request_id(
    caller: &mut caller_state::CallerState,
    state: &statement_state::StatementState,
    verdict: &request_verdict::RequestVerdict,
) {
    if verdict.fate != request_verdict::RequestFate::NotRun || caller.settings.request_id.is_some()
    {
        return;
    }
    caller.settings.request_id = state.request.idempotency_key.as_ref().map(|key| key.id.clone());
}

fn try_route(
    ctx: &mut core_context::CoreContext,
    statement: arena_keys::StatementKey,
) -> Result<(), request_verdict::RequestVerdict> {
    let state = &ctx.statements[statement];
    let step = state.request.step;
    if step != endpoint_message::TransactionStep::Single
        && step != endpoint_message::TransactionStep::Begin
    {
        return route_in_transaction(ctx, statement);
    }
    let choice = route_choice::choose(ctx, statement)?;
    let state = &mut ctx.statements[statement];
    state.request.read_point = choice.read_point;
    state.request.write_term = choice.write_term;
    connection_flow::acquire(ctx, choice.endpoint, statement)
}

fn route_in_transaction(
    ctx: &mut core_context::CoreContext,
    statement: arena_keys::StatementKey,
) -> Result<(), request_verdict::RequestVerdict> {
    let caller = ctx.statements[statement].caller;
    let lost = request_verdict::RequestVerdict::not_run(
        request_verdict::VerdictCause::ConnectionLost,
        None,
    );
    let Some(transaction) = ctx.callers[caller].transaction else { return Err(lost) };
    let pinned = ctx.connections.get(transaction.connection);
    if pinned.is_none_or(|connection| connection.cursor.state() != "pinned") {
        ctx.callers[caller].mark_transaction_lost();
        return Err(lost);
    }
    dispatch(ctx, statement, transaction.connection);
    Ok(())
}

fn on_executed(
    ctx: &mut core_context::CoreContext,
    statement: arena_keys::StatementKey,
    connection: arena_keys::ConnectionKey,
    body: endpoint_message::ResponseBody,
    status: Option<endpoint_message::EndpointStatus>,
    verdict: request_verdict::RequestVerdict,
) {
    let endpoint = ctx.connections[connection].endpoint;
    let requested_at = ctx.connections[connection].since;
    release_connection(ctx, statement, connection, true);
    if let Some(status) = &status {
        record_status(ctx, endpoint, requested_at, status);
    }
    let Some(state) = ctx.statements.get(statement) else { return };
    let group = state.group;
    if state.commit_refused {
        let verdict = request_verdict::RequestVerdict::not_run(
            request_verdict::VerdictCause::TransactionLost,
            None,
        );
        return finish(ctx, statement, verdict, endpoint_message::ResponseBody::default());
    }
    match state.request.step {
        endpoint_message::TransactionStep::Begin
        | endpoint_message::TransactionStep::InTransaction
        | endpoint_message::TransactionStep::Rollback => {
            return finish(ctx, statement, verdict, body);
        }
        endpoint_message::TransactionStep::Commit | endpoint_message::TransactionStep::Single => {}
    }
    if state.read && state.request.read_point.is_some() {
        count_read(ctx, statement, endpoint);
        return finish(ctx, statement, verdict, body);
    }
    if state.read {
        count_read(ctx, statement, endpoint);
    }
    let Some(status) = status else { return finish_unconfirmed(ctx, statement) };
    let point = status.log_point();
    let expected = ctx.groups[group].term();
    if !status.primary || status.adopted_term != status.log_term || point.term != expected {
        return finish_unconfirmed(ctx, statement);
    }
    confirm_flow::await_majority(ctx, statement, point, requested_at, body, verdict);
}

/// Records the status that came with a response, which saves a probe. Does so at most once per half
/// a probe interval.
fn record_status(
    ctx: &mut core_context::CoreContext,
    endpoint: arena_keys::EndpointKey,
    requested_at: clock_time::ClockTime,
    status: &endpoint_message::EndpointStatus,
) {
    let last_status = ctx.endpoints[endpoint].last_status.as_ref();
    let interval = core_tuning::CoreTuning::millis(ctx.tuning.probe_interval_ms / 2);
    if last_status
        .is_none_or(|last_status| requested_at.since(last_status.requested_at) >= interval)
    {
        connection_flow::record_status(ctx, endpoint, requested_at, status.clone());
    }
}

/// Handles a statement that was executed by an endpoint which is no longer the primary.
fn finish_unconfirmed(ctx: &mut core_context::CoreContext, statement: arena_keys::StatementKey) {
    connection_flow::probe_group(ctx, ctx.statements[statement].group);
    if ctx.statements[statement].read {
        return retry(ctx, statement, request_verdict::VerdictCause::PrimaryReplaced);
    }
    let verdict = request_verdict::RequestVerdict::may_have_run(
        request_verdict::VerdictCause::PrimaryReplaced,
    );
    finish(ctx, statement, verdict, endpoint_message::ResponseBody::default());
}

fn on_rejected(
    ctx: &mut core_context::CoreContext,
    statement: arena_keys::StatementKey,
    connection: arena_keys::ConnectionKey,
    sqlstate: String,
    message: String,
) {
    release_connection(ctx, statement, connection, false);
    let caller = ctx.statements[statement].caller;
    if let Some(transaction) = &mut ctx.callers[caller].transaction {
        transaction.failed = true;
    }
    let cause = request_verdict::VerdictCause::DatabaseError { sqlstate, message };
    finish(
        ctx,
        statement,
        request_verdict::RequestVerdict::not_run(cause, None),
        endpoint_message::ResponseBody::default(),
    );
}

/// Retries a read that was sent and not answered, or finishes the statement with what is known of
/// it.
fn finish_unanswered(ctx: &mut core_context::CoreContext, statement: arena_keys::StatementKey) {
    let state = &ctx.statements[statement];
    if state.read && state.request.step == endpoint_message::TransactionStep::Single {
        return retry(ctx, statement, request_verdict::VerdictCause::ConnectionLost);
    }
    let verdict = match state.request.step {
        // The database rolls back everything that was not committed on a lost connection.
        endpoint_message::TransactionStep::Begin
        | endpoint_message::TransactionStep::InTransaction
        | endpoint_message::TransactionStep::Rollback => request_verdict::RequestVerdict::not_run(
            request_verdict::VerdictCause::ConnectionLost,
            None,
        ),
        _ => request_verdict::RequestVerdict::may_have_run(
            request_verdict::VerdictCause::ConnectionLost,
        ),
    };
    clear_transaction(ctx, statement);
    finish(ctx, statement, verdict, endpoint_message::ResponseBody::default());
}

/// Releases the statement's connection, or keeps it reserved while its transaction is open.
fn release_connection(
    ctx: &mut core_context::CoreContext,
    statement: arena_keys::StatementKey,
    connection: arena_keys::ConnectionKey,
    ran: bool,
) {
    let state = &ctx.statements[statement];
    let (step, caller, group) = (state.request.step, state.caller, state.group);
    match step {
        endpoint_message::TransactionStep::Begin if ran => {
            connection_flow::pin(ctx, connection, caller);
            let transaction = caller_state::OpenTransaction { group, connection, failed: false };
            ctx.callers[caller].transaction = Some(transaction);
        }
        endpoint_message::TransactionStep::InTransaction => {
            connection_flow::pin(ctx, connection, caller)
        }
        endpoint_message::TransactionStep::Commit | endpoint_message::TransactionStep::Rollback => {
            ctx.callers[caller].transaction = None;
            connection_flow::release(ctx, connection);
        }
        endpoint_message::TransactionStep::Begin | endpoint_message::TransactionStep::Single => {
            connection_flow::release(ctx, connection);
        }
    }
}

/// Ends the caller's transaction after its connection was lost. The transaction is marked as rolled
/// back unless the statement was a commit or rollback, which ends it in either case.
fn clear_transaction(ctx: &mut core_context::CoreContext, statement: arena_keys::StatementKey) {
    let state = &ctx.statements[statement];
    let ends = matches!(
        state.request.step,
        endpoint_message::TransactionStep::Commit | endpoint_message::TransactionStep::Rollback
    );
    let caller = &mut ctx.callers[state.caller];
    if ends {
        caller.transaction = None;
    } else {
        caller.mark_transaction_lost();
    }
}

fn finish_with_error(
    ctx: &mut core_context::CoreContext,
    statement: arena_keys::StatementKey,
    verdict: request_verdict::RequestVerdict,
) {
    if matches!(ctx.statements[statement].phase, statement_state::StatementPhase::Running { .. }) {
        clear_transaction(ctx, statement);
    }
    finish(ctx, statement, verdict, endpoint_message::ResponseBody::default());
}

/// Removes a statement from the queue that it waits in, or closes the connection that it runs on.
fn release_resources(ctx: &mut core_context::CoreContext, statement: arena_keys::StatementKey) {
    let Some(state) = ctx.statements.get(statement) else { return };
    match state.phase {
        statement_state::StatementPhase::AwaitingShare { .. } => {
            ctx.accounts[state.account].waiting.retain(|waiting| *waiting != statement);
        }
        statement_state::StatementPhase::Queued { endpoint, .. } => {
            ctx.endpoints[endpoint].queue.retain(|waiting| *waiting != statement);
        }
        statement_state::StatementPhase::Running { connection, call } => {
            if ctx.calls.contains_key(&call) {
                connection_flow::discard(ctx, connection, "discarded");
            }
        }
        statement_state::StatementPhase::Confirming { .. } => {
            let group = &mut ctx.groups[state.group];
            group.waiters.retain(|waiting| *waiting != statement);
        }
    }
}

fn count_outcome(
    ctx: &mut core_context::CoreContext,
    state: &statement_state::StatementState,
    verdict: &request_verdict::RequestVerdict,
) {
    let counts = &mut ctx.accounts[state.account].counts;
    match verdict.fate {
        request_verdict::RequestFate::Ran if !state.read => counts.writes += 1,
        request_verdict::RequestFate::Ran => {}
        request_verdict::RequestFate::MayHaveRun => counts.may_have_run += 1,
        request_verdict::RequestFate::NotRun
            if verdict.cause == request_verdict::VerdictCause::OverRate =>
        {
            counts.over_rate += 1
        }
        request_verdict::RequestFate::NotRun => counts.not_run += 1,
    }
}

fn count_read(
    ctx: &mut core_context::CoreContext,
    statement: arena_keys::StatementKey,
    endpoint: arena_keys::EndpointKey,
) {
    let state = &ctx.statements[statement];
    let name = &ctx.endpoints[endpoint].name;
    let primary = ctx.groups[state.group].serving().is_some_and(|record| record.primary == *name);
    let counts = &mut ctx.accounts[state.account].counts;
    if primary {
        counts.primary_reads += 1;
    } else {
        counts.replica_reads += 1;
    }
}
