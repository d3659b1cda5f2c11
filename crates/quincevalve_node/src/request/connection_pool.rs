//! Connections to backend servers and to other entry VMs.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    hash::Hash,
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use http::{HeaderMap, header};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use quincevalve_forwarding::memory_budget::Holding;
use quincevalve_ports::reset_when_dropped;
use snafu::{ResultExt, Snafu};
use socket2::SockRef;
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::Notify,
    task::AbortHandle,
    time::{Instant, timeout},
};

use crate::request::{
    held_body::HeldBody,
    held_memory::{HeldMemory, Reservation},
};

/// Timeout for connecting to a server.
///
/// A reachable server answers within a few milliseconds. A lost SYN packet is retransmitted only after one second,
/// which is too long for a request to wait.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum idle time after which a connection is reused, even if the server would keep it open longer.
///
/// A network partition may begin, or a connection may become silent, while the connection is idle. A request sent on
/// such a connection counts as possibly run and is lost to its caller, and it reaches the server once the partition
/// heals. The first keepalive probe is sent after this time; a connection that receives no reply from then on is likely
/// dead and is closed with the next probe, after [`UNACKNOWLEDGED_TIMEOUT`].
const MAX_IDLE_TIME: Duration = Duration::from_secs(1);
/// Time without acknowledgement after which a connection fails. A sound server may be silent for more than a second.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size, in bytes, of a connection's read buffer, and so of an answer's head. A faulty server may send a head
/// without end, on hundreds of connections at once.
pub(crate) const MAX_READ_BUFFER: usize = 32 << 10;
/// Size of the kernel's receive buffer of a connection. Bytes in it count towards the VM's memory while a caller doesn't read
/// its answer.
pub(crate) const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;
/// Memory of a connection: its task and its buffers.
const CONNECTION_BYTES: u64 = 16 << 10;
/// Margin subtracted from the idle timeout that a server announces, because the server closes the connection only about
/// at that time.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(400);

/// A connection could not be established. No byte of a request was sent.
#[derive(Debug, Snafu)]
pub(crate) enum ConnectError {
    #[snafu(display("{address}: {source}"))]
    Refused { address: SocketAddr, source: io::Error },
    #[snafu(display("{address}: no connection within {CONNECT_TIMEOUT:?}"))]
    TimedOut { address: SocketAddr },
    /// This VM has as many connections as it may.
    #[snafu(display("{address}: no descriptor is free"))]
    NoDescriptor { address: SocketAddr },
    #[snafu(display("{address}: {source}"))]
    Handshake { address: SocketAddr, source: hyper::Error },
}

/// Result of an attempt to connect to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeResult {
    Listening,
    /// Its VM responds, but no process listens on its port.
    ConnectionRefused,
    /// There was no response, or a different error.
    Unknown,
}

/// Aborts a connection's task when the connection is dropped.
///
/// The server then observes at once that the connection closes, and stops processing an abandoned request.
#[derive(Debug)]
struct ConnectionTask {
    task: AbortHandle,
    _open: OpenCount,
}

#[derive(Debug, Default)]
struct OpenConnections {
    count: Cell<usize>,
    /// Notified when a connection has closed.
    closed: Notify,
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct OpenCount {
    open: Rc<OpenConnections>,
    _memory: Reservation,
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.open.count.set(self.open.count.get().saturating_sub(1));
        self.open.closed.notify_waiters();
    }
}

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection to a server that is not in use by another request.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<HeldBody>,
    pub(crate) reused: bool,
    _task: ConnectionTask,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Idle connections, by the process at the other end.
///
/// The key of a server includes its start: a server that restarts during a network partition leaves connections that
/// appear open, and they are never used for its new start.
#[derive(Debug)]
pub(crate) struct ConnectionPool<K> {
    local: IpAddr,
    /// Maximum number of open connections.
    limit: usize,
    memory: HeldMemory,
    /// The connections that are open or being opened.
    open: Rc<OpenConnections>,
    idle: RefCell<HashMap<K, Vec<IdleConnection>>>,
}

impl<K> ConnectionPool<K>
where
    K: Eq + Hash,
{
    /// Creates an empty pool of at most `limit` connections, idle ones included.
    pub(crate) fn new(local: IpAddr, limit: usize, memory: HeldMemory) -> Self {
        Self { local, limit, memory, open: Rc::default(), idle: RefCell::default() }
    }

    /// Returns the most recently used idle connection to `key`, or opens a new one.
    pub(crate) async fn acquire(
        &self,
        key: &K,
        address: SocketAddr,
    ) -> Result<Connection, ConnectError> {
        match self.take_idle(key) {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    /// Checks whether a server still listens on its port. An established connection is kept for the next request.
    pub(crate) async fn probe(&self, key: K, address: SocketAddr) -> ProbeResult {
        match self.connect(address).await {
            Ok(connection) => {
                self.release(key, connection, &KeepAlive::For(MAX_IDLE_TIME));
                ProbeResult::Listening
            }
            Err(ConnectError::Refused { source, .. })
                if source.kind() == io::ErrorKind::ConnectionRefused =>
            {
                ProbeResult::ConnectionRefused
            }
            Err(error) => {
                log::debug!(error:% = error; "reach-unknown");
                ProbeResult::Unknown
            }
        }
    }

    /// Returns a connection to the pool, for at most as long as the server's response allows.
    pub(crate) fn release(&self, key: K, mut connection: Connection, answer: &KeepAlive) {
        let KeepAlive::For(time) = answer else { return };
        connection.reused = true;
        let idle = IdleConnection { connection, expires_at: Instant::now() + *time };
        self.idle.borrow_mut().entry(key).or_default().push(idle);
    }

    /// Drops all idle connections to a server.
    pub(crate) fn drop_idle(&self, key: &K) {
        self.idle.borrow_mut().remove(key);
    }

    /// Drops all idle connections to unreachable servers.
    ///
    /// If a data centre is partitioned and a request is sent on a connection from before the partition, the request
    /// counts as sent: its caller gets an answer that it may have run, and it reaches the server once the partition
    /// heals, even though the server may have left meanwhile. A new connection can't be established, so that nothing is
    /// sent and another server is tried.
    pub(crate) fn drop_all_idle(&self, unreachable: Vec<K>) {
        let mut idle = self.idle.borrow_mut();
        for server in unreachable {
            idle.remove(&server);
        }
    }

    /// Drops connections that have expired or are closed.
    pub(crate) fn remove_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|it| it.expires_at > now && !it.connection.sender.is_closed());
            !idle.is_empty()
        });
    }

    fn take_idle(&self, key: &K) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(key)?;
        let now = Instant::now();
        while let Some(it) = connections.pop() {
            if it.expires_at > now && it.connection.sender.is_ready() {
                return Some(it.connection);
            }
        }
        None
    }

    /// Waits until a connection has closed.
    pub(crate) async fn closed(&self) {
        self.open.closed.notified().await;
    }

    fn count_open(&self) -> OpenCount {
        self.open.count.set(self.open.count.get() + 1);
        let memory = self.memory.reserve(Holding::Connection, CONNECTION_BYTES);
        OpenCount { open: self.open.clone(), _memory: memory }
    }

    /// Drops the idle connection that expires first; returns whether there is one.
    fn drop_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .filter(|it| !it.is_empty())
            .min_by_key(|connections| connections.first().map(|it| it.expires_at));
        oldest.is_some_and(|it| it.drain(..1).next().is_some())
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        if self.open.count.get() >= self.limit && !self.drop_oldest_idle() {
            return NoDescriptorSnafu { address }.fail();
        }
        let open = self.count_open();
        let opening = timeout(CONNECT_TIMEOUT, open_stream(self.local, address)).await;
        let stream = opening
            .map_err(|_| ConnectError::TimedOut { address })?
            .context(RefusedSnafu { address })?;
        let mut settings = http1::Builder::new();
        settings.max_buf_size(MAX_READ_BUFFER);
        let handshake = settings.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.context(HandshakeSnafu { address })?;
        let task = tokio::task::spawn_local(async move {
            // A request on the connection also receives this error and logs it.
            if let Err(error) = connection.await {
                log::debug!(server:% = address, error:% = error; "connection-ended");
            }
        });
        let task = ConnectionTask { task: task.abort_handle(), _open: open };
        Ok(Connection { sender, reused: false, _task: task })
    }
}

async fn open_stream(local: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(SocketAddr::new(local, 0))?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    reset_when_dropped(&stream, UNACKNOWLEDGED_TIMEOUT)?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    SockRef::from(&stream).set_tcp_keepalive(&probes)?;
    Ok(stream)
}

/// Whether and for how long a server's response allows the connection to be reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeepAlive {
    Close,
    For(Duration),
}

impl KeepAlive {
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        let closes = headers
            .get_all(header::CONNECTION)
            .iter()
            .filter_map(|it| it.to_str().ok())
            .any(|it| it.split(',').any(|it| it.trim().eq_ignore_ascii_case("close")));
        if closes {
            return Self::Close;
        }
        let announced = headers.get("keep-alive").and_then(|it| it.to_str().ok());
        let seconds = announced.and_then(|it| {
            let parts = it.split(',').filter_map(|it| it.trim().split_once('='));
            parts
                .filter(|(name, _)| name.eq_ignore_ascii_case("timeout"))
                .find_map(|(_, value)| value.trim().parse::<u64>().ok())
        });
        let time = seconds.map(|it| Duration::from_secs(it).saturating_sub(KEEP_ALIVE_MARGIN));
        Self::For(time.map_or(MAX_IDLE_TIME, |it| it.min(MAX_IDLE_TIME)))
    }
}

#[cfg(test)]
mod tests;
