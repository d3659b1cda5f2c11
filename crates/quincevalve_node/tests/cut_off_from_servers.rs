//! Callers of a VM that reaches no server, while its peers do.

mod support;

use std::{collections::HashMap, time::Duration};

use support::{
    Arrival, LAST_CHUNK, Reply, Vm, World, chunk, entry, exchange,
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
const SERVERS: u8 = 4;

/// A world with a second VM that reaches the servers by links of its own.
struct PartitionedWorld {
    world: World,
    vm: Vm,
    links: Vec<Link>,
}

impl PartitionedWorld {
    async fn start() -> Self {
        Self::start_with(reply_with_success).await
    }

    /// Starts a world whose servers reply as `script` says.
    async fn start_with(script: impl Fn(usize, &Arrival) -> Reply + 'static) -> Self {
        let world = World::start(usize::from(SERVERS), script).await;
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

fn reply_with_success(_: usize, arrival: &Arrival) -> Reply {
    if arrival.head.starts_with("POST /stream/") {
        let event = chunk("id: 1\ndata: t1\n\n");
        Reply::Send(format!("{}{event}{LAST_CHUNK}", stream_head(arrival)))
    } else {
        Reply::Send(sealed(arrival, "200 OK", "done"))
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

impl PartitionedWorld {
    /// Starts a world whose second VM knows that it reaches no server.
    async fn start_cut_off(script: impl Fn(usize, &Arrival) -> Reply + 'static) -> Self {
        let world = Self::start_with(script).await;
        world.set_links(LinkState::RefusingNew);
        while metric(world.vm.metrics, "quincevalve_unreachable_servers").await
            != Some(i64::from(SERVERS))
        {
            exchange(world.vm.front, &request("/safe/x", "probe", "")).await;
        }
        world
    }

    /// Sends a request to the second VM, and reads until the connection closes.
    async fn send(&self, path: &str, id: &str, more: &str) -> String {
        exchange(self.vm.front, &request(path, id, more)).await
    }

    fn arrivals_of(&mut self, id: &str) -> usize {
        let arrivals = self.world.drain_arrivals();
        arrivals.iter().filter(|it| it.header("x-attempt") == Some(id)).count()
    }
}

// Guards against a caller whose request ran at a server that a peer asked, and who is told that it did not.
#[test]
fn a_request_that_may_have_run_at_a_peer_is_not_refused_as_not_run() {
    run(async {
        let mut world = PartitionedWorld::start_cut_off(|_, arrival| {
            if arrival.head.starts_with("POST /once/") {
                Reply::SendAndClose("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n".to_owned())
            } else {
                Reply::Send(sealed(arrival, "200 OK", "done"))
            }
        })
        .await;
        let answer = world.send("/once/x", "lost", "").await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        assert_eq!(world.arrivals_of("lost"), 1);
    });
}

// Guards against an answer of a server that a peer replaces, and against headers between VMs that reach callers or
// servers.
#[test]
fn answers_and_headers_pass_a_peer_unchanged() {
    run(async {
        let mut world = PartitionedWorld::start_cut_off(|_, arrival| {
            Reply::Send(sealed(arrival, "418 I'm a teapot", "no coffee"))
        })
        .await;
        let answer = world.send("/once/x", "tea", "x-own: 7\r\n").await;
        assert!(answer.starts_with("HTTP/1.1 418"), "{answer}");
        assert!(answer.contains("x-seal: s-1") && answer.ends_with("no coffee"), "{answer}");
        assert!(!answer.contains("quincevalve-"), "{answer}");
        let arrivals = world.world.drain_arrivals();
        let arrival = arrivals.iter().find(|it| it.header("x-attempt") == Some("tea"));
        let arrival = arrival.expect("an arrival");
        assert_eq!(arrival.header("x-own"), Some("7"));
        assert_eq!(arrival.header("x-account"), Some("desk"));
        assert!(!arrival.head.contains("quincevalve-") && !arrival.head.contains("x-key"));
        assert_eq!(arrival.body, "body");
    });
}

// Guards against requests that VMs pass to each other for as long as none of them reaches a server.
#[test]
fn a_request_is_refused_if_no_vm_reaches_a_server() {
    run(async {
        let world = PartitionedWorld::start_cut_off(reply_with_success).await;
        for (at, address) in world.world.servers.iter().enumerate() {
            // Nothing listens there, and the VMs read the new entries.
            let closed = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
            let address = std::net::SocketAddr::new(
                address.ip(),
                closed.local_addr().expect("an address").port(),
            );
            let start = quincevalve_forwarding::servers::ServerStart(2);
            let entry = quincevalve_forwarding::servers::ServerEntry { start, ..entry(address) };
            world.world.store.put_server(&format!("server-{at}"), entry);
        }
        sleep(Duration::from_millis(300)).await;
        for at in 0..6 {
            let id = format!("none-{at}");
            let answer = world.send("/once/x", &id, "");
            let answer = tokio::time::timeout(Duration::from_secs(1), answer);
            let answer = answer.await.expect("a refusal at once");
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
            assert!(answer.contains("retry-after"), "{answer}");
        }
        let taken = metric(world.world.metrics, "quincevalve_taken_requests").await;
        assert_eq!(taken, Some(0));
    });
}

/// Requests of an account that asks for twice its burst.
const QUOTA_REQUESTS: usize = 40;
/// Difference in requests that the account's bucket may gain between two plays.
const QUOTA_TOLERANCE: usize = 2;

/// Returns how many of an account's requests at the second VM are served within its quota, and how many ran.
async fn served_within_quota(world: &mut PartitionedWorld) -> (usize, usize) {
    let mut served = 0;
    for at in 0..QUOTA_REQUESTS {
        let text = request("/once/x", &format!("quota-{at}"), "");
        let text = text.replace("x-key: key-1", "x-key: key-limited");
        let answer = exchange(world.vm.front, &text).await;
        served += usize::from(answer.starts_with("HTTP/1.1 200"));
        assert!(["HTTP/1.1 200", "HTTP/1.1 429"].iter().any(|it| answer.starts_with(it)));
    }
    let arrivals = world.world.drain_arrivals();
    let is_counted = |id: &str| id.starts_with("quota-");
    let ran = arrivals.iter().filter(|it| it.header("x-attempt").is_some_and(is_counted)).count();
    (served, ran)
}

// Guards against a quota that is charged at both VMs, or at none.
#[test]
fn the_quota_of_a_forwarded_request_is_charged_once() {
    run(async {
        let mut direct = PartitionedWorld::start().await;
        let (direct_served, direct_ran) = served_within_quota(&mut direct).await;
        let mut cut_off = PartitionedWorld::start_cut_off(reply_with_success).await;
        let (served, ran) = served_within_quota(&mut cut_off).await;
        assert!(
            (1..QUOTA_REQUESTS).contains(&direct_served),
            "{direct_served} of {QUOTA_REQUESTS}"
        );
        assert!(served.abs_diff(direct_served) <= QUOTA_TOLERANCE, "{served}, not {direct_served}");
        assert_eq!((direct_ran, ran), (direct_served, served));
    });
}

// Guards against a server that works on after the caller of a forwarded request has left.
#[test]
fn a_server_notices_that_the_caller_of_a_forwarded_request_left() {
    run(async {
        let mut world = PartitionedWorld::start_cut_off(|_, arrival| {
            if arrival.header("x-attempt") == Some("leaves") {
                Reply::SendAndWait(String::new())
            } else {
                Reply::Send(sealed(arrival, "200 OK", "done"))
            }
        })
        .await;
        let caller = tokio::task::spawn_local({
            let (front, text) = (world.vm.front, request("/once/x", "leaves", ""));
            async move { exchange(front, &text).await }
        });
        while world.arrivals_of("leaves") == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        caller.abort();
        let noticed =
            tokio::time::timeout(Duration::from_millis(500), world.world.disconnects.recv());
        assert!(noticed.await.is_ok(), "the server works on");
    });
}

// Guards against a truncated stream that looks complete because it came by way of a peer.
#[test]
fn a_stream_that_breaks_off_behind_a_peer_is_not_completed() {
    run(async {
        let world = PartitionedWorld::start_cut_off(|_, arrival| {
            if arrival.head.starts_with("POST /stream/") {
                let event = chunk("id: 1\ndata: t1\n\n");
                Reply::SendAndClose(stream_head(arrival) + &event)
            } else {
                Reply::Send(sealed(arrival, "200 OK", "done"))
            }
        })
        .await;
        let answer = world.send("/stream/x", "cut", "").await;
        assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("t1"), "{answer}");
        assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
    });
}
