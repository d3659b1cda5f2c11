//! A stream of events on its way from a server to the caller.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderName, HeaderValue, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quincevalve_forwarding::{config::RetrySafety, placement::Placement};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until, timeout_at},
};

use crate::{
    clock,
    node::{InFlight, Node},
    quarantine,
    request::{
        backends::{Connection, KeepAlive},
        body::{AnswerBody, BrokenOff},
        exchange::{ServerAnswer, about, exchange, note_answered, passed_on},
        exit_check::connection_broke,
        identify::Identified,
        placing::{WorkGuard, place_again, unlisted_ms},
        trace::note,
    },
};

/// Events that may wait for a slow caller before the server's stream is no longer read.
const WAITING_EVENTS: usize = 64;

/// Where a stream comes from at present.
struct Source {
    incoming: Incoming,
    connection: Connection,
    keep_alive: KeepAlive,
    place: Placement,
    guard: WorkGuard,
    sent: Instant,
}

/// Why a source has no more events.
enum End {
    /// The server ended the stream.
    Whole,
    /// The server's connection ended before the stream did.
    BrokeOff,
    /// The time of the request is over.
    TimedOut,
    /// The caller has left.
    CallerLeft,
    /// The server goes before the stream is likely to end.
    MustMove,
}

/// Time before a server goes at which its streams are moved: its announcement was up to 700 ms on its way, and
/// the copies of a whole engine take 200 ms. Streams that end before are not moved.
const MOVE_BEFORE: Duration = Duration::from_millis(1_100);

/// Begins to pass a stream on. `runs_before` servers may have run it already.
pub(crate) fn stream(
    node: &Rc<Node>,
    req: &Rc<Identified>,
    place: &Placement,
    answer: ServerAnswer,
    guard: WorkGuard,
    sent: Instant,
    runs_before: u32,
) -> Response<AnswerBody> {
    let (tx, rx) = mpsc::channel(WAITING_EVENTS);
    let (head, incoming) = answer.response.into_parts();
    let response = passed_on(head.status, &head.headers, AnswerBody::Stream(rx));
    let source = Source {
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
        last_event: None,
        began: false,
        first_after: None,
        newest_event: None,
        between_events: Duration::ZERO,
        pauses: 0,
        longest_pause: Duration::ZERO,
        runs_before,
        _in_flight: InFlight::new(node),
    };
    tokio::task::spawn_local(relay.run(source));
    response
}

struct Relay {
    node: Rc<Node>,
    req: Rc<Identified>,
    tx: mpsc::Sender<Result<Bytes, BrokenOff>>,
    /// The start of an event whose end hasn't come yet.
    partial: BytesMut,
    last_event: Option<HeaderValue>,
    began: bool,
    /// From the request's arrival to the first event.
    first_after: Option<Duration>,
    /// When the newest event came.
    newest_event: Option<Instant>,
    /// The time between all events, and how many pauses that were.
    between_events: Duration,
    pauses: u32,
    longest_pause: Duration,
    /// Servers that may have run the request before the first of this stream.
    runs_before: u32,
    _in_flight: InFlight,
}

impl Relay {
    async fn run(mut self, mut source: Source) {
        let mut servers = vec![source.place.server.clone()];
        loop {
            let end = self.pump(&mut source, self.can_move()).await;
            match end {
                End::Whole => {
                    quarantine::record_completion(&self.node, &self.req);
                    self.ended("whole", &servers);
                    if servers.len() == 1 && self.pauses > 0 {
                        let between = self.between_events / self.pauses;
                        source.guard.pace(between.as_secs_f64() * 1_000.0);
                    }
                    self.node.backends.keep(&source.place, source.connection, &source.keep_alive);
                    return;
                }
                End::CallerLeft => return self.ended("caller-left", &servers),
                End::MustMove => match self.move_on(source, &mut servers).await {
                    Some(next) => source = next,
                    None => return,
                },
                End::TimedOut => {
                    self.ended("timed-out", &servers);
                    return self.break_off().await;
                }
                End::BrokeOff => {
                    about(&self.node, &source.place, |it, _| it.load.record_failure());
                    connection_broke(&self.node, &self.req, &source.place);
                    drop(source);
                    let Some(next) = self.resume(&mut servers).await else {
                        self.ended("broke-off", &servers);
                        return self.break_off().await;
                    };
                    source = next;
                }
            }
        }
    }

    fn ended(&self, how: &str, servers: &[quincevalve_names::BackendServerName]) {
        let first_ms = self.first_after.map_or(0, |it| it.as_millis() as u64);
        note!(
            self.node, self.req,
            how = how, servers = servers.len(), server = servers.last().map_or("", |it| it.as_str()),
            first_ms = first_ms, pause_ms = self.longest_pause.as_millis() as u64,
            took_ms = self.req.arrived.elapsed().as_millis() as u64;
            "stream-ended"
        );
        self.node.metrics.count_request(&self.req.route.name, how);
        let was_late = self.first_after.is_none_or(|it| it > self.req.route.objective);
        let was_bad = was_late || !matches!(how, "whole" | "caller-left");
        self.req.trace.end(&self.node, &self.req.id, was_bad);
    }

    /// Cuts the caller's connection, so that the answer doesn't look complete.
    async fn break_off(&self) {
        // A caller that has left meanwhile needs no cut.
        let _ = self.tx.send(Err(BrokenOff)).await;
    }

    /// Passes whole events on until the source ends.
    async fn pump(&mut self, source: &mut Source, may_move: bool) -> End {
        loop {
            // A request may be quarantined while its stream runs: the other engine would end too.
            let can_move = may_move && !quarantine::is_quarantined(&self.node, &self.req);
            let move_at = if can_move { self.move_at(&source.place) } else { None };
            let frame = tokio::select! {
                biased;
                () = self.tx.closed() => return End::CallerLeft,
                () = wait_until(move_at) => return End::MustMove,
                () = self.node.changed.notified(), if may_move && move_at.is_none() => continue,
                frame = timeout_at(self.req.deadline, source.incoming.frame()) => frame,
            };
            let data = match frame {
                Err(_) => return End::TimedOut,
                Ok(None) if self.partial.is_empty() => return End::Whole,
                // An answer that ends inside an event isn't whole, whatever its framing says.
                Ok(None) => return End::BrokeOff,
                Ok(Some(Err(error))) => {
                    log::warn!(
                        id = self.req.id, server = source.place.server.as_str(), error:% = error;
                        "stream-broke-off"
                    );
                    return End::BrokeOff;
                }
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            let Some(events) = self.whole_events(&data) else { continue };
            if !std::mem::replace(&mut self.began, true) {
                source.guard.prefilled();
                source.guard.first_part();
                source.guard.judged(true);
                note!(
                    self.node, self.req,
                    server = source.place.server.as_str(),
                    took_ms = source.sent.elapsed().as_millis() as u64,
                    predicted_ms = source.place.predicted.as_millis() as u64;
                    "stream-began"
                );
                self.first_after = Some(self.req.arrived.elapsed());
                self.node
                    .metrics
                    .observe_first_answer(&self.req.route.name, self.req.arrived.elapsed());
                note_answered(&self.node, &source.place, source.sent);
                self.node.record_usage_start(self.req.account.as_ref());
            }
            let now = Instant::now();
            if let Some(before) = self.newest_event.replace(now) {
                self.node.metrics.observe_event_interval(&self.req.route.name, now - before);
                self.between_events += now - before;
                self.longest_pause = self.longest_pause.max(now - before);
                self.pauses += 1;
            }
            if self.tx.send(Ok(events)).await.is_err() {
                return End::CallerLeft;
            }
        }
    }

    fn can_move(&self) -> bool {
        let engine = self.req.config.services.get(&self.req.service).and_then(|it| it.engine);
        engine.is_some_and(|it| it.supports_migration)
    }

    /// When the stream has to be moved, if its server goes.
    fn move_at(&self, place: &Placement) -> Option<Instant> {
        let leaves = self.node.servers.borrow().expected_stop(&place.server, place.start);
        let replaced = self.node.rollouts.borrow().expected_stop(&self.req.service, &place.version);
        let goes_at = leaves.into_iter().chain(replaced).min()?;
        let left = goes_at.since(clock::now());
        Some(Instant::now() + left.saturating_sub(MOVE_BEFORE))
    }

    /// Moves the run to another engine and goes on there; `None` where the stream has ended one way or the
    /// other.
    ///
    /// Failure: engines are reclaimed with two seconds' notice, and most long answers take longer. Symptom:
    /// the streams of a whole data centre are cut, and all that was read and generated is lost. The engine
    /// stops the run, copies its memory, and the same request goes on from the copy; it is the same run.
    async fn move_on(
        &mut self,
        mut source: Source,
        servers: &mut Vec<quincevalve_names::BackendServerName>,
    ) -> Option<Source> {
        let to = place_again(&self.node, &self.req, servers);
        let addresses = {
            let table = self.node.servers.borrow();
            let address = |it: &Placement| table.get(&it.server).map(|it| it.entry.address);
            to.as_ref().and_then(|to| Some((address(&source.place)?, address(to)?)))
        };
        let moving =
            addresses.and_then(|(from, to)| self.node.mover.move_run(from, to, &self.req.id));
        // What the engine makes until it stops still comes on the old stream.
        let end = self.pump(&mut source, false).await;
        let ended = matches!(end, End::Whole | End::CallerLeft | End::TimedOut);
        if ended {
            return self.end_without_move(end, source, servers).await;
        }
        let moved = match moving {
            Some(moving) => moving.await.ok(),
            None => None,
        };
        drop(source);
        if let (Some(Ok(moved)), Some(to)) = (moved, to) {
            let extra = (self.node.headers.migrated_from.clone(), moved.ticket);
            servers.push(to.server.clone());
            if let Some(next) = self.go_on(to, Some(extra)).await {
                return Some(next);
            }
        }
        if let Some(next) = self.resume(servers).await {
            return Some(next);
        }
        self.ended("broke-off", servers);
        self.break_off().await;
        None
    }

    async fn end_without_move(
        &mut self,
        end: End,
        source: Source,
        servers: &[quincevalve_names::BackendServerName],
    ) -> Option<Source> {
        match end {
            End::Whole => {
                quarantine::record_completion(&self.node, &self.req);
                self.ended("whole", servers);
                self.node.backends.keep(&source.place, source.connection, &source.keep_alive);
            }
            End::TimedOut => {
                self.ended("timed-out", servers);
                self.break_off().await;
            }
            _ => self.ended("caller-left", servers),
        }
        None
    }

    /// The whole events that have come, and the id of the last of them.
    fn whole_events(&mut self, data: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(data);
        let end = self.partial.windows(2).rposition(|it| it == b"\n\n")? + 2;
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_event = HeaderValue::from_bytes(id).ok();
        }
        Some(events)
    }

    /// Goes on at another server, after the last event that the caller has.
    async fn resume(
        &mut self,
        servers: &mut Vec<quincevalve_names::BackendServerName>,
    ) -> Option<Source> {
        if self.req.repeat() != RetrySafety::ResumableStream {
            return None;
        }
        self.partial.clear();
        while servers.len() as u32 + self.runs_before < self.req.route.max_servers {
            if Instant::now() >= self.req.deadline {
                return None;
            }
            let place = place_again(&self.node, &self.req, servers)?;
            servers.push(place.server.clone());
            if let Some(source) = self.go_on(place, None).await {
                return Some(source);
            }
        }
        None
    }

    /// Sends the request to another server, to go on after the last event that the caller has.
    async fn go_on(
        &mut self,
        place: Placement,
        extra: Option<(HeaderName, HeaderValue)>,
    ) -> Option<Source> {
        if !self.node.try_spend_retry(&self.req.service) {
            return None;
        }
        self.partial.clear();
        let mut guard = WorkGuard::new(&self.node, &place);
        let sent = Instant::now();
        let last = self.last_event.iter();
        let last = last.map(|it| (self.node.headers.last_event_id.clone(), it.clone()));
        let moved = extra.is_some();
        let extra: Vec<(HeaderName, HeaderValue)> = last.chain(extra).collect();
        note!(
            self.node, self.req,
            server = place.server.as_str(), moved = moved, unlisted_ms = unlisted_ms(&place);
            "stream-resumed"
        );
        let answer = exchange(&self.node, &self.req, &place, &extra).await.ok()?;
        if !answer.sealed || !answer.response.status().is_success() {
            return None;
        }
        guard.prefilled();
        Some(Source {
            incoming: answer.response.into_body(),
            connection: answer.connection,
            keep_alive: answer.keep_alive,
            place,
            guard,
            sent,
        })
    }
}

/// Waits until a time, or for ever where there is none.
async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// The `id` of the last event that has one.
fn last_id(events: &[u8]) -> Option<&[u8]> {
    let lines = events.rsplit(|it| *it == b'\n');
    lines.filter_map(|it| it.strip_prefix(b"id:")).map(<[u8]>::trim_ascii).next()
}
