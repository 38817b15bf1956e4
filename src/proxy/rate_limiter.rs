//! Rate limiting: allocates shares of the accounts' rates and bursts to hosts, and charges requests
//! to them.
//!
//! The home hosts of an account, chosen from the roster, hold equal shares. A share that grows is
//! activated only when every host uses the same allocation, so that the sum of all shares never
//! exceeds the account's rate. A host without tokens requests that home hosts spend theirs for it.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::core::arena_keys;
use crate::core::rendezvous_rank;
use crate::core::request_verdict;
use crate::core::share_ledger;
use crate::proxy::member_view;
use crate::proxy::peer_datagram;
use crate::proxy::pending_request;
use crate::proxy::proxy_config;
use crate::proxy::proxy_context;
use crate::proxy::proxy_tuning;
use crate::proxy::request_flow;
use crate::proxy::return_schedule;
use crate::proxy::token_outlook;

/// Most peers that receive a token request in one round.
const PEERS_PER_ROUND: usize = 3;
/// Least interval between rounds of token requests, whatever their replies.
const ROUND_INTERVAL_MIN: Duration = Duration::from_millis(1);
/// Most requests of one account that wait for a token.
const WAITING_MAX: usize = 64;
/// Time after which a peer that has not replied to a token request counts as unresponsive: a few
/// round trips between data centres.
const REPLY_TIMEOUT: Duration = Duration::from_millis(12);
/// How long no token requests are sent to an unresponsive peer.
pub const SKIP_DURATION: Duration = Duration::from_millis(500);
/// Time for which the reply to a token request counts; no request waits longer for a token.
const REPLY_VALIDITY: Duration = Duration::from_millis(500);
/// Pause after the first search in which no home host had a token; doubled with each further one.
/// Hundreds of hosts would otherwise fill the links of the home hosts of an account over its rate.
const FRUITLESS_SEARCH_PAUSE: Duration = Duration::from_millis(10);
/// Most doublings of that pause.
const FRUITLESS_DOUBLINGS_MAX: u32 = 5;
/// Burst per home host, in tokens. Less would make a share useless, so small accounts have fewer
/// home hosts.
const HOME_BURST: f64 = 2.0;
/// Fraction of the tolerated excess that one start of the whole fleet may use. The rest covers a
/// second start in the same window and tokens in transit.
const START_FRACTION: f64 = 0.25;
/// Most home hosts of one account. The share of each is lost when it crashes, and tokens spread
/// over more hosts are harder to find.
const HOMES_MAX: usize = 12;
/// How long a host counts as reachable after its last heartbeat.
const REACHABLE_FOR: Duration = Duration::from_millis(2_000);
/// Time after which unreachable hosts no longer keep an allocation from being confirmed.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Delay between the confirmation of an allocation and its activation, for requests admitted under
/// the previous one.
const ACTIVATION_MARGIN: Duration = Duration::from_millis(50);

/// Allocates shares again if the roster or the configuration has changed.
pub fn allocate_shares(ctx: &mut proxy_context::ProxyContext) {
    let Some(config) = ctx.config.clone() else { return };
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(&config.version.to_le_bytes());
    let hosts = ctx.roster_hosts();
    rendezvous_rank::hash_names(&mut hasher, &hosts);
    let hash = hasher.digest();
    if hash == ctx.allocation.hash || hosts.is_empty() {
        return;
    }
    let now = ctx.now;
    let own = &ctx.identity.host;
    ctx.allocation = proxy_context::AllocationState {
        hash,
        hosts: hosts.clone(),
        since: now,
        confirmed: false,
        ever_activated: ctx.allocation.ever_activated,
    };
    for account in ctx.accounts.values_mut() {
        let object = config.accounts.get(&account.name).cloned();
        if object != account.object {
            log::info!("event=account_limit account={} limit={object:?}", account.name);
        }
        account.homes = object.as_ref().map_or(Vec::new(), |object| homes_of(object, &hosts));
        let allocation = allocation_hash(object.as_ref(), &account.homes);
        if allocation == account.allocation {
            // The share did not change, so its ledger keeps its tokens and loans.
            continue;
        }
        account.allocation = allocation;
        let part = object
            .as_ref()
            .map_or_else(Default::default, |object| share_of(object, &account.homes, own));
        account.object = object;
        account.ledger.allocate(now, part);
    }
    log::info!(
        "event=shares_allocated hosts={} version={} allocation={hash:x}",
        hosts.len(),
        config.version
    );
    confirm_allocation(ctx);
}

/// Returns the home hosts of an account: as many as its burst supports, within bounds.
fn homes_of(object: &proxy_config::AccountObject, hosts: &[String]) -> Vec<String> {
    let max_homes = hosts.len().clamp(1, HOMES_MAX);
    let homes = ((object.burst / HOME_BURST) as usize).clamp(1, max_homes);
    let ranked = rendezvous_rank::rank(&object.name, hosts.iter().map(String::as_str));
    ranked.into_iter().take(homes).map(str::to_owned).collect()
}

/// Returns a hash of the account's rate, its burst and its home hosts.
fn allocation_hash(object: Option<&proxy_config::AccountObject>, homes: &[String]) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    if let Some(object) = object {
        hasher.update(&object.rate.to_le_bytes());
        hasher.update(&object.burst.to_le_bytes());
    }
    rendezvous_rank::hash_names(&mut hasher, homes);
    hasher.digest()
}

/// Returns a host's share of an account: an equal part for home hosts, nothing for others.
fn share_of(
    object: &proxy_config::AccountObject,
    homes: &[String],
    host: &String,
) -> share_ledger::SharePart {
    if !homes.contains(host) {
        return share_ledger::SharePart::default();
    }
    let count = homes.len() as f64;
    share_ledger::SharePart { rate: object.rate / count, burst: object.burst / count }
}

/// Confirms the allocation and activates its shares once all hosts use it.
pub fn confirm_allocation(ctx: &mut proxy_context::ProxyContext) {
    if ctx.allocation.confirmed || ctx.allocation.hash == 0 {
        return;
    }
    if !all_hosts_agree(ctx) {
        return;
    }
    ctx.allocation.confirmed = true;
    let activation_time = ctx.now.after(ACTIVATION_MARGIN);
    // Neither this process nor an earlier one on this host has spent tokens since this process
    // started.
    let unspent_since_start = (!ctx.allocation.ever_activated).then(|| ctx.now.since(ctx.started));
    ctx.allocation.ever_activated = true;
    for account in ctx.accounts.values_mut() {
        account.ledger.activate_at(activation_time);
        if let (Some(since_start), Some(object)) = (unspent_since_start, &account.object) {
            account.ledger.credit_accrual(since_start);
            account
                .ledger
                .credit_tokens(start_tokens(object, &ctx.tuning) / account.homes.len() as f64);
        }
    }
    log::info!("event=shares_activated allocation={:x}", ctx.allocation.hash);
}

/// Returns the tokens that an account's home hosts start with in total, so that callers who
/// reconnect after an outage of the whole fleet need not wait for tokens to accrue.
///
/// It is not known what the earlier processes had spent. The tokens are therefore a fraction of the
/// excess over the quota that is tolerated.
fn start_tokens(object: &proxy_config::AccountObject, tuning: &proxy_tuning::ProxyTuning) -> f64 {
    let limit = object.rate * tuning.quota_window.as_secs_f64() + object.burst;
    (limit * tuning.quota_overshoot + tuning.quota_slack) * START_FRACTION
}

/// Returns whether every running host uses the same allocation as this one. Unreachable hosts
/// prevent that only for a limited time.
///
/// A witness receives the heartbeats of all hosts. Any other host relies on the confirmation of a
/// witness, and after a time without any reachable witness on its own allocation alone.
fn all_hosts_agree(ctx: &proxy_context::ProxyContext) -> bool {
    let within_timeout = ctx.now.since(ctx.allocation.since) < CONFIRMATION_TIMEOUT;
    let reachable = |member: &member_view::MemberView| {
        member.last_heartbeat.is_some_and(|arrived| ctx.now.since(arrived) < REACHABLE_FOR)
    };
    if !ctx.is_witness() {
        let witnesses = ctx.witnesses.hosts.iter().filter_map(|host| ctx.members.get(host));
        let confirmed = |member: &member_view::MemberView| {
            member.allocation_confirmed && member.allocation == ctx.allocation.hash
        };
        return witnesses.clone().any(confirmed)
            || (!within_timeout && !witnesses.clone().any(reachable));
    }
    let own = &ctx.identity.host;
    ctx.members.values().filter(|member| member.removed_at.is_none()).all(|member| {
        member.record.host == *own
            || (reachable(member) && member.allocation == ctx.allocation.hash)
            || (!reachable(member) && !within_timeout)
    })
}

/// Charges a request to its account's share. The request is admitted, waits for a token of a peer
/// or is refused.
pub fn charge(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    let now = ctx.now;
    let Some(account) = ctx.requests[request].account else {
        return request_flow::on_admitted(ctx, request);
    };
    let view = &mut ctx.accounts[account];
    view.history.record_arrival(now);
    if view.waiting.is_empty() && view.ledger.admit(now) {
        view.history.record_admission(now);
        return request_flow::on_admitted(ctx, request);
    }
    let bound = ctx.tuning.token_wait.min(ctx.requests[request].route.target_latency / 2);
    let waiting = view.waiting.len();
    let input = outlook_input(ctx, account, waiting, bound);
    if waiting >= WAITING_MAX || token_outlook::decide(&input) == token_outlook::TokenPlan::Refuse {
        return request_flow::refuse(ctx, request, request_verdict::VerdictCause::OverRate);
    }
    let until = now.after(bound);
    let home = ctx.accounts[account].homes.contains(&ctx.identity.host);
    if !home && reachable_homes(ctx, account).next().is_none() {
        return request_flow::refuse(ctx, request, request_verdict::VerdictCause::ShareClosed);
    }
    ctx.accounts[account].waiting.push_back(request);
    ctx.requests[request].phase = pending_request::RequestPhase::AwaitingShare { until };
    ctx.timers.push(until, proxy_context::ProxyTimer::Request(request));
    schedule_accrual_check(ctx, account);
    request_tokens(ctx, account);
}

/// Handles a peer's request for tokens. A repeated request spends none.
pub fn on_token_request(
    ctx: &mut proxy_context::ProxyContext,
    host: &str,
    account: String,
    allocation: u64,
    count: u32,
    id: Option<peer_datagram::TokenAskId>,
) {
    let now = ctx.now;
    let Some(member) = ctx.members.get_mut(host) else { return };
    member.token_asks.retain(|_, arrived| now.since(*arrived) < REPLY_VALIDITY);
    if id.is_some_and(|id| member.token_asks.insert(id, now).is_some()) {
        return;
    }
    let address = member.record.address.clone();
    let view = ctx.account_names.get(&account).and_then(|key| ctx.accounts.get_mut(*key));
    let view = view.filter(|view| view.allocation == allocation && view.waiting.is_empty());
    let count = view.map_or(0, |view| view.ledger.spend_for_peer(now, count));
    let host = ctx.identity.host.clone();
    let reply = peer_datagram::PeerDatagram::TokenGiven { host, account, count, id };
    ctx.send_datagram(address, reply);
}

/// Handles a peer's reply to a request for tokens. The tokens of a repeated reply count once.
pub fn on_token_reply(
    ctx: &mut proxy_context::ProxyContext,
    host: &str,
    account: &str,
    count: u32,
    id: Option<peer_datagram::TokenAskId>,
) {
    let Some(account) = ctx.account_names.get(account).copied() else { return };
    let now = ctx.now;
    let own = id.filter(|id| id.incarnation == ctx.identity.incarnation);
    let asks = &mut ctx.accounts[account].open_asks;
    let asked_at = own.and_then(|id| asks.remove(&id.number));
    if asked_at.is_none_or(|asked_at| now.since(asked_at) >= REPLY_VALIDITY) {
        return;
    }
    if let Some(member) = ctx.members.get_mut(host) {
        member.skipped_until = now;
    }
    ctx.accounts[account].pending_peers.retain(|peer| peer != host);
    let peers = reachable_homes(ctx, account).count();
    let view = &mut ctx.accounts[account];
    if count > 0 {
        view.ledger.add_prepaid_tokens(now, count);
        view.empty_replies = 0;
        view.fruitless_searches = 0;
        view.history.record_search(now, count);
    } else {
        view.empty_replies += 1;
    }
    admit_waiting(ctx, account);
    let view = &mut ctx.accounts[account];
    if view.waiting.is_empty() {
        return;
    }
    if view.empty_replies < peers {
        return request_tokens(ctx, account);
    }
    view.empty_replies = 0;
    view.history.record_search(now, 0);
    view.requested_at = now;
    let doublings = view.fruitless_searches.min(FRUITLESS_DOUBLINGS_MAX);
    view.fruitless_searches += 1;
    view.next_search = now.after(FRUITLESS_SEARCH_PAUSE * (1 << doublings));
    ctx.timers.push(view.next_search, proxy_context::ProxyTimer::Share(account));
    refuse_hopeless(ctx, account);
}

/// Refuses the waiting requests for which no token is expected in time. Those with the least time
/// left of their target latency get the earliest slots for their return.
fn refuse_hopeless(ctx: &mut proxy_context::ProxyContext, account: arena_keys::AccountKey) {
    let mut refused = Vec::new();
    let mut ahead = 0;
    for request in ctx.accounts[account].waiting.clone() {
        let left = match ctx.requests[request].phase {
            pending_request::RequestPhase::AwaitingShare { until } => until.since(ctx.now),
            _ => Duration::ZERO,
        };
        let mut input = outlook_input(ctx, account, ahead, left);
        // Promised returns come after requests that wait already.
        input.promised = 0.0;
        match token_outlook::may_wait(&input) {
            true => ahead += 1,
            false => refused.push(request),
        }
    }
    ctx.accounts[account].waiting.retain(|request| !refused.contains(request));
    refused.sort_by_key(|request| {
        let state = &ctx.requests[*request];
        state.arrived.after(state.route.target_latency)
    });
    for request in refused {
        request_flow::refuse(ctx, request, request_verdict::VerdictCause::OverRate);
    }
}

/// Returns the inputs of the decision about a request that `ahead` others of its account wait
/// before.
fn outlook_input(
    ctx: &mut proxy_context::ProxyContext,
    account: arena_keys::AccountKey,
    ahead: usize,
    bound: Duration,
) -> token_outlook::OutlookInput {
    let now = ctx.now;
    let spacing = return_spacing(ctx, account);
    let searchable = reachable_homes(ctx, account).next().is_some();
    let view = &mut ctx.accounts[account];
    let home = view.homes.contains(&ctx.identity.host);
    let doublings = view.fruitless_searches.min(FRUITLESS_DOUBLINGS_MAX);
    let rate = view.object.as_ref().map_or(0.0, |object| object.rate);
    token_outlook::OutlookInput {
        over_rate: view.history.over_rate(now),
        allowance: token_outlook::waiting_allowance(rate, ctx.tuning.token_wait),
        ahead,
        promised: view.returns.promised_within(now, bound, spacing),
        own_token: home.then(|| view.ledger.wait_for_token(now)),
        own_rate: view.ledger.allocated().rate,
        account_rate: rate,
        found_per_search: match searchable {
            true => view.history.found_expected(now),
            false => 0.0,
        },
        next_search: view.next_search.since(now),
        search_pause: FRUITLESS_SEARCH_PAUSE * (1 << doublings),
        bound,
    }
}

/// Returns log fields with what this host expects of the account's tokens.
pub fn describe_outlook(
    ctx: &mut proxy_context::ProxyContext,
    account: arena_keys::AccountKey,
) -> String {
    let waiting = ctx.accounts[account].waiting.len();
    let input = outlook_input(ctx, account, waiting, ctx.tuning.token_wait);
    let expected = token_outlook::expected_wait(&input);
    let expected_ms = expected.map_or(-1, |wait| wait.as_millis() as i64);
    let view = &ctx.accounts[account];
    let search_age = ctx.now.since(view.history.searched_at).as_millis();
    format!(
        "token_expected_ms={expected_ms} waiting={waiting} found_per_search={:.2} \
         over_rate={} \
         search_age_ms={search_age} next_search_ms={} promised={:.1}",
        input.found_per_search,
        input.over_rate,
        input.next_search.as_millis(),
        input.promised
    )
}

/// Returns the time between the returns that this host promises to callers of the account.
fn return_spacing(ctx: &proxy_context::ProxyContext, account: arena_keys::AccountKey) -> Duration {
    let view = &ctx.accounts[account];
    let rate = view.object.as_ref().map_or(0.0, |object| object.rate);
    let admitted = view.history.admission_rate(ctx.now);
    return_schedule::account_spacing(rate, admitted, ctx.allocation.hosts.len())
}

/// Sets a timer for the next token that this host's share accrues for a waiting request.
fn schedule_accrual_check(ctx: &mut proxy_context::ProxyContext, account: arena_keys::AccountKey) {
    let now = ctx.now;
    let view = &mut ctx.accounts[account];
    let home = view.homes.contains(&ctx.identity.host);
    // Below the rate, peers spend tokens for the waiting requests, and those of this host would
    // leave some of these unused.
    if !home || !view.history.over_rate(now) || view.waiting.is_empty() {
        return;
    }
    if now < view.accrual_check_at {
        return;
    }
    view.accrual_check_at = now.after(view.ledger.wait_for_token(now));
    ctx.timers.push(view.accrual_check_at, proxy_context::ProxyTimer::Share(account));
}

/// Admits the requests whose tokens have accrued, and requests tokens from peers for the remaining
/// ones.
pub fn on_timer(ctx: &mut proxy_context::ProxyContext, account: arena_keys::AccountKey) {
    admit_waiting(ctx, account);
    if ctx.now.since(ctx.accounts[account].requested_at) >= REPLY_TIMEOUT {
        let until = ctx.now.after(SKIP_DURATION);
        for host in std::mem::take(&mut ctx.accounts[account].pending_peers) {
            if let Some(member) = ctx.members.get_mut(&host) {
                member.skipped_until = until;
            }
        }
    }
    let view = &ctx.accounts[account];
    // Each round sets its own timer; only that of the latest round has an effect.
    if !view.waiting.is_empty() && ctx.now.since(view.requested_at) >= FRUITLESS_SEARCH_PAUSE {
        request_tokens(ctx, account);
    }
}

fn admit_waiting(ctx: &mut proxy_context::ProxyContext, account: arena_keys::AccountKey) {
    let now = ctx.now;
    loop {
        let view = &mut ctx.accounts[account];
        if view.waiting.is_empty() || !view.ledger.admit(now) {
            return schedule_accrual_check(ctx, account);
        }
        let Some(request) = view.waiting.pop_front() else { return };
        view.history.record_admission(now);
        request_flow::on_admitted(ctx, request);
    }
}

/// Requests tokens from home hosts in turn: from one host for each token needed, up to
/// `PEERS_PER_ROUND`.
fn request_tokens(ctx: &mut proxy_context::ProxyContext, account: arena_keys::AccountKey) {
    let now = ctx.now;
    let view = &ctx.accounts[account];
    if now.since(view.requested_at) < ROUND_INTERVAL_MIN || now < view.next_search {
        return;
    }
    let waiting = view.waiting.len();
    let address_of = |member: &member_view::MemberView| {
        (member.record.host.clone(), member.record.address.clone())
    };
    let peers: Vec<(String, String)> = reachable_homes(ctx, account).map(address_of).collect();
    if peers.is_empty() {
        return;
    }
    let count = waiting.clamp(1, PEERS_PER_ROUND).min(peers.len());
    ctx.timers.push(now.after(REPLY_TIMEOUT), proxy_context::ProxyTimer::Share(account));
    let view = &mut ctx.accounts[account];
    view.requested_at = now;
    let first = view.next_peer;
    view.next_peer = (first + count) % peers.len();
    let (name, allocation) = (view.name.clone(), view.allocation);
    view.open_asks.retain(|_, sent_at| now.since(*sent_at) < REPLY_VALIDITY);
    let wanted = waiting.div_ceil(count) as u32;
    for step in 0..count {
        let (host, address) = peers[(first + step) % peers.len()].clone();
        let number = ctx.next_call_id();
        let view = &mut ctx.accounts[account];
        view.open_asks.insert(number, now);
        view.pending_peers.push(host);
        let incarnation = ctx.identity.incarnation;
        let message = peer_datagram::PeerDatagram::TokenAsk {
            host: ctx.identity.host.clone(),
            account: name.clone(),
            allocation,
            count: wanted,
            id: Some(peer_datagram::TokenAskId { incarnation, number }),
        };
        ctx.send_datagram(address, message);
    }
}

/// Returns after which delay a caller whose request got no token may return: when the account's
/// tokens cover this caller and those refused before it.
pub fn retry_after(
    ctx: &mut proxy_context::ProxyContext,
    account: arena_keys::AccountKey,
) -> Duration {
    let now = ctx.now;
    let spacing = return_spacing(ctx, account);
    let random = ctx.random_fraction();
    let view = &mut ctx.accounts[account];
    let rate = view.object.as_ref().map_or(0.0, |object| object.rate);
    let next_token = if view.homes.contains(&ctx.identity.host) || rate <= 0.0 {
        view.ledger.wait_for_token(now)
    } else {
        Duration::try_from_secs_f64(view.homes.len() as f64 / rate)
            .unwrap_or(return_schedule::RETRY_MAX)
    };
    view.returns.assign(now, next_token, spacing, random)
}

/// Returns the account's other home hosts to which token requests may be sent. Those that did not
/// reply lately are left out. Those without a recent heartbeat are left out only where every host
/// is a witness, because elsewhere not every host sends heartbeats to this one. A home host without
/// a member record is kept, because it may be cut off from the store only.
fn reachable_homes(
    ctx: &proxy_context::ProxyContext,
    account: arena_keys::AccountKey,
) -> impl Iterator<Item = &member_view::MemberView> {
    let own = &ctx.identity.host;
    let all_witnesses = ctx.all_witnesses();
    let homes = ctx.accounts[account].homes.iter().filter(move |host| *host != own);
    homes.filter_map(|host| ctx.members.get(host)).filter(move |member| {
        let reachable =
            member.last_heartbeat.is_some_and(|arrived| ctx.now.since(arrived) < REACHABLE_FOR);
        (reachable || !all_witnesses) && ctx.now >= member.skipped_until
    })
}
