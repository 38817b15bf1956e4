//! What the way through a host costs, against going straight to the database.

use std::io::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Result;
use quetzaldeal::daemon::ring_channel;
use tokio_postgres::{Client, Config, NoTls};

use crate::caller_story;

const WARM_UP: u32 = 200;
const STATEMENTS: u32 = 3_000;
const PARALLEL: usize = 16;
const READ: &str = "SELECT state FROM orders WHERE id = 'order-1'";
const HOPS: u32 = 100_000;
const RING_CAPACITY: usize = 64;

/// Statements a second and median latency of one way.
#[derive(Debug, Clone, Copy, PartialEq)]
struct PathSample {
    latency_us: f64,
    statements_per_s: f64,
}

/// Compares reads through a host with reads straight at a database, in one run.
///
/// # Errors
///
/// Fails when one of them cannot be reached.
pub async fn compare(login: &caller_story::CallerLogin, direct: &str) -> Result<()> {
    let mut proxied = Vec::new();
    let mut straight = Vec::new();
    for _ in 0..PARALLEL {
        proxied.push(login.connect(None).await?);
        straight.push(connect_straight(direct).await?);
    }
    let straight = sample(straight).await?;
    let proxied = sample(proxied).await?;
    let mut out = std::io::stdout();
    writeln!(out, "| way | median latency, us | statements/s, {PARALLEL} callers |")?;
    writeln!(out, "|---|---|---|")?;
    for (name, path) in [("straight to the database", straight), ("through a host", proxied)] {
        writeln!(out, "| {name} | {:.0} | {:.0} |", path.latency_us, path.statements_per_s)?;
    }
    let latency = proxied.latency_us / straight.latency_us;
    let throughput = proxied.statements_per_s / straight.statements_per_s;
    writeln!(out, "| ratio | {latency:.2} | {throughput:.2} |")?;
    Ok(())
}

/// Measures one way through a ring between two threads, both ways of waking.
///
/// # Errors
///
/// Fails when a thread or runtime cannot be made.
pub fn measure_hop() -> Result<()> {
    let (to_thread, mut inlet) =
        ring_channel::channel(RING_CAPACITY, ring_channel::RingWaker::Thread(current()));
    let (to_task, mut outlet) = ring_channel::TaskReceiver::channel(RING_CAPACITY);
    let echo = std::thread::spawn(move || -> Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(async {
            while let Some(item) = outlet.receive().await {
                to_thread.send(item).await;
            }
        });
        Ok(())
    });
    let started = Instant::now();
    for hop in 0..HOPS {
        to_task.send_blocking(hop);
        while inlet.pop().is_err() {
            std::thread::park_timeout(Duration::from_millis(1));
        }
    }
    let micros = started.elapsed().as_secs_f64() * 1e6 / f64::from(HOPS) / 2.0;
    writeln!(std::io::stdout(), "one hop through a ring with its wake-up: {micros:.1} us")?;
    drop(to_task);
    echo.join().unwrap_or(Ok(()))
}

fn current() -> std::thread::Thread {
    std::thread::current()
}

async fn connect_straight(address: &str) -> Result<Client> {
    let address: SocketAddr = address.parse()?;
    let mut config = Config::new();
    config.host(address.ip().to_string()).port(address.port()).user("app").dbname("app");
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn sample(clients: Vec<Client>) -> Result<PathSample> {
    let first = &clients[0];
    for _ in 0..WARM_UP {
        first.simple_query(READ).await?;
    }
    let mut latencies = Vec::new();
    for _ in 0..STATEMENTS {
        let started = Instant::now();
        first.simple_query(READ).await?;
        latencies.push(started.elapsed());
    }
    latencies.sort();
    let latency_us = latencies[latencies.len() / 2].as_secs_f64() * 1e6;
    let started = Instant::now();
    let each = clients.into_iter().map(|client| async move {
        for _ in 0..STATEMENTS {
            client.simple_query(READ).await?;
        }
        Ok::<(), tokio_postgres::Error>(())
    });
    futures::future::try_join_all(each).await?;
    let all = f64::from(STATEMENTS) * PARALLEL as f64;
    Ok(PathSample { latency_us, statements_per_s: all / started.elapsed().as_secs_f64() })
}
