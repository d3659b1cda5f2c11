//! Retries: amplification in an overload, and whether it ends by itself.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use quincevalve_inventory::Execution;
use quincevalve_names::TimePoint;
use quincevalve_retries::{
    ExecutionStatus, FailedAttempt, RetryBudget, RetryDecision, RetryPolicy, decide_retry,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::table::{Table, two};

const PLACES: usize = 40;
const WORK: Duration = Duration::from_millis(100);
/// 85% of what the places can do.
const RATE: f64 = 340.0;
const LENGTH_S: u64 = 90;
const TRIGGER: std::ops::Range<u64> = 20..30;
/// How long a caller's attempt waits before it counts as failed.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(500);
const NAIVE_ATTEMPTS: u32 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { request: u32, attempt: u32 },
    Limit { request: u32, attempt: u32 },
    Done { request: u32, attempt: u32 },
    Restored,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Ours,
    Naive,
}

struct Sim {
    way: Way,
    queue: BinaryHeap<Reverse<(TimePoint, Event)>>,
    waiting: VecDeque<(u32, u32, TimePoint)>,
    busy: usize,
    places: usize,
    begun: Vec<TimePoint>,
    ended: Vec<Option<TimePoint>>,
    current: Vec<u32>,
    budget: RetryBudget,
    attempts: u64,
    refused: u64,
}

pub(crate) fn run(seed: u64) -> Vec<Table> {
    let title = "85% load, places halved from 20 s to 30 s; attempts time out after 500 ms";
    let columns =
        ["policy", "requests", "attempts/request", "answered", "refused", "back to 95% at s"];
    let mut table = Table::new("retries_overload", title, &columns);
    let mut series = Table::new(
        "retries_over_time",
        "Share answered within 500 ms of the first attempt, by second",
        &["second", "policy", "share"],
    )
    .with_plot(0, 2, 1);
    for (way, name) in [(Way::Ours, "ours"), (Way::Naive, "naive: 3 retries")] {
        let sim = simulate(way, seed);
        table.push(summary(name, &sim));
        for (second, share) in shares(&sim).into_iter().enumerate() {
            series.push(vec![second.to_string(), name.to_owned(), two(share)]);
        }
    }
    vec![table, series]
}

fn summary(name: &str, sim: &Sim) -> Vec<String> {
    let shares = shares(sim);
    let after = TRIGGER.end as usize;
    let back = (after..shares.len()).find(|it| shares[*it..].iter().all(|share| *share >= 0.95));
    let answered = sim.ended.iter().filter(|it| it.is_some()).count();
    vec![
        name.to_owned(),
        sim.begun.len().to_string(),
        two(sim.attempts as f64 / sim.begun.len() as f64),
        two(answered as f64 / sim.begun.len() as f64),
        sim.refused.to_string(),
        back.map_or_else(|| "never".to_owned(), |it| it.to_string()),
    ]
}

fn shares(sim: &Sim) -> Vec<f64> {
    let mut good = vec![(0_u32, 0_u32); LENGTH_S as usize];
    for (begun, ended) in sim.begun.iter().zip(&sim.ended) {
        let second = (begun.as_micros() / 1_000_000) as usize;
        let Some(cell) = good.get_mut(second) else { continue };
        cell.1 += 1;
        if ended.is_some_and(|it| it - *begun <= ATTEMPT_LIMIT) {
            cell.0 += 1;
        }
    }
    good.into_iter().map(|(good, all)| f64::from(good) / f64::from(all.max(1))).collect()
}

fn simulate(way: Way, seed: u64) -> Sim {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut sim = Sim {
        way,
        queue: BinaryHeap::new(),
        waiting: VecDeque::new(),
        busy: 0,
        places: PLACES,
        begun: Vec::new(),
        ended: Vec::new(),
        current: Vec::new(),
        budget: RetryBudget::default(),
        attempts: 0,
        refused: 0,
    };
    let mut at = 0.0;
    while at < LENGTH_S as f64 {
        let draw: f64 = rng.random_range(f64::EPSILON..1.0);
        at += -draw.ln() / RATE;
        let request = sim.begun.len() as u32;
        let at = TimePoint((at * 1e6) as u64);
        sim.begun.push(at);
        sim.queue.push(Reverse((at, Event::Arrive { request, attempt: 1 })));
    }
    sim.ended = vec![None; sim.begun.len()];
    sim.current = vec![0; sim.begun.len()];
    let restored = TimePoint::from_millis(TRIGGER.end * 1_000);
    sim.queue.push(Reverse((restored, Event::Restored)));
    sim.run();
    sim
}

impl Sim {
    fn run(&mut self) {
        while let Some(Reverse((now, event))) = self.queue.pop() {
            let halved = TRIGGER.contains(&(now.as_micros() / 1_000_000));
            self.places = if halved { PLACES / 2 } else { PLACES };
            match event {
                Event::Arrive { request, attempt } => self.arrive(now, request, attempt),
                Event::Limit { request, attempt } => self.limit(now, request, attempt),
                Event::Done { request, attempt } => {
                    self.busy -= 1;
                    if self.current[request as usize] == attempt {
                        self.ended[request as usize].get_or_insert(now);
                    }
                }
                Event::Restored => {}
            }
            self.start_waiting(now);
        }
    }

    fn arrive(&mut self, now: TimePoint, request: u32, attempt: u32) {
        self.attempts += 1;
        self.current[request as usize] = attempt;
        if attempt == 1 {
            self.budget.deposit();
        }
        // Early refusal: what can't be done in time isn't queued. The naive version queues everything.
        let rounds = self.waiting.len() / self.places;
        let wait = WORK * rounds as u32;
        if self.way == Way::Ours && wait + WORK > ATTEMPT_LIMIT {
            self.refused += 1;
            return;
        }
        self.waiting.push_back((request, attempt, now));
        self.queue.push(Reverse((now + ATTEMPT_LIMIT, Event::Limit { request, attempt })));
    }

    fn limit(&mut self, now: TimePoint, request: u32, attempt: u32) {
        let at = request as usize;
        if self.ended[at].is_some() || self.current[at] != attempt {
            return;
        }
        let retry = match self.way {
            Way::Naive => (attempt < NAIVE_ATTEMPTS).then_some(Duration::ZERO),
            Way::Ours => {
                let failure = FailedAttempt {
                    status: ExecutionStatus::MayHaveRun,
                    earlier_status: ExecutionStatus::NotRun,
                    execution: Execution::Idempotent,
                    server_was_leaving: false,
                    attempts: attempt,
                    time_left: Duration::from_secs(5),
                    required_time: WORK,
                };
                match decide_retry(&failure, &RetryPolicy::default(), &mut self.budget) {
                    RetryDecision::Retry { after } => Some(after),
                    RetryDecision::GiveUp { .. } => None,
                }
            }
        };
        // Servers don't learn that a caller gave up: a timed-out attempt still does its work.
        if let Some(after) = retry {
            let event = Event::Arrive { request, attempt: attempt + 1 };
            self.queue.push(Reverse((now + after, event)));
        }
    }

    fn start_waiting(&mut self, now: TimePoint) {
        while self.busy < self.places {
            let Some((request, attempt, _)) = self.waiting.pop_front() else { return };
            self.busy += 1;
            self.queue.push(Reverse((now + WORK, Event::Done { request, attempt })));
        }
    }
}
