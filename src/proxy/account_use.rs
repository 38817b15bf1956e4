//! What an account has used of the leases of one priority.

use crate::proxy::drain_rate;

/// What an account has used of the leases of one priority.
#[derive(Debug, Clone, Copy, Default)]
pub struct AccountUse {
    /// Virtual time up to which the account has been served.
    pub served: f64,
    /// How fast its waiting requests are granted.
    pub drain: drain_rate::DrainRate,
}
