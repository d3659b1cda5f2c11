//! Estimate of wall-clock time from clocks that may jump.

use std::{collections::HashMap, hash::Hash, time::Duration};

use quincevalve_names::TimePoint;

/// Estimates wall-clock time as the median of the system clocks of this VM and its peers.
///
/// If the system clock of some VMs jumps by seconds, their usage would be counted in a window that has passed or not
/// begun. A minority of wrong clocks doesn't move the median.
#[derive(Clone, Debug)]
pub struct WallClock<P> {
    /// Wall-clock time in milliseconds at the origin of this VM's monotonic clock, by source, with the time of the
    /// reading.
    offsets: HashMap<P, (TimePoint, i64)>,
    /// The offset that a VM with more sources estimated, with the time at which it was received.
    estimated: Option<(TimePoint, i64)>,
}

/// Lifetime of an estimate from a VM with more sources.
const ESTIMATE_TTL: Duration = Duration::from_secs(3);
/// Window within which the fastest reading of a source counts, since a delayed digest looks like one from a slow clock.
const FASTEST_READING_WINDOW: Duration = Duration::from_secs(3);

/// Returns `known` if its offset is greater and its reading still within the window, otherwise `new`: transmission
/// delay only ever makes an offset smaller.
fn fastest(known: Option<(TimePoint, i64)>, new: (TimePoint, i64)) -> (TimePoint, i64) {
    let is_better =
        |(at, offset): (TimePoint, i64)| offset > new.1 && new.0.since(at) < FASTEST_READING_WINDOW;
    known.filter(|it| is_better(*it)).unwrap_or(new)
}

/// Latest wall-clock time that a source may state, in milliseconds since 1970: about the year 5000.
const MAX_WALL_MS: i64 = 100_000_000_000_000;

/// Returns the difference of a wall clock and this VM's clock, or `None` if the wall clock is beyond all times.
fn offset_ms(wall_ms: i64, at: TimePoint) -> Option<i64> {
    let is_time = (0..=MAX_WALL_MS).contains(&wall_ms);
    is_time.then(|| wall_ms.saturating_sub((at.as_micros() / 1_000).cast_signed()))
}

impl<P> Default for WallClock<P> {
    fn default() -> Self {
        Self { offsets: HashMap::new(), estimated: None }
    }
}

impl<P> WallClock<P>
where
    P: Hash + Eq,
{
    /// Records a source's system clock, in milliseconds since 1970, as read at `at` on this VM's monotonic clock.
    pub fn record(&mut self, source: P, wall_ms: i64, at: TimePoint) {
        let Some(offset) = offset_ms(wall_ms, at) else { return };
        let new = (at, offset);
        let known = self.offsets.get(&source).copied();
        self.offsets.insert(source, fastest(known, new));
    }

    /// Records the wall-clock time, in milliseconds since 1970, that a VM with more sources estimated.
    pub fn record_estimate(&mut self, wall_ms: i64, at: TimePoint) {
        let Some(offset) = offset_ms(wall_ms, at) else { return };
        let new = (at, offset);
        self.estimated = Some(fastest(self.estimated, new));
    }

    /// Removes a source that no longer exists.
    pub fn forget(&mut self, source: &P) {
        self.offsets.remove(source);
    }

    /// Returns the estimated wall-clock time in milliseconds since 1970, or `None` if nothing was recorded yet.
    pub fn estimate_ms(&self, now: TimePoint) -> Option<i64> {
        let now_ms = (now.as_micros() / 1_000).cast_signed();
        if let Some((at, offset)) = self.estimated
            && now.since(at) <= ESTIMATE_TTL
        {
            return Some(offset + now_ms);
        }
        let mut offsets: Vec<i64> = self.offsets.values().map(|(_, offset)| *offset).collect();
        offsets.sort_unstable();
        let median = offsets.get(offsets.len().checked_sub(1)? / 2)?;
        Some(median + now_ms)
    }
}
