//! The signals that a server sets in its answers (limit, leaving, rest) bound the requests that it gets afterwards.

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

/// Metric: number of servers that signal a limit.
const LIMITED_SERVERS_METRIC: &str = "quincevalve_limited_servers";
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time between an answer to a caller and the caller's next request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// Time for which callers send requests.
const LOAD_DURATION: Duration = Duration::from_secs(6);
/// Maximum time from an answer that a VM forwards until the VM obeys the signals in it.
const SIGNAL_DELAY: Duration = Duration::from_millis(500);
/// Length of the windows in which arrivals are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Tolerated multiple of the limit; [`LIMIT_SLACK`] is added to it.
const LIMIT_FACTOR: f64 = 1.5;
/// Tolerated number of requests in a window beyond the multiple of the limit.
const LIMIT_SLACK: f64 = 5.0;

/// Maximum time from an answer with a leaving signal that a VM forwards until the VM sends the server nothing more.
const MAX_LEAVING_DELAY: Duration = Duration::from_secs(2);
/// Rest that the rejecting server signals.
const REST: Duration = Duration::from_secs(3);
/// Maximum number of requests that one VM may send to a server during its rest.
const MAX_REQUESTS_IN_REST: usize = 2;

/// Starts two more VMs and waits until all three know each other.
async fn start_two_more_vms(world: &World) -> [Vm; 2] {
    let other_vms = [
        Vm::start("vm-2", world.store.for_another_vm()).await,
        Vm::start("vm-3", world.store.for_another_vm()).await,
    ];
    for metrics in [world.metrics, other_vms[0].metrics, other_vms[1].metrics] {
        while metric(metrics, "quincevalve_vms").await != Some(3) {
            sleep(POLL_INTERVAL).await;
        }
    }
    other_vms
}

/// Answers to the callers by request id, each with the time at which the caller received it.
type Answers = Rc<RefCell<HashMap<String, (Instant, String)>>>;

/// Runs one caller per VM that sends one request after the other. Request ids begin with the number of the VM.
async fn run_callers(fronts: &[std::net::SocketAddr], path: &'static str) -> Answers {
    let answers = Answers::default();
    let end = Instant::now() + LOAD_DURATION;
    let callers = fronts.iter().enumerate().map(|(vm, front)| {
        let (front, answers) = (*front, answers.clone());
        spawn_local(async move {
            for at in 0.. {
                let id = format!("{vm}-{at}");
                let answer = exchange(front, &request(path, &id, "")).await;
                answers.borrow_mut().insert(id, (Instant::now(), answer));
                sleep(REQUEST_INTERVAL).await;
                if Instant::now() >= end {
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

/// Returns, for each VM, when it forwarded the first answer with a header.
fn first_answers_with(answers: &Answers, header: &str) -> HashMap<String, Instant> {
    let mut first: HashMap<String, Instant> = HashMap::new();
    for (id, (at, answer)) in answers.borrow().iter() {
        if answer.contains(header) {
            let earliest = first.entry(vm_of(id).to_owned()).or_insert(*at);
            *earliest = (*earliest).min(*at);
        }
    }
    first
}

/// Returns the maximum number of requests within [`LIMIT_WINDOW`] that VMs sent to a server after they knew its limit.
///
/// `signalled_at` maps a VM to the time at which it forwarded the first answer with the limit.
fn max_arrivals_in_window(
    arrivals: &[Arrival],
    server: usize,
    signalled_at: &HashMap<String, Instant>,
) -> usize {
    let counts = |it: &&Arrival| {
        let vm = it.header("x-attempt").map(vm_of).unwrap_or_default();
        it.server == server && signalled_at.get(vm).is_some_and(|at| it.at >= *at + SIGNAL_DELAY)
    };
    let times: Vec<_> = arrivals.iter().filter(counts).map(|it| it.at).collect();
    let within = |from: &Instant| {
        times.iter().filter(|it| (*from..*from + LIMIT_WINDOW).contains(it)).count()
    };
    times.iter().map(within).max().unwrap_or_default()
}

// Guards against several VMs that each send a server as many requests as without a limit, though its answers signal how
// few it accepts from all of them together.
#[test]
fn requests_of_all_vms_together_stay_within_a_servers_limit() {
    run(async {
        const LIMIT: f64 = 1.2;
        let script = |_, it: &Arrival| {
            let more = if it.server == 0 { "x-limit: 1.2\r\n" } else { "" };
            Reply::Send(sealed_with(it, "200 OK", more, "done"))
        };
        let mut world = World::start(2, script).await;
        let other_vms = start_two_more_vms(&world).await;
        let answers =
            run_callers(&[world.front, other_vms[0].front, other_vms[1].front], "/once/7").await;
        let max = max_arrivals_in_window(
            &world.drain_arrivals(),
            0,
            &first_answers_with(&answers, "x-limit"),
        );
        let allowed = LIMIT * LIMIT_WINDOW.as_secs_f64() * LIMIT_FACTOR + LIMIT_SLACK;
        assert!(max as f64 <= allowed, "{max} requests, allowed {allowed}");
        let served = answers.borrow().values().filter(|(_, it)| it.contains(" 200 OK")).count();
        assert_eq!(served, answers.borrow().len(), "the other server has capacity for all");
    });
}

// Guards against a VM that treats a limited server as healthy because it got no answer of it, until its own requests
// have added to the overload. Only the first VM gets requests here.
#[test]
fn a_limit_reaches_vms_that_got_no_answer_of_the_server() {
    run(async {
        let limit = Rc::new(Cell::new("x-limit: 1.2\r\n"));
        let current_limit = limit.clone();
        let script = move |_, it: &Arrival| {
            Reply::Send(sealed_with(it, "200 OK", current_limit.get(), "done"))
        };
        let world = World::start(1, script).await;
        let other_vms = start_two_more_vms(&world).await;
        let all = [world.metrics, other_vms[0].metrics, other_vms[1].metrics];
        for (header, limited) in [("x-limit: 1.2\r\n", 1), ("", 0)] {
            limit.set(header);
            while metric(world.metrics, LIMITED_SERVERS_METRIC).await != Some(limited) {
                world.send("/once/7", "id-1", "").await;
                sleep(POLL_INTERVAL).await;
            }
            for metrics in all {
                while metric(metrics, LIMITED_SERVERS_METRIC).await != Some(limited) {
                    sleep(POLL_INTERVAL).await;
                }
            }
        }
    });
}

// Guards against requests to a server that signalled that it leaves, while its entry is still listed as not
// draining. The entry is written once more meanwhile, still not draining.
#[test]
fn a_server_that_signals_leaving_gets_no_more_requests() {
    run(async {
        let script = |_, it: &Arrival| {
            let more = if it.server == 0 { "x-leaving: 1\r\n" } else { "" };
            Reply::Send(sealed_with(it, "200 OK", more, "done"))
        };
        let mut world = World::start(2, script).await;
        let other_vms = start_two_more_vms(&world).await;
        let (store, stale) = (world.store.clone(), entry(world.servers[0]));
        spawn_local(async move {
            sleep(LOAD_DURATION / 2).await;
            store.put_server("server-0", ServerEntry { slots: 32, ..stale });
        });
        let answers =
            run_callers(&[world.front, other_vms[0].front, other_vms[1].front], "/once/7").await;
        let signalled_at = first_answers_with(&answers, "x-leaving");
        let late = |it: &&Arrival| {
            let vm = it.header("x-attempt").map(vm_of).unwrap_or_default();
            it.server == 0 && signalled_at.get(vm).is_some_and(|at| it.at > *at + MAX_LEAVING_DELAY)
        };
        assert_eq!(
            world.drain_arrivals().iter().filter(late).count(),
            0,
            "requests to a leaving server"
        );
        let served = answers.borrow().values().filter(|(_, it)| it.contains(" 200 OK")).count();
        assert_eq!(served, answers.borrow().len(), "the other server has capacity for all");
    });
}

// Guards against a VM that sends the next request at once to a server that rejected one and asked for some seconds of
// rest.
#[test]
fn a_server_that_signals_rest_gets_few_requests_during_it() {
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
        let other_vms = start_two_more_vms(&world).await;
        let answers =
            run_callers(&[world.front, other_vms[0].front, other_vms[1].front], "/once/7").await;
        let rejected: Vec<_> =
            world.drain_arrivals().into_iter().filter(|it| it.server == 0).collect();
        let in_rest = |first: &Arrival| {
            let vm = |it: &Arrival| vm_of(it.header("x-attempt").unwrap_or_default()).to_owned();
            let rest = first.at + SIGNAL_DELAY..first.at + REST;
            rejected.iter().filter(|it| vm(it) == vm(first) && rest.contains(&it.at)).count()
        };
        let max = rejected.iter().map(in_rest).max().unwrap_or_default();
        assert!(!rejected.is_empty() && max <= MAX_REQUESTS_IN_REST, "{max} requests in a rest");
        let served = answers.borrow().values().filter(|(_, it)| it.contains(" 200 OK")).count();
        assert_eq!(served, answers.borrow().len(), "the other server has capacity for all");
    });
}
