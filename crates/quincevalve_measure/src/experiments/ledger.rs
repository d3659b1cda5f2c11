//! The claim ledger: store writes, and takeover from a busy owner, compared with three alternatives.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use quincevalve_ledger::{
    Claim, ClaimKey, ReadOutcome, Slot, SlotAction, SlotEvent, SlotSettings, SwapOutcome, Ticket,
    Verdict,
};
use quincevalve_names::{HomeTag, RequestId, TimePoint};
use quincevalve_ports::store::KeyVersion;
use quincevalve_standins::StoreModel;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    stats::{millis, percentile},
    table::{Table, two},
};

/// Claims per second at the target: 3,600 requests per second, of which 20% are non-idempotent.
const CLAIMS_PER_S: f64 = 720.0;
const SLOTS: u32 = 16;
const LENGTH_S: u64 = 60;
/// Round-trip time of a store call.
const STORE_ROUND_TRIP: Duration = Duration::from_millis(4);

pub(crate) fn run(seed: u64) -> Vec<Table> {
    vec![writes(seed), takeover(seed), full_takeover()]
}

/// Generates random claims in order of time.
fn draw(seed: u64, rate: f64) -> Vec<(TimePoint, Claim)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut all = Vec::new();
    let mut at = 0.0;
    while at < LENGTH_S as f64 {
        let draw: f64 = rng.random_range(f64::EPSILON..1.0);
        at += -draw.ln() / rate;
        let claim = Claim {
            key: ClaimKey(rng.random()),
            request: RequestId::new(HomeTag(1), rng.random()),
            fingerprint: 0,
            at: at as u64,
        };
        all.push((TimePoint((at * 1e6) as u64), claim));
    }
    all
}

#[derive(Clone, Debug, PartialEq)]
enum SimulationEvent {
    Claim(usize),
    StoreCallArrived(u32, SlotAction),
    Answered(u32, SlotEvent),
    Tick(u32),
}

/// Simulates slots that share one store, in virtual time.
struct SlotSimulation {
    store: StoreModel,
    slots: Vec<Slot>,
    keys: Vec<String>,
    queue: BinaryHeap<Reverse<(TimePoint, u64)>>,
    pending_events: std::collections::HashMap<u64, SimulationEvent>,
    next: u64,
    granted: Vec<(Ticket, TimePoint)>,
    bytes: u64,
}

impl SlotSimulation {
    fn new(slots: Vec<Slot>, keys: Vec<String>) -> Self {
        Self {
            store: StoreModel::default(),
            slots,
            keys,
            queue: BinaryHeap::new(),
            pending_events: std::collections::HashMap::new(),
            next: 0,
            granted: Vec::new(),
            bytes: 0,
        }
    }

    fn push(&mut self, at: TimePoint, simulation_event: SimulationEvent) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.pending_events.insert(self.next, simulation_event);
    }

    fn run(&mut self, claims: &[(TimePoint, Claim)], slot_of: impl Fn(&Claim) -> u32) {
        while let Some(Reverse((now, id))) = self.queue.pop() {
            match self.pending_events.remove(&id) {
                Some(SimulationEvent::Claim(at)) => {
                    let claim = claims[at].1;
                    let deadline = now + Duration::from_secs(10);
                    let ticket = Ticket(at as u64);
                    let event = SlotEvent::Claim { ticket, claim, deadline };
                    self.handle(now, slot_of(&claim), event);
                }
                Some(SimulationEvent::StoreCallArrived(slot, action)) => {
                    self.apply_store_call(now, slot, &action);
                }
                Some(SimulationEvent::Answered(slot, event)) => self.handle(now, slot, event),
                Some(SimulationEvent::Tick(slot)) => self.handle(now, slot, SlotEvent::Tick),
                None => {}
            }
        }
    }

    fn handle(&mut self, now: TimePoint, slot: u32, event: SlotEvent) {
        let mut actions = Vec::new();
        self.slots[slot as usize].handle(now, event, &mut actions);
        for action in actions {
            match action {
                SlotAction::Answer(ticket, Verdict::Granted) => self.granted.push((ticket, now)),
                SlotAction::Answer(..) => {}
                action => self.push(
                    now + STORE_ROUND_TRIP / 2,
                    SimulationEvent::StoreCallArrived(slot, action),
                ),
            }
        }
        if let Some(at) = self.slots[slot as usize].next_tick_at() {
            self.push(at.max(now + Duration::from_micros(1)), SimulationEvent::Tick(slot));
        }
    }

    fn apply_store_call(&mut self, now: TimePoint, slot: u32, action: &SlotAction) {
        let head = self.keys[slot as usize].clone();
        let written = |outcome: Result<KeyVersion, KeyVersion>| {
            outcome.map_or(SwapOutcome::Conflict, SwapOutcome::Written)
        };
        let event = match action {
            SlotAction::ReadHead => {
                let found = self.store.get(&head);
                let found =
                    found.and_then(|it| Some((it.version, serde_json::from_str(&it.value).ok()?)));
                SlotEvent::HeadRead(ReadOutcome::Found(found))
            }
            SlotAction::ReadSegment(number) => {
                let found = self.store.get(&format!("{head}-{number}"));
                let found = found.and_then(|it| serde_json::from_str(&it.value).ok());
                SlotEvent::SegmentRead(*number, ReadOutcome::Found(found))
            }
            SlotAction::WriteSegment(number, segment) => {
                let value = serde_json::to_string(segment).unwrap_or_default();
                self.bytes += value.len() as u64;
                let key = format!("{head}-{number}");
                SlotEvent::SegmentWritten(written(self.store.swap(
                    &key,
                    KeyVersion::ABSENT,
                    &value,
                )))
            }
            SlotAction::SwapHead { expected, head: value } => {
                let value = serde_json::to_string(value).unwrap_or_default();
                self.bytes += value.len() as u64;
                SlotEvent::HeadSwapped(written(self.store.swap(&head, *expected, &value)))
            }
            SlotAction::DeleteSegment(_) | SlotAction::Answer(..) => return,
        };
        self.push(now + STORE_ROUND_TRIP / 2, SimulationEvent::Answered(slot, event));
    }
}

fn writes(seed: u64) -> Table {
    let title = "720 claims a second for 60 s, store answers in 4 ms";
    let columns =
        ["way", "pace ms", "writes/s", "reads/s", "KB written/s", "claim p50 ms", "claim p95 ms"];
    let mut table = Table::new("ledger_writes", title, &columns);
    let claims = draw(seed, CLAIMS_PER_S);
    let seconds = LENGTH_S as f64;
    for pace in [50, 100, 200, 400] {
        let simulation = group_commit(&claims, pace);
        let mut times: Vec<_> = simulation
            .granted
            .iter()
            .map(|(ticket, at)| *at - claims[ticket.0 as usize].0)
            .collect();
        table.push(vec![
            "ours: 16 slots, one chain each".to_owned(),
            pace.to_string(),
            two(simulation.store.writes as f64 / seconds),
            two(simulation.store.reads as f64 / seconds),
            two(simulation.bytes as f64 / 1_000.0 / seconds),
            millis(percentile(&mut times, 0.5)),
            millis(percentile(&mut times, 0.95)),
        ]);
    }
    for (way, leased) in
        [("naive: a key for each request", false), ("leased owners, a key for each request", true)]
    {
        let (store, bytes) = key_for_each(&claims, leased);
        table.push(vec![
            way.to_owned(),
            "-".to_owned(),
            two(store.writes as f64 / seconds),
            two(store.reads as f64 / seconds),
            two(bytes as f64 / 1_000.0 / seconds),
            millis(STORE_ROUND_TRIP),
            millis(STORE_ROUND_TRIP),
        ]);
    }
    table
}

/// Writes one create-if-absent per claim; leased owners also renew their leases.
fn key_for_each(claims: &[(TimePoint, Claim)], leased: bool) -> (StoreModel, u64) {
    let mut store = StoreModel::default();
    let mut bytes = 0;
    for (_, claim) in claims {
        let value =
            serde_json::to_string(&quincevalve_ledger::Entry::from(claim)).unwrap_or_default();
        bytes += value.len() as u64;
        let _ = store.swap(&format!("{:?}", claim.key), KeyVersion::ABSENT, &value);
    }
    let ttl = Duration::from_secs(5);
    for second in (0..LENGTH_S).step_by(2).filter(|_| leased) {
        for slot in 0..SLOTS {
            let now = TimePoint::from_millis(second * 1_000);
            store.lease(now, &format!("slot-{slot}"), "owner", ttl);
        }
    }
    (store, bytes)
}

fn group_commit(claims: &[(TimePoint, Claim)], pace_ms: u64) -> SlotSimulation {
    let settings =
        SlotSettings { write_interval: Duration::from_millis(pace_ms), ..SlotSettings::default() };
    let slots = (0..SLOTS).map(|_| Slot::new(settings, "owner")).collect();
    let keys = (0..SLOTS).map(|it| format!("slot-{it}")).collect();
    let mut simulation = SlotSimulation::new(slots, keys);
    for (at, (time, _)) in claims.iter().enumerate() {
        simulation.push(*time, SimulationEvent::Claim(at));
    }
    simulation.run(claims, |it| it.key.slot(SLOTS));
    simulation
}

const TAKEOVERS: u32 = 400;

/// A second VM takes over a slot while the first continues to write at its maximum rate.
fn takeover(seed: u64) -> Table {
    let title = "Taking a slot over from an owner that goes on writing";
    let columns = ["way", "owner's pace ms", "tries p50", "tries p95", "ms p95", "granted twice"];
    let mut table = Table::new("ledger_takeover", title, &columns);
    for pace in [0, 20, 200] {
        table.push(single_chain(seed, pace));
    }
    for pace in [0, 20, 200] {
        table.push(per_term(seed, pace));
    }
    table.push(leased(seed));
    table
}

fn takeover_row(
    way: &str,
    pace: u64,
    attempt_counts: &mut [u32],
    times: &mut [Duration],
    granted_twice: u32,
) -> Vec<String> {
    attempt_counts.sort_unstable();
    let at = |share: f64| {
        attempt_counts
            [((attempt_counts.len() as f64 * share) as usize).min(attempt_counts.len() - 1)]
    };
    vec![
        way.to_owned(),
        pace.to_string(),
        at(0.5).to_string(),
        at(0.95).to_string(),
        millis(percentile(times, 0.95)),
        granted_twice.to_string(),
    ]
}

/// Takeover in this system: the new owner reads and swaps the same single key that the old owner swaps.
fn single_chain(seed: u64, pace: u64) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut attempt_counts = Vec::new();
    let mut times = Vec::new();
    for _ in 0..TAKEOVERS {
        let mut store = StoreModel::default();
        let mut owner = Chain::new(rng.random_range(0..=pace * 1_000));
        let mut new_owner = Chain::new(rng.random_range(0..=pace * 1_000));
        let began = new_owner.at;
        let mut attempts = 0;
        loop {
            // Store calls are applied in order of arrival; the old owner stops once it is fenced.
            if owner.at <= new_owner.at && !owner.fenced {
                owner.step(&mut store, pace, &mut rng);
                continue;
            }
            let swapped = new_owner.step(&mut store, 0, &mut rng);
            if swapped.is_some() {
                attempts += 1;
            }
            if swapped == Some(true) || attempts > 200 {
                break;
            }
        }
        attempt_counts.push(attempts);
        times.push(new_owner.at - began);
    }
    takeover_row("ours: single chain", pace, &mut attempt_counts, &mut times, 0)
}

/// A writer that reads a key and then swaps it repeatedly until a swap fails.
struct Chain {
    at: TimePoint,
    version: Option<KeyVersion>,
    fenced: bool,
}

impl Chain {
    const fn new(offset_us: u64) -> Self {
        Self { at: TimePoint(offset_us), version: None, fenced: false }
    }

    /// Makes one store call; returns `Some(won)` for a swap.
    fn step(&mut self, store: &mut StoreModel, pace: u64, rng: &mut Pcg64Mcg) -> Option<bool> {
        let jitter = Duration::from_micros(rng.random_range(2_000..6_000));
        let Some(version) = self.version else {
            self.version = Some(store.get("head").map_or(KeyVersion::ABSENT, |it| it.version));
            self.at = self.at + jitter;
            return None;
        };
        let won = store.swap("head", version, "x");
        self.version = won.ok();
        self.at = self.at + jitter + Duration::from_millis(if won.is_ok() { pace } else { 0 });
        Some(won.is_ok())
    }
}

/// The related paper's refinement: one key per term, and the new owner deletes the keys of lower terms. Each batch
/// needs a key of its own, because deleting a key loses its last value.
fn per_term(seed: u64, pace: u64) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut attempt_counts = Vec::new();
    let mut times = Vec::new();
    for _ in 0..TAKEOVERS {
        let mut store = StoreModel::default();
        let mut at = TimePoint(0);
        let mut owner_at = TimePoint(rng.random_range(0..=pace * 1_000));
        let mut version = store.swap("term-1", KeyVersion::ABSENT, "x").unwrap_or_default();
        // Creates the key of the new term, reads that of the old term and deletes it at the version read.
        let _ = store.swap("term-2", KeyVersion::ABSENT, "x");
        let mut attempts = 0;
        loop {
            at = at + Duration::from_micros(rng.random_range(2_000..6_000));
            let read = store.get("term-1").map_or(KeyVersion::ABSENT, |it| it.version);
            at = at + Duration::from_micros(rng.random_range(2_000..6_000));
            while owner_at <= at {
                if let Ok(next) = store.swap("term-1", version, "x") {
                    version = next;
                }
                let call = Duration::from_micros(rng.random_range(2_000..6_000));
                owner_at = owner_at + call + Duration::from_millis(pace);
            }
            attempts += 1;
            // In a store without unconditional deletion, this delete can lose a race just as a swap can.
            if store.delete("term-1", read).is_ok() || attempts > 200 {
                break;
            }
        }
        attempt_counts.push(attempts);
        times.push(at - TimePoint(0));
    }
    takeover_row("per-term keys, conditional delete", pace, &mut attempt_counts, &mut times, 0)
}

/// Leased owners without fencing: an owner paused beyond its lease's expiry continues as if it still held the lease.
fn leased(seed: u64) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let ttl = Duration::from_secs(5);
    let mut granted_twice = 0;
    let mut times = Vec::new();
    let mut attempt_counts = Vec::new();
    for _ in 0..TAKEOVERS {
        let mut store = StoreModel::default();
        store.lease(TimePoint::ZERO, "slot", "owner", ttl);
        let pause = Duration::from_millis(rng.random_range(0..10_000));
        let mut now = TimePoint::ZERO;
        let mut attempts = 0;
        while store.lease(now, "slot", "taker", ttl).holder != "taker" {
            now = now + Duration::from_millis(500);
            attempts += 1;
        }
        // The owner checked its lease before the pause and grants a key after the pause.
        if pause >= now - TimePoint::ZERO {
            granted_twice += 1;
        }
        attempt_counts.push(attempts);
        times.push(now - TimePoint::ZERO);
    }
    takeover_row("leased owner, no fence", 0, &mut attempt_counts, &mut times, granted_twice)
}

/// Measures how long the first claim waits after the takeover of a slot with many stored segments.
fn full_takeover() -> Table {
    let title =
        "The first claim after a slot with kept segments is taken over, 256 claims a segment";
    let columns = ["kept segments", "kept claims", "reads", "ms until granted"];
    let mut table = Table::new("ledger_full_takeover", title, &columns);
    for segments in [0, 10, 100, 633] {
        let slot = Slot::new(SlotSettings::default(), "taker");
        let mut simulation = SlotSimulation::new(vec![slot], vec!["slot-0".to_owned()]);
        fill(&mut simulation.store, segments);
        let request = RequestId::new(HomeTag(1), u128::MAX);
        let claim = Claim { key: ClaimKey(u128::MAX), request, fingerprint: 0, at: 1 };
        let claims = [(TimePoint::ZERO, claim)];
        simulation.push(TimePoint::ZERO, SimulationEvent::Claim(0));
        let before = simulation.store.reads;
        simulation.run(&claims, |_| 0);
        let granted = simulation.granted.first().map(|it| it.1 - TimePoint::ZERO);
        table.push(vec![
            segments.to_string(),
            (segments * SEGMENT_CLAIMS).to_string(),
            (simulation.store.reads - before).to_string(),
            granted.map_or_else(|| "never".to_owned(), millis),
        ]);
    }
    table
}

const SEGMENT_CLAIMS: u64 = 256;

fn fill(store: &mut StoreModel, segments: u64) {
    for number in 0..segments {
        let entry = |it: u64| quincevalve_ledger::Entry {
            key: ClaimKey(u128::from(number * SEGMENT_CLAIMS + it)),
            request: RequestId::new(HomeTag(1), u128::from(it)),
            fingerprint: 0,
            at: 1,
        };
        let segment =
            quincevalve_ledger::Segment { entries: (0..SEGMENT_CLAIMS).map(entry).collect() };
        let value = serde_json::to_string(&segment).unwrap_or_default();
        let _ = store.swap(&format!("slot-0-{number}"), KeyVersion::ABSENT, &value);
    }
    let head = quincevalve_ledger::Head { next_segment: segments, ..Default::default() };
    let value = serde_json::to_string(&head).unwrap_or_default();
    let _ = store.swap("slot-0", KeyVersion::ABSENT, &value);
}
