//! Guards against an answer that is lost, runs twice or returns to a failed server after its stream broke off or stalled.

use std::time::Duration;

use proptest::prelude::*;
use quincevalve_recovery::{
    ContinueFrom::{Copy, Migrated, Start, Stopped},
    HandOverAnswer::{self, Declined, NoAnswer, NoRun},
    Obstacle,
    RecoveryAction::{self, Abort, AskSource, Continue, KeepReading},
    RecoveryConditions,
    RecoveryEvent::{self, Broke, Failed, HandOver, Stalled},
    RunRecovery,
};

const CONDITIONS: RecoveryConditions = RecoveryConditions {
    can_ask_source: true,
    copy_held: true,
    may_restart: false,
    obstacle: None,
    time_left: Duration::from_secs(5),
};
const NO_COPY: RecoveryConditions = RecoveryConditions { copy_held: false, ..CONDITIONS };
const RESTARTABLE: RecoveryConditions = RecoveryConditions { may_restart: true, ..NO_COPY };
const RESTARTABLE_COPY: RecoveryConditions = RecoveryConditions { may_restart: true, ..CONDITIONS };
const QUARANTINED: RecoveryConditions =
    RecoveryConditions { obstacle: Some(Obstacle::Quarantined), ..CONDITIONS };
const LATE: RecoveryConditions =
    RecoveryConditions { time_left: Duration::from_millis(20), ..CONDITIONS };
const NO_POSITION: RecoveryConditions =
    RecoveryConditions { obstacle: Some(Obstacle::UnknownPosition), ..CONDITIONS };
const NO_RETRY: RecoveryConditions =
    RecoveryConditions { obstacle: Some(Obstacle::NoRetryLeft), ..CONDITIONS };
const CANNOT_ASK: RecoveryConditions = RecoveryConditions { can_ask_source: false, ..CONDITIONS };

fn check(conditions: RecoveryConditions, steps: &[(RecoveryEvent, RecoveryAction)]) {
    let mut recovery = RunRecovery::default();
    for (at, (event, expected)) in steps.iter().enumerate() {
        assert_eq!(recovery.handle(*event, &conditions), *expected, "step {at}");
    }
}

macro_rules! cases {
    ($($name:ident: $conditions:expr, [$($event:expr => $action:expr),* $(,)?];)*) => {
        $(#[test]
        fn $name() {
            check($conditions, &[$(($event, $action)),*]);
        })*
    };
}

const MOVED: RecoveryEvent = HandOver(HandOverAnswer::Migrated);
const STOPPED: RecoveryEvent = HandOver(HandOverAnswer::Stopped);

cases! {
    continues_where_the_source_moved_the_run: CONDITIONS,
        [Broke => AskSource, MOVED => Continue(Migrated)];
    continues_at_a_source_that_stopped: CONDITIONS,
        [Broke => AskSource, STOPPED => Continue(Stopped)];
    // The target is full or restarted: the source and then the copy are used.
    uses_the_next_option_after_each_failure: CONDITIONS,
        [Broke => AskSource, MOVED => Continue(Migrated), Failed => Continue(Stopped),
         Failed => Continue(Copy), Failed => Abort];
    uses_the_copy_of_a_dead_engine: CONDITIONS,
        [Broke => AskSource, HandOver(NoAnswer) => Continue(Copy)];
    uses_the_copy_when_the_source_dropped_the_run: CONDITIONS,
        [Broke => AskSource, HandOver(NoRun) => Continue(Copy)];
    // The source still works on the run: a copy would be a second engine at work on it.
    ends_a_broken_stream_whose_source_declines: CONDITIONS,
        [Broke => AskSource, HandOver(Declined) => Abort];
    reads_on_after_a_stall_if_the_source_declines_in_spite_of_a_copy: CONDITIONS,
        [Stalled => AskSource, HandOver(Declined) => KeepReading];
    uses_the_copy_without_a_hand_over: CANNOT_ASK, [Broke => Continue(Copy)];
    starts_again_without_a_copy: RESTARTABLE,
        [Broke => AskSource, HandOver(NoRun) => Continue(Start), Failed => Abort];
    // The copy's engine is full or restarted.
    starts_again_after_a_refused_copy: RESTARTABLE_COPY,
        [Broke => AskSource, HandOver(NoAnswer) => Continue(Copy), Failed => Continue(Start),
         Failed => Abort];
    never_starts_a_non_resumable_stream_again: NO_COPY,
        [Broke => AskSource, HandOver(NoAnswer) => Abort];
    continues_a_stalled_stream_from_its_copy: CONDITIONS,
        [Stalled => AskSource, HandOver(NoAnswer) => Continue(Copy)];
    // The engine may be silent but alive, and its work must not be discarded.
    reads_on_after_a_stall_without_a_copy: RESTARTABLE,
        [Stalled => AskSource, HandOver(NoAnswer) => KeepReading];
    reads_on_after_a_stall_if_the_source_declines: NO_COPY,
        [Stalled => AskSource, HandOver(Declined) => KeepReading];
    ends_a_stalled_stream_whose_run_is_gone: NO_COPY,
        [Stalled => AskSource, HandOver(NoRun) => Abort];
    // A stream that was given up for a moved run can't be read on.
    does_not_read_on_after_a_failed_continuation: NO_COPY,
        [Stalled => AskSource, MOVED => Continue(Migrated), Failed => Continue(Stopped),
         Failed => Abort];
    never_continues_a_quarantined_request: QUARANTINED, [Broke => Abort, Stalled => KeepReading];
    does_not_continue_past_the_deadline: LATE, [Broke => Abort, Stalled => KeepReading];
    // A source that is asked stops the run, which then can't continue.
    does_not_ask_without_a_retry: NO_RETRY, [Broke => Abort, Stalled => KeepReading];
    // Without a position, events would be duplicated.
    does_not_continue_without_a_position: NO_POSITION, [Broke => Abort];
}

// Guards against a stream that wanders between failing engines.
#[test]
fn continues_at_most_three_times() {
    let mut recovery = RunRecovery::default();
    for _ in 0..3 {
        assert_eq!(recovery.handle(Broke, &CONDITIONS), AskSource);
        assert_eq!(recovery.handle(MOVED, &CONDITIONS), Continue(Migrated));
        recovery.record_continuation();
    }
    assert_eq!(recovery.handle(Broke, &CONDITIONS), Abort);
    assert_eq!(recovery.handle(Stalled, &CONDITIONS), KeepReading);
}

fn conditions() -> impl Strategy<Value = RecoveryConditions> {
    let obstacle = prop::option::weighted(0.1, Just(Obstacle::Quarantined));
    (any::<bool>(), any::<bool>(), any::<bool>(), obstacle, 0..3_000_u64).prop_map(
        |(can_ask_source, copy_held, may_restart, obstacle, left_ms)| RecoveryConditions {
            can_ask_source,
            copy_held,
            may_restart,
            obstacle,
            time_left: Duration::from_millis(left_ms),
        },
    )
}

fn answer() -> impl Strategy<Value = HandOverAnswer> {
    use HandOverAnswer::{Migrated, Stopped};
    prop_oneof![Just(Migrated), Just(Stopped), Just(NoRun), Just(Declined), Just(NoAnswer)]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against rules that hold only in the listed orders of events.
    #[test]
    fn rules_hold_in_any_order_of_events(
        failures in prop::collection::vec((any::<bool>(), answer(), 0..5_u32), 1..8),
        conditions in conditions(),
    ) {
        let mut recovery = RunRecovery::default();
        let mut continuations = 0;
        for (is_stall, answer, failed_attempts) in failures {
            let mut event = if is_stall { Stalled } else { Broke };
            let mut left_source = !is_stall;
            let mut failed = 0;
            // Each failure is handled in a few steps.
            for step in 0.. {
                prop_assert!(step < 7, "endless");
                event = match recovery.handle(event, &conditions) {
                    AskSource => {
                        prop_assert!(conditions.can_ask_source && step == 0);
                        HandOver(answer)
                    }
                    Continue(from) => {
                        prop_assert!(conditions.obstacle.is_none() && continuations < 3);
                        prop_assert!(from != Start || conditions.may_restart);
                        prop_assert!(from != Copy || conditions.copy_held);
                        left_source = true;
                        if failed == failed_attempts {
                            recovery.record_continuation();
                            continuations += 1;
                            break;
                        }
                        failed += 1;
                        Failed
                    }
                    KeepReading => {
                        prop_assert!(!left_source);
                        break;
                    }
                    Abort => break,
                };
            }
        }
    }
}
