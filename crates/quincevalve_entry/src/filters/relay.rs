//! Relay: copies the server's stream into the answer, each token exactly once and in order.

use std::{sync::Arc, time::Duration};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use quincevalve_inventory::Execution;
use quincevalve_names::{Sequence, TimePoint};
use quincevalve_ports::{
    Event, EventBuffer,
    engine::{END_EVENT, EndEvent, TokenEvent},
};
use quincevalve_recovery::{
    Continuation, ContinuationOptions, MigrationCosts, RelayStep, SourceState, StreamState, Work,
    choose_continuation,
};

use crate::{
    answer::ServiceHead,
    attempt::{Attempt, Cause, Failed},
    filters::{Dispatched, dispatch::InFlight},
    pipe::Filter,
    shared::Shared,
};

/// Response headers of a service that are not forwarded because they concern only this hop.
const HOP_HEADERS: [&str; 4] = ["connection", "keep-alive", "transfer-encoding", "upgrade"];

pub(crate) struct Relay {
    pub(crate) shared: Arc<Shared>,
}

impl Filter<Dispatched> for Relay {
    type Out = Attempt;
    type Error = Failed;

    async fn apply(&self, dispatched: Dispatched) -> Result<Attempt, Failed> {
        let Dispatched { attempt, response, in_flight } = dispatched;
        match attempt.request.work {
            Work::Generate(_) => self.relay_tokens(attempt, response.into_body(), in_flight).await,
            Work::Call(_) => self.relay_call(attempt, response, in_flight).await,
        }
    }
}

/// The event that ended the wait for the next bytes.
enum StreamEvent {
    Bytes(bytes::Bytes),
    Ended,
    Broken,
    Silent,
    Leaving(TimePoint),
}

type ReadFrame = Option<Result<http_body::Frame<bytes::Bytes>, hyper::Error>>;

impl From<ReadFrame> for StreamEvent {
    fn from(frame: ReadFrame) -> Self {
        match frame {
            Some(Ok(frame)) => Self::Bytes(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => Self::Broken,
            None => Self::Ended,
        }
    }
}

/// Whether a reclaim notice for the server still has to be evaluated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeavingWatch {
    Armed,
    CheckedAt(Sequence),
}

impl LeavingWatch {
    /// Returns whether the notice must be evaluated: once, and again after the first token if it was first evaluated
    /// before that, since a billed run can't be migrated before its first token.
    fn is_due(self, attempt: &Attempt) -> bool {
        match self {
            Self::Armed => true,
            Self::CheckedAt(at) => at.0 == 0 && attempt.relay.next().0 > 0,
        }
    }
}

/// State of the stream after the events of one read.
enum Progress {
    More,
    Whole,
    Unsound,
}

impl Relay {
    async fn relay_tokens(
        &self,
        mut attempt: Attempt,
        mut body: Incoming,
        mut in_flight: InFlight,
    ) -> Result<Attempt, Failed> {
        let pacing = self.shared.settings.pacing;
        let mut buffer = EventBuffer::default();
        let mut leaving = LeavingWatch::Armed;
        let name = in_flight.name.clone();
        let announced = self.shared.departures.announced(name.as_str());
        tokio::pin!(announced);
        let mut watchdog = self.shared.timer.watchdog(pacing.first_token_progress());
        loop {
            if self.is_abandoned(&attempt) {
                return Err(self.cancel_abandoned(attempt, &in_flight).await);
            }
            let event = tokio::select! {
                biased;
                frame = body.frame() => StreamEvent::from(frame),
                shutdown_at = announced.as_mut(), if leaving.is_due(&attempt) =>
                    StreamEvent::Leaving(shutdown_at),
                () = watchdog.expired() => StreamEvent::Silent,
            };
            match event {
                StreamEvent::Bytes(bytes) => {
                    watchdog.record_progress();
                    buffer.extend(&bytes);
                    let progress = process_events(&mut attempt, &mut buffer);
                    if self.record_first_token(&mut attempt, &mut in_flight) {
                        watchdog.record_progress_with_limit(pacing.token_progress());
                    }
                    match progress {
                        Progress::More => {}
                        Progress::Whole => {
                            self.shared.router().record_success(in_flight.server);
                            return Ok(attempt);
                        }
                        Progress::Unsound => {
                            return Err(self
                                .handle_lost_stream(attempt, &in_flight, Cause::Unsound)
                                .await);
                        }
                    }
                }
                StreamEvent::Ended | StreamEvent::Broken => {
                    return Err(self
                        .handle_lost_stream(attempt, &in_flight, Cause::Transport)
                        .await);
                }
                StreamEvent::Silent => {
                    return Err(self.handle_lost_stream(attempt, &in_flight, Cause::Silent).await);
                }
                StreamEvent::Leaving(shutdown_at) => {
                    // A completed future must not be polled again; the new one completes at once.
                    announced.set(self.shared.departures.announced(name.as_str()));
                    match self.migrate_off_server(&mut attempt, &in_flight, shutdown_at).await {
                        Some(MigrationStep::Exported) => return Err(failed_after_export(attempt)),
                        Some(MigrationStep::RetryExport) => {}
                        None => leaving = LeavingWatch::CheckedAt(attempt.relay.next()),
                    }
                }
            }
        }
    }

    /// Records the time of the first token. Returns `true` if this read contained it.
    fn record_first_token(&self, attempt: &mut Attempt, in_flight: &mut InFlight) -> bool {
        if attempt.first_token_at.is_some() || attempt.relay.next().0 == 0 {
            return false;
        }
        in_flight.record_prompt_done();
        let now = self.shared.timer.now();
        attempt.first_token_at = Some(now);
        let waited = now - attempt.request.arrived;
        self.shared.hedge().observe(waited);
        self.shared.metrics.time("first_token", waited);
        true
    }

    /// Returns whether the answer has had no reader for longer than the reattach period.
    ///
    /// Non-idempotent work is never abandoned: it was started and is billed, and its answer is retained for a caller
    /// that reattaches late.
    fn is_abandoned(&self, attempt: &Attempt) -> bool {
        let Some(since) = attempt.answer.unread_since() else { return false };
        let since = since.max(attempt.request.arrived);
        let grace = self.shared.settings.pacing.reattach();
        attempt.request.execution == Execution::Idempotent
            && self.shared.timer.now() - since > grace
    }

    /// Cancels the run on the server.
    async fn cancel_abandoned(&self, attempt: Attempt, in_flight: &InFlight) -> Failed {
        let timeout = self.shared.settings.pacing.probe();
        let id = attempt.request.id;
        if let Err(error) = self.shared.engines.cancel(in_flight.address, id, timeout).await {
            log::debug!("{id} {}: cancel: {error}", in_flight.name);
        }
        Failed::may_have_run(attempt, Cause::Abandoned)
    }

    /// Handles a lost stream. The server is probed on a new connection: if it responds, it has the rest of the answer,
    /// and resuming there repeats no computation.
    async fn handle_lost_stream(
        &self,
        mut attempt: Attempt,
        in_flight: &InFlight,
        cause: Cause,
    ) -> Failed {
        if cause == Cause::Silent {
            self.shared.engines.http().mark_unresponsive(in_flight.address);
        }
        let timeout = self.shared.settings.pacing.probe();
        let answers =
            self.shared.engines.http().probe(in_flight.address, "/v1/load", timeout).await;
        let options = self.continuation_options(&attempt, in_flight, answers, None);
        let reclaim_announced = self.shared.departures.gone_at(in_flight.name.as_str()).is_some();
        attempt.relay.restart();
        let may_resume = cause != Cause::Unsound && attempt.resumes < MAX_RESUMES;
        if choose_continuation(&options, &MigrationCosts::default()) == Continuation::Resume
            && may_resume
        {
            attempt.resume_on = Some(in_flight.server);
            attempt.resumes += 1;
            return Failed::may_have_run(attempt, cause).exempt_from_budget().resumable();
        }
        self.shared.router().record_failure(self.shared.timer.now(), in_flight.server);
        let began = attempt.relay.next().0 > 0;
        let failed = Failed::may_have_run(attempt.with_tried_server(in_flight.server), cause);
        // Retries of a stream that has begun are limited by the number of lost servers, not caused by overload, so they
        // are exempt from the budget.
        if reclaim_announced || began { failed.exempt_from_budget() } else { failed }
    }

    fn continuation_options(
        &self,
        attempt: &Attempt,
        in_flight: &InFlight,
        server_answers: bool,
        time_until_shutdown: Option<Duration>,
    ) -> ContinuationOptions {
        let router = self.shared.router();
        let now = self.shared.timer.now();
        let holder = router.prefix_holder(now, attempt.request.prefix());
        let (prompt_tokens, max_tokens) = match &attempt.request.work {
            Work::Generate(it) => (it.prompt_tokens, it.max_tokens),
            Work::Call(_) => (0, 0),
        };
        let answer_tokens = attempt.relay.next().0;
        // The other requests on the server migrate at the same time; on average half of them are ahead in the queue.
        let others = router.outstanding(in_flight.server).saturating_sub(1);
        ContinuationOptions {
            queued_migration_tokens: others * (prompt_tokens + answer_tokens) / 2,
            source: if server_answers { SourceState::Answers } else { SourceState::Silent },
            stream: StreamState::Closed,
            copy_held: false,
            may_recompute: true,
            time_until_shutdown,
            prefix_held: holder.is_some_and(|it| it != in_flight.server),
            prompt_tokens,
            answer_tokens,
            remaining_tokens: max_tokens.saturating_sub(answer_tokens),
            token_time: router.spec(in_flight.server).token_time,
        }
    }

    /// Exports the run's state from a server that is being reclaimed, if that is the best option. Returns `None` if the
    /// stream should be read on, because it finishes in time or no better option exists.
    async fn migrate_off_server(
        &self,
        attempt: &mut Attempt,
        in_flight: &InFlight,
        shutdown_at: TimePoint,
    ) -> Option<MigrationStep> {
        let time_left = shutdown_at - self.shared.timer.now();
        if time_left.is_zero() {
            // No time for an export; the stream either ends or fails.
            return None;
        }
        let options = self.continuation_options(attempt, in_flight, true, Some(time_left));
        let continuation = choose_continuation(&options, &MigrationCosts::default());
        let is_billed = attempt.request.execution == Execution::NonIdempotent;
        // A billed run can't be migrated before its first token: starting it elsewhere would be a second run.
        if continuation == Continuation::Finish || (is_billed && options.answer_tokens == 0) {
            return None;
        }
        let timeout = self.shared.settings.pacing.probe().min(time_left);
        let id = attempt.request.id;
        match self.shared.engines.export(in_flight.address, id, timeout).await {
            Ok(handle) => {
                attempt.import = Some(handle);
                attempt.tried.push(in_flight.server);
                Some(MigrationStep::Exported)
            }
            Err(error) => {
                log::debug!("{id} {}: export: {error}", in_flight.name);
                // A billed run that is still on the server at its shutdown is lost, so the export is retried.
                self.shared.timer.after(EXPORT_RETRY_INTERVAL).await;
                Some(MigrationStep::RetryExport)
            }
        }
    }

    async fn relay_call(
        &self,
        attempt: Attempt,
        response: http::Response<Incoming>,
        mut in_flight: InFlight,
    ) -> Result<Attempt, Failed> {
        in_flight.record_prompt_done();
        let (parts, mut body) = response.into_parts();
        let headers = parts.headers.iter().filter(|it| !HOP_HEADERS.contains(&it.0.as_str()));
        let head = ServiceHead {
            status: parts.status.as_u16(),
            headers: headers
                .map(|it| (it.0.as_str().to_owned(), it.1.as_bytes().to_vec()))
                .collect(),
        };
        let Work::Call(call) = &attempt.request.work else { return Ok(attempt) };
        let service_entry = attempt.request.view.inventory.service.get(&call.service);
        let progress = Duration::from_millis(
            service_entry.map_or(DEFAULT_PROGRESS_TIMEOUT_MS, |it| it.progress_ms),
        );
        let mut began = false;
        loop {
            match self.shared.timer.timeout(progress, body.frame()).await {
                Some(Some(Ok(frame))) => {
                    if !began {
                        began = true;
                        attempt.answer.set_head(head.clone());
                    }
                    if let Ok(bytes) = frame.into_data() {
                        attempt.answer.push_bytes(bytes);
                    }
                }
                Some(None) => {
                    if !began {
                        attempt.answer.set_head(head);
                    }
                    self.shared.router().record_success(in_flight.server);
                    return Ok(attempt);
                }
                // The head is sent to the caller with the first bytes. A response from another server can't be appended
                // to those, so there is no further attempt.
                Some(Some(Err(_))) | None => {
                    self.shared.router().record_failure(self.shared.timer.now(), in_flight.server);
                    let failed = Failed::may_have_run(
                        attempt.with_tried_server(in_flight.server),
                        Cause::Transport,
                    );
                    return Err(if began { failed.without_retry() } else { failed });
                }
            }
        }
    }
}

/// Maximum number of times that a run is resumed on its server.
const MAX_RESUMES: u32 = 4;
/// Progress timeout in milliseconds for a service that is no longer in the inventory.
const DEFAULT_PROGRESS_TIMEOUT_MS: u64 = 5_000;

/// Outcome of an attempt to export the run's state.
enum MigrationStep {
    /// The state is exported, so another server can import it.
    Exported,
    /// The export failed and is retried.
    RetryExport,
}

/// Wait before a failed export is retried.
const EXPORT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

fn failed_after_export(mut attempt: Attempt) -> Failed {
    attempt.relay.restart();
    Failed::may_have_run(attempt, Cause::Moved).exempt_from_budget().resumable()
}

/// The tokens accepted from one read, concatenated into one text.
#[derive(Default)]
struct TokenBatch {
    text: String,
    ends: Vec<usize>,
}

impl TokenBatch {
    fn push(&mut self, token: &str) {
        self.text.push_str(token);
        self.ends.push(self.text.len());
    }

    fn iter(&self) -> impl Iterator<Item = &str> {
        let starts = std::iter::once(0).chain(self.ends.iter().copied());
        starts.zip(&self.ends).map(|(start, end)| &self.text[start..*end])
    }
}

/// Processes all complete events of a read, and appends the accepted tokens with a single wake-up of the readers.
fn process_events(attempt: &mut Attempt, buffer: &mut EventBuffer) -> Progress {
    let mut batch = TokenBatch::default();
    let progress = loop {
        match buffer.next_event() {
            Ok(Some(event)) => match process_event(attempt, &event, &mut batch) {
                Progress::More => {}
                other => break other,
            },
            Ok(None) => break Progress::More,
            Err(_) => break Progress::Unsound,
        }
    };
    if !batch.ends.is_empty() {
        attempt.answer.push_tokens(batch.iter());
    }
    if attempt.relay.is_complete() { Progress::Whole } else { progress }
}

fn process_event(attempt: &mut Attempt, event: &Event, batch: &mut TokenBatch) -> Progress {
    if event.kind == END_EVENT.as_bytes() {
        let Ok(end) = serde_json::from_slice::<EndEvent>(&event.data) else {
            return Progress::Unsound;
        };
        return match attempt.relay.end(end.id, end.tokens) {
            Ok(()) => Progress::More,
            Err(_) => Progress::Unsound,
        };
    }
    let Ok(token) = serde_json::from_slice::<TokenEvent<'_>>(&event.data) else {
        return Progress::Unsound;
    };
    match attempt.relay.token(token.id, token.seq, &token.text) {
        Ok(RelayStep::Pass) => {
            batch.push(&token.text);
            while let Some(held) = attempt.relay.next_held() {
                batch.push(&held);
            }
            Progress::More
        }
        Ok(RelayStep::Held | RelayStep::Dropped) => Progress::More,
        Err(_) => Progress::Unsound,
    }
}
