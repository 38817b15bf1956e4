//! Usage reports: hosts send their totals to the coordinator, which settles each window in the store
//! and then reports it.
//!
//! What is reported for a window is written to the store first, under the condition that the record
//! is unchanged. Every holder reports only what the record says, so a repeated report is exact.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::proxy::duty_call;
use crate::proxy::duty_flow;
use crate::proxy::peer_datagram;
use crate::proxy::pending_request;
use crate::proxy::proxy_context;
use crate::proxy::store_message;
use crate::proxy::store_revision;
use crate::proxy::store_session;
use crate::proxy::usage_collection;
use crate::proxy::usage_ledger;
use crate::proxy::usage_message;
use crate::proxy::usage_record;
use crate::proxy::usage_tuning;
use crate::proxy::usage_window;

/// Time after the end of a window at which hosts close it. Endpoints that did not run a request have
/// replied so by then.
const SETTLING: Duration = Duration::from_millis(500);
/// Longest delay until a host sends the totals of a closed window, so that not all send at once.
const SPREAD: Duration = Duration::from_millis(500);
/// The same for each host of a large fleet.
const SPREAD_PER_HOST: Duration = Duration::from_millis(5);
/// Most of the time until a report is due that this delay may take.
const SPREAD_PART: f64 = 0.2;
/// Interval at which totals are sent again until the coordinator has received them.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which totals of open windows are sent if they have changed.
const OPEN_INTERVAL: Duration = Duration::from_millis(1_000);
/// Least time between two such messages that reach the coordinator, on average over all hosts.
const OPEN_SPACING: Duration = Duration::from_millis(12);
/// Part of the time until a report is due for which totals of missing hosts are awaited.
const AWAIT_PART: f64 = 0.7;
/// Pause before a report or a write that failed is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Time after the end of a window from which missing hosts are asked for their totals.
const ASKING_DELAY: Duration = Duration::from_millis(2_000);
/// Most accounts in one datagram.
const ACCOUNTS_MAX: usize = 80;
/// Interval at which the coordinator compares the clocks of the hosts.
const AGREEMENT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Counts a request whose statement is sent to an endpoint.
pub fn count_sent(ctx: &mut proxy_context::ProxyContext, request: arena_keys::StatementKey) {
    if let Some(account) = counted_account(ctx, request) {
        ctx.counts.usage_requests += 1;
        ctx.usage.ledger.add(ctx.now, account);
    }
}

/// Takes back a request whose statement was sent at `sent` and that the endpoint did not begin to
/// run.
pub fn count_not_run(
    ctx: &mut proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
    sent: clock_time::ClockTime,
) {
    if let Some(account) = counted_account(ctx, request) {
        ctx.counts.usage_requests = ctx.counts.usage_requests.saturating_sub(1);
        ctx.usage.ledger.remove(sent, account);
    }
}

/// Returns the account for which a statement counts: a single statement and the first one of a
/// transaction do.
fn counted_account(
    ctx: &proxy_context::ProxyContext,
    request: arena_keys::StatementKey,
) -> Option<arena_keys::AccountKey> {
    ctx.tuning.usage?;
    let state = ctx.requests.get(request)?;
    let transaction = ctx.sessions.get(state.session)?.open_transaction();
    let first = transaction.is_none_or(|transaction| transaction.connection.is_none());
    let counts = first && state.kind != pending_request::RequestKind::Commit;
    state.account.filter(|_| counts)
}

/// Drops what was counted when the windows change: their numbers no longer mean the same.
pub fn on_tuning(ctx: &mut proxy_context::ProxyContext, usage: Option<usage_tuning::UsageTuning>) {
    let length = |usage: Option<usage_tuning::UsageTuning>| usage.map(|usage| usage.window);
    if length(usage) != length(ctx.tuning.usage) {
        log::info!("event=usage_windows_changed before={:?} now={usage:?}", ctx.tuning.usage);
        ctx.usage.ledger = Default::default();
        ctx.usage.collection.clear();
        ctx.usage.base_window = None;
    }
}

/// Closes windows, and sends totals or, as the coordinator, settles and reports windows.
pub fn on_tick(ctx: &mut proxy_context::ProxyContext) {
    let Some(tuning) = ctx.tuning.usage else { return };
    close_windows(ctx, tuning);
    note_token(ctx);
    if own_token(ctx).is_some() {
        lead(ctx, tuning);
    } else if ctx.usage.token > 0 {
        let holder = ctx.usage.holder.clone();
        send_due_totals(ctx, tuning, &holder);
    }
}

/// Sends all totals once more before the process ends; what is open is final then.
pub fn on_stop(ctx: &mut proxy_context::ProxyContext) {
    let Some(tuning) = ctx.tuning.usage else { return };
    let holder = ctx.usage.holder.clone();
    if holder != ctx.identity.host {
        let mut windows = closed_parts(ctx);
        let open = open_parts(ctx, tuning);
        windows.extend(
            open.into_iter().map(|part| usage_message::WindowTotals { closed: true, ..part }),
        );
        send_totals(ctx, &holder, windows);
    }
}

/// Handles the totals of a host. They count only at the coordinator.
pub fn on_totals(ctx: &mut proxy_context::ProxyContext, totals: usage_message::UsageTotals) {
    let Some(token) = own_token(ctx).filter(|_| ctx.tuning.usage.is_some()) else { return };
    note_token(ctx);
    let Some(member) = ctx.members.get(&totals.host) else { return };
    if member.record.incarnation != totals.incarnation {
        return;
    }
    let address = member.record.address.clone();
    if let Some(unix_us) = totals.unix_us {
        ctx.usage.clock.add_sample(&totals.host, ctx.now, unix_us);
    }
    let answered = totals.windows.is_empty() || totals.windows.iter().any(|part| part.closed);
    let (echoed_us, echo_incarnation) = (totals.sent_at_us, totals.incarnation);
    let settled_through = settled_through(ctx).unwrap_or(0);
    let received = ctx.usage.collection.apply(totals, settled_through);
    if answered {
        let receipt = usage_message::UsageReceipt {
            host: ctx.identity.host.clone(),
            token,
            echoed_us,
            echo_incarnation,
            unix_us: ctx.usage.clock.unix_us(ctx.now),
            received,
        };
        let message = peer_datagram::PeerDatagram::UsageReceipt(receipt);
        ctx.send_datagram(address, message);
    }
}

/// Handles the coordinator's receipt of this host's totals.
pub fn on_receipt(ctx: &mut proxy_context::ProxyContext, receipt: usage_message::UsageReceipt) {
    if receipt.echo_incarnation != ctx.identity.incarnation || ctx.tuning.usage.is_none() {
        return;
    }
    note_token(ctx);
    // This host may be cut off from the store and not know the coordinator.
    note_holder(ctx, receipt.host, receipt.token);
    if receipt.token != ctx.usage.token {
        return;
    }
    if let Some(unix_us) = receipt.unix_us {
        let sent_at = clock_time::ClockTime::from_micros(receipt.echoed_us);
        ctx.usage.clock.follow(ctx.now, sent_at, unix_us);
    }
    let closed = ctx.usage.ledger.closed_totals();
    let known = receipt.received.into_iter().filter(|window| closed.contains_key(window));
    ctx.usage.received.extend(known);
}

/// Applies the record as read from the store.
///
/// Windows that were settled once stay settled: a restored store may hold an older record or none.
pub fn on_record_read(
    ctx: &mut proxy_context::ProxyContext,
    record: usage_record::UsageRecord,
    revision: store_revision::StoreRevision,
) {
    let Some((known, known_revision)) = &mut ctx.usage.record else {
        ctx.usage.record = Some((record, revision));
        return;
    };
    if revision <= *known_revision {
        return;
    }
    *known_revision = revision;
    let outdated =
        record.window_ms == known.window_ms && record.settled_through < known.settled_through;
    if outdated {
        log::warn!(
            "event=usage_record_outdated settled_through={} known={}",
            record.settled_through,
            known.settled_through
        );
    } else {
        *known = record;
    }
    ctx.usage.record_lost = outdated;
}

/// Applies that the store has no record.
pub fn on_record_missing(ctx: &mut proxy_context::ProxyContext) {
    if let Some((known, revision)) = &mut ctx.usage.record {
        log::warn!("event=usage_record_missing settled_through={}", known.settled_through);
        *revision = store_revision::StoreRevision::ABSENT;
        ctx.usage.record_lost = true;
    }
}

/// Handles the store's reply to the write of the record.
pub fn on_record_reply(
    ctx: &mut proxy_context::ProxyContext,
    record: usage_record::UsageRecord,
    reply: &store_message::StoreReply,
) {
    ctx.usage.write_pending = false;
    match reply {
        store_message::StoreReply::Written { revision } => {
            on_record_read(ctx, record, *revision);
            on_tick(ctx);
        }
        // The record as it is arrives through the store watch; the next write builds on it.
        _ => ctx.usage.next_write_at = ctx.now.after(RETRY_PAUSE),
    }
}

/// Handles the platform's reply to a report.
pub fn on_report_reply(ctx: &mut proxy_context::ProxyContext, reply: duty_call::DutyReply) {
    let Some((window, token)) = ctx.usage.reporting.take() else { return };
    let Some(tuning) = ctx.tuning.usage else { return };
    if reply != duty_call::DutyReply::Accepted {
        log::warn!("event=usage_unanswered window={window} token={token} reply={reply:?}");
        ctx.usage.next_report_at = ctx.now.after(RETRY_PAUSE.max(tuning.call_pause));
        return;
    }
    ctx.usage.next_report_at = ctx.now.after(tuning.call_pause);
    let first = ctx.usage.accepted.insert(window);
    ctx.usage.attempted.remove(&window);
    ctx.counts.usage_windows_reported += u64::from(first);
    let mut reports = recorded(ctx).into_iter().flat_map(|record| &record.reports);
    let report = reports.find(|report| report.window == window);
    let accounts = report.map_or(0, |report| report.counts.len());
    let requests: u64 = report.map_or(0, |report| report.counts.values().sum());
    let end_us = usage_window::end_us(window, tuning.window);
    let after_ms = ctx.usage.clock.unix_us(ctx.now).unwrap_or(0).saturating_sub(end_us) / 1_000;
    log::info!(
        "event=usage_reported window={window} holder={} token={token} accounts={accounts} \
         requests={requests} after_ms={after_ms} clock_spread_us={}",
        ctx.identity.host,
        ctx.usage.clock.spread_us()
    );
    on_tick(ctx);
}

/// Starts anew with what holds for one coordinator only, when there is another one. Comes before
/// anything is recorded under its token.
fn note_token(ctx: &mut proxy_context::ProxyContext) {
    if let Some((record, token)) = &ctx.coordinator.record {
        let (holder, token) = (record.host.clone(), token.as_u64());
        note_holder(ctx, holder, token);
    }
}

fn note_holder(ctx: &mut proxy_context::ProxyContext, holder: String, token: u64) {
    if token > ctx.usage.token {
        ctx.usage.holder = holder;
        ctx.usage.token = token;
        ctx.usage.received.clear();
        ctx.usage.collection.clear();
        ctx.usage.base_window = None;
    }
}

/// Returns this host's token if it is the latest coordinator that it has heard of, whether its lease
/// is valid or not.
fn own_token(ctx: &proxy_context::ProxyContext) -> Option<u64> {
    let (record, revision) = ctx.coordinator.record.as_ref()?;
    let own = record.host == ctx.identity.host && record.incarnation == ctx.identity.incarnation;
    let token = revision.as_u64();
    (own && token >= ctx.usage.token).then_some(token)
}

/// Returns the last window that is settled; `None` while the store has no record and true time is
/// not known.
fn settled_through(ctx: &proxy_context::ProxyContext) -> Option<u64> {
    let recorded = recorded(ctx).map(|record| record.settled_through);
    recorded.max(ctx.usage.base_window)
}

/// Returns the record as read from the store if it is about windows of the length in use.
fn recorded(ctx: &proxy_context::ProxyContext) -> Option<&usage_record::UsageRecord> {
    let length = ctx.tuning.usage?.window;
    let (record, _) = ctx.usage.record.as_ref()?;
    (u128::from(record.window_ms) == length.as_millis()).then_some(record)
}

fn close_windows(ctx: &mut proxy_context::ProxyContext, tuning: usage_tuning::UsageTuning) {
    let retention = tuning.window + tuning.late + SETTLING;
    let oldest = ctx.now.before(retention + tuning.window);
    let Some(unix_us) = ctx.usage.clock.unix_us(ctx.now) else {
        return ctx.usage.ledger.prune(0, oldest);
    };
    if ctx.usage.ledger.close(ctx.now, unix_us, tuning.window, SETTLING) {
        let fraction = ctx.random_fraction();
        let spread = SPREAD.max(SPREAD_PER_HOST * ctx.members.len() as u32);
        let spread = spread.min(tuning.late.mul_f64(SPREAD_PART));
        ctx.usage.send_closed_at = ctx.now.after(spread.mul_f64(fraction));
    }
    let overdue_us = unix_us.saturating_sub(retention.as_micros() as u64);
    let overdue = usage_window::number_at(overdue_us, tuning.window);
    let recorded = recorded(ctx).map_or(0, |record| record.settled_through);
    let settled = recorded.max(overdue.saturating_sub(1));
    ctx.usage.ledger.prune(settled, oldest);
    ctx.usage.received = ctx.usage.received.split_off(&settled.saturating_add(1));
    ctx.usage.accepted = ctx.usage.accepted.split_off(&overdue.saturating_sub(1));
}

/// Sends what the coordinator has not received yet, as often as the intervals allow.
fn send_due_totals(
    ctx: &mut proxy_context::ProxyContext,
    tuning: usage_tuning::UsageTuning,
    holder: &str,
) {
    let passed = ctx.now.since(ctx.usage.sent_at);
    if passed < REPEAT_INTERVAL {
        return;
    }
    if ctx.usage.clock.unix_us(ctx.now).is_none() {
        return send_totals(ctx, holder, Vec::new());
    }
    let mut windows = Vec::new();
    if ctx.now >= ctx.usage.send_closed_at {
        windows = closed_parts(ctx);
        windows.retain(|part| !ctx.usage.received.contains(&part.window));
    }
    let changed = ctx.usage.sent_version != ctx.usage.ledger.version();
    let interval = OPEN_INTERVAL.max(OPEN_SPACING * ctx.members.len() as u32);
    let open_due = changed && passed >= interval;
    if windows.is_empty() && !open_due {
        return;
    }
    windows.extend(open_parts(ctx, tuning));
    send_totals(ctx, holder, windows);
}

fn closed_parts(ctx: &proxy_context::ProxyContext) -> Vec<usage_message::WindowTotals> {
    let closed = ctx.usage.ledger.closed_totals().iter();
    closed.flat_map(|(window, counts)| parts_of(ctx, *window, true, counts)).collect()
}

fn open_parts(
    ctx: &proxy_context::ProxyContext,
    tuning: usage_tuning::UsageTuning,
) -> Vec<usage_message::WindowTotals> {
    let Some(unix_us) = ctx.usage.clock.unix_us(ctx.now) else { return Vec::new() };
    let open = ctx.usage.ledger.open_totals(ctx.now, unix_us, tuning.window);
    open.iter().flat_map(|(window, counts)| parts_of(ctx, *window, false, counts)).collect()
}

/// Returns the totals of a window in parts of which each fits into a datagram.
fn parts_of(
    ctx: &proxy_context::ProxyContext,
    window: u64,
    closed: bool,
    counts: &usage_ledger::AccountCounts,
) -> Vec<usage_message::WindowTotals> {
    let named = counts.iter().filter_map(|(account, count)| {
        ctx.accounts.get(*account).map(|account| (account.name.clone(), *count))
    });
    let named: Vec<(String, u64)> = named.collect();
    let accounts = named.len() as u32;
    let part = |counts| usage_message::WindowTotals { window, closed, accounts, counts };
    match named.is_empty() {
        true => vec![part(Vec::new())],
        false => named.chunks(ACCOUNTS_MAX).map(|chunk| part(chunk.to_vec())).collect(),
    }
}

fn totals_message(
    ctx: &proxy_context::ProxyContext,
    windows: Vec<usage_message::WindowTotals>,
) -> usage_message::UsageTotals {
    usage_message::UsageTotals {
        host: ctx.identity.host.clone(),
        incarnation: ctx.identity.incarnation,
        first_window: ctx.usage.ledger.first_window(),
        sent_at_us: ctx.now.as_micros(),
        unix_us: ctx.usage.clock.own_unix_us(ctx.now),
        windows,
    }
}

fn send_totals(
    ctx: &mut proxy_context::ProxyContext,
    holder: &str,
    windows: Vec<usage_message::WindowTotals>,
) {
    let Some(member) = ctx.members.get(holder) else { return };
    let address = member.record.address.clone();
    ctx.usage.sent_at = ctx.now;
    ctx.usage.sent_version = ctx.usage.ledger.version();
    let mut groups: Vec<Vec<usage_message::WindowTotals>> = vec![Vec::new()];
    let mut accounts = 0;
    for part in windows {
        accounts += part.counts.len().max(1);
        if accounts > ACCOUNTS_MAX {
            accounts = part.counts.len().max(1);
            groups.push(Vec::new());
        }
        if let Some(group) = groups.last_mut() {
            group.push(part);
        }
    }
    for group in groups {
        let totals = totals_message(ctx, group);
        let message = peer_datagram::PeerDatagram::UsageTotals(totals);
        ctx.send_datagram(address.clone(), message);
    }
}

/// Advances the duty at its holder.
fn lead(ctx: &mut proxy_context::ProxyContext, tuning: usage_tuning::UsageTuning) {
    if ctx.now.since(ctx.usage.agreed_at) >= AGREEMENT_INTERVAL {
        ctx.usage.agreed_at = ctx.now;
        agree(ctx);
    }
    let Some(unix_us) = ctx.usage.clock.unix_us(ctx.now) else { return };
    if recorded(ctx).is_none() && ctx.usage.base_window.is_none() {
        let current = usage_window::number_at(unix_us, tuning.window);
        ctx.usage.base_window = Some(current.saturating_sub(1));
    }
    let settled = settled_through(ctx).unwrap_or(0);
    let totals = totals_message(ctx, closed_parts(ctx));
    ctx.usage.collection.apply(totals, settled);
    if ctx.usage.agreed_at == ctx.now {
        ask_missing_hosts(ctx, tuning, unix_us);
    }
    expire_reports(ctx, tuning, unix_us);
    settle(ctx, tuning, unix_us);
    report(ctx, tuning, unix_us);
}

/// Compares the clocks of the running hosts, and drops what is settled.
fn agree(ctx: &mut proxy_context::ProxyContext) {
    let host = ctx.identity.host.clone();
    if let Some(unix_us) = ctx.usage.clock.own_unix_us(ctx.now) {
        ctx.usage.clock.add_sample(&host, ctx.now, unix_us);
    }
    let members = &ctx.members;
    let running = members.iter().filter(|(_, member)| member.removed_at.is_none());
    let running: BTreeSet<&String> = running.map(|(host, _)| host).collect();
    ctx.usage.clock.agree(ctx.now, &running);
    let settled = settled_through(ctx).unwrap_or(0);
    let known = |(host, incarnation): &usage_collection::ProcessId| {
        ctx.members.get(host).is_some_and(|member| member.record.incarnation == *incarnation)
    };
    ctx.usage.collection.prune(settled, known);
}

/// Asks the hosts whose totals of a window are awaited for them: those that are cut off from the
/// store may not know who the coordinator is.
fn ask_missing_hosts(
    ctx: &mut proxy_context::ProxyContext,
    tuning: usage_tuning::UsageTuning,
    unix_us: u64,
) {
    let Some(token) = ctx.fencing_token() else { return };
    let window = settled_through(ctx).unwrap_or(0).saturating_add(1);
    if !usage_window::is_closed(window, tuning.window, unix_us, ASKING_DELAY) {
        return;
    }
    for (address, incarnation) in missing_hosts(ctx, tuning, unix_us, window) {
        let receipt = usage_message::UsageReceipt {
            host: ctx.identity.host.clone(),
            token,
            echoed_us: 0,
            echo_incarnation: incarnation,
            unix_us: None,
            received: Vec::new(),
        };
        let message = peer_datagram::PeerDatagram::UsageReceipt(receipt);
        ctx.send_datagram(address, message);
    }
}

/// Gives up the reports that are overdue without a reply that accepted them.
fn expire_reports(
    ctx: &mut proxy_context::ProxyContext,
    tuning: usage_tuning::UsageTuning,
    unix_us: u64,
) {
    while let Some(window) = ctx.usage.attempted.first().copied() {
        if !is_overdue(tuning, unix_us, window) {
            return;
        }
        ctx.usage.attempted.remove(&window);
        ctx.counts.usage_windows_missed += 1;
        log::warn!("event=usage_missed window={window} windows=1 cause=not_accepted_in_time");
    }
}

/// Writes what is reported for the windows whose totals are complete, or no longer awaited.
fn settle(ctx: &mut proxy_context::ProxyContext, tuning: usage_tuning::UsageTuning, unix_us: u64) {
    if ctx.usage.write_pending || ctx.now < ctx.usage.next_write_at || ctx.fencing_token().is_none()
    {
        return;
    }
    let Some(settled) = settled_through(ctx) else { return };
    let revision = ctx.usage.record.as_ref().map(|(_, revision)| *revision);
    let revision = revision.unwrap_or(store_revision::StoreRevision::ABSENT);
    let reports = recorded(ctx).map(|record| record.reports.clone()).unwrap_or_default();
    let window_ms = tuning.window.as_millis() as u64;
    let mut next = usage_record::UsageRecord { window_ms, settled_through: settled, reports };
    next.reports.retain(|report| {
        !is_overdue(tuning, unix_us, report.window) && !ctx.usage.accepted.contains(&report.window)
    });
    let mut window = settled.saturating_add(1);
    while usage_window::is_closed(window, tuning.window, unix_us, SETTLING) {
        if is_overdue(tuning, unix_us, window) {
            window = skip_overdue(ctx, tuning, unix_us, window);
            next.settled_through = window - 1;
            continue;
        }
        if !is_complete(ctx, tuning, unix_us, window) {
            break;
        }
        if ctx.usage.collection.is_covered(window) {
            let counts = ctx.usage.collection.totals(window);
            next.reports.push(usage_record::WindowReport { window, counts });
        } else {
            ctx.counts.usage_windows_missed += 1;
            log::warn!("event=usage_missed window={window} windows=1 cause=counts_lost");
        }
        next.settled_through = window;
        window += 1;
    }
    if next.settled_through == settled && !ctx.usage.record_lost {
        return;
    }
    let Ok(value) = rmp_serde::to_vec(&next) else {
        return log::error!("event=usage_record_encode_failed window={}", next.settled_through);
    };
    ctx.usage.write_pending = true;
    let key = usage_record::USAGE_KEY.to_owned();
    let expect = Some(revision);
    let request = store_message::StoreRequest::Write { key, value, lease: 0, expect };
    ctx.call_store(store_session::StorePurpose::UsageRecord { record: next }, request);
}

/// Skips the windows whose report is overdue and returns the first one that is not.
fn skip_overdue(
    ctx: &mut proxy_context::ProxyContext,
    tuning: usage_tuning::UsageTuning,
    unix_us: u64,
    first: u64,
) -> u64 {
    let late_us = tuning.late.as_micros() as u64;
    // The first window that ends after the time for which reports are overdue.
    let next =
        usage_window::number_at(unix_us.saturating_sub(late_us), tuning.window).max(first + 1);
    ctx.counts.usage_windows_missed += next - first;
    log::warn!(
        "event=usage_missed window={first} windows={} cause=not_settled_in_time",
        next - first
    );
    next
}

fn is_overdue(tuning: usage_tuning::UsageTuning, unix_us: u64, window: u64) -> bool {
    usage_window::is_closed(window, tuning.window, unix_us, tuning.late)
}

/// Returns whether the totals of all hosts that may have counted in the window are there, or are no
/// longer awaited.
fn is_complete(
    ctx: &proxy_context::ProxyContext,
    tuning: usage_tuning::UsageTuning,
    unix_us: u64,
    window: u64,
) -> bool {
    let awaited = tuning.late.mul_f64(AWAIT_PART);
    usage_window::is_closed(window, tuning.window, unix_us, awaited)
        || missing_hosts(ctx, tuning, unix_us, window).is_empty()
}

/// Returns the addresses and incarnations of the hosts that may have counted in the window and whose
/// totals are not all there.
fn missing_hosts(
    ctx: &proxy_context::ProxyContext,
    tuning: usage_tuning::UsageTuning,
    unix_us: u64,
    window: u64,
) -> Vec<(String, u64)> {
    let started_us = usage_window::start_us(window, tuning.window);
    let started_at = ctx.now.before(Duration::from_micros(unix_us.saturating_sub(started_us)));
    let missing = ctx.members.iter().filter(|(host, member)| {
        let gone = member.removed_at.is_some_and(|removed_at| removed_at < started_at);
        let process = ((*host).clone(), member.record.incarnation);
        !gone && !ctx.usage.collection.is_confirmed(&process, window)
    });
    let named = missing.map(|(_, member)| &member.record);
    named.map(|record| (record.address.clone(), record.incarnation)).collect()
}

/// Reports the next window of the record that this process does not know to have been reported.
fn report(ctx: &mut proxy_context::ProxyContext, tuning: usage_tuning::UsageTuning, unix_us: u64) {
    // An earlier process of this host may have been the holder before the last one.
    let may_follow = duty_flow::may_follow_own_calls(ctx.started, ctx.now, ctx.tuning.duty_turn);
    if ctx.usage.reporting.is_some() || ctx.now < ctx.usage.next_report_at || may_follow {
        return;
    }
    let Some(record) = recorded(ctx) else { return };
    let open = record.reports.iter().find(|report| {
        !ctx.usage.accepted.contains(&report.window) && !is_overdue(tuning, unix_us, report.window)
    });
    let Some(report) = open.cloned() else { return };
    let usage_record::WindowReport { window, counts } = report;
    let call = duty_call::DutyCall::Usage { window, counts };
    if let Some(token) = duty_flow::call(ctx, duty_call::DutySubject::Usage, call, None) {
        let repeated = !ctx.usage.attempted.insert(window);
        if repeated {
            log::info!("event=usage_repeated window={window} token={token}");
        }
        ctx.usage.reporting = Some((window, token));
    }
}
