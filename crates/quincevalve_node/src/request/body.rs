//! Bodies of responses to callers.

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::sync::mpsc;

/// Maximum number of chunks buffered for a slow caller before reading from the server pauses.
const MAX_BUFFERED_CHUNKS: usize = 64;

/// The error of a response body that ends before it is complete. It closes the connection to the caller, so that the
/// truncated response doesn't look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer was aborted before it was complete"))]
pub(crate) struct AnswerAborted;

/// A response body, either complete from the start or streamed as it arrives.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    Whole(Option<Bytes>),
    Stream(StreamBody),
}

/// A body whose chunks are sent by an [`AnswerSender`].
#[derive(Debug)]
pub(crate) struct StreamBody {
    rx: mpsc::Receiver<Bytes>,
    is_complete: Rc<Cell<bool>>,
    was_aborted: bool,
}

/// Sends the chunks of a streamed body.
///
/// Unless it is completed, the body ends with an error once the sender is dropped, also when its task panics: a truncated
/// response must not look complete.
#[derive(Debug)]
pub(crate) struct AnswerSender {
    tx: mpsc::Sender<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

/// The caller has closed its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerLeft;

impl AnswerSender {
    /// Sends a chunk once there is room for it.
    pub(crate) async fn send(&self, chunk: Bytes) -> Result<(), CallerLeft> {
        self.tx.send(chunk).await.map_err(|_| CallerLeft)
    }

    /// Waits until the caller has closed its connection.
    pub(crate) async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Returns whether the caller has closed its connection.
    pub(crate) fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// States that the chunks sent so far are the whole body.
    pub(crate) fn complete(&self) {
        self.is_complete.set(true);
    }
}

/// Creates a streamed body and its sender.
pub(crate) fn stream_body() -> (AnswerSender, AnswerBody) {
    let (tx, rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let is_complete = Rc::new(Cell::new(false));
    let body = StreamBody { rx, is_complete: is_complete.clone(), was_aborted: false };
    (AnswerSender { tx, is_complete }, AnswerBody::Stream(body))
}

impl AnswerBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            Self::Stream(body) => match body.rx.poll_recv(cx) {
                Poll::Ready(None) if !body.is_complete.get() && !body.was_aborted => {
                    body.was_aborted = true;
                    Poll::Ready(Some(Err(AnswerAborted)))
                }
                received => received.map(|it| it.map(|it| Ok(Frame::data(it)))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

#[cfg(test)]
mod tests;
