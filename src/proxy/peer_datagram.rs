//! What hosts tell each other. Every datagram may be lost, late or repeated.

use serde::{Deserialize, Serialize};

use crate::core::endpoint_message;
use crate::proxy::store_record;

/// One host's view of one group's primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryObservation {
    /// The group.
    pub group: String,
    /// The newest epoch that this host knows of.
    pub known_epoch: u64,
    /// Revision of the group's record that this host holds.
    pub revision: u64,
    /// The record, for a receiver that holds an older one.
    pub record: Option<store_record::GroupRecord>,
    /// The last epoch in which this host uses no primary any more.
    pub stopped_epoch: u64,
    /// Whether the primary in force does not answer this host.
    pub failing: bool,
    /// How far the log had grown, and how long before this datagram the primary was asked, in
    /// microseconds.
    pub sample: Option<(endpoint_message::LogPoint, u64)>,
}

/// One host's state, told to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostHeartbeat {
    /// Host.
    pub host: String,
    /// Greater for each process that runs under this name.
    pub incarnation: u64,
    /// Identifies the witnesses that the sender goes by.
    pub witnesses: u64,
    /// Revision of the store up to which the sender knows it.
    pub store_revision: u64,
    /// Identifies the hosts and the configuration that shares are dealt by.
    pub allocation: u64,
    /// Whether the sender knows that all hosts go by that dealing.
    pub allocation_confirmed: bool,
    /// Views of all groups.
    pub observations: Vec<PrimaryObservation>,
    /// Hosts whose word the sender has not heard for as long as such words last: witnesses, and
    /// hosts whose member record has vanished.
    pub silent: Vec<String>,
    /// The sender's clock in microseconds.
    pub sent_at_us: u64,
    /// The last stamp that the sender has from the receiver, 0 for none.
    pub echoed_us: u64,
    /// The receiver's incarnation that the stamp came from; clocks start anew with some.
    pub echo_incarnation: u64,
    /// Whether the sender wants an answer at once.
    pub reply_requested: bool,
}

/// A datagram between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// State of the sender.
    #[serde(rename = "Pulse")]
    Heartbeat(HostHeartbeat),
    /// Asks the receiver to spend tokens of its share for requests that wait at the sender.
    TokenAsk {
        /// Who asks.
        host: String,
        /// Account.
        account: String,
        /// Identifies the shares of the account that the asking host goes by.
        allocation: u64,
        /// Tokens wanted.
        count: u32,
    },
    /// Answers the asking for tokens.
    TokenGiven {
        /// Who answers.
        host: String,
        /// Account.
        account: String,
        /// Tokens spent for the receiver.
        count: u32,
    },
}
