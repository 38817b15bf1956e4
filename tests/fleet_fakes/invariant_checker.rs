//! Checks the guarantees of a fleet after each event, against the state of the simulated databases
//! and platform and the responses that callers got, never against what a core assumes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quetzaldeal::core::clock_time;
use quetzaldeal::core::core_message;
use quetzaldeal::core::decision_core;
use quetzaldeal::core::endpoint_message;
use quetzaldeal::core::group_record;
use quetzaldeal::core::platform_message;
use quetzaldeal::core::request_verdict;
use quetzaldeal::world::world_config;
use stand_ins::platform_model::PlatformModel;
use stand_ins::table_store::TableChange;

use super::FakeDatabase;

/// Longest time that counts as the required "few seconds" in which withdrawn keys, drains and lower
/// rates take effect on every host.
const PROPAGATION_TIME: Duration = Duration::from_secs(7);
/// Tolerance for the rounding of sums of many small numbers, in tokens.
const ROUNDING_TOKENS: f64 = 1e-6;

/// The token bucket of an account as one host alone would keep it.
struct ReferenceBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: clock_time::ClockTime,
}

impl ReferenceBucket {
    fn advance(&mut self, now: clock_time::ClockTime) {
        let elapsed = now.since(self.at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.at = now;
    }
}

/// Records what happened in a fleet and the guarantees that were violated.
#[derive(Default)]
pub(crate) struct InvariantChecker {
    /// Keys of callers, which no action of a core may contain.
    pub(crate) secrets: Vec<String>,
    /// Fates of the inserts into `orders`, by the identifier of the row.
    pub(crate) inserts: BTreeMap<String, request_verdict::RequestFate>,
    /// Number of counter updates that ran, and of those that may have run.
    pub(crate) counter_updates: (u64, u64),
    /// Identifiers of the rows that each caller's session must read.
    pub(crate) must_see: BTreeMap<String, BTreeSet<String>>,
    /// Identifiers of the rows inserted in each caller's open transaction.
    pub(crate) uncommitted: BTreeMap<String, Vec<String>>,
    /// Violations found so far, each text once.
    pub(crate) violations: Vec<String>,
    /// When the key of each account was withdrawn.
    withdrawn: BTreeMap<String, clock_time::ClockTime>,
    /// Since when each host or endpoint is out of service.
    drained: BTreeMap<String, clock_time::ClockTime>,
    /// Configuration version of each host.
    versions: BTreeMap<String, u64>,
    /// Admitted statements by host and account.
    admitted: BTreeMap<(String, String), u64>,
    buckets: BTreeMap<String, ReferenceBucket>,
    /// Lower rates and bursts, with the time by which every host must have applied them.
    lowered_limits: Vec<(clock_time::ClockTime, String, f64, f64)>,
}

impl InvariantChecker {
    pub(crate) fn record_start(&mut self, host: &str) {
        self.versions.remove(host);
        self.admitted.retain(|(name, _), _| name != host);
    }

    /// Records the withdrawn keys, services and limits of a new configuration. Lower limits apply
    /// to the reference buckets after `PROPAGATION_TIME`, higher ones at once.
    pub(crate) fn record_publication(
        &mut self,
        now: clock_time::ClockTime,
        old: &world_config::WorldConfig,
        new: &world_config::WorldConfig,
    ) {
        for key in old.keys.values().filter(|key| !new.keys.contains_key(&key.name)) {
            self.withdrawn.insert(key.account.clone(), now);
        }
        for key in new.keys.values() {
            self.withdrawn.remove(&key.account);
        }
        for endpoint in new.endpoints.keys() {
            let out = !new.endpoint_in_service(endpoint);
            self.record_service(now, endpoint, out);
        }
        for host in new.hosts.keys() {
            let out = !new.host_in_service(host);
            self.record_service(now, host, out);
        }
        for account in new.accounts.values() {
            let full = ReferenceBucket {
                rate: account.rate,
                burst: account.burst,
                tokens: account.burst,
                at: now,
            };
            let bucket = self.buckets.entry(account.name.clone()).or_insert(full);
            bucket.advance(now);
            if account.rate < bucket.rate || account.burst < bucket.burst {
                let at = now.after(PROPAGATION_TIME);
                self.lowered_limits.push((at, account.name.clone(), account.rate, account.burst));
            }
            bucket.rate = bucket.rate.max(account.rate);
            bucket.burst = bucket.burst.max(account.burst);
        }
    }

    pub(crate) fn record_service(&mut self, now: clock_time::ClockTime, name: &str, out: bool) {
        if out {
            self.drained.entry(name.to_owned()).or_insert(now);
        } else {
            self.drained.remove(name);
        }
    }

    pub(crate) fn record_sent(&mut self, caller: &str, text: &str) {
        if let Some(id) = inserted_order_id(text) {
            // The insert may have run until its response says otherwise.
            self.inserts.entry(id).or_insert(request_verdict::RequestFate::MayHaveRun);
        }
        self.must_see.entry(caller.to_owned()).or_default();
    }

    /// Checks after an event that the host's configuration version did not go back, that it
    /// admitted no statement while out of service, and that no account got more than its rate and
    /// burst.
    pub(crate) fn check_core(
        &mut self,
        now: clock_time::ClockTime,
        host: &str,
        core: &decision_core::DecisionCore,
        world: &world_config::WorldConfig,
    ) {
        let context = core.context();
        let version = context.config.version();
        let last = self.versions.insert(host.to_owned(), version).unwrap_or(0);
        if version < last {
            self.report_violation(format!(
                "{host} went back from configuration version {last} to {version}"
            ));
        }
        self.apply_lowered_limits(now);
        let known = world.hosts.contains_key(host);
        for account in context.accounts.values() {
            let key = (host.to_owned(), account.name.clone());
            let count = account.counts.admitted;
            let before = self.admitted.insert(key, count).unwrap_or(0);
            let newly_admitted = count.saturating_sub(before);
            if newly_admitted == 0 {
                continue;
            }
            if known && self.out_of_service_for_long(now, host) {
                self.report_violation(format!(
                    "{host} admitted a statement although out of service"
                ));
            }
            let Some(bucket) = self.buckets.get_mut(&account.name) else { continue };
            bucket.advance(now);
            bucket.tokens -= newly_admitted as f64;
            if bucket.tokens < -ROUNDING_TOKENS {
                let text = format!(
                    "account {} was admitted {:.3} tokens over its rate and burst",
                    account.name, -bucket.tokens
                );
                bucket.tokens = 0.0;
                self.report_violation(text);
            }
        }
    }

    /// Checks that no action contains a caller's key.
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
            self.report_violation(format!(
                "an action of a core contains a key: {}",
                &text[..text.len().min(60)]
            ));
        }
    }

    /// Checks that a database out of service gets no new statements or transactions.
    pub(crate) fn check_endpoint_call(
        &mut self,
        now: clock_time::ClockTime,
        database: &str,
        request: &endpoint_message::EndpointRequest,
    ) {
        let endpoint_message::EndpointRequest::Run(statement) = request else { return };
        let starts = matches!(
            statement.step,
            endpoint_message::TransactionStep::Single | endpoint_message::TransactionStep::Begin
        );
        if starts && self.out_of_service_for_long(now, database) {
            self.report_violation(format!(
                "{database} got a new statement although out of service"
            ));
        }
    }

    /// Checks a response: no statement runs long after its account's key was withdrawn, and a
    /// session reads its own writes.
    #[allow(clippy::too_many_arguments, reason = "a response with all that its check needs")]
    pub(crate) fn check_response(
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
        let local = upper.starts_with("SET") || upper.starts_with("SHOW");
        if let Some(at) = self.withdrawn.get(account)
            && ran
            && !local
            && sent >= at.after(PROPAGATION_TIME)
        {
            self.report_violation(format!(
                "a statement ran for {account} {:?} after its key was withdrawn",
                now.since(*at)
            ));
        }
        self.record_transaction(caller, &upper, verdict);
        if let Some(id) = inserted_order_id(text) {
            if let Some(rows) = self.uncommitted.get_mut(caller) {
                rows.push(id);
                return;
            }
            self.record_fate(id.clone(), verdict.fate);
            if ran {
                self.must_see.entry(caller.to_owned()).or_default().insert(id);
            }
        }
        if upper.starts_with("UPDATE COUNTERS") {
            match verdict.fate {
                request_verdict::RequestFate::Ran
                    if verdict.cause == request_verdict::VerdictCause::Completed =>
                {
                    self.counter_updates.0 += 1
                }
                request_verdict::RequestFate::Ran | request_verdict::RequestFate::NotRun => {}
                request_verdict::RequestFate::MayHaveRun => self.counter_updates.1 += 1,
            }
        }
        if let Some(id) = selected_order_id(text)
            && ran
            && body.rows.is_empty()
            && self.must_see.get(caller).is_some_and(|seen| seen.contains(&id))
        {
            self.report_violation(format!("caller {caller} does not see its own write {id}"));
        }
    }

    /// Records the fate of a row; a row that was inserted stays so when its identifier is used
    /// again.
    fn record_fate(&mut self, id: String, fate: request_verdict::RequestFate) {
        let known = self.inserts.entry(id).or_insert(fate);
        if *known != request_verdict::RequestFate::Ran {
            *known = fate;
        }
    }

    /// Records the start or end of a caller's transaction; its rows get the fate of its end.
    fn record_transaction(
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
                rows.into_iter().for_each(|id| self.record_fate(id, fate));
            }
            _ => {}
        }
    }

    /// Checks the logs of all databases: no row exists whose insert was reported as not run, a
    /// group has at most one primary in the recorded term, and the serving primary has every
    /// acknowledged row.
    pub(crate) fn check_logs(
        &mut self,
        platform: &PlatformModel,
        databases: &BTreeMap<String, FakeDatabase>,
    ) {
        let mut violations = Vec::new();
        for (name, database) in databases {
            for id in logged_inserts(database) {
                if self.inserts.get(&id) == Some(&request_verdict::RequestFate::NotRun) {
                    violations
                        .push(format!("{id} was reported as not run but is in the log of {name}"));
                }
            }
        }
        for group in groups_of(databases) {
            let Some(record) = read_record(platform, &group) else { continue };
            let endpoints: Vec<&FakeDatabase> = databases
                .iter()
                .filter(|(name, _)| name.starts_with(&group))
                .map(|(_, database)| database)
                .collect();
            let primaries = endpoints.iter().filter(|database| {
                let status = database.model.status();
                database.alive && status.primary && status.adopted_term == record.term
            });
            if primaries.count() > 1 {
                violations.push(format!("{group} has two primaries in term {}", record.term));
            }
            if record.phase != group_record::TermPhase::Serving {
                continue;
            }
            let is_recorded_copy = |database: &&FakeDatabase| {
                database.alive
                    && record.copies.get(&record.primary) == Some(&database.model.status().copy)
            };
            let Some(primary) = databases.get(&record.primary).filter(is_recorded_copy) else {
                continue;
            };
            let present: BTreeSet<String> = logged_inserts(primary).collect();
            let elsewhere: BTreeSet<String> =
                endpoints.iter().flat_map(|database| logged_inserts(database)).collect();
            let lost = elsewhere.difference(&present);
            let acknowledged =
                lost.filter(|id| self.inserts.get(*id) == Some(&request_verdict::RequestFate::Ran));
            for id in acknowledged {
                violations.push(format!(
                    "{id} was acknowledged but is not on the primary {}",
                    record.primary
                ));
            }
        }
        for violation in violations {
            self.report_violation(violation);
        }
    }

    /// Checks after all failures have ended that the primaries have every acknowledged row and that
    /// the counter matches the updates that ran or may have run.
    pub(crate) fn check_settled(
        &mut self,
        platform: &PlatformModel,
        databases: &BTreeMap<String, FakeDatabase>,
    ) {
        let mut present = BTreeSet::new();
        let mut counter = 0;
        for group in groups_of(databases) {
            let Some(record) = read_record(platform, &group) else { continue };
            let Some(primary) = databases.get(&record.primary) else { continue };
            present.extend(logged_inserts(primary));
            let row = primary.model.tables().row("counters", "c", &[]);
            counter += row.and_then(|row| row[1].parse::<u64>().ok()).unwrap_or(0);
        }
        let acknowledged =
            self.inserts.iter().filter(|(_, fate)| **fate == request_verdict::RequestFate::Ran);
        let missing: Vec<String> =
            acknowledged.map(|(id, _)| id.clone()).filter(|id| !present.contains(id)).collect();
        for id in missing {
            self.report_violation(format!("{id} was acknowledged but is on no primary"));
        }
        let (ran, unknown) = self.counter_updates;
        if counter < ran || counter > ran + unknown {
            self.report_violation(format!(
                "counter is {counter} after {ran} updates that ran and {unknown} that may have run"
            ));
        }
    }

    /// Lowers the reference buckets whose new limits every host must have applied by now.
    fn apply_lowered_limits(&mut self, now: clock_time::ClockTime) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.lowered_limits).into_iter().partition(|(at, ..)| *at <= now);
        self.lowered_limits = later;
        for (at, account, rate, burst) in due {
            let Some(bucket) = self.buckets.get_mut(&account) else { continue };
            bucket.advance(at);
            bucket.rate = rate;
            bucket.burst = burst;
            bucket.tokens = bucket.tokens.min(burst);
        }
    }

    fn out_of_service_for_long(&self, now: clock_time::ClockTime, name: &str) -> bool {
        self.drained.get(name).is_some_and(|at| now >= at.after(PROPAGATION_TIME))
    }

    fn report_violation(&mut self, text: String) {
        if !self.violations.contains(&text) {
            self.violations.push(text);
        }
    }
}

/// Returns the group's record in the platform, or `None` without a readable one.
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

/// Returns the groups of the databases, whose names are `GROUP-NUMBER`.
fn groups_of(databases: &BTreeMap<String, FakeDatabase>) -> BTreeSet<String> {
    databases
        .keys()
        .filter_map(|name| name.split_once('-'))
        .map(|(group, _)| group.to_owned())
        .collect()
}

/// Returns the identifiers of the orders that a database's log inserts.
fn logged_inserts(database: &FakeDatabase) -> impl Iterator<Item = String> + '_ {
    let changes = database.model.log().iter().flat_map(|entry| &entry.changes);
    changes.filter_map(|change| match change {
        TableChange::Put { table, row } if table == "orders" => Some(row[0].clone()),
        _ => None,
    })
}

/// Returns the identifier of the row that an `INSERT INTO orders` adds.
fn inserted_order_id(text: &str) -> Option<String> {
    let rest = text.strip_prefix("INSERT INTO orders (id, state) VALUES ('")?;
    rest.split_once('\'').map(|(id, _)| id.to_owned())
}

/// Returns the identifier of the row that a read of one order selects.
fn selected_order_id(text: &str) -> Option<String> {
    let rest = text.strip_prefix("SELECT state FROM orders WHERE id = '")?;
    rest.split_once('\'').map(|(id, _)| id.to_owned())
}
