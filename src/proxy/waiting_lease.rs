//! A request for a lease that waits for a connection.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::clock_time;

/// A request for a lease that waits for a connection.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingLease {
    /// Key of the lease.
    pub lease: arena_keys::LeaseKey,
    /// Name of the account that the connection is for.
    pub account: String,
    /// Weight of the account in the fair queue; its operations per second.
    pub weight: f64,
    /// Priority of the request; 0 is served first.
    pub priority: u32,
    /// When the response should have reached the caller.
    pub target: clock_time::ClockTime,
    /// Until when the lease is of use.
    pub until: clock_time::ClockTime,
}

impl WaitingLease {
    /// Returns what the request costs its account in the fair queue, in virtual time.
    pub fn cost(&self) -> f64 {
        1.0 / self.weight.max(f64::MIN_POSITIVE)
    }

    /// Returns the order among the requests of one account: those that can still meet their target
    /// come first, then the earliest target. `service` is the expected time of the lease.
    pub fn urgency(
        &self,
        now: clock_time::ClockTime,
        service: Duration,
    ) -> (bool, clock_time::ClockTime) {
        (now.after(service) > self.target, self.target)
    }
}
