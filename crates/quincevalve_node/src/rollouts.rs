//! Connects [`quincevalve_forwarding::rollout`] with the process.
//!
//! Applies orders and records from the store, chooses versions for requests and tracks attempts for the comparison of
//! versions.

use std::rc::Rc;

use quincevalve_forwarding::{
    load::step_ms,
    placement::Placement,
    rollout::{
        evidence::{RouteKey, Sample},
        record::{RolloutOrder, RolloutRecord},
        table::{Halt, RefreshContext, TrackedAttempt, TrackingId, VersionChoice},
    },
    servers::start_hash,
};
use quincevalve_names::{Scaled, ServiceName};
use rand::RngExt;

use crate::{clock, node::Node, ports::SystemItem, request::identify::IdentifiedRequest};

/// Prefix of the store keys of roll-outs; the service's name follows, and the value is a [`RolloutRecord`].
pub(crate) const ROLLOUT_KEY_PREFIX: &str = "rollout/";
/// Minimum fraction of VMs that must be reachable for this VM to judge the new version's answers.
const MIN_REACHABLE_FRACTION: f64 = 0.5;
/// Maximum age of the freshness confirmation for this VM to judge the new version's answers, as a fraction of
/// `Bounds::change_in_force`.
const FRESH_FRACTION: f64 = 0.6;

/// Returns the store key of a service's record.
pub(crate) fn rollout_key(service: &ServiceName) -> String {
    format!("{ROLLOUT_KEY_PREFIX}{}", service.as_str())
}

/// Parses the record of a store item; returns `None` for other items and unreadable records.
pub(crate) fn parse_record(key: &str, value: &[u8]) -> Option<(ServiceName, RolloutRecord)> {
    let service = key.strip_prefix(ROLLOUT_KEY_PREFIX)?;
    match serde_json::from_slice(value) {
        Ok(record) => Some((service.into(), record)),
        Err(error) => {
            log::error!(key, error:% = error; "rollout-record-unreadable");
            None
        }
    }
}

/// Returns the records among these items.
pub(crate) fn parse_records(items: &[SystemItem]) -> Vec<(ServiceName, RolloutRecord)> {
    items.iter().filter_map(|it| parse_record(&it.key, &it.value)).collect()
}

/// Applies an order from the store, or its removal.
pub(crate) fn apply_order(node: &Node, service: &ServiceName, order: Option<RolloutOrder>) {
    let mut rollouts = node.rollouts.borrow_mut();
    let Some(order) = order else {
        log::info!(service = service.as_str(); "rollout-order-removed");
        return rollouts.remove_order(service);
    };
    let (id, to, seconds) = (order.id.0, order.to.clone(), order.duration.as_secs_f64());
    if rollouts.apply_order(service, order, true, clock::now()) {
        log::info!(service = service.as_str(), order = id, to:% = to, seconds; "rollout-ordered");
    }
    drop(rollouts);
    refresh_service(node, service);
}

/// Applies a roll-out's record from the store.
pub(crate) fn apply_record(node: &Node, service: &ServiceName, record: RolloutRecord) {
    let (id, to, phase) = (record.order.0, record.to.clone(), record.phase);
    if node.rollouts.borrow_mut().apply_record(service, record, clock::now()) {
        log::info!(service = service.as_str(), order = id, to:% = to, phase:? = phase; "rollout-phase");
    }
    refresh_service(node, service);
}

/// Replaces all orders and records.
pub(crate) fn replace_all(
    node: &Node,
    orders: Vec<(ServiceName, RolloutOrder)>,
    records: Vec<(ServiceName, RolloutRecord)>,
    was_running: bool,
) {
    node.rollouts.borrow_mut().replace_all(orders, records, was_running, clock::now());
    refresh(node);
}

/// Updates all roll-outs from the current state of the process.
pub(crate) fn refresh(node: &Node) {
    let services: Vec<_> = node.rollouts.borrow().services().cloned().collect();
    for service in &services {
        refresh_service(node, service);
    }
}

fn refresh_service(node: &Node, service: &ServiceName) {
    let order = node.rollouts.borrow().order_id(service);
    let now = clock::now();
    let config = node.config();
    let engine = config.as_ref().and_then(|it| it.services.get(service)?.engine);
    let context = RefreshContext {
        wall_clock_ms: node.wall_clock.borrow().estimate_ms(now),
        has_engines: engine.is_some(),
        vm_rank: node.peers.borrow().table.rank(order.0),
        is_connected: is_connected(node),
    };
    let mut rollouts = node.rollouts.borrow_mut();
    let halt = rollouts.refresh(service, &node.servers.borrow(), &context, now);
    if let Some(Halt { service, version, detected_by }) = halt {
        log::warn!(
            service = service.as_str(), version:% = version, order = order.0, found:? = detected_by;
            "rollout-halted"
        );
        drop(rollouts);
        node.changed.notify_waiters();
    }
}

/// Returns whether this VM is fresh enough and reaches enough VMs to judge a new version.
fn is_connected(node: &Node) -> bool {
    let limit = node.settings.bounds.change_in_force.scaled(FRESH_FRACTION);
    let is_fresh = node.freshness.get().is_within(limit, clock::now());
    is_fresh && node.peers.borrow().reachable_fraction() >= MIN_REACHABLE_FRACTION
}

/// Returns which versions' servers a new request may be sent to.
pub(crate) fn choose_versions(node: &Node, req: &IdentifiedRequest) -> VersionChoice {
    if node.rollouts.borrow().is_idle() {
        return VersionChoice::Any;
    }
    let draw = node.rng.borrow_mut().random();
    let route = RouteKey::of(&req.route.name);
    node.rollouts.borrow_mut().choose(&req.service, route, draw, clock::now())
}

/// Returns which versions' servers a retried request may be sent to.
pub(crate) fn choice_for_retry(node: &Node, service: &ServiceName) -> VersionChoice {
    node.rollouts.borrow().choice_for_retry(service)
}

/// Tracks how one attempt is answered while versions are compared. Tracking ends when the value is dropped.
pub(crate) struct AttemptTracker {
    node: Rc<Node>,
    tracking_id: TrackingId,
    /// Number of requests at the server when the attempt was placed.
    known_requests: u32,
}

impl AttemptTracker {
    /// Starts tracking an attempt; returns `None` if no versions are compared.
    pub(crate) fn start(
        node: &Rc<Node>,
        req: &IdentifiedRequest,
        place: &Placement,
    ) -> Option<Self> {
        let mut rollouts = node.rollouts.borrow_mut();
        if rollouts.is_idle() {
            return None;
        }
        let attempt = TrackedAttempt {
            service: &req.service,
            route: RouteKey::of(&req.route.name),
            version: &place.version,
            server: start_hash(&place.server, place.start),
            expected: place.baseline,
        };
        let tracking_id = rollouts.start_tracking(attempt, clock::now())?;
        Some(Self { node: node.clone(), tracking_id, known_requests: place.known_load.requests })
    }

    /// Records that the first part of the answer arrived.
    pub(crate) fn record_first_part(&self) {
        self.node.rollouts.borrow_mut().add_first_part(self.tracking_id, clock::now());
    }

    /// Records whether the server succeeded.
    pub(crate) fn record_outcome(&self, succeeded: bool) {
        self.add_sample(if succeeded { Sample::Succeeded } else { Sample::Failed });
    }

    /// Records the mean time in milliseconds between two events of the stream.
    pub(crate) fn record_pace(&self, between_ms: f64) {
        self.add_sample(Sample::Pace(between_ms / step_ms(self.known_requests.saturating_add(1))));
    }

    fn add_sample(&self, sample: Sample) {
        self.node.rollouts.borrow_mut().add_sample(self.tracking_id, sample, clock::now());
    }
}

impl Drop for AttemptTracker {
    fn drop(&mut self) {
        self.node.rollouts.borrow_mut().stop_tracking(self.tracking_id);
    }
}
