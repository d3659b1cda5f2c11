//! A request that ends each server that runs it.

mod support;

use std::time::Duration;

use support::{
    Arrival, Reply, Vm, World, events, exchange, metric, request, run, sealed, stream_head,
};
use tokio::time::sleep;

/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(5);
/// Callers come back this long after an answer that broke off.
const PAUSE: Duration = Duration::from_millis(400);
/// Servers that may end under a request before it has to be known for it, and how often it may be sent after that.
const ENDS_AND_SENDINGS: usize = 3 + 3;
/// Attempts; each would end a server.
const ATTEMPTS: usize = 12;

/// Ends the server under the poison request and answers all others.
fn script(_: usize, arrival: &Arrival) -> Reply {
    if arrival.head.starts_with("POST /stream/poison") {
        return Reply::SendAndExit(stream_head(arrival) + &events(1..=1));
    }
    Reply::Send(sealed(arrival, "200 OK", "done"))
}

/// Three VMs that know each other.
async fn three_vms(world: &World) -> [Vm; 2] {
    let others = [
        Vm::start("vm-2", world.store.for_another_vm()).await,
        Vm::start("vm-3", world.store.for_another_vm()).await,
    ];
    for metrics in [world.metrics, others[0].metrics, others[1].metrics] {
        while metric(metrics, "quincevalve_vms").await != Some(3) {
            sleep(LOOK).await;
        }
    }
    others
}

// Callers of all kinds lose their streams again and again: one request ends each server that runs it, and comes back as
// a new attempt with the same path, account and body, each time at another VM. Each VM takes it for a new request and
// places it on a server that still lives.
// Evidence: `placed` lines of different ids with one `digest`, one each, each followed by `server-exited` for its server;
// thirteen servers of twelve in 39 seconds, and nothing in between that holds it back.
#[test]
fn a_request_that_ends_its_servers_is_not_sent_for_ever() {
    run(async {
        let mut world = World::start(5, script).await;
        let others = three_vms(&world).await;
        let fronts = [world.front, others[0].front, others[1].front];
        for at in 0..ATTEMPTS {
            let text = request("/stream/poison", &format!("id-{at}"), "");
            exchange(fronts[at % fronts.len()], &text).await;
            sleep(PAUSE).await;
        }
        let sent = world.arrived().len();
        assert!(sent <= ENDS_AND_SENDINGS, "sent {sent} times, and each ended a server");
    });
}
