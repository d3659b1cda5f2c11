//! The callers: ordinary HTTP clients behind a balancer.

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
    workload::{Ask, Question},
};

const READY_PERIOD: Duration = Duration::from_millis(100);
const READY_LIMIT: Duration = Duration::from_millis(250);
const REATTACH_TRIES: u32 = 40;
const REATTACH_WAIT: Duration = Duration::from_millis(100);
/// No caller waits longer than this without a byte before it reconnects.
const CALLER_PROGRESS: Duration = Duration::from_secs(8);

/// What a caller made of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The whole answer.
    Whole(String),
    /// A refusal with its truth.
    Refused { outcome: Outcome, code: String },
    /// The answer broke off, and no entry VM knew it any more.
    CutOff,
    /// No answer of any kind.
    Nothing,
}

/// One request with its end.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    pub(crate) question: Question,
    pub(crate) id: Option<RequestId>,
    pub(crate) first_token: Option<Duration>,
    pub(crate) took: Duration,
    pub(crate) reattached: bool,
    pub(crate) ending: Ending,
}

/// The platform's balancer: it sends to entry VMs whose `/readyz` says so.
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

    fn pick(&self) -> SocketAddr {
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        let count = self.entries.len();
        let order = (0..count).map(|it| &self.entries[(start + it) % count]);
        let ready = order.clone().find(|it| it.1.load(Ordering::Relaxed));
        ready.unwrap_or(&self.entries[start % count]).0
    }

    async fn watch(self, client: HttpClient) {
        loop {
            for (address, ready) in self.entries.iter() {
                let client = client.clone();
                let address = *address;
                let call = client.call_bytes(
                    http::Method::GET,
                    address,
                    "/readyz",
                    Bytes::new(),
                    READY_LIMIT,
                );
                ready.store(call.await.is_ok(), Ordering::Relaxed);
            }
            tokio::time::sleep(READY_PERIOD).await;
        }
    }
}

/// Sends every question at its time and collects the ends.
pub(crate) fn call_all(balancer: Balancer, questions: Vec<Question>) -> Vec<Received> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let Ok(runtime) = runtime else { return Vec::new() };
    runtime.block_on(async {
        let client = HttpClient::new(None, Duration::from_millis(300));
        tokio::spawn(balancer.clone().watch(client.clone()));
        let begin = tokio::time::Instant::now();
        let tasks = questions.into_iter().map(|question| {
            let caller = Caller { balancer: balancer.clone(), client: client.clone() };
            tokio::spawn(async move {
                tokio::time::sleep_until(begin + question.at).await;
                caller.call(question).await
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

/// What came of one connection.
enum Connection {
    Ended(Ending),
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
    async fn call(&self, question: Question) -> Received {
        let begin = Instant::now();
        let mut progress = Progress::default();
        let ending = self.call_until_ended(&question, begin, &mut progress).await;
        Received {
            question,
            id: progress.id,
            first_token: progress.first,
            took: begin.elapsed(),
            reattached: progress.reattached,
            ending,
        }
    }

    async fn call_until_ended(
        &self,
        question: &Question,
        begin: Instant,
        progress: &mut Progress,
    ) -> Ending {
        let Some(response) = self.connect(question).await else { return Ending::Nothing };
        let mut connection = self.read(question, response, begin, progress).await;
        for _ in 0..REATTACH_TRIES {
            if let Connection::Ended(ending) = connection {
                return ending;
            }
            progress.reattached = true;
            tokio::time::sleep(REATTACH_WAIT).await;
            connection = self.read_on(question, begin, progress).await;
        }
        match (connection, progress.id) {
            (Connection::Ended(ending), _) => ending,
            (Connection::Lost, Some(_)) => Ending::CutOff,
            (Connection::Lost, None) => Ending::Nothing,
        }
    }

    /// Sends the request; tries another entry VM only where no byte can have reached one.
    async fn connect(&self, question: &Question) -> Option<Response<Incoming>> {
        for _ in 0..REATTACH_TRIES {
            let address = self.balancer.pick();
            let req = form(question, address)?;
            match self.client.send_fresh(address, req).await {
                Ok(response) => return Some(response),
                Err(error) if error.reach() == Reach::NotSent => {
                    tokio::time::sleep(REATTACH_WAIT).await;
                }
                // With a key the caller may send the very same request again.
                Err(_) if question.key.is_some() => tokio::time::sleep(REATTACH_WAIT).await,
                Err(_) => return None,
            }
        }
        None
    }

    /// Comes back for an answer whose connection was lost.
    async fn read_on(
        &self,
        question: &Question,
        begin: Instant,
        progress: &mut Progress,
    ) -> Connection {
        let Some(id) = progress.id else { return Connection::Lost };
        let address = self.balancer.pick();
        let uri = format!("http://{address}/v1/requests/{id}?from={}", progress.next);
        let key = format!("Bearer {}", api_key(question.account));
        let req = Request::get(uri).header(header::AUTHORIZATION, key).body(Full::default());
        let Ok(req) = req else { return Connection::Lost };
        let Ok(response) = self.client.send_fresh(address, req).await else {
            return Connection::Lost;
        };
        if response.status() == StatusCode::NOT_FOUND {
            return Connection::Lost;
        }
        self.read(question, response, begin, progress).await
    }

    async fn read(
        &self,
        question: &Question,
        response: Response<Incoming>,
        begin: Instant,
        progress: &mut Progress,
    ) -> Connection {
        let (parts, body) = response.into_parts();
        progress.id = request_id(&parts.headers).or(progress.id);
        let is_moved = parts.headers.get(MOVED_HEADER).is_some();
        if let Some(outcome) = outcome_of(&parts.headers) {
            let code = read_code(body).await;
            if is_moved || (code == "leaving" && outcome == Outcome::MayHaveRun) {
                return Connection::Lost;
            }
            return Connection::Ended(Ending::Refused { outcome, code });
        }
        let is_events = parts
            .headers
            .get(header::CONTENT_TYPE)
            .is_some_and(|it| it.as_bytes() == b"text/event-stream");
        if is_events {
            return read_events(body, begin, progress).await;
        }
        let collected = tokio::time::timeout(CALLER_PROGRESS * 4, body.collect()).await;
        let Ok(Ok(collected)) = collected else { return Connection::Lost };
        progress.first.get_or_insert(begin.elapsed());
        let bytes = collected.to_bytes();
        Connection::Ended(match question.ask {
            Ask::Model { .. } => match whole_text(&bytes) {
                Some(text) => Ending::Whole(text),
                None => Ending::CutOff,
            },
            Ask::Service { .. } => Ending::Whole(String::from_utf8_lossy(&bytes).into_owned()),
        })
    }
}

const MOVED_HEADER: &str = "quincevalve-moved";

fn form(question: &Question, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
    let (path, body) = match &question.ask {
        Ask::Model { model, prompt, max_tokens, stream } => {
            let body = json!({
                "model": model,
                "messages": [{ "role": "user", "content": prompt }],
                "max_tokens": max_tokens,
                "stream": stream,
            });
            ("/v1/chat/completions".to_owned(), body.to_string())
        }
        Ask::Service { service, body } => (format!("/s/{service}/calls"), body.clone()),
    };
    let mut builder = Request::post(format!("http://{address}{path}"))
        .header(header::AUTHORIZATION, format!("Bearer {}", api_key(question.account)))
        .header(header::CONTENT_TYPE, "application/json")
        .header("quincevalve-class", question.class)
        .header("trial-mark", question.number.to_string());
    if let Some(key) = &question.key {
        builder = builder.header("idempotency-key", key);
    }
    builder.body(Full::new(body.into())).ok()
}

fn request_id(headers: &HeaderMap) -> Option<RequestId> {
    headers.get("quincevalve-request")?.to_str().ok()?.parse().ok()
}

fn outcome_of(headers: &HeaderMap) -> Option<Outcome> {
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

async fn read_code(body: Incoming) -> String {
    let Ok(collected) = body.collect().await else { return "broken".to_owned() };
    let error = serde_json::from_slice::<ErrorBody>(&collected.to_bytes());
    error.map_or_else(|_| "unreadable".to_owned(), |it| it.error.code)
}

#[derive(Deserialize)]
struct WholeAnswer {
    choices: Vec<WholeChoice>,
}

#[derive(Deserialize)]
struct WholeChoice {
    message: WholeMessage,
}

#[derive(Deserialize)]
struct WholeMessage {
    content: String,
}

fn whole_text(bytes: &[u8]) -> Option<String> {
    let answer: WholeAnswer = serde_json::from_slice(bytes).ok()?;
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

async fn read_events(mut body: Incoming, begin: Instant, progress: &mut Progress) -> Connection {
    let mut buffer = EventBuffer::default();
    loop {
        let frame = tokio::time::timeout(CALLER_PROGRESS, body.frame()).await;
        let Ok(Some(Ok(frame))) = frame else { return Connection::Lost };
        let Ok(data) = frame.into_data() else { continue };
        buffer.extend(&data);
        while let Ok(Some(event)) = buffer.next_event() {
            match &event.kind[..] {
                b"error" => return Connection::Ended(refused(&event.data)),
                b"moved" => return Connection::Lost,
                _ => {}
            }
            if &event.data[..] == b"[DONE]" {
                return Connection::Ended(Ending::Whole(std::mem::take(&mut progress.text)));
            }
            take_chunk(&event.id, &event.data, begin, progress);
        }
    }
}

fn refused(data: &[u8]) -> Ending {
    match serde_json::from_slice::<ErrorBody>(data) {
        Ok(it) => Ending::Refused { outcome: it.error.outcome, code: it.error.code },
        Err(_) => Ending::CutOff,
    }
}

/// Takes tokens exactly as they come: a doubled or missing one shows as a wrong answer.
fn take_chunk(id: &[u8], data: &[u8], begin: Instant, progress: &mut Progress) {
    let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else { return };
    let Some(seq) = std::str::from_utf8(id).ok().and_then(|it| it.parse::<u32>().ok()) else {
        return;
    };
    progress.first.get_or_insert(begin.elapsed());
    progress.text.extend(chunk.choices.iter().map(|it| it.delta.content.as_str()));
    progress.next = seq + 1;
}
