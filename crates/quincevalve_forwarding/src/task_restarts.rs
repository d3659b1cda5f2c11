//! When a task that ended is started again, and when its process should end instead.

use std::time::Duration;

use quincevalve_names::{TimePoint, hash_text, mix};

/// Pause before the first start after an end.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Maximum pause: an input that ends the task may be gone at any time.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Time for which a task must run to count as sound again.
const SOUND_AFTER: Duration = Duration::from_secs(30);
/// Minimum time for which a task must have failed before its process ends.
const MIN_FAILING_TIME: Duration = Duration::from_secs(60);
/// Range over which VMs spread their ends, in milliseconds.
const FAILING_TIME_SPREAD_MS: u64 = 240_000;
/// Minimum age of a process that ends for a failing task. In a younger one the memory is fresh and the task fails all
/// the same, so that one more start wouldn't help.
const MIN_PROCESS_AGE: Duration = Duration::from_secs(600);
/// Salt of the hash by which VMs spread their ends.
const SPREAD_SALT: u64 = 0x7a5c;

/// What a process knows of itself when one of its tasks fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessState {
    /// When the process started.
    pub started_at: TimePoint,
    /// Whether other VMs are sound, so that they serve callers meanwhile and give the next start its state.
    pub has_sound_peers: bool,
}

/// The starts and ends of one task.
#[derive(Clone, Debug)]
pub struct TaskRestarts {
    started_at: TimePoint,
    /// Ends in a row, each soon after the start.
    ends: u32,
    /// The first of them.
    failing_since: Option<TimePoint>,
}

impl TaskRestarts {
    /// Records the first start of a task.
    pub fn new(started_at: TimePoint) -> Self {
        Self { started_at, ends: 0, failing_since: None }
    }

    /// Records another start.
    pub fn record_start(&mut self, now: TimePoint) {
        self.started_at = now;
    }

    /// Records an end and returns the pause until the next start, which doubles with each end that soon follows its
    /// start.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quincevalve_forwarding::task_restarts::TaskRestarts;
    /// use quincevalve_names::TimePoint;
    /// let mut restarts = TaskRestarts::new(TimePoint::ZERO);
    /// assert_eq!(restarts.record_end(TimePoint::from_millis(5)), Duration::from_millis(100));
    /// restarts.record_start(TimePoint::from_millis(105));
    /// assert_eq!(restarts.record_end(TimePoint::from_millis(106)), Duration::from_millis(200));
    /// ```
    pub fn record_end(&mut self, now: TimePoint) -> Duration {
        if now.since(self.started_at) >= SOUND_AFTER {
            self.ends = 0;
            self.failing_since = None;
        }
        self.failing_since.get_or_insert(now);
        let pause = FIRST_PAUSE.saturating_mul(2_u32.saturating_pow(self.ends)).min(MAX_PAUSE);
        self.ends = self.ends.saturating_add(1);
        pause
    }

    /// Returns whether the process of the VM named `vm` should end, so that its next start has fresh memory.
    ///
    /// A start doesn't help against an input that all VMs have, and without sound peers it has less than the process
    /// that ends. The VMs that fail at the same time end at different times.
    pub fn is_exit_due(&self, vm: &str, process: ProcessState, now: TimePoint) -> bool {
        let Some(failing_since) = self.failing_since else { return false };
        let spread = mix(hash_text(vm), SPREAD_SALT) % FAILING_TIME_SPREAD_MS;
        process.has_sound_peers
            && now.since(process.started_at) >= MIN_PROCESS_AGE
            && now.since(failing_since) >= MIN_FAILING_TIME + Duration::from_millis(spread)
    }
}
