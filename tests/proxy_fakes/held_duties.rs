//! Calls of duties that are held up on their way to the platform.

use std::collections::BTreeMap;

use quetzaldeal::core::core_message;
use quetzaldeal::proxy::duty_call;

/// A call of a duty that is held up.
#[derive(Debug)]
pub(crate) struct HeldDuty {
    pub(crate) incarnation: u64,
    pub(crate) call: core_message::CallId,
    pub(crate) duty: duty_call::DutyCall,
    pub(crate) token: u64,
}

/// Calls of duties that are held up on their way to the platform.
#[derive(Debug, Default)]
pub(crate) struct HeldDuties {
    /// Host whose calls are held up.
    pub(crate) host: Option<usize>,
    /// The calls, in order.
    pub(crate) calls: Vec<HeldDuty>,
    /// When each call is given up, by process and call, in microseconds of virtual time.
    pub(crate) deadlines: BTreeMap<(u64, core_message::CallId), u64>,
}

impl HeldDuties {
    /// Removes and returns a call.
    pub(crate) fn take(&mut self, key: (u64, core_message::CallId)) -> Option<HeldDuty> {
        let position = self.calls.iter().position(|held| (held.incarnation, held.call) == key)?;
        Some(self.calls.remove(position))
    }
}
