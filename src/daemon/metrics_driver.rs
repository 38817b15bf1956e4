//! Sends the host's counts and latencies periodically as StatsD metrics.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use cadence::{BufferedUdpMetricSink, Gauged, StatsdClient};
use tokio_util::sync::CancellationToken;

use crate::core::core_message;
use crate::core::status_report;
use crate::daemon::core_driver::METRICS_REQUEST_ID;
use crate::daemon::latency_histograms;
use crate::daemon::ring_channel;

/// Time between reports.
const METRICS_INTERVAL: Duration = Duration::from_secs(60);
/// Prefix of all metric names.
const METRICS_PREFIX: &str = "quetzaldeal";

/// Creates a client that sends metrics to `address`.
///
/// # Errors
///
/// Fails when the address is malformed or no UDP socket can be opened.
pub fn client(address: &str) -> Result<StatsdClient> {
    let address: SocketAddr = address
        .parse()
        .with_context(|| format!("field metrics: {address:?}: expected an IP address and port"))?;
    let socket =
        UdpSocket::bind(("0.0.0.0", 0)).context("failed to open a UDP socket for metrics")?;
    let sink = BufferedUdpMetricSink::from(address, socket)?;
    Ok(StatsdClient::from_sink(METRICS_PREFIX, sink))
}

/// Requests the core's status every `METRICS_INTERVAL` and sends it as metrics, until `stop` is
/// cancelled or the core drops its sender.
pub async fn drive(
    client: StatsdClient,
    events: ring_channel::RingSender<core_message::CoreEvent>,
    mut actions: ring_channel::TaskReceiver<core_message::CoreAction>,
    latencies: Arc<latency_histograms::LatencyHistograms>,
    stop: CancellationToken,
) {
    let mut interval = tokio::time::interval(METRICS_INTERVAL);
    let mut sent = BTreeMap::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = interval.tick() => {
                // When the ring to the core is full, the request is repeated at the next tick.
                drop(events.try_send(core_message::CoreEvent::StatusRequested { request_id: METRICS_REQUEST_ID }));
            }
            action = actions.receive() => match action {
                Some(core_message::CoreAction::ReplyToStatus { report, .. }) => {
                    send_report(&client, &report, &latencies, &mut sent);
                }
                Some(_) => {}
                None => return,
            }
        }
    }
}

/// Sends the metrics of the host, and of the accounts whose counts differ from those in `sent`.
fn send_report(
    client: &StatsdClient,
    report: &status_report::StatusReport,
    latencies: &latency_histograms::LatencyHistograms,
    sent: &mut BTreeMap<String, status_report::AccountCounts>,
) {
    let gauge = |name: &str, value: u64| client.gauge_with_tags(name, value).send();
    gauge("version", report.version);
    gauge("callers", report.callers);
    gauge("statements", report.statements);
    gauge("connections", report.connections);
    gauge("control.platform_calls", report.control.platform_calls);
    gauge("control.peer_calls", report.control.peer_calls);
    for (account, counts) in &report.accounts {
        if sent.insert(account.clone(), counts.clone()).as_ref() == Some(counts) {
            continue;
        }
        let quantiles = latencies.quantiles(account);
        let tagged = |name: &str, value: u64| {
            client.gauge_with_tags(name, value).with_tag("account", account).send();
        };
        tagged("account.admitted", counts.admitted);
        tagged("account.over_rate", counts.over_rate);
        tagged("account.not_run", counts.not_run);
        tagged("account.may_have_run", counts.may_have_run);
        tagged("account.replica_reads", counts.replica_reads);
        tagged("account.primary_reads", counts.primary_reads);
        tagged("account.writes", counts.writes);
        tagged("account.p50_us", quantiles.p50_us);
        tagged("account.p99_us", quantiles.p99_us);
        tagged("account.p999_us", quantiles.p999_us);
    }
}
