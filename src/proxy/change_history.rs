//! The latest changes of the store that this host knows, kept for hosts that do not watch it.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::proxy::config_patch;
use crate::proxy::peer_datagram;
use crate::proxy::proxy_config;
use crate::proxy::relayed_content;
use crate::proxy::store_message;
use crate::proxy::store_revision;

/// Most items that are kept; older ones are dropped.
const ITEMS_MAX: usize = 2_048;
/// Most items in one datagram.
const DATAGRAM_ITEMS_MAX: usize = 200;
/// Largest configuration patch that is sent to peers, in encoded bytes. A receiver that needs a
/// larger one reads the configuration from the store.
const PATCH_BYTES_MAX: usize = 30_000;
/// Most versions of the configuration that are kept to compute patches from.
const CONFIGS_MAX: usize = 6;

/// The changes of one reply of the store. They are delivered together, because the store may leave
/// out a change that a later one in the same reply replaces.
#[derive(Debug)]
struct ChangeBlock {
    after: store_revision::StoreRevision,
    revision: store_revision::StoreRevision,
    items: Vec<store_message::StoreItem>,
}

/// Changes that fit into one datagram.
#[derive(Debug)]
pub struct HistoryPart {
    /// Revision after which they apply.
    pub after: store_revision::StoreRevision,
    /// Revision that they lead to.
    pub revision: store_revision::StoreRevision,
    /// The changes.
    pub items: Vec<peer_datagram::RelayedItem>,
}

impl HistoryPart {
    /// Returns whether a configuration is among the changes without its content.
    pub fn omits_config(&self) -> bool {
        let omitted = Some(&peer_datagram::RelayedContent::ConfigOmitted);
        self.items.iter().any(|item| item.content.as_ref() == omitted)
    }
}

/// The latest changes of the store that this host knows.
#[derive(Debug, Default)]
pub struct ChangeHistory {
    blocks: VecDeque<ChangeBlock>,
    items: usize,
    configs: VecDeque<Arc<proxy_config::ProxyConfig>>,
}

impl ChangeHistory {
    /// Adds the changes after one revision up to another.
    pub fn add(
        &mut self,
        after: store_revision::StoreRevision,
        revision: store_revision::StoreRevision,
        items: &[store_message::StoreItem],
    ) {
        if revision <= after {
            return;
        }
        let contiguous = self.blocks.back().is_none_or(|last| last.revision >= after);
        if !contiguous || items.len() > DATAGRAM_ITEMS_MAX {
            self.clear();
        }
        if items.len() > DATAGRAM_ITEMS_MAX {
            return;
        }
        self.items += items.len();
        self.blocks.push_back(ChangeBlock { after, revision, items: items.to_vec() });
        while self.items > ITEMS_MAX || self.blocks.len() > ITEMS_MAX {
            let Some(oldest) = self.blocks.pop_front() else { break };
            self.items -= oldest.items.len();
        }
    }

    /// Forgets all changes, because later ones may be missing.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.items = 0;
    }

    /// Keeps a version of the configuration to compute patches from.
    pub fn add_config(&mut self, config: Arc<proxy_config::ProxyConfig>) {
        self.configs.push_back(config);
        if self.configs.len() > CONFIGS_MAX {
            self.configs.pop_front();
        }
    }

    /// Returns the changes after `revision` in parts that fit into datagrams, oldest first, for a
    /// host with version `config` of the configuration.
    ///
    /// Returns `None` if this history does not reach back to `revision`.
    pub fn parts_after(
        &self,
        revision: store_revision::StoreRevision,
        config: u64,
    ) -> Option<Vec<HistoryPart>> {
        let mut parts: Vec<HistoryPart> = Vec::new();
        let mut known = revision;
        let mut config_known = config;
        for block in self.blocks.iter().filter(|block| block.revision > revision) {
            if block.after > known {
                return None;
            }
            let mut items = Vec::with_capacity(block.items.len());
            for item in block.items.iter().filter(|item| item.revision > revision) {
                items.push(self.relayed(item, &mut config_known));
            }
            match parts.last_mut() {
                Some(part) if part.items.len() + items.len() <= DATAGRAM_ITEMS_MAX => {
                    part.revision = block.revision;
                    part.items.extend(items);
                }
                _ => parts.push(HistoryPart { after: known, revision: block.revision, items }),
            }
            known = block.revision;
        }
        Some(parts)
    }

    /// Returns an item in the form for datagrams. A configuration becomes a patch of the version
    /// `config_known`, which is then advanced, or is omitted.
    fn relayed(
        &self,
        item: &store_message::StoreItem,
        config_known: &mut u64,
    ) -> peer_datagram::RelayedItem {
        let content = item.body.as_ref().map(|body| {
            relayed_content::encode(body, |config| {
                let old = self.configs.iter().find(|old| old.version == *config_known)?;
                let patch = config_patch::ConfigPatch::between(old, config);
                let bytes = rmp_serde::to_vec(&patch).map_or(usize::MAX, |bytes| bytes.len());
                if bytes > PATCH_BYTES_MAX {
                    return None;
                }
                *config_known = config.version;
                Some(patch)
            })
        });
        peer_datagram::RelayedItem {
            subject: item.subject.clone(),
            revision: item.revision,
            content,
        }
    }
}
