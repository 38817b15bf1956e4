//! A call of a duty that has got no reply yet.

use crate::core::clock_time;
use crate::proxy::duty_call;

/// A call of a duty that has got no reply yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingDuty {
    /// What the call is about.
    pub subject: duty_call::DutySubject,
    /// Fencing token that it carries.
    pub token: u64,
    /// When it is given up at the latest, however long the coordinator lease lasts.
    pub latest: clock_time::ClockTime,
}
