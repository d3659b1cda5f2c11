//! Admission: shares under contention and latency targets met, compared with a single shared queue.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use quincevalve_admission::{
    AccountIndex, AccountLimits, Admission, AdmissionSettings, Arrival, Decision, Ticket, Urgency,
};
use quincevalve_names::{Scaled, TimePoint};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::table::{Table, two};

const CAPACITY: u32 = 64;
const LENGTH_S: f64 = 120.0;
const LATENCY_TARGET: Duration = Duration::from_millis(800);
const BULK_LATENCY_TARGET: Duration = Duration::from_secs(60);
/// Request rates of five accounts with equal weights; the last sends ten times its share.
const RATES: [f64; 5] = [12.0, 12.0, 12.0, 12.0, 120.0];
const BULK_SHARE: f64 = 0.1;
const SHORT: Duration = Duration::from_millis(400);
const LONG: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct Request {
    at: TimePoint,
    account: usize,
    bulk: bool,
    held: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: u32,
    kept: u32,
    refused: u32,
    late: u32,
}

pub(crate) fn run(seed: u64) -> Vec<Table> {
    let requests = draw(seed);
    let ours = run_ours(&requests);
    let naive = run_naive(&requests);
    let title = "64 places, 5 equal accounts, the last sends ten times its share; 10% bulk";
    let columns =
        ["account", "class", "policy", "sent", "kept", "kept share", "refused at once", "late"];
    let mut table = Table::new("admission_shares", title, &columns);
    for account in 0..RATES.len() {
        for bulk in [false, true] {
            for (policy, counts) in [("ours", &ours), ("naive", &naive)] {
                table.push(row(account, bulk, policy, counts[account][usize::from(bulk)]));
            }
        }
    }
    vec![table]
}

fn row(account: usize, bulk: bool, policy: &str, count: Count) -> Vec<String> {
    vec![
        format!("{}", account + 1),
        if bulk { "bulk" } else { "interactive" }.to_owned(),
        policy.to_owned(),
        count.sent.to_string(),
        count.kept.to_string(),
        two(f64::from(count.kept) / f64::from(count.sent.max(1))),
        count.refused.to_string(),
        count.late.to_string(),
    ]
}

fn draw(seed: u64) -> Vec<Request> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut all = Vec::new();
    for (account, rate) in RATES.into_iter().enumerate() {
        let mut at = 0.0;
        while at < LENGTH_S {
            let draw: f64 = rng.random_range(f64::EPSILON..1.0);
            at += -draw.ln() / rate;
            let bulk = rng.random_bool(BULK_SHARE);
            let spread = rng.random_range(0.5..1.5);
            let held = if bulk { LONG } else { SHORT }.scaled(spread);
            all.push(Request { at: TimePoint((at * 1e6) as u64), account, bulk, held });
        }
    }
    all.sort_by_key(|it| it.at);
    all
}

type Counts = [[Count; 2]; RATES.len()];

fn latency_target_of(request: &Request) -> Duration {
    if request.bulk { BULK_LATENCY_TARGET } else { LATENCY_TARGET }
}

/// Interactive requests meet their target by starting in time, bulk requests by ending in time.
fn meets_latency_target(request: &Request, started: TimePoint) -> bool {
    let done = if request.bulk { started + request.held } else { started };
    done - request.at <= latency_target_of(request)
}

fn run_ours(requests: &[Request]) -> Counts {
    let mut counts = Counts::default();
    let mut admission = Admission::new(AdmissionSettings::default(), CAPACITY);
    for account in 0..RATES.len() {
        let limits = AccountLimits { weight: 1, max_concurrent: u32::MAX };
        admission.set_account(AccountIndex(account as u32), limits);
    }
    let mut ends: BinaryHeap<Reverse<(TimePoint, usize)>> = BinaryHeap::new();
    for (number, request) in requests.iter().enumerate() {
        while let Some(Reverse((at, done))) = ends.peek().copied().filter(|it| it.0.0 <= request.at)
        {
            ends.pop();
            finish(&mut admission, requests, done, at, &mut ends, &mut counts);
        }
        let count = &mut counts[request.account][usize::from(request.bulk)];
        count.sent += 1;
        let arrival = Arrival {
            ticket: Ticket(number as u64),
            account: AccountIndex(request.account as u32),
            urgency: if request.bulk { Urgency::BULK } else { Urgency::INTERACTIVE },
            deadline: request.at + latency_target_of(request),
            required_time: if request.bulk { request.held } else { Duration::ZERO },
            cost: if request.bulk { 10 } else { 1 },
        };
        match admission.arrive(request.at, &arrival) {
            Decision::Run => start(requests, number, request.at, &mut ends, &mut counts),
            Decision::Wait => {}
            Decision::Refuse { .. } => count.refused += 1,
        }
    }
    while let Some(Reverse((at, done))) = ends.pop() {
        finish(&mut admission, requests, done, at, &mut ends, &mut counts);
    }
    counts
}

fn start(
    requests: &[Request],
    number: usize,
    now: TimePoint,
    ends: &mut BinaryHeap<Reverse<(TimePoint, usize)>>,
    counts: &mut Counts,
) {
    let request = &requests[number];
    let count = &mut counts[request.account][usize::from(request.bulk)];
    if meets_latency_target(request, now) {
        count.kept += 1;
    } else {
        count.late += 1;
    }
    ends.push(Reverse((now + request.held, number)));
}

fn finish(
    admission: &mut Admission,
    requests: &[Request],
    done: usize,
    now: TimePoint,
    ends: &mut BinaryHeap<Reverse<(TimePoint, usize)>>,
    counts: &mut Counts,
) {
    let request = &requests[done];
    admission.finish(AccountIndex(request.account as u32), request.held);
    for Ticket(expired) in admission.expire(now) {
        let request = &requests[expired as usize];
        counts[request.account][usize::from(request.bulk)].refused += 1;
    }
    while let Some(Ticket(next)) = admission.start_next() {
        start(requests, next as usize, now, ends, counts);
    }
}

/// Runs a single queue in order of arrival that rejects nothing (the naive version).
fn run_naive(requests: &[Request]) -> Counts {
    let mut counts = Counts::default();
    let mut free: BinaryHeap<Reverse<TimePoint>> =
        (0..CAPACITY).map(|_| Reverse(TimePoint::ZERO)).collect();
    let mut queue: VecDeque<&Request> = requests.iter().collect();
    while let Some(request) = queue.pop_front() {
        let count = &mut counts[request.account][usize::from(request.bulk)];
        count.sent += 1;
        let Some(Reverse(at)) = free.pop() else { continue };
        let started = at.max(request.at);
        if meets_latency_target(request, started) {
            count.kept += 1;
        } else {
            count.late += 1;
        }
        free.push(Reverse(started + request.held));
    }
    counts
}
