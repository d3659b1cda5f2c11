//! Tests at-most-once execution over random interleavings of writers, pauses, outages and lost answers.
//!
//! Two requests with one idempotency key are sent to different entry VMs. The VMs' slots read and swap the same store
//! key while calls are delayed, lost or take effect after their outcome was reported as unknown. At most one request
//! may be granted, since a granted request is dispatched.

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

/// Probabilities of the injected faults, in percent.
#[derive(Clone, Copy, Debug)]
struct FaultRates {
    /// A write takes effect, but its answer is lost.
    answer_lost: u32,
    /// The store rejects a call, without effect.
    rejected: u32,
    /// A write takes effect after its outcome was reported as unknown.
    delayed_write: u32,
    /// No call completes in a step.
    pause: u32,
}

/// A store call in flight. It takes effect at most once, and its answer arrives once.
#[derive(Clone, Debug)]
struct Call {
    vm: usize,
    action: SlotAction,
}

/// A write whose outcome was reported as unknown and that may take effect at any later time.
type DelayedWrite = SlotAction;

struct Run {
    rng: Pcg64Mcg,
    faults: FaultRates,
    now: TimePoint,
    store: StoreModel,
    slots: Vec<Slot>,
    calls: Vec<Call>,
    delayed_writes: Vec<DelayedWrite>,
    claims: HashMap<(usize, Ticket), Claim>,
    granted: HashMap<ClaimKey, RequestId>,
    answered: u32,
    submitted: u32,
}

fn settings() -> SlotSettings {
    SlotSettings {
        write_interval: Duration::from_millis(5),
        segment_entries: 4,
        max_batch_claims: 3,
        retention_s: 1_000_000,
    }
}

impl Run {
    fn new(seed: u64, faults: FaultRates) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            faults,
            now: TimePoint::ZERO,
            store: StoreModel::default(),
            slots: (0..VMS).map(|it| Slot::new(settings(), &format!("vm-{it}"))).collect(),
            calls: Vec::new(),
            delayed_writes: Vec::new(),
            claims: HashMap::new(),
            granted: HashMap::new(),
            answered: 0,
            submitted: 0,
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(1);
        match self.rng.random_range(0..4) {
            0 => self.submit_claim(),
            1 if !self.delayed_writes.is_empty() => self.apply_delayed_write(),
            2 if !self.calls.is_empty() && !self.chance(self.faults.pause) => self.complete_call(),
            _ => {
                let vm = self.rng.random_range(0..VMS);
                self.deliver(vm, SlotEvent::Tick);
            }
        }
    }

    fn submit_claim(&mut self) {
        self.submitted += 1;
        let vm = self.rng.random_range(0..VMS);
        let ticket = Ticket(u64::from(self.submitted));
        let claim = Claim {
            key: ClaimKey(u128::from(
                self.rng.random_range(0..KEYS) + u64::from(self.submitted / 20) * KEYS,
            )),
            request: RequestId::new(HomeTag(vm as u32), u128::from(self.submitted)),
            fingerprint: 0,
            at: u64::from(self.submitted),
        };
        self.claims.insert((vm, ticket), claim);
        let deadline = self.now + Duration::from_millis(self.rng.random_range(5..200));
        self.deliver(vm, SlotEvent::Claim { ticket, claim, deadline });
    }

    fn deliver(&mut self, vm: usize, event: SlotEvent) {
        let mut actions = Vec::new();
        self.slots[vm].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                SlotAction::Answer(ticket, verdict) => self.record_answer(vm, ticket, verdict),
                action => self.calls.push(Call { vm, action }),
            }
        }
    }

    fn record_answer(&mut self, vm: usize, ticket: Ticket, verdict: Verdict) {
        self.answered += 1;
        let claim = self.claims[&(vm, ticket)];
        if verdict == Verdict::Granted {
            let first = *self.granted.entry(claim.key).or_insert(claim.request);
            assert_eq!(first, claim.request, "two requests were granted key {:?}", claim.key);
        }
    }

    fn apply_delayed_write(&mut self) {
        let at = self.rng.random_range(0..self.delayed_writes.len());
        let delayed = self.delayed_writes.swap_remove(at);
        self.write(&delayed);
    }

    fn complete_call(&mut self) {
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
            SlotAction::WriteSegment(..) => {
                SlotEvent::SegmentWritten(self.write_with_faults(&action))
            }
            SlotAction::SwapHead { .. } => SlotEvent::HeadSwapped(self.write_with_faults(&action)),
            SlotAction::DeleteSegment(number) => {
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
        if self.chance(self.faults.rejected) {
            return ReadOutcome::Failed;
        }
        let found = self.store.get(key);
        ReadOutcome::Found(found.map(|it| (it.version, serde_json::from_str(&it.value).unwrap())))
    }

    fn write_with_faults(&mut self, action: &SlotAction) -> SwapOutcome {
        if self.chance(self.faults.rejected) {
            return SwapOutcome::NotWritten;
        }
        if self.chance(self.faults.delayed_write) {
            self.delayed_writes.push(action.clone());
            return SwapOutcome::Unknown;
        }
        let outcome = self.write(action);
        if self.chance(self.faults.answer_lost) { SwapOutcome::Unknown } else { outcome }
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
            _ => unreachable!("not a write action"),
        };
        written.map_or(SwapOutcome::Conflict, SwapOutcome::Written)
    }

    /// Completes all calls in flight and pending claims without faults.
    fn settle(&mut self) {
        self.faults = FaultRates { answer_lost: 0, rejected: 0, delayed_write: 0, pause: 0 };
        for _ in 0..4_000 {
            self.now = self.now + Duration::from_millis(1);
            if self.calls.is_empty() {
                for vm in 0..VMS {
                    self.deliver(vm, SlotEvent::Tick);
                }
            } else {
                self.complete_call();
            }
            if self.answered == self.submitted && self.calls.is_empty() {
                return;
            }
        }
    }

    /// Returns all claims in the store, from the head and the segments.
    fn stored(&mut self) -> HashMap<ClaimKey, RequestId> {
        let ReadOutcome::Found(head) = self.read::<Head>("head") else { unreachable!() };
        let head = head.map(|it| it.1).unwrap_or_default();
        let mut entries = head.open.clone();
        for number in head.first_segment..head.next_segment {
            let key = format!("segment-{number}");
            let ReadOutcome::Found(Some((_, segment))) = self.read::<Segment>(&key) else {
                panic!("the head lists segment {number}, which is missing from the store");
            };
            entries.extend(segment.entries);
        }
        entries.into_iter().map(|it| (it.key, it.request)).collect()
    }
}

fn check(seed: u64, faults: FaultRates) {
    let mut run = Run::new(seed, faults);
    for _ in 0..STEPS {
        run.step();
    }
    run.settle();
    assert_eq!(run.answered, run.submitted, "a claim was never answered");
    let stored = run.stored();
    for (key, request) in run.granted.clone() {
        assert_eq!(stored.get(&key), Some(&request), "a granted claim is not in the store");
    }
}

fn faults() -> impl Strategy<Value = FaultRates> {
    (0..50_u32, 0..40_u32, 0..40_u32, 0..60_u32).prop_map(
        |(answer_lost, rejected, delayed_write, pause)| FaultRates {
            answer_lost,
            rejected,
            delayed_write,
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
    fn grants_at_most_one_request_per_key(seed in any::<u64>(), faults in faults()) {
        check(seed, faults);
    }
}

proptest! {
    #![proptest_config(config(10_000))]

    #[test]
    #[ignore = "the long run: cargo test --release -p quincevalve_ledger -- --ignored"]
    fn grants_at_most_one_request_per_key_long(seed in any::<u64>(), faults in faults()) {
        check(seed, faults);
    }
}
