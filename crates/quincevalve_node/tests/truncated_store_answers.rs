//! A store that truncates long answers.

mod support;

use std::time::{Duration, Instant};

use support::{Arrival, Reply, World, entry, run, sealed};
use tokio::time::sleep;

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum number of changes in one answer.
const CHANGES_PER_ANSWER: usize = 10;
/// Number of changes in total.
const CHANGES: u16 = 1_000;

// Guards against treating a truncated list of changes as complete: the VM would confirm that nothing newer exists, and
// would reject what the missing changes added as unknown.
#[test]
fn truncated_changes_do_not_confirm_freshness() {
    run(async {
        let script = |_, it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let world = World::start(1, script).await;
        world.store.truncate_answers(CHANGES_PER_ANSWER);
        let began = Instant::now();
        for port in 1..=CHANGES {
            world.store.put_server(&format!("new-{port}"), entry(([127, 0, 0, 1], port).into()));
        }
        while world.store.truncated_answers() < 20 {
            sleep(POLL_INTERVAL).await;
        }
        let elapsed = began.elapsed();
        let age = support::metric(world.metrics, "quincevalve_proof_age_ms").await;
        let is_behind =
            world.store.truncated_answers() < usize::from(CHANGES) / CHANGES_PER_ANSWER - 1;
        // The metric is in whole milliseconds.
        let confirmation_age = u128::from(age.unwrap_or_default().unsigned_abs());
        assert!(
            !is_behind || confirmation_age >= elapsed.as_millis(),
            "the confirmation is {confirmation_age} ms old after {elapsed:?}"
        );
    });
}
