//! Calling peers.

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

/// A call to a peer that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum CallFailure {
    /// No connection: the call can't have arrived.
    #[snafu(display("no connection to the peer"))]
    NotSent,
    /// No answer: the call may have arrived.
    #[snafu(display("no answer from the peer"))]
    Unknown,
}

/// A client of one peer service.
pub trait PeerClient: Clone + Send + Sync + 'static {
    /// Starts a client on a connection.
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

/// Peers' connections by address; clones share them.
#[derive(Clone)]
pub struct PeerClients<C> {
    security: PeerSecurity,
    local: Option<IpAddr>,
    connect: Duration,
    open: Arc<Mutex<std::collections::HashMap<SocketAddr, C>>>,
}

impl<C> PeerClients<C>
where
    C: PeerClient,
{
    /// Makes an empty set; connections leave from `local` and are given up after `connect`.
    pub fn new(security: PeerSecurity, local: Option<IpAddr>, connect: Duration) -> Self {
        Self { security, local, connect, open: Arc::default() }
    }

    /// Calls a peer and waits for its answer for at most `limit`.
    ///
    /// A connection whose answer doesn't come is dropped: it may have gone silent for good, and the
    /// next call opens a new one.
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
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn client(&self, address: SocketAddr) -> Result<C, CallFailure> {
        let known = self.lock().get(&address).cloned();
        if let Some(client) = known {
            return Ok(client);
        }
        let opened = tokio::time::timeout(self.connect, self.connect(address)).await;
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

    /// Forgets peers that are gone.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.lock().retain(|it, _| keep(it));
    }
}
