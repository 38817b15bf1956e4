//! Live record of the newest configuration version whose shares are active on all hosts.
//!
//! A host that starts without state cannot know whether others still serve under an older version.
//! This record shows it: once the shares of a version are active, no host can serve under an older
//! one.

use serde::{Deserialize, Serialize};

use crate::core::group_record;

/// Newest configuration version whose shares are active.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ActivationRecord {
    /// Version of the configuration.
    pub version: u64,
}

/// Returns the platform key of the record.
pub fn record_key() -> String {
    format!("{}opened", group_record::LIVE_PREFIX)
}
