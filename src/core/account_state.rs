//! State of a client account on this host: its share of the rate limit and the statements waiting
//! for it.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::config::config_object;
use crate::core::arena_keys;
use crate::core::clock_time;
use crate::core::share_ledger;
use crate::core::status_report;

/// Time to wait for the replies of one round of loan requests before the next round may start.
const LOAN_REPLY_TIMEOUT: Duration = Duration::from_millis(50);

/// State of one client account on this host.
#[derive(Debug, Clone)]
pub struct AccountState {
    /// Account name.
    pub name: String,
    /// Weight in the endpoints' queues.
    pub weight: u32,
    /// This host's share of the account's rate and burst.
    pub ledger: share_ledger::ShareLedger,
    /// Configuration object that the share was allocated from; `None` for an account that is not
    /// configured.
    pub object: Option<config_object::AccountObject>,
    /// Home hosts of the account, which hold its home shares.
    pub homes: Vec<String>,
    /// Statements waiting for a token, oldest first.
    pub waiting: Vec<arena_keys::StatementKey>,
    /// When the last round of loan requests was sent.
    pub requested_at: clock_time::ClockTime,
    /// Outstanding replies of the last round of loan requests.
    pub replies_pending: u32,
    /// Extra time in milliseconds for which the account is served when the configuration cannot be
    /// confirmed.
    pub grace_ms: u64,
    /// Extra delay in milliseconds before a newly allocated share is activated.
    pub activation_delay_ms: u64,
    /// Consecutive rounds of loan requests without a loan.
    pub fruitless_rounds: u32,
    /// Hosts that peers have named as the borrowers of their loans.
    pub borrowers: BTreeSet<String>,
    /// Statement counts since the process started.
    pub counts: status_report::AccountCounts,
}

impl AccountState {
    /// Returns whether replies of the last round are outstanding and the time to wait for them has
    /// not passed.
    pub fn awaiting_replies(&self, now: clock_time::ClockTime) -> bool {
        self.replies_pending > 0 && now.since(self.requested_at) < LOAN_REPLY_TIMEOUT
    }
}
