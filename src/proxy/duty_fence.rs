//! Keeps a host from taking turns at a duty with another holder too soon.

use std::collections::HashMap;
use std::time::Duration;

use crate::core::clock_time;
use crate::proxy::duty_call;

/// This host's last calls, by subject of the duty. Bounded by the number of subjects.
#[derive(Debug, Default)]
pub struct DutyFence {
    last_calls: HashMap<duty_call::DutySubject, (u64, clock_time::ClockTime)>,
}

impl DutyFence {
    /// Returns whether a call under `token` may be sent.
    ///
    /// A different token than that of the last call means that another host may have held the duty
    /// in between; this host then waits until `turn` has passed since its own last call.
    pub fn allows(
        &self,
        subject: duty_call::DutySubject,
        token: u64,
        now: clock_time::ClockTime,
        turn: Duration,
    ) -> bool {
        match self.last_calls.get(&subject) {
            Some((last, at)) => token == *last || (token > *last && now.since(*at) >= turn),
            None => true,
        }
    }

    /// Records a call under `token`.
    pub fn record(
        &mut self,
        subject: duty_call::DutySubject,
        token: u64,
        now: clock_time::ClockTime,
    ) {
        self.last_calls.insert(subject, (token, now));
    }
}
