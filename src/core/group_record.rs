//! Record of a database group in the platform's store: its term and its primary.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::endpoint_message;

/// Whether the primary of a term has been chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TermPhase {
    /// A host is choosing the primary.
    Electing,
    /// The primary is chosen.
    Serving,
}

/// The platform's record of a group, written only by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Term of the group, increased by each claim.
    pub term: u64,
    /// Whether the primary is chosen.
    pub phase: TermPhase,
    /// Endpoint of the primary; during an election, the primary of the previous term.
    pub primary: String,
    /// Host that claimed the term, with its incarnation.
    pub proposer: String,
    /// End of the primary's log at the time that it was chosen.
    pub start: endpoint_message::LogPoint,
    /// Identity of the copy that each endpoint holds; only these copies count towards a majority.
    pub copies: BTreeMap<String, u64>,
}

/// Prefix of the keys that every host tracks.
pub const LIVE_PREFIX: &str = "live/";

/// Returns the platform key of a group's record.
pub fn record_key(group: &str) -> String {
    format!("{LIVE_PREFIX}groups/{group}")
}
