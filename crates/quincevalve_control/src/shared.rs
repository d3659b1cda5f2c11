//! What the parts of a control process share.

use std::sync::Arc;

use quincevalve_membership::{Member, Summary};
use quincevalve_names::Revision;
use quincevalve_peers::{ControlPeerClient, PeerClients, RevisionBlob};
use quincevalve_ports::store::HttpStore;
use tokio::sync::watch;

use crate::{clock::Clock, settings::ControlSettings};

/// What an entry process is told, as one value.
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

#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) settings: Arc<ControlSettings>,
    pub(crate) clock: Clock,
    pub(crate) store: HttpStore,
    pub(crate) callers: PeerClients<ControlPeerClient>,
    pub(crate) state: watch::Sender<LocalState>,
}

impl Shared {
    pub(crate) fn change(&self, change: impl FnOnce(&mut LocalState)) {
        self.state.send_modify(|it| {
            change(it);
            it.version += 1;
        });
    }
}
