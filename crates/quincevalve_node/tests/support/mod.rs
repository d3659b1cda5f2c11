//! A process of the forwarding path between scripted callers and servers on loopback.
#![allow(dead_code, unreachable_pub, reason = "each test file uses its own part")]

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderName};
use indexmap::IndexMap;
use quincevalve_forwarding::{
    config::{
        Account, CallerLimits, Engine, ForwardingConfig, RetrySafety, Route, Service, Target,
    },
    peer_table::VmDescriptor,
    quota::QuotaLimits,
    retry_budget::RetryLimits,
    rollout::record::{OrderId, RolloutOrder},
    server_signals::{RequestRate, ServerSignals},
    servers::ServerEntry,
    shared_limit::SharedLimit,
};
use quincevalve_names::{BackendServerName, ClientAccountName, ServiceName};
use quincevalve_node::{
    Listeners,
    ports::{
        Change, Changes, CloudApi, CloudError, Commit, DecodedSignals, DutyHolder, EngineApi,
        HeaderNames, LeaseId, MigratedRequest, MigrationError, PlatformStore, ReadConsistency,
        RolloutStatus, ServerOrder, Snapshot, StoreError, StoreRevision, SystemItem,
    },
    settings::{Bounds, Duties, NodeSettings},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc, watch},
    task::{LocalSet, spawn_local},
    time::sleep,
};

/// Runs a test on one thread, as the process does.
pub fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let local = LocalSet::new();
    runtime.expect("a runtime").block_on(local.run_until(test));
}

/// A store that holds one configuration and some servers, and can fall silent or turn one VM away. Each VM has its
/// own handle.
#[derive(Clone, Default)]
pub struct FakeStore {
    shared: Rc<StoreState>,
    vm: Rc<VmCalls>,
}

#[derive(Default)]
struct StoreState {
    config: RefCell<Option<ForwardingConfig>>,
    servers: RefCell<Vec<(BackendServerName, ServerEntry)>>,
    own: RefCell<Vec<SystemItem>>,
    rollouts: RefCell<IndexMap<ServiceName, RolloutOrder>>,
    /// The words about roll-outs, oldest first.
    statuses: RefCell<Vec<RolloutStatus>>,
    changes: RefCell<Vec<(StoreRevision, FakeChange)>>,
    silent: Cell<bool>,
    /// What others write between the next word about a roll-out and its taking effect.
    before_word: RefCell<Option<BeforeWord>>,
    holds_changes: Cell<bool>,
    /// Changes in one answer at most.
    cuts_at: Cell<Option<usize>>,
    changed: Notify,
}

type BeforeWord = Box<dyn FnOnce(&FakeStore)>;

/// A change of the store after its first revision.
#[derive(Clone)]
enum FakeChange {
    Server(BackendServerName, Option<ServerEntry>),
    Own(String, Option<Vec<u8>>),
    Rollout(ServiceName, Option<RolloutOrder>),
}

impl FakeChange {
    fn at(&self, revision: StoreRevision) -> Change {
        match self.clone() {
            Self::Server(name, Some(entry)) => Change::Server(name, entry),
            Self::Server(name, None) => Change::ServerRemoved(name),
            Self::Own(key, Some(value)) => {
                Change::SystemItem(SystemItem { key, value, revision, lease: None })
            }
            Self::Own(key, None) => Change::SystemItemRemoved(key),
            Self::Rollout(service, Some(order)) => {
                let id = OrderId(revision.0);
                Change::RolloutOrder(service, RolloutOrder { id, ..order })
            }
            Self::Rollout(service, None) => Change::RolloutOrderRemoved(service),
        }
    }
}

/// The calls of one VM.
#[derive(Default)]
struct VmCalls {
    turned_away: Cell<bool>,
    refused: Cell<usize>,
    /// Questions for changes that were answered.
    answered: Cell<usize>,
    /// Answers that were cut.
    cut: Cell<usize>,
    /// Readings of everything.
    whole_readings: Cell<usize>,
}

impl FakeStore {
    pub fn fall_silent(&self) {
        self.shared.silent.set(true);
    }

    /// Answers no question for changes from now on, or answers again those that wait.
    pub fn hold_changes(&self, held: bool) {
        self.shared.holds_changes.set(held);
        self.shared.changed.notify_waiters();
    }

    /// Answers a question with so many changes at most from now on.
    pub fn cut_answers(&self, changes: usize) {
        self.shared.cuts_at.set(Some(changes));
    }

    /// Answers to this handle's VM that were cut.
    pub fn cut(&self) -> usize {
        self.vm.cut.get()
    }

    /// The same store for another VM.
    pub fn for_another_vm(&self) -> Self {
        Self { shared: self.shared.clone(), vm: Rc::default() }
    }

    /// Refuses the calls of this handle's VM from now on, or takes them again.
    pub fn turn_away(&self, turned_away: bool) {
        self.vm.turned_away.set(turned_away);
    }

    /// Calls of this handle's VM that were refused.
    pub fn refused(&self) -> usize {
        self.vm.refused.get()
    }

    /// Questions for changes of this handle's VM that were answered.
    pub fn answered(&self) -> usize {
        self.vm.answered.get()
    }

    /// Lists strong VMs of the same data centre that answer nobody.
    pub fn list_dead_vms(&self, count: u16) {
        let item = |at: u16| {
            let card = VmDescriptor {
                name: format!("dead-{at}"),
                address: ([127, 0, 0, 1], 1).into(),
                data_centre: "a".into(),
                cpu: 4_000,
            };
            SystemItem {
                key: format!("peers/a/{}", card.name),
                value: serde_json::to_vec(&card).expect("a card"),
                revision: StoreRevision(100),
                lease: Some(LeaseId(1)),
            }
        };
        self.shared.own.borrow_mut().extend((0..count).map(item));
    }

    /// Takes a VM's entry out of the store.
    pub fn remove_vm(&self, name: &str) {
        self.shared.own.borrow_mut().retain(|it| it.key != format!("peers/a/{name}"));
    }

    /// Readings of everything by this handle's VM.
    pub fn whole_readings(&self) -> usize {
        self.vm.whole_readings.get()
    }

    /// Writes a changed entry of a server.
    pub fn change(&self, name: &str, entry: ServerEntry) {
        self.add(FakeChange::Server(name.into(), Some(entry)));
    }

    /// Removes the entry of a server.
    pub fn remove(&self, name: &str) {
        self.add(FakeChange::Server(name.into(), None));
    }

    fn add(&self, change: FakeChange) -> StoreRevision {
        let mut changes = self.shared.changes.borrow_mut();
        let at = StoreRevision(100 + changes.len() as u64 + 1);
        changes.push((at, change));
        self.shared.changed.notify_waiters();
        at
    }

    /// Orders a roll-out, as operators do, or removes the order.
    pub fn order_rollout(&self, service: &str, order: Option<RolloutOrder>) {
        let service: ServiceName = service.into();
        let at = self.add(FakeChange::Rollout(service.clone(), order.clone()));
        let mut rollouts = self.shared.rollouts.borrow_mut();
        match order {
            Some(order) => {
                rollouts.insert(service, RolloutOrder { id: OrderId(at.0), ..order });
            }
            None => {
                rollouts.shift_remove(&service);
            }
        }
    }

    /// The order that stands for a service.
    pub fn order_of(&self, service: &str) -> Option<RolloutOrder> {
        let service: ServiceName = service.into();
        self.shared.rollouts.borrow().get(&service).cloned()
    }

    /// The words about roll-outs so far.
    pub fn statuses(&self) -> Vec<RolloutStatus> {
        self.shared.statuses.borrow().clone()
    }

    /// Lets others write just before the next word about a roll-out takes effect.
    pub fn before_next_word(&self, write: impl FnOnce(&Self) + 'static) {
        *self.shared.before_word.borrow_mut() = Some(Box::new(write));
    }

    /// Whether what others were to write is written.
    pub fn was_written_between(&self) -> bool {
        self.shared.before_word.borrow().is_none()
    }

    /// Writes an item of the system's own.
    pub fn put(&self, key: &str, value: Vec<u8>) {
        let revision = self.add(FakeChange::Own(key.to_owned(), Some(value.clone())));
        let mut own = self.shared.own.borrow_mut();
        own.retain(|it| it.key != key);
        own.push(SystemItem { key: key.to_owned(), value, revision, lease: None });
    }

    /// The system's own items whose keys begin with `prefix`.
    pub fn own(&self, prefix: &str) -> Vec<SystemItem> {
        let own = self.shared.own.borrow();
        own.iter().filter(|it| it.key.starts_with(prefix)).cloned().collect()
    }

    async fn answer(&self) -> Result<(), StoreError> {
        if self.shared.silent.get() {
            std::future::pending::<()>().await;
        }
        if self.vm.turned_away.get() {
            self.vm.refused.set(self.vm.refused.get() + 1);
            return Err(StoreError::Unreadable { what: "turned away".to_owned() });
        }
        Ok(())
    }
}

impl PlatformStore for FakeStore {
    async fn snapshot(&self, _: ReadConsistency) -> Result<Snapshot, StoreError> {
        self.answer().await?;
        self.vm.whole_readings.set(self.vm.whole_readings.get() + 1);
        Ok(Snapshot {
            unreadable: Vec::new(),
            rollouts: self
                .shared
                .rollouts
                .borrow()
                .iter()
                .map(|(name, it)| (name.clone(), it.clone()))
                .collect(),
            config: self.shared.config.borrow().clone(),
            servers: self.shared.servers.borrow().clone(),
            system_items: self.shared.own.borrow().clone(),
            at: StoreRevision(100),
            newest: StoreRevision(100),
        })
    }

    async fn system_items(&self, prefix: &str) -> Result<Vec<SystemItem>, StoreError> {
        self.answer().await?;
        Ok(self.own(prefix))
    }

    async fn changes(&self, after: StoreRevision, wait: Duration) -> Result<Changes, StoreError> {
        self.answer().await?;
        while self.shared.holds_changes.get() {
            self.shared.changed.notified().await;
        }
        let news = || {
            let changes = self.shared.changes.borrow();
            let news = changes.iter().filter(|(at, _)| *at > after);
            news.map(|(at, change)| (*at, change.at(*at))).collect::<Vec<_>>()
        };
        if news().is_empty() {
            tokio::select! {
                () = self.shared.changed.notified() => {}
                () = sleep(wait) => {}
            }
        }
        self.answer().await?;
        self.vm.answered.set(self.vm.answered.get() + 1);
        let mut changes = news();
        let whole = self.shared.cuts_at.get().unwrap_or(changes.len());
        let may_be_truncated = changes.len() > whole;
        changes.truncate(whole);
        if may_be_truncated {
            self.vm.cut.set(self.vm.cut.get() + 1);
        }
        let at = changes.last().map_or(after, |(at, _)| *at);
        Ok(Changes { changes, at, may_be_truncated })
    }

    async fn config(&self, _: ReadConsistency) -> Result<Option<ForwardingConfig>, StoreError> {
        self.answer().await?;
        Ok(self.shared.config.borrow().clone())
    }

    async fn get(&self, key: &str) -> Result<Option<SystemItem>, StoreError> {
        self.answer().await?;
        let found = self.own(key).into_iter().find(|it| it.key == key);
        // Other VMs may read and write before this one has the answer.
        tokio::task::yield_now().await;
        Ok(found)
    }

    async fn commit(&self, commit: &Commit) -> Result<StoreRevision, StoreError> {
        self.answer().await?;
        let revision_of =
            |key: &str| self.own(key).iter().find(|it| it.key == key).map(|it| it.revision);
        let is_expected = |(key, at): &(String, StoreRevision)| {
            revision_of(key).unwrap_or(StoreRevision::ABSENT) == *at
        };
        if !commit.expected.iter().all(is_expected) {
            return Err(StoreError::Conflict);
        }
        let mut newest = StoreRevision(100);
        for (key, value, lease) in &commit.puts {
            newest = self.add(FakeChange::Own(key.clone(), Some(value.clone())));
            let mut own = self.shared.own.borrow_mut();
            own.retain(|it| it.key != *key);
            own.push(SystemItem {
                key: key.clone(),
                value: value.clone(),
                revision: newest,
                lease: *lease,
            });
        }
        for key in &commit.removes {
            newest = self.add(FakeChange::Own(key.clone(), None));
            self.shared.own.borrow_mut().retain(|it| it.key != *key);
        }
        Ok(newest)
    }

    async fn commit_rollout(
        &self,
        commit: &Commit,
        status: &RolloutStatus,
    ) -> Result<StoreRevision, StoreError> {
        let before = self.shared.before_word.borrow_mut().take();
        if let Some(write) = before {
            write(self);
        }
        let stands = {
            let rollouts = self.shared.rollouts.borrow();
            rollouts.get(&status.service).map_or(StoreRevision::ABSENT, |it| StoreRevision(it.id.0))
        };
        if stands != status.order {
            return Err(StoreError::Conflict);
        }
        let revision = self.commit(commit).await?;
        self.shared.statuses.borrow_mut().push(status.clone());
        Ok(revision)
    }

    async fn grant(&self, _: Duration) -> Result<LeaseId, StoreError> {
        self.answer().await?;
        Ok(LeaseId(1))
    }

    async fn renew(&self, _: LeaseId) -> Result<(), StoreError> {
        self.answer().await
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), StoreError> {
        Ok(())
    }
}

#[derive(Clone)]
pub struct FakeCloud;

impl CloudApi for FakeCloud {
    async fn report_usage(
        &self,
        _: &DutyHolder,
        _: u64,
        _: &IndexMap<ClientAccountName, u64>,
    ) -> Result<(), CloudError> {
        Ok(())
    }

    async fn order(&self, _: &DutyHolder, _: &ServerOrder) -> Result<(), CloudError> {
        Ok(())
    }
}

/// Engines that take orders to move runs, and tell the test of them.
#[derive(Clone)]
pub struct FakeEngines(mpsc::UnboundedSender<String>);

impl EngineApi for FakeEngines {
    async fn migrate_request(
        &self,
        from: SocketAddr,
        _: SocketAddr,
        attempt_id: &str,
    ) -> Result<MigratedRequest, MigrationError> {
        self.0.send(attempt_id.to_owned()).expect("the test waits for moves");
        let ticket = format!("{from}/copy-1").parse().expect("a header value");
        Ok(MigratedRequest { ticket })
    }
}

/// Decodes the headers in which scripted servers say something of themselves.
fn signals(headers: &HeaderMap) -> DecodedSignals {
    let number = |name| headers.get(name)?.to_str().ok()?.parse().ok();
    let signals = ServerSignals {
        limit: number("x-limit").and_then(RequestRate::new),
        leaving: headers.contains_key("x-leaving"),
        rest: number("x-rest").map(Duration::from_secs_f64),
    };
    DecodedSignals { signals, unreadable: Vec::new() }
}

pub fn headers() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        attempt_id: name("x-attempt"),
        deadline_ms: name("x-deadline-ms"),
        key: name("x-key"),
        account: name("x-account"),
        prompt_parts: name("x-parts"),
        token_counts: name("x-tokens"),
        length_hint: name("x-hint"),
        expected_server: name("x-expected"),
        answering_server: name("x-answering"),
        seal: name("x-seal"),
        not_run: name("x-not-run"),
        urgency: name("x-urgency"),
        last_event_id: name("last-event-id"),
        migrated_from: name("x-moved-from"),
        signals,
        internal: vec![name("x-moved-from"), name("x-urgency"), name("x-internal")],
    }
}

fn settings(name: &str) -> NodeSettings {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    NodeSettings {
        name: name.into(),
        data_centre: "a".into(),
        ip: any.ip(),
        cpu: 250,
        link_bytes_per_second: 125_000_000,
        front: any,
        ready: any,
        peer_port: 0,
        metrics: any,
        is_first_start: false,
        bounds: Bounds {
            change_in_force: Duration::from_secs(2),
            key_removed: Duration::from_secs(5),
            keys_fail_closed: true,
            grace: Duration::from_secs(8),
        },
        exposure: SharedLimit { ratio: 0.1, slack: 50.0 },
        retries: RetryLimits { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) },
        quotas: QuotaLimits { window: Duration::from_secs(8), overage: 0.0, slack: 0.0 },
        duties: Duties {
            usage: false,
            scaling: false,
            usage_window: Duration::from_secs(5),
            lease: Duration::from_secs(3),
        },
    }
}

fn route(prefix: &str, repeat: RetrySafety) -> Route {
    Route {
        name: prefix.into(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        targets: vec![Target { service: "engines".into(), weight: 1 }],
        retry_safety: repeat,
        timeout: Duration::from_secs(20),
        objective: Duration::from_secs(5),
        max_servers: 2,
        urgency: 1,
        anonymous: false,
    }
}

fn config() -> ForwardingConfig {
    let account = Account { keys: vec!["key-1".into()], urgency: None, quota: None };
    let engine = Engine { slots: 64, kv_tokens: 100_000, supports_migration: true };
    let service = Service { engine: Some(engine), ..Service::default() };
    let limits = CallerLimits {
        head_bytes: 16 << 10,
        body_bytes: 1_000,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let routes = vec![
        route("/safe/", RetrySafety::Idempotent),
        route("/once/", RetrySafety::NonIdempotent),
        route("/stream/", RetrySafety::Stream),
        route("/resumable/", RetrySafety::ResumableStream),
        Route { anonymous: true, ..route("/open/", RetrySafety::NonIdempotent) },
    ];
    ForwardingConfig::new(
        1,
        routes,
        IndexMap::from([("engines".into(), service)]),
        IndexMap::from([("desk".into(), account)]),
        limits,
    )
}

pub fn entry(address: SocketAddr) -> ServerEntry {
    ServerEntry {
        start: quincevalve_forwarding::servers::ServerStart(1),
        service: "engines".into(),
        address,
        data_centre: "a".into(),
        version: "v1".into(),
        slots: 64,
        is_cold: false,
        draining: false,
        reclaimable: false,
        leaves_in: None,
    }
}

/// What a scripted server does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Sends these bytes and keeps the connection.
    Send(String),
    /// Sends these bytes and closes the connection.
    SendAndClose(String),
    /// Sends these bytes and waits until the caller closes the connection.
    SendAndWait(String),
    /// Sends these bytes, waits for the word, and closes the connection.
    SendAndHold(String, Rc<Notify>),
    /// Sends these bytes, and the server's process ends with all its connections. Another start of it comes back under
    /// a name and at a port of its own.
    SendAndExit(String),
    /// The same once the word came.
    SendAndExitAt(String, Rc<Notify>),
}

/// A request as a server got it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub server: usize,
    pub at: Instant,
    pub head: String,
    pub body: String,
}

impl Arrival {
    pub fn header(&self, name: &str) -> Option<&str> {
        let line = self.head.lines().find(|it| it.starts_with(&format!("{name}: ")))?;
        Some(&line[name.len() + 2..])
    }
}

/// A process that runs.
pub struct Vm {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub moves: mpsc::UnboundedReceiver<String>,
}

impl Vm {
    /// Starts a process of that name and waits until it is ready.
    pub async fn start(name: &str, store: FakeStore) -> Self {
        let vm = Self::begin(name, store).await;
        while !get(vm.ready, "/readyz").await.starts_with("HTTP/1.1 200") {
            sleep(Duration::from_millis(5)).await;
        }
        vm
    }

    /// Starts a process of that name.
    pub async fn begin(name: &str, store: FakeStore) -> Self {
        Self::begin_with(settings(name), store).await
    }

    /// Starts a process of that name of a system that starts for the first time.
    pub async fn begin_first(name: &str, store: FakeStore) -> Self {
        Self::begin_with(NodeSettings { is_first_start: true, ..settings(name) }, store).await
    }

    async fn begin_with(mut settings: NodeSettings, store: FakeStore) -> Self {
        let listeners = Listeners::bind(&settings).await.expect("free ports");
        settings.peer_port = listeners.peer_address().expect("an address").port();
        let front = listeners.front_address().expect("an address");
        let ready = listeners.ready_address().expect("an address");
        let metrics = listeners.metrics_address().expect("an address");
        let (moves_tx, moves) = mpsc::unbounded_channel();
        let engines = FakeEngines(moves_tx);
        let process =
            quincevalve_node::run(settings, listeners, headers(), store, FakeCloud, engines);
        spawn_local(async move { process.await.expect("a process that runs") });
        Self { front, ready, metrics, moves }
    }

    /// The value of a metric without labels.
    pub async fn metric(&self, name: &str) -> Option<i64> {
        metric(self.metrics, name).await
    }
}

/// The value of a metric without labels.
pub async fn metric(metrics: SocketAddr, name: &str) -> Option<i64> {
    let text = get(metrics, "/metrics").await;
    let value = text.lines().find_map(|it| it.strip_prefix(name)?.strip_prefix(' '));
    value.and_then(|it| it.parse().ok())
}

pub async fn get(address: SocketAddr, path: &str) -> String {
    let text = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    exchange(address, &text).await
}

/// The process with its scripted servers.
pub struct World {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub store: FakeStore,
    pub arrivals: mpsc::UnboundedReceiver<Arrival>,
    /// Servers whose caller closed the connection.
    pub left: mpsc::UnboundedReceiver<usize>,
    pub moves: mpsc::UnboundedReceiver<String>,
    pub servers: Vec<SocketAddr>,
    /// Connections that servers took.
    pub connections: Rc<Cell<usize>>,
}

impl World {
    /// Starts the process and `count` servers that answer by `script`, which gets the number of the arrival
    /// and the arrival.
    pub async fn start<F>(count: usize, script: F) -> Self
    where
        F: Fn(usize, &Arrival) -> Reply + 'static,
    {
        let store = FakeStore::default();
        let (arrivals_tx, arrivals) = mpsc::unbounded_channel();
        let (left_tx, left) = mpsc::unbounded_channel();
        let connections = Rc::new(Cell::new(0));
        let fleet = Rc::new(Fleet {
            script,
            store: store.clone(),
            seen: Cell::new(0),
            started: Cell::new(count),
            arrivals: arrivals_tx,
            left: left_tx,
            connections: connections.clone(),
        });
        let mut servers = Vec::new();
        for at in 0..count {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
            let address = listener.local_addr().expect("an address");
            servers.push(address);
            let name = format!("server-{at}");
            store.shared.servers.borrow_mut().push((name.as_str().into(), entry(address)));
            spawn_local(run_server(fleet.clone(), at, listener));
        }
        *store.shared.config.borrow_mut() = Some(config());
        let vm = Vm::start("vm-1", store.clone()).await;
        let Vm { front, ready, metrics, moves } = vm;
        Self { front, ready, metrics, store, arrivals, left, moves, servers, connections }
    }

    /// Sends a request to the front and reads until the connection ends.
    pub async fn ask(&self, path: &str, id: &str, more: &str) -> String {
        exchange(self.front, &request(path, id, more)).await
    }

    pub async fn get(&self, address: SocketAddr, path: &str) -> String {
        get(address, path).await
    }

    /// The arrivals until now.
    pub fn arrived(&mut self) -> Vec<Arrival> {
        std::iter::from_fn(|| self.arrivals.try_recv().ok()).collect()
    }
}

/// A request with a key and one body.
pub fn request(path: &str, id: &str, more: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-key: key-1\r\nx-attempt: {id}\r\n\
         x-deadline-ms: 15000\r\nconnection: close\r\ncontent-length: 4\r\n{more}\r\nbody"
    )
}

pub async fn exchange(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a listener");
    stream.write_all(text.as_bytes()).await.expect("a reader");
    let mut answer = Vec::new();
    // A reset ends the answer like a close.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// What all scripted servers share.
struct Fleet<F> {
    script: F,
    store: FakeStore,
    /// Requests that have arrived.
    seen: Cell<usize>,
    /// Servers that were started.
    started: Cell<usize>,
    arrivals: mpsc::UnboundedSender<Arrival>,
    left: mpsc::UnboundedSender<usize>,
    connections: Rc<Cell<usize>>,
}

/// Time until another start of a server that exited is back.
const RESTART_TIME: Duration = Duration::from_millis(100);

/// Runs a server, and after each exit its next start.
async fn run_server<F>(fleet: Rc<Fleet<F>>, mut at: usize, mut listener: TcpListener)
where
    F: Fn(usize, &Arrival) -> Reply + 'static,
{
    loop {
        serve_until_exit(&fleet, at, listener).await;
        let gone = format!("server-{at}");
        sleep(RESTART_TIME).await;
        listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        at = fleet.started.replace(fleet.started.get() + 1);
        let address = listener.local_addr().expect("an address");
        fleet.store.change(&format!("server-{at}"), entry(address));
        fleet.store.remove(&gone);
    }
}

/// Serves until a request ends the process; then nobody listens any more and all connections are closed.
async fn serve_until_exit<F>(fleet: &Rc<Fleet<F>>, at: usize, listener: TcpListener)
where
    F: Fn(usize, &Arrival) -> Reply + 'static,
{
    let (exit_tx, exit) = watch::channel(false);
    let exit_tx = Rc::new(exit_tx);
    let mut exited = exit.clone();
    loop {
        let stream = tokio::select! {
            _ = exited.wait_for(|it| *it) => return,
            accepted = listener.accept() => accepted.expect("a connection").0,
        };
        fleet.connections.set(fleet.connections.get() + 1);
        let (fleet, exit_tx, mut exit) = (fleet.clone(), exit_tx.clone(), exit.clone());
        spawn_local(async move {
            tokio::select! {
                _ = exit.wait_for(|it| *it) => {}
                () = serve(&fleet, at, stream, &exit_tx) => {}
            }
        });
    }
}

async fn serve<F>(
    fleet: &Fleet<F>,
    server: usize,
    mut stream: TcpStream,
    exit: &watch::Sender<bool>,
) where
    F: Fn(usize, &Arrival) -> Reply,
{
    while let Some(arrival) = read_request(server, &mut stream).await {
        let number = fleet.seen.replace(fleet.seen.get() + 1);
        let reply = (fleet.script)(number, &arrival);
        let _ = fleet.arrivals.send(arrival);
        match reply {
            Reply::Send(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
            }
            Reply::SendAndClose(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
                return;
            }
            Reply::SendAndWait(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
                let mut rest = [0; 64];
                while matches!(stream.read(&mut rest).await, Ok(read) if read > 0) {}
                let _ = fleet.left.send(server);
                return;
            }
            Reply::SendAndHold(text, word) => {
                let _ = stream.write_all(text.as_bytes()).await;
                word.notified().await;
                return;
            }
            Reply::SendAndExit(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
                exit.send_replace(true);
                return;
            }
            Reply::SendAndExitAt(text, word) => {
                let _ = stream.write_all(text.as_bytes()).await;
                word.notified().await;
                exit.send_replace(true);
                return;
            }
        }
    }
}

async fn read_request(server: usize, stream: &mut TcpStream) -> Option<Arrival> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4_096];
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut buf).await {
            Ok(read) if read > 0 => bytes.extend_from_slice(&buf[..read]),
            _ => return None,
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length = head.lines().find_map(|it| it.strip_prefix("content-length: "));
    let length: usize = length.and_then(|it| it.parse().ok()).unwrap_or_default();
    while bytes.len() < end + length {
        match stream.read(&mut buf).await {
            Ok(read) if read > 0 => bytes.extend_from_slice(&buf[..read]),
            _ => return None,
        }
    }
    let body = String::from_utf8_lossy(&bytes[end..end + length]).into_owned();
    Some(Arrival { server, at: Instant::now(), head, body })
}

/// A sealed answer to an arrival.
pub fn sealed(arrival: &Arrival, status: &str, body: &str) -> String {
    sealed_with(arrival, status, "", body)
}

/// A sealed answer with more headers, each with its line end.
pub fn sealed_with(arrival: &Arrival, status: &str, more: &str, body: &str) -> String {
    let id = arrival.header("x-attempt").unwrap_or_default();
    format!(
        "HTTP/1.1 {status}\r\nx-attempt: {id}\r\nx-seal: s-1\r\n{more}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The head of a sealed stream.
pub fn stream_head(arrival: &Arrival) -> String {
    let id = arrival.header("x-attempt").unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nx-attempt: {id}\r\nx-seal: s-1\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    )
}

/// Events of a stream, in one chunk each.
pub fn events(ids: std::ops::RangeInclusive<u32>) -> String {
    ids.map(|id| chunk(&format!("id: {id}\ndata: t{id}\n\n"))).collect()
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The end of a chunked body.
pub const END: &str = "0\r\n\r\n";
