//! The decisions' thread: feeds the core from the rings and hands out its actions.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rtrb::Consumer;
use tokio_util::sync::CancellationToken;

use crate::core::clock_time::ClockTime;
use crate::core::core_message::{AskId, CoreAction, CoreEvent};
use crate::core::decision_core::DecisionCore;
use crate::core::endpoint_message::EndpointOutcome;
use crate::daemon::caller_desk::CallerDesk;
use crate::daemon::duty_ring::RingSender;

/// Number of the metrics' own question for the status.
pub const METRICS_ASK: AskId = 0;
/// Longest sleep of the thread.
const SLEEP_MAX: Duration = Duration::from_millis(50);
/// Events taken from one ring before the next is looked at.
const BATCH_MAX: usize = 64;

/// Rings from the core to the other threads.
#[derive(Debug)]
pub struct CoreOutlets {
    /// Answers to callers go straight to their desk.
    pub desk: Arc<CallerDesk>,
    /// To the endpoints' thread.
    pub endpoints: RingSender<CoreAction>,
    /// To the peers' thread.
    pub peers: RingSender<CoreAction>,
    /// To the platform's thread.
    pub platform: RingSender<CoreAction>,
    /// To the metrics' thread.
    pub metrics: RingSender<CoreAction>,
}

/// The decisions' thread.
pub struct CoreDriver {
    core: DecisionCore,
    started: Instant,
    inlets: Vec<Consumer<CoreEvent>>,
    outlets: CoreOutlets,
    /// Events that the driver made itself, for actions that found a ring full.
    own: VecDeque<CoreEvent>,
    stop: CancellationToken,
}

impl std::fmt::Debug for CoreDriver {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("CoreDriver").finish_non_exhaustive()
    }
}

impl CoreDriver {
    /// Builds the driver of a core whose clock started at `started`.
    pub fn new(
        core: DecisionCore,
        started: Instant,
        inlets: Vec<Consumer<CoreEvent>>,
        outlets: CoreOutlets,
        stop: CancellationToken,
    ) -> Self {
        Self { core, started, inlets, outlets, own: VecDeque::new(), stop }
    }

    /// Runs until the core announces its stop, or `stop` is cancelled.
    pub fn run(mut self) {
        while !self.stop.is_cancelled() {
            if !self.take_events() {
                self.sleep();
            }
        }
    }

    fn take_events(&mut self) -> bool {
        let mut busy = false;
        for index in 0..self.inlets.len() {
            for _ in 0..BATCH_MAX {
                let Ok(event) = self.inlets[index].pop() else { break };
                busy = true;
                self.handle(event);
            }
        }
        while let Some(event) = self.own.pop_front() {
            busy = true;
            self.handle(event);
        }
        if self.core.next_wake().is_some_and(|at| at <= self.now()) {
            busy = true;
            self.handle(CoreEvent::Woken);
        }
        busy
    }

    fn sleep(&self) {
        let now = self.now();
        let wake = self.core.next_wake().map_or(SLEEP_MAX, |at| at.since(now));
        std::thread::park_timeout(wake.min(SLEEP_MAX));
    }

    fn now(&self) -> ClockTime {
        ClockTime::from_micros(self.started.elapsed().as_micros() as u64)
    }

    fn handle(&mut self, event: CoreEvent) {
        let now = self.now();
        for action in self.core.handle(now, event) {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: CoreAction) {
        match action {
            CoreAction::AdmitCaller { .. }
            | CoreAction::RefuseCaller { .. }
            | CoreAction::AnswerCaller { .. }
            | CoreAction::CloseCaller { .. } => self.outlets.desk.act(action),
            CoreAction::OpenConnection { .. } | CoreAction::CloseConnection { .. } => {
                self.outlets.endpoints.send_blocking(action);
            }
            CoreAction::CallEndpoint { call, .. } => {
                if self.outlets.endpoints.try_send(action).is_err() {
                    let outcome = EndpointOutcome::Unsent;
                    self.own.push_back(CoreEvent::EndpointAnswered { call, outcome });
                }
            }
            CoreAction::CallPeer { call, .. } => {
                if self.outlets.peers.try_send(action).is_err() {
                    self.own.push_back(CoreEvent::PeerAnswered { call, reply: None });
                }
            }
            CoreAction::CallPlatform { call, .. } => {
                if self.outlets.platform.try_send(action).is_err() {
                    self.own.push_back(CoreEvent::PlatformAnswered { call, reply: None });
                }
            }
            CoreAction::AnswerStatus { ask: METRICS_ASK, .. } => {
                // Metrics that come too fast for their thread are dropped.
                drop(self.outlets.metrics.try_send(action));
            }
            CoreAction::AnswerPeer { .. } | CoreAction::AnswerStatus { .. } => {
                // A peer or operator that gets no answer asks again.
                drop(self.outlets.peers.try_send(action));
            }
            CoreAction::Stop => self.stop.cancel(),
        }
    }
}
