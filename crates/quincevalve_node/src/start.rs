//! Start and shutdown of the process.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use snafu::{ResultExt, Snafu};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::{Mutex, watch},
    task::{JoinSet, LocalSet},
    time::{Instant, sleep},
};

use crate::{
    clock::{self, ClockError},
    duties,
    node::{Node, Phase},
    peers,
    ports::{CloudApi, EngineApi, HeaderNames, PlatformStore},
    quarantine::{QuarantineStore, run_quarantine_task},
    request::{
        caller_connections::{RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES},
        frontend,
        migration::MigrationClient,
        reachability::watch_reachability,
        serve_peers::serve_peers,
        server_selection::place_waiting_requests,
    },
    settings::NodeSettings,
    store::sync::{follow_store, maintain_entry},
    supervision::supervise,
    tasks::LongTask,
};

/// Time from SIGTERM until idle connections are closed. The platform stops sending callers here after two readiness
/// checks, one second apart.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(2_500);
/// Minimum time from SIGTERM to the exit of the process: callers whose connections were just closed may still send
/// requests.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(3_200);
/// Time between the exit of the process and the SIGKILL that would follow.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// Maximum number of ports that are tried for one that is free for datagrams and connections.
const MAX_PORT_ATTEMPTS: usize = 8;
/// Interval at which a draining process checks whether all requests have finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Error that prevents the process from starting, or ends it.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address of the settings can't be bound.
    #[snafu(display("{what} {address}: {source}"))]
    Listen {
        /// Which of the addresses.
        what: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// A clock can't be read.
    #[snafu(transparent)]
    Clock {
        /// Which clock, and why.
        source: ClockError,
    },
    /// A task that the process needs kept failing, and its memory may be damaged.
    #[snafu(display("task {task} kept failing"))]
    TaskFailed {
        /// Name of the task.
        task: &'static str,
    },
    /// Signals can't be received.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// Why.
        source: io::Error,
    },
}

/// The listening sockets of a process.
#[derive(Debug)]
pub struct Listeners {
    front: TcpListener,
    ready: TcpListener,
    metrics: TcpListener,
    peers: UdpSocket,
    /// Receives requests that other VMs forward, at the same port as `peers`.
    peer_requests: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings; port 0 stands for any free port.
    pub async fn bind(settings: &NodeSettings) -> Result<Self, StartError> {
        let address = SocketAddr::new(settings.ip, settings.peer_port);
        let (peers, peer_requests) = bind_peers(address).await?;
        Ok(Self {
            front: listen_to_callers(settings.front).await?,
            ready: listen("ready", settings.ready).await?,
            metrics: listen("metrics", settings.metrics).await?,
            peers,
            peer_requests,
        })
    }

    /// Returns the address to which callers connect.
    pub fn front_address(&self) -> io::Result<SocketAddr> {
        self.front.local_addr()
    }

    /// Returns the address of the readiness check.
    pub fn ready_address(&self) -> io::Result<SocketAddr> {
        self.ready.local_addr()
    }

    /// Returns the address that receives datagrams and forwarded requests from other entry VMs.
    pub fn peer_address(&self) -> io::Result<SocketAddr> {
        self.peers.local_addr()
    }

    /// Returns the address at which metrics are served.
    pub fn metrics_address(&self) -> io::Result<SocketAddr> {
        self.metrics.local_addr()
    }
}

/// Runs the process until SIGTERM is received, or a task keeps failing, and its requests have finished or the grace period
/// is over.
pub async fn run<S, C, E>(
    settings: NodeSettings,
    listeners: Listeners,
    headers: HeaderNames,
    store: S,
    cloud: C,
    engines: E,
) -> Result<(), StartError>
where
    S: PlatformStore,
    C: CloudApi,
    E: EngineApi,
{
    clock::check()?;
    let local = LocalSet::new();
    local.run_until(serve(settings, listeners, headers, store, cloud, engines)).await
}

async fn serve<S, C, E>(
    settings: NodeSettings,
    listeners: Listeners,
    headers: HeaderNames,
    store: S,
    cloud: C,
    engines: E,
) -> Result<(), StartError>
where
    S: PlatformStore,
    C: CloudApi,
    E: EngineApi,
{
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let (quarantine, quarantine_commands) = QuarantineStore::new();
    let node = Rc::new(Node::new(settings, headers, MigrationClient::start(engines), quarantine));
    let (closing_tx, closing) = watch::channel(false);
    let Listeners { front, ready, metrics, peers: socket, peer_requests } = listeners;
    let socket = Rc::new(socket);
    node.quota_owners.set_socket(socket.clone());
    node.streams.set_socket(socket.clone());
    log::info!(
        vm = node.settings.name.as_str(), data_centre = node.settings.data_centre.as_str(),
        incarnation = node.incarnation; "started"
    );
    let (stop_duties, duties_stopped) = watch::channel(false);
    let (ready, metrics, front) = (Rc::new(ready), Rc::new(metrics), Rc::new(front));
    let peer_requests = Rc::new(peer_requests);
    let commands = Rc::new(Mutex::new(quarantine_commands));
    let mut supervisors = JoinSet::new();
    macro_rules! supervise {
        ($($task:ident: $start:expr;)+) => {
            $(supervisors.spawn_local(supervise(node.clone(), LongTask::$task, {
                let node = node.clone();
                let start = $start;
                move || start(node.clone())
            }));)+
        };
    }
    supervise! {
        ServeReady: move |node| frontend::serve_ready(node, ready.clone());
        ServeMetrics: move |node| crate::metrics::serve_metrics(node, metrics.clone());
        ServeCallers: {
            let closing = closing.clone();
            move |node| frontend::serve_callers(node, front.clone(), closing.clone())
        };
        ServePeers: move |node| serve_peers(node, peer_requests.clone(), closing.clone());
        PlaceWaiting: place_waiting_requests;
        WatchReachability: watch_reachability;
        FollowStore: {
            let (store, socket) = (store.clone(), socket.clone());
            move |node| follow_store(node, store.clone(), socket.clone())
        };
        MaintainEntry: {
            let store = store.clone();
            move |node| maintain_entry(node, store.clone())
        };
        WriteQuarantine: {
            let store = store.clone();
            move |node| run_quarantine_task(node, store.clone(), commands.clone())
        };
        SendDigests: {
            let socket = socket.clone();
            move |node| peers::send_digests(node, socket.clone())
        };
        ReceiveDatagrams: move |node| peers::receive_datagrams(node, socket.clone());
        RunDuties: move |node| {
            duties::run_duties(node, store.clone(), cloud.clone(), duties_stopped.clone())
        };
    }
    let failed = loop {
        tokio::select! {
            _ = terminate.recv() => break None,
            _ = hangup.recv() => log::info!("reloaded"),
            Some(ended) = supervisors.join_next() => {
                break Some(ended.map_or("supervisor", LongTask::name));
            }
        }
    };
    stop_duties.send_replace(true);
    drain(&node, &closing_tx).await;
    log::info!(left = node.in_flight.get(); "stopped");
    log::logger().flush();
    match failed {
        None => Ok(()),
        Some(task) => TaskFailedSnafu { task }.fail(),
    }
}

/// Stops accepting callers, then waits for the requests in flight.
async fn drain(node: &Node, closing: &watch::Sender<bool>) {
    let since = Instant::now();
    log::info!(requests = node.in_flight.get(), age_us = clock::now().as_micros(); "draining");
    let until = since + node.settings.bounds.grace.saturating_sub(EXIT_MARGIN);
    node.phase.set(Phase::Draining { until });
    node.waiting.wake();
    // Records that only this VM keeps end with it.
    let records = node.streams.versions.borrow().records_to_hand_over(clock::now());
    peers::replicate_records(node, &records);
    sleep(CLOSE_IDLE_AFTER).await;
    closing.send_replace(true);
    while Instant::now() < until {
        if since.elapsed() >= MIN_DRAIN_TIME && node.in_flight.get() == 0 {
            return;
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Binds the sockets for datagrams and for requests of other VMs at the same port; port 0 stands for any port that is
/// free for both.
async fn bind_peers(address: SocketAddr) -> Result<(UdpSocket, TcpListener), StartError> {
    let what = "peers";
    let mut attempts = if address.port() == 0 { MAX_PORT_ATTEMPTS } else { 1 };
    loop {
        attempts -= 1;
        let socket = UdpSocket::bind(address).await.context(ListenSnafu { what, address })?;
        let bound = socket.local_addr().context(ListenSnafu { what, address })?;
        match listen(what, bound).await {
            Err(_) if attempts > 0 => {}
            listener => return Ok((socket, listener?)),
        }
    }
}

/// Binds the address to which callers connect. Their connections inherit the sizes of the kernel's buffers: what they send
/// while it isn't read counts towards the VM's memory, and what they don't read shows earlier.
async fn listen_to_callers(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = listen("front", address).await?;
    let socket = SockRef::from(&listener);
    let bounded = socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .and_then(|()| socket.set_send_buffer_size(SEND_BUFFER_BYTES));
    if let Err(error) = bounded {
        log::warn!(error:% = error; "socket-buffers-not-bounded");
    }
    Ok(listener)
}

async fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.context(ListenSnafu { what, address })
}
