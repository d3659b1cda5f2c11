//! A store that cuts long answers.

mod support;

use std::time::{Duration, Instant};

use support::{Arrival, Reply, World, entry, run, sealed};
use tokio::time::sleep;

/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(2);
/// Changes in one answer, and in all.
const IN_ANSWER: usize = 10;
const CHANGES: u16 = 1_000;

// A part of the changes counts as all of them: what comes behind is unknown, and is denied as if it weren't there.
#[test]
fn a_part_of_the_changes_proves_nothing() {
    run(async {
        let script = |_, it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let world = World::start(1, script).await;
        world.store.truncate_answers(IN_ANSWER);
        let began = Instant::now();
        for port in 1..=CHANGES {
            world.store.put_server(&format!("new-{port}"), entry(([127, 0, 0, 1], port).into()));
        }
        while world.store.truncated_answers() < 20 {
            sleep(LOOK).await;
        }
        let since = began.elapsed();
        let age = support::metric(world.metrics, "quincevalve_proof_age_ms").await;
        let is_behind = world.store.truncated_answers() < usize::from(CHANGES) / IN_ANSWER - 1;
        let proof = Duration::from_millis(age.unwrap_or_default().unsigned_abs());
        assert!(!is_behind || proof >= since, "{proof:?} old after {since:?}");
    });
}
