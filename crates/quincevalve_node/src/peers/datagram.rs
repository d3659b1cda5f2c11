//! The datagrams between entry VMs.

use std::time::Duration;

use bincode::{DefaultOptions, Options};
use quincevalve_forwarding::{
    chunk_fetch::ChunkRequest, chunks::Chunk, peer_table::VmDescriptor, poison::PoisonMessage,
    quota::messages::QuotaMessage, stream_versions::messages::StreamMessage, sums::PartialSum,
    usage::Counts,
};
use quincevalve_names::TimePoint;
use serde::{Deserialize, Serialize};

use crate::{signal_reports::SignalReport, store::view::RelayedChange};

/// Maximum size of a datagram, in bytes.
pub(super) const MAX_DATAGRAM: usize = 60 << 10;

/// Which VMs a digest or a report of signals covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Scope {
    /// The sender, for its collector.
    Own,
    /// The sender and its members, for other collectors.
    Members,
    /// All VMs but the receiver, for a member.
    Rest,
}

/// Changes of the store that the sender relays.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct StoreReport {
    /// Age of the sender's freshness confirmation: the time since the confirming request to the store was sent.
    pub(super) age: Duration,
    /// The newest version of the configuration that the sender knows of.
    pub(super) version: u64,
    /// The changes follow this revision.
    pub(super) after: u64,
    /// The changes are complete up to this revision.
    pub(super) upto: u64,
    pub(super) changes: Vec<(u64, RelayedChange)>,
}

/// The newest datagram that the sender received from the receiver.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Echo {
    /// The start of the receiver that sent the echoed datagram. Clocks of different starts aren't comparable.
    pub(super) incarnation: u64,
    /// The receiver's clock when it sent the echoed datagram.
    pub(super) sent: TimePoint,
    /// Time from the receipt of the echoed datagram to the sending of this one.
    pub(super) delay: Duration,
}

/// When the store answered the sender or a VM in contact with it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct ReportedContact {
    /// Time since the newest answered request was sent.
    pub(super) age: Duration,
    /// How long the store had answered without a gap before that request.
    pub(super) uninterrupted: Duration,
    /// The newest usage window of which any VM may have sent the report.
    pub(super) reported_window: u64,
}

/// The content of a datagram.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Content {
    /// The periodic load message.
    Digest {
        scope: Scope,
        sum: Box<PartialSum>,
        store_report: Option<StoreReport>,
        store_contact: Option<ReportedContact>,
    },
    /// Running totals of requests that began at the sender.
    Usage { counts: Counts },
    /// The sender requests a configuration newer than this version.
    ConfigRequest { above: u64 },
    /// A chunk of the sender's configuration.
    ConfigChunk(Chunk),
    /// The sender is starting and requests the store's state.
    StateRequest(ChunkRequest),
    /// The receiver should request the state from another VM.
    StateRedirect {
        /// Whether the sender has the state, but is serving other VMs at present.
        serves_others: bool,
    },
    /// A chunk of the sender's copy of the store's state.
    StateChunk {
        /// Age of the freshness confirmation of the state: the time since the confirming request to the store was sent.
        age: Duration,
        chunk: Chunk,
    },
    /// A message about a request under which servers exit.
    Poison(PoisonMessage),
    /// Signals of servers.
    Signals { scope: Scope, servers: Vec<SignalReport> },
    /// A message between a VM and the quota owner of an account.
    Quota(QuotaMessage),
    /// A message about the versions that began streams.
    Streams(StreamMessage),
}

/// A datagram between entry VMs.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Datagram {
    pub(super) from: VmDescriptor,
    pub(super) incarnation: u64,
    /// The sender's system clock, in milliseconds since 1970.
    pub(super) wall_ms: i64,
    /// The sender's estimate of wall-clock time, in milliseconds since 1970.
    pub(super) estimated_ms: Option<i64>,
    /// The sender's steady clock when it sent the datagram.
    pub(super) sent: TimePoint,
    pub(super) echo: Option<Echo>,
    /// The store revision that the sender has reached.
    pub(super) revision: Option<u64>,
    pub(super) content: Content,
}

impl Datagram {
    /// Returns an id of one start of one VM. Totals of different starts don't continue each other.
    pub(super) fn sender(&self) -> String {
        format!("{}#{}", self.from.name, self.incarnation)
    }
}

/// Returns the encoding of datagrams, with integers of variable length.
///
/// A collector sends the work at all servers to each of its members 16 times a second. With integers of fixed length
/// and 20 members that is 2.1 MB/s, which leaves a VM with an eighth of a core no time for requests.
pub(crate) fn encoding() -> impl Options {
    DefaultOptions::new().with_limit(MAX_DATAGRAM as u64)
}
