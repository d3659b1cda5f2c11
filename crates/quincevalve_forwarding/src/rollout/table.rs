//! One VM's part in all roll-outs: where its requests go, what it sees, and what it tells.

mod attempts;
mod halt;
mod state;

use std::sync::Arc;

use indexmap::IndexMap;
use quincevalve_names::{ServerVersion, ServiceName, TimePoint};

use self::{attempts::Runs, state::Rollout};
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

/// Where a request may go.
#[derive(Clone, Debug, PartialEq)]
pub enum VersionChoice {
    /// To any server.
    Any,
    /// To these.
    One(Arc<VersionScope>),
    /// To the first, and where they have no room to the second.
    WithFallback(Arc<VersionScope>, Arc<VersionScope>),
}

/// What a VM knows beside a roll-out when it goes on with it.
#[derive(Clone, Copy, Debug)]
pub struct RefreshContext {
    /// True time in milliseconds, if it is known.
    pub wall_clock_ms: Option<i64>,
    /// Whether the service's servers are model engines.
    pub has_engines: bool,
    /// This VM's place among all VMs.
    pub vm_rank: VmRank,
    /// Whether what is known of the store is new, and most VMs are heard.
    pub is_connected: bool,
}

/// A new version that was found bad here.
#[derive(Clone, Debug, PartialEq)]
pub struct Halt {
    /// Of this service.
    pub service: ServiceName,
    /// The version.
    pub version: ServerVersion,
    /// By whom it was found.
    pub detected_by: DetectedBy,
}

/// By whom a version was found bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DetectedBy {
    /// By this VM, from these figures.
    Here(Judgement),
    /// By another.
    Elsewhere,
}

/// All roll-outs as one VM sees them.
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
/// // Until its servers are known the new version gets nothing.
/// assert!(matches!(table.choose(&service, RouteKey::of("chat"), 0.5, now), VersionChoice::One(_)));
/// ```
#[derive(Clone, Debug)]
pub struct RolloutTable {
    limit: SharedLimit,
    rollouts: IndexMap<ServiceName, Rollout>,
    runs: Runs,
}

impl RolloutTable {
    /// Begins without any; `limit` is how many requests a version may get that isn't known to be good.
    pub fn new(limit: SharedLimit) -> Self {
        Self { limit, rollouts: IndexMap::new(), runs: Runs::default() }
    }

    /// Whether nothing was ever ordered.
    pub fn is_idle(&self) -> bool {
        self.rollouts.is_empty()
    }

    /// Takes an order; `false` if it is known. `was_running` says whether this process knew the store before it.
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

    /// Takes it that an order was removed.
    pub fn remove_order(&mut self, service: &ServiceName) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.remove_order();
        }
    }

    /// Takes the record of a roll-out; `false` if it is known.
    pub fn apply_record(
        &mut self,
        service: &ServiceName,
        record: RolloutRecord,
        now: TimePoint,
    ) -> bool {
        let rollout = self.rollouts.entry(service.clone()).or_default();
        rollout.apply_record(record, now)
    }

    /// Takes all orders and records; those that are missing were removed.
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

    /// The orders that stand.
    pub fn orders(&self) -> impl Iterator<Item = (&ServiceName, &RolloutOrder)> {
        self.rollouts.iter().filter_map(|(service, it)| Some((service, it.order()?)))
    }

    /// The records that are known.
    pub fn records(&self) -> impl Iterator<Item = (&ServiceName, &RolloutRecord)> {
        self.rollouts.iter().filter_map(|(service, it)| Some((service, it.record()?)))
    }

    /// The services that have or had a roll-out.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.rollouts.keys()
    }

    /// The order that a service's roll-out follows, for the order of VMs.
    pub fn order_id(&self, service: &ServiceName) -> OrderId {
        self.rollouts.get(service).map_or_else(OrderId::default, Rollout::id)
    }

    /// Takes what others told.
    pub fn set_peer_sums(&mut self, shares: &RolloutPartialSums) {
        for (service, rollout) in &mut self.rollouts {
            rollout.set_peer_sums(shares.get(service));
        }
    }

    /// What this VM tells.
    pub fn partial_sums(&mut self, servers: &ServerTable, now: TimePoint) -> RolloutPartialSums {
        let tell = |(service, it): (&ServiceName, &mut Rollout)| {
            Some((service.clone(), it.share(service, servers, now)?))
        };
        self.rollouts.iter_mut().filter_map(tell).collect()
    }

    /// Goes on with a service's roll-out: which servers are there, what the answers say. Returns the version if it was
    /// just found bad.
    pub fn refresh(
        &mut self,
        service: &ServiceName,
        servers: &ServerTable,
        around: &RefreshContext,
        now: TimePoint,
    ) -> Option<Halt> {
        let rollout = self.rollouts.get_mut(service)?;
        for (route, side, ratio) in self.runs.overdue(service, now) {
            rollout.add_sample(route, side, Sample::First(ratio), now);
        }
        rollout.refresh(service, servers, &self.limit, around, now)
    }

    /// Where a new request of a service may go; it counts from now on. `draw` is random, from 0 to 1.
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

    /// Where a request may go that goes to one more server.
    pub fn choice_for_retry(&self, service: &ServiceName) -> VersionChoice {
        self.rollouts.get(service).map_or(VersionChoice::Any, Rollout::choice_for_retry)
    }

    /// Whether a request may still be sent to a server of that version.
    pub fn admits(&self, service: &ServiceName, version: &ServerVersion) -> bool {
        self.rollouts.get(service).is_none_or(|it| it.admits(version))
    }

    /// Whether a server of that version counts for the plan of the fleet.
    pub fn carries_load(&self, service: &ServiceName, version: &ServerVersion) -> bool {
        self.rollouts.get(service).is_none_or(|it| it.carries_load(version))
    }

    /// Whether this VM sends nothing to a service's old version any more.
    pub fn has_switched(&self, service: &ServiceName, now: TimePoint) -> bool {
        self.rollouts.get(service).is_some_and(|it| it.has_switched(now))
    }

    /// Whether the versions of a service change places at present.
    pub fn is_promoting(&self, service: &ServiceName) -> bool {
        self.rollouts.get(service).is_some_and(Rollout::is_promoting)
    }

    /// When servers of that version are expected to stop; `None` where nothing says so.
    pub fn expected_stop(
        &self,
        service: &ServiceName,
        version: &ServerVersion,
    ) -> Option<TimePoint> {
        self.rollouts.get(service)?.expected_stop(version)
    }

    /// Notes that a request is sent to a server, for whatever reason.
    pub fn record_sent(&mut self, service: &ServiceName, version: &ServerVersion) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.record_sent(version);
        }
    }

    /// Watches how a request is answered, where versions are compared.
    pub fn start_tracking(
        &mut self,
        run: TrackedAttempt<'_>,
        now: TimePoint,
    ) -> Option<TrackingId> {
        let side = self.rollouts.get(run.service)?.side(run.version, run.server)?;
        Some(self.runs.begin(run, side, now))
    }

    /// Notes the first part of a watched request's answer.
    pub fn add_first_part(&mut self, ticket: TrackingId, now: TimePoint) {
        let Some(first) = self.runs.first_part(ticket, now) else { return };
        if let Some(rollout) = self.rollouts.get_mut(&first.service) {
            rollout.add_sample(first.route, first.side, Sample::First(first.ratio), now);
        }
    }

    /// Notes whether the server succeeded, or the time between events.
    pub fn add_sample(&mut self, ticket: TrackingId, sample: Sample, now: TimePoint) {
        let Some((service, route, side)) = self.runs.of(ticket) else { return };
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.add_sample(route, side, sample, now);
        }
    }

    /// Ends the watch of a request.
    pub fn stop_tracking(&mut self, ticket: TrackingId) {
        self.runs.end(ticket);
    }

    /// What the answers of a service's versions say, and the answers, as far as all VMs told.
    pub fn comparison(&self, service: &ServiceName) -> Option<&Comparison> {
        self.rollouts.get(service).map(Rollout::comparison)
    }

    /// The verdict on a service's new version, found here or elsewhere.
    pub fn verdict(&self, service: &ServiceName) -> Verdict {
        self.rollouts.get(service).map_or(Verdict::Undecided, Rollout::verdict)
    }

    /// What all VMs told of a service's roll-out and what this one has to tell.
    pub fn progress(&self, service: &ServiceName) -> Option<RolloutProgress> {
        self.rollouts.get(service).map(Rollout::progress)
    }
}
