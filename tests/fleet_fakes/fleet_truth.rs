//! What must hold, judged by the truth of the fakes and not by what a core believes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quetzaldeal::config::fleet_config;
use quetzaldeal::core::clock_time;
use quetzaldeal::core::core_message;
use quetzaldeal::core::decision_core;
use quetzaldeal::core::endpoint_message;
use quetzaldeal::core::group_record;
use quetzaldeal::core::platform_message;
use quetzaldeal::core::request_verdict;
use stand_ins::platform_model::PlatformModel;
use stand_ins::table_store::TableChange;

use super::FakeBase;

/// "A few seconds", in which withdrawals, drains and lower rates take hold everywhere.
const TAKES_HOLD: Duration = Duration::from_secs(7);
/// Rounding that sums of many small parts may show, in tokens.
const ROUNDING: f64 = 1e-6;

struct ExactBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: clock_time::ClockTime,
}

impl ExactBucket {
    fn advance(&mut self, now: clock_time::ClockTime) {
        let passed = now.since(self.at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.at = now;
    }
}

/// What has happened, and what must hold of it.
#[derive(Default)]
pub(crate) struct FleetTruth {
    /// Keys that must appear nowhere.
    pub(crate) secrets: Vec<String>,
    /// Inserted rows by identifier, with their fates.
    pub(crate) inserts: BTreeMap<String, request_verdict::RequestFate>,
    /// Counter updates: acknowledged, and of unknown fate.
    pub(crate) counted: (u64, u64),
    /// Rows that each caller's session must see.
    pub(crate) must_see: BTreeMap<String, BTreeSet<String>>,
    /// Rows inserted in each caller's open transaction.
    pub(crate) uncommitted: BTreeMap<String, Vec<String>>,
    /// Faults found.
    pub(crate) faults: Vec<String>,
    withdrawn: BTreeMap<String, clock_time::ClockTime>,
    drained: BTreeMap<String, clock_time::ClockTime>,
    versions: BTreeMap<String, u64>,
    admitted: BTreeMap<(String, String), u64>,
    buckets: BTreeMap<String, ExactBucket>,
    lowered: Vec<(clock_time::ClockTime, String, f64, f64)>,
}

impl FleetTruth {
    pub(crate) fn note_start(&mut self, host: &str) {
        self.versions.remove(host);
        self.admitted.retain(|(name, _), _| name != host);
    }

    pub(crate) fn note_published(
        &mut self,
        now: clock_time::ClockTime,
        old: &fleet_config::FleetConfig,
        new: &fleet_config::FleetConfig,
    ) {
        for key in old.keys.values().filter(|key| !new.keys.contains_key(&key.name)) {
            self.withdrawn.insert(key.account.clone(), now);
        }
        for key in new.keys.values() {
            self.withdrawn.remove(&key.account);
        }
        for endpoint in new.endpoints.keys() {
            let out = !new.endpoint_in_service(endpoint);
            self.note_service(now, endpoint, out);
        }
        for host in new.hosts.keys() {
            let out = !new.host_in_service(host);
            self.note_service(now, host, out);
        }
        for account in new.accounts.values() {
            let fresh = ExactBucket {
                rate: account.rate,
                burst: account.burst,
                tokens: account.burst,
                at: now,
            };
            let bucket = self.buckets.entry(account.name.clone()).or_insert(fresh);
            bucket.advance(now);
            if account.rate < bucket.rate || account.burst < bucket.burst {
                let at = now.after(TAKES_HOLD);
                self.lowered.push((at, account.name.clone(), account.rate, account.burst));
            }
            bucket.rate = bucket.rate.max(account.rate);
            bucket.burst = bucket.burst.max(account.burst);
        }
    }

    pub(crate) fn note_service(&mut self, now: clock_time::ClockTime, name: &str, out: bool) {
        if out {
            self.drained.entry(name.to_owned()).or_insert(now);
        } else {
            self.drained.remove(name);
        }
    }

    pub(crate) fn note_sent(&mut self, caller: &str, text: &str) {
        if let Some(id) = inserted(text) {
            // Until it is answered it may have run.
            self.inserts.entry(id).or_insert(request_verdict::RequestFate::MayHaveRun);
        }
        self.must_see.entry(caller.to_owned()).or_default();
    }

    /// Checks a core after each event that it handled.
    pub(crate) fn check_core(
        &mut self,
        now: clock_time::ClockTime,
        host: &str,
        core: &decision_core::DecisionCore,
        config: &fleet_config::FleetConfig,
    ) {
        let context = core.context();
        let version = context.config.version();
        let last = self.versions.insert(host.to_owned(), version).unwrap_or(0);
        if version < last {
            self.fault(format!("{host} went back from version {last} to {version}"));
        }
        self.apply_lowered(now);
        let known = config.hosts.contains_key(host);
        for account in context.accounts.values() {
            let key = (host.to_owned(), account.name.clone());
            let count = account.counts.admitted;
            let before = self.admitted.insert(key, count).unwrap_or(0);
            let fresh = count.saturating_sub(before);
            if fresh == 0 {
                continue;
            }
            if known && self.out_for_long(now, host) {
                self.fault(format!("{host} admitted work although out of service"));
            }
            let Some(bucket) = self.buckets.get_mut(&account.name) else { continue };
            bucket.advance(now);
            bucket.tokens -= fresh as f64;
            if bucket.tokens < -ROUNDING {
                let text =
                    format!("account {} got {:.3} over its share", account.name, -bucket.tokens);
                bucket.tokens = 0.0;
                self.fault(text);
            }
        }
    }

    /// Checks that no action carries a caller's key.
    pub(crate) fn check_action(&mut self, action: &core_message::CoreAction) {
        if matches!(
            action,
            core_message::CoreAction::OpenConnection { .. }
                | core_message::CoreAction::CloseConnection { .. }
        ) {
            return;
        }
        let text = format!("{action:?}");
        if self.secrets.iter().any(|secret| text.contains(secret)) {
            self.fault(format!("a key left a core: {}", &text[..text.len().min(60)]));
        }
    }

    pub(crate) fn check_endpoint_call(
        &mut self,
        now: clock_time::ClockTime,
        base: &str,
        request: &endpoint_message::EndpointRequest,
    ) {
        let endpoint_message::EndpointRequest::Run(statement) = request else { return };
        let fresh = matches!(
            statement.step,
            endpoint_message::TransactionStep::Single | endpoint_message::TransactionStep::Begin
        );
        if fresh && self.out_for_long(now, base) {
            self.fault(format!("{base} got new work although out of service"));
        }
    }

    #[allow(clippy::too_many_arguments, reason = "one answer with all that it is judged by")]
    pub(crate) fn check_answer(
        &mut self,
        now: clock_time::ClockTime,
        sent: clock_time::ClockTime,
        caller: &str,
        account: &str,
        text: &str,
        verdict: &request_verdict::RequestVerdict,
        body: &endpoint_message::ResponseBody,
    ) {
        let ran = verdict.fate == request_verdict::RequestFate::Ran;
        let upper = text.to_ascii_uppercase();
        let plain = upper.starts_with("SET") || upper.starts_with("SHOW");
        if let Some(at) = self.withdrawn.get(account)
            && ran
            && !plain
            && sent >= at.after(TAKES_HOLD)
        {
            self.fault(format!(
                "a statement ran for {account} {:?} after its key was withdrawn",
                now.since(*at)
            ));
        }
        self.note_transaction(caller, &upper, verdict);
        if let Some(id) = inserted(text) {
            if let Some(rows) = self.uncommitted.get_mut(caller) {
                rows.push(id);
                return;
            }
            self.note_fate(id.clone(), verdict.fate);
            if ran {
                self.must_see.entry(caller.to_owned()).or_default().insert(id);
            }
        }
        if upper.starts_with("UPDATE COUNTERS") {
            match verdict.fate {
                request_verdict::RequestFate::Ran
                    if verdict.cause == request_verdict::VerdictCause::Completed =>
                {
                    self.counted.0 += 1
                }
                request_verdict::RequestFate::Ran | request_verdict::RequestFate::NotRun => {}
                request_verdict::RequestFate::MayHaveRun => self.counted.1 += 1,
            }
        }
        if let Some(id) = selected(text)
            && ran
            && body.rows.is_empty()
            && self.must_see.get(caller).is_some_and(|seen| seen.contains(&id))
        {
            self.fault(format!("caller {caller} does not see its own write {id}"));
        }
    }

    /// Notes the fate of a row; one that ran stays so, though its identifier is tried again.
    fn note_fate(&mut self, id: String, fate: request_verdict::RequestFate) {
        let known = self.inserts.entry(id).or_insert(fate);
        if *known != request_verdict::RequestFate::Ran {
            *known = fate;
        }
    }

    /// Follows a caller's transaction: its rows have the fate of its end.
    fn note_transaction(
        &mut self,
        caller: &str,
        upper: &str,
        verdict: &request_verdict::RequestVerdict,
    ) {
        match upper {
            "BEGIN" if verdict.fate == request_verdict::RequestFate::Ran => {
                self.uncommitted.insert(caller.to_owned(), Vec::new());
            }
            "COMMIT" | "ROLLBACK" => {
                let rows = self.uncommitted.remove(caller).unwrap_or_default();
                let fate = match upper {
                    "COMMIT" => verdict.fate,
                    _ => request_verdict::RequestFate::NotRun,
                };
                rows.into_iter().for_each(|id| self.note_fate(id, fate));
            }
            _ => {}
        }
    }

    /// Checks the logs of all databases against the fates that callers were told.
    pub(crate) fn check_logs(
        &mut self,
        platform: &PlatformModel,
        bases: &BTreeMap<String, FakeBase>,
    ) {
        let mut faults = Vec::new();
        for (name, base) in bases {
            for id in logged_inserts(base) {
                if self.inserts.get(&id) == Some(&request_verdict::RequestFate::NotRun) {
                    faults.push(format!(
                        "{id} was answered as not run and stands in the log of {name}"
                    ));
                }
            }
        }
        for group in groups_of(bases) {
            let Some(record) = read_record(platform, &group) else { continue };
            let members: Vec<&FakeBase> = bases
                .iter()
                .filter(|(name, _)| name.starts_with(&group))
                .map(|(_, base)| base)
                .collect();
            let leaders = members.iter().filter(|base| {
                let status = base.model.status();
                base.alive && status.primary && status.adopted_term == record.term
            });
            if leaders.count() > 1 {
                faults.push(format!("{group} has two primaries in term {}", record.term));
            }
            if record.phase != group_record::TermPhase::Serving {
                continue;
            }
            let counted = |base: &&FakeBase| {
                base.alive && record.copies.get(&record.primary) == Some(&base.model.status().copy)
            };
            let Some(primary) = bases.get(&record.primary).filter(counted) else { continue };
            let present: BTreeSet<String> = logged_inserts(primary).collect();
            let elsewhere: BTreeSet<String> =
                members.iter().flat_map(|base| logged_inserts(base)).collect();
            let lost = elsewhere.difference(&present);
            let acked =
                lost.filter(|id| self.inserts.get(*id) == Some(&request_verdict::RequestFate::Ran));
            for id in acked {
                faults.push(format!("{id} was acknowledged and is not on {}", record.primary));
            }
        }
        for fault in faults {
            self.fault(fault);
        }
    }

    /// Checks, when all is healed, that nothing acknowledged is missing and no counter is off.
    pub(crate) fn check_settled(
        &mut self,
        platform: &PlatformModel,
        bases: &BTreeMap<String, FakeBase>,
    ) {
        let mut present = BTreeSet::new();
        let mut counter = 0;
        for group in groups_of(bases) {
            let Some(record) = read_record(platform, &group) else { continue };
            let Some(primary) = bases.get(&record.primary) else { continue };
            present.extend(logged_inserts(primary));
            let row = primary.model.tables().row("counters", "c", &[]);
            counter += row.and_then(|row| row[1].parse::<u64>().ok()).unwrap_or(0);
        }
        let acked =
            self.inserts.iter().filter(|(_, fate)| **fate == request_verdict::RequestFate::Ran);
        let missing: Vec<String> =
            acked.map(|(id, _)| id.clone()).filter(|id| !present.contains(id)).collect();
        for id in missing {
            self.fault(format!("{id} was acknowledged and is gone"));
        }
        let (ran, unknown) = self.counted;
        if counter < ran || counter > ran + unknown {
            self.fault(format!("counter is {counter} after {ran} updates and {unknown} unknown"));
        }
    }

    fn apply_lowered(&mut self, now: clock_time::ClockTime) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.lowered).into_iter().partition(|(at, ..)| *at <= now);
        self.lowered = later;
        for (at, account, rate, burst) in due {
            let Some(bucket) = self.buckets.get_mut(&account) else { continue };
            bucket.advance(at);
            bucket.rate = rate;
            bucket.burst = burst;
            bucket.tokens = bucket.tokens.min(burst);
        }
    }

    fn out_for_long(&self, now: clock_time::ClockTime, name: &str) -> bool {
        self.drained.get(name).is_some_and(|at| now >= at.after(TAKES_HOLD))
    }

    fn fault(&mut self, text: String) {
        if !self.faults.contains(&text) {
            self.faults.push(text);
        }
    }
}

/// Returns the platform's record of a group.
pub(crate) fn read_record(
    platform: &PlatformModel,
    group: &str,
) -> Option<group_record::GroupRecord> {
    let key = group_record::record_key(group);
    match platform.clone().handle(&platform_message::PlatformRequest::Get { key }) {
        Some(platform_message::PlatformReply::Value(Some(entry))) => {
            rmp_serde::from_slice(&entry.value).ok()
        }
        _ => None,
    }
}

fn groups_of(bases: &BTreeMap<String, FakeBase>) -> BTreeSet<String> {
    bases
        .keys()
        .filter_map(|name| name.split_once('-'))
        .map(|(group, _)| group.to_owned())
        .collect()
}

fn logged_inserts(base: &FakeBase) -> impl Iterator<Item = String> + '_ {
    let changes = base.model.log().iter().flat_map(|entry| &entry.changes);
    changes.filter_map(|change| match change {
        TableChange::Put { table, row } if table == "orders" => Some(row[0].clone()),
        _ => None,
    })
}

/// Returns the identifier that an `INSERT INTO orders` carries.
fn inserted(text: &str) -> Option<String> {
    let rest = text.strip_prefix("INSERT INTO orders (id, state) VALUES ('")?;
    rest.split_once('\'').map(|(id, _)| id.to_owned())
}

/// Returns the identifier that a read of one order names.
fn selected(text: &str) -> Option<String> {
    let rest = text.strip_prefix("SELECT state FROM orders WHERE id = '")?;
    rest.split_once('\'').map(|(id, _)| id.to_owned())
}
