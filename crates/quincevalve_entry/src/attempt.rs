//! Attempts: route → dispatch → relay, until the answer is whole or the truth about it is known.

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

/// A request on its way to a server, with what earlier attempts left behind.
pub(crate) struct Attempt {
    pub(crate) request: Arc<Identified>,
    pub(crate) answer: Arc<Answer>,
    pub(crate) relay: RelayCore,
    pub(crate) tried: Vec<ServerIndex>,
    pub(crate) resume_on: Option<ServerIndex>,
    pub(crate) import: Option<KvHandle>,
    pub(crate) first_token_at: Option<TimePoint>,
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

    /// Notes a server that the next attempt passes over.
    pub(crate) fn tried(mut self, server: ServerIndex) -> Self {
        self.tried.push(server);
        self
    }
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// No server could take it.
    NoServer,
    /// The server said no before anything ran.
    Refused,
    /// The server answered with an error status.
    Status,
    /// The connection failed.
    Transport,
    /// Nothing came for too long.
    Silent,
    /// The stream can't be made whole.
    Unsound,
    /// Nobody reads the answer any more.
    Abandoned,
    /// The server's state was moved elsewhere.
    Moved,
}

/// A failed attempt, with all that the next one needs.
pub(crate) struct Failed {
    pub(crate) attempt: Attempt,
    pub(crate) cause: Cause,
    reach: ExecutionStatus,
    announced: bool,
    resumable: bool,
    last: bool,
}

impl Failed {
    /// No byte reached a server, or the server said that nothing ran.
    pub(crate) const fn not_run(attempt: Attempt, cause: Cause) -> Self {
        let reach = ExecutionStatus::NotRun;
        Self { attempt, cause, reach, announced: false, resumable: false, last: false }
    }

    pub(crate) const fn may_have_run(attempt: Attempt, cause: Cause) -> Self {
        let reach = ExecutionStatus::MayHaveRun;
        Self { attempt, cause, reach, announced: false, resumable: false, last: false }
    }

    /// The failure says nothing of overload, so it doesn't draw on the retry budget.
    pub(crate) fn announced(self) -> Self {
        Self { announced: true, ..self }
    }

    /// Going on is the same run: the server keeps the generation under the request's id, or handed its
    /// state on. Non-idempotent work may go on this way.
    pub(crate) fn resumable(self) -> Self {
        Self { resumable: true, ..self }
    }

    /// There must be no further attempt.
    pub(crate) fn last(self) -> Self {
        Self { last: true, ..self }
    }
}

/// Runs an accepted request to its end.
pub(crate) async fn serve(shared: Arc<Shared>, accepted: Accepted) {
    let Accepted { request, answer, place, resume_on } = accepted;
    let route = Route { shared: Arc::clone(&shared) };
    let dispatch = Dispatch { shared: Arc::clone(&shared) };
    let relay = Relay { shared: Arc::clone(&shared) };
    let pipe = then(route, then(dispatch, relay));

    let mut attempt = Attempt::new(Arc::clone(&request), Arc::clone(&answer));
    attempt.resume_on = resume_on;
    let mut attempts = 0;
    // A request that another VM had sent may have run there.
    let mut earlier = match answer.server() {
        Some(_) => ExecutionStatus::MayHaveRun,
        None => ExecutionStatus::NotRun,
    };
    let (end, first_token_at) = loop {
        attempts += 1;
        let applied = tokio::select! {
            biased;
            () = answer.right_asked() => {
                // Whatever was under way ends here, and only then is the right given up.
                drop(place);
                answer.give_up_right();
                return;
            }
            applied = pipe.apply(attempt) => applied,
        };
        match applied {
            Ok(done) => break (End::Whole, done.first_token_at),
            Err(failed) => {
                let step = next_step(&shared, &failed, earlier, attempts);
                if failed.reach == ExecutionStatus::MayHaveRun {
                    earlier = ExecutionStatus::MayHaveRun;
                }
                attempt = failed.attempt;
                log::debug!("request={} attempt={attempts} failed: {:?}", request.id, failed.cause);
                match step {
                    RetryDecision::Retry { after } => shared.timer.after(after).await,
                    RetryDecision::GiveUp { outcome } => {
                        let end = End::Refused(give_up(failed.cause, outcome, &request));
                        break (end, attempt.first_token_at);
                    }
                }
                if !failed.resumable {
                    attempt.resume_on = None;
                }
            }
        }
    };
    drop(place);
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

fn next_step(
    shared: &Shared,
    failed: &Failed,
    earlier: ExecutionStatus,
    attempts: u32,
) -> RetryDecision {
    let request = &failed.attempt.request;
    if failed.last || failed.cause == Cause::Abandoned {
        return RetryDecision::GiveUp { outcome: Outcome::MayHaveRun };
    }
    let moved = failed.attempt.import.is_some();
    let execution = rule_for(request.execution, failed.resumable, moved, failed.reach);
    let failure = FailedAttempt {
        status: failed.reach,
        earlier_status: earlier,
        execution,
        server_was_leaving: failed.announced,
        attempts,
        time_left: request.gives_up_at() - shared.timer.now(),
        required_time: std::time::Duration::ZERO,
    };
    decide_retry(&failure, &RetryPolicy::default(), &mut shared.budget())
}

/// The rule that holds for the next attempt.
///
/// A resumed run is the same run, so the rule against a second one doesn't concern it. Nor does it concern
/// a run whose state was moved off its server, when the next server says that nothing ran there: without
/// this a billed answer was lost when a second wave met its new server.
fn rule_for(own: Execution, resumable: bool, moved: bool, reach: ExecutionStatus) -> Execution {
    let is_same_run = resumable || (moved && reach == ExecutionStatus::NotRun);
    if is_same_run { Execution::Idempotent } else { own }
}

fn give_up(cause: Cause, outcome: Outcome, request: &Identified) -> Refusal {
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

    // The caller is told that a billed report may have run, though it could go on. Its state was moved on a
    // notice, and the server chosen next refused it, since a second wave took that one too.
    #[test]
    fn a_refusal_does_not_end_a_moved_run() {
        let billed = Execution::NonIdempotent;
        assert_eq!(rule_for(billed, false, true, ExecutionStatus::NotRun), Execution::Idempotent);
        assert_eq!(rule_for(billed, false, true, ExecutionStatus::MayHaveRun), billed);
        assert_eq!(rule_for(billed, false, false, ExecutionStatus::NotRun), billed);
        assert_eq!(
            rule_for(billed, true, false, ExecutionStatus::MayHaveRun),
            Execution::Idempotent
        );
    }
}
