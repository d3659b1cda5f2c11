//! A store that rejects the calls of one entry VM and serves the other VMs.

mod support;

use std::time::Duration;

use support::{Arrival, Reply, Vm, World, metric, run, sealed};
use tokio::time::sleep;

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of requests spread over two idle servers. The probability that one server gets none by chance is about one in
/// half a million.
const REQUESTS: usize = 20;

// Guards against using a server that has left. The store rejects one VM for a while, whose peers report that the
// server's entry was removed. When that VM reads the store again, it must not treat the removal as an expiry in a store
// outage (`server-removed` with `taken_for=lapse`): it would send requests to the server for two more seconds
// (`unlisted_ms` of 2,500 to 3,200), and their streams would be truncated.
#[test]
fn server_that_left_while_the_store_refused_this_vm_gets_no_requests() {
    run(async {
        let script = |_, it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let mut world = World::start(2, script).await;
        let other = Vm::start("vm-2", world.store.for_another_vm()).await;
        while metric(world.metrics, "quincevalve_vms").await != Some(2)
            || other.metric("quincevalve_vms").await != Some(2)
        {
            sleep(POLL_INTERVAL).await;
        }
        world.store.set_rejecting(true);
        while world.store.rejected_calls() < 2 {
            sleep(POLL_INTERVAL).await;
        }
        world.store.remove_server("server-1");
        while metric(world.metrics, "quincevalve_servers").await != Some(1) {
            sleep(POLL_INTERVAL).await;
        }
        let answered = world.store.answered_change_requests();
        world.store.set_rejecting(false);
        // The VM sends the second query after it has applied the first answer.
        while world.store.answered_change_requests() < answered + 2 {
            sleep(POLL_INTERVAL).await;
        }
        world.drain_arrivals();
        for at in 0..REQUESTS {
            let answer = world.send("/once/7", &format!("id-{at}"), "").await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        let arrivals = world.drain_arrivals();
        assert_eq!(arrivals.len(), REQUESTS);
        assert!(arrivals.iter().all(|it| it.server == 0), "the server that left got a request");
    });
}
