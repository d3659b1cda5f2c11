//! Statuses that state that a request has not run are never the answer to a request that may have run or may run later.

mod support;

use std::time::Duration;

use support::{Arrival, Reply, World, entry, exchange, request, run, sealed};
use tokio::{task::spawn_local, time::sleep};

/// Asserts that an answer does not state that the request has not run.
fn assert_may_have_run(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 "), "{answer}");
    for status in ["408", "421", "429", "503"] {
        assert!(!answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    }
}

/// Returns a request whose caller waits for this many milliseconds.
fn request_with_deadline(path: &str, id: &str, millis: u64) -> String {
    let deadline = format!("x-deadline-ms: {millis}");
    request(path, id, "").replace("x-deadline-ms: 15000", &deadline)
}

/// Asserts that a caller whose deadline passes after the request was sent does not learn that it has not run.
fn assert_timeout_after_sending(path: &'static str) {
    run(async move {
        let mut world = World::start(2, |_, _| Reply::SendAndWait(String::new())).await;
        let answer = exchange(world.front, &request_with_deadline(path, "id-1", 300)).await;
        assert_may_have_run(&answer);
        assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
        assert_eq!(world.drain_arrivals().len(), 1, "it may have run");
    });
}

macro_rules! timeouts_after_sending {
    ($($name:ident => $path:expr;)+) => {
        $(#[test] fn $name() { assert_timeout_after_sending($path); })+
    };
}

// Guards against duplicate runs: the caller's deadline passes after its request was sent, the answer states that the
// request has not run, and the caller sends it again.
timeouts_after_sending! {
    timeout_of_a_non_idempotent_request => "/once/7";
    timeout_of_an_idempotent_request => "/safe/7";
    timeout_of_a_stream => "/stream/7";
    timeout_of_a_resumable_stream => "/resumable/7";
}

// Guards against the same when the server answered part of the response before the deadline.
#[test]
fn timeout_within_the_answer() {
    run(async {
        let script = |_, it: &Arrival| {
            let whole = sealed(it, "200 OK", "done");
            Reply::SendAndWait(whole[..whole.len() - 1].to_owned())
        };
        let mut world = World::start(2, script).await;
        let answer = exchange(world.front, &request_with_deadline("/once/7", "id-1", 300)).await;
        assert_may_have_run(&answer);
        assert_eq!(world.drain_arrivals().len(), 1, "it may have run");
    });
}

/// Headers of a prompt of which an engine's memory holds only one.
const LARGE_PROMPT: &str = "x-tokens: 50000,20000\r\nx-parts: aa:50000\r\n";

/// Starts `count` servers that answer as `reply` says, and occupies the memory of one of them with request `id-0`.
async fn start_with_occupied_server(count: usize, reply: fn(&Arrival) -> Reply) -> World {
    let script = move |_, it: &Arrival| match it.header("x-attempt") {
        Some("id-0") => Reply::SendAndWait(String::new()),
        _ => reply(it),
    };
    let mut world = World::start(count, script).await;
    let (front, text) = (world.front, request("/once/7", "id-0", LARGE_PROMPT));
    spawn_local(async move { exchange(front, &text).await });
    world.arrivals.recv().await.expect("the request arrives");
    world
}

/// Time for which the callers of waiting requests wait, in milliseconds.
const WAITING_DEADLINE_MS: u64 = 1_000;

/// Returns a large request whose caller waits for `WAITING_DEADLINE_MS`.
fn waiting_request(path: &str) -> String {
    let text = request_with_deadline(path, "id-1", WAITING_DEADLINE_MS);
    text.replace("content-length: 4\r\n", &format!("content-length: 4\r\n{LARGE_PROMPT}"))
}

// Guards against a request that runs although its caller was told that it has not: it is refused while it waits for a
// server, since it can't be answered before its deadline, and sent once a server is free.
#[test]
fn a_request_that_is_refused_while_it_waits_is_not_sent_later() {
    run(async {
        let reply = |it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let mut world = start_with_occupied_server(1, reply).await;
        let answer = exchange(world.front, &waiting_request("/once/7")).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        // Another server has room for everything that still waits.
        world.store.put_server("server-1", entry(world.servers[0]));
        let answer = world.send("/once/7", "id-2", LARGE_PROMPT).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        sleep(Duration::from_millis(WAITING_DEADLINE_MS)).await;
        let arrivals = world.drain_arrivals();
        let ids: Vec<_> = arrivals.iter().filter_map(|it| it.header("x-attempt")).collect();
        assert_eq!(ids, ["id-2"]);
    });
}

// Guards against duplicate runs: the answer of the first server is lost, the caller's deadline passes while the request
// waits for another one, and the answer states that the request has not run.
#[test]
fn a_deadline_that_passes_while_a_request_waits_for_its_second_server() {
    run(async {
        let reply = |_: &Arrival| Reply::SendAndClose(String::new());
        let mut world = start_with_occupied_server(2, reply).await;
        let answer = exchange(world.front, &waiting_request("/safe/7")).await;
        assert_may_have_run(&answer);
        assert_eq!(world.drain_arrivals().len(), 1, "the other server has no room");
    });
}
