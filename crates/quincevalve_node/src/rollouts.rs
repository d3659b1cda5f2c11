//! This process's part in roll-outs: what [`quincevalve_forwarding::rollout`] has to know, and what it decides.

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
use quincevalve_names::ServiceName;
use rand::RngExt;

use crate::{clock, node::Node, ports::OwnItem, request::identify::Identified};

/// Keys of roll-outs, each with its [`RolloutRecord`]: the service's name after it.
pub(crate) const ROLLOUT_KEYS: &str = "rollout/";
/// The part of the VMs that must be heard for the new version's answers to be judged here.
const HEARD_PART: f64 = 0.5;
/// The part of the time in which a change is promised to be in force within which what is known counts as new.
const NEW_PART: f64 = 0.6;

/// The key of a service's record.
pub(crate) fn rollout_key(service: &ServiceName) -> String {
    format!("{ROLLOUT_KEYS}{}", service.as_str())
}

/// The record of an item of the store; `None` for other items.
pub(crate) fn record(key: &str, value: &[u8]) -> Option<(ServiceName, RolloutRecord)> {
    let service = key.strip_prefix(ROLLOUT_KEYS)?;
    match serde_json::from_slice(value) {
        Ok(record) => Some((service.into(), record)),
        Err(error) => {
            log::error!(key, error:% = error; "rollout-record-unreadable");
            None
        }
    }
}

/// The records among these items.
pub(crate) fn records(own: &[OwnItem]) -> Vec<(ServiceName, RolloutRecord)> {
    own.iter().filter_map(|it| record(&it.key, &it.value)).collect()
}

/// Takes an order, or its removal.
pub(crate) fn take_order(node: &Node, service: &ServiceName, order: Option<RolloutOrder>) {
    let mut book = node.rollouts.borrow_mut();
    let Some(order) = order else {
        log::info!(service = service.as_str(); "rollout-order-removed");
        return book.remove_order(service);
    };
    let (id, to, seconds) = (order.id.0, order.to.clone(), order.duration.as_secs_f64());
    if book.apply_order(service, order, true, clock::now()) {
        log::info!(service = service.as_str(), order = id, to:% = to, seconds; "rollout-ordered");
    }
    drop(book);
    refresh_service(node, service);
}

/// Takes how far a roll-out has come.
pub(crate) fn take_record(node: &Node, service: &ServiceName, record: RolloutRecord) {
    let (id, to, phase) = (record.order.0, record.to.clone(), record.phase);
    if node.rollouts.borrow_mut().apply_record(service, record, clock::now()) {
        log::info!(service = service.as_str(), order = id, to:% = to, phase:? = phase; "rollout-phase");
    }
    refresh_service(node, service);
}

/// Takes all orders and records.
pub(crate) fn replace_all(
    node: &Node,
    orders: Vec<(ServiceName, RolloutOrder)>,
    records: Vec<(ServiceName, RolloutRecord)>,
    was_running: bool,
) {
    node.rollouts.borrow_mut().replace_all(orders, records, was_running, clock::now());
    refresh(node);
}

/// Goes on with all roll-outs.
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
    let around = RefreshContext {
        wall_clock_ms: node.wall.borrow().estimate_ms(now),
        has_engines: engine.is_some(),
        vm_rank: node.peers.borrow().table.rank(order.0),
        is_connected: is_in_touch(node),
    };
    let mut book = node.rollouts.borrow_mut();
    let halt = book.refresh(service, &node.servers.borrow(), &around, now);
    if let Some(Halt { service, version, detected_by }) = halt {
        log::warn!(
            service = service.as_str(), version:% = version, order = order.0, found:? = detected_by;
            "rollout-halted"
        );
        drop(book);
        node.changed.notify_waiters();
    }
}

fn is_in_touch(node: &Node) -> bool {
    let limit = node.settings.bounds.change_in_force.mul_f64(NEW_PART);
    let is_new = node.freshness.get().is_within(limit, clock::now());
    is_new && node.peers.borrow().reachable_fraction() >= HEARD_PART
}

/// Where a new request may go.
pub(crate) fn choose(node: &Node, req: &Identified) -> VersionChoice {
    if node.rollouts.borrow().is_idle() {
        return VersionChoice::Any;
    }
    let draw = node.rng.borrow_mut().random();
    let route = RouteKey::of(&req.route.name);
    node.rollouts.borrow_mut().choose(&req.service, route, draw, clock::now())
}

/// Where a request may go that was sent before.
pub(crate) fn regular(node: &Node, service: &ServiceName) -> VersionChoice {
    node.rollouts.borrow().choice_for_retry(service)
}

/// Watches how a request is answered, where versions are compared; ends with it.
pub(crate) struct WatchedRun {
    node: Rc<Node>,
    ticket: TrackingId,
    /// The load of the server that it was sent to.
    running: u32,
}

impl WatchedRun {
    pub(crate) fn begin(node: &Rc<Node>, req: &Identified, place: &Placement) -> Option<Self> {
        let mut book = node.rollouts.borrow_mut();
        if book.is_idle() {
            return None;
        }
        let run = TrackedAttempt {
            service: &req.service,
            route: RouteKey::of(&req.route.name),
            version: &place.version,
            server: start_hash(&place.server, place.start),
            expected: place.baseline,
        };
        let ticket = book.start_tracking(run, clock::now())?;
        Some(Self { node: node.clone(), ticket, running: place.known_load.requests })
    }

    /// Notes the first part of its answer.
    pub(crate) fn first_part(&self) {
        self.node.rollouts.borrow_mut().add_first_part(self.ticket, clock::now());
    }

    /// Notes whether the server succeeded.
    pub(crate) fn judged(&self, succeeded: bool) {
        self.note(if succeeded { Sample::Succeeded } else { Sample::Failed });
    }

    /// Notes the mean time between two events of its stream.
    pub(crate) fn pace(&self, between_ms: f64) {
        self.note(Sample::Pace(between_ms / step_ms(self.running + 1)));
    }

    fn note(&self, sample: Sample) {
        self.node.rollouts.borrow_mut().add_sample(self.ticket, sample, clock::now());
    }
}

impl Drop for WatchedRun {
    fn drop(&mut self) {
        self.node.rollouts.borrow_mut().stop_tracking(self.ticket);
    }
}
