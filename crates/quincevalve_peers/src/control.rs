//! What control processes ask of each other, and what an entry process asks of its own control process.

use std::net::SocketAddr;

use quincevalve_membership::{Member, Message, Summary};
use quincevalve_names::{EntryVmName, Revision};
use serde::{Deserialize, Serialize};

/// A revision with its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionBlob {
    /// The revision.
    pub revision: Revision,
    /// The inventory as JSON.
    pub content: String,
}

/// What changed on this VM since the entry process asked last.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LocalUpdate {
    /// The number of this state; to be named in the next question.
    pub version: u64,
    /// The configuration, if it is newer than the one that the entry process has.
    pub revision: Option<RevisionBlob>,
    /// The members of the data centre.
    pub members: Vec<Member>,
    /// Other data centres.
    pub summaries: Vec<Summary>,
}

/// The service of one control process towards its peers.
#[tarpc::service]
pub trait ControlPeer {
    /// Takes a probe and answers it.
    async fn gossip(message: Message) -> Message;
    /// Probes a member for somebody who couldn't reach it.
    async fn probe_for(target: SocketAddr) -> bool;
    /// Hears that `from` has a revision in force.
    async fn announce(from: SocketAddr, revision: Revision);
    /// Gives the newest configuration, if it is newer than `than`.
    async fn fetch(than: Revision) -> Option<RevisionBlob>;
}

/// The service of one control process towards the entry process of the same VM.
#[tarpc::service]
pub trait LocalControl {
    /// Waits for a state other than `version`, and gives it.
    async fn next(version: u64, has: Revision, wait_ms: u32) -> LocalUpdate;
    /// Takes the entry process's demand and whether it is leaving.
    async fn report(name: EntryVmName, demand: u32, leaving: bool);
}
