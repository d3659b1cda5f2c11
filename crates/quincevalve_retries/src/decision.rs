//! What follows a failed attempt.

use std::time::Duration;

use quincevalve_inventory::Execution;
use quincevalve_names::Outcome;

use crate::RetryBudget;

/// How far a failed attempt can have got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureReach {
    /// No byte reached a backend server, or the server said that it did not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// How far this attempt can have got.
    pub reach: FailureReach,
    /// How far any earlier attempt can have got.
    pub earlier: FailureReach,
    /// Whether the request may be repeated.
    pub execution: Execution,
    /// Whether the server was known to leave, so that the failure says nothing of overload.
    pub announced: bool,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// Time until the request's deadline.
    pub left: Duration,
    /// The predicted time that one more attempt needs.
    pub needs: Duration,
}

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRules {
    /// Attempts of one request at most.
    pub max_attempts: u32,
    /// Attempts at most when each failure was announced.
    pub max_announced: u32,
    /// The wait before the second attempt; doubles with each further one.
    pub backoff: Duration,
}

impl Default for RetryRules {
    fn default() -> Self {
        Self { max_attempts: 4, max_announced: 12, backoff: Duration::from_millis(10) }
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try again, at another server where there is one.
    Retry {
        /// The wait before it.
        after: Duration,
    },
    /// Give up now and say so.
    GiveUp {
        /// What is true of the request.
        outcome: Outcome,
    },
}

/// Decides after a failure.
///
/// A non-idempotent request that may have run is never tried again, whatever the budget says. A failure
/// that was announced (a reclaim) doesn't draw on the budget: an accepted request must survive it, and the
/// number of such failures is bound by the number of servers that go, not by load.
pub fn decide(failure: &Failure, rules: &RetryRules, budget: &mut RetryBudget) -> NextStep {
    let outcome = outcome_of(failure);
    let give_up = NextStep::GiveUp { outcome };
    if failure.execution == Execution::NonIdempotent && outcome == Outcome::MayHaveRun {
        return give_up;
    }
    let most = if failure.announced { rules.max_announced } else { rules.max_attempts };
    let after = backoff(failure.attempts, rules);
    if failure.attempts >= most || after + failure.needs > failure.left {
        return give_up;
    }
    if !failure.announced && !budget.spend() {
        return give_up;
    }
    NextStep::Retry { after }
}

/// The truth about a request after its failed attempts.
fn outcome_of(failure: &Failure) -> Outcome {
    match (failure.reach, failure.earlier) {
        (FailureReach::NotRun, FailureReach::NotRun) => Outcome::NotRun,
        _ => Outcome::MayHaveRun,
    }
}

fn backoff(attempts: u32, rules: &RetryRules) -> Duration {
    const MAX_DOUBLINGS: u32 = 5;
    rules.backoff * (1 << attempts.saturating_sub(1).min(MAX_DOUBLINGS))
}
