//! The work that callers ask of a service, as each entry VM measures it from what all of them tell.

use std::time::Duration;

use quincevalve_names::TimePoint;

use crate::rate::Rate;

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
    pub fn from_report(busy: f64) -> Self {
        Self { last: None, busy, looks: LOOKS_BEFORE_BELIEF }
    }

    /// Busy servers as measured; `None` before enough was seen.
    pub fn measured(&self) -> Option<f64> {
        (self.looks >= LOOKS_BEFORE_BELIEF).then_some(self.busy)
    }

    /// Whether no work was seen at all.
    pub fn has_no_observations(&self) -> bool {
        self.looks == 0
    }

    /// Servers that would be busy all the time; at least `expected` until enough was seen.
    pub fn busy(&self, expected: f64) -> f64 {
        if self.looks < LOOKS_BEFORE_BELIEF { self.busy.max(expected) } else { self.busy }
    }
}

/// Time over which the work that comes to a VM is taken before it is told: the plan of the fleet looks at it each
/// second.
const WORK_TIME: Duration = Duration::from_secs(1);

/// The work that one VM takes on for a service.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::demand::WorkRate;
/// use quincevalve_names::TimePoint;
/// let mut work = WorkRate::new(TimePoint::ZERO);
/// assert_eq!(work.busy_seconds_per_request(TimePoint::ZERO), None);
/// (0..8).for_each(|_| work.add(0.5, TimePoint::ZERO));
/// assert_eq!(work.busy(TimePoint::ZERO), 4.0);
/// assert_eq!(work.busy_seconds_per_request(TimePoint::ZERO), Some(0.5));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct WorkRate {
    busy: Rate,
    requests: Rate,
}

impl WorkRate {
    /// Without any work.
    pub const fn new(now: TimePoint) -> Self {
        Self { busy: Rate::new(WORK_TIME, now), requests: Rate::new(WORK_TIME, now) }
    }

    /// Takes a request that would keep a server busy for so many seconds.
    pub fn add(&mut self, busy_seconds: f64, now: TimePoint) {
        self.busy.add(busy_seconds, now);
        self.requests.add(1.0, now);
    }

    /// Busy servers, as of now.
    pub fn busy(&self, now: TimePoint) -> f64 {
        self.busy.per_second(now)
    }

    /// Seconds for which a request keeps a server busy; `None` where none came lately.
    pub fn busy_seconds_per_request(&self, now: TimePoint) -> Option<f64> {
        let requests = self.requests.per_second(now);
        (requests > RECENT_REQUESTS).then(|| self.busy(now) / requests)
    }
}

/// Requests a second below which none came lately.
const RECENT_REQUESTS: f64 = 0.1;
