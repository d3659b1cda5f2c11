//! Continues a stream whose server stops, fails or falls silent: by migration, from a copy, or from the beginning.

use std::time::Duration;

use http::HeaderValue;
use quincevalve_forwarding::{config::RetrySafety, placement::Placement};
use quincevalve_names::BackendServerName;
use quincevalve_recovery::{
    ContinueFrom, HandOverAnswer, Obstacle, RecoveryAction, RecoveryConditions, RecoveryEvent,
};
use tokio::time::{Instant, timeout};

use super::{
    Framing, Relay, Source, StreamEnd,
    stop_order::{ANSWER_LIMIT, LAST_EVENTS_LIMIT},
};
use crate::{
    node::remaining,
    quarantine,
    request::{
        copies::{CopyObstacle, RunCopy, StreamAtEngine, record_interruption},
        exchange::{exchange, update_server},
        exit_check::record_if_exited,
        retries,
        server_selection::{WorkGuard, find_server_now, unlisted_ms},
        trace::log_request,
    },
};

/// Maximum time until a server answers a request that continues from a run's memory. Callers abandon a stream that is
/// silent for two seconds.
const CONTINUATION_LIMIT: Duration = Duration::from_secs(1);

impl Relay {
    /// Migrates the run to another engine and continues the stream there. Returns `None` if the stream has ended.
    ///
    /// Engines are reclaimed with two seconds' notice, and most long answers take longer. Without migration the streams
    /// of a whole data centre would be truncated, and all processed prompts and generated tokens would be lost. The
    /// engine stops the run and copies its memory, and the same request continues from the copy as the same run.
    pub(super) async fn migrate(
        &mut self,
        mut source: Source,
        servers: &mut Vec<BackendServerName>,
    ) -> Option<Source> {
        if self.order.is_none() {
            let version = Some(&source.place.version);
            // Without a retry a stopped run couldn't continue. Many streams migrate at once, so each pays beforehand.
            if let Some(to) = find_server_now(&self.node, &self.req, servers, version)
                && let Some(paid) = retries::try_spend(&self.node, &self.req)
            {
                self.paid_migration = Some(paid);
                self.order_stop(&source.place, &to);
            }
        }
        // Events that the engine generates until it stops the run still arrive on the old stream.
        let end = self.forward_events(&mut source, false, None).await;
        if self.has_ended(&end).await {
            return self.finish(end, source, servers);
        }
        self.await_order(Instant::now() + ANSWER_LIMIT).await;
        let place = source.place.clone();
        drop(source);
        let run = self.orders.memory_mut();
        let copied = run.and_then(|it| Some((it.copied_to.take()?, it.memory.ticket())));
        if let Some((to, ticket)) = copied {
            servers.push(to.server.clone());
            if let Some(next) = self.resume_at(to, ContinueFrom::Migrated, Some(ticket)).await {
                self.record_new_source();
                return Some(next);
            }
        }
        if self.continues_runs() {
            return self.continue_run(place, None, None, RecoveryEvent::Broke, servers).await;
        }
        if let Some(next) = self.resume(servers).await {
            return Some(next);
        }
        self.record_end("broke-off", servers);
        None
    }

    /// Returns whether the stream is over with this end of its source, so that it doesn't continue.
    pub(super) async fn has_ended(&mut self, end: &StreamEnd) -> bool {
        match *end {
            StreamEnd::Ended(end) => self.is_complete(end).await,
            StreamEnd::TimedOut | StreamEnd::CallerLeft => true,
            StreamEnd::MigrationDue | StreamEnd::Stalled => false,
        }
    }

    /// Returns whether a broken stream can continue from the run's memory, because the service's engines copy runs.
    pub(super) fn continues_runs(&self) -> bool {
        self.req.config.run_copies.engines.contains_key(&self.req.service)
    }

    /// Continues a stream that broke off or stalled. Returns `None` if the stream has ended.
    ///
    /// The decisions are made by [`RunRecovery`].
    pub(super) async fn recover(
        &mut self,
        source: Source,
        event: RecoveryEvent,
        servers: &mut Vec<BackendServerName>,
    ) -> Option<Source> {
        let (place, stage) = (source.place.clone(), source.stage());
        let mut open = Some(source);
        if event == RecoveryEvent::Broke {
            record_if_exited(&self.node, &self.req, &place, stage);
            self.leave(&place, &mut open);
        }
        let to = self.order.as_ref().map(|it| it.target().clone()).or_else(|| {
            let copy_place = self.copy.as_ref().and_then(|it| it.placement(&self.node, &place));
            let version = Some(&place.version);
            copy_place.or_else(|| find_server_now(&self.node, &self.req, servers, version))
        });
        self.continue_run(place, open, to, event, servers).await
    }

    /// Continues the run of a stream from `place`, which may still be open, and to which `to` is the destination of a
    /// hand-over. Returns `None` if the stream has ended.
    async fn continue_run(
        &mut self,
        place: Placement,
        mut open: Option<Source>,
        to: Option<Placement>,
        mut event: RecoveryEvent,
        servers: &mut Vec<BackendServerName>,
    ) -> Option<Source> {
        loop {
            if self.tx.is_closed() {
                self.record_end("caller-left", servers);
                return None;
            }
            let conditions = self.recovery_conditions(&place, to.is_some(), servers);
            event = match self.recovery.handle(event, &conditions) {
                RecoveryAction::AskSource => {
                    let answer = self.ask_source(&place, to.as_ref()).await;
                    // An engine that doesn't answer has crashed or is cut off, gets no more requests, and says nothing
                    // about the others. One that answers is in service and will interrupt further streams.
                    if answer != HandOverAnswer::NoAnswer {
                        record_interruption(&self.node, &self.req, &place);
                    }
                    if answer == HandOverAnswer::NoRun
                        && let Some(mut source) = open.take()
                    {
                        let end = self.forward_last_events(&mut source).await;
                        if self.has_ended(&end).await {
                            return self.finish(end, source, servers);
                        }
                        self.leave(&place, &mut Some(source));
                    }
                    RecoveryEvent::HandOver(answer)
                }
                RecoveryAction::Continue(from) => {
                    self.leave(&place, &mut open);
                    if let Some(next) = self.continue_from(from, &place, servers).await {
                        self.recovery.record_continuation();
                        self.record_new_source();
                        return Some(next);
                    }
                    RecoveryEvent::Failed
                }
                RecoveryAction::KeepReading if open.is_some() => {
                    // A limit passes, and the stream may stall again.
                    self.discard_copy_if(&place, |it| it != CopyObstacle::Limited);
                    self.ignores_stall = true;
                    return open;
                }
                RecoveryAction::KeepReading | RecoveryAction::Abort => {
                    self.discard_copy_if(&place, |_| true);
                    self.record_end("broke-off", servers);
                    return None;
                }
            };
        }
    }

    /// Closes the connection to a server whose stream failed. The server then drops the run.
    fn leave(&self, place: &Placement, source: &mut Option<Source>) {
        if source.take().is_some() {
            update_server(&self.node, place, |it, _| it.load.record_failure());
        }
    }

    /// Prepares to read the stream from another server, or on another connection.
    fn record_new_source(&mut self) {
        // The run that the copy follows has ended.
        self.copy = None;
        self.ignores_stall = false;
        self.reading_since = Instant::now();
    }

    /// Returns why the run can't continue from its copy at present, or `None` if it can.
    fn copy_obstacle(&self, copy: &RunCopy, source: &Placement) -> Option<CopyObstacle> {
        let engine = self.req.config.run_copies.engines.get(&self.req.service);
        if engine.is_none_or(|it| self.reading_since.elapsed() >= it.copy_ttl) {
            return Some(CopyObstacle::Expired);
        }
        if copy.placement(&self.node, source).is_none() {
            return Some(CopyObstacle::TargetGone);
        }
        copy.is_restrained(&self.node).then_some(CopyObstacle::Limited)
    }

    /// Discards a copy that can't be used for one of these reasons.
    fn discard_copy_if(&mut self, source: &Placement, is_reason: impl Fn(CopyObstacle) -> bool) {
        let obstacle = self.copy.as_ref().and_then(|it| self.copy_obstacle(it, source));
        let Some(obstacle) = obstacle.filter(|it| is_reason(*it)) else { return };
        if let Some(copy) = self.copy.take() {
            copy.record_lost(&self.node, &self.req, obstacle.as_str());
        }
    }

    fn recovery_conditions(
        &self,
        source: &Placement,
        has_destination: bool,
        servers: &[BackendServerName],
    ) -> RecoveryConditions {
        RecoveryConditions {
            can_ask_source: self.orders.memory().is_some()
                || (has_destination && self.supports_migration()),
            copy_held: self
                .copy
                .as_ref()
                .is_some_and(|it| self.copy_obstacle(it, source).is_none()),
            may_restart: self.may_restart(servers),
            obstacle: self.obstacle(source),
            time_left: remaining(self.req.deadline),
        }
    }

    fn obstacle(&self, source: &Placement) -> Option<Obstacle> {
        if quarantine::is_quarantined(&self.node, &self.req, &source.version) {
            return Some(Obstacle::Quarantined);
        }
        if self.has_begun && self.last_event_id.is_none() {
            return Some(Obstacle::UnknownPosition);
        }
        (!retries::has_remaining(&self.node, &self.req.service)).then_some(Obstacle::NoRetryLeft)
    }

    /// Forwards what is still in transit of a run that its server no longer has: it may have ended meanwhile.
    async fn forward_last_events(&mut self, source: &mut Source) -> StreamEnd {
        self.reading_since = Instant::now();
        self.forward_events(source, false, Some(LAST_EVENTS_LIMIT)).await
    }

    /// Sends the request to a server where the stream may continue.
    async fn continue_from(
        &mut self,
        from: ContinueFrom,
        source: &Placement,
        servers: &mut Vec<BackendServerName>,
    ) -> Option<Source> {
        let place = match from {
            ContinueFrom::Copy => return self.continue_from_copy(source, servers).await,
            ContinueFrom::Start => {
                self.discard_copy_if(source, |_| true);
                return self.resume(servers).await;
            }
            ContinueFrom::Migrated => {
                let place = self.orders.memory_mut()?.copied_to.take()?;
                let copy = self.copy.as_ref().filter(|it| it.is_at(&place));
                if copy.is_some_and(|it| !it.spend_allowance(&self.node)) {
                    return None;
                }
                self.add_same_run_server(&place, servers);
                place
            }
            ContinueFrom::Stopped => source.clone(),
        };
        let ticket = self.orders.memory()?.memory.ticket();
        let next = self.resume_at(place, from, Some(ticket));
        timeout(CONTINUATION_LIMIT, next).await.ok()?
    }

    /// Continues at the engine that holds the copy of the run. The copy is used at most once.
    async fn continue_from_copy(
        &mut self,
        source: &Placement,
        servers: &mut Vec<BackendServerName>,
    ) -> Option<Source> {
        let copy = self.copy.take()?;
        let place = match self.copy_obstacle(&copy, source) {
            None => copy.placement(&self.node, source)?,
            Some(obstacle) => {
                copy.record_lost(&self.node, &self.req, obstacle.as_str());
                return None;
            }
        };
        if !copy.spend_allowance(&self.node) {
            copy.record_lost(&self.node, &self.req, CopyObstacle::Limited.as_str());
            return None;
        }
        self.add_same_run_server(&place, servers);
        let next = self.resume_at(place, ContinueFrom::Copy, Some(copy.ticket()));
        let next = timeout(CONTINUATION_LIMIT, next).await;
        match next {
            Ok(Some(next)) => {
                self.node.metrics.count_copy(self.req.service.as_str(), "used");
                return Some(next);
            }
            Ok(None) => copy.record_lost(&self.node, &self.req, "refused"),
            Err(_) => copy.record_lost(&self.node, &self.req, "unanswered"),
        }
        None
    }

    fn add_same_run_server(&mut self, place: &Placement, servers: &mut Vec<BackendServerName>) {
        servers.push(place.server.clone());
        self.same_run_servers += 1;
    }

    /// Returns whether the request may run from the beginning at a further server.
    fn may_restart(&self, servers: &[BackendServerName]) -> bool {
        let runs = servers.len() as u32 - self.same_run_servers + self.runs_before;
        self.req.retry_safety() == RetrySafety::ResumableStream && runs < self.req.route.max_servers
    }

    /// Resumes the stream at another server after the last event that the caller got. Tries servers until one succeeds.
    pub(super) async fn resume(&mut self, servers: &mut Vec<BackendServerName>) -> Option<Source> {
        if self.req.retry_safety() != RetrySafety::ResumableStream {
            return None;
        }
        self.partial.clear();
        self.partial_room = None;
        self.large_event = None;
        while self.may_restart(servers) {
            if Instant::now() >= self.req.deadline {
                return None;
            }
            let place = find_server_now(&self.node, &self.req, servers, None)?;
            servers.push(place.server.clone());
            if let Some(source) = self.resume_at(place, ContinueFrom::Start, None).await {
                return Some(source);
            }
        }
        None
    }

    /// Sends the request to a server, to resume after the last event that the caller got: from the memory that `ticket`
    /// locates, or from the beginning.
    async fn resume_at(
        &mut self,
        place: Placement,
        from: ContinueFrom,
        ticket: Option<HeaderValue>,
    ) -> Option<Source> {
        match self.paid_migration.take() {
            Some(paid) => paid.record_sent(&self.node, &self.req.service),
            // It is sent at once.
            None => drop(retries::try_spend(&self.node, &self.req)?),
        }
        self.partial.clear();
        self.partial_room = None;
        self.large_event = None;
        let mut guard = WorkGuard::new(&self.node, &place);
        let sent = Instant::now();
        let names = &self.node.headers;
        let last_event_id = self.last_event_id.clone().map(|it| (names.last_event_id.clone(), it));
        let ticket = ticket.map(|it| (names.migrated_from.clone(), it));
        let extra: Vec<_> = last_event_id.into_iter().chain(ticket).collect();
        log_request!(
            self.node, self.req,
            server = place.server.as_str(), version = &place.version, moved = from != ContinueFrom::Start,
            unlisted_ms = unlisted_ms(&place), from = from_text(from);
            "stream-resumed"
        );
        let answer = exchange(&self.node, &self.req, &place, &extra).await.ok()?;
        if !answer.sealed || !answer.response.status().is_success() {
            return None;
        }
        guard.complete_prefill();
        if matches!(from, ContinueFrom::Migrated | ContinueFrom::Stopped)
            && let Some(run) = self.orders.memory_mut()
        {
            run.memory.mark_used();
        }
        self.order = None;
        self.last_events_until = None;
        self.orders.continue_at(place.server_key());
        let framing = Framing::of(answer.response.headers());
        Some(Source {
            framing,
            _stream: StreamAtEngine::start(&self.node, &self.req, &place),
            incoming: answer.response.into_body(),
            connection: answer.connection,
            keep_alive: answer.keep_alive,
            place,
            guard,
            sent,
            began_at: None,
        })
    }
}

/// Returns how log lines name where a stream continues from.
const fn from_text(from: ContinueFrom) -> &'static str {
    match from {
        ContinueFrom::Migrated => "moved",
        ContinueFrom::Stopped => "stopped",
        ContinueFrom::Copy => "copy",
        ContinueFrom::Start => "start",
    }
}
