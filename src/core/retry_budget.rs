//! Limits the extra load that retries put on endpoints.

/// Retries added to the budget by each request.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Most retries that the budget can hold.
const RETRIES_MAX: f64 = 20.0;

/// A host's retry budget: one retry for every ten requests, with a reserve for a burst of failures.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { available: RETRIES_MAX }
    }
}

impl RetryBudget {
    /// Credits the budget for one request.
    pub fn earn(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(RETRIES_MAX);
    }

    /// Takes one retry from the budget; returns false if the budget is used up.
    pub fn spend(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
