//! Spans and bounds that the decision core works with.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Spans and bounds of the decision core.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CoreTuning {
    /// Time between status probes of an endpoint that statements run on, in milliseconds.
    pub probe_interval_ms: u64,
    /// Time between status probes of an endpoint at rest, in milliseconds.
    pub rest_interval_ms: u64,
    /// Time after which an unanswered probe counts as lost, in milliseconds.
    pub probe_timeout_ms: u64,
    /// Least time between probes that confirm writes, in milliseconds.
    pub confirm_gap_ms: u64,
    /// Longest wait at a replica for the position that confirms a write, in milliseconds.
    pub confirm_wait_ms: u64,
    /// Time without a sign of the primary before it is suspected, in milliseconds.
    pub suspect_after_ms: u64,
    /// Time between the turns of hosts that may claim a term, in milliseconds.
    pub claim_turn_ms: u64,
    /// Time after which an unfinished election may be taken over, in milliseconds.
    pub election_timeout_ms: u64,
    /// Longest age of the evidence that the configuration is current, in milliseconds.
    pub fresh_for_ms: u64,
    /// Time between exchanges with peers, in milliseconds.
    pub pulse_interval_ms: u64,
    /// Longest wait of a watch on the platform, in milliseconds.
    pub watch_wait_ms: u64,
    /// Longest wait of a statement for a share of its account's rate, in milliseconds.
    pub share_wait_ms: u64,
    /// Least time between two rounds of asking peers for one account's share, in milliseconds.
    pub share_ask_gap_ms: u64,
    /// Deadline of a statement that names none, in milliseconds.
    pub statement_timeout_ms: u64,
    /// Most statements that wait for one endpoint.
    pub queue_limit: usize,
    /// Longest wait of a statement for a connection, in milliseconds.
    pub queue_wait_ms: u64,
    /// Idle time after which a connection is tested, in milliseconds.
    pub idle_test_ms: u64,
    /// Time without a statement after which an open transaction is rolled back, in milliseconds.
    pub idle_transaction_ms: u64,
    /// Longest statement accepted, in bytes.
    pub statement_max_bytes: usize,
    /// Longest graceful shutdown, in milliseconds.
    pub drain_timeout_ms: u64,
    /// Whether replicas serve reads; without, all reads go to primaries.
    pub replica_reads: bool,
    /// Whether hosts lend each other shares; without, each keeps its home share.
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

/// Extra time on top of `fresh_for_ms` before a new share opens.
pub const ACTIVATION_MARGIN: Duration = Duration::from_millis(500);
/// A peer that did not answer is not asked for this long.
pub const FAILED_PEER_BACKOFF: Duration = Duration::from_millis(5_000);
/// Hosts in each data centre that watch the platform for the others.
pub const WATCHERS_PER_CENTRE: usize = 2;
/// Age of the platform's evidence at which a host that does not watch looks for itself.
pub const WATCH_FALLBACK_AGE: Duration = Duration::from_millis(3_500);
/// Wait that refusals for lack of a primary tell the caller.
pub const FAILOVER_RETRY: Duration = Duration::from_millis(250);
/// Wait that other refusals tell the caller.
pub const SHORT_RETRY: Duration = Duration::from_millis(50);

impl CoreTuning {
    /// Returns a span given in milliseconds.
    pub const fn millis(value: u64) -> Duration {
        Duration::from_millis(value)
    }
}
