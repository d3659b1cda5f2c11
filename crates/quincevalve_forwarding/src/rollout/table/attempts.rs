//! Attempts in flight whose answers are compared.

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::{Scaled, ServerVersion, ServiceName, TimePoint};

use crate::rollout::evidence::{RouteKey, VersionRole};

/// Identifies a tracked attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TrackingId(u64);

/// An attempt to have a server process a request.
#[derive(Clone, Copy, Debug)]
pub struct TrackedAttempt<'a> {
    /// The request's service.
    pub service: &'a ServiceName,
    /// The request's route.
    pub route: RouteKey,
    /// The server's version.
    pub version: &'a ServerVersion,
    /// The server's start hash.
    pub server: u64,
    /// Expected time to the first part of the answer, regardless of how slow the server has been. `None` if there is no
    /// expectation, as the server has just started.
    pub expected: Option<Duration>,
}

/// Factor of the expected time after which an answer counts as late before it arrives. If only answers that have
/// arrived counted, the fast ones would be overrepresented.
const OVERDUE_THRESHOLD: f64 = 2.5;
/// Factor by which the final time of a late answer is assumed to exceed the time waited so far.
const OVERDUE_FACTOR: f64 = 2.0;
/// Margin added to [`OVERDUE_THRESHOLD`], for requests that take only a few milliseconds.
const OVERDUE_MARGIN: Duration = Duration::from_millis(40);

#[derive(Clone, Debug)]
struct Attempt {
    service: ServiceName,
    route: RouteKey,
    role: VersionRole,
    sent: TimePoint,
    /// The expected time to the first part; `None` once the measured time was recorded.
    expected: Option<Duration>,
}

/// The relative time to the first part of an answer.
pub(super) struct FirstPart {
    pub(super) service: ServiceName,
    pub(super) route: RouteKey,
    pub(super) role: VersionRole,
    /// Ratio of the measured to the expected time.
    pub(super) ratio: f64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct TrackedAttempts {
    next: u64,
    attempts: IndexMap<TrackingId, Attempt>,
}

impl TrackedAttempts {
    pub(super) fn begin(
        &mut self,
        attempt: TrackedAttempt<'_>,
        role: VersionRole,
        now: TimePoint,
    ) -> TrackingId {
        let id = TrackingId(self.next);
        self.next += 1;
        let TrackedAttempt { service, route, expected, .. } = attempt;
        let attempt = Attempt { service: service.clone(), route, role, sent: now, expected };
        self.attempts.insert(id, attempt);
        id
    }

    pub(super) fn first_part(&mut self, id: TrackingId, now: TimePoint) -> Option<FirstPart> {
        let attempt = self.attempts.get_mut(&id)?;
        let expected = attempt.expected.take()?;
        let ratio = ratio(now.since(attempt.sent), expected);
        Some(FirstPart {
            service: attempt.service.clone(),
            route: attempt.route,
            role: attempt.role,
            ratio,
        })
    }

    /// Returns the service's attempts that are late already, each attempt only once.
    pub(super) fn overdue(
        &mut self,
        service: &ServiceName,
        now: TimePoint,
    ) -> Vec<(RouteKey, VersionRole, f64)> {
        let mut overdue = Vec::new();
        for attempt in self.attempts.values_mut().filter(|it| it.service == *service) {
            let Some(expected) = attempt.expected else { continue };
            let waited = now.since(attempt.sent);
            if waited > expected.scaled(OVERDUE_THRESHOLD) + OVERDUE_MARGIN {
                attempt.expected = None;
                let ratio = ratio(waited, expected) * OVERDUE_FACTOR;
                overdue.push((attempt.route, attempt.role, ratio));
            }
        }
        overdue
    }

    pub(super) fn get(&self, id: TrackingId) -> Option<(&ServiceName, RouteKey, VersionRole)> {
        self.attempts.get(&id).map(|it| (&it.service, it.route, it.role))
    }

    pub(super) fn remove(&mut self, id: TrackingId) {
        self.attempts.swap_remove(&id);
    }
}

/// Minimum time used in a ratio of times.
const MIN_TIME: Duration = Duration::from_millis(1);

fn ratio(measured: Duration, expected: Duration) -> f64 {
    measured.max(MIN_TIME).as_secs_f64() / expected.max(MIN_TIME).as_secs_f64()
}
