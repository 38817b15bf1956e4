//! Calls to the store that holds what must last, and its answers.

use std::sync::Arc;
use std::time::Duration;

use crate::proxy::proxy_config;

/// What an item of the store is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ItemSubject {
    /// The operators' configuration.
    Config,
    /// The registration of an endpoint, by its id.
    Endpoint(String),
    /// The evacuation of a data centre.
    Evacuation(String),
    /// A record of this product, by its key below the product's prefix.
    Record(String),
    /// Anything else.
    Other(String),
}

/// An endpoint's registration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRegistration {
    /// Id.
    pub id: String,
    /// Group that it belongs to.
    pub group: String,
    /// IP and port.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// Statements that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Whether it sees itself as the group's primary.
    pub primary: bool,
    /// Start of its process, Unix milliseconds; 0 when not told.
    pub born: u64,
}

/// The content of an item.
#[derive(Debug, Clone)]
pub enum ItemContent {
    /// A configuration.
    Config(Arc<proxy_config::ProxyConfig>),
    /// A registration.
    Endpoint(EndpointRegistration),
    /// A data centre is being evacuated.
    Evacuation,
    /// Bytes of one of this product's records.
    Record(Vec<u8>),
    /// Content that cannot be used.
    Unusable {
        /// Why.
        detail: String,
    },
}

/// One item of the store, or the end of one.
#[derive(Debug, Clone)]
pub struct StoreItem {
    /// What it is about.
    pub subject: ItemSubject,
    /// Revision of the last change.
    pub revision: u64,
    /// Content; `None` when it was removed.
    pub body: Option<ItemContent>,
}

/// One call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreRequest {
    /// Reads a page of all items.
    List {
        /// Key after which the page begins.
        after: Option<String>,
    },
    /// Waits for changes.
    Watch {
        /// Revision after which changes are wanted.
        after: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Takes a lease.
    GrantLease {
        /// How long it runs.
        ttl: Duration,
    },
    /// Renews a lease.
    RenewLease {
        /// The lease.
        lease: u64,
    },
    /// Ends a lease and removes its records.
    RevokeLease {
        /// The lease.
        lease: u64,
    },
    /// Writes one record of this product under a condition.
    Write {
        /// Key below the product's prefix.
        key: String,
        /// Content.
        value: Vec<u8>,
        /// Lease that the record lives under, 0 for none.
        lease: u64,
        /// Revision that the record must have, 0 for absent; `None` for no condition.
        expect: Option<u64>,
    },
    /// Removes one record of this product.
    Remove {
        /// Key below the product's prefix.
        key: String,
        /// Revision that the record must have.
        expect: u64,
    },
}

/// The answer to a call.
#[derive(Debug, Clone)]
pub enum StoreReply {
    /// A page of items.
    Listed {
        /// The items.
        items: Vec<StoreItem>,
        /// Key after which the next page begins, if there is one.
        next: Option<String>,
        /// The store's revision.
        revision: u64,
    },
    /// Changes in the order of their revisions.
    Changed {
        /// The changes.
        items: Vec<StoreItem>,
        /// Revision to go on from.
        revision: u64,
    },
    /// The changes asked for are no longer known.
    HistoryCompacted,
    /// A lease was taken or renewed.
    LeaseGranted {
        /// The lease.
        lease: u64,
        /// How long it runs from the arrival of the call.
        ttl: Duration,
    },
    /// The lease has ended.
    LeaseExpired,
    /// The record was written.
    Written {
        /// Its revision.
        revision: u64,
    },
    /// The condition does not hold; nothing was written.
    Conflict,
    /// The store did nothing.
    Refused,
    /// There was no answer; the call may have been or may still be carried out.
    NoReply,
}
