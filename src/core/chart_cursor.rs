//! An instance of a state chart: the current state of one group, connection or other object.

use std::sync::Arc;

use crate::core::state_chart;

/// The current state of one object, changed by events according to its chart.
#[derive(Debug, Clone)]
pub struct ChartCursor {
    chart: Arc<state_chart::StateChart>,
    state: String,
}

impl ChartCursor {
    /// Creates an instance in the chart's start state.
    pub fn new(chart: Arc<state_chart::StateChart>) -> Self {
        let state = chart.start.clone();
        Self { chart, state }
    }

    /// Returns the name of the current state.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Makes the transition for `event`. Returns false and keeps the state if the chart has no such
    /// transition from it.
    pub fn fire(&mut self, event: &str) -> bool {
        match self.chart.next(&self.state, event) {
            Some(next) => {
                self.state = next.to_owned();
                true
            }
            None => false,
        }
    }
}
