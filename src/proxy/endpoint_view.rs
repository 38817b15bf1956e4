//! State of one endpoint as this host knows it.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::circuit_breaker;
use crate::core::clock_time;
use crate::core::endpoint_message;
use crate::proxy::endpoint_command;
use crate::proxy::lease_wait;
use crate::proxy::proxy_tuning;
use crate::proxy::store_message;

/// State of one endpoint as this host knows it.
#[derive(Debug)]
pub struct EndpointView {
    /// Its registration; the last one if it was deregistered.
    pub entry: store_message::EndpointRegistration,
    /// Group that it belongs to.
    pub group: arena_keys::GroupKey,
    /// Since when it is deregistered.
    pub deregistered_since: Option<clock_time::ClockTime>,
    /// Since when its registration says that it is draining.
    pub draining_since: Option<clock_time::ClockTime>,
    /// Since when its data centre is being evacuated.
    pub evacuated_since: Option<clock_time::ClockTime>,
    /// Its circuit breaker.
    pub circuit: circuit_breaker::CircuitBreaker,
    /// Connections to it, in any state.
    pub connections: Vec<arena_keys::ConnectionKey>,
    /// Until when no connection is opened, because it refused one at its connection limit.
    pub connection_limit_until: clock_time::ClockTime,
    /// Requests that wait for a connection.
    pub queue: Vec<arena_keys::StatementKey>,
    /// End of its log as it last reported it.
    pub position: endpoint_message::LogPoint,
    /// Number of consecutive reads that it refused because its log lacked the required point.
    pub lag_count: u32,
    /// Until when it is assumed to lack points beyond its last known position.
    pub lagging_until: clock_time::ClockTime,
    /// Time of its last response.
    pub last_response_at: clock_time::ClockTime,
    /// Since when it is unresponsive; `None` after any response.
    pub unresponsive_since: Option<clock_time::ClockTime>,
    /// Since when connections to its address are refused.
    pub connections_refused_since: Option<clock_time::ClockTime>,
    /// Its last reported status, and when that was requested.
    pub report: Option<(clock_time::ClockTime, endpoint_command::EndpointStatus)>,
    /// Moving average of the time that a statement takes, in milliseconds.
    pub latency_ms: f64,
    /// Wait for a lease of a connection to it, as lately seen.
    pub lease_wait: lease_wait::LeaseWait,
}

impl EndpointView {
    /// Whether reads may be sent to it as a replica.
    pub fn accepts_reads(&self, now: clock_time::ClockTime) -> bool {
        self.eligible() && self.circuit_permits(now)
    }

    /// Whether its circuit breaker lets requests through.
    pub fn circuit_permits(&self, now: clock_time::ClockTime) -> bool {
        self.circuit.closed() || self.circuit.may_probe(now)
    }

    /// Whether it must get no requests at all: it has been deregistered, draining or under
    /// evacuation for too long.
    pub fn is_excluded(
        &self,
        now: clock_time::ClockTime,
        tuning: &proxy_tuning::ProxyTuning,
    ) -> bool {
        let past = |since: Option<clock_time::ClockTime>, limit: Duration| {
            since.is_some_and(|since| now.since(since) >= limit)
        };
        past(self.deregistered_since, tuning.drain_timeout)
            || past(self.draining_since, tuning.drain_timeout)
            || past(self.evacuated_since, tuning.evacuation_timeout)
    }

    /// Whether it should be replaced as primary although it may still run.
    pub fn should_be_replaced(
        &self,
        now: clock_time::ClockTime,
        tuning: &proxy_tuning::ProxyTuning,
    ) -> bool {
        let deregistered = self
            .deregistered_since
            .is_some_and(|since| now.since(since) >= tuning.deregistration_grace);
        deregistered || self.draining_since.is_some() || self.evacuated_since.is_some()
    }

    /// Whether it may be promoted or read from: it is registered, not draining and not under
    /// evacuation.
    pub fn eligible(&self) -> bool {
        self.deregistered_since.is_none()
            && self.draining_since.is_none()
            && self.evacuated_since.is_none()
    }

    /// Records a response, which shows that the endpoint is reachable.
    pub fn record_response(&mut self, now: clock_time::ClockTime) {
        self.last_response_at = now;
        self.unresponsive_since = None;
        self.connections_refused_since = None;
        self.circuit.succeed();
    }
}
