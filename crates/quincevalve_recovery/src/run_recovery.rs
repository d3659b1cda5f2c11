//! The sequence of attempts to continue a stream that broke off or stalled.

use std::time::Duration;

use crate::continuation::{
    Continuation, ContinuationOptions, MigrationCosts, SourceState, StreamState,
    choose_continuation,
};

/// Maximum number of times that a stream continues.
const MAX_CONTINUATIONS: u32 = 3;
/// Minimum time until the deadline for a continuation: a round trip and the first event.
const MIN_TIME_LEFT: Duration = Duration::from_millis(100);
/// Maximum time that the source is given to hand a run over. Copying a run takes a few milliseconds.
pub const HAND_OVER_LIMIT: Duration = Duration::from_millis(300);
/// Minimum silence after which a stream counts as stalled. A sound server may be silent for more than a second.
const MIN_STALL: Duration = Duration::from_secs(2);

/// Returns the silence after which a stream with this longest promised pause counts as stalled.
///
/// ```
/// use std::time::Duration;
/// use quincevalve_recovery::stall_limit;
/// assert_eq!(stall_limit(Duration::from_millis(1_200)), Duration::from_millis(2_400));
/// assert_eq!(stall_limit(Duration::from_millis(100)), Duration::from_secs(2));
/// ```
pub fn stall_limit(longest_pause: Duration) -> Duration {
    (longest_pause * 2).max(MIN_STALL)
}

/// The source's answer to the order to stop a run and hand it over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HandOverAnswer {
    /// The run was stopped and its memory copied to the destination.
    Migrated,
    /// The run was stopped; its memory remains at the source.
    Stopped,
    /// The source doesn't have the run.
    NoRun,
    /// The run was not stopped.
    Declined,
    /// The source could not be asked, or did not answer in time.
    NoAnswer,
}

/// An event in the recovery of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecoveryEvent {
    /// The stream ended before it was complete.
    Broke,
    /// The stream is open, but has been silent for longer than [`stall_limit`].
    Stalled,
    /// The source answered the order to hand the run over.
    HandOver(HandOverAnswer),
    /// The last attempt to continue failed.
    Failed,
}

/// Where a stream continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ContinueFrom {
    /// At the destination of the hand-over, from the migrated memory.
    Migrated,
    /// At the source, from the memory that it retained.
    Stopped,
    /// At the server that holds a copy of the run's memory.
    Copy,
    /// At another server, which runs the request from the beginning.
    Start,
}

/// The next action in the recovery of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecoveryAction {
    /// Order the source to hand the run over, and wait for at most [`HAND_OVER_LIMIT`].
    AskSource,
    /// Close the connection to the source and continue the stream.
    Continue(ContinueFrom),
    /// Keep reading the open stream until its next event or its end.
    KeepReading,
    /// End the stream visibly incomplete.
    Abort,
}

/// A reason why a stream may not continue anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Obstacle {
    /// The request is quarantined: servers exit while they process it.
    Quarantined,
    /// Events without ids were forwarded, so that a continuation would lose or duplicate events.
    UnknownPosition,
    /// The service's retry budget is used up, so that a run that its source stopped would be lost.
    NoRetryLeft,
}

/// The conditions at the time of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryConditions {
    /// Whether the source can be asked: the engine supports migration and a destination has room.
    pub can_ask_source: bool,
    /// Whether another server holds a copy of the run's memory.
    pub copy_held: bool,
    /// Whether the request may be started again at another server.
    pub may_restart: bool,
    /// Why the stream may not continue, if there is a reason.
    pub obstacle: Option<Obstacle>,
    /// Time until the request's deadline.
    pub time_left: Duration,
}

/// The recovery core of one stream.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_recovery::{
///     ContinueFrom, HandOverAnswer, RecoveryAction, RecoveryConditions, RecoveryEvent, RunRecovery,
/// };
///
/// let conditions = RecoveryConditions {
///     can_ask_source: true,
///     copy_held: true,
///     may_restart: false,
///     obstacle: None,
///     time_left: Duration::from_secs(5),
/// };
/// let mut recovery = RunRecovery::default();
/// assert_eq!(recovery.handle(RecoveryEvent::Broke, &conditions), RecoveryAction::AskSource);
/// let unanswered = RecoveryEvent::HandOver(HandOverAnswer::NoAnswer);
/// let from_copy = RecoveryAction::Continue(ContinueFrom::Copy);
/// assert_eq!(recovery.handle(unanswered, &conditions), from_copy);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RunRecovery {
    continuations: u32,
    stream: StreamState,
    attempt: Option<ContinueFrom>,
}

impl RunRecovery {
    /// Processes an event and returns the next action.
    pub fn handle(
        &mut self,
        event: RecoveryEvent,
        conditions: &RecoveryConditions,
    ) -> RecoveryAction {
        let source = match event {
            RecoveryEvent::Broke | RecoveryEvent::Stalled => {
                self.stream = if event == RecoveryEvent::Stalled {
                    StreamState::Open
                } else {
                    StreamState::Closed
                };
                self.attempt = None;
                if conditions.can_ask_source { SourceState::NotAsked } else { SourceState::Silent }
            }
            RecoveryEvent::HandOver(HandOverAnswer::Migrated) => SourceState::Migrated,
            RecoveryEvent::HandOver(HandOverAnswer::Stopped) => SourceState::Stopped,
            RecoveryEvent::HandOver(HandOverAnswer::NoRun) => SourceState::RunGone,
            RecoveryEvent::HandOver(HandOverAnswer::Declined) => SourceState::Declined,
            // The source retains the memory of a run that it has stopped.
            RecoveryEvent::Failed if self.attempt == Some(ContinueFrom::Migrated) => {
                SourceState::Stopped
            }
            RecoveryEvent::HandOver(HandOverAnswer::NoAnswer) | RecoveryEvent::Failed => {
                SourceState::Silent
            }
        };
        let may_continue = self.continuations < MAX_CONTINUATIONS
            && conditions.time_left >= MIN_TIME_LEFT
            && conditions.obstacle.is_none();
        if !may_continue {
            return if self.stream == StreamState::Open {
                RecoveryAction::KeepReading
            } else {
                RecoveryAction::Abort
            };
        }
        let copy_was_tried = matches!(self.attempt, Some(ContinueFrom::Copy | ContinueFrom::Start));
        let options = ContinuationOptions {
            source,
            stream: self.stream,
            copy_held: conditions.copy_held && !copy_was_tried,
            may_recompute: conditions.may_restart && self.attempt != Some(ContinueFrom::Start),
            time_until_shutdown: None,
            prefix_held: false,
            prompt_tokens: 0,
            answer_tokens: 0,
            queued_migration_tokens: 0,
            remaining_tokens: 0,
            token_time: Duration::ZERO,
        };
        match choose_continuation(&options, &MigrationCosts::default()) {
            Continuation::MigrateCache => RecoveryAction::AskSource,
            Continuation::Migrated => self.begin(ContinueFrom::Migrated),
            Continuation::Stopped => self.begin(ContinueFrom::Stopped),
            Continuation::Copy => self.begin(ContinueFrom::Copy),
            Continuation::Recompute | Continuation::PrefixHolder => self.begin(ContinueFrom::Start),
            Continuation::KeepReading | Continuation::Finish | Continuation::Resume => {
                RecoveryAction::KeepReading
            }
            Continuation::Abort => RecoveryAction::Abort,
        }
    }

    fn begin(&mut self, from: ContinueFrom) -> RecoveryAction {
        self.stream = StreamState::Closed;
        self.attempt = Some(from);
        RecoveryAction::Continue(from)
    }

    /// Records that the stream continues.
    pub const fn record_continuation(&mut self) {
        self.continuations += 1;
    }
}
