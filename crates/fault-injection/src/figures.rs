//! Figures of many plays.

use std::time::Duration;

use serde::Serialize;

/// How long something took, over all plays, in milliseconds. Percentiles are by nearest rank.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Figures {
    /// How many plays.
    pub plays: usize,
    /// The median.
    pub p50_ms: f64,
    /// 99 of 100 took no longer.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl Figures {
    /// The figures of some plays.
    #[must_use]
    pub fn of(mut durations: Vec<Duration>) -> Figures {
        durations.sort_unstable();
        let percentile = |percent: usize| {
            let rank = (durations.len() * percent).div_ceil(100).max(1);
            durations.get(rank - 1).map_or(0.0, |duration| milliseconds(*duration))
        };
        Figures {
            plays: durations.len(),
            p50_ms: percentile(50),
            p99_ms: percentile(99),
            max_ms: percentile(100),
        }
    }
}

/// Milliseconds, to a hundredth.
fn milliseconds(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 100_000.0).round() / 100.0
}
