//! State shared by the tasks of a control process.

use std::sync::Arc;

use quincevalve_membership::{Member, Summary};
use quincevalve_names::Revision;
use quincevalve_peers::{ControlPeerClient, PeerClients, RevisionBlob};
use quincevalve_ports::store::HttpStore;
use tokio::sync::watch;

use crate::{clock::Clock, settings::ControlSettings};

/// State that is sent to the entry process of this VM.
///
/// `version` increases with every update.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalState {
    pub(crate) version: u64,
    pub(crate) members: Vec<Member>,
    pub(crate) summaries: Vec<Summary>,
    pub(crate) config: Option<Arc<RevisionBlob>>,
}

impl LocalState {
    pub(crate) fn revision(&self) -> Revision {
        self.config.as_ref().map_or(Revision(0), |it| it.revision)
    }
}

/// Settings, clients and state used by every task.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) settings: Arc<ControlSettings>,
    pub(crate) clock: Clock,
    pub(crate) store: HttpStore,
    pub(crate) peer_clients: PeerClients<ControlPeerClient>,
    pub(crate) state: watch::Sender<LocalState>,
}

impl Shared {
    /// Updates the local state, increments its version and notifies subscribers.
    pub(crate) fn update_state(&self, update: impl FnOnce(&mut LocalState)) {
        self.state.send_modify(|it| {
            update(it);
            it.version += 1;
        });
    }
}
