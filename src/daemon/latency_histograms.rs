//! Latency histograms, one per name: a client account or a kind of request.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest latency that the histograms distinguish, in microseconds; longer ones count as this.
const LATENCY_MAX_US: u64 = 60_000_000;
/// Decimal digits of precision of the histograms.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Latency quantiles of one name, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LatencyQuantiles {
    /// The median.
    pub p50_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The 99.9th percentile.
    pub p999_us: u64,
}

/// Latency histograms by name.
#[derive(Debug, Default)]
pub struct LatencyHistograms {
    histograms: Mutex<HashMap<String, Histogram<u64>>>,
}

impl LatencyHistograms {
    /// Records the latency of one statement under `name`.
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

    /// Returns the quantiles of `name`; zeros when nothing was recorded.
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
