//! A caller's position in an answer.

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

/// What a reader makes of the log.
#[derive(Debug)]
pub(crate) enum Form {
    /// Server-sent events of an OpenAI stream.
    Events(ChunkWriter),
    /// A plain service's bytes as they came.
    Bytes,
}

/// The answer broke off after a part of it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer broke off"))]
pub(crate) struct AnswerBroken;

/// Reads an answer from a position on and follows it to its end.
#[derive(Debug)]
pub(crate) struct AnswerReader {
    answer: Arc<Answer>,
    timer: Timer,
    next: Sequence,
    chunk: usize,
    form: Form,
    done: bool,
    broken: Option<AnswerBroken>,
}

impl AnswerReader {
    pub(crate) fn events(
        answer: Arc<Answer>,
        timer: Timer,
        from: Sequence,
        shape: StreamShape,
    ) -> Self {
        let form = Form::Events(ChunkWriter::new(answer.id(), shape));
        Self::new(answer, timer, from, form)
    }

    pub(crate) fn bytes(answer: Arc<Answer>, timer: Timer) -> Self {
        Self::new(answer, timer, Sequence(0), Form::Bytes)
    }

    fn new(answer: Arc<Answer>, timer: Timer, next: Sequence, form: Form) -> Self {
        answer.add_reader();
        Self { answer, timer, next, chunk: 0, form, done: false, broken: None }
    }

    /// The bytes that came since the last call; several tokens that came together leave together.
    pub(crate) fn poll_bytes(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, AnswerBroken>>> {
        if self.done {
            return Poll::Ready(self.broken.take().map(Err));
        }
        let answer = Arc::clone(&self.answer);
        let bytes = std::task::ready!(answer.poll_read(cx, |state| self.take(state)));
        if bytes.is_empty() {
            return Poll::Ready(self.broken.take().map(Err));
        }
        Poll::Ready(Some(Ok(bytes)))
    }

    /// `None` to wait; empty at the end.
    fn take(&mut self, state: &AnswerState) -> Option<Bytes> {
        let bytes = match &mut self.form {
            Form::Events(writer) => {
                for (seq, text) in state.tokens_from(self.next) {
                    writer.token(seq, text);
                    self.next = seq.next();
                }
                if let Some(end) = state.end() {
                    self.done = true;
                    writer.end(end, state.token_count());
                }
                writer.take()
            }
            Form::Bytes => {
                let new = state.chunks_from(self.chunk);
                self.chunk += new.len();
                self.done = state.end().is_some();
                // A service's bytes carry no end marker, so the connection itself must show the break.
                self.broken = state.end().filter(|it| !is_whole(it)).map(|_| AnswerBroken);
                new.concat().into()
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

/// Whether an answer ended whole.
pub(crate) fn is_whole(end: &End) -> bool {
    matches!(end, End::Whole)
}
