//! Answers of endpoints to callers' statements: what they mean for session, transaction and link.

use crate::core::arena_keys;
use crate::core::endpoint_message;
use crate::core::request_verdict;
use crate::proxy::connection_flow;
use crate::proxy::endpoint_command;
use crate::proxy::pending_request;
use crate::proxy::proxy_context;
use crate::proxy::request_flow;
use crate::proxy::session_state;

/// Takes up the endpoint's answer to a job's own statement.
pub fn on_statement_response(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    connection: arena_keys::ConnectionKey,
    answer: endpoint_command::EndpointResponse,
) {
    let state = &ctx.requests[request];
    let commit = state.kind == pending_request::RequestKind::Commit;
    let single = ctx.sessions[state.session].open_transaction().is_none();
    if commit {
        on_commit(ctx, request, connection, answer);
    } else if single {
        on_single(ctx, request, connection, answer);
    } else {
        on_within(ctx, request, connection, answer);
    }
}

fn on_single(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    connection: arena_keys::ConnectionKey,
    answer: endpoint_command::EndpointResponse,
) {
    let endpoint = ctx.connections[connection].endpoint;
    let reads = ctx.requests[request].reads();
    if let Err(fault) = &answer.outcome {
        request_flow::record_fault(ctx, request, endpoint, fault);
    }
    let unknown = answer.outcome == Err(endpoint_command::EndpointFault::UnknownStatement);
    if unknown {
        ctx.connections[connection].prepared.clear();
    }
    let lasting = lasting_primary(ctx, request, endpoint);
    // The job has no link any more when the link serves the next one.
    ctx.requests[request].phase = pending_request::RequestPhase::AwaitingShare { until: ctx.now };
    if answer.phase == endpoint_command::SessionPhase::Idle {
        connection_flow::release(ctx, connection);
    } else {
        connection_flow::close(ctx, connection, "discarded");
    }
    match answer.outcome {
        Ok(_) if !reads && !lasting => {
            let cause = request_verdict::VerdictCause::PrimaryReplaced;
            let verdict = request_verdict::RequestVerdict::may_have_run(cause);
            request_flow::finish(ctx, request, Vec::new(), None, verdict);
        }
        Ok(signature) => {
            if reads {
                ctx.endpoints[endpoint].lag_count = 0;
                count_read(ctx, request);
            } else {
                mark(ctx, request, answer.position);
            }
            let verdict = request_verdict::RequestVerdict::ran();
            request_flow::finish(ctx, request, answer.rows, Some(signature), verdict);
        }
        Err(endpoint_command::EndpointFault::Other { code, text }) => {
            request_flow::finish(ctx, request, Vec::new(), None, failed(code, text));
        }
        Err(endpoint_command::EndpointFault::UnknownStatement) => {
            again_same(ctx, request);
        }
        Err(fault) => {
            request_flow::retry_elsewhere(ctx, request, endpoint, request_flow::cause_of(&fault))
        }
    }
}

fn on_within(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    connection: arena_keys::ConnectionKey,
    answer: endpoint_command::EndpointResponse,
) {
    let session = ctx.requests[request].session;
    let reads = ctx.requests[request].reads();
    let endpoint = ctx.connections[connection].endpoint;
    match answer.outcome {
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
            request_flow::finish(ctx, request, answer.rows, Some(signature), verdict);
        }
        Err(fault) => {
            request_flow::record_fault(ctx, request, endpoint, &fault);
            ctx.sessions[session].transaction = session_state::TransactionState::Failed;
            connection_flow::roll_back(ctx, connection);
            let verdict = match fault {
                endpoint_command::EndpointFault::Other { code, text } => failed(code, text),
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

fn on_commit(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    connection: arena_keys::ConnectionKey,
    answer: endpoint_command::EndpointResponse,
) {
    let session = ctx.requests[request].session;
    let endpoint = ctx.connections[connection].endpoint;
    let has_writes =
        ctx.sessions[session].open_transaction().is_some_and(|transaction| transaction.has_writes);
    let lasting = lasting_primary(ctx, request, endpoint);
    ctx.sessions[session].transaction = session_state::TransactionState::Idle;
    if let Err(fault) = &answer.outcome {
        request_flow::record_fault(ctx, request, endpoint, fault);
    }
    if answer.phase == endpoint_command::SessionPhase::Idle {
        connection_flow::release(ctx, connection);
    } else {
        connection_flow::roll_back(ctx, connection);
    }
    let verdict = match answer.outcome {
        Ok(_) if has_writes && !lasting => {
            let cause = request_verdict::VerdictCause::PrimaryReplaced;
            request_verdict::RequestVerdict::may_have_run(cause)
        }
        Ok(signature) => {
            if has_writes {
                mark(ctx, request, answer.position);
            }
            let verdict = request_verdict::RequestVerdict::ran();
            return request_flow::finish(ctx, request, answer.rows, Some(signature), verdict);
        }
        Err(endpoint_command::EndpointFault::Other { code, text }) => failed(code, text),
        Err(fault) => {
            request_flow::not_run_verdict(ctx, Some(request), request_flow::cause_of(&fault))
        }
    };
    request_flow::finish(ctx, request, Vec::new(), None, verdict);
}

/// Runs a job again whose prepared statement the link had lost.
fn again_same(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    if ctx.requests[request].attempts >= ctx.tuning.attempts_max {
        return request_flow::refuse(ctx, request, request_verdict::VerdictCause::NoEndpoint);
    }
    request_flow::place(ctx, request);
}

/// Whether the primary that a job went to is still in force, so that what it kept counts.
fn lasting_primary(
    ctx: &proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    endpoint: arena_keys::EndpointKey,
) -> bool {
    let state = &ctx.requests[request];
    let view = &ctx.groups[state.group];
    // A host that was told to stop may still pass answers on until it has said that it stopped.
    let epoch = match view.serving() {
        Some(record) => Some(record.epoch),
        None if view.released_epoch < view.epoch() => Some(view.epoch() - 1),
        None => None,
    };
    let recorded = view.record.as_ref().map(|record| record.primary.as_str());
    state.primary_epoch.is_some()
        && state.primary_epoch == epoch
        && recorded == Some(ctx.endpoints[endpoint].entry.id.as_str())
        && ctx.may_use_primary(state.group)
}

fn failed(code: String, text: String) -> request_verdict::RequestVerdict {
    let cause = request_verdict::VerdictCause::DatabaseError { sqlstate: code, message: text };
    request_verdict::RequestVerdict::may_have_run(cause)
}

fn mark(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    position: Option<endpoint_message::LogPoint>,
) {
    let state = &ctx.requests[request];
    let (session, group) = (state.session, state.group);
    if let Some(point) = position {
        ctx.sessions[session].mark = Some((group, point));
        ctx.sessions[session].position = Some(point);
    }
}

fn count_read(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    if ctx.requests[request].primary_epoch.is_some() {
        ctx.counts.primary_reads += 1;
    } else {
        ctx.counts.replica_reads += 1;
    }
}
