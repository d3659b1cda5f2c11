//! Which version's servers get a request.

use std::sync::Arc;

use quincevalve_names::TimePoint;

use super::{Rollout, Stage};
use crate::{
    rollout::{evidence::RouteKey, scope::VersionScope, table::VersionChoice, verdict::Verdict},
    shared_limit::SharedLimit,
};

/// Number of the new version's answers on a route up to which all of the route's requests may use the share.
const MIN_ROUTE_ANSWERS: u32 = 60;
/// Fraction of the requests of other routes that may use the share.
const OTHER_ROUTES_FRACTION: f64 = 0.5;
/// The new version's share of the requests at the beginning of the promotion.
const RAMP_START_SHARE: f64 = 0.12;
/// Fraction of the share that is used once a version looks good. The rest is left to detect faults that show late.
const GOOD_VERSION_FRACTION: f64 = 0.75;

impl Rollout {
    pub(in crate::rollout::table) fn choose(
        &mut self,
        route: RouteKey,
        limit: &SharedLimit,
        draw: f64,
        now: TimePoint,
    ) -> VersionChoice {
        self.exposure.record_request();
        let canaries = self.canaries.clone().filter(|_| {
            self.stage() == Stage::Canary
                && self.is_connected
                && self.may_use_share(route, draw, limit)
        });
        match (canaries, &self.old) {
            (Some(canaries), Some(old)) => VersionChoice::WithFallback(canaries, old.clone()),
            _ if self.stage() == Stage::Promoting => self.choose_while_promoting(draw, now),
            _ => self.choice_for_retry(),
        }
    }

    /// Returns whether a request of that route may use the new version's share now. Routes with few answers of the new
    /// version come first.
    fn may_use_share(&self, route: RouteKey, draw: f64, limit: &SharedLimit) -> bool {
        let Some(vm_rank) = self.vm_rank else { return false };
        let answers = self.comparison.evidence.routes.get(&route).map_or(0, |it| it.new.answers);
        let looks_good = self.comparison.judgement.is_some_and(|it| it.verdict == Verdict::Good);
        let sampled_fraction =
            if looks_good { GOOD_VERSION_FRACTION * limit.ratio } else { OTHER_ROUTES_FRACTION };
        let is_sampled = answers < MIN_ROUTE_ANSWERS || draw < sampled_fraction;
        is_sampled && self.exposure.may_send(limit, vm_rank, self.allowed_fraction)
    }

    /// Returns the servers for a new request during the promotion: a rising share prefers the new version, the rest the
    /// old one.
    fn choose_while_promoting(&self, draw: f64, now: TimePoint) -> VersionChoice {
        let (Some(old), Some(new)) = (self.old.clone(), self.new.clone()) else {
            return VersionChoice::Any;
        };
        let ramp = self.promotion().ramp.as_secs_f64();
        let progress = now.since(self.phase_since).as_secs_f64() / ramp;
        if progress >= 1.0 {
            return VersionChoice::One(new);
        }
        let share = RAMP_START_SHARE.powf(1.0 - progress);
        if draw < share {
            VersionChoice::WithFallback(new, old)
        } else {
            VersionChoice::WithFallback(old, new)
        }
    }

    pub(in crate::rollout::table) fn choice_for_retry(&self) -> VersionChoice {
        let scope = match self.stage() {
            Stage::NoOrder => None,
            Stage::Canary | Stage::Halted => self.old.clone(),
            Stage::Promoting | Stage::Completed => self.new.clone(),
        };
        match scope {
            Some(scope) => VersionChoice::One(scope),
            // Before the first refresh the ordered version gets no requests.
            None => self.target().map_or(VersionChoice::Any, |target| {
                VersionChoice::One(Arc::new(VersionScope::Except(vec![target.clone()])))
            }),
        }
    }
}
