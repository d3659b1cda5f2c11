//! Callers of a VM that reaches no server, while its peers do.

mod support;

use std::{collections::HashMap, time::Duration};

use support::{
    LAST_CHUNK, Reply, Vm, World, chunk, exchange,
    link::{Link, LinkState},
    metric, request, run, sealed, stream_head,
};
use tokio::time::sleep;

/// Time from the beginning of the partition for which callers send requests that may fail.
const EARLY_REQUESTS_TIME: Duration = Duration::from_millis(1_500);
/// Time without requests after that, in which idle connections to servers expire. From then on, three seconds after
/// the beginning, callers of the VM must be served.
const QUIET_TIME: Duration = Duration::from_millis(1_500);
/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time from the end of the partition until the VM sends requests to servers itself.
const MAX_RETURN_TIME: Duration = Duration::from_secs(2);
const SERVERS: usize = 4;

/// A world with a second VM that reaches the servers by links of its own.
struct PartitionedWorld {
    world: World,
    vm: Vm,
    links: Vec<Link>,
}

impl PartitionedWorld {
    async fn start() -> Self {
        let world = World::start(SERVERS, |_, arrival| {
            if arrival.head.starts_with("POST /stream/") {
                let event = chunk("id: 1\ndata: t1\n\n");
                Reply::Send(format!("{}{event}{LAST_CHUNK}", stream_head(arrival)))
            } else {
                Reply::Send(sealed(arrival, "200 OK", "done"))
            }
        })
        .await;
        let mut links = Vec::new();
        for server in &world.servers {
            links.push(Link::to(*server).await);
        }
        let store = world.store.for_another_vm();
        store.set_links(world.servers.iter().copied().zip(&links));
        let vm = Vm::start("vm-2", store).await;
        for metrics in [world.metrics, vm.metrics] {
            while metric(metrics, "quincevalve_vms").await != Some(2) {
                sleep(Duration::from_millis(5)).await;
            }
        }
        Self { world, vm, links }
    }

    fn set_links(&self, state: LinkState) {
        self.links.iter().for_each(|it| it.set(state));
    }

    fn connections(&self) -> usize {
        self.links.iter().map(Link::connections).sum()
    }

    /// Sends requests of all kinds in turn to the second VM, and returns the answers by request id.
    async fn send_for(&self, time: Duration, prefix: &str) -> HashMap<String, String> {
        let end = tokio::time::Instant::now() + time;
        let mut callers = Vec::new();
        for at in 0_usize.. {
            if tokio::time::Instant::now() >= end {
                break;
            }
            let path = ["/safe/x", "/once/x", "/stream/x"][at % 3];
            let id = format!("{prefix}-{at}");
            let (front, text) = (self.vm.front, request(path, &id, ""));
            callers
                .push((id, tokio::task::spawn_local(async move { exchange(front, &text).await })));
            sleep(REQUEST_INTERVAL).await;
        }
        let mut answers = HashMap::new();
        for (id, caller) in callers {
            answers.insert(id, caller.await.expect("a caller that ends"));
        }
        answers
    }
}

fn assert_all_served(answers: &HashMap<String, String>) {
    let failed: Vec<_> = answers.iter().filter(|(_, it)| !it.starts_with("HTTP/1.1 200")).collect();
    assert!(failed.is_empty(), "{} of {} not served: {failed:?}", failed.len(), answers.len());
}

async fn assert_served_while(state: LinkState) {
    let mut world = PartitionedWorld::start().await;
    assert_all_served(&world.send_for(Duration::from_millis(500), "before").await);
    world.set_links(state);
    let early = world.send_for(EARLY_REQUESTS_TIME, "early");
    let _ = tokio::time::timeout(EARLY_REQUESTS_TIME, early).await;
    sleep(QUIET_TIME).await;
    let answers = world.send_for(Duration::from_secs(2), "late").await;
    assert_all_served(&answers);
    let mut arrivals: HashMap<String, usize> = HashMap::new();
    for arrival in world.world.drain_arrivals() {
        let id = arrival.header("x-attempt").unwrap_or_default().to_owned();
        *arrivals.entry(id).or_default() += 1;
    }
    for id in answers.keys() {
        assert_eq!(arrivals.get(id), Some(&1), "request {id} must run exactly once");
    }
    let before = world.connections();
    world.set_links(LinkState::Up);
    sleep(MAX_RETURN_TIME).await;
    assert_all_served(&world.send_for(Duration::from_millis(500), "after").await);
    assert!(world.connections() > before, "the VM must use its own connections again");
}

macro_rules! served_while {
    ($($name:ident: $state:expr;)*) => {
        $(
            // Guards against a VM that refuses its callers because it reaches no server, though its peers do.
            #[test]
            fn $name() {
                run(assert_served_while($state));
            }
        )*
    };
}

served_while! {
    callers_are_served_while_links_to_all_servers_hang: LinkState::Hanging;
    callers_are_served_while_links_to_all_servers_are_reset: LinkState::Resetting;
    callers_are_served_while_all_servers_refuse_new_connections: LinkState::RefusingNew;
}
