//! Measures the latency and throughput cost of the proxy against direct access to the database.

use std::io::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Result;
use quetzaldeal::daemon::ring_channel;
use tokio_postgres::{Client, Config, NoTls};

use crate::caller_checks;

const WARM_UP_STATEMENTS: u32 = 200;
const STATEMENTS_PER_CALLER: u32 = 3_000;
const CALLER_COUNT: usize = 16;
const READ: &str = "SELECT state FROM orders WHERE id = 'order-1'";
const HOP_COUNT: u32 = 100_000;
const RING_CAPACITY: usize = 64;

/// Median latency of one caller, and statements per second of all callers together.
#[derive(Debug, Clone, Copy, PartialEq)]
struct PathSample {
    latency_us: f64,
    statements_per_s: f64,
}

/// Measures reads through a host and reads sent directly to a database, and prints a table.
///
/// # Errors
///
/// Fails when either is unreachable or a read fails.
pub async fn compare(login: &caller_checks::CallerLogin, direct: &str) -> Result<()> {
    let mut proxied_clients = Vec::new();
    let mut direct_clients = Vec::new();
    for _ in 0..CALLER_COUNT {
        proxied_clients.push(login.connect(None).await?);
        direct_clients.push(connect_directly(direct).await?);
    }
    let direct_path = sample(direct_clients).await?;
    let proxied_path = sample(proxied_clients).await?;
    let mut out = std::io::stdout();
    writeln!(out, "| path | median latency, us | statements/s, {CALLER_COUNT} callers |")?;
    writeln!(out, "|---|---|---|")?;
    for (name, path) in [("direct to the database", direct_path), ("through a host", proxied_path)]
    {
        writeln!(out, "| {name} | {:.0} | {:.0} |", path.latency_us, path.statements_per_s)?;
    }
    let latency = proxied_path.latency_us / direct_path.latency_us;
    let throughput = proxied_path.statements_per_s / direct_path.statements_per_s;
    writeln!(out, "| ratio | {latency:.2} | {throughput:.2} |")?;
    Ok(())
}

/// Prints the mean latency of one hop through a ring between two threads, including the wake-up of
/// a task in one direction and of a thread in the other.
///
/// # Errors
///
/// Fails when the runtime cannot be built or the result cannot be printed.
pub fn measure_ring_hop() -> Result<()> {
    let (to_thread, mut thread_receiver) =
        ring_channel::channel(RING_CAPACITY, ring_channel::RingWaker::Thread(current()));
    let (to_task, mut task_receiver) = ring_channel::TaskReceiver::channel(RING_CAPACITY);
    let echo = std::thread::spawn(move || -> Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(async {
            while let Some(item) = task_receiver.receive().await {
                to_thread.send(item).await;
            }
        });
        Ok(())
    });
    let started = Instant::now();
    for hop in 0..HOP_COUNT {
        to_task.send_blocking(hop);
        while thread_receiver.pop().is_err() {
            std::thread::park_timeout(Duration::from_millis(1));
        }
    }
    let micros = started.elapsed().as_secs_f64() * 1e6 / f64::from(HOP_COUNT) / 2.0;
    writeln!(std::io::stdout(), "one hop through a ring, including the wake-up: {micros:.1} us")?;
    drop(to_task);
    echo.join().unwrap_or(Ok(()))
}

fn current() -> std::thread::Thread {
    std::thread::current()
}

async fn connect_directly(address: &str) -> Result<Client> {
    let address: SocketAddr = address.parse()?;
    let mut config = Config::new();
    config.host(address.ip().to_string()).port(address.port()).user("app").dbname("app");
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn sample(clients: Vec<Client>) -> Result<PathSample> {
    let first = &clients[0];
    for _ in 0..WARM_UP_STATEMENTS {
        first.simple_query(READ).await?;
    }
    let mut latencies = Vec::new();
    for _ in 0..STATEMENTS_PER_CALLER {
        let started = Instant::now();
        first.simple_query(READ).await?;
        latencies.push(started.elapsed());
    }
    latencies.sort();
    let latency_us = latencies[latencies.len() / 2].as_secs_f64() * 1e6;
    let started = Instant::now();
    let each = clients.into_iter().map(|client| async move {
        for _ in 0..STATEMENTS_PER_CALLER {
            client.simple_query(READ).await?;
        }
        Ok::<(), tokio_postgres::Error>(())
    });
    futures::future::try_join_all(each).await?;
    let all = f64::from(STATEMENTS_PER_CALLER) * CALLER_COUNT as f64;
    Ok(PathSample { latency_us, statements_per_s: all / started.elapsed().as_secs_f64() })
}
