//! What an account has used of the leases of one priority.

use crate::proxy::drain_rate;

/// What an account has used of the leases of one priority.
#[derive(Debug, Clone, Default)]
pub struct AccountUse {
    /// Virtual time up to which the account has been served.
    pub served: f64,
    /// How fast its waiting requests are granted.
    pub drain: drain_rate::DrainRate,
    /// Share of its grants that went past a waiting request which misses its target, as a moving
    /// average.
    pub overtaking: f64,
}
