//! A record that is handed over is dispatched by at most one VM, whatever gets lost.
//!
//! The caller sees a seat booked twice. The sender's message was taken while its answer was lost, the
//! sender tried another VM, and both dispatched. The receivers here leave, die after taking, and lose
//! answers in random turns.

use std::collections::HashMap;

use proptest::prelude::*;
use quincevalve_inventory::Execution;
use quincevalve_names::{EntryVmName, HomeTag, RequestId};
use quincevalve_recovery::{
    HandOverAction, HandOverId, HandOverReceiver, HandOverSender, ReceiverVerdict, SendOutcome,
};

/// What happens to one send.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    AnswerLost,
    NotSent,
    ReceiverLeaves,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        Just(Fate::Answered),
        Just(Fate::AnswerLost),
        Just(Fate::AnswerLost),
        Just(Fate::NotSent),
        Just(Fate::ReceiverLeaves),
    ]
}

struct Outcome {
    /// How many VMs have the right to dispatch, the sender among them.
    rights: usize,
    end: HandOverAction,
}

fn hand_over(execution: Execution, fates: &[Fate]) -> Outcome {
    let request = RequestId::new(HomeTag(1), 7);
    let sender: EntryVmName = "sender".into();
    let candidates: Vec<(EntryVmName, u64)> =
        (0..4_u64).map(|it| (format!("vm-{it}").as_str().into(), it * 31)).collect();
    let mut receivers: HashMap<EntryVmName, HandOverReceiver> =
        candidates.iter().map(|it| (it.0.clone(), HandOverReceiver::default())).collect();
    let mut takers = Vec::new();
    let mut core = HandOverSender::new(HandOverId(1), request, execution, &candidates);
    let mut action = core.start();
    let mut fates = fates.iter().copied().chain(std::iter::repeat(Fate::AnswerLost));
    while let HandOverAction::Send { to, id } = action.clone() {
        let Some(fate) = fates.next() else { break };
        let receiver = receivers.get_mut(&to).expect("a candidate");
        if matches!(fate, Fate::ReceiverLeaves) {
            receiver.leave();
        }
        let outcome = if matches!(fate, Fate::NotSent) {
            SendOutcome::NotSent
        } else {
            let verdict = receiver.receive(&sender, id, request);
            if verdict == ReceiverVerdict::Take {
                takers.push(to.clone());
            }
            match (fate, verdict) {
                (Fate::AnswerLost, _) => SendOutcome::Unknown,
                (_, ReceiverVerdict::Refuse) => SendOutcome::Refused,
                (_, ReceiverVerdict::Take | ReceiverVerdict::TakenBefore) => SendOutcome::Taken,
            }
        };
        action = core.sent(outcome);
    }
    let kept = usize::from(action == HandOverAction::Keep);
    Outcome { rights: takers.len() + kept, end: action }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn at_most_one_vm_dispatches(fates in prop::collection::vec(fate(), 0..20)) {
        let outcome = hand_over(Execution::NonIdempotent, &fates);
        prop_assert!(outcome.rights <= 1, "{} VMs have the right", outcome.rights);
    }

    #[test]
    fn somebody_has_it_or_the_truth_is_told(
        fates in prop::collection::vec(fate(), 0..20),
        idempotent in any::<bool>(),
    ) {
        let execution =
            if idempotent { Execution::Idempotent } else { Execution::NonIdempotent };
        let outcome = hand_over(execution, &fates);
        prop_assert!(outcome.rights >= 1 || outcome.end == HandOverAction::MayHaveRun);
    }
}
