//! The difference between two versions of the configuration.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::proxy::proxy_config;

/// The difference between two versions of the configuration. Most versions change a few objects of
/// many, so a patch is much smaller than the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigPatch {
    /// Version that the patch applies to.
    pub base: u64,
    /// Version that results.
    pub version: u64,
    routes: Vec<proxy_config::RouteObject>,
    removed_routes: Vec<String>,
    groups: Vec<proxy_config::GroupObject>,
    removed_groups: Vec<String>,
    accounts: Vec<proxy_config::AccountObject>,
    removed_accounts: Vec<String>,
    keys: Vec<(proxy_config::KeyDigest, String)>,
    removed_keys: Vec<proxy_config::KeyDigest>,
    idle_transaction: Duration,
}

impl ConfigPatch {
    /// Returns the patch that turns `old` into `new`.
    pub fn between(old: &proxy_config::ProxyConfig, new: &proxy_config::ProxyConfig) -> Self {
        let added = new.keys.iter().filter(|(key, account)| old.keys.get(*key) != Some(*account));
        let mut keys: Vec<_> = added.map(|(key, account)| (*key, account.clone())).collect();
        keys.sort_unstable();
        let removed = old.keys.keys().filter(|key| !new.keys.contains_key(*key));
        let mut removed_keys: Vec<_> = removed.copied().collect();
        removed_keys.sort_unstable();
        Self {
            base: old.version,
            version: new.version,
            routes: changed(&old.routes, &new.routes),
            removed_routes: removed_names(&old.routes, &new.routes),
            groups: changed(&old.groups, &new.groups),
            removed_groups: removed_names(&old.groups, &new.groups),
            accounts: changed(&old.accounts, &new.accounts),
            removed_accounts: removed_names(&old.accounts, &new.accounts),
            keys,
            removed_keys,
            idle_transaction: new.idle_transaction,
        }
    }

    /// Returns the configuration that results from applying the patch to `old`; `None` if the patch
    /// applies to another version.
    pub fn apply(&self, old: &proxy_config::ProxyConfig) -> Option<proxy_config::ProxyConfig> {
        if old.version != self.base {
            return None;
        }
        let mut keys: HashMap<_, _> = old.keys.clone();
        keys.retain(|key, _| !self.removed_keys.contains(key));
        keys.extend(self.keys.iter().cloned());
        Some(proxy_config::ProxyConfig {
            version: self.version,
            routes: patched(&old.routes, &self.routes, &self.removed_routes, |route| {
                &route.database
            }),
            groups: patched(&old.groups, &self.groups, &self.removed_groups, |group| &group.name),
            accounts: patched(&old.accounts, &self.accounts, &self.removed_accounts, |account| {
                &account.name
            }),
            keys,
            idle_transaction: self.idle_transaction,
        })
    }
}

fn changed<T: Clone + PartialEq>(old: &BTreeMap<String, T>, new: &BTreeMap<String, T>) -> Vec<T> {
    let changed = new.iter().filter(|(name, object)| old.get(*name) != Some(*object));
    changed.map(|(_, object)| object.clone()).collect()
}

fn removed_names<T>(old: &BTreeMap<String, T>, new: &BTreeMap<String, T>) -> Vec<String> {
    old.keys().filter(|name| !new.contains_key(*name)).cloned().collect()
}

fn patched<T: Clone>(
    old: &BTreeMap<String, T>,
    changed: &[T],
    removed: &[String],
    name: impl Fn(&T) -> &String,
) -> BTreeMap<String, T> {
    let mut objects = old.clone();
    for name in removed {
        objects.remove(name);
    }
    objects.extend(changed.iter().map(|object| (name(object).clone(), object.clone())));
    objects
}
