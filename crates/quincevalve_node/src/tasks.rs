//! The tasks that live as long as the process, and what is known of each.

use std::{cell::RefCell, time::Duration};

use indexmap::IndexMap;

/// Time for which a task that acts by itself may do nothing: several times the longest timeout of a call.
const MAX_SILENCE: Duration = Duration::from_secs(20);

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

    /// Returns for how long the task may do nothing. `None` for a task that only reacts to others.
    pub(crate) const fn max_silence(self) -> Option<Duration> {
        match self {
            Self::ServeReady
            | Self::ServeMetrics
            | Self::ServeCallers
            | Self::ServePeers
            | Self::PlaceWaiting
            | Self::WriteQuarantine
            | Self::ReceiveDatagrams => None,
            Self::WatchReachability
            | Self::FollowStore
            | Self::MaintainEntry
            | Self::SendDigests
            | Self::RunDuties => Some(MAX_SILENCE),
        }
    }

    /// Returns whether callers should use other VMs while the task doesn't run.
    pub(crate) const fn is_essential(self) -> bool {
        matches!(
            self,
            Self::ServeCallers
                | Self::PlaceWaiting
                | Self::FollowStore
                | Self::SendDigests
                | Self::ReceiveDatagrams
        )
    }
}

/// How a task ended that should have lived as long as the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum TaskEnd {
    Panicked,
    Returned,
    /// It made no progress for too long and was aborted.
    Stalled,
}

impl TaskEnd {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Panicked => "panicked",
            Self::Returned => "returned",
            Self::Stalled => "stalled",
        }
    }
}

/// What is known of a task that has ended.
#[derive(Clone, Debug)]
struct Ended {
    how: TaskEnd,
    why: String,
    ends: u32,
    is_running: bool,
}

/// The tasks that have ended since the process started.
#[derive(Debug, Default)]
pub(crate) struct EndedTasks(RefCell<IndexMap<LongTask, Ended>>);

impl EndedTasks {
    /// Records that a task has ended. Returns how often it has ended since the process started.
    pub(crate) fn record_end(&self, task: LongTask, how: TaskEnd, why: &str) -> u32 {
        let mut ended = self.0.borrow_mut();
        let ends = ended.get(&task).map_or(0, |it| it.ends).saturating_add(1);
        ended.insert(task, Ended { how, why: why.to_owned(), ends, is_running: false });
        ends
    }

    /// Records that a task was started again.
    pub(crate) fn record_restart(&self, task: LongTask) {
        if let Some(ended) = self.0.borrow_mut().get_mut(&task) {
            ended.is_running = true;
        }
    }

    /// Returns whether a task doesn't run that callers need.
    pub(crate) fn lacks_essential(&self) -> bool {
        self.0.borrow().iter().any(|(task, it)| task.is_essential() && !it.is_running)
    }

    /// Describes the tasks that have ended, a line for each.
    pub(crate) fn describe(&self) -> String {
        let ended = self.0.borrow();
        let line = |(task, it): (&LongTask, &Ended)| {
            let now = if it.is_running { "runs again" } else { "doesn't run" };
            let (name, how) = (task.name(), it.how.name());
            format!("task {name}: {how} {} times, {now}; last: {}\n", it.ends, it.why)
        };
        ended.iter().map(line).collect()
    }
}
