//! Runs the tasks that live as long as the process, and starts each anew that ends.

use std::{
    cell::Cell,
    future::{Future, pending},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use quincevalve_forwarding::task_restarts::{ProcessState, TaskRestarts};
use quincevalve_program::describe_panic;
use tokio::{
    task::{JoinError, spawn_local},
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    clock,
    node::{Node, Phase},
    tasks::{LongTask, TaskEnd},
};

/// Number of checks within the time for which a task may make no progress. The checks are counted, since a process that
/// was suspended finds the time passed.
const CHECKS_PER_STALL: u32 = 4;

/// Runs a task and starts it anew whenever it ends. Returns once the process should end because the task keeps failing.
///
/// A task ends because of an input that it can't bear, or because the state in memory is damaged. The other tasks go on
/// in either case; what requests need of this one is missing for the pause only, or as long as it keeps failing.
pub(crate) async fn supervise<F>(node: Rc<Node>, task: LongTask, start: impl Fn() -> F) -> LongTask
where
    F: Future<Output = ()> + 'static,
{
    let mut restarts = TaskRestarts::new(clock::now());
    loop {
        let (how, why) = run_until_end(task, start()).await;
        if how == TaskEnd::Returned && node.phase.get() != Phase::Serving {
            return pending().await;
        }
        let pause = restarts.record_end(clock::now());
        let ends = node.ended_tasks.record_end(task, how, &why);
        node.metrics.count_task_end(task.name(), how.name());
        let pause_ms = pause.as_millis() as u64;
        log::error!(task = task.name(), how = how.name(), why, ends, pause_ms; "task-ended");
        if restarts.is_exit_due(node.settings.name.as_str(), process_state(&node), clock::now()) {
            return task;
        }
        sleep(pause).await;
        restarts.record_start(clock::now());
        node.ended_tasks.record_restart(task);
    }
}

fn process_state(node: &Node) -> ProcessState {
    let has_sound_peers = node.vm_count() > 1 && !node.is_losing_freshness();
    ProcessState { started_at: node.started_at, has_sound_peers }
}

/// Runs a task until it panics, returns, or has made no progress for too long.
async fn run_until_end(
    task: LongTask,
    running: impl Future<Output = ()> + 'static,
) -> (TaskEnd, String) {
    let checks = Rc::new(Cell::new(0));
    let mut handle = spawn_local(Watched { running: Box::pin(running), checks: checks.clone() });
    let joined = tokio::select! {
        joined = &mut handle => joined,
        () = wait_for_stall(task.max_silence(), &checks) => {
            handle.abort();
            handle.await
        }
    };
    match joined {
        Ok(()) => (TaskEnd::Returned, String::new()),
        Err(error) => describe_error(error),
    }
}

fn describe_error(error: JoinError) -> (TaskEnd, String) {
    match error.try_into_panic() {
        Ok(payload) => (TaskEnd::Panicked, describe_panic(&*payload)),
        Err(aborted) => (TaskEnd::Stalled, aborted.to_string()),
    }
}

/// Returns once a task hasn't been polled for `max_silence`; never if it may be silent for any time.
async fn wait_for_stall(max_silence: Option<Duration>, checks: &Cell<u32>) {
    let Some(max_silence) = max_silence else { return pending().await };
    let mut ticks = interval(max_silence / CHECKS_PER_STALL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while checks.get() <= CHECKS_PER_STALL {
        ticks.tick().await;
        checks.set(checks.get() + 1);
    }
}

/// A task that resets the number of checks whenever it is polled.
struct Watched<F> {
    running: Pin<Box<F>>,
    checks: Rc<Cell<u32>>,
}

impl<F> Future for Watched<F>
where
    F: Future<Output = ()>,
{
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.checks.set(0);
        self.running.as_mut().poll(cx)
    }
}

#[cfg(test)]
mod tests;
