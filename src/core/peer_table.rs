//! Reachability of peers and data centres, and confirmations of the configuration, as times on this
//! host's clock.

use std::collections::BTreeMap;

use crate::core::clock_time;
use crate::core::core_tuning;
use crate::core::peer_message;

/// State of one peer as known to this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerState {
    /// Network address.
    pub address: String,
    /// Data centre of the peer.
    pub data_centre: String,
    /// Greatest incarnation received from the peer.
    pub incarnation: u64,
    /// When the last call that the peer replied to was sent.
    pub last_reply_at: Option<clock_time::ClockTime>,
    /// When a call without a reply was last noticed; reset by a later reply.
    pub last_failure_at: Option<clock_time::ClockTime>,
    /// Whether the peer reported that it is leaving.
    pub leaving: bool,
}

/// Peers, and the confirmations received from them.
#[derive(Debug, Clone, Default)]
pub struct PeerTable {
    /// Peers by name, without this host.
    pub peers: BTreeMap<String, PeerState>,
    /// When each data centre last had a host with the same active configuration as this host.
    pub centres: BTreeMap<String, clock_time::ClockTime>,
    /// When the platform last confirmed the active configuration as current.
    pub platform_confirmed_at: Option<clock_time::ClockTime>,
}

impl PeerTable {
    /// Records that the peer replied to a call sent at `sent`.
    ///
    /// Returns false, without a change, if the peer's incarnation is lower than one received
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

    /// Records that the peer at `address` did not reply.
    pub fn record_failure(&mut self, address: &str, now: clock_time::ClockTime) {
        let found = self.peers.values_mut().find(|peer| peer.address == address);
        if let Some(peer) = found {
            peer.last_failure_at = Some(now);
        }
    }

    /// Records that a host in `centre` had this host's active configuration at `at`.
    pub fn record_centre_reachable(&mut self, centre: &str, at: clock_time::ClockTime) {
        let seen = self.centres.entry(centre.to_owned()).or_insert(at);
        *seen = at.max(*seen);
    }

    /// Records that the platform confirmed the active configuration as current at `at`.
    pub fn record_platform_confirmation(&mut self, at: clock_time::ClockTime) {
        self.platform_confirmed_at = self.platform_confirmed_at.max(Some(at));
    }

    /// Returns the ages of the named data centres in the format of heartbeats.
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

    /// Returns how many of the named data centres were reachable at `since` or later.
    pub fn centres_since<'a>(
        &self,
        since: clock_time::ClockTime,
        named: impl Iterator<Item = &'a String>,
    ) -> usize {
        named.filter(|centre| self.centres.get(*centre).is_some_and(|at| *at >= since)).count()
    }

    /// Returns whether the peer should be contacted: it is not leaving, and has not failed to reply
    /// within `FAILED_PEER_BACKOFF`.
    ///
    /// A host contacts few others at a time, so a peer without any reply yet is usable.
    pub fn usable(&self, host: &str, now: clock_time::ClockTime) -> bool {
        let failed_since = now.before(core_tuning::FAILED_PEER_BACKOFF);
        self.peers.get(host).is_some_and(|peer| {
            !peer.leaving
                && peer.last_failure_at.is_none_or(|last_failure_at| last_failure_at < failed_since)
        })
    }

    /// Clears all confirmations, which belong to the previous configuration.
    pub fn clear_confirmations(&mut self) {
        self.centres.clear();
        self.platform_confirmed_at = None;
    }
}
