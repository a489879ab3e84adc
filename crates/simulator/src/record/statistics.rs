//! Averages, spreads and quantiles.

/// The mean; none of nothing.
pub(super) fn average<'a>(all: impl Iterator<Item = &'a f64>) -> Option<f64> {
    let (sum, count) = all.fold((0.0, 0), |(sum, count), one| (sum + one, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}

/// Coefficient of variation; 0 where there is nothing.
pub(super) fn variation(all: &[f64]) -> f64 {
    let Some(mean) = average(all.iter()).filter(|m| *m > 0.0) else { return 0.0 };
    let variance = all.iter().map(|one| (one - mean).powi(2)).sum::<f64>() / all.len() as f64;
    variance.sqrt() / mean
}

/// What a share `q` of sorted figures doesn't exceed; 0 where there are none.
pub(super) fn quantile(sorted: &[f64], q: f64) -> f64 {
    let rank = (sorted.len() as f64 * q).ceil() as usize;
    let at = rank.clamp(1, sorted.len().max(1)) - 1;
    sorted.get(at).copied().unwrap_or(0.0)
}

/// Four places are more than the figures bear.
pub(super) fn round(figure: f64) -> f64 {
    (figure * 10_000.0).round() / 10_000.0
}
