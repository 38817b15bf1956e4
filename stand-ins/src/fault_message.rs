//! The message that injects faults into the stand-in platform.

use serde::{Deserialize, Serialize};

/// HTTP path that accepts [`PlatformFaults`].
pub const FAULT_PATH: &str = "/v1/fault";

/// Faults to inject; each call replaces all earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PlatformFaults {
    /// Whether calls get no reply.
    pub outage: bool,
    /// Delay before each call is handled, in milliseconds.
    pub slow_ms: u64,
    /// Number of next successful writes whose replies are withheld.
    pub lose_replies: u32,
}
