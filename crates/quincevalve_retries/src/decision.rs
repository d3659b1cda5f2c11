//! Decides between a retry and giving up after a failed attempt.

use std::time::Duration;

use quincevalve_inventory::Execution;
use quincevalve_names::Outcome;

use crate::RetryBudget;

/// Whether a failed attempt may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExecutionStatus {
    /// No byte reached a backend server, or the server stated that the request did not run.
    NotRun,
    /// The request may have run.
    MayHaveRun,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether this attempt may have run.
    pub status: ExecutionStatus,
    /// Whether any earlier attempt may have run.
    pub earlier_status: ExecutionStatus,
    /// Whether the request is idempotent.
    pub execution: Execution,
    /// Whether the server was known to be leaving, in which case the failure doesn't indicate overload.
    pub server_was_leaving: bool,
    /// Number of attempts so far, including this one.
    pub attempts: u32,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Predicted duration of another attempt.
    pub required_time: Duration,
}

/// Limits and backoff of retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Maximum number of attempts if the failed server was known to be leaving.
    pub max_attempts_when_leaving: u32,
    /// Backoff before the second attempt; doubles with each further one.
    pub backoff: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { max_attempts: 4, max_attempts_when_leaving: 12, backoff: Duration::from_millis(10) }
    }
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry, on another server if there is one.
    Retry {
        /// Backoff before the retry.
        after: Duration,
    },
    /// Give up and report the outcome.
    GiveUp {
        /// Whether the request may have run.
        outcome: Outcome,
    },
}

/// Decides whether to retry after a failed attempt.
///
/// A non-idempotent request that may have run is never retried, regardless of the budget. A failure of a
/// server that was known to be leaving (a reclaim) isn't charged to the budget: an accepted request must
/// survive it, and the number of such failures is bounded by the number of leaving servers, not by load.
pub fn decide_retry(
    failure: &FailedAttempt,
    policy: &RetryPolicy,
    budget: &mut RetryBudget,
) -> RetryDecision {
    let outcome = overall_outcome(failure);
    let give_up = RetryDecision::GiveUp { outcome };
    if failure.execution == Execution::NonIdempotent && outcome == Outcome::MayHaveRun {
        return give_up;
    }
    let max_attempts = if failure.server_was_leaving {
        policy.max_attempts_when_leaving
    } else {
        policy.max_attempts
    };
    let after = backoff(failure.attempts, policy);
    if failure.attempts >= max_attempts || after + failure.required_time > failure.time_left {
        return give_up;
    }
    if !failure.server_was_leaving && !budget.try_spend() {
        return give_up;
    }
    RetryDecision::Retry { after }
}

/// Returns the outcome of a request over all its failed attempts.
fn overall_outcome(failure: &FailedAttempt) -> Outcome {
    match (failure.status, failure.earlier_status) {
        (ExecutionStatus::NotRun, ExecutionStatus::NotRun) => Outcome::NotRun,
        _ => Outcome::MayHaveRun,
    }
}

/// Returns the backoff after the given number of attempts, at most 2^5 times the first one.
fn backoff(attempts: u32, policy: &RetryPolicy) -> Duration {
    const MAX_DOUBLINGS: u32 = 5;
    policy.backoff * (1 << attempts.saturating_sub(1).min(MAX_DOUBLINGS))
}
