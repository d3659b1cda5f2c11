//! Outbox of server signals that are still to be reported to other VMs.

use indexmap::IndexMap;
use quincevalve_names::BackendServerName;

use crate::servers::ServerStart;

/// Name and start of a server.
pub type ServerKey = (BackendServerName, ServerStart);

/// Origin of a server's signals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalSource {
    /// An answer of the server itself.
    Server,
    /// A member of the group whose collector this VM is.
    Member,
    /// The collector of another group.
    Collector,
    /// The collector of this VM's group.
    OwnCollector,
}

/// Number of datagrams to the same VM that carry an update; one or two of them may be lost.
const SENDS_PER_UPDATE: u8 = 3;

/// Servers whose signals are still to be reported, by recipients.
///
/// Reports take the same path as load digests: from a VM to its collector, and from there to the other collectors and
/// to all members. Each hop forwards an update once, so that its propagation ends.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::{servers::ServerStart, signal_outbox::{SignalOutbox, SignalSource}};
/// let mut outbox = SignalOutbox::default();
/// outbox.push(("engine-1".into(), ServerStart(1)), SignalSource::Collector);
/// assert!(outbox.take_for_collectors().is_empty());
/// assert_eq!(outbox.take_for_members().len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SignalOutbox {
    collectors: IndexMap<ServerKey, u8>,
    members: IndexMap<ServerKey, u8>,
}

impl SignalOutbox {
    /// Queues an update of a server's signals for the recipients that its origin implies.
    pub fn push(&mut self, server: ServerKey, from: SignalSource) {
        match from {
            SignalSource::Server | SignalSource::Member => {
                self.collectors.insert(server.clone(), SENDS_PER_UPDATE);
                self.members.insert(server, SENDS_PER_UPDATE);
            }
            SignalSource::Collector => {
                self.members.insert(server, SENDS_PER_UPDATE);
            }
            SignalSource::OwnCollector => {}
        }
    }

    /// Returns the servers to report in this period to the collector or, if this VM is a collector, to the other
    /// collectors.
    pub fn take_for_collectors(&mut self) -> Vec<ServerKey> {
        take_due(&mut self.collectors)
    }

    /// Returns the servers that this VM, as a collector, reports to its members in this period.
    pub fn take_for_members(&mut self) -> Vec<ServerKey> {
        take_due(&mut self.members)
    }
}

/// Returns all pending servers, counts this send and removes those that were sent often enough.
fn take_due(pending: &mut IndexMap<ServerKey, u8>) -> Vec<ServerKey> {
    let due = pending.keys().cloned().collect();
    pending.retain(|_, sends_left| {
        *sends_left -= 1;
        *sends_left > 0
    });
    due
}
