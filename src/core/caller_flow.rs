//! Logins, settings and disconnects of callers.

use crate::config::key_secret;
use crate::core::arena_keys;
use crate::core::caller_state;
use crate::core::connection_flow;
use crate::core::core_context;
use crate::core::core_message;
use crate::core::core_tuning;
use crate::core::drain_flow;
use crate::core::endpoint_message;
use crate::core::request_verdict;
use crate::core::session_token;
use crate::core::statement_admission;
use crate::core::statement_flow;

/// Account of callers that connect without a key to a service that is open to all.
pub const PUBLIC_ACCOUNT: &str = "public";

/// Login of a caller.
#[derive(Debug)]
pub struct CallerLogin {
    /// Number of the caller's connection.
    pub caller: core_message::CallerId,
    /// Account to log in to.
    pub account: String,
    /// Account key.
    pub key: String,
    /// Service to connect to.
    pub service: String,
    /// Initial settings, as pairs of name and value.
    pub settings: Vec<(String, String)>,
}

/// Accepts or rejects a caller's login.
pub fn on_opened(ctx: &mut core_context::CoreContext, login: CallerLogin) {
    let caller = login.caller;
    match try_log_in(ctx, login) {
        Ok(()) => ctx.actions.push(core_message::CoreAction::AdmitCaller { caller }),
        Err(verdict) => {
            ctx.actions.push(core_message::CoreAction::RefuseCaller { caller, verdict })
        }
    }
}

/// Removes a caller, and closes the connection that its statement or transaction uses.
pub fn remove(ctx: &mut core_context::CoreContext, caller: core_message::CallerId) {
    let Some(key) = ctx.caller_ids.remove(&caller) else { return };
    if let Some(statement) = ctx.callers[key].statement.take() {
        statement_flow::cancel(ctx, statement);
    }
    if let Some(transaction) = ctx.callers[key].transaction.take() {
        connection_flow::discard(ctx, transaction.connection, "discarded");
    }
    ctx.callers.remove(key);
    drain_flow::stop_if_finished(ctx);
}

/// Checks that the caller may still use its account.
///
/// # Errors
///
/// Returns a `KeyRejected` verdict if its key or account was removed or changed, and `ConfigStale`
/// if this host's configuration has been unconfirmed for too long.
pub fn check_authorization(
    ctx: &core_context::CoreContext,
    caller: arena_keys::CallerKey,
) -> Result<(), request_verdict::RequestVerdict> {
    let state = &ctx.callers[caller];
    let rejected = || {
        request_verdict::RequestVerdict::not_run(request_verdict::VerdictCause::KeyRejected, None)
    };
    if let caller_state::CallerCredential::Key { name, hash } = &state.credential {
        let key = ctx.config.active.keys.get(name).ok_or_else(rejected)?;
        if key.account != state.account_name || key.hash != *hash {
            return Err(rejected());
        }
    }
    let account = ctx.config.active.accounts.get(&state.account_name).ok_or_else(rejected)?;
    if !ctx.config_fresh(account.cut_off_grace_ms) {
        let wait = Some(core_tuning::FAILOVER_RETRY);
        return Err(request_verdict::RequestVerdict::not_run(
            request_verdict::VerdictCause::ConfigStale,
            wait,
        ));
    }
    Ok(())
}

/// Closes the connections of callers whose key or account has been revoked.
pub fn close_revoked(ctx: &mut core_context::CoreContext) {
    let keys: Vec<arena_keys::CallerKey> = ctx.callers.keys().collect();
    for key in keys {
        let Err(verdict) = check_authorization(ctx, key) else { continue };
        if verdict.cause != request_verdict::VerdictCause::KeyRejected {
            continue;
        }
        let caller = ctx.callers[key].id;
        if let Some(statement) = ctx.callers[key].statement {
            statement_flow::abort(ctx, statement, request_verdict::VerdictCause::KeyRejected);
        }
        ctx.actions.push(core_message::CoreAction::CloseCaller { caller, verdict });
        remove(ctx, caller);
    }
}

/// Changes one of a caller's settings.
///
/// # Errors
///
/// Names an unknown setting, or the setting and its invalid value.
pub fn apply_setting(
    ctx: &mut core_context::CoreContext,
    caller: arena_keys::CallerKey,
    name: &str,
    value: &str,
) -> Result<(), request_verdict::RequestVerdict> {
    if name == "session" {
        return merge_session(ctx, caller, value);
    }
    let settings = &mut ctx.callers[caller].settings;
    let text = Some(value.to_owned()).filter(|value| !value.is_empty());
    match name {
        "group" => settings.group = text,
        "route_key" => settings.route_key = text,
        "request_id" => settings.request_id = text,
        "max_age_ms" => settings.max_age_ms = parse_millis(name, value)?,
        "timeout_ms" => settings.timeout_ms = parse_millis(name, value)?,
        _ => return Err(invalid_setting(format!("setting quetzaldeal.{name} is unknown"))),
    }
    Ok(())
}

/// Returns the value of one of a caller's settings as the result of SHOW.
///
/// # Errors
///
/// Names an unknown setting.
pub fn show_setting(
    ctx: &core_context::CoreContext,
    caller: arena_keys::CallerKey,
    name: &str,
) -> Result<endpoint_message::ResponseBody, request_verdict::RequestVerdict> {
    let state = &ctx.callers[caller];
    let settings = &state.settings;
    let millis = |value: Option<u64>| value.map(|value| value.to_string()).unwrap_or_default();
    let value = match name {
        "session" => state.session.sign(ctx.config.token_secret(), &state.account_name),
        "group" => settings.group.clone().unwrap_or_default(),
        "route_key" => settings.route_key.clone().unwrap_or_default(),
        "request_id" => settings.request_id.clone().unwrap_or_default(),
        "max_age_ms" => millis(settings.max_age_ms),
        "timeout_ms" => millis(settings.timeout_ms),
        "version" => ctx.config.version().to_string(),
        _ => return Err(invalid_setting(format!("setting quetzaldeal.{name} is unknown"))),
    };
    Ok(endpoint_message::ResponseBody {
        columns: vec![format!("quetzaldeal.{name}")],
        rows: vec![vec![Some(value)]],
        affected: 1,
        tag: "SHOW".to_owned(),
    })
}

fn try_log_in(
    ctx: &mut core_context::CoreContext,
    login: CallerLogin,
) -> Result<(), request_verdict::RequestVerdict> {
    let retry = Some(core_tuning::FAILOVER_RETRY);
    if ctx.config.head.is_none() {
        return Err(request_verdict::RequestVerdict::not_run(
            request_verdict::VerdictCause::ConfigMissing,
            retry,
        ));
    }
    if !ctx.accepts_work() {
        return Err(request_verdict::RequestVerdict::not_run(
            request_verdict::VerdictCause::Draining,
            Some(core_tuning::SHORT_RETRY),
        ));
    }
    let (account_name, credential) = authenticate(ctx, &login)?;
    let account = account_key(ctx, &account_name)?;
    let state = caller_state::CallerState {
        id: login.caller,
        account_name,
        account,
        credential,
        service: login.service,
        session: session_token::SessionToken::default(),
        settings: caller_state::CallerSettings::default(),
        statement: None,
        transaction: None,
        transaction_lost: false,
    };
    let key = ctx.callers.insert(state);
    let outcome = check_authorization(ctx, key)
        .and_then(|()| statement_admission::find_grant(ctx, key).map(|_| ()))
        .and_then(|()| apply_settings(ctx, key, &login.settings));
    match outcome {
        Ok(()) => {
            ctx.caller_ids.insert(login.caller, key);
            Ok(())
        }
        Err(verdict) => {
            ctx.callers.remove(key);
            Err(verdict)
        }
    }
}

fn authenticate(
    ctx: &core_context::CoreContext,
    login: &CallerLogin,
) -> Result<(String, caller_state::CallerCredential), request_verdict::RequestVerdict> {
    let config = &ctx.config.active;
    let mut keys = config.keys.values().filter(|key| key.account == login.account);
    if let Some(key) = keys.find(|key| key_secret::matches(key, &login.key)) {
        let credential =
            caller_state::CallerCredential::Key { name: key.name.clone(), hash: key.hash.clone() };
        return Ok((login.account.clone(), credential));
    }
    if ctx.config.grants.open_to_all(&login.service) && login.key.is_empty() {
        return Ok((PUBLIC_ACCOUNT.to_owned(), caller_state::CallerCredential::PublicRoute));
    }
    Err(request_verdict::RequestVerdict::not_run(request_verdict::VerdictCause::KeyRejected, None))
}

fn account_key(
    ctx: &core_context::CoreContext,
    name: &str,
) -> Result<arena_keys::AccountKey, request_verdict::RequestVerdict> {
    let rejected = || {
        request_verdict::RequestVerdict::not_run(request_verdict::VerdictCause::KeyRejected, None)
    };
    ctx.account_names.get(name).copied().ok_or_else(rejected)
}

fn apply_settings(
    ctx: &mut core_context::CoreContext,
    caller: arena_keys::CallerKey,
    settings: &[(String, String)],
) -> Result<(), request_verdict::RequestVerdict> {
    for (name, value) in settings {
        apply_setting(ctx, caller, name, value)?;
    }
    Ok(())
}

fn merge_session(
    ctx: &mut core_context::CoreContext,
    caller: arena_keys::CallerKey,
    value: &str,
) -> Result<(), request_verdict::RequestVerdict> {
    let account = ctx.callers[caller].account_name.clone();
    match session_token::SessionToken::verify(ctx.config.token_secret(), &account, value) {
        Ok(token) => {
            ctx.callers[caller].session.merge(&token);
            Ok(())
        }
        Err(_) => Err(request_verdict::RequestVerdict::not_run(
            request_verdict::VerdictCause::TokenInvalid,
            None,
        )),
    }
}

fn parse_millis(name: &str, value: &str) -> Result<Option<u64>, request_verdict::RequestVerdict> {
    if value.is_empty() {
        return Ok(None);
    }
    let malformed = || {
        invalid_setting(format!("setting quetzaldeal.{name}: {value:?}: give whole milliseconds"))
    };
    value.parse().map(Some).map_err(|_| malformed())
}

fn invalid_setting(detail: String) -> request_verdict::RequestVerdict {
    request_verdict::RequestVerdict::not_run(
        request_verdict::VerdictCause::StatementInvalid { detail },
        None,
    )
}
