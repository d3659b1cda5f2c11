//! Statuses that promise that a request has not run: what callers get of them, and when.

mod support;

use support::{Arrival, Reply, World, run, sealed, sealed_with};

/// What a server does with a request that may run once.
#[derive(Clone, Copy)]
enum Server {
    /// It says that it did not run it.
    DidNotRunIt,
    /// It runs it, and answers with a status that promises the contrary.
    RanIt,
    /// It closes the connection with the request read.
    FellSilent,
}

fn reply(server: Server, status: &str, arrival: &Arrival) -> Reply {
    match server {
        Server::DidNotRunIt => Reply::Send(sealed_with(arrival, status, "x-not-run: 1\r\n", "")),
        Server::RanIt => Reply::Send(sealed(arrival, status, "ran")),
        Server::FellSilent => Reply::SendAndClose(String::new()),
    }
}

/// A caller of `path` gets `expected`, and a request that may have run reaches no second server.
fn is_answered(path: &'static str, server: Server, status: &'static str, expected: &str) {
    let expected = format!("HTTP/1.1 {expected}");
    run(async move {
        let mut world = World::start(2, move |_, it| reply(server, status, it)).await;
        let answer = world.send(path, "id-1", "").await;
        assert!(answer.starts_with(&expected), "{status}: {answer}");
        let is_own = !answer.contains("x-seal");
        assert!(is_own, "a server's seal on another status: {answer}");
        let arrivals = world.drain_arrivals().len();
        match server {
            Server::DidNotRunIt => assert_eq!(arrivals, 2, "another server is asked"),
            Server::RanIt | Server::FellSilent => assert_eq!(arrivals, 1, "it may have run"),
        }
    });
}

const TIMEOUT: &str = "408 Request Timeout";
const MISDIRECTED: &str = "421 Misdirected Request";
const TOO_MANY: &str = "429 Too Many Requests";
const UNAVAILABLE: &str = "503 Service Unavailable";

macro_rules! answers {
    ($($name:ident => $path:expr, $server:expr, $status:expr, $expected:expr;)+) => {
        $(#[test] fn $name() { is_answered($path, $server, $status, $expected); })+
    };
}

// A server runs a request that may run once and answers with a status that says it did not: the caller sends it again.
answers! {
    a_run_answered_408_is_no_promise => "/once/7", Server::RanIt, TIMEOUT, "502";
    a_run_answered_429_is_no_promise => "/once/7", Server::RanIt, TOO_MANY, "502";
    a_run_answered_503_is_no_promise => "/once/7", Server::RanIt, UNAVAILABLE, "502";
    a_stream_answered_408_is_no_promise => "/stream/7", Server::RanIt, TIMEOUT, "502";
    a_stream_answered_429_is_no_promise => "/stream/7", Server::RanIt, TOO_MANY, "502";
    a_stream_answered_503_is_no_promise => "/stream/7", Server::RanIt, UNAVAILABLE, "502";
    a_lost_answer_is_no_promise => "/once/7", Server::FellSilent, UNAVAILABLE, "502";
    what_is_said_not_to_run_is_refused_408 => "/once/7", Server::DidNotRunIt, TIMEOUT, "503";
    what_is_said_not_to_run_is_refused_429 => "/once/7", Server::DidNotRunIt, TOO_MANY, "503";
    what_is_said_not_to_run_is_refused_503 => "/once/7", Server::DidNotRunIt, UNAVAILABLE, "503";
    a_misdirected_request_is_refused => "/once/7", Server::DidNotRunIt, MISDIRECTED, "503";
}

// The same of a request that may run again: the status is the server's own, with its seal.
#[test]
fn a_repeatable_request_gets_the_servers_own_refusal() {
    run(async {
        let world = World::start(1, |_, it| reply(Server::RanIt, TOO_MANY, it)).await;
        let answer = world.send("/safe/7", "id-1", "").await;
        assert!(answer.starts_with("HTTP/1.1 429") && answer.contains("x-seal"), "{answer}");
    });
}
