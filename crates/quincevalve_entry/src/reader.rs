//! Reads an answer's log for one caller.

use std::{
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use quincevalve_names::Sequence;
use quincevalve_timer::Timer;
use snafu::Snafu;

use crate::{
    answer::{Answer, AnswerState, End},
    openai::{ChunkWriter, StreamShape},
};

/// How a reader encodes the log.
#[derive(Debug)]
pub(crate) enum Encoding {
    /// Server-sent events of an OpenAI stream.
    Events(ChunkWriter),
    /// The bytes of a plain service, unchanged.
    Bytes,
}

/// The answer ended early, after a part of it had been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer was truncated"))]
pub(crate) struct AnswerTruncated;

/// Reads an answer from a start position until it ends.
#[derive(Debug)]
pub(crate) struct AnswerReader {
    answer: Arc<Answer>,
    timer: Timer,
    next_token: Sequence,
    next_chunk: usize,
    encoding: Encoding,
    done: bool,
    truncated: Option<AnswerTruncated>,
}

impl AnswerReader {
    pub(crate) fn events(
        answer: Arc<Answer>,
        timer: Timer,
        from: Sequence,
        shape: StreamShape,
    ) -> Self {
        let encoding = Encoding::Events(ChunkWriter::new(answer.id(), shape));
        Self::new(answer, timer, from, encoding)
    }

    pub(crate) fn bytes(answer: Arc<Answer>, timer: Timer) -> Self {
        Self::new(answer, timer, Sequence(0), Encoding::Bytes)
    }

    fn new(answer: Arc<Answer>, timer: Timer, next_token: Sequence, encoding: Encoding) -> Self {
        answer.add_reader();
        Self { answer, timer, next_token, next_chunk: 0, encoding, done: false, truncated: None }
    }

    /// Returns the bytes added since the last call. Tokens that arrived together are returned together.
    pub(crate) fn poll_bytes(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, AnswerTruncated>>> {
        if self.done {
            return Poll::Ready(self.truncated.take().map(Err));
        }
        let answer = Arc::clone(&self.answer);
        let bytes = std::task::ready!(answer.poll_read(cx, |state| self.read_new(state)));
        if bytes.is_empty() {
            return Poll::Ready(self.truncated.take().map(Err));
        }
        Poll::Ready(Some(Ok(bytes)))
    }

    /// Encodes what was added to the log: `None` if there is nothing yet, empty bytes at the end.
    fn read_new(&mut self, state: &AnswerState) -> Option<Bytes> {
        let bytes = match &mut self.encoding {
            Encoding::Events(writer) => {
                for (seq, text) in state.tokens_from(self.next_token) {
                    writer.token(seq, text);
                    self.next_token = seq.next();
                }
                if let Some(end) = state.end() {
                    self.done = true;
                    writer.end(end, state.token_count());
                }
                writer.take()
            }
            Encoding::Bytes => {
                let unread = state.chunks_from(self.next_chunk);
                self.next_chunk += unread.len();
                self.done = state.end().is_some();
                // A service's bytes have no end marker, so only aborting the connection shows that the answer is
                // truncated.
                self.truncated = state.end().filter(|it| !is_complete(it)).map(|_| AnswerTruncated);
                unread.concat().into()
            }
        };
        (!bytes.is_empty() || self.done).then_some(bytes)
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        self.answer.remove_reader(self.timer.now());
    }
}

/// Returns whether an answer ended complete.
pub(crate) fn is_complete(end: &End) -> bool {
    matches!(end, End::Whole)
}
