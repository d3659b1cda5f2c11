//! Bodies of responses to callers.

use std::{
    cell::Cell,
    fmt,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use quincevalve_forwarding::memory_budget::{Holding, MemoryBudget};
use snafu::Snafu;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    time::{Instant, timeout_at},
};

use crate::{
    node::Node,
    request::{
        answer_buffer::reserve,
        connection_pool::RECEIVE_BUFFER_BYTES,
        held_body::{HeldBody, HeldPiece},
        held_memory::Reservation,
    },
};

/// Maximum number of chunks buffered for a slow caller before reading from the server pauses.
const MAX_BUFFERED_CHUNKS: usize = 64;
/// Maximum size of these chunks in bytes, unless it is a single one.
const MAX_BUFFERED_BYTES: usize = 32 << 10;
/// Memory that a stream takes while its caller doesn't read, beside what is buffered: what the kernel receives from the
/// server.
const BLOCKED_BYTES: usize = 2 * RECEIVE_BUFFER_BYTES as usize;
/// Size, in bytes, from which a chunk is counted until it is written to the caller. Smaller ones are counted until the HTTP
/// library takes them.
const MIN_OWNED_CHUNK: usize = 4 << 10;

/// The error of a response body that ends before it is complete. It closes the connection to the caller, so that the
/// truncated response doesn't look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer was aborted before it was complete"))]
pub(crate) struct AnswerAborted;

/// A response body, either complete from the start or streamed as it arrives.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    Whole(HeldBody),
    Stream(StreamBody),
}

/// A body whose chunks are sent by an [`AnswerSender`].
#[derive(Debug)]
pub(crate) struct StreamBody {
    rx: mpsc::Receiver<Chunk>,
    is_complete: Rc<Cell<bool>>,
    was_aborted: bool,
}

/// Sends the chunks of a streamed body.
///
/// Unless it is completed, the body ends with an error once the sender is dropped, also when its task panics: a truncated
/// response must not look complete.
pub(crate) struct AnswerSender {
    tx: mpsc::Sender<Chunk>,
    is_complete: Rc<Cell<bool>>,
    node: Rc<Node>,
    /// Bytes that may still be buffered.
    room: Arc<Semaphore>,
    deadline: Instant,
}

/// A part of a streamed body on its way to the caller.
#[derive(Debug)]
struct Chunk {
    data: Bytes,
    memory: Reservation,
    _room: OwnedSemaphorePermit,
}

impl From<Chunk> for Bytes {
    fn from(chunk: Chunk) -> Self {
        if chunk.data.len() < MIN_OWNED_CHUNK {
            return chunk.data;
        }
        HeldPiece { data: chunk.data, reservation: chunk.memory }.into()
    }
}

impl fmt::Debug for AnswerSender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AnswerSender").field("tx", &self.tx).finish_non_exhaustive()
    }
}

/// The caller has closed its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerLeft;

impl AnswerSender {
    /// Sends a chunk once there is room for it. A caller for which there is none until the deadline counts as gone.
    pub(crate) async fn send(&self, data: Bytes) -> Result<(), CallerLeft> {
        let sending = async {
            let permits = data.len().min(MAX_BUFFERED_BYTES) as u32;
            let _blocked = self.is_blocked(permits).then(|| self.reserve_blocked(data.len()));
            let room = self.room.clone().acquire_many_owned(permits).await.ok()?;
            let bytes = data.len() as u64;
            let memory = reserve(&self.node, Holding::SmallAnswer, bytes, self.deadline).await?;
            self.tx.send(Chunk { data, memory, _room: room }).await.ok()
        };
        tokio::select! {
            biased;
            sent = timeout_at(self.deadline, sending) => sent.ok().flatten().ok_or(CallerLeft),
            () = self.tx.closed() => Err(CallerLeft),
        }
    }

    /// Counts the memory of a stream whose caller doesn't read. Other callers yield if it is more than there is.
    fn reserve_blocked(&self, chunk: usize) -> Reservation {
        let memory = &self.node.memory;
        let reservation = memory.reserve(Holding::SmallAnswer, (BLOCKED_BYTES + chunk) as u64);
        if memory.measure(MemoryBudget::is_exceeded) {
            self.node.callers.evict_stalled();
        }
        reservation
    }

    /// Returns whether a chunk has to wait for the caller to read.
    fn is_blocked(&self, permits: u32) -> bool {
        self.room.available_permits() < permits as usize || self.tx.capacity() == 0
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

/// Creates a streamed body and its sender, for a request with a deadline.
pub(crate) fn stream_body(node: &Rc<Node>, deadline: Instant) -> (AnswerSender, AnswerBody) {
    let (tx, rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let is_complete = Rc::new(Cell::new(false));
    let body = StreamBody { rx, is_complete: is_complete.clone(), was_aborted: false };
    let room = Arc::new(Semaphore::new(MAX_BUFFERED_BYTES));
    let sender = AnswerSender { tx, is_complete, node: node.clone(), room, deadline };
    (sender, AnswerBody::Stream(body))
}

impl AnswerBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(HeldBody::from(bytes.into()))
    }

    /// Returns the most bytes that are buffered while the caller doesn't read.
    pub(crate) fn buffered_bytes(&self) -> u64 {
        match self {
            Self::Whole(body) => body.len() as u64,
            Self::Stream(_) => MAX_BUFFERED_BYTES as u64,
        }
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
            Self::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Stream(body) => match body.rx.poll_recv(cx) {
                Poll::Ready(None) if !body.is_complete.get() && !body.was_aborted => {
                    body.was_aborted = true;
                    Poll::Ready(Some(Err(AnswerAborted)))
                }
                received => received.map(|it| it.map(|it| Ok(Frame::data(it.into())))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(body) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

#[cfg(test)]
mod tests;
