//! Relay: from the server's stream into the answer's log, each token once and in order.

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
    Continuation, ContinuationOptions, MigrationCosts, RelayStep, Work, choose_continuation,
};

use crate::{
    answer::ServiceHead,
    attempt::{Attempt, Cause, Failed},
    filters::{Dispatched, dispatch::Sent},
    pipe::Filter,
    shared::Shared,
};

/// Headers of a service that are not passed back: they concern the hop.
const HOP_HEADERS: [&str; 4] = ["connection", "keep-alive", "transfer-encoding", "upgrade"];

pub(crate) struct Relay {
    pub(crate) shared: Arc<Shared>,
}

impl Filter<Dispatched> for Relay {
    type Out = Attempt;
    type Error = Failed;

    async fn apply(&self, dispatched: Dispatched) -> Result<Attempt, Failed> {
        let Dispatched { attempt, response, sent } = dispatched;
        match attempt.request.work {
            Work::Generate(_) => self.relay_tokens(attempt, response.into_body(), sent).await,
            Work::Call(_) => self.relay_call(attempt, response, sent).await,
        }
    }
}

/// What ended the wait for the next bytes.
enum Step {
    Bytes(bytes::Bytes),
    Ended,
    Broken,
    Silent,
    Leaving(TimePoint),
}

type ReadFrame = Option<Result<http_body::Frame<bytes::Bytes>, hyper::Error>>;

impl From<ReadFrame> for Step {
    fn from(frame: ReadFrame) -> Self {
        match frame {
            Some(Ok(frame)) => Self::Bytes(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => Self::Broken,
            None => Self::Ended,
        }
    }
}

/// Whether a notice about the server still has to be weighed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeavingWatch {
    Armed,
    CheckedAt(Sequence),
}

impl LeavingWatch {
    /// A notice is weighed once; and once more when the first token has come, since before it a billed
    /// run can't be moved.
    fn is_due(self, attempt: &Attempt) -> bool {
        match self {
            Self::Armed => true,
            Self::CheckedAt(at) => at.0 == 0 && attempt.relay.next().0 > 0,
        }
    }
}

/// What the events in one read amounted to.
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
        mut sent: Sent,
    ) -> Result<Attempt, Failed> {
        let pacing = self.shared.settings.pacing;
        let mut buffer = EventBuffer::default();
        let mut leaving = LeavingWatch::Armed;
        let name = sent.name.clone();
        let announced = self.shared.departures.announced(name.as_str());
        tokio::pin!(announced);
        let mut watchdog = self.shared.timer.watchdog(pacing.first_token_progress());
        loop {
            if self.is_abandoned(&attempt) {
                return Err(self.cancel(attempt, &sent).await);
            }
            let step = tokio::select! {
                biased;
                frame = body.frame() => Step::from(frame),
                gone_at = announced.as_mut(), if leaving.is_due(&attempt) => Step::Leaving(gone_at),
                () = watchdog.expired() => Step::Silent,
            };
            match step {
                Step::Bytes(bytes) => {
                    watchdog.record_progress();
                    buffer.extend(&bytes);
                    let progress = take_events(&mut attempt, &mut buffer);
                    if self.note_first(&mut attempt, &mut sent) {
                        watchdog.record_progress_with_limit(pacing.token_progress());
                    }
                    match progress {
                        Progress::More => {}
                        Progress::Whole => {
                            self.shared.router().record_success(sent.server);
                            return Ok(attempt);
                        }
                        Progress::Unsound => {
                            return Err(self.lost(attempt, &sent, Cause::Unsound).await);
                        }
                    }
                }
                Step::Ended | Step::Broken => {
                    return Err(self.lost(attempt, &sent, Cause::Transport).await);
                }
                Step::Silent => return Err(self.lost(attempt, &sent, Cause::Silent).await),
                Step::Leaving(gone_at) => {
                    // A completed wait can't be asked again; the next one finds the notice at once.
                    announced.set(self.shared.departures.announced(name.as_str()));
                    match self.leave_server(&mut attempt, &sent, gone_at).await {
                        Some(LeaveReason::Moved) => return Err(moved(attempt)),
                        Some(LeaveReason::TryAgain) => {}
                        None => leaving = LeavingWatch::CheckedAt(attempt.relay.next()),
                    }
                }
            }
        }
    }

    /// Notes the first token's time; `true` if that is now.
    fn note_first(&self, attempt: &mut Attempt, sent: &mut Sent) -> bool {
        if attempt.first_token_at.is_some() || attempt.relay.next().0 == 0 {
            return false;
        }
        sent.prompt_done();
        let now = self.shared.timer.now();
        attempt.first_token_at = Some(now);
        let waited = now - attempt.request.arrived;
        self.shared.hedge().observe(waited);
        self.shared.metrics.time("first_token", waited);
        true
    }

    /// Whether nobody reads any more and nobody came back.
    ///
    /// Non-idempotent work is finished all the same: it was started and is billed, and its answer is
    /// kept for a caller who comes back late.
    fn is_abandoned(&self, attempt: &Attempt) -> bool {
        let Some(since) = attempt.answer.unread_since() else { return false };
        let since = since.max(attempt.request.arrived);
        let grace = self.shared.settings.pacing.reattach();
        attempt.request.execution == Execution::Idempotent
            && self.shared.timer.now() - since > grace
    }

    async fn cancel(&self, attempt: Attempt, sent: &Sent) -> Failed {
        let limit = self.shared.settings.pacing.probe();
        let id = attempt.request.id;
        if let Err(error) = self.shared.engines.cancel(sent.address, id, limit).await {
            log::debug!("{id} {}: cancel: {error}", sent.name);
        }
        Failed::may_have_run(attempt, Cause::Abandoned)
    }

    /// The stream is lost. The server is probed on a new connection: if it answers, it has the rest of
    /// the answer, and reading on there computes nothing again.
    async fn lost(&self, mut attempt: Attempt, sent: &Sent, cause: Cause) -> Failed {
        if cause == Cause::Silent {
            self.shared.engines.http().mark_unresponsive(sent.address);
        }
        let limit = self.shared.settings.pacing.probe();
        let answers = self.shared.engines.http().probe(sent.address, "/v1/load", limit).await;
        let options = self.way_options(&attempt, sent, answers, None);
        let announced = self.shared.departures.gone_at(sent.name.as_str()).is_some();
        attempt.relay.restart();
        let may_resume = cause != Cause::Unsound && attempt.resumes < MAX_RESUMES;
        if choose_continuation(&options, &MigrationCosts::default()) == Continuation::Resume
            && may_resume
        {
            attempt.resume_on = Some(sent.server);
            attempt.resumes += 1;
            return Failed::may_have_run(attempt, cause).announced().resumable();
        }
        self.shared.router().record_failure(self.shared.timer.now(), sent.server);
        let began = attempt.relay.next().0 > 0;
        let failed = Failed::may_have_run(attempt.tried(sent.server), cause);
        // A stream that began is bound by the number of servers lost, not by load: no budget for it.
        if announced || began { failed.announced() } else { failed }
    }

    fn way_options(
        &self,
        attempt: &Attempt,
        sent: &Sent,
        server_answers: bool,
        server_left: Option<Duration>,
    ) -> ContinuationOptions {
        let router = self.shared.router();
        let now = self.shared.timer.now();
        let holder = router.prefix_holder(now, attempt.request.prefix());
        let (prompt_tokens, max_tokens) = match &attempt.request.work {
            Work::Generate(it) => (it.prompt_tokens, it.max_tokens),
            Work::Call(_) => (0, 0),
        };
        let answer_tokens = attempt.relay.next().0;
        // The others on the server move at the same time; on average half of them are ahead.
        let others = router.outstanding(sent.server).saturating_sub(1);
        ContinuationOptions {
            queued_migration_tokens: others * (prompt_tokens + answer_tokens) / 2,
            server_answers,
            time_until_shutdown: server_left,
            prefix_held: holder.is_some_and(|it| it != sent.server),
            prompt_tokens,
            answer_tokens,
            remaining_tokens: max_tokens.saturating_sub(answer_tokens),
            token_time: router.spec(sent.server).token_time,
        }
    }

    /// The server is being taken back. `None` means: keep reading, it will finish in time or there is
    /// nothing better to do.
    async fn leave_server(
        &self,
        attempt: &mut Attempt,
        sent: &Sent,
        gone_at: TimePoint,
    ) -> Option<LeaveReason> {
        let left = gone_at - self.shared.timer.now();
        if left.is_zero() {
            // Too late for anything: what the connection does next tells the rest.
            return None;
        }
        let options = self.way_options(attempt, sent, true, Some(left));
        let way = choose_continuation(&options, &MigrationCosts::default());
        let is_billed = attempt.request.execution == Execution::NonIdempotent;
        // Before its first token a billed run can't be moved: starting it elsewhere would be a second run.
        if way == Continuation::Finish || (is_billed && options.answer_tokens == 0) {
            return None;
        }
        let limit = self.shared.settings.pacing.probe().min(left);
        let id = attempt.request.id;
        match self.shared.engines.export(sent.address, id, limit).await {
            Ok(handle) => {
                attempt.import = Some(handle);
                attempt.tried.push(sent.server);
                Some(LeaveReason::Moved)
            }
            Err(error) => {
                log::debug!("{id} {}: export: {error}", sent.name);
                // A billed run that stays on a server until it goes is lost, so it is tried again.
                self.shared.timer.after(EXPORT_RETRY).await;
                Some(LeaveReason::TryAgain)
            }
        }
    }

    async fn relay_call(
        &self,
        attempt: Attempt,
        response: http::Response<Incoming>,
        mut sent: Sent,
    ) -> Result<Attempt, Failed> {
        sent.prompt_done();
        let (parts, mut body) = response.into_parts();
        let headers = parts.headers.iter().filter(|it| !HOP_HEADERS.contains(&it.0.as_str()));
        let head = ServiceHead {
            status: parts.status.as_u16(),
            headers: headers
                .map(|it| (it.0.as_str().to_owned(), it.1.as_bytes().to_vec()))
                .collect(),
        };
        let Work::Call(call) = &attempt.request.work else { return Ok(attempt) };
        let facts = attempt.request.view.inventory.service.get(&call.service);
        let progress = Duration::from_millis(facts.map_or(MAX_PROGRESS_MS, |it| it.progress_ms));
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
                    self.shared.router().record_success(sent.server);
                    return Ok(attempt);
                }
                // The head went out with the first bytes; from then on another server's answer can't
                // be joined to them, so the attempt is the last.
                Some(Some(Err(_))) | None => {
                    self.shared.router().record_failure(self.shared.timer.now(), sent.server);
                    let failed = Failed::may_have_run(attempt.tried(sent.server), Cause::Transport);
                    return Err(if began { failed.last() } else { failed });
                }
            }
        }
    }
}

const MAX_RESUMES: u32 = 4;
const MAX_PROGRESS_MS: u64 = 5_000;

/// Why the server isn't read on as before.
enum LeaveReason {
    /// Its state can be fetched by another server.
    Moved,
    /// Its state could not be exported, and there is time for another try.
    TryAgain,
}

/// How long to wait before an export is tried again.
const EXPORT_RETRY: Duration = Duration::from_millis(50);

fn moved(mut attempt: Attempt) -> Failed {
    attempt.relay.restart();
    Failed::may_have_run(attempt, Cause::Moved).announced().resumable()
}

/// The tokens of one read that passed, one after the other in one text.
#[derive(Default)]
struct Passed {
    text: String,
    ends: Vec<usize>,
}

impl Passed {
    fn push(&mut self, token: &str) {
        self.text.push_str(token);
        self.ends.push(self.text.len());
    }

    fn iter(&self) -> impl Iterator<Item = &str> {
        let starts = std::iter::once(0).chain(self.ends.iter().copied());
        starts.zip(&self.ends).map(|(start, end)| &self.text[start..*end])
    }
}

/// Takes all whole events of a read, and appends what passed with one wake-up of the readers.
fn take_events(attempt: &mut Attempt, buffer: &mut EventBuffer) -> Progress {
    let mut passed = Passed::default();
    let progress = loop {
        match buffer.next_event() {
            Ok(Some(event)) => match take_event(attempt, &event, &mut passed) {
                Progress::More => {}
                other => break other,
            },
            Ok(None) => break Progress::More,
            Err(_) => break Progress::Unsound,
        }
    };
    if !passed.ends.is_empty() {
        attempt.answer.push_tokens(passed.iter());
    }
    if attempt.relay.is_complete() { Progress::Whole } else { progress }
}

fn take_event(attempt: &mut Attempt, event: &Event, passed: &mut Passed) -> Progress {
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
            passed.push(&token.text);
            while let Some(held) = attempt.relay.next_held() {
                passed.push(&held);
            }
            Progress::More
        }
        Ok(RelayStep::Held | RelayStep::Dropped) => Progress::More,
        Err(_) => Progress::Unsound,
    }
}
