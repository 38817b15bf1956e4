//! The decisions' thread: feeds the core from the rings and hands out its actions.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rtrb::Consumer;
use tokio_util::sync::CancellationToken;

use crate::core::clock_time;
use crate::core::core_message;
use crate::core::decision_core;
use crate::core::endpoint_message;
use crate::daemon::caller_desk;
use crate::daemon::duty_ring;

/// Number of the metrics' own question for the status.
pub const METRICS_REQUEST: core_message::RequestId = 0;
/// Longest sleep of the thread.
const SLEEP_MAX: Duration = Duration::from_millis(50);
/// Events taken from one ring before the next is looked at.
const BATCH_MAX: usize = 64;

/// Rings from the core to the other threads.
#[derive(Debug)]
pub struct CoreOutlets {
    /// Answers to callers go straight to their desk.
    pub desk: Arc<caller_desk::CallerDesk>,
    /// To the endpoints' thread.
    pub endpoints: duty_ring::RingSender<core_message::CoreAction>,
    /// To the peers' thread.
    pub peers: duty_ring::RingSender<core_message::CoreAction>,
    /// To the platform's thread.
    pub platform: duty_ring::RingSender<core_message::CoreAction>,
    /// To the metrics' thread.
    pub metrics: duty_ring::RingSender<core_message::CoreAction>,
}

/// The decisions' thread.
pub struct CoreDriver {
    core: decision_core::DecisionCore,
    started: Instant,
    inlets: Vec<Consumer<core_message::CoreEvent>>,
    outlets: CoreOutlets,
    /// Events that the driver made itself, for actions that found a ring full.
    own: VecDeque<core_message::CoreEvent>,
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
        core: decision_core::DecisionCore,
        started: Instant,
        inlets: Vec<Consumer<core_message::CoreEvent>>,
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
        if self.core.next_timer().is_some_and(|at| at <= self.now()) {
            busy = true;
            self.handle(core_message::CoreEvent::TimerFired);
        }
        busy
    }

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
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: core_message::CoreAction) {
        match action {
            core_message::CoreAction::AdmitCaller { .. }
            | core_message::CoreAction::RefuseCaller { .. }
            | core_message::CoreAction::RespondToCaller { .. }
            | core_message::CoreAction::CloseCaller { .. } => self.outlets.desk.act(action),
            core_message::CoreAction::OpenConnection { .. }
            | core_message::CoreAction::CloseConnection { .. } => {
                self.outlets.endpoints.send_blocking(action);
            }
            core_message::CoreAction::CallEndpoint { call, .. } => {
                if self.outlets.endpoints.try_send(action).is_err() {
                    let outcome = endpoint_message::EndpointOutcome::NotSent;
                    self.own
                        .push_back(core_message::CoreEvent::EndpointResponded { call, outcome });
                }
            }
            core_message::CoreAction::CallPeer { call, .. } => {
                if self.outlets.peers.try_send(action).is_err() {
                    self.own.push_back(core_message::CoreEvent::PeerReplied { call, reply: None });
                }
            }
            core_message::CoreAction::CallPlatform { call, .. } => {
                if self.outlets.platform.try_send(action).is_err() {
                    self.own
                        .push_back(core_message::CoreEvent::PlatformReplied { call, reply: None });
                }
            }
            core_message::CoreAction::ReplyToStatus { request_id: METRICS_REQUEST, .. } => {
                // Metrics that come too fast for their thread are dropped.
                drop(self.outlets.metrics.try_send(action));
            }
            core_message::CoreAction::ReplyToPeer { .. }
            | core_message::CoreAction::ReplyToStatus { .. } => {
                // A peer or operator that gets no answer asks again.
                drop(self.outlets.peers.try_send(action));
            }
            core_message::CoreAction::Stop => self.stop.cancel(),
        }
    }
}
