//! Timeouts and limits of the proxy core.

use std::time::Duration;

use crate::proxy::usage_tuning;

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
    pub quorum_lease: Duration,
    /// How long after the end of its member record a host may use a primary on the acknowledgements of
    /// most witnesses; later it needs those of all.
    pub isolation_limit: Duration,
    /// Interval between renewals of the membership lease.
    pub host_renewal: Duration,
    /// The same in a fleet with more hosts than witnesses, where renewals are most of the requests
    /// to the store.
    pub host_renewal_large: Duration,
    /// Duration of the coordinator lease.
    pub coordinator_lease: Duration,
    /// Interval between renewals of the coordinator lease.
    pub coordinator_renewal: Duration,
    /// Subtracted from every lease to cover the time between a check of the lease and the use that
    /// it allows.
    pub lease_margin: Duration,
    /// Longest wait of a store watch on the few hosts that keep short watches. A watch that the
    /// store has lost is noticed after this time.
    pub watch_wait_short: Duration,
    /// Longest wait of a store watch on all other hosts; long, because each watch costs a request.
    pub watch_wait_long: Duration,
    /// How long this host may lag behind a peer's store revision before it reopens its watch.
    pub watch_lag_limit: Duration,
    /// Pause before a failed store request is repeated; doubled with each failure, up to four times
    /// the pause, plus jitter.
    pub store_pause: Duration,
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Time without a response after which a primary is probed.
    pub probe_after: Duration,
    /// Time without a response to a pending command after which an endpoint counts as unresponsive.
    pub unresponsive_after: Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// How long an endpoint may be deregistered before it counts as leaving.
    pub deregistration_grace: Duration,
    /// Time after which an endpoint that drains or was deregistered gets no more requests.
    pub drain_timeout: Duration,
    /// Time after which an endpoint in an evacuated data centre gets no more requests.
    pub evacuation_timeout: Duration,
    /// Longest time between a shutdown request and the end of the process.
    pub shutdown_timeout: Duration,
    /// Longest time that a statement waits for a connection.
    pub queue_wait: Duration,
    /// Most statements that wait for one endpoint.
    pub queue_limit: usize,
    /// Longest time that a request waits for a token; half of the route's target latency if that is
    /// less.
    pub token_wait: Duration,
    /// How long an absent host stays on the roster and keeps its shares.
    pub absent_share_retention: Duration,
    /// The same for a host whose process has ended as planned.
    pub departed_share_retention: Duration,
    /// How long pending writes may take to finish before a failover ends them.
    pub write_drain_timeout: Duration,
    /// How often a statement that is known not to have run is sent.
    pub attempts_max: u32,
    /// Window over which an account's operations are counted against its quota.
    pub quota_window: Duration,
    /// Fraction of its quota by which an account may exceed it within the window.
    pub quota_overshoot: f64,
    /// Operations by which an account may exceed its quota in addition.
    pub quota_slack: f64,
    /// Fleet size up to which every host is a witness.
    pub witnesses_all: usize,
    /// Number of witnesses in a larger fleet. With five, two may be lost, or one data centre of
    /// three.
    pub witnesses: usize,
    /// Number of connections to an endpoint for each host below which serving hosts hold the
    /// endpoint's connections; 0 for never.
    pub serving_below: f64,
    /// Time within which two holders of a duty may not take turns at it.
    pub duty_turn: Duration,
    /// Time after which a log whose endpoint has not been registered is assumed to be lost for good;
    /// longer than any expected partition.
    pub lost_log_retention: Duration,
    /// Settings of the usage reports; `None` if the host does not have this duty.
    pub usage: Option<usage_tuning::UsageTuning>,
}

impl Default for ProxyTuning {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(100),
            host_lease: Duration::from_millis(1_300),
            quorum_lease: Duration::from_millis(900),
            isolation_limit: Duration::from_millis(8_000),
            host_renewal: Duration::from_millis(350),
            host_renewal_large: Duration::from_millis(550),
            coordinator_lease: Duration::from_millis(1_500),
            coordinator_renewal: Duration::from_millis(400),
            lease_margin: Duration::from_millis(150),
            watch_wait_short: Duration::from_millis(1_000),
            watch_wait_long: Duration::from_millis(20_000),
            watch_lag_limit: Duration::from_millis(150),
            store_pause: Duration::from_millis(100),
            heartbeat: Duration::from_millis(250),
            probe_after: Duration::from_millis(300),
            unresponsive_after: Duration::from_millis(450),
            connect_timeout: Duration::from_millis(800),
            deregistration_grace: Duration::from_millis(2_500),
            drain_timeout: Duration::from_millis(5_500),
            evacuation_timeout: Duration::from_millis(3_500),
            shutdown_timeout: Duration::from_millis(5_500),
            queue_wait: Duration::from_millis(250),
            queue_limit: 64,
            token_wait: Duration::from_millis(120),
            absent_share_retention: Duration::from_millis(30_000),
            departed_share_retention: Duration::from_millis(6_000),
            write_drain_timeout: Duration::from_millis(300),
            attempts_max: 4,
            quota_window: Duration::from_secs(5),
            quota_overshoot: 0.1,
            quota_slack: 20.0,
            witnesses_all: 9,
            witnesses: 5,
            serving_below: 0.0,
            duty_turn: Duration::from_millis(3_000),
            lost_log_retention: Duration::from_secs(2 * 3_600),
            usage: None,
        }
    }
}
