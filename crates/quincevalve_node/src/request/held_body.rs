//! Bodies whose memory is counted.

use std::{
    collections::VecDeque,
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use quincevalve_forwarding::memory_budget::Holding;

use crate::request::held_memory::Reservation;

/// Maximum size of a piece in which a body is held. Pieces of one size are reused by the allocator without gaps.
const PIECE_BYTES: usize = 64 << 10;

/// A whole body. Its memory is counted until the last clone of each piece is dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldBody {
    pieces: VecDeque<Bytes>,
    len: usize,
}

impl HeldBody {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn pieces(&self) -> impl Iterator<Item = &[u8]> + Clone {
        self.pieces.iter().map(Bytes::as_ref)
    }
}

impl From<Bytes> for HeldBody {
    /// Returns a body that isn't counted, for the process's own answers.
    fn from(bytes: Bytes) -> Self {
        let len = bytes.len();
        Self { pieces: VecDeque::from([bytes]), len }
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        let piece = this.pieces.pop_front();
        this.len = this.len.saturating_sub(piece.as_ref().map_or(0, Bytes::len));
        Poll::Ready(piece.map(|it| Ok(Frame::data(it))))
    }

    fn is_end_stream(&self) -> bool {
        self.len == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len as u64)
    }
}

/// Bytes with the reservation of their memory.
pub(crate) struct HeldPiece<B> {
    pub(crate) data: B,
    #[expect(dead_code, reason = "held until dropped")]
    pub(crate) reservation: Reservation,
}

impl<B> AsRef<[u8]> for HeldPiece<B>
where
    B: AsRef<[u8]>,
{
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}

impl<B> From<HeldPiece<B>> for Bytes
where
    B: AsRef<[u8]> + Send + 'static,
{
    fn from(piece: HeldPiece<B>) -> Self {
        Self::from_owner(piece)
    }
}

/// How the memory of a body is reserved.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BufferKind {
    pub(crate) small: Holding,
    /// Holds what goes beyond `small_bytes`.
    pub(crate) large: Holding,
    pub(crate) small_bytes: usize,
}

/// There is no room for a body's next bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoRoom;

/// A body that arrives. It holds little more memory than it has received, however it is divided into frames.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    kind: BufferKind,
    /// Maximum length of the body.
    max_len: usize,
    body: HeldBody,
    /// The piece that is being filled, and the reservations of its capacity.
    piece: Vec<u8>,
    reservation: Option<Reservation>,
    /// Room for the rest of a large body.
    rest: Option<Reservation>,
}

impl BodyBuffer {
    pub(crate) fn new(kind: BufferKind, max_len: usize) -> Self {
        let body = HeldBody::default();
        Self { kind, max_len, body, piece: Vec::new(), reservation: None, rest: None }
    }

    /// Returns the number of bytes that have arrived.
    pub(crate) fn len(&self) -> usize {
        self.body.len + self.piece.len()
    }

    /// Adds bytes. `reserve` reserves memory for them, and may wait for it.
    pub(crate) async fn append(
        &mut self,
        mut data: &[u8],
        reserve: impl AsyncFn(Holding, u64) -> Option<Reservation>,
    ) -> Result<(), NoRoom> {
        while !data.is_empty() {
            if self.piece.len() == self.piece.capacity() {
                self.grow(data.len(), &reserve).await?;
            }
            let room = self.piece.capacity() - self.piece.len();
            let (now, later) = data.split_at_checked(room).unwrap_or((data, &[]));
            self.piece.extend_from_slice(now);
            data = later;
        }
        Ok(())
    }

    /// Makes room for at least one byte, and for `wanted` if a piece has so much.
    async fn grow(
        &mut self,
        wanted: usize,
        reserve: &impl AsyncFn(Holding, u64) -> Option<Reservation>,
    ) -> Result<(), NoRoom> {
        if self.piece.len() == PIECE_BYTES {
            self.complete_piece();
        }
        let held = self.piece.capacity();
        let capacity = if self.len() < self.kind.small_bytes {
            (held + wanted).max(2 * held).min(PIECE_BYTES)
        } else {
            PIECE_BYTES
        };
        let more = (capacity - held) as u64;
        let reservation = if self.len() < self.kind.small_bytes {
            reserve(self.kind.small, more).await
        } else {
            if self.rest.is_none() {
                let pieces = (self.max_len - self.len().min(self.max_len)).div_ceil(PIECE_BYTES);
                let rest = (pieces.max(1) * PIECE_BYTES) as u64;
                self.rest = reserve(self.kind.large, rest).await;
            }
            self.rest.as_mut().map(|it| it.split(more))
        };
        let reservation = reservation.ok_or(NoRoom)?;
        match &mut self.reservation {
            Some(held) => held.merge(reservation),
            none => *none = Some(reservation),
        }
        self.piece.reserve_exact(capacity - self.piece.len());
        Ok(())
    }

    fn complete_piece(&mut self) {
        let data = std::mem::take(&mut self.piece);
        if let Some(reservation) = self.reservation.take() {
            self.body.len += data.len();
            self.body.pieces.push_back(HeldPiece { data, reservation }.into());
        }
    }

    /// Returns the body that has arrived, and gives back what was reserved for more.
    pub(crate) fn finish(mut self) -> HeldBody {
        self.complete_piece();
        self.body
    }
}

#[cfg(test)]
mod tests;
