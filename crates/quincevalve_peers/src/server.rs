//! Accepting connections from peers.

use std::{future::Future, net::SocketAddr, time::Duration};

use quincevalve_intake::BoundedListener;
use snafu::{ResultExt, Snafu};
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::{net::TcpListener, time::timeout};

use crate::{stream::PeerStream, tls::PeerSecurity};

/// Maximum size of a message between peers, in bytes. The largest message is a revision of the inventory; the limit
/// leaves room for it to grow.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Maximum number of open connections of peers. Each of the other VMs has a few.
const MAX_CONNECTIONS: usize = 4_096;
/// Timeout for a peer to authenticate itself.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// The error for an address that can't be bound.
#[derive(Debug, Snafu)]
#[snafu(display("{address}: {source}"))]
pub struct BindError {
    address: SocketAddr,
    source: std::io::Error,
}

/// A listener for connections from peers.
#[derive(Debug)]
pub struct PeerListener {
    listener: TcpListener,
    address: SocketAddr,
}

impl PeerListener {
    /// Binds a listener to `address`.
    pub async fn bind(address: SocketAddr) -> Result<Self, BindError> {
        let listener = TcpListener::bind(address).await.context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        Ok(Self { listener, address })
    }

    /// Returns the bound address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts the connections of all peers that `security` authenticates, and passes them to `serve`.
    pub async fn accept<F, Served>(self, security: PeerSecurity, serve: F)
    where
        F: Fn(PeerStream) -> Served + Clone + Send + 'static,
        Served: Future<Output = ()> + Send,
    {
        let listener = BoundedListener::new(self.listener, MAX_CONNECTIONS);
        loop {
            let (stream, peer, open) = listener.accept().await;
            let _ = stream.set_nodelay(true);
            let security = security.clone();
            let serve = serve.clone();
            tokio::spawn(async move {
                match timeout(HANDSHAKE_TIMEOUT, security.accept(stream)).await {
                    Ok(Ok(stream)) => serve(stream).await,
                    Ok(Err(error)) => log::warn!("rejected the connection of peer {peer}: {error}"),
                    Err(_) => log::warn!("rejected the connection of peer {peer}: no handshake"),
                }
                drop(open);
            });
        }
    }
}

/// Returns the framing codec for both ends of a peer connection.
pub fn peer_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Serves a connection with a tarpc service.
///
/// This is a macro because the compiler must know the concrete type of the service's future to verify that the future
/// is `Send`.
#[macro_export]
macro_rules! serve_peer {
    ($stream:expr, $service:expr) => {{
        use $crate::reexport::{futures::StreamExt as _, tarpc::server::Channel as _};
        let framed =
            $crate::reexport::tarpc::tokio_util::codec::Framed::new($stream, $crate::peer_codec());
        let format = $crate::reexport::tarpc::tokio_serde::formats::Bincode::default();
        let transport = $crate::reexport::tarpc::serde_transport::new(framed, format);
        let channel = $crate::reexport::tarpc::server::BaseChannel::with_defaults(transport);
        channel
            .execute($service)
            .for_each(|response| async {
                tokio::spawn(response);
            })
            .await;
    }};
}
