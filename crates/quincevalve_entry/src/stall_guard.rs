//! Connections of callers that stop reading.

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

/// A connection whose writes fail once nothing could be written for a time.
///
/// Failure: a caller is gone without a word, or something on the way forgot its connection. Symptom: the
/// answer waits in full buffers for good, holds a connection's place, and counts as being read, so it is
/// never given up. A write that moves nothing for the limit ends the connection; the answer is kept, and
/// a caller that comes back reads on.
pub(crate) struct StallGuard {
    stream: TcpStream,
    timer: Timer,
    limit: Duration,
    alarm: Option<Alarm>,
}

impl StallGuard {
    pub(crate) const fn new(stream: TcpStream, timer: Timer, limit: Duration) -> Self {
        Self { stream, timer, limit, alarm: None }
    }

    /// Passes a write's result on, and fails it once it has been pending for too long.
    fn watch<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.alarm = None;
            return written;
        }
        let alarm = self.alarm.get_or_insert_with(|| self.timer.after(self.limit));
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
        this.watch(cx, written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.watch(cx, written)
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
