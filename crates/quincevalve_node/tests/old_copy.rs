//! A stale read of the store, and a store that returns from an older copy.

mod support;

use std::time::Duration;

use support::{Arrival, Reply, Vm, World, exchange, get, metric, request, run, sealed};
use tokio::time::{sleep, timeout};

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time within which a VM writes its lost entry again: two renewals and a margin.
const REWRITE_TIME: Duration = Duration::from_secs(9);
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

// The store returns from a copy that lacks a VM's entry, and its lease has the number of one that another client keeps.
// The renewals are answered for good, and without the entry the other VMs don't count this one.
#[test]
fn a_vm_whose_entry_the_store_lost_writes_it_again() {
    run(async {
        let script = |_, it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let world = World::start(1, script).await;
        let _vm = Vm::start("vm-2", world.store.for_another_vm()).await;
        assert!(world.store.lists_vm("vm-2"));
        world.store.return_from_copy(|items| items.retain(|it| it.key != "peers/a/vm-2"));
        let rewritten = async {
            while !world.store.lists_vm("vm-2") {
                sleep(POLL_INTERVAL).await;
            }
        };
        assert!(timeout(REWRITE_TIME, rewritten).await.is_ok(), "the entry isn't written again");
    });
}
