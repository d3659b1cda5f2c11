//! Accepting connections from peers.

use std::{future::Future, net::SocketAddr};

use snafu::{ResultExt, Snafu};
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpListener;

use crate::{stream::PeerStream, tls::PeerSecurity};

/// Maximum size of a message between peers, in bytes. The largest message is a revision of the inventory; the limit
/// leaves room for it to grow.
const MAX_FRAME_BYTES: usize = 4 << 20;

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
        loop {
            let Ok((stream, peer)) = self.listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            let security = security.clone();
            let serve = serve.clone();
            tokio::spawn(async move {
                match security.accept(stream).await {
                    Ok(stream) => serve(stream).await,
                    Err(error) => log::warn!("rejected the connection of peer {peer}: {error}"),
                }
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
