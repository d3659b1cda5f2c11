//! The body of a response to a caller.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;

use crate::reader::{AnswerReader, AnswerTruncated};

/// A response body; an enum instead of a boxed trait object, so that the request path has no dynamic dispatch.
pub(crate) enum EntryBody {
    /// Bytes that are known in full.
    Full(Full<Bytes>),
    /// Bytes read from an answer as it grows.
    Answer(AnswerReader),
}

impl EntryBody {
    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Full::new(bytes.into()))
    }
}

impl Body for EntryBody {
    type Data = Bytes;
    type Error = AnswerTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerTruncated>>> {
        match self.get_mut() {
            Self::Full(full) => Pin::new(full).poll_frame(cx).map_err(|it| match it {}),
            Self::Answer(reader) => reader.poll_bytes(cx).map_ok(Frame::data),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Answer(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Answer(_) => SizeHint::default(),
        }
    }
}
