//! Spans and bounds of the proxy core.

use std::time::Duration;

/// Spans and bounds of the proxy core.
#[derive(Debug, Clone, PartialEq)]
pub struct ProxyTuning {
    /// Time between looks at everything that time alone changes.
    pub tick: Duration,
    /// Lease of a host's membership; a host without word of most peers uses no primary for longer.
    pub host_lease: Duration,
    /// Time for which peers' words let a host use a primary, counted from when it spoke to them.
    pub quorum_lease: Duration,
    /// Time between renewals of a host's lease.
    pub host_renewal: Duration,
    /// Lease of the duty of changing primaries.
    pub coordinator_lease: Duration,
    /// Time between renewals of the duty's lease.
    pub coordinator_renewal: Duration,
    /// Taken off every lease, for the time between a check and what it allows.
    pub lease_margin: Duration,
    /// Longest wait of a watch on the store by the hosts that look after it for all; a watch that
    /// the store forgot is noticed after it.
    pub watch_wait_short: Duration,
    /// Longest wait of the others' watches: each costs a call.
    pub watch_wait_long: Duration,
    /// Time for which a host may know less than its peers before it opens its watch again.
    pub watch_lag_limit: Duration,
    /// Pause before a call to the store that failed is made again; doubled up to eight times it.
    pub store_pause: Duration,
    /// Time between pulses to peers.
    pub heartbeat: Duration,
    /// Time without an answer after which a primary is pinged.
    pub ping_after: Duration,
    /// Time without an answer after which an endpoint that was asked is held to be silent.
    pub silent_after: Duration,
    /// Longest wait for a new link.
    pub connect_timeout: Duration,
    /// Time for which a registration that vanished may come back.
    pub gone_grace: Duration,
    /// Time after which an endpoint that leaves gets no work at all.
    pub drain_timeout: Duration,
    /// Time after which an endpoint in an evacuated data centre gets no work at all.
    pub evacuation_timeout: Duration,
    /// Time between a request to stop and the end of the process.
    pub shutdown_timeout: Duration,
    /// Longest wait of a statement for a link.
    pub queue_wait: Duration,
    /// Statements that wait for one endpoint at most.
    pub queue_limit: usize,
    /// Longest wait for a token, if half of the route's target is not shorter.
    pub share_wait: Duration,
    /// Time for which an absent host's share is kept for it.
    pub absent_share_retention: Duration,
    /// Time that writes under way have to end when their primary is to be replaced.
    pub write_drain_timeout: Duration,
    /// Times that a statement which surely did not run is sent to an endpoint.
    pub attempts_max: u32,
    /// Span over which an account's operations are counted against its limit.
    pub quota_window: Duration,
    /// Part by which an account may exceed its limit over that span.
    pub quota_overshoot: f64,
    /// Operations by which it may exceed its limit besides.
    pub quota_slack: f64,
    /// Hosts up to which all are witnesses.
    pub witnesses_all: usize,
    /// Witnesses of a larger fleet: two of them may be lost, or a data centre of three.
    pub witnesses: usize,
}

impl Default for ProxyTuning {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(100),
            host_lease: Duration::from_millis(1_300),
            quorum_lease: Duration::from_millis(900),
            host_renewal: Duration::from_millis(350),
            coordinator_lease: Duration::from_millis(1_500),
            coordinator_renewal: Duration::from_millis(400),
            lease_margin: Duration::from_millis(150),
            watch_wait_short: Duration::from_millis(1_000),
            watch_wait_long: Duration::from_millis(20_000),
            watch_lag_limit: Duration::from_millis(150),
            store_pause: Duration::from_millis(100),
            heartbeat: Duration::from_millis(250),
            ping_after: Duration::from_millis(300),
            silent_after: Duration::from_millis(450),
            connect_timeout: Duration::from_millis(800),
            gone_grace: Duration::from_millis(2_500),
            drain_timeout: Duration::from_millis(5_500),
            evacuation_timeout: Duration::from_millis(3_500),
            shutdown_timeout: Duration::from_millis(5_500),
            queue_wait: Duration::from_millis(250),
            queue_limit: 64,
            share_wait: Duration::from_millis(120),
            absent_share_retention: Duration::from_millis(30_000),
            write_drain_timeout: Duration::from_millis(300),
            attempts_max: 4,
            quota_window: Duration::from_secs(5),
            quota_overshoot: 0.1,
            quota_slack: 20.0,
            witnesses_all: 9,
            witnesses: 5,
        }
    }
}
