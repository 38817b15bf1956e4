//! Handles endpoints' responses to callers' statements: updates the session and its transaction,
//! releases the connection, and responds to the caller or retries the request.

use crate::core::arena_keys;
use crate::core::endpoint_message;
use crate::core::request_verdict;
use crate::proxy::connection_flow;
use crate::proxy::endpoint_command;
use crate::proxy::pending_request;
use crate::proxy::proxy_context;
use crate::proxy::receipt_flow;
use crate::proxy::request_flow;
use crate::proxy::session_flow;
use crate::proxy::session_state;

/// Handles the endpoint's response to the request's own statement or COMMIT.
pub fn on_statement_response(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    connection: arena_keys::ConnectionKey,
    response: endpoint_command::EndpointResponse,
) {
    let state = &ctx.requests[request];
    let commit = state.kind == pending_request::RequestKind::Commit;
    let standalone = ctx.sessions[state.session].open_transaction().is_none();
    if commit {
        on_commit_response(ctx, request, connection, response);
    } else if standalone {
        on_standalone_response(ctx, request, connection, response);
    } else {
        on_response_in_transaction(ctx, request, connection, response);
    }
}

fn on_standalone_response(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    connection: arena_keys::ConnectionKey,
    response: endpoint_command::EndpointResponse,
) {
    let endpoint = ctx.connections[connection].endpoint;
    let reads = ctx.requests[request].reads();
    if let Err(fault) = &response.outcome {
        request_flow::record_fault(ctx, request, endpoint, fault);
    }
    let unknown_statement =
        response.outcome == Err(endpoint_command::EndpointFault::UnknownStatement);
    if unknown_statement {
        ctx.connections[connection].prepared.clear();
    }
    let same_primary = primary_unchanged(ctx, request, endpoint);
    // Detach the request first: releasing the connection may start the next queued request on it.
    ctx.requests[request].phase = pending_request::RequestPhase::AwaitingShare { until: ctx.now };
    if response.phase == endpoint_command::SessionPhase::Idle {
        connection_flow::release(ctx, connection);
    } else {
        connection_flow::close(ctx, connection, "discarded");
    }
    match response.outcome {
        Ok(_) if !reads && !same_primary => {
            let cause = request_verdict::VerdictCause::PrimaryReplaced;
            let verdict = request_verdict::RequestVerdict::may_have_run(cause);
            request_flow::finish(ctx, request, Vec::new(), None, verdict);
        }
        Ok(signature) => {
            if !reads {
                record_commit(ctx, request, response.position);
                let rows = response.rows;
                return receipt_flow::acknowledge(
                    ctx,
                    request,
                    endpoint,
                    response.position,
                    rows,
                    signature,
                );
            }
            ctx.endpoints[endpoint].lag_count = 0;
            count_read(ctx, request);
            let verdict = request_verdict::RequestVerdict::ran();
            request_flow::finish(ctx, request, response.rows, Some(signature), verdict);
        }
        Err(endpoint_command::EndpointFault::Other { code, text }) => {
            request_flow::finish(ctx, request, Vec::new(), None, database_error(code, text));
        }
        Err(endpoint_command::EndpointFault::UnknownStatement) => {
            prepare_again(ctx, request);
        }
        Err(fault) => {
            request_flow::retry_elsewhere(ctx, request, endpoint, request_flow::cause_of(&fault))
        }
    }
}

fn on_response_in_transaction(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    connection: arena_keys::ConnectionKey,
    response: endpoint_command::EndpointResponse,
) {
    let session = ctx.requests[request].session;
    let reads = ctx.requests[request].reads();
    let endpoint = ctx.connections[connection].endpoint;
    match response.outcome {
        Ok(signature) => {
            if let session_state::TransactionState::Open(transaction) =
                &mut ctx.sessions[session].transaction
            {
                transaction.connection = Some(connection);
                transaction.has_writes |= !reads;
            }
            connection_flow::pin(ctx, connection, session);
            if reads {
                count_read(ctx, request);
            }
            let verdict = request_verdict::RequestVerdict::ran();
            request_flow::finish(ctx, request, response.rows, Some(signature), verdict);
        }
        Err(fault) => {
            request_flow::record_fault(ctx, request, endpoint, &fault);
            ctx.sessions[session].transaction = session_state::TransactionState::Failed;
            connection_flow::roll_back(ctx, connection);
            let verdict = match fault {
                endpoint_command::EndpointFault::Other { code, text } => database_error(code, text),
                endpoint_command::EndpointFault::UnknownStatement => request_flow::not_run_verdict(
                    ctx,
                    Some(request),
                    request_verdict::VerdictCause::TransactionLost,
                ),
                fault => request_flow::not_run_verdict(
                    ctx,
                    Some(request),
                    request_flow::cause_of(&fault),
                ),
            };
            request_flow::finish(ctx, request, Vec::new(), None, verdict);
        }
    }
}

fn on_commit_response(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    connection: arena_keys::ConnectionKey,
    response: endpoint_command::EndpointResponse,
) {
    let session = ctx.requests[request].session;
    let endpoint = ctx.connections[connection].endpoint;
    let has_writes =
        ctx.sessions[session].open_transaction().is_some_and(|transaction| transaction.has_writes);
    let same_primary = primary_unchanged(ctx, request, endpoint);
    ctx.sessions[session].transaction = session_state::TransactionState::Idle;
    if let Err(fault) = &response.outcome {
        request_flow::record_fault(ctx, request, endpoint, fault);
    }
    if response.phase == endpoint_command::SessionPhase::Idle {
        connection_flow::release(ctx, connection);
    } else {
        connection_flow::roll_back(ctx, connection);
    }
    let verdict = match response.outcome {
        Ok(_) if has_writes && !same_primary => {
            let cause = request_verdict::VerdictCause::PrimaryReplaced;
            request_verdict::RequestVerdict::may_have_run(cause)
        }
        Ok(signature) => {
            if has_writes {
                record_commit(ctx, request, response.position);
                let rows = response.rows;
                return receipt_flow::acknowledge(
                    ctx,
                    request,
                    endpoint,
                    response.position,
                    rows,
                    signature,
                );
            }
            let verdict = request_verdict::RequestVerdict::ran();
            return request_flow::finish(ctx, request, response.rows, Some(signature), verdict);
        }
        Err(endpoint_command::EndpointFault::Other { code, text }) => database_error(code, text),
        Err(fault) => {
            request_flow::not_run_verdict(ctx, Some(request), request_flow::cause_of(&fault))
        }
    };
    request_flow::finish(ctx, request, Vec::new(), None, verdict);
}

/// Places the request again after the endpoint no longer knew its prepared statement, so that it is
/// prepared anew.
fn prepare_again(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    if ctx.requests[request].attempts >= ctx.tuning.attempts_max {
        return request_flow::refuse(ctx, request, request_verdict::VerdictCause::NoEndpoint);
    }
    if let Err(cause) = session_flow::check_request(ctx, &ctx.requests[request]) {
        return request_flow::refuse(ctx, request, cause);
    }
    request_flow::place(ctx, request);
}

/// Whether the endpoint has been the recorded primary since the epoch in which the request was sent
/// and this host may use it. Otherwise a failover may discard what the endpoint confirmed.
pub fn primary_unchanged(
    ctx: &proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    endpoint: arena_keys::EndpointKey,
) -> bool {
    let state = &ctx.requests[request];
    let view = &ctx.groups[state.group];
    // During a failover a host may still pass responses on until it has reported that it released
    // the primary.
    let epoch = match view.serving() {
        Some(record) => Some(record.epoch),
        None if view.released_epoch < view.epoch() => Some(view.epoch() - 1),
        None => None,
    };
    let recorded = view.record.as_ref().map(|record| record.primary.as_str());
    let serves = |sent: u64| epoch.is_some_and(|epoch| sent <= epoch);
    state.primary_epoch.is_some_and(|sent| sent >= view.serving_since_epoch && serves(sent))
        && recorded == Some(ctx.endpoints[endpoint].entry.id.as_str())
        && ctx.may_use_primary(state.group)
}

fn database_error(code: String, text: String) -> request_verdict::RequestVerdict {
    let cause = request_verdict::VerdictCause::DatabaseError { sqlstate: code, message: text };
    request_verdict::RequestVerdict::may_have_run(cause)
}

fn record_commit(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    position: Option<endpoint_message::LogPoint>,
) {
    let state = &ctx.requests[request];
    let (session, group) = (state.session, state.group);
    ctx.sessions[session].commits.record(group, position);
    if position.is_some() {
        ctx.sessions[session].position = position;
    }
}

fn count_read(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    if ctx.requests[request].primary_epoch.is_some() {
        ctx.counts.primary_reads += 1;
    } else {
        ctx.counts.replica_reads += 1;
    }
}
