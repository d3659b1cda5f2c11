//! How connections to the platform are opened, and how they end.

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

/// Unacknowledged data for this long means that the other end is out of reach: it answers in
/// milliseconds, and several retransmissions fit.
const SILENT_LIMIT: Duration = Duration::from_millis(1_500);

/// Opens connections whose end takes back what has not arrived.
///
/// Failure: a call is given up while the way is cut, and the kernel goes on sending its bytes. Symptom:
/// when the way heals, a call arrives whose sender has lost its lease long ago. Connections are reset when
/// they are dropped, so bytes that are still on their way are lost with the call.
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
    reset_when_dropped(&stream)?;
    Ok(stream)
}

/// Makes a connection lose what has not arrived when it is dropped, and notice an end out of reach.
pub fn reset_when_dropped(stream: &TcpStream) -> io::Result<()> {
    let options = SockRef::from(stream);
    options.set_linger(Some(Duration::ZERO))?;
    options.set_tcp_user_timeout(Some(SILENT_LIMIT))
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
