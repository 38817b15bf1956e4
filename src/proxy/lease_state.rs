//! State of a lease of a pooled connection, or of a request for one.

use std::time::Duration;

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::proxy::pool_message;
use crate::proxy::waiting_lease;

/// How far a lease has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeasePhase {
    /// It waits in the endpoint's scheduler.
    Waiting,
    /// A connection is being opened for its account.
    Opening,
    /// It has a connection.
    Granted(arena_keys::ConnectionKey),
}

/// State of a lease of a pooled connection, or of a request for one.
#[derive(Debug)]
pub struct LeaseState {
    /// Link on which it was requested.
    pub link: pool_message::LinkId,
    /// Its channel on the link.
    pub channel: pool_message::ChannelId,
    /// Endpoint of the connection.
    pub endpoint: arena_keys::EndpointKey,
    /// The request, as the scheduler handles it.
    pub request: waiting_lease::WaitingLease,
    /// When it was requested.
    pub requested_at: clock_time::ClockTime,
    /// How far it has come.
    pub phase: LeasePhase,
    /// Time for which it has occupied a place of the endpoint, without the current stretch.
    pub occupied: Duration,
    /// Since when it occupies a place; `None` while it waits or is idle in a transaction.
    pub occupied_since: Option<clock_time::ClockTime>,
}

impl LeaseState {
    /// Returns the connection that it has.
    pub fn connection(&self) -> Option<arena_keys::ConnectionKey> {
        match self.phase {
            LeasePhase::Granted(connection) => Some(connection),
            LeasePhase::Waiting | LeasePhase::Opening => None,
        }
    }

    /// Begins a stretch in which it occupies a place.
    pub fn occupy(&mut self, now: clock_time::ClockTime) {
        self.occupied_since.get_or_insert(now);
    }

    /// Ends the stretch in which it occupies a place.
    pub fn vacate(&mut self, now: clock_time::ClockTime) {
        if let Some(since) = self.occupied_since.take() {
            self.occupied += now.since(since);
        }
    }
}
