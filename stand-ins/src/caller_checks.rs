//! Checks that run as a single caller against running hosts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

const RETRY_INTERVAL: Duration = Duration::from_millis(20);
const READ_INTERVAL: Duration = Duration::from_millis(50);
const READ_TIMEOUT: Duration = Duration::from_secs(30);
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Address and credential that a caller logs in with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLogin {
    /// IP and port of a host's listener for callers.
    pub address: String,
    /// Client account.
    pub account: String,
    /// The account's key.
    pub key: String,
    /// Service to log in to.
    pub service: String,
    /// Group that statements go to; empty if it is set after the login.
    pub group: String,
}

impl CallerLogin {
    /// Connects, and resumes the session of a token if one is given.
    ///
    /// # Errors
    ///
    /// Fails when the host rejects the login or is unreachable.
    pub async fn connect(&self, session: Option<&str>) -> Result<Client> {
        let address: SocketAddr = self.address.parse()?;
        let mut options = format!("-c quetzaldeal.group={}", self.group);
        if let Some(session) = session {
            options.push_str(&format!(" -c quetzaldeal.session={session}"));
        }
        let mut config = Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(&self.account)
            .password(&self.key)
            .dbname(&self.service)
            .options(options);
        let (client, connection) = config.connect(NoTls).await?;
        tokio::spawn(connection);
        Ok(client)
    }
}

/// Runs a statement and returns the first value of its first row.
///
/// # Errors
///
/// Fails when the statement fails.
pub async fn first_value(
    client: &Client,
    text: &str,
) -> Result<Option<String>, tokio_postgres::Error> {
    let messages = client.simple_query(text).await?;
    Ok(messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    }))
}

/// Writes at one host, then resumes the session at another and reads the row there.
///
/// # Errors
///
/// Fails when a statement fails or the read does not return the written row.
pub async fn check_session_handover(login: &CallerLogin, other: &str) -> Result<()> {
    let client = connect_with_retry(login).await?;
    let id = format!("order-{}", rand::random::<u32>());
    let insert = format!("INSERT INTO orders (id, state) VALUES ('{id}', 'paid')");
    run_with_retry(&client, &insert).await?;
    let session = first_value(&client, "SHOW quetzaldeal.session")
        .await?
        .context("the host returned no session token")?;
    let login = CallerLogin { address: other.to_owned(), ..login.clone() };
    let client = login.connect(Some(&session)).await?;
    let query = format!("SELECT state FROM orders WHERE id = '{id}'");
    let value = first_value(&client, &query).await?;
    if value.as_deref() != Some("paid") {
        bail!("row {id}: field state is {value:?} at {other}, expected \"paid\"");
    }
    print_line(&format!("wrote {id} as {}, read it at {other}", login.account))
}

/// Writes continuously and prints the longest time between two acknowledged writes.
///
/// # Errors
///
/// Fails when no write is acknowledged.
pub async fn measure_write_gap(login: &CallerLogin, seconds: u64) -> Result<()> {
    let mut client = connect_with_retry(login).await?;
    let started = Instant::now();
    let mut acknowledged = 0_u64;
    let mut refused = 0_u64;
    let mut unknown = 0_u64;
    let mut last = None;
    let mut longest = Duration::ZERO;
    while started.elapsed() < Duration::from_secs(seconds) {
        let id = format!("gap-{}", rand::random::<u64>());
        let insert = format!("INSERT INTO orders (id, state) VALUES ('{id}', 'new')");
        match client.simple_query(&insert).await {
            Ok(_) => {
                let now = Instant::now();
                longest = longest.max(last.map_or(Duration::ZERO, |last| now - last));
                last = Some(now);
                acknowledged += 1;
            }
            Err(error) if is_not_run(&error) => refused += 1,
            Err(_) => unknown += 1,
        }
        if client.is_closed() {
            client = connect_with_retry(login).await?;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    last.context("no write was acknowledged")?;
    print_line(&format!(
        "{acknowledged} writes acknowledged, {refused} not run, {unknown} may have run; \
         longest gap {} ms",
        longest.as_millis()
    ))
}

/// Reads on one connection until the key is rejected or the connection closes, then prints how many
/// reads were served and the result of a new login.
///
/// # Errors
///
/// Fails when that does not happen within 30 s.
pub async fn read_until_rejected(login: &CallerLogin) -> Result<()> {
    let client = connect_with_retry(login).await?;
    let started = Instant::now();
    let mut served = 0_u64;
    while started.elapsed() < READ_TIMEOUT {
        match client.simple_query("SELECT count(*) FROM orders").await {
            Ok(_) => served += 1,
            Err(error) if is_key_rejected(&error) || client.is_closed() => {
                let again = login.connect(None).await;
                let state = again.err().map(|error| error.to_string()).unwrap_or_default();
                return print_line(&format!(
                    "{served} reads served, then the open connection was rejected; new login: {}",
                    state.lines().next().unwrap_or("accepted")
                ));
            }
            Err(_) => {}
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
    bail!("the key was not rejected within 30 s")
}

/// Returns whether an error states that the statement was not run.
pub fn is_not_run(error: &tokio_postgres::Error) -> bool {
    error
        .as_db_error()
        .and_then(|error| error.detail())
        .is_some_and(|detail| detail.starts_with("verdict: not run"))
}

fn is_key_rejected(error: &tokio_postgres::Error) -> bool {
    error.code().is_some_and(|code| code.code() == "28P01")
}

async fn run_with_retry(client: &Client, text: &str) -> Result<()> {
    let started = Instant::now();
    loop {
        match client.simple_query(text).await {
            Ok(_) => return Ok(()),
            Err(error) if is_not_run(&error) && started.elapsed() < READY_TIMEOUT => {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            Err(error) => return Err(error.into()),
        }
    }
}

/// Connects, and retries until the host accepts callers.
async fn connect_with_retry(login: &CallerLogin) -> Result<Client> {
    let started = Instant::now();
    loop {
        match login.connect(None).await {
            Ok(client) => return Ok(client),
            Err(error) if started.elapsed() > READY_TIMEOUT => return Err(error),
            Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

fn print_line(line: &str) -> Result<()> {
    use std::io::Write as _;
    writeln!(std::io::stdout(), "{line}")?;
    Ok(())
}
