//! Requests that wait for a server in the queue of a whole process.

mod support;

use std::{cell::RefCell, rc::Rc};

use quincevalve_forwarding::servers::{ServerEntry, ServerStart};
use support::{
    Arrival, Reply, World, chunk, entry, events, metric, queue_setup, request, run, sealed,
    stream_head,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::{JoinHandle, spawn_local, yield_now},
};

const TOKENS: &str = "x-tokens: 100,10\r\n";
const WAITING: &str = "quincevalve_waiting{service=\"engines\"}";
const NOT_RUN: &str =
    "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";

/// A world whose servers answer at once, except that they hold streams until the notification.
async fn start(count: usize) -> (World, Rc<Notify>) {
    let release = Rc::new(Notify::new());
    let held = release.clone();
    let script = move |_, it: &Arrival| reply(it, &held);
    (World::start_with(count, queue_setup(), script).await, release)
}

fn reply(arrival: &Arrival, held: &Rc<Notify>) -> Reply {
    if arrival.head.starts_with("POST /stream/") {
        let begin = stream_head(arrival) + &chunk(&events(1..=1));
        return Reply::SendAndCloseOnNotify(begin, held.clone());
    }
    Reply::Send(sealed(arrival, "200 OK", "done"))
}

/// Sends a request without waiting for its answer.
fn spawn(world: &World, path: &str, id: &str, more: &str) -> JoinHandle<String> {
    let (front, text) = (world.front, request(path, id, more));
    spawn_local(async move { support::exchange(front, &text).await })
}

/// Takes the slot of a server and waits until the server has the request.
async fn take_slot(world: &mut World, id: &str) {
    spawn(world, "/stream/", id, TOKENS);
    world.arrivals.recv().await.expect("a server");
}

async fn wait_for_waiting(world: &World, count: i64) {
    while metric(world.metrics, WAITING).await != Some(count) {
        yield_now().await;
    }
}

// Guards against a request that is refused although a slot becomes free well before its deadline.
#[test]
fn waits_until_a_slot_is_free() {
    run(async {
        let (mut world, release) = start(1).await;
        take_slot(&mut world, "id-1").await;
        let waiting = spawn(&world, "/bulk/", "id-2", TOKENS);
        wait_for_waiting(&world, 1).await;
        assert!(world.drain_arrivals().is_empty());
        release.notify_one();
        let answer = waiting.await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        wait_for_waiting(&world, 0).await;
        let waits = "quincevalve_wait_seconds_count{service=\"engines\"}";
        assert_eq!(metric(world.metrics, waits).await, Some(1));
    });
}

// Guards against an urgent request that waits for bulk work that arrived before it.
#[test]
fn urgent_requests_go_first() {
    run(async {
        let (mut world, release) = start(1).await;
        take_slot(&mut world, "id-1").await;
        let bulk = spawn(&world, "/bulk/", "id-2", TOKENS);
        wait_for_waiting(&world, 1).await;
        let urgent = spawn(&world, "/urgent/", "id-3", TOKENS);
        wait_for_waiting(&world, 2).await;
        release.notify_one();
        for answer in [urgent.await.unwrap(), bulk.await.unwrap()] {
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        let order: Vec<_> = world
            .drain_arrivals()
            .iter()
            .map(|it| it.header("x-attempt").unwrap().to_owned())
            .collect();
        assert_eq!(order, ["id-3", "id-2"]);
    });
}

// Guards against a request that runs although its caller disconnected while it waited, and takes the slot of others.
#[test]
fn a_caller_that_disconnects_frees_its_place() {
    run(async {
        let (mut world, release) = start(1).await;
        take_slot(&mut world, "id-1").await;
        let mut caller = TcpStream::connect(world.front).await.unwrap();
        caller.write_all(request("/urgent/", "id-2", TOKENS).as_bytes()).await.unwrap();
        wait_for_waiting(&world, 1).await;
        drop(caller);
        wait_for_waiting(&world, 0).await;
        release.notify_one();
        let answer = world.send("/bulk/", "id-3", TOKENS).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let arrivals = world.drain_arrivals();
        assert!(arrivals.iter().all(|it| it.header("x-attempt") == Some("id-3")));
    });
}

// Guards against an account that pays for requests that never ran: their callers disconnected while they waited.
#[test]
fn a_caller_that_disconnects_while_it_waits_gets_its_quota_back() {
    run(async {
        let (mut world, release) = start(1).await;
        take_slot(&mut world, "id-1").await;
        let limited = |id, tokens| {
            request("/urgent/", id, tokens).replace("x-key: key-1", "x-key: key-limited")
        };
        let mut caller = TcpStream::connect(world.front).await.unwrap();
        // Five times the account's burst.
        let text = limited("id-2", "x-tokens: 20000,10\r\n");
        caller.write_all(text.as_bytes()).await.unwrap();
        wait_for_waiting(&world, 1).await;
        drop(caller);
        wait_for_waiting(&world, 0).await;
        release.notify_one();
        let answer = support::exchange(world.front, &limited("id-3", TOKENS)).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    });
}

// Guards against a wait beyond the caller's deadline, which would end with an answer that says "may have run".
#[test]
fn refuses_before_the_deadline_of_the_caller() {
    run(async {
        let (mut world, _release) = start(1).await;
        take_slot(&mut world, "id-1").await;
        let text =
            request("/bulk/", "id-2", TOKENS).replace("x-deadline-ms: 15000", "x-deadline-ms: 300");
        let answer = support::exchange(world.front, &text).await;
        assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("busy"), "{answer}");
        assert!(answer.contains("retry-after"), "{answer}");
        assert!(world.drain_arrivals().is_empty());
    });
}

// Guards against requests that wait on for a server that is gone.
#[test]
fn a_server_that_is_gone_ends_the_wait() {
    run(async {
        let (mut world, _release) = start(1).await;
        take_slot(&mut world, "id-1").await;
        let waiting = spawn(&world, "/bulk/", "id-2", TOKENS);
        wait_for_waiting(&world, 1).await;
        world.store.remove_server("server-0");
        let answer = waiting.await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("no-server"), "{answer}");
        wait_for_waiting(&world, 0).await;
    });
}

// Guards against a request that waits for the slots of a server's previous start: another start has all slots free.
#[test]
fn a_restart_of_the_only_server_frees_its_slots() {
    run(async {
        let (mut world, _release) = start(1).await;
        take_slot(&mut world, "id-1").await;
        let waiting = spawn(&world, "/bulk/", "id-2", TOKENS);
        wait_for_waiting(&world, 1).await;
        let restarted = ServerEntry { start: ServerStart(2), ..entry(world.servers[0]) };
        world.store.put_server("server-0", restarted);
        let answer = waiting.await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    });
}

// Guards against a retry that is refused because the servers that have not refused it yet are busy for a moment, and
// against one that returns to the server that refused it.
#[test]
fn a_retry_waits_for_a_server_that_was_not_tried() {
    run(async {
        let release = Rc::new(Notify::new());
        let held = release.clone();
        let refusing: Rc<RefCell<Option<usize>>> = Rc::default();
        let refusing_server = refusing.clone();
        let script = move |_, it: &Arrival| match *refusing_server.borrow() {
            Some(server) if server == it.server => Reply::Send(NOT_RUN.to_owned()),
            _ => reply(it, &held),
        };
        let mut world = World::start_with(2, queue_setup(), script).await;
        spawn(&world, "/stream/", "id-1", TOKENS);
        let busy = world.arrivals.recv().await.expect("a server").server;
        *refusing.borrow_mut() = Some(1 - busy);
        let waiting = spawn(&world, "/bulk/", "id-2", TOKENS);
        let refused = world.arrivals.recv().await.expect("a server").server;
        assert_eq!(refused, 1 - busy);
        wait_for_waiting(&world, 1).await;
        release.notify_one();
        let answer = waiting.await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let servers: Vec<_> = world.drain_arrivals().iter().map(|it| it.server).collect();
        assert_eq!(servers, [busy]);
    });
}

// Guards against a new server that stays idle while requests wait.
#[test]
fn a_new_server_takes_waiting_requests() {
    run(async {
        let (mut world, _release) = start(1).await;
        take_slot(&mut world, "id-1").await;
        let waiting = spawn(&world, "/bulk/", "id-2", TOKENS);
        wait_for_waiting(&world, 1).await;
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        world.store.put_server("server-1", entry(listener.local_addr().unwrap()));
        // The connection shows that the request is sent to the new server.
        let connection = listener.accept().await.unwrap();
        drop((connection, listener));
        waiting.await.unwrap();
    });
}
