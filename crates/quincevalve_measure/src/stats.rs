//! Small statistics.

use std::time::Duration;

/// The value that a share of all values doesn't exceed.
pub(crate) fn percentile(values: &mut [Duration], share: f64) -> Duration {
    values.sort_unstable();
    let position = (values.len() as f64 * share).ceil() as usize;
    values.get(position.saturating_sub(1)).copied().unwrap_or_default()
}

/// Milliseconds with one decimal.
pub(crate) fn millis(value: Duration) -> String {
    format!("{:.1}", value.as_secs_f64() * 1_000.0)
}
