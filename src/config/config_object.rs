//! The named objects that make up a configuration.

use serde::{Deserialize, Serialize};

/// A client account and its limits over the whole fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountObject {
    /// Name, unique among accounts.
    pub name: String,
    /// Sustained rate over the whole fleet, in statements per second.
    pub rate: f64,
    /// Burst over the whole fleet, in statements: the capacity of the account's token bucket.
    pub burst: f64,
    /// Weight of the account in the queues for endpoint connections.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// How much longer, in milliseconds, a host serves the account when it can no longer confirm
    /// that its configuration is current. A key that is withdrawn meanwhile stays valid on that
    /// host.
    #[serde(default)]
    pub cut_off_grace_ms: u64,
}

fn default_weight() -> u32 {
    1
}

fn default_in_service() -> bool {
    true
}

/// A key that authenticates its bearer as an account. Only the salted hash of the key is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyObject {
    /// Name, unique among keys.
    pub name: String,
    /// The account that the key authenticates.
    pub account: String,
    /// Salt of the hash, in hexadecimal.
    pub salt: String,
    /// Salted hash of the key (HMAC-SHA-256), in hexadecimal.
    pub hash: String,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CentreObject {
    /// Name, unique among data centres.
    pub name: String,
    /// Whether it is in service; `false` drains it, so that it takes no new work.
    #[serde(default = "default_in_service")]
    pub in_service: bool,
}

/// A host that runs the daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostObject {
    /// Name, unique among hosts.
    pub name: String,
    /// The data centre that it is in.
    pub data_centre: String,
    /// Address (IP and port) at which peers and operators reach it.
    pub address: String,
    /// Whether it is in service; `false` drains it, so that it takes no new work.
    #[serde(default = "default_in_service")]
    pub in_service: bool,
}

/// A database endpoint of a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointObject {
    /// Name, unique among endpoints.
    pub name: String,
    /// The data centre that it is in.
    pub data_centre: String,
    /// Address (IP and port) of the database.
    pub address: String,
    /// Statements that it executes concurrently.
    pub slots: u32,
    /// Connections that it accepts from all hosts together.
    pub connections: u32,
    /// Whether it is in service. Out of service it gets no new statements but still holds a copy of
    /// the group's data.
    #[serde(default = "default_in_service")]
    pub in_service: bool,
}

/// A database group: one primary and its replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupObject {
    /// Name, unique among groups.
    pub name: String,
    /// The endpoints that hold copies of its data.
    pub endpoints: Vec<String>,
}

/// A service, which callers give as the name of their database.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceObject {
    /// Name, unique among services.
    pub name: String,
    /// The groups that hold its data; a route key selects one of them.
    pub groups: Vec<String>,
}

/// The access that a rule grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RuleAccess {
    /// Reads only.
    Read,
    /// Reads and writes.
    Write,
}

/// A rule that grants accounts access to a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleObject {
    /// Name, unique among rules.
    pub name: String,
    /// The service that it grants access to.
    pub service: String,
    /// The accounts that get access.
    #[serde(default)]
    pub accounts: Vec<String>,
    /// Whether callers may use the service without a key; they are counted against account
    /// `public`.
    #[serde(default)]
    pub open: bool,
    /// The access that it grants.
    pub access: RuleAccess,
    /// Maximum age of data that callers may accept for their reads, in milliseconds.
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
    /// Returns the object's kind as it is written in configuration files.
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
