//! The named objects that operators publish.

use serde::{Deserialize, Serialize};

/// A client account: its share of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountObject {
    /// Name, unique among accounts.
    pub name: String,
    /// Statements a second over the whole fleet.
    pub rate: f64,
    /// Statements that may come at once over the whole fleet.
    pub burst: f64,
    /// Weight in queues for endpoint connections.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Extra time, in milliseconds, that a host serves the account when it can no longer confirm
    /// that its configuration is current; a key withdrawn meanwhile goes on working there.
    #[serde(default)]
    pub cut_off_grace_ms: u64,
}

fn default_weight() -> u32 {
    1
}

fn default_in_service() -> bool {
    true
}

/// A key that lets its bearer act for an account; only its salted hash is kept.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyObject {
    /// Name, unique among keys.
    pub name: String,
    /// The account it belongs to.
    pub account: String,
    /// Salt in hexadecimal.
    pub salt: String,
    /// Salted hash of the key in hexadecimal.
    pub hash: String,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CentreObject {
    /// Name, unique among data centres.
    pub name: String,
    /// Whether it takes new work.
    #[serde(default = "default_in_service")]
    pub in_service: bool,
}

/// A host that runs the daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostObject {
    /// Name, unique among hosts.
    pub name: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Address (IP and port) that peers and operators reach it at.
    pub address: String,
    /// Whether it takes new work.
    #[serde(default = "default_in_service")]
    pub in_service: bool,
}

/// A database of a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointObject {
    /// Name, unique among endpoints.
    pub name: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Address (IP and port) of the database.
    pub address: String,
    /// Statements it executes at once.
    pub slots: u32,
    /// Connections it accepts from all hosts together.
    pub connections: u32,
    /// Whether it takes new work; it stays a copy of its group either way.
    #[serde(default = "default_in_service")]
    pub in_service: bool,
}

/// A database group: one primary and its replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupObject {
    /// Name, unique among groups.
    pub name: String,
    /// The endpoints that hold its copies.
    pub endpoints: Vec<String>,
}

/// A service: what callers name as their database.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceObject {
    /// Name, unique among services.
    pub name: String,
    /// The groups that hold its data; a route key picks one of them.
    pub groups: Vec<String>,
}

/// What a rule lets accounts do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RuleAccess {
    /// Reads only.
    Read,
    /// Reads and writes.
    Write,
}

/// A rule: which accounts may use a service, and how.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleObject {
    /// Name, unique among rules.
    pub name: String,
    /// The service it opens.
    pub service: String,
    /// The accounts it opens the service to.
    #[serde(default)]
    pub accounts: Vec<String>,
    /// Whether the route is open to all accounts without a key.
    #[serde(default)]
    pub open: bool,
    /// What it allows.
    pub access: RuleAccess,
    /// The greatest stated age of data that callers may accept, in milliseconds.
    #[serde(default)]
    pub max_age_ms: u64,
}

/// One named object of any kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigObject {
    /// A client account.
    Account(AccountObject),
    /// A key.
    Key(KeyObject),
    /// A data centre.
    DataCentre(CentreObject),
    /// A host.
    Host(HostObject),
    /// An endpoint.
    Endpoint(EndpointObject),
    /// A database group.
    Group(GroupObject),
    /// A service.
    Service(ServiceObject),
    /// A rule.
    Rule(RuleObject),
}

impl ConfigObject {
    /// Returns the kind as operators write it.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Account(_) => "account",
            Self::Key(_) => "key",
            Self::DataCentre(_) => "data_centre",
            Self::Host(_) => "host",
            Self::Endpoint(_) => "endpoint",
            Self::Group(_) => "group",
            Self::Service(_) => "service",
            Self::Rule(_) => "rule",
        }
    }

    /// Returns the object's name.
    pub fn name(&self) -> &str {
        match self {
            Self::Account(object) => &object.name,
            Self::Key(object) => &object.name,
            Self::DataCentre(object) => &object.name,
            Self::Host(object) => &object.name,
            Self::Endpoint(object) => &object.name,
            Self::Group(object) => &object.name,
            Self::Service(object) => &object.name,
            Self::Rule(object) => &object.name,
        }
    }
}
