//! Timeouts and limits of the decision core, with their defaults.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Timeouts and limits of the decision core, as read from the setting `tuning`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CoreTuning {
    /// Interval between status probes of an endpoint with running statements, in milliseconds.
    pub probe_interval_ms: u64,
    /// Interval between status probes of an idle endpoint, in milliseconds.
    pub rest_interval_ms: u64,
    /// Timeout of a status probe, in milliseconds.
    pub probe_timeout_ms: u64,
    /// Minimum time between probes that confirm writes, in milliseconds.
    pub confirm_gap_ms: u64,
    /// Maximum time that a replica waits for the position that confirms a write, in milliseconds.
    pub confirm_wait_ms: u64,
    /// Time without a healthy status of the primary before it is suspected, in milliseconds.
    pub suspect_after_ms: u64,
    /// Time between the turns at which hosts may claim a term, in milliseconds.
    pub claim_turn_ms: u64,
    /// Time after which another host may take over an unfinished election, in milliseconds.
    pub election_timeout_ms: u64,
    /// Maximum age of the last confirmation that the configuration is current, in milliseconds.
    pub fresh_for_ms: u64,
    /// Interval between heartbeats, in milliseconds.
    pub pulse_interval_ms: u64,
    /// Maximum duration of one watch on the platform, in milliseconds.
    pub watch_wait_ms: u64,
    /// Maximum time that a statement waits for a token of its account, in milliseconds.
    pub share_wait_ms: u64,
    /// Minimum time between two rounds of loan requests for one account, in milliseconds.
    pub share_ask_gap_ms: u64,
    /// Timeout of a statement that does not set its own, in milliseconds.
    pub statement_timeout_ms: u64,
    /// Maximum number of statements queued for one endpoint.
    pub queue_limit: usize,
    /// Maximum time that a statement waits for a connection, in milliseconds.
    pub queue_wait_ms: u64,
    /// Idle time after which a connection is tested, in milliseconds.
    pub idle_test_ms: u64,
    /// Time without a statement after which an open transaction is rolled back, in milliseconds.
    pub idle_transaction_ms: u64,
    /// Maximum length of a statement, in bytes.
    pub statement_max_bytes: usize,
    /// Maximum duration of a graceful shutdown, in milliseconds.
    pub drain_timeout_ms: u64,
    /// Whether replicas serve reads; if false, all reads go to primaries.
    pub replica_reads: bool,
    /// Whether hosts lend shares to each other; if false, each host uses its home share only.
    pub share_loans: bool,
}

impl Default for CoreTuning {
    fn default() -> Self {
        Self {
            probe_interval_ms: 250,
            rest_interval_ms: 900,
            probe_timeout_ms: 600,
            confirm_gap_ms: 2,
            confirm_wait_ms: 100,
            suspect_after_ms: 1_500,
            claim_turn_ms: 200,
            election_timeout_ms: 3_000,
            fresh_for_ms: 5_000,
            pulse_interval_ms: 500,
            watch_wait_ms: 500,
            share_wait_ms: 40,
            share_ask_gap_ms: 20,
            statement_timeout_ms: 5_000,
            queue_limit: 128,
            queue_wait_ms: 1_000,
            idle_test_ms: 2_000,
            idle_transaction_ms: 5_000,
            statement_max_bytes: 1_000_000,
            drain_timeout_ms: 30_000,
            replica_reads: true,
            share_loans: true,
        }
    }
}

/// Time added to `fresh_for_ms` before a newly allocated share is activated.
pub const ACTIVATION_MARGIN: Duration = Duration::from_millis(500);
/// Time for which a peer that did not reply is not contacted.
pub const FAILED_PEER_BACKOFF: Duration = Duration::from_millis(5_000);
/// Number of hosts in each data centre that watch the platform on behalf of the others.
pub const WATCHERS_PER_CENTRE: usize = 2;
/// Age of the platform's last confirmation at which a host that is not a watcher watches the
/// platform itself.
pub const WATCH_FALLBACK_AGE: Duration = Duration::from_millis(3_500);
/// Retry delay sent to callers whose statement was refused for lack of a primary.
pub const FAILOVER_RETRY: Duration = Duration::from_millis(250);
/// Retry delay sent to callers for other refusals.
pub const SHORT_RETRY: Duration = Duration::from_millis(50);

impl CoreTuning {
    /// Converts a number of milliseconds to a duration.
    pub const fn millis(value: u64) -> Duration {
        Duration::from_millis(value)
    }
}
