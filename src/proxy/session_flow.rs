//! Callers' sessions: opens them, processes their requests in order, responds and closes them.

use crate::core::arena_keys;
use crate::core::core_message;
use crate::core::request_verdict;
use crate::proxy::config_read;
use crate::proxy::connection_flow;
use crate::proxy::endpoint_command;
use crate::proxy::pending_request;
use crate::proxy::proxy_config;
use crate::proxy::proxy_context;
use crate::proxy::proxy_message;
use crate::proxy::request_flow;
use crate::proxy::session_request;
use crate::proxy::session_state;
use crate::proxy::shutdown_flow;

/// Requests that a caller may send ahead of the response to the one in progress.
const BACKLOG_MAX: usize = 16;
/// Session settings, and prepared statements, that one session may hold.
const SESSION_ITEMS_MAX: usize = 256;

/// Opens a session, or refuses it if the host is shutting down or access is denied.
pub fn open(
    ctx: &mut proxy_context::ProxyContext,
    caller: core_message::CallerId,
    database: String,
    key: &str,
) {
    let digest = proxy_config::digest_key(key);
    let access = match shutdown_flow::refuses_new_sessions(ctx) {
        true => Err(request_verdict::VerdictCause::Draining),
        false => check_access(ctx, &database, &digest),
    };
    let refusal = access.err().map(|cause| request_flow::not_run_verdict(ctx, None, cause));
    if let Some(verdict) = &refusal {
        let cause = verdict.message();
        let line =
            format!("event=session_refused caller={caller} database={database} cause={cause:?}");
        ctx.log_limited(|| line);
    } else {
        let session = ctx.sessions.insert(session_state::SessionState {
            caller,
            database,
            digest,
            values: Default::default(),
            prepared: Default::default(),
            commits: Default::default(),
            position: None,
            transaction: session_state::TransactionState::Idle,
            request: None,
            backlog: Default::default(),
            last_active: ctx.now,
        });
        ctx.callers.insert(caller, session);
    }
    ctx.actions.push(proxy_message::ProxyAction::AcceptCaller { caller, refusal });
}

/// Processes a caller's request, or queues it while another one is in progress. Closes the session
/// if too many requests are queued.
pub fn on_request(
    ctx: &mut proxy_context::ProxyContext,
    caller: core_message::CallerId,
    id: String,
    request: session_request::SessionRequest,
) {
    let Some(session) = ctx.callers.get(&caller).copied() else { return };
    let state = &mut ctx.sessions[session];
    state.last_active = ctx.now;
    if state.request.is_none() && state.backlog.is_empty() {
        return process(ctx, session, id, request);
    }
    if state.backlog.len() >= BACKLOG_MAX {
        log::warn!("event=session_closed caller={caller} cause=backlog_full");
        ctx.actions.push(proxy_message::ProxyAction::CloseCaller { caller });
        return close(ctx, caller);
    }
    state.backlog.push_back((id, request));
}

/// Removes the session of a caller that disconnected, and rolls back its transaction.
pub fn close(ctx: &mut proxy_context::ProxyContext, caller: core_message::CallerId) {
    let Some(session) = ctx.callers.remove(&caller) else { return };
    if let Some(request) = ctx.sessions[session].request {
        request_flow::cancel(ctx, request);
    }
    let connection =
        ctx.sessions[session].open_transaction().and_then(|transaction| transaction.connection);
    ctx.sessions.remove(session);
    if let Some(connection) = connection {
        connection_flow::roll_back(ctx, connection);
    }
}

/// Responds to the session's caller, and processes its next queued request.
pub fn respond(
    ctx: &mut proxy_context::ProxyContext,
    session: arena_keys::CallerKey,
    rows: Vec<String>,
    signature: Option<String>,
    verdict: request_verdict::RequestVerdict,
) {
    let now = ctx.now;
    let Some(state) = ctx.sessions.get_mut(session) else { return };
    state.request = None;
    state.last_active = now;
    let (caller, phase, position) = (state.caller, state.phase(), state.position);
    let response = proxy_message::CallerResponse { rows, signature, verdict, phase, position };
    ctx.actions.push(proxy_message::ProxyAction::RespondToCaller { caller, response });
    shutdown_flow::on_response_sent(ctx, session);
    let Some(state) = ctx.sessions.get_mut(session) else { return };
    if let Some((id, request)) = state.backlog.pop_front() {
        process(ctx, session, id, request);
    }
}

/// Returns the route of the database and the account of the key in the active configuration. Public
/// routes have no account.
///
/// # Errors
///
/// `ConfigMissing`, `RuleDenied` or `KeyRejected`, if access is denied.
pub fn check_access(
    ctx: &proxy_context::ProxyContext,
    database: &str,
    digest: &proxy_config::KeyDigest,
) -> Result<
    (proxy_config::RouteObject, Option<arena_keys::AccountKey>),
    request_verdict::VerdictCause,
> {
    let config = current_config(ctx)?;
    let Some(route) = config.routes.get(database) else {
        let detail = format!("no route names database {database:?}");
        return Err(request_verdict::VerdictCause::RuleDenied { detail });
    };
    let account = identify_account(ctx, config, route, digest)?;
    Ok((route.clone(), account))
}

/// Checks that an open transaction may continue: a changed or removed route takes effect with the next
/// transaction, a key that was withdrawn or given to another account at once.
///
/// # Errors
///
/// `ConfigMissing`, `KeyRejected` or `AccountChanged`, if it may not.
pub fn check_transaction(
    ctx: &proxy_context::ProxyContext,
    transaction: &session_state::OpenTransaction,
    digest: &proxy_config::KeyDigest,
) -> Result<(), request_verdict::VerdictCause> {
    let config = current_config(ctx)?;
    check_holder(ctx, config, &transaction.route, digest, transaction.account)
}

/// Checks that a request that was admitted may still run for its account.
///
/// # Errors
///
/// `KeyRejected` or `AccountChanged`, if its key was withdrawn or given to another account meanwhile.
pub fn check_request(
    ctx: &proxy_context::ProxyContext,
    request: &pending_request::PendingRequest,
) -> Result<(), request_verdict::VerdictCause> {
    let config = ctx.config.as_deref().ok_or(request_verdict::VerdictCause::ConfigMissing)?;
    let digest = &ctx.sessions[request.session].digest;
    check_holder(ctx, config, &request.route, digest, request.account)
}

/// Checks that the key still identifies this account on the route.
fn check_holder(
    ctx: &proxy_context::ProxyContext,
    config: &proxy_config::ProxyConfig,
    route: &proxy_config::RouteObject,
    digest: &proxy_config::KeyDigest,
    account: Option<arena_keys::AccountKey>,
) -> Result<(), request_verdict::VerdictCause> {
    match identify_account(ctx, config, route, digest)? == account {
        true => Ok(()),
        false => Err(request_verdict::VerdictCause::AccountChanged),
    }
}

/// Returns the active configuration unless this host knows of a newer one that it should have by now.
fn current_config(
    ctx: &proxy_context::ProxyContext,
) -> Result<&proxy_config::ProxyConfig, request_verdict::VerdictCause> {
    let config = ctx.config.as_deref().filter(|_| !config_read::is_overdue(ctx));
    config.ok_or(request_verdict::VerdictCause::ConfigMissing)
}

/// Returns the account that the key identifies on the route; `None` on public routes.
fn identify_account(
    ctx: &proxy_context::ProxyContext,
    config: &proxy_config::ProxyConfig,
    route: &proxy_config::RouteObject,
    digest: &proxy_config::KeyDigest,
) -> Result<Option<arena_keys::AccountKey>, request_verdict::VerdictCause> {
    if route.public {
        return Ok(None);
    }
    let account = config.keys.get(digest).and_then(|name| ctx.account_names.get(name));
    account.copied().map(Some).ok_or(request_verdict::VerdictCause::KeyRejected)
}

fn process(
    ctx: &mut proxy_context::ProxyContext,
    session: arena_keys::CallerKey,
    id: String,
    request: session_request::SessionRequest,
) {
    let phase = ctx.sessions[session].phase();
    match (request, phase) {
        (session_request::SessionRequest::Rollback, endpoint_command::SessionPhase::Open) => {
            request_flow::end_transaction(ctx, session, session_state::TransactionState::Idle);
            respond_ok(ctx, session);
        }
        (session_request::SessionRequest::Rollback, endpoint_command::SessionPhase::Failed) => {
            ctx.sessions[session].transaction = session_state::TransactionState::Idle;
            respond_ok(ctx, session);
        }
        (session_request::SessionRequest::Commit, endpoint_command::SessionPhase::Failed) => {
            ctx.sessions[session].transaction = session_state::TransactionState::Idle;
            let cause = request_verdict::VerdictCause::TransactionLost;
            respond_not_run(ctx, session, cause);
        }
        (_, endpoint_command::SessionPhase::Failed) => {
            respond_invalid(ctx, session, "the transaction failed; end it first");
        }
        (session_request::SessionRequest::Malformed { detail }, _) => {
            respond_invalid(ctx, session, &detail);
        }
        (session_request::SessionRequest::Set { name, value }, _) => {
            let state = &mut ctx.sessions[session];
            if state.values.len() >= SESSION_ITEMS_MAX && !state.values.contains_key(&name) {
                return respond_invalid(ctx, session, "the session holds too many values");
            }
            state.values.insert(name, value);
            respond_ok(ctx, session);
        }
        (session_request::SessionRequest::Prepare { name, kind, shape }, _) => {
            prepare(ctx, session, name, kind, shape);
        }
        (session_request::SessionRequest::Deallocate { name }, _) => {
            ctx.sessions[session].prepared.remove(&name);
            respond_ok(ctx, session);
        }
        (
            session_request::SessionRequest::Commit | session_request::SessionRequest::Rollback,
            endpoint_command::SessionPhase::Idle,
        ) => respond_invalid(ctx, session, "no transaction is open"),
        (session_request::SessionRequest::Begin { .. }, endpoint_command::SessionPhase::Open) => {
            respond_invalid(ctx, session, "a transaction is open already");
        }
        (session_request::SessionRequest::Begin { read_only }, _) => {
            request_flow::admit(
                ctx,
                session,
                id,
                pending_request::RequestKind::Begin { read_only },
            );
        }
        (session_request::SessionRequest::Commit, _) => {
            request_flow::admit(ctx, session, id, pending_request::RequestKind::Commit);
        }
        (session_request::SessionRequest::Statement { kind, text }, _) => {
            let body = endpoint_command::StatementBody::Text(text);
            let kind = pending_request::RequestKind::Statement { kind, body, prepared: None };
            request_flow::admit(ctx, session, id, kind);
        }
        (session_request::SessionRequest::Execute { name, arguments }, _) => {
            execute(ctx, session, id, name, arguments);
        }
    }
}

fn prepare(
    ctx: &mut proxy_context::ProxyContext,
    session: arena_keys::CallerKey,
    name: String,
    kind: session_request::StatementKind,
    shape: String,
) {
    let state = &mut ctx.sessions[session];
    if state.prepared.len() >= SESSION_ITEMS_MAX && !state.prepared.contains_key(&name) {
        return respond_invalid(ctx, session, "the session holds too many prepared statements");
    }
    // The name is derived from the statement, so that all sessions share it on a connection.
    let letter = match kind {
        session_request::StatementKind::Read => 'r',
        session_request::StatementKind::Write => 'w',
    };
    let hash = xxhash_rust::xxh3::xxh3_128(shape.as_bytes());
    let shared_name = format!("{letter}{hash:032x}");
    let statement = session_state::PreparedStatement { kind, shape, name: shared_name };
    state.prepared.insert(name, statement);
    respond_ok(ctx, session);
}

fn execute(
    ctx: &mut proxy_context::ProxyContext,
    session: arena_keys::CallerKey,
    id: String,
    name: String,
    arguments: String,
) {
    let Some(statement) = ctx.sessions[session].prepared.get(&name) else {
        return respond_invalid(ctx, session, &format!("no statement {name:?} is prepared"));
    };
    let kind = statement.kind;
    let body =
        endpoint_command::StatementBody::Prepared { name: statement.name.clone(), arguments };
    let kind = pending_request::RequestKind::Statement { kind, body, prepared: Some(name) };
    request_flow::admit(ctx, session, id, kind);
}

fn respond_ok(ctx: &mut proxy_context::ProxyContext, session: arena_keys::CallerKey) {
    respond(ctx, session, Vec::new(), None, request_verdict::RequestVerdict::ran());
}

fn respond_invalid(
    ctx: &mut proxy_context::ProxyContext,
    session: arena_keys::CallerKey,
    detail: &str,
) {
    let detail = detail.to_owned();
    respond_not_run(ctx, session, request_verdict::VerdictCause::StatementInvalid { detail });
}

fn respond_not_run(
    ctx: &mut proxy_context::ProxyContext,
    session: arena_keys::CallerKey,
    cause: request_verdict::VerdictCause,
) {
    let verdict = request_verdict::RequestVerdict::not_run(cause, None);
    respond(ctx, session, Vec::new(), None, verdict);
}
