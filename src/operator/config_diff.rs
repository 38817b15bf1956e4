//! What differs between two configurations.

use std::collections::BTreeMap;
use std::fmt;

use crate::world::world_config;
use crate::world::world_object;

/// How an object differs.
#[derive(Debug, Clone, PartialEq)]
pub enum ObjectChange {
    /// The object is new.
    Added(world_object::WorldObject),
    /// The object is gone.
    Removed(world_object::WorldObject),
    /// The object differs.
    Changed {
        /// As it was.
        old: world_object::WorldObject,
        /// As it is.
        new: world_object::WorldObject,
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

/// Returns the changes that lead from `old` to `new`, by kind and name.
pub fn diff(old: &world_config::WorldConfig, new: &world_config::WorldConfig) -> Vec<ObjectChange> {
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
    world: &world_config::WorldConfig,
) -> BTreeMap<(&'static str, String), world_object::WorldObject> {
    let objects = world.to_objects().into_iter();
    objects.map(|object| ((object.kind(), object.name().to_owned()), object)).collect()
}

fn lines(object: &world_object::WorldObject) -> Vec<String> {
    let text = serde_yaml_ng::to_string(object).unwrap_or_default();
    text.lines().map(str::to_owned).collect()
}

fn write_lines(
    formatter: &mut fmt::Formatter<'_>,
    sign: &str,
    object: &world_object::WorldObject,
) -> fmt::Result {
    for line in lines(object) {
        writeln!(formatter, "  {sign} {line}")?;
    }
    Ok(())
}

fn write_changed(
    formatter: &mut fmt::Formatter<'_>,
    old: &world_object::WorldObject,
    new: &world_object::WorldObject,
) -> fmt::Result {
    let (old, new) = (lines(old), lines(new));
    for line in old.iter().filter(|line| !new.contains(line)) {
        writeln!(formatter, "  - {line}")?;
    }
    for line in new.iter().filter(|line| !old.contains(line)) {
        writeln!(formatter, "  + {line}")?;
    }
    Ok(())
}
