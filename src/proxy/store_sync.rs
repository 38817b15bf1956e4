//! Store sync: reads all items of the store once and then watches for changes.
//!
//! A host that loses the store keeps what it has read. A configuration is never replaced by an
//! older version.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::core::arena_keys;
use crate::core::chart_cursor;
use crate::core::clock_time;
use crate::core::rendezvous_rank;
use crate::core::share_ledger;
use crate::proxy::change_relay;
use crate::proxy::config_read;
use crate::proxy::coordinator_election;
use crate::proxy::endpoint_flow;
use crate::proxy::failover_flow;
use crate::proxy::group_view;
use crate::proxy::heartbeat_flow;
use crate::proxy::holder_flow;
use crate::proxy::member_view;
use crate::proxy::membership_flow;
use crate::proxy::proxy_config;
use crate::proxy::proxy_context;
use crate::proxy::rate_limiter;
use crate::proxy::request_flow;
use crate::proxy::store_message;
use crate::proxy::store_record;
use crate::proxy::store_restore;
use crate::proxy::store_revision;
use crate::proxy::store_session;
use crate::proxy::sync_source;
use crate::proxy::token_outlook;
use crate::proxy::usage_flow;
use crate::proxy::usage_record;
use crate::proxy::witness_selection;

/// Number of witnesses that keep short watches. With three, one may be cut off from the store and
/// another one crash.
const SHORT_WATCHES: usize = 3;
/// Pause before the next watch after one that returned changes, in fleets where not every host is a
/// witness. Changes come in groups, and each one alone would wake all hosts.
const CHANGES_PAUSE: Duration = Duration::from_millis(100);
/// The same for hosts that get changes from peers.
const CHANGES_PAUSE_FOLLOWER: Duration = Duration::from_millis(400);
/// How long the first watch waits until this host is registered, so that it returns the changes up
/// to the registration at once.
const REGISTRATION_WAIT: Duration = Duration::from_millis(2_000);
/// Longest wait for one page of a full read; doubled after each page that did not arrive.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Most doublings of that wait.
const LIST_DOUBLINGS_MAX: u32 = 2;
/// Time beyond its wait that a watch may take; doubled after each watch without a reply.
const WATCH_MARGIN: Duration = Duration::from_millis(600);
/// Most doublings of that time.
const WATCH_DOUBLINGS_MAX: u32 = 3;
/// Most doublings of the pause between failed store requests.
const PAUSE_DOUBLINGS_MAX: u32 = 2;
/// The same for hosts of a large fleet that do not watch the store. All of them make requests
/// when the store is down.
const PAUSE_DOUBLINGS_MAX_FOLLOWER: u32 = 3;

/// Sends the store requests that are due.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    reopen_stale_watch(ctx);
    store_restore::on_tick(ctx);
    if !ctx.store.read_pending && ctx.now >= ctx.store.next_read {
        continue_reading(ctx);
    }
    if !ctx.stopped {
        config_read::on_tick(ctx);
    }
    let stopping = ctx.stopping.is_some();
    if !ctx.store.lease_call_pending && ctx.now >= ctx.store.next_lease && !ctx.stopped {
        membership_flow::maintain_membership(ctx, stopping);
    }
}

/// Handles a reply of the store.
pub fn on_reply(
    ctx: &mut proxy_context::ProxyContext,
    call: &store_session::StoreCall,
    stamped: store_message::StampedReply,
) {
    record_outcome(ctx, call, &stamped.reply);
    let reply = store_restore::check_era(ctx, call, stamped);
    match &call.purpose {
        store_session::StorePurpose::List => on_listed(ctx, call, reply),
        store_session::StorePurpose::ConfigRead => config_read::on_reply(ctx, reply),
        store_session::StorePurpose::Watch { .. } => on_changed(ctx, call, reply),
        store_session::StorePurpose::MembershipLease => {
            membership_flow::on_lease_reply(ctx, call, &reply)
        }
        store_session::StorePurpose::MemberRecord { lease } => {
            membership_flow::on_member_record_reply(ctx, *lease, &reply)
        }
        store_session::StorePurpose::RosterRecord => membership_flow::on_roster_reply(ctx, &reply),
        store_session::StorePurpose::DepartureRemoval => {
            membership_flow::on_departure_reply(ctx, &reply)
        }
        store_session::StorePurpose::MembershipRenewal { lease } => {
            membership_flow::on_renewal_reply(ctx, call, *lease, &reply)
        }
        store_session::StorePurpose::CoordinatorLease => {
            coordinator_election::on_lease_reply(ctx, call, &reply)
        }
        store_session::StorePurpose::CoordinatorRecord => {
            coordinator_election::on_record_reply(ctx, &reply)
        }
        store_session::StorePurpose::CoordinatorRenewal => {
            coordinator_election::on_renewal_reply(ctx, call, &reply)
        }
        store_session::StorePurpose::GroupRecord { group, record } => {
            failover_flow::on_record_reply(ctx, *group, record.clone(), &reply);
        }
        store_session::StorePurpose::HolderRecord { group, record } => {
            holder_flow::on_reply(ctx, *group, record.clone(), &reply);
        }
        store_session::StorePurpose::UsageRecord { record } => {
            usage_flow::on_record_reply(ctx, record.clone(), &reply);
        }
        store_session::StorePurpose::IgnoreReply => {}
    }
    on_tick(ctx);
}

fn record_outcome(
    ctx: &mut proxy_context::ProxyContext,
    call: &store_session::StoreCall,
    reply: &store_message::StoreReply,
) {
    *ctx.counts.store_replies.entry((call.purpose.name(), reply_name(reply))).or_default() += 1;
    let failed =
        matches!(reply, store_message::StoreReply::NoReply | store_message::StoreReply::Refused);
    let age = ctx.now.since(ctx.store.last_reply_at).as_millis();
    if !failed {
        ctx.store.last_reply_at = ctx.now;
        ctx.store.failures = 0;
    } else {
        ctx.store.failures = ctx.store.failures.saturating_add(1);
    }
    if failed != ctx.store.last_call_failed {
        ctx.store.last_call_failed = failed;
        let revision = ctx.store.revision;
        let event = if failed { "store_lost" } else { "store_regained" };
        if !failed {
            abandon_watch(ctx);
        }
        log::warn!(
            "event={event} last_answer_ms={age} revision={revision:?} reply={}",
            reply_name(reply)
        );
    }
}

fn is_watch(call: &store_session::StoreCall) -> bool {
    matches!(call.purpose, store_session::StorePurpose::Watch { .. })
}

/// Abandons what is pending of reads and watches, and reads everything again.
pub fn read_again(ctx: &mut proxy_context::ProxyContext, scope: store_message::ListScope) {
    ctx.store_calls.retain(|_, call| {
        !is_watch(call) && !matches!(call.purpose, store_session::StorePurpose::List)
    });
    ctx.store.read_pending = false;
    ctx.store.reading = Some(store_session::FullReading::new(scope));
}

/// Abandons the pending watch: after an outage the store may have forgotten it.
fn abandon_watch(ctx: &mut proxy_context::ProxyContext) {
    let before = ctx.store_calls.len();
    ctx.store_calls.retain(|_, call| !is_watch(call));
    if ctx.store_calls.len() < before {
        ctx.store.read_pending = false;
        ctx.store.next_read = ctx.now;
    }
}

/// Records that a peer knows the store up to `revision`.
pub fn note_peer_revision(
    ctx: &mut proxy_context::ProxyContext,
    revision: store_revision::StoreRevision,
) {
    if ctx.store.revision.is_some_and(|known| known < revision) {
        let now = ctx.now;
        ctx.store.behind_since.get_or_insert(now);
    }
}

/// Reopens the watch if it has returned nothing although a peer has known a later revision for too
/// long.
fn reopen_stale_watch(ctx: &mut proxy_context::ProxyContext) {
    let Some(since) = ctx.store.behind_since else { return };
    let old = ctx.store_calls.values().any(|call| is_watch(call) && call.sent < since);
    if old && ctx.now.since(since) >= ctx.tuning.watch_lag_limit {
        log::info!("event=watch_behind revision={:?}", ctx.store.revision);
        abandon_watch(ctx);
    }
}

/// Returns whether this host is one of the few that keep short watches.
fn keeps_short_watch(ctx: &proxy_context::ProxyContext) -> bool {
    let own = &ctx.identity.host;
    let running = |host: &&str| ctx.is_running(host);
    let hosts = ctx.witnesses.hosts.iter().map(String::as_str).filter(running);
    let ranked = rendezvous_rank::rank("watch", hosts);
    let first = ranked.iter().take(SHORT_WATCHES).any(|host| host == own);
    first || (ranked.is_empty() && !ctx.is_witness())
}

fn reply_name(reply: &store_message::StoreReply) -> &'static str {
    match reply {
        store_message::StoreReply::NoReply => "unanswered",
        store_message::StoreReply::Refused => "refused",
        _ => "answered",
    }
}

/// Returns when a store request may be retried after a failure.
pub fn retry_time(ctx: &mut proxy_context::ProxyContext) -> clock_time::ClockTime {
    let follower = !ctx.all_witnesses() && !change_relay::is_watcher(ctx);
    let doublings_max = if follower { PAUSE_DOUBLINGS_MAX_FOLLOWER } else { PAUSE_DOUBLINGS_MAX };
    let doublings = ctx.store.failures.min(doublings_max);
    let delay = ctx.tuning.store_pause * (1 << doublings);
    let delay = ctx.with_jitter(delay);
    ctx.now.after(delay)
}

fn continue_reading(ctx: &mut proxy_context::ProxyContext) {
    let registering = ctx.store.first_registered.is_none() && ctx.stopping.is_none();
    if registering && ctx.store.listed_at.is_some_and(|at| ctx.now.since(at) < REGISTRATION_WAIT) {
        return;
    }
    let (purpose, request) = match (&ctx.store.reading, ctx.store.revision) {
        (None, Some(after)) => {
            let sync_source::SyncSource::Store(wait) = sync_source::choose(sync_inputs(ctx)) else {
                return;
            };
            match reads_in_place_of_watch(ctx) {
                true => list_next_page(ctx),
                false => {
                    let limit = wait + watch_margin(ctx);
                    let request = store_message::StoreRequest::Watch { after, wait, limit };
                    (store_session::StorePurpose::Watch { after }, request)
                }
            }
        }
        _ => list_next_page(ctx),
    };
    ctx.store.read_pending = true;
    ctx.call_store(purpose, request);
}

/// Returns the time beyond its wait that a watch may take. In a large fleet, a watch that is repeated
/// too soon adds to the load that delayed its reply.
fn watch_margin(ctx: &proxy_context::ProxyContext) -> Duration {
    let doublings_max = if ctx.all_witnesses() { 0 } else { WATCH_DOUBLINGS_MAX };
    WATCH_MARGIN * (1 << ctx.store.watch_failures.min(doublings_max))
}

/// Returns whether this host reads the items again in place of a watch: a watch could bring it the
/// configuration before its turn.
fn reads_in_place_of_watch(ctx: &proxy_context::ProxyContext) -> bool {
    ctx.config.is_none()
        && ctx.store.config_read.is_some()
        && ctx.roster.len() > ctx.tuning.witnesses_all
}

/// Returns which items a full read returns. A host without a configuration reads that later, in turn
/// with the other hosts.
fn list_scope(ctx: &proxy_context::ProxyContext) -> store_message::ListScope {
    match ctx.config.is_some() {
        true => store_message::ListScope::All,
        false => store_message::ListScope::WithoutConfig,
    }
}

fn list_next_page(
    ctx: &mut proxy_context::ProxyContext,
) -> (store_session::StorePurpose, store_message::StoreRequest) {
    let scope = list_scope(ctx);
    let reading = ctx.store.reading.get_or_insert_with(|| store_session::FullReading::new(scope));
    let (scope, after) = (reading.scope, reading.next.clone());
    (store_session::StorePurpose::List, list_request(ctx, scope, after))
}

/// Returns the request for the page after a key. Where pages did not arrive in time, as when hundreds
/// of hosts read over one link, the next ones may take longer; a repeated read adds to the load.
fn list_request(
    ctx: &proxy_context::ProxyContext,
    scope: store_message::ListScope,
    after: Option<String>,
) -> store_message::StoreRequest {
    let doublings = ctx.store.list_failures.min(LIST_DOUBLINGS_MAX);
    store_message::StoreRequest::List { scope, after, limit: LIST_TIMEOUT * (1 << doublings) }
}

fn sync_inputs(ctx: &proxy_context::ProxyContext) -> sync_source::SyncInputs {
    let all_watch = ctx.all_witnesses();
    sync_source::SyncInputs {
        all_watch,
        watcher: !all_watch && change_relay::is_watcher(ctx),
        short_watch: all_watch && keeps_short_watch(ctx),
        registration_known: ctx.store.knows_own_registration(),
        age: ctx.now.since(ctx.store.synced_at),
        behind_for: ctx.store.behind_since.map(|since| ctx.now.since(since)),
        changes_missing: ctx.relay.changes_missing,
        wait_short: ctx.tuning.watch_wait_short,
        wait_long: ctx.tuning.watch_wait_long,
    }
}

fn on_listed(
    ctx: &mut proxy_context::ProxyContext,
    call: &store_session::StoreCall,
    reply: store_message::StoreReply,
) {
    ctx.store.read_pending = false;
    let store_message::StoreReply::Listed { items, next, revision } = reply else {
        ctx.store.list_failures = ctx.store.list_failures.saturating_add(1);
        ctx.store.next_read = retry_time(ctx);
        return;
    };
    let Some(reading) = &mut ctx.store.reading else { return };
    let started_at = *reading.started_at.get_or_insert(call.sent);
    reading.items.extend(items);
    let first = *reading.revision.get_or_insert(revision);
    if next.is_some() {
        reading.next = next.clone();
        ctx.store.read_pending = true;
        let scope = reading.scope;
        let request = list_request(ctx, scope, next);
        return ctx.call_store(store_session::StorePurpose::List, request);
    }
    ctx.store.list_failures = 0;
    let Some(reading) = ctx.store.reading.take() else { return };
    let listed: BTreeSet<&store_message::ItemSubject> =
        reading.items.iter().map(|item| &item.subject).collect();
    let removed: Vec<store_message::StoreItem> = ctx
        .store
        .known
        .iter()
        .filter(|(subject, known)| !listed.contains(subject) && **known <= first)
        .filter(|(subject, _)| **subject != store_message::ItemSubject::Config)
        .map(|(subject, _)| store_message::StoreItem {
            subject: subject.clone(),
            revision: first,
            body: None,
        })
        .collect();
    let config = reading.items.iter().find_map(|item| match &item.body {
        Some(store_message::ItemContent::Config(config)) => Some((config.version, item.revision)),
        _ => None,
    });
    log::info!(
        "event=store_read items={} revision={first} known={:?} config_and_revision={config:?}",
        reading.items.len(),
        ctx.store.revision
    );
    ctx.store.behind_since = None;
    ctx.relay.changes_missing = false;
    ctx.store.synced_at = ctx.store.synced_at.max(started_at);
    let known = ctx.store.revision;
    let scope = reading.scope;
    let restored = known.is_some_and(|known| known.era() < first.era());
    let changed = reading.items.into_iter().filter(|item| Some(item.revision) > known);
    let items: Vec<store_message::StoreItem> = removed.into_iter().chain(changed).collect();
    let items = if restored { store_restore::hold_outdated(ctx, items) } else { items };
    ctx.store.listed_at.get_or_insert(ctx.now);
    if scope == store_message::ListScope::All {
        config_read::note_known(ctx, first);
        if let Some(known) = known.filter(|_| !restored) {
            return apply_changes(ctx, known, first, items);
        }
    }
    // Peers cannot apply these changes: a change of the configuration may be missing from them, or
    // they lead to what a restored store holds.
    ctx.history.clear();
    ctx.store.revision = ctx.store.revision.max(Some(first));
    if known.is_some() {
        let pause = ctx.with_jitter(CHANGES_PAUSE_FOLLOWER);
        ctx.store.next_read = ctx.now.after(pause);
    }
    apply_and_advance(ctx, items);
    if scope != store_message::ListScope::All {
        config_read::require(ctx, first);
    }
}

/// Records the changes after one revision up to another, passes them on to the hosts that requested
/// them, and applies them.
pub fn apply_changes(
    ctx: &mut proxy_context::ProxyContext,
    after: store_revision::StoreRevision,
    revision: store_revision::StoreRevision,
    items: Vec<store_message::StoreItem>,
) {
    let known = ctx.store.revision.unwrap_or_default();
    ctx.history.add(after.max(known), revision, &items);
    ctx.store.revision = Some(revision.max(known));
    if items.is_empty() {
        return;
    }
    change_relay::notify_followers(ctx);
    apply_and_advance(ctx, items);
}

/// Applies changes, and all that follows from them.
pub fn apply_and_advance(
    ctx: &mut proxy_context::ProxyContext,
    items: Vec<store_message::StoreItem>,
) {
    apply_items(ctx, items);
    witness_selection::update_witnesses(ctx);
    rate_limiter::allocate_shares(ctx);
    failover_flow::advance_all(ctx);
}

fn on_changed(
    ctx: &mut proxy_context::ProxyContext,
    call: &store_session::StoreCall,
    reply: store_message::StoreReply,
) {
    ctx.store.read_pending = false;
    match reply {
        store_message::StoreReply::Changed { items, revision } => {
            ctx.store.behind_since = None;
            ctx.store.watch_failures = 0;
            ctx.relay.changes_missing = false;
            ctx.store.synced_at = ctx.store.synced_at.max(call.sent);
            if !items.is_empty() && !ctx.all_witnesses() {
                let follower = ctx.store.knows_own_registration() && !change_relay::is_watcher(ctx);
                let pause = if follower { CHANGES_PAUSE_FOLLOWER } else { CHANGES_PAUSE };
                let pause = ctx.with_jitter(pause);
                ctx.store.next_read = ctx.now.after(pause);
            }
            let store_session::StorePurpose::Watch { after } = call.purpose else { return };
            apply_changes(ctx, after, revision, items);
        }
        store_message::StoreReply::HistoryCompacted => {
            ctx.counts.histories_lost += 1;
            log::warn!("event=store_history_compacted revision={:?}", ctx.store.revision);
            ctx.store.reading = Some(store_session::FullReading::new(list_scope(ctx)));
        }
        _ => {
            ctx.store.watch_failures = ctx.store.watch_failures.saturating_add(1);
            ctx.store.next_read = retry_time(ctx);
        }
    }
}

fn apply_items(ctx: &mut proxy_context::ProxyContext, items: Vec<store_message::StoreItem>) {
    for item in items {
        let known = ctx.store.known.get(&item.subject).copied().unwrap_or_default();
        if item.revision <= known {
            if item.revision < known {
                note_ignored(ctx, &item.subject, item.revision, known);
            }
            continue;
        }
        match item.body {
            Some(store_message::ItemContent::ConfigOmitted) => {
                config_read::require(ctx, item.revision);
                continue;
            }
            Some(store_message::ItemContent::Config(_)) => {
                config_read::note_known(ctx, item.revision);
            }
            _ => {}
        }
        ctx.store.known.insert(item.subject.clone(), item.revision);
        ctx.store.held.remove(&item.subject);
        apply_item(ctx, item);
    }
}

/// Counts and logs a change that is not applied because a later one of the same item is known.
fn note_ignored(
    ctx: &mut proxy_context::ProxyContext,
    subject: &store_message::ItemSubject,
    revision: store_revision::StoreRevision,
    known: store_revision::StoreRevision,
) {
    *ctx.counts.items_ignored.entry(subject.kind()).or_default() += 1;
    let era = ctx.store.era;
    ctx.log_limited(|| {
        format!(
            "event=item_ignored subject={subject:?} revision={revision} known={known} era={era:?}"
        )
    });
}

fn apply_item(ctx: &mut proxy_context::ProxyContext, item: store_message::StoreItem) {
    let revision = item.revision;
    if let Some(store_message::ItemContent::Unusable { detail }) = &item.body {
        let line = format!(
            "event=item_unusable subject={:?} revision={revision} cause={detail:?}",
            item.subject
        );
        ctx.log_limited(|| line);
    }
    match (item.subject, item.body) {
        (store_message::ItemSubject::Config, Some(store_message::ItemContent::Config(config))) => {
            apply_config(ctx, config);
        }
        (store_message::ItemSubject::Endpoint(id), body) => match body {
            Some(store_message::ItemContent::Endpoint(entry)) => {
                endpoint_flow::apply_registration(ctx, entry)
            }
            _ => endpoint_flow::mark_deregistered(ctx, &id),
        },
        (store_message::ItemSubject::Evacuation(centre), body) => {
            endpoint_flow::set_evacuation(ctx, centre, body.is_some());
        }
        (store_message::ItemSubject::Record(key), body) => {
            let bytes = match body {
                Some(store_message::ItemContent::Record(bytes)) => Some(bytes),
                _ => None,
            };
            apply_record(ctx, &key, bytes, revision);
        }
        _ => {}
    }
}

fn apply_config(ctx: &mut proxy_context::ProxyContext, config: Arc<proxy_config::ProxyConfig>) {
    let old = ctx.config.as_ref().map_or(0, |config| config.version);
    if ctx.config.is_some() && config.version <= old {
        log::warn!("event=config_ignored version={} in_force={old}", config.version);
        return;
    }
    log::info!(
        "event=config_in_force version={} before={old} routes={} accounts={}",
        config.version,
        config.routes.len(),
        config.accounts.len()
    );
    let now = ctx.now;
    for name in config.groups.keys() {
        group_key(ctx, name);
    }
    for name in config.accounts.keys() {
        if !ctx.account_names.contains_key(name) {
            let account = ctx.accounts.insert(proxy_context::AccountView {
                name: name.clone(),
                object: None,
                homes: Vec::new(),
                allocation: 0,
                ledger: share_ledger::ShareLedger::new(now),
                waiting: Default::default(),
                requested_at: now,
                pending_peers: Vec::new(),
                open_asks: Default::default(),
                next_peer: 0,
                empty_replies: 0,
                fruitless_searches: 0,
                next_search: clock_time::ClockTime::default(),
                history: token_outlook::TokenHistory::new(now),
                returns: Default::default(),
                accrual_check_at: clock_time::ClockTime::default(),
            });
            ctx.account_names.insert(name.clone(), account);
        }
    }
    ctx.history.add_config(config.clone());
    ctx.config = Some(config);
    request_flow::refuse_revoked(ctx);
}

/// Returns the key of the group with this name; adds the group if it is unknown.
pub fn group_key(ctx: &mut proxy_context::ProxyContext, name: &str) -> arena_keys::GroupKey {
    if let Some(group) = ctx.group_names.get(name) {
        return *group;
    }
    let group = ctx.groups.insert(group_view::GroupView {
        name: name.to_owned(),
        endpoints: Vec::new(),
        predecessors: Default::default(),
        primary_waiting: Vec::new(),
        returns: Default::default(),
        record: None,
        revision: store_revision::StoreRevision::ABSENT,
        record_received_at: ctx.now,
        released_epoch: 0,
        peer_epoch: 0,
        leadership_lost: false,
        serving_since_epoch: 0,
        receipts_awaited: Vec::new(),
        next_receipts: Default::default(),
        samples: Default::default(),
        holders: Default::default(),
        failover: group_view::FailoverState {
            cursor: chart_cursor::ChartCursor::new(ctx.failover_chart.clone()),
            since: ctx.now,
            started_at: ctx.now,
            last_attempt_at: Default::default(),
            rejected_candidates: Vec::new(),
            call_pending: false,
            promotion_uncertain: false,
            epoch_known_since: None,
            epoch_seen_since: None,
            wait_logged_at: Default::default(),
        },
    });
    ctx.group_names.insert(name.to_owned(), group);
    group
}

fn apply_record(
    ctx: &mut proxy_context::ProxyContext,
    key: &str,
    bytes: Option<Vec<u8>>,
    revision: store_revision::StoreRevision,
) {
    if key == store_record::COORDINATOR_KEY {
        let record = bytes.and_then(|bytes| decode(key, &bytes));
        return coordinator_election::on_record_read(ctx, record, revision);
    }
    if key == usage_record::USAGE_KEY {
        let Some(bytes) = bytes else { return usage_flow::on_record_missing(ctx) };
        if let Some(record) = decode(key, &bytes) {
            usage_flow::on_record_read(ctx, record, revision);
        }
        return;
    }
    if let Some(host) = key.strip_prefix(store_record::MEMBER_PREFIX) {
        let record = bytes.and_then(|bytes| decode(key, &bytes));
        return apply_member(ctx, host, record);
    }
    if let Some(host) = key.strip_prefix(store_record::ROSTER_PREFIX) {
        match bytes.and_then(|bytes| decode::<store_record::MemberRecord>(key, &bytes)) {
            Some(record) => {
                ctx.roster.insert(host.to_owned(), revision);
                // A host that is not running is known from its roster entry only.
                let absent = member_view::MemberView::absent(record, ctx.now);
                ctx.members.entry(host.to_owned()).or_insert(absent);
            }
            None => drop(ctx.roster.remove(host)),
        }
        return;
    }
    if let Some(host) = key.strip_prefix(store_record::DEPARTURE_PREFIX) {
        match bytes.and_then(|bytes| decode::<store_record::MemberRecord>(key, &bytes)) {
            Some(record) => {
                let incarnation = record.incarnation;
                let departure = proxy_context::HostDeparture { incarnation, revision };
                ctx.departures.insert(host.to_owned(), departure);
            }
            None => drop(ctx.departures.remove(host)),
        }
        return;
    }
    if let Some(group) = key.strip_prefix(store_record::HOLDER_PREFIX) {
        let group = group_key(ctx, group);
        let record = bytes.and_then(|bytes| decode(key, &bytes));
        return holder_flow::on_read(ctx, group, record, revision);
    }
    if let Some(group) = key.strip_prefix(store_record::GROUP_PREFIX) {
        let group = group_key(ctx, group);
        let Some(bytes) = bytes else { return failover_flow::on_record_missing(ctx, group) };
        if let Some(record) = decode(key, &bytes) {
            failover_flow::on_record(ctx, group, record, revision);
        }
    }
}

fn decode<T: serde::de::DeserializeOwned>(key: &str, bytes: &[u8]) -> Option<T> {
    match rmp_serde::from_slice(bytes) {
        Ok(record) => Some(record),
        Err(error) => {
            log::error!("event=record_malformed key={key} cause={error}");
            None
        }
    }
}

fn apply_member(
    ctx: &mut proxy_context::ProxyContext,
    host: &str,
    record: Option<store_record::MemberRecord>,
) {
    let now = ctx.now;
    let Some(record) = record else {
        if let Some(member) = ctx.members.get_mut(host) {
            log::info!("event=host_deregistered host={host}");
            member.removed_at.get_or_insert(now);
        }
        return;
    };
    let same = ctx
        .members
        .get(host)
        .is_some_and(|member| member.record == record && member.removed_at.is_none());
    if same {
        return;
    }
    log::info!(
        "event=host_registered host={host} incarnation={} address={}",
        record.incarnation,
        record.address
    );
    let view = member_view::MemberView {
        removed_at: None,
        ..member_view::MemberView::absent(record, now)
    };
    ctx.members.insert(host.to_owned(), view);
    // The new host receives this host's state at once.
    heartbeat_flow::send_first_heartbeat(ctx, host);
}
