//! Start of a control process from its settings.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use quincevalve_distribution::{Distribution, DistributionSettings};
use quincevalve_membership::{Load, Member, MemberState, Membership};
use quincevalve_names::{Incarnation, Revision, hash_text};
use quincevalve_peers::{
    BindError, ControlPeer, LocalControl, PeerClients, PeerListener, PeerSecurity, PeerTlsError,
};
use quincevalve_ports::{HttpClient, cloud::CloudClient, store::HttpStore};
use quincevalve_timer::Timer;
use ractor::{Actor, ActorRef};
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpListener, sync::watch};

use crate::{
    admin,
    clock::Clock,
    config_actor::{self, ConfigActor, ConfigMessage, ConfigState},
    gossip_actor::{self, GossipActor, GossipMessage, GossipState},
    local_service::LocalService,
    peer_service::PeerService,
    plan_task,
    settings::ControlSettings,
    shared::{LocalState, Shared},
};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between two reloads of the TLS certificates.
const TLS_RELOAD_INTERVAL: Duration = Duration::from_secs(30);

/// Error starting a control process.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// The TLS configuration for peers is invalid.
    #[snafu(display("{source}"))]
    PeerTls {
        /// Underlying error.
        source: PeerTlsError,
    },
    /// Binding the address for peers or for the entry process failed.
    #[snafu(display("{field}: {source}"))]
    Peers {
        /// Settings field with the address.
        field: &'static str,
        /// Underlying error.
        source: BindError,
    },
    /// Binding the address of the administration API failed.
    #[snafu(display("admin_listen = \"{address}\": {source}"))]
    Admin {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Underlying error.
        source: std::io::Error,
    },
    /// An actor failed to start.
    #[snafu(display("{source}"))]
    Start {
        /// Underlying error.
        source: ractor::SpawnErr,
    },
}

/// A running control process, with its bound addresses.
pub struct ControlProcess {
    peers: SocketAddr,
    local: SocketAddr,
    admin: Option<SocketAddr>,
}

impl ControlProcess {
    /// Binds the listeners and spawns the process's tasks on the current Tokio runtime.
    pub async fn start(mut settings: ControlSettings) -> Result<Self, ControlError> {
        let own_ip = settings.peer_listen.ip();
        let security =
            PeerSecurity::new(settings.peer_tls.clone(), own_ip).context(PeerTlsSnafu)?;
        let peers = PeerListener::bind(settings.peer_listen).await;
        let peers = peers.context(PeersSnafu { field: "peer_listen" })?;
        let peer_address = peers.address();
        settings.peer_listen = peer_address;
        let local = PeerListener::bind(settings.local_listen).await;
        let local = local.context(PeersSnafu { field: "local_listen" })?;
        let local_address = local.address();

        let shared = new_shared(settings, &security);
        let member = own_member(&shared);
        let config = start_config(&shared).await?;
        let gossip = start_gossip(&shared, member, config.clone()).await?;
        let _ = config.cast(ConfigMessage::SetGossipActor(gossip.clone()));
        serve_peers(&shared, security.clone(), peers, &gossip, &config);
        serve_local(&shared, &security, local, &gossip);
        let admin = start_admin(&shared).await?;
        let http = HttpClient::new(Some(own_ip), CONNECT_TIMEOUT);
        tokio::spawn(plan_task::run(shared.clone(), http));
        tokio::spawn(reload_tls(shared.clock.timer().clone(), security));
        Ok(Self { peers: peer_address, local: local_address, admin })
    }

    /// Returns the address that serves peers.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peers
    }

    /// Returns the address that serves the entry process of the same VM.
    pub const fn local_address(&self) -> SocketAddr {
        self.local
    }

    /// Returns the address of the administration API, `None` if this VM serves none.
    pub const fn admin_address(&self) -> Option<SocketAddr> {
        self.admin
    }
}

fn new_shared(settings: ControlSettings, security: &PeerSecurity) -> Shared {
    let clock = Clock::new(Timer::start());
    let own_ip = settings.peer_listen.ip();
    let http = HttpClient::new(Some(own_ip), CONNECT_TIMEOUT);
    let store = HttpStore::new(http, settings.platform, settings.pacing.platform_timeout());
    let peer_clients = PeerClients::new(security.clone(), Some(own_ip), CONNECT_TIMEOUT);
    let state = watch::Sender::new(LocalState::default());
    Shared { settings: Arc::new(settings), clock, store, peer_clients, state }
}

fn own_member(shared: &Shared) -> Member {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Member {
        name: shared.settings.name.clone(),
        data_centre: shared.settings.data_centre.clone(),
        control: shared.settings.advertised(),
        entry: shared.settings.entry_peer,
        // The start time: a restart under the same name gets a higher incarnation.
        incarnation: Incarnation(since.as_millis() as u64),
        state: MemberState::Alive,
        load: Load::default(),
    }
}

fn random_seed(shared: &Shared) -> u64 {
    hash_text(shared.settings.name.as_str()) ^ shared.clock.now().as_micros()
}

async fn start_config(shared: &Shared) -> Result<ActorRef<ConfigMessage>, ControlError> {
    let core = Distribution::new(DistributionSettings::default(), random_seed(shared));
    let state = ConfigState { core, shared: shared.clone(), gossip: None };
    let (actor, _) = Actor::spawn(None, ConfigActor, state).await.context(StartSnafu)?;
    tokio::spawn(config_actor::watch_store(shared.clone(), actor.clone()));
    Ok(actor)
}

async fn start_gossip(
    shared: &Shared,
    member: Member,
    config: ActorRef<ConfigMessage>,
) -> Result<ActorRef<GossipMessage>, ControlError> {
    let core = Membership::new(member, shared.settings.pacing.membership(), random_seed(shared));
    let state =
        GossipState { core, shared: shared.clone(), config, demand: 0, revision: Revision(0) };
    let (actor, _) = Actor::spawn(None, GossipActor, state).await.context(StartSnafu)?;
    let http = HttpClient::new(Some(shared.settings.peer_listen.ip()), CONNECT_TIMEOUT);
    let cloud =
        CloudClient::new(http, shared.settings.platform, shared.settings.pacing.platform_timeout());
    tokio::spawn(gossip_actor::poll_vm_list(shared.clone(), cloud, actor.clone()));
    tokio::spawn(gossip_actor::send_ticks(shared.clone(), actor.clone()));
    Ok(actor)
}

fn serve_peers(
    shared: &Shared,
    security: PeerSecurity,
    listener: PeerListener,
    gossip: &ActorRef<GossipMessage>,
    config: &ActorRef<ConfigMessage>,
) {
    let sender = own_member(shared);
    let service = PeerService {
        shared: shared.clone(),
        gossip: gossip.clone(),
        config: config.clone(),
        own_message: quincevalve_membership::Message {
            sender,
            updates: Vec::new(),
            summaries: Vec::new(),
        },
    };
    tokio::spawn(listener.accept(security, move |stream| {
        let service = service.clone();
        async move { quincevalve_peers::serve_peer!(stream, service.serve()) }
    }));
}

fn serve_local(
    shared: &Shared,
    security: &PeerSecurity,
    listener: PeerListener,
    gossip: &ActorRef<GossipMessage>,
) {
    let service = LocalService { shared: shared.clone(), gossip: gossip.clone() };
    tokio::spawn(listener.accept(security.clone(), move |stream| {
        let service = service.clone();
        async move { quincevalve_peers::serve_peer!(stream, service.serve()) }
    }));
}

async fn start_admin(shared: &Shared) -> Result<Option<SocketAddr>, ControlError> {
    let Some(address) = shared.settings.admin_listen else { return Ok(None) };
    let listener = TcpListener::bind(address).await.context(AdminSnafu { address })?;
    let bound = listener.local_addr().context(AdminSnafu { address })?;
    tokio::spawn(admin::serve(shared.clone(), listener));
    Ok(Some(bound))
}

/// Reloads the certificates periodically, so that they can be replaced without a restart.
async fn reload_tls(timer: Timer, security: PeerSecurity) {
    let mut ticks = timer.every(TLS_RELOAD_INTERVAL);
    while ticks.tick().await.is_some() {
        if let Err(error) = security.reload() {
            log::error!("{error}; the old certificates stay in use");
        }
    }
}
