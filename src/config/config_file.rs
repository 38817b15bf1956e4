//! The objects as operators edit them: a stream of YAML documents.

use anyhow::{Context, Result, bail};
use serde::Deserialize;
use serde_yaml_ng::Value;

use crate::config::config_object;
use crate::config::fleet_config;

/// Kind of the document that names the version a file was edited from.
const BASE_KIND: &str = "base";

/// A file of objects.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ConfigFile {
    /// The version that the file was edited from.
    pub base: Option<u64>,
    /// The objects.
    pub config: fleet_config::FleetConfig,
}

impl ConfigFile {
    /// Reads a stream of YAML documents, one object each.
    ///
    /// # Errors
    ///
    /// Names the document and field that is malformed, or the name that stands twice.
    pub fn parse(text: &str) -> Result<Self> {
        let mut file = Self::default();
        for (index, document) in serde_yaml_ng::Deserializer::from_str(text).enumerate() {
            let number = index + 1;
            let value = Value::deserialize(document)
                .with_context(|| format!("document {number}: malformed YAML"))?;
            if value.is_null() {
                continue;
            }
            let label = object_label(&value);
            if field(&value, "kind") == Some(BASE_KIND) {
                file.read_base(&value).with_context(|| format!("document {number} ({label})"))?;
                continue;
            }
            let object: config_object::ConfigObject = serde_yaml_ng::from_value(value)
                .with_context(|| format!("document {number} ({label})"))?;
            file.config.insert(object)?;
        }
        Ok(file)
    }

    /// Writes the objects with the version they come from.
    ///
    /// # Errors
    ///
    /// Fails when an object cannot be written.
    pub fn to_yaml(&self) -> Result<String> {
        let mut text = String::new();
        if let Some(base) = self.base {
            text.push_str(&format!("---\nkind: {BASE_KIND}\nversion: {base}\n"));
        }
        for object in self.config.to_objects() {
            text.push_str("---\n");
            text.push_str(&serde_yaml_ng::to_string(&object)?);
        }
        Ok(text)
    }

    fn read_base(&mut self, value: &Value) -> Result<()> {
        let version = value.get("version").and_then(Value::as_u64);
        let Some(version) = version else {
            bail!("field version: give the version that the file was edited from");
        };
        if self.base.replace(version).is_some() {
            bail!("field version: stands twice");
        }
        Ok(())
    }
}

fn field<'a>(value: &'a Value, name: &str) -> Option<&'a str> {
    value.get(name).and_then(Value::as_str)
}

fn object_label(value: &Value) -> String {
    format!("{} {}", field(value, "kind").unwrap_or("?"), field(value, "name").unwrap_or("?"))
}
