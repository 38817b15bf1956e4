//! Runs the decision core on a thread of its own: passes it events from the rings and dispatches
//! its actions.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rtrb::Consumer;
use tokio_util::sync::CancellationToken;

use crate::core::clock_time;
use crate::core::core_message;
use crate::core::decision_core;
use crate::core::endpoint_message;
use crate::daemon::caller_registry;
use crate::daemon::ring_channel;

/// Identifier of the status requests that the metrics thread sends.
pub const METRICS_REQUEST_ID: core_message::RequestId = 0;
/// Longest sleep between checks for a cancelled `stop`, when no event wakes the thread earlier.
const SLEEP_MAX: Duration = Duration::from_millis(50);
/// Events handled from one ring before the next ring is read, so that no ring starves the others.
const EVENT_BATCH_MAX: usize = 64;

/// Senders of the core's actions to the other threads.
#[derive(Debug)]
pub struct ActionSenders {
    /// Responses to callers, handed to their connections without a ring.
    pub callers: Arc<caller_registry::CallerRegistry>,
    /// Actions for the endpoint thread.
    pub endpoints: ring_channel::RingSender<core_message::CoreAction>,
    /// Actions for the peer thread.
    pub peers: ring_channel::RingSender<core_message::CoreAction>,
    /// Actions for the platform thread.
    pub platform: ring_channel::RingSender<core_message::CoreAction>,
    /// Status reports for the metrics thread.
    pub metrics: ring_channel::RingSender<core_message::CoreAction>,
}

/// Drives the decision core.
pub struct CoreDriver {
    core: decision_core::DecisionCore,
    started: Instant,
    event_receivers: Vec<Consumer<core_message::CoreEvent>>,
    senders: ActionSenders,
    /// Failure events for calls that could not be sent because their ring was full.
    local_events: VecDeque<core_message::CoreEvent>,
    stop: CancellationToken,
}

impl std::fmt::Debug for CoreDriver {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("CoreDriver").finish_non_exhaustive()
    }
}

impl CoreDriver {
    /// Creates the driver of a core whose clock reads zero at `started`.
    pub fn new(
        core: decision_core::DecisionCore,
        started: Instant,
        event_receivers: Vec<Consumer<core_message::CoreEvent>>,
        senders: ActionSenders,
        stop: CancellationToken,
    ) -> Self {
        Self { core, started, event_receivers, senders, local_events: VecDeque::new(), stop }
    }

    /// Runs until the core returns a stop action or `stop` is cancelled.
    pub fn run(mut self) {
        while !self.stop.is_cancelled() {
            if !self.process_events() {
                self.sleep();
            }
        }
    }

    /// Handles the waiting events and due timers; returns whether there were any.
    fn process_events(&mut self) -> bool {
        let mut busy = false;
        for index in 0..self.event_receivers.len() {
            for _ in 0..EVENT_BATCH_MAX {
                let Ok(event) = self.event_receivers[index].pop() else { break };
                busy = true;
                self.handle(event);
            }
        }
        while let Some(event) = self.local_events.pop_front() {
            busy = true;
            self.handle(event);
        }
        if self.core.next_timer().is_some_and(|at| at <= self.now()) {
            busy = true;
            self.handle(core_message::CoreEvent::TimerFired);
        }
        busy
    }

    /// Parks the thread until the next timer, a new event, or `SLEEP_MAX`.
    fn sleep(&self) {
        let now = self.now();
        let wake = self.core.next_timer().map_or(SLEEP_MAX, |at| at.since(now));
        std::thread::park_timeout(wake.min(SLEEP_MAX));
    }

    fn now(&self) -> clock_time::ClockTime {
        clock_time::ClockTime::from_micros(self.started.elapsed().as_micros() as u64)
    }

    fn handle(&mut self, event: core_message::CoreEvent) {
        let now = self.now();
        for action in self.core.handle(now, event) {
            self.dispatch(action);
        }
    }

    fn dispatch(&mut self, action: core_message::CoreAction) {
        match action {
            core_message::CoreAction::AdmitCaller { .. }
            | core_message::CoreAction::RefuseCaller { .. }
            | core_message::CoreAction::RespondToCaller { .. }
            | core_message::CoreAction::CloseCaller { .. } => self.senders.callers.apply(action),
            core_message::CoreAction::OpenConnection { .. }
            | core_message::CoreAction::CloseConnection { .. } => {
                self.senders.endpoints.send_blocking(action);
            }
            core_message::CoreAction::CallEndpoint { call, .. } => {
                if self.senders.endpoints.try_send(action).is_err() {
                    self.local_events.push_back(core_message::CoreEvent::EndpointResponded {
                        call,
                        outcome: endpoint_message::EndpointOutcome::NotSent,
                        reusable: false,
                    });
                }
            }
            core_message::CoreAction::CallPeer { call, .. } => {
                if self.senders.peers.try_send(action).is_err() {
                    self.local_events
                        .push_back(core_message::CoreEvent::PeerReplied { call, reply: None });
                }
            }
            core_message::CoreAction::CallPlatform { call, .. } => {
                if self.senders.platform.try_send(action).is_err() {
                    self.local_events
                        .push_back(core_message::CoreEvent::PlatformReplied { call, reply: None });
                }
            }
            core_message::CoreAction::ReplyToStatus { request_id: METRICS_REQUEST_ID, .. } => {
                // The next report supersedes one that is dropped because the ring is full.
                drop(self.senders.metrics.try_send(action));
            }
            core_message::CoreAction::ReplyToPeer { .. }
            | core_message::CoreAction::ReplyToStatus { .. } => {
                // A reply is dropped when the ring is full; the peer or operator retries.
                drop(self.senders.peers.try_send(action));
            }
            core_message::CoreAction::Stop => self.stop.cancel(),
        }
    }
}
