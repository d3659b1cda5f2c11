//! Delay after which a hedge, a second parallel attempt, is started for a slow first attempt.

use std::time::Duration;

/// Number of histogram buckets.
const BUCKETS: usize = 64;
/// A hedge starts at the 95th percentile of the time to first token.
const HEDGE_QUANTILE: f64 = 0.95;
/// Number of observations after which the weight of older ones is halved.
const MAX_OBSERVATIONS: u32 = 512;
/// Minimum number of observations for a hedge. A delay based on fewer could hedge, and so double, all initial
/// traffic.
const MIN_OBSERVATIONS: u32 = 32;

/// Estimates the hedge delay from a histogram of times to first token, with logarithmic buckets.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// let mut hedge_delay = quincevalve_retries::HedgeDelay::default();
/// assert_eq!(hedge_delay.delay(), None);
/// for _ in 0..100 {
///     hedge_delay.observe(Duration::from_millis(20));
/// }
/// assert!(hedge_delay.delay() < Some(Duration::from_millis(40)));
/// ```
#[derive(Clone, Debug)]
pub struct HedgeDelay {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for HedgeDelay {
    fn default() -> Self {
        Self { counts: [0; BUCKETS], total: 0 }
    }
}

impl HedgeDelay {
    /// Records an observed time to first token.
    pub fn observe(&mut self, first_token: Duration) {
        if self.total >= MAX_OBSERVATIONS {
            self.counts.iter_mut().for_each(|it| *it /= 2);
            self.total = self.counts.iter().sum();
        }
        self.counts[bucket(first_token)] += 1;
        self.total += 1;
    }

    /// Returns how long to wait for the first token before hedging, or `None` if there are too few observations.
    pub fn delay(&self) -> Option<Duration> {
        if self.total < MIN_OBSERVATIONS {
            return None;
        }
        let target_count = (f64::from(self.total) * HEDGE_QUANTILE).ceil() as u32;
        let mut cumulative = 0;
        let found = self.counts.iter().position(|it| {
            cumulative += it;
            cumulative >= target_count
        });
        found.map(|it| Duration::from_micros(upper_micros(it)))
    }
}

/// Returns the bucket of a time: four buckets per doubling, starting at 64 microseconds.
fn bucket(time: Duration) -> usize {
    let micros = (time.as_micros().max(1)) as f64;
    let position = (micros / 64.0).log2() * 4.0;
    (position.ceil().max(0.0) as usize).min(BUCKETS - 1)
}

/// Returns the upper bound of a bucket, in microseconds.
fn upper_micros(bucket: usize) -> u64 {
    (64.0 * (bucket as f64 / 4.0).exp2()) as u64
}
