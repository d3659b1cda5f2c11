//! RPC services of control processes: one for other control processes, one for the entry process of the same VM.

use std::net::SocketAddr;

use quincevalve_membership::{Member, Message, Summary};
use quincevalve_names::{EntryVmName, Revision};
use serde::{Deserialize, Serialize};

/// A configuration revision with its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionBlob {
    /// The number of the revision.
    pub revision: Revision,
    /// The inventory as JSON.
    pub content: String,
}

/// The control process's state, as sent to the entry process when it has changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LocalUpdate {
    /// The version of this state, to be passed to the next call of [`LocalControl::next`].
    pub version: u64,
    /// The configuration, if its revision is newer than that of the entry process.
    pub revision: Option<RevisionBlob>,
    /// The members of the data centre.
    pub members: Vec<Member>,
    /// Summaries of other data centres.
    pub summaries: Vec<Summary>,
}

/// The service of a control process for other control processes.
#[tarpc::service]
pub trait ControlPeer {
    /// Processes a membership probe and returns the reply.
    async fn gossip(message: Message) -> Message;
    /// Probes a member on behalf of a peer that could not reach it. Returns whether the member answered.
    async fn probe_for(target: SocketAddr) -> bool;
    /// Receives the report that `from` has applied a revision.
    async fn announce(from: SocketAddr, revision: Revision);
    /// Returns the newest configuration if its revision is newer than `than`.
    async fn fetch(than: Revision) -> Option<RevisionBlob>;
}

/// The service of a control process for the entry process of the same VM.
#[tarpc::service]
pub trait LocalControl {
    /// Waits until the state's version differs from `version`, for at most `wait_ms`, and returns the state. `has` is
    /// the entry process's revision.
    async fn next(version: u64, has: Revision, wait_ms: u32) -> LocalUpdate;
    /// Receives the entry process's demand and whether the process is leaving.
    async fn report(name: EntryVmName, demand: u32, leaving: bool);
}
