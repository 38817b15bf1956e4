//! Passes events of callers' connections to the decision core and routes its responses back.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::core::core_message;
use crate::core::endpoint_message;
use crate::core::request_verdict;
use crate::daemon::ring_channel;

/// Retry delay given to a caller when the ring to the decision core is full.
const RING_FULL_RETRY_AFTER: Duration = Duration::from_millis(20);

/// The final response to a login or statement of a caller.
#[derive(Debug)]
pub struct CallerResponse {
    /// Whether the request ran, and the cause.
    pub verdict: request_verdict::RequestVerdict,
    /// Rows and command tag; empty for statements that did not run.
    pub body: endpoint_message::ResponseBody,
    /// Whether the caller is inside a transaction now.
    pub in_transaction: bool,
}

impl CallerResponse {
    fn from_verdict(verdict: request_verdict::RequestVerdict) -> Self {
        Self { verdict, body: endpoint_message::ResponseBody::default(), in_transaction: false }
    }
}

#[derive(Debug)]
struct CallerEntry {
    pending: Option<oneshot::Sender<CallerResponse>>,
    close: CancellationToken,
}

/// The open connections of callers, each with the request that awaits a response.
#[derive(Debug)]
pub struct CallerRegistry {
    events: ring_channel::RingSender<core_message::CoreEvent>,
    callers: Mutex<HashMap<core_message::CallerId, CallerEntry>>,
    next_caller: AtomicU64,
}

impl CallerRegistry {
    /// Creates an empty registry that sends events to the core through `events`.
    pub fn new(events: ring_channel::RingSender<core_message::CoreEvent>) -> Self {
        Self { events, callers: Mutex::new(HashMap::new()), next_caller: AtomicU64::new(1) }
    }

    /// Registers a connection and returns its identifier; `close` is cancelled when the core closes
    /// the connection.
    pub fn register(&self, close: CancellationToken) -> core_message::CallerId {
        let caller = self.next_caller.fetch_add(1, Ordering::Relaxed);
        let entry = CallerEntry { pending: None, close };
        self.lock().insert(caller, entry);
        caller
    }

    /// Removes a connection that has ended and notifies the core.
    pub async fn deregister(&self, caller: core_message::CallerId) {
        self.lock().remove(&caller);
        self.events.send(core_message::CoreEvent::CallerClosed { caller }).await;
    }

    /// Sends an event of the caller to the core and waits for the response.
    ///
    /// When the ring to the core is full, returns at once with a verdict that the request did not
    /// run and a retry delay. When the core stops first, the request may have run.
    pub async fn submit(
        &self,
        caller: core_message::CallerId,
        event: core_message::CoreEvent,
    ) -> CallerResponse {
        let (sender, receiver) = oneshot::channel();
        if let Some(entry) = self.lock().get_mut(&caller) {
            entry.pending = Some(sender);
        }
        if self.events.try_send(event).is_err() {
            let verdict = request_verdict::RequestVerdict::not_run(
                request_verdict::VerdictCause::QueueFull,
                Some(RING_FULL_RETRY_AFTER),
            );
            return CallerResponse::from_verdict(verdict);
        }
        let core_stopped = || {
            let verdict = request_verdict::RequestVerdict::may_have_run(
                request_verdict::VerdictCause::Draining,
            );
            CallerResponse::from_verdict(verdict)
        };
        receiver.await.unwrap_or_else(|_| core_stopped())
    }

    /// Applies an action of the core to its caller; ignores actions that concern no caller.
    pub fn apply(&self, action: core_message::CoreAction) {
        match action {
            core_message::CoreAction::AdmitCaller { caller } => {
                self.respond(
                    caller,
                    CallerResponse::from_verdict(request_verdict::RequestVerdict::ran()),
                );
            }
            core_message::CoreAction::RefuseCaller { caller, verdict } => {
                self.respond(caller, CallerResponse::from_verdict(verdict));
            }
            core_message::CoreAction::RespondToCaller { caller, verdict, body, in_transaction } => {
                self.respond(caller, CallerResponse { verdict, body, in_transaction });
            }
            core_message::CoreAction::CloseCaller { caller, verdict } => {
                // The core drops a statement of this caller that is still in the ring, so the
                // pending statement has not run.
                self.respond(caller, CallerResponse::from_verdict(verdict));
                if let Some(entry) = self.lock().get(&caller) {
                    entry.close.cancel();
                }
            }
            _ => {}
        }
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.lock().len()
    }

    fn respond(&self, caller: core_message::CallerId, response: CallerResponse) {
        let pending = self.lock().get_mut(&caller).and_then(|entry| entry.pending.take());
        if let Some(pending) = pending {
            // Sending fails only when the connection has ended, and then no one waits.
            drop(pending.send(response));
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<core_message::CallerId, CallerEntry>> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
