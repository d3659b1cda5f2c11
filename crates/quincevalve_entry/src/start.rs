//! One entry VM, started from its settings.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, atomic::AtomicBool},
    time::Duration,
};

use quincevalve_inventory::{Format, ReadError, read_inventory};
use quincevalve_names::{Revision, hash_text};
use quincevalve_ports::{HttpClient, engine::EngineClient};
use quincevalve_program::{Metrics, MetricsError};
use quincevalve_retries::{HedgeClock, RetryBudget};
use quincevalve_routing::{PredictedFirstToken, Router};
use quincevalve_timer::Timer;
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpListener, sync::watch};

use crate::{
    answers::Answers,
    burn::Burn,
    departures::Departures,
    filters::AdmissionDesk,
    front, observe,
    settings::EntrySettings,
    shared::{Shared, seeded},
    view::View,
};

/// An entry VM that can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The inventory file can't be read.
    #[snafu(display("{}: {source}", file.display()))]
    InventoryFile {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The inventory can't be taken.
    #[snafu(display("{source}"))]
    Inventory {
        /// Why.
        source: ReadError,
    },
    /// The address can't be listened on.
    #[snafu(display("listen = \"{address}\": {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// Metrics can't be started.
    #[snafu(display("{source}"))]
    Metrics {
        /// Why.
        source: MetricsError,
    },
}

/// A running entry VM.
pub struct EntryVm {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: watch::Sender<bool>,
    front: tokio::task::JoinHandle<()>,
}

impl EntryVm {
    /// Starts on the current runtime, with the inventory that the settings name.
    pub async fn start(settings: EntrySettings) -> Result<Self, StartError> {
        let file = settings.inventory.clone();
        let text = std::fs::read_to_string(&file).context(InventoryFileSnafu { file: &file })?;
        let inventory = read_inventory(&file.display().to_string(), &text, Format::Toml)
            .context(InventorySnafu)?;
        Self::start_with(settings, View::new(Revision(0), inventory)).await
    }

    /// Starts on the current runtime, with a view.
    pub async fn start_with(settings: EntrySettings, view: View) -> Result<Self, StartError> {
        let listen = settings.listen;
        let listener = TcpListener::bind(listen).await.context(ListenSnafu { address: listen })?;
        let address = listener.local_addr().context(ListenSnafu { address: listen })?;
        let metrics = Metrics::start(&settings.metrics).context(MetricsSnafu)?;
        let (_views, view) = watch::channel(Arc::new(view));
        let shared = Arc::new(new_shared(settings, view, metrics));
        let initial = shared.view();
        shared.take_servers(&initial);
        observe::set_capacities(&shared, &initial);

        let (stop, stopped) = watch::channel(false);
        let front = tokio::spawn(front::accept(Arc::clone(&shared), listener, stopped));
        let vm = Self { shared, address, stop, front };
        vm.start_observers();
        Ok(vm)
    }

    fn start_observers(&self) {
        let shared = &self.shared;
        tokio::spawn(observe::watch_capacity(Arc::clone(shared)));
        tokio::spawn(observe::watch_loads(Arc::clone(shared)));
        tokio::spawn(observe::watch_list(Arc::clone(shared), observe::cloud_client(shared)));
        let own = Arc::clone(shared);
        let on_own = move |left: Duration, _wave: Vec<String>| {
            log::info!("{} is taken back in {left:?}", own.settings.name);
            own.leave();
        };
        let cloud = observe::cloud_client(shared);
        tokio::spawn(observe::watch_notices(Arc::clone(shared), cloud, on_own));
    }

    /// Where callers reach it.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// A graceful shutdown: readiness drops, what runs is finished, then connections are closed.
    pub async fn stop(self) {
        self.shared.leave();
        let pacing = self.shared.settings.pacing;
        let deadline = self.shared.timer.now() + pacing.drain();
        // The balancer still sends until it has seen the readiness drop; those callers get an answer.
        self.shared.timer.after(Duration::from_millis(pacing.balancer_ms)).await;
        while !self.shared.answers.running().is_empty() && self.shared.timer.now() < deadline {
            self.shared.timer.after(STOP_POLL).await;
        }
        self.stop.send_replace(true);
        let _ = self.front.await;
    }
}

const STOP_POLL: Duration = Duration::from_millis(20);

fn new_shared(
    settings: EntrySettings,
    view: watch::Receiver<Arc<View>>,
    metrics: Metrics,
) -> Shared {
    let timer = Timer::start();
    let started = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let nanos = started.map_or(0, |it| it.as_nanos() as u64);
    // Two VMs, or two lives of one, must not draw the same request ids.
    let seed = hash_text(settings.name.as_str()) ^ nanos;
    let http = HttpClient::new(Some(settings.listen.ip()), settings.pacing.connect());
    Shared {
        router: Mutex::new(Router::new(PredictedFirstToken, seed)),
        admission: AdmissionDesk::new(timer.clone()),
        budget: Mutex::new(RetryBudget::default()),
        hedge: Mutex::new(HedgeClock::default()),
        answers: Answers::new(settings.limits),
        departures: Departures::default(),
        engines: EngineClient::new(http),
        burn: Burn::default(),
        rng: Mutex::new(seeded(seed)),
        leaving: AtomicBool::new(false),
        metrics,
        timer,
        view,
        settings,
    }
}
