//! Measures the demand for a service, from the reports of all entry VMs.

use std::time::Duration;

use quincevalve_names::TimePoint;

use crate::rate::Rate;

/// Weight of a new observation in the moving average of the demand when it is above the average.
const RISING_WEIGHT: f64 = 0.5;
/// Weight of a new observation when it is below the average; lower, since callers come in bursts of about ten seconds.
const FALLING_WEIGHT: f64 = 0.08;
/// Minimum fraction of the entry VMs that must be reachable for a decrease in demand to be accepted.
const MIN_REACHABLE_FRACTION: f64 = 0.8;
/// Minimum interval between two observations; shorter intervals say little about the demand.
const MIN_OBSERVATION_INTERVAL: Duration = Duration::from_millis(900);
/// Minimum number of observations before the measured demand is used; until then, it is estimated from quotas. After
/// four observations, the moving average has reached nine tenths of a constant demand.
const MIN_OBSERVATIONS: u32 = 4;

/// The measured demand for a service, in fully utilized servers.
#[derive(Clone, Debug, Default)]
pub struct MeasuredDemand {
    last_observed_at: Option<TimePoint>,
    busy: f64,
    observations: u32,
}

impl MeasuredDemand {
    /// Records the current rate of work of the entry VMs, in fully utilized servers. `reachable_fraction` is the
    /// fraction of the VMs whose reports it contains.
    pub fn observe(&mut self, rate: f64, reachable_fraction: f64, now: TimePoint) {
        if self.last_observed_at.is_some_and(|it| now.since(it) < MIN_OBSERVATION_INTERVAL) {
            return;
        }
        self.last_observed_at = Some(now);
        // Unreachable VMs may have work, so a decrease is accepted only when nearly all VMs are reachable.
        let is_higher = rate > self.busy;
        if !is_higher && reachable_fraction < MIN_REACHABLE_FRACTION {
            return;
        }
        let weight = if is_higher { RISING_WEIGHT } else { FALLING_WEIGHT };
        self.busy += weight * (rate - self.busy);
        if self.busy > 0.0 {
            self.observations += 1;
        }
    }

    /// Creates a demand that another VM measured, as if it had been measured here.
    pub fn from_report(busy: f64) -> Self {
        Self { last_observed_at: None, busy, observations: MIN_OBSERVATIONS }
    }

    /// Returns the measured demand in fully utilized servers; `None` before there are enough observations.
    pub fn measured(&self) -> Option<f64> {
        (self.observations >= MIN_OBSERVATIONS).then_some(self.busy)
    }

    /// Returns whether no work was observed.
    pub fn has_no_observations(&self) -> bool {
        self.observations == 0
    }

    /// Returns the demand in fully utilized servers; at least `expected` until there are enough observations.
    pub fn busy(&self, expected: f64) -> f64 {
        if self.observations < MIN_OBSERVATIONS { self.busy.max(expected) } else { self.busy }
    }
}

/// Time window over which a VM averages its rate of work before reporting it. The fleet planner evaluates the demand
/// once a second.
const WORK_RATE_WINDOW: Duration = Duration::from_secs(1);

/// The rate of work that one VM accepts for a service.
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
    /// Creates a rate without any work.
    pub const fn new(now: TimePoint) -> Self {
        Self { busy: Rate::new(WORK_RATE_WINDOW, now), requests: Rate::new(WORK_RATE_WINDOW, now) }
    }

    /// Records a request that keeps a server busy for `busy_seconds`.
    pub fn add(&mut self, busy_seconds: f64, now: TimePoint) {
        self.busy.add(busy_seconds, now);
        self.requests.add(1.0, now);
    }

    /// Returns the current rate of work in fully utilized servers.
    pub fn busy(&self, now: TimePoint) -> f64 {
        self.busy.per_second(now)
    }

    /// Returns the average seconds for which a request keeps a server busy; `None` without recent requests.
    pub fn busy_seconds_per_request(&self, now: TimePoint) -> Option<f64> {
        let requests = self.requests.per_second(now);
        (requests > MIN_REQUEST_RATE).then(|| self.busy(now) / requests)
    }
}

/// Minimum rate, in requests per second, to count as having recent requests.
const MIN_REQUEST_RATE: f64 = 0.1;
