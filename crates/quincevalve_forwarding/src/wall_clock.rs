//! True time from clocks that may jump.

use std::{collections::HashMap, hash::Hash, time::Duration};

use quincevalve_names::TimePoint;

/// Estimates true time as the median of what this VM's and its peers' time of day say.
///
/// Failure: the time of day of some VMs jumps by seconds. Symptom: usage is booked in a window that has
/// passed or not begun. A minority of wrong clocks doesn't move the median.
#[derive(Clone, Debug)]
pub struct WallClock<P> {
    /// Milliseconds of true time at the origin of this VM's steady clock, as each source says.
    offsets: HashMap<P, (TimePoint, i64)>,
    /// The offset that a VM with more sources reckoned, and when.
    trusted: Option<(TimePoint, i64)>,
}

/// What a VM with more sources reckoned counts for this long.
const TRUSTED_FOR: Duration = Duration::from_secs(3);
/// A digest that was on its way for long reads like a clock that is slow. The fastest of so long counts.
const FASTEST_OF: Duration = Duration::from_secs(3);

/// Takes a new offset unless it only looks slow: the time on the way is always lost.
fn fastest(known: Option<(TimePoint, i64)>, new: (TimePoint, i64)) -> (TimePoint, i64) {
    let is_better = |(at, offset): (TimePoint, i64)| offset > new.1 && new.0.since(at) < FASTEST_OF;
    known.filter(|it| is_better(*it)).unwrap_or(new)
}

impl<P> Default for WallClock<P> {
    fn default() -> Self {
        Self { offsets: HashMap::new(), trusted: None }
    }
}

impl<P> WallClock<P>
where
    P: Hash + Eq,
{
    /// Takes one source's time of day, in milliseconds since 1970, read at `at` on this VM's clock.
    pub fn heard(&mut self, source: P, wall_ms: i64, at: TimePoint) {
        let new = (at, wall_ms - (at.as_micros() / 1_000).cast_signed());
        let known = self.offsets.get(&source).copied();
        self.offsets.insert(source, fastest(known, new));
    }

    /// Takes true time as a VM with more sources reckoned it.
    pub fn trust(&mut self, true_ms: i64, at: TimePoint) {
        let new = (at, true_ms - (at.as_micros() / 1_000).cast_signed());
        self.trusted = Some(fastest(self.trusted, new));
    }

    /// Forgets a source that has gone.
    pub fn forget(&mut self, source: &P) {
        self.offsets.remove(source);
    }

    /// True time in milliseconds since 1970; `None` before anything was heard.
    pub fn true_ms(&self, now: TimePoint) -> Option<i64> {
        let now_ms = (now.as_micros() / 1_000).cast_signed();
        if let Some((at, offset)) = self.trusted
            && now.since(at) <= TRUSTED_FOR
        {
            return Some(offset + now_ms);
        }
        let mut offsets: Vec<i64> = self.offsets.values().map(|(_, offset)| *offset).collect();
        offsets.sort_unstable();
        let median = offsets.get(offsets.len().checked_sub(1)? / 2)?;
        Some(median + now_ms)
    }
}
