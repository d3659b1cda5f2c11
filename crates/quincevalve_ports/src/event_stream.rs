//! Incremental parser for server-sent events, which engines use for streaming.

use bytes::{Buf, Bytes, BytesMut};
use snafu::Snafu;

/// Maximum size of an event from a backend server, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// A server-sent event. Its fields share the buffer's memory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The `id` field.
    pub id: Bytes,
    /// The `event` field.
    pub kind: Bytes,
    /// The `data` field.
    pub data: Bytes,
}

/// The error for an event that exceeds [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("an event is larger than {MAX_EVENT_BYTES} bytes"))]
pub struct OversizedEvent;

/// Buffers received bytes and returns complete events.
///
/// # Examples
///
/// ```
/// let mut buffer = quincevalve_ports::EventBuffer::default();
/// buffer.extend(b"id: 7\ndata: he");
/// assert_eq!(buffer.next_event(), Ok(None));
/// buffer.extend(b"llo\n\n");
/// let event = buffer.next_event().unwrap().unwrap();
/// assert_eq!(&event.id[..], b"7");
/// assert_eq!(&event.data[..], b"hello");
/// ```
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
    searched: usize,
}

impl EventBuffer {
    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Result<Option<Event>, OversizedEvent> {
        let Some(length) = self.find_event_end() else {
            if self.bytes.len() > MAX_EVENT_BYTES {
                return Err(OversizedEvent);
            }
            return Ok(None);
        };
        let block = self.bytes.split_to(length).freeze();
        self.bytes.advance(2);
        self.searched = 0;
        Ok(Some(parse(&block)))
    }

    fn find_event_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(1);
        let found = self.bytes.get(from..)?.windows(2).position(|it| it == b"\n\n");
        self.searched = self.bytes.len();
        found.map(|at| from + at)
    }
}

fn parse(block: &Bytes) -> Event {
    let mut event = Event::default();
    for line in block.split(|it| *it == b'\n') {
        if let Some(value) = field(line, b"id:") {
            event.id = block.slice_ref(value);
        } else if let Some(value) = field(line, b"event:") {
            event.kind = block.slice_ref(value);
        } else if let Some(value) = field(line, b"data:") {
            event.data = block.slice_ref(value);
        }
    }
    event
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
