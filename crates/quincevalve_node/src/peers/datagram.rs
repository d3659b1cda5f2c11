//! The datagrams between entry VMs.

use std::time::Duration;

use bincode::{DefaultOptions, Options};
use quincevalve_forwarding::{
    chunk_fetch::ChunkRequest, chunks::Chunk, peer_table::VmDescriptor, poison::PoisonMessage,
    sums::PartialSum, usage::Counts,
};
use quincevalve_names::TimePoint;
use serde::{Deserialize, Serialize};

use crate::{signal_reports::SignalReport, store::view::RelayedChange};

/// The largest datagram that is taken, in bytes.
pub(super) const MAX_DATAGRAM: usize = 60 << 10;

/// Whose share a digest carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Scope {
    /// The sender's own, for its collector.
    Own,
    /// The sender's and its members', for other collectors.
    Members,
    /// Everybody's but the receiver's, for a member.
    Rest,
}

/// What the sender knows of the store.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct StoreReport {
    /// How long ago the sender sent the question whose answer proves that this is the newest.
    pub(super) age: Duration,
    /// The newest version of the configuration that the sender knows of.
    pub(super) version: u64,
    pub(super) after: u64,
    pub(super) upto: u64,
    pub(super) changes: Vec<(u64, RelayedChange)>,
}

/// The newest datagram that the sender has of the receiver.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Echo {
    /// The start of the receiver that sent that: another start had another clock.
    pub(super) incarnation: u64,
    /// The receiver's clock when it sent that.
    pub(super) sent: TimePoint,
    /// How long the sender has had it.
    pub(super) held: Duration,
}

/// When the store answered the sender or one that it hears.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct ReportedContact {
    /// How long ago the newest answer was asked for.
    pub(super) age: Duration,
    /// For how long before it the store had answered without a gap.
    pub(super) uninterrupted: Duration,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Content {
    Digest {
        scope: Scope,
        sum: Box<PartialSum>,
        store_report: Option<StoreReport>,
        store_contact: Option<ReportedContact>,
    },
    Usage {
        counts: Counts,
    },
    /// The sender lacks a configuration above this version.
    ConfigRequest {
        above: u64,
    },
    /// A part of the sender's configuration.
    ConfigChunk(Chunk),
    /// The sender has just started and knows nothing of the store.
    StateRequest(ChunkRequest),
    /// Another VM should be asked for it.
    StateRedirect {
        /// Whether the sender knows it, and only serves others at present.
        serves_others: bool,
    },
    /// A part of what the sender knows of the store.
    StateChunk {
        /// How long ago the sender sent the question whose answer proves that this is the newest.
        age: Duration,
        chunk: Chunk,
    },
    /// About a request under which servers exit.
    Poison(PoisonMessage),
    /// What servers said of themselves.
    Signals {
        scope: Scope,
        servers: Vec<SignalReport>,
    },
}

/// One datagram.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Datagram {
    pub(super) from: VmDescriptor,
    pub(super) incarnation: u64,
    /// The sender's time of day.
    pub(super) wall_ms: i64,
    /// True time as the sender reckons it.
    pub(super) estimated_ms: Option<i64>,
    /// The sender's clock.
    pub(super) sent: TimePoint,
    pub(super) echo: Option<Echo>,
    /// The revision of the store that the sender has reached.
    pub(super) revision: Option<u64>,
    pub(super) content: Content,
}

impl Datagram {
    /// One start of one VM: totals of another start are no continuation of these.
    pub(super) fn sender(&self) -> String {
        format!("{}#{}", self.from.name, self.incarnation)
    }
}

/// How datagrams are encoded: numbers take as many bytes as they need.
///
/// Load: a collector tells each of its members the work at all servers, sixteen times a second. With numbers of fixed
/// length and twenty members it sent 2.1 MB a second, and a VM of an eighth of a core had no time left for requests.
pub(crate) fn encoding() -> impl Options {
    DefaultOptions::new().with_limit(MAX_DATAGRAM as u64)
}
