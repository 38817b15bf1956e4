//! When a refused request for a lease would have been granted.

use std::time::Duration;

/// When a refused request for a lease would have been granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseDelay {
    /// Expected time until the grant.
    pub wait: Duration,
    /// Time after which the same request is expected to be granted in time.
    pub retry_after: Duration,
}
