//! Datagrams between hosts. Any of them may be lost, delayed or duplicated.

use serde::{Deserialize, Serialize};

use crate::core::endpoint_message;
use crate::proxy::config_patch;
use crate::proxy::store_message;
use crate::proxy::store_record;
use crate::proxy::store_revision;
use crate::proxy::usage_message;

/// One host's observation of one group's primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryObservation {
    /// Name of the group.
    pub group: String,
    /// The newest epoch that the sender knows of.
    pub known_epoch: u64,
    /// Revision of the group record that the sender holds.
    pub revision: store_revision::StoreRevision,
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
    pub store_revision: store_revision::StoreRevision,
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

/// Content of an item in the store, passed on to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RelayedContent {
    /// A configuration, as the difference from the version that the receiver has.
    Config(Box<config_patch::ConfigPatch>),
    /// A configuration that the sender cannot express as a difference from the version that the
    /// receiver has, or only as one too large for a datagram.
    ConfigOmitted,
    /// The registration of an endpoint.
    Endpoint(store_message::EndpointRegistration),
    /// The data centre is under evacuation.
    Evacuation,
    /// An encoded record of the proxy.
    Record(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Content that the sender could not decode, and why.
    Unusable(String),
}

/// A changed item in the store, passed on to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedItem {
    /// What the item describes.
    pub subject: store_message::ItemSubject,
    /// Revision of the change.
    pub revision: store_revision::StoreRevision,
    /// Content of the item; `None` when it was removed.
    pub content: Option<RelayedContent>,
}

/// Asks a peer for the changes of the store that the sender lacks, and for later ones as they come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// Name of the sender.
    pub host: String,
    /// Identifies the sender's process; later processes have higher numbers.
    pub incarnation: u64,
    /// Store revision up to which the sender knows all changes.
    pub revision: store_revision::StoreRevision,
    /// Version of the sender's configuration; 0 for none.
    pub config_version: u64,
    /// Sending time in microseconds on the sender's clock.
    pub sent_at_us: u64,
}

/// Changes of the store, from a peer that knows them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedChanges {
    /// Name of the sender.
    pub host: String,
    /// Revision after which the changes apply.
    pub after: store_revision::StoreRevision,
    /// Revision up to which the receiver knows all changes once it has applied them.
    pub revision: store_revision::StoreRevision,
    /// The changes; `None` if the sender cannot deliver them.
    pub items: Option<Vec<RelayedItem>>,
    /// Whether these changes are all that the sender knows. Only then do the times below hold.
    pub complete: bool,
    /// Age of the sender's knowledge of the store in microseconds.
    pub age_us: u64,
    /// Sending time of the request that this answers, on the receiver's clock.
    pub echoed_us: u64,
    /// Incarnation of the receiver's process that sent the request.
    pub echo_incarnation: u64,
}

/// The whole configuration, for a host that has none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigOffer {
    /// Name of the sender.
    pub host: String,
    /// Revision of the configuration.
    pub revision: store_revision::StoreRevision,
    /// Revision up to which the sender knows that this is the configuration in force.
    pub current_at: store_revision::StoreRevision,
    /// The configuration, as the difference from an empty one.
    pub config: config_patch::ConfigPatch,
    /// Incarnation of the receiver's process that asked for it; 0 from a host of an earlier build.
    #[serde(default)]
    pub echo_incarnation: u64,
}

/// Identifies one request for tokens among those of all processes of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TokenAskId {
    /// Identifies the asking process; later processes have higher numbers.
    pub incarnation: u64,
    /// Number of the request in that process.
    pub number: u64,
}

/// A datagram between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
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
        /// Identifies the request; `None` from a host of an earlier build.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        id: Option<TokenAskId>,
    },
    /// Reply to `TokenAsk`.
    TokenGiven {
        /// Name of the sender.
        host: String,
        /// Name of the account.
        account: String,
        /// Number of tokens spent on the receiver's requests.
        count: u32,
        /// Identifies the request that this answers, as it stated it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        id: Option<TokenAskId>,
    },
    /// Asks for changes of the store.
    ChangesRequest(ChangesRequest),
    /// Changes of the store.
    RelayedChanges(RelayedChanges),
    /// The whole configuration.
    ConfigOffer(Box<ConfigOffer>),
    /// Counted requests, for the coordinator.
    UsageTotals(usage_message::UsageTotals),
    /// The coordinator's answer to counted requests.
    UsageReceipt(usage_message::UsageReceipt),
}
