//! Link from this host to a serving host.

use crate::core::clock_time;

/// Link from this host to a serving host.
#[derive(Debug)]
pub struct ServingLink {
    /// Name of the serving host.
    pub host: String,
    /// IP address and port in the host's member record.
    pub member_address: String,
    /// IP address and port of the link.
    pub address: String,
    /// Leases on the link, those that are asked for included.
    pub leases: usize,
    /// Whether a request was sent since the last reply, which a ping may have to settle even when
    /// the request was withdrawn.
    pub unheard: bool,
    /// When a reply last arrived, or the first request was sent after a time without leases.
    pub heard_at: clock_time::ClockTime,
    /// When a ping was sent that no reply followed, and the periodic checks since.
    pub pinged: Option<(clock_time::ClockTime, u32)>,
}
