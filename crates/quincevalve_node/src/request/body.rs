//! Bodies of responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::sync::mpsc;

/// Maximum number of chunks buffered for a slow caller before reading from the server pauses.
pub(crate) const MAX_BUFFERED_CHUNKS: usize = 64;
/// Maximum size, in bytes, of an answer that is buffered until it is complete.
pub(crate) const MAX_BUFFERED_ANSWER: usize = 4 << 20;

/// The error of a response body that ends before it is complete. It closes the connection to the caller, so that the
/// truncated response doesn't look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer was aborted before it was complete"))]
pub(crate) struct AnswerAborted;

/// A response body, either complete from the start or streamed as it arrives.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<Result<Bytes, AnswerAborted>>),
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
            Self::Stream(rx) => rx.poll_recv(cx).map(|it| it.map(|it| it.map(Frame::data))),
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
