//! Runs attempts (route → dispatch → relay) for an accepted request until its answer is complete or no retry is
//! possible.

use std::sync::Arc;

use quincevalve_inventory::Execution;
use quincevalve_names::{Outcome, TimePoint};
use quincevalve_ports::engine::KvHandle;
use quincevalve_recovery::Relay as RelayCore;
use quincevalve_retries::{
    ExecutionStatus, FailedAttempt, RetryDecision, RetryPolicy, decide_retry,
};
use quincevalve_routing::ServerIndex;

use crate::{
    answer::{Answer, End},
    filters::{Dispatch, Relay, Route, settle},
    pipe::{Filter, then},
    refusal::{Refusal, RefusalKind},
    request::{Accepted, Identified},
    shared::Shared,
};

/// One attempt to have a server process a request, with the state left by earlier attempts.
pub(crate) struct Attempt {
    pub(crate) request: Arc<Identified>,
    pub(crate) answer: Arc<Answer>,
    pub(crate) relay: RelayCore,
    /// Servers that routing avoids while others are available.
    pub(crate) tried: Vec<ServerIndex>,
    /// Server that holds the run, which the next attempt resumes there.
    pub(crate) resume_on: Option<ServerIndex>,
    /// Exported state that the next server imports.
    pub(crate) import: Option<KvHandle>,
    pub(crate) first_token_at: Option<TimePoint>,
    /// Number of times the run was resumed on its server.
    pub(crate) resumes: u32,
}

impl Attempt {
    pub(crate) fn new(request: Arc<Identified>, answer: Arc<Answer>) -> Self {
        let relay = RelayCore::new(request.id, answer.next());
        Self {
            request,
            answer,
            relay,
            tried: Vec::new(),
            resume_on: None,
            import: None,
            first_token_at: None,
            resumes: 0,
        }
    }

    /// Adds a server that the next attempt avoids.
    pub(crate) fn with_tried_server(mut self, server: ServerIndex) -> Self {
        self.tried.push(server);
        self
    }
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// No server was available.
    NoServer,
    /// The server rejected the request before anything ran.
    Refused,
    /// The server answered with an error status.
    Status,
    /// The connection failed.
    Transport,
    /// The server sent nothing within the timeout.
    Silent,
    /// The stream is invalid, so a complete answer can't be formed from it.
    Unsound,
    /// No caller reads the answer any more.
    Abandoned,
    /// The state of the run was exported so that another server can import it.
    Moved,
}

/// A failed attempt, with everything that the next one needs.
pub(crate) struct Failed {
    pub(crate) attempt: Attempt,
    pub(crate) cause: Cause,
    status: ExecutionStatus,
    exempt_from_budget: bool,
    resumable: bool,
    is_final: bool,
}

impl Failed {
    /// A failure where no byte reached a server, or the server stated that nothing ran.
    pub(crate) const fn not_run(attempt: Attempt, cause: Cause) -> Self {
        let status = ExecutionStatus::NotRun;
        Self {
            attempt,
            cause,
            status,
            exempt_from_budget: false,
            resumable: false,
            is_final: false,
        }
    }

    /// A failure after which the request may have run.
    pub(crate) const fn may_have_run(attempt: Attempt, cause: Cause) -> Self {
        let status = ExecutionStatus::MayHaveRun;
        Self {
            attempt,
            cause,
            status,
            exempt_from_budget: false,
            resumable: false,
            is_final: false,
        }
    }

    /// Exempts the retry from the retry budget, since the failure doesn't indicate overload.
    pub(crate) fn exempt_from_budget(self) -> Self {
        Self { exempt_from_budget: true, ..self }
    }

    /// Marks the next attempt as a continuation of the same run: the server keeps the generation under the request's
    /// id, or has exported its state. Non-idempotent work may be resumed in this way.
    pub(crate) fn resumable(self) -> Self {
        Self { resumable: true, ..self }
    }

    /// Forbids any further attempt.
    pub(crate) fn without_retry(self) -> Self {
        Self { is_final: true, ..self }
    }
}

/// Runs an accepted request until its answer ends, or until another VM takes it over.
pub(crate) async fn serve(shared: Arc<Shared>, accepted: Accepted) {
    let Accepted { request, answer, permit, resume_on } = accepted;
    let route = Route { shared: Arc::clone(&shared) };
    let dispatch = Dispatch { shared: Arc::clone(&shared) };
    let relay = Relay { shared: Arc::clone(&shared) };
    let pipe = then(route, then(dispatch, relay));

    let mut attempt = Attempt::new(Arc::clone(&request), Arc::clone(&answer));
    attempt.resume_on = resume_on;
    let mut attempts = 0;
    // A request that another VM had already sent to a server may have run there.
    let mut earlier_status = match answer.server() {
        Some(_) => ExecutionStatus::MayHaveRun,
        None => ExecutionStatus::NotRun,
    };
    let (end, first_token_at) = loop {
        attempts += 1;
        let applied = tokio::select! {
            biased;
            () = answer.release_requested() => {
                // Leaving the select cancels the current attempt; ownership is released only after that.
                drop(permit);
                answer.release_ownership();
                return;
            }
            applied = pipe.apply(attempt) => applied,
        };
        match applied {
            Ok(done) => break (End::Whole, done.first_token_at),
            Err(failed) => {
                let step = decide_next_step(&shared, &failed, earlier_status, attempts);
                if failed.status == ExecutionStatus::MayHaveRun {
                    earlier_status = ExecutionStatus::MayHaveRun;
                }
                attempt = failed.attempt;
                log::debug!("request={} attempt={attempts} failed: {:?}", request.id, failed.cause);
                match step {
                    RetryDecision::Retry { after } => shared.timer.after(after).await,
                    RetryDecision::GiveUp { outcome } => {
                        let end = End::Refused(final_refusal(failed.cause, outcome, &request));
                        break (end, attempt.first_token_at);
                    }
                }
                if !failed.resumable {
                    attempt.resume_on = None;
                }
            }
        }
    };
    drop(permit);
    finish(&shared, &request, &answer, end, first_token_at, attempts);
}

fn finish(
    shared: &Shared,
    request: &Identified,
    answer: &Answer,
    end: End,
    first_token_at: Option<TimePoint>,
    attempts: u32,
) {
    let did_not_run = matches!(&end, End::Refused(it) if it.outcome == Outcome::NotRun);
    answer.end(end.clone());
    settle(shared, request, &end, first_token_at, attempts);
    if did_not_run {
        shared.answers.forget(request.id);
    }
}

fn decide_next_step(
    shared: &Shared,
    failed: &Failed,
    earlier_status: ExecutionStatus,
    attempts: u32,
) -> RetryDecision {
    let request = &failed.attempt.request;
    if failed.is_final || failed.cause == Cause::Abandoned {
        return RetryDecision::GiveUp { outcome: Outcome::MayHaveRun };
    }
    let migrated = failed.attempt.import.is_some();
    let execution =
        effective_execution(request.execution, failed.resumable, migrated, failed.status);
    let failure = FailedAttempt {
        status: failed.status,
        earlier_status,
        execution,
        server_was_leaving: failed.exempt_from_budget,
        attempts,
        time_left: request.retry_deadline() - shared.timer.now(),
        required_time: std::time::Duration::ZERO,
    };
    decide_retry(&failure, &RetryPolicy::default(), &mut shared.budget())
}

/// Returns the execution rule for the next attempt.
///
/// A resumed run is not a second run, so non-idempotent work may be resumed. The same holds for a run whose state was
/// migrated off its server when the next server states that nothing ran there: otherwise a billed answer is lost if a
/// second reclaim wave hits the new server.
fn effective_execution(
    declared: Execution,
    resumable: bool,
    migrated: bool,
    status: ExecutionStatus,
) -> Execution {
    let is_same_run = resumable || (migrated && status == ExecutionStatus::NotRun);
    if is_same_run { Execution::Idempotent } else { declared }
}

fn final_refusal(cause: Cause, outcome: Outcome, request: &Identified) -> Refusal {
    const RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);
    let kind = match cause {
        Cause::NoServer | Cause::Refused => RefusalKind::NoServer,
        _ => RefusalKind::BackendFailed,
    };
    Refusal::new(kind, outcome).with_retry_after(RETRY_AFTER).with_request(request.id)
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against failing a billed run that can still be resumed: its state was migrated after a reclaim notice, and
    // the next server rejected it because a second reclaim wave hit that server too.
    #[test]
    fn rejection_does_not_end_a_migrated_run() {
        let billed = Execution::NonIdempotent;
        assert_eq!(
            effective_execution(billed, false, true, ExecutionStatus::NotRun),
            Execution::Idempotent
        );
        assert_eq!(effective_execution(billed, false, true, ExecutionStatus::MayHaveRun), billed);
        assert_eq!(effective_execution(billed, false, false, ExecutionStatus::NotRun), billed);
        assert_eq!(
            effective_execution(billed, true, false, ExecutionStatus::MayHaveRun),
            Execution::Idempotent
        );
    }
}
