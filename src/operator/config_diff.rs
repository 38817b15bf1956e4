//! Compares two configurations object by object.

use std::collections::BTreeMap;
use std::fmt;

use crate::config::config_object;
use crate::config::fleet_config;

/// A difference in one object.
#[derive(Debug, Clone, PartialEq)]
pub enum ObjectChange {
    /// Only the new configuration has the object.
    Added(config_object::ConfigObject),
    /// Only the old configuration has the object.
    Removed(config_object::ConfigObject),
    /// Both have the object, with different fields.
    Changed {
        /// The object in the old configuration.
        old: config_object::ConfigObject,
        /// The object in the new configuration.
        new: config_object::ConfigObject,
    },
}

impl fmt::Display for ObjectChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(object) => {
                writeln!(formatter, "+ {} {}", object.kind(), object.name())?;
                write_lines(formatter, "+", object)
            }
            Self::Removed(object) => {
                writeln!(formatter, "- {} {}", object.kind(), object.name())
            }
            Self::Changed { old, new } => {
                writeln!(formatter, "~ {} {}", new.kind(), new.name())?;
                write_changed(formatter, old, new)
            }
        }
    }
}

/// Returns the differences between `old` and `new`: removed and changed objects first, then added
/// ones, each sorted by kind and name.
pub fn diff(old: &fleet_config::FleetConfig, new: &fleet_config::FleetConfig) -> Vec<ObjectChange> {
    let old = by_name(old);
    let new = by_name(new);
    let mut changes = Vec::new();
    for (key, object) in &old {
        match new.get(key) {
            None => changes.push(ObjectChange::Removed(object.clone())),
            Some(other) if other != object => {
                changes.push(ObjectChange::Changed { old: object.clone(), new: other.clone() });
            }
            Some(_) => {}
        }
    }
    let added = new.iter().filter(|(key, _)| !old.contains_key(*key));
    changes.extend(added.map(|(_, object)| ObjectChange::Added(object.clone())));
    changes
}

fn by_name(
    config: &fleet_config::FleetConfig,
) -> BTreeMap<(&'static str, String), config_object::ConfigObject> {
    let objects = config.to_objects().into_iter();
    objects.map(|object| ((object.kind(), object.name().to_owned()), object)).collect()
}

fn yaml_lines(object: &config_object::ConfigObject) -> Vec<String> {
    let text = serde_yaml_ng::to_string(object).unwrap_or_default();
    text.lines().map(str::to_owned).collect()
}

fn write_lines(
    formatter: &mut fmt::Formatter<'_>,
    sign: &str,
    object: &config_object::ConfigObject,
) -> fmt::Result {
    for line in yaml_lines(object) {
        writeln!(formatter, "  {sign} {line}")?;
    }
    Ok(())
}

fn write_changed(
    formatter: &mut fmt::Formatter<'_>,
    old: &config_object::ConfigObject,
    new: &config_object::ConfigObject,
) -> fmt::Result {
    let (old, new) = (yaml_lines(old), yaml_lines(new));
    for line in old.iter().filter(|line| !new.contains(line)) {
        writeln!(formatter, "  - {line}")?;
    }
    for line in new.iter().filter(|line| !old.contains(line)) {
        writeln!(formatter, "  + {line}")?;
    }
    Ok(())
}
