//! Buffers for answers that are kept until they, or their current event, are complete.
//!
//! A faulty server may send bytes without end. Each answer is bounded, but hundreds of them together would exceed the VM's
//! memory, so that only as many may grow beyond the usual size as there is room for. The others pause reading meanwhile.

use std::cell::Cell;

use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quincevalve_forwarding::memory_budget::Holding;
use snafu::Snafu;
use tokio::time::{Duration, Instant};

use crate::{
    node::Node,
    request::{
        held_body::{BodyBuffer, BufferKind, HeldBody, NoRoom},
        held_memory::Reservation,
    },
};

/// Maximum size, in bytes, of an answer or event that is buffered until it is complete.
pub(crate) const MAX_BUFFERED_ANSWER: usize = 4 << 20;
/// Size, in bytes, up to which answers and events are held beside large ones.
pub(crate) const SMALL_ANSWER: usize = 32 << 10;
/// How answers are held.
const ANSWERS: BufferKind = BufferKind {
    small: Holding::SmallAnswer,
    large: Holding::LargeAnswer,
    small_bytes: SMALL_ANSWER,
};

/// Why an answer could not be buffered.
#[derive(Debug, Snafu)]
pub(crate) enum BufferError {
    /// The connection ended before the answer was complete.
    #[snafu(display("{source}"), context(false))]
    Incomplete { source: hyper::Error },
    /// The answer is too large.
    #[snafu(display("larger than {MAX_BUFFERED_ANSWER} bytes"))]
    TooLarge,
    /// The memory for it is held for others until the deadline.
    #[snafu(display("no memory for it until its deadline"))]
    OutOfMemory,
}

/// A whole answer.
pub(crate) struct WholeAnswer {
    pub(crate) body: HeldBody,
    /// Time for which the server could not send on, since there was no memory for its answer.
    pub(crate) paused: Duration,
}

/// Reads a whole answer.
pub(crate) async fn read_whole(
    node: &Node,
    mut incoming: Incoming,
    deadline: Instant,
) -> Result<WholeAnswer, BufferError> {
    let paused = Cell::new(Duration::ZERO);
    let announced = incoming.size_hint();
    if announced.lower() > MAX_BUFFERED_ANSWER as u64 {
        return TooLargeSnafu.fail();
    }
    let announced = announced.exact().and_then(|it| usize::try_from(it).ok());
    let mut buffer = BodyBuffer::new(ANSWERS, announced.unwrap_or(MAX_BUFFERED_ANSWER));
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if buffer.len().saturating_add(data.len()) > MAX_BUFFERED_ANSWER {
            return TooLargeSnafu.fail();
        }
        let reserve = async |holding, bytes| {
            if let Some(reservation) = node.memory.try_reserve(holding, bytes) {
                return Some(reservation);
            }
            let since = Instant::now();
            let reservation = reserve(node, holding, bytes, deadline).await;
            paused.set(paused.get() + since.elapsed());
            reservation
        };
        let appended = buffer.append(&data, reserve).await;
        appended.map_err(|NoRoom| BufferError::OutOfMemory)?;
    }
    Ok(WholeAnswer { body: buffer.finish(), paused: paused.get() })
}

/// Reserves memory for an answer. Callers that don't read theirs yield.
pub(crate) async fn reserve(
    node: &Node,
    holding: Holding,
    bytes: u64,
    deadline: Instant,
) -> Option<Reservation> {
    node.memory.reserve_until(holding, bytes, deadline, || node.callers.evict_stalled()).await
}
