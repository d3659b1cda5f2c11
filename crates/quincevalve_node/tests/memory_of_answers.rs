//! Memory of the process while hundreds of answers have no end. The tests of this file run one after the other, since they
//! measure the whole process.

mod support;

use std::{
    fs,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use futures::future::join_all;
use support::{
    Arrival, Reply, World,
    endless::{Place, assert_truthful, request_to},
    exchange, run, sealed,
};
use tokio::time::sleep;

/// Held while a test measures.
static MEASURING: Mutex<()> = Mutex::new(());

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
    let _measuring = MEASURING.lock().unwrap_or_else(PoisonError::into_inner);
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
