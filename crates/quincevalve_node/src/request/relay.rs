//! Relays a stream of events from a server to the caller.

mod recovery;
mod stop_order;

use std::{rc::Rc, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quincevalve_forwarding::{
    memory_budget::Holding, placement::Placement, poison::RunStage, signal_outbox::ServerKey,
};
use quincevalve_names::BackendServerName;
use quincevalve_recovery::{BodyEnd, RecoveryEvent, RunRecovery, StopOrders, stall_limit};
use tokio::time::{Instant, sleep_until, timeout_at};

use self::stop_order::{LAST_EVENTS_LIMIT, StopOrder, StoppedRun, reply_to};
use crate::{
    clock,
    node::{InFlight, Node},
    quarantine,
    request::{
        answer_buffer::{MAX_BUFFERED_ANSWER, SMALL_ANSWER, reserve},
        body::{AnswerBody, AnswerSender, stream_body},
        connection_pool::{Connection, KeepAlive, MAX_READ_BUFFER},
        copies::{RunCopy, StreamAtEngine},
        exchange::{ServerAnswer, caller_response, record_first_answer, update_server},
        exit_check::record_if_exited,
        held_memory::Reservation,
        identify::IdentifiedRequest,
        retries::PaidRetry,
        server_selection::WorkGuard,
        stream_versions::{record_first_event, record_whole},
        trace::log_request,
    },
};

/// The server response that a stream is currently read from.
struct Source {
    incoming: Incoming,
    connection: Connection,
    keep_alive: KeepAlive,
    place: Placement,
    guard: WorkGuard,
    sent: Instant,
    framing: Framing,
    /// When this server's first event arrived.
    began_at: Option<Instant>,
    _stream: Option<StreamAtEngine>,
}

impl Source {
    /// Returns how far the server's answer is. The server has begun it, since the head has arrived.
    fn stage(&self) -> RunStage {
        RunStage::of_answer(self.began_at.map(|it| it.elapsed()))
    }
}

/// What states where a server's answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// A length or the last chunk.
    Delimited,
    /// Only the end of its connection.
    UntilClose,
}

impl Framing {
    fn of(headers: &HeaderMap) -> Self {
        let encoding = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
        let is_delimited = match encoding.map(HeaderValue::as_bytes) {
            Some(encoding) => {
                let last = encoding.rsplit(|it| *it == b',').next().unwrap_or_default();
                last.trim_ascii().eq_ignore_ascii_case(b"chunked")
            }
            None => headers.contains_key(header::CONTENT_LENGTH),
        };
        if is_delimited { Self::Delimited } else { Self::UntilClose }
    }
}

/// Why reading from a source stopped.
enum StreamEnd {
    /// Its bytes ended.
    Ended(BodyEnd),
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
/// Maximum size of a buffer that is kept for the next event although it is empty.
const MAX_KEPT_BUFFER: usize = 8 << 10;
/// Maximum size of a frame whose buffers are counted with its connection.
const SMALL_FRAME: usize = 4 << 10;
/// Memory of the buffers of a stream with larger frames: the HTTP library's, the frame that it has ready, and the event.
const LARGE_FRAMES_BYTES: usize = 3 * MAX_READ_BUFFER;
/// Memory of an event that is too large to be held beside others. The buffer doubles as it grows.
const LARGE_EVENT_BYTES: usize = 2 * MAX_BUFFERED_ANSWER;

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
    let (head, incoming) = answer.response.into_parts();
    let (tx, body) = stream_body(node, req.deadline);
    let response = caller_response(head.status, &head.headers, body);
    let copy = guard.take_copy();
    let source = Source {
        _stream: StreamAtEngine::start(node, req, place),
        incoming,
        connection: answer.connection,
        keep_alive: answer.keep_alive,
        place: place.clone(),
        guard,
        sent,
        framing: Framing::of(&head.headers),
        began_at: None,
    };
    let relay = Relay {
        node: node.clone(),
        req: req.clone(),
        tx,
        partial: BytesMut::new(),
        frame_room: None,
        partial_room: None,
        large_event: None,
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
        order: None,
        orders: StopOrders::new(place.server_key()),
        paid_migration: None,
        last_events_until: None,
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
    tx: AnswerSender,
    /// The received part of an event whose end has not arrived yet.
    partial: BytesMut,
    /// The memory of the buffers through which large frames pass.
    frame_room: Option<Reservation>,
    /// The memory of that part while it is small.
    partial_room: Option<Reservation>,
    /// The memory of that part once it is large.
    large_event: Option<Reservation>,
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
    /// The order to stop the run that has no answer yet.
    order: Option<StopOrder>,
    orders: StopOrders<ServerKey, StoppedRun>,
    /// The retry with which the run continues after its migration.
    paid_migration: Option<PaidRetry>,
    /// Time until which the last events of a stopped run are awaited.
    last_events_until: Option<Instant>,
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
            let next = match end {
                StreamEnd::MigrationDue => self.migrate(source, &mut servers).await,
                StreamEnd::Stalled => {
                    self.recover(source, RecoveryEvent::Stalled, &mut servers).await
                }
                end if self.has_ended(&end).await => self.finish(end, source, &servers),
                _ if self.continues_runs() => {
                    self.recover(source, RecoveryEvent::Broke, &mut servers).await
                }
                _ => {
                    update_server(&self.node, &source.place, |it, _| it.load.record_failure());
                    record_if_exited(&self.node, &self.req, &source.place, source.stage());
                    drop(source);
                    let next = self.resume(&mut servers).await;
                    if next.is_none() {
                        self.record_end("broke-off", &servers);
                    }
                    next
                }
            };
            match next {
                Some(next) => source = next,
                None => return,
            }
        }
    }

    /// Finishes a stream that doesn't continue after this end of its source. Returns no source.
    fn finish(
        &self,
        end: StreamEnd,
        source: Source,
        servers: &[BackendServerName],
    ) -> Option<Source> {
        match end {
            StreamEnd::Ended(_) => {
                quarantine::record_completion(&self.node, &self.req, &source.place);
                record_whole(&self.node, &self.req);
                self.tx.complete();
                self.record_end("whole", servers);
                if servers.len() == 1 && self.gap_count > 0 {
                    let mean_gap = self.gap_sum / self.gap_count;
                    source.guard.record_pace(mean_gap.as_secs_f64() * 1_000.0);
                }
                let key = source.place.server_key();
                self.node.connections.release(key, source.connection, &source.keep_alive);
            }
            StreamEnd::TimedOut => self.record_end("timed-out", servers),
            _ => self.record_end("caller-left", servers),
        }
        None
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
            let version = &source.place.version;
            let is_migratable =
                may_migrate && !quarantine::is_quarantined(&self.node, &self.req, version);
            let migrate_at = if is_migratable { self.migrate_at(&source.place) } else { None };
            let frame = tokio::select! {
                biased;
                () = self.tx.closed() => return StreamEnd::CallerLeft,
                () = wait_until(migrate_at) => return StreamEnd::MigrationDue,
                () = self.node.changed.notified(), if may_migrate && migrate_at.is_none() => continue,
                reply = reply_to(&mut self.order), if self.order.is_some() => {
                    self.record_reply(reply);
                    if self.orders.memory().is_some() {
                        self.last_events_until = Some(Instant::now() + LAST_EVENTS_LIMIT);
                    }
                    continue;
                }
                frame = timeout_at(self.req.deadline, source.incoming.frame()) => frame,
                () = wait_until(self.last_events_until) => return StreamEnd::Ended(BodyEnd::Truncated),
                () = wait_until(stalled_at) => return StreamEnd::Stalled,
            };
            let data = match frame {
                Err(_) => return StreamEnd::TimedOut,
                Ok(None) if source.framing == Framing::UntilClose => {
                    log_request!(
                        self.node, self.req,
                        server = source.place.server.as_str(), inside_event = !self.partial.is_empty();
                        "stream-closed"
                    );
                    return StreamEnd::Ended(BodyEnd::Closed);
                }
                Ok(None) => return StreamEnd::Ended(BodyEnd::Delimited),
                Ok(Some(Err(error))) => {
                    log::warn!(
                        id = self.req.id, server = source.place.server.as_str(), error:% = error;
                        "stream-broke-off"
                    );
                    return StreamEnd::Ended(BodyEnd::Truncated);
                }
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if !self.reserve_frames(data.len()).await {
                return StreamEnd::TimedOut;
            }
            let events = self.take_complete_events(&data);
            // A frame keeps the whole buffer into which it was read, and the caller may not read for long.
            drop(data);
            let Some(events) = events else {
                if let Err(end) = self.keep_partial(&source.place).await {
                    return end;
                }
                continue;
            };
            self.release_partial();
            source.began_at.get_or_insert_with(Instant::now);
            if !std::mem::replace(&mut self.has_begun, true) {
                source.guard.complete_prefill();
                source.guard.record_first_part();
                source.guard.record_outcome(true);
                log_request!(
                    self.node, self.req,
                    server = source.place.server.as_str(), version = &source.place.version,
                    took_ms = source.sent.elapsed().as_millis() as u64,
                    predicted_ms = source.place.predicted.as_millis() as u64;
                    "stream-began"
                );
                record_first_event(&self.node, &self.req, &source.place);
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
            if self.tx.send(events).await.is_err() {
                return StreamEnd::CallerLeft;
            }
            self.ignores_stall = false;
            self.reading_since = Instant::now();
        }
    }

    /// Reserves memory for the buffers of a stream with large frames, once; returns whether there is room before the request's
    /// deadline.
    async fn reserve_frames(&mut self, frame: usize) -> bool {
        if frame > SMALL_FRAME && self.frame_room.is_none() {
            let (holding, deadline) = (Holding::SmallAnswer, self.req.deadline);
            self.frame_room =
                reserve(&self.node, holding, LARGE_FRAMES_BYTES as u64, deadline).await;
            return self.frame_room.is_some();
        }
        true
    }

    /// Keeps the received part of an event until its end arrives, unless the event is too long or there is no room for it
    /// before the request's deadline.
    async fn keep_partial(&mut self, place: &Placement) -> Result<(), StreamEnd> {
        if self.partial.len() > MAX_BUFFERED_ANSWER {
            log::warn!(
                id = self.req.id, server = place.server.as_str(), bytes = self.partial.len();
                "event-too-long"
            );
            return Err(StreamEnd::Ended(BodyEnd::Truncated));
        }
        if self.partial_room.is_none() {
            let room = self.node.memory.reserve(Holding::SmallAnswer, SMALL_ANSWER as u64);
            self.partial_room = Some(room);
        }
        if self.partial.len() > SMALL_ANSWER && self.large_event.is_none() {
            let bytes = LARGE_EVENT_BYTES as u64;
            let room = reserve(&self.node, Holding::LargeAnswer, bytes, self.req.deadline).await;
            self.large_event = Some(room.ok_or(StreamEnd::TimedOut)?);
        }
        Ok(())
    }

    /// Gives back what the events that are complete now took.
    fn release_partial(&mut self) {
        self.large_event = None;
        if self.partial.is_empty() {
            self.partial_room = None;
        }
        if self.partial.capacity() > self.partial.len().max(MAX_KEPT_BUFFER) {
            self.partial = BytesMut::from(self.partial.as_ref());
        }
    }

    /// Returns whether the service's engine supports migration.
    fn supports_migration(&self) -> bool {
        let engine = self.req.config.services.get(&self.req.service).and_then(|it| it.engine);
        engine.is_some_and(|it| it.supports_migration)
    }

    /// Returns when the stream has to be migrated, if its server is expected to stop.
    fn migrate_at(&self, place: &Placement) -> Option<Instant> {
        let stop_at = self.node.servers.borrow().expected_stop(&place.server, place.start)?;
        let remaining = stop_at.since(clock::now());
        Some(Instant::now() + remaining.saturating_sub(MIGRATION_LEAD_TIME))
    }

    /// Adds received data and returns the events that are complete. Stores the id of the last of them.
    fn take_complete_events(&mut self, data: &[u8]) -> Option<Bytes> {
        // What arrived before holds no end of an event, except that its last byte may be the first of one.
        let searched = self.partial.len().saturating_sub(1);
        self.partial.extend_from_slice(data);
        let end = self.partial.get(searched..)?.windows(2).rposition(|it| it == b"\n\n")?;
        let end = searched + end + 2;
        // A copy, since a part of the buffer would keep all of it.
        let events = Bytes::copy_from_slice(self.partial.get(..end)?);
        self.partial.advance(end);
        if let Some(id) = last_id(&events) {
            self.last_event_id = HeaderValue::from_bytes(id).ok();
        }
        Some(events)
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
