//! Relays a stream of events from a server to the caller, and resumes or migrates it between servers.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quincevalve_forwarding::{config::RetrySafety, placement::Placement};
use quincevalve_names::BackendServerName;
use quincevalve_recovery::{
    ContinueFrom, HAND_OVER_LIMIT, HandOverAnswer, Obstacle, RecoveryAction, RecoveryConditions,
    RecoveryEvent, RunRecovery, stall_limit,
};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep_until, timeout, timeout_at},
};

use crate::{
    clock,
    node::{InFlight, Node, remaining},
    ports::{MigrationAnswer, MigrationError},
    quarantine,
    request::{
        body::{AnswerAborted, AnswerBody},
        connection_pool::{Connection, KeepAlive},
        copies::{CopyObstacle, RunCopy, StreamAtEngine, record_interruption},
        exchange::{ServerAnswer, caller_response, exchange, record_first_answer, update_server},
        exit_check::record_if_exited,
        identify::IdentifiedRequest,
        server_selection::{WorkGuard, find_server_now, unlisted_ms},
        trace::log_request,
    },
};

/// Maximum number of chunks buffered for a slow caller before reading from the server pauses.
const MAX_BUFFERED_CHUNKS: usize = 64;

/// The server response that a stream is currently read from.
struct Source {
    incoming: Incoming,
    connection: Connection,
    keep_alive: KeepAlive,
    place: Placement,
    guard: WorkGuard,
    sent: Instant,
    _stream: Option<StreamAtEngine>,
}

/// The order to a server to stop a run and copy its memory to another server.
struct HandOverOrder {
    from: Placement,
    to: Placement,
    answer: MigrationReceiver,
}

impl HandOverOrder {
    /// Returns whether this orders the server of a placement to stop the run.
    fn is_to_stop_at(&self, place: &Placement) -> bool {
        self.from.server == place.server && self.from.start == place.start
    }
}

/// Receives the answer to an order to migrate a run.
type MigrationReceiver = oneshot::Receiver<Result<MigrationAnswer, MigrationError>>;

/// Why reading from a source stopped.
enum StreamEnd {
    /// The server completed the stream.
    Completed,
    /// The stream ended before it was complete.
    Interrupted,
    /// The request's deadline passed.
    TimedOut,
    /// The caller disconnected.
    CallerLeft,
    /// The server stops soon, so the stream has to be migrated.
    MigrationDue,
    /// The stream has been silent for longer than its stall limit.
    Stalled,
}

/// Time before a server's expected stop at which its streams are migrated. The server's announcement takes up to 700 ms
/// to arrive, and copying all runs of an engine takes 200 ms. Streams that end earlier are not migrated.
const MIGRATION_LEAD_TIME: Duration = Duration::from_millis(1_100);

/// Time in which the last events of a run that has just ended still arrive.
const LAST_EVENTS_LIMIT: Duration = Duration::from_millis(100);
/// Maximum time until a server answers a request that continues from a run's memory. Callers abandon a stream that is
/// silent for two seconds.
const CONTINUATION_LIMIT: Duration = Duration::from_secs(1);

/// Starts to relay a stream to the caller. `runs_before` servers may have run the request already.
pub(crate) fn start_stream(
    node: &Rc<Node>,
    req: &Rc<IdentifiedRequest>,
    place: &Placement,
    answer: ServerAnswer,
    mut guard: WorkGuard,
    sent: Instant,
    runs_before: u32,
) -> Response<AnswerBody> {
    let (tx, rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let (head, incoming) = answer.response.into_parts();
    let response = caller_response(head.status, &head.headers, AnswerBody::Stream(rx));
    let copy = guard.take_copy();
    let source = Source {
        _stream: StreamAtEngine::start(node, req, place),
        incoming,
        connection: answer.connection,
        keep_alive: answer.keep_alive,
        place: place.clone(),
        guard,
        sent,
    };
    let relay = Relay {
        node: node.clone(),
        req: req.clone(),
        tx,
        partial: BytesMut::new(),
        last_event_id: None,
        has_begun: false,
        time_to_first_event: None,
        last_event_at: None,
        gap_sum: Duration::ZERO,
        gap_count: 0,
        longest_gap: Duration::ZERO,
        runs_before,
        same_run_servers: 0,
        recovery: RunRecovery::default(),
        copy,
        unanswered_order: None,
        stall_limit: stall_limit_of(req),
        ignores_stall: false,
        reading_since: Instant::now(),
        _in_flight: InFlight::new(node),
    };
    tokio::task::spawn_local(relay.run(source));
    response
}

struct Relay {
    node: Rc<Node>,
    req: Rc<IdentifiedRequest>,
    tx: mpsc::Sender<Result<Bytes, AnswerAborted>>,
    /// The received part of an event whose end has not arrived yet.
    partial: BytesMut,
    last_event_id: Option<HeaderValue>,
    has_begun: bool,
    /// Time from the request's arrival to the first event.
    time_to_first_event: Option<Duration>,
    /// When the newest event arrived.
    last_event_at: Option<Instant>,
    /// Sum of the gaps between successive events; `gap_count` is their number.
    gap_sum: Duration,
    gap_count: u32,
    longest_gap: Duration,
    /// Number of servers that may have run the request before the stream's first server.
    runs_before: u32,
    /// Number of further servers at which the same run continued from its memory.
    same_run_servers: u32,
    recovery: RunRecovery,
    /// The copy of the run that the stream's first server makes.
    copy: Option<RunCopy>,
    /// An order to hand the run over that its source has not answered in time.
    unanswered_order: Option<HandOverOrder>,
    /// Silence after which the stream counts as stalled; `None` if stalls are not detected.
    stall_limit: Option<Duration>,
    /// Whether the current silence has been handled already.
    ignores_stall: bool,
    /// When reading from the source began, or continued after the caller accepted the newest event.
    reading_since: Instant,
    _in_flight: InFlight,
}

/// Returns the silence after which a request's stream counts as stalled, if its engines copy runs to each other and its
/// route promises a longest pause.
fn stall_limit_of(req: &IdentifiedRequest) -> Option<Duration> {
    let copies = &req.config.run_copies;
    copies.engines.get(&req.service)?;
    copies.longest_pauses.get(&req.route.name).map(|it| stall_limit(*it))
}

impl Relay {
    /// Relays the stream until it ends at the caller.
    async fn run(mut self, mut source: Source) {
        let mut servers = vec![source.place.server.clone()];
        loop {
            let may_migrate = self.supports_migration();
            let end = self.forward_events(&mut source, may_migrate, self.stall_limit).await;
            match end {
                StreamEnd::Completed => {
                    quarantine::record_completion(&self.node, &self.req);
                    self.record_end("whole", &servers);
                    if servers.len() == 1 && self.gap_count > 0 {
                        let mean_gap = self.gap_sum / self.gap_count;
                        source.guard.record_pace(mean_gap.as_secs_f64() * 1_000.0);
                    }
                    self.node.connections.release(
                        &source.place,
                        source.connection,
                        &source.keep_alive,
                    );
                    return;
                }
                StreamEnd::CallerLeft => return self.record_end("caller-left", &servers),
                StreamEnd::MigrationDue => match self.migrate(source, &mut servers).await {
                    Some(next) => source = next,
                    None => return,
                },
                StreamEnd::TimedOut => {
                    self.record_end("timed-out", &servers);
                    return self.abort().await;
                }
                StreamEnd::Stalled => {
                    match self.recover(source, RecoveryEvent::Stalled, &mut servers).await {
                        Some(next) => source = next,
                        None => return,
                    }
                }
                StreamEnd::Interrupted if self.continues_runs() => {
                    match self.recover(source, RecoveryEvent::Broke, &mut servers).await {
                        Some(next) => source = next,
                        None => return,
                    }
                }
                StreamEnd::Interrupted => {
                    update_server(&self.node, &source.place, |it, _| it.load.record_failure());
                    record_if_exited(&self.node, &self.req, &source.place);
                    drop(source);
                    let Some(next) = self.resume(&mut servers).await else {
                        self.record_end("broke-off", &servers);
                        return self.abort().await;
                    };
                    source = next;
                }
            }
        }
    }

    /// Logs and counts the end of the stream, and ends the request's trace.
    fn record_end(&self, how: &str, servers: &[BackendServerName]) {
        let first_ms = self.time_to_first_event.map_or(0, |it| it.as_millis() as u64);
        log_request!(
            self.node, self.req,
            how = how, servers = servers.len(), server = servers.last().map_or("", |it| it.as_str()),
            first_ms = first_ms, pause_ms = self.longest_gap.as_millis() as u64,
            took_ms = self.req.arrived.elapsed().as_millis() as u64;
            "stream-ended"
        );
        self.node.metrics.count_request(&self.req.route.name, how);
        let was_late = self.time_to_first_event.is_none_or(|it| it > self.req.route.objective);
        let was_bad = was_late || !matches!(how, "whole" | "caller-left");
        self.req.trace.end(&self.node, &self.req.id, was_bad);
    }

    /// Closes the caller's connection, so that the truncated answer doesn't look complete.
    async fn abort(&self) {
        // If the caller has disconnected meanwhile, there is nothing to close.
        let _ = self.tx.send(Err(AnswerAborted)).await;
    }

    /// Forwards complete events until the source ends, the stream has to be migrated, or it is silent for longer than
    /// `stall_limit`.
    async fn forward_events(
        &mut self,
        source: &mut Source,
        may_migrate: bool,
        stall_limit: Option<Duration>,
    ) -> StreamEnd {
        loop {
            let stall_limit = stall_limit.filter(|_| self.has_begun && !self.ignores_stall);
            let stalled_at = stall_limit.map(|it| self.reading_since + it);
            // A request that is quarantined while its stream runs is not migrated: the other engine would exit too.
            let is_migratable = may_migrate && !quarantine::is_quarantined(&self.node, &self.req);
            let migrate_at = if is_migratable { self.migrate_at(&source.place) } else { None };
            let frame = tokio::select! {
                biased;
                () = self.tx.closed() => return StreamEnd::CallerLeft,
                () = wait_until(migrate_at) => return StreamEnd::MigrationDue,
                () = self.node.changed.notified(), if may_migrate && migrate_at.is_none() => continue,
                frame = timeout_at(self.req.deadline, source.incoming.frame()) => frame,
                () = wait_until(stalled_at) => return StreamEnd::Stalled,
            };
            let data = match frame {
                Err(_) => return StreamEnd::TimedOut,
                Ok(None) if self.partial.is_empty() => return StreamEnd::Completed,
                // An answer that ends within an event is truncated, even if its HTTP framing is complete.
                Ok(None) => return StreamEnd::Interrupted,
                Ok(Some(Err(error))) => {
                    log::warn!(
                        id = self.req.id, server = source.place.server.as_str(), error:% = error;
                        "stream-broke-off"
                    );
                    return StreamEnd::Interrupted;
                }
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            let Some(events) = self.take_complete_events(&data) else { continue };
            if !std::mem::replace(&mut self.has_begun, true) {
                source.guard.complete_prefill();
                source.guard.record_first_part();
                source.guard.record_outcome(true);
                log_request!(
                    self.node, self.req,
                    server = source.place.server.as_str(),
                    took_ms = source.sent.elapsed().as_millis() as u64,
                    predicted_ms = source.place.predicted.as_millis() as u64;
                    "stream-began"
                );
                self.time_to_first_event = Some(self.req.arrived.elapsed());
                self.node
                    .metrics
                    .observe_first_answer(&self.req.route.name, self.req.arrived.elapsed());
                record_first_answer(&self.node, &source.place, source.sent);
                self.node.record_usage_start(self.req.account.as_ref());
            }
            let now = Instant::now();
            if let Some(before) = self.last_event_at.replace(now) {
                self.node.metrics.observe_event_interval(&self.req.route.name, now - before);
                self.gap_sum += now - before;
                self.longest_gap = self.longest_gap.max(now - before);
                self.gap_count += 1;
            }
            if self.tx.send(Ok(events)).await.is_err() {
                return StreamEnd::CallerLeft;
            }
            self.ignores_stall = false;
            self.reading_since = Instant::now();
        }
    }

    /// Returns whether the service's engine supports migration.
    fn supports_migration(&self) -> bool {
        let engine = self.req.config.services.get(&self.req.service).and_then(|it| it.engine);
        engine.is_some_and(|it| it.supports_migration)
    }

    /// Returns when the stream has to be migrated, if its server is expected to stop.
    fn migrate_at(&self, place: &Placement) -> Option<Instant> {
        let server_stop = self.node.servers.borrow().expected_stop(&place.server, place.start);
        let version_stop =
            self.node.rollouts.borrow().expected_stop(&self.req.service, &place.version);
        let stop_at = server_stop.into_iter().chain(version_stop).min()?;
        let remaining = stop_at.since(clock::now());
        Some(Instant::now() + remaining.saturating_sub(MIGRATION_LEAD_TIME))
    }

    /// Migrates the run to another engine and continues the stream there. Returns `None` if the stream has ended.
    ///
    /// Engines are reclaimed with two seconds' notice, and most long answers take longer. Without migration the streams
    /// of a whole data centre would be truncated, and all processed prompts and generated tokens would be lost. The
    /// engine stops the run and copies its memory, and the same request continues from the copy as the same run.
    async fn migrate(
        &mut self,
        mut source: Source,
        servers: &mut Vec<BackendServerName>,
    ) -> Option<Source> {
        let to = find_server_now(&self.node, &self.req, servers);
        let migration = to.as_ref().and_then(|to| self.order_migration(&source.place, to));
        // Tokens that the engine generates until it stops the run still arrive on the old stream.
        let end = self.forward_events(&mut source, false, None).await;
        let has_ended =
            matches!(end, StreamEnd::Completed | StreamEnd::CallerLeft | StreamEnd::TimedOut);
        if has_ended {
            return self.finish_without_migration(end, source, servers).await;
        }
        let migrated = match migration {
            Some(migration) => migration.await.ok(),
            None => None,
        };
        let place = source.place.clone();
        drop(source);
        if let (Some(Ok(MigrationAnswer::Migrated(migrated))), Some(to)) = (migrated, to) {
            servers.push(to.server.clone());
            let ticket = Some(migrated.ticket);
            if let Some(next) = self.resume_at(to, ContinueFrom::Migrated, ticket).await {
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
        self.abort().await;
        None
    }

    /// Orders the server at `from` to stop the run and to copy its memory to `to`.
    fn order_migration(&self, from: &Placement, to: &Placement) -> Option<MigrationReceiver> {
        let (from, to) = {
            let table = self.node.servers.borrow();
            let address = |it: &Placement| {
                let server = table.get(&it.server).filter(|server| server.entry.start == it.start);
                server.map(|server| server.entry.address)
            };
            (address(from)?, address(to)?)
        };
        self.node.migrations.migrate(from, to, &self.req.id)
    }

    /// Returns whether a broken stream can continue from the run's memory, because the service's engines copy runs.
    fn continues_runs(&self) -> bool {
        self.req.config.run_copies.engines.contains_key(&self.req.service)
    }

    /// Continues a stream that broke off or stalled. Returns `None` if the stream has ended.
    ///
    /// The decisions are made by [`RunRecovery`].
    async fn recover(
        &mut self,
        source: Source,
        event: RecoveryEvent,
        servers: &mut Vec<BackendServerName>,
    ) -> Option<Source> {
        let place = source.place.clone();
        let mut open = Some(source);
        if event == RecoveryEvent::Broke {
            record_if_exited(&self.node, &self.req, &place);
            self.leave(&place, &mut open);
        }
        let earlier = self.unanswered_order.as_ref().filter(|it| it.is_to_stop_at(&place));
        let to = earlier.map(|it| it.to.clone()).or_else(|| {
            let copy_place = self.copy.as_ref().and_then(|it| it.placement(&self.node, &place));
            copy_place.or_else(|| find_server_now(&self.node, &self.req, servers))
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
        let mut ticket = None;
        loop {
            if self.tx.is_closed() {
                self.record_end("caller-left", servers);
                return None;
            }
            let conditions = self.recovery_conditions(&place, to.is_some(), servers);
            event = match self.recovery.handle(event, &conditions) {
                RecoveryAction::AskSource => {
                    let answer;
                    (answer, ticket) = self.ask_source(&place, to.as_ref()).await;
                    // An engine that doesn't answer has crashed or is cut off, gets no more requests, and says nothing
                    // about the others. One that answers is in service and will interrupt further streams.
                    if answer != HandOverAnswer::NoAnswer {
                        record_interruption(&self.node, &self.req, &place);
                    }
                    if answer == HandOverAnswer::NoRun
                        && let Some(mut source) = open.take()
                    {
                        let end = self.forward_last_events(&mut source).await;
                        let has_ended = matches!(
                            end,
                            StreamEnd::Completed | StreamEnd::CallerLeft | StreamEnd::TimedOut
                        );
                        if has_ended {
                            return self.finish_without_migration(end, source, servers).await;
                        }
                        self.leave(&place, &mut Some(source));
                    }
                    RecoveryEvent::HandOver(answer)
                }
                RecoveryAction::Continue(from) => {
                    self.leave(&place, &mut open);
                    let next =
                        self.continue_from(from, &place, to.as_ref(), ticket.as_ref(), servers);
                    if let Some(next) = next.await {
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
                    self.abort().await;
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
        self.unanswered_order = None;
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
            can_ask_source: has_destination && self.supports_migration(),
            copy_held: self
                .copy
                .as_ref()
                .is_some_and(|it| self.copy_obstacle(it, source).is_none()),
            may_restart: self.may_restart(servers),
            obstacle: self.obstacle(),
            time_left: remaining(self.req.deadline),
        }
    }

    fn obstacle(&self) -> Option<Obstacle> {
        if quarantine::is_quarantined(&self.node, &self.req) {
            return Some(Obstacle::Quarantined);
        }
        if self.has_begun && self.last_event_id.is_none() {
            return Some(Obstacle::UnknownPosition);
        }
        (!self.node.has_retry_left(&self.req.service)).then_some(Obstacle::NoRetryLeft)
    }

    /// Orders the source to stop the run and copy its memory to `to`, and returns its answer with the header value from
    /// which the run continues. Waits for the answer to an earlier order instead if that may still stop the run.
    ///
    /// The stream is not read meanwhile: the continuation sends all events after the last one that the caller got.
    async fn ask_source(
        &mut self,
        from: &Placement,
        to: Option<&Placement>,
    ) -> (HandOverAnswer, Option<HeaderValue>) {
        let until = Instant::now() + HAND_OVER_LIMIT;
        let earlier = self.unanswered_order.take().filter(|it| it.is_to_stop_at(from));
        if let Some(order) = earlier {
            let (answer, ticket) = self.wait_for_hand_over(order, until).await;
            if ticket.is_some() || self.unanswered_order.is_some() {
                return (answer, ticket);
            }
        }
        let order = to.and_then(|to| {
            let answer = self.order_migration(from, to)?;
            Some(HandOverOrder { from: from.clone(), to: to.clone(), answer })
        });
        match order {
            Some(order) => self.wait_for_hand_over(order, until).await,
            None => (HandOverAnswer::NoAnswer, None),
        }
    }

    /// Waits for the answer to an order, and keeps the order if there is none in time.
    ///
    /// The source may execute it later. That answer is used if the stream is still read from the source then, and
    /// dropped otherwise; the engine frees the memory after the handle's time to live.
    async fn wait_for_hand_over(
        &mut self,
        mut order: HandOverOrder,
        until: Instant,
    ) -> (HandOverAnswer, Option<HeaderValue>) {
        match timeout_at(until, &mut order.answer).await {
            Ok(Ok(Ok(answer))) => match answer {
                MigrationAnswer::Migrated(it) => (HandOverAnswer::Migrated, Some(it.ticket)),
                MigrationAnswer::Stopped(it) => (HandOverAnswer::Stopped, Some(it.ticket)),
                MigrationAnswer::NoRun => (HandOverAnswer::NoRun, None),
                MigrationAnswer::NoRoom | MigrationAnswer::InProgress => {
                    (HandOverAnswer::Declined, None)
                }
            },
            Ok(Ok(Err(error))) => {
                log_request!(
                    self.node, self.req, server = order.from.server.as_str(), error = error;
                    "hand-over-failed"
                );
                (HandOverAnswer::NoAnswer, None)
            }
            Ok(Err(_)) => (HandOverAnswer::NoAnswer, None),
            Err(_) => {
                self.unanswered_order = Some(order);
                (HandOverAnswer::NoAnswer, None)
            }
        }
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
        to: Option<&Placement>,
        ticket: Option<&HeaderValue>,
        servers: &mut Vec<BackendServerName>,
    ) -> Option<Source> {
        let (place, ticket) = match from {
            ContinueFrom::Copy => return self.continue_from_copy(source, servers).await,
            ContinueFrom::Start => {
                self.discard_copy_if(source, |_| true);
                return self.resume(servers).await;
            }
            ContinueFrom::Migrated => {
                let place = to?.clone();
                let copy = self.copy.as_ref().filter(|it| it.is_at(&place));
                if copy.is_some_and(|it| !it.spend_allowance(&self.node)) {
                    return None;
                }
                self.add_same_run_server(&place, servers);
                (place, ticket)
            }
            ContinueFrom::Stopped => (source.clone(), ticket),
        };
        let next = self.resume_at(place, from, ticket.cloned());
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

    /// Finishes a stream that ended before its migration.
    async fn finish_without_migration(
        &mut self,
        end: StreamEnd,
        source: Source,
        servers: &[BackendServerName],
    ) -> Option<Source> {
        match end {
            StreamEnd::Completed => {
                quarantine::record_completion(&self.node, &self.req);
                self.record_end("whole", servers);
                self.node.connections.release(&source.place, source.connection, &source.keep_alive);
            }
            StreamEnd::TimedOut => {
                self.record_end("timed-out", servers);
                self.abort().await;
            }
            _ => self.record_end("caller-left", servers),
        }
        None
    }

    /// Adds received data and returns the events that are complete. Stores the id of the last of them.
    fn take_complete_events(&mut self, data: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(data);
        let end = self.partial.windows(2).rposition(|it| it == b"\n\n")? + 2;
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_event_id = HeaderValue::from_bytes(id).ok();
        }
        Some(events)
    }

    /// Returns whether the request may run from the beginning at a further server.
    fn may_restart(&self, servers: &[BackendServerName]) -> bool {
        let runs = servers.len() as u32 - self.same_run_servers + self.runs_before;
        self.req.retry_safety() == RetrySafety::ResumableStream && runs < self.req.route.max_servers
    }

    /// Resumes the stream at another server after the last event that the caller got. Tries servers until one succeeds.
    async fn resume(&mut self, servers: &mut Vec<BackendServerName>) -> Option<Source> {
        if self.req.retry_safety() != RetrySafety::ResumableStream {
            return None;
        }
        self.partial.clear();
        while self.may_restart(servers) {
            if Instant::now() >= self.req.deadline {
                return None;
            }
            let place = find_server_now(&self.node, &self.req, servers)?;
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
        if !self.node.try_spend_retry(&self.req.service) {
            return None;
        }
        self.partial.clear();
        let mut guard = WorkGuard::new(&self.node, &place);
        let sent = Instant::now();
        let names = &self.node.headers;
        let last_event_id = self.last_event_id.clone().map(|it| (names.last_event_id.clone(), it));
        let ticket = ticket.map(|it| (names.migrated_from.clone(), it));
        let extra: Vec<_> = last_event_id.into_iter().chain(ticket).collect();
        log_request!(
            self.node, self.req,
            server = place.server.as_str(), moved = from != ContinueFrom::Start,
            unlisted_ms = unlisted_ms(&place), from = from_text(from);
            "stream-resumed"
        );
        let answer = exchange(&self.node, &self.req, &place, &extra).await.ok()?;
        if !answer.sealed || !answer.response.status().is_success() {
            return None;
        }
        guard.complete_prefill();
        Some(Source {
            _stream: StreamAtEngine::start(&self.node, &self.req, &place),
            incoming: answer.response.into_body(),
            connection: answer.connection,
            keep_alive: answer.keep_alive,
            place,
            guard,
            sent,
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

/// Waits until the given time, or forever if there is none.
async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Returns the `id` of the last event that has one.
fn last_id(events: &[u8]) -> Option<&[u8]> {
    let lines = events.rsplit(|it| *it == b'\n');
    lines.filter_map(|it| it.strip_prefix(b"id:")).map(<[u8]>::trim_ascii).next()
}
