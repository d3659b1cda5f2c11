//! Write timeout for connections of callers that stop reading.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use quincevalve_timer::{Alarm, Timer};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A connection whose writes fail when none of them makes progress for `timeout`.
///
/// A caller can disappear without closing its connection, or a device on the path can lose the connection's state.
/// Without a timeout the answer would wait in full buffers forever, occupy a connection slot, and count as being read,
/// so it would never be discarded. The answer itself is kept: a caller that reconnects can resume reading.
pub(crate) struct StallGuard {
    stream: TcpStream,
    timer: Timer,
    timeout: Duration,
    alarm: Option<Alarm>,
}

impl StallGuard {
    pub(crate) const fn new(stream: TcpStream, timer: Timer, timeout: Duration) -> Self {
        Self { stream, timer, timeout, alarm: None }
    }

    /// Returns a write's result, or a timeout error if writes have been pending for too long.
    fn poll_write_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.alarm = None;
            return written;
        }
        let alarm = self.alarm.get_or_insert_with(|| self.timer.after(self.timeout));
        match Pin::new(alarm).poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for StallGuard {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for StallGuard {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.poll_write_timeout(cx, written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.poll_write_timeout(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
