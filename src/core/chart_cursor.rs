//! A position in a state chart.

use std::sync::Arc;

use crate::core::state_chart;

/// The current state of one life cycle, moved by events of its chart.
#[derive(Debug, Clone)]
pub struct ChartCursor {
    chart: Arc<state_chart::StateChart>,
    state: String,
}

impl ChartCursor {
    /// Places a cursor at the chart's start.
    pub fn new(chart: Arc<state_chart::StateChart>) -> Self {
        let state = chart.start.clone();
        Self { chart, state }
    }

    /// Returns the current state's name.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Moves along `event`; returns false and stays when the chart has no such transition.
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
