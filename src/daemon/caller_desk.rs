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
use crate::daemon::duty_ring;

/// Wait that a caller is told when the ring to the decision core is full.
const RING_RETRY: Duration = Duration::from_millis(20);

/// The final answer to a caller's question.
#[derive(Debug)]
pub struct DeskAnswer {
    /// The verdict.
    pub verdict: request_verdict::RequestVerdict,
    /// The answer, for statements that ran.
    pub body: endpoint_message::ResponseBody,
    /// Whether the caller is inside a transaction now.
    pub in_transaction: bool,
}

impl DeskAnswer {
    fn of_verdict(verdict: request_verdict::RequestVerdict) -> Self {
        Self { verdict, body: endpoint_message::ResponseBody::default(), in_transaction: false }
    }
}

#[derive(Debug)]
struct OpenCaller {
    pending: Option<oneshot::Sender<DeskAnswer>>,
    close: CancellationToken,
}

/// Joins callers' connections to the decision core.
#[derive(Debug)]
pub struct CallerDesk {
    events: duty_ring::RingSender<core_message::CoreEvent>,
    callers: Mutex<HashMap<core_message::CallerId, OpenCaller>>,
    next_caller: AtomicU64,
}

impl CallerDesk {
    /// Builds a desk that sends events through `events`.
    pub fn new(events: duty_ring::RingSender<core_message::CoreEvent>) -> Self {
        Self { events, callers: Mutex::new(HashMap::new()), next_caller: AtomicU64::new(1) }
    }

    /// Registers a connection; `close` is cancelled when the core ends it.
    pub fn register(&self, close: CancellationToken) -> core_message::CallerId {
        let caller = self.next_caller.fetch_add(1, Ordering::Relaxed);
        let open = OpenCaller { pending: None, close };
        self.lock().insert(caller, open);
        caller
    }

    /// Forgets a connection that has ended.
    pub async fn forget(&self, caller: core_message::CallerId) {
        self.lock().remove(&caller);
        self.events.send(core_message::CoreEvent::CallerClosed { caller }).await;
    }

    /// Sends an event of the caller and awaits the core's answer.
    ///
    /// A full ring is answered at once: not run, with the time to come back.
    pub async fn ask(
        &self,
        caller: core_message::CallerId,
        event: core_message::CoreEvent,
    ) -> DeskAnswer {
        let (sender, receiver) = oneshot::channel();
        if let Some(open) = self.lock().get_mut(&caller) {
            open.pending = Some(sender);
        }
        if self.events.try_send(event).is_err() {
            let verdict = request_verdict::RequestVerdict::not_run(
                request_verdict::VerdictCause::QueueFull,
                Some(RING_RETRY),
            );
            return DeskAnswer::of_verdict(verdict);
        }
        let stopping = || {
            let verdict = request_verdict::RequestVerdict::may_have_run(
                request_verdict::VerdictCause::Draining,
            );
            DeskAnswer::of_verdict(verdict)
        };
        receiver.await.unwrap_or_else(|_| stopping())
    }

    /// Carries out one of the core's actions for callers.
    pub fn act(&self, action: core_message::CoreAction) {
        match action {
            core_message::CoreAction::AdmitCaller { caller } => {
                self.answer(caller, DeskAnswer::of_verdict(request_verdict::RequestVerdict::ran()));
            }
            core_message::CoreAction::RefuseCaller { caller, verdict } => {
                self.answer(caller, DeskAnswer::of_verdict(verdict));
            }
            core_message::CoreAction::RespondToCaller { caller, verdict, body, in_transaction } => {
                self.answer(caller, DeskAnswer { verdict, body, in_transaction });
            }
            core_message::CoreAction::CloseCaller { caller, verdict } => {
                // A statement that is still on its way is dropped by the core, so it is not run.
                self.answer(caller, DeskAnswer::of_verdict(verdict));
                if let Some(open) = self.lock().get(&caller) {
                    open.close.cancel();
                }
            }
            _ => {}
        }
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.lock().len()
    }

    fn answer(&self, caller: core_message::CallerId, answer: DeskAnswer) {
        let pending = self.lock().get_mut(&caller).and_then(|open| open.pending.take());
        if let Some(pending) = pending {
            // The connection may have ended meanwhile; then nobody waits for the answer.
            drop(pending.send(answer));
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<core_message::CallerId, OpenCaller>> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
