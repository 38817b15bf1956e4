//! State charts read from YAML files under `charts/` and interpreted by the code.

use std::collections::{BTreeMap, BTreeSet};

use anyhow::{Context, Result, bail};
use serde::Deserialize;

/// A state chart: named states and, for each, the state that each event leads to.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateChart {
    /// The chart's name, used in messages.
    pub name: String,
    /// The state that a cursor starts in.
    pub start: String,
    /// For each state, the target state by event.
    pub states: BTreeMap<String, BTreeMap<String, String>>,
}

impl StateChart {
    /// Parses and checks a chart.
    ///
    /// # Errors
    ///
    /// Fails on malformed YAML, on a target that is no state, and on a state that cannot be
    /// reached from the start.
    pub fn parse(text: &str) -> Result<Self> {
        let chart: Self = serde_yaml_ng::from_str(text).context("malformed state chart")?;
        chart.check()?;
        Ok(chart)
    }

    /// Returns the state that `event` leads to from `state`.
    pub fn next(&self, state: &str, event: &str) -> Option<&str> {
        self.states.get(state)?.get(event).map(String::as_str)
    }

    /// Fails when an event that the code fires appears nowhere in the chart.
    ///
    /// # Errors
    ///
    /// Names the first missing event.
    pub fn require_events(&self, events: &[&str]) -> Result<()> {
        for event in events {
            if !self.states.values().any(|targets| targets.contains_key(*event)) {
                bail!("chart {}: event {event} is missing", self.name);
            }
        }
        Ok(())
    }

    fn check(&self) -> Result<()> {
        if !self.states.contains_key(&self.start) {
            bail!("chart {}: start state {} is unknown", self.name, self.start);
        }
        for (state, targets) in &self.states {
            for (event, target) in targets {
                if !self.states.contains_key(target) {
                    bail!("chart {}: {state} on {event}: unknown state {target}", self.name);
                }
            }
        }
        let reached = self.reachable();
        match self.states.keys().find(|state| !reached.contains(state.as_str())) {
            Some(state) => bail!("chart {}: state {state} cannot be reached", self.name),
            None => Ok(()),
        }
    }

    fn reachable(&self) -> BTreeSet<&str> {
        let mut reached = BTreeSet::new();
        let mut pending = vec![self.start.as_str()];
        while let Some(state) = pending.pop() {
            if reached.insert(state) {
                pending.extend(self.states[state].values().map(String::as_str));
            }
        }
        reached
    }
}
