//! Retry decisions: at-most-once execution, the reported outcome and the retry budget.

use std::time::Duration;

use quincevalve_inventory::Execution;
use quincevalve_names::Outcome;
use quincevalve_retries::{
    ExecutionStatus, FailedAttempt, RetryBudget, RetryDecision, RetryPolicy, decide_retry,
};

const STATUSES: [ExecutionStatus; 2] = [ExecutionStatus::NotRun, ExecutionStatus::MayHaveRun];

/// The first failed attempt of an idempotent request that did not run, with time left.
fn failed_attempt() -> FailedAttempt {
    FailedAttempt {
        status: ExecutionStatus::NotRun,
        earlier_status: ExecutionStatus::NotRun,
        execution: Execution::Idempotent,
        server_was_leaving: false,
        attempts: 1,
        time_left: Duration::from_secs(5),
        required_time: Duration::from_millis(100),
    }
}

fn full_budget() -> RetryBudget {
    let mut budget = RetryBudget::default();
    for _ in 0..200 {
        budget.deposit();
    }
    budget
}

fn decide_with_full_budget(failed_attempt: &FailedAttempt) -> RetryDecision {
    decide_retry(failed_attempt, &RetryPolicy::default(), &mut full_budget())
}

fn is_retried(failed_attempt: &FailedAttempt) -> bool {
    matches!(decide_with_full_budget(failed_attempt), RetryDecision::Retry { .. })
}

// A non-idempotent request is executed twice if it is retried after its response was lost. It must be given up if
// any of its attempts may have run, whatever the kind of failure.
#[test]
fn non_idempotent_request_that_may_have_run_is_never_retried() {
    for status in STATUSES {
        for earlier_status in STATUSES {
            for server_was_leaving in [false, true] {
                let execution = Execution::NonIdempotent;
                let attempt = FailedAttempt {
                    status,
                    earlier_status,
                    execution,
                    server_was_leaving,
                    ..failed_attempt()
                };
                let may_have_run = [status, earlier_status].contains(&ExecutionStatus::MayHaveRun);
                assert_eq!(is_retried(&attempt), !may_have_run, "{attempt:?}");
            }
        }
    }
}

// A caller repeats a request that is reported as not run. If an earlier attempt may have run, that would execute it
// twice, so the outcome must cover all attempts and not only the last one.
#[test]
fn outcome_covers_earlier_attempts() {
    for status in STATUSES {
        for earlier_status in STATUSES {
            let attempt =
                FailedAttempt { status, earlier_status, attempts: 99, ..failed_attempt() };
            let not_run =
                status == ExecutionStatus::NotRun && earlier_status == ExecutionStatus::NotRun;
            let outcome = if not_run { Outcome::NotRun } else { Outcome::MayHaveRun };
            assert_eq!(
                decide_with_full_budget(&attempt),
                RetryDecision::GiveUp { outcome },
                "{attempt:?}"
            );
        }
    }
}

// Unlimited retries of requests that failed under overload keep the servers overloaded. Each retry must take one
// out of the budget, and an empty budget must prevent retries.
#[test]
fn retry_is_charged_to_the_budget() {
    let policy = RetryPolicy::default();
    let mut budget = RetryBudget::default();
    assert_eq!(
        decide_retry(&failed_attempt(), &policy, &mut budget),
        RetryDecision::GiveUp { outcome: Outcome::NotRun }
    );
    for _ in 0..20 {
        budget.deposit();
    }
    let retried = |budget: &mut RetryBudget| {
        matches!(decide_retry(&failed_attempt(), &policy, budget), RetryDecision::Retry { .. })
    };
    assert_eq!([(); 3].map(|()| retried(&mut budget)), [true, true, false]);
}

// All requests on a reclaimed server fail at once and would exhaust the budget, which is meant for overload.
// Failures of a server known to be leaving must not be charged to it, and have their own limit of attempts.
#[test]
fn failure_of_a_leaving_server_is_not_charged_to_the_budget() {
    let policy = RetryPolicy::default();
    let mut empty_budget = RetryBudget::default();
    for attempts in 1..20 {
        let attempt = FailedAttempt { server_was_leaving: true, attempts, ..failed_attempt() };
        let step = decide_retry(&attempt, &policy, &mut empty_budget);
        let is_retried = matches!(step, RetryDecision::Retry { .. });
        assert_eq!(is_retried, attempts < policy.max_attempts_when_leaving, "{attempts}");
    }
    let mut budget = full_budget();
    let before = budget;
    decide_retry(
        &FailedAttempt { server_was_leaving: true, ..failed_attempt() },
        &policy,
        &mut budget,
    );
    assert_eq!(budget, before);
}

#[test]
fn gives_up_after_max_attempts() {
    let retried_after = |attempts| is_retried(&FailedAttempt { attempts, ..failed_attempt() });
    assert_eq!([1, 2, 3, 4, 5].map(retried_after), [true, true, true, false, false]);
}

// A caller waits in vain for an attempt that can't finish before the deadline. Such a request is given up immediately.
#[test]
fn gives_up_when_a_retry_would_miss_the_deadline() {
    let with_time_left =
        |millis| FailedAttempt { time_left: Duration::from_millis(millis), ..failed_attempt() };
    assert!(is_retried(&with_time_left(110)));
    assert!(!is_retried(&with_time_left(109)));
    let mut budget = full_budget();
    let before = budget;
    decide_retry(&with_time_left(109), &RetryPolicy::default(), &mut budget);
    assert_eq!(budget, before, "giving up must not be charged to the budget");
}

#[test]
fn backoff_doubles_up_to_a_limit() {
    let backoff = |attempts| {
        let policy = RetryPolicy { max_attempts: 100, ..RetryPolicy::default() };
        match decide_retry(
            &FailedAttempt { attempts, ..failed_attempt() },
            &policy,
            &mut full_budget(),
        ) {
            RetryDecision::Retry { after } => after.as_millis(),
            RetryDecision::GiveUp { .. } => 0,
        }
    };
    assert_eq!([1, 2, 3, 6, 7, 60].map(backoff), [10, 20, 40, 320, 320, 320]);
}

#[test]
fn budget_holds_at_most_ten_retries() {
    let mut budget = full_budget();
    assert_eq!((0..50).filter(|_| budget.try_spend()).count(), 10);
}
