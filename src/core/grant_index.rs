//! Index of the access rules by service and account, for fast lookup when a statement arrives.

use std::collections::HashMap;

use crate::config::config_object;
use crate::config::fleet_config;

/// Access to a service that one rule grants to an account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleGrant {
    /// Name of the rule.
    pub rule: String,
    /// Access that the rule allows.
    pub access: config_object::RuleAccess,
    /// Maximum data age that a read may request, in milliseconds.
    pub max_age_ms: u64,
}

/// Grants of one service.
#[derive(Debug, Clone, Default)]
struct ServiceGrants {
    open: Option<RuleGrant>,
    by_account: HashMap<String, RuleGrant>,
}

/// Grants of all services.
#[derive(Debug, Clone, Default)]
pub struct GrantIndex {
    services: HashMap<String, ServiceGrants>,
}

impl GrantIndex {
    /// Builds the index from the rules of a configuration.
    pub fn new(config: &fleet_config::FleetConfig) -> Self {
        let mut index = Self::default();
        for rule in config.rules.values() {
            index.insert(rule);
        }
        index
    }

    /// Returns the account's grant for the service, if any.
    pub fn find(&self, service: &str, account: &str) -> Option<&RuleGrant> {
        let grants = self.services.get(service)?;
        grants.by_account.get(account).or(grants.open.as_ref())
    }

    /// Returns whether the service may be used without a key.
    pub fn open_to_all(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|grants| grants.open.is_some())
    }

    fn insert(&mut self, rule: &config_object::RuleObject) {
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
