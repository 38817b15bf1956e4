//! Plans of experiments, read from YAML.

use anyhow::{Result, bail};
use serde::{Deserialize, Serialize};

/// The load of one client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountLoad {
    /// Client account.
    pub account: String,
    /// Key.
    pub key: String,
    /// Statements offered a second, over all hosts.
    pub offered: f64,
    /// The account's rate, to judge refusals by.
    pub rate: f64,
    /// The account's burst, to judge refusals by.
    pub burst: f64,
}

/// A plan of an experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// IP and port of each host's callers' door.
    pub hosts: Vec<String>,
    /// Service.
    pub service: String,
    /// Length in seconds.
    pub seconds: u64,
    /// Seed of all randomness.
    pub seed: u64,
    /// Part of the statements that read, from 0 to 1.
    pub read_part: f64,
    /// Part of the reads that accept data of `max_age_ms`.
    #[serde(default)]
    pub aged_part: f64,
    /// Age that those reads accept, in milliseconds.
    #[serde(default)]
    pub max_age_ms: u64,
    /// Groups of the service; each account has two connections for each at each host, one of them
    /// for reads that accept data of `max_age_ms`.
    pub groups: Vec<String>,
    /// Part of the load that goes to the first host, from 0 to 1; the rest is spread evenly.
    #[serde(default)]
    pub skew: f64,
    /// Accounts.
    pub accounts: Vec<AccountLoad>,
}

impl LoadPlan {
    /// Reads and checks a plan.
    ///
    /// # Errors
    ///
    /// Names the field that is wrong.
    pub fn parse(text: &str) -> Result<Self> {
        let plan: Self = serde_yaml_ng::from_str(text)?;
        for (field, value) in
            [("read_part", plan.read_part), ("aged_part", plan.aged_part), ("skew", plan.skew)]
        {
            if !(0.0..=1.0).contains(&value) {
                bail!("field {field}: {value}: give a part from 0 to 1");
            }
        }
        if plan.hosts.is_empty() || plan.groups.is_empty() {
            bail!("fields hosts and groups: give at least one of each");
        }
        Ok(plan)
    }
}
