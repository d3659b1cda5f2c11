//! Starts and stops one entry VM.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64},
    },
    time::Duration,
};

use quincevalve_intake::{BodyRoom, BoundedListener};
use quincevalve_inventory::{Format, ReadError, read_inventory};
use quincevalve_ledger::ClaimLedger;
use quincevalve_names::hash_text;
use quincevalve_peers::{
    BindError, EntryPeer, PeerClients, PeerListener, PeerSecurity, PeerTlsError,
};
use quincevalve_ports::{HttpClient, engine::EngineClient, store::HttpStore};
use quincevalve_program::{Metrics, MetricsError};
use quincevalve_retries::{HedgeDelay, RetryBudget};
use quincevalve_routing::{PredictedFirstToken, Router};
use quincevalve_timer::Timer;
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpListener, sync::watch};

use crate::{
    answers::Answers,
    burn::Burn,
    control_link::{self, Feeds, INITIAL_REVISION},
    departures::Departures,
    filters::AdmissionControl,
    front, hand_over, observe,
    peer_service::PeerService,
    peers::Peers,
    settings::EntrySettings,
    shared::{Shared, seeded_rng},
    view::View,
};

/// Error of starting an entry VM.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The inventory file can't be read.
    #[snafu(display("{}: {source}", file.display()))]
    InventoryFile {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The inventory is invalid.
    #[snafu(display("{source}"))]
    Inventory {
        /// The cause.
        source: ReadError,
    },
    /// The VM can't listen on the address.
    #[snafu(display("listen = \"{address}\": {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The TLS settings for peers are unusable.
    #[snafu(display("{source}"))]
    PeerTls {
        /// The cause.
        source: PeerTlsError,
    },
    /// The VM can't listen on the address for peers.
    #[snafu(display("peer_listen: {source}"))]
    Peers {
        /// The cause.
        source: BindError,
    },
    /// The metrics exporter can't be started.
    #[snafu(display("{source}"))]
    Metrics {
        /// The cause.
        source: MetricsError,
    },
}

/// Maximum number of connections of operators' tools.
const MAX_STATUS_CONNECTIONS: usize = 16;

/// A running entry VM.
pub struct EntryVm {
    shared: Arc<Shared>,
    address: SocketAddr,
    peer_address: SocketAddr,
    status_address: Option<SocketAddr>,
    stop: watch::Sender<bool>,
    front: tokio::task::JoinHandle<()>,
}

impl EntryVm {
    /// Starts on the current runtime with the inventory file named in the settings.
    pub async fn start(settings: EntrySettings) -> Result<Self, StartError> {
        let file = settings.inventory.clone();
        let text = std::fs::read_to_string(&file).context(InventoryFileSnafu { file: &file })?;
        let inventory = read_inventory(&file.display().to_string(), &text, Format::Toml)
            .context(InventorySnafu)?;
        Self::start_with(settings, View::new(INITIAL_REVISION, inventory)).await
    }

    /// Starts on the current runtime with the given view.
    pub async fn start_with(settings: EntrySettings, view: View) -> Result<Self, StartError> {
        let listen = settings.listen;
        let listener = TcpListener::bind(listen).await.context(ListenSnafu { address: listen })?;
        let address = listener.local_addr().context(ListenSnafu { address: listen })?;
        let metrics = Metrics::start(&settings.metrics).context(MetricsSnafu)?;
        let security = PeerSecurity::new(settings.peer_tls.clone(), settings.peer_listen.ip())
            .context(PeerTlsSnafu)?;
        let peer_listener = PeerListener::bind(settings.peer_listen).await.context(PeersSnafu)?;
        let peer_address = peer_listener.address();
        let (views, view) = watch::channel(Arc::new(view));
        let (peers, peer_table) = watch::channel(Arc::default());
        let feeds = Feeds { views, peers };
        let shared = new_shared(settings, view, peer_table, security.clone(), metrics);
        let shared = Arc::new(shared);
        let initial = shared.view();
        shared.upsert_servers(&initial);
        observe::set_capacities(&shared, &initial);

        let (stop, stopped) = watch::channel(false);
        let front = tokio::spawn(front::accept(Arc::clone(&shared), listener, stopped));
        let mut status_address = None;
        if let Some(address) = shared.settings.status_listen {
            let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
            status_address = listener.local_addr().ok();
            let listener = BoundedListener::new(listener, MAX_STATUS_CONNECTIONS);
            tokio::spawn(front::serve_status(Arc::clone(&shared), listener));
        }
        let service = PeerService { shared: Arc::clone(&shared) };
        tokio::spawn(peer_listener.accept(security.clone(), move |stream| {
            let service = service.clone();
            async move { quincevalve_peers::serve_peer!(stream, service.serve()) }
        }));
        let vm = Self { shared, address, peer_address, status_address, stop, front };
        vm.start_observers();
        vm.start_control_link(&security, feeds);
        Ok(vm)
    }

    fn start_control_link(&self, security: &PeerSecurity, feeds: Feeds) {
        let shared = &self.shared;
        tokio::spawn(control_link::apply_views(Arc::clone(shared)));
        let settings = shared.settings.clone();
        let Some(address) = settings.control else { return };
        let local = Some(settings.peer_listen.ip());
        let callers = PeerClients::new(security.clone(), local, settings.pacing.connect());
        tokio::spawn(control_link::report_status(Arc::clone(shared), address, callers.clone()));
        let timer = shared.timer.clone();
        tokio::spawn(control_link::poll_updates(settings, address, callers, timer, feeds));
    }

    fn start_observers(&self) {
        let shared = &self.shared;
        tokio::spawn(observe::maintain_capacities(Arc::clone(shared)));
        tokio::spawn(observe::poll_loads(Arc::clone(shared)));
        tokio::spawn(observe::poll_vm_list(Arc::clone(shared), observe::cloud_client(shared)));
        let own = Arc::clone(shared);
        let on_own_reclaim = move |left: Duration, wave: Vec<String>| {
            log::info!("{} is reclaimed in {left:?}", own.settings.name);
            tokio::spawn(hand_over::leave(Arc::clone(&own), left, wave));
        };
        let cloud = observe::cloud_client(shared);
        tokio::spawn(observe::poll_notices(Arc::clone(shared), cloud, on_own_reclaim));
    }

    /// Returns the address that callers connect to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the status endpoint, if it is enabled.
    pub const fn status_address(&self) -> Option<SocketAddr> {
        self.status_address
    }

    /// Returns the address that other entry VMs connect to.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Shuts down gracefully: reports not ready, finishes running requests, hands over those that can't finish in
    /// time, then closes connections.
    pub async fn stop(self) {
        self.shared.leave();
        let pacing = self.shared.settings.pacing;
        let deadline = self.shared.timer.now() + pacing.drain();
        // The load balancer keeps sending requests until it has noticed that the VM is not ready; accept them.
        self.shared.timer.after(pacing.balancer()).await;
        self.shared.refuse();
        hand_over::wait_until_idle(&self.shared, deadline).await;
        hand_over::hand_over_all(&self.shared, deadline + pacing.balancer(), &[]).await;
        self.stop.send_replace(true);
        let _ = self.front.await;
    }
}

fn new_shared(
    settings: EntrySettings,
    view: watch::Receiver<Arc<View>>,
    peers: watch::Receiver<Arc<Peers>>,
    security: PeerSecurity,
    metrics: Metrics,
) -> Shared {
    let timer = Timer::start();
    let started = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let nanos = started.map_or(0, |it| it.as_nanos() as u64);
    // Two VMs, or two runs of one VM, must not generate the same request ids.
    let seed = hash_text(settings.name.as_str()) ^ nanos;
    let http = HttpClient::new(Some(settings.listen.ip()), settings.pacing.connect());
    let store = HttpStore::new(http.clone(), settings.platform, settings.pacing.platform());
    let writer = settings.name.as_str();
    let claims = ClaimLedger::new(store, timer.clone(), writer, settings.ledger.into());
    let local = Some(settings.peer_listen.ip());
    Shared {
        callers: PeerClients::new(security, local, settings.pacing.connect()),
        claims,
        peers,
        receiver: Mutex::default(),
        // Hand-over ids must differ between restarts of a VM, because receivers remember them.
        next_hand_over: AtomicU64::new(nanos),
        refusing: AtomicBool::new(false),
        router: Mutex::new(Router::new(PredictedFirstToken, seed)),
        admission: AdmissionControl::new(timer.clone()),
        budget: Mutex::new(RetryBudget::default()),
        hedge: Mutex::new(HedgeDelay::default()),
        answers: Answers::new(settings.limits),
        bodies: BodyRoom::new(settings.limits.held_body_bytes),
        departures: Departures::default(),
        engines: EngineClient::new(http),
        burn: Burn::default(),
        rng: Mutex::new(seeded_rng(seed)),
        leaving: AtomicBool::new(false),
        metrics,
        timer,
        view,
        settings,
    }
}
