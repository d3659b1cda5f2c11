//! Statuses that state that a request has not run, and when callers get them.

mod support;

use support::{Arrival, Reply, World, run, sealed, sealed_with};

/// How a server treats a request that must not run twice.
#[derive(Clone, Copy)]
enum ServerAction {
    /// It reports that it did not run the request.
    ReportsNotRun,
    /// It runs the request, but answers with a status that states that it did not.
    Runs,
    /// It reads the request and closes the connection.
    Closes,
}

fn reply(server: ServerAction, status: &str, arrival: &Arrival) -> Reply {
    match server {
        ServerAction::ReportsNotRun => {
            Reply::Send(sealed_with(arrival, status, "x-not-run: 1\r\n", ""))
        }
        ServerAction::Runs => Reply::Send(sealed(arrival, status, "ran")),
        ServerAction::Closes => Reply::SendAndClose(String::new()),
    }
}

/// Asserts that a caller of `path` gets `expected`, and that a request that may have run reaches no second server.
fn assert_answer(path: &'static str, server: ServerAction, status: &'static str, expected: &str) {
    let expected = format!("HTTP/1.1 {expected}");
    run(async move {
        let mut world = World::start(2, move |_, it| reply(server, status, it)).await;
        let answer = world.send(path, "id-1", "").await;
        assert!(answer.starts_with(&expected), "{status}: {answer}");
        let is_own = !answer.contains("x-seal");
        assert!(is_own, "a server's seal on the system's own answer: {answer}");
        let arrivals = world.drain_arrivals().len();
        match server {
            ServerAction::ReportsNotRun => assert_eq!(arrivals, 2, "another server is tried"),
            ServerAction::Runs | ServerAction::Closes => assert_eq!(arrivals, 1, "it may have run"),
        }
    });
}

const TIMEOUT: &str = "408 Request Timeout";
const MISDIRECTED: &str = "421 Misdirected Request";
const TOO_MANY: &str = "429 Too Many Requests";
const UNAVAILABLE: &str = "503 Service Unavailable";

macro_rules! answers {
    ($($name:ident => $path:expr, $server:expr, $status:expr, $expected:expr;)+) => {
        $(#[test] fn $name() { assert_answer($path, $server, $status, $expected); })+
    };
}

// Guards against duplicate runs: a server runs a request that must not run twice and answers with a status that states
// that it did not, so the caller would retry it.
answers! {
    status_408_after_a_run_becomes_502 => "/once/7", ServerAction::Runs, TIMEOUT, "502";
    status_429_after_a_run_becomes_502 => "/once/7", ServerAction::Runs, TOO_MANY, "502";
    status_503_after_a_run_becomes_502 => "/once/7", ServerAction::Runs, UNAVAILABLE, "502";
    status_408_of_a_stream_becomes_502 => "/stream/7", ServerAction::Runs, TIMEOUT, "502";
    status_429_of_a_stream_becomes_502 => "/stream/7", ServerAction::Runs, TOO_MANY, "502";
    status_503_of_a_stream_becomes_502 => "/stream/7", ServerAction::Runs, UNAVAILABLE, "502";
    lost_answer_becomes_502 => "/once/7", ServerAction::Closes, UNAVAILABLE, "502";
    status_408_without_a_run_becomes_503 => "/once/7", ServerAction::ReportsNotRun, TIMEOUT, "503";
    status_429_without_a_run_becomes_503 => "/once/7", ServerAction::ReportsNotRun, TOO_MANY, "503";
    status_503_without_a_run_becomes_503 => "/once/7", ServerAction::ReportsNotRun, UNAVAILABLE, "503";
    misdirected_request_becomes_503 => "/once/7", ServerAction::ReportsNotRun, MISDIRECTED, "503";
}

// A request that may run again gets the server's own status, with the server's seal.
#[test]
fn idempotent_request_gets_the_servers_own_status() {
    run(async {
        let world = World::start(1, |_, it| reply(ServerAction::Runs, TOO_MANY, it)).await;
        let answer = world.send("/safe/7", "id-1", "").await;
        assert!(answer.starts_with("HTTP/1.1 429") && answer.contains("x-seal"), "{answer}");
    });
}
