//! The plan's orders to the engines of one data centre, by whoever holds the lease.

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

/// Engines that are told to load something at the same time: the weight store is rate-limited, and a
/// data centre must not lose all its engines to loading at once.
const LOADING_AT_ONCE: usize = 2;

/// What an engine should hold.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    model: ModelName,
    version: String,
}

impl Held {
    fn of(order: Option<EngineOrder>) -> Option<Self> {
        order.map(|it| Self { model: it.model, version: it.version })
    }
}

/// An engine with what the inventory wants of it.
struct Wanted {
    name: BackendServerName,
    address: SocketAddr,
    fencing: OrderFencing,
    held: Held,
}

/// The lease as this process knows it.
#[derive(Clone, Copy, Debug)]
struct Term {
    fencing: FencingNumber,
    until: TimePoint,
}

struct Planner {
    shared: Shared,
    engines: EngineClient,
    orderers: HashMap<BackendServerName, OrderDispatcher<Held>>,
}

/// Plans for as long as the process runs.
pub(crate) async fn run(shared: Shared, http: HttpClient) {
    let mut ticks = shared.clock.timer().every(shared.settings.plan.period());
    let engines = EngineClient::new(http);
    let mut planner = Planner { shared, engines, orderers: HashMap::new() };
    while ticks.tick().await.is_some() {
        // Two of a data centre try for the lease; so its cost doesn't grow with the data centre.
        if is_relay(&planner.shared) {
            planner.round().await;
        }
    }
}

impl Planner {
    async fn round(&mut self) {
        let Some(inventory) = self.inventory() else { return };
        let Some(term) = self.take_lease().await else {
            self.orderers.clear();
            return;
        };
        let mut loading = 0;
        for wanted in wanted_of(&self.shared, &inventory) {
            if loading >= LOADING_AT_ONCE {
                return;
            }
            loading += usize::from(self.see_to(&wanted, term).await);
        }
    }

    fn inventory(&self) -> Option<Inventory> {
        let config = self.shared.state.borrow().config.clone()?;
        read_inventory("configuration", &config.content, Format::Json).ok()
    }

    /// Takes or renews the lease. Its end counts from before the call: the store's clock started no
    /// earlier than that.
    async fn take_lease(&self) -> Option<Term> {
        let settings = &self.shared.settings;
        let name = format!("plan-{}", settings.data_centre);
        let asked_at = self.shared.clock.now();
        let ttl = settings.plan.lease();
        let lease = self.shared.store.lease(&name, settings.name.as_str(), ttl).await.ok()?;
        let is_own = lease.holder == settings.name.as_str();
        is_own.then_some(Term { fencing: lease.fencing, until: asked_at + ttl })
    }

    /// Sees to one engine; `true` if it was told to load something.
    async fn see_to(&mut self, wanted: &Wanted, term: Term) -> bool {
        let limit = self.shared.settings.pacing.peer();
        let Ok(state) = self.engines.state(wanted.address, limit).await else { return false };
        if Held::of(state.order).as_ref() == Some(&wanted.held) {
            self.orderers.remove(&wanted.name);
            return false;
        }
        let settings = OrderSettings {
            lease: self.shared.settings.plan.lease(),
            max_delivery_time: self.shared.settings.plan.flight(),
        };
        let fresh = || OrderDispatcher::new(settings, wanted.fencing);
        let mut orderer = self.orderers.remove(&wanted.name).unwrap_or_else(fresh);
        let event = OrderEvent::Wanted {
            state: wanted.held.clone(),
            fencing: term.fencing,
            lease_until: term.until,
        };
        let now = self.shared.clock.now();
        let mut action = orderer.handle(now, event);
        if action.is_none() {
            action = orderer.handle(now, OrderEvent::Tick);
        }
        let mut sent = false;
        while let Some(next) = action {
            sent |= matches!(next, OrderAction::Send(..));
            let Some(event) = self.perform(wanted, next).await else { break };
            action = orderer.handle(self.shared.clock.now(), event);
        }
        self.orderers.insert(wanted.name.clone(), orderer);
        sent
    }

    async fn perform(
        &self,
        wanted: &Wanted,
        action: OrderAction<Held>,
    ) -> Option<OrderEvent<Held>> {
        // A call that lasts longer than the order's flight would break what the core relies on.
        let limit = self.shared.settings.plan.flight();
        match action {
            OrderAction::WriteIntent(fencing) => {
                let written = self.write_intent(&wanted.name, fencing).await?;
                Some(if written { OrderEvent::IntentWritten } else { OrderEvent::IntentRefused })
            }
            OrderAction::Send(held, fencing) => {
                log::info!("{} is told to hold {} {}", wanted.name, held.model, held.version);
                let Held { model, version } = held;
                let order =
                    EngineOrder { fencing, model, version, adapters: Vec::new(), role: Role::Both };
                let sent = self.engines.order(wanted.address, &order, limit).await;
                Some(if sent.is_ok() { OrderEvent::Sent } else { OrderEvent::NotSent })
            }
            OrderAction::ReadBack => {
                let state = self.engines.state(wanted.address, limit).await.ok()?;
                Held::of(state.order).map(OrderEvent::ReadBack)
            }
            OrderAction::Done | OrderAction::Stop => None,
        }
    }

    /// Writes the intent over a lower number. `None`: the store didn't tell.
    async fn write_intent(&self, name: &BackendServerName, fencing: FencingNumber) -> Option<bool> {
        let key = format!("intent-{name}");
        let found = self.shared.store.get(&key).await.ok()?;
        let (version, stands) = match found {
            Some(found) => (found.version, found.value.parse().unwrap_or(0)),
            None => (KeyVersion::ABSENT, 0),
        };
        if stands >= fencing.0 {
            return Some(stands == fencing.0);
        }
        self.shared.store.swap(&key, version, &fencing.to_string()).await.ok().map(|_| true)
    }
}

fn wanted_of(shared: &Shared, inventory: &Inventory) -> Vec<Wanted> {
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
            let held = Held { model: model.clone(), version };
            Some(Wanted { name: name.clone(), address: server.address, fencing, held })
        })
        .collect()
}
