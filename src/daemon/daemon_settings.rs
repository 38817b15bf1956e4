//! Settings of the daemon, read from YAML and checked at the start.

use std::net::SocketAddr;
use std::path::Path;

use anyhow::{Context, Result, bail};
use serde::{Deserialize, Serialize};

use crate::core::core_tuning;

/// How the daemon logs in at endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointLogin {
    /// User.
    pub user: String,
    /// Password.
    #[serde(default)]
    pub password: String,
    /// Database.
    pub database: String,
}

/// Settings of the daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the host, as the configuration knows it.
    pub host: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Address (IP and port) for callers.
    pub callers: String,
    /// Address (IP and port) for peers and operators.
    pub peers: String,
    /// Address (IP and port) of the platform's key-value service.
    pub platform: String,
    /// Addresses of peers to ask while the platform is out of reach.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Secret that all hosts of the fleet share; peers without it are turned away.
    #[serde(default)]
    pub fleet_secret: String,
    /// How the daemon logs in at endpoints.
    pub endpoint_login: EndpointLogin,
    /// Level of the log: off, error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Address (IP and port) that metrics go to over UDP; none are sent without it.
    #[serde(default)]
    pub metrics: Option<String>,
    /// Spans and bounds; each has a default.
    #[serde(default)]
    pub tuning: core_tuning::CoreTuning,
}

fn default_log_level() -> String {
    "info".to_owned()
}

impl DaemonSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Names the file and, where there is one, the line and field that is wrong.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read settings {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("settings {}", path.display()))
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Names the line and field that is wrong.
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
