//! Statistics helpers for the experiments' tables.

use std::time::Duration;

/// Returns the smallest value that at least the fraction `share` of all values doesn't exceed.
pub(crate) fn percentile(values: &mut [Duration], share: f64) -> Duration {
    values.sort_unstable();
    let position = (values.len() as f64 * share).ceil() as usize;
    values.get(position.saturating_sub(1)).copied().unwrap_or_default()
}

/// Formats a duration in milliseconds with one decimal.
pub(crate) fn millis(value: Duration) -> String {
    format!("{:.1}", value.as_secs_f64() * 1_000.0)
}
