//! Actor that performs the I/O of the configuration's distribution.

use std::{net::SocketAddr, sync::Arc};

use quincevalve_distribution::{Distribution, DistributionAction, Source};
use quincevalve_membership::Member;
use quincevalve_names::{Revision, rendezvous_score};
use quincevalve_peers::RevisionBlob;
use quincevalve_ports::store::{KeyVersion, Store};
use ractor::{Actor, ActorProcessingErr, ActorRef};

use crate::{document, gossip_actor::GossipMessage, shared::Shared};

pub(crate) enum ConfigMessage {
    /// A peer reported its revision.
    RevisionReported(SocketAddr, Revision),
    /// A configuration was fetched from a peer or read from the store.
    Fetched(Source, RevisionBlob),
    FetchFailed(SocketAddr),
    /// Sets the actor that receives the revision in force on this VM.
    SetGossipActor(ActorRef<GossipMessage>),
}

pub(crate) struct ConfigActor;

pub(crate) struct ConfigState {
    pub(crate) core: Distribution,
    pub(crate) shared: Shared,
    pub(crate) gossip: Option<ActorRef<GossipMessage>>,
}

impl Actor for ConfigActor {
    type Msg = ConfigMessage;
    type State = ConfigState;
    type Arguments = ConfigState;

    async fn pre_start(
        &self,
        _myself: ActorRef<ConfigMessage>,
        state: ConfigState,
    ) -> Result<ConfigState, ActorProcessingErr> {
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<ConfigMessage>,
        message: ConfigMessage,
        state: &mut ConfigState,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.shared.clock.now();
        let actions = match message {
            ConfigMessage::RevisionReported(peer, revision) => {
                state.core.handle_announcement(now, peer, revision)
            }
            ConfigMessage::Fetched(source, blob) => {
                let peers = state.peers();
                state.core.receive(now, source, blob.revision, blob.content.into(), &peers)
            }
            ConfigMessage::FetchFailed(peer) => {
                state.core.fetch_failed(peer);
                Vec::new()
            }
            ConfigMessage::SetGossipActor(gossip) => {
                state.gossip = Some(gossip);
                Vec::new()
            }
        };
        for action in actions {
            state.perform(&myself, action);
        }
        Ok(())
    }
}

impl ConfigState {
    fn peers(&self) -> Vec<SocketAddr> {
        let state = self.shared.state.borrow();
        let reachable = state.members.iter().filter(|it| it.is_reachable());
        reachable.filter(|it| it.name != self.shared.settings.name).map(|it| it.control).collect()
    }

    fn perform(&self, actor: &ActorRef<ConfigMessage>, action: DistributionAction) {
        match action {
            DistributionAction::Apply { revision, content } => self.apply(revision, &content),
            DistributionAction::Announce { to, revision } => self.announce(to, revision),
            DistributionAction::Fetch(peer) => self.fetch(actor, peer),
        }
    }

    fn apply(&self, revision: Revision, content: &Arc<str>) {
        log::info!("revision {revision} is in force");
        let blob = Arc::new(RevisionBlob { revision, content: content.to_string() });
        self.shared.update_state(|it| it.config = Some(blob));
        if let Some(gossip) = &self.gossip {
            let _ = gossip.cast(GossipMessage::RevisionApplied(revision));
        }
    }

    fn announce(&self, to: Vec<SocketAddr>, revision: Revision) {
        let own = self.shared.settings.advertised();
        for peer in to {
            let shared = self.shared.clone();
            tokio::spawn(async move {
                let limit = shared.settings.pacing.peer_timeout();
                let call = shared.peer_clients.call(peer, limit, |client, cx| async move {
                    client.announce(cx, own, revision).await
                });
                // If the announcement is lost, the peer learns the revision in the next gossip round.
                let _ = call.await;
            });
        }
    }

    fn fetch(&self, actor: &ActorRef<ConfigMessage>, peer: SocketAddr) {
        let shared = self.shared.clone();
        let actor = actor.clone();
        let has = self.core.revision();
        tokio::spawn(async move {
            let limit = shared.settings.pacing.peer_timeout();
            let call = shared
                .peer_clients
                .call(peer, limit, |client, cx| async move { client.fetch(cx, has).await });
            let message = match call.await {
                Ok(Some(blob)) => ConfigMessage::Fetched(Source::Peer(peer), blob),
                Ok(None) | Err(_) => ConfigMessage::FetchFailed(peer),
            };
            let _ = actor.cast(message);
        });
    }
}

/// Number of VMs per data centre that read the store on behalf of all its VMs.
const RELAYS_PER_DATA_CENTRE: usize = 2;

/// Returns whether this VM is one of its data centre's relays, which rendezvous hashing selects.
///
/// A VM that is not yet in its own member list counts as a relay.
pub(crate) fn is_relay(shared: &Shared) -> bool {
    const KEY: u64 = 0x72_656c_6179;
    let state = shared.state.borrow();
    let score = |it: &Member| rendezvous_score(KEY, it.hash());
    let own = state.members.iter().find(|it| it.name == shared.settings.name);
    let Some(own) = own.map(score) else { return true };
    state.members.iter().filter(|it| it.takes_work() && score(it) > own).count()
        < RELAYS_PER_DATA_CENTRE
}

/// Watches the store for new revisions while this VM is a relay.
///
/// If the watch's connection stalled for good, changes would never reach this VM. Each watch therefore ends after a
/// bounded wait, and a call without a response times out and is retried on another connection.
pub(crate) async fn watch_store(shared: Shared, actor: ActorRef<ConfigMessage>) {
    let mut version = KeyVersion::ABSENT;
    loop {
        if !is_relay(&shared) {
            shared.clock.timer().after(shared.settings.pacing.probe_interval()).await;
            continue;
        }
        let wait = shared.settings.pacing.watch_timeout();
        let watched = shared.store.watch(document::HEAD_KEY, version, wait).await;
        let read = match watched {
            Ok(found) => read_newer(&shared, found, version).await,
            Err(error) => Err(document::DocumentError::Store { source: error }),
        };
        match read {
            Ok(Some((newer, blob))) => {
                version = newer;
                let _ = actor.cast(ConfigMessage::Fetched(Source::Store, blob));
            }
            Ok(None) => {}
            Err(error) => {
                log::debug!("configuration: {error}");
                shared.clock.timer().after(shared.settings.pacing.platform_timeout()).await;
            }
        }
    }
}

async fn read_newer(
    shared: &Shared,
    found: Option<quincevalve_ports::store::Versioned>,
    known: KeyVersion,
) -> Result<Option<(KeyVersion, RevisionBlob)>, document::DocumentError> {
    let (version, head) = document::parse_head(found)?;
    if version <= known {
        return Ok(None);
    }
    let blob = document::read_current(&shared.store, &head).await?;
    Ok(blob.map(|it| (version, it)))
}
