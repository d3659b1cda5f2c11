//! Budget per service for retries on another server, over a sliding window.

use std::{collections::VecDeque, time::Duration};

use quincevalve_names::TimePoint;

use crate::shared_limit::SharedLimit;

/// Limits of a service's retries over all entry VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed beyond that, over all entry VMs.
    pub slack: f64,
    /// Window over which both are counted.
    pub window: Duration,
}

/// Fraction of the budget that is used. The rest covers the VMs' windows, which aren't aligned with each other.
const USED_FRACTION: f64 = 0.7;

impl RetryLimits {
    const fn shared(&self) -> SharedLimit {
        SharedLimit { ratio: self.ratio, slack: self.slack }
    }
}

/// How much of its share of a retry budget a VM has used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Retries in the window.
    pub spent: usize,
    /// Retries allowed in the window.
    pub allowed: f64,
}

impl RetryUsage {
    /// Returns whether another retry is allowed.
    pub fn has_remaining(self) -> bool {
        (self.spent + 1) as f64 <= self.allowed
    }
}

/// One entry VM's share of a service's retry budget.
///
/// If servers reject or fail requests and every entry VM retries without a bound, the retries add load that outlasts
/// its cause. Each VM spends only its share of the slack and a ratio of its own requests, so the sum stays below the
/// budget without coordination between the VMs.
///
/// A VM that starts doesn't know what its previous start has spent. Until that is out of the window, it has no share of
/// the slack. What its requests earn can't have been spent before.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_forwarding::retry_budget::{RetryLimits, RetryBudget};
/// use quincevalve_names::TimePoint;
/// let limits = RetryLimits { ratio: 0.2, slack: 20.0, window: Duration::from_secs(10) };
/// let mut budget = RetryBudget::new(TimePoint::ZERO);
/// // One of two VMs: 0.7 × 20 / 2 = 7 retries without any request, but none while another start of it may have spent them.
/// let (early, now) = (TimePoint::from_millis(9_000), TimePoint::from_millis(11_000));
/// assert!(!budget.try_spend(&limits, 2, early));
/// let taken = (0..10).filter(|_| budget.try_spend(&limits, 2, now)).count();
/// assert_eq!(taken, 7);
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Start of this VM's process.
    started_at: TimePoint,
    requests: VecDeque<TimePoint>,
    retries: VecDeque<TimePoint>,
}

impl RetryBudget {
    /// Creates the budget of a VM whose process started at `started_at`.
    pub fn new(started_at: TimePoint) -> Self {
        Self { started_at, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: TimePoint) {
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget of `vm_count` entry VMs; returns `false` if none remains.
    pub fn try_spend(&mut self, limits: &RetryLimits, vm_count: usize, now: TimePoint) -> bool {
        let has_remaining = self.has_remaining(limits, vm_count, now);
        if has_remaining {
            self.retries.push_back(now);
        }
        has_remaining
    }

    /// Returns whether a retry remains in the budget of `vm_count` entry VMs.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quincevalve_forwarding::retry_budget::{RetryLimits, RetryBudget};
    /// use quincevalve_names::TimePoint;
    /// let limits = RetryLimits { ratio: 0.2, slack: 2.0, window: Duration::from_secs(10) };
    /// let mut budget = RetryBudget::new(TimePoint::ZERO);
    /// let now = TimePoint::from_millis(11_000);
    /// assert!(budget.has_remaining(&limits, 1, now));
    /// assert!(budget.try_spend(&limits, 1, now));
    /// assert!(!budget.has_remaining(&limits, 1, now));
    /// ```
    pub fn has_remaining(&mut self, limits: &RetryLimits, vm_count: usize, now: TimePoint) -> bool {
        self.usage(limits, vm_count, now).has_remaining()
    }

    /// Returns how much of the share of one of `vm_count` entry VMs is used.
    pub fn usage(&mut self, limits: &RetryLimits, vm_count: usize, now: TimePoint) -> RetryUsage {
        self.evict_expired(limits.window, now);
        let shared = limits.shared();
        let mut share = shared.ratio_share(self.requests.len() as u64);
        if now.since(self.started_at) > limits.window {
            share += shared.slack_share(vm_count);
        }
        RetryUsage { spent: self.retries.len(), allowed: USED_FRACTION * share }
    }

    /// Records that the retry that was spent at `spent_at` is sent only now. It counts in the window in which it reaches
    /// a server.
    pub fn postpone(&mut self, spent_at: TimePoint, now: TimePoint) {
        if let Some(at) = self.retries.iter().position(|it| *it == spent_at) {
            self.retries.remove(at);
        }
        self.retries.push_back(now);
    }

    fn evict_expired(&mut self, window: Duration, now: TimePoint) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|it| now.since(*it) > window) {
                times.pop_front();
            }
        }
    }
}
