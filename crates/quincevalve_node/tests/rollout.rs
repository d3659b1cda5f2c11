//! A service that is moved to another version: whole processes, scripted servers of two versions, and operators.

mod support;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use quincevalve_forwarding::{
    rollout::record::{OrderId, Phase, RollbackCause, RolloutOrder, RolloutRecord},
    servers::ServerEntry,
};
use quincevalve_node::ports::RolloutState;
use support::{
    Arrival, FakeStore, Reply, Vm, World, entry, exchange, metric, request, run, sealed,
};
use tokio::time::{Instant, sleep};

/// Servers of the version that serves before; as many are of the other.
const OLD: usize = 4;
/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(5);
/// What a test waits for happens long before.
const LONG: Duration = Duration::from_secs(30);
/// Turns of sixty requests without one for the new version after which it gets none any more: it gets a tenth of them
/// otherwise.
const QUIET_TURNS: usize = 20;
/// What is told reaches other VMs within this time.
const TOLD: Duration = Duration::from_millis(500);

fn order(seconds: u64) -> RolloutOrder {
    RolloutOrder { id: OrderId::default(), to: "v2".into(), duration: Duration::from_secs(seconds) }
}

/// Orders the other version, whose servers are there at once.
fn begin(world: &World, seconds: u64) {
    world.store.order_rollout("engines", Some(order(seconds)));
    for at in OLD..2 * OLD {
        let entry = ServerEntry { version: "v2".into(), ..entry(world.servers[at]) };
        world.store.change(&format!("server-{at}"), entry);
    }
}

fn is_new(arrival: &Arrival) -> bool {
    arrival.server >= OLD
}

/// Answers well whatever the version.
fn good(_: usize, arrival: &Arrival) -> Reply {
    Reply::Send(sealed(arrival, "200 OK", "done"))
}

/// The new version fails each request.
fn bad(_: usize, arrival: &Arrival) -> Reply {
    let status = if is_new(arrival) { "500 Internal Server Error" } else { "200 OK" };
    Reply::Send(sealed(arrival, status, "done"))
}

fn last_state(store: &FakeStore) -> Option<RolloutState> {
    store.statuses().last().map(|it| it.state)
}

/// Asks until the roll-out has come to a state, and returns what arrived until then.
async fn ask_until(
    world: &mut World,
    fronts: &[std::net::SocketAddr],
    state: RolloutState,
) -> Vec<Arrival> {
    let until = Instant::now() + LONG;
    let mut arrived = Vec::new();
    for number in 0.. {
        if last_state(&world.store) == Some(state) {
            break;
        }
        assert!(Instant::now() < until, "{:?}", world.store.statuses());
        let text = request("/once/a", &format!("id-{number}"), "");
        exchange(fronts[number % fronts.len()], &text).await;
        arrived.extend(world.arrived());
    }
    arrived
}

async fn servers_asked(
    world: &mut World,
    front: std::net::SocketAddr,
    prefix: &str,
) -> Vec<Arrival> {
    for number in 0..60 {
        exchange(front, &request("/once/a", &format!("{prefix}-{number}"), "")).await;
    }
    world.arrived()
}

async fn until(condition: impl Fn() -> bool) {
    let end = Instant::now() + LONG;
    while !condition() {
        assert!(Instant::now() < end, "it never came");
        sleep(LOOK).await;
    }
}

#[test]
fn a_good_version_takes_all_requests_over_and_is_completed() {
    run(async {
        let mut world = World::start(2 * OLD, good).await;
        begin(&world, 6);
        let fronts = [world.front];
        ask_until(&mut world, &fronts, RolloutState::Completed).await;
        let states: Vec<_> = world.store.statuses().iter().map(|it| it.state).collect();
        assert_eq!(states.first(), Some(&RolloutState::Active), "{states:?}");
        let front = world.front;
        let after = servers_asked(&mut world, front, "after").await;
        assert!(after.iter().all(is_new), "the old version was asked after it may have stopped");
    });
}

// A bad version's servers are still there when it is rolled back: they leave some seconds later.
#[test]
fn a_bad_version_gets_nothing_more_once_it_is_rolled_back() {
    run(async {
        let mut world = World::start(2 * OLD, bad).await;
        begin(&world, 20);
        let fronts = [world.front];
        let arrived = ask_until(&mut world, &fronts, RolloutState::RolledBack).await;
        let exposed = arrived.iter().filter(|it| is_new(it)).count();
        let allowed = 0.1 * arrived.len() as f64 + EXPOSURE_SLACK;
        assert!(exposed as f64 <= allowed, "{exposed} of {} went there", arrived.len());
        let front = world.front;
        let after = servers_asked(&mut world, front, "after").await;
        assert!(!after.iter().any(is_new), "a request went to the bad version");
    });
}

/// Requests that a version may get beyond its share, over all VMs, in the tests' settings.
const EXPOSURE_SLACK: f64 = 50.0;

// A VM that starts while the bad version's servers still stand in the list uses them.
#[test]
fn a_vm_that_starts_later_sends_nothing_to_a_bad_version() {
    run(async {
        let mut world = World::start(2 * OLD, bad).await;
        begin(&world, 20);
        let fronts = [world.front];
        ask_until(&mut world, &fronts, RolloutState::RolledBack).await;
        let other = Vm::start("vm-2", world.store.for_another_vm()).await;
        world.arrived();
        let after = servers_asked(&mut world, other.front, "late").await;
        assert!(!after.iter().any(is_new), "a request went to the bad version");
    });
}

// The store is silent, so no record says that the version is bad: each VM sends it its share until the end.
#[test]
fn a_bad_version_is_kept_from_requests_while_the_store_is_silent() {
    run(async {
        let failing = Rc::new(Cell::new(false));
        let fails = failing.clone();
        let script = move |_: usize, arrival: &Arrival| {
            let is_bad = fails.get() && is_new(arrival);
            let status = if is_bad { "500 Internal Server Error" } else { "200 OK" };
            Reply::Send(sealed(arrival, status, "done"))
        };
        let mut world = World::start(2 * OLD, script).await;
        let other = Vm::start("vm-2", world.store.for_another_vm()).await;
        for metrics in [world.metrics, other.metrics] {
            while metric(metrics, "quincevalve_vms").await != Some(2) {
                sleep(LOOK).await;
            }
        }
        begin(&world, 60);
        let store = world.store.clone();
        until(|| last_state(&store) == Some(RolloutState::Active)).await;
        sleep(TOLD).await;
        world.store.fall_silent();
        failing.set(true);
        let front = world.front;
        let end = Instant::now() + LONG;
        let mut quiet_turns = 0;
        for turn in 0.. {
            let newest = servers_asked(&mut world, front, &format!("turn-{turn}")).await;
            quiet_turns = if newest.iter().any(is_new) { 0 } else { quiet_turns + 1 };
            if quiet_turns == QUIET_TURNS {
                break;
            }
            assert!(Instant::now() < end, "the bad version still gets requests");
            sleep(LOOK).await;
        }
        sleep(TOLD).await;
        let elsewhere = servers_asked(&mut world, other.front, "other").await;
        assert!(!elsewhere.iter().any(is_new), "the other VM was not told");
    });
}

// The order is removed while both versions serve: operators mean that it is not to go on.
#[test]
fn a_removed_order_is_taken_back() {
    run(async {
        let world = World::start(2 * OLD, good).await;
        begin(&world, 60);
        let store = world.store.clone();
        until(|| last_state(&store) == Some(RolloutState::Active)).await;
        world.store.order_rollout("engines", None);
        until(|| last_state(&store) == Some(RolloutState::RolledBack)).await;
    });
}

// Operators write an order for the version that serves already.
#[test]
fn an_order_for_the_version_that_serves_is_completed_at_once() {
    run(async {
        let world = World::start(OLD, good).await;
        let order = RolloutOrder { to: "v1".into(), ..order(60) };
        world.store.order_rollout("engines", Some(order));
        let store = world.store.clone();
        until(|| last_state(&store) == Some(RolloutState::Completed)).await;
    });
}

#[test]
fn an_order_without_time_is_rolled_back_at_once() {
    run(async {
        let world = World::start(2 * OLD, good).await;
        begin(&world, 0);
        let store = world.store.clone();
        until(|| last_state(&store) == Some(RolloutState::RolledBack)).await;
    });
}

// No server of the version comes: the order must end all the same, and the old version serves on.
#[test]
fn an_order_whose_servers_never_come_is_rolled_back() {
    run(async {
        let mut world = World::start(OLD, good).await;
        world.store.order_rollout("engines", Some(order(3)));
        let fronts = [world.front];
        let arrived = ask_until(&mut world, &fronts, RolloutState::RolledBack).await;
        assert!(!arrived.is_empty());
    });
}

// Answers of writes are lost: whether the word was written is unknown, and must not be guessed.
#[test]
fn each_state_is_told_in_order() {
    run(async {
        let mut world = World::start(2 * OLD, good).await;
        let seen: Rc<RefCell<Vec<RolloutState>>> = Rc::default();
        begin(&world, 6);
        let fronts = [world.front];
        ask_until(&mut world, &fronts, RolloutState::Completed).await;
        seen.borrow_mut().extend(world.store.statuses().iter().map(|it| it.state));
        let is_final = |it: &RolloutState| *it != RolloutState::Active;
        let first_final = seen.borrow().iter().position(is_final);
        assert_eq!(first_final, Some(seen.borrow().len() - 1), "{:?}", seen.borrow());
    });
}

/// Begins a roll-out while others write something just before its first word, and returns the words of some time after.
async fn words_after(write: impl FnOnce(&FakeStore) + 'static) -> Vec<RolloutState> {
    let world = World::start(2 * OLD, good).await;
    world.store.before_next_word(write);
    begin(&world, 60);
    let store = world.store.clone();
    until(|| store.was_written_between()).await;
    sleep(TOLD).await;
    world.store.statuses().iter().map(|it| it.state).collect()
}

// A holder of the duties is frozen between its reading and its writing, and another takes them over meanwhile.
#[test]
fn who_holds_the_duties_no_longer_writes_no_word() {
    run(async {
        let words = words_after(|store| store.put("duty/holder", b"another".to_vec())).await;
        assert_eq!(words, []);
    });
}

// Another holder took the version back between the reading and the writing of this one.
#[test]
fn a_word_is_not_written_over_a_record_that_was_written_in_between() {
    run(async {
        let words = words_after(|store| {
            let order = store.order_of("engines").expect("an order");
            let phase = Phase::RolledBack(RollbackCause::Failures);
            let record = RolloutRecord { phase, ..RolloutRecord::first(&order, 0) };
            store.put("rollout/engines", serde_json::to_vec(&record).expect("a record"));
        });
        assert_eq!(words.await, []);
    });
}

// Operators remove the order between the reading and the writing.
#[test]
fn no_word_is_written_about_an_order_that_was_removed_in_between() {
    run(async {
        let words = words_after(|store| store.order_rollout("engines", None)).await;
        assert!(!words.contains(&RolloutState::Active), "{words:?}");
    });
}
