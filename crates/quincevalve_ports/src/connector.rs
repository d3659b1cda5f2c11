//! Opening of connections that are reset when they are dropped.

use std::{
    future::Future,
    io,
    net::{IpAddr, SocketAddr},
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use http::Uri;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};
use tower_service::Service;

/// Time without acknowledgement of sent data after which the other end of a call counts as unreachable. The other end
/// normally answers within milliseconds, and several retransmissions fit into this time.
const UNACKNOWLEDGED_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Opens connections that discard undelivered data when they are dropped.
///
/// If a call is abandoned during a network partition, the kernel continues to send its bytes, and once the partition
/// heals, the call arrives although its sender lost its lease long before. Connections are therefore reset when they
/// are dropped, which discards undelivered bytes together with the call.
#[derive(Clone, Debug)]
pub(crate) struct Connector {
    local: Option<IpAddr>,
    limit: Duration,
}

impl Connector {
    pub(crate) const fn new(local: Option<IpAddr>, limit: Duration) -> Self {
        Self { local, limit }
    }

    async fn open(self, uri: Uri) -> io::Result<TokioIo<TcpStream>> {
        let authority = uri.authority().map(|it| it.as_str().parse::<SocketAddr>());
        let Some(Ok(address)) = authority else {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "no address"));
        };
        let opening = tokio::time::timeout(self.limit, connect(self.local, address)).await;
        opening.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())).map(TokioIo::new)
    }
}

async fn connect(local: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(local) = local {
        socket.bind(SocketAddr::new(local, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    reset_when_dropped(&stream, UNACKNOWLEDGED_CALL_TIMEOUT)?;
    Ok(stream)
}

/// Configures a connection to be reset, discarding undelivered data, when it is dropped, and to fail when the other end
/// has acknowledged nothing for `unacknowledged`. That time also ends keepalive probes, whatever their number.
pub fn reset_when_dropped(stream: &TcpStream, unacknowledged: Duration) -> io::Result<()> {
    let options = SockRef::from(stream);
    options.set_linger(Some(Duration::ZERO))?;
    options.set_tcp_user_timeout(Some(unacknowledged))
}

impl Service<Uri> for Connector {
    type Response = TokioIo<TcpStream>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        Box::pin(self.clone().open(uri))
    }
}
