//! A request that ends each server that runs it: by which ways it is kept from servers, and how each VM knows.

mod support;

use std::{cell::Cell, collections::HashSet, rc::Rc, time::Duration};

use quincevalve_forwarding::servers::ServerEntry;
use support::{
    Arrival, FakeStore, LAST_CHUNK, Reply, Vm, World, entry, events, exchange, metric, request,
    run, sealed, stream_head,
};
use tokio::{sync::Notify, task::spawn_local, time::sleep};

/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(5);
/// Callers come back this long after an answer that broke off.
const PAUSE: Duration = Duration::from_millis(350);
/// Servers that may end under a request before it has to be known for it, and how often it may be sent after that.
const ENDS_AND_SENDINGS: usize = 3 + 3;
/// Attempts; each would end a server.
const ATTEMPTS: usize = 12;
/// Where quarantined requests stand in the store.
const QUARANTINE: &str = "quarantine/";

/// Ends the server under the poison request and answers all others.
fn script(_: usize, arrival: &Arrival) -> Reply {
    if is_poison(arrival) {
        return Reply::SendAndExit(stream_head(arrival) + &events(1..=1));
    }
    Reply::Send(sealed(arrival, "200 OK", "done"))
}

fn is_poison(arrival: &Arrival) -> bool {
    arrival.head.contains("/poison HTTP/1.1")
}

/// The same, but the attempt `held` gets `first` and is held until the word. Its server lives on whatever else it runs.
fn holding(
    first: fn(&Arrival) -> String,
    word: Rc<Notify>,
) -> impl Fn(usize, &Arrival) -> Reply + 'static {
    let holds = Cell::new(None);
    move |number, arrival| {
        if arrival.header("x-attempt") == Some("held") {
            holds.set(Some(arrival.server));
            return Reply::SendAndCloseOnNotify(first(arrival), word.clone());
        }
        if holds.get() == Some(arrival.server) {
            return Reply::SendAndClose(String::new());
        }
        script(number, arrival)
    }
}

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

/// Repeats the request until it is quarantined.
async fn until_quarantined(world: &World, path: &str) {
    for at in 0..ATTEMPTS {
        if !world.store.items_with_prefix(QUARANTINE).is_empty() {
            return;
        }
        world.send(path, &format!("id-{at}"), "").await;
        sleep(PAUSE).await;
    }
    panic!("it is not quarantined");
}

/// Makes the next trial of the quarantined request due.
fn make_trial_due(store: &FakeStore) {
    let item = &store.items_with_prefix(QUARANTINE)[0];
    store.put_item(&item.key, br#"{"trials":0,"until_ms":0}"#.to_vec());
}

fn is_withheld(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 503")
        && answer.contains("quarantined")
        && answer.contains("retry-after: ")
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
        let others = two_more_vms(&world).await;
        let fronts = [world.front, others[0].front, others[1].front];
        for at in 0..ATTEMPTS {
            let text = request("/stream/poison", &format!("id-{at}"), "");
            exchange(fronts[at % fronts.len()], &text).await;
            sleep(PAUSE).await;
        }
        let sent = world.drain_arrivals().len();
        assert!(sent <= ENDS_AND_SENDINGS, "sent {sent} times, and each ended a server");
    });
}

// The caller gets a final answer at once: it was not sent, and how long it need not come back. Other requests of the same
// route and account are served.
#[test]
fn the_caller_is_told_at_once_and_others_are_served() {
    run(async {
        let mut world = World::start(5, script).await;
        until_quarantined(&world, "/once/poison").await;
        world.drain_arrivals();
        let answer = world.send("/once/poison", "id-late", "").await;
        assert!(is_withheld(&answer), "{answer}");
        assert!(world.drain_arrivals().is_empty());
        assert!(world.send("/once/7", "id-other", "").await.starts_with("HTTP/1.1 200"));
    });
}

// A safe request lost its first server's answer, and was quarantined meanwhile: it goes to no second server, and since it
// may have run its caller isn't told that it hasn't.
#[test]
fn a_failed_sending_is_not_followed_by_another() {
    run(async {
        let word = Rc::new(Notify::new());
        let mut world = World::start(5, holding(|_| String::new(), word.clone())).await;
        let front = world.front;
        let held =
            spawn_local(async move { exchange(front, &request("/safe/poison", "held", "")).await });
        while world.arrivals.try_recv().is_err() {
            sleep(LOOK).await;
        }
        until_quarantined(&world, "/safe/poison").await;
        world.drain_arrivals();
        word.notify_waiters();
        let answer = held.await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        assert!(world.drain_arrivals().is_empty());
    });
}

// A stream that may be resumed broke off, and was quarantined meanwhile: it is not resumed at another server.
#[test]
fn a_broken_stream_is_not_resumed() {
    run(async {
        let word = Rc::new(Notify::new());
        let first = |it: &Arrival| stream_head(it) + &events(1..=1);
        let mut world = World::start(5, holding(first, word.clone())).await;
        let front = world.front;
        let held =
            spawn_local(
                async move { exchange(front, &request("/resumable/poison", "held", "")).await },
            );
        while world.arrivals.try_recv().is_err() {
            sleep(LOOK).await;
        }
        until_quarantined(&world, "/resumable/poison").await;
        world.drain_arrivals();
        word.notify_waiters();
        let answer = held.await.expect("an answer");
        assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
        assert!(world.drain_arrivals().is_empty());
    });
}

// Its engine is taken back, and the run would be moved: the other engine would end too. It stays where it is.
#[test]
fn a_run_is_not_moved() {
    run(async {
        let word = Rc::new(Notify::new());
        let first = |it: &Arrival| stream_head(it) + &events(1..=1);
        let mut world = World::start(5, holding(first, word.clone())).await;
        let front = world.front;
        let held =
            spawn_local(
                async move { exchange(front, &request("/resumable/poison", "held", "")).await },
            );
        let arrival = loop {
            match world.arrivals.try_recv() {
                Ok(arrival) => break arrival,
                Err(_) => sleep(LOOK).await,
            }
        };
        until_quarantined(&world, "/resumable/poison").await;
        world.drain_arrivals();
        let mut leaving = entry(world.servers[arrival.server]);
        leaving.draining = true;
        // Runs are moved 1.1 s before their engine goes.
        leaving.leaves_in = Some(Duration::from_millis(1_150));
        world.store.put_server(&format!("server-{}", arrival.server), leaving);
        sleep(Duration::from_millis(400)).await;
        assert!(world.migrations.try_recv().is_err(), "it was moved");
        assert!(world.drain_arrivals().is_empty());
        word.notify_waiters();
        held.await.expect("an answer");
    });
}

// A VM that saw none of the exits and hears nothing new of the store keeps the request from servers too: the arbiter told
// all VMs.
#[test]
fn others_tell_it_before_the_store_does() {
    run(async {
        let mut world = World::start(5, script).await;
        let others = two_more_vms(&world).await;
        world.store.set_changes_paused(true);
        until_quarantined(&world, "/once/poison").await;
        world.drain_arrivals();
        for vm in &others {
            let answer = exchange(vm.front, &request("/once/poison", "id-late", "")).await;
            assert!(is_withheld(&answer), "{answer}");
        }
        assert!(world.drain_arrivals().is_empty());
    });
}

// A VM that starts when all that knew of it are gone reads it in the store.
#[test]
fn a_vm_that_starts_knows_it_from_the_store() {
    run(async {
        let mut world = World::start(5, script).await;
        until_quarantined(&world, "/once/poison").await;
        world.drain_arrivals();
        let later = Vm::start("vm-late", world.store.for_another_vm()).await;
        let answer = exchange(later.front, &request("/once/poison", "id-late", "")).await;
        assert!(is_withheld(&answer), "{answer}");
        assert!(world.drain_arrivals().is_empty());
    });
}

// A trial is due, and callers ask at all VMs at once: one of them sends it, since it was first to write that in the store.
#[test]
fn of_many_attempts_one_is_the_trial() {
    run(async {
        let mut world = World::start(5, script).await;
        let others = two_more_vms(&world).await;
        until_quarantined(&world, "/once/poison").await;
        world.drain_arrivals();
        make_trial_due(&world.store);
        sleep(PAUSE).await;
        let fronts = [world.front, others[0].front, others[1].front];
        let asked = fronts.iter().cycle().take(ATTEMPTS).enumerate().map(|(at, front)| {
            let (front, text) = (*front, request("/once/poison", &format!("id-t{at}"), ""));
            spawn_local(async move { exchange(front, &text).await })
        });
        for answer in asked.collect::<Vec<_>>() {
            answer.await.expect("an answer");
        }
        assert_eq!(world.drain_arrivals().len(), 1);
        let item = &world.store.items_with_prefix(QUARANTINE)[0];
        let value = String::from_utf8_lossy(&item.value).into_owned();
        assert!(value.contains("\"trials\":1"), "{value}");
    });
}

// Servers were released anew and bear the request. The trial ends well, and all VMs send it again.
#[test]
fn a_trial_that_ends_well_frees_the_request_everywhere() {
    run(async {
        let is_cured = Rc::new(Cell::new(false));
        let cured = is_cured.clone();
        let script = move |number, arrival: &Arrival| {
            if cured.get() {
                return Reply::Send(sealed(arrival, "200 OK", "done"));
            }
            script(number, arrival)
        };
        let world = World::start(5, script).await;
        let others = two_more_vms(&world).await;
        until_quarantined(&world, "/once/poison").await;
        is_cured.set(true);
        make_trial_due(&world.store);
        sleep(PAUSE).await;
        assert!(world.send("/once/poison", "id-trial", "").await.starts_with("HTTP/1.1 200"));
        while !world.store.items_with_prefix(QUARANTINE).is_empty() {
            sleep(LOOK).await;
        }
        sleep(PAUSE).await;
        for vm in &others {
            let answer = exchange(vm.front, &request("/once/poison", "id-after", "")).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
    });
}

// Servers exit for reasons of their own, three times under the same popular request, as one VM sees it. At another VM it
// ended well just before: it is not what ends them, and is served on.
#[test]
fn a_request_that_ended_well_elsewhere_is_served_on() {
    run(async {
        let exits = Rc::new(Cell::new(false));
        let exiting = exits.clone();
        let script = move |_, arrival: &Arrival| {
            if exiting.get() {
                return Reply::SendAndExit(stream_head(arrival) + &events(1..=1));
            }
            Reply::Send(sealed(arrival, "200 OK", "done"))
        };
        let mut world = World::start(5, script).await;
        let others = two_more_vms(&world).await;
        let text = request("/once/7", "id-good", "");
        assert!(exchange(others[0].front, &text).await.starts_with("HTTP/1.1 200"));
        exits.set(true);
        for at in 0..6 {
            world.send("/once/7", &format!("id-{at}"), "").await;
            sleep(PAUSE).await;
        }
        assert_eq!(world.drain_arrivals().len(), 7);
        assert!(world.store.items_with_prefix(QUARANTINE).is_empty());
    });
}

// A connection that breaks off while its server lives, as a reset or a spoiled answer does, is held against nobody.
#[test]
fn a_broken_connection_alone_is_no_exit() {
    run(async {
        let script = |_, it: &Arrival| Reply::SendAndClose(stream_head(it) + &events(1..=1));
        let mut world = World::start(3, script).await;
        for at in 0..6 {
            world.send("/stream/7", &format!("id-{at}"), "").await;
            sleep(PAUSE).await;
        }
        assert_eq!(world.drain_arrivals().len(), 6);
        assert!(world.store.items_with_prefix(QUARANTINE).is_empty());
    });
}

// Servers that said that they leave end while they run the same request: that was expected, and it isn't held to account.
#[test]
fn the_end_of_a_server_that_leaves_is_no_exit() {
    run(async {
        let word = Rc::new(Notify::new());
        let at = word.clone();
        let script = move |_, it: &Arrival| {
            Reply::SendAndExitOnNotify(stream_head(it) + &events(1..=1), at.clone())
        };
        let mut world = World::start(4, script).await;
        let front = world.front;
        let mut used = HashSet::new();
        for at in 0.. {
            let text = request("/stream/7", &format!("id-{at}"), "");
            spawn_local(async move { exchange(front, &text).await });
            let arrival = world.arrivals.recv().await.expect("an arrival");
            used.insert(arrival.server);
            if used.len() >= 3 {
                break;
            }
        }
        for server in used {
            let leaving = ServerEntry { draining: true, ..entry(world.servers[server]) };
            world.store.put_server(&format!("server-{server}"), leaving);
        }
        while metric(world.metrics, "quincevalve_servers").await != Some(1) {
            sleep(LOOK).await;
        }
        word.notify_waiters();
        // An arbiter would have decided by then, also where servers exited together.
        sleep(Duration::from_millis(2_500)).await;
        assert!(world.store.items_with_prefix(QUARANTINE).is_empty());
    });
}
