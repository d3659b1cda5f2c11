//! A connection to a peer, over TLS or plain TCP.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_rustls::TlsStream;

/// A connection to a peer.
///
/// This is an enum so that the same code handles both kinds without dynamic dispatch.
#[derive(Debug)]
pub enum PeerStream {
    /// Plain TCP, for loopback.
    Plain(TcpStream),
    /// Mutual TLS.
    Tls(Box<TlsStream<TcpStream>>),
}

impl AsyncRead for PeerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(it) => Pin::new(it).poll_read(cx, buf),
            Self::Tls(it) => Pin::new(it).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(it) => Pin::new(it).poll_write(cx, buf),
            Self::Tls(it) => Pin::new(it).poll_write(cx, buf),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(it) => Pin::new(it).poll_flush(cx),
            Self::Tls(it) => Pin::new(it).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(it) => Pin::new(it).poll_shutdown(cx),
            Self::Tls(it) => Pin::new(it).poll_shutdown(cx),
        }
    }
}
