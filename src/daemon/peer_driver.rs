//! Serves requests of peers and operators over HTTP, and calls peers for the core.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Result;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use volo_http::client::Client;
use volo_http::http::StatusCode;
use volo_http::server::route::Router;

use crate::core::core_message;
use crate::core::peer_message;
use crate::core::status_report;
use crate::daemon::http_call;
use crate::daemon::latency_histograms;
use crate::daemon::ring_channel;

/// HTTP path for requests of peers.
pub const PEER_PATH: &str = "/v1/peer";
/// HTTP path for status requests of operators.
pub const STATUS_PATH: &str = "/v1/status";
/// Longest wait for a reply from a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait for a reply from the decision core.
const CORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The sender of the reply to a request that the core has not replied to yet.
#[derive(Debug)]
enum PendingRequest {
    /// A request of a peer.
    Peer(oneshot::Sender<peer_message::PeerReply>),
    /// A status request of an operator.
    Status(oneshot::Sender<status_report::StatusReport>),
}

/// Passes requests of peers and operators to the core and routes its replies back.
#[derive(Debug)]
struct RequestRegistry {
    events: ring_channel::RingSender<core_message::CoreEvent>,
    pending: Mutex<HashMap<core_message::RequestId, PendingRequest>>,
    next_request_id: AtomicU64,
    latencies: Arc<latency_histograms::LatencyHistograms>,
    secret: String,
}

impl RequestRegistry {
    async fn handle_peer_request(
        &self,
        envelope: peer_message::PeerEnvelope,
    ) -> Result<peer_message::PeerReply, (StatusCode, String)> {
        let request = envelope.verify(&self.secret).map_err(|error| {
            log::warn!("rejected a request of a peer: {error:#}");
            (StatusCode::BAD_REQUEST, error.to_string())
        })?;
        let (sender, receiver) = oneshot::channel();
        let request_id = self.register(PendingRequest::Peer(sender));
        self.submit(
            request_id,
            core_message::CoreEvent::PeerRequestReceived { request_id, request },
        )?;
        self.await_reply(request_id, receiver).await
    }

    async fn handle_status_request(
        &self,
    ) -> Result<status_report::StatusReport, (StatusCode, String)> {
        let (sender, receiver) = oneshot::channel();
        let request_id = self.register(PendingRequest::Status(sender));
        self.submit(request_id, core_message::CoreEvent::StatusRequested { request_id })?;
        let mut report = self.await_reply(request_id, receiver).await?;
        for (name, counts) in &mut report.accounts {
            let quantiles = self.latencies.quantiles(name);
            counts.p50_us = quantiles.p50_us;
            counts.p99_us = quantiles.p99_us;
        }
        Ok(report)
    }

    fn submit(
        &self,
        request_id: core_message::RequestId,
        event: core_message::CoreEvent,
    ) -> Result<(), (StatusCode, String)> {
        self.events.try_send(event).map_err(|_| {
            self.lock().remove(&request_id);
            (StatusCode::SERVICE_UNAVAILABLE, "this host is busy".to_owned())
        })
    }

    async fn await_reply<T>(
        &self,
        request_id: core_message::RequestId,
        receiver: oneshot::Receiver<T>,
    ) -> Result<T, (StatusCode, String)> {
        match tokio::time::timeout(CORE_TIMEOUT, receiver).await {
            Ok(Ok(reply)) => Ok(reply),
            _ => {
                self.lock().remove(&request_id);
                Err((StatusCode::SERVICE_UNAVAILABLE, "this host did not answer".to_owned()))
            }
        }
    }

    fn register(&self, request: PendingRequest) -> core_message::RequestId {
        let request_id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(request_id, request);
        request_id
    }

    /// Delivers a reply of the core to the pending request; drops it when the request timed out.
    fn deliver_reply(&self, action: core_message::CoreAction) {
        match action {
            core_message::CoreAction::ReplyToPeer { request_id, reply } => {
                if let Some(PendingRequest::Peer(sender)) = self.lock().remove(&request_id) {
                    drop(sender.send(reply));
                }
            }
            core_message::CoreAction::ReplyToStatus { request_id, report } => {
                if let Some(PendingRequest::Status(sender)) = self.lock().remove(&request_id) {
                    drop(sender.send(*report));
                }
            }
            _ => {}
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<core_message::RequestId, PendingRequest>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves peers and operators at `address` and executes actions until `stop` is cancelled.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn drive(
    address: String,
    events: ring_channel::RingSender<core_message::CoreEvent>,
    mut actions: ring_channel::TaskReceiver<core_message::CoreAction>,
    latencies: Arc<latency_histograms::LatencyHistograms>,
    secret: String,
    stop: CancellationToken,
) -> Result<()> {
    let registry = Arc::new(RequestRegistry {
        events,
        pending: Mutex::default(),
        next_request_id: AtomicU64::new(1),
        latencies,
        secret,
    });
    let client = http_call::client(PEER_TIMEOUT)?;
    let dispatch_actions = async {
        while let Some(action) = actions.receive().await {
            match action {
                core_message::CoreAction::CallPeer { call, address, request } => {
                    tokio::spawn(call_peer(
                        registry.clone(),
                        client.clone(),
                        call,
                        address,
                        request,
                    ));
                }
                reply => registry.deliver_reply(reply),
            }
        }
        Ok(())
    };
    tokio::select! {
        served = http_call::serve(&address, || router(registry.clone())) => match served {
            // The HTTP server returns on the stop signal, while the core still has replies to send.
            Ok(()) => {
                stop.cancelled().await;
                Ok(())
            }
            Err(error) => Err(error),
        },
        ended = dispatch_actions => ended,
        () = stop.cancelled() => Ok(()),
    }
}

fn router(registry: Arc<RequestRegistry>) -> Router {
    let peers = registry.clone();
    let router = http_call::route_messages(Router::new(), PEER_PATH, move |envelope| {
        let registry = peers.clone();
        async move { registry.handle_peer_request(envelope).await }
    });
    http_call::route_messages(router, STATUS_PATH, move |(): ()| {
        let registry = registry.clone();
        async move { registry.handle_status_request().await }
    })
}

/// Sends a request to a peer and reports the reply, or its lack, to the core.
async fn call_peer(
    registry: Arc<RequestRegistry>,
    client: Client,
    call: core_message::CallId,
    address: String,
    request: peer_message::PeerRequest,
) {
    let reply = match peer_message::PeerEnvelope::sign(&registry.secret, &request) {
        Ok(envelope) => {
            http_call::post_message(&client, &address, PEER_PATH, &envelope, PEER_TIMEOUT).await
        }
        Err(error) => Err(error),
    };
    if let Err(error) = &reply {
        log::debug!("call to peer {address} failed: {error:#}");
    }
    registry.events.send(core_message::CoreEvent::PeerReplied { call, reply: reply.ok() }).await;
}
