//! The configuration file that operators edit: a stream of YAML documents, one for each object.

use anyhow::{Context, Result, bail};
use serde::Deserialize;
use serde_yaml_ng::Value;

use crate::config::config_object;
use crate::config::fleet_config;

/// Kind of the document that holds the version which a file is based on.
const BASE_KIND: &str = "base";

/// A configuration file.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ConfigFile {
    /// The published version that the file is based on, if it names one.
    pub base: Option<u64>,
    /// The objects of the file.
    pub config: fleet_config::FleetConfig,
}

impl ConfigFile {
    /// Parses a stream of YAML documents; empty documents are skipped.
    ///
    /// # Errors
    ///
    /// Fails on a malformed document, with its number and field, and when two objects have the same
    /// kind and name.
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

    /// Serializes the base version and all objects as a stream of YAML documents.
    ///
    /// # Errors
    ///
    /// Fails when an object cannot be serialized.
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
            bail!("field version: expected the number of the version that the file is based on");
        };
        if self.base.replace(version).is_some() {
            bail!("field version: base version is given more than once");
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
