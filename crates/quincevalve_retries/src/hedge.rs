//! When a second attempt is started beside a slow first one.

use std::time::Duration;

const BUCKETS: usize = 64;
/// A hedge starts where 95 in 100 first tokens would have come.
const QUANTILE: f64 = 0.95;
/// Observations after which older ones weigh half.
const HALF_LIFE: u32 = 512;
/// Observations below which no hedge starts: a guess would double cold traffic.
const WARM: u32 = 32;

/// Learns how long first tokens take, in logarithmic buckets.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// let mut clock = quincevalve_retries::HedgeClock::default();
/// assert_eq!(clock.delay(), None);
/// for _ in 0..100 {
///     clock.observe(Duration::from_millis(20));
/// }
/// assert!(clock.delay() < Some(Duration::from_millis(40)));
/// ```
#[derive(Clone, Debug)]
pub struct HedgeClock {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for HedgeClock {
    fn default() -> Self {
        Self { counts: [0; BUCKETS], total: 0 }
    }
}

impl HedgeClock {
    /// Takes one measured time to a first token.
    pub fn observe(&mut self, first_token: Duration) {
        if self.total >= HALF_LIFE {
            self.counts.iter_mut().for_each(|it| *it /= 2);
            self.total = self.counts.iter().sum();
        }
        self.counts[bucket(first_token)] += 1;
        self.total += 1;
    }

    /// How long to wait for the first token before a hedge. `None` while too little is known.
    pub fn delay(&self) -> Option<Duration> {
        if self.total < WARM {
            return None;
        }
        let wanted = (f64::from(self.total) * QUANTILE).ceil() as u32;
        let mut seen = 0;
        let found = self.counts.iter().position(|it| {
            seen += it;
            seen >= wanted
        });
        found.map(|it| Duration::from_micros(upper_micros(it)))
    }
}

/// Four buckets to a doubling, from 64 microseconds up.
fn bucket(time: Duration) -> usize {
    let micros = (time.as_micros().max(1)) as f64;
    let position = (micros / 64.0).log2() * 4.0;
    (position.ceil().max(0.0) as usize).min(BUCKETS - 1)
}

fn upper_micros(bucket: usize) -> u64 {
    (64.0 * (bucket as f64 / 4.0).exp2()) as u64
}
