//! What servers said of themselves that other VMs haven't been told yet.

use indexmap::IndexMap;
use quincevalve_names::BackendServerName;

use crate::servers::ServerStart;

/// One start of a server.
pub type ServerKey = (BackendServerName, ServerStart);

/// From whom a VM knows what a server said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The server's answer.
    Server,
    /// A VM that tells this one, its collector, what it does.
    Member,
    /// Another collector.
    Collector,
    /// The collector of this VM.
    OwnCollector,
}

/// Datagrams that tell the same news to the same VM: one or two may be lost.
const TELLINGS: u8 = 3;

/// News of servers that are still to be told, and to whom.
///
/// News goes the way that loads go: from a VM to its collector, from there to the other collectors and to all members.
/// Each hop passes it on once, so that it ends.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::{servers::ServerStart, signal_outbox::{SignalOutbox, Source}};
/// let mut outbox = SignalOutbox::default();
/// outbox.push(("engine-1".into(), ServerStart(1)), Source::Collector);
/// assert!(outbox.for_collectors().is_empty());
/// assert_eq!(outbox.for_members().len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SignalOutbox {
    collectors: IndexMap<ServerKey, u8>,
    members: IndexMap<ServerKey, u8>,
}

impl SignalOutbox {
    /// Notes news of a server.
    pub fn push(&mut self, server: ServerKey, from: Source) {
        match from {
            Source::Server | Source::Member => {
                self.collectors.insert(server.clone(), TELLINGS);
                self.members.insert(server, TELLINGS);
            }
            Source::Collector => {
                self.members.insert(server, TELLINGS);
            }
            Source::OwnCollector => {}
        }
    }

    /// The servers of which this VM tells its collector, or as a collector the others, in this period.
    pub fn for_collectors(&mut self) -> Vec<ServerKey> {
        take_turn(&mut self.collectors)
    }

    /// The servers of which this VM tells those whose collector it is, in this period.
    pub fn for_members(&mut self) -> Vec<ServerKey> {
        take_turn(&mut self.members)
    }
}

fn take_turn(news: &mut IndexMap<ServerKey, u8>) -> Vec<ServerKey> {
    let due = news.keys().cloned().collect();
    news.retain(|_, left| {
        *left -= 1;
        *left > 0
    });
    due
}
