//! Guards against an answer that is lost, runs twice or returns to a failed server after its stream broke off or stalled.

use std::time::Duration;

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
const QUARANTINED: RecoveryConditions =
    RecoveryConditions { obstacle: Some(Obstacle::Quarantined), ..CONDITIONS };
const LATE: RecoveryConditions =
    RecoveryConditions { time_left: Duration::from_millis(20), ..CONDITIONS };
const NO_POSITION: RecoveryConditions =
    RecoveryConditions { obstacle: Some(Obstacle::UnknownPosition), ..CONDITIONS };
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
    uses_the_copy_when_the_source_declines: CONDITIONS,
        [Broke => AskSource, HandOver(Declined) => Continue(Copy)];
    uses_the_copy_without_a_hand_over: CANNOT_ASK, [Broke => Continue(Copy)];
    starts_again_without_a_copy: RESTARTABLE,
        [Broke => AskSource, HandOver(NoRun) => Continue(Start), Failed => Abort];
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
