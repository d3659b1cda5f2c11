//! What a server says of itself in its answers, and what reaches it afterwards.

mod support;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use quincevalve_forwarding::servers::ServerEntry;
use support::{
    Arrival, Reply, Vm, World, entry, exchange, metric, request, run, sealed, sealed_with,
};
use tokio::{task::spawn_local, time::sleep};

/// The metric that counts servers that name a limit.
const LIMITED: &str = "quincevalve_limited_servers";
/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(5);
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(15);
/// How long callers ask.
const ASKING: Duration = Duration::from_secs(6);
/// From an answer that a VM passes on until what it says binds the VM.
const HEARD: Duration = Duration::from_millis(500);
/// The span over which arrivals are counted, and what may come beyond the limit: a factor and a number.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// From an answer that a VM passes on until its callers' requests no longer reach a server that leaves by it.
const LEAVING_TIME: Duration = Duration::from_secs(2);
/// The rest for which the server of a test asks, and the requests that it may get from one VM in it.
const REST: Duration = Duration::from_secs(3);
const IN_REST: usize = 2;

/// Two more VMs, once all three know each other.
async fn two_more_vms(world: &World) -> [Vm; 2] {
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

/// What a caller of one VM was answered, with the time at which it had the answer, by the id of its request.
type Answers = Rc<RefCell<HashMap<String, (Instant, String)>>>;

/// A caller of each VM asks one thing after the other. The ids begin with the number of the VM.
async fn ask_all(fronts: &[std::net::SocketAddr], path: &'static str) -> Answers {
    let answers = Answers::default();
    let until = Instant::now() + ASKING;
    let callers = fronts.iter().enumerate().map(|(vm, front)| {
        let (front, answers) = (*front, answers.clone());
        spawn_local(async move {
            for at in 0.. {
                let id = format!("{vm}-{at}");
                let answer = exchange(front, &request(path, &id, "")).await;
                answers.borrow_mut().insert(id, (Instant::now(), answer));
                sleep(PAUSE).await;
                if Instant::now() >= until {
                    return;
                }
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("a caller that ends");
    }
    answers
}

fn vm_of(id: &str) -> &str {
    id.split('-').next().unwrap_or_default()
}

/// When each VM passed on the first answer with a header.
fn first_passed_on(answers: &Answers, header: &str) -> HashMap<String, Instant> {
    let mut first: HashMap<String, Instant> = HashMap::new();
    for (id, (at, answer)) in answers.borrow().iter() {
        if answer.contains(header) {
            let known = first.entry(vm_of(id).to_owned()).or_insert(*at);
            *known = (*known).min(*at);
        }
    }
    first
}

/// The most arrivals at a server within the span of a limit, of VMs that had passed on an answer that names it.
fn most_in_span(arrivals: &[Arrival], server: usize, told: &HashMap<String, Instant>) -> usize {
    let counts = |it: &&Arrival| {
        let vm = it.header("x-attempt").map(vm_of).unwrap_or_default();
        it.server == server && told.get(vm).is_some_and(|told| it.at >= *told + HEARD)
    };
    let times: Vec<_> = arrivals.iter().filter(counts).map(|it| it.at).collect();
    let within =
        |from: &Instant| times.iter().filter(|it| (*from..*from + LIMIT_SPAN).contains(it)).count();
    times.iter().map(within).max().unwrap_or_default()
}

// Several VMs each send a server all that they would send it anyway, though it names in its answers how little it takes.
#[test]
fn a_server_that_names_a_limit_gets_no_more_of_all_vms_together() {
    run(async {
        const LIMIT: f64 = 1.2;
        let script = |_, it: &Arrival| {
            let more = if it.server == 0 { "x-limit: 1.2\r\n" } else { "" };
            Reply::Send(sealed_with(it, "200 OK", more, "done"))
        };
        let mut world = World::start(2, script).await;
        let others = two_more_vms(&world).await;
        let answers = ask_all(&[world.front, others[0].front, others[1].front], "/once/7").await;
        let most = most_in_span(&world.arrived(), 0, &first_passed_on(&answers, "x-limit"));
        let allowed = LIMIT * LIMIT_SPAN.as_secs_f64() * LIMIT_FACTOR + LIMIT_SLACK;
        assert!(most as f64 <= allowed, "{most} requests, allowed {allowed}");
        let served = answers.borrow().values().filter(|(_, it)| it.contains(" 200 OK")).count();
        assert_eq!(served, answers.borrow().len(), "the other server has room for all");
    });
}

// A VM that no caller asked goes on as if a server were well, until its own requests have made matters worse there.
#[test]
fn a_limit_is_known_to_vms_that_the_server_did_not_answer() {
    run(async {
        let limit = Rc::new(Cell::new("x-limit: 1.2\r\n"));
        let named = limit.clone();
        let script =
            move |_, it: &Arrival| Reply::Send(sealed_with(it, "200 OK", named.get(), "done"));
        let world = World::start(1, script).await;
        let others = two_more_vms(&world).await;
        let all = [world.metrics, others[0].metrics, others[1].metrics];
        for (header, limited) in [("x-limit: 1.2\r\n", 1), ("", 0)] {
            limit.set(header);
            while metric(world.metrics, LIMITED).await != Some(limited) {
                world.ask("/once/7", "id-1", "").await;
                sleep(LOOK).await;
            }
            for metrics in all {
                while metric(metrics, LIMITED).await != Some(limited) {
                    sleep(LOOK).await;
                }
            }
        }
    });
}

// Requests go on to a server that has said in its answers that it leaves, for as long as its entry stands in the list.
#[test]
fn a_server_that_says_that_it_leaves_gets_nothing_more() {
    run(async {
        let script = |_, it: &Arrival| {
            let more = if it.server == 0 { "x-leaving: 1\r\n" } else { "" };
            Reply::Send(sealed_with(it, "200 OK", more, "done"))
        };
        let mut world = World::start(2, script).await;
        let others = two_more_vms(&world).await;
        let (store, stale) = (world.store.clone(), entry(world.servers[0]));
        spawn_local(async move {
            sleep(ASKING / 2).await;
            store.change("server-0", ServerEntry { slots: 32, ..stale });
        });
        let answers = ask_all(&[world.front, others[0].front, others[1].front], "/once/7").await;
        let told = first_passed_on(&answers, "x-leaving");
        let late = |it: &&Arrival| {
            let vm = it.header("x-attempt").map(vm_of).unwrap_or_default();
            it.server == 0 && told.get(vm).is_some_and(|told| it.at > *told + LEAVING_TIME)
        };
        assert_eq!(
            world.arrived().iter().filter(late).count(),
            0,
            "requests to a server that leaves"
        );
        let served = answers.borrow().values().filter(|(_, it)| it.contains(" 200 OK")).count();
        assert_eq!(served, answers.borrow().len(), "the other server has room for all");
    });
}

// A server that turns a request away and asks for some seconds of rest gets the next one of the same VM at once.
#[test]
fn a_server_that_wants_rest_gets_it() {
    run(async {
        let script = |_, it: &Arrival| {
            if it.server == 0 {
                let id = it.header("x-attempt").unwrap_or_default();
                let head = "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\nx-rest: 3\r\n";
                return Reply::Send(format!("{head}x-attempt: {id}\r\ncontent-length: 0\r\n\r\n"));
            }
            Reply::Send(sealed(it, "200 OK", "done"))
        };
        let mut world = World::start(2, script).await;
        let others = two_more_vms(&world).await;
        let answers = ask_all(&[world.front, others[0].front, others[1].front], "/once/7").await;
        let turned_away: Vec<_> = world.arrived().into_iter().filter(|it| it.server == 0).collect();
        let in_rest = |first: &Arrival| {
            let vm = |it: &Arrival| vm_of(it.header("x-attempt").unwrap_or_default()).to_owned();
            let rest = first.at + HEARD..first.at + REST;
            turned_away.iter().filter(|it| vm(it) == vm(first) && rest.contains(&it.at)).count()
        };
        let most = turned_away.iter().map(in_rest).max().unwrap_or_default();
        assert!(!turned_away.is_empty() && most <= IN_REST, "{most} requests in a rest");
        let served = answers.borrow().values().filter(|(_, it)| it.contains(" 200 OK")).count();
        assert_eq!(served, answers.borrow().len(), "the other server has room for all");
    });
}
