//! Evidence of other hosts and data centres, kept as times on this host's clock.

use std::collections::BTreeMap;

use crate::core::clock_time;
use crate::core::core_tuning;
use crate::core::peer_message;

/// What this host knows of one peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerState {
    /// Address.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// The greatest incarnation heard.
    pub incarnation: u64,
    /// When a call that the peer answered was sent.
    pub last_reply_at: Option<clock_time::ClockTime>,
    /// When a call that it did not answer was noticed, unless it has answered since.
    pub last_failure_at: Option<clock_time::ClockTime>,
    /// Whether it said that it is leaving.
    pub leaving: bool,
}

/// Evidence of other hosts and data centres.
#[derive(Debug, Clone, Default)]
pub struct PeerTable {
    /// Peers by name, this host left out.
    pub peers: BTreeMap<String, PeerState>,
    /// When each data centre was last known to have a host with this host's configuration.
    pub centres: BTreeMap<String, clock_time::ClockTime>,
    /// When the platform last confirmed the configuration in force.
    pub platform: Option<clock_time::ClockTime>,
}

impl PeerTable {
    /// Notes that a call sent at `sent` was answered by the peer.
    ///
    /// Returns false, and notes nothing, when the peer is an earlier incarnation than one heard
    /// before.
    pub fn record_reply(
        &mut self,
        host: &str,
        incarnation: u64,
        sent: clock_time::ClockTime,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(host) else { return true };
        if incarnation < peer.incarnation {
            return false;
        }
        peer.incarnation = incarnation;
        peer.last_reply_at = peer.last_reply_at.max(Some(sent));
        peer.last_failure_at = None;
        true
    }

    /// Notes that the peer at an address did not answer.
    pub fn record_failure(&mut self, address: &str, now: clock_time::ClockTime) {
        let found = self.peers.values_mut().find(|peer| peer.address == address);
        if let Some(peer) = found {
            peer.last_failure_at = Some(now);
        }
    }

    /// Notes that a host in `centre` had this host's configuration at `at`.
    pub fn record_centre_heard(&mut self, centre: &str, at: clock_time::ClockTime) {
        let seen = self.centres.entry(centre.to_owned()).or_insert(at);
        *seen = at.max(*seen);
    }

    /// Notes that the platform confirmed the configuration in force at `at`.
    pub fn record_platform_confirmation(&mut self, at: clock_time::ClockTime) {
        self.platform = self.platform.max(Some(at));
    }

    /// Returns the ages of the data centres named, as they travel to peers.
    pub fn centre_ages<'a>(
        &self,
        now: clock_time::ClockTime,
        named: impl Iterator<Item = &'a String>,
    ) -> Vec<u16> {
        let age = |centre: &String| {
            let Some(at) = self.centres.get(centre) else { return peer_message::AGE_UNKNOWN };
            let units = now.since(*at).as_millis() as u64 / peer_message::AGE_UNIT_MS + 1;
            u16::try_from(units).unwrap_or(peer_message::AGE_UNKNOWN)
        };
        named.map(age).collect()
    }

    /// Counts the data centres, out of those named, heard at `since` or later.
    pub fn centres_since<'a>(
        &self,
        since: clock_time::ClockTime,
        named: impl Iterator<Item = &'a String>,
    ) -> usize {
        named.filter(|centre| self.centres.get(*centre).is_some_and(|at| *at >= since)).count()
    }

    /// Whether the peer is worth a call: it is not leaving, and has not failed to answer lately.
    ///
    /// A host talks to few others at a time, so not having heard of one says nothing.
    pub fn usable(&self, host: &str, now: clock_time::ClockTime) -> bool {
        let failed_since = now.before(core_tuning::FAILED_PEER_BACKOFF);
        self.peers.get(host).is_some_and(|peer| {
            !peer.leaving
                && peer.last_failure_at.is_none_or(|last_failure_at| last_failure_at < failed_since)
        })
    }

    /// Forgets the evidence that belongs to another configuration.
    pub fn clear_confirmations(&mut self) {
        self.centres.clear();
        self.platform = None;
    }
}
