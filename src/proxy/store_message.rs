//! Requests to the store of durable state, and its replies.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::proxy::proxy_config;
use crate::proxy::store_revision;

/// What an item in the store describes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemSubject {
    /// The operators' configuration.
    Config,
    /// The registration of the endpoint with this id.
    Endpoint(String),
    /// The evacuation of the data centre with this name.
    Evacuation(String),
    /// A record of the proxy, by its key without the proxy's prefix.
    Record(String),
    /// An item that the proxy does not use, by its key.
    Other(String),
}

impl ItemSubject {
    /// Returns the label of the kind of item on the metrics page.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Endpoint(_) => "endpoint",
            Self::Evacuation(_) => "evacuation",
            Self::Record(_) => "record",
            Self::Other(_) => "other",
        }
    }
}

/// Registration of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRegistration {
    /// Id of the endpoint.
    pub id: String,
    /// Group that the endpoint belongs to.
    pub group: String,
    /// IP address and port.
    pub address: String,
    /// Data centre of the endpoint.
    pub data_centre: String,
    /// Number of statements that the endpoint runs at once.
    pub slots: u32,
    /// Whether the endpoint is draining.
    pub draining: bool,
    /// Whether the endpoint reports that it is the group's primary.
    pub primary: bool,
    /// Start of the endpoint's process in Unix milliseconds; 0 when not reported.
    pub born: u64,
}

/// Content of an item.
#[derive(Debug, Clone)]
pub enum ItemContent {
    /// A configuration.
    Config(Arc<proxy_config::ProxyConfig>),
    /// A configuration that was not delivered with the change.
    ConfigOmitted,
    /// The registration of an endpoint.
    Endpoint(EndpointRegistration),
    /// The data centre is under evacuation.
    Evacuation,
    /// An encoded record of the proxy.
    Record(Vec<u8>),
    /// Content that could not be decoded.
    Unusable {
        /// Why it could not be decoded.
        detail: String,
    },
}

/// One item in the store, or its removal.
#[derive(Debug, Clone)]
pub struct StoreItem {
    /// What the item describes.
    pub subject: ItemSubject,
    /// Revision of the last change to the item.
    pub revision: store_revision::StoreRevision,
    /// Content of the item; `None` when it was removed.
    pub body: Option<ItemContent>,
}

/// Which items a read returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListScope {
    /// All items.
    All,
    /// All items but the configuration.
    WithoutConfig,
    /// The configuration.
    ConfigOnly,
}

/// A request to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreRequest {
    /// Reads one page of items.
    List {
        /// Which items the read returns.
        scope: ListScope,
        /// Key after which the page begins; `None` for the first page.
        after: Option<String>,
        /// Longest time to wait for the page.
        limit: Duration,
    },
    /// Waits for changes.
    Watch {
        /// Revision after which changes are requested.
        after: store_revision::StoreRevision,
        /// Longest time that the store waits for a change.
        wait: Duration,
        /// Longest time to wait for the reply.
        limit: Duration,
    },
    /// Obtains a lease.
    GrantLease {
        /// Duration of the lease.
        ttl: Duration,
    },
    /// Renews a lease.
    RenewLease {
        /// Id of the lease.
        lease: u64,
    },
    /// Ends a lease and removes the records bound to it.
    RevokeLease {
        /// Id of the lease.
        lease: u64,
    },
    /// Writes one record of the proxy, optionally on condition of its revision.
    Write {
        /// Key without the proxy's prefix.
        key: String,
        /// Content of the record.
        value: Vec<u8>,
        /// Lease that the record is bound to; 0 for none.
        lease: u64,
        /// Revision that the record must have; `ABSENT` if it must not exist, `None` to write
        /// unconditionally.
        expect: Option<store_revision::StoreRevision>,
    },
    /// Removes one record of the proxy.
    Remove {
        /// Key without the proxy's prefix.
        key: String,
        /// Revision that the record must have.
        expect: store_revision::StoreRevision,
    },
}

/// The reply to a request.
#[derive(Debug, Clone)]
pub enum StoreReply {
    /// A page of items.
    Listed {
        /// Items on the page.
        items: Vec<StoreItem>,
        /// Key after which the next page begins; `None` after the last page.
        next: Option<String>,
        /// Revision of the store when the page was read.
        revision: store_revision::StoreRevision,
    },
    /// Changes in the order of their revisions.
    Changed {
        /// Items that were changed or removed.
        items: Vec<StoreItem>,
        /// Revision after which the next watch continues.
        revision: store_revision::StoreRevision,
    },
    /// The requested changes are no longer in the store's history.
    HistoryCompacted,
    /// A lease was obtained or renewed.
    LeaseGranted {
        /// Id of the lease.
        lease: u64,
        /// Remaining duration, counted from the arrival of the request.
        ttl: Duration,
    },
    /// The lease does not exist any more.
    LeaseExpired,
    /// The record was written.
    Written {
        /// Its new revision.
        revision: store_revision::StoreRevision,
    },
    /// The condition did not hold; nothing was written.
    Conflict,
    /// The store refused the request; nothing was changed.
    Refused,
    /// No reply arrived. The request may have been carried out, or may be later.
    NoReply,
}

/// A reply with the era of the store that sent it.
#[derive(Debug, Clone)]
pub struct StampedReply {
    /// Number of times that the store was restored from a copy; `None` where it states none.
    pub era: Option<u64>,
    /// The reply.
    pub reply: StoreReply,
}

impl StampedReply {
    /// Creates a reply that states no era.
    pub fn unstamped(reply: StoreReply) -> Self {
        Self { era: None, reply }
    }
}
