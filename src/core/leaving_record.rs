//! The hosts and endpoints that the platform says are leaving, as a live record.
//!
//! The hosts that watch the platform copy its list into the record when it differs, so that all
//! hosts learn of it as they learn of configurations, without a call of their own.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::core::group_record;

/// The hosts and endpoints that are leaving, by name.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LeavingRecord {
    /// Names.
    pub names: BTreeSet<String>,
}

/// Returns the platform key of the record.
pub fn record_key() -> String {
    format!("{}leaving", group_record::LIVE_PREFIX)
}
