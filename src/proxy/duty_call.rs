//! Calls to the platform that are the duty of the coordinator, and the replies to them.

use std::collections::BTreeMap;

use crate::core::arena_keys;

/// A call to the platform that only the coordinator may make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyCall {
    /// Has an endpoint promoted to primary.
    Promotion {
        /// Group of the endpoint.
        group: String,
        /// Endpoint to promote.
        endpoint: String,
    },
    /// Reports the requests that endpoints began to run in one window.
    Usage {
        /// Number of the window.
        window: u64,
        /// Number of requests by account.
        counts: BTreeMap<String, u64>,
    },
}

/// What a duty's calls are about. Holders take turns by subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DutySubject {
    /// Promotions in this group.
    Promotion(arena_keys::GroupKey),
    /// Usage reports of all windows.
    Usage,
}

/// The platform's reply to the call of a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyReply {
    /// The call was accepted.
    Accepted,
    /// The call was rejected for good: the endpoint to promote is not running.
    Rejected,
    /// No reply came or the call was turned away for now, so the outcome is unknown.
    NoReply,
}
