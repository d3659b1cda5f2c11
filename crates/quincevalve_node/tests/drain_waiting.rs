//! A process that drains while a request waits for a server. SIGTERM reaches the whole test process, so this is the only
//! test of the file.

mod support;

use nix::sys::signal::{Signal, raise};
use support::{
    Arrival, Reply, World, chunk, events, exchange, metric, queue_setup, request, run, stream_head,
};
use tokio::task::{spawn_local, yield_now};

// Guards against a caller that waits at a VM that stops before the request could finish: it is told at once, and reaches
// another VM.
#[test]
fn refuses_waiting_requests_that_cannot_finish() {
    run(async {
        let script = |_, it: &Arrival| Reply::SendAndWait(stream_head(it) + &chunk(&events(1..=1)));
        let mut world = World::start_with(1, queue_setup(), script).await;
        let front = world.front;
        let tokens = "x-tokens: 100,10\r\n";
        spawn_local(async move { exchange(front, &request("/stream/", "id-1", tokens)).await });
        world.arrivals.recv().await.expect("a server");
        let waiting =
            spawn_local(async move { exchange(front, &request("/bulk/", "id-2", tokens)).await });
        while metric(world.metrics, "quincevalve_waiting{service=\"engines\"}").await != Some(1) {
            yield_now().await;
        }
        raise(Signal::SIGTERM).expect("a signal");
        let answer = waiting.await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("stopping"), "{answer}");
        assert!(world.drain_arrivals().is_empty());
    });
}
