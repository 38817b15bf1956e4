//! What the platform holds of a database group: its term and its primary.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::endpoint_message;

/// Whether a term has its primary yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TermPhase {
    /// A host is choosing the primary.
    Electing,
    /// The primary is chosen.
    Serving,
}

/// The platform's record of a group, changed only by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The term; grows with each claim.
    pub term: u64,
    /// Whether the primary is chosen.
    pub phase: TermPhase,
    /// The endpoint chosen; in an election, the last term's primary.
    pub primary: String,
    /// The host that claimed the term, with its incarnation.
    pub proposer: String,
    /// The end of the chosen primary's log when it was chosen.
    pub start: endpoint_message::LogPoint,
    /// Identity of the copy that each endpoint holds; only these count towards a majority.
    pub copies: BTreeMap<String, u64>,
}

/// Prefix of all keys that every host follows.
pub const LIVE_PREFIX: &str = "live/";

/// Returns the platform key of a group's record.
pub fn record_key(group: &str) -> String {
    format!("{LIVE_PREFIX}groups/{group}")
}
