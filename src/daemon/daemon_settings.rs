//! Settings of the daemon, read from a YAML file and validated at startup.

use std::net::SocketAddr;
use std::path::Path;

use anyhow::{Context, Result, bail};
use serde::{Deserialize, Serialize};

use crate::core::core_tuning;

/// The credentials that the daemon uses at endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointLogin {
    /// Database user.
    pub user: String,
    /// Password of the user; empty by default.
    #[serde(default)]
    pub password: String,
    /// Name of the database to connect to.
    pub database: String,
}

/// Settings of the daemon on one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the host in the configuration.
    pub host: String,
    /// Name of the host's data centre.
    pub data_centre: String,
    /// Address (IP and port) to listen at for callers.
    pub callers: String,
    /// Address (IP and port) to listen at for peers and operators.
    pub peers: String,
    /// Address (IP and port) of the platform's key-value store.
    pub platform: String,
    /// Addresses (IP and port) of peers to contact while the platform is unreachable.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Secret that all hosts of the fleet share; requests of peers without it are rejected.
    #[serde(default)]
    pub fleet_secret: String,
    /// The credentials that the daemon uses at endpoints.
    pub endpoint_login: EndpointLogin,
    /// Log level: off, error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Address (IP and port) that StatsD metrics are sent to over UDP; without it none are sent.
    #[serde(default)]
    pub metrics: Option<String>,
    /// Timeouts, intervals and limits; each has a default.
    #[serde(default)]
    pub tuning: core_tuning::CoreTuning,
}

fn default_log_level() -> String {
    "info".to_owned()
}

impl DaemonSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is invalid; the error names the file and, where known,
    /// the line and field.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("failed to read settings file {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("invalid settings file {}", path.display()))
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Fails on malformed YAML, unknown or missing fields and invalid values; the error names the
    /// field and, where known, the line.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = serde_yaml_ng::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        let named =
            [("callers", &self.callers), ("peers", &self.peers), ("platform", &self.platform)];
        let seeds = self.seeds.iter().map(|seed| ("seeds", seed));
        let metrics = self.metrics.iter().map(|address| ("metrics", address));
        for (field, address) in named.into_iter().chain(seeds).chain(metrics) {
            if address.parse::<SocketAddr>().is_err() {
                bail!("field {field}: {address:?}: give an IP number and port");
            }
        }
        if self.host.is_empty() {
            bail!("field host: \"\": give the host's name");
        }
        if self.log_level.parse::<log::LevelFilter>().is_err() {
            bail!(
                "field log_level: {:?}: give off, error, warn, info, debug or trace",
                self.log_level
            );
        }
        Ok(())
    }
}
