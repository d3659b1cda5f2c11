//! Interfaces to the platform: its store, its cloud API, its model engines and its headers.

use std::{future::Future, net::SocketAddr, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue};
use indexmap::IndexMap;
use quincevalve_forwarding::{
    config::ForwardingConfig, rollout::record::RolloutOrder, server_signals::ServerSignals,
    servers::ServerEntry,
};
use quincevalve_names::{
    BackendServerName, ClientAccountName, DataCentreName, FencingNumber, ServerVersion, ServiceName,
};
use quincevalve_ports::CallError;
use snafu::Snafu;

/// A revision of the platform's store; grows with each change of any key.
///
/// A store that returns from an older copy begins a new era and gives out its numbers again. A revision holds both, so
/// that all revisions of an era are newer than those of earlier eras.
///
/// # Examples
///
/// ```
/// use quincevalve_node::ports::StoreRevision;
/// let lost = StoreRevision::in_era(1, 1_000);
/// let given_out_again = StoreRevision::in_era(2, 990);
/// assert!(given_out_again > lost);
/// assert_eq!((given_out_again.era(), given_out_again.number()), (2, 990));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision(pub u64);

impl StoreRevision {
    /// The revision of a key that doesn't exist.
    pub const ABSENT: Self = Self(0);

    /// Number of bits of a revision's number; the era is above them.
    const NUMBER_BITS: u32 = 44;

    /// Creates the revision with a number of the store's era.
    pub const fn in_era(era: u64, number: u64) -> Self {
        Self(era << Self::NUMBER_BITS | number)
    }

    /// Creates the revision with a number of the store's era, or returns `None` if one of them is too large.
    ///
    /// ```
    /// use quincevalve_node::ports::StoreRevision;
    /// assert_eq!(StoreRevision::checked(1, 5), Some(StoreRevision::in_era(1, 5)));
    /// assert_eq!(StoreRevision::checked(1, u64::MAX), None);
    /// ```
    pub const fn checked(era: u64, number: u64) -> Option<Self> {
        let fits = number >> Self::NUMBER_BITS == 0 && era >> (u64::BITS - Self::NUMBER_BITS) == 0;
        if fits { Some(Self::in_era(era, number)) } else { None }
    }

    /// Returns the era of the store.
    pub const fn era(self) -> u64 {
        self.0 >> Self::NUMBER_BITS
    }

    /// Returns the number within the store's era.
    pub const fn number(self) -> u64 {
        self.0 & ((1 << Self::NUMBER_BITS) - 1)
    }
}

/// The store's identifier of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// The platform's data at a revision of the store.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The configuration, if there is one yet.
    pub config: Option<ForwardingConfig>,
    /// All backend servers.
    pub servers: Vec<(BackendServerName, ServerEntry)>,
    /// Names of backend servers with unreadable entries, and the reason.
    pub unreadable: Vec<(BackendServerName, String)>,
    /// The operators' orders for roll-outs.
    pub rollouts: Vec<(ServiceName, RolloutOrder)>,
    /// The system's own items.
    pub system_items: Vec<SystemItem>,
    /// Revision up to which all changes are included.
    pub at: StoreRevision,
    /// Newest change that is included. It may exceed `at`, because the store may be read in several requests.
    pub newest: StoreRevision,
}

/// An item of the store that the system itself wrote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SystemItem {
    /// Key of the item.
    pub key: String,
    /// Value of the item.
    pub value: Vec<u8>,
    /// Revision of the item's last change.
    pub revision: StoreRevision,
    /// The lease that the item is attached to, if known; changes don't contain it.
    pub lease: Option<LeaseId>,
}

/// A change in the store.
#[derive(Debug)]
pub enum Change {
    /// A new version of the configuration.
    Config(Box<ForwardingConfig>),
    /// A backend server's entry.
    Server(BackendServerName, ServerEntry),
    /// A backend server's entry was removed.
    ServerRemoved(BackendServerName),
    /// A backend server's entry can't be read; the reason is logged.
    ServerUnreadable(BackendServerName, String),
    /// An order to roll out another version of a service.
    RolloutOrder(ServiceName, RolloutOrder),
    /// An order to roll out another version of a service was removed.
    RolloutOrderRemoved(ServiceName),
    /// An item of the system itself was written.
    SystemItem(SystemItem),
    /// An item of the system itself was removed; its key.
    SystemItemRemoved(String),
    /// Another item can't be read; the reason is logged.
    Unreadable(String),
}

/// Changes since a revision.
#[derive(Debug, Default)]
pub struct Changes {
    /// The changes with their revisions, oldest first.
    pub changes: Vec<(StoreRevision, Change)>,
    /// Revision from which the next read continues.
    pub at: StoreRevision,
    /// Whether the store may have truncated the answer, so that later changes may exist already.
    pub may_be_truncated: bool,
}

/// An atomic write of the system's own keys.
#[derive(Clone, Debug, Default)]
pub struct Commit {
    /// Keys with the revisions that they must have.
    pub expected: Vec<(String, StoreRevision)>,
    /// Keys to write with their values, and the leases to attach them to.
    pub puts: Vec<(String, Vec<u8>, Option<LeaseId>)>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// State of a roll-out as reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// Traffic is being moved to the new version.
    Active,
    /// The new version carries the traffic; the old version's servers may be stopped.
    Completed,
    /// The old version carries the traffic; the new version's servers may be stopped.
    RolledBack,
}

/// Status of one order, reported to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The service.
    pub service: ServiceName,
    /// The version that was ordered.
    pub to: ServerVersion,
    /// State of the roll-out.
    pub state: RolloutState,
    /// Revision that the order must have for the status to be written; absent if the order was removed.
    pub order: StoreRevision,
}

/// How current the result of a read must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadConsistency {
    /// The newest data.
    Latest,
    /// Data that may be some seconds old. Such a read costs a fraction of a consistent one.
    MayBeStale,
}

/// A call to the store that failed.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum StoreError {
    /// Keys have other revisions than expected; nothing was written.
    #[snafu(display("store: revision conflict, another writer was first"))]
    Conflict,
    /// The lease has expired or was revoked; nothing was written.
    #[snafu(display("store: the lease has ended"))]
    LeaseEnded,
    /// The requested changes are no longer kept.
    #[snafu(display("store: the requested changes are no longer kept"))]
    HistoryGone,
    /// The call got no answer, or an answer saying that nothing was done. A write may have taken effect.
    #[snafu(display("store: {source}"))]
    Call {
        /// Why.
        source: CallError,
    },
    /// The answer can't be decoded.
    #[snafu(display("store: unreadable answer: {what}"))]
    Unreadable {
        /// What was wrong.
        what: String,
    },
}

/// The platform's key-value store.
pub trait PlatformStore: Clone + 'static {
    /// Returns the newest era that an answer to any call of this process has stated, also a refusal; 0 if none has.
    fn era(&self) -> u64;

    /// Reads everything that the process uses. A result that may be old is the state at the revision that it names.
    fn snapshot(
        &self,
        consistency: ReadConsistency,
    ) -> impl Future<Output = Result<Snapshot, StoreError>>;

    /// Reads the system's own items whose keys begin with `prefix`, at most 500; the result may be seconds old.
    fn system_items(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<SystemItem>, StoreError>>;

    /// Waits for at most `wait` for changes after `after`.
    fn changes(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>>;

    /// Reads the configuration.
    fn config(
        &self,
        consistency: ReadConsistency,
    ) -> impl Future<Output = Result<Option<ForwardingConfig>, StoreError>>;

    /// Reads the newest value of one of the system's own keys.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<SystemItem>, StoreError>>;

    /// Writes the system's own keys.
    fn commit(&self, commit: &Commit) -> impl Future<Output = Result<StoreRevision, StoreError>>;

    /// Writes the system's own keys and, atomically with them, the status of a roll-out.
    fn commit_rollout(
        &self,
        commit: &Commit,
        status: &RolloutStatus,
    ) -> impl Future<Output = Result<StoreRevision, StoreError>>;

    /// Creates a lease.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, StoreError>>;

    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
}

/// The holder of the duties, which identifies itself in calls that only the holder may make.
#[derive(Clone, Debug)]
pub struct DutyHolder {
    /// Name of the entry VM.
    pub name: String,
    /// Fencing number, which grows with each change of holder.
    pub fencing_number: FencingNumber,
}

/// An order for a number of servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerOrder {
    /// The service.
    pub service: ServiceName,
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Total number of servers of this kind that should exist.
    pub count: u32,
    /// Whether the order is for reclaimable servers; each kind is counted separately.
    pub reclaimable: bool,
}

/// A call to the cloud that failed.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum CloudError {
    /// No servers are available at present.
    #[snafu(display("cloud: no servers available"))]
    NoneAvailable,
    /// Any other failure. The call may have taken effect.
    #[snafu(display("cloud: {source}"))]
    Call {
        /// Why.
        source: CallError,
    },
    /// The caller may no longer act as the holder of the duties. The call may have taken effect.
    #[snafu(display("cloud: the holder's term was over before the answer"))]
    TermOver,
}

/// The platform's cloud API.
pub trait CloudApi: Clone + 'static {
    /// Reports how many requests of each account started in a window.
    fn report_usage(
        &self,
        holder: &DutyHolder,
        window: u64,
        counts: &IndexMap<ClientAccountName, u64>,
    ) -> impl Future<Output = Result<(), CloudError>>;

    /// Orders servers.
    fn order(
        &self,
        holder: &DutyHolder,
        order: &ServerOrder,
    ) -> impl Future<Output = Result<(), CloudError>>;
}

/// A running request that was stopped at its server and whose memory is retained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MigratedRequest {
    /// Header value with which the request resumes from the memory.
    pub ticket: HeaderValue,
    /// Number of events that the server had generated when it stopped, if it states them.
    pub generated: Option<u64>,
}

/// A server's answer to the order to stop a running request and copy its memory to another server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MigrationAnswer {
    /// The request was stopped and its memory copied: it resumes at the destination, or at the server itself.
    Migrated(MigratedRequest),
    /// The request was stopped, but its memory could not be copied: it resumes only at the server itself.
    Stopped(MigratedRequest),
    /// The request was not stopped, since the destination has no room or can't be reached.
    NoRoom,
    /// The request was not stopped, since an earlier order for it is in progress.
    InProgress,
    /// The server doesn't run the request.
    NoRun,
}

/// The order to migrate a request got no answer that can be read. The server may have stopped the request.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum MigrationError {
    /// The call failed.
    #[snafu(display("engine: {source}"))]
    Call {
        /// Why.
        source: CallError,
    },
    /// A field of the answer is missing or malformed.
    #[snafu(display("engine: answer {status} with a malformed {field}"))]
    Field {
        /// The answer's status.
        status: u16,
        /// Name of the field.
        field: &'static str,
    },
}

/// Control calls to model engines.
pub trait EngineApi: Clone + 'static {
    /// Orders an engine to stop a running request and copy its memory to another engine.
    fn migrate_request(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        attempt_id: &str,
    ) -> impl Future<Output = Result<MigrationAnswer, MigrationError>>;

    /// Frees the memory of a stopped request at the engine that stopped it and where it was copied.
    fn free_memory(&self, ticket: &HeaderValue)
    -> impl Future<Output = Result<(), MigrationError>>;
}

/// A server's signal in an answer header that can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableSignal {
    /// Name of the header.
    pub name: HeaderName,
    /// Value of the header; the first if there are several.
    pub value: String,
}

/// A server's signals, decoded from the headers of its answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DecodedSignals {
    /// Signals that were parsed.
    pub signals: ServerSignals,
    /// Headers that couldn't be parsed.
    pub unreadable: Vec<UnreadableSignal>,
}

/// Names of the headers that callers, servers and the system exchange.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifier of one attempt of a caller; servers echo it.
    pub attempt_id: HeaderName,
    /// Milliseconds for which the sender of the request waits.
    pub deadline_ms: HeaderName,
    /// The caller's key.
    pub key: HeaderName,
    /// The account of the caller, set for servers.
    pub account: HeaderName,
    /// The prompt's segments, as `ID:TOKENS` separated by commas.
    pub prompt_parts: HeaderName,
    /// Number of prompt tokens and maximum number of output tokens, separated by a comma.
    pub token_counts: HeaderName,
    /// The caller's estimate of the number of generated tokens.
    pub length_hint: HeaderName,
    /// Name of the server that the request is meant for.
    pub expected_server: HeaderName,
    /// Name of the server that answered.
    pub answering_server: HeaderName,
    /// The server's signature of its answer.
    pub seal: HeaderName,
    /// Set by a server that did not execute the request.
    pub not_run: HeaderName,
    /// Urgency at a model engine; 0 is the most urgent.
    pub urgency: HeaderName,
    /// Identifier of the last event that was received of a stream.
    pub last_event_id: HeaderName,
    /// Location of the copied memory from which a migrated request resumes.
    pub migrated_from: HeaderName,
    /// Id of the attempt that brought the first event of a stream that the caller takes up again.
    pub resumes: HeaderName,
    /// Address of the server to which a request's memory is copied while it runs.
    pub copy_to: HeaderName,
    /// Decodes a server's signals from the headers of its answer.
    pub signals: fn(&HeaderMap) -> DecodedSignals,
    /// Headers that only the system may set; they are removed from callers' requests.
    pub internal: Vec<HeaderName>,
}
