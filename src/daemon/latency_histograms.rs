//! Latency histograms by name: of client accounts, or of kinds of requests.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

/// The longest latency kept apart, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// Latency quantiles under one name, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LatencyQuantiles {
    /// Median.
    pub p50_us: u64,
    /// Exceeded by one statement in a hundred.
    pub p99_us: u64,
    /// Exceeded by one statement in a thousand.
    pub p999_us: u64,
}

/// Latency histograms by name.
#[derive(Debug, Default)]
pub struct LatencyHistograms {
    histograms: Mutex<HashMap<String, Histogram<u64>>>,
}

impl LatencyHistograms {
    /// Records the latency of one statement under a name.
    pub fn record(&self, name: &str, latency: Duration) {
        let mut histograms = self.histograms.lock().unwrap_or_else(PoisonError::into_inner);
        if !histograms.contains_key(name) {
            let Ok(histogram) = Histogram::new_with_bounds(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS)
            else {
                return;
            };
            histograms.insert(name.to_owned(), histogram);
        }
        if let Some(histogram) = histograms.get_mut(name) {
            histogram.saturating_record(latency.as_micros() as u64);
        }
    }

    /// Returns the quantiles under a name.
    pub fn quantiles(&self, name: &str) -> LatencyQuantiles {
        let histograms = self.histograms.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(histogram) = histograms.get(name) else { return LatencyQuantiles::default() };
        LatencyQuantiles {
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
        }
    }
}
