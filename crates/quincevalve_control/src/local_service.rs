//! RPC service for the entry process of the same VM.

use std::time::Duration;

use quincevalve_names::{EntryVmName, Revision};
use quincevalve_peers::{LocalControl, LocalUpdate, RevisionBlob};
use ractor::ActorRef;
use tarpc::context::Context;

use crate::{
    gossip_actor::GossipMessage,
    shared::{LocalState, Shared},
};

#[derive(Clone)]
pub(crate) struct LocalService {
    pub(crate) shared: Shared,
    pub(crate) gossip: ActorRef<GossipMessage>,
}

impl LocalControl for LocalService {
    async fn next(self, _: Context, version: u64, has: Revision, wait_ms: u32) -> LocalUpdate {
        let mut states = self.shared.state.subscribe();
        let wait = Duration::from_millis(u64::from(wait_ms));
        let newer_state = async {
            // Can't fail: `self.shared` keeps the sender alive.
            let _ = states.wait_for(|it| it.version != version || it.revision() > has).await;
        };
        self.shared.clock.timer().timeout(wait, newer_state).await;
        let state = self.shared.state.borrow().clone();
        local_update(&state, has)
    }

    async fn report(self, _: Context, name: EntryVmName, demand: u32, leaving: bool) {
        if name != self.shared.settings.name {
            log::warn!(
                "the entry process reported the name {name}, but this VM is named {}",
                self.shared.settings.name
            );
        }
        let _ = self.gossip.cast(GossipMessage::Demand { demand, leaving });
    }
}

fn local_update(state: &LocalState, has: Revision) -> LocalUpdate {
    let newer = state.config.as_ref().filter(|it| it.revision > has);
    LocalUpdate {
        version: state.version,
        revision: newer.map(|it| RevisionBlob::clone(it)),
        members: state.members.clone(),
        summaries: state.summaries.clone(),
    }
}
