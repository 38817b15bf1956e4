//! Handles endpoints' responses to callers' statements: updates the session and its transaction,
//! releases the connection, and responds to the caller or retries the request.

use crate::core::arena_keys;
use crate::core::endpoint_message;
use crate::core::request_verdict;
use crate::proxy::endpoint_command;
use crate::proxy::job_state;
use crate::proxy::link_flow;
use crate::proxy::operation_flow;
use crate::proxy::proxy_context;
use crate::proxy::session_state;

/// Handles the endpoint's response to the request's own statement or COMMIT.
pub fn on_answer(
    ctx: &mut proxy_context::ProxyContext,
    job: arena_keys::StatementKey,
    link: arena_keys::ConnectionKey,
    answer: endpoint_command::EndpointAnswer,
) {
    let state = &ctx.jobs[job];
    let commit = state.kind == job_state::JobKind::Commit;
    let standalone = ctx.sessions[state.session].open_work().is_none();
    if commit {
        on_commit_response(ctx, job, link, answer);
    } else if standalone {
        on_standalone_response(ctx, job, link, answer);
    } else {
        on_response_in_transaction(ctx, job, link, answer);
    }
}

fn on_standalone_response(
    ctx: &mut proxy_context::ProxyContext,
    job: arena_keys::StatementKey,
    link: arena_keys::ConnectionKey,
    answer: endpoint_command::EndpointAnswer,
) {
    let endpoint = ctx.links[link].endpoint;
    let reads = ctx.jobs[job].reads();
    if let Err(fault) = &answer.outcome {
        operation_flow::note_fault(ctx, job, endpoint, fault);
    }
    let unknown_statement = answer.outcome == Err(endpoint_command::EndpointFault::UnknownName);
    if unknown_statement {
        ctx.links[link].prepared.clear();
    }
    let same_primary = primary_unchanged(ctx, job, endpoint);
    // Detach the request first: releasing the connection may start the next queued request on it.
    ctx.jobs[job].phase = job_state::JobPhase::AwaitShare { until: ctx.now };
    if answer.phase == endpoint_command::SessionPhase::Idle {
        link_flow::release(ctx, link);
    } else {
        link_flow::close(ctx, link, "discarded");
    }
    match answer.outcome {
        Ok(_) if !reads && !same_primary => {
            let cause = request_verdict::VerdictCause::PrimaryReplaced;
            let verdict = request_verdict::RequestVerdict::may_have_run(cause);
            operation_flow::finish(ctx, job, Vec::new(), None, verdict);
        }
        Ok(signature) => {
            if reads {
                ctx.endpoints[endpoint].lags = 0;
                count_read(ctx, job);
            } else {
                record_commit(ctx, job, answer.position);
            }
            let verdict = request_verdict::RequestVerdict::ran();
            operation_flow::finish(ctx, job, answer.rows, Some(signature), verdict);
        }
        Err(endpoint_command::EndpointFault::Other { code, text }) => {
            operation_flow::finish(ctx, job, Vec::new(), None, database_error(code, text));
        }
        Err(endpoint_command::EndpointFault::UnknownName) => {
            prepare_again(ctx, job);
        }
        Err(fault) => {
            operation_flow::try_elsewhere(ctx, job, endpoint, operation_flow::cause_of(&fault))
        }
    }
}

fn on_response_in_transaction(
    ctx: &mut proxy_context::ProxyContext,
    job: arena_keys::StatementKey,
    link: arena_keys::ConnectionKey,
    answer: endpoint_command::EndpointAnswer,
) {
    let session = ctx.jobs[job].session;
    let reads = ctx.jobs[job].reads();
    let endpoint = ctx.links[link].endpoint;
    match answer.outcome {
        Ok(signature) => {
            if let session_state::WorkPhase::Open(work) = &mut ctx.sessions[session].work {
                work.link = Some(link);
                work.wrote |= !reads;
            }
            link_flow::pin(ctx, link, session);
            if reads {
                count_read(ctx, job);
            }
            let verdict = request_verdict::RequestVerdict::ran();
            operation_flow::finish(ctx, job, answer.rows, Some(signature), verdict);
        }
        Err(fault) => {
            operation_flow::note_fault(ctx, job, endpoint, &fault);
            ctx.sessions[session].work = session_state::WorkPhase::Failed;
            link_flow::roll_back(ctx, link);
            let verdict = match fault {
                endpoint_command::EndpointFault::Other { code, text } => database_error(code, text),
                endpoint_command::EndpointFault::UnknownName => operation_flow::refusal(
                    ctx,
                    Some(job),
                    request_verdict::VerdictCause::TransactionLost,
                ),
                fault => operation_flow::refusal(ctx, Some(job), operation_flow::cause_of(&fault)),
            };
            operation_flow::finish(ctx, job, Vec::new(), None, verdict);
        }
    }
}

fn on_commit_response(
    ctx: &mut proxy_context::ProxyContext,
    job: arena_keys::StatementKey,
    link: arena_keys::ConnectionKey,
    answer: endpoint_command::EndpointAnswer,
) {
    let session = ctx.jobs[job].session;
    let endpoint = ctx.links[link].endpoint;
    let wrote = ctx.sessions[session].open_work().is_some_and(|work| work.wrote);
    let same_primary = primary_unchanged(ctx, job, endpoint);
    ctx.sessions[session].work = session_state::WorkPhase::Idle;
    if let Err(fault) = &answer.outcome {
        operation_flow::note_fault(ctx, job, endpoint, fault);
    }
    if answer.phase == endpoint_command::SessionPhase::Idle {
        link_flow::release(ctx, link);
    } else {
        link_flow::roll_back(ctx, link);
    }
    let verdict = match answer.outcome {
        Ok(_) if wrote && !same_primary => {
            let cause = request_verdict::VerdictCause::PrimaryReplaced;
            request_verdict::RequestVerdict::may_have_run(cause)
        }
        Ok(signature) => {
            if wrote {
                record_commit(ctx, job, answer.position);
            }
            let verdict = request_verdict::RequestVerdict::ran();
            return operation_flow::finish(ctx, job, answer.rows, Some(signature), verdict);
        }
        Err(endpoint_command::EndpointFault::Other { code, text }) => database_error(code, text),
        Err(fault) => operation_flow::refusal(ctx, Some(job), operation_flow::cause_of(&fault)),
    };
    operation_flow::finish(ctx, job, Vec::new(), None, verdict);
}

/// Places the request again after the endpoint no longer knew its prepared statement, so that it is
/// prepared anew.
fn prepare_again(ctx: &mut proxy_context::ProxyContext, job: arena_keys::StatementKey) {
    if ctx.jobs[job].attempts >= ctx.tuning.attempts_max {
        return operation_flow::refuse(ctx, job, request_verdict::VerdictCause::NoEndpoint);
    }
    operation_flow::place(ctx, job);
}

/// Whether the endpoint is still the recorded primary of the epoch in which the request was sent
/// and this host may use it. Otherwise a failover may discard what the endpoint confirmed.
fn primary_unchanged(
    ctx: &proxy_context::ProxyContext,
    job: arena_keys::StatementKey,
    endpoint: arena_keys::EndpointKey,
) -> bool {
    let state = &ctx.jobs[job];
    let view = &ctx.groups[state.group];
    // During a failover a host may still pass responses on until it has reported that it released
    // the primary.
    let epoch = match view.serving() {
        Some(record) => Some(record.epoch),
        None if view.stopped_epoch < view.epoch() => Some(view.epoch() - 1),
        None => None,
    };
    let recorded = view.record.as_ref().map(|record| record.primary.as_str());
    state.primary_epoch.is_some()
        && state.primary_epoch == epoch
        && recorded == Some(ctx.endpoints[endpoint].entry.id.as_str())
        && ctx.permitted(state.group)
}

fn database_error(code: String, text: String) -> request_verdict::RequestVerdict {
    let cause = request_verdict::VerdictCause::DatabaseError { sqlstate: code, message: text };
    request_verdict::RequestVerdict::may_have_run(cause)
}

fn record_commit(
    ctx: &mut proxy_context::ProxyContext,
    job: arena_keys::StatementKey,
    position: Option<endpoint_message::LogPoint>,
) {
    let state = &ctx.jobs[job];
    let (session, group) = (state.session, state.group);
    if let Some(point) = position {
        ctx.sessions[session].last_commit = Some((group, point));
        ctx.sessions[session].position = Some(point);
    }
}

fn count_read(ctx: &mut proxy_context::ProxyContext, job: arena_keys::StatementKey) {
    if ctx.jobs[job].primary_epoch.is_some() {
        ctx.counts.primary_reads += 1;
    } else {
        ctx.counts.replica_reads += 1;
    }
}
