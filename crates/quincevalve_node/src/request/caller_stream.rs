//! A caller's connection on the network, whose activity is recorded.

use std::{
    future::Future,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};

use crate::request::caller_connections::CallerConnection;

/// A stream that records what its caller sends and reads.
pub(crate) struct CallerStream {
    pub(crate) stream: TcpStream,
    pub(crate) connection: Rc<CallerConnection>,
}

impl CallerStream {
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(Ok(bytes)) => self.connection.record_written(*bytes),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.connection.record_blocked(),
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            self.connection.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.record_flushed();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Why a connection was closed by this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Closed {
    /// Others need its memory or its descriptor.
    Yields,
    /// Its caller took too long for a head, or to read an answer.
    TooSlow,
}

impl Closed {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Yields => "yields",
            Self::TooSlow => "too-slow",
        }
    }
}

/// Times that a caller may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerTimeouts {
    /// For a head, from its first byte.
    pub(crate) head: Duration,
    /// To read the next part of an answer.
    pub(crate) unread: Duration,
}

/// Runs a connection until it ends, yields or its caller takes too long.
pub(crate) async fn run_within<F>(
    served: F,
    connection: &CallerConnection,
    timeouts: CallerTimeouts,
) -> Result<F::Output, Closed>
where
    F: Future,
{
    let mut served = std::pin::pin!(served);
    let mut timer: Pin<Box<Option<Sleep>>> = Box::pin(None);
    std::future::poll_fn(|cx| {
        if let Poll::Ready(ended) = served.as_mut().poll(cx) {
            return Poll::Ready(Ok(ended));
        }
        if connection.poll_must_close(cx) {
            return Poll::Ready(Err(Closed::Yields));
        }
        let Some(left) = connection.time_left(timeouts.head, timeouts.unread) else {
            return Poll::Pending;
        };
        if left.is_zero() {
            return Poll::Ready(Err(Closed::TooSlow));
        }
        let due = Instant::now() + left;
        let is_set =
            timer.as_ref().as_pin_ref().is_some_and(|it| !it.is_elapsed() && it.deadline() <= due);
        if !is_set {
            timer.set(Some(sleep(left)));
        }
        if let Some(timer) = timer.as_mut().as_pin_mut()
            && timer.poll(cx).is_ready()
        {
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    })
    .await
}
