//! Tests that at most one VM dispatches a record that is handed over.
//!
//! Guards against duplicate execution: a receiver accepts a record, its answer is lost, the sender tries another VM,
//! and both dispatch the request. In random order, receivers here leave and answers get lost, also after the receiver
//! has accepted the record.

use std::collections::HashMap;

use proptest::prelude::*;
use quincevalve_inventory::Execution;
use quincevalve_names::{EntryVmName, HomeTag, RequestId};
use quincevalve_recovery::{
    HandOverAction, HandOverId, HandOverReceiver, HandOverSender, ReceiverVerdict, SendOutcome,
};

/// The simulated delivery of one send.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Answered,
    AnswerLost,
    NotSent,
    ReceiverLeaves,
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        Just(Delivery::Answered),
        Just(Delivery::AnswerLost),
        Just(Delivery::AnswerLost),
        Just(Delivery::NotSent),
        Just(Delivery::ReceiverLeaves),
    ]
}

struct Outcome {
    /// Number of VMs that have the right to dispatch, including the sender.
    dispatchers: usize,
    end: HandOverAction,
}

fn hand_over(execution: Execution, deliveries: &[Delivery]) -> Outcome {
    let request = RequestId::new(HomeTag(1), 7);
    let sender: EntryVmName = "sender".into();
    let candidates: Vec<(EntryVmName, u64)> =
        (0..4_u64).map(|it| (format!("vm-{it}").as_str().into(), it * 31)).collect();
    let mut receivers: HashMap<EntryVmName, HandOverReceiver> =
        candidates.iter().map(|it| (it.0.clone(), HandOverReceiver::default())).collect();
    let mut acceptors = Vec::new();
    let mut core = HandOverSender::new(HandOverId(1), request, execution, &candidates);
    let mut action = core.start();
    let mut deliveries = deliveries.iter().copied().chain(std::iter::repeat(Delivery::AnswerLost));
    while let HandOverAction::Send { to, id } = action.clone() {
        let Some(delivery) = deliveries.next() else { break };
        let receiver = receivers.get_mut(&to).expect("a candidate");
        if matches!(delivery, Delivery::ReceiverLeaves) {
            receiver.leave();
        }
        let outcome = if matches!(delivery, Delivery::NotSent) {
            SendOutcome::NotSent
        } else {
            let verdict = receiver.receive(&sender, id, request);
            if verdict == ReceiverVerdict::Take {
                acceptors.push(to.clone());
            }
            match (delivery, verdict) {
                (Delivery::AnswerLost, _) => SendOutcome::Unknown,
                (_, ReceiverVerdict::Refuse) => SendOutcome::Refused,
                (_, ReceiverVerdict::Take | ReceiverVerdict::TakenBefore) => SendOutcome::Taken,
            }
        };
        action = core.handle_send_outcome(outcome);
    }
    let kept = usize::from(action == HandOverAction::Keep);
    Outcome { dispatchers: acceptors.len() + kept, end: action }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn at_most_one_vm_may_dispatch(deliveries in prop::collection::vec(delivery(), 0..20)) {
        let outcome = hand_over(Execution::NonIdempotent, &deliveries);
        prop_assert!(outcome.dispatchers <= 1, "{} VMs may dispatch", outcome.dispatchers);
    }

    #[test]
    fn a_vm_owns_the_record_or_the_sender_reports_that_it_may_have_run(
        deliveries in prop::collection::vec(delivery(), 0..20),
        idempotent in any::<bool>(),
    ) {
        let execution =
            if idempotent { Execution::Idempotent } else { Execution::NonIdempotent };
        let outcome = hand_over(execution, &deliveries);
        prop_assert!(outcome.dispatchers >= 1 || outcome.end == HandOverAction::MayHaveRun);
    }
}
