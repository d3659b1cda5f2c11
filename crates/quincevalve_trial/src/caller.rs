//! Simulated callers: plain HTTP clients behind a load balancer.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use quincevalve_names::{Outcome, RequestId};
use quincevalve_ports::{EventBuffer, HttpClient, Reach};
use serde::Deserialize;
use serde_json::json;

use crate::{
    deployment::api_key,
    workload::{Payload, PlannedRequest},
};

/// Interval between readiness checks of all entry VMs.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one readiness check.
const READY_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_REATTACH_ATTEMPTS: u32 = 40;
const REATTACH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time a caller waits for the next frame of a stream before it reconnects. An answer that isn't streamed gets
/// four times as long.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(8);

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// A complete answer.
    Whole(String),
    /// An error response or event with its outcome.
    Refused { outcome: Outcome, code: String },
    /// The answer was interrupted, and no entry VM could resume it.
    CutOff,
    /// No response at all.
    Nothing,
}

/// A request together with how it ended.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    pub(crate) planned: PlannedRequest,
    pub(crate) id: Option<RequestId>,
    pub(crate) first_token: Option<Duration>,
    pub(crate) elapsed: Duration,
    pub(crate) reattached: bool,
    pub(crate) result: CallResult,
}

/// The platform's load balancer: selects entry VMs round-robin among those whose `/readyz` succeeds.
#[derive(Clone)]
pub(crate) struct Balancer {
    entries: Arc<Vec<(SocketAddr, AtomicBool)>>,
    next: Arc<AtomicUsize>,
}

impl Balancer {
    pub(crate) fn new(entries: Vec<SocketAddr>) -> Self {
        let entries = entries.into_iter().map(|it| (it, AtomicBool::new(true))).collect();
        Self { entries: Arc::new(entries), next: Arc::default() }
    }

    fn pick_entry(&self) -> SocketAddr {
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        let count = self.entries.len();
        let order = (0..count).map(|it| &self.entries[(start + it) % count]);
        let ready = order.clone().find(|it| it.1.load(Ordering::Relaxed));
        ready.unwrap_or(&self.entries[start % count]).0
    }

    async fn poll_readiness(self, client: HttpClient) {
        loop {
            for (address, ready) in self.entries.iter() {
                let client = client.clone();
                let address = *address;
                let call = client.call_bytes(
                    http::Method::GET,
                    address,
                    "/readyz",
                    Bytes::new(),
                    READY_TIMEOUT,
                );
                ready.store(call.await.is_ok(), Ordering::Relaxed);
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }
}

/// Sends every request at its scheduled time and collects the results.
pub(crate) fn send_all(balancer: Balancer, planned_requests: Vec<PlannedRequest>) -> Vec<Received> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let Ok(runtime) = runtime else { return Vec::new() };
    runtime.block_on(async {
        let client = HttpClient::new(None, Duration::from_millis(300));
        tokio::spawn(balancer.clone().poll_readiness(client.clone()));
        let begin = tokio::time::Instant::now();
        let tasks = planned_requests.into_iter().map(|planned| {
            let caller = Caller { balancer: balancer.clone(), client: client.clone() };
            tokio::spawn(async move {
                tokio::time::sleep_until(begin + planned.send_at).await;
                caller.call(planned).await
            })
        });
        let ended = futures::future::join_all(tasks).await;
        ended.into_iter().filter_map(Result::ok).collect()
    })
}

struct Caller {
    balancer: Balancer,
    client: HttpClient,
}

/// How one connection ended.
enum ConnectionResult {
    Ended(CallResult),
    Lost,
}

#[derive(Default)]
struct Progress {
    id: Option<RequestId>,
    text: String,
    next: u32,
    first: Option<Duration>,
    reattached: bool,
}

impl Caller {
    async fn call(&self, planned: PlannedRequest) -> Received {
        let begin = Instant::now();
        let mut progress = Progress::default();
        let result = self.call_until_finished(&planned, begin, &mut progress).await;
        Received {
            planned,
            id: progress.id,
            first_token: progress.first,
            elapsed: begin.elapsed(),
            reattached: progress.reattached,
            result,
        }
    }

    async fn call_until_finished(
        &self,
        planned: &PlannedRequest,
        begin: Instant,
        progress: &mut Progress,
    ) -> CallResult {
        let Some(response) = self.connect(planned).await else { return CallResult::Nothing };
        let mut connection = self.read(planned, response, begin, progress).await;
        for _ in 0..MAX_REATTACH_ATTEMPTS {
            if let ConnectionResult::Ended(result) = connection {
                return result;
            }
            progress.reattached = true;
            tokio::time::sleep(REATTACH_INTERVAL).await;
            connection = self.resume(planned, begin, progress).await;
        }
        match (connection, progress.id) {
            (ConnectionResult::Ended(result), _) => result,
            (ConnectionResult::Lost, Some(_)) => CallResult::CutOff,
            (ConnectionResult::Lost, None) => CallResult::Nothing,
        }
    }

    /// Sends the request and retries on another entry VM if no byte was sent, or if the request has an idempotency key.
    async fn connect(&self, planned: &PlannedRequest) -> Option<Response<Incoming>> {
        for _ in 0..MAX_REATTACH_ATTEMPTS {
            let address = self.balancer.pick_entry();
            let req = build_request(planned, address)?;
            match self.client.send_fresh(address, req).await {
                Ok(response) => return Some(response),
                Err(error) if error.reach() == Reach::NotSent => {
                    tokio::time::sleep(REATTACH_INTERVAL).await;
                }
                // The idempotency key makes a retry of the same request safe.
                Err(_) if planned.idempotency_key.is_some() => {
                    tokio::time::sleep(REATTACH_INTERVAL).await;
                }
                Err(_) => return None,
            }
        }
        None
    }

    /// Resumes an answer whose connection was lost, from the next missing event.
    async fn resume(
        &self,
        planned: &PlannedRequest,
        begin: Instant,
        progress: &mut Progress,
    ) -> ConnectionResult {
        let Some(id) = progress.id else { return ConnectionResult::Lost };
        let address = self.balancer.pick_entry();
        let uri = format!("http://{address}/v1/requests/{id}?from={}", progress.next);
        let key = format!("Bearer {}", api_key(planned.account));
        let req = Request::get(uri).header(header::AUTHORIZATION, key).body(Full::default());
        let Ok(req) = req else { return ConnectionResult::Lost };
        let Ok(response) = self.client.send_fresh(address, req).await else {
            return ConnectionResult::Lost;
        };
        if response.status() == StatusCode::NOT_FOUND {
            return ConnectionResult::Lost;
        }
        self.read(planned, response, begin, progress).await
    }

    async fn read(
        &self,
        planned: &PlannedRequest,
        response: Response<Incoming>,
        begin: Instant,
        progress: &mut Progress,
    ) -> ConnectionResult {
        let (parts, body) = response.into_parts();
        progress.id = parse_request_id(&parts.headers).or(progress.id);
        let is_moved = parts.headers.get(MOVED_HEADER).is_some();
        if let Some(outcome) = parse_outcome(&parts.headers) {
            let code = read_error_code(body).await;
            if is_moved || (code == "leaving" && outcome == Outcome::MayHaveRun) {
                return ConnectionResult::Lost;
            }
            return ConnectionResult::Ended(CallResult::Refused { outcome, code });
        }
        let is_events = parts
            .headers
            .get(header::CONTENT_TYPE)
            .is_some_and(|it| it.as_bytes() == b"text/event-stream");
        if is_events {
            return read_events(body, begin, progress).await;
        }
        let collected = tokio::time::timeout(PROGRESS_TIMEOUT * 4, body.collect()).await;
        let Ok(Ok(collected)) = collected else { return ConnectionResult::Lost };
        progress.first.get_or_insert(begin.elapsed());
        let bytes = collected.to_bytes();
        ConnectionResult::Ended(match planned.payload {
            Payload::Model { .. } => match answer_text(&bytes) {
                Some(text) => CallResult::Whole(text),
                None => CallResult::CutOff,
            },
            Payload::Service { .. } => {
                CallResult::Whole(String::from_utf8_lossy(&bytes).into_owned())
            }
        })
    }
}

const MOVED_HEADER: &str = "quincevalve-moved";

fn build_request(planned: &PlannedRequest, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
    let (path, body) = match &planned.payload {
        Payload::Model { model, prompt, max_tokens, stream } => {
            let body = json!({
                "model": model,
                "messages": [{ "role": "user", "content": prompt }],
                "max_tokens": max_tokens,
                "stream": stream,
            });
            ("/v1/chat/completions".to_owned(), body.to_string())
        }
        Payload::Service { service, body } => (format!("/s/{service}/calls"), body.clone()),
    };
    let mut builder = Request::post(format!("http://{address}{path}"))
        .header(header::AUTHORIZATION, format!("Bearer {}", api_key(planned.account)))
        .header(header::CONTENT_TYPE, "application/json")
        .header("quincevalve-class", planned.class)
        .header("trial-mark", planned.number.to_string());
    if let Some(key) = &planned.idempotency_key {
        builder = builder.header("idempotency-key", key);
    }
    builder.body(Full::new(body.into())).ok()
}

fn parse_request_id(headers: &HeaderMap) -> Option<RequestId> {
    headers.get("quincevalve-request")?.to_str().ok()?.parse().ok()
}

fn parse_outcome(headers: &HeaderMap) -> Option<Outcome> {
    let text = headers.get("quincevalve-outcome")?.to_str().ok()?;
    [Outcome::NotRun, Outcome::MayHaveRun].into_iter().find(|it| it.as_str() == text)
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Deserialize)]
struct ErrorFields {
    code: String,
    outcome: Outcome,
}

async fn read_error_code(body: Incoming) -> String {
    let Ok(collected) = body.collect().await else { return "broken".to_owned() };
    let error = serde_json::from_slice::<ErrorBody>(&collected.to_bytes());
    error.map_or_else(|_| "unreadable".to_owned(), |it| it.error.code)
}

#[derive(Deserialize)]
struct Completion {
    choices: Vec<CompletionChoice>,
}

#[derive(Deserialize)]
struct CompletionChoice {
    message: CompletionMessage,
}

#[derive(Deserialize)]
struct CompletionMessage {
    content: String,
}

fn answer_text(bytes: &[u8]) -> Option<String> {
    let answer: Completion = serde_json::from_slice(bytes).ok()?;
    answer.choices.into_iter().next().map(|it| it.message.content)
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<ChunkChoice>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    delta: Delta,
}

#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: String,
}

async fn read_events(
    mut body: Incoming,
    begin: Instant,
    progress: &mut Progress,
) -> ConnectionResult {
    let mut buffer = EventBuffer::default();
    loop {
        let frame = tokio::time::timeout(PROGRESS_TIMEOUT, body.frame()).await;
        let Ok(Some(Ok(frame))) = frame else { return ConnectionResult::Lost };
        let Ok(data) = frame.into_data() else { continue };
        buffer.extend(&data);
        while let Ok(Some(event)) = buffer.next_event() {
            match &event.kind[..] {
                b"error" => return ConnectionResult::Ended(parse_refusal(&event.data)),
                b"moved" => return ConnectionResult::Lost,
                _ => {}
            }
            if &event.data[..] == b"[DONE]" {
                return ConnectionResult::Ended(CallResult::Whole(std::mem::take(
                    &mut progress.text,
                )));
            }
            append_chunk(&event.id, &event.data, begin, progress);
        }
    }
}

fn parse_refusal(data: &[u8]) -> CallResult {
    match serde_json::from_slice::<ErrorBody>(data) {
        Ok(it) => CallResult::Refused { outcome: it.error.outcome, code: it.error.code },
        Err(_) => CallResult::CutOff,
    }
}

/// Appends tokens as received, without deduplication, so that a duplicate or missing token makes the answer wrong.
fn append_chunk(id: &[u8], data: &[u8], begin: Instant, progress: &mut Progress) {
    let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else { return };
    let Some(seq) = std::str::from_utf8(id).ok().and_then(|it| it.parse::<u32>().ok()) else {
        return;
    };
    progress.first.get_or_insert(begin.elapsed());
    progress.text.extend(chunk.choices.iter().map(|it| it.delta.content.as_str()));
    progress.next = seq + 1;
}
