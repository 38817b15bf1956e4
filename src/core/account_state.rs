//! One client account on this host.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::core::share_ledger;
use crate::core::status_report;
use crate::world::world_object;

/// How long a round of asking waits for answers before the next may begin.
const ASK_PATIENCE: Duration = Duration::from_millis(50);

/// One client account on this host.
#[derive(Debug, Clone)]
pub struct AccountState {
    /// Name.
    pub name: String,
    /// Weight in queues.
    pub weight: u32,
    /// This host's share of the account's rate and burst.
    pub ledger: share_ledger::ShareLedger,
    /// The object that the share was dealt by; `None` for an account that is not configured.
    pub object: Option<world_object::AccountObject>,
    /// Hosts that hold home shares.
    pub homes: Vec<String>,
    /// Statements that wait for a share, oldest first.
    pub waiting: Vec<arena_keys::StatementKey>,
    /// When peers were last asked.
    pub requested_at: clock_time::ClockTime,
    /// Answers to the last round of asking that are outstanding.
    pub replies_pending: u32,
    /// Extra time that the account is served for when the configuration cannot be confirmed,
    /// in milliseconds.
    pub grace_ms: u64,
    /// Time that a newly dealt share stays closed beyond the usual, in milliseconds.
    pub activation_delay_ms: u64,
    /// Rounds of asking in a row that brought nothing.
    pub fruitless_rounds: u32,
    /// Hosts that peers have named as holders of what they have lent.
    pub borrowers: BTreeSet<String>,
    /// Counts since the start.
    pub counts: status_report::AccountCounts,
}

impl AccountState {
    /// Whether answers to the last round of asking are still worth waiting for.
    pub fn asking(&self, now: clock_time::ClockTime) -> bool {
        self.replies_pending > 0 && now.since(self.requested_at) < ASK_PATIENCE
    }
}
