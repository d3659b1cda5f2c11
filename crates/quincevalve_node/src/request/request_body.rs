//! Bodies of requests: read into counted memory, or discarded.

use std::cell::Cell;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quincevalve_forwarding::{caller_activity::STALL_TIME, memory_budget::Holding};
use tokio::time::{Duration, Instant, timeout, timeout_at};

use crate::{
    node::{Node, remaining},
    request::{
        caller_connections::CallerConnection,
        held_body::{BodyBuffer, BufferKind, HeldBody, NoRoom},
        held_memory::Reservation,
        refusal::{OTHER_VM_RETRY_AFTER, Refusal, Refused},
    },
};

/// How bodies of requests are held.
const BODIES: BufferKind =
    BufferKind { small: Holding::SmallBody, large: Holding::LargeBody, small_bytes: 128 << 10 };
/// Part of a request's remaining time that its body may wait for memory, so that its caller can still retry elsewhere.
const WAIT_FRACTION: u32 = 3;
/// Maximum number of bytes that are discarded after an answer.
const MAX_DISCARDED: usize = 64 << 20;
/// Maximum time for which the rest of a body is discarded after an answer.
const DISCARD_TIME: Duration = Duration::from_secs(30);
/// Time without a byte after which the rest of a body is no longer awaited.
const DISCARD_PAUSE: Duration = Duration::from_secs(5);

/// The body of a request that arrives.
pub(crate) struct RequestBody {
    incoming: Incoming,
    is_complete: bool,
}

impl RequestBody {
    pub(crate) fn new(incoming: Incoming) -> Self {
        let is_complete = incoming.is_end_stream();
        Self { incoming, is_complete }
    }

    /// Returns whether the whole body has arrived.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete
    }

    async fn next_data(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        while let Some(frame) = self.incoming.frame().await {
            match frame.map(http_body::Frame::into_data) {
                Ok(Ok(data)) => {
                    // After an answer the HTTP library doesn't report the end.
                    self.is_complete = self.incoming.is_end_stream();
                    return Some(Ok(data));
                }
                // Trailers are not forwarded.
                Ok(Err(_)) => {}
                Err(error) => return Some(Err(error)),
            }
        }
        self.is_complete = true;
        None
    }

    /// Returns whether the body is announced to be longer than `limit` bytes.
    pub(crate) fn is_announced_beyond(&self, limit: usize) -> bool {
        self.incoming.size_hint().lower() > limit as u64
    }

    /// Reads a body of at most `limit` bytes. `connection` is the caller's, or `None` for a peer's request.
    pub(crate) async fn read(
        &mut self,
        node: &Node,
        connection: Option<&CallerConnection>,
        limit: usize,
        deadline: Instant,
    ) -> Result<HeldBody, Refused> {
        if self.is_announced_beyond(limit) {
            return Err(Refusal::TooLarge.into());
        }
        let announced = self.incoming.size_hint().exact().and_then(|it| usize::try_from(it).ok());
        let mut buffer = BodyBuffer::new(BODIES, announced.unwrap_or(limit));
        let is_small = Cell::new(true);
        let reading = async {
            while let Some(data) = self.next_data().await {
                let data = data.map_err(|error| {
                    if node.may_log_refusal() {
                        log::info!(error:% = error; "body-broke-off");
                    }
                    Refused::from(Refusal::Malformed)
                })?;
                if buffer.len().saturating_add(data.len()) > limit {
                    return Err(Refusal::TooLarge.into());
                }
                let reserve = async |holding, bytes| {
                    is_small.set(holding == Holding::SmallBody);
                    reserve(node, connection, holding, bytes, deadline).await
                };
                let appended = buffer.append(&data, reserve).await;
                appended.map_err(|NoRoom| out_of_memory(is_small.get()))?;
                if let Some(connection) = connection {
                    connection.record_body(data.len() as u64, buffer.len() as u64);
                }
            }
            Ok(())
        };
        let given_up = async {
            match connection {
                Some(connection) => connection.must_give_up_body().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = given_up => Err(out_of_memory(false)),
            read = timeout_at(deadline, reading) => match read {
                Ok(read) => read.map(|()| buffer.finish()),
                Err(_) => Err(Refusal::LateNotRun.into()),
            },
        }
    }

    /// Reads and drops up to `limit` bytes of the body, as long as they keep coming and until the deadline.
    pub(crate) async fn discard(&mut self, limit: usize, deadline: Instant) {
        let mut discarded = 0;
        while discarded < limit && !self.is_complete {
            let next = timeout_at(deadline, timeout(DISCARD_PAUSE, self.next_data())).await;
            let Ok(Ok(Some(Ok(data)))) = next else { return };
            discarded += data.len();
        }
    }

    /// Reads and drops the rest of the body after an answer: if the connection were closed with unread bytes, it would be
    /// reset, and the caller might not see the answer.
    pub(crate) async fn discard_rest(mut self) {
        self.discard(MAX_DISCARDED, Instant::now() + DISCARD_TIME).await;
    }
}

/// Returns the refusal of a request whose body finds no room. Other VMs have room for small bodies; large ones that stall
/// here yield within [`STALL_TIME`].
fn out_of_memory(is_small: bool) -> Refused {
    let retry_after = if is_small { OTHER_VM_RETRY_AFTER } else { STALL_TIME };
    Refused { refusal: Refusal::OutOfMemory, retry_after: Some(retry_after) }
}

/// Reserves memory for a body, and waits for it if others may yield.
async fn reserve(
    node: &Node,
    connection: Option<&CallerConnection>,
    holding: Holding,
    bytes: u64,
    deadline: Instant,
) -> Option<Reservation> {
    if let Some(reservation) = node.memory.try_reserve(holding, bytes) {
        return Some(reservation);
    }
    if let Some(connection) = connection {
        connection.pause_body();
    }
    let until = Instant::now() + remaining(deadline) / WAIT_FRACTION;
    let ask_to_yield = || match holding {
        Holding::LargeBody => node.callers.evict_stalled(),
        _ => node.callers.evict_stalled_or_waiting(),
    };
    let reservation = node.memory.reserve_until(holding, bytes, until, ask_to_yield).await;
    if let Some(connection) = connection {
        connection.resume_body();
    }
    reservation
}
