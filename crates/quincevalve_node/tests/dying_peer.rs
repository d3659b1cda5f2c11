//! Callers of a VM that reaches no server, whose peer dies while it processes a forwarded request.

mod support;

use std::{net::SocketAddr, time::Duration};

use quincevalve_forwarding::{
    peer_table::VmDescriptor,
    servers::{ServerEntry, ServerStart},
};
use support::{LAST_CHUNK, Reply, World, chunk, entry, metric, run, sealed};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::spawn_local,
    time::sleep,
};

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The end of the head and the body of the forwarded request.
const REQUEST_END: &[u8] = b"\r\n\r\nbody";

/// Starts a peer that receives one request, sends `answer` and dies.
async fn start_dying_peer(answer: String) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a request");
        let mut received = Vec::new();
        while !received.ends_with(REQUEST_END) {
            received.push(stream.read_u8().await.expect("a whole request"));
        }
        let _ = stream.write_all(answer.as_bytes()).await;
    });
    address
}

/// Starts a world whose only VM reaches no server, and lists a peer that sends this answer to a request and dies.
async fn start_with_dying_peer(answer: String) -> World {
    let world = World::start(1, |_, it| Reply::Send(sealed(it, "200 OK", "done"))).await;
    let closed = {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        listener.local_addr().expect("an address")
    };
    let restarted = ServerEntry { start: ServerStart(2), ..entry(closed) };
    world.store.put_server("server-0", restarted);
    while metric(world.metrics, "quincevalve_unreachable_servers").await != Some(1) {
        world.send("/safe/x", "probe", "").await;
        sleep(POLL_INTERVAL).await;
    }
    let descriptor = VmDescriptor {
        name: "dying".to_owned(),
        address: start_dying_peer(answer).await,
        data_centre: "a".into(),
        cpu: 250,
    };
    let value = serde_json::to_vec(&descriptor).expect("a descriptor");
    world.store.put_item("peers/a/dying", value);
    while metric(world.metrics, "quincevalve_vms").await != Some(2) {
        sleep(POLL_INTERVAL).await;
    }
    world
}

// Guards against a caller who is told that its request has not run, though the peer that died may have sent it.
#[test]
fn a_request_at_a_peer_that_dies_may_have_run() {
    run(async {
        let world = start_with_dying_peer(String::new()).await;
        let answer = world.send("/once/x", "id-1", "").await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    });
}

// Guards against an answer that looks complete although the peer that passed it on died midway.
#[test]
fn a_stream_by_way_of_a_peer_that_dies_is_not_completed() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\nx-attempt: id-1\r\nx-seal: s-1\r\n\
                    content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        let event = chunk("id: 1\ndata: t1\n\n");
        let world = start_with_dying_peer(format!("{head}{event}")).await;
        let answer = world.send("/stream/x", "id-1", "").await;
        assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("t1"), "{answer}");
        assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
    });
}
