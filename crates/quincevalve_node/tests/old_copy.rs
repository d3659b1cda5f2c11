//! A VM that starts from a stale read of the store.

mod support;

use std::time::Duration;

use support::{Arrival, Reply, Vm, World, exchange, get, metric, request, run, sealed};
use tokio::time::sleep;

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of requests. If two idle servers shared them, one would get none by chance with a probability of 1 in
/// 500,000.
const REQUESTS: usize = 20;

// A VM starts while the store is slow, and its first, stale read still lists a server that left. Until the store has
// returned the changes since, the VM isn't ready and rejects requests, with the statement that they haven't run;
// afterwards it uses only the other server.
#[test]
fn a_vm_serves_nothing_before_it_has_the_changes_since_its_first_read() {
    run(async {
        let script = |_, it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let mut world = World::start(2, script).await;
        world.store.remove_server("server-1");
        world.store.set_changes_paused(true);
        let vm = Vm::spawn("vm-2", world.store.for_another_vm()).await;
        while vm.metric("quincevalve_servers").await != Some(2) {
            sleep(POLL_INTERVAL).await;
        }
        for path in ["/once/7", "/safe/7", "/open/7"] {
            let answer = exchange(vm.front, &request(path, "id-early", "")).await;
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            assert!(answer.contains("retry-after: "), "{answer}");
        }
        assert!(get(vm.ready, "/readyz").await.starts_with("HTTP/1.1 503"));
        assert!(world.drain_arrivals().is_empty(), "no request has run");
        world.store.set_changes_paused(false);
        while metric(vm.metrics, "quincevalve_servers").await != Some(1) {
            sleep(POLL_INTERVAL).await;
        }
        while !get(vm.ready, "/readyz").await.starts_with("HTTP/1.1 200") {
            sleep(POLL_INTERVAL).await;
        }
        for at in 0..REQUESTS {
            let answer = exchange(vm.front, &request("/once/7", &format!("id-{at}"), "")).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        let arrivals = world.drain_arrivals();
        assert_eq!(arrivals.len(), REQUESTS);
        assert!(arrivals.iter().all(|it| it.server == 0), "a request reached the server that left");
    });
}
