//! State charts: state machines that are defined in YAML files under `charts/` and interpreted at
//! run time.

use std::collections::{BTreeMap, BTreeSet};

use anyhow::{Context, Result, bail};
use serde::Deserialize;

/// A state machine: named states and their transitions.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateChart {
    /// Name of the chart, used in error messages.
    pub name: String,
    /// Initial state.
    pub start: String,
    /// Transitions of each state: the target state by event.
    pub states: BTreeMap<String, BTreeMap<String, String>>,
}

impl StateChart {
    /// Parses a chart from YAML and validates it.
    ///
    /// # Errors
    ///
    /// Fails if the YAML is malformed, if a transition leads to an undefined state, or if a state
    /// is unreachable from the initial state.
    pub fn parse(text: &str) -> Result<Self> {
        let chart: Self = serde_yaml_ng::from_str(text).context("state chart is malformed")?;
        chart.check()?;
        Ok(chart)
    }

    /// Returns the target of the transition from `state` on `event`.
    pub fn next(&self, state: &str, event: &str) -> Option<&str> {
        self.states.get(state)?.get(event).map(String::as_str)
    }

    /// Checks that every event that the code fires occurs in the chart.
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
