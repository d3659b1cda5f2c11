//! Accepting peers.

use std::{future::Future, net::SocketAddr};

use snafu::{ResultExt, Snafu};
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpListener;

use crate::{stream::PeerStream, tls::PeerSecurity};

/// The largest message between peers: a revision of the inventory with room to grow.
const MAX_FRAME: usize = 4 << 20;

/// The address for peers can't be listened on.
#[derive(Debug, Snafu)]
#[snafu(display("{address}: {source}"))]
pub struct BindError {
    address: SocketAddr,
    source: std::io::Error,
}

/// Where peers call.
#[derive(Debug)]
pub struct PeerListener {
    listener: TcpListener,
    address: SocketAddr,
}

impl PeerListener {
    /// Listens.
    pub async fn bind(address: SocketAddr) -> Result<Self, BindError> {
        let listener = TcpListener::bind(address).await.context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        Ok(Self { listener, address })
    }

    /// The address in use.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets in every peer that `security` vouches for, and gives its connection to `serve`.
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
                    Err(error) => log::warn!("a peer at {peer} was not let in: {error}"),
                }
            });
        }
    }
}

/// The framing that both ends of a peer connection use.
pub fn peer_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_codec()
}

/// Serves one connection with a tarpc service.
///
/// A macro, since the service's own future has to be known to be sent between threads.
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
