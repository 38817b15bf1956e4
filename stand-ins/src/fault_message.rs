//! Faults that tests switch on in the stand-ins.

use serde::{Deserialize, Serialize};

/// Path that faults are switched at.
pub const FAULT_PATH: &str = "/v1/fault";

/// Faults of the platform's service; each call sets all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PlatformFaults {
    /// Whether calls are left unanswered.
    pub outage: bool,
    /// Delay of each answer, in milliseconds.
    pub slow_ms: u64,
    /// How many of the next writes take effect with their answers lost.
    pub lose_replies: u32,
}
