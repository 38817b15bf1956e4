//! Joins callers' connections to the decision core: questions out, answers back.

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

/// Wait that a caller is told when the ring to the decision core is full.
const RING_FULL_RETRY_AFTER: Duration = Duration::from_millis(20);

/// The final answer to a caller's question.
#[derive(Debug)]
pub struct CallerResponse {
    /// The verdict.
    pub verdict: request_verdict::RequestVerdict,
    /// The answer, for statements that ran.
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

/// Joins callers' connections to the decision core.
#[derive(Debug)]
pub struct CallerRegistry {
    events: ring_channel::RingSender<core_message::CoreEvent>,
    callers: Mutex<HashMap<core_message::CallerId, CallerEntry>>,
    next_caller: AtomicU64,
}

impl CallerRegistry {
    /// Builds a desk that sends events through `events`.
    pub fn new(events: ring_channel::RingSender<core_message::CoreEvent>) -> Self {
        Self { events, callers: Mutex::new(HashMap::new()), next_caller: AtomicU64::new(1) }
    }

    /// Registers a connection; `close` is cancelled when the core ends it.
    pub fn register(&self, close: CancellationToken) -> core_message::CallerId {
        let caller = self.next_caller.fetch_add(1, Ordering::Relaxed);
        let entry = CallerEntry { pending: None, close };
        self.lock().insert(caller, entry);
        caller
    }

    /// Forgets a connection that has ended.
    pub async fn deregister(&self, caller: core_message::CallerId) {
        self.lock().remove(&caller);
        self.events.send(core_message::CoreEvent::CallerClosed { caller }).await;
    }

    /// Sends an event of the caller and awaits the core's answer.
    ///
    /// A full ring is answered at once: not run, with the time to come back.
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

    /// Carries out one of the core's actions for callers.
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
                // A statement that is still on its way is dropped by the core, so it is not run.
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
            // The connection may have ended meanwhile; then nobody waits for the answer.
            drop(pending.send(response));
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<core_message::CallerId, CallerEntry>> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
