//! Percentiles of measured durations.

use std::time::Duration;

use serde::Serialize;

/// Percentiles of a duration over all runs, in milliseconds, by the nearest-rank method.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct DurationSummary {
    /// Number of measured runs.
    #[serde(rename = "plays")]
    pub runs: usize,
    /// The median in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile in milliseconds; the maximum below 100 runs.
    pub p99_ms: f64,
    /// The maximum in milliseconds.
    pub max_ms: f64,
}

impl DurationSummary {
    /// Summarizes durations; all figures are 0 without durations.
    #[must_use]
    pub fn of(mut durations: Vec<Duration>) -> DurationSummary {
        durations.sort_unstable();
        let percentile = |percent: usize| {
            let rank = (durations.len() * percent).div_ceil(100).max(1);
            durations.get(rank - 1).map_or(0.0, |duration| rounded_ms(*duration))
        };
        DurationSummary {
            runs: durations.len(),
            p50_ms: percentile(50),
            p99_ms: percentile(99),
            max_ms: percentile(100),
        }
    }
}

/// A duration in milliseconds, rounded to a hundredth.
fn rounded_ms(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 100_000.0).round() / 100.0
}
