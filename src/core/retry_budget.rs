//! Bounds what retries add to the load.

/// Retries earned by each request.
const EARNED_BY_REQUEST: f64 = 0.1;
/// Most retries saved up.
const SAVED_MAX: f64 = 20.0;

/// A host's budget of retries: a tenth of its requests, with a little saved up for a fault.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: SAVED_MAX }
    }
}

impl RetryBudget {
    /// Notes a request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_BY_REQUEST).min(SAVED_MAX);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
