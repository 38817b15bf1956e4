//! Timeouts and limits of the proxy core.

use std::time::Duration;

/// Timeouts and limits of the proxy core.
#[derive(Debug, Clone, PartialEq)]
pub struct ProxyTuning {
    /// Interval of the periodic work.
    pub tick: Duration,
    /// Duration of the membership lease. After it expires, a host without a quorum lease uses no
    /// primary.
    pub host_lease: Duration,
    /// How long acknowledgements of witnesses allow a host to use a primary, counted from when it
    /// sent the heartbeat that they acknowledge.
    pub quorum_word: Duration,
    /// Interval between renewals of the membership lease.
    pub host_renewal: Duration,
    /// Duration of the coordinator lease.
    pub duty_lease: Duration,
    /// Interval between renewals of the coordinator lease.
    pub duty_renewal: Duration,
    /// Subtracted from every lease to cover the time between a check of the lease and the use that
    /// it allows.
    pub lease_margin: Duration,
    /// Longest wait of a store watch on the few hosts that keep short watches. A watch that the
    /// store has lost is noticed after this time.
    pub watch_wait: Duration,
    /// Longest wait of a store watch on all other hosts; long, because each watch costs a request.
    pub watch_rest: Duration,
    /// How long this host may lag behind a peer's store revision before it reopens its watch.
    pub watch_lag: Duration,
    /// Pause before a failed store request is repeated; doubled with each failure, up to four times
    /// the pause, plus jitter.
    pub store_pause: Duration,
    /// Interval between heartbeats.
    pub pulse: Duration,
    /// Time without a response after which a primary is probed.
    pub ping_after: Duration,
    /// Time without a response to a pending command after which an endpoint counts as unresponsive.
    pub silent_after: Duration,
    /// Timeout for opening a connection.
    pub open_limit: Duration,
    /// How long an endpoint may be deregistered before it counts as leaving.
    pub gone_grace: Duration,
    /// Time after which an endpoint that drains or was deregistered gets no more requests.
    pub leave_limit: Duration,
    /// Time after which an endpoint in an evacuated data centre gets no more requests.
    pub evacuation_limit: Duration,
    /// Longest time between a shutdown request and the end of the process.
    pub stop_limit: Duration,
    /// Longest time that a statement waits for a connection.
    pub queue_wait: Duration,
    /// Most statements that wait for one endpoint.
    pub queue_limit: usize,
    /// Longest time that a request waits for a token; half of the route's target latency if that is
    /// less.
    pub share_wait: Duration,
    /// How long an absent host stays on the roster and keeps its shares.
    pub share_kept: Duration,
    /// How long pending writes may take to finish before a failover ends them.
    pub stop_writes: Duration,
    /// How often a statement that is known not to have run is sent.
    pub attempts_max: u32,
    /// Window over which an account's operations are counted against its quota.
    pub limit_window: Duration,
    /// Fraction of its quota by which an account may exceed it within the window.
    pub limit_over: f64,
    /// Operations by which an account may exceed its quota in addition.
    pub limit_slack: f64,
    /// Fleet size up to which every host is a witness.
    pub witnesses_all: usize,
    /// Number of witnesses in a larger fleet. With five, two may be lost, or one data centre of
    /// three.
    pub witnesses: usize,
}

impl Default for ProxyTuning {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(100),
            host_lease: Duration::from_millis(1_300),
            quorum_word: Duration::from_millis(900),
            host_renewal: Duration::from_millis(350),
            duty_lease: Duration::from_millis(1_500),
            duty_renewal: Duration::from_millis(400),
            lease_margin: Duration::from_millis(150),
            watch_wait: Duration::from_millis(1_000),
            watch_rest: Duration::from_millis(20_000),
            watch_lag: Duration::from_millis(150),
            store_pause: Duration::from_millis(100),
            pulse: Duration::from_millis(250),
            ping_after: Duration::from_millis(300),
            silent_after: Duration::from_millis(450),
            open_limit: Duration::from_millis(800),
            gone_grace: Duration::from_millis(2_500),
            leave_limit: Duration::from_millis(5_500),
            evacuation_limit: Duration::from_millis(3_500),
            stop_limit: Duration::from_millis(5_500),
            queue_wait: Duration::from_millis(250),
            queue_limit: 64,
            share_wait: Duration::from_millis(120),
            share_kept: Duration::from_millis(30_000),
            stop_writes: Duration::from_millis(300),
            attempts_max: 4,
            limit_window: Duration::from_secs(5),
            limit_over: 0.1,
            limit_slack: 20.0,
            witnesses_all: 9,
            witnesses: 5,
        }
    }
}
