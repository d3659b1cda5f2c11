//! This VM's knowledge of the versions that began streams, and its queries to other VMs.
//!
//! [`quincevalve_forwarding::stream_versions`] makes the decisions.

use std::{
    cell::{Cell, OnceCell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use quincevalve_forwarding::{
    servers::ServerTable,
    stream_versions::{
        PastVersions, QueryStep, StreamVersions, VersionQuery,
        messages::{QueryAnswer, StreamMessage},
    },
};
use quincevalve_names::TimePoint;
use tokio::{net::UdpSocket, sync::Notify};

use crate::settings::NodeSettings;

/// Maximum length of a service's name in a query, in bytes.
const MAX_SERVICE_NAME: usize = 256;

/// Streams and the versions that began them.
#[derive(Debug)]
pub(crate) struct StreamDirectory {
    pub(crate) versions: RefCell<StreamVersions>,
    queries: RefCell<HashMap<u64, Rc<PendingQuery>>>,
    last_seq: Cell<u64>,
    /// The socket for datagrams; not set before the process serves.
    socket: OnceCell<Rc<UdpSocket>>,
}

/// A query whose answers are awaited.
#[derive(Debug)]
pub(crate) struct PendingQuery {
    query: RefCell<VersionQuery>,
    answered: Notify,
}

impl PendingQuery {
    /// Returns what to do about the query.
    pub(crate) fn step(&self, now: TimePoint) -> QueryStep {
        self.query.borrow_mut().step(now)
    }

    /// Returns the VM that knew the version.
    pub(crate) fn known_by(&self) -> Option<String> {
        self.query.borrow().known_by().map(str::to_owned)
    }

    /// Returns how many VMs were queried, and how many of them haven't answered.
    pub(crate) fn counts(&self) -> (usize, usize) {
        self.query.borrow().counts()
    }

    /// Waits for the next answer.
    pub(crate) async fn answered(&self) {
        self.answered.notified().await;
    }
}

/// Removes a query when its request no longer waits for it.
pub(crate) struct QueryGuard<'a> {
    directory: &'a StreamDirectory,
    pub(crate) seq: u64,
    pub(crate) pending: Rc<PendingQuery>,
}

impl Drop for QueryGuard<'_> {
    fn drop(&mut self) {
        self.directory.queries.borrow_mut().remove(&self.seq);
    }
}

impl StreamDirectory {
    pub(crate) fn new(settings: &NodeSettings) -> Self {
        let past =
            if settings.is_first_start { PastVersions::None } else { PastVersions::InEntries };
        let versions = StreamVersions::new(settings.bounds.change_in_force, past);
        Self {
            versions: RefCell::new(versions),
            queries: RefCell::default(),
            last_seq: Cell::new(0),
            socket: OnceCell::new(),
        }
    }

    /// Sets the socket from which messages are sent. Only the first call has an effect.
    pub(crate) fn set_socket(&self, socket: Rc<UdpSocket>) {
        self.socket.get_or_init(|| socket);
    }

    /// Returns the socket from which messages are sent.
    pub(crate) fn socket(&self) -> Option<&UdpSocket> {
        self.socket.get().map(Rc::as_ref)
    }

    /// Records the versions of the listed servers. `confirmed_at` is the time of which the view of the store before this
    /// one was confirmed.
    pub(crate) fn observe(
        &self,
        servers: &ServerTable,
        confirmed_at: Option<TimePoint>,
        now: TimePoint,
    ) {
        let listed = servers.all().filter(|(_, it)| it.is_listed());
        let versions = listed.map(|(_, it)| (&it.entry.service, &it.entry.version));
        self.versions.borrow_mut().observe(versions, confirmed_at, now);
    }

    /// Begins a query.
    pub(crate) fn begin_query(&self, query: VersionQuery) -> QueryGuard<'_> {
        let seq = self.last_seq.get() + 1;
        self.last_seq.set(seq);
        let pending = Rc::new(PendingQuery { query: RefCell::new(query), answered: Notify::new() });
        self.queries.borrow_mut().insert(seq, pending.clone());
        QueryGuard { directory: self, seq, pending }
    }

    /// Applies a message of the VM named `from`, and returns the answer if there is one. `confirmed_at` is the
    /// time of which this VM's view of the store was confirmed.
    pub(crate) fn receive(
        &self,
        from: &str,
        message: StreamMessage,
        confirmed_at: Option<TimePoint>,
        now: TimePoint,
    ) -> Option<StreamMessage> {
        match message {
            StreamMessage::Began(records) => {
                let mut versions = self.versions.borrow_mut();
                for record in records {
                    versions.keep(record, now);
                }
                None
            }
            StreamMessage::Query { seq, key, service } => {
                let is_plausible = service.as_str().len() <= MAX_SERVICE_NAME;
                let answer = if is_plausible {
                    self.versions.borrow().answer(key, &service, confirmed_at, now)
                } else {
                    QueryAnswer::Unknown
                };
                Some(StreamMessage::Answer { seq, answer })
            }
            StreamMessage::Answer { seq, answer } => {
                if let Some(pending) = self.queries.borrow().get(&seq) {
                    pending.query.borrow_mut().receive(from, answer);
                    pending.answered.notify_one();
                }
                None
            }
        }
    }
}
