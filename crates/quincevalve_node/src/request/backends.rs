//! Connections to backend servers.

use std::{
    cell::RefCell,
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, header};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use quincevalve_forwarding::{placement::Placement, servers::ServerStart};
use quincevalve_names::BackendServerName;
use quincevalve_ports::reset_when_dropped;
use snafu::{ResultExt, Snafu};
use socket2::SockRef;
use tokio::{
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
    time::{Instant, timeout},
};

/// A server in reach answers in a few milliseconds; an opening packet that is lost is sent again after a
/// second, which a request can't wait for.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Idle time after which a connection isn't used again, also where the server would keep it longer.
///
/// Failure: a cut begins, or a connection goes silent, while it is idle. Symptom: a request that is sent on it may have run
/// for all that is known, is lost for its caller, and reaches its server when the cut heals. The first keepalive
/// probe goes after this time; from then on a connection that hears nothing is likely dead, and by the third second it
/// is closed.
const REUSE_LIMIT: Duration = Duration::from_secs(1);
/// A server that closes a connection after its idle time does so about then; this much earlier is safe.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

/// A connection that can't be made. No byte of a request was sent.
#[derive(Debug, Snafu)]
pub(crate) enum ConnectError {
    #[snafu(display("{address}: {source}"))]
    Refused { address: SocketAddr, source: io::Error },
    #[snafu(display("{address}: no connection within {CONNECT_LIMIT:?}"))]
    TimedOut { address: SocketAddr },
    #[snafu(display("{address}: {source}"))]
    Handshake { address: SocketAddr, source: hyper::Error },
}

/// What an attempt to connect tells of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    Listens,
    /// Its VM answers, and no process listens at its port.
    NobodyListens,
    /// Nothing, or something else, came back.
    Unknown,
}

/// Ends the task of a connection with its owner, so that a request that is given up leaves the server at
/// once: the server sees the connection close and stops its work.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to a server that no request uses.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) reused: bool,
    _task: ConnectionTask,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections by server and its start. A server that starts again behind a cut leaves connections that look
/// alive; they are never used for the new start.
#[derive(Debug)]
pub(crate) struct Backends {
    local: IpAddr,
    idle: RefCell<HashMap<(BackendServerName, ServerStart), Vec<Idle>>>,
}

impl Backends {
    pub(crate) fn new(local: IpAddr) -> Self {
        Self { local, idle: RefCell::default() }
    }

    /// A connection to the server that was picked: the idle one that was used last, or a new one.
    pub(crate) async fn connection(
        &self,
        place: &Placement,
        address: SocketAddr,
    ) -> Result<Connection, ConnectError> {
        match self.take_idle(place) {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    /// Whether a server still listens. A connection that can be made is kept for the next request.
    pub(crate) async fn reach(&self, place: &Placement, address: SocketAddr) -> Reach {
        match self.connect(address).await {
            Ok(connection) => {
                self.keep(place, connection, &KeepAlive::For(REUSE_LIMIT));
                Reach::Listens
            }
            Err(ConnectError::Refused { source, .. })
                if source.kind() == io::ErrorKind::ConnectionRefused =>
            {
                Reach::NobodyListens
            }
            Err(error) => {
                log::debug!(error:% = error; "reach-unknown");
                Reach::Unknown
            }
        }
    }

    /// Keeps a connection for the next request, for as long as the server's answer says.
    pub(crate) fn keep(&self, place: &Placement, mut connection: Connection, answer: &KeepAlive) {
        let KeepAlive::For(time) = answer else { return };
        connection.reused = true;
        let idle = Idle { connection, until: Instant::now() + *time };
        self.idle.borrow_mut().entry(key(place)).or_default().push(idle);
    }

    /// Drops all idle connections to a server.
    pub(crate) fn forget(&self, place: &Placement) {
        self.idle.borrow_mut().remove(&key(place));
    }

    /// Drops all idle connections to servers that are out of reach.
    ///
    /// Failure: a data centre is cut off, and a request is sent on a connection from before the cut. Symptom: it counts as
    /// sent, so its caller is told that it may have run, and it reaches its server when the cut heals, though that
    /// may have left meanwhile. A new connection can't be made, so nothing is sent and another server is asked.
    pub(crate) fn forget_all(&self, out_of_reach: Vec<(BackendServerName, ServerStart)>) {
        let mut idle = self.idle.borrow_mut();
        for server in out_of_reach {
            idle.remove(&server);
        }
    }

    /// Drops connections whose time has passed.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|it| it.until > now && !it.connection.sender.is_closed());
            !idle.is_empty()
        });
    }

    fn take_idle(&self, place: &Placement) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key(place))?;
        let now = Instant::now();
        while let Some(it) = connections.pop() {
            if it.until > now && it.connection.sender.is_ready() {
                return Some(it.connection);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        let opening = timeout(CONNECT_LIMIT, open(self.local, address)).await;
        let stream = opening
            .map_err(|_| ConnectError::TimedOut { address })?
            .context(RefusedSnafu { address })?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.context(HandshakeSnafu { address })?;
        let task = tokio::task::spawn_local(async move {
            // A request on the connection gets the failure too, and is logged with it.
            if let Err(error) = connection.await {
                log::debug!(server:% = address, error:% = error; "connection-ended");
            }
        });
        let task = ConnectionTask(task.abort_handle());
        Ok(Connection { sender, reused: false, _task: task })
    }
}

fn key(place: &Placement) -> (BackendServerName, ServerStart) {
    (place.server.clone(), place.start)
}

async fn open(local: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(local, 0))?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    reset_when_dropped(&stream)?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    SockRef::from(&stream).set_tcp_keepalive(&probes)?;
    Ok(stream)
}

/// What a server's answer says of its connection.
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
        let said = headers.get("keep-alive").and_then(|it| it.to_str().ok());
        let seconds = said.and_then(|it| {
            let parts = it.split(',').filter_map(|it| it.trim().split_once('='));
            parts
                .filter(|(name, _)| name.eq_ignore_ascii_case("timeout"))
                .find_map(|(_, value)| value.trim().parse::<u64>().ok())
        });
        let time = seconds.map(|it| Duration::from_secs(it).saturating_sub(IDLE_MARGIN));
        Self::For(time.map_or(REUSE_LIMIT, |it| it.min(REUSE_LIMIT)))
    }
}
