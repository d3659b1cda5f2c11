//! Routes and handlers of the administration API.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header, request::Parts};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::rt::{TokioIo, TokioTimer};
use quincevalve_intake::{
    BodyError, BodyLimits, BodyRoom, BoundedListener, DISCARD_LIMITS, discard_body, read_body,
};
use quincevalve_membership::{Member, Summary};
use quincevalve_names::{BackendServerName, Revision};
use quincevalve_ports::store::MAX_VALUE_BYTES;
use serde::Serialize;
use tokio::net::TcpListener;

use super::teams::{AdminRole, Team, find_team};
use crate::{
    change::{self, Change, ChangeId, ChangeOutcome, Difference},
    document,
    shared::Shared,
};

type Reply = Response<Full<Bytes>>;

/// Header with the idempotency key of a change.
const CHANGE_ID_HEADER: &str = "change-id";

/// Error response of the API.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Problem {
    NoKey,
    NotAllowed(&'static str),
    NoSuchPath,
    NoSuchRevision,
    NoSuchServer(String),
    NoChangeId,
    NoIfMatch,
    Body(BodyError),
    Store(String),
}

impl From<BodyError> for Problem {
    fn from(error: BodyError) -> Self {
        Self::Body(error)
    }
}

impl Problem {
    fn reply(&self) -> Reply {
        let (status, code, message) = match self {
            Self::NoKey => (401, "invalid_key", "no key, or an unknown one".to_owned()),
            Self::NotAllowed(why) => (403, "not_allowed", (*why).to_owned()),
            Self::NoSuchPath => (404, "no_such_path", "no such path".to_owned()),
            Self::NoSuchRevision => {
                (404, "no_such_revision", "the history doesn't hold that revision".to_owned())
            }
            Self::NoSuchServer(name) => {
                (404, "no_such_server", format!("backend_server.{name} is not in the inventory"))
            }
            Self::NoChangeId => (
                400,
                "change_id",
                format!("send `{CHANGE_ID_HEADER}` with 1 to 64 letters, digits and hyphens"),
            ),
            Self::NoIfMatch => {
                (428, "if_match", "send `If-Match` with the revision that you edited".to_owned())
            }
            Self::Body(BodyError::TooLarge) => (413, "body", "the body is too large".to_owned()),
            Self::Body(BodyError::BrokenOff) => (400, "body", "the body broke off".to_owned()),
            Self::Body(BodyError::TooSlow) => (408, "body", "the body stopped arriving".to_owned()),
            Self::Body(BodyError::OutOfMemory) => {
                (503, "out_of_memory", "the memory for bodies is in use".to_owned())
            }
            Self::Store(error) => (503, "store", error.clone()),
        };
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut reply = json(status, &ErrorBody { error: ErrorFields { code, message } });
        if matches!(self, Self::Body(BodyError::OutOfMemory)) {
            reply.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
        }
        reply
    }
}

#[derive(Serialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Serialize)]
struct ErrorFields {
    code: &'static str,
    message: String,
}

#[derive(Serialize)]
struct DryRun {
    findings: Vec<String>,
    differences: Vec<Difference>,
}

#[derive(Serialize)]
struct Status {
    revision: Revision,
    members: Vec<Member>,
    data_centres: Vec<Summary>,
    store: &'static str,
    store_revision: Option<Revision>,
}

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 64;
/// Timeout for receiving a request's head, and idle timeout of connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Limits of a request's body.
const BODY_LIMITS: BodyLimits = BodyLimits {
    bytes: MAX_VALUE_BYTES,
    progress: Duration::from_secs(5),
    time: Duration::from_secs(30),
};
/// Maximum size of all bodies that arrive or are processed, in bytes.
const HELD_BODY_BYTES: usize = 16 * MAX_VALUE_BYTES;

/// Serves the API until the runtime shuts down.
pub(crate) async fn serve(shared: Shared, listener: TcpListener) {
    let listener = BoundedListener::new(listener, MAX_CONNECTIONS);
    let bodies = Arc::new(BodyRoom::new(HELD_BODY_BYTES));
    loop {
        let (stream, _, open) = listener.accept().await;
        let shared = shared.clone();
        let bodies = Arc::clone(&bodies);
        let service = hyper::service::service_fn(move |req| {
            let (shared, bodies) = (shared.clone(), Arc::clone(&bodies));
            async move { Ok::<_, Infallible>(answer(&shared, &bodies, req).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // Errors are ignored: a client that disconnects mid-request is not a fault of this process.
            let _ = connection.await;
            drop(open);
        });
    }
}

async fn answer(shared: &Shared, bodies: &BodyRoom, req: Request<Incoming>) -> Reply {
    let (head, mut incoming) = req.into_parts();
    let timer = shared.clock.timer();
    let body = match find_team(&shared.settings.team, &head.headers) {
        None => Err(Problem::NoKey),
        Some(team) => match read_body(&mut incoming, bodies, &BODY_LIMITS, timer).await {
            Ok(body) => Ok((team, body)),
            Err(error) => Err(error.into()),
        },
    };
    match body {
        Ok((team, body)) => {
            let text = String::from_utf8_lossy(&body);
            route(shared, team, &head, &text).await.unwrap_or_else(|it| it.reply())
        }
        Err(problem) => {
            let timer = timer.clone();
            tokio::spawn(async move { discard_body(incoming, &DISCARD_LIMITS, &timer).await });
            problem.reply()
        }
    }
}

async fn route(shared: &Shared, team: &Team, head: &Parts, body: &str) -> Result<Reply, Problem> {
    let path = head.uri.path().strip_prefix("/v1/").ok_or(Problem::NoSuchPath)?;
    match (head.method.clone(), path) {
        (Method::GET, "config") => read_config(shared).await,
        (Method::PUT, "config") => put_config(shared, team, &head.headers, body).await,
        (Method::POST, "config/check") => dry_run(shared, body).await,
        (Method::GET, "history") => history(shared).await,
        (Method::GET, "status") => Ok(status(shared).await),
        (Method::GET, path) if path.starts_with("history/") => {
            historical_content(shared, &path["history/".len()..]).await
        }
        (Method::GET, path) if path.starts_with("changes/") => {
            look_up(shared, &path["changes/".len()..]).await
        }
        (Method::POST, path) if path.starts_with("drain/") => {
            drain(shared, team, &head.headers, &path["drain/".len()..], true).await
        }
        (Method::POST, path) if path.starts_with("undrain/") => {
            drain(shared, team, &head.headers, &path["undrain/".len()..], false).await
        }
        _ => Err(Problem::NoSuchPath),
    }
}

fn json<T>(status: StatusCode, value: &T) -> Reply
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    let value = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, value);
    reply
}

fn content_reply(revision: Revision, text: String) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    let value = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, value);
    if let Ok(value) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        reply.headers_mut().insert(header::ETAG, value);
    }
    reply
}

fn store_unavailable(error: &document::DocumentError) -> Problem {
    Problem::Store(error.to_string())
}

/// The configuration from the store; in an outage what is in force here.
async fn read_config(shared: &Shared) -> Result<Reply, Problem> {
    let head = document::read_head(&shared.store).await;
    let in_force = match &head {
        Ok((_, head)) => document::read_current(&shared.store, head).await.ok().flatten(),
        Err(_) => None,
    };
    let known = shared.state.borrow().config.clone();
    match (in_force, known, head) {
        (Some(blob), _, _) => Ok(content_reply(blob.revision, blob.content)),
        (None, Some(blob), _) => Ok(content_reply(blob.revision, blob.content.clone())),
        (None, None, Ok(_)) => Ok(content_reply(Revision(0), "{}".to_owned())),
        (None, None, Err(error)) => Err(store_unavailable(&error)),
    }
}

async fn current_content(shared: &Shared) -> Result<(Revision, String), Problem> {
    let (_, head) =
        document::read_head(&shared.store).await.map_err(|it| store_unavailable(&it))?;
    let blob = document::read_current(&shared.store, &head).await;
    let blob = blob.map_err(|it| store_unavailable(&it))?;
    Ok(blob.map_or((Revision(0), "{}".to_owned()), |it| (it.revision, it.content)))
}

async fn put_config(
    shared: &Shared,
    team: &Team,
    headers: &HeaderMap,
    body: &str,
) -> Result<Reply, Problem> {
    let base = read_if_match(headers).ok_or(Problem::NoIfMatch)?;
    let (_, current) = current_content(shared).await?;
    store_change(shared, team, headers, base, &current, body).await
}

async fn store_change(
    shared: &Shared,
    team: &Team,
    headers: &HeaderMap,
    base: Revision,
    current: &str,
    body: &str,
) -> Result<Reply, Problem> {
    let id = headers.get(CHANGE_ID_HEADER).and_then(|it| it.to_str().ok()).and_then(ChangeId::new);
    let id = id.ok_or(Problem::NoChangeId)?;
    let inventory = match change::check(body) {
        Ok(inventory) => inventory,
        Err(findings) => {
            let answer = ChangeOutcome::Rejected { findings };
            return Ok(json(StatusCode::UNPROCESSABLE_ENTITY, &answer));
        }
    };
    let after = serde_json::to_string(&inventory).unwrap_or_default();
    if !team.may_change(&change::differences(current, &after)) {
        return Err(Problem::NotAllowed(match team.role {
            AdminRole::Reader => "the team may only read",
            _ => "the change touches more than the team's own accounts",
        }));
    }
    let at = shared.clock.unix_seconds();
    let change = Change { id: &id, by: &team.name, at, base, inventory: &inventory };
    let answer = change::apply(&shared.store, &change).await;
    let status = match answer {
        ChangeOutcome::Accepted { .. } => StatusCode::OK,
        ChangeOutcome::Conflict { .. } => StatusCode::PRECONDITION_FAILED,
        ChangeOutcome::Rejected { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ChangeOutcome::NotStored => StatusCode::SERVICE_UNAVAILABLE,
        ChangeOutcome::Unknown { .. } => StatusCode::ACCEPTED,
    };
    log::info!("change {id} by {}: {answer:?}", team.name);
    Ok(json(status, &answer))
}

fn read_if_match(headers: &HeaderMap) -> Option<Revision> {
    let text = headers.get(header::IF_MATCH)?.to_str().ok()?;
    text.trim_matches('"').parse().ok().map(Revision)
}

async fn dry_run(shared: &Shared, body: &str) -> Result<Reply, Problem> {
    let (findings, differences) = match change::check(body) {
        Err(findings) => (findings, Vec::new()),
        Ok(inventory) => {
            let (_, current) = current_content(shared).await?;
            let after = serde_json::to_string(&inventory).unwrap_or_default();
            (Vec::new(), change::differences(&current, &after))
        }
    };
    Ok(json(StatusCode::OK, &DryRun { findings, differences }))
}

async fn history(shared: &Shared) -> Result<Reply, Problem> {
    let (_, head) =
        document::read_head(&shared.store).await.map_err(|it| store_unavailable(&it))?;
    Ok(json(StatusCode::OK, &head.history))
}

async fn historical_content(shared: &Shared, revision: &str) -> Result<Reply, Problem> {
    let wanted = revision.parse().map(Revision).map_err(|_| Problem::NoSuchRevision)?;
    let (_, head) =
        document::read_head(&shared.store).await.map_err(|it| store_unavailable(&it))?;
    let entry =
        head.history.iter().find(|it| it.revision == wanted).ok_or(Problem::NoSuchRevision)?;
    let text = document::read_content(&shared.store, &entry.change).await;
    Ok(content_reply(wanted, text.map_err(|it| store_unavailable(&it))?))
}

async fn look_up(shared: &Shared, change: &str) -> Result<Reply, Problem> {
    let id = ChangeId::new(change).ok_or(Problem::NoChangeId)?;
    let found = change::look_up(&shared.store, &id).await.map_err(|it| store_unavailable(&it))?;
    Ok(match found {
        Some(entry) => json(StatusCode::OK, &entry),
        None => json(StatusCode::NOT_FOUND, &ChangeOutcome::Unknown { change: id }),
    })
}

async fn status(shared: &Shared) -> Reply {
    let head = document::read_head(&shared.store).await;
    let state = shared.state.borrow().clone();
    let status = Status {
        revision: state.revision(),
        members: state.members,
        data_centres: state.summaries,
        store: if head.is_ok() { "reachable" } else { "unreachable" },
        store_revision: head.ok().map(|it| it.1.revision),
    };
    json(StatusCode::OK, &status)
}

/// Sets or clears the `drain` flag of a backend server, as an ordinary configuration change.
async fn drain(
    shared: &Shared,
    team: &Team,
    headers: &HeaderMap,
    name: &str,
    drain: bool,
) -> Result<Reply, Problem> {
    let (base, current) = current_content(shared).await?;
    let no_server = || Problem::NoSuchServer(name.to_owned());
    let mut inventory = change::check(&current).map_err(|_| no_server())?;
    let server = inventory.backend_server.get_mut(&BackendServerName::from(name));
    let server = server.ok_or_else(no_server)?;
    server.drain = drain;
    let body = serde_json::to_string(&inventory).unwrap_or_default();
    store_change(shared, team, headers, base, &current, &body).await
}
