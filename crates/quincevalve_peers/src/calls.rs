//! Clients for calls to peers.

use std::{
    future::Future,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use snafu::Snafu;
use tarpc::{
    client::{self, RpcError},
    context,
    tokio_serde::formats::Bincode,
    tokio_util::codec::Framed,
};
use tokio::net::TcpSocket;

use crate::{
    control::{ControlPeerClient, LocalControlClient},
    entry::EntryPeerClient,
    server::peer_codec,
    stream::PeerStream,
    tls::PeerSecurity,
};

/// The error for a failed call to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum CallFailure {
    /// There was no connection, so the peer can't have received the call.
    #[snafu(display("no connection to the peer"))]
    NotSent,
    /// There was no answer; the peer may have received the call.
    #[snafu(display("no answer from the peer"))]
    Unknown,
}

/// A client of one peer service.
pub trait PeerClient: Clone + Send + Sync + 'static {
    /// Creates a client on an open connection.
    fn open(stream: PeerStream) -> Self;
}

macro_rules! peer_client {
    ($client:ident) => {
        impl PeerClient for $client {
            fn open(stream: PeerStream) -> Self {
                let framed = Framed::new(stream, peer_codec());
                let transport = tarpc::serde_transport::new(framed, Bincode::default());
                Self::new(client::Config::default(), transport).spawn()
            }
        }
    };
}

peer_client!(EntryPeerClient);
peer_client!(ControlPeerClient);
peer_client!(LocalControlClient);

/// A pool of connections to peers, by address. Clones share the connections.
#[derive(Clone)]
pub struct PeerClients<C> {
    security: PeerSecurity,
    local: Option<IpAddr>,
    connect_timeout: Duration,
    clients: Arc<Mutex<std::collections::HashMap<SocketAddr, C>>>,
}

impl<C> PeerClients<C>
where
    C: PeerClient,
{
    /// Creates an empty pool. Connections are opened from `local`, with a timeout of `connect_timeout`.
    pub fn new(security: PeerSecurity, local: Option<IpAddr>, connect_timeout: Duration) -> Self {
        Self { security, local, connect_timeout, clients: Arc::default() }
    }

    /// Calls a peer and waits at most `limit` for its answer.
    ///
    /// If there is no answer, the connection is dropped, because it may never deliver an answer again. The next call
    /// opens a new connection.
    pub async fn call<F, Called, A>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: F,
    ) -> Result<A, CallFailure>
    where
        F: FnOnce(C, context::Context) -> Called + Send,
        Called: Future<Output = Result<A, RpcError>> + Send,
    {
        let client = self.client(address).await?;
        let mut cx = context::current();
        cx.deadline = std::time::Instant::now() + limit;
        if let Ok(Ok(answer)) = tokio::time::timeout(limit, call(client, cx)).await {
            return Ok(answer);
        }
        self.lock().remove(&address);
        Err(CallFailure::Unknown)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, std::collections::HashMap<SocketAddr, C>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn client(&self, address: SocketAddr) -> Result<C, CallFailure> {
        let existing = self.lock().get(&address).cloned();
        if let Some(client) = existing {
            return Ok(client);
        }
        let opened = tokio::time::timeout(self.connect_timeout, self.connect(address)).await;
        let stream = opened.ok().flatten().ok_or(CallFailure::NotSent)?;
        let client = C::open(stream);
        self.lock().insert(address, client.clone());
        Ok(client)
    }

    async fn connect(&self, address: SocketAddr) -> Option<PeerStream> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        };
        let socket = socket.ok()?;
        if let Some(local) = self.local {
            socket.bind(SocketAddr::new(local, 0)).ok()?;
        }
        let stream = socket.connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        match self.security.connect(address, stream).await {
            Ok(stream) => Some(stream),
            Err(error) => {
                log::warn!("peer {address}: {error}");
                None
            }
        }
    }

    /// Closes the connections to peers for whose address `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.lock().retain(|it, _| keep(it));
    }
}
