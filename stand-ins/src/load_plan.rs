//! The plan of a load run, read from YAML.

use anyhow::{Result, bail};
use serde::{Deserialize, Serialize};

/// The load of one client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountLoad {
    /// Client account.
    pub account: String,
    /// The account's key.
    pub key: String,
    /// Statements offered per second, over all hosts.
    pub offered: f64,
    /// The account's configured rate, to tell justified refusals from wrong ones.
    pub rate: f64,
    /// The account's configured burst, to tell justified refusals from wrong ones.
    pub burst: f64,
}

/// The plan of a load run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// IP and port of each host's listener for callers.
    pub hosts: Vec<String>,
    /// Service that all accounts log in to.
    pub service: String,
    /// Duration in seconds.
    pub seconds: u64,
    /// Seed of the random generators, so that a run offers the same load again.
    pub seed: u64,
    /// Fraction of the statements that read, from 0 to 1.
    pub read_part: f64,
    /// Fraction of the reads that accept data as old as `max_age_ms`, from 0 to 1.
    #[serde(default)]
    pub aged_part: f64,
    /// Greatest age of data that those reads accept, in milliseconds.
    #[serde(default)]
    pub max_age_ms: u64,
    /// Groups of the service. At each host, each account opens two connections per group, one of
    /// them for reads that accept data as old as `max_age_ms`.
    pub groups: Vec<String>,
    /// Fraction of the load sent to the first host, from 0 to 1; the rest is spread evenly over
    /// all.
    #[serde(default)]
    pub skew: f64,
    /// Accounts.
    pub accounts: Vec<AccountLoad>,
}

impl LoadPlan {
    /// Parses and validates a plan.
    ///
    /// # Errors
    ///
    /// Fails when the YAML is malformed or a field is out of range; names the field.
    pub fn parse(text: &str) -> Result<Self> {
        let plan: Self = serde_yaml_ng::from_str(text)?;
        for (field, value) in
            [("read_part", plan.read_part), ("aged_part", plan.aged_part), ("skew", plan.skew)]
        {
            if !(0.0..=1.0).contains(&value) {
                bail!("field {field}: {value}: expected a fraction from 0 to 1");
            }
        }
        if plan.hosts.is_empty() || plan.groups.is_empty() {
            bail!("fields hosts and groups: expected at least one of each");
        }
        Ok(plan)
    }
}
