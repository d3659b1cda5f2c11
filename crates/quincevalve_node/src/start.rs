//! The start and the end of the process.

use std::{io, rc::Rc, time::Duration};

use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::{LocalSet, spawn_local},
    time::{Instant, sleep},
};

use crate::{
    clock, duties, front,
    mover::Mover,
    node::{Node, Phase},
    peers,
    ports::{CloudApi, EngineApi, HeaderNames, PlatformStore},
    settings::NodeSettings,
    store_sync,
};

/// After SIGTERM the platform needs two questions, a second apart, to stop sending callers here; idle
/// connections are closed after that.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(2_500);
/// Callers whose connections were just closed may still be on their way; the process ends after that.
const LEAST_STAY: Duration = Duration::from_millis(3_200);
/// Time before SIGKILL at which the process ends by itself.
const END_MARGIN: Duration = Duration::from_millis(250);
/// Pause between two looks whether all requests have ended.
const LOOK: Duration = Duration::from_millis(50);

/// A process that can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address of the settings can't be listened on.
    #[snafu(display("{what} {address}: {source}"))]
    Listen {
        /// Which of them.
        what: &'static str,
        /// The address.
        address: std::net::SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// Signals can't be received.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// Why.
        source: io::Error,
    },
}

/// Runs the process until it is told to stop and its requests have ended.
pub async fn run<S, C, E>(
    settings: NodeSettings,
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
    let local = LocalSet::new();
    local.run_until(serve(settings, headers, store, cloud, engines)).await
}

async fn serve<S, C, E>(
    settings: NodeSettings,
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
    let node = Rc::new(Node::new(settings, headers, Mover::start(engines)));
    let (closing_tx, closing) = watch::channel(false);
    let front = listen("front", node.settings.front).await?;
    let ready = listen("ready", node.settings.ready).await?;
    let peer_address = std::net::SocketAddr::new(node.settings.ip, node.settings.peer_port);
    let socket = UdpSocket::bind(peer_address).await;
    let socket = Rc::new(socket.context(ListenSnafu { what: "peers", address: peer_address })?);
    log::info!(
        vm = node.settings.name.as_str(), data_centre = node.settings.data_centre.as_str(),
        incarnation = node.incarnation; "started"
    );
    spawn_local(front::serve_ready(node.clone(), ready));
    spawn_local(front::serve_callers(node.clone(), front, closing));
    spawn_local(store_sync::follow_store(node.clone(), store.clone()));
    spawn_local(store_sync::keep_entry(node.clone(), store.clone()));
    spawn_local(peers::tell_peers(node.clone(), socket.clone()));
    spawn_local(peers::hear_peers(node.clone(), socket));
    let (stop_duties, duties_stopped) = watch::channel(false);
    spawn_local(duties::hold_duties(node.clone(), store, cloud, duties_stopped));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => log::info!("reloaded"),
        }
    }
    stop_duties.send_replace(true);
    drain(&node, &closing_tx).await;
    log::info!(left = node.in_flight.get(); "stopped");
    Ok(())
}

/// Stops taking callers, then finishes what there is.
async fn drain(node: &Node, closing: &watch::Sender<bool>) {
    let since = Instant::now();
    log::info!(requests = node.in_flight.get(), age_us = clock::now().as_micros(); "draining");
    let until = since + node.settings.bounds.grace.saturating_sub(END_MARGIN);
    node.phase.set(Phase::Draining { until });
    sleep(CLOSE_IDLE_AFTER).await;
    closing.send_replace(true);
    while Instant::now() < until {
        if since.elapsed() >= LEAST_STAY && node.in_flight.get() == 0 {
            return;
        }
        sleep(LOOK).await;
    }
}

async fn listen(
    what: &'static str,
    address: std::net::SocketAddr,
) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.context(ListenSnafu { what, address })
}
