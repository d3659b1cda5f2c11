//! Servers that send bytes without end, fast or a few a second, until the connection is closed.

mod support;

use std::time::{Duration, Instant};

use support::{
    Arrival, Reply, World,
    endless::{DEADLINE_MS, Place, assert_truthful, request_to},
    exchange, run, sealed,
};
use tokio::time::{sleep, timeout};

/// Time after its deadline within which a caller must have its answer.
const SLACK: Duration = Duration::from_secs(3);
/// Time within which a server must observe that its connection is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

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
