//! Requests whose answers are compared, while they run.

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::{ServerVersion, ServiceName, TimePoint};

use crate::rollout::evidence::{RouteKey, VersionRole};

/// Names a watched request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TrackingId(u64);

/// A request that goes to a server.
#[derive(Clone, Copy, Debug)]
pub struct TrackedAttempt<'a> {
    /// Its service.
    pub service: &'a ServiceName,
    /// Its route.
    pub route: RouteKey,
    /// The server's version.
    pub version: &'a ServerVersion,
    /// That start of the server.
    pub server: u64,
    /// When the first part of the answer is expected, whatever the server's record; `None` where nothing can be expected,
    /// as the server has just started.
    pub expected: Option<Duration>,
}

/// An answer that is so many times later than expected counts as late before it comes: those that come first are the
/// fast ones.
const OVERDUE: f64 = 2.5;
/// How much later it is expected to come at last.
const OVERDUE_FACTOR: f64 = 2.0;
/// Time beyond that, for requests that take a few milliseconds.
const OVERDUE_MARGIN: Duration = Duration::from_millis(40);

#[derive(Clone, Debug)]
struct Run {
    service: ServiceName,
    route: RouteKey,
    side: VersionRole,
    sent: TimePoint,
    /// Until the time to the first part was noted.
    expected: Option<Duration>,
}

/// The time to the first part of an answer.
pub(super) struct FirstPart {
    pub(super) service: ServiceName,
    pub(super) route: RouteKey,
    pub(super) side: VersionRole,
    /// Against the expected one.
    pub(super) ratio: f64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Runs {
    next: u64,
    runs: IndexMap<TrackingId, Run>,
}

impl Runs {
    pub(super) fn begin(
        &mut self,
        run: TrackedAttempt<'_>,
        side: VersionRole,
        now: TimePoint,
    ) -> TrackingId {
        let ticket = TrackingId(self.next);
        self.next += 1;
        let TrackedAttempt { service, route, expected, .. } = run;
        let run = Run { service: service.clone(), route, side, sent: now, expected };
        self.runs.insert(ticket, run);
        ticket
    }

    pub(super) fn first_part(&mut self, ticket: TrackingId, now: TimePoint) -> Option<FirstPart> {
        let run = self.runs.get_mut(&ticket)?;
        let expected = run.expected.take()?;
        let ratio = ratio(now.since(run.sent), expected);
        Some(FirstPart { service: run.service.clone(), route: run.route, side: run.side, ratio })
    }

    /// Requests of a service that are late already, each once.
    pub(super) fn overdue(
        &mut self,
        service: &ServiceName,
        now: TimePoint,
    ) -> Vec<(RouteKey, VersionRole, f64)> {
        let mut overdue = Vec::new();
        for run in self.runs.values_mut().filter(|it| it.service == *service) {
            let Some(expected) = run.expected else { continue };
            let waited = now.since(run.sent);
            if waited > expected.mul_f64(OVERDUE) + OVERDUE_MARGIN {
                run.expected = None;
                let ratio = ratio(waited, expected) * OVERDUE_FACTOR;
                overdue.push((run.route, run.side, ratio));
            }
        }
        overdue
    }

    pub(super) fn of(&self, ticket: TrackingId) -> Option<(&ServiceName, RouteKey, VersionRole)> {
        self.runs.get(&ticket).map(|it| (&it.service, it.route, it.side))
    }

    pub(super) fn end(&mut self, ticket: TrackingId) {
        self.runs.swap_remove(&ticket);
    }
}

/// The least time that is told apart from none.
const LEAST_EXPECTED: Duration = Duration::from_millis(1);

fn ratio(measured: Duration, expected: Duration) -> f64 {
    measured.max(LEAST_EXPECTED).as_secs_f64() / expected.max(LEAST_EXPECTED).as_secs_f64()
}
