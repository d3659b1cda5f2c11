//! A VM that starts from a copy of the store that is old.

mod support;

use std::time::Duration;

use support::{Arrival, Reply, Vm, World, exchange, get, metric, request, run, sealed};
use tokio::time::sleep;

/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(5);
/// Requests that two idle servers share: that one of them gets none by chance happens once in half a million times.
const REQUESTS: usize = 20;

// Requests reach a server that left: a VM starts while the store is slow, and the copy that it reads first still lists the
// server. Until the store has told what changed since, the VM says that it isn't ready and refuses what comes all the
// same, with the word that it has not run; afterwards it uses the other server only.
#[test]
fn a_vm_serves_nothing_before_it_knows_what_changed_since() {
    run(async {
        let script = |_, it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let mut world = World::start(2, script).await;
        world.store.remove_server("server-1");
        world.store.set_changes_paused(true);
        let vm = Vm::spawn("vm-2", world.store.for_another_vm()).await;
        while vm.metric("quincevalve_servers").await != Some(2) {
            sleep(LOOK).await;
        }
        for path in ["/once/7", "/safe/7", "/open/7"] {
            let answer = exchange(vm.front, &request(path, "id-early", "")).await;
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            assert!(answer.contains("retry-after: "), "{answer}");
        }
        assert!(get(vm.ready, "/readyz").await.starts_with("HTTP/1.1 503"));
        assert!(world.drain_arrivals().is_empty(), "it has not run");
        world.store.set_changes_paused(false);
        while metric(vm.metrics, "quincevalve_servers").await != Some(1) {
            sleep(LOOK).await;
        }
        while !get(vm.ready, "/readyz").await.starts_with("HTTP/1.1 200") {
            sleep(LOOK).await;
        }
        for at in 0..REQUESTS {
            let answer = exchange(vm.front, &request("/once/7", &format!("id-{at}"), "")).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        let arrivals = world.drain_arrivals();
        assert_eq!(arrivals.len(), REQUESTS);
        assert!(arrivals.iter().all(|it| it.server == 0), "it has left");
    });
}
