use std::{future::Future, sync::Arc};

use http::{Method, Request};
use quincevalve_forwarding::{
    config::{CallerLimits, RetrySafety, Route, Service, Target},
    load::{Work, WorkSum},
    placement::Placement,
    rollout::scope::VersionScope,
    servers::ServerStart,
};
use rand::SeedableRng;
use tokio::task::{JoinHandle, LocalSet, spawn_local, yield_now};

use super::*;
use crate::{
    clock,
    node::Node,
    request::{identify::identify, server_selection::WorkGuard},
    store::sync::confirm_freshness,
    test_node,
};

const NOW: TimePoint = TimePoint::from_millis(1_000);

fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&rt.expect("a runtime"), test);
}

fn route(urgency: u8) -> Route {
    Route {
        name: format!("r-{urgency}").as_str().into(),
        host: "a.example".to_owned(),
        prefix: format!("/{urgency}/"),
        targets: vec![Target { service: "engines".into(), weight: 1 }],
        retry_safety: RetrySafety::Idempotent,
        timeout: Duration::from_secs(20),
        objective: Duration::from_secs(1),
        max_servers: 2,
        urgency,
        anonymous: true,
    }
}

fn config(urgencies: &[u8], engine: Option<Engine>) -> ForwardingConfig {
    let limits = CallerLimits {
        head_bytes: 16 << 10,
        body_bytes: 1_000,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let services = IndexMap::from([("engines".into(), Service { engine, ..Service::default() })]);
    let routes = urgencies.iter().map(|it| route(*it)).collect();
    ForwardingConfig::new(1, routes, services, IndexMap::new(), limits)
}

const ENGINE: Option<Engine> =
    Some(Engine { slots: 8, kv_tokens: 100_000, supports_migration: false });

fn identified(path: &str, tokens: &str) -> Rc<IdentifiedRequest> {
    identified_with(config(&[0, 2], ENGINE), path, tokens)
}

fn identified_with(config: ForwardingConfig, path: &str, tokens: &str) -> Rc<IdentifiedRequest> {
    let node = test_node::node("vm-1");
    node.apply_config(config);
    confirm_freshness(&node, clock::now());
    let req = Request::builder().method(Method::POST).uri(path).header("host", "a.example");
    let req =
        req.header("x-attempt", "id-1").header("x-tokens", tokens).body(()).expect("a request");
    Rc::new(identify(&node, &req, Instant::now()).expect("a known route"))
}

/// Lets a request wait and returns its future's result once it ends.
async fn start_waiting(
    waiting: &Rc<WaitingRequests>,
    choice: VersionChoice,
) -> JoinHandle<WaitResult> {
    let (waiting, req) = (waiting.clone(), identified("/2/", "100,10"));
    let task = spawn_local(async move {
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(1));
        waiting.wait(&req, &[], &choice, Duration::from_millis(50), &rng, NOW).await
    });
    yield_now().await;
    task
}

/// Runs a pass whose attempts fail with `error`, and returns the choices of the waiting requests.
fn pass(
    waiting: &WaitingRequests,
    retry_choice: &VersionChoice,
    error: PlacementError,
) -> Vec<VersionChoice> {
    let rng = RefCell::new(Pcg64Mcg::seed_from_u64(1));
    let mut choices = Vec::new();
    waiting.run_pass(
        NOW,
        &rng,
        1,
        |_| retry_choice.clone(),
        |_| None,
        |waiter, _| {
            choices.push(waiter.choice.clone());
            Err(error)
        },
    );
    choices
}

fn busy() -> PlacementError {
    PlacementError::Busy { predicted: Duration::from_millis(50) }
}

// Guards against a waiting request that goes to a version that was halted meanwhile, and against canaries that lose their
// version whenever a pass runs.
#[test]
fn a_change_of_a_rollout_reaches_waiting_requests() {
    run(async {
        let waiting = Rc::new(WaitingRequests::default());
        let canary = VersionChoice::One(Arc::new(VersionScope::Only("v2".into())));
        let without_new = VersionChoice::One(Arc::new(VersionScope::Except(vec!["v2".into()])));
        let task = start_waiting(&waiting, canary.clone()).await;
        let during_rollout = VersionChoice::Any;
        for _ in 0..2 {
            assert_eq!(pass(&waiting, &during_rollout, busy()), std::slice::from_ref(&canary));
        }
        assert_eq!(pass(&waiting, &without_new, busy()), [without_new]);
        task.abort();
    });
}

// Guards against a request that waits for capacity while all servers rest: it gets the answer that it would get without
// a queue, and doesn't keep others from being tried.
#[test]
fn a_request_leaves_the_queue_if_servers_rest() {
    run(async {
        let waiting = Rc::new(WaitingRequests::default());
        let tasks = [
            start_waiting(&waiting, VersionChoice::Any).await,
            start_waiting(&waiting, VersionChoice::Any).await,
        ];
        let resting = PlacementError::Resting { wait: Duration::from_millis(300) };
        assert_eq!(pass(&waiting, &VersionChoice::Any, resting).len(), 2);
        for task in tasks {
            let result = task.await.expect("a result");
            assert!(matches!(result, WaitResult::Unplaceable(it) if it == resting));
        }
        assert!(waiting.is_empty());
    });
}

/// A server found by an attempt, without an entry in the table of servers.
fn found(node: &Rc<Node>) -> FoundServer {
    let place = Placement {
        server: "server-1".into(),
        start: ServerStart(1),
        version: "v1".into(),
        work: Work::default(),
        affinity: None,
        predicted: Duration::from_millis(50),
        baseline: None,
        known_load: WorkSum::default(),
        peer_report_age: Duration::ZERO,
        unlisted_for: None,
    };
    let guard = WorkGuard::new(node, &place);
    FoundServer { place, guard, waited: Duration::ZERO }
}

// Guards against a request that is refused because all servers rest except the one at which this VM has used up its
// share of the slots for the moment.
#[test]
fn a_request_waits_for_this_vms_share_while_other_servers_rest() {
    run(async {
        let waiting = Rc::new(WaitingRequests::default());
        let tasks = [
            start_waiting(&waiting, VersionChoice::Any).await,
            start_waiting(&waiting, VersionChoice::Any).await,
        ];
        let node = Rc::new(test_node::node("vm-1"));
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(1));
        // With as many VMs as slots, the share is one start.
        waiting.run_pass(
            NOW,
            &rng,
            8,
            |_| VersionChoice::Any,
            |_| None,
            |_, attempt| {
                if attempt.excluded.is_empty() {
                    return Ok(found(&node));
                }
                Err(PlacementError::Resting { wait: Duration::from_millis(300) })
            },
        );
        assert_eq!(waiting.counts(), [("engines".into(), 1)]);
        tasks.iter().for_each(JoinHandle::abort);
    });
}

// Guards against requests that wait instead of being refused soon where an order by urgency makes no difference.
#[test]
fn only_engines_with_routes_of_different_urgencies_have_a_queue() {
    let service = "engines".into();
    assert!(has_queue(&config(&[0, 2], ENGINE), &service));
    assert!(!has_queue(&config(&[1, 1], ENGINE), &service));
    assert!(!has_queue(&config(&[], ENGINE), &service));
    assert!(!has_queue(&config(&[0, 2], None), &service));
    assert!(!has_queue(&config(&[0, 2], ENGINE), &"other".into()));
}

// Guards against a metric that keeps its last value when a change of the configuration ends a queue.
#[test]
fn a_queue_that_the_configuration_ends_is_still_counted() {
    run(async {
        let waiting = Rc::new(WaitingRequests::default());
        let task = start_waiting(&waiting, VersionChoice::Any).await;
        let mut without_queue = config(&[2], ENGINE);
        without_queue.version = 2;
        assert!(!waiting.is_enabled(&identified_with(without_queue, "/2/", "100,10")));
        assert_eq!(waiting.counts(), [("engines".into(), 1)]);
        task.abort();
        assert!(task.await.is_err());
        assert_eq!(waiting.counts(), [("engines".into(), 0)]);
    });
}

// Guards against a stream that starts so late that its deadline cuts it off.
#[test]
fn the_wait_leaves_time_for_the_whole_answer() {
    run(async {
        let left = |tokens| {
            let req = identified("/2/", tokens);
            req.deadline - first_answer_deadline(&req)
        };
        // Of the maximum number of tokens, half are expected.
        let expected = seconds(step_ms(8) * 1_000.0 / 1_000.0);
        assert_eq!(left("100,2000"), expected);
        assert_eq!(left("none"), Duration::ZERO);
        assert_eq!(left("100,100000"), Duration::from_secs(10));
    });
}
