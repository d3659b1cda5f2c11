//! The claim ledger: store writes, and takeover from a busy owner, beside three other ways.

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

/// The target: 3,600 requests a second, 20 in 100 non-idempotent.
const CLAIMS_PER_S: f64 = 720.0;
const SLOTS: u32 = 16;
const LENGTH_S: u64 = 60;
/// The store's answer, one way and back.
const CALL: Duration = Duration::from_millis(4);

pub(crate) fn run(seed: u64) -> Vec<Table> {
    vec![writes(seed), takeover(seed), full_takeover()]
}

/// Claims by slot and time.
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
enum Happening {
    Claim(usize),
    Landed(u32, SlotAction),
    Answered(u32, SlotEvent),
    Tick(u32),
}

/// Slots against one store in virtual time.
struct Desk {
    store: StoreModel,
    slots: Vec<Slot>,
    keys: Vec<String>,
    queue: BinaryHeap<Reverse<(TimePoint, u64)>>,
    happenings: std::collections::HashMap<u64, Happening>,
    next: u64,
    granted: Vec<(Ticket, TimePoint)>,
    bytes: u64,
}

impl Desk {
    fn new(slots: Vec<Slot>, keys: Vec<String>) -> Self {
        Self {
            store: StoreModel::default(),
            slots,
            keys,
            queue: BinaryHeap::new(),
            happenings: std::collections::HashMap::new(),
            next: 0,
            granted: Vec::new(),
            bytes: 0,
        }
    }

    fn push(&mut self, at: TimePoint, happening: Happening) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.happenings.insert(self.next, happening);
    }

    fn run(&mut self, claims: &[(TimePoint, Claim)], slot_of: impl Fn(&Claim) -> u32) {
        while let Some(Reverse((now, id))) = self.queue.pop() {
            match self.happenings.remove(&id) {
                Some(Happening::Claim(at)) => {
                    let claim = claims[at].1;
                    let deadline = now + Duration::from_secs(10);
                    let ticket = Ticket(at as u64);
                    let event = SlotEvent::Claim { ticket, claim, deadline };
                    self.handle(now, slot_of(&claim), event);
                }
                Some(Happening::Landed(slot, action)) => self.land(now, slot, &action),
                Some(Happening::Answered(slot, event)) => self.handle(now, slot, event),
                Some(Happening::Tick(slot)) => self.handle(now, slot, SlotEvent::Tick),
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
                action => self.push(now + CALL / 2, Happening::Landed(slot, action)),
            }
        }
        if let Some(at) = self.slots[slot as usize].next_tick_at() {
            self.push(at.max(now + Duration::from_micros(1)), Happening::Tick(slot));
        }
    }

    fn land(&mut self, now: TimePoint, slot: u32, action: &SlotAction) {
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
        self.push(now + CALL / 2, Happening::Answered(slot, event));
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
        let desk = group_commit(&claims, pace);
        let mut times: Vec<_> =
            desk.granted.iter().map(|(ticket, at)| *at - claims[ticket.0 as usize].0).collect();
        table.push(vec![
            "ours: 16 slots, one chain each".to_owned(),
            pace.to_string(),
            two(desk.store.writes as f64 / seconds),
            two(desk.store.reads as f64 / seconds),
            two(desk.bytes as f64 / 1_000.0 / seconds),
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
            millis(CALL),
            millis(CALL),
        ]);
    }
    table
}

/// One create-if-absent for each claim; leased owners renew their leases beside that.
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

fn group_commit(claims: &[(TimePoint, Claim)], pace_ms: u64) -> Desk {
    let settings =
        SlotSettings { write_interval: Duration::from_millis(pace_ms), ..SlotSettings::default() };
    let slots = (0..SLOTS).map(|_| Slot::new(settings, "owner")).collect();
    let keys = (0..SLOTS).map(|it| format!("slot-{it}")).collect();
    let mut desk = Desk::new(slots, keys);
    for (at, (time, _)) in claims.iter().enumerate() {
        desk.push(*time, Happening::Claim(at));
    }
    desk.run(claims, |it| it.key.slot(SLOTS));
    desk
}

const TAKEOVERS: u32 = 400;

/// A second VM takes a slot while the first goes on writing as fast as its pace allows.
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
    tries: &mut [u32],
    times: &mut [Duration],
    doubled: u32,
) -> Vec<String> {
    tries.sort_unstable();
    let at = |share: f64| tries[((tries.len() as f64 * share) as usize).min(tries.len() - 1)];
    vec![
        way.to_owned(),
        pace.to_string(),
        at(0.5).to_string(),
        at(0.95).to_string(),
        millis(percentile(times, 0.95)),
        doubled.to_string(),
    ]
}

/// Ours: the taker reads and swaps the one key that the owner swaps too.
fn single_chain(seed: u64, pace: u64) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut tries = Vec::new();
    let mut times = Vec::new();
    for _ in 0..TAKEOVERS {
        let mut store = StoreModel::default();
        let mut owner = Chain::new(rng.random_range(0..=pace * 1_000));
        let mut taker = Chain::new(rng.random_range(0..=pace * 1_000));
        let began = taker.at;
        let mut tried = 0;
        loop {
            // Whoever's next call lands first goes first; the owner stops once it is fenced.
            if owner.at <= taker.at && !owner.fenced {
                owner.step(&mut store, pace, &mut rng);
                continue;
            }
            let swapped = taker.step(&mut store, 0, &mut rng);
            if swapped.is_some() {
                tried += 1;
            }
            if swapped == Some(true) || tried > 200 {
                break;
            }
        }
        tries.push(tried);
        times.push(taker.at - began);
    }
    takeover_row("ours: single chain", pace, &mut tries, &mut times, 0)
}

/// A writer that reads, swaps, and goes on swapping as long as it wins.
struct Chain {
    at: TimePoint,
    version: Option<KeyVersion>,
    fenced: bool,
}

impl Chain {
    const fn new(offset_us: u64) -> Self {
        Self { at: TimePoint(offset_us), version: None, fenced: false }
    }

    /// One store call; `Some(won)` for a swap.
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

/// The related paper's refinement: a key for each term, and the taker deletes the lower ones. A batch
/// has to stand in a key of its own, since a deleted key's last value is lost with it.
fn per_term(seed: u64, pace: u64) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut tries = Vec::new();
    let mut times = Vec::new();
    for _ in 0..TAKEOVERS {
        let mut store = StoreModel::default();
        let mut at = TimePoint(0);
        let mut owner_at = TimePoint(rng.random_range(0..=pace * 1_000));
        let mut version = store.swap("term-1", KeyVersion::ABSENT, "x").unwrap_or_default();
        // Create the own term, read the old one, delete it at the version read.
        let _ = store.swap("term-2", KeyVersion::ABSENT, "x");
        let mut tried = 0;
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
            tried += 1;
            // A store without unconditional deletion races here as a swap does.
            if store.delete("term-1", read).is_ok() || tried > 200 {
                break;
            }
        }
        tries.push(tried);
        times.push(at - TimePoint(0));
    }
    takeover_row("per-term keys, conditional delete", pace, &mut tries, &mut times, 0)
}

/// Leased owners without a fence: an owner that is paused past its lease goes on as if it held it.
fn leased(seed: u64) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let ttl = Duration::from_secs(5);
    let mut doubled = 0;
    let mut times = Vec::new();
    let mut tries = Vec::new();
    for _ in 0..TAKEOVERS {
        let mut store = StoreModel::default();
        store.lease(TimePoint::ZERO, "slot", "owner", ttl);
        let pause = Duration::from_millis(rng.random_range(0..10_000));
        let mut now = TimePoint::ZERO;
        let mut tried = 0;
        while store.lease(now, "slot", "taker", ttl).holder != "taker" {
            now = now + Duration::from_millis(500);
            tried += 1;
        }
        // The paused owner had checked its lease before the pause, and grants a key after it.
        if pause >= now - TimePoint::ZERO {
            doubled += 1;
        }
        tries.push(tried);
        times.push(now - TimePoint::ZERO);
    }
    takeover_row("leased owner, no fence", 0, &mut tries, &mut times, doubled)
}

/// How long the first claim waits when a slot with many kept segments is taken over.
fn full_takeover() -> Table {
    let title =
        "The first claim after a slot with kept segments is taken over, 256 claims a segment";
    let columns = ["kept segments", "kept claims", "reads", "ms until granted"];
    let mut table = Table::new("ledger_full_takeover", title, &columns);
    for segments in [0, 10, 100, 633] {
        let slot = Slot::new(SlotSettings::default(), "taker");
        let mut desk = Desk::new(vec![slot], vec!["slot-0".to_owned()]);
        fill(&mut desk.store, segments);
        let request = RequestId::new(HomeTag(1), u128::MAX);
        let claim = Claim { key: ClaimKey(u128::MAX), request, fingerprint: 0, at: 1 };
        let claims = [(TimePoint::ZERO, claim)];
        desk.push(TimePoint::ZERO, Happening::Claim(0));
        let before = desk.store.reads;
        desk.run(&claims, |_| 0);
        let granted = desk.granted.first().map(|it| it.1 - TimePoint::ZERO);
        table.push(vec![
            segments.to_string(),
            (segments * SEGMENT_CLAIMS).to_string(),
            (desk.store.reads - before).to_string(),
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
