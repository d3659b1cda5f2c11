//! Pauses between the starts of a failing task, and when its process ends.

use std::time::Duration;

use quincevalve_forwarding::task_restarts::{ProcessState, TaskRestarts};
use quincevalve_names::TimePoint;

const HOUR: TimePoint = TimePoint::from_millis(3_600_000);

fn after(since: TimePoint, seconds: u64) -> TimePoint {
    since + Duration::from_secs(seconds)
}

/// Returns a task that has failed at each start for `seconds` from `since` on.
fn failing(since: TimePoint, seconds: u64) -> TaskRestarts {
    let mut restarts = TaskRestarts::new(since);
    for second in 0..=seconds {
        restarts.record_end(after(since, second));
        restarts.record_start(after(since, second));
    }
    restarts
}

#[test]
fn pauses_double_up_to_a_maximum_and_begin_anew_after_a_sound_run() {
    let mut restarts = TaskRestarts::new(TimePoint::ZERO);
    let millis: Vec<_> = (0..8).map(|_| restarts.record_end(TimePoint::ZERO).as_millis()).collect();
    assert_eq!(millis, [100, 200, 400, 800, 1_600, 3_200, 5_000, 5_000]);
    assert_eq!(restarts.record_end(after(TimePoint::ZERO, 31)).as_millis(), 100);
}

/// Returns whether VM `number` ends after its task has failed for `failing_s`, `age_s` after the start of its process.
fn ends(number: u64, failing_s: u64, age_s: u64, has_sound_peers: bool) -> bool {
    let process = ProcessState { started_at: HOUR, has_sound_peers };
    let now = after(HOUR, age_s);
    let since = now.saturating_sub(Duration::from_secs(failing_s));
    failing(since, failing_s).is_exit_due(&format!("vm-{number}"), process, now)
}

// Guards against a loop of exits on all VMs at once: an input that all have ends a task right after each start.
#[test]
fn a_process_that_has_just_started_does_not_end() {
    assert!(!(0..50).any(|vm| ends(vm, 300, 599, true)));
    assert!(!(0..50).any(|vm| ends(vm, 300, 4_000, false)), "without sound peers");
    assert!(!(0..50).any(|vm| ends(vm, 59, 4_000, true)), "at the first failures");
    assert!((0..50).all(|vm| ends(vm, 300, 4_000, true)), "an old process with sound peers ends");
}

#[test]
fn processes_that_fail_at_the_same_time_end_at_different_times() {
    let ended = (0..200).filter(|vm| ends(*vm, 180, 4_000, true)).count();
    assert!((60..140).contains(&ended), "{ended} of 200 after half of the range");
}
