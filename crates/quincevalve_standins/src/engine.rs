//! HTTP server that simulates a model engine.

use std::{
    fmt::Write as _,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use indexmap::IndexMap;
use quincevalve_names::{Incarnation, RequestId, Sequence, TimePoint, hash_text};
use quincevalve_ports::{
    HttpClient,
    engine::{
        CacheEvent, END_EVENT, EndEvent, EngineLoad, EngineOrder, EngineState, Generate,
        INCARNATION_HEADER, KvHandle, RAN_HEADER, STATE_HEADER, STATE_LEAVING, TokenEvent,
    },
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use tokio::{
    net::TcpListener,
    sync::{Notify, mpsc},
    time::Instant,
};

use crate::{
    answers,
    engine_model::{EngineModel, EngineSpeed, Job, ModelOutput},
    http_server::{Answer, StandinBody, json, plain, query_number, read_json, serve},
};

/// Minimum interval between two load reports; responses contain the report before the latest one.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Delay until a cache event becomes visible to readers.
const CACHE_EVENT_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of cache events kept; beyond it, the oldest half is dropped.
const MAX_CACHE_EVENTS: usize = 1_024;

/// Switches for injecting faults.
#[expect(clippy::struct_excessive_bools, reason = "independent on/off switches")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// Rejects new requests and signals that it is leaving.
    pub leaving: bool,
    /// Sends duplicate tokens, tokens out of order and tokens of other requests.
    pub reorder: bool,
    /// Drops half of the cache events at random and delays the others ten times as long.
    pub late_events: bool,
    /// Accepts orders with an outdated fencing number.
    pub ignores_fencing: bool,
}

/// Counts of what the engine executed, for tests to check.
#[derive(Clone, Debug, Default)]
pub struct EngineCounters {
    /// Number of times that each request was generated from its first token.
    pub started: FxHashMap<RequestId, u32>,
    /// Context tokens computed again for answers that another engine had started.
    pub recomputed_tokens: u64,
    /// Orders rejected because of an outdated fencing number.
    pub fenced_orders: u64,
}

struct Generation {
    prompt_hash: u64,
    total: u32,
    context_tokens: u32,
    /// Tokens of the answer that exist, including those that another engine generated.
    emitted: u32,
    ended: bool,
    readers: Vec<mpsc::UnboundedSender<Bytes>>,
}

struct State {
    model: EngineModel,
    generations: IndexMap<RequestId, Generation>,
    /// Cache events with the time at which they become visible.
    cache_events: Vec<(Instant, CacheEvent)>,
    last_cache_event: u64,
    /// The latest load report with the time at which it was made.
    latest_report: (Instant, EngineLoad),
    previous_report: EngineLoad,
    order: Option<EngineOrder>,
    faults: EngineFaults,
    counters: EngineCounters,
    rng: Pcg64Mcg,
}

/// A simulated engine; clones share its state.
#[derive(Clone)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    origin: Instant,
    incarnation: Incarnation,
    http: HttpClient,
}

impl Engine {
    /// Creates an engine; [`Engine::serve`] runs it.
    pub fn new(speed: EngineSpeed, incarnation: Incarnation, seed: u64) -> Self {
        let load = EngineLoad { incarnation, running: 0, queued_tokens: 0, leaving: false };
        let state = State {
            model: EngineModel::new(speed),
            generations: IndexMap::new(),
            cache_events: Vec::new(),
            last_cache_event: 0,
            latest_report: (Instant::now(), load),
            previous_report: load,
            order: None,
            faults: EngineFaults::default(),
            counters: EngineCounters::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::new(Notify::new()),
            origin: Instant::now(),
            incarnation,
            http: HttpClient::new(None, Duration::from_secs(1)),
        }
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.lock().faults);
    }

    /// Returns the counts since the engine was created.
    pub fn counters(&self) -> EngineCounters {
        self.lock().counters.clone()
    }

    /// Serves requests on `listener` until the runtime shuts down.
    pub async fn serve(self, listener: TcpListener) {
        let driver = self.clone();
        tokio::spawn(async move { driver.run_model().await });
        serve(listener, move |req| {
            let engine = self.clone();
            async move { engine.handle(req).await.unwrap_or_else(|it| it) }
        })
        .await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> TimePoint {
        TimePoint(self.origin.elapsed().as_micros() as u64)
    }

    /// Advances the model whenever an event is due.
    async fn run_model(self) {
        loop {
            let next = {
                let mut state = self.lock();
                let mut outputs = Vec::new();
                state.model.advance(self.now(), &mut outputs);
                state.publish(&outputs);
                state.model.next_event()
            };
            match next {
                Some(at) => {
                    let at = self.origin + Duration::from_micros(at.as_micros());
                    tokio::select! {
                        () = tokio::time::sleep_until(at) => {}
                        () = self.changed.notified() => {}
                    }
                }
                None => self.changed.notified().await,
            }
        }
    }

    async fn handle(&self, req: Request<Incoming>) -> Result<Answer, Answer> {
        let path = req.uri().path().to_owned();
        match (req.method().clone(), path.as_str()) {
            (Method::POST, "/v1/generate") => {
                self.generate(read_json(req.into_body()).await?).await
            }
            (Method::GET, "/v1/load") => Ok(json(&self.load())),
            (Method::GET, "/v1/cache-events") => {
                let after = query_number(req.uri(), "after");
                Ok(json(&self.lock().cache_events_after(after)))
            }
            (Method::GET, "/v1/state") => {
                Ok(json(&EngineState { order: self.lock().order.clone() }))
            }
            (Method::PUT, "/v1/state") => {
                let order = read_json(req.into_body()).await?;
                Ok(self.lock().accept_order(order))
            }
            (Method::POST, path) if path.starts_with("/v1/cancel/") => self.cancel(path),
            (Method::POST, path) if path.starts_with("/v1/kv/") => self.export_kv(path, &req),
            (Method::GET, path) if path.starts_with("/v1/kv/") => self.exported_kv(path),
            _ => Err(plain(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    async fn generate(&self, order: Generate) -> Result<Answer, Answer> {
        let imported = self.import_kv(&order).await;
        let (tx, rx) = mpsc::unbounded_channel();
        let mut response = Answer::new(StandinBody::Stream(rx));
        {
            let mut state = self.lock();
            if state.faults.leaving && !state.generations.contains_key(&order.request_id) {
                return Err(reject_leaving(self.incarnation));
            }
            let now = self.now();
            state.attach(now, &order, imported, tx);
        }
        self.changed.notify_one();
        let headers = response.headers_mut();
        headers.insert(INCARNATION_HEADER, http::HeaderValue::from(self.incarnation.0));
        Ok(response)
    }

    /// Fetches an exported KV cache and returns the number of tokens that it covers, or 0 if there is none.
    async fn import_kv(&self, order: &Generate) -> u32 {
        let Some(handle) = &order.import else { return 0 };
        let path = format!("/v1/kv/{}", handle.request_id);
        let timeout = Duration::from_secs(1);
        let fetched =
            self.http.call::<(), KvHandle>(Method::GET, handle.source, &path, None, timeout);
        fetched.await.map_or(0, |it| it.tokens)
    }

    fn cancel(&self, path: &str) -> Result<Answer, Answer> {
        let id = parse_request_id(path, "/v1/cancel/", "")?;
        let mut state = self.lock();
        let mut outputs = Vec::new();
        state.model.cancel(self.now(), id, &mut outputs);
        state.generations.shift_remove(&id);
        state.publish(&outputs);
        Ok(json(&()))
    }

    fn export_kv(&self, path: &str, req: &Request<Incoming>) -> Result<Answer, Answer> {
        let id = parse_request_id(path, "/v1/kv/", "/export")?;
        let host = req.headers().get(http::header::HOST).and_then(|it| it.to_str().ok());
        let source = host.and_then(|it| it.parse().ok());
        let source = source.ok_or_else(|| plain(StatusCode::BAD_REQUEST, "host"))?;
        let tokens = self.lock().kv_tokens(id)?;
        Ok(json(&KvHandle { source, request_id: id, tokens }))
    }

    fn exported_kv(&self, path: &str) -> Result<Answer, Answer> {
        let id = parse_request_id(path, "/v1/kv/", "")?;
        let tokens = self.lock().kv_tokens(id)?;
        let source = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
        Ok(json(&KvHandle { source, request_id: id, tokens }))
    }

    /// Returns the load report before the latest one, so that callers work with outdated load information.
    fn load(&self) -> EngineLoad {
        let mut state = self.lock();
        let now = Instant::now();
        if now.duration_since(state.latest_report.0) >= LOAD_REPORT_INTERVAL {
            let current = EngineLoad {
                incarnation: self.incarnation,
                running: state.model.running() + state.model.waiting(),
                queued_tokens: state.model.queued_tokens(self.now()),
                leaving: false,
            };
            state.previous_report = state.latest_report.1;
            state.latest_report = (now, current);
        }
        EngineLoad { leaving: state.faults.leaving, ..state.previous_report }
    }
}

fn parse_request_id(path: &str, prefix: &str, suffix: &str) -> Result<RequestId, Answer> {
    let text = path.strip_prefix(prefix).and_then(|it| it.strip_suffix(suffix));
    let id = text.and_then(|it| it.parse().ok());
    id.ok_or_else(|| plain(StatusCode::BAD_REQUEST, "request id"))
}

fn reject_leaving(incarnation: Incarnation) -> Answer {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "leaving");
    let headers = response.headers_mut();
    headers.insert(INCARNATION_HEADER, http::HeaderValue::from(incarnation.0));
    headers.insert(STATE_HEADER, http::HeaderValue::from_static(STATE_LEAVING));
    headers.insert(RAN_HEADER, http::HeaderValue::from_static("no"));
    response
}

impl State {
    /// Adds a reader to a generation, which is started unless it exists.
    fn attach(
        &mut self,
        now: TimePoint,
        order: &Generate,
        imported: u32,
        tx: mpsc::UnboundedSender<Bytes>,
    ) {
        let id = order.request_id;
        if let Some(generation) = self.generations.get_mut(&id) {
            // Resumed request: tokens that exist are sent again without being recomputed.
            generation.replay(id, order.from.0, &tx);
            generation.readers.push(tx);
            return;
        }
        let prompt_hash = hash_text(&order.prompt);
        let total = answers::token_count(prompt_hash, order.max_tokens);
        let context_tokens = order.prompt_tokens + order.from.0;
        let generation = Generation {
            prompt_hash,
            total,
            context_tokens,
            emitted: order.from.0,
            ended: false,
            readers: vec![tx],
        };
        self.generations.insert(id, generation);
        if order.from.0 == 0 {
            *self.counters.started.entry(id).or_default() += 1;
        }
        let job = Job {
            id,
            prefix: order.prefix,
            prefix_tokens: order.prompt_tokens,
            context_tokens,
            imported_tokens: imported,
            first_token: order.from,
            total_tokens: total,
            priority: order.priority,
        };
        let mut outputs = Vec::new();
        self.model.submit(now, job, &mut outputs);
        self.publish(&outputs);
    }

    fn publish(&mut self, outputs: &[ModelOutput]) {
        for output in outputs {
            match *output {
                ModelOutput::Token { id, seq } => self.publish_token(id, seq),
                ModelOutput::End { id, tokens } => self.publish_end(id, tokens),
                ModelOutput::Cache { prefix, holds } => self.publish_cache(prefix, holds),
                ModelOutput::Prefilled { id, computed } => self.count_recomputed(id, computed),
            }
        }
    }

    fn count_recomputed(&mut self, id: RequestId, computed: u32) {
        if self.generations.get(&id).is_some_and(|it| it.emitted > 0) {
            self.counters.recomputed_tokens += u64::from(computed);
        }
    }

    fn publish_token(&mut self, id: RequestId, seq: Sequence) {
        let reorder = self.faults.reorder;
        let variant: u32 = self.rng.random_range(0..6);
        let Some(generation) = self.generations.get_mut(&id) else { return };
        generation.emitted = seq.0 + 1;
        let event = generation.token_event(id, seq.0);
        if !reorder {
            return generation.send(event);
        }
        // Sends a duplicate, a token of another request, an earlier token or a later token next to the expected one.
        match variant {
            0 => {
                generation.send(event.clone());
                generation.send(event);
            }
            1 => {
                let other_id = RequestId::new(id.home(), 1);
                let foreign_event = generation.token_event(other_id, seq.0);
                generation.send(foreign_event);
                generation.send(event);
            }
            2 if seq.0 > 0 => {
                let earlier = generation.token_event(id, seq.0 - 1);
                generation.send(event);
                generation.send(earlier);
            }
            3 if seq.0 + 1 < generation.total => {
                let later = generation.token_event(id, seq.0 + 1);
                generation.send(later);
                generation.send(event);
            }
            _ => generation.send(event),
        }
    }

    fn publish_end(&mut self, id: RequestId, tokens: u32) {
        let Some(generation) = self.generations.get_mut(&id) else { return };
        generation.ended = true;
        generation.send(end_event(id, tokens));
        generation.readers.clear();
    }

    fn publish_cache(&mut self, prefix: u64, holds: bool) {
        self.last_cache_event += 1;
        if self.faults.late_events && self.rng.random_bool(0.5) {
            return;
        }
        let delay =
            if self.faults.late_events { CACHE_EVENT_DELAY * 10 } else { CACHE_EVENT_DELAY };
        let event = CacheEvent { number: self.last_cache_event, prefix, holds };
        self.cache_events.push((Instant::now() + delay, event));
        if self.cache_events.len() > MAX_CACHE_EVENTS {
            self.cache_events.drain(..MAX_CACHE_EVENTS / 2);
        }
    }

    fn cache_events_after(&self, after: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        let visible = self.cache_events.iter().filter(|it| it.0 <= now && it.1.number > after);
        visible.map(|it| it.1).collect()
    }

    fn kv_tokens(&self, id: RequestId) -> Result<u32, Answer> {
        let generation = self.generations.get(&id);
        let generation =
            generation.ok_or_else(|| plain(StatusCode::NOT_FOUND, "no such request"))?;
        Ok(generation.context_tokens + generation.emitted)
    }

    fn accept_order(&mut self, order: EngineOrder) -> Answer {
        let current_fencing = self.order.as_ref().map_or(order.fencing, |it| it.fencing);
        if order.fencing < current_fencing && !self.faults.ignores_fencing {
            self.counters.fenced_orders += 1;
            return plain(StatusCode::PRECONDITION_FAILED, "old fencing number");
        }
        self.order = Some(order);
        json(&EngineState { order: self.order.clone() })
    }
}

impl Generation {
    fn token_event(&self, id: RequestId, seq: u32) -> Bytes {
        let text = answers::token_text(self.prompt_hash, seq).into();
        encode_event("", &TokenEvent { id, seq: Sequence(seq), text })
    }

    fn send(&mut self, event: Bytes) {
        self.readers.retain(|it| it.send(event.clone()).is_ok());
    }

    fn replay(&self, id: RequestId, from: u32, tx: &mpsc::UnboundedSender<Bytes>) {
        for seq in from..self.emitted {
            let _ = tx.send(self.token_event(id, seq));
        }
        if self.ended {
            let _ = tx.send(end_event(id, self.total));
        }
    }
}

fn end_event(id: RequestId, tokens: u32) -> Bytes {
    encode_event(END_EVENT, &EndEvent { id, tokens })
}

/// Encodes a server-sent event; an empty `kind` omits the event name.
fn encode_event<T>(kind: &str, data: &T) -> Bytes
where
    T: serde::Serialize,
{
    let mut text = String::new();
    if !kind.is_empty() {
        let _ = writeln!(text, "event: {kind}");
    }
    // Serialization of these types does not fail; readers would ignore an event without data.
    let data = serde_json::to_string(data).unwrap_or_default();
    let _ = write!(text, "data: {data}\n\n");
    text.into()
}
