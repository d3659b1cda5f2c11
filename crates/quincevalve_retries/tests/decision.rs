//! Retry decisions: at-most-once execution, the reported outcome and the retry budget.

use std::time::Duration;

use quincevalve_inventory::Execution;
use quincevalve_names::Outcome;
use quincevalve_retries::{Failure, FailureReach, NextStep, RetryBudget, RetryRules, decide};

const STATUSES: [FailureReach; 2] = [FailureReach::NotRun, FailureReach::MayHaveRun];

/// The first failure of an idempotent request that did not run, with time left.
fn failure() -> Failure {
    Failure {
        reach: FailureReach::NotRun,
        earlier: FailureReach::NotRun,
        execution: Execution::Idempotent,
        announced: false,
        attempts: 1,
        left: Duration::from_secs(5),
        needs: Duration::from_millis(100),
    }
}

fn full_budget() -> RetryBudget {
    let mut budget = RetryBudget::default();
    for _ in 0..200 {
        budget.earn();
    }
    budget
}

fn next(failure: &Failure) -> NextStep {
    decide(failure, &RetryRules::default(), &mut full_budget())
}

fn is_retried(failure: &Failure) -> bool {
    matches!(next(failure), NextStep::Retry { .. })
}

// A non-idempotent request is executed twice if it is retried after its response was lost. It must be given up if
// any of its attempts may have run, whatever the kind of failure.
#[test]
fn non_idempotent_request_that_may_have_run_is_never_retried() {
    for reach in STATUSES {
        for earlier in STATUSES {
            for announced in [false, true] {
                let execution = Execution::NonIdempotent;
                let failed = Failure { reach, earlier, execution, announced, ..failure() };
                let may_have_run = [reach, earlier].contains(&FailureReach::MayHaveRun);
                assert_eq!(is_retried(&failed), !may_have_run, "{failed:?}");
            }
        }
    }
}

// A caller repeats a request that is reported as not run. If an earlier attempt may have run, that would execute it
// twice, so the outcome must cover all attempts and not only the last one.
#[test]
fn outcome_covers_earlier_attempts() {
    for reach in STATUSES {
        for earlier in STATUSES {
            let failed = Failure { reach, earlier, attempts: 99, ..failure() };
            let not_run = reach == FailureReach::NotRun && earlier == FailureReach::NotRun;
            let outcome = if not_run { Outcome::NotRun } else { Outcome::MayHaveRun };
            assert_eq!(next(&failed), NextStep::GiveUp { outcome }, "{failed:?}");
        }
    }
}

// Unlimited retries of requests that failed under overload keep the servers overloaded. Each retry must take one
// out of the budget, and an empty budget must prevent retries.
#[test]
fn retry_is_charged_to_the_budget() {
    let rules = RetryRules::default();
    let mut budget = RetryBudget::default();
    assert_eq!(
        decide(&failure(), &rules, &mut budget),
        NextStep::GiveUp { outcome: Outcome::NotRun }
    );
    for _ in 0..20 {
        budget.earn();
    }
    let retried = |budget: &mut RetryBudget| {
        matches!(decide(&failure(), &rules, budget), NextStep::Retry { .. })
    };
    assert_eq!([(); 3].map(|()| retried(&mut budget)), [true, true, false]);
}

// All requests on a reclaimed server fail at once and would exhaust the budget, which is meant for overload.
// Failures of a server known to be leaving must not be charged to it, and have their own limit of attempts.
#[test]
fn failure_of_a_leaving_server_is_not_charged_to_the_budget() {
    let rules = RetryRules::default();
    let mut none = RetryBudget::default();
    for attempts in 1..20 {
        let failed = Failure { announced: true, attempts, ..failure() };
        let step = decide(&failed, &rules, &mut none);
        let is_retried = matches!(step, NextStep::Retry { .. });
        assert_eq!(is_retried, attempts < rules.max_announced, "{attempts}");
    }
    let mut budget = full_budget();
    let before = budget;
    decide(&Failure { announced: true, ..failure() }, &rules, &mut budget);
    assert_eq!(budget, before);
}

#[test]
fn gives_up_after_max_attempts() {
    let retried_after = |attempts| is_retried(&Failure { attempts, ..failure() });
    assert_eq!([1, 2, 3, 4, 5].map(retried_after), [true, true, true, false, false]);
}

// A caller waits in vain for an attempt that can't finish before the deadline. Such a request is given up immediately.
#[test]
fn gives_up_when_a_retry_would_miss_the_deadline() {
    let with_time_left = |millis| Failure { left: Duration::from_millis(millis), ..failure() };
    assert!(is_retried(&with_time_left(110)));
    assert!(!is_retried(&with_time_left(109)));
    let mut budget = full_budget();
    let before = budget;
    decide(&with_time_left(109), &RetryRules::default(), &mut budget);
    assert_eq!(budget, before, "giving up must not be charged to the budget");
}

#[test]
fn backoff_doubles_up_to_a_limit() {
    let backoff = |attempts| {
        let rules = RetryRules { max_attempts: 100, ..RetryRules::default() };
        match decide(&Failure { attempts, ..failure() }, &rules, &mut full_budget()) {
            NextStep::Retry { after } => after.as_millis(),
            NextStep::GiveUp { .. } => 0,
        }
    };
    assert_eq!([1, 2, 3, 6, 7, 60].map(backoff), [10, 20, 40, 320, 320, 320]);
}

#[test]
fn budget_holds_at_most_ten_retries() {
    let mut budget = full_budget();
    assert_eq!((0..50).filter(|_| budget.spend()).count(), 10);
}
