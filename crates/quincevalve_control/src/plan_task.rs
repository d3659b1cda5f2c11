//! Sends the plan's orders to the engines of one data centre, while this process holds the plan's lease.

use std::{collections::HashMap, net::SocketAddr};

use quincevalve_inventory::{Fencing, Format, Inventory, Serves, read_inventory};
use quincevalve_names::{BackendServerName, FencingNumber, ModelName, TimePoint};
use quincevalve_plan::{OrderAction, OrderDispatcher, OrderEvent, OrderFencing, OrderSettings};
use quincevalve_ports::{
    HttpClient,
    engine::{EngineClient, EngineOrder, Role},
    store::{KeyVersion, Store},
};

use crate::{config_actor::is_relay, shared::Shared};

/// Maximum number of engines that are ordered to load a model in one planning round.
///
/// The weight store is rate-limited, and the engines of a data centre must not all be loading at the same time.
const MAX_CONCURRENT_LOADS: usize = 2;

/// The model version that an engine serves or should serve.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Assignment {
    model: ModelName,
    version: String,
}

impl Assignment {
    fn of(order: Option<EngineOrder>) -> Option<Self> {
        order.map(|it| Self { model: it.model, version: it.version })
    }
}

/// An engine and the assignment that the inventory specifies for it.
struct EngineTarget {
    name: BackendServerName,
    address: SocketAddr,
    fencing: OrderFencing,
    assignment: Assignment,
}

/// The lease held by this process.
#[derive(Clone, Copy, Debug)]
struct LeaseTerm {
    fencing: FencingNumber,
    until: TimePoint,
}

struct Planner {
    shared: Shared,
    engines: EngineClient,
    dispatchers: HashMap<BackendServerName, OrderDispatcher<Assignment>>,
}

/// Runs planning rounds until the process ends.
pub(crate) async fn run(shared: Shared, http: HttpClient) {
    let mut ticks = shared.clock.timer().every(shared.settings.plan.planning_interval());
    let engines = EngineClient::new(http);
    let mut planner = Planner { shared, engines, dispatchers: HashMap::new() };
    while ticks.tick().await.is_some() {
        // Only a data centre's relays compete for the lease, so the load on the store doesn't grow with the number
        // of VMs.
        if is_relay(&planner.shared) {
            planner.run_round().await;
        }
    }
}

impl Planner {
    async fn run_round(&mut self) {
        let Some(inventory) = self.inventory() else { return };
        let Some(term) = self.acquire_lease().await else {
            self.dispatchers.clear();
            return;
        };
        let mut loading = 0;
        for target in engine_targets(&self.shared, &inventory) {
            if loading >= MAX_CONCURRENT_LOADS {
                return;
            }
            loading += usize::from(self.reconcile(&target, term).await);
        }
    }

    fn inventory(&self) -> Option<Inventory> {
        let config = self.shared.state.borrow().config.clone()?;
        read_inventory("configuration", &config.content, Format::Json).ok()
    }

    /// Acquires or renews the lease; returns `None` if another process holds it or the store is unavailable.
    ///
    /// The expiry is computed from the time before the call, because the store starts the lease no earlier than
    /// that.
    async fn acquire_lease(&self) -> Option<LeaseTerm> {
        let settings = &self.shared.settings;
        let name = format!("plan-{}", settings.data_centre);
        let requested_at = self.shared.clock.now();
        let ttl = settings.plan.lease_ttl();
        let lease = self.shared.store.lease(&name, settings.name.as_str(), ttl).await.ok()?;
        let is_own = lease.holder == settings.name.as_str();
        is_own.then_some(LeaseTerm { fencing: lease.fencing, until: requested_at + ttl })
    }

    /// Compares an engine's state with its target and sends an order if they differ.
    ///
    /// Returns whether an order was sent.
    async fn reconcile(&mut self, target: &EngineTarget, term: LeaseTerm) -> bool {
        let limit = self.shared.settings.pacing.peer_timeout();
        let Ok(state) = self.engines.state(target.address, limit).await else { return false };
        if Assignment::of(state.order).as_ref() == Some(&target.assignment) {
            self.dispatchers.remove(&target.name);
            return false;
        }
        let settings = OrderSettings {
            lease: self.shared.settings.plan.lease_ttl(),
            max_delivery_time: self.shared.settings.plan.max_delivery_time(),
        };
        let new_dispatcher = || OrderDispatcher::new(settings, target.fencing);
        let mut dispatcher = self.dispatchers.remove(&target.name).unwrap_or_else(new_dispatcher);
        let event = OrderEvent::Wanted {
            state: target.assignment.clone(),
            fencing: term.fencing,
            lease_until: term.until,
        };
        let now = self.shared.clock.now();
        let mut action = dispatcher.handle(now, event);
        if action.is_none() {
            action = dispatcher.handle(now, OrderEvent::Tick);
        }
        let mut sent = false;
        while let Some(next) = action {
            sent |= matches!(next, OrderAction::Send(..));
            let Some(event) = self.perform(target, next).await else { break };
            action = dispatcher.handle(self.shared.clock.now(), event);
        }
        self.dispatchers.insert(target.name.clone(), dispatcher);
        sent
    }

    async fn perform(
        &self,
        target: &EngineTarget,
        action: OrderAction<Assignment>,
    ) -> Option<OrderEvent<Assignment>> {
        // `OrderDispatcher` relies on no order arriving after the maximum delivery time, so each call times out by
        // then.
        let limit = self.shared.settings.plan.max_delivery_time();
        match action {
            OrderAction::WriteIntent(fencing) => {
                let written = self.write_intent(&target.name, fencing).await?;
                Some(if written { OrderEvent::IntentWritten } else { OrderEvent::IntentRefused })
            }
            OrderAction::Send(assignment, fencing) => {
                log::info!(
                    "sending an order to {}: load {} {}",
                    target.name,
                    assignment.model,
                    assignment.version
                );
                let Assignment { model, version } = assignment;
                let order =
                    EngineOrder { fencing, model, version, adapters: Vec::new(), role: Role::Both };
                let sent = self.engines.order(target.address, &order, limit).await;
                Some(if sent.is_ok() { OrderEvent::Sent } else { OrderEvent::NotSent })
            }
            OrderAction::ReadBack => {
                let state = self.engines.state(target.address, limit).await.ok()?;
                Assignment::of(state.order).map(OrderEvent::ReadBack)
            }
            OrderAction::Done | OrderAction::Stop => None,
        }
    }

    /// Stores the fencing number as the intent for an engine unless the store has a higher one.
    ///
    /// Returns `false` if the store has a higher number, and `None` if a call failed or its outcome is unknown.
    async fn write_intent(&self, name: &BackendServerName, fencing: FencingNumber) -> Option<bool> {
        let key = format!("intent-{name}");
        let found = self.shared.store.get(&key).await.ok()?;
        let (version, stored) = match found {
            Some(found) => (found.version, found.value.parse().unwrap_or(0)),
            None => (KeyVersion::ABSENT, 0),
        };
        if stored >= fencing.0 {
            return Some(stored == fencing.0);
        }
        self.shared.store.swap(&key, version, &fencing.to_string()).await.ok().map(|_| true)
    }
}

fn engine_targets(shared: &Shared, inventory: &Inventory) -> Vec<EngineTarget> {
    let all = inventory.backend_server.iter();
    let local = all.filter(|it| it.1.data_centre == shared.settings.data_centre && !it.1.drain);
    local
        .filter_map(|(name, server)| {
            let Serves::Model(model) = &server.serves else { return None };
            let version = inventory.model.get(model)?.version.clone()?;
            let fencing = match server.fencing {
                Fencing::Checked => OrderFencing::Checked,
                Fencing::Ignored => OrderFencing::Ignored,
            };
            let assignment = Assignment { model: model.clone(), version };
            Some(EngineTarget { name: name.clone(), address: server.address, fencing, assignment })
        })
        .collect()
}
