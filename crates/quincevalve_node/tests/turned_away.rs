//! A store that turns one entry VM away and serves the others.

mod support;

use std::time::Duration;

use support::{Arrival, Reply, Vm, World, metric, run, sealed};
use tokio::time::sleep;

/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(5);
/// Requests that two idle servers share: that one of them gets none by chance happens once in half a million times.
const REQUESTS: usize = 20;

// Requests reach a server seconds after it left, and their streams break off when it ends. The store turns one VM away
// for a while and serves the others; they tell it that the server's entry was removed, and it stops using the
// server. Then it reads the store again, takes all that went missing meanwhile for entries that lapsed in an outage of
// the store, and uses the server for two seconds more.
// Evidence: `server-removed` at all VMs within 60 ms, `taken_for=leaving` at those that read the store and
// `taken_for=lapse` at the one that was turned away; after its `store-regained` the `placed` lines of that VM, and of no
// other, have `unlisted_ms` of 2,500 to 3,200, up to 2.3 s after it.
#[test]
fn a_server_that_left_while_this_vm_was_turned_away_gets_nothing_more() {
    run(async {
        let script = |_, it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let mut world = World::start(2, script).await;
        let other = Vm::start("vm-2", world.store.for_another_vm()).await;
        while metric(world.metrics, "quincevalve_vms").await != Some(2)
            || other.metric("quincevalve_vms").await != Some(2)
        {
            sleep(LOOK).await;
        }
        world.store.set_rejecting(true);
        while world.store.rejected_calls() < 2 {
            sleep(LOOK).await;
        }
        world.store.remove_server("server-1");
        while metric(world.metrics, "quincevalve_servers").await != Some(1) {
            sleep(LOOK).await;
        }
        let answered = world.store.answered_change_requests();
        world.store.set_rejecting(false);
        // The second question is asked after the first answer was taken.
        while world.store.answered_change_requests() < answered + 2 {
            sleep(LOOK).await;
        }
        world.drain_arrivals();
        for at in 0..REQUESTS {
            let answer = world.send("/once/7", &format!("id-{at}"), "").await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        let arrivals = world.drain_arrivals();
        assert_eq!(arrivals.len(), REQUESTS);
        assert!(arrivals.iter().all(|it| it.server == 0), "it has left");
    });
}
