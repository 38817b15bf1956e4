//! What this host knows of one endpoint.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::circuit_breaker;
use crate::core::clock_time;
use crate::core::endpoint_message;
use crate::proxy::endpoint_command;
use crate::proxy::proxy_tuning;
use crate::proxy::store_message;

/// What this host knows of one endpoint.
#[derive(Debug)]
pub struct EndpointView {
    /// Its registration, the last one if it vanished.
    pub entry: store_message::EndpointRegistration,
    /// The group.
    pub group: arena_keys::GroupKey,
    /// When its registration vanished.
    pub gone: Option<clock_time::ClockTime>,
    /// Since when it says that it will leave.
    pub draining: Option<clock_time::ClockTime>,
    /// Since when its data centre is being evacuated.
    pub evacuated: Option<clock_time::ClockTime>,
    /// Its circuit.
    pub circuit: circuit_breaker::CircuitBreaker,
    /// Links, in any state.
    pub connections: Vec<arena_keys::ConnectionKey>,
    /// Until when no link is opened: the endpoint has too many.
    pub connection_limit_until: clock_time::ClockTime,
    /// Jobs that wait for a link.
    pub queue: Vec<arena_keys::StatementKey>,
    /// The end of its log that it told last.
    pub position: endpoint_message::LogPoint,
    /// Times in a row that it lacked such points.
    pub lag_count: u32,
    /// Until when it is held to lack points that reads ask for.
    pub lagging_until: clock_time::ClockTime,
    /// Last answer.
    pub answered: clock_time::ClockTime,
    /// Since when it has not answered what was asked; `None` after any answer.
    pub failing: Option<clock_time::ClockTime>,
    /// Since when its machine turns connections away.
    pub refused_since: Option<clock_time::ClockTime>,
    /// Its last report and when it was asked for.
    pub report: Option<(clock_time::ClockTime, endpoint_command::EndpointStatus)>,
    /// Mean time that a statement takes, in milliseconds.
    pub latency_ms: f64,
}

impl EndpointView {
    /// Whether replicas' work may go there.
    pub fn accepts_reads(&self, now: clock_time::ClockTime) -> bool {
        self.eligible() && self.open(now)
    }

    /// Whether its circuit lets work through.
    pub fn open(&self, now: clock_time::ClockTime) -> bool {
        self.circuit.closed() || self.circuit.may_probe(now)
    }

    /// Whether it must not get any work: it has been leaving, gone or evacuated for too long.
    pub fn is_excluded(
        &self,
        now: clock_time::ClockTime,
        tuning: &proxy_tuning::ProxyTuning,
    ) -> bool {
        let past = |since: Option<clock_time::ClockTime>, limit: Duration| {
            since.is_some_and(|since| now.since(since) >= limit)
        };
        past(self.gone, tuning.drain_timeout)
            || past(self.draining, tuning.drain_timeout)
            || past(self.evacuated, tuning.evacuation_timeout)
    }

    /// Whether it is to be replaced as a primary although it may run.
    pub fn leaving(&self, now: clock_time::ClockTime, tuning: &proxy_tuning::ProxyTuning) -> bool {
        let gone = self.gone.is_some_and(|since| now.since(since) >= tuning.deregistration_grace);
        gone || self.draining.is_some() || self.evacuated.is_some()
    }

    /// Whether it stays, so that it may be appointed or read from.
    pub fn eligible(&self) -> bool {
        self.gone.is_none() && self.draining.is_none() && self.evacuated.is_none()
    }

    /// Notes an answer.
    pub fn record_response(&mut self, now: clock_time::ClockTime) {
        self.answered = now;
        self.failing = None;
        self.refused_since = None;
        self.circuit.succeed();
    }
}
