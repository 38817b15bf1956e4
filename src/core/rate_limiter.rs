//! Charges statements to their accounts' shares, and moves shares between hosts on demand.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::SliceRandom;

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
use crate::world::world_object;

/// Peers asked for a loan at a time.
const LENDERS_ASKED: usize = 3;
/// Most statements of one account that wait for a share.
const WAITING_MAX: usize = 64;
/// Time between looks at the accounts' shares, in milliseconds.
const LOOK_INTERVAL_MS: u64 = 10;
/// Doublings of the time between rounds of asking that bring nothing.
const GAP_DOUBLINGS_MAX: u32 = 2;
/// Time after which rounds that brought nothing no longer count: others may have spare shares now.
const VAIN_FORGOTTEN: Duration = Duration::from_millis(100);

/// Deals this host its home share of an account under a new configuration.
///
/// A share that does not differ is left alone, with all that was lent out of it. `same_hosts` says
/// that shares were last dealt to the same hosts.
pub fn allocate(
    ctx: &mut core_context::CoreContext,
    account: arena_keys::AccountKey,
    object: &world_object::AccountObject,
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
    // Hosts that still serve under the old configuration may do so for the longer grace of both.
    state.activation_delay_ms = state.grace_ms.max(object.cut_off_grace_ms);
    state.grace_ms = object.cut_off_grace_ms;
    state.homes = homes;
    state.object = Some(object.clone());
    if state.ledger.allocated() != part {
        state.ledger.allocate(now, part);
    }
}

/// Takes away this host's share of an account that is no longer configured.
pub fn revoke(ctx: &mut core_context::CoreContext, account: arena_keys::AccountKey) {
    let now = ctx.now;
    let state = &mut ctx.accounts[account];
    state.homes.clear();
    state.object = None;
    state.ledger.allocate(now, share_ledger::SharePart::default());
    state.ledger.activate_at(now);
}

/// Charges a statement to its account's share: it goes on, waits for a share, or is refused.
pub fn charge(ctx: &mut core_context::CoreContext, statement: arena_keys::StatementKey) {
    let now = ctx.now;
    let account = ctx.statements[statement].account;
    note_active(ctx, account);
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
    ask_peers(ctx, account);
    refuse_hopeless(ctx, account);
}

/// Looks after the accounts in use: lets waiting statements go on and asks for shares ahead of
/// need.
pub fn on_timer(ctx: &mut core_context::CoreContext) {
    let accounts: Vec<arena_keys::AccountKey> = ctx.active_accounts.iter().copied().collect();
    for account in accounts {
        pump(ctx, account);
        ask_peers(ctx, account);
        refuse_hopeless(ctx, account);
        let now = ctx.now;
        let state = &mut ctx.accounts[account];
        if state.waiting.is_empty() && state.ledger.idle(now) {
            ctx.active_accounts.remove(&account);
        }
    }
    ctx.share_timer_set = !ctx.active_accounts.is_empty();
    if ctx.share_timer_set {
        ctx.set_timer(
            core_tuning::CoreTuning::millis(LOOK_INTERVAL_MS),
            timer_queue::TimerKind::Shares,
        );
    }
}

fn note_active(ctx: &mut core_context::CoreContext, account: arena_keys::AccountKey) {
    ctx.active_accounts.insert(account);
    if !ctx.share_timer_set {
        ctx.share_timer_set = true;
        ctx.set_timer(
            core_tuning::CoreTuning::millis(LOOK_INTERVAL_MS),
            timer_queue::TimerKind::Shares,
        );
    }
}

/// Answers a peer that asks for a loan.
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
    let mut borrowers = state.ledger.borrowers(LENDERS_ASKED);
    borrowers.retain(|holder| holder != host);
    peer_message::PeerReply::Share { grant, borrowers }
}

/// Takes up a peer's answer to the asking for a loan.
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
    pump(ctx, account);
    if !ctx.accounts[account].waiting.is_empty() {
        ask_peers(ctx, account);
    }
    refuse_hopeless(ctx, account);
}

fn pump(ctx: &mut core_context::CoreContext, account: arena_keys::AccountKey) {
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
    let cause = match ledger.closed() {
        true => request_verdict::VerdictCause::ShareClosed,
        false => request_verdict::VerdictCause::OverRate,
    };
    let verdict = request_verdict::RequestVerdict::not_run(cause, Some(wait));
    statement_flow::finish(ctx, statement, verdict, endpoint_message::ResponseBody::default());
}

/// Refuses waiting statements at once when neither a peer nor the passing time can help them.
fn refuse_hopeless(ctx: &mut core_context::CoreContext, account: arena_keys::AccountKey) {
    let now = ctx.now;
    let limit = core_tuning::CoreTuning::millis(ctx.tuning.share_wait_ms);
    let rounds_max = rounds_to_ask_all(ctx, account);
    let state = &mut ctx.accounts[account];
    if state.asking(now) || state.waiting.is_empty() || state.fruitless_rounds < rounds_max {
        return;
    }
    if state.ledger.wait_for_token(now) <= limit {
        return;
    }
    for statement in state.waiting.clone() {
        refuse(ctx, statement);
    }
}

/// Asks some lenders for what the account lacks here.
///
/// While statements wait, one round follows the other until all lenders may have been asked; after
/// that, and while nothing comes of it, rounds are made ever less often.
fn ask_peers(ctx: &mut core_context::CoreContext, account: arena_keys::AccountKey) {
    let now = ctx.now;
    let gap = core_tuning::CoreTuning::millis(ctx.tuning.share_ask_gap_ms);
    let rounds_max = rounds_to_ask_all(ctx, account);
    let state = &mut ctx.accounts[account];
    if now.since(state.requested_at) >= VAIN_FORGOTTEN {
        state.fruitless_rounds = 0;
    }
    let urgent = !state.waiting.is_empty() && state.fruitless_rounds < rounds_max;
    let vain = state.fruitless_rounds.saturating_sub(rounds_max).min(GAP_DOUBLINGS_MAX);
    if state.asking(now) || (!urgent && now.since(state.requested_at) < gap * (1 << vain)) {
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

/// Picks the holders that peers have named, and homes at random beside them.
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
    picked.truncate(LENDERS_ASKED);
    picked
}

/// Returns the rounds of asking in which every lender has surely had its turn.
fn rounds_to_ask_all(ctx: &core_context::CoreContext, account: arena_keys::AccountKey) -> u32 {
    lenders(ctx, account).count().div_ceil(LENDERS_ASKED) as u32
}

/// Returns the account's homes that may lend.
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
