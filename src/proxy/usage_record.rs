//! The record in the store of what is reported for which window.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The counts of one window, as every holder reports them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowReport {
    /// Number of the window.
    pub window: u64,
    /// Requests by account.
    pub counts: BTreeMap<String, u64>,
}

/// What is reported for which window. Each version replaces the one before under a condition, so
/// there is one sequence of versions and one set of counts for each window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Length of a window in milliseconds, on which the numbers of windows depend.
    pub window_ms: u64,
    /// The last window for which it is settled what is reported, if anything. Never decreases.
    pub settled_through: u64,
    /// Windows whose report may not have arrived yet.
    pub reports: Vec<WindowReport>,
}

/// Key of the record.
pub const USAGE_KEY: &str = "usage/latest";
