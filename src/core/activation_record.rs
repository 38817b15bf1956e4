//! The newest version whose shares are open on all hosts, as a live record.
//!
//! A host that starts with nothing can't tell whether others still serve an older version. The
//! record tells: once shares of a version were opened, no host can serve an older one.

use serde::{Deserialize, Serialize};

use crate::core::group_record;

/// The newest version whose shares are open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ActivationRecord {
    /// The version of the configuration.
    pub version: u64,
}

/// Returns the platform key of the record.
pub fn record_key() -> String {
    format!("{}opened", group_record::LIVE_PREFIX)
}
