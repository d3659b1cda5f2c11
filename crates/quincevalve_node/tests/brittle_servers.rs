//! Servers that say that they fall over when they have to turn too many requests away.

mod support;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use quincevalve_forwarding::servers::ServerEntry;
use support::{Reply, Vm, World, entry, exchange, metric, request, run, sealed_with};
use tokio::{sync::Notify, task::spawn_local, time::sleep};

/// Requests that a server processes at once; it turns all others away.
const SLOTS: usize = 2;
const SERVERS: usize = 2;
/// Rejections in a second that a server withstands.
const MAX_REJECTIONS: usize = 5;
/// Time for which a server processes a request.
const PROCESSING_TIME: Duration = Duration::from_millis(60);
const CALLERS_PER_VM: usize = 6;
const LOAD_DURATION: Duration = Duration::from_secs(4);
/// Time from the first answer until VMs must heed the servers' signal.
const REACTION_TIME: Duration = Duration::from_secs(1);
/// Window in which rejections are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// What all servers observe.
#[derive(Default)]
struct Observed {
    in_flight: [Cell<usize>; SERVERS],
    rejections: RefCell<Vec<(usize, Instant)>>,
    served: Cell<usize>,
}

fn reply(observed: &Rc<Observed>, arrival: &support::Arrival) -> Reply {
    let in_flight = &observed.in_flight[arrival.server];
    let signal = format!("x-brittle: {MAX_REJECTIONS}\r\n");
    if in_flight.get() >= SLOTS {
        observed.rejections.borrow_mut().push((arrival.server, arrival.at));
        let head = format!("{signal}x-not-run: 1\r\n");
        return Reply::Send(sealed_with(arrival, "503 Service Unavailable", &head, ""));
    }
    in_flight.set(in_flight.get() + 1);
    observed.served.set(observed.served.get() + 1);
    let done = Rc::new(Notify::new());
    let (observed, server, notify) = (observed.clone(), arrival.server, done.clone());
    spawn_local(async move {
        sleep(PROCESSING_TIME).await;
        let in_flight = &observed.in_flight[server];
        in_flight.set(in_flight.get() - 1);
        notify.notify_one();
    });
    Reply::SendMoreOnNotify(String::new(), done, sealed_with(arrival, "200 OK", &signal, "done"))
}

async fn call_until(front: SocketAddr, caller: String, end: Instant) {
    for at in 0.. {
        if Instant::now() >= end {
            return;
        }
        exchange(front, &request("/once/x", &format!("{caller}-{at}"), "")).await;
    }
}

// Guards against VMs that together send brittle servers more than these have room for, so that they fall over.
#[test]
fn brittle_servers_turn_few_requests_away() {
    run(async {
        let observed = Rc::new(Observed::default());
        let script = observed.clone();
        let world = World::start(SERVERS, move |_, it| reply(&script, it)).await;
        for (at, address) in world.servers.iter().enumerate() {
            let entry = ServerEntry { slots: SLOTS as u32, ..entry(*address) };
            world.store.put_server(&format!("server-{at}"), entry);
        }
        let others = [
            Vm::start("vm-2", world.store.for_another_vm()).await,
            Vm::start("vm-3", world.store.for_another_vm()).await,
        ];
        for metrics in [world.metrics, others[0].metrics, others[1].metrics] {
            while metric(metrics, "quincevalve_vms").await != Some(3) {
                sleep(Duration::from_millis(5)).await;
            }
        }
        let began = Instant::now();
        let fronts = [world.front, others[0].front, others[1].front];
        let mut callers = Vec::new();
        for (vm, front) in fronts.into_iter().enumerate() {
            for at in 0..CALLERS_PER_VM {
                let caller = call_until(front, format!("{vm}-{at}"), began + LOAD_DURATION);
                callers.push(spawn_local(caller));
            }
        }
        for caller in callers {
            caller.await.expect("a caller that ends");
        }
        let rejections = observed.rejections.borrow();
        let counted: Vec<_> =
            rejections.iter().filter(|(_, at)| *at >= began + REACTION_TIME).collect();
        for (server, from) in &counted {
            let in_window = |it: &&&(usize, Instant)| {
                it.0 == *server && (*from..*from + WINDOW).contains(&it.1)
            };
            let count = counted.iter().filter(in_window).count();
            assert!(count <= MAX_REJECTIONS, "server {server} rejected {count} in a second");
        }
        // Both servers together could process 266 requests in this time.
        assert!(observed.served.get() >= 100, "{} served", observed.served.get());
    });
}
