//! Shares of accounts' rates and bursts: dealing them out, charging requests, lending.
//!
//! All hosts whose member record stands, or vanished not long ago, hold equal shares. A share that
//! grows opens once every host goes by the same dealing, so the sum stays within the account's
//! rate; what a host does not use it lends to those that ask.

use std::time::Duration;

use rand::seq::IteratorRandom;
use xxhash_rust::xxh3;

use crate::arena_keys;
use crate::clock_time;
use crate::proxy::job_state;
use crate::proxy::operation_flow;
use crate::proxy::peer_datagram;
use crate::proxy::proxy_context;
use crate::proxy::proxy_message;
use crate::request_verdict;
use crate::share_ledger;

/// Peers asked for a loan at a time.
const LENDERS_ASKED: usize = 3;
/// Least time between rounds of asking while requests wait.
const ASK_GAP: Duration = Duration::from_millis(10);
/// Most requests of one account that wait for a share.
const WAITING_MAX: usize = 64;
/// Time for which a host counts as reachable after it was heard.
const HEARD_FOR: Duration = Duration::from_millis(2_000);
/// Time after which hosts that are not heard no longer keep a dealing from opening.
const ATTEST_LIMIT: Duration = Duration::from_millis(4_000);
/// Time between the last host's word and the opening, for requests admitted under the old dealing.
const OPEN_MARGIN: Duration = Duration::from_millis(50);

/// Deals shares anew if hosts or configuration have changed.
pub fn deal(ctx: &mut proxy_context::ProxyContext) {
    let Some(config) = ctx.config.clone() else { return };
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(&config.version.to_le_bytes());
    let kept = ctx.tuning.share_kept;
    let mut hosts = 0_u32;
    for (name, member) in &ctx.members {
        if member.gone.is_none_or(|since| ctx.now.since(since) < kept) {
            hasher.update(name.as_bytes());
            hasher.update(&[0]);
            hosts += 1;
        }
    }
    let number = hasher.digest();
    if number == ctx.dealing.number || hosts == 0 {
        return;
    }
    let now = ctx.now;
    ctx.dealing = proxy_context::DealingState { number, since: now, attested: false };
    for account in ctx.accounts.values_mut() {
        account.object = config.accounts.get(&account.name).cloned();
        let part = account.object.as_ref().map_or(share_ledger::SharePart::default(), |object| {
            let hosts = f64::from(hosts);
            share_ledger::SharePart { rate: object.rate / hosts, burst: object.burst / hosts }
        });
        account.ledger.deal(now, part);
    }
    log::info!("event=shares_dealt hosts={hosts} version={} dealing={number:x}", config.version);
    attest(ctx);
}

/// Opens the shares dealt last once all hosts go by the same dealing.
pub fn attest(ctx: &mut proxy_context::ProxyContext) {
    if ctx.dealing.attested || ctx.dealing.number == 0 {
        return;
    }
    let patient = ctx.now.since(ctx.dealing.since) < ATTEST_LIMIT;
    let own = &ctx.identity.host;
    let same = ctx.members.values().filter(|member| member.gone.is_none()).all(|member| {
        let heard = member.heard.is_some_and(|heard| ctx.now.since(heard) < HEARD_FOR);
        member.record.host == *own
            || (heard && member.dealing == ctx.dealing.number)
            || (!heard && !patient)
    });
    if !same {
        return;
    }
    ctx.dealing.attested = true;
    let opens = ctx.now.after(OPEN_MARGIN);
    for account in ctx.accounts.values_mut() {
        account.ledger.open_at(opens);
    }
    log::info!("event=shares_open dealing={:x}", ctx.dealing.number);
}

/// Charges a request to its account's share: it goes on, waits for a loan, or is refused.
pub fn charge(ctx: &mut proxy_context::ProxyContext, job: arena_keys::StatementKey) {
    let now = ctx.now;
    let Some(account) = ctx.jobs[job].account else { return operation_flow::admitted(ctx, job) };
    let view = &mut ctx.accounts[account];
    view.ledger.note_demand(now);
    if view.waiting.is_empty() && view.ledger.admit(now) {
        return operation_flow::admitted(ctx, job);
    }
    if view.waiting.len() >= WAITING_MAX {
        return operation_flow::refuse(ctx, job, request_verdict::VerdictCause::OverRate);
    }
    let until = now.after(ctx.tuning.share_wait);
    ctx.accounts[account].waiting.push_back(job);
    ctx.jobs[job].phase = job_state::JobPhase::AwaitShare { until };
    ctx.timers.push(until, proxy_context::ProxyTimer::Job(job));
    ask_peers(ctx, account);
}

/// Looks after the accounts: lets waiting requests go on, and asks for loans ahead of need.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    let accounts: Vec<arena_keys::AccountKey> = ctx.accounts.keys().collect();
    for account in accounts {
        if ctx.accounts[account].ledger.idle(ctx.now) {
            continue;
        }
        pump(ctx, account);
        ask_peers(ctx, account);
    }
}

/// Answers a peer that asks for a loan.
pub fn on_ask(
    ctx: &mut proxy_context::ProxyContext,
    host: &str,
    account: String,
    dealing: u64,
    want: share_ledger::ShareGrant,
    asked: u64,
) {
    let Some(address) = ctx.members.get(host).map(|member| member.record.address.clone()) else {
        return;
    };
    let now = ctx.now;
    let same = dealing == ctx.dealing.number && ctx.stopping.is_none();
    let view = ctx.account_names.get(&account).and_then(|key| ctx.accounts.get_mut(*key));
    let grant = view
        .filter(|view| same && view.waiting.is_empty())
        .and_then(|view| view.ledger.lend(now, host, want));
    let message = peer_datagram::PeerDatagram::LoanGiven { account, grant, asked };
    tell(ctx, address, message);
}

/// Takes up a peer's loan.
pub fn on_given(
    ctx: &mut proxy_context::ProxyContext,
    account: &str,
    grant: Option<share_ledger::ShareGrant>,
    asked: u64,
) {
    let Some(account) = ctx.account_names.get(account).copied() else { return };
    let now = ctx.now;
    if let Some(grant) = grant {
        let asked = clock_time::ClockTime::from_micros(asked);
        ctx.accounts[account].ledger.borrow(now, asked, grant);
    }
    pump(ctx, account);
    if !ctx.accounts[account].waiting.is_empty() {
        ask_peers(ctx, account);
    }
}

/// Sends a datagram.
pub fn tell(
    ctx: &mut proxy_context::ProxyContext,
    address: String,
    message: peer_datagram::PeerDatagram,
) {
    ctx.counts.datagrams += 1;
    ctx.actions.push(proxy_message::ProxyAction::TellPeer { address, message });
}

fn pump(ctx: &mut proxy_context::ProxyContext, account: arena_keys::AccountKey) {
    let now = ctx.now;
    loop {
        let view = &mut ctx.accounts[account];
        if view.waiting.is_empty() || !view.ledger.admit(now) {
            return;
        }
        let Some(job) = view.waiting.pop_front() else { return };
        operation_flow::admitted(ctx, job);
    }
}

fn ask_peers(ctx: &mut proxy_context::ProxyContext, account: arena_keys::AccountKey) {
    let now = ctx.now;
    let view = &mut ctx.accounts[account];
    if now.since(view.asked) < ASK_GAP {
        return;
    }
    let waiting = view.waiting.len();
    let Some(want) = view.ledger.shortage(now, waiting) else { return };
    view.asked = now;
    let name = view.name.clone();
    let own = ctx.identity.host.clone();
    let reachable = ctx.members.values().filter(|member| {
        let heard = member.heard.is_some_and(|heard| now.since(heard) < HEARD_FOR);
        heard && member.gone.is_none() && member.record.host != own
    });
    let lenders: Vec<String> =
        reachable.map(|member| member.record.address.clone()).sample(&mut ctx.rng, LENDERS_ASKED);
    let want = want.split(lenders.len());
    let dealing = ctx.dealing.number;
    for address in lenders {
        let (host, account) = (own.clone(), name.clone());
        let asked = now.as_micros();
        let message = peer_datagram::PeerDatagram::LoanAsk { host, account, dealing, want, asked };
        tell(ctx, address, message);
    }
}
