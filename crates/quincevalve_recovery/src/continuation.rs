//! Choice of the cheapest way to continue an answer whose backend server has failed or is leaving.

use std::time::Duration;

use quincevalve_names::seconds;

/// A way to continue an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Continuation {
    /// Let the server complete the answer before it shuts down.
    Finish,
    /// Resume the answer at the same server on a new connection.
    Resume,
    /// Migrate the KV cache to another server and continue there.
    MigrateCache,
    /// Continue at a server that holds the prompt's prefix in its cache.
    PrefixHolder,
    /// Recompute the prompt and the answer so far at any server.
    Recompute,
    /// Continue at the server to which the source has migrated the KV cache.
    Migrated,
    /// Continue at the source, which has stopped the run and retained its KV cache.
    Stopped,
    /// Continue at a server that holds a copy of the run's KV cache.
    Copy,
    /// Keep reading a stream that is stalled but open.
    KeepReading,
    /// End the answer visibly incomplete.
    Abort,
}

/// What is known about the server that the answer comes from, the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SourceState {
    /// It responds, and has the run.
    Answers,
    /// It could hand the run over but has not been asked to.
    NotAsked,
    /// It has stopped the run and migrated its KV cache to another server.
    Migrated,
    /// It has stopped the run and retained its KV cache.
    Stopped,
    /// It responds, but doesn't have the run.
    RunGone,
    /// It responds, but has not stopped the run.
    Declined,
    /// It doesn't respond.
    Silent,
}

/// Whether the stream from the source can still be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum StreamState {
    /// It can be read on.
    Open,
    /// It has ended or was closed.
    #[default]
    Closed,
}

/// The inputs of the choice for one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ContinuationOptions {
    /// What is known about the source.
    pub source: SourceState,
    /// State of the stream from the source.
    pub stream: StreamState,
    /// Whether another server holds a copy of the run's KV cache.
    pub copy_held: bool,
    /// Whether the request may be started again at another server.
    pub may_recompute: bool,
    /// Time until the server shuts down; `None` if no shutdown is announced.
    pub time_until_shutdown: Option<Duration>,
    /// Whether another server is expected to hold the prefix.
    pub prefix_held: bool,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens in the answer so far.
    pub answer_tokens: u32,
    /// Number of context tokens of other answers whose KV cache is migrated before this one.
    pub queued_migration_tokens: u32,
    /// Maximum number of tokens still to be generated.
    pub remaining_tokens: u32,
    /// Time between two generated tokens.
    pub token_time: Duration,
}

/// Parameters of the predicted migration time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MigrationCosts {
    /// Number of context tokens whose KV cache is migrated per second.
    pub tokens_per_s: f64,
    /// Fixed time per migration.
    pub fixed_overhead: Duration,
    /// Time before the shutdown that is left unused, to allow for prediction errors.
    pub margin: Duration,
}

impl Default for MigrationCosts {
    fn default() -> Self {
        Self {
            // 320 KB per token (80 layers, 8 heads of dimension 128 for keys and values, 2 bytes each) at 10 GB/s.
            tokens_per_s: 30_000.0,
            fixed_overhead: Duration::from_millis(20),
            margin: Duration::from_millis(100),
        }
    }
}

/// Chooses the way that recomputes the fewest tokens and, among equal ones, the fastest.
///
/// A stalled stream is kept open unless the source no longer has the run or a copy of the run exists: the source may be
/// working, and starting the request again would discard its work.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_recovery::{Continuation, ContinuationOptions, MigrationCosts, choose_continuation};
/// use quincevalve_recovery::{SourceState, StreamState};
///
/// let options = ContinuationOptions {
///     source: SourceState::Answers,
///     stream: StreamState::Open,
///     copy_held: false,
///     may_recompute: true,
///     time_until_shutdown: Some(Duration::from_secs(2)),
///     prefix_held: true,
///     prompt_tokens: 6_000,
///     answer_tokens: 900,
///     queued_migration_tokens: 0,
///     remaining_tokens: 2_000,
///     token_time: Duration::from_millis(30),
/// };
/// assert_eq!(choose_continuation(&options, &MigrationCosts::default()), Continuation::MigrateCache);
/// ```
pub fn choose_continuation(options: &ContinuationOptions, costs: &MigrationCosts) -> Continuation {
    match options.source {
        SourceState::Answers => {
            let Some(remaining) = options.time_until_shutdown else { return Continuation::Resume };
            let usable_time = remaining.saturating_sub(costs.margin);
            if options.token_time * options.remaining_tokens <= usable_time {
                return Continuation::Finish;
            }
            if migration_time(options, costs) <= usable_time {
                return Continuation::MigrateCache;
            }
        }
        SourceState::NotAsked => return Continuation::MigrateCache,
        SourceState::Migrated => return Continuation::Migrated,
        SourceState::Stopped => return Continuation::Stopped,
        SourceState::RunGone | SourceState::Declined | SourceState::Silent => {}
    }
    // A source that declines still works on the run, so the stream must not continue elsewhere from a copy.
    if options.copy_held && options.source != SourceState::Declined {
        return Continuation::Copy;
    }
    let may_still_run = matches!(options.source, SourceState::Declined | SourceState::Silent);
    if options.stream == StreamState::Open && may_still_run {
        return Continuation::KeepReading;
    }
    if !options.may_recompute {
        return Continuation::Abort;
    }
    if options.prefix_held { Continuation::PrefixHolder } else { Continuation::Recompute }
}

/// Predicts the time to migrate the KV cache of the prompt and the answer so far, including the caches that are
/// migrated before it.
pub fn migration_time(options: &ContinuationOptions, costs: &MigrationCosts) -> Duration {
    let own_tokens = options.prompt_tokens + options.answer_tokens;
    let context_tokens = f64::from(options.queued_migration_tokens + own_tokens);
    costs.fixed_overhead + seconds(context_tokens / costs.tokens_per_s)
}
