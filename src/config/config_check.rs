//! Validates a configuration before it is published: each object, the references between objects,
//! and the change from the version before.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use crate::config::fleet_config;
use crate::core::caller_flow;

/// Maximum length of an object's name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// One error found in a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckFinding {
    /// Kind and name of the invalid object.
    pub object: String,
    /// The invalid field.
    pub field: &'static str,
    /// The field's value.
    pub value: String,
    /// What is wrong and how to correct it.
    pub message: String,
}

impl fmt::Display for CheckFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: field {}: {:?}: {}",
            self.object, self.field, self.value, self.message
        )
    }
}

/// Returns all errors of `config` itself and, where `previous` is given, those of changing from
/// `previous` to it.
pub fn check_config(
    config: &fleet_config::FleetConfig,
    previous: Option<&fleet_config::FleetConfig>,
) -> Vec<CheckFinding> {
    let mut findings = Vec::new();
    check_names(config, &mut findings);
    check_accounts(config, &mut findings);
    check_keys(config, &mut findings);
    check_locations(config, &mut findings);
    check_groups(config, &mut findings);
    check_services(config, &mut findings);
    check_rules(config, &mut findings);
    if let Some(previous) = previous {
        check_change(config, previous, &mut findings);
    }
    findings
}

fn finding(object: String, field: &'static str, value: &str, message: &str) -> CheckFinding {
    CheckFinding { object, field, value: value.to_owned(), message: message.to_owned() }
}

fn check_names(config: &fleet_config::FleetConfig, findings: &mut Vec<CheckFinding>) {
    for object in config.to_objects() {
        let name = object.name();
        let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        if name.is_empty() || name.len() > NAME_MAX_BYTES || !name.chars().all(allowed) {
            let message = "use 1 to 64 ASCII letters, digits, '-', '_' or '.'";
            findings.push(finding(object.kind().to_owned(), "name", name, message));
        }
    }
}

fn check_accounts(config: &fleet_config::FleetConfig, findings: &mut Vec<CheckFinding>) {
    for account in config.accounts.values() {
        let object = || format!("account {}", account.name);
        if !(account.rate.is_finite() && account.rate > 0.0) {
            let value = account.rate.to_string();
            findings.push(finding(object(), "rate", &value, "give a rate above 0"));
        }
        if !(account.burst.is_finite() && account.burst >= 1.0) {
            let value = account.burst.to_string();
            findings.push(finding(object(), "burst", &value, "give a burst of at least 1"));
        }
        if account.weight == 0 {
            findings.push(finding(object(), "weight", "0", "give a weight of at least 1"));
        }
    }
}

fn check_keys(config: &fleet_config::FleetConfig, findings: &mut Vec<CheckFinding>) {
    for key in config.keys.values() {
        let object = || format!("key {}", key.name);
        if !config.accounts.contains_key(&key.account) {
            let message = "no such account; publish it too, or remove the key";
            findings.push(finding(object(), "account", &key.account, message));
        }
        let is_hex = |text: &str| text.chars().all(|letter| letter.is_ascii_hexdigit());
        if key.salt.len() < 16 || !is_hex(&key.salt) {
            let message =
                "expected at least 16 hexadecimal digits, as `quetzaldeal key new` writes";
            findings.push(finding(object(), "salt", &key.salt, message));
        }
        if key.hash.len() != 64 || !is_hex(&key.hash) {
            let message = "expected 64 hexadecimal digits, as `quetzaldeal key new` writes";
            findings.push(finding(object(), "hash", &key.hash, message));
        }
    }
}

fn check_locations(config: &fleet_config::FleetConfig, findings: &mut Vec<CheckFinding>) {
    let mut addresses: BTreeMap<String, String> = BTreeMap::new();
    let hosts = config.hosts.values().map(|host| {
        (format!("host {}", host.name), host.data_centre.as_str(), host.address.as_str())
    });
    let endpoints = config.endpoints.values().map(|endpoint| {
        let object = format!("endpoint {}", endpoint.name);
        (object, endpoint.data_centre.as_str(), endpoint.address.as_str())
    });
    for (object, centre, address) in hosts.chain(endpoints) {
        if !config.centres.contains_key(centre) {
            let message = "no such data centre; publish it too, or name another";
            findings.push(finding(object.clone(), "data_centre", centre, message));
        }
        if address.parse::<SocketAddr>().is_err() {
            let message = "give an IP number and port, such as 10.0.0.1:7000";
            findings.push(finding(object.clone(), "address", address, message));
        }
        if let Some(other) = addresses.insert(address.to_owned(), object.clone()) {
            let message = format!("{other} has this address too; addresses must be unique");
            findings.push(finding(object, "address", address, &message));
        }
    }
    for endpoint in config.endpoints.values() {
        let object = || format!("endpoint {}", endpoint.name);
        if endpoint.slots == 0 {
            findings.push(finding(object(), "slots", "0", "expected at least 1"));
        }
        if endpoint.connections < 2 {
            let value = endpoint.connections.to_string();
            findings.push(finding(object(), "connections", &value, "expected at least 2"));
        }
    }
}

fn check_groups(config: &fleet_config::FleetConfig, findings: &mut Vec<CheckFinding>) {
    let mut group_of_endpoint: BTreeMap<&str, &str> = BTreeMap::new();
    for group in config.groups.values() {
        let object = || format!("group {}", group.name);
        if group.endpoints.is_empty() {
            findings.push(finding(object(), "endpoints", "[]", "name at least one endpoint"));
        }
        for endpoint in &group.endpoints {
            if !config.endpoints.contains_key(endpoint) {
                let message = "no such endpoint; publish it too, or name another";
                findings.push(finding(object(), "endpoints", endpoint, message));
            }
            if let Some(other) = group_of_endpoint.insert(endpoint, &group.name) {
                let message =
                    format!("already listed in group {other}; list an endpoint once, in one group");
                findings.push(finding(object(), "endpoints", endpoint, &message));
            }
        }
        let any_in_service =
            group.endpoints.iter().any(|endpoint| config.endpoint_in_service(endpoint));
        if !any_in_service && !group.endpoints.is_empty() {
            let message = "no endpoint of the group is in service; leave one in service";
            findings.push(finding(object(), "endpoints", &group.endpoints.join(", "), message));
        }
    }
}

fn check_services(config: &fleet_config::FleetConfig, findings: &mut Vec<CheckFinding>) {
    let services_with_rules: BTreeSet<&str> =
        config.rules.values().map(|rule| rule.service.as_str()).collect();
    for service in config.services.values() {
        let object = || format!("service {}", service.name);
        if service.groups.is_empty() {
            findings.push(finding(object(), "groups", "[]", "name at least one group"));
        }
        let mut seen = BTreeSet::new();
        for group in &service.groups {
            if !config.groups.contains_key(group) {
                let message = "no such group; publish it too, or name another";
                findings.push(finding(object(), "groups", group, message));
            }
            if !seen.insert(group) {
                findings.push(finding(object(), "groups", group, "group is listed more than once"));
            }
        }
        if !services_with_rules.contains(service.name.as_str()) {
            let message =
                "no rule grants access to this service; publish one, or remove the service";
            findings.push(finding(object(), "name", &service.name, message));
        }
    }
}

fn check_rules(config: &fleet_config::FleetConfig, findings: &mut Vec<CheckFinding>) {
    let mut covering_rules: BTreeMap<(&str, &str), &str> = BTreeMap::new();
    for rule in config.rules.values() {
        let object = || format!("rule {}", rule.name);
        if !config.services.contains_key(&rule.service) {
            let message = "no such service; publish it too, or name another";
            findings.push(finding(object(), "service", &rule.service, message));
        }
        if rule.accounts.is_empty() && !rule.open {
            let message = "the route is empty; list accounts, or set open: true";
            findings.push(finding(object(), "accounts", "[]", message));
        }
        if rule.open && !config.accounts.contains_key(caller_flow::PUBLIC_ACCOUNT) {
            let message = "open routes are counted against account `public`; publish it too";
            findings.push(finding(object(), "open", "true", message));
        }
        if rule.open && !rule.accounts.is_empty() {
            let message = "contradicts open: true; list accounts or set open, not both";
            findings.push(finding(object(), "accounts", &rule.accounts.join(", "), message));
        }
        for account in &rule.accounts {
            if !config.accounts.contains_key(account) {
                let message = "no such account; publish it too, or name another";
                findings.push(finding(object(), "accounts", account, message));
            }
            if let Some(other) = covering_rules.insert((&rule.service, account), &rule.name) {
                let message = format!("rule {other} already covers this account and service");
                findings.push(finding(object(), "accounts", account, &message));
            }
        }
    }
}

fn check_change(
    config: &fleet_config::FleetConfig,
    previous: &fleet_config::FleetConfig,
    findings: &mut Vec<CheckFinding>,
) {
    for (name, old) in &previous.groups {
        let Some(new) = config.groups.get(name) else { continue };
        let old_endpoints: BTreeSet<&String> = old.endpoints.iter().collect();
        let new_endpoints: BTreeSet<&String> = new.endpoints.iter().collect();
        if old_endpoints != new_endpoints {
            let message = "the copies of a running group cannot change; publish a new group";
            let object = format!("group {name}");
            findings.push(finding(object, "endpoints", &new.endpoints.join(", "), message));
        }
    }
    for (name, old) in &previous.services {
        let Some(new) = config.services.get(name) else { continue };
        if old.groups != new.groups {
            let message =
                "route keys select among these groups; changing them makes data unreachable";
            let object = format!("service {name}");
            findings.push(finding(object, "groups", &new.groups.join(", "), message));
        }
    }
}
