//! The HTTP interface for callers: connections, request bodies and paths.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header, request::Parts};
use hyper::body::Incoming;
use hyper_util::rt::{TokioIo, TokioTimer};
use quincevalve_intake::{BodyError, BodyLimits, BoundedListener, DISCARD_LIMITS, discard_body};
use quincevalve_names::{ModelName, Outcome, RequestId, Sequence};
use quincevalve_recovery::Work;
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
};

use crate::{
    answer::{Answer, End},
    attempt::serve,
    body::EntryBody,
    filters::{Admit, Claim, Identify},
    openai::{StreamShape, whole_body},
    pipe::{Filter, then},
    reader::AnswerReader,
    refusal::{Refusal, RefusalKind, insert_request_id},
    remote,
    request::{Claimed, Received, Shape},
    shared::Shared,
    stall_guard::StallGuard,
};

type Reply = Response<EntryBody>;

/// Fraction of the allowed connections that are accepted beyond their number, to be refused.
const REFUSED_FRACTION: usize = 16;

/// Accepts connections until `stop` is set, then waits until all open connections have ended.
pub(crate) async fn accept(
    shared: Arc<Shared>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let max_connections = shared.settings.limits.connections;
    let connections = Arc::new(Semaphore::new(max_connections));
    let with_refused = max_connections.saturating_add((max_connections / REFUSED_FRACTION).max(1));
    let listener = BoundedListener::new(listener, with_refused);
    loop {
        let (stream, _, open) = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|it| *it) => break,
        };
        let permit = Arc::clone(&connections).try_acquire_owned().ok();
        let shared = Arc::clone(&shared);
        let stop = stop.clone();
        tokio::spawn(async move {
            let has_permit = permit.is_some();
            serve_connection(shared, stream, has_permit, stop).await;
            drop((permit, open));
        });
    }
    // All permits are available again once every connection has ended.
    let all = connections.acquire_many(max_connections.try_into().unwrap_or(u32::MAX)).await;
    drop(all);
}

async fn serve_connection(
    shared: Arc<Shared>,
    stream: TcpStream,
    has_permit: bool,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let limits = shared.settings.limits;
    let stall_timeout = Duration::from_millis(limits.caller_progress_ms);
    let stream = StallGuard::new(stream, shared.timer.clone(), stall_timeout);
    let service = hyper::service::service_fn(move |req| {
        let shared = Arc::clone(&shared);
        async move {
            if !has_permit {
                let refusal = Refusal::from(RefusalKind::TooManyConnections);
                let refusal = refusal.with_retry_after(Duration::from_secs(1));
                return Ok::<_, Infallible>(close(refuse(&shared, refusal)));
            }
            Ok(respond(shared, req).await)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_ms))
        .max_buf_size((limits.header_bytes * HEAD_BUFFER_FACTOR).max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let stopped = async move {
        let _ = stop.wait_for(|it| *it).await;
    };
    tokio::select! {
        // A caller that disconnects early is not an error of this VM.
        _ = connection.as_mut() => {}
        () = stopped => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

/// Buffer size as a multiple of the head's size limit. A head that exceeds the limit but fits into the buffer gets a
/// typed refusal; a larger one gets the HTTP library's bare status.
const HEAD_BUFFER_FACTOR: usize = 4;

/// Minimum buffer size in bytes that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

fn close(mut reply: Reply) -> Reply {
    reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// Serves operators' tools until the runtime ends. It uses a separate listener, because the report names every account
/// and must not be readable by callers.
pub(crate) async fn serve_status(shared: Arc<Shared>, listener: BoundedListener) {
    let header_timeout = Duration::from_millis(shared.settings.limits.header_ms);
    loop {
        let (stream, _, open) = listener.accept().await;
        let shared = Arc::clone(&shared);
        let service = hyper::service::service_fn(move |req: Request<Incoming>| {
            let shared = Arc::clone(&shared);
            async move {
                Ok::<_, Infallible>(match req.uri().path() {
                    "/internal/burn" => json(&shared.burn.report(shared.timer.now())),
                    _ => Refusal::from(RefusalKind::NoSuchPath).into_response(),
                })
            }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(header_timeout)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // A tool that disconnects early is not an error of this VM.
            let _ = connection.await;
            drop(open);
        });
    }
}

/// Answers with a refusal and counts it.
fn refuse(shared: &Shared, refusal: Refusal) -> Reply {
    shared.metrics.count(&format!("refused.{}", refusal.kind.code()), 1);
    refusal.into_response()
}

async fn respond(shared: Arc<Shared>, req: Request<Incoming>) -> Reply {
    let leaving = shared.is_leaving();
    if head_bytes(&req) > shared.settings.limits.header_bytes {
        return close(refuse(&shared, RefusalKind::HeadTooLarge.into()));
    }
    let path = req.uri().path().to_owned();
    let reply = match (req.method().clone(), path.as_str()) {
        (Method::GET, "/healthz") => Ok(text(StatusCode::OK, "ok")),
        (Method::GET, "/readyz") if leaving => Ok(text(StatusCode::SERVICE_UNAVAILABLE, "leaving")),
        (Method::GET, "/readyz") => Ok(text(StatusCode::OK, "ready")),
        (Method::GET, "/v1/models") => models(&shared, req.headers()),
        (Method::GET, path) if path.starts_with(REQUESTS_PATH) => {
            let (head, _) = req.into_parts();
            reattach(&shared, &head).await
        }
        _ => serve_request(&shared, req).await,
    };
    let reply = reply.unwrap_or_else(|it| refuse(&shared, it));
    // A caller with a kept-alive connection reconnects to another VM for its next request.
    if leaving { close(reply) } else { reply }
}

/// Returns the size of a request's path and headers in bytes.
fn head_bytes(req: &Request<Incoming>) -> usize {
    let headers = req.headers().iter().map(|it| it.0.as_str().len() + it.1.len());
    let path = req.uri().path_and_query().map_or(0, |it| it.as_str().len());
    headers.sum::<usize>() + path
}

const REQUESTS_PATH: &str = "/v1/requests/";

fn text(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(EntryBody::full(text));
    *reply.status_mut() = status;
    reply
}

fn json<T>(value: &T) -> Reply
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).unwrap_or_default();
    json_bytes(body.into())
}

fn json_bytes(body: Bytes) -> Reply {
    let mut reply = Response::new(EntryBody::full(body));
    let value = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, value);
    reply
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'a str,
    data: Vec<ModelRow<'a>>,
}

#[derive(Serialize)]
struct ModelRow<'a> {
    id: &'a ModelName,
    object: &'a str,
    owned_by: &'a str,
}

fn models(shared: &Shared, headers: &HeaderMap) -> Result<Reply, Refusal> {
    let view = shared.view();
    crate::filters::identify_account(&view, headers)?;
    let rows = view.inventory.model.keys();
    let data = rows.map(|id| ModelRow { id, object: "model", owned_by: "quincevalve" }).collect();
    Ok(json(&ModelList { object: "list", data }))
}

async fn serve_request(shared: &Arc<Shared>, req: Request<Incoming>) -> Result<Reply, Refusal> {
    let arrived = shared.timer.now();
    let (head, mut incoming) = req.into_parts();
    let body = match read_body(shared, &mut incoming).await {
        Ok(body) => body,
        Err(refusal) => {
            let timer = shared.timer.clone();
            tokio::spawn(async move { discard_body(incoming, &DISCARD_LIMITS, &timer).await });
            return Err(refusal);
        }
    };
    let identify = Identify { shared: Arc::clone(shared) };
    let admit = Admit { shared: Arc::clone(shared) };
    let claim = Claim { shared: Arc::clone(shared) };
    let intake = then(identify, then(admit, claim));
    let (answer, shape) = match intake.apply(Received { head, body, arrived }).await? {
        Claimed::Known(repeat) => (repeat.answer, repeat.shape),
        Claimed::New(accepted) => {
            let answer = Arc::clone(&accepted.answer);
            let shape = accepted.request.shape;
            tokio::spawn(serve(Arc::clone(shared), accepted));
            (answer, shape)
        }
    };
    reply_from(shared, &answer, shape, Sequence(0)).await
}

/// Reads a body within the limits of size, memory and time. Nothing is dispatched yet, so every refusal here is `not-run`.
async fn read_body(shared: &Shared, body: &mut Incoming) -> Result<Bytes, Refusal> {
    let limits = &shared.settings.limits;
    let limits = BodyLimits {
        bytes: limits.body_bytes,
        progress: Duration::from_millis(limits.body_progress_ms),
        time: Duration::from_millis(limits.body_ms),
    };
    let read = quincevalve_intake::read_body(body, &shared.bodies, &limits, &shared.timer).await;
    read.map_err(|error| match error {
        BodyError::TooLarge => RefusalKind::BodyTooLarge.into(),
        BodyError::TooSlow => RefusalKind::SlowBody.into(),
        BodyError::BrokenOff => RefusalKind::BrokenBody.into(),
        BodyError::OutOfMemory => {
            Refusal::from(RefusalKind::OutOfMemory).with_retry_after(Duration::from_secs(1))
        }
    })
}

/// Builds the reply once it is known whether there is an answer, so that a refusal is sent with its own status.
async fn reply_from(
    shared: &Arc<Shared>,
    answer: &Arc<Answer>,
    shape: Shape,
    from: Sequence,
) -> Result<Reply, Refusal> {
    let guard = ReaderGuard::new(shared, answer);
    let mut reply = match shape {
        Shape::Stream(stream) => {
            answer.started().await;
            refuse_if_empty(answer)?;
            let reader =
                AnswerReader::events(Arc::clone(answer), shared.timer.clone(), from, stream);
            let mut reply = Response::new(EntryBody::Answer(reader));
            let value = HeaderValue::from_static("text/event-stream");
            reply.headers_mut().insert(header::CONTENT_TYPE, value);
            reply
        }
        Shape::Whole(shape) => {
            let end = answer.finished().await;
            whole_reply(shared, answer, shape, end)?
        }
        Shape::Bytes => {
            answer.started().await;
            refuse_if_empty(answer)?;
            bytes_reply(shared, answer)
        }
    };
    drop(guard);
    insert_request_id(reply.headers_mut(), answer.id());
    Ok(reply)
}

/// Counts a caller as a reader while it waits for the first token.
struct ReaderGuard<'a> {
    shared: &'a Shared,
    answer: &'a Answer,
}

impl<'a> ReaderGuard<'a> {
    fn new(shared: &'a Shared, answer: &'a Answer) -> Self {
        answer.add_reader();
        Self { shared, answer }
    }
}

impl Drop for ReaderGuard<'_> {
    fn drop(&mut self) {
        self.answer.remove_reader(self.shared.timer.now());
    }
}

/// Returns the refusal as an error if the answer ended before it had any content.
fn refuse_if_empty(answer: &Answer) -> Result<(), Refusal> {
    let refusal = answer.read(|it| match it.end() {
        Some(End::Refused(refusal)) if it.token_count() == 0 && it.head().is_none() => {
            Some(refusal.clone())
        }
        _ => None,
    });
    refusal.map_or(Ok(()), Err)
}

fn whole_reply(
    shared: &Shared,
    answer: &Answer,
    shape: StreamShape,
    end: End,
) -> Result<Reply, Refusal> {
    match end {
        End::Whole => {}
        End::Refused(refusal) => return Err(refusal),
        End::Moved => {
            let refusal = Refusal::new(RefusalKind::Leaving, Outcome::MayHaveRun);
            return Err(refusal.with_retry_after(Duration::from_secs(1)).with_request(answer.id()));
        }
    }
    let known = shared.answers.find(answer.id());
    let (model, prompt_tokens) = match known.as_ref().map(|it| &it.request.work) {
        Some(Work::Generate(it)) => (it.model.as_str(), it.prompt_tokens),
        _ => ("", 0),
    };
    let body = answer.read(|it| {
        whole_body(answer.id(), shape, model, it.text(), prompt_tokens, it.token_count())
    });
    Ok(json_bytes(body))
}

fn bytes_reply(shared: &Shared, answer: &Arc<Answer>) -> Reply {
    let reader = AnswerReader::bytes(Arc::clone(answer), shared.timer.clone());
    let mut reply = Response::new(EntryBody::Answer(reader));
    let head = answer.read(|it| it.head().cloned()).unwrap_or_default();
    *reply.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in head.headers {
        let name = header::HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
            reply.headers_mut().append(name, value);
        }
    }
    reply
}

/// Handles `GET /v1/requests/{id}?from=N`, which resumes reading an answer from a position.
///
/// The answer may be on this VM, on the entry VM that accepted the request, or on one that took it over.
async fn reattach(shared: &Arc<Shared>, head: &Parts) -> Result<Reply, Refusal> {
    let view = shared.view();
    let account = crate::filters::identify_account(&view, &head.headers)?;
    let text = head.uri.path().strip_prefix(REQUESTS_PATH).unwrap_or_default();
    let id = text.parse::<RequestId>().map_err(|error| RefusalKind::BadRequest {
        param: "id",
        message: format!("`{text}`: {error}"),
    })?;
    let from = read_from(&head.uri)?;
    let known = shared.answers.find(id);
    let (answer, shape) = match known {
        Some(it) if it.request.account == *account => (it.answer, it.request.shape),
        // A request of another account is reported as unknown, so that its existence isn't revealed.
        Some(_) => return Err(no_such_request(id)),
        None => {
            let attached = remote::attach(shared, id, account).await;
            let (answer, page) = attached.ok_or_else(|| no_such_request(id))?;
            (answer, if page.is_call { Shape::Bytes } else { Shape::Stream(StreamShape::Chat) })
        }
    };
    let shape = match shape {
        Shape::Whole(shape) => Shape::Stream(shape),
        shape => shape,
    };
    reply_from(shared, &answer, shape, from).await
}

fn no_such_request(id: RequestId) -> Refusal {
    Refusal::new(RefusalKind::NoSuchRequest, Outcome::MayHaveRun).with_request(id)
}

fn read_from(uri: &http::Uri) -> Result<Sequence, RefusalKind> {
    let query = uri.query().unwrap_or_default();
    let Some(value) = query.split('&').find_map(|it| it.strip_prefix("from=")) else {
        return Ok(Sequence(0));
    };
    value.parse().map(Sequence).map_err(|_| RefusalKind::BadRequest {
        param: "from",
        message: format!("`from={value}` is not a token's position, a number from 0"),
    })
}
