//! What the process needs from the platform, in the project's own terms.

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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision(pub u64);

impl StoreRevision {
    /// The revision of a key that doesn't exist.
    pub const ABSENT: Self = Self(0);
}

/// A lease, as the store names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// What is known of the platform at a revision.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The configuration, if there is one yet.
    pub config: Option<ForwardingConfig>,
    /// All backend servers.
    pub servers: Vec<(BackendServerName, ServerEntry)>,
    /// Backend servers' names under which something stands that can't be read, and why.
    pub unreadable: Vec<(BackendServerName, String)>,
    /// The operators' orders for roll-outs.
    pub rollouts: Vec<(ServiceName, RolloutOrder)>,
    /// The system's own keys.
    pub own: Vec<OwnItem>,
    /// All changes up to this revision are in it.
    pub at: StoreRevision,
    /// The newest change that is in it: it may be read in parts, one after the other.
    pub newest: StoreRevision,
}

/// An item that the system itself wrote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnItem {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Its last change.
    pub revision: StoreRevision,
    /// The lease with which it ends, as far as told: changes don't tell it.
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
    /// What stands under a backend server's name can't be read; the reason is logged.
    ServerUnreadable(BackendServerName, String),
    /// An order to move a service to another version.
    RolloutOrder(ServiceName, RolloutOrder),
    /// Such an order was removed.
    RolloutOrderRemoved(ServiceName),
    /// The system's own item.
    Own(OwnItem),
    /// The system's own item was removed.
    OwnRemoved(String),
    /// Something that can't be read; the reason is logged.
    Unreadable(String),
}

/// Changes since a revision.
#[derive(Debug, Default)]
pub struct Changes {
    /// The changes with their revisions, oldest first.
    pub changes: Vec<(StoreRevision, Change)>,
    /// The revision to go on from.
    pub at: StoreRevision,
    /// Whether the store may have cut the answer, so that later changes may be there already.
    pub may_be_cut: bool,
}

/// A write of the system's own keys, all or nothing.
#[derive(Clone, Debug, Default)]
pub struct Commit {
    /// Keys that must be at these revisions.
    pub expected: Vec<(String, StoreRevision)>,
    /// Keys to write, some under a lease.
    pub puts: Vec<(String, Vec<u8>, Option<LeaseId>)>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// What operators are told of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// The traffic is being moved.
    Active,
    /// The old version's servers may stop.
    Completed,
    /// The new version's servers may go.
    RolledBack,
}

/// The word to the operators about one order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The service.
    pub service: ServiceName,
    /// The version that was ordered.
    pub to: ServerVersion,
    /// How far it has come.
    pub state: RolloutState,
    /// The revision at which the order has to stand for the word to be written; absent where it was removed.
    pub order: StoreRevision,
}

/// How new what is read has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAge {
    /// It is the newest.
    Newest,
    /// It may be some seconds old; such a read costs a fraction.
    MayBeOld,
}

/// A call to the store that failed.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum StoreError {
    /// Keys have other revisions than expected; nothing was written.
    #[snafu(display("store: another writer was first"))]
    Conflict,
    /// The lease has ended; nothing was written.
    #[snafu(display("store: the lease has ended"))]
    LeaseEnded,
    /// The changes asked for are no longer kept.
    #[snafu(display("store: its history no longer goes back that far"))]
    HistoryGone,
    /// No answer, or one that says that nothing was done. A write may have taken effect.
    #[snafu(display("store: {source}"))]
    Call {
        /// Why.
        source: CallError,
    },
    /// The answer can't be understood.
    #[snafu(display("store: unreadable answer: {what}"))]
    Unreadable {
        /// What was wrong.
        what: String,
    },
}

/// The platform's key-value store.
pub trait PlatformStore: Clone + 'static {
    /// Reads all that matters. Where it may be old, it is what stood at the revision that it names.
    fn snapshot(&self, age: ReadAge) -> impl Future<Output = Result<Snapshot, StoreError>>;

    /// Reads the system's own items whose keys begin with `prefix`, five hundred at most; they may be seconds old.
    fn own_items(&self, prefix: &str) -> impl Future<Output = Result<Vec<OwnItem>, StoreError>>;

    /// Waits at most `wait` for changes after `after`.
    fn changes(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>>;

    /// Reads the configuration.
    fn config(
        &self,
        age: ReadAge,
    ) -> impl Future<Output = Result<Option<ForwardingConfig>, StoreError>>;

    /// Reads one of the system's own keys, newest.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<OwnItem>, StoreError>>;

    /// Writes the system's own keys.
    fn commit(&self, commit: &Commit) -> impl Future<Output = Result<StoreRevision, StoreError>>;

    /// Writes the system's own keys and, in the same write, the word about a roll-out.
    fn commit_rollout(
        &self,
        commit: &Commit,
        status: &RolloutStatus,
    ) -> impl Future<Output = Result<StoreRevision, StoreError>>;

    /// Takes out a lease.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, StoreError>>;

    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;

    /// Ends a lease and removes its keys.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
}

/// Who acts, for calls of which only one holder may make any.
#[derive(Clone, Debug)]
pub struct ActingHolder {
    /// The entry VM's name.
    pub name: String,
    /// Grows with each change of holder.
    pub number: FencingNumber,
}

/// An order for servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerOrder {
    /// Of this service.
    pub service: ServiceName,
    /// In this data centre.
    pub data_centre: DataCentreName,
    /// How many there should be.
    pub count: u32,
    /// Whether reclaimable ones are meant; each kind is counted by itself.
    pub reclaimable: bool,
}

/// A call to the cloud that failed.
#[derive(Debug, Snafu)]
#[snafu(module)]
pub enum CloudError {
    /// There are none to be had at present.
    #[snafu(display("cloud: none available"))]
    NoneAvailable,
    /// Any other failure; the call may have taken effect.
    #[snafu(display("cloud: {source}"))]
    Call {
        /// Why.
        source: CallError,
    },
}

/// The platform's cloud API.
pub trait CloudApi: Clone + 'static {
    /// Reports how many requests of each account began in a window.
    fn report_usage(
        &self,
        holder: &ActingHolder,
        window: u64,
        counts: &IndexMap<ClientAccountName, u64>,
    ) -> impl Future<Output = Result<(), CloudError>>;

    /// Orders servers.
    fn order(
        &self,
        holder: &ActingHolder,
        order: &ServerOrder,
    ) -> impl Future<Output = Result<(), CloudError>>;
}

/// A running request that was stopped at its server, its memory copied to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MovedRun {
    /// What the request has to carry to go on from the copy.
    pub ticket: HeaderValue,
}

/// A run that could not be moved; it goes on where it is, unless its server has stopped it.
#[derive(Debug, Snafu)]
#[snafu(display("engine: {source}"))]
pub struct MoveError {
    /// Why.
    pub source: CallError,
}

/// What a model engine can be told beside requests.
pub trait EngineApi: Clone + 'static {
    /// Stops a running request and copies its memory to another engine.
    fn move_run(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        attempt_id: &str,
    ) -> impl Future<Output = Result<MovedRun, MoveError>>;
}

/// A header by which a server says something of itself, and which can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableSignal {
    /// Its name.
    pub name: HeaderName,
    /// Its value, the first where there are several.
    pub value: String,
}

/// What the headers of a server's answer say of the server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DecodedSignals {
    /// What can be read.
    pub signals: ServerSignals,
    /// What can't.
    pub unreadable: Vec<UnreadableSignal>,
}

/// The headers that callers, servers and the system exchange.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Names one attempt of a caller; servers echo it.
    pub attempt_id: HeaderName,
    /// Milliseconds that the sender of the request waits.
    pub deadline_ms: HeaderName,
    /// The caller's key.
    pub key: HeaderName,
    /// The account of the caller, set for servers.
    pub account: HeaderName,
    /// The parts of a prompt, `ID:TOKENS` separated by commas.
    pub prompt_parts: HeaderName,
    /// Prompt tokens and the most output tokens, separated by a comma.
    pub token_counts: HeaderName,
    /// The caller's guess of the tokens that will be generated.
    pub length_hint: HeaderName,
    /// The name of the server that is meant.
    pub expected_server: HeaderName,
    /// The name of the server that answered.
    pub answering_server: HeaderName,
    /// The server's signature under its answer.
    pub seal: HeaderName,
    /// A server's statement that it did not run the request.
    pub not_run: HeaderName,
    /// Urgency at a model engine, 0 first.
    pub urgency: HeaderName,
    /// The last event that was received of a stream.
    pub last_event: HeaderName,
    /// Where the memory is from which a moved run goes on.
    pub moved_from: HeaderName,
    /// Decodes what the headers of a server's answer say of the server.
    pub signals: fn(&HeaderMap) -> DecodedSignals,
    /// Headers that only the system may set; a caller's are removed.
    pub internal: Vec<HeaderName>,
}
