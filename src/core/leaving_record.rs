//! Live record of the hosts and endpoints that the platform lists as leaving.
//!
//! The hosts that watch the platform copy its list into this record when the two differ. All other
//! hosts receive it with the live records, as they do configurations, without a platform call of
//! their own.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::core::group_record;

/// Names of the hosts and endpoints that are leaving.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LeavingRecord {
    /// Host and endpoint names.
    pub names: BTreeSet<String>,
}

/// Returns the platform key of the record.
pub fn record_key() -> String {
    format!("{}leaving", group_record::LIVE_PREFIX)
}
