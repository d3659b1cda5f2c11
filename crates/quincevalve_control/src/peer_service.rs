//! RPC service for the control processes of other VMs.

use std::net::SocketAddr;

use quincevalve_membership::Message;
use quincevalve_names::Revision;
use quincevalve_peers::{ControlPeer, RevisionBlob};
use ractor::ActorRef;
use tarpc::context::Context;

use crate::{config_actor::ConfigMessage, gossip_actor::GossipMessage, shared::Shared};

#[derive(Clone)]
pub(crate) struct PeerService {
    pub(crate) shared: Shared,
    pub(crate) gossip: ActorRef<GossipMessage>,
    pub(crate) config: ActorRef<ConfigMessage>,
    /// Message without updates, sent as an indirect probe and as the answer when the gossip actor has stopped.
    pub(crate) own_message: Message,
}

impl ControlPeer for PeerService {
    async fn gossip(self, _: Context, message: Message) -> Message {
        let (tx, rx) = tokio::sync::oneshot::channel();
        let sent = self.gossip.cast(GossipMessage::Probed(Box::new(message), tx.into()));
        if sent.is_err() {
            return self.own_message;
        }
        rx.await.unwrap_or(self.own_message)
    }

    async fn probe_for(self, _: Context, target: SocketAddr) -> bool {
        let limit = self.shared.settings.pacing.peer_timeout();
        let own_message = self.own_message;
        let call = self
            .shared
            .peer_clients
            .call(target, limit, |client, cx| async move { client.gossip(cx, own_message).await });
        call.await.is_ok()
    }

    async fn announce(self, _: Context, from: SocketAddr, revision: Revision) {
        let _ = self.config.cast(ConfigMessage::RevisionReported(from, revision));
    }

    async fn fetch(self, _: Context, than: Revision) -> Option<RevisionBlob> {
        let config = self.shared.state.borrow().config.clone()?;
        (config.revision > than).then(|| RevisionBlob::clone(&config))
    }
}
