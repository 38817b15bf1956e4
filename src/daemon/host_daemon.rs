//! The daemon of one host: the core and each kind of I/O run on threads of their own, connected by
//! bounded rings.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;
use tokio_util::sync::CancellationToken;

use crate::core::clock_time;
use crate::core::core_context;
use crate::core::core_message;
use crate::core::decision_core;
use crate::daemon::caller_listener;
use crate::daemon::caller_registry;
use crate::daemon::core_driver;
use crate::daemon::daemon_settings;
use crate::daemon::endpoint_driver;
use crate::daemon::latency_histograms;
use crate::daemon::metrics_driver;
use crate::daemon::peer_driver;
use crate::daemon::platform_driver;
use crate::daemon::ring_channel;
use crate::daemon::statement_service;

/// Capacity of each ring, in items.
const RING_CAPACITY: usize = 4_096;

/// Runs the daemon until it has received a stop signal and drained.
///
/// # Errors
///
/// Fails when a thread cannot start, an address cannot be bound, or a thread fails.
pub fn run(settings: daemon_settings::DaemonSettings) -> Result<()> {
    let stop = CancellationToken::new();
    let latencies = Arc::new(latency_histograms::LatencyHistograms::default());
    let started = Instant::now();
    let core = build_core(&settings)?;

    let (endpoint_actions, endpoint_receiver) = ring_channel::TaskReceiver::channel(RING_CAPACITY);
    let (peer_actions, peer_receiver) = ring_channel::TaskReceiver::channel(RING_CAPACITY);
    let (platform_actions, platform_receiver) = ring_channel::TaskReceiver::channel(RING_CAPACITY);
    let (metrics_actions, metrics_receiver) = ring_channel::TaskReceiver::channel(RING_CAPACITY);

    // The rings to the decision thread need its handle to wake it, so the thread is started before
    // they exist and receives its driver afterwards.
    let (setup_sender, setup_receiver) =
        std::sync::mpsc::sync_channel::<core_driver::CoreDriver>(1);
    let decisions = spawn_thread("decisions", move || {
        if let Ok(driver) = setup_receiver.recv() {
            driver.run();
        }
        Ok(())
    })?;
    let waker = ring_channel::RingWaker::Thread(decisions.thread().clone());
    let mut event_receivers = Vec::new();
    let mut event_channel = || -> ring_channel::RingSender<core_message::CoreEvent> {
        let (sender, consumer) = ring_channel::channel(RING_CAPACITY, waker.clone());
        event_receivers.push(consumer);
        sender
    };
    let registry = Arc::new(caller_registry::CallerRegistry::new(event_channel()));
    let endpoint_events = event_channel();
    let peer_events = event_channel();
    let platform_events = event_channel();
    let metrics_events = event_channel();
    let signal_events = event_channel();

    let senders = core_driver::ActionSenders {
        callers: registry.clone(),
        endpoints: endpoint_actions,
        peers: peer_actions,
        platform: platform_actions,
        metrics: metrics_actions,
    };
    let driver =
        core_driver::CoreDriver::new(core, started, event_receivers, senders, stop.clone());
    setup_sender
        .send(driver)
        .ok()
        .context("the decision thread ended before it received its driver")?;

    let mut threads = vec![decisions];
    let token = stop.clone();
    let login = settings.endpoint_login.clone();
    threads.push(spawn_worker("endpoints", stop.clone(), move |runtime| {
        let local = LocalSet::new();
        let drive =
            endpoint_driver::drive(login, endpoint_events, endpoint_receiver, token.clone());
        local.block_on(runtime, until_stopped(drive, token));
        Ok(())
    })?);
    let (token, address, histograms) = (stop.clone(), settings.peers.clone(), latencies.clone());
    let secret = settings.fleet_secret.clone();
    if secret.is_empty() {
        log::warn!(
            "field fleet_secret is empty: any process that reaches {address} is accepted as a peer"
        );
    }
    threads.push(spawn_worker("peers", stop.clone(), move |runtime| {
        let drive =
            peer_driver::drive(address, peer_events, peer_receiver, histograms, secret, token);
        runtime.block_on(drive)
    })?);
    let (token, address) = (stop.clone(), settings.platform.clone());
    threads.push(spawn_worker("platform", stop.clone(), move |runtime| {
        let drive = platform_driver::drive(address, platform_events, platform_receiver);
        runtime.block_on(until_stopped(drive, token)).unwrap_or(Ok(()))
    })?);
    let (token, address, histograms) = (stop.clone(), settings.callers.clone(), latencies.clone());
    threads.push(spawn_worker("callers", stop.clone(), move |runtime| {
        let service = statement_service::build(registry.clone(), histograms);
        runtime.block_on(caller_listener::serve(&address, registry, service, token))
    })?);
    if let Some(address) = &settings.metrics {
        let client = metrics_driver::client(address)?;
        let (token, histograms) = (stop.clone(), latencies);
        threads.push(spawn_worker("metrics", stop.clone(), move |runtime| {
            let drive =
                metrics_driver::drive(client, metrics_events, metrics_receiver, histograms, token);
            runtime.block_on(drive);
            Ok(())
        })?);
    }
    log::info!("host {} serves callers at {}", settings.host, settings.callers);
    await_signals(&signal_events, &stop)?;
    join_all(threads)
}

/// Reports SIGTERM and SIGINT to the core as requests to drain, until `stop` is cancelled.
fn await_signals(
    events: &ring_channel::RingSender<core_message::CoreEvent>,
    stop: &CancellationToken,
) -> Result<()> {
    let runtime = build_runtime()?;
    runtime.block_on(async {
        use tokio::signal::unix::{SignalKind, signal};
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        loop {
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                _ = terminate.recv() => events.send(core_message::CoreEvent::DrainRequested).await,
                _ = interrupt.recv() => events.send(core_message::CoreEvent::DrainRequested).await,
            }
        }
    })
}

fn build_core(settings: &daemon_settings::DaemonSettings) -> Result<decision_core::DecisionCore> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let identity = core_context::HostIdentity {
        name: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: since_epoch.as_millis() as u64,
        seeds: settings.seeds.clone(),
    };
    let seed = rand::random();
    decision_core::DecisionCore::new(
        identity,
        settings.tuning.clone(),
        seed,
        clock_time::ClockTime::default(),
    )
}

fn spawn_thread(
    name: &str,
    body: impl FnOnce() -> Result<()> + Send + 'static,
) -> Result<JoinHandle<Result<()>>> {
    let builder = std::thread::Builder::new().name(name.to_owned());
    builder.spawn(body).with_context(|| format!("failed to start thread {name}"))
}

/// Starts a thread that runs `body` on a runtime of its own; when `body` returns, the whole daemon
/// stops.
fn spawn_worker(
    name: &'static str,
    stop: CancellationToken,
    body: impl FnOnce(&Runtime) -> Result<()> + Send + 'static,
) -> Result<JoinHandle<Result<()>>> {
    spawn_thread(name, move || {
        let runtime = build_runtime()?;
        let outcome = body(&runtime);
        if let Err(error) = &outcome {
            log::error!("thread {name} failed: {error:#}");
        }
        stop.cancel();
        runtime.shutdown_background();
        outcome
    })
}

fn build_runtime() -> Result<Runtime> {
    Builder::new_current_thread().enable_all().build().context("failed to build a Tokio runtime")
}

/// Returns the output of `body`, or `None` when `stop` is cancelled first.
async fn until_stopped<T>(body: impl Future<Output = T>, stop: CancellationToken) -> Option<T> {
    tokio::select! {
        outcome = body => Some(outcome),
        () = stop.cancelled() => None,
    }
}

/// Waits for all threads and returns the first error in the order of `threads`.
fn join_all(threads: Vec<JoinHandle<Result<()>>>) -> Result<()> {
    let mut outcome = Ok(());
    for thread in threads {
        match thread.join() {
            Ok(ended) => outcome = outcome.and(ended),
            Err(_) => outcome = outcome.and(Err(anyhow::anyhow!("a thread panicked"))),
        }
    }
    outcome
}
