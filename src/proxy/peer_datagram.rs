//! What hosts tell each other. Every datagram may be lost, late or repeated.

use serde::{Deserialize, Serialize};

/// One host's view of one group's primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimarySight {
    /// The group.
    pub group: String,
    /// The last epoch in which this host uses no primary any more.
    pub stopped_epoch: u64,
    /// Whether the primary in force does not answer this host.
    pub failing: bool,
}

/// One host's state, told to all its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostPulse {
    /// Host.
    pub host: String,
    /// Greater for each process that runs under this name.
    pub incarnation: u64,
    /// Identifies the hosts and the configuration that shares are dealt by.
    pub dealing: u64,
    /// Views of all groups.
    pub sights: Vec<PrimarySight>,
    /// Whether the sender wants an answer at once.
    pub hello: bool,
}

/// A datagram between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// State of the sender.
    Pulse(HostPulse),
    /// Asks the receiver to spend tokens of its share for requests that wait at the sender.
    TokenAsk {
        /// Who asks.
        host: String,
        /// Account.
        account: String,
        /// Identifies the dealing that the asking host goes by.
        dealing: u64,
        /// Tokens wanted.
        count: u32,
    },
    /// Answers the asking for tokens.
    TokenGiven {
        /// Account.
        account: String,
        /// Tokens spent for the receiver.
        count: u32,
    },
}
