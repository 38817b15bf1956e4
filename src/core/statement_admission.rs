//! Admission of statements: classifies them, checks the caller's access and charges its account
//! before they are routed.

use crate::config::config_object;
use crate::core::arena_keys;
use crate::core::caller_flow;
use crate::core::caller_state;
use crate::core::connection_flow;
use crate::core::core_context;
use crate::core::core_message;
use crate::core::core_tuning;
use crate::core::drain_flow;
use crate::core::endpoint_message;
use crate::core::grant_index;
use crate::core::rate_limiter;
use crate::core::request_verdict;
use crate::core::route_choice;
use crate::core::statement_flow;
use crate::core::statement_state;
use crate::core::statement_text;
use crate::core::timer_queue;

/// Handles a statement from a caller.
pub fn on_arrived(ctx: &mut core_context::CoreContext, id: core_message::CallerId, text: String) {
    let Some(caller) = ctx.caller_ids.get(&id).copied() else { return reject_unknown(ctx, id) };
    if ctx.callers[caller].statement.is_some() {
        let detail = "the last statement is not answered yet".to_owned();
        let cause = request_verdict::VerdictCause::StatementInvalid { detail };
        return reject(ctx, caller, request_verdict::RequestVerdict::not_run(cause, None));
    }
    if let Err(verdict) = admit(ctx, caller, text) {
        reject(ctx, caller, verdict);
    }
}

/// Rejects a statement that was in transit when this host closed its caller's connection.
fn reject_unknown(ctx: &mut core_context::CoreContext, caller: core_message::CallerId) {
    let wait = Some(core_tuning::SHORT_RETRY);
    let verdict =
        request_verdict::RequestVerdict::not_run(request_verdict::VerdictCause::CallerEnded, wait);
    let body = endpoint_message::ResponseBody::default();
    ctx.actions.push(core_message::CoreAction::RespondToCaller {
        caller,
        verdict,
        body,
        in_transaction: false,
    });
}

/// Returns the access that the rules grant the caller to its service.
///
/// # Errors
///
/// Names the account and the service if no rule grants access.
pub fn find_grant(
    ctx: &core_context::CoreContext,
    caller: arena_keys::CallerKey,
) -> Result<&grant_index::RuleGrant, request_verdict::RequestVerdict> {
    let state = &ctx.callers[caller];
    ctx.config.grants.find(&state.service, &state.account_name).ok_or_else(|| {
        let detail =
            format!("account {} may not use service {}", state.account_name, state.service);
        request_verdict::RequestVerdict::not_run(
            request_verdict::VerdictCause::RuleDenied { detail },
            None,
        )
    })
}

fn admit(
    ctx: &mut core_context::CoreContext,
    caller: arena_keys::CallerKey,
    text: String,
) -> Result<(), request_verdict::RequestVerdict> {
    if text.len() > ctx.tuning.statement_max_bytes {
        let detail = format!(
            "the statement has {} bytes; at most {} are accepted",
            text.len(),
            ctx.tuning.statement_max_bytes
        );
        return Err(unsupported_statement(detail));
    }
    let class = statement_text::classify(&text);
    match class {
        statement_text::StatementClass::Forbidden { detail } => Err(unsupported_statement(detail)),
        statement_text::StatementClass::IgnoredSet => respond(ctx, caller, body_with_tag("SET")),
        statement_text::StatementClass::ApplySetting { name, value } => {
            caller_flow::apply_setting(ctx, caller, &name, &value)?;
            respond(ctx, caller, body_with_tag("SET"))
        }
        statement_text::StatementClass::ShowSetting { name } => {
            let body = caller_flow::show_setting(ctx, caller, &name)?;
            respond(ctx, caller, body)
        }
        _ if ctx.callers[caller].transaction_lost => reject_lost_transaction(ctx, caller, &class),
        _ if ctx.callers[caller].transaction.is_some() => {
            admit_in_transaction(ctx, caller, text, class)
        }
        statement_text::StatementClass::Commit | statement_text::StatementClass::Rollback => {
            respond(ctx, caller, body_with_tag(command_tag(&class)))
        }
        _ => admit_outside_transaction(ctx, caller, text, class),
    }
}

/// Rejects statements of a transaction that the proxy rolled back, until the caller ends it with a
/// commit or rollback.
fn reject_lost_transaction(
    ctx: &mut core_context::CoreContext,
    caller: arena_keys::CallerKey,
    class: &statement_text::StatementClass,
) -> Result<(), request_verdict::RequestVerdict> {
    let ends = matches!(
        class,
        statement_text::StatementClass::Commit | statement_text::StatementClass::Rollback
    );
    ctx.callers[caller].transaction_lost = !ends;
    if *class == statement_text::StatementClass::Rollback {
        return respond(ctx, caller, body_with_tag(command_tag(class)));
    }
    Err(request_verdict::RequestVerdict::not_run(
        request_verdict::VerdictCause::TransactionLost,
        None,
    ))
}

/// Admits a statement that is outside of a transaction or begins one.
fn admit_outside_transaction(
    ctx: &mut core_context::CoreContext,
    caller: arena_keys::CallerKey,
    text: String,
    class: statement_text::StatementClass,
) -> Result<(), request_verdict::RequestVerdict> {
    caller_flow::check_authorization(ctx, caller)?;
    if !ctx.accepts_work() {
        let wait = Some(core_tuning::SHORT_RETRY);
        return Err(request_verdict::RequestVerdict::not_run(
            request_verdict::VerdictCause::Draining,
            wait,
        ));
    }
    let read = class == statement_text::StatementClass::Read;
    check_access(ctx, caller, read)?;
    let group = route_choice::pick_group(ctx, caller)?;
    let step = match class {
        statement_text::StatementClass::Begin => endpoint_message::TransactionStep::Begin,
        _ => endpoint_message::TransactionStep::Single,
    };
    let state = new_statement(ctx, caller, group, text, step, read);
    let statement = register(ctx, caller, state);
    rate_limiter::charge(ctx, statement);
    Ok(())
}

/// Admits a statement of the caller's open transaction.
fn admit_in_transaction(
    ctx: &mut core_context::CoreContext,
    caller: arena_keys::CallerKey,
    text: String,
    class: statement_text::StatementClass,
) -> Result<(), request_verdict::RequestVerdict> {
    let Some(transaction) = ctx.callers[caller].transaction else {
        return Err(unsupported_statement("no transaction is open".to_owned()));
    };
    if class == statement_text::StatementClass::Begin {
        return Err(unsupported_statement("a transaction is open already".to_owned()));
    }
    caller_flow::check_authorization(ctx, caller).inspect_err(|_| {
        abort_transaction(ctx, caller, transaction);
    })?;
    let ends = matches!(
        class,
        statement_text::StatementClass::Commit | statement_text::StatementClass::Rollback
    );
    if transaction.failed && !ends {
        return Err(request_verdict::RequestVerdict::not_run(
            request_verdict::VerdictCause::TransactionLost,
            None,
        ));
    }
    // The database would complete a COMMIT of a failed transaction with the command tag ROLLBACK,
    // which drivers ignore. The proxy sends a rollback and returns an error.
    let commit_refused = class == statement_text::StatementClass::Commit && transaction.failed;
    let step = match class {
        statement_text::StatementClass::Commit if !commit_refused => {
            endpoint_message::TransactionStep::Commit
        }
        statement_text::StatementClass::Commit | statement_text::StatementClass::Rollback => {
            endpoint_message::TransactionStep::Rollback
        }
        _ => endpoint_message::TransactionStep::InTransaction,
    };
    let text = if commit_refused { "ROLLBACK".to_owned() } else { text };
    let read = class == statement_text::StatementClass::Read;
    let mut state = new_statement(ctx, caller, transaction.group, text, step, read);
    state.commit_refused = commit_refused;
    let statement = register(ctx, caller, state);
    if step == endpoint_message::TransactionStep::InTransaction {
        rate_limiter::charge(ctx, statement);
    } else {
        // Ending a transaction frees its connection, so it does not wait for the rate limit.
        statement_flow::route_and_send(ctx, statement);
    }
    Ok(())
}

fn new_statement(
    ctx: &mut core_context::CoreContext,
    caller: arena_keys::CallerKey,
    group: arena_keys::GroupKey,
    text: String,
    step: endpoint_message::TransactionStep,
    read: bool,
) -> statement_state::StatementState {
    let now = ctx.now;
    let default_timeout = ctx.tuning.statement_timeout_ms;
    let state = &mut ctx.callers[caller];
    let writes = !read
        && matches!(
            step,
            endpoint_message::TransactionStep::Single
                | endpoint_message::TransactionStep::InTransaction
        );
    let id = if writes { state.settings.request_id.take() } else { None };
    let account = state.account_name.clone();
    let idempotency_key = id.map(|id| endpoint_message::IdempotencyKey { account, id });
    let timeout = state.settings.timeout_ms.unwrap_or(default_timeout);
    statement_state::StatementState {
        caller,
        account: state.account,
        group,
        request: endpoint_message::EndpointStatement {
            text,
            step,
            write_term: None,
            read_point: None,
            read_only: read && step == endpoint_message::TransactionStep::Single,
            idempotency_key,
        },
        read,
        max_age_ms: state.settings.max_age_ms,
        deadline: now.after(core_tuning::CoreTuning::millis(timeout)),
        attempts: 0,
        primary_only: false,
        commit_refused: false,
        phase: statement_state::StatementPhase::AwaitingShare { until: now },
    }
}

fn register(
    ctx: &mut core_context::CoreContext,
    caller: arena_keys::CallerKey,
    state: statement_state::StatementState,
) -> arena_keys::StatementKey {
    let deadline = state.deadline;
    let statement = ctx.statements.insert(state);
    ctx.retries.earn();
    ctx.callers[caller].statement = Some(statement);
    ctx.timers.push(deadline, timer_queue::TimerKind::Statement(statement));
    statement
}

fn check_access(
    ctx: &core_context::CoreContext,
    caller: arena_keys::CallerKey,
    read: bool,
) -> Result<(), request_verdict::RequestVerdict> {
    let grant = find_grant(ctx, caller)?;
    let denied = |detail: String| {
        Err(request_verdict::RequestVerdict::not_run(
            request_verdict::VerdictCause::RuleDenied { detail },
            None,
        ))
    };
    if !read && grant.access == config_object::RuleAccess::Read {
        return denied(format!("rule {} allows reads only", grant.rule));
    }
    match ctx.callers[caller].settings.max_age_ms {
        Some(age) if read && age > grant.max_age_ms => denied(format!(
            "rule {} allows ages up to {} ms, not {age} ms",
            grant.rule, grant.max_age_ms
        )),
        _ => Ok(()),
    }
}

fn abort_transaction(
    ctx: &mut core_context::CoreContext,
    caller: arena_keys::CallerKey,
    transaction: caller_state::OpenTransaction,
) {
    ctx.callers[caller].mark_transaction_lost();
    connection_flow::discard(ctx, transaction.connection, "discarded");
}

fn reject(
    ctx: &mut core_context::CoreContext,
    caller: arena_keys::CallerKey,
    verdict: request_verdict::RequestVerdict,
) {
    let state = &ctx.callers[caller];
    let (id, account) = (state.id, state.account);
    let in_transaction = state.in_transaction();
    ctx.accounts[account].counts.not_run += 1;
    let body = endpoint_message::ResponseBody::default();
    ctx.actions.push(core_message::CoreAction::RespondToCaller {
        caller: id,
        verdict,
        body,
        in_transaction,
    });
    drain_flow::on_response(ctx, caller);
}

fn respond(
    ctx: &mut core_context::CoreContext,
    caller: arena_keys::CallerKey,
    body: endpoint_message::ResponseBody,
) -> Result<(), request_verdict::RequestVerdict> {
    let state = &ctx.callers[caller];
    let (caller, in_transaction) = (state.id, state.in_transaction());
    let verdict = request_verdict::RequestVerdict::ran();
    ctx.actions.push(core_message::CoreAction::RespondToCaller {
        caller,
        verdict,
        body,
        in_transaction,
    });
    Ok(())
}

fn body_with_tag(tag: &str) -> endpoint_message::ResponseBody {
    endpoint_message::ResponseBody {
        tag: tag.to_owned(),
        ..endpoint_message::ResponseBody::default()
    }
}

fn command_tag(class: &statement_text::StatementClass) -> &'static str {
    match class {
        statement_text::StatementClass::Commit => "COMMIT",
        _ => "ROLLBACK",
    }
}

fn unsupported_statement(detail: String) -> request_verdict::RequestVerdict {
    request_verdict::RequestVerdict::not_run(
        request_verdict::VerdictCause::StatementInvalid { detail },
        None,
    )
}
