//! Properties of capacity, queueing and fairness over random arrivals and completions.

use std::{collections::HashMap, time::Duration};

use proptest::prelude::*;
use quincevalve_admission::{
    AccountIndex, AccountLimits, Admission, AdmissionSettings, Arrival, Decision, Ticket, Urgency,
};
use quincevalve_names::TimePoint;

const CAPACITY: u32 = 4;
const ACCOUNTS: u32 = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive { account: u32, bulk: bool, patience_ms: u64 },
    Finish,
    Advance { ms: u64 },
    Cancel,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..ACCOUNTS, any::<bool>(), 100..5_000_u64)
            .prop_map(|(account, bulk, patience_ms)| Step::Arrive { account, bulk, patience_ms }),
        Just(Step::Finish),
        (1..400_u64).prop_map(|ms| Step::Advance { ms }),
        Just(Step::Cancel),
    ]
}

fn admission() -> Admission {
    let mut admission = Admission::new(AdmissionSettings::default(), CAPACITY);
    for account in 0..ACCOUNTS {
        let limits = AccountLimits { weight: account + 1, max_concurrent: 50 };
        admission.set_account(AccountIndex(account), limits);
    }
    admission
}

#[derive(Default)]
struct Model {
    running: Vec<AccountIndex>,
    waiting: HashMap<Ticket, (AccountIndex, TimePoint)>,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(19),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Running requests never exceed the capacity. Every waiting request is started, expired or cancelled exactly
    // once, and none is started after its deadline or left in the queue forever.
    #[test]
    fn every_waiting_request_ends_exactly_once(steps in prop::collection::vec(step(), 1..200)) {
        let mut admission = admission();
        let mut model = Model::default();
        let mut now = TimePoint::ZERO;
        let mut next = 0;
        for step in steps {
            match step {
                Step::Arrive { account, bulk, patience_ms } => {
                    next += 1;
                    let arrival = Arrival {
                        ticket: Ticket(next),
                        account: AccountIndex(account),
                        urgency: if bulk { Urgency::BULK } else { Urgency::INTERACTIVE },
                        deadline: now + Duration::from_millis(patience_ms),
                        required_time: Duration::from_millis(50),
                        cost: 1,
                    };
                    match admission.arrive(now, &arrival) {
                        Decision::Run => model.running.push(arrival.account),
                        Decision::Wait => {
                            model.waiting.insert(arrival.ticket, (arrival.account, arrival.deadline));
                        }
                        Decision::Refuse { retry_after, .. } => {
                            prop_assert!(retry_after <= Duration::from_secs(4_000));
                        }
                    }
                }
                Step::Finish => {
                    if let Some(account) = model.running.pop() {
                        admission.finish(account, Duration::from_millis(100));
                    }
                }
                Step::Advance { ms } => now = now + Duration::from_millis(ms),
                Step::Cancel => {
                    let ticket = model.waiting.keys().min().copied();
                    if let Some(ticket) = ticket {
                        prop_assert!(admission.cancel(ticket));
                        model.waiting.remove(&ticket);
                    }
                }
            }
            for ticket in admission.expire(now) {
                prop_assert!(model.waiting.remove(&ticket).is_some());
            }
            while let Some(ticket) = admission.start_next() {
                let waiting = model.waiting.remove(&ticket);
                prop_assert!(waiting.is_some_and(|it| it.1 > now));
                if let Some((account, _)) = waiting {
                    model.running.push(account);
                }
            }
            prop_assert!(model.running.len() <= CAPACITY as usize);
            prop_assert_eq!(admission.demand() as usize, model.running.len() + model.waiting.len());
        }
        let after_all_deadlines = now + Duration::from_secs(60);
        prop_assert_eq!(admission.expire(after_all_deadlines).len(), model.waiting.len());
    }
}

// Bulk work starves if interactive requests arrive faster than capacity becomes free and always go first. At
// least one start in eight must go to bulk work.
#[test]
fn bulk_work_is_not_starved_by_interactive_work() {
    let mut admission = admission();
    let account = AccountIndex(0);
    let arrive = |admission: &mut Admission, ticket, urgency| {
        let arrival = Arrival {
            ticket: Ticket(ticket),
            account,
            urgency,
            deadline: TimePoint::from_millis(600_000),
            required_time: Duration::ZERO,
            cost: 1,
        };
        admission.arrive(TimePoint::ZERO, &arrival)
    };
    for ticket in 0..u64::from(CAPACITY) {
        assert_eq!(arrive(&mut admission, ticket, Urgency::INTERACTIVE), Decision::Run);
    }
    assert_eq!(arrive(&mut admission, 99, Urgency::BULK), Decision::Wait);
    let mut starts = 0;
    for ticket in 100..140 {
        arrive(&mut admission, ticket, Urgency::INTERACTIVE);
        admission.finish(account, Duration::from_millis(10));
        starts += 1;
        if admission.start_next() == Some(Ticket(99)) {
            assert!(starts <= 8, "bulk work waited for {starts} starts");
            return;
        }
    }
    panic!("bulk work never started");
}
