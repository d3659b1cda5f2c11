//! Quarantine of a part of prompts that makes every server that begins an answer on it exit.

mod support;

use std::{
    rc::Rc,
    time::{Duration, SystemTime},
};

use quincevalve_forwarding::{
    poison::{ExitedServers, PartEntry, PartFindings, Suspect},
    prompt_parts::PartDigest,
    stream_versions::VersionTag,
};
use support::{
    Arrival, LAST_CHUNK, Reply, Setup, Vm, World, config_with_copies, entry, events, exchange,
    link::{Link, LinkState},
    metric,
    quarantine::{
        POLL_INTERVAL, QUARANTINE, RETRY_PAUSE, is_withheld, make_trial_due, start_two_more_vms,
    },
    queue_setup, request, run, sealed, stream_head,
};
use tokio::{
    sync::Notify,
    task::{JoinHandle, spawn_local},
    time::sleep,
};

/// Number of requests with the crashing part, no two alike.
const REQUESTS: usize = 16;
/// Maximum number of them that may be sent: five until the part must be known, and three after that.
const MAX_SENDS: usize = 5 + 3;
/// The parts that sound and crashing requests share, the crashing one, and one of some sound requests.
const SYSTEM_PROMPT: &str = "5c1e07a2";
const CRASHING: &str = "91bd3f06";
const SOUND: &str = "77aa01";

/// Returns the header lines of a prompt with these parts and one of its own.
fn prompt(parts: &[&str], own: usize) -> String {
    let parts = parts.join(":40,");
    format!("x-tokens: 100,20\r\nx-parts: {parts}:40,e4402b{own:x}:20\r\n")
}

/// Makes the server exit when it begins an answer on the crashing part, and answers all other requests.
fn script(_: usize, arrival: &Arrival) -> Reply {
    if has_crashing_part(arrival) {
        return Reply::SendAndExit(stream_head(arrival) + &events(1..=1));
    }
    Reply::Send(sealed(arrival, "200 OK", "done"))
}

fn has_crashing_part(arrival: &Arrival) -> bool {
    arrival.header("x-parts").unwrap_or_default().contains(CRASHING)
}

/// Returns a request with the crashing part, unlike all others.
fn crashing_request(route: &str, id: &str) -> String {
    let own = id.bytes().map(usize::from).sum();
    request(&format!("{route}{id}"), id, &prompt(&[SYSTEM_PROMPT, CRASHING], own))
}

fn sound_request(route: &str, id: &str) -> String {
    request(&format!("{route}{id}"), id, &prompt(&[SYSTEM_PROMPT, SOUND], id.len()))
}

/// Quarantines the part by an entry of the store, and waits until the VMs know it.
async fn quarantine_part(world: &World, findings: PartFindings, vms: &[&Vm]) {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a clock");
    let until_ms = (now + Duration::from_secs(60)).as_millis() as i64;
    let servers = ExitedServers::default();
    let entry = PartEntry { trials: 0, until_ms, is_uncertain: false, findings, servers };
    let part = Suspect::Part(PartDigest::of(&"engines".into(), CRASHING));
    let value = serde_json::to_vec(&entry).expect("an entry");
    world.store.put_item(&format!("{QUARANTINE}{part}"), value);
    let others = vms.iter().map(|it| it.metrics);
    for metrics in others.chain([world.metrics]) {
        while metric(metrics, "quincevalve_quarantined_parts").await != Some(1) {
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Sends a request with the part whose server holds it, and returns its answer to come and the server.
async fn send_held(world: &mut World, route: &str) -> (JoinHandle<String>, usize) {
    let (front, text) = (world.front, crashing_request(route, "held"));
    let answer = spawn_local(async move { exchange(front, &text).await });
    let arrival = world.arrivals.recv().await.expect("an arrival");
    (answer, arrival.server)
}

/// Starts a world whose servers send `first` to requests with the part and close the connection at the notification.
async fn start_holding(first: fn(&Arrival) -> String, setup: Setup) -> (World, Rc<Notify>) {
    let release = Rc::new(Notify::new());
    let held = release.clone();
    let script = move |_, arrival: &Arrival| {
        if has_crashing_part(arrival) {
            return Reply::SendAndCloseOnNotify(first(arrival), held.clone());
        }
        Reply::Send(sealed(arrival, "200 OK", "done"))
    };
    (World::start_with(5, setup, script).await, release)
}

/// Checks that a request that runs while the part is quarantined doesn't reach a further server when its connection
/// closes.
async fn assert_not_sent_again(route: &str, first: fn(&Arrival) -> String, setup: Setup) {
    let (mut world, release) = start_holding(first, setup).await;
    let (answer, _) = send_held(&mut world, route).await;
    quarantine_part(&world, PartFindings::default(), &[]).await;
    release.notify_waiters();
    let answer = answer.await.expect("an answer");
    assert!(!answer.ends_with(LAST_CHUNK) && !answer.contains("done"), "{answer}");
    assert!(!answer.starts_with("HTTP/1.1 503"), "it may have run: {answer}");
    assert!(world.drain_arrivals().is_empty(), "it was sent again");
    assert!(world.migrations.try_recv().is_err(), "its run was handed over");
}

fn no_answer(_: &Arrival) -> String {
    String::new()
}

fn first_event(arrival: &Arrival) -> String {
    stream_head(arrival) + &events(1..=1)
}

macro_rules! not_sent_again {
    ($($name:ident: $route:expr, $first:expr, $setup:expr;)+) => {
        $(
            // Guards against a request that runs while its part is quarantined and that ends a further server.
            #[test]
            fn $name() {
                run(assert_not_sent_again($route, $first, $setup));
            }
        )+
    };
}

not_sent_again! {
    failed_attempt_is_not_retried: "/safe/", no_answer, Setup::default();
    interrupted_stream_is_not_resumed: "/resumable/", first_event, Setup::default();
    run_does_not_continue_elsewhere: "/resumable/", first_event,
        Setup { config: config_with_copies(), ..Setup::default() };
}

// Guards against a run whose engine is reclaimed and that is moved although its part is quarantined.
#[test]
fn run_is_not_migrated() {
    run(async {
        let (mut world, release) = start_holding(first_event, Setup::default()).await;
        let (answer, server) = send_held(&mut world, "/resumable/").await;
        quarantine_part(&world, PartFindings::default(), &[]).await;
        let mut leaving = entry(world.servers[server]);
        leaving.draining = true;
        // Runs are migrated 1.1 s before their engine stops.
        leaving.leaves_in = Some(Duration::from_millis(1_150));
        world.store.put_server(&format!("server-{server}"), leaving);
        sleep(Duration::from_millis(400)).await;
        assert!(world.migrations.try_recv().is_err(), "the run was migrated");
        release.notify_waiters();
        answer.await.expect("an answer");
        assert!(world.drain_arrivals().is_empty());
    });
}

// Guards against a caller that waits for the refusal, and against sound requests of the same route, account and first
// part that are refused with it.
#[test]
fn new_request_is_refused_at_once_and_sound_ones_are_served() {
    run(async {
        let mut world = World::start(2, script).await;
        quarantine_part(&world, PartFindings::default(), &[]).await;
        let answer = exchange(world.front, &crashing_request("/once/", "late")).await;
        assert!(is_withheld(&answer), "{answer}");
        assert!(world.drain_arrivals().is_empty());
        let answer = exchange(world.front, &sound_request("/once/", "sound")).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    });
}

// Guards against a request that joined the queue before its part was quarantined: it is refused while it waits, and
// doesn't take the slot that becomes free.
#[test]
fn waiting_request_is_refused_when_its_part_is_quarantined() {
    run(async {
        let (mut world, release) = start_holding(first_event, queue_setup()).await;
        for server in 1..5 {
            world.store.remove_server(&format!("server-{server}"));
        }
        while metric(world.metrics, "quincevalve_servers").await != Some(1) {
            sleep(POLL_INTERVAL).await;
        }
        let (held, _) = send_held(&mut world, "/stream/").await;
        let (front, text) = (world.front, crashing_request("/bulk/", "waits"));
        let waiting = spawn_local(async move { exchange(front, &text).await });
        while metric(world.metrics, "quincevalve_waiting{service=\"engines\"}").await != Some(1) {
            sleep(POLL_INTERVAL).await;
        }
        quarantine_part(&world, PartFindings::default(), &[]).await;
        let answer = waiting.await.expect("an answer");
        assert!(is_withheld(&answer), "{answer}");
        release.notify_waiters();
        held.await.expect("an answer");
        assert!(world.drain_arrivals().is_empty());
    });
}

// Guards against a VM that reaches no server and forwards the request to a peer.
#[test]
fn request_is_not_forwarded_to_a_peer() {
    run(async {
        let mut world = World::start(2, script).await;
        let mut links = Vec::new();
        for server in &world.servers {
            links.push(Link::to(*server).await);
        }
        let store = world.store.for_another_vm();
        store.set_links(world.servers.iter().copied().zip(&links));
        let vm = Vm::start("vm-2", store).await;
        quarantine_part(&world, PartFindings::default(), &[&vm]).await;
        for link in &links {
            link.set(LinkState::RefusingNew);
        }
        for at in 0..4 {
            let sound = exchange(vm.front, &sound_request("/safe/", &format!("sound-{at}"))).await;
            assert!(sound.starts_with("HTTP/1.1 200"), "{sound}");
            let answer = exchange(vm.front, &crashing_request("/safe/", &format!("id-{at}"))).await;
            assert!(is_withheld(&answer), "{answer}");
        }
        assert!(!world.drain_arrivals().iter().any(has_crashing_part));
    });
}

// Guards against a part that one software version can't run and that is refused although another one can.
#[test]
fn request_goes_to_servers_of_a_version_that_runs_the_part() {
    run(async {
        let setup = Setup { versions: &["v1", "v2"], ..Setup::default() };
        let answer_all = |_, it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let mut world = World::start_with(4, setup, answer_all).await;
        let tag = |version: &str| VersionTag::of(&"engines".into(), &version.into());
        let findings = PartFindings { crashed: vec![tag("v1")], sound: vec![tag("v2")] };
        quarantine_part(&world, findings, &[]).await;
        for at in 0..8 {
            let text = crashing_request("/once/", &format!("id-{at}"));
            let answer = exchange(world.front, &text).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        let arrivals = world.drain_arrivals();
        assert!(arrivals.iter().all(|it| it.server % 2 == 1), "servers of v1 got it");
        // What completes at servers of the other version doesn't end the quarantine at these.
        assert_eq!(world.store.items_with_prefix(QUARANTINE).len(), 1);
    });
}

// Guards against a trial at each VM: of the requests that come when one is due, one reaches a server. It completes, which
// lifts the quarantine at all VMs.
#[test]
fn exactly_one_request_is_the_trial_and_lifts_the_quarantine() {
    run(async {
        let release = Rc::new(Notify::new());
        let held = release.clone();
        let script = move |_, it: &Arrival| {
            let body = events(1..=2) + LAST_CHUNK;
            Reply::SendMoreOnNotify(stream_head(it), held.clone(), body)
        };
        let mut world = World::start(2, script).await;
        let others = start_two_more_vms(&world).await;
        quarantine_part(&world, PartFindings::default(), &[&others[0], &others[1]]).await;
        make_trial_due(&world.store);
        sleep(RETRY_PAUSE).await;
        let fronts = [world.front, others[0].front, others[1].front];
        let asked = fronts.into_iter().cycle().take(9).enumerate().map(|(at, front)| {
            let text = crashing_request("/stream/", &format!("id-{at}"));
            spawn_local(async move { exchange(front, &text).await })
        });
        let asked: Vec<_> = asked.collect();
        sleep(RETRY_PAUSE).await;
        assert_eq!(world.drain_arrivals().len(), 1);
        release.notify_waiters();
        for answer in asked {
            answer.await.expect("an answer");
        }
        while !world.store.items_with_prefix(QUARANTINE).is_empty() {
            sleep(POLL_INTERVAL).await;
        }
        for vm in &others {
            while metric(vm.metrics, "quincevalve_quarantined_parts").await != Some(0) {
                sleep(POLL_INTERVAL).await;
            }
        }
    });
}

// Guards against requests with the part that VMs send which observed none of the exits and hear nothing of the store.
#[test]
fn peers_report_the_part_before_the_store_does() {
    run(async {
        let mut world = World::start(5, script).await;
        let others = start_two_more_vms(&world).await;
        world.store.set_changes_paused(true);
        for at in 0..REQUESTS {
            if !world.store.items_with_prefix(QUARANTINE).is_empty() {
                break;
            }
            exchange(world.front, &crashing_request("/stream/", &format!("id-{at}"))).await;
            sleep(RETRY_PAUSE).await;
        }
        world.drain_arrivals();
        for vm in &others {
            let answer = exchange(vm.front, &crashing_request("/once/", "late")).await;
            assert!(is_withheld(&answer), "{answer}");
        }
        assert!(world.drain_arrivals().is_empty());
    });
}

// Guards against requests with the part at a VM that starts when all that saw the exits are gone.
#[test]
fn starting_vm_reads_the_part_from_the_store() {
    run(async {
        let mut world = World::start(2, script).await;
        quarantine_part(&world, PartFindings::default(), &[]).await;
        let late = Vm::start("vm-late", world.store.for_another_vm()).await;
        let answer = exchange(late.front, &crashing_request("/once/", "late")).await;
        assert!(is_withheld(&answer), "{answer}");
        assert!(world.drain_arrivals().is_empty());
    });
}

// Guards against requests that share a part of their prompts, on which every server exits: each is a new request, so
// that none of them is known from another one's exits.
#[test]
fn stops_sending_requests_with_a_part_under_which_servers_exit() {
    run(async {
        let mut world = World::start(5, script).await;
        let other_vms = start_two_more_vms(&world).await;
        let fronts = [world.front, other_vms[0].front, other_vms[1].front];
        let mut served = 0;
        for at in 0..REQUESTS {
            let front = fronts[at % fronts.len()];
            let crashing = prompt(&[SYSTEM_PROMPT, CRASHING], at);
            let path = format!("/stream/{at}");
            exchange(front, &request(&path, &format!("id-{at}"), &crashing)).await;
            sleep(RETRY_PAUSE).await;
            let sound = prompt(&[SYSTEM_PROMPT, SOUND], REQUESTS + at);
            let answer =
                exchange(front, &request("/once/7", &format!("id-sound-{at}"), &sound)).await;
            served += usize::from(answer.starts_with("HTTP/1.1 200"));
        }
        let sent = world.drain_arrivals().iter().filter(|it| has_crashing_part(it)).count();
        assert!(sent <= MAX_SENDS, "sent {sent} times, and a server exited each time");
        assert_eq!(served, REQUESTS, "sound requests that share their account and system prompt");
    });
}
