//! Bodies as they arrive: read into counted memory, or discarded.

use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quincevalve_timer::Timer;

use crate::{BodyRoom, HeldBody, NoRoom};

/// Limits of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Maximum size in bytes.
    pub bytes: usize,
    /// Maximum time without a byte.
    pub progress: Duration,
    /// Maximum time until the end.
    pub time: Duration,
}

/// Limits of the rest of a body that nobody reads.
pub const DISCARD_LIMITS: BodyLimits =
    BodyLimits { bytes: 64 << 20, progress: Duration::from_secs(5), time: Duration::from_secs(30) };

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It exceeds the size limit.
    TooLarge,
    /// The memory for bodies is in use.
    OutOfMemory,
    /// It stopped arriving, or takes too long.
    TooSlow,
    /// The connection failed before its end.
    BrokenOff,
}

/// Reads a body within limits. Its memory is counted in `room` until the last clone is dropped.
pub async fn read_body(
    body: &mut Incoming,
    room: &BodyRoom,
    limits: &BodyLimits,
    timer: &Timer,
) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > limits.bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let reading = async {
        let mut held = HeldBody::default();
        loop {
            let frame = timer.timeout(limits.progress, body.frame()).await;
            match frame.ok_or(BodyError::TooSlow)? {
                None => return Ok(held.into()),
                Some(Err(_)) => return Err(BodyError::BrokenOff),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if held.len() + data.len() > limits.bytes {
                        return Err(BodyError::TooLarge);
                    }
                    held.append(room, &data).map_err(|NoRoom| BodyError::OutOfMemory)?;
                }
            }
        }
    };
    timer.timeout(limits.time, reading).await.unwrap_or(Err(BodyError::TooSlow))
}

/// Reads and drops the rest of a body within limits: if the connection were closed with unread bytes, it would be reset, and
/// the client might not see its answer.
pub async fn discard_body(mut body: Incoming, limits: &BodyLimits, timer: &Timer) {
    let discarding = async {
        let mut discarded = 0;
        while discarded < limits.bytes && !body.is_end_stream() {
            let frame = timer.timeout(limits.progress, body.frame()).await;
            let Some(Some(Ok(frame))) = frame else { return };
            discarded += frame.data_ref().map_or(0, Bytes::len);
        }
    };
    timer.timeout(limits.time, discarding).await;
}
