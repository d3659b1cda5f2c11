//! At most once, over random interleavings of writers, pauses, outages and lost answers.
//!
//! The caller sees two requests under one idempotency key, sent to different entry VMs. The VMs' slots
//! read and swap the same store key while calls are late, lost or landed after their answer was given
//! up. At most one request may ever be granted, since a granted one is dispatched.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{collections::HashMap, time::Duration};

use proptest::prelude::*;
use quincevalve_ledger::{
    Claim, ClaimKey, Head, ReadOutcome, Segment, Slot, SlotAction, SlotEvent, SlotSettings,
    SwapOutcome, Ticket, Verdict,
};
use quincevalve_names::{HomeTag, RequestId, TimePoint};
use quincevalve_ports::store::KeyVersion;
use quincevalve_standins::StoreModel;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const VMS: usize = 3;
const KEYS: u64 = 6;
const STEPS: u32 = 400;

/// How a run is troubled, in hundredths.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    lost_answer: u32,
    not_taken: u32,
    late_landing: u32,
    pause: u32,
}

/// A store call on its way: it lands once, and its answer arrives once or never.
#[derive(Clone, Debug)]
struct Call {
    vm: usize,
    action: SlotAction,
}

/// A write whose sender was told that the outcome is unknown, and that may land at any later time.
type Stray = SlotAction;

struct Run {
    rng: Pcg64Mcg,
    trouble: Trouble,
    now: TimePoint,
    store: StoreModel,
    slots: Vec<Slot>,
    calls: Vec<Call>,
    strays: Vec<Stray>,
    claims: HashMap<(usize, Ticket), Claim>,
    granted: HashMap<ClaimKey, RequestId>,
    answered: u32,
    asked: u32,
}

fn settings() -> SlotSettings {
    SlotSettings {
        pace: Duration::from_millis(5),
        segment_entries: 4,
        batch: 3,
        retention_s: 1_000_000,
    }
}

impl Run {
    fn new(seed: u64, trouble: Trouble) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            trouble,
            now: TimePoint::ZERO,
            store: StoreModel::default(),
            slots: (0..VMS).map(|it| Slot::new(settings(), &format!("vm-{it}"))).collect(),
            calls: Vec::new(),
            strays: Vec::new(),
            claims: HashMap::new(),
            granted: HashMap::new(),
            answered: 0,
            asked: 0,
        }
    }

    fn chance(&mut self, hundredths: u32) -> bool {
        self.rng.random_range(0..100) < hundredths
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(1);
        match self.rng.random_range(0..4) {
            0 => self.ask(),
            1 if !self.strays.is_empty() => self.land_stray(),
            2 if !self.calls.is_empty() && !self.chance(self.trouble.pause) => self.land_call(),
            _ => {
                let vm = self.rng.random_range(0..VMS);
                self.deliver(vm, SlotEvent::Tick);
            }
        }
    }

    fn ask(&mut self) {
        self.asked += 1;
        let vm = self.rng.random_range(0..VMS);
        let ticket = Ticket(u64::from(self.asked));
        let claim = Claim {
            key: ClaimKey(u128::from(
                self.rng.random_range(0..KEYS) + u64::from(self.asked / 20) * KEYS,
            )),
            request: RequestId::new(HomeTag(vm as u32), u128::from(self.asked)),
            fingerprint: 0,
            at: u64::from(self.asked),
        };
        self.claims.insert((vm, ticket), claim);
        let give_up_at = self.now + Duration::from_millis(self.rng.random_range(5..200));
        self.deliver(vm, SlotEvent::Claim { ticket, claim, give_up_at });
    }

    fn deliver(&mut self, vm: usize, event: SlotEvent) {
        let mut actions = Vec::new();
        self.slots[vm].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                SlotAction::Answer(ticket, verdict) => self.answered(vm, ticket, verdict),
                action => self.calls.push(Call { vm, action }),
            }
        }
    }

    fn answered(&mut self, vm: usize, ticket: Ticket, verdict: Verdict) {
        self.answered += 1;
        let claim = self.claims[&(vm, ticket)];
        if verdict == Verdict::Granted {
            let first = *self.granted.entry(claim.key).or_insert(claim.request);
            assert_eq!(first, claim.request, "two requests were granted {:?}", claim.key);
        }
    }

    fn land_stray(&mut self) {
        let at = self.rng.random_range(0..self.strays.len());
        let stray = self.strays.swap_remove(at);
        self.write(&stray);
    }

    fn land_call(&mut self) {
        let at = self.rng.random_range(0..self.calls.len());
        let Call { vm, action } = self.calls.swap_remove(at);
        let event = match &action {
            SlotAction::ReadHead => SlotEvent::HeadRead(self.read("head")),
            SlotAction::ReadSegment(number) => {
                let outcome = self.read::<Segment>(&format!("segment-{number}"));
                let outcome = match outcome {
                    ReadOutcome::Found(found) => ReadOutcome::Found(found.map(|it| it.1)),
                    ReadOutcome::Failed => ReadOutcome::Failed,
                };
                SlotEvent::SegmentRead(*number, outcome)
            }
            SlotAction::WriteSegment(..) => SlotEvent::SegmentWritten(self.troubled_write(&action)),
            SlotAction::SwapHead { .. } => SlotEvent::HeadSwapped(self.troubled_write(&action)),
            SlotAction::DropSegment(number) => {
                let key = format!("segment-{number}");
                if let Some(found) = self.store.get(&key) {
                    let _ = self.store.delete(&key, found.version);
                }
                return;
            }
            SlotAction::Answer(..) => return,
        };
        self.deliver(vm, event);
    }

    fn read<T>(&mut self, key: &str) -> ReadOutcome<(KeyVersion, T)>
    where
        T: serde::de::DeserializeOwned,
    {
        if self.chance(self.trouble.not_taken) {
            return ReadOutcome::Failed;
        }
        let found = self.store.get(key);
        ReadOutcome::Found(found.map(|it| (it.version, serde_json::from_str(&it.value).unwrap())))
    }

    fn troubled_write(&mut self, action: &SlotAction) -> SwapOutcome {
        if self.chance(self.trouble.not_taken) {
            return SwapOutcome::NotWritten;
        }
        if self.chance(self.trouble.late_landing) {
            self.strays.push(action.clone());
            return SwapOutcome::Unknown;
        }
        let outcome = self.write(action);
        if self.chance(self.trouble.lost_answer) { SwapOutcome::Unknown } else { outcome }
    }

    fn write(&mut self, action: &SlotAction) -> SwapOutcome {
        let written = match action {
            SlotAction::WriteSegment(number, segment) => {
                let value = serde_json::to_string(segment).unwrap();
                self.store.swap(&format!("segment-{number}"), KeyVersion::ABSENT, &value)
            }
            SlotAction::SwapHead { expected, head } => {
                let value = serde_json::to_string(head).unwrap();
                self.store.swap("head", *expected, &value)
            }
            _ => unreachable!("only writes land here"),
        };
        written.map_or(SwapOutcome::Conflict, SwapOutcome::Written)
    }

    /// Lets everything that is under way end, without trouble.
    fn settle(&mut self) {
        self.trouble = Trouble { lost_answer: 0, not_taken: 0, late_landing: 0, pause: 0 };
        for _ in 0..4_000 {
            self.now = self.now + Duration::from_millis(1);
            if self.calls.is_empty() {
                for vm in 0..VMS {
                    self.deliver(vm, SlotEvent::Tick);
                }
            } else {
                self.land_call();
            }
            if self.answered == self.asked && self.calls.is_empty() {
                return;
            }
        }
    }

    /// Every claim in the store: head and segments.
    fn stored(&mut self) -> HashMap<ClaimKey, RequestId> {
        let ReadOutcome::Found(head) = self.read::<Head>("head") else { unreachable!() };
        let head = head.map(|it| it.1).unwrap_or_default();
        let mut entries = head.open.clone();
        for number in head.first_segment..head.next_segment {
            let key = format!("segment-{number}");
            let ReadOutcome::Found(Some((_, segment))) = self.read::<Segment>(&key) else {
                panic!("the head names segment {number}, and the store has none");
            };
            entries.extend(segment.entries);
        }
        entries.into_iter().map(|it| (it.key, it.request)).collect()
    }
}

fn check(seed: u64, trouble: Trouble) {
    let mut run = Run::new(seed, trouble);
    for _ in 0..STEPS {
        run.step();
    }
    run.settle();
    assert_eq!(run.answered, run.asked, "a claim was never answered");
    let stored = run.stored();
    for (key, request) in run.granted.clone() {
        assert_eq!(stored.get(&key), Some(&request), "a granted claim is not in the store");
    }
}

fn trouble() -> impl Strategy<Value = Trouble> {
    (0..50_u32, 0..40_u32, 0..40_u32, 0..60_u32).prop_map(
        |(lost_answer, not_taken, late_landing, pause)| Trouble {
            lost_answer,
            not_taken,
            late_landing,
            pause,
        },
    )
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(400))]

    #[test]
    fn one_request_per_key_is_granted(seed in any::<u64>(), trouble in trouble()) {
        check(seed, trouble);
    }
}

proptest! {
    #![proptest_config(config(10_000))]

    #[test]
    #[ignore = "the long run: cargo test --release -p quincevalve_ledger -- --ignored"]
    fn one_request_per_key_is_granted_long(seed in any::<u64>(), trouble in trouble()) {
        check(seed, trouble);
    }
}
