//! Measures resource use per object and per operation (slopes), from which `capacity_sheet`
//! extrapolates to the design size.

use std::time::Duration;

use anyhow::{Context, Result};
use quetzaldeal::core::peer_message;
use quetzaldeal::core::share_ledger;
use quetzaldeal::daemon::latency_histograms;
use serde::{Deserialize, Serialize};

use crate::core_bench::{CoreBench, FleetSize, build_config};

/// Bytes that HTTP adds to a message and its reply.
const HTTP_FRAME_BYTES: f64 = 260.0;

/// Resource use of an idle fleet of real processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetSample {
    /// Daemons.
    pub hosts: f64,
    /// Endpoints that each daemon probes.
    pub endpoints: f64,
    /// Processor time of one daemon, as a percentage of a processor core.
    pub cpu_percent: f64,
    /// Resident memory of one daemon, in MB.
    pub rss_mb: f64,
    /// Bytes per second on the loopback device, per daemon.
    pub bytes_per_s: f64,
    /// Platform calls per second of all daemons.
    pub platform_calls_per_s: f64,
    /// Time until a published configuration is active on all hosts, in milliseconds.
    pub publish_ms: f64,
}

/// Costs of the decision core. Those that grow with the configuration are the difference between
/// two sizes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CoreSlopes {
    /// Time that the core spends on one read, in microseconds.
    pub read_us: f64,
    /// Time that the core spends on one write, in microseconds.
    pub write_us: f64,
    /// Time per second for probing one endpoint, in microseconds.
    pub probe_us_per_s: f64,
    /// Time per second for one account without traffic, in microseconds.
    pub account_us_per_s: f64,
    /// Time to apply a configuration in which one object changed, per configured object, in
    /// microseconds.
    pub adopt_us_per_object: f64,
    /// Bytes of a heartbeat and its reply with 3 data centres, including HTTP.
    pub pulse_bytes_3: f64,
    /// Bytes of a heartbeat and its reply with 15 data centres, including HTTP.
    pub pulse_bytes_15: f64,
    /// Bytes of a request for a share and its reply, including HTTP.
    pub share_bytes: f64,
    /// Bytes of the largest part of the configuration.
    pub part_bytes: f64,
    /// Bytes of the configuration's head per configured object.
    pub head_bytes_per_object: f64,
}

/// Resident memory per object, as the difference between two fresh processes of different sizes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemorySlopes {
    /// One open caller, in bytes.
    pub caller_bytes: f64,
    /// One configured host, in bytes.
    pub host_bytes: f64,
    /// One configured group with its three endpoints, in bytes.
    pub group_bytes: f64,
    /// One configured account with its key, in bytes.
    pub account_bytes: f64,
    /// One account's latency histogram, in bytes.
    pub histogram_bytes: f64,
}

/// All measurements that `capacity_sheet` needs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CapacitySlopes {
    /// Costs of the decision core.
    pub core: CoreSlopes,
    /// Memory per object.
    pub memory: MemorySlopes,
    /// Samples of idle fleets of different sizes.
    #[serde(default)]
    pub fleets: Vec<FleetSample>,
}

/// Measures the costs of the decision core in this process.
///
/// # Errors
///
/// Fails when a configuration cannot be built or a message cannot be encoded.
pub fn measure_core() -> Result<CoreSlopes> {
    let (read_us, write_us) = measure_statements()?;
    let probe_us_per_s = measure_probes()?;
    let account_us_per_s = measure_accounts()?;
    let adopt_us_per_object = measure_config_apply()?;
    let largest = build_config(fleet_size(2_200, 1_033, 3_000))?;
    let objects = largest.to_objects().len() as f64;
    let parts = quetzaldeal::config::config_head::split_config(&largest)?;
    let part_bytes = parts.iter().map(|(_, bytes)| bytes.len()).max().unwrap_or(0) as f64;
    Ok(CoreSlopes {
        read_us,
        write_us,
        probe_us_per_s,
        account_us_per_s,
        adopt_us_per_object,
        pulse_bytes_3: heartbeat_bytes(3)?,
        pulse_bytes_15: heartbeat_bytes(15)?,
        share_bytes: share_bytes()?,
        part_bytes,
        head_bytes_per_object: parts.len() as f64 * 66.0 / objects,
    })
}

fn fleet_size(hosts: usize, groups: usize, accounts: usize) -> FleetSize {
    FleetSize { data_centres: 15, hosts, groups, accounts }
}

fn measure_statements() -> Result<(f64, f64)> {
    const STATEMENTS: u64 = 20_000;
    let mut bench = CoreBench::new(fleet_size(30, 10, 3_000))?;
    bench.open_callers(1, 1_000);
    let read = "SELECT state FROM orders WHERE id = 'order-17'";
    let write = "UPDATE orders SET state = 'paid' WHERE id = 'order-17'";
    bench.statements(1, STATEMENTS / 10, write);
    let read_us = micros(bench.statements(1, STATEMENTS, read)) / STATEMENTS as f64;
    let write_us = micros(bench.statements(1, STATEMENTS, write)) / STATEMENTS as f64;
    Ok((read_us, write_us))
}

/// Creates `count` objects of a kind and returns the resident memory of this process, in bytes.
///
/// # Errors
///
/// Fails when the kind is unknown, the core cannot be built or the memory cannot be read.
pub fn measure_memory(kind: &str, count: usize) -> Result<f64> {
    let size = match kind {
        "hosts" => fleet_size(count, 10, 10),
        "groups" => fleet_size(30, count, 10),
        "accounts" => fleet_size(30, 10, count),
        "callers" => fleet_size(30, 10, 10),
        "histograms" => return histogram_memory(count),
        other => {
            anyhow::bail!("kind {other}: expected hosts, groups, accounts, callers or histograms")
        }
    };
    let mut bench = CoreBench::new(size)?;
    if kind == "callers" {
        bench.open_callers(1, count as u64 + 1);
    }
    let bytes = resident_bytes()?;
    drop(bench);
    Ok(bytes)
}

/// Returns the time per second that an idle core spends on each endpoint, in microseconds.
fn measure_probes() -> Result<f64> {
    let at = |groups: usize| -> Result<f64> {
        let mut bench = CoreBench::new(fleet_size(30, groups, 10))?;
        Ok(micros(bench.run(Duration::from_secs(60))) / 60.0)
    };
    let (few, many) = (at(10)?, at(110)?);
    Ok((many - few) / (100.0 * 3.0))
}

fn measure_accounts() -> Result<f64> {
    let at = |accounts: usize| -> Result<f64> {
        let mut bench = CoreBench::new(fleet_size(30, 10, accounts))?;
        Ok(micros(bench.run(Duration::from_secs(60))) / 60.0)
    };
    let (few, many) = (at(100)?, at(1_100)?);
    Ok((many - few) / 1_000.0)
}

fn measure_config_apply() -> Result<f64> {
    let at = |hosts: usize, groups: usize, accounts: usize| -> Result<(f64, f64)> {
        let size = fleet_size(hosts, groups, accounts);
        let mut bench = CoreBench::new(size)?;
        let mut config = build_config(size)?;
        let objects = config.to_objects().len() as f64;
        let key = bench.core().context().config.active.keys.get("key-0").cloned();
        config.keys.extend(key.map(|key| (key.name.clone(), key)));
        if let Some(account) = config.accounts.get_mut("account-1") {
            account.weight = 2;
        }
        Ok((micros(bench.publish(&config, 2)?), objects))
    };
    let (few_us, few) = at(220, 100, 300)?;
    let (many_us, many) = at(2_200, 1_033, 3_000)?;
    Ok((many_us - few_us) / (many - few))
}

fn histogram_memory(accounts: usize) -> Result<f64> {
    let histograms = latency_histograms::LatencyHistograms::default();
    for account in 0..accounts {
        let name = format!("account-{account}");
        (1..2_000).for_each(|step| histograms.record(&name, Duration::from_micros(step * 37)));
    }
    let bytes = resident_bytes()?;
    drop(histograms);
    Ok(bytes)
}

fn heartbeat_bytes(data_centres: usize) -> Result<f64> {
    let heartbeat = peer_message::PeerHeartbeat {
        host: "data-centre-12-host-120".to_owned(),
        incarnation: 1_790_000_000_000,
        version: 12_345,
        watermark: 123_456,
        platform_age_ms: Some(1_234),
        centre_ages: vec![123; data_centres],
        leaving: false,
        entries: Vec::new(),
    };
    let reply = rmp_serde::to_vec(&peer_message::PeerReply::Heartbeat(heartbeat.clone()))?;
    let request = rmp_serde::to_vec(&peer_message::PeerEnvelope::sign(
        "secret",
        &peer_message::PeerRequest::Heartbeat(heartbeat),
    )?)?;
    Ok((request.len() + reply.len()) as f64 + HTTP_FRAME_BYTES)
}

fn share_bytes() -> Result<f64> {
    let part = share_ledger::SharePart { rate: 12.5, burst: 3.25 };
    let request = peer_message::PeerRequest::Share {
        host: "data-centre-12-host-120".to_owned(),
        account: "account-1234".to_owned(),
        version: 12_345,
        want: share_ledger::ShareGrant { part, tokens: 2.5, ttl_ms: 1_000 },
    };
    let request = rmp_serde::to_vec(&peer_message::PeerEnvelope::sign("secret", &request)?)?;
    let grant = Some(share_ledger::ShareGrant { part, tokens: 2.5, ttl_ms: 1_000 });
    let borrowers = vec!["data-centre-12-host-121".to_owned(); 3];
    let reply = rmp_serde::to_vec(&peer_message::PeerReply::Share { grant, borrowers })?;
    Ok((request.len() + reply.len()) as f64 + HTTP_FRAME_BYTES)
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> Result<f64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .context("/proc/self/status has no line VmRSS")?;
    let kilobytes =
        line.split_whitespace().nth(1).context("/proc/self/status: VmRSS has no value")?;
    Ok(kilobytes.parse::<f64>()? * 1_024.0)
}
