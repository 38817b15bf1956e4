//! Bounds what retries add to the load.

/// Retries earned by each request.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Most retries saved up.
const RETRIES_MAX: f64 = 20.0;

/// A host's budget of retries: a tenth of its requests, with a little saved up for a fault.
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
    /// Notes a request.
    pub fn earn(&mut self) {
        self.available = (self.available + RETRIES_PER_REQUEST).min(RETRIES_MAX);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
