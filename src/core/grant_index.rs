//! What the rules let each account do, indexed for the way of a statement.

use std::collections::HashMap;

use crate::world::world_config;
use crate::world::world_object;

/// What one rule lets an account do with a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleGrant {
    /// The rule's name.
    pub rule: String,
    /// What it allows.
    pub access: world_object::RuleAccess,
    /// The greatest stated age of data, in milliseconds.
    pub max_age_ms: u64,
}

/// The grants of one service.
#[derive(Debug, Clone, Default)]
struct ServiceGrants {
    open: Option<RuleGrant>,
    by_account: HashMap<String, RuleGrant>,
}

/// The grants of all services.
#[derive(Debug, Clone, Default)]
pub struct GrantIndex {
    services: HashMap<String, ServiceGrants>,
}

impl GrantIndex {
    /// Indexes the rules of a configuration.
    pub fn new(world: &world_config::WorldConfig) -> Self {
        let mut index = Self::default();
        for rule in world.rules.values() {
            index.insert(rule);
        }
        index
    }

    /// Returns what the account may do with the service, if anything.
    pub fn find(&self, service: &str, account: &str) -> Option<&RuleGrant> {
        let grants = self.services.get(service)?;
        grants.by_account.get(account).or(grants.open.as_ref())
    }

    /// Whether the service may be used without a key.
    pub fn open_to_all(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|grants| grants.open.is_some())
    }

    fn insert(&mut self, rule: &world_object::RuleObject) {
        let grant =
            RuleGrant { rule: rule.name.clone(), access: rule.access, max_age_ms: rule.max_age_ms };
        let grants = self.services.entry(rule.service.clone()).or_default();
        for account in &rule.accounts {
            grants.by_account.insert(account.clone(), grant.clone());
        }
        if rule.open {
            grants.open = Some(grant);
        }
    }
}
