//! Generates the load of a plan in an open loop and reports the outcome of each account.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::sync::mpsc;
use tokio_postgres::Client;

use crate::caller_checks::{CallerLogin, is_not_run};
use crate::load_plan;

/// Statements queued for one connection; further ones are dropped and counted as not run.
const MAX_BACKLOG: usize = 4_096;
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);
const ORDER_COUNT: u32 = 300;
/// Greatest latency that the histograms hold; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const STATE_OVER_RATE: &str = "53400";

/// What happened to the statements of one account.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct AccountOutcome {
    /// Statements offered.
    pub offered: u64,
    /// Statements that ran.
    pub ran: u64,
    /// Statements refused because the account was over its rate.
    pub over_rate: u64,
    /// Statements among these that a single token bucket for the whole fleet would have admitted.
    pub wrongly_refused: u64,
    /// Other statements that were not run.
    pub not_run: u64,
    /// Statements that may have run.
    pub unknown: u64,
    /// Statements that ran, as a fraction of those that the account was entitled to, at most 1.
    pub entitled_part: f64,
    /// Median latency of the statements that ran, from the time they were due, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of these latencies, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of these latencies, in milliseconds.
    pub p999_ms: f64,
    /// Longest time between two successful writes to the same group, in milliseconds.
    pub write_gap_ms: f64,
    /// Number of errors other than refusals over the rate, by text.
    pub errors: BTreeMap<String, u64>,
}

/// A token bucket for the whole fleet, which tells whether a refusal over the rate was justified.
#[derive(Debug)]
struct ReferenceBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Instant,
}

impl ReferenceBucket {
    /// Takes a token and returns whether there was one; without one, a refusal is justified.
    fn take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[derive(Debug)]
struct AccountRecord {
    outcome: AccountOutcome,
    bucket: ReferenceBucket,
    entitled: u64,
    latencies: Histogram<u64>,
    last_writes: BTreeMap<String, Instant>,
}

type SharedRecord = Arc<Mutex<AccountRecord>>;

struct OfferedStatement {
    due: Instant,
    text: String,
    write: bool,
    aged: bool,
    entitled: bool,
}

/// Runs a plan, prints a table, and writes the report to a file if a path is given.
///
/// # Errors
///
/// Fails when a connection cannot be opened at the start or the report cannot be written.
pub async fn run(plan: load_plan::LoadPlan, report: Option<&str>) -> Result<()> {
    let mut records = BTreeMap::new();
    let mut tasks = Vec::new();
    let started = Instant::now() + Duration::from_millis(500);
    for (index, account) in plan.accounts.iter().enumerate() {
        let record = Arc::new(Mutex::new(new_record(account, started)?));
        records.insert(account.account.clone(), record.clone());
        let hosts = open_connections(&plan, account, &record).await?;
        let plan = plan.clone();
        let account = account.clone();
        let seed = plan.seed.wrapping_add(index as u64);
        tasks.push(tokio::spawn(offer_statements(plan, account, record, hosts, seed, started)));
    }
    let progress = tokio::spawn(show_progress(records.clone(), plan.seconds));
    for task in tasks {
        task.await?;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    progress.abort();
    let outcomes: BTreeMap<String, AccountOutcome> =
        records.iter().map(|(name, record)| (name.clone(), summarize(record))).collect();
    print_table(&outcomes)?;
    if let Some(path) = report {
        std::fs::write(path, serde_yaml_ng::to_string(&outcomes)?)
            .with_context(|| format!("cannot write {path}"))?;
    }
    Ok(())
}

fn new_record(account: &load_plan::AccountLoad, started: Instant) -> Result<AccountRecord> {
    Ok(AccountRecord {
        outcome: AccountOutcome::default(),
        bucket: ReferenceBucket {
            rate: account.rate,
            burst: account.burst,
            tokens: account.burst,
            at: started,
        },
        entitled: 0,
        latencies: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)?,
        last_writes: BTreeMap::new(),
    })
}

/// Queues of an account's connections to one host, one connection of each kind per group.
struct HostConnections {
    fresh: Vec<mpsc::Sender<OfferedStatement>>,
    aged: Vec<mpsc::Sender<OfferedStatement>>,
}

async fn open_connections(
    plan: &load_plan::LoadPlan,
    account: &load_plan::AccountLoad,
    record: &SharedRecord,
) -> Result<Vec<HostConnections>> {
    let mut hosts = Vec::new();
    for address in &plan.hosts {
        let mut host = HostConnections { fresh: Vec::new(), aged: Vec::new() };
        for group in &plan.groups {
            let login = CallerLogin {
                address: address.clone(),
                account: account.account.clone(),
                key: account.key.clone(),
                service: plan.service.clone(),
                group: group.clone(),
            };
            host.fresh.push(open_connection(&login, &plan.hosts, 0, record).await?);
            let aged = open_connection(&login, &plan.hosts, plan.max_age_ms, record).await?;
            host.aged.push(aged);
        }
        hosts.push(host);
    }
    Ok(hosts)
}

async fn open_connection(
    login: &CallerLogin,
    hosts: &[String],
    max_age_ms: u64,
    record: &SharedRecord,
) -> Result<mpsc::Sender<OfferedStatement>> {
    let client = connect_with_max_age(login, max_age_ms).await;
    let client = client.with_context(|| format!("{} at {}", login.account, login.address))?;
    let (sender, receiver) = mpsc::channel(MAX_BACKLOG);
    tokio::spawn(run_connection(
        login.clone(),
        hosts.to_vec(),
        max_age_ms,
        client,
        receiver,
        record.clone(),
    ));
    Ok(sender)
}

async fn connect_with_max_age(login: &CallerLogin, max_age_ms: u64) -> Result<Client> {
    let client = login.connect(None).await?;
    if max_age_ms > 0 {
        client.simple_query(&format!("SET quetzaldeal.max_age_ms = {max_age_ms}")).await?;
    }
    Ok(client)
}

/// Queues an account's statements at the times they are due, without waiting for responses.
async fn offer_statements(
    plan: load_plan::LoadPlan,
    account: load_plan::AccountLoad,
    record: SharedRecord,
    hosts: Vec<HostConnections>,
    seed: u64,
    started: Instant,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut at = 0.0;
    loop {
        // Exponentially distributed intervals, as independent callers produce (a Poisson process).
        at += -(1.0 - rng.random::<f64>()).ln() / account.offered;
        if at >= plan.seconds as f64 {
            return;
        }
        let due = started + Duration::from_secs_f64(at);
        tokio::time::sleep_until(due.into()).await;
        let statement = make_statement(&plan, &record, &mut rng, due);
        let host = if rng.random::<f64>() < plan.skew {
            0
        } else {
            (rng.random::<u32>() as usize) % hosts.len()
        };
        let host = &hosts[host];
        let connections = if statement.aged { &host.aged } else { &host.fresh };
        let connection = (rng.random::<u32>() as usize) % connections.len();
        if connections[connection].try_send(statement).is_err() {
            lock(&record).outcome.not_run += 1;
        }
    }
}

fn make_statement(
    plan: &load_plan::LoadPlan,
    record: &SharedRecord,
    rng: &mut StdRng,
    due: Instant,
) -> OfferedStatement {
    let entitled = {
        let mut record = lock(record);
        record.outcome.offered += 1;
        let entitled = record.bucket.take(due);
        record.entitled += u64::from(entitled);
        entitled
    };
    let order = rng.random::<u32>() % ORDER_COUNT;
    let read = rng.random::<f64>() < plan.read_part;
    let aged = read && rng.random::<f64>() < plan.aged_part;
    let text = if read {
        format!("SELECT state FROM orders WHERE id = 'order-{order}'")
    } else {
        let id: u64 = rng.random();
        format!("INSERT INTO orders (id, state) VALUES ('load-{id}', 'new')")
    };
    OfferedStatement { due, text, write: !read, aged, entitled }
}

/// Connects to the current host, or else to the next one that accepts, as a load balancer would.
async fn connect_anywhere(
    login: &mut CallerLogin,
    hosts: &[String],
    max_age_ms: u64,
) -> Option<Client> {
    let start = hosts.iter().position(|host| *host == login.address).unwrap_or(0);
    for step in 0..hosts.len() {
        login.address.clone_from(&hosts[(start + step) % hosts.len()]);
        if let Ok(client) = connect_with_max_age(login, max_age_ms).await {
            return Some(client);
        }
    }
    None
}

/// Runs the statements of one connection in order, and reconnects when the connection is lost.
async fn run_connection(
    mut login: CallerLogin,
    hosts: Vec<String>,
    max_age_ms: u64,
    mut client: Client,
    mut statements: mpsc::Receiver<OfferedStatement>,
    record: SharedRecord,
) {
    while let Some(statement) = statements.recv().await {
        if client.is_closed() {
            match connect_anywhere(&mut login, &hosts, max_age_ms).await {
                Some(fresh) => client = fresh,
                None => {
                    lock(&record).outcome.not_run += 1;
                    continue;
                }
            }
        }
        let response = client.simple_query(&statement.text).await;
        record_response(&record, &login.group, &statement, response.map(|_| ()));
    }
}

fn record_response(
    record: &SharedRecord,
    group: &str,
    statement: &OfferedStatement,
    response: Result<(), tokio_postgres::Error>,
) {
    let now = Instant::now();
    let mut record = lock(record);
    match response {
        Ok(()) => {
            record.outcome.ran += 1;
            let latency = now.saturating_duration_since(statement.due);
            record.latencies.saturating_record(latency.as_micros() as u64);
            if statement.write {
                let last = record.last_writes.insert(group.to_owned(), now);
                let gap = last.map_or(Duration::ZERO, |last| now - last);
                let gap_ms = gap.as_secs_f64() * 1_000.0;
                record.outcome.write_gap_ms = record.outcome.write_gap_ms.max(gap_ms);
            }
        }
        Err(error) if error.code().is_some_and(|code| code.code() == STATE_OVER_RATE) => {
            record.outcome.over_rate += 1;
            record.outcome.wrongly_refused += u64::from(statement.entitled);
        }
        Err(error) => {
            if is_not_run(&error) {
                record.outcome.not_run += 1;
            } else {
                record.outcome.unknown += 1;
            }
            *record.outcome.errors.entry(describe_error(&error)).or_default() += 1;
        }
    }
}

fn describe_error(error: &tokio_postgres::Error) -> String {
    match error.as_db_error() {
        Some(error) => format!("{} ({})", error.message(), error.detail().unwrap_or_default()),
        None => error.to_string(),
    }
}

fn summarize(record: &SharedRecord) -> AccountOutcome {
    let record = lock(record);
    let mut outcome = record.outcome.clone();
    let millis = |quantile: f64| record.latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    outcome.p50_ms = millis(0.5);
    outcome.p99_ms = millis(0.99);
    outcome.p999_ms = millis(0.999);
    let entitled = record.entitled.max(1) as f64;
    outcome.entitled_part = (outcome.ran as f64 / entitled).min(1.0);
    outcome
}

async fn show_progress(records: BTreeMap<String, SharedRecord>, seconds: u64) {
    let mut passed = 0;
    loop {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        passed += PROGRESS_INTERVAL.as_secs();
        let ran: u64 = records.values().map(|record| lock(record).outcome.ran).sum();
        let line = format!("{passed} of {seconds} s: {ran} statements ran\n");
        // A closed standard error must not end the run.
        drop(std::io::stderr().write_all(line.as_bytes()));
    }
}

fn print_table(outcomes: &BTreeMap<String, AccountOutcome>) -> Result<()> {
    let mut out = std::io::stdout();
    writeln!(
        out,
        "{:<16} {:>8} {:>8} {:>9} {:>8} {:>8} {:>8} {:>9} {:>8} {:>8} {:>9} {:>8}",
        "account",
        "offered",
        "ran",
        "over rate",
        "wrongly",
        "not run",
        "unknown",
        "entitled",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "gap ms"
    )?;
    for (name, outcome) in outcomes {
        writeln!(
            out,
            "{name:<16} {:>8} {:>8} {:>9} {:>8} {:>8} {:>8} {:>8.1}% {:>8.1} {:>8.1} {:>9.1} \
             {:>8.0}",
            outcome.offered,
            outcome.ran,
            outcome.over_rate,
            outcome.wrongly_refused,
            outcome.not_run,
            outcome.unknown,
            outcome.entitled_part * 100.0,
            outcome.p50_ms,
            outcome.p99_ms,
            outcome.p999_ms,
            outcome.write_gap_ms
        )?;
    }
    Ok(())
}

fn lock(record: &SharedRecord) -> std::sync::MutexGuard<'_, AccountRecord> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}
