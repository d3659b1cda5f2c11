//! The paths of the administration API.

use std::convert::Infallible;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header, request::Parts};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use quincevalve_membership::{Member, Summary};
use quincevalve_names::{BackendServerName, Revision};
use quincevalve_ports::store::MAX_VALUE_BYTES;
use serde::Serialize;
use tokio::net::TcpListener;

use super::teams::{AdminRole, Team, find_team};
use crate::{
    change::{self, Change, ChangeAnswer, ChangeId, Difference},
    document,
    shared::Shared,
};

type Reply = Response<Full<Bytes>>;

const CHANGE_HEADER: &str = "change-id";

/// Why the API answers with an error.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Problem {
    NoKey,
    NotAllowed(&'static str),
    NoSuchPath,
    NoSuchRevision,
    NoSuchServer(String),
    NoChangeId,
    NoMatch,
    Body,
    Store(String),
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
                format!("send `{CHANGE_HEADER}` with 1 to 64 letters, digits and hyphens"),
            ),
            Self::NoMatch => {
                (428, "if_match", "send `If-Match` with the revision that you edited".to_owned())
            }
            Self::Body => (413, "body", "the body broke off or is too large".to_owned()),
            Self::Store(error) => (503, "store", error.clone()),
        };
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        json(status, &ErrorBody { error: ErrorFields { code, message } })
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

/// Serves operators until the runtime ends.
pub(crate) async fn serve(shared: Shared, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let shared = shared.clone();
        let service = hyper::service::service_fn(move |req| {
            let shared = shared.clone();
            async move { Ok::<_, Infallible>(answer(&shared, req).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // An operator's client that goes away in the middle is no fault of this process.
            let _ = connection.await;
        });
    }
}

async fn answer(shared: &Shared, req: Request<Incoming>) -> Reply {
    let (head, body) = req.into_parts();
    let Some(team) = find_team(&shared.settings.team, &head.headers) else {
        return Problem::NoKey.reply();
    };
    let body = Limited::new(body, MAX_VALUE_BYTES).collect().await;
    let Ok(body) = body.map(http_body_util::Collected::to_bytes) else {
        return Problem::Body.reply();
    };
    let text = String::from_utf8_lossy(&body);
    route(shared, team, &head, &text).await.unwrap_or_else(|it| it.reply())
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
            old_content(shared, &path["history/".len()..]).await
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

fn content(revision: Revision, text: String) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    let value = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, value);
    if let Ok(value) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        reply.headers_mut().insert(header::ETAG, value);
    }
    reply
}

fn store_problem(error: &document::DocumentError) -> Problem {
    Problem::Store(error.to_string())
}

/// The configuration from the store; in an outage what is in force here.
async fn read_config(shared: &Shared) -> Result<Reply, Problem> {
    let head = document::read_head(&shared.store).await;
    let in_force = match &head {
        Ok((_, head)) => document::read_in_force(&shared.store, head).await.ok().flatten(),
        Err(_) => None,
    };
    let known = shared.state.borrow().config.clone();
    match (in_force, known, head) {
        (Some(blob), _, _) => Ok(content(blob.revision, blob.content)),
        (None, Some(blob), _) => Ok(content(blob.revision, blob.content.clone())),
        (None, None, Ok(_)) => Ok(content(Revision(0), "{}".to_owned())),
        (None, None, Err(error)) => Err(store_problem(&error)),
    }
}

async fn current_content(shared: &Shared) -> Result<(Revision, String), Problem> {
    let (_, head) = document::read_head(&shared.store).await.map_err(|it| store_problem(&it))?;
    let blob = document::read_in_force(&shared.store, &head).await;
    let blob = blob.map_err(|it| store_problem(&it))?;
    Ok(blob.map_or((Revision(0), "{}".to_owned()), |it| (it.revision, it.content)))
}

async fn put_config(
    shared: &Shared,
    team: &Team,
    headers: &HeaderMap,
    body: &str,
) -> Result<Reply, Problem> {
    let on = read_match(headers).ok_or(Problem::NoMatch)?;
    let (_, current) = current_content(shared).await?;
    store_change(shared, team, headers, on, &current, body).await
}

async fn store_change(
    shared: &Shared,
    team: &Team,
    headers: &HeaderMap,
    on: Revision,
    current: &str,
    body: &str,
) -> Result<Reply, Problem> {
    let id = headers.get(CHANGE_HEADER).and_then(|it| it.to_str().ok()).and_then(ChangeId::new);
    let id = id.ok_or(Problem::NoChangeId)?;
    let inventory = match change::check(body) {
        Ok(inventory) => inventory,
        Err(findings) => {
            let answer = ChangeAnswer::Rejected { findings };
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
    let change = Change { id: &id, by: &team.name, at, on, inventory: &inventory };
    let answer = change::apply(&shared.store, &change).await;
    let status = match answer {
        ChangeAnswer::Accepted { .. } => StatusCode::OK,
        ChangeAnswer::Conflict { .. } => StatusCode::PRECONDITION_FAILED,
        ChangeAnswer::Rejected { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ChangeAnswer::NotStored => StatusCode::SERVICE_UNAVAILABLE,
        ChangeAnswer::Unknown { .. } => StatusCode::ACCEPTED,
    };
    log::info!("change {id} by {}: {answer:?}", team.name);
    Ok(json(status, &answer))
}

fn read_match(headers: &HeaderMap) -> Option<Revision> {
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
    let (_, head) = document::read_head(&shared.store).await.map_err(|it| store_problem(&it))?;
    Ok(json(StatusCode::OK, &head.history))
}

async fn old_content(shared: &Shared, revision: &str) -> Result<Reply, Problem> {
    let wanted = revision.parse().map(Revision).map_err(|_| Problem::NoSuchRevision)?;
    let (_, head) = document::read_head(&shared.store).await.map_err(|it| store_problem(&it))?;
    let row =
        head.history.iter().find(|it| it.revision == wanted).ok_or(Problem::NoSuchRevision)?;
    let text = document::read_content(&shared.store, &row.change).await;
    Ok(content(wanted, text.map_err(|it| store_problem(&it))?))
}

async fn look_up(shared: &Shared, change: &str) -> Result<Reply, Problem> {
    let id = ChangeId::new(change).ok_or(Problem::NoChangeId)?;
    let found = change::look_up(&shared.store, &id).await.map_err(|it| store_problem(&it))?;
    Ok(match found {
        Some(row) => json(StatusCode::OK, &row),
        None => json(StatusCode::NOT_FOUND, &ChangeAnswer::Unknown { change: id }),
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

/// Takes a backend server out of service, or back in: a change like any other.
async fn drain(
    shared: &Shared,
    team: &Team,
    headers: &HeaderMap,
    name: &str,
    drain: bool,
) -> Result<Reply, Problem> {
    let (on, current) = current_content(shared).await?;
    let no_server = || Problem::NoSuchServer(name.to_owned());
    let mut inventory = change::check(&current).map_err(|_| no_server())?;
    let server = inventory.backend_server.get_mut(&BackendServerName::from(name));
    let server = server.ok_or_else(no_server)?;
    server.drain = drain;
    let body = serde_json::to_string(&inventory).unwrap_or_default();
    store_change(shared, team, headers, on, &current, &body).await
}
