//! Runs the tasks that live as long as the process and notices their ends.

use std::{future::Future, rc::Rc};

use quincevalve_program::describe_panic;
use tokio::task::{JoinError, spawn_local};

use crate::{
    node::Node,
    tasks::{LongTask, TaskEnd},
};

/// Runs a task, and logs and counts its end, which it should not have.
pub(crate) async fn supervise<F>(node: Rc<Node>, task: LongTask, running: F)
where
    F: Future<Output = ()> + 'static,
{
    let (how, why) = match spawn_local(running).await {
        Ok(()) => (TaskEnd::Returned, String::new()),
        Err(error) => describe_error(error),
    };
    let ends = node.ended_tasks.record_end(task, how, &why);
    let (task, how) = (task.name(), how.name());
    node.metrics.count_task_end(task, how);
    log::error!(task, how, why, ends; "task-ended");
}

fn describe_error(error: JoinError) -> (TaskEnd, String) {
    match error.try_into_panic() {
        Ok(payload) => (TaskEnd::Panicked, describe_panic(&*payload)),
        Err(aborted) => (TaskEnd::Aborted, aborted.to_string()),
    }
}
