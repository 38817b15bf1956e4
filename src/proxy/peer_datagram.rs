//! What hosts tell each other. Every datagram may be lost, late or repeated.

use serde::{Deserialize, Serialize};

use crate::share_ledger;

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
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// State of the sender.
    Pulse(HostPulse),
    /// Asks for a loan out of the receiver's share.
    LoanAsk {
        /// Who asks.
        host: String,
        /// Account.
        account: String,
        /// Identifies the dealing that the asking host goes by.
        dealing: u64,
        /// Part wanted.
        want: share_ledger::ShareGrant,
        /// The asking host's clock in microseconds, returned as it is.
        asked: u64,
    },
    /// Answers the asking for a loan.
    LoanGiven {
        /// Account.
        account: String,
        /// The loan; `None` when there is nothing to lend.
        grant: Option<share_ledger::ShareGrant>,
        /// The asking host's clock in microseconds.
        asked: u64,
    },
}
