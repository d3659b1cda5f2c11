//! Plays loads of twice what the servers can carry in virtual time. Guards against urgent requests that wait for bulk
//! work, requests that wait in vain, accounts that crowd out others, and slots that stay free while requests wait.

mod play;

use std::{ops::Range, time::Duration};

use play::{End, Kind, Load, Outcome, Play, Policy, Request, SLOTS, USABLE_SLOTS};
use quincevalve_admission::WaitRefusalCause;

const SERVERS: usize = 8;
/// Requests a second of [`mixed_kinds`] that the servers can carry: their usable slots over the mean time that a request
/// holds one, 1.57 s.
const MIXED_CAPACITY: f64 = 18.4 * SERVERS as f64;
const OVERLOAD_MS: Range<u64> = 2_000..7_000;
const LENGTH_MS: u64 = 24_000;

fn kind(urgency: u8, tokens: (u32, u32), objective_ms: u64, timeout_ms: u64, share: f64) -> Kind {
    let (prompt_tokens, output_tokens) = tokens;
    Kind { urgency, prompt_tokens, output_tokens, objective_ms, timeout_ms, share }
}

fn mixed_kinds() -> Vec<Kind> {
    vec![
        kind(0, (826, 150), 500, 12_000, 0.2),
        kind(1, (2_368, 150), 500, 3_000, 0.4),
        kind(2, (4_000, 385), 2_000, 15_000, 0.4),
    ]
}

fn load(seed: u64, vms: usize, policy: Policy) -> Load {
    Load {
        seed,
        vms,
        servers: SERVERS,
        kinds: mixed_kinds(),
        accounts: vec![2.0, 2.0, 3.0, 3.0],
        rates: vec![
            (0, MIXED_CAPACITY / 2.0),
            (OVERLOAD_MS.start, MIXED_CAPACITY * 2.0),
            (OVERLOAD_MS.end, MIXED_CAPACITY / 2.0),
        ],
        length_ms: LENGTH_MS,
        policy,
        crashes: Vec::new(),
        joins: Vec::new(),
    }
}

fn overloaded(outcome: &Outcome, urgency: u8) -> impl Iterator<Item = &Request> {
    let arrived = outcome.requests.iter().filter(|it| OVERLOAD_MS.contains(&it.arrived_ms));
    arrived.filter(move |it| it.kind.urgency == urgency)
}

/// Returns the fraction of the requests of an urgency that arrived during the overload and were answered on time.
fn on_time(outcome: &Outcome, urgency: u8) -> f64 {
    let on_time = overloaded(outcome, urgency).filter(|it| it.is_on_time()).count();
    on_time as f64 / overloaded(outcome, urgency).count() as f64
}

fn answered(outcome: &Outcome) -> usize {
    outcome.requests.iter().filter(|it| matches!(it.end, Some(End::Answered { .. }))).count()
}

fn busy_fraction(outcome: &Outcome, servers: usize) -> f64 {
    let slots = outcome.waiting_ms * u64::from(USABLE_SLOTS) * servers as u64;
    outcome.busy_slots as f64 / slots.max(1) as f64
}

/// Checks that no request waits in vain: it is started or refused before its latest start.
fn assert_no_vain_wait(outcome: &Outcome) {
    let ended = outcome.requests.iter().filter(|it| it.arrived_ms < LENGTH_MS - 15_000);
    for request in ended {
        match request.end {
            Some(End::Answered { .. }) => {
                assert!(request.started_ms.is_some_and(|it| it <= request.bound()), "{request:?}");
            }
            Some(End::Refused { at_ms, cause, retry_after }) => {
                assert!(at_ms <= request.bound(), "{request:?}");
                assert!(cause.is_some(), "{request:?}");
                let range = Duration::from_millis(200)..=Duration::from_secs(5);
                assert!(range.contains(&retry_after), "{request:?}");
            }
            Some(End::Lost) | None => panic!("not ended: {request:?}"),
        }
    }
}

fn check_aims_at_twice_the_capacity(vms: usize, seed: u64) {
    let outcome = Play::new(load(seed, vms, Policy::Queue)).run();
    let polling = Play::new(load(seed, vms, Policy::Polling)).run();
    let busy = busy_fraction(&outcome, SERVERS);
    let overtakings = f64::from(outcome.overtakings) / f64::from(outcome.queue_starts);
    println!(
        "{vms} VMs, seed {seed}: on time by urgency {:.3} {:.3} {:.3} (polling {:.3} {:.3} {:.3}), \
         answered {} of {} (polling {}), busy {busy:.3}, overtakings {overtakings:.3} of {}, longest queue {}",
        on_time(&outcome, 0),
        on_time(&outcome, 1),
        on_time(&outcome, 2),
        on_time(&polling, 0),
        on_time(&polling, 1),
        on_time(&polling, 2),
        answered(&outcome),
        outcome.requests.len(),
        answered(&polling),
        outcome.queue_starts,
        outcome.longest_queue,
    );
    assert!(on_time(&outcome, 0) >= 0.99, "{}", on_time(&outcome, 0));
    assert!(on_time(&polling, 0) < on_time(&outcome, 0));
    assert!(answered(&outcome) >= answered(&polling));
    assert!(busy >= 0.95, "{busy}");
    // One start in eight is due to less urgent requests, and one in a hundred more is tolerated.
    assert!(overtakings <= 1.0 / 8.0 + 1.0 / 100.0, "{overtakings}");
    assert_no_vain_wait(&outcome);
    for urgency in 0..3 {
        for second in OVERLOAD_MS.step_by(1_000) {
            let starts = overloaded(&outcome, urgency).filter_map(|it| it.started_ms);
            let starts = starts.filter(|it| (second..second + 1_000).contains(it)).count();
            assert!(starts > 0, "urgency {urgency} starves at {second} ms");
        }
    }
}

macro_rules! cases {
    ($check:ident: $($name:ident => $($argument:expr),+;)+) => {
        $(
            #[test]
            fn $name() {
                $check($($argument),+);
            }
        )+
    };
}

cases! {
    check_aims_at_twice_the_capacity:
    meets_the_aims_at_one_vm => 1, 1;
    meets_the_aims_at_one_vm_with_another_load => 1, 2;
    meets_the_aims_at_four_vms => 4, 1;
    meets_the_aims_at_four_vms_with_another_load => 4, 2;
    meets_the_aims_at_eight_vms => 8, 1;
    meets_the_aims_at_eight_vms_with_another_load => 8, 2;
}

// Guards against chats that are late because many VMs with old reports send them to the same few engines. The aim of 0.99
// is for the cases above; with 16 VMs in front of 12 engines, the queue has to keep more promises than polling.
#[test]
fn many_vms_keep_more_promises_than_with_polling() {
    let of = |policy| {
        let capacity = 18.4 * 12.0;
        let rates = vec![(0, capacity / 2.0), (OVERLOAD_MS.start, capacity * 2.0)];
        let load = Load { servers: 12, rates, length_ms: 8_000, ..load(1, 16, policy) };
        Play::new(load).run()
    };
    let (queue, polling) = (of(Policy::Queue), of(Policy::Polling));
    println!(
        "16 VMs: urgent on time {:.3}, polling {:.3}",
        on_time(&queue, 0),
        on_time(&polling, 0)
    );
    assert!(on_time(&queue, 0) > on_time(&polling, 0));
}

// Guards against an account that sends more and gets more: while all accounts wait, their starts are equal.
#[test]
fn accounts_that_wait_get_equal_shares() {
    for seed in [1, 2] {
        let outcome = Play::new(Load {
            kinds: vec![kind(1, (2_000, 300), 1_000, 6_000, 1.0)],
            accounts: vec![2.0, 3.0, 4.0],
            rates: vec![(0, 15.0 * SERVERS as f64 * 2.0)],
            length_ms: 9_000,
            ..load(seed, 1, Policy::Queue)
        })
        .run();
        let window = 3_000..8_000;
        let starts: Vec<usize> = (0..3)
            .map(|account| {
                let own = outcome.requests.iter().filter(|it| it.account == account);
                let starts = own.filter_map(|it| it.started_ms);
                starts.filter(|it| window.contains(it)).count()
            })
            .collect();
        println!("starts by account {starts:?}");
        let (least, most) = (starts.iter().min().unwrap(), starts.iter().max().unwrap());
        assert!(*least as f64 >= 0.9 * *most as f64, "{starts:?}");
    }
}

// Guards against a queue that stands still because its head, a prompt larger than any busy server's free memory, can't
// be placed: smaller requests behind it are placed nevertheless.
#[test]
fn a_huge_prompt_at_the_head_does_not_block_the_queue() {
    let huge = kind(0, (530_000, 300), 60_000, 60_000, 0.01);
    let outcome = Play::new(Load {
        kinds: vec![huge, kind(1, (2_000, 150), 1_000, 8_000, 0.99)],
        rates: vec![(0, 29.0 * SERVERS as f64 * 1.5)],
        length_ms: 8_000,
        ..load(1, 1, Policy::Queue)
    })
    .run();
    let busy = busy_fraction(&outcome, SERVERS);
    let placed = outcome.requests.iter().filter(|it| it.kind.urgency == 1 && it.waited);
    let placed = placed.filter(|it| it.started_ms.is_some()).count();
    println!("busy {busy:.3}, placed after a wait {placed}");
    assert!(busy >= 0.95, "{busy}");
    assert!(placed > 100, "{placed}");
}

// Guards against requests that wait in vain after half of the servers crash: they are refused as soon as the measured
// rate of starts shows that they can't be placed in time, and urgent ones stay on time.
#[test]
fn half_of_the_servers_crash() {
    let crashes = (0..SERVERS / 2).map(|it| (3_000, it)).collect();
    let outcome = Play::new(Load {
        rates: vec![(0, MIXED_CAPACITY * 0.9)],
        crashes,
        ..load(3, 1, Policy::Queue)
    })
    .run();
    let after = outcome.requests.iter().filter(|it| (3_000..9_000).contains(&it.arrived_ms));
    for request in after.clone() {
        match request.end {
            Some(End::Refused { at_ms, .. }) => assert!(at_ms <= request.bound(), "{request:?}"),
            Some(_) => {}
            None => panic!("not ended: {request:?}"),
        }
    }
    let urgent: Vec<_> = after.filter(|it| it.kind.urgency == 0).collect();
    let on_time = urgent.iter().filter(|it| it.is_on_time()).count();
    println!("urgent on time {on_time} of {}", urgent.len());
    assert!(on_time as f64 >= 0.99 * urgent.len() as f64);
}

// Guards against engines that stay idle after they come back while requests wait, and against engines that get the waiting
// requests of all VMs at once: what an engine holds beyond its slots must start within half of the shortest deadline, in
// which each slot serves one request more.
#[test]
fn servers_that_come_back_are_in_use_at_once() {
    for vms in [1, 4, 8] {
        let outcome = Play::new(Load {
            rates: vec![(0, MIXED_CAPACITY * 0.9), (2_000, MIXED_CAPACITY * 2.0)],
            joins: (0..SERVERS / 2).map(|it| (4_000, it)).collect(),
            length_ms: 6_000,
            ..load(1, vms, Policy::Queue)
        })
        .run();
        let starts = |window: Range<u64>| {
            let started = outcome.requests.iter().filter_map(|it| it.started_ms);
            started.filter(|it| window.contains(it)).count()
        };
        let free_slots = USABLE_SLOTS as usize * SERVERS / 2;
        println!(
            "{vms} VMs: starts before {}, after {}, most at one engine {}",
            starts(3_000..4_000),
            starts(4_000..5_000),
            outcome.most_runs
        );
        assert!(outcome.most_runs <= 2 * SLOTS as usize, "{}", outcome.most_runs);
        assert!(starts(4_000..5_000) >= free_slots, "{} of {free_slots}", starts(4_000..5_000));
    }
}

// Guards against a refusal that blames the load where more urgent arrivals are the cause.
#[test]
fn requests_pushed_out_by_more_urgent_ones_are_refused_as_displaced() {
    let urgent = kind(0, (826, 150), 500, 12_000, 0.5);
    let bulk = kind(2, (2_000, 150), 2_000, 4_000, 0.5);
    let outcome = Play::new(Load {
        kinds: vec![urgent, bulk],
        rates: vec![(0, 28.0 * SERVERS as f64 * 1.8)],
        length_ms: 8_000,
        ..load(1, 1, Policy::Queue)
    })
    .run();
    let is_displaced = |it: &&Request| {
        matches!(it.end, Some(End::Refused { cause: Some(WaitRefusalCause::Displaced), .. }))
    };
    let displaced: Vec<_> = outcome.requests.iter().filter(is_displaced).collect();
    println!("displaced {}", displaced.len());
    assert!(!displaced.is_empty());
    assert!(displaced.iter().all(|it| it.kind.urgency == 2));
}

// Guards against bulk work that starves because urgent requests alone exceed the capacity and keep all engines full.
#[test]
fn bulk_work_starts_while_urgent_work_alone_exceeds_the_capacity() {
    let urgent = kind(0, (826, 150), 500, 12_000, 0.9);
    let bulk = kind(2, (2_000, 150), 2_000, 15_000, 0.1);
    let outcome = Play::new(Load {
        kinds: vec![urgent, bulk],
        rates: vec![(0, 28.0 * SERVERS as f64 * 1.5)],
        length_ms: 8_000,
        ..load(1, 1, Policy::Queue)
    })
    .run();
    for second in (3_000..8_000).step_by(1_000) {
        let bulk = outcome.requests.iter().filter(|it| it.kind.urgency == 2);
        let starts = bulk.filter_map(|it| it.started_ms);
        let starts = starts.filter(|it| (second..second + 1_000).contains(it)).count();
        println!("bulk starts in the second after {second} ms: {starts}");
        assert!(starts > 0, "bulk work starves at {second} ms");
    }
}
