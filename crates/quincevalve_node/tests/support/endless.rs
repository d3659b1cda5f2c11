//! Servers that send bytes without end, fast or a few a second, until the connection is closed.

use std::time::Duration;

use super::{Arrival, Reply, chunk, request, stream_head};

/// Time for which callers wait.
pub const DEADLINE_MS: u64 = 1_500;

/// Where the bytes come from which there is no end.
#[derive(Clone, Copy)]
pub enum Place {
    BeforeTheHead,
    InTheHead,
    InABodyWithALength,
    InChunks,
    InABodyWithoutALength,
    InAnEvent,
}

impl Place {
    /// Returns the bytes that come once, and those that come again and again.
    fn bytes(self, arrival: &Arrival) -> (String, String) {
        let id = arrival.header("x-attempt").unwrap_or_default();
        let head = format!("HTTP/1.1 200 OK\r\nx-attempt: {id}\r\nx-seal: s-1\r\n");
        let bytes = "x".repeat(8 << 10);
        match self {
            Self::BeforeTheHead => (String::new(), bytes),
            Self::InTheHead => (head, "x-more: 1234567890\r\n".repeat(400)),
            Self::InABodyWithALength => (head + "content-length: 9000000000\r\n\r\n", bytes),
            Self::InChunks => (head + "transfer-encoding: chunked\r\n\r\n", chunk(&bytes)),
            Self::InABodyWithoutALength => (head + "\r\n", bytes),
            Self::InAnEvent => (stream_head(arrival) + &chunk("data: "), chunk(&bytes)),
        }
    }

    pub fn route(self) -> &'static str {
        if matches!(self, Self::InAnEvent) { "/stream/7" } else { "/once/7" }
    }

    pub fn reply(self, arrival: &Arrival, is_fast: bool) -> Reply {
        let (first, unit) = self.bytes(arrival);
        if is_fast {
            return Reply::SendWithoutEnd(first, unit, Duration::ZERO);
        }
        let unit =
            if matches!(self, Self::InChunks | Self::InAnEvent) { chunk("xx") } else { "x".into() };
        Reply::SendWithoutEnd(first, unit, Duration::from_millis(200))
    }
}

/// Returns a request whose caller waits for [`DEADLINE_MS`].
pub fn request_to(path: &str, id: &str) -> String {
    let deadline = format!("x-deadline-ms: {DEADLINE_MS}");
    request(path, id, "").replace("x-deadline-ms: 15000", &deadline)
}

/// Asserts that an answer doesn't look complete, and doesn't state that the request has not run.
pub fn assert_truthful(answer: &str) {
    if answer.starts_with("HTTP/1.1 200") {
        assert!(answer.contains("chunked") && !answer.ends_with("0\r\n\r\n"), "{answer}");
    } else if !answer.is_empty() {
        let status = answer.split(' ').nth(1);
        assert!(matches!(status, Some("502" | "504")), "{answer}");
    }
}
