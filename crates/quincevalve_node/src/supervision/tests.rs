use tokio::task::LocalSet;

use super::*;
use crate::test_node;

/// Runs a task for `time` of virtual time and returns how its first end is described.
fn first_end(
    task: LongTask,
    time: Duration,
    start: impl Fn() -> Pin<Box<dyn Future<Output = ()>>> + 'static,
) -> String {
    let rt = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&rt.expect("a runtime"), async move {
        let node = Rc::new(test_node::node("vm-1"));
        spawn_local(supervise(node.clone(), task, start));
        sleep(time).await;
        node.ended_tasks.describe()
    })
}

macro_rules! first_ends {
    ($($name:ident => $task:ident, $start:expr, $expected:literal;)+) => {
        $(#[test] fn $name() {
            let description = first_end(LongTask::$task, Duration::from_secs(60), || Box::pin($start));
            assert!(description.contains($expected), "{description}");
        })+
    };
}

// Guards against ends of tasks that nobody notices.
first_ends! {
    a_panic_is_noticed => RunDuties, async { panic!("no duties") }, "run-duties: panicked";
    a_return_is_noticed => ServeCallers, async {}, "serve-callers: returned";
    a_task_without_progress_is_noticed => FollowStore, pending(), "follow-store: stalled";
    a_task_that_acts_now_and_then_is_sound => FollowStore, async {
        loop { sleep(Duration::from_secs(15)).await; }
    }, "";
    a_task_that_waits_for_others_is_sound => ReceiveDatagrams, pending(), "";
}

#[test]
fn sound_tasks_are_not_described() {
    for task in [LongTask::ReceiveDatagrams, LongTask::ServeCallers] {
        assert_eq!(first_end(task, Duration::from_secs(60), || Box::pin(pending())), "");
    }
}
