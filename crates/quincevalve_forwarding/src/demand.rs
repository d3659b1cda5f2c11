//! The work that callers ask of a service, as each entry VM measures it from what all of them tell.

use std::time::Duration;

use quincevalve_names::TimePoint;

/// Weight of a new second in the running mean of the demand when it is above the mean.
const RISING: f64 = 0.5;
/// The same when it is below: callers come in waves of some ten seconds.
const FALLING: f64 = 0.08;
/// The part of the entry VMs that must be heard before less demand is believed.
const NEARLY_ALL: f64 = 0.8;
/// Time between two looks at least: what comes in a shorter time says little of the demand.
const LEAST_LOOK: Duration = Duration::from_millis(900);
/// Looks at the demand before it is believed; until then the quotas say what to expect. After four, the running mean
/// has nine tenths of a demand that is there from the first.
const LOOKS_BEFORE_BELIEF: u32 = 4;

/// The demand for a service, in servers that would be busy all the time.
#[derive(Clone, Debug, Default)]
pub struct MeasuredDemand {
    last: Option<TimePoint>,
    busy: f64,
    looks: u32,
}

impl MeasuredDemand {
    /// Takes the work that entry VMs take on at present, in busy servers. `part` of them were heard.
    pub fn observe(&mut self, rate: f64, part: f64, now: TimePoint) {
        if self.last.is_some_and(|it| now.since(it) < LEAST_LOOK) {
            return;
        }
        self.last = Some(now);
        // Who isn't heard may have work; less of it is believed only of nearly all.
        let is_higher = rate > self.busy;
        if !is_higher && part < NEARLY_ALL {
            return;
        }
        let weight = if is_higher { RISING } else { FALLING };
        self.busy += weight * (rate - self.busy);
        if self.busy > 0.0 {
            self.looks += 1;
        }
    }

    /// The demand that another VM measured, taken as if it had been measured here.
    pub fn told(busy: f64) -> Self {
        Self { last: None, busy, looks: LOOKS_BEFORE_BELIEF }
    }

    /// Busy servers as measured; `None` before enough was seen.
    pub fn measured(&self) -> Option<f64> {
        (self.looks >= LOOKS_BEFORE_BELIEF).then_some(self.busy)
    }

    /// Whether no work was seen at all.
    pub fn is_none(&self) -> bool {
        self.looks == 0
    }

    /// Servers that would be busy all the time; at least `expected` until enough was seen.
    pub fn busy(&self, expected: f64) -> f64 {
        if self.looks < LOOKS_BEFORE_BELIEF { self.busy.max(expected) } else { self.busy }
    }
}
