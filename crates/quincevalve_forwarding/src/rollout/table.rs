//! All roll-outs as one VM tracks them: the versions that its requests are sent to, the evidence that it collects, and
//! the sums that it publishes.

mod attempts;
mod halt;
mod state;

use std::sync::Arc;

use indexmap::IndexMap;
use quincevalve_names::{ServerVersion, ServiceName, TimePoint};

use self::{attempts::TrackedAttempts, state::Rollout};
pub use self::{
    attempts::{TrackedAttempt, TrackingId},
    state::{Comparison, RolloutProgress},
};
use crate::{
    rollout::{
        evidence::{RouteKey, Sample},
        partial_sum::RolloutPartialSums,
        record::{OrderId, RolloutOrder, RolloutRecord},
        scope::VersionScope,
        verdict::{Judgement, Verdict},
    },
    servers::ServerTable,
    shared_limit::{SharedLimit, VmRank},
};

/// The servers that a request may be sent to.
#[derive(Clone, Debug, PartialEq)]
pub enum VersionChoice {
    /// Any server.
    Any,
    /// Only servers of this scope.
    One(Arc<VersionScope>),
    /// Servers of the first scope, or of the second if none of the first has capacity.
    WithFallback(Arc<VersionScope>, Arc<VersionScope>),
}

/// State outside the table that a refresh of a roll-out depends on.
#[derive(Clone, Copy, Debug)]
pub struct RefreshContext {
    /// Wall-clock time in milliseconds, if it is known.
    pub wall_clock_ms: Option<i64>,
    /// Whether the service's servers are model engines.
    pub has_engines: bool,
    /// This VM's rank among all VMs.
    pub vm_rank: VmRank,
    /// Whether the known state of the store is recent and at least half of the VMs are reachable.
    pub is_connected: bool,
}

/// A new version that was just found bad.
#[derive(Clone, Debug, PartialEq)]
pub struct Halt {
    /// The service.
    pub service: ServiceName,
    /// The bad version.
    pub version: ServerVersion,
    /// Whether this VM or another found it bad.
    pub detected_by: DetectedBy,
}

/// Which VM found a version bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DetectedBy {
    /// This VM, by this judgement.
    Here(Judgement),
    /// Another VM.
    Elsewhere,
}

/// All roll-outs as one VM tracks them, by service.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_forwarding::{
///     rollout::{table::{VersionChoice, RolloutTable}, evidence::RouteKey, record::{OrderId, RolloutOrder}},
///     shared_limit::SharedLimit,
/// };
/// use quincevalve_names::TimePoint;
/// let mut table = RolloutTable::new(SharedLimit { ratio: 0.1, slack: 50.0 });
/// let (service, now) = ("engines".into(), TimePoint::ZERO);
/// assert_eq!(table.choose(&service, RouteKey::of("chat"), 0.5, now), VersionChoice::Any);
/// let order = RolloutOrder { id: OrderId(7), to: "v2".into(), duration: Duration::from_secs(60) };
/// table.apply_order(&service, order, true, now);
/// // Until its servers are known the new version gets no requests.
/// assert!(matches!(table.choose(&service, RouteKey::of("chat"), 0.5, now), VersionChoice::One(_)));
/// ```
#[derive(Clone, Debug)]
pub struct RolloutTable {
    limit: SharedLimit,
    rollouts: IndexMap<ServiceName, Rollout>,
    attempts: TrackedAttempts,
    store_era: u64,
}

impl RolloutTable {
    /// Creates an empty table. `limit` bounds the requests to a version that isn't known to be good.
    pub fn new(limit: SharedLimit) -> Self {
        Self {
            limit,
            rollouts: IndexMap::new(),
            attempts: TrackedAttempts::default(),
            store_era: 0,
        }
    }

    /// Returns whether there was never an order or a record.
    pub fn is_idle(&self) -> bool {
        self.rollouts.is_empty()
    }

    /// Records the store's era. In a later era, orders that are known may be lost, and their ids are given out again.
    pub fn record_store_era(&mut self, era: u64) {
        if era > self.store_era {
            self.store_era = era;
            self.rollouts.values_mut().for_each(Rollout::record_later_era);
        }
    }

    /// Applies an order, and returns `false` if it or a later one is known. `was_running` says whether this process had
    /// read the store before the order came.
    pub fn apply_order(
        &mut self,
        service: &ServiceName,
        order: RolloutOrder,
        was_running: bool,
        now: TimePoint,
    ) -> bool {
        let rollout = self.rollouts.entry(service.clone()).or_default();
        rollout.apply_order(order, was_running, now)
    }

    /// Removes a service's order.
    pub fn remove_order(&mut self, service: &ServiceName) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.remove_order();
        }
    }

    /// Applies the record of a roll-out, and returns `false` if it or a later one is known.
    pub fn apply_record(
        &mut self,
        service: &ServiceName,
        record: RolloutRecord,
        now: TimePoint,
    ) -> bool {
        let rollout = self.rollouts.entry(service.clone()).or_default();
        rollout.apply_record(record, now)
    }

    /// Applies all orders and records of the store. Orders that are missing are removed.
    pub fn replace_all(
        &mut self,
        orders: Vec<(ServiceName, RolloutOrder)>,
        records: Vec<(ServiceName, RolloutRecord)>,
        was_running: bool,
        now: TimePoint,
    ) {
        for (service, rollout) in &mut self.rollouts {
            if !orders.iter().any(|(it, _)| it == service) {
                rollout.remove_order();
            }
        }
        for (service, order) in orders {
            self.apply_order(&service, order, was_running, now);
        }
        for (service, record) in records {
            self.apply_record(&service, record, now);
        }
    }

    /// Returns the current orders.
    pub fn orders(&self) -> impl Iterator<Item = (&ServiceName, &RolloutOrder)> {
        self.rollouts.iter().filter_map(|(service, it)| Some((service, it.order()?)))
    }

    /// Returns the known records.
    pub fn records(&self) -> impl Iterator<Item = (&ServiceName, &RolloutRecord)> {
        self.rollouts.iter().filter_map(|(service, it)| Some((service, it.record()?)))
    }

    /// Returns the services that have or had a roll-out.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.rollouts.keys()
    }

    /// Returns the id of the order that a service's roll-out follows, which also determines the ranks of VMs.
    pub fn order_id(&self, service: &ServiceName) -> OrderId {
        self.rollouts.get(service).map_or_else(OrderId::default, Rollout::id)
    }

    /// Replaces the sums of what other VMs reported.
    pub fn set_peer_sums(&mut self, sums: &RolloutPartialSums) {
        for (service, rollout) in &mut self.rollouts {
            rollout.set_peer_sums(sums.get(service));
        }
    }

    /// Returns the partial sums that this VM reports.
    pub fn partial_sums(&mut self, servers: &ServerTable, now: TimePoint) -> RolloutPartialSums {
        let report = |(service, it): (&ServiceName, &mut Rollout)| {
            Some((service.clone(), it.partial_sum(service, servers, now)?))
        };
        self.rollouts.iter_mut().filter_map(report).collect()
    }

    /// Updates a service's roll-out by the current servers and evidence. Returns the new version if it was just found
    /// bad.
    pub fn refresh(
        &mut self,
        service: &ServiceName,
        servers: &ServerTable,
        context: &RefreshContext,
        now: TimePoint,
    ) -> Option<Halt> {
        let rollout = self.rollouts.get_mut(service)?;
        for (route, role, ratio) in self.attempts.overdue(service, now) {
            rollout.add_sample(route, role, Sample::First(ratio), now);
        }
        rollout.refresh(service, servers, &self.limit, context, now)
    }

    /// Returns the servers that a new request of a service may be sent to, and counts the request. `draw` is random,
    /// from 0 to 1.
    pub fn choose(
        &mut self,
        service: &ServiceName,
        route: RouteKey,
        draw: f64,
        now: TimePoint,
    ) -> VersionChoice {
        match self.rollouts.get_mut(service) {
            Some(rollout) => rollout.choose(route, &self.limit, draw, now),
            None => VersionChoice::Any,
        }
    }

    /// Returns the servers that a further attempt of a request may be sent to.
    pub fn choice_for_retry(&self, service: &ServiceName) -> VersionChoice {
        self.rollouts.get(service).map_or(VersionChoice::Any, Rollout::choice_for_retry)
    }

    /// Returns whether a request may still be sent to a server of that version.
    pub fn admits(&self, service: &ServiceName, version: &ServerVersion) -> bool {
        self.rollouts.get(service).is_none_or(|it| it.admits(version))
    }

    /// Returns whether a server of that version counts as capacity in fleet planning.
    pub fn carries_load(&self, service: &ServiceName, version: &ServerVersion) -> bool {
        self.rollouts.get(service).is_none_or(|it| it.carries_load(version))
    }

    /// Returns whether this VM no longer sends to a service's old version, as the promotion's ramp is over.
    pub fn has_switched(&self, service: &ServiceName, now: TimePoint) -> bool {
        self.rollouts.get(service).is_some_and(|it| it.has_switched(now))
    }

    /// Returns whether a new version of the service is being promoted.
    pub fn is_promoting(&self, service: &ServiceName) -> bool {
        self.rollouts.get(service).is_some_and(Rollout::is_promoting)
    }

    /// Returns when servers of that version are expected to stop, or `None` if they aren't.
    pub fn expected_stop(
        &self,
        service: &ServiceName,
        version: &ServerVersion,
    ) -> Option<TimePoint> {
        self.rollouts.get(service)?.expected_stop(version)
    }

    /// Counts an attempt that is sent to a server of this version, also if it is a retry.
    pub fn record_sent(&mut self, service: &ServiceName, version: &ServerVersion) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.record_sent(version);
        }
    }

    /// Starts tracking an attempt, or returns `None` if versions of the service aren't compared.
    pub fn start_tracking(
        &mut self,
        attempt: TrackedAttempt<'_>,
        now: TimePoint,
    ) -> Option<TrackingId> {
        let role = self.rollouts.get(attempt.service)?.role(attempt.version, attempt.server)?;
        Some(self.attempts.begin(attempt, role, now))
    }

    /// Adds the time to the first part of a tracked attempt's answer.
    pub fn add_first_part(&mut self, id: TrackingId, now: TimePoint) {
        let Some(first_part) = self.attempts.first_part(id, now) else { return };
        if let Some(rollout) = self.rollouts.get_mut(&first_part.service) {
            rollout.add_sample(
                first_part.route,
                first_part.role,
                Sample::First(first_part.ratio),
                now,
            );
        }
    }

    /// Adds a sample of a tracked attempt: whether the server succeeded, or the time between events.
    pub fn add_sample(&mut self, id: TrackingId, sample: Sample, now: TimePoint) {
        let Some((service, route, role)) = self.attempts.get(id) else { return };
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.add_sample(route, role, sample, now);
        }
    }

    /// Stops tracking an attempt.
    pub fn stop_tracking(&mut self, id: TrackingId) {
        self.attempts.remove(id);
    }

    /// Returns the comparison of a service's versions, with the evidence that all VMs reported.
    pub fn comparison(&self, service: &ServiceName) -> Option<&Comparison> {
        self.rollouts.get(service).map(Rollout::comparison)
    }

    /// Returns the verdict on a service's new version, found by this VM or another.
    pub fn verdict(&self, service: &ServiceName) -> Verdict {
        self.rollouts.get(service).map_or(Verdict::Undecided, Rollout::verdict)
    }

    /// Returns how far VMs have followed a service's roll-out.
    pub fn progress(&self, service: &ServiceName) -> Option<RolloutProgress> {
        self.rollouts.get(service).map(Rollout::progress)
    }
}
