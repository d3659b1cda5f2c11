//! The system under test: stand-ins, entry VMs and the simulated network between them.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use quincevalve_control::{
    AdminRole, ControlPacing, ControlProcess, ControlSettings, PlanPacing, Team,
};
use quincevalve_entry::{EntrySettings, EntryVm, LedgerSettings, Limits, Pacing, View};
use quincevalve_inventory::{Inventory, KeyHash, ReadError, Serves};
use quincevalve_names::{DataCentreName, EntryVmName, Incarnation, Revision};
use quincevalve_ports::cloud::{ListedVm, VmState};
use quincevalve_program::{LogSettings, MetricsSettings};
use quincevalve_standins::{Engine, EngineSpeed, NetworkProxy, Partitions, PlainService, Platform};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::{net::TcpListener, sync::mpsc};

use crate::{
    caller::{Balancer, Received, send_all},
    fault::Fault,
    operator::Race,
    options::Options,
    vm_thread::VmThread,
    workload,
};

/// Zone number of the platform; part of its loopback addresses.
pub(crate) const PLATFORM_ZONE: u8 = 200;
const ENTRY_VMS_PER_DATA_CENTRE: u8 = 2;
/// Time for the entry VMs to discover each other before the first request.
const WARM_UP_TIME: Duration = Duration::from_millis(800);
/// Processing time of one call to a plain service.
const SERVICE_TIME: Duration = Duration::from_millis(8);
/// Cache size of each engine stand-in, in tokens.
const ENGINE_CACHE_TOKENS: u32 = 60_000;

/// Error while starting the testbed.
#[derive(Debug, Snafu)]
pub(crate) enum TestbedError {
    #[snafu(display("{source}"))]
    Inventory { source: ReadError },
    #[snafu(display("failed to bind {address}: {source}"))]
    Bind { address: SocketAddr, source: std::io::Error },
    #[snafu(display("{name} did not start"))]
    Start { name: String },
}

/// Stand-in that runs on a backend server.
pub(crate) enum Backend {
    Engine(Box<Engine>),
    Service(PlainService),
}

/// A running backend server.
pub(crate) struct BackendVm {
    pub(crate) name: String,
    pub(crate) data_centre: DataCentreName,
    pub(crate) price_milli: u64,
    pub(crate) backend: Backend,
    pub(crate) proxy: NetworkProxy,
    pub(crate) thread: VmThread,
    pub(crate) ended_at: Option<Instant>,
}

/// A running entry VM with its control process.
pub(crate) struct EntryThread {
    pub(crate) name: EntryVmName,
    pub(crate) data_centre: DataCentreName,
    pub(crate) address: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) thread: VmThread,
    stop: mpsc::UnboundedSender<()>,
}

impl EntryThread {
    /// Starts a graceful shutdown, as SIGTERM does.
    pub(crate) fn stop(&self) {
        let _ = self.stop.send(());
    }
}

/// All running VMs of the trial with the network between them.
pub(crate) struct Testbed {
    pub(crate) platform: Platform,
    pub(crate) partitions: Partitions,
    pub(crate) backends: Vec<BackendVm>,
    pub(crate) entries: Vec<EntryThread>,
    pub(crate) inventory: Inventory,
    pub(crate) started: Instant,
    pub(crate) races: Vec<Race>,
    platform_thread: VmThread,
    network: VmThread,
}

fn loopback(zone: u8, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, zone, host))
}

/// Binds a port that the operating system chooses.
fn bind(ip: IpAddr) -> Result<(std::net::TcpListener, SocketAddr), TestbedError> {
    let wanted = SocketAddr::new(ip, 0);
    let try_bind = || -> std::io::Result<_> {
        let listener = std::net::TcpListener::bind(wanted)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        Ok((listener, address))
    };
    try_bind().context(BindSnafu { address: wanted })
}

impl Testbed {
    pub(crate) fn start(options: &Options) -> Result<Self, TestbedError> {
        let mut inventory = options.user.inventory().context(InventorySnafu)?;
        let partitions = Partitions::default();
        let mut proxies = Vec::new();
        let (platform, platform_thread, platform_address) = start_platform(options.seed)?;
        let proxy = NetworkProxy::new(platform_address, PLATFORM_ZONE, partitions.clone());
        let (listener, platform_address) = bind(loopback(PLATFORM_ZONE, 1))?;
        proxies.push((proxy, listener));
        let mut backends = Vec::new();
        for position in 0..inventory.backend_server.len() {
            let (vm, listener, address) =
                start_backend(&inventory, position, options.seed, &partitions)?;
            proxies.push((vm.proxy.clone(), listener));
            inventory.backend_server[position].address = address;
            platform.list_vm_now(vm_listing(&vm.name, &vm.data_centre));
            backends.push(vm);
        }
        let mut plans = Vec::new();
        for (zone, data_centre) in inventory.data_centre.keys().enumerate() {
            for number in 0..ENTRY_VMS_PER_DATA_CENTRE {
                let zone = zone as u8 + 1;
                let name = format!("entry-{data_centre}-{}", number + 1);
                let ip = loopback(zone, 10 + number);
                let plan = EntryPlan::new(&name, data_centre, ip, platform_address)?;
                let row = ListedVm {
                    peer_address: Some(plan.control_listener.1),
                    ..vm_listing(&name, data_centre)
                };
                platform.list_vm_now(row);
                plans.push((plan, zone));
            }
        }
        let mut entries = Vec::new();
        for (plan, zone) in plans {
            let (entry, entry_proxies) = start_entry(plan, zone, &partitions, &inventory)?;
            entries.push(entry);
            proxies.extend(entry_proxies);
        }
        let network = start_network(proxies)?;
        Ok(Self {
            platform,
            partitions,
            backends,
            entries,
            inventory,
            started: Instant::now(),
            races: Vec::new(),
            platform_thread,
            network,
        })
    }

    /// Sends all requests while injecting the faults, shuts the testbed down and returns what callers received.
    pub(crate) fn run(&mut self, options: &Options) -> Vec<Received> {
        std::thread::sleep(WARM_UP_TIME);
        let overload = options.faults.contains(&Fault::Overload);
        let planned_requests =
            workload::generate(options.user, options.requests, options.seed, overload);
        let run_length = planned_requests.last().map_or(Duration::ZERO, |it| it.send_at);
        let balancer = Balancer::new(self.entries.iter().map(|it| it.address).collect());
        let caller_thread = std::thread::spawn(move || send_all(balancer, planned_requests));
        self.inject_faults(options, run_length);
        let received = caller_thread.join().unwrap_or_default();
        self.shut_down();
        received
    }

    /// Injects the faults one after the other, evenly spaced from 20% of the run's length on and before 70%.
    ///
    /// A fault that is still in progress delays the next one.
    fn inject_faults(&mut self, options: &Options, run_length: Duration) {
        let begin = Instant::now();
        let count = options.faults.len().max(1) as u32;
        for (position, fault) in options.faults.iter().enumerate() {
            let at = run_length / 5 + run_length * position as u32 / (2 * count);
            std::thread::sleep(at.saturating_sub(begin.elapsed()));
            crate::verdict::print_progress(&format!("fault {} on", fault.name()));
            self.inject(*fault, position, options.seed);
        }
    }

    fn shut_down(&mut self) {
        for entry in &mut self.entries {
            entry.thread.kill();
        }
        for backend in &mut self.backends {
            backend.thread.kill();
        }
        self.network.kill();
        self.platform_thread.kill();
    }
}

fn vm_listing(name: &str, data_centre: &DataCentreName) -> ListedVm {
    ListedVm {
        name: name.to_owned(),
        data_centre: data_centre.clone(),
        incarnation: Incarnation(1),
        state: VmState::Live,
        peer_address: None,
    }
}

fn start_platform(seed: u64) -> Result<(Platform, VmThread, SocketAddr), TestbedError> {
    let (listener, address) = bind(loopback(PLATFORM_ZONE, 2))?;
    let started = VmThread::start(move |ready| async move {
        let platform = Platform::new(seed);
        let _ = ready.send(platform.clone());
        if let Ok(listener) = TcpListener::from_std(listener) {
            platform.serve(listener).await;
        }
    });
    let (thread, platform) = started.context(StartSnafu { name: "platform" })?;
    Ok((platform, thread, address))
}

type StartedBackend = (BackendVm, std::net::TcpListener, SocketAddr);

fn start_backend(
    inventory: &Inventory,
    position: usize,
    seed: u64,
    partitions: &Partitions,
) -> Result<StartedBackend, TestbedError> {
    let (name, server) = &inventory.backend_server.as_slice()[position..]
        .first()
        .context(StartSnafu { name: "backend" })?;
    let zone = inventory.data_centre.get_index_of(&server.data_centre).unwrap_or(0) as u8 + 1;
    let ip = loopback(zone, 100 + position as u8);
    let (listener, server_address) = bind(ip)?;
    let speed = EngineSpeed {
        slots: server.slots,
        prefill_tokens_per_s: server.prefill_tokens_per_s,
        token_time: Duration::from_micros(u64::from(server.token_us)),
        cache_tokens: ENGINE_CACHE_TOKENS,
    };
    let is_engine = matches!(server.serves, Serves::Model(_));
    let seed = seed.wrapping_add(position as u64);
    let started = VmThread::start(move |ready| async move {
        let Ok(listener) = TcpListener::from_std(listener) else { return };
        if is_engine {
            let engine = Engine::new(speed, Incarnation(1), seed);
            let _ = ready.send(Backend::Engine(Box::new(engine.clone())));
            engine.serve(listener).await;
        } else {
            let service = PlainService::new(SERVICE_TIME);
            let _ = ready.send(Backend::Service(service.clone()));
            service.serve(listener).await;
        }
    });
    let (thread, backend) = started.context(StartSnafu { name: name.as_str() })?;
    let (listener, address) = bind(ip)?;
    let prices = inventory.vm_class.get(&server.vm_class);
    let price = prices.and_then(|it| it.price_milli.get(&server.data_centre));
    let vm = BackendVm {
        name: name.to_string(),
        data_centre: server.data_centre.clone(),
        price_milli: price.copied().unwrap_or(0),
        backend,
        proxy: NetworkProxy::new(server_address, zone, partitions.clone()),
        thread,
        ended_at: None,
    };
    Ok((vm, listener, address))
}

fn start_network(
    proxies: Vec<(NetworkProxy, std::net::TcpListener)>,
) -> Result<VmThread, TestbedError> {
    let started = VmThread::start(move |ready| async move {
        for (proxy, listener) in proxies {
            if let Ok(listener) = TcpListener::from_std(listener) {
                tokio::spawn(proxy.serve(listener));
            }
        }
        let _ = ready.send(());
        std::future::pending::<()>().await;
    });
    started.map(|it| it.0).context(StartSnafu { name: "network" })
}

type Listener = (std::net::TcpListener, SocketAddr);

/// An entry VM before it starts. Its addresses are already bound, so that the platform can list them.
struct EntryPlan {
    name: String,
    data_centre: DataCentreName,
    ip: IpAddr,
    platform: SocketAddr,
    control_listener: Listener,
    entry_listener: Listener,
}

impl EntryPlan {
    fn new(
        name: &str,
        data_centre: &DataCentreName,
        ip: IpAddr,
        platform: SocketAddr,
    ) -> Result<Self, TestbedError> {
        Ok(Self {
            name: name.to_owned(),
            data_centre: data_centre.clone(),
            ip,
            platform,
            control_listener: bind(ip)?,
            entry_listener: bind(ip)?,
        })
    }

    fn control_settings(&self) -> ControlSettings {
        let free = SocketAddr::new(self.ip, 0);
        ControlSettings {
            name: self.name.as_str().into(),
            data_centre: self.data_centre.clone(),
            peer_listen: free,
            peer_advertise: Some(self.control_listener.1),
            entry_peer: self.entry_listener.1,
            local_listen: free,
            admin_listen: Some(free),
            platform: self.platform,
            seeds: Vec::new(),
            peer_tls: None,
            team: vec![Team {
                name: "operators".to_owned(),
                role: AdminRole::Operator,
                accounts: Vec::new(),
                key_sha256: KeyHash::of(OPERATOR_KEY),
            }],
            pacing: control_pacing(),
            plan: PlanPacing::default(),
            log: LogSettings::default(),
            metrics: MetricsSettings::default(),
        }
    }

    fn entry_settings(&self, control: SocketAddr) -> EntrySettings {
        let free = SocketAddr::new(self.ip, 0);
        EntrySettings {
            name: self.name.as_str().into(),
            data_centre: self.data_centre.clone(),
            listen: free,
            status_listen: Some(free),
            peer_listen: free,
            control: Some(control),
            peer_tls: None,
            inventory: "inventory.toml".into(),
            platform: self.platform,
            limits: Limits::default(),
            ledger: LedgerSettings { pace_ms: 20, give_up_ms: 800, ..LedgerSettings::default() },
            pacing: pacing(),
            log: LogSettings::default(),
            metrics: MetricsSettings::default(),
        }
    }
}

/// API key of the trial's operators.
pub(crate) const OPERATOR_KEY: &str = "operator-key";

/// Addresses of a started entry VM and its control process.
struct EntryAddresses {
    callers: SocketAddr,
    peers: SocketAddr,
    control: SocketAddr,
    admin: SocketAddr,
}

type Proxies = Vec<(NetworkProxy, std::net::TcpListener)>;

fn start_entry(
    plan: EntryPlan,
    zone: u8,
    partitions: &Partitions,
    inventory: &Inventory,
) -> Result<(EntryThread, Proxies), TestbedError> {
    let view = View::new(Revision(0), inventory.clone());
    let (stop, mut stopped) = mpsc::unbounded_channel();
    let control_settings = plan.control_settings();
    let entry_settings = plan.entry_settings(SocketAddr::new(plan.ip, 0));
    let started = VmThread::start(move |ready| async move {
        let Ok(control) = ControlProcess::start(control_settings).await else { return };
        let settings = EntrySettings { control: Some(control.local_address()), ..entry_settings };
        let Ok(vm) = EntryVm::start_with(settings, view).await else { return };
        let Some(admin) = control.admin_address() else { return };
        let addresses = EntryAddresses {
            callers: vm.address(),
            peers: vm.peer_address(),
            control: control.peer_address(),
            admin,
        };
        let _ = ready.send(addresses);
        stopped.recv().await;
        vm.stop().await;
    });
    let EntryPlan { name, data_centre, control_listener, entry_listener, .. } = plan;
    let (thread, addresses) = started.context(StartSnafu { name: name.as_str() })?;
    let proxy = |target| NetworkProxy::new(target, zone, partitions.clone());
    let proxies = vec![
        (proxy(addresses.control), control_listener.0),
        (proxy(addresses.peers), entry_listener.0),
    ];
    let entry = EntryThread {
        name: name.as_str().into(),
        data_centre,
        address: addresses.callers,
        admin: addresses.admin,
        thread,
        stop,
    };
    Ok((entry, proxies))
}

/// Intervals and timeouts short enough for a run of a few seconds.
fn control_pacing() -> ControlPacing {
    ControlPacing {
        period_ms: 150,
        suspicion_ms: 900,
        peer_ms: 300,
        platform_ms: 400,
        watch_ms: 2_000,
        list_ms: 1_000,
    }
}

/// Timeouts that suit stand-ins that answer within milliseconds.
fn pacing() -> Pacing {
    Pacing {
        connect_ms: 300,
        head_ms: 250,
        first_token_progress_ms: 1_500,
        token_progress_ms: 600,
        probe_ms: 300,
        report_ms: 200,
        reattach_ms: 5_000,
        drain_ms: 20_000,
        balancer_ms: 400,
        platform_ms: 400,
        peer_ms: 400,
    }
}
