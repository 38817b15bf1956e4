//! Bytes exchanged with the store and with peers, for the metrics page.

use std::collections::BTreeMap;

use crate::proxy::peer_datagram;
use crate::proxy::store_message;

/// Bytes exchanged since the process started.
#[derive(Debug, Clone, Default)]
pub struct TrafficCounts {
    /// Bytes of the bodies of requests to the store and of its responses, by purpose.
    pub store: BTreeMap<&'static str, u64>,
    /// Bytes of the datagrams sent, by kind.
    pub datagrams: BTreeMap<&'static str, u64>,
}

impl TrafficCounts {
    /// Counts a request to the store and the response to it, in bytes.
    pub fn add_store(&mut self, request: &store_message::StoreRequest, bytes: usize) {
        *self.store.entry(purpose(request)).or_default() += bytes as u64;
    }

    /// Counts a datagram of this many bytes.
    pub fn add_datagram(&mut self, message: &peer_datagram::PeerDatagram, bytes: usize) {
        *self.datagrams.entry(kind(message)).or_default() += bytes as u64;
    }
}

fn purpose(request: &store_message::StoreRequest) -> &'static str {
    match request {
        store_message::StoreRequest::List { scope, .. } => match scope {
            store_message::ListScope::All => "list",
            store_message::ListScope::WithoutConfig => "list_without_config",
            store_message::ListScope::ConfigOnly => "config_read",
        },
        store_message::StoreRequest::Watch { .. } => "watch",
        store_message::StoreRequest::GrantLease { .. } => "lease_grant",
        store_message::StoreRequest::RenewLease { .. } => "lease_renewal",
        store_message::StoreRequest::RevokeLease { .. } => "lease_end",
        store_message::StoreRequest::Write { .. } => "write",
        store_message::StoreRequest::Remove { .. } => "remove",
    }
}

fn kind(message: &peer_datagram::PeerDatagram) -> &'static str {
    match message {
        peer_datagram::PeerDatagram::Heartbeat(_) => "heartbeat",
        peer_datagram::PeerDatagram::TokenAsk { .. } => "token_request",
        peer_datagram::PeerDatagram::TokenGiven { .. } => "token_reply",
        peer_datagram::PeerDatagram::ChangesRequest(_) => "changes_request",
        peer_datagram::PeerDatagram::RelayedChanges(_) => "relayed_changes",
        peer_datagram::PeerDatagram::ConfigOffer(_) => "config_offer",
        peer_datagram::PeerDatagram::UsageTotals(_) => "usage_totals",
        peer_datagram::PeerDatagram::UsageReceipt(_) => "usage_receipt",
    }
}
