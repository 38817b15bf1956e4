//! Conversion of the content of items between the form of the store and the form of datagrams.

use std::sync::Arc;

use crate::proxy::config_patch;
use crate::proxy::peer_datagram;
use crate::proxy::proxy_config;
use crate::proxy::store_message;

/// Returns the content in the form for datagrams. `patch` expresses a configuration as a difference
/// from the version that the receiver has; without one, the configuration is omitted.
pub fn encode(
    body: &store_message::ItemContent,
    patch: impl FnOnce(&proxy_config::ProxyConfig) -> Option<config_patch::ConfigPatch>,
) -> peer_datagram::RelayedContent {
    match body {
        store_message::ItemContent::Config(config) => match patch(config) {
            Some(patch) => peer_datagram::RelayedContent::Config(Box::new(patch)),
            None => peer_datagram::RelayedContent::ConfigOmitted,
        },
        store_message::ItemContent::ConfigOmitted => peer_datagram::RelayedContent::ConfigOmitted,
        store_message::ItemContent::Endpoint(entry) => {
            peer_datagram::RelayedContent::Endpoint(entry.clone())
        }
        store_message::ItemContent::Evacuation => peer_datagram::RelayedContent::Evacuation,
        store_message::ItemContent::Record(bytes) => {
            peer_datagram::RelayedContent::Record(bytes.clone())
        }
        store_message::ItemContent::Unusable { detail } => {
            peer_datagram::RelayedContent::Unusable(detail.clone())
        }
    }
}

/// Returns the content as the store would have sent it. `config` is the configuration that the
/// receiver has, and becomes the one that results; `None` if a patch does not apply to it.
pub fn decode(
    content: peer_datagram::RelayedContent,
    config: &mut Option<Arc<proxy_config::ProxyConfig>>,
) -> Option<store_message::ItemContent> {
    Some(match content {
        peer_datagram::RelayedContent::Config(patch) => {
            let current = config.as_ref()?;
            if current.version < patch.version {
                *config = Some(Arc::new(patch.apply(current)?));
            }
            store_message::ItemContent::Config(config.clone()?)
        }
        peer_datagram::RelayedContent::ConfigOmitted => store_message::ItemContent::ConfigOmitted,
        peer_datagram::RelayedContent::Endpoint(entry) => {
            store_message::ItemContent::Endpoint(entry)
        }
        peer_datagram::RelayedContent::Evacuation => store_message::ItemContent::Evacuation,
        peer_datagram::RelayedContent::Record(bytes) => store_message::ItemContent::Record(bytes),
        peer_datagram::RelayedContent::Unusable(detail) => {
            store_message::ItemContent::Unusable { detail }
        }
    })
}
