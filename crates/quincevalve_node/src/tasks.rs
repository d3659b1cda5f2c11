//! The tasks that live as long as the process, and what is known of each.

use std::cell::RefCell;

use indexmap::IndexMap;

/// A task that lives as long as the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LongTask {
    ServeReady,
    ServeMetrics,
    ServeCallers,
    ServePeers,
    PlaceWaiting,
    WatchReachability,
    FollowStore,
    MaintainEntry,
    WriteQuarantine,
    SendDigests,
    ReceiveDatagrams,
    RunDuties,
}

impl LongTask {
    /// Returns the task's name in logs, metrics and the readiness answer.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::ServeReady => "serve-ready",
            Self::ServeMetrics => "serve-metrics",
            Self::ServeCallers => "serve-callers",
            Self::ServePeers => "serve-peers",
            Self::PlaceWaiting => "place-waiting",
            Self::WatchReachability => "watch-reachability",
            Self::FollowStore => "follow-store",
            Self::MaintainEntry => "maintain-entry",
            Self::WriteQuarantine => "write-quarantine",
            Self::SendDigests => "send-digests",
            Self::ReceiveDatagrams => "receive-datagrams",
            Self::RunDuties => "run-duties",
        }
    }
}

/// How a task ended that should have lived as long as the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum TaskEnd {
    Panicked,
    Returned,
    Aborted,
}

impl TaskEnd {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Panicked => "panicked",
            Self::Returned => "returned",
            Self::Aborted => "aborted",
        }
    }
}

/// What is known of a task that has ended.
#[derive(Clone, Debug)]
struct Ended {
    how: TaskEnd,
    why: String,
    ends: u32,
}

/// The tasks that have ended since the process started.
#[derive(Debug, Default)]
pub(crate) struct EndedTasks(RefCell<IndexMap<LongTask, Ended>>);

impl EndedTasks {
    /// Records that a task has ended. Returns how often it has ended since the process started.
    pub(crate) fn record_end(&self, task: LongTask, how: TaskEnd, why: &str) -> u32 {
        let mut ended = self.0.borrow_mut();
        let ends = ended.get(&task).map_or(0, |it| it.ends).saturating_add(1);
        ended.insert(task, Ended { how, why: why.to_owned(), ends });
        ends
    }

    /// Describes the tasks that have ended, a line for each.
    pub(crate) fn describe(&self) -> String {
        let ended = self.0.borrow();
        let line = |(task, it): (&LongTask, &Ended)| {
            format!("task {}: {} ({} ends): {}\n", task.name(), it.how.name(), it.ends, it.why)
        };
        ended.iter().map(line).collect()
    }
}
