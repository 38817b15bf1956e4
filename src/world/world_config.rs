//! All objects of one configuration, indexed by kind and name.

use std::collections::BTreeMap;

use anyhow::{Result, bail};

use crate::world::world_object;

/// All objects of one configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct WorldConfig {
    /// Client accounts by name.
    pub accounts: BTreeMap<String, world_object::AccountObject>,
    /// Keys by name.
    pub keys: BTreeMap<String, world_object::KeyObject>,
    /// Data centres by name.
    pub centres: BTreeMap<String, world_object::CentreObject>,
    /// Hosts by name.
    pub hosts: BTreeMap<String, world_object::HostObject>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<String, world_object::EndpointObject>,
    /// Groups by name.
    pub groups: BTreeMap<String, world_object::GroupObject>,
    /// Services by name.
    pub services: BTreeMap<String, world_object::ServiceObject>,
    /// Rules by name.
    pub rules: BTreeMap<String, world_object::RuleObject>,
}

impl WorldConfig {
    /// Builds a configuration from objects.
    ///
    /// # Errors
    ///
    /// Names the object whose kind and name stand twice.
    pub fn from_objects(objects: Vec<world_object::WorldObject>) -> Result<Self> {
        let mut world = Self::default();
        for object in objects {
            world.insert(object)?;
        }
        Ok(world)
    }

    /// Returns all objects in the order of kind and name.
    pub fn to_objects(&self) -> Vec<world_object::WorldObject> {
        let mut objects = Vec::new();
        objects.extend(self.centres.values().cloned().map(world_object::WorldObject::DataCentre));
        objects.extend(self.hosts.values().cloned().map(world_object::WorldObject::Host));
        objects.extend(self.endpoints.values().cloned().map(world_object::WorldObject::Endpoint));
        objects.extend(self.groups.values().cloned().map(world_object::WorldObject::Group));
        objects.extend(self.services.values().cloned().map(world_object::WorldObject::Service));
        objects.extend(self.accounts.values().cloned().map(world_object::WorldObject::Account));
        objects.extend(self.keys.values().cloned().map(world_object::WorldObject::Key));
        objects.extend(self.rules.values().cloned().map(world_object::WorldObject::Rule));
        objects
    }

    /// Removes the object of the same kind and name.
    pub fn remove(&mut self, object: &world_object::WorldObject) {
        let name = object.name();
        match object {
            world_object::WorldObject::Account(_) => drop(self.accounts.remove(name)),
            world_object::WorldObject::Key(_) => drop(self.keys.remove(name)),
            world_object::WorldObject::DataCentre(_) => drop(self.centres.remove(name)),
            world_object::WorldObject::Host(_) => drop(self.hosts.remove(name)),
            world_object::WorldObject::Endpoint(_) => drop(self.endpoints.remove(name)),
            world_object::WorldObject::Group(_) => drop(self.groups.remove(name)),
            world_object::WorldObject::Service(_) => drop(self.services.remove(name)),
            world_object::WorldObject::Rule(_) => drop(self.rules.remove(name)),
        }
    }

    /// Whether `host` and its data centre both take new work.
    pub fn host_in_service(&self, host: &str) -> bool {
        let Some(host) = self.hosts.get(host) else { return false };
        host.in_service && self.centre_in_service(&host.data_centre)
    }

    /// Whether `endpoint` and its data centre both take new work.
    pub fn endpoint_in_service(&self, endpoint: &str) -> bool {
        let Some(endpoint) = self.endpoints.get(endpoint) else { return false };
        endpoint.in_service && self.centre_in_service(&endpoint.data_centre)
    }

    /// Whether the data centre takes new work.
    pub fn centre_in_service(&self, centre: &str) -> bool {
        self.centres.get(centre).is_some_and(|centre| centre.in_service)
    }

    /// Adds an object.
    ///
    /// # Errors
    ///
    /// Names the object whose kind and name stand twice.
    pub fn insert(&mut self, object: world_object::WorldObject) -> Result<()> {
        let label = format!("{} {}", object.kind(), object.name());
        let name = object.name().to_owned();
        let doubled = match object {
            world_object::WorldObject::Account(account) => {
                self.accounts.insert(name, account).is_some()
            }
            world_object::WorldObject::Key(key) => self.keys.insert(name, key).is_some(),
            world_object::WorldObject::DataCentre(centre) => {
                self.centres.insert(name, centre).is_some()
            }
            world_object::WorldObject::Host(host) => self.hosts.insert(name, host).is_some(),
            world_object::WorldObject::Endpoint(endpoint) => {
                self.endpoints.insert(name, endpoint).is_some()
            }
            world_object::WorldObject::Group(group) => self.groups.insert(name, group).is_some(),
            world_object::WorldObject::Service(service) => {
                self.services.insert(name, service).is_some()
            }
            world_object::WorldObject::Rule(rule) => self.rules.insert(name, rule).is_some(),
        };
        if doubled {
            bail!("{label}: field name: stands twice; give each object of a kind its own name");
        }
        Ok(())
    }
}
