//! The budget for sending a request to a second server, kept per service over a sliding window.

use std::{collections::VecDeque, time::Duration};

use quincevalve_names::TimePoint;

use crate::shared_limit::SharedLimit;

/// What all entry VMs together may send again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that, over all entry VMs.
    pub slack: f64,
    /// The span over which both are counted.
    pub window: Duration,
}

/// Part of the promised budget that is used; the rest covers windows that the VMs count at other offsets.
const USED_PART: f64 = 0.7;

impl RetryLimits {
    const fn shared(&self) -> SharedLimit {
        SharedLimit { ratio: self.ratio, slack: self.slack }
    }
}

/// One entry VM's part of a service's retry budget.
///
/// Failure: servers refuse or fail, and each entry VM sends again. Symptom: the repeats add load that
/// outlasts its cause. Each VM spends only its own share of the slack and a ratio of its own requests, so
/// the sum stays below the budget without the VMs having to agree.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_forwarding::retry_window::{RetryLimits, RetryWindow};
/// use quincevalve_names::TimePoint;
/// let limits = RetryLimits { ratio: 0.2, slack: 20.0, window: Duration::from_secs(10) };
/// let mut window = RetryWindow::default();
/// // One of two VMs: 0.7 × 20 / 2 = 7 repeats without any request.
/// let taken = (0..10).filter(|_| window.spend(&limits, 2, TimePoint::ZERO)).count();
/// assert_eq!(taken, 7);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<TimePoint>,
    repeats: VecDeque<TimePoint>,
}

impl RetryWindow {
    /// Notes the first sending of a request.
    pub fn request(&mut self, now: TimePoint) {
        self.requests.push_back(now);
    }

    /// Takes one repeat out of the budget of `vms` entry VMs; `false` if there is none left.
    pub fn spend(&mut self, limits: &RetryLimits, vms: usize, now: TimePoint) -> bool {
        self.forget(limits.window, now);
        let allowed = USED_PART * limits.shared().part(self.requests.len() as u64, vms);
        if (self.repeats.len() + 1) as f64 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, window: Duration, now: TimePoint) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|it| now.since(*it) > window) {
                times.pop_front();
            }
        }
    }
}
