//! What follows a failed attempt: the rules of at most once, of the truth about a request, and of the budget.

use std::time::Duration;

use quincevalve_inventory::Execution;
use quincevalve_names::Outcome;
use quincevalve_retries::{Failure, FailureReach, NextStep, RetryBudget, RetryRules, decide};

const REACHES: [FailureReach; 2] = [FailureReach::NotRun, FailureReach::MayHaveRun];

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

// A seat is booked twice: the answer was lost after the server had run the request, and it was sent again. What may
// have run and may not be repeated is given up, whichever of its attempts may have run, and however it failed.
#[test]
fn a_non_idempotent_request_that_may_have_run_is_never_sent_again() {
    for reach in REACHES {
        for earlier in REACHES {
            for announced in [false, true] {
                let execution = Execution::NonIdempotent;
                let failed = Failure { reach, earlier, execution, announced, ..failure() };
                let may_have_run = [reach, earlier].contains(&FailureReach::MayHaveRun);
                assert_eq!(is_retried(&failed), !may_have_run, "{failed:?}");
            }
        }
    }
}

// A caller is told that its request has not run, and books again; an earlier attempt had reached a server. The truth
// is about all attempts, not about the last one.
#[test]
fn an_earlier_attempt_counts_for_what_is_told() {
    for reach in REACHES {
        for earlier in REACHES {
            let failed = Failure { reach, earlier, attempts: 99, ..failure() };
            let not_run = reach == FailureReach::NotRun && earlier == FailureReach::NotRun;
            let outcome = if not_run { Outcome::NotRun } else { Outcome::MayHaveRun };
            assert_eq!(next(&failed), NextStep::GiveUp { outcome }, "{failed:?}");
        }
    }
}

// Servers fail under load, and each failure is sent again until they fail for good. Without budget nothing is
// repeated, and each repeat takes one out.
#[test]
fn a_retry_takes_one_out_of_the_budget() {
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

// All requests of a reclaimed server fail at once, and most are refused: the budget was meant for overload. What
// was announced doesn't draw on it, up to a number of attempts of its own.
#[test]
fn an_announced_failure_needs_no_budget() {
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
fn attempts_end_at_their_number() {
    let tried = |attempts| is_retried(&Failure { attempts, ..failure() });
    assert_eq!([1, 2, 3, 4, 5].map(tried), [true, true, true, false, false]);
}

// A caller waits for an attempt that can't end before its deadline. It is given up at once.
#[test]
fn an_attempt_that_comes_too_late_is_not_begun() {
    let with_left = |millis| Failure { left: Duration::from_millis(millis), ..failure() };
    assert!(is_retried(&with_left(110)));
    assert!(!is_retried(&with_left(109)));
    let mut budget = full_budget();
    let before = budget;
    decide(&with_left(109), &RetryRules::default(), &mut budget);
    assert_eq!(budget, before, "what is given up costs nothing");
}

#[test]
fn the_wait_doubles_up_to_a_bound() {
    let wait = |attempts| {
        let rules = RetryRules { max_attempts: 100, ..RetryRules::default() };
        match decide(&Failure { attempts, ..failure() }, &rules, &mut full_budget()) {
            NextStep::Retry { after } => after.as_millis(),
            NextStep::GiveUp { .. } => 0,
        }
    };
    assert_eq!([1, 2, 3, 6, 7, 60].map(wait), [10, 20, 40, 320, 320, 320]);
}

#[test]
fn a_budget_saves_ten_retries_at_most() {
    let mut budget = full_budget();
    assert_eq!((0..50).filter(|_| budget.spend()).count(), 10);
}
