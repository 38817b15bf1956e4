//! Life cycle of a caller's request: admission, placement, retries, deadlines and the verdict.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::endpoint_message;
use crate::core::request_verdict;
use crate::proxy::endpoint_command;
use crate::proxy::job_state;
use crate::proxy::link_flow;
use crate::proxy::placement_policy;
use crate::proxy::proxy_context;
use crate::proxy::quota_flow;
use crate::proxy::session_flow;
use crate::proxy::session_state;

/// Initial back-off before a replica that lacked a log point is tried again for such points.
const LAG_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum number of times the back-off is doubled while the replica keeps lagging.
const LAG_BACKOFF_DOUBLINGS_MAX: u32 = 4;
/// Time after which callers may retry when the group had no usable primary.
const NO_PRIMARY_RETRY: Duration = Duration::from_millis(400);
/// Time after which callers may retry when no endpoint or connection was available.
const NO_CAPACITY_RETRY: Duration = Duration::from_millis(100);
/// Time after which callers may retry, on another host, when this one is draining or has no
/// configuration.
const OTHER_HOST_RETRY: Duration = Duration::from_millis(50);

/// Admits a request: checks access, sets its deadline and charges it to the account's share.
/// Requests inside an open transaction are not charged.
pub fn start(
    ctx: &mut proxy_context::ProxyContext,
    session: arena_keys::CallerKey,
    id: String,
    kind: job_state::JobKind,
) {
    let state = &ctx.sessions[session];
    let in_transaction = state.open_work().map(|work| (work.route.clone(), work.group));
    let access = session_flow::check_access(ctx, &state.database, &state.digest);
    let (route, group, account) = match (in_transaction, access) {
        (_, Err(cause)) if !keeps_transaction(&cause, state) => {
            return refuse_start(ctx, session, cause);
        }
        (Some((route, group)), Ok((_, account))) => (route, group, account),
        (Some((route, group)), Err(_)) => {
            let link = state.open_work().and_then(|work| work.link);
            let account = link.and_then(|link| ctx.links.get(link)).and_then(|link| link.account);
            (route, group, account)
        }
        (None, Ok((route, account))) => {
            let Some(group) = ctx.group_names.get(&route.group).copied() else {
                let cause = request_verdict::VerdictCause::NoEndpoint;
                return refuse_start(ctx, session, cause);
            };
            (route, group, account)
        }
        (None, Err(cause)) => return refuse_start(ctx, session, cause),
    };
    let first = ctx.sessions[session].open_work().is_none();
    let deadline = ctx.now.after(route.timeout);
    let job = ctx.jobs.insert(job_state::JobState {
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
        phase: job_state::JobPhase::AwaitShare { until: ctx.now },
    });
    ctx.sessions[session].job = Some(job);
    ctx.timers.push(deadline, proxy_context::ProxyTimer::Job(job));
    if first {
        quota_flow::charge(ctx, job);
    } else {
        admitted(ctx, job);
    }
}

/// Continues a request that the account's share covers: completes a BEGIN at once and places any
/// other request on an endpoint.
pub fn admitted(ctx: &mut proxy_context::ProxyContext, job: arena_keys::StatementKey) {
    let state = &ctx.jobs[job];
    if let job_state::JobKind::Begin { read_only } = state.kind {
        let work = session_state::OpenWork {
            read_only,
            route: state.route.clone(),
            group: state.group,
            link: None,
            wrote: false,
        };
        ctx.sessions[state.session].work = session_state::WorkPhase::Open(work);
        return finish(ctx, job, Vec::new(), None, request_verdict::RequestVerdict::ran());
    }
    place(ctx, job);
}

/// Handles an endpoint's fault in a command that was sent ahead of the request's statement, such as
/// a session setting, PREPARE or BEGIN.
pub fn on_setup_fault(
    ctx: &mut proxy_context::ProxyContext,
    job: arena_keys::StatementKey,
    link: arena_keys::ConnectionKey,
    fault: endpoint_command::EndpointFault,
) {
    let endpoint = ctx.links[link].endpoint;
    let pinned = ctx.links[link].pinned.is_some();
    note_fault(ctx, job, endpoint, &fault);
    let connection_reusable = matches!(
        fault,
        endpoint_command::EndpointFault::Busy
            | endpoint_command::EndpointFault::Lagging
            | endpoint_command::EndpointFault::ReadOnly
    );
    if pinned {
        return abort_transaction(ctx, job, link);
    }
    // Detach the request from the connection while another endpoint is chosen.
    ctx.jobs[job].phase = job_state::JobPhase::AwaitShare { until: ctx.now };
    if connection_reusable {
        link_flow::release(ctx, link);
    } else {
        link_flow::close(ctx, link, "discarded");
    }
    try_elsewhere(ctx, job, endpoint, cause_of(&fault));
}

/// Handles the loss of the connection that a request was using. A write that was sent may have run;
/// a transaction is lost; anything else is retried.
pub fn on_link_lost(ctx: &mut proxy_context::ProxyContext, job: arena_keys::StatementKey) {
    let Some(state) = ctx.jobs.get(job) else { return };
    let sent = state.sent();
    let in_transaction = ctx.sessions[state.session].open_work().cloned();
    let commit = state.kind == job_state::JobKind::Commit;
    let cause = request_verdict::VerdictCause::ConnectionLost;
    match in_transaction {
        Some(work) if commit && sent => {
            ctx.sessions[state.session].work = session_state::WorkPhase::Idle;
            // A transaction without writes has nothing to commit.
            let verdict = if work.wrote {
                request_verdict::RequestVerdict::may_have_run(cause)
            } else {
                refusal(ctx, Some(job), request_verdict::VerdictCause::TransactionLost)
            };
            finish(ctx, job, Vec::new(), None, verdict);
        }
        Some(work) if work.link.is_some() || sent => {
            ctx.sessions[state.session].work = session_state::WorkPhase::Failed;
            let verdict = refusal(ctx, Some(job), request_verdict::VerdictCause::TransactionLost);
            finish(ctx, job, Vec::new(), None, verdict);
        }
        _ if sent && !state.reads() => {
            let verdict = request_verdict::RequestVerdict::may_have_run(cause);
            finish(ctx, job, Vec::new(), None, verdict);
        }
        _ => retry_or_refuse(ctx, job, cause),
    }
}

/// Moves a request that certainly did not run, or only reads, to another endpoint, or refuses it
/// with `cause`.
pub fn try_elsewhere(
    ctx: &mut proxy_context::ProxyContext,
    job: arena_keys::StatementKey,
    endpoint: arena_keys::EndpointKey,
    cause: request_verdict::VerdictCause,
) {
    let Some(state) = ctx.jobs.get_mut(job) else { return };
    state.avoided.push(endpoint);
    retry_or_refuse(ctx, job, cause);
}

/// Checks whether the request's wait or deadline has passed, and moves it, refuses it or times it
/// out.
pub fn on_timer(ctx: &mut proxy_context::ProxyContext, job: arena_keys::StatementKey) {
    let Some(state) = ctx.jobs.get(job) else { return };
    let now = ctx.now;
    match state.phase {
        job_state::JobPhase::AwaitShare { until } if now >= until => {
            refuse(ctx, job, request_verdict::VerdictCause::OverRate);
        }
        job_state::JobPhase::Queued { endpoint, until } if now >= until => {
            if now < state.deadline && state.attempts + 1 < ctx.tuning.attempts_max {
                ctx.endpoints[endpoint].queue.retain(|waiting| *waiting != job);
                ctx.jobs[job].attempts += 1;
                return try_elsewhere(ctx, job, endpoint, request_verdict::VerdictCause::QueueFull);
            }
            refuse(ctx, job, request_verdict::VerdictCause::QueueFull);
        }
        job_state::JobPhase::Running { link, sent } if now >= state.deadline => {
            time_out(ctx, job, link, sent);
        }
        _ => {}
    }
}

/// Removes a request whose caller disconnected, and closes the connection it was running on.
pub fn abandon(ctx: &mut proxy_context::ProxyContext, job: arena_keys::StatementKey) {
    remove_from_queues(ctx, job);
    if let Some(state) = ctx.jobs.remove(job)
        && let job_state::JobPhase::Running { link, .. } = state.phase
    {
        link_flow::close(ctx, link, "discarded");
    }
}

/// Marks a session's open transaction, which has no request in progress, as failed. `cause` goes
/// into the log.
pub fn lose_work(
    ctx: &mut proxy_context::ProxyContext,
    session: arena_keys::CallerKey,
    cause: &str,
) {
    let Some(state) = ctx.sessions.get_mut(session) else { return };
    if state.open_work().is_none() {
        return;
    }
    let caller = state.caller;
    state.work = session_state::WorkPhase::Failed;
    ctx.note(|| format!("event=transaction_ended caller={caller} cause={cause}"));
}

/// Sets the session's transaction state to `phase`, and rolls back the open transaction on its
/// connection.
pub fn end_work(
    ctx: &mut proxy_context::ProxyContext,
    session: arena_keys::CallerKey,
    phase: session_state::WorkPhase,
) {
    let link = ctx.sessions[session].open_work().and_then(|work| work.link);
    ctx.sessions[session].work = phase;
    if let Some(link) = link {
        link_flow::roll_back(ctx, link);
    }
}

/// Returns the transaction state after the request failed. A failed COMMIT ends the transaction for
/// the caller as well; after any other request the caller still has to end it.
fn state_after_failure(
    ctx: &proxy_context::ProxyContext,
    job: arena_keys::StatementKey,
) -> session_state::WorkPhase {
    match ctx.jobs[job].kind {
        job_state::JobKind::Commit => session_state::WorkPhase::Idle,
        _ => session_state::WorkPhase::Failed,
    }
}

/// Ends a request that `cause` kept from running, and rolls back its transaction.
pub fn refuse(
    ctx: &mut proxy_context::ProxyContext,
    job: arena_keys::StatementKey,
    cause: request_verdict::VerdictCause,
) {
    let verdict = refusal(ctx, Some(job), cause);
    let session = ctx.jobs[job].session;
    if ctx.sessions[session].open_work().is_some() {
        let phase = state_after_failure(ctx, job);
        end_work(ctx, session, phase);
    }
    finish(ctx, job, Vec::new(), None, verdict);
}

/// Ends a request whose primary is being replaced. A write that was sent may have run; any other
/// request did not take effect.
pub fn cut_short(ctx: &mut proxy_context::ProxyContext, job: arena_keys::StatementKey) {
    let Some(state) = ctx.jobs.get(job) else { return };
    let job_state::JobPhase::Running { link, sent } = state.phase else { return };
    let commit = state.kind == job_state::JobKind::Commit;
    let in_transaction = ctx.sessions[state.session].open_work().is_some();
    let may_persist = sent && (commit || !in_transaction) && !state.reads();
    let session = state.session;
    if in_transaction {
        ctx.sessions[session].work = state_after_failure(ctx, job);
    }
    link_flow::close(ctx, link, "discarded");
    let verdict = if may_persist {
        let cause = request_verdict::VerdictCause::PrimaryReplaced;
        request_verdict::RequestVerdict::may_have_run(cause)
    } else {
        refusal(ctx, Some(job), request_verdict::VerdictCause::TransactionLost)
    };
    finish(ctx, job, Vec::new(), None, verdict);
}

/// Returns the log point that `endpoint` must hold before it serves the request's read; `None` if
/// the request needs the primary or `endpoint` is the primary.
pub fn required_point(
    ctx: &proxy_context::ProxyContext,
    job: arena_keys::StatementKey,
    endpoint: arena_keys::EndpointKey,
) -> Option<endpoint_message::LogPoint> {
    let group = ctx.jobs[job].group;
    if placement_policy::needs_primary(ctx, job) || ctx.usable_primary(group) == Some(endpoint) {
        return None;
    }
    placement_policy::required_read_point(ctx, job)
}

/// Returns the verdict for a request that `cause` kept from running, with the time after which the
/// caller may retry.
pub fn refusal(
    ctx: &mut proxy_context::ProxyContext,
    job: Option<arena_keys::StatementKey>,
    cause: request_verdict::VerdictCause,
) -> request_verdict::RequestVerdict {
    let wait = match &cause {
        request_verdict::VerdictCause::OverRate => job
            .and_then(|job| ctx.jobs[job].account)
            .map(|account| quota_flow::retry_after(ctx, account)),
        request_verdict::VerdictCause::ShareClosed => Some(quota_flow::SHUNNED_FOR),
        request_verdict::VerdictCause::NoPrimary => Some(NO_PRIMARY_RETRY),
        request_verdict::VerdictCause::NoEndpoint
        | request_verdict::VerdictCause::QueueFull
        | request_verdict::VerdictCause::TransactionLost
        | request_verdict::VerdictCause::ConnectionLost => Some(NO_CAPACITY_RETRY),
        request_verdict::VerdictCause::Draining | request_verdict::VerdictCause::ConfigMissing => {
            Some(OTHER_HOST_RETRY)
        }
        _ => None,
    };
    let wait = wait.map(|wait| ctx.spread(wait));
    request_verdict::RequestVerdict::not_run(cause, wait)
}

/// Whether an open transaction may continue although a new one would be refused: a changed route
/// takes effect with the next transaction, a revoked key at once.
fn keeps_transaction(
    cause: &request_verdict::VerdictCause,
    state: &session_state::SessionState,
) -> bool {
    let route_gone = matches!(cause, request_verdict::VerdictCause::RuleDenied { .. });
    route_gone && state.open_work().is_some()
}

/// Refuses a request that has not been admitted.
fn refuse_start(
    ctx: &mut proxy_context::ProxyContext,
    session: arena_keys::CallerKey,
    cause: request_verdict::VerdictCause,
) {
    if ctx.sessions[session].open_work().is_some() {
        end_work(ctx, session, session_state::WorkPhase::Failed);
    }
    let verdict = refusal(ctx, None, cause);
    let caller = ctx.sessions[session].caller;
    let text = verdict.message();
    ctx.note(|| format!("event=request_refused caller={caller} cause={text:?}"));
    session_flow::answer(ctx, session, Vec::new(), None, verdict);
}

/// Sends the request on its transaction's connection or to a suitable endpoint; refuses it if there
/// is none.
pub fn place(ctx: &mut proxy_context::ProxyContext, job: arena_keys::StatementKey) {
    let session = ctx.jobs[job].session;
    let held = ctx.sessions[session].open_work().and_then(|work| work.link);
    if let Some(link) = held {
        if ctx.links.get(link).is_some_and(|view| view.pinned == Some(session)) {
            link_flow::dispatch(ctx, link, job);
            return;
        }
        return refuse(ctx, job, request_verdict::VerdictCause::TransactionLost);
    }
    let placed = placement_policy::choose(ctx, job)
        .and_then(|endpoint| link_flow::acquire(ctx, endpoint, job));
    if let Err(cause) = placed {
        refuse(ctx, job, cause);
    }
}

fn retry_or_refuse(
    ctx: &mut proxy_context::ProxyContext,
    job: arena_keys::StatementKey,
    cause: request_verdict::VerdictCause,
) {
    let Some(state) = ctx.jobs.get_mut(job) else { return };
    state.phase = job_state::JobPhase::AwaitShare { until: ctx.now };
    if state.attempts >= ctx.tuning.attempts_max || ctx.now >= state.deadline {
        return refuse(ctx, job, cause);
    }
    let needs_primary = placement_policy::needs_primary(ctx, job);
    if needs_primary {
        // Only the primary can run it, and the primary has just refused it.
        return refuse(ctx, job, cause);
    }
    ctx.counts.retries += 1;
    place(ctx, job);
}

/// Fails the request and its transaction after the transaction's connection refused a command that
/// was sent ahead of the statement.
fn abort_transaction(
    ctx: &mut proxy_context::ProxyContext,
    job: arena_keys::StatementKey,
    link: arena_keys::ConnectionKey,
) {
    link_flow::close(ctx, link, "discarded");
    let session = ctx.jobs[job].session;
    ctx.sessions[session].work = session_state::WorkPhase::Failed;
    let verdict = refusal(ctx, Some(job), request_verdict::VerdictCause::TransactionLost);
    finish(ctx, job, Vec::new(), None, verdict);
}

fn time_out(
    ctx: &mut proxy_context::ProxyContext,
    job: arena_keys::StatementKey,
    link: arena_keys::ConnectionKey,
    sent: bool,
) {
    let session = ctx.jobs[job].session;
    if ctx.sessions[session].open_work().is_some() {
        ctx.sessions[session].work = state_after_failure(ctx, job);
    }
    link_flow::close(ctx, link, "silent");
    let cause = request_verdict::VerdictCause::DeadlinePassed;
    let verdict = match sent {
        true => request_verdict::RequestVerdict::may_have_run(cause),
        false => refusal(ctx, Some(job), request_verdict::VerdictCause::QueueFull),
    };
    finish(ctx, job, Vec::new(), None, verdict);
}

/// Removes the request, counts its outcome and responds to the caller.
pub fn finish(
    ctx: &mut proxy_context::ProxyContext,
    job: arena_keys::StatementKey,
    rows: Vec<String>,
    signature: Option<String>,
    verdict: request_verdict::RequestVerdict,
) {
    remove_from_queues(ctx, job);
    let Some(state) = ctx.jobs.remove(job) else { return };
    record_outcome(ctx, &state, &verdict);
    session_flow::answer(ctx, state.session, rows, signature, verdict);
}

fn remove_from_queues(ctx: &mut proxy_context::ProxyContext, job: arena_keys::StatementKey) {
    let Some(state) = ctx.jobs.get(job) else { return };
    match state.phase {
        job_state::JobPhase::AwaitShare { .. } => {
            if let Some(account) = state.account {
                ctx.accounts[account].waiting.retain(|waiting| *waiting != job);
            }
        }
        job_state::JobPhase::Queued { endpoint, .. } => {
            ctx.endpoints[endpoint].queue.retain(|waiting| *waiting != job);
        }
        job_state::JobPhase::Running { .. } => {}
    }
}

/// Records what a fault says about the endpoint: a lagging replica gets a back-off, and a primary
/// that refuses writes has lost its role.
pub fn note_fault(
    ctx: &mut proxy_context::ProxyContext,
    job: arena_keys::StatementKey,
    endpoint: arena_keys::EndpointKey,
    fault: &endpoint_command::EndpointFault,
) {
    let now = ctx.now;
    match fault {
        endpoint_command::EndpointFault::Lagging => {
            let doublings = ctx.endpoints[endpoint].lags.min(LAG_BACKOFF_DOUBLINGS_MAX);
            let backoff = ctx.spread(LAG_BACKOFF * (1 << doublings));
            let view = &mut ctx.endpoints[endpoint];
            view.lags += 1;
            view.lagging_until = now.after(backoff);
        }
        endpoint_command::EndpointFault::ReadOnly => {
            let group = ctx.endpoints[endpoint].group;
            if ctx.usable_primary(group) == Some(endpoint) {
                ctx.groups[group].lost_lead = true;
            }
        }
        _ => {}
    }
    let id = ctx.jobs[job].id.clone();
    let name = ctx.endpoints[endpoint].entry.id.clone();
    let attempts = ctx.jobs[job].attempts;
    let held = ctx.endpoints[endpoint].position;
    let needed = placement_policy::required_read_point(ctx, job);
    ctx.note(|| {
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
    state: &job_state::JobState,
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
    let age_ms = ctx.now.since(state.arrived).as_millis();
    let (id, phase, attempts) = (state.id.clone(), state.phase.name(), state.attempts);
    let (database, fate) = (state.route.database.clone(), verdict.fate);
    let version = ctx.config.as_ref().map_or(0, |config| config.version);
    let view = &ctx.groups[state.group];
    let (group, epoch) = (view.name.clone(), view.epoch());
    let serving = view.serving().is_some();
    let permitted = ctx.permitted(state.group);
    let retry = verdict.retry_after.map_or(0, |wait| wait.as_millis());
    let store_age = ctx.now.since(ctx.store.answered).as_millis();
    let record_age = ctx.now.since(view.learnt).as_millis();
    ctx.note(|| {
        format!(
            "event=request_unserved request={id} account={account} database={database} \
             group={group} epoch={epoch} serving={serving} permitted={permitted} record_age_ms={record_age} \
             store_age_ms={store_age} version={version} \
             phase={phase} attempts={attempts} age_ms={age_ms} fate={fate:?} cause={cause} \
             retry_ms={retry}"
        )
    });
    *ctx.counts.unserved.entry((account, cause)).or_default() += 1;
}
