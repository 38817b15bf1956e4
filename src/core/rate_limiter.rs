//! Rate limiting: charges statements to their account's share and borrows from other hosts on
//! demand.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::SliceRandom;

use crate::config::config_object;
use crate::core::arena_keys;
use crate::core::call_purpose;
use crate::core::clock_time;
use crate::core::core_context;
use crate::core::core_message;
use crate::core::core_tuning;
use crate::core::endpoint_message;
use crate::core::peer_message;
use crate::core::rendezvous_rank;
use crate::core::request_verdict;
use crate::core::share_ledger;
use crate::core::statement_flow;
use crate::core::statement_state;
use crate::core::timer_queue;

/// Number of peers asked in one round of loan requests.
const LENDERS_PER_ROUND: usize = 3;
/// Maximum number of statements of one account that wait for a token.
const WAITING_MAX: usize = 64;
/// Interval between checks of the active accounts' shares, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 10;
/// Maximum number of times that the interval between fruitless rounds is doubled.
const GAP_DOUBLINGS_MAX: u32 = 2;
/// Time after which fruitless rounds no longer count, because other hosts may have unused shares by
/// then.
const FRUITLESS_RESET: Duration = Duration::from_millis(100);

/// Allocates this host's home share of an account under a new configuration.
///
/// A share that stays the same is left untouched, including the loans granted from it. `same_hosts`
/// says that the previous allocation was among the same hosts.
pub fn allocate(
    ctx: &mut core_context::CoreContext,
    account: arena_keys::AccountKey,
    object: &config_object::AccountObject,
    hosts: &rendezvous_rank::HomeMap,
    same_hosts: bool,
) {
    if same_hosts && ctx.accounts[account].object.as_ref() == Some(object) {
        return;
    }
    let homes = hosts.homes(&object.name, object.burst);
    let count = homes.len().max(1) as f64;
    let part = match homes.contains(&ctx.identity.name) {
        true => share_ledger::SharePart { rate: object.rate / count, burst: object.burst / count },
        false => share_ledger::SharePart::default(),
    };
    let now = ctx.now;
    let state = &mut ctx.accounts[account];
    // Hosts that still serve under the old configuration may use the longer grace of the two.
    state.activation_delay_ms = state.grace_ms.max(object.cut_off_grace_ms);
    state.grace_ms = object.cut_off_grace_ms;
    state.homes = homes;
    state.object = Some(object.clone());
    if state.ledger.allocated() != part {
        state.ledger.allocate(now, part);
    }
}

/// Revokes this host's share of an account that is no longer configured.
pub fn revoke(ctx: &mut core_context::CoreContext, account: arena_keys::AccountKey) {
    let now = ctx.now;
    let state = &mut ctx.accounts[account];
    state.homes.clear();
    state.object = None;
    state.ledger.allocate(now, share_ledger::SharePart::default());
    state.ledger.activate_at(now);
}

/// Charges a statement to its account's share: the statement is admitted, waits for a token, or is
/// refused.
pub fn charge(ctx: &mut core_context::CoreContext, statement: arena_keys::StatementKey) {
    let now = ctx.now;
    let account = ctx.statements[statement].account;
    mark_active(ctx, account);
    let state = &mut ctx.accounts[account];
    state.ledger.record_demand(now);
    if state.waiting.is_empty() && state.ledger.admit(now) {
        return admit(ctx, statement);
    }
    let until = now.after(core_tuning::CoreTuning::millis(ctx.tuning.share_wait_ms));
    let full = state.waiting.len() >= WAITING_MAX;
    ctx.statements[statement].phase = statement_state::StatementPhase::AwaitingShare { until };
    if full {
        return refuse(ctx, statement);
    }
    ctx.accounts[account].waiting.push(statement);
    ctx.timers.push(until, timer_queue::TimerKind::Statement(statement));
    request_loans(ctx, account);
    refuse_unservable(ctx, account);
}

/// Runs the periodic work of the active accounts: admits waiting statements and requests loans
/// before tokens run out.
pub fn on_timer(ctx: &mut core_context::CoreContext) {
    let accounts: Vec<arena_keys::AccountKey> = ctx.active_accounts.iter().copied().collect();
    for account in accounts {
        admit_waiting(ctx, account);
        request_loans(ctx, account);
        refuse_unservable(ctx, account);
        let now = ctx.now;
        let state = &mut ctx.accounts[account];
        if state.waiting.is_empty() && state.ledger.idle(now) {
            ctx.active_accounts.remove(&account);
        }
    }
    ctx.share_timer_set = !ctx.active_accounts.is_empty();
    if ctx.share_timer_set {
        ctx.set_timer(
            core_tuning::CoreTuning::millis(CHECK_INTERVAL_MS),
            timer_queue::TimerKind::Shares,
        );
    }
}

fn mark_active(ctx: &mut core_context::CoreContext, account: arena_keys::AccountKey) {
    ctx.active_accounts.insert(account);
    if !ctx.share_timer_set {
        ctx.share_timer_set = true;
        ctx.set_timer(
            core_tuning::CoreTuning::millis(CHECK_INTERVAL_MS),
            timer_queue::TimerKind::Shares,
        );
    }
}

/// Handles a peer's loan request.
pub fn on_loan_request(
    ctx: &mut core_context::CoreContext,
    host: &str,
    account: &str,
    version: u64,
    want: share_ledger::ShareGrant,
) -> peer_message::PeerReply {
    let now = ctx.now;
    let same = version == ctx.config.version() && ctx.config.pending.is_none();
    let state = ctx.account_names.get(account).and_then(|key| ctx.accounts.get_mut(*key));
    let Some(state) = state.filter(|_| same) else {
        return peer_message::PeerReply::Share { grant: None, borrowers: Vec::new() };
    };
    let free = state.waiting.is_empty();
    let grant = if free { state.ledger.lend(now, host, want) } else { None };
    let mut borrowers = state.ledger.borrowers(LENDERS_PER_ROUND);
    borrowers.retain(|holder| holder != host);
    peer_message::PeerReply::Share { grant, borrowers }
}

/// Handles a peer's reply to a loan request.
pub fn on_loan_reply(
    ctx: &mut core_context::CoreContext,
    account: arena_keys::AccountKey,
    requested_at: clock_time::ClockTime,
    grant: Option<share_ledger::ShareGrant>,
    borrowers: Vec<String>,
) {
    let now = ctx.now;
    let own = ctx.identity.name.clone();
    let Some(state) = ctx.accounts.get_mut(account) else { return };
    if state.requested_at == requested_at {
        state.replies_pending = state.replies_pending.saturating_sub(1);
    }
    state.borrowers.extend(borrowers.into_iter().filter(|holder| *holder != own));
    if let Some(grant) = grant {
        state.ledger.borrow(now, requested_at, grant);
        state.fruitless_rounds = 0;
    }
    admit_waiting(ctx, account);
    if !ctx.accounts[account].waiting.is_empty() {
        request_loans(ctx, account);
    }
    refuse_unservable(ctx, account);
}

fn admit_waiting(ctx: &mut core_context::CoreContext, account: arena_keys::AccountKey) {
    let now = ctx.now;
    loop {
        let state = &mut ctx.accounts[account];
        if state.waiting.is_empty() || !state.ledger.admit(now) {
            return;
        }
        let statement = state.waiting.remove(0);
        admit(ctx, statement);
    }
}

fn admit(ctx: &mut core_context::CoreContext, statement: arena_keys::StatementKey) {
    let Some(state) = ctx.statements.get_mut(statement) else { return };
    ctx.accounts[state.account].counts.admitted += 1;
    statement_flow::route_and_send(ctx, statement);
}

fn refuse(ctx: &mut core_context::CoreContext, statement: arena_keys::StatementKey) {
    let now = ctx.now;
    let account = ctx.statements[statement].account;
    let ledger = &mut ctx.accounts[account].ledger;
    let wait = ledger.wait_for_token(now);
    let cause = match ledger.awaiting_activation() {
        true => request_verdict::VerdictCause::ShareClosed,
        false => request_verdict::VerdictCause::OverRate,
    };
    let verdict = request_verdict::RequestVerdict::not_run(cause, Some(wait));
    statement_flow::finish(ctx, statement, verdict, endpoint_message::ResponseBody::default());
}

/// Refuses waiting statements immediately if neither a loan nor an accrued token can reach them in
/// time.
fn refuse_unservable(ctx: &mut core_context::CoreContext, account: arena_keys::AccountKey) {
    let now = ctx.now;
    let limit = core_tuning::CoreTuning::millis(ctx.tuning.share_wait_ms);
    let rounds_max = rounds_for_all_lenders(ctx, account);
    let state = &mut ctx.accounts[account];
    if state.awaiting_replies(now)
        || state.waiting.is_empty()
        || state.fruitless_rounds < rounds_max
    {
        return;
    }
    if state.ledger.wait_for_token(now) <= limit {
        return;
    }
    for statement in state.waiting.clone() {
        refuse(ctx, statement);
    }
}

/// Sends a round of loan requests if the account needs more than its share here.
///
/// While statements wait, rounds follow each other directly until every lender may have been asked.
/// After that, the interval between fruitless rounds is doubled, up to `GAP_DOUBLINGS_MAX` times.
fn request_loans(ctx: &mut core_context::CoreContext, account: arena_keys::AccountKey) {
    let now = ctx.now;
    let gap = core_tuning::CoreTuning::millis(ctx.tuning.share_ask_gap_ms);
    let rounds_max = rounds_for_all_lenders(ctx, account);
    let state = &mut ctx.accounts[account];
    if now.since(state.requested_at) >= FRUITLESS_RESET {
        state.fruitless_rounds = 0;
    }
    let urgent = !state.waiting.is_empty() && state.fruitless_rounds < rounds_max;
    let excess_rounds = state.fruitless_rounds.saturating_sub(rounds_max).min(GAP_DOUBLINGS_MAX);
    if state.awaiting_replies(now)
        || (!urgent && now.since(state.requested_at) < gap * (1 << excess_rounds))
    {
        return;
    }
    let waiting = state.waiting.len();
    let Some(want) = state.ledger.shortage(now, waiting) else { return };
    let lenders = pick_lenders(ctx, account);
    let want = want.split(lenders.len());
    let (host, version) = (ctx.identity.name.clone(), ctx.config.version());
    let state = &mut ctx.accounts[account];
    let name = state.name.clone();
    state.borrowers.clear();
    state.requested_at = now;
    state.fruitless_rounds += 1;
    state.replies_pending = lenders.len() as u32;
    for address in lenders {
        let purpose = call_purpose::CallPurpose::Share {
            account,
            address: address.clone(),
            requested_at: now,
        };
        let call = ctx.register_call(purpose);
        let (host, account) = (host.clone(), name.clone());
        let request = peer_message::PeerRequest::Share { host, account, version, want };
        ctx.control.peer_calls += 1;
        ctx.control.share_asks += 1;
        ctx.actions.push(core_message::CoreAction::CallPeer { call, address, request });
    }
}

/// Picks the lenders of a round: the borrowers that peers have named, then random home hosts.
fn pick_lenders(
    ctx: &mut core_context::CoreContext,
    account: arena_keys::AccountKey,
) -> Vec<String> {
    let mut homes: Vec<String> =
        lenders(ctx, account).filter_map(|host| usable_address(ctx, host)).collect();
    homes.shuffle(&mut ctx.rng);
    let borrowers: Vec<String> = ctx.accounts[account].borrowers.iter().cloned().collect();
    let mut picked: Vec<String> =
        borrowers.iter().filter_map(|host| usable_address(ctx, host)).collect();
    picked.extend(homes);
    let mut seen = BTreeSet::new();
    picked.retain(|address| seen.insert(address.clone()));
    picked.truncate(LENDERS_PER_ROUND);
    picked
}

/// Returns the number of rounds after which every lender has been asked.
fn rounds_for_all_lenders(ctx: &core_context::CoreContext, account: arena_keys::AccountKey) -> u32 {
    lenders(ctx, account).count().div_ceil(LENDERS_PER_ROUND) as u32
}

/// Returns the usable home hosts of the account; none if loans are disabled.
fn lenders(
    ctx: &core_context::CoreContext,
    account: arena_keys::AccountKey,
) -> impl Iterator<Item = &String> {
    let homes = ctx.accounts[account].homes.iter().filter(|_| ctx.tuning.share_loans);
    homes.filter(|host| ctx.peers.usable(host, ctx.now))
}

fn usable_address(ctx: &core_context::CoreContext, host: &str) -> Option<String> {
    let peer = ctx.peers.peers.get(host)?;
    ctx.peers.usable(host, ctx.now).then(|| peer.address.clone())
}
