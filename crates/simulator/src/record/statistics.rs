//! Averages, coefficients of variation, quantiles and rounding.

/// Arithmetic mean; `None` without values.
pub(super) fn average<'a>(values: impl Iterator<Item = &'a f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0), |(sum, count), value| (sum + value, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}

/// Coefficient of variation; 0 without values or if their mean is not positive.
pub(super) fn variation(values: &[f64]) -> f64 {
    let Some(mean) = average(values.iter()).filter(|mean| *mean > 0.0) else { return 0.0 };
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / values.len() as f64;
    variance.sqrt() / mean
}

/// Quantile `q` of ascending values by nearest rank; 0 without values.
pub(super) fn quantile(sorted: &[f64], q: f64) -> f64 {
    let rank = (sorted.len() as f64 * q).ceil() as usize;
    let index = rank.clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).copied().unwrap_or(0.0)
}

/// Rounds to four decimal places.
pub(super) fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
