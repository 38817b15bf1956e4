//! Datagrams between hosts. Any of them may be lost, delayed or duplicated.

use serde::{Deserialize, Serialize};

use crate::core::endpoint_message;
use crate::proxy::store_record;

/// One host's observation of one group's primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryObservation {
    /// Name of the group.
    pub group: String,
    /// The newest epoch that the sender knows of.
    pub known_epoch: u64,
    /// Revision of the group record that the sender holds.
    pub revision: u64,
    /// The group record, if the receiver holds an older one.
    pub record: Option<store_record::GroupRecord>,
    /// The last epoch for which the sender has released the old primary.
    pub released_epoch: u64,
    /// Whether the primary does not respond to the sender.
    pub unresponsive: bool,
    /// The latest sampled log position of the primary, and how long before this datagram the sender
    /// requested it, in microseconds.
    pub sample: Option<(endpoint_message::LogPoint, u64)>,
}

/// Periodic message with the state of the sending host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostHeartbeat {
    /// Name of the sender.
    pub host: String,
    /// Identifies the sender's process; later processes have higher numbers.
    pub incarnation: u64,
    /// Hash of the witness set that the sender uses.
    pub witnesses: u64,
    /// Store revision up to which the sender knows all changes.
    pub store_revision: u64,
    /// Hash of the roster and the configuration version from which the sender's shares were
    /// allocated.
    pub allocation: u64,
    /// Whether the sender knows that all hosts use that allocation.
    pub allocation_confirmed: bool,
    /// The sender's observations of primaries.
    pub observations: Vec<PrimaryObservation>,
    /// Witnesses, and hosts whose member record was removed, from which the sender has received no
    /// heartbeat for the duration of a quorum lease.
    pub unreachable: Vec<String>,
    /// Sending time in microseconds on the sender's clock.
    pub sent_at_us: u64,
    /// Sending time of the last heartbeat that the sender has received from the receiver; 0 for
    /// none.
    pub echoed_us: u64,
    /// Incarnation of the receiver's process that sent that heartbeat; a new process may restart
    /// the clock.
    pub echo_incarnation: u64,
    /// Whether the sender asks for a heartbeat in return at once.
    pub reply_requested: bool,
}

/// A datagram between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// The state of the sender.
    #[serde(rename = "Pulse")]
    Heartbeat(HostHeartbeat),
    /// Asks the receiver to spend tokens of its share on requests that wait at the sender.
    TokenAsk {
        /// Name of the sender.
        host: String,
        /// Name of the account.
        account: String,
        /// Hash of the account's allocation that the sender uses.
        allocation: u64,
        /// Number of tokens requested.
        count: u32,
    },
    /// Reply to `TokenAsk`.
    TokenGiven {
        /// Name of the sender.
        host: String,
        /// Name of the account.
        account: String,
        /// Number of tokens spent on the receiver's requests.
        count: u32,
    },
}
