//! Life cycle of a caller's request: admission, placement, retries, deadlines and the verdict.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::endpoint_message;
use crate::core::request_verdict;
use crate::proxy::connection_flow;
use crate::proxy::endpoint_command;
use crate::proxy::pending_request;
use crate::proxy::placement_policy;
use crate::proxy::pool_client;
use crate::proxy::primary_wait;
use crate::proxy::proxy_config;
use crate::proxy::proxy_context;
use crate::proxy::rate_limiter;
use crate::proxy::receipt_flow;
use crate::proxy::return_schedule;
use crate::proxy::session_flow;
use crate::proxy::session_state;

/// Initial back-off before a replica that lacked a log point is tried again for such points.
const LAG_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum number of times the back-off is doubled while the replica keeps lagging.
const LAG_BACKOFF_DOUBLINGS_MAX: u32 = 4;
/// Time below which a refusal counts as given at once.
const AT_ONCE: Duration = Duration::from_millis(1);

/// Admits a request: checks access, sets its deadline and charges it to the account's share.
/// Requests inside an open transaction are not charged.
pub fn admit(
    ctx: &mut proxy_context::ProxyContext,
    session: arena_keys::CallerKey,
    id: String,
    kind: pending_request::RequestKind,
) {
    let (route, group, account) = match find_access(ctx, &ctx.sessions[session]) {
        Ok(access) => access,
        Err(cause) => return refuse_unadmitted(ctx, session, &kind, cause),
    };
    let charged = ctx.sessions[session].open_transaction().is_none();
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
        lease: None,
        primary_epoch: None,
        acknowledgement: None,
        phase: pending_request::RequestPhase::AwaitingShare { until: ctx.now },
    });
    ctx.sessions[session].request = Some(request);
    ctx.timers.push(deadline, proxy_context::ProxyTimer::Request(request));
    if charged {
        rate_limiter::charge(ctx, request);
    } else {
        on_admitted(ctx, request);
    }
}

/// Returns the route, the group and the account of the session's next request. An open transaction
/// keeps those that it began with.
fn find_access(
    ctx: &proxy_context::ProxyContext,
    state: &session_state::SessionState,
) -> Result<
    (proxy_config::RouteObject, arena_keys::GroupKey, Option<arena_keys::AccountKey>),
    request_verdict::VerdictCause,
> {
    if let Some(transaction) = state.open_transaction() {
        session_flow::check_transaction(ctx, transaction, &state.digest)?;
        return Ok((transaction.route.clone(), transaction.group, transaction.account));
    }
    let (route, account) = session_flow::check_access(ctx, &state.database, &state.digest)?;
    let group = ctx.group_names.get(&route.group).copied();
    let group = group.ok_or(request_verdict::VerdictCause::NoEndpoint)?;
    Ok((route, group, account))
}

/// Continues a request that the account's share covers: completes a BEGIN at once and places any
/// other request on an endpoint.
pub fn on_admitted(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    let state = &ctx.requests[request];
    if let pending_request::RequestKind::Begin { read_only } = state.kind {
        let transaction = session_state::OpenTransaction {
            read_only,
            route: state.route.clone(),
            group: state.group,
            account: state.account,
            connection: None,
            has_writes: false,
        };
        ctx.sessions[state.session].transaction =
            session_state::TransactionState::Open(transaction);
        return finish(ctx, request, Vec::new(), None, request_verdict::RequestVerdict::ran());
    }
    place(ctx, request);
}

/// Handles an endpoint's fault in a command that was sent ahead of the request's statement, such as
/// a session setting, PREPARE or BEGIN.
pub fn on_setup_fault(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    connection: arena_keys::ConnectionKey,
    fault: endpoint_command::EndpointFault,
) {
    let endpoint = ctx.connections[connection].endpoint;
    let pinned = ctx.connections[connection].pinned.is_some();
    record_fault(ctx, request, endpoint, &fault);
    let connection_reusable = matches!(
        fault,
        endpoint_command::EndpointFault::Busy
            | endpoint_command::EndpointFault::Lagging
            | endpoint_command::EndpointFault::ReadOnly
    );
    if pinned {
        return abort_transaction(ctx, request, connection);
    }
    // Detach the request from the connection while another endpoint is chosen.
    ctx.requests[request].phase = pending_request::RequestPhase::AwaitingShare { until: ctx.now };
    if connection_reusable {
        connection_flow::release(ctx, connection);
    } else {
        connection_flow::close(ctx, connection, "discarded");
    }
    retry_elsewhere(ctx, request, endpoint, cause_of(&fault));
}

/// Handles the loss of the connection that a request was using. A write, or a COMMIT after writes,
/// may have run if it was sent. Any other transaction is lost, and any other request is retried.
pub fn on_connection_lost(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
) {
    end_or_retry(ctx, request, false);
}

/// Handles the loss of the link to the serving host whose connection a request was using. It has
/// the same outcome, but the endpoint is still there to retry the request.
pub fn on_link_lost(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    end_or_retry(ctx, request, true);
}

/// Handles a request on whose connection it is in doubt which response belongs to which command.
pub fn on_order_lost(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    end_or_retry(ctx, request, true);
}

fn end_or_retry(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    endpoint_usable: bool,
) {
    let Some(state) = ctx.requests.get(request) else { return };
    let sent = state.sent();
    let in_transaction = ctx.sessions[state.session].open_transaction().cloned();
    let commit = state.kind == pending_request::RequestKind::Commit;
    let cause = request_verdict::VerdictCause::ConnectionLost;
    match in_transaction {
        Some(transaction) if commit && sent => {
            ctx.sessions[state.session].transaction = session_state::TransactionState::Idle;
            // A transaction without writes has nothing to commit.
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
        _ => retry_or_refuse(ctx, request, cause, endpoint_usable),
    }
}

/// Moves a request that certainly did not run, or only reads, to another endpoint, or refuses it
/// with `cause`.
pub fn retry_elsewhere(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    endpoint: arena_keys::EndpointKey,
    cause: request_verdict::VerdictCause,
) {
    let Some(state) = ctx.requests.get_mut(request) else { return };
    state.avoided.push(endpoint);
    retry_or_refuse(ctx, request, cause, false);
}

/// Checks whether the request's wait or deadline has passed, and moves it, refuses it or times it
/// out.
pub fn on_timer(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    let Some(state) = ctx.requests.get(request) else { return };
    let now = ctx.now;
    match state.phase {
        pending_request::RequestPhase::AwaitingShare { until } if now >= until => {
            refuse(ctx, request, request_verdict::VerdictCause::OverRate);
        }
        pending_request::RequestPhase::AwaitingPrimary { until } if now >= until => {
            ctx.counts.primary_waits_expired += 1;
            refuse(ctx, request, request_verdict::VerdictCause::NoPrimary);
        }
        pending_request::RequestPhase::Queued { endpoint, until } if now >= until => {
            if now < state.deadline && state.attempts + 1 < ctx.tuning.attempts_max {
                leave_queue(ctx, request);
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
        pending_request::RequestPhase::AwaitingReceipts if now >= state.deadline => {
            let cause = request_verdict::VerdictCause::DeadlinePassed;
            let verdict = request_verdict::RequestVerdict::may_have_run(cause);
            finish(ctx, request, Vec::new(), None, verdict);
        }
        _ => {}
    }
}

/// Removes a request whose caller disconnected, and closes the connection it was running on.
pub fn cancel(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    remove_from_queues(ctx, request);
    if let Some(state) = ctx.requests.remove(request)
        && let pending_request::RequestPhase::Running { connection, .. } = state.phase
    {
        connection_flow::close(ctx, connection, "discarded");
    }
}

/// Marks a session's open transaction, which has no request in progress, as failed. `cause` goes
/// into the log.
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

/// Sets the session's transaction state to `state`, and rolls back the open transaction on its
/// connection.
pub fn end_transaction(
    ctx: &mut proxy_context::ProxyContext,
    session: arena_keys::CallerKey,
    state: session_state::TransactionState,
) {
    let connection =
        ctx.sessions[session].open_transaction().and_then(|transaction| transaction.connection);
    ctx.sessions[session].transaction = state;
    if let Some(connection) = connection {
        connection_flow::roll_back(ctx, connection);
    }
}

/// Returns the transaction state after the request failed. A failed COMMIT ends the transaction for
/// the caller as well; after any other request the caller still has to end it.
fn state_after_failure(kind: &pending_request::RequestKind) -> session_state::TransactionState {
    match kind {
        pending_request::RequestKind::Commit => session_state::TransactionState::Idle,
        _ => session_state::TransactionState::Failed,
    }
}

/// Ends a request that `cause` kept from running, and rolls back its transaction.
pub fn refuse(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    cause: request_verdict::VerdictCause,
) {
    let verdict = not_run_verdict(ctx, Some(request), cause);
    refuse_with(ctx, request, verdict);
}

/// Refuses the requests that have not been sent and whose key has been withdrawn or given to another
/// account.
pub fn refuse_revoked(ctx: &mut proxy_context::ProxyContext) {
    let revoked: Vec<_> = ctx
        .requests
        .iter()
        .filter(|(_, request)| !request.sent())
        .filter(|(_, request)| request.phase != pending_request::RequestPhase::AwaitingReceipts)
        .filter_map(|(key, request)| {
            session_flow::check_request(ctx, request).err().map(|cause| (key, cause))
        })
        .collect();
    for (request, cause) in revoked {
        let Some(state) = ctx.requests.get(request) else { continue };
        if let pending_request::RequestPhase::Running { connection, .. } = state.phase {
            connection_flow::close(ctx, connection, "discarded");
        }
        refuse(ctx, request, cause);
    }
}

/// Does the same as [`refuse`] with a known time after which the caller may retry.
pub fn refuse_until(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    cause: request_verdict::VerdictCause,
    retry_after: Duration,
) {
    let wait = ctx.with_jitter(retry_after);
    let verdict = request_verdict::RequestVerdict::not_run(cause, Some(wait));
    refuse_with(ctx, request, verdict);
}

fn refuse_with(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    verdict: request_verdict::RequestVerdict,
) {
    let session = ctx.requests[request].session;
    if ctx.sessions[session].open_transaction().is_some() {
        let state = state_after_failure(&ctx.requests[request].kind);
        end_transaction(ctx, session, state);
    }
    finish(ctx, request, Vec::new(), None, verdict);
}

/// Ends a request whose primary is being replaced. A write that was sent may have run; any other
/// request did not take effect.
pub fn abort(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    let Some(state) = ctx.requests.get(request) else { return };
    if state.phase == pending_request::RequestPhase::AwaitingReceipts {
        let cause = request_verdict::VerdictCause::PrimaryReplaced;
        let verdict = request_verdict::RequestVerdict::may_have_run(cause);
        return finish(ctx, request, Vec::new(), None, verdict);
    }
    let pending_request::RequestPhase::Running { connection, sent } = state.phase else { return };
    let commit = state.kind == pending_request::RequestKind::Commit;
    let in_transaction = ctx.sessions[state.session].open_transaction().is_some();
    let may_persist = sent && (commit || !in_transaction) && !state.reads();
    let session = state.session;
    if in_transaction {
        ctx.sessions[session].transaction = state_after_failure(&ctx.requests[request].kind);
    }
    connection_flow::close(ctx, connection, "discarded");
    let verdict = if may_persist {
        let cause = request_verdict::VerdictCause::PrimaryReplaced;
        request_verdict::RequestVerdict::may_have_run(cause)
    } else {
        not_run_verdict(ctx, Some(request), request_verdict::VerdictCause::TransactionLost)
    };
    finish(ctx, request, Vec::new(), None, verdict);
}

/// Returns the log point that `endpoint` must hold before it serves the request's read; `None` if
/// the request needs the primary or `endpoint` is the primary.
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
    placement_policy::required_read_point(ctx, request)
}

/// Returns the verdict for a request that `cause` kept from running, with the time after which the
/// caller may retry.
pub fn not_run_verdict(
    ctx: &mut proxy_context::ProxyContext,
    request: Option<arena_keys::StatementKey>,
    cause: request_verdict::VerdictCause,
) -> request_verdict::RequestVerdict {
    let wait = return_schedule::retry_after(ctx, request, &cause);
    request_verdict::RequestVerdict::not_run(cause, wait)
}

/// Refuses a request that has not been admitted.
fn refuse_unadmitted(
    ctx: &mut proxy_context::ProxyContext,
    session: arena_keys::CallerKey,
    kind: &pending_request::RequestKind,
    cause: request_verdict::VerdictCause,
) {
    if ctx.sessions[session].open_transaction().is_some() {
        end_transaction(ctx, session, state_after_failure(kind));
    }
    let verdict = not_run_verdict(ctx, None, cause);
    let caller = ctx.sessions[session].caller;
    let text = verdict.message();
    ctx.log_limited(|| format!("event=request_refused caller={caller} cause={text:?}"));
    session_flow::respond(ctx, session, Vec::new(), None, verdict);
}

/// Sends the request on its transaction's connection or to a suitable endpoint; refuses it if there
/// is none.
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
    let group = ctx.requests[request].group;
    if !ctx.requests[request].reads() && receipt_flow::lacks_replicas(ctx, group) {
        return refuse(ctx, request, request_verdict::VerdictCause::NoEndpoint);
    }
    let placed = placement_policy::choose_endpoint(ctx, request)
        .and_then(|endpoint| connection_flow::acquire(ctx, endpoint, request));
    match placed {
        Ok(()) => {}
        Err(cause @ request_verdict::VerdictCause::NoPrimary) => {
            primary_wait::wait_or_refuse(ctx, request, cause);
        }
        Err(cause) => refuse(ctx, request, cause),
    }
}

/// `endpoint_usable` tells whether the endpoint that the request was placed on may run it yet.
fn retry_or_refuse(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    cause: request_verdict::VerdictCause,
    endpoint_usable: bool,
) {
    pool_client::withdraw(ctx, request);
    let Some(state) = ctx.requests.get_mut(request) else { return };
    state.phase = pending_request::RequestPhase::AwaitingShare { until: ctx.now };
    if state.attempts >= ctx.tuning.attempts_max || ctx.now >= state.deadline {
        return refuse(ctx, request, cause);
    }
    // The configuration may have changed while the request was at an endpoint.
    if let Err(cause) = session_flow::check_request(ctx, &ctx.requests[request]) {
        return refuse(ctx, request, cause);
    }
    let needs_primary = placement_policy::needs_primary(ctx, request);
    if needs_primary && !endpoint_usable {
        // Only a primary can run it. One that has just refused it is not tried again.
        return primary_wait::wait_or_refuse(ctx, request, cause);
    }
    ctx.counts.retries += 1;
    place(ctx, request);
}

/// Fails the request and its transaction after the transaction's connection refused a command that
/// was sent ahead of the statement.
fn abort_transaction(
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
        ctx.sessions[session].transaction = state_after_failure(&ctx.requests[request].kind);
    }
    connection_flow::close(ctx, connection, "timed_out");
    let cause = request_verdict::VerdictCause::DeadlinePassed;
    let verdict = match sent {
        true => request_verdict::RequestVerdict::may_have_run(cause),
        false => not_run_verdict(ctx, Some(request), request_verdict::VerdictCause::QueueFull),
    };
    finish(ctx, request, Vec::new(), None, verdict);
}

/// Removes the request, counts its outcome and responds to the caller.
pub fn finish(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    rows: Vec<String>,
    signature: Option<String>,
    verdict: request_verdict::RequestVerdict,
) {
    remove_from_queues(ctx, request);
    let Some(state) = ctx.requests.remove(request) else { return };
    record_outcome(ctx, &state, &verdict);
    session_flow::respond(ctx, state.session, rows, signature, verdict);
}

/// Removes a request from the queue of its endpoint and withdraws its request for a lease.
pub fn leave_queue(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    let Some(state) = ctx.requests.get(request) else { return };
    if let pending_request::RequestPhase::Queued { endpoint, .. } = state.phase {
        ctx.endpoints[endpoint].queue.retain(|waiting| *waiting != request);
    }
    pool_client::withdraw(ctx, request);
}

fn remove_from_queues(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    let Some(state) = ctx.requests.get(request) else { return };
    match state.phase {
        pending_request::RequestPhase::AwaitingShare { .. } => {
            if let Some(account) = state.account {
                ctx.accounts[account].waiting.retain(|waiting| *waiting != request);
            }
        }
        pending_request::RequestPhase::AwaitingPrimary { .. } => {
            ctx.groups[state.group].primary_waiting.retain(|waiting| *waiting != request);
        }
        pending_request::RequestPhase::Queued { endpoint, .. } => {
            ctx.endpoints[endpoint].queue.retain(|waiting| *waiting != request);
        }
        pending_request::RequestPhase::AwaitingReceipts => {
            ctx.groups[state.group].receipts_awaited.retain(|waiting| *waiting != request);
        }
        pending_request::RequestPhase::Running { .. } => {}
    }
    pool_client::withdraw(ctx, request);
}

/// Records what a fault shows about the endpoint: a lagging replica gets a back-off, and a primary
/// that refuses writes has lost its role.
pub fn record_fault(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    endpoint: arena_keys::EndpointKey,
    fault: &endpoint_command::EndpointFault,
) {
    let now = ctx.now;
    match fault {
        endpoint_command::EndpointFault::Lagging => {
            let doublings = ctx.endpoints[endpoint].lag_count.min(LAG_BACKOFF_DOUBLINGS_MAX);
            let backoff = ctx.with_jitter(LAG_BACKOFF * (1 << doublings));
            let view = &mut ctx.endpoints[endpoint];
            view.lag_count += 1;
            view.lagging_until = now.after(backoff);
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
    let needed = placement_policy::required_read_point(ctx, request);
    ctx.log_limited(|| {
        format!(
            "event=endpoint_fault request={id} endpoint={name} attempt={attempts} fault={fault:?} held={held:?} needed={needed:?}"
        )
    });
}

/// Returns the cause that callers are given for an endpoint's fault.
pub fn cause_of(fault: &endpoint_command::EndpointFault) -> request_verdict::VerdictCause {
    match fault {
        endpoint_command::EndpointFault::Busy => request_verdict::VerdictCause::QueueFull,
        endpoint_command::EndpointFault::ReadOnly => request_verdict::VerdictCause::NoPrimary,
        _ => request_verdict::VerdictCause::NoEndpoint,
    }
}

fn record_outcome(
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
    let held = ctx.now.since(state.arrived);
    let age_ms = held.as_millis();
    if verdict.fate == request_verdict::RequestFate::NotRun {
        ctx.hold_times.record(&cause, held);
        let counts = match held < AT_ONCE {
            true => &mut ctx.counts.refused_at_once,
            false => &mut ctx.counts.refused_after_wait,
        };
        *counts.entry(cause.clone()).or_default() += 1;
    }
    let tokens = state.account.map(|account| rate_limiter::describe_outlook(ctx, account));
    let tokens = tokens.unwrap_or_default();
    let outlook = primary_wait::group_outlook(ctx, state.group);
    let (gap, gap_age) = (outlook.phase, outlook.age.as_millis());
    let primary_ms = outlook.remaining.map_or(-1, |remaining| remaining.as_millis() as i64);
    let (id, phase, attempts) = (state.id.clone(), state.phase.name(), state.attempts);
    let (database, fate) = (state.route.database.clone(), verdict.fate);
    let version = ctx.config.as_ref().map_or(0, |config| config.version);
    let view = &ctx.groups[state.group];
    let (group, epoch) = (view.name.clone(), view.epoch());
    let serving = view.serving().is_some();
    let may_use_primary = ctx.may_use_primary(state.group);
    let retry = verdict.retry_after.map_or(0, |wait| wait.as_millis());
    let store_age = ctx.now.since(ctx.store.last_reply_at).as_millis();
    let record_age = ctx.now.since(view.record_received_at).as_millis();
    ctx.log_limited(|| {
        format!(
            "event=request_unserved request={id} account={account} database={database} \
             group={group} epoch={epoch} serving={serving} permitted={may_use_primary} record_age_ms={record_age} \
             store_age_ms={store_age} version={version} \
             phase={phase} attempts={attempts} age_ms={age_ms} fate={fate:?} cause={cause} \
             retry_ms={retry} {tokens} gap={gap:?} gap_age_ms={gap_age} primary_expected_ms={primary_ms}"
        )
    });
    *ctx.counts.unserved.entry((account, cause)).or_default() += 1;
}
