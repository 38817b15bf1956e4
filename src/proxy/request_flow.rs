//! The life of a caller's request: admission, placing, answers, refusals.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::endpoint_message;
use crate::core::request_verdict;
use crate::proxy::connection_flow;
use crate::proxy::endpoint_command;
use crate::proxy::pending_request;
use crate::proxy::placement_policy;
use crate::proxy::proxy_context;
use crate::proxy::rate_limiter;
use crate::proxy::session_flow;
use crate::proxy::session_state;

/// Time for which a replica that lacked a point is left alone at first.
const LAG_PAUSE: Duration = Duration::from_millis(100);
/// Doublings of that time while the replica goes on lacking points.
const LAG_DOUBLINGS_MAX: u32 = 4;
/// When to come back after a refusal for want of a primary.
const PRIMARY_RETRY: Duration = Duration::from_millis(400);
/// When to come back after a refusal by a full queue.
const QUEUE_RETRY: Duration = Duration::from_millis(100);
/// When to come back to the fleet after a refusal by one host.
const HOST_RETRY: Duration = Duration::from_millis(50);

/// Takes up a request that needs an endpoint or a share.
pub fn admit(
    ctx: &mut proxy_context::ProxyContext,
    session: arena_keys::CallerKey,
    id: String,
    kind: pending_request::RequestKind,
) {
    let state = &ctx.sessions[session];
    let within =
        state.open_transaction().map(|transaction| (transaction.route.clone(), transaction.group));
    let checked = session_flow::check_access(ctx, &state.database, &state.digest);
    let (route, group, account) = match (within, checked) {
        (_, Err(cause)) if !keeps_transaction(&cause, state) => {
            return refuse_unadmitted(ctx, session, cause);
        }
        (Some((route, group)), Ok((_, account))) => (route, group, account),
        (Some((route, group)), Err(_)) => {
            let connection =
                state.open_transaction().and_then(|transaction| transaction.connection);
            let account = connection
                .and_then(|connection| ctx.connections.get(connection))
                .and_then(|connection| connection.account);
            (route, group, account)
        }
        (None, Ok((route, account))) => {
            let Some(group) = ctx.group_names.get(&route.group).copied() else {
                let cause = request_verdict::VerdictCause::NoEndpoint;
                return refuse_unadmitted(ctx, session, cause);
            };
            (route, group, account)
        }
        (None, Err(cause)) => return refuse_unadmitted(ctx, session, cause),
    };
    let first = ctx.sessions[session].open_transaction().is_none();
    let deadline = ctx.now.after(route.timeout);
    let request = ctx.requests.insert(pending_request::PendingRequest {
        session,
        id,
        kind,
        route,
        group,
        account,
        arrived: ctx.now,
        deadline,
        attempts: 0,
        avoided: Vec::new(),
        primary_epoch: None,
        phase: pending_request::RequestPhase::AwaitingShare { until: ctx.now },
    });
    ctx.sessions[session].request = Some(request);
    ctx.timers.push(deadline, proxy_context::ProxyTimer::Request(request));
    if first {
        rate_limiter::charge(ctx, request);
    } else {
        on_admitted(ctx, request);
    }
}

/// Moves a job on that was granted its account's share.
pub fn on_admitted(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    let state = &ctx.requests[request];
    if let pending_request::RequestKind::Begin { read_only } = state.kind {
        let transaction = session_state::OpenTransaction {
            read_only,
            route: state.route.clone(),
            group: state.group,
            connection: None,
            has_writes: false,
        };
        ctx.sessions[state.session].transaction =
            session_state::TransactionState::Open(transaction);
        return finish(ctx, request, Vec::new(), None, request_verdict::RequestVerdict::ran());
    }
    place(ctx, request);
}

/// Takes up an endpoint's refusal of what precedes a job's statement on a link.
pub fn on_setup_fault(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    connection: arena_keys::ConnectionKey,
    fault: endpoint_command::EndpointFault,
) {
    let endpoint = ctx.connections[connection].endpoint;
    let pinned = ctx.connections[connection].pinned.is_some();
    record_fault(ctx, request, endpoint, &fault);
    let clean = matches!(
        fault,
        endpoint_command::EndpointFault::Busy
            | endpoint_command::EndpointFault::Lagging
            | endpoint_command::EndpointFault::ReadOnly
    );
    if pinned {
        return lose_transaction(ctx, request, connection);
    }
    // The job has no link while another place is sought.
    ctx.requests[request].phase = pending_request::RequestPhase::AwaitingShare { until: ctx.now };
    if clean {
        connection_flow::release(ctx, connection);
    } else {
        connection_flow::close(ctx, connection, "discarded");
    }
    retry_elsewhere(ctx, request, endpoint, cause_of(&fault));
}

/// Takes up the loss of the link that a job had.
pub fn on_connection_lost(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
) {
    let Some(state) = ctx.requests.get(request) else { return };
    let sent = state.sent();
    let within = ctx.sessions[state.session].open_transaction().cloned();
    let commit = state.kind == pending_request::RequestKind::Commit;
    let cause = request_verdict::VerdictCause::ConnectionLost;
    match within {
        Some(transaction) if commit && sent => {
            ctx.sessions[state.session].transaction = session_state::TransactionState::Idle;
            // Without a write there is nothing that could be kept.
            let verdict = if transaction.has_writes {
                request_verdict::RequestVerdict::may_have_run(cause)
            } else {
                not_run_verdict(ctx, Some(request), request_verdict::VerdictCause::TransactionLost)
            };
            finish(ctx, request, Vec::new(), None, verdict);
        }
        Some(transaction) if transaction.connection.is_some() || sent => {
            ctx.sessions[state.session].transaction = session_state::TransactionState::Failed;
            let verdict =
                not_run_verdict(ctx, Some(request), request_verdict::VerdictCause::TransactionLost);
            finish(ctx, request, Vec::new(), None, verdict);
        }
        _ if sent && !state.reads() => {
            let verdict = request_verdict::RequestVerdict::may_have_run(cause);
            finish(ctx, request, Vec::new(), None, verdict);
        }
        _ => again(ctx, request, cause),
    }
}

/// Sends a job that surely did not run, or only reads, to another endpoint, or refuses it.
pub fn retry_elsewhere(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    endpoint: arena_keys::EndpointKey,
    cause: request_verdict::VerdictCause,
) {
    let Some(state) = ctx.requests.get_mut(request) else { return };
    state.avoided.push(endpoint);
    again(ctx, request, cause);
}

/// Acts on a job whose time limits may have passed.
pub fn on_timer(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    let Some(state) = ctx.requests.get(request) else { return };
    let now = ctx.now;
    match state.phase {
        pending_request::RequestPhase::AwaitingShare { until } if now >= until => {
            refuse(ctx, request, request_verdict::VerdictCause::OverRate);
        }
        pending_request::RequestPhase::Queued { endpoint, until } if now >= until => {
            if now < state.deadline && state.attempts + 1 < ctx.tuning.attempts_max {
                ctx.endpoints[endpoint].queue.retain(|waiting| *waiting != request);
                ctx.requests[request].attempts += 1;
                return retry_elsewhere(
                    ctx,
                    request,
                    endpoint,
                    request_verdict::VerdictCause::QueueFull,
                );
            }
            refuse(ctx, request, request_verdict::VerdictCause::QueueFull);
        }
        pending_request::RequestPhase::Running { connection, sent } if now >= state.deadline => {
            time_out(ctx, request, connection, sent);
        }
        _ => {}
    }
}

/// Drops a job whose caller has gone.
pub fn cancel(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    leave_queues(ctx, request);
    if let Some(state) = ctx.requests.remove(request)
        && let pending_request::RequestPhase::Running { connection, .. } = state.phase
    {
        connection_flow::close(ctx, connection, "discarded");
    }
}

/// Ends a session's transaction that has no request under way.
pub fn fail_transaction(
    ctx: &mut proxy_context::ProxyContext,
    session: arena_keys::CallerKey,
    cause: &str,
) {
    let Some(state) = ctx.sessions.get_mut(session) else { return };
    if state.open_transaction().is_none() {
        return;
    }
    let caller = state.caller;
    state.transaction = session_state::TransactionState::Failed;
    ctx.log_limited(|| format!("event=transaction_ended caller={caller} cause={cause}"));
}

/// Leaves a session's open transaction for `phase`, and rolls it back on its link.
pub fn end_transaction(
    ctx: &mut proxy_context::ProxyContext,
    session: arena_keys::CallerKey,
    phase: session_state::TransactionState,
) {
    let connection =
        ctx.sessions[session].open_transaction().and_then(|transaction| transaction.connection);
    ctx.sessions[session].transaction = phase;
    if let Some(connection) = connection {
        connection_flow::roll_back(ctx, connection);
    }
}

/// Returns what a transaction is after one of its requests failed: a COMMIT ends it for its caller,
/// too.
fn ended_phase(
    ctx: &proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
) -> session_state::TransactionState {
    match ctx.requests[request].kind {
        pending_request::RequestKind::Commit => session_state::TransactionState::Idle,
        _ => session_state::TransactionState::Failed,
    }
}

/// Gives a job its final answer for a cause that kept it from running.
pub fn refuse(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    cause: request_verdict::VerdictCause,
) {
    let verdict = not_run_verdict(ctx, Some(request), cause);
    let session = ctx.requests[request].session;
    if ctx.sessions[session].open_transaction().is_some() {
        let phase = ended_phase(ctx, request);
        end_transaction(ctx, session, phase);
    }
    finish(ctx, request, Vec::new(), None, verdict);
}

/// Gives a job whose primary is being replaced its final answer.
pub fn abort(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    let Some(state) = ctx.requests.get(request) else { return };
    let pending_request::RequestPhase::Running { connection, sent } = state.phase else { return };
    let commit = state.kind == pending_request::RequestKind::Commit;
    let within = ctx.sessions[state.session].open_transaction().is_some();
    let keeps = sent && (commit || !within) && !state.reads();
    let session = state.session;
    if within {
        ctx.sessions[session].transaction = ended_phase(ctx, request);
    }
    connection_flow::close(ctx, connection, "discarded");
    let verdict = if keeps {
        let cause = request_verdict::VerdictCause::PrimaryReplaced;
        request_verdict::RequestVerdict::may_have_run(cause)
    } else {
        not_run_verdict(ctx, Some(request), request_verdict::VerdictCause::TransactionLost)
    };
    finish(ctx, request, Vec::new(), None, verdict);
}

/// Returns the log point that `endpoint` must hold for what the job reads; `None` when it leads or
/// nothing is read.
pub fn required_point(
    ctx: &proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    endpoint: arena_keys::EndpointKey,
) -> Option<endpoint_message::LogPoint> {
    let group = ctx.requests[request].group;
    if placement_policy::needs_primary(ctx, request) || ctx.usable_primary(group) == Some(endpoint)
    {
        return None;
    }
    placement_policy::read_point(ctx, request)
}

/// Returns the verdict for a cause that kept a request from running, with when to come back.
pub fn not_run_verdict(
    ctx: &mut proxy_context::ProxyContext,
    request: Option<arena_keys::StatementKey>,
    cause: request_verdict::VerdictCause,
) -> request_verdict::RequestVerdict {
    let wait = match &cause {
        request_verdict::VerdictCause::OverRate => request
            .and_then(|request| ctx.requests[request].account)
            .map(|account| rate_limiter::retry_after(ctx, account)),
        request_verdict::VerdictCause::ShareClosed => Some(rate_limiter::SKIP_SPAN),
        request_verdict::VerdictCause::NoPrimary => Some(PRIMARY_RETRY),
        request_verdict::VerdictCause::NoEndpoint
        | request_verdict::VerdictCause::QueueFull
        | request_verdict::VerdictCause::TransactionLost
        | request_verdict::VerdictCause::ConnectionLost => Some(QUEUE_RETRY),
        request_verdict::VerdictCause::Draining | request_verdict::VerdictCause::ConfigMissing => {
            Some(HOST_RETRY)
        }
        _ => None,
    };
    let wait = wait.map(|wait| ctx.with_jitter(wait));
    request_verdict::RequestVerdict::not_run(cause, wait)
}

/// Whether a transaction that was begun goes on although new ones would be refused: a changed
/// route holds from the next transaction on, a withdrawn key at once.
fn keeps_transaction(
    cause: &request_verdict::VerdictCause,
    state: &session_state::SessionState,
) -> bool {
    let route_gone = matches!(cause, request_verdict::VerdictCause::RuleDenied { .. });
    route_gone && state.open_transaction().is_some()
}

/// Refuses a request before it became a job.
fn refuse_unadmitted(
    ctx: &mut proxy_context::ProxyContext,
    session: arena_keys::CallerKey,
    cause: request_verdict::VerdictCause,
) {
    if ctx.sessions[session].open_transaction().is_some() {
        end_transaction(ctx, session, session_state::TransactionState::Failed);
    }
    let verdict = not_run_verdict(ctx, None, cause);
    let caller = ctx.sessions[session].caller;
    let text = verdict.message();
    ctx.log_limited(|| format!("event=request_refused caller={caller} cause={text:?}"));
    session_flow::respond(ctx, session, Vec::new(), None, verdict);
}

/// Seeks an endpoint for a job, or refuses it.
pub fn place(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    let session = ctx.requests[request].session;
    let held =
        ctx.sessions[session].open_transaction().and_then(|transaction| transaction.connection);
    if let Some(connection) = held {
        if ctx.connections.get(connection).is_some_and(|view| view.pinned == Some(session)) {
            connection_flow::dispatch(ctx, connection, request);
            return;
        }
        return refuse(ctx, request, request_verdict::VerdictCause::TransactionLost);
    }
    let placed = placement_policy::choose_endpoint(ctx, request)
        .and_then(|endpoint| connection_flow::acquire(ctx, endpoint, request));
    if let Err(cause) = placed {
        refuse(ctx, request, cause);
    }
}

fn again(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    cause: request_verdict::VerdictCause,
) {
    let Some(state) = ctx.requests.get_mut(request) else { return };
    state.phase = pending_request::RequestPhase::AwaitingShare { until: ctx.now };
    if state.attempts >= ctx.tuning.attempts_max || ctx.now >= state.deadline {
        return refuse(ctx, request, cause);
    }
    let needs_primary = placement_policy::needs_primary(ctx, request);
    if needs_primary {
        // There is only one primary to go to, and it has just said no.
        return refuse(ctx, request, cause);
    }
    ctx.counts.retries += 1;
    place(ctx, request);
}

/// Ends the transaction of a job whose link refused what precedes its statement.
fn lose_transaction(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    connection: arena_keys::ConnectionKey,
) {
    connection_flow::close(ctx, connection, "discarded");
    let session = ctx.requests[request].session;
    ctx.sessions[session].transaction = session_state::TransactionState::Failed;
    let verdict =
        not_run_verdict(ctx, Some(request), request_verdict::VerdictCause::TransactionLost);
    finish(ctx, request, Vec::new(), None, verdict);
}

fn time_out(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    connection: arena_keys::ConnectionKey,
    sent: bool,
) {
    let session = ctx.requests[request].session;
    if ctx.sessions[session].open_transaction().is_some() {
        ctx.sessions[session].transaction = ended_phase(ctx, request);
    }
    connection_flow::close(ctx, connection, "timed_out");
    let cause = request_verdict::VerdictCause::DeadlinePassed;
    let verdict = match sent {
        true => request_verdict::RequestVerdict::may_have_run(cause),
        false => not_run_verdict(ctx, Some(request), request_verdict::VerdictCause::QueueFull),
    };
    finish(ctx, request, Vec::new(), None, verdict);
}

/// Gives a job its final answer.
pub fn finish(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    rows: Vec<String>,
    signature: Option<String>,
    verdict: request_verdict::RequestVerdict,
) {
    leave_queues(ctx, request);
    let Some(state) = ctx.requests.remove(request) else { return };
    count(ctx, &state, &verdict);
    session_flow::respond(ctx, state.session, rows, signature, verdict);
}

fn leave_queues(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    let Some(state) = ctx.requests.get(request) else { return };
    match state.phase {
        pending_request::RequestPhase::AwaitingShare { .. } => {
            if let Some(account) = state.account {
                ctx.accounts[account].waiting.retain(|waiting| *waiting != request);
            }
        }
        pending_request::RequestPhase::Queued { endpoint, .. } => {
            ctx.endpoints[endpoint].queue.retain(|waiting| *waiting != request);
        }
        pending_request::RequestPhase::Running { .. } => {}
    }
}

/// Notes what an endpoint's refusal says of it.
pub fn record_fault(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    endpoint: arena_keys::EndpointKey,
    fault: &endpoint_command::EndpointFault,
) {
    let now = ctx.now;
    match fault {
        endpoint_command::EndpointFault::Lagging => {
            let doublings = ctx.endpoints[endpoint].lag_count.min(LAG_DOUBLINGS_MAX);
            let pause = ctx.with_jitter(LAG_PAUSE * (1 << doublings));
            let view = &mut ctx.endpoints[endpoint];
            view.lag_count += 1;
            view.lagging_until = now.after(pause);
        }
        endpoint_command::EndpointFault::ReadOnly => {
            let group = ctx.endpoints[endpoint].group;
            if ctx.usable_primary(group) == Some(endpoint) {
                ctx.groups[group].leadership_lost = true;
            }
        }
        _ => {}
    }
    let id = ctx.requests[request].id.clone();
    let name = ctx.endpoints[endpoint].entry.id.clone();
    let attempts = ctx.requests[request].attempts;
    let held = ctx.endpoints[endpoint].position;
    let needed = placement_policy::read_point(ctx, request);
    ctx.log_limited(|| {
        format!(
            "event=endpoint_fault request={id} endpoint={name} attempt={attempts} fault={fault:?} held={held:?} needed={needed:?}"
        )
    });
}

/// Returns the cause that callers are told for a refusal of an endpoint.
pub fn cause_of(fault: &endpoint_command::EndpointFault) -> request_verdict::VerdictCause {
    match fault {
        endpoint_command::EndpointFault::Busy => request_verdict::VerdictCause::QueueFull,
        endpoint_command::EndpointFault::ReadOnly => request_verdict::VerdictCause::NoPrimary,
        _ => request_verdict::VerdictCause::NoEndpoint,
    }
}

fn count(
    ctx: &mut proxy_context::ProxyContext,
    state: &pending_request::PendingRequest,
    verdict: &request_verdict::RequestVerdict,
) {
    let account = state.account.map(|account| ctx.accounts[account].name.clone());
    let account = account.unwrap_or_default();
    if verdict.fate == request_verdict::RequestFate::Ran {
        let latency = ctx.now.since(state.arrived);
        ctx.latencies.record(&account, latency);
        let (route, request) = (state.route.kind.name(), state.kind.name());
        ctx.kind_latencies.record(&format!("{route} {request}"), latency);
        *ctx.counts.served_kinds.entry((route, request)).or_default() += 1;
        *ctx.counts.served.entry(account).or_default() += 1;
        return;
    }
    let cause = format!("{:?}", verdict.cause);
    let cause = cause.split([' ', '{']).next().unwrap_or_default().to_owned();
    let passed = ctx.now.since(state.arrived).as_millis();
    let (id, phase, attempts) = (state.id.clone(), state.phase.name(), state.attempts);
    let (database, fate) = (state.route.database.clone(), verdict.fate);
    let version = ctx.config.as_ref().map_or(0, |config| config.version);
    let view = &ctx.groups[state.group];
    let (group, epoch) = (view.name.clone(), view.epoch());
    let serving = view.serving().is_some();
    let may_use_primary = ctx.may_use_primary(state.group);
    let retry = verdict.retry_after.map_or(0, |wait| wait.as_millis());
    let store_age = ctx.now.since(ctx.store.last_reply_at).as_millis();
    let record_age = ctx.now.since(view.learned_at).as_millis();
    ctx.log_limited(|| {
        format!(
            "event=request_unserved request={id} account={account} database={database} \
             group={group} epoch={epoch} serving={serving} permitted={may_use_primary} record_age_ms={record_age} \
             store_age_ms={store_age} version={version} \
             phase={phase} attempts={attempts} age_ms={passed} fate={fate:?} cause={cause} \
             retry_ms={retry}"
        )
    });
    *ctx.counts.unserved.entry((account, cause)).or_default() += 1;
}
