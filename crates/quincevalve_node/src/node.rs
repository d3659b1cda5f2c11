//! State shared by all tasks of the process.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;
use quincevalve_forwarding::{
    caller_activity::SocketLimits,
    config::{ForwardingConfig, Route},
    demand::{MeasuredDemand, WorkRate},
    duty::DutyLease,
    freshness::{Freshness, FreshnessState},
    line_budget::LineBudget,
    load::{self, Work},
    peer_forwarding::{PeerForwarding, PeerIntake},
    peer_table::VmDescriptor,
    placement::Placement,
    poison::PoisonGuard,
    quota::QuotaTable,
    retry_budget::RetryBudget,
    rollout::table::RolloutTable,
    servers::ServerTable,
    signal_outbox::{ServerKey, SignalOutbox},
    store_contact::StoreContact,
    store_pacing::StoreReadRole,
    usage::Usage,
    wall_clock::WallClock,
};
use quincevalve_names::{ClientAccountName, Scaled, ServiceName, TimePoint};
use quincevalve_recovery::RiskTable;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::{sync::Notify, time::Instant};

use crate::{
    clock,
    metrics::Metrics,
    peers::{Peers, quota::QuotaOwners},
    ports::HeaderNames,
    quarantine::QuarantineStore,
    request::{
        caller_connections::{CallerConnections, PeerConnections},
        connection_pool::ConnectionPool,
        held_memory::HeldMemory,
        migration::MigrationClient,
        waiting::WaitingRequests,
    },
    settings::NodeSettings,
    store::{config_copy::ConfigCopy, state_copy::StateCopy, view::StoreView},
    stream_directory::StreamDirectory,
    tasks::EndedTasks,
};

/// Phase of the process's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Serving,
    /// SIGTERM was received. The readiness check fails; requests that still arrive are served if they can finish in
    /// time.
    Draining {
        /// When the process exits.
        until: Instant,
    },
}

/// Minimum time that must remain to accept a stream while draining, unless its route's timeout is shorter: the duration
/// of a long answer.
const MIN_STREAM_TIME: Duration = Duration::from_millis(4_700);

/// Maximum age of the freshness confirmation for rejecting unknown names, as a fraction of `Bounds::change_in_force`.
const FRESH_FRACTION: f64 = 0.9;

/// State of the process, shared by its tasks.
///
/// The process has one thread, and borrows never cross an `await`.
pub(crate) struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) headers: HeaderNames,
    pub(crate) incarnation: u64,
    /// Monotonic time at which this process started.
    pub(crate) started_at: TimePoint,
    pub(crate) phase: Cell<Phase>,
    pub(crate) config: RefCell<Option<Rc<ForwardingConfig>>>,
    pub(crate) freshness: Cell<Freshness>,
    pub(crate) servers: RefCell<ServerTable>,
    pub(crate) quota: RefCell<QuotaTable>,
    pub(crate) retries: RefCell<HashMap<ServiceName, RetryBudget>>,
    pub(crate) usage: RefCell<Usage>,
    pub(crate) wall_clock: RefCell<WallClock<String>>,
    pub(crate) duty: RefCell<DutyLease>,
    pub(crate) peers: RefCell<Peers>,
    /// Work that this VM accepted, by service.
    pub(crate) demand: RefCell<IndexMap<ServiceName, WorkRate>>,
    /// Demand for services that are scaled by orders, as measured by this VM.
    pub(crate) measured_demand: RefCell<IndexMap<ServiceName, MeasuredDemand>>,
    pub(crate) connections: ConnectionPool<ServerKey>,
    /// Connections to other VMs, for requests that are forwarded to them.
    pub(crate) peer_connections: ConnectionPool<SocketAddr>,
    /// Picks the VMs that get requests whose servers this VM can't reach.
    pub(crate) peer_forwarding: RefCell<PeerForwarding>,
    /// Bounds the requests that this VM processes for others.
    pub(crate) peer_intake: PeerIntake,
    pub(crate) rng: RefCell<Pcg64Mcg>,
    pub(crate) in_flight: Cell<usize>,
    pub(crate) migrations: MigrationClient,
    /// Counts and bounds the memory that is held for others.
    pub(crate) memory: HeldMemory,
    /// The open connections of other VMs.
    pub(crate) peer_callers: PeerConnections,
    /// The open connections of callers.
    pub(crate) callers: Rc<CallerConnections>,
    /// Detects requests that make servers exit, and holds their quarantines.
    pub(crate) poison: RefCell<PoisonGuard>,
    pub(crate) quarantine: QuarantineStore,
    /// Roll-outs of new versions, by service.
    pub(crate) rollouts: RefCell<RolloutTable>,
    /// Budget of log lines.
    pub(crate) log_budget: RefCell<LineBudget>,
    /// Separate budget of log lines about rejected requests.
    pub(crate) refusal_log_budget: RefCell<LineBudget>,
    pub(crate) metrics: Metrics,
    pub(crate) store_view: RefCell<StoreView>,
    /// When the store last answered this VM or a VM from which it receives reports.
    pub(crate) store_contact: Cell<StoreContact>,
    /// Newest version of the configuration that other VMs reported.
    pub(crate) reported_config_version: Cell<u64>,
    /// Transfers of a newer configuration from other VMs.
    pub(crate) config_copy: RefCell<ConfigCopy>,
    /// Transfers of the store's state: from other VMs while this one starts, and to VMs that requested it.
    pub(crate) state_copy: RefCell<StateCopy>,
    /// Signals of servers that are still to be reported to other VMs.
    pub(crate) signal_outbox: RefCell<SignalOutbox>,
    /// How often streams of engines that copy runs were interrupted, by service.
    pub(crate) engine_risks: RefCell<IndexMap<ServiceName, RiskTable>>,
    /// Wakes tasks that wait for a change of servers or VMs.
    pub(crate) changed: Notify,
    /// Requests that wait for a server.
    pub(crate) waiting: WaitingRequests,
    /// Asks to quota owners, and this VM's decisions as an owner.
    pub(crate) quota_owners: QuotaOwners,
    /// The versions that began streams.
    pub(crate) streams: StreamDirectory,
    /// Tasks that ended although they live as long as the process.
    pub(crate) ended_tasks: EndedTasks,
}

fn duty_lease(settings: &NodeSettings) -> DutyLease {
    let name = settings.name.as_str();
    DutyLease::new(name, settings.duties.lease, clock::now(), settings.is_first_start)
}

impl Node {
    pub(crate) fn new(
        settings: NodeSettings,
        headers: HeaderNames,
        migrations: MigrationClient,
        quarantine: QuarantineStore,
    ) -> Self {
        let memory = HeldMemory::new(settings.memory);
        let sockets = SocketLimits::new(settings.sockets);
        let seed = clock::now().as_micros() ^ quincevalve_names::hash_text(settings.name.as_str());
        Self {
            incarnation: clock::wall_ms() as u64,
            started_at: clock::now(),
            phase: Cell::new(Phase::Serving),
            config: RefCell::default(),
            freshness: Cell::default(),
            servers: RefCell::default(),
            quota: RefCell::new(QuotaTable::new(settings.quotas, clock::now())),
            retries: RefCell::default(),
            usage: RefCell::default(),
            wall_clock: RefCell::default(),
            duty: RefCell::new(duty_lease(&settings)),
            peers: RefCell::new(Peers::new(descriptor(&settings), settings.link)),
            demand: RefCell::default(),
            measured_demand: RefCell::default(),
            connections: ConnectionPool::new(settings.ip, sockets.servers, memory.clone()),
            peer_connections: ConnectionPool::new(settings.ip, sockets.peers, memory.clone()),
            peer_forwarding: RefCell::default(),
            peer_intake: PeerIntake::new(settings.cpu),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            in_flight: Cell::new(0),
            migrations,
            peer_callers: PeerConnections::new(sockets.peers, memory.clone()),
            callers: Rc::new(CallerConnections::new(sockets, memory.clone())),
            memory,
            poison: RefCell::new(PoisonGuard::new(settings.name.as_str())),
            quarantine,
            rollouts: RefCell::new(RolloutTable::new(settings.exposure)),
            log_budget: RefCell::default(),
            refusal_log_budget: RefCell::new(LineBudget::for_refusals()),
            metrics: Metrics::default(),
            store_view: RefCell::default(),
            store_contact: Cell::default(),
            reported_config_version: Cell::new(0),
            config_copy: RefCell::default(),
            state_copy: RefCell::default(),
            signal_outbox: RefCell::default(),
            engine_risks: RefCell::default(),
            changed: Notify::new(),
            waiting: WaitingRequests::default(),
            quota_owners: QuotaOwners::default(),
            streams: StreamDirectory::new(&settings),
            ended_tasks: EndedTasks::default(),
            settings,
            headers,
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<Rc<ForwardingConfig>> {
        self.config.borrow().clone()
    }

    /// Applies a configuration, unless the one in force is as new or newer.
    pub(crate) fn apply_config(&self, config: ForwardingConfig) {
        let mut current = self.config.borrow_mut();
        let known = current.as_ref().map(|it| it.version);
        if known.is_some_and(|it| it >= config.version) {
            return;
        }
        log::info!(from = known.unwrap_or_default(), version = config.version; "config-applied");
        let copying = &config.run_copies.engines;
        self.engine_risks.borrow_mut().retain(|service, _| copying.contains_key(service));
        *current = Some(Rc::new(config));
    }

    /// Returns whether this VM has had a freshness confirmation since the process started.
    ///
    /// Until then it serves nothing. A starting VM may have read a copy of the store that is seconds old; it would
    /// apply an outdated configuration and use servers that have left.
    pub(crate) fn was_confirmed_fresh(&self) -> bool {
        self.freshness.get().age(clock::now()).is_some()
    }

    /// Returns the time of which this VM's view of the store was confirmed: by the store, or since no other VM knew more.
    pub(crate) fn view_confirmed_at(&self) -> Option<TimePoint> {
        let reached = self.store_view.borrow().reached();
        let none_ahead = reached.and_then(|it| self.peers.borrow().none_ahead_at(it.0));
        self.freshness.get().confirmed_at().max(none_ahead)
    }

    /// Records the versions of the listed servers.
    pub(crate) fn observe_versions(&self, now: TimePoint) {
        let confirmed_at = self.freshness.get().confirmed_at();
        self.streams.observe(&self.servers.borrow(), confirmed_at, now);
    }

    /// Returns how current this VM's knowledge of removed keys is.
    fn key_freshness(&self) -> FreshnessState {
        let bounds = self.settings.bounds;
        if !self.was_confirmed_fresh() {
            return FreshnessState::Expired;
        }
        if !bounds.keys_fail_closed {
            return FreshnessState::Fresh;
        }
        self.freshness.get().state(bounds.key_removed, clock::now())
    }

    /// Returns whether callers' keys may be accepted: a removal of a key can't have gone unnoticed for too long.
    pub(crate) fn may_accept_keys(&self) -> bool {
        self.key_freshness() != FreshnessState::Expired
    }

    /// Returns whether an unknown name may be rejected: an addition can't have gone unnoticed for too long.
    pub(crate) fn absence_is_confirmed(&self) -> bool {
        let limit = self.settings.bounds.change_in_force.scaled(FRESH_FRACTION);
        self.freshness.get().is_within(limit, clock::now())
    }

    /// Returns whether callers should use other VMs, because keys are rejected here or will be soon.
    pub(crate) fn is_losing_freshness(&self) -> bool {
        self.key_freshness() != FreshnessState::Fresh
    }

    /// Returns whether the platform should send callers to this VM.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving
            && self.config.borrow().is_some()
            && !self.is_losing_freshness()
            && !self.ended_tasks.lacks_essential()
    }

    /// Returns whether a request that arrives now can finish before the process exits.
    ///
    /// The last VM of a data centre still receives callers seconds after SIGTERM, and their streams would be aborted
    /// when the process exits. Such a request is rejected, so that its caller retries at another VM.
    pub(crate) fn can_finish(&self, route: &Route) -> bool {
        let Phase::Draining { until } = self.phase.get() else { return true };
        let required = if route.retry_safety.is_stream() { MIN_STREAM_TIME } else { route.timeout };
        remaining(until) >= required.min(route.timeout)
    }

    /// Returns this VM's role in reading the store.
    pub(crate) fn store_read_role(&self) -> StoreReadRole {
        let now = clock::now();
        let peers = self.peers.borrow();
        peers.table.store_read_role(peers.has_members(now), now)
    }

    /// Returns whether this VM relays changes of the store to other VMs.
    pub(crate) fn relays_store(&self) -> bool {
        let now = clock::now();
        let peers = self.peers.borrow();
        peers.table.relays_store(peers.has_members(now), now)
    }

    /// Returns whether a log line about a rejected request fits its budget, and spends the budget. A line that doesn't
    /// fit is counted as suppressed.
    pub(crate) fn may_log_refusal(&self) -> bool {
        let may = self.refusal_log_budget.borrow_mut().take(clock::now());
        if !may {
            self.log_budget.borrow_mut().record_suppressed(1);
        }
        may
    }

    /// Returns whether a log line fits the budget, and spends the budget. A line that doesn't fit is counted as
    /// suppressed.
    pub(crate) fn may_log(&self) -> bool {
        let mut budget = self.log_budget.borrow_mut();
        let may = budget.take(clock::now());
        if !may {
            budget.record_suppressed(1);
        }
        may
    }

    /// Returns the number of known entry VMs, including this one.
    pub(crate) fn vm_count(&self) -> usize {
        self.peers.borrow().table.vm_count()
    }

    /// Counts a request that is sent to a server, by the server's version.
    pub(crate) fn record_sent(&self, place: &Placement) {
        let servers = self.servers.borrow();
        let Some(server) = servers.get(&place.server) else { return };
        let service = &server.entry.service;
        self.rollouts.borrow_mut().record_sent(service, &place.version);
        self.metrics.count_attempt_by_version(service.as_str(), place.version.as_str());
    }

    /// Returns the number of entry VMs that may have spent from a bound over all VMs within `window`, including this one.
    pub(crate) fn vm_count_within(&self, window: Duration) -> usize {
        self.peers.borrow().table.vm_count_within(window, clock::now())
    }

    /// Counts a started request of an account in the current usage window of wall-clock time.
    pub(crate) fn record_usage_start(&self, account: Option<&ClientAccountName>) {
        let Some(account) = account else { return };
        let Some(now_ms) = self.wall_clock.borrow().estimate_ms(clock::now()) else { return };
        let window_ms = self.settings.duties.usage_window.as_millis().max(1) as i64;
        self.usage.borrow_mut().record_start((now_ms / window_ms) as u64, account);
    }

    /// Records work requested of `service`, and whether a server had capacity for it.
    pub(crate) fn record_demand(&self, service: &ServiceName, work: Work, was_placed: bool) {
        let config = self.config.borrow();
        let engine = config.as_ref().and_then(|it| it.services.get(service)?.engine);
        let slots = engine.map_or(1, |it| it.slots);
        let now = clock::now();
        let mut demand = self.demand.borrow_mut();
        let rate = demand.entry(service.clone()).or_insert(WorkRate::new(now));
        rate.add(load::demand(work.busy_seconds(slots), was_placed), now);
    }

    /// Returns the work that all entry VMs accept for a service at present, in busy servers.
    pub(crate) fn total_demand(&self, service: &ServiceName) -> f64 {
        let own = self.demand.borrow().get(service).map_or(0.0, |it| it.busy(clock::now()));
        own + self.peers.borrow().peer_demand(service)
    }

    /// Returns the mean seconds for which a request of a service occupies a server, as recently observed by this VM.
    pub(crate) fn busy_seconds_per_request(&self, service: &ServiceName) -> Option<f64> {
        self.demand.borrow().get(service)?.busy_seconds_per_request(clock::now())
    }
}

/// Creates the description of this VM that peers read.
fn descriptor(settings: &NodeSettings) -> VmDescriptor {
    VmDescriptor {
        name: settings.name.as_str().to_owned(),
        address: SocketAddr::new(settings.ip, settings.peer_port),
        data_centre: settings.data_centre.clone(),
        cpu: settings.cpu,
    }
}

/// Guard that counts a request as in flight until it is dropped.
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

/// Returns the time remaining until `deadline`, zero once it has passed.
pub(crate) fn remaining(deadline: tokio::time::Instant) -> Duration {
    deadline.saturating_duration_since(tokio::time::Instant::now())
}
