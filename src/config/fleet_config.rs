//! The configuration of a fleet: all its objects, indexed by kind and name.

use std::collections::BTreeMap;

use anyhow::{Result, bail};

use crate::config::config_object;

/// All objects of one version of a fleet's configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetConfig {
    /// Client accounts by name.
    pub accounts: BTreeMap<String, config_object::AccountObject>,
    /// Keys by name.
    pub keys: BTreeMap<String, config_object::KeyObject>,
    /// Data centres by name.
    pub centres: BTreeMap<String, config_object::CentreObject>,
    /// Hosts by name.
    pub hosts: BTreeMap<String, config_object::HostObject>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<String, config_object::EndpointObject>,
    /// Groups by name.
    pub groups: BTreeMap<String, config_object::GroupObject>,
    /// Services by name.
    pub services: BTreeMap<String, config_object::ServiceObject>,
    /// Rules by name.
    pub rules: BTreeMap<String, config_object::RuleObject>,
}

impl FleetConfig {
    /// Builds a configuration from objects.
    ///
    /// # Errors
    ///
    /// Fails when two objects have the same kind and name.
    pub fn from_objects(objects: Vec<config_object::ConfigObject>) -> Result<Self> {
        let mut config = Self::default();
        for object in objects {
            config.insert(object)?;
        }
        Ok(config)
    }

    /// Returns all objects, grouped by kind and sorted by name within a kind.
    pub fn to_objects(&self) -> Vec<config_object::ConfigObject> {
        let mut objects = Vec::new();
        objects.extend(self.centres.values().cloned().map(config_object::ConfigObject::DataCentre));
        objects.extend(self.hosts.values().cloned().map(config_object::ConfigObject::Host));
        objects.extend(self.endpoints.values().cloned().map(config_object::ConfigObject::Endpoint));
        objects.extend(self.groups.values().cloned().map(config_object::ConfigObject::Group));
        objects.extend(self.services.values().cloned().map(config_object::ConfigObject::Service));
        objects.extend(self.accounts.values().cloned().map(config_object::ConfigObject::Account));
        objects.extend(self.keys.values().cloned().map(config_object::ConfigObject::Key));
        objects.extend(self.rules.values().cloned().map(config_object::ConfigObject::Rule));
        objects
    }

    /// Removes the object with the kind and name of `object`, if there is one.
    pub fn remove(&mut self, object: &config_object::ConfigObject) {
        let name = object.name();
        match object {
            config_object::ConfigObject::Account(_) => drop(self.accounts.remove(name)),
            config_object::ConfigObject::Key(_) => drop(self.keys.remove(name)),
            config_object::ConfigObject::DataCentre(_) => drop(self.centres.remove(name)),
            config_object::ConfigObject::Host(_) => drop(self.hosts.remove(name)),
            config_object::ConfigObject::Endpoint(_) => drop(self.endpoints.remove(name)),
            config_object::ConfigObject::Group(_) => drop(self.groups.remove(name)),
            config_object::ConfigObject::Service(_) => drop(self.services.remove(name)),
            config_object::ConfigObject::Rule(_) => drop(self.rules.remove(name)),
        }
    }

    /// Returns whether `host` and its data centre are both in service; `false` for an unknown host.
    pub fn host_in_service(&self, host: &str) -> bool {
        let Some(host) = self.hosts.get(host) else { return false };
        host.in_service && self.centre_in_service(&host.data_centre)
    }

    /// Returns whether `endpoint` and its data centre are both in service; `false` for an unknown
    /// endpoint.
    pub fn endpoint_in_service(&self, endpoint: &str) -> bool {
        let Some(endpoint) = self.endpoints.get(endpoint) else { return false };
        endpoint.in_service && self.centre_in_service(&endpoint.data_centre)
    }

    /// Returns whether the data centre is in service; `false` for an unknown one.
    pub fn centre_in_service(&self, centre: &str) -> bool {
        self.centres.get(centre).is_some_and(|centre| centre.in_service)
    }

    /// Adds an object.
    ///
    /// # Errors
    ///
    /// Fails when there is already an object of the same kind and name.
    pub fn insert(&mut self, object: config_object::ConfigObject) -> Result<()> {
        let label = format!("{} {}", object.kind(), object.name());
        let name = object.name().to_owned();
        let duplicate = match object {
            config_object::ConfigObject::Account(account) => {
                self.accounts.insert(name, account).is_some()
            }
            config_object::ConfigObject::Key(key) => self.keys.insert(name, key).is_some(),
            config_object::ConfigObject::DataCentre(centre) => {
                self.centres.insert(name, centre).is_some()
            }
            config_object::ConfigObject::Host(host) => self.hosts.insert(name, host).is_some(),
            config_object::ConfigObject::Endpoint(endpoint) => {
                self.endpoints.insert(name, endpoint).is_some()
            }
            config_object::ConfigObject::Group(group) => self.groups.insert(name, group).is_some(),
            config_object::ConfigObject::Service(service) => {
                self.services.insert(name, service).is_some()
            }
            config_object::ConfigObject::Rule(rule) => self.rules.insert(name, rule).is_some(),
        };
        if duplicate {
            bail!("{label}: field name: stands twice; names must be unique within a kind");
        }
        Ok(())
    }
}
