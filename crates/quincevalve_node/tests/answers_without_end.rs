//! Servers that send bytes without end, fast or a few a second, until the connection is closed.

mod support;

use std::{
    fs,
    time::{Duration, Instant},
};

use futures::future::join_all;
use support::{Arrival, Reply, World, chunk, exchange, request, run, sealed, stream_head};
use tokio::time::{sleep, timeout};

/// Time after its deadline within which a caller must have its answer.
const SLACK: Duration = Duration::from_secs(3);
/// Time for which callers wait.
const DEADLINE_MS: u64 = 1_500;
/// Time within which a server must observe that its connection is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Where the bytes come from which there is no end.
#[derive(Clone, Copy)]
enum Place {
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

    fn route(self) -> &'static str {
        if matches!(self, Self::InAnEvent) { "/stream/7" } else { "/once/7" }
    }

    fn reply(self, arrival: &Arrival, is_fast: bool) -> Reply {
        let (first, unit) = self.bytes(arrival);
        if is_fast {
            return Reply::SendWithoutEnd(first, unit, Duration::ZERO);
        }
        let unit =
            if matches!(self, Self::InChunks | Self::InAnEvent) { chunk("xx") } else { "x".into() };
        Reply::SendWithoutEnd(first, unit, Duration::from_millis(200))
    }
}

fn request_to(path: &str, id: &str) -> String {
    let deadline = format!("x-deadline-ms: {DEADLINE_MS}");
    request(path, id, "").replace("x-deadline-ms: 15000", &deadline)
}

/// Asserts that an answer doesn't look complete, and doesn't state that the request has not run.
fn assert_truthful(answer: &str) {
    if answer.starts_with("HTTP/1.1 200") {
        assert!(answer.contains("chunked") && !answer.ends_with("0\r\n\r\n"), "{answer}");
    } else if !answer.is_empty() {
        let status = answer.split(' ').nth(1);
        assert!(matches!(status, Some("502" | "504")), "{answer}");
    }
}

/// Sends a request to a server that sends bytes without end, and then one to the sound server beside it.
fn assert_bounded(place: Place, is_fast: bool) {
    run(async move {
        let script = move |_, it: &Arrival| match it.server {
            0 if !it.head.contains("/safe/") => place.reply(it, is_fast),
            _ => Reply::Send(sealed(it, "200 OK", "done")),
        };
        let mut world = World::start(1, script).await;
        let began = Instant::now();
        let answer = exchange(world.front, &request_to(place.route(), "id-1")).await;
        assert!(began.elapsed() < Duration::from_millis(DEADLINE_MS) + SLACK);
        assert_truthful(&answer);
        let closed = timeout(CLOSE_TIMEOUT, world.disconnects.recv()).await;
        assert!(closed.is_ok(), "the server's connection is closed");
        let mut answer = world.send("/safe/7", "id-2", "").await;
        while !answer.starts_with("HTTP/1.1 200") && began.elapsed() < Duration::from_secs(15) {
            sleep(Duration::from_millis(100)).await;
            answer = world.send("/safe/7", "id-2", "").await;
        }
        assert!(answer.starts_with("HTTP/1.1 200"), "the server is used again: {answer}");
    });
}

macro_rules! without_end {
    ($($name:ident => $place:ident, $is_fast:literal;)+) => {
        $(#[test] fn $name() { assert_bounded(Place::$place, $is_fast); })+
    };
}

// Guards against a request that never gets its answer, or a wrong one, and against a connection that stays open, when a
// server sends bytes without end.
without_end! {
    fast_before_the_head => BeforeTheHead, true;
    fast_in_the_head => InTheHead, true;
    fast_in_a_body_with_a_length => InABodyWithALength, true;
    fast_in_chunks => InChunks, true;
    fast_in_a_body_without_a_length => InABodyWithoutALength, true;
    fast_in_an_event => InAnEvent, true;
    slow_before_the_head => BeforeTheHead, false;
    slow_in_the_head => InTheHead, false;
    slow_in_a_body_with_a_length => InABodyWithALength, false;
    slow_in_chunks => InChunks, false;
    slow_in_a_body_without_a_length => InABodyWithoutALength, false;
    slow_in_an_event => InAnEvent, false;
}

/// Number of answers without end at once.
const MANY: usize = 300;
/// Memory that they may take: half of the VM's. The process under test has not more than the test itself.
const MAX_GROWTH_KB: u64 = 128 << 10;

/// Returns the resident memory of this process, in KB.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    line.and_then(|it| it.trim().trim_end_matches(" kB").parse().ok()).unwrap_or_default()
}

/// Asserts that the memory of the process stays bounded while a third of the servers answer without end.
fn assert_memory_bounded(place: Place) {
    run(async move {
        let script = move |_, it: &Arrival| match it.server {
            0 => place.reply(it, true),
            _ => Reply::Send(sealed(it, "200 OK", "done")),
        };
        let world = World::start(3, script).await;
        let before = resident_kb();
        let send = async |number: usize| {
            exchange(world.front, &request_to(place.route(), &format!("id-{number}"))).await
        };
        let requests = join_all((0..MANY).map(send));
        let mut requests = std::pin::pin!(requests);
        let mut peak = before;
        let answers = loop {
            tokio::select! {
                answers = requests.as_mut() => break answers,
                () = sleep(Duration::from_millis(5)) => peak = peak.max(resident_kb()),
            }
        };
        answers.iter().filter(|it| !it.ends_with("done")).for_each(|it| assert_truthful(it));
        let growth = peak - before;
        assert!(growth < MAX_GROWTH_KB, "{growth} KB more for {MANY} requests");
        eprintln!("{growth} KB more for {MANY} requests");
    });
}

macro_rules! bounded_memory {
    ($($name:ident => $place:ident;)+) => {
        $(#[test] fn $name() { assert_memory_bounded(Place::$place); })+
    };
}

// Guards against a VM that is killed for its memory, with all requests that it serves, when servers send bytes without
// end on hundreds of connections at once.
bounded_memory! {
    many_before_the_head => BeforeTheHead;
    many_in_the_head => InTheHead;
    many_in_bodies_with_a_length => InABodyWithALength;
    many_in_chunks => InChunks;
    many_in_events => InAnEvent;
}
