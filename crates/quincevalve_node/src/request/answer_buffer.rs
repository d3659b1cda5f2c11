//! Buffers for answers that are kept until they, or their current event, are complete.
//!
//! A faulty server may send bytes without end. Each answer is bounded, but hundreds of them together would exceed the VM's
//! memory, so that only a few may grow beyond the usual size at the same time. The others pause reading meanwhile.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::Snafu;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum size, in bytes, of an answer or event that is buffered until it is complete.
pub(crate) const MAX_BUFFERED_ANSWER: usize = 4 << 20;
/// Size, in bytes, up to which any number of answers may be buffered.
const SMALL_ANSWER: usize = 32 << 10;
/// Memory of the VM, in bytes, for each answer that may grow beyond [`SMALL_ANSWER`]: such an answer is held twice when its
/// parts are joined, so that all of them take a quarter of the memory at most.
const MEMORY_PER_LARGE_ANSWER: u64 = 8 * MAX_BUFFERED_ANSWER as u64;

/// Allows a few answers to grow beyond the usual size at the same time.
#[derive(Debug)]
pub(crate) struct LargeAnswers(Arc<Semaphore>);

/// Permission of one answer to grow.
#[derive(Debug)]
pub(crate) struct LargeAnswer(
    #[expect(dead_code, reason = "held until dropped")] OwnedSemaphorePermit,
);

impl LargeAnswers {
    /// Divides a VM's memory, in bytes.
    pub(crate) fn new(memory: u64) -> Self {
        let count = usize::try_from(memory / MEMORY_PER_LARGE_ANSWER).unwrap_or(1);
        Self(Arc::new(Semaphore::new(count.max(1).min(Semaphore::MAX_PERMITS))))
    }

    /// Waits for permission if `len` buffered bytes need one and `held` is none yet.
    pub(crate) async fn admit(&self, len: usize, held: &mut Option<LargeAnswer>) {
        if len <= SMALL_ANSWER || held.is_some() {
            return;
        }
        // The semaphore is never closed.
        *held = self.0.clone().acquire_owned().await.ok().map(LargeAnswer);
    }
}

/// Why an answer could not be buffered.
#[derive(Debug, Snafu)]
pub(crate) enum BufferError {
    /// The connection ended before the answer was complete.
    #[snafu(display("{source}"), context(false))]
    Incomplete { source: hyper::Error },
    /// The answer is too large.
    #[snafu(display("larger than {MAX_BUFFERED_ANSWER} bytes"))]
    TooLarge,
}

/// Reads a whole answer.
pub(crate) async fn read_whole(
    large_answers: &LargeAnswers,
    mut incoming: Incoming,
) -> Result<Bytes, BufferError> {
    if incoming.size_hint().lower() > MAX_BUFFERED_ANSWER as u64 {
        return TooLargeSnafu.fail();
    }
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    let mut permission = None;
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        let len = first.len().saturating_add(rest.len()).saturating_add(data.len());
        if len > MAX_BUFFERED_ANSWER {
            return TooLargeSnafu.fail();
        }
        large_answers.admit(len, &mut permission).await;
        if first.is_empty() {
            first = data;
        } else {
            rest.extend_from_slice(&data);
        }
    }
    if rest.is_empty() {
        return Ok(first);
    }
    let mut whole = BytesMut::with_capacity(first.len() + rest.len());
    whole.extend_from_slice(&first);
    whole.extend_from_slice(&rest);
    Ok(whole.freeze())
}
