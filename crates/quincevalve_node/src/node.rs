//! The state that all parts of the process share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;
use quincevalve_forwarding::{
    config::{ForwardingConfig, Route},
    demand::{MeasuredDemand, WorkRate},
    duty::DutyLease,
    freshness::{Freshness, FreshnessState},
    line_budget::LineBudget,
    load::{self, Work},
    peer_table::VmDescriptor,
    placement::Placement,
    poison::PoisonGuard,
    quota::QuotaTable,
    retry_budget::RetryBudget,
    rollout::table::RolloutTable,
    servers::ServerTable,
    signal_outbox::SignalOutbox,
    store_contact::StoreContact,
    store_pacing::StoreReadRole,
    usage::Usage,
    wall_clock::WallClock,
};
use quincevalve_names::{ClientAccountName, ServiceName, TimePoint};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::{sync::Notify, time::Instant};

use crate::{
    clock,
    metrics::Metrics,
    peers::Peers,
    ports::HeaderNames,
    quarantine::QuarantineStore,
    request::{backends::Backends, mover::Mover},
    settings::NodeSettings,
    store::{config_copy::ConfigCopy, state_copy::StateCopy, view::StoreView},
};

/// Where the process stands between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Serving,
    /// SIGTERM came: the platform is told that no more callers are taken, and those that come are served
    /// as far as they can end in time.
    Draining {
        /// When the process ends.
        until: Instant,
    },
}

/// Time that a stream needs before the process ends: that of a long answer.
const STREAM_TIME: Duration = Duration::from_millis(4_700);

/// Part of the time from a change to its being in force within which "unknown" may be said for sure.
const CHANGE_PROOF_PART: f64 = 0.9;

/// The shared state. The process has one thread: borrows never cross an `await`.
pub(crate) struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) headers: HeaderNames,
    pub(crate) incarnation: u64,
    /// When this process began.
    pub(crate) began: TimePoint,
    pub(crate) phase: Cell<Phase>,
    pub(crate) config: RefCell<Option<Rc<ForwardingConfig>>>,
    pub(crate) freshness: Cell<Freshness>,
    pub(crate) servers: RefCell<ServerTable>,
    pub(crate) quota: RefCell<QuotaTable>,
    pub(crate) retries: RefCell<HashMap<ServiceName, RetryBudget>>,
    pub(crate) usage: RefCell<Usage>,
    pub(crate) wall: RefCell<WallClock<String>>,
    pub(crate) duty: RefCell<DutyLease>,
    pub(crate) peers: RefCell<Peers>,
    /// Work that is taken on here, by service.
    pub(crate) demand: RefCell<IndexMap<ServiceName, WorkRate>>,
    /// The work that callers ask of services whose servers are ordered, as measured here.
    pub(crate) measured: RefCell<IndexMap<ServiceName, MeasuredDemand>>,
    pub(crate) backends: Backends,
    pub(crate) rng: RefCell<Pcg64Mcg>,
    pub(crate) in_flight: Cell<usize>,
    pub(crate) mover: Mover,
    /// What is known of requests under which servers exit.
    pub(crate) poison: RefCell<PoisonGuard>,
    pub(crate) quarantine: QuarantineStore,
    /// What is known of services that are moved to another version.
    pub(crate) rollouts: RefCell<RolloutTable>,
    pub(crate) lines: RefCell<LineBudget>,
    pub(crate) refusal_lines: RefCell<LineBudget>,
    pub(crate) metrics: Metrics,
    pub(crate) store_view: RefCell<StoreView>,
    /// When the store answered this VM or one that it hears.
    pub(crate) store_contact: Cell<StoreContact>,
    /// The newest version of the configuration that others have.
    pub(crate) told_version: Cell<u64>,
    /// What comes of a newer configuration from other VMs.
    pub(crate) config_copy: RefCell<ConfigCopy>,
    /// What comes of the store from other VMs while this one starts, and who asked for it.
    pub(crate) state_copy: RefCell<StateCopy>,
    /// What servers said of themselves that other VMs haven't been told yet.
    pub(crate) signal_outbox: RefCell<SignalOutbox>,
    /// Wakes those who wait for changes of servers or VMs.
    pub(crate) changed: Notify,
}

impl Node {
    pub(crate) fn new(
        settings: NodeSettings,
        headers: HeaderNames,
        mover: Mover,
        quarantine: QuarantineStore,
    ) -> Self {
        let seed = clock::now().as_micros() ^ quincevalve_names::hash_text(settings.name.as_str());
        Self {
            incarnation: clock::wall_ms() as u64,
            began: clock::now(),
            phase: Cell::new(Phase::Serving),
            config: RefCell::default(),
            freshness: Cell::default(),
            servers: RefCell::default(),
            quota: RefCell::new(QuotaTable::new(settings.quotas, clock::now())),
            retries: RefCell::default(),
            usage: RefCell::default(),
            wall: RefCell::default(),
            duty: RefCell::default(),
            peers: RefCell::new(Peers::new(card(&settings), settings.link)),
            demand: RefCell::default(),
            measured: RefCell::default(),
            backends: Backends::new(settings.ip),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            in_flight: Cell::new(0),
            mover,
            poison: RefCell::new(PoisonGuard::new(settings.name.as_str())),
            quarantine,
            rollouts: RefCell::new(RolloutTable::new(settings.exposure)),
            lines: RefCell::default(),
            refusal_lines: RefCell::new(LineBudget::for_refusals()),
            metrics: Metrics::default(),
            store_view: RefCell::default(),
            store_contact: Cell::default(),
            told_version: Cell::new(0),
            config_copy: RefCell::default(),
            state_copy: RefCell::default(),
            signal_outbox: RefCell::default(),
            changed: Notify::new(),
            settings,
            headers,
        }
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Option<Rc<ForwardingConfig>> {
        self.config.borrow().clone()
    }

    /// Takes a version of the configuration; an older one than that in force changes nothing.
    pub(crate) fn apply_config(&self, config: ForwardingConfig) {
        let mut current = self.config.borrow_mut();
        let known = current.as_ref().map(|it| it.version);
        if known.is_some_and(|it| it >= config.version) {
            return;
        }
        log::info!(from = known.unwrap_or_default(), version = config.version; "config-applied");
        *current = Some(Rc::new(config));
    }

    /// Whether what is known here was the newest at some time since this process began.
    ///
    /// Failure: a VM starts and reads a copy of the store that is seconds old. Symptom: it serves by a configuration that
    /// has changed, and uses servers that have left. Before its first proof it serves nothing.
    pub(crate) fn was_proved(&self) -> bool {
        self.freshness.get().age(clock::now()).is_some()
    }

    /// How far this VM is in touch with removals of keys.
    fn touch(&self) -> FreshnessState {
        let bounds = self.settings.bounds;
        if !self.was_proved() {
            return FreshnessState::Expired;
        }
        if !bounds.keys_fail_closed {
            return FreshnessState::Fresh;
        }
        self.freshness.get().state(bounds.key_removed, clock::now())
    }

    /// Whether what is known here can't have been taken away too long ago.
    pub(crate) fn keys_are_proved(&self) -> bool {
        self.touch() != FreshnessState::Expired
    }

    /// Whether what is unknown here can't have been added too long ago.
    pub(crate) fn absence_is_proved(&self) -> bool {
        let limit = self.settings.bounds.change_in_force.mul_f64(CHANGE_PROOF_PART);
        self.freshness.get().is_within(limit, clock::now())
    }

    /// Whether callers should go to other VMs, since keys are refused here or will be soon.
    pub(crate) fn is_losing_touch(&self) -> bool {
        self.touch() != FreshnessState::Fresh
    }

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving
            && self.config.borrow().is_some()
            && !self.is_losing_touch()
    }

    /// Whether a request that comes now can end before the process does.
    ///
    /// Failure: callers still reach a VM seconds after its SIGTERM, when it is the last one in its data
    /// centre. Symptom: their streams are cut when the process ends. Such a request is refused, and its
    /// caller comes back to another VM.
    pub(crate) fn can_finish(&self, route: &Route) -> bool {
        let Phase::Draining { until } = self.phase.get() else { return true };
        let needs = if route.retry_safety.is_stream() { STREAM_TIME } else { route.timeout };
        left(until) >= needs.min(route.timeout)
    }

    /// How this VM takes part in reading the store.
    pub(crate) fn reading_part(&self) -> StoreReadRole {
        let now = clock::now();
        let peers = self.peers.borrow();
        peers.table.store_read_role(peers.has_members(now), now)
    }

    /// Whether this VM passes on what it knows of the store.
    pub(crate) fn relays_store(&self) -> bool {
        let now = clock::now();
        let peers = self.peers.borrow();
        peers.table.relays_store(peers.has_members(now), now)
    }

    /// Whether one more line of a refusal may be written; one that may not is counted.
    pub(crate) fn may_tell_refusal(&self) -> bool {
        let may = self.refusal_lines.borrow_mut().take(clock::now());
        if !may {
            self.lines.borrow_mut().record_suppressed(1);
        }
        may
    }

    /// Whether one more line may be written; one that may not is counted.
    pub(crate) fn may_write_line(&self) -> bool {
        let mut lines = self.lines.borrow_mut();
        let may = lines.take(clock::now());
        if !may {
            lines.record_suppressed(1);
        }
        may
    }

    /// The entry VMs that are known, this one included.
    pub(crate) fn vms(&self) -> usize {
        self.peers.borrow().table.vm_count()
    }

    /// Counts a request that is sent to a server, by the server's version.
    pub(crate) fn note_sent(&self, place: &Placement) {
        let servers = self.servers.borrow();
        let Some(server) = servers.get(&place.server) else { return };
        let service = &server.entry.service;
        self.rollouts.borrow_mut().record_sent(service, &place.version);
        self.metrics.sent_to(service.as_str(), place.version.as_str());
    }

    /// Takes one repeat out of a service's retry budget.
    pub(crate) fn spend_retry(&self, service: &ServiceName) -> bool {
        let vms = self.vms();
        let mut windows = self.retries.borrow_mut();
        let window = windows.entry(service.clone()).or_default();
        window.try_spend(&self.settings.retries, vms, clock::now())
    }

    /// Notes a request that began to run, in the window of true time.
    pub(crate) fn note_began(&self, account: Option<&ClientAccountName>) {
        let Some(account) = account else { return };
        let Some(now_ms) = self.wall.borrow().estimate_ms(clock::now()) else { return };
        let length = self.settings.duties.usage_window.as_millis().max(1) as i64;
        self.usage.borrow_mut().record_start((now_ms / length) as u64, account);
    }

    /// Notes work that was asked of `service`, and whether a server had room for it.
    pub(crate) fn note_demand(&self, service: &ServiceName, work: Work, was_placed: bool) {
        let config = self.config.borrow();
        let engine = config.as_ref().and_then(|it| it.services.get(service)?.engine);
        let slots = engine.map_or(1, |it| it.slots);
        let now = clock::now();
        let mut demand = self.demand.borrow_mut();
        let rate = demand.entry(service.clone()).or_insert(WorkRate::new(now));
        rate.add(load::demand(work.busy_seconds(slots), was_placed), now);
    }

    /// The work that all entry VMs take on for a service at present, in busy servers.
    pub(crate) fn demand_of(&self, service: &ServiceName) -> f64 {
        let own = self.demand.borrow().get(service).map_or(0.0, |it| it.busy(clock::now()));
        own + self.peers.borrow().peer_demand(service)
    }

    /// Seconds for which a request of a service keeps a server busy, as seen here lately.
    pub(crate) fn busy_each(&self, service: &ServiceName) -> Option<f64> {
        self.demand.borrow().get(service)?.busy_seconds_per_request(clock::now())
    }
}

/// What this VM tells others of itself.
fn card(settings: &NodeSettings) -> VmDescriptor {
    VmDescriptor {
        name: settings.name.as_str().to_owned(),
        address: SocketAddr::new(settings.ip, settings.peer_port),
        data_centre: settings.data_centre.clone(),
        cpu: settings.cpu,
    }
}

/// Counts a request for as long as it lives.
pub(crate) struct InFlight(Rc<Node>);

impl InFlight {
    pub(crate) fn new(node: &Rc<Node>) -> Self {
        node.in_flight.set(node.in_flight.get() + 1);
        Self(node.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// The time left until `deadline`.
pub(crate) fn left(deadline: tokio::time::Instant) -> Duration {
    deadline.saturating_duration_since(tokio::time::Instant::now())
}
