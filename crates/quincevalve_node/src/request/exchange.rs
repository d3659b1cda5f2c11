//! One attempt to have one server process a request.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use quincevalve_forwarding::{
    placement::Placement,
    poison::RunStage,
    servers::{LeaveReason, Robustness, Server},
    signal_outbox::ServerKey,
};
use quincevalve_names::TimePoint;
use tokio::time::{Instant, timeout_at};

use crate::{
    clock,
    node::{Node, remaining},
    quarantine,
    request::{
        body::AnswerBody,
        connection_pool::{ConnectError, Connection, KeepAlive},
        exit_check::record_if_exited,
        held_body::HeldBody,
        identify::{IdentifiedRequest, header_text, is_hop_by_hop},
        signals::apply_signals,
        trace::log_request,
    },
};

/// Maximum time for which a request waits until another one gives up its connection to a server.
const DESCRIPTOR_TIMEOUT: Duration = Duration::from_millis(500);

/// A server's response to the request. Its body has not been received yet.
#[derive(Debug)]
pub(crate) struct ServerAnswer {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) keep_alive: KeepAlive,
    /// Whether the response has the server's seal. A response without it may come from something other than the server.
    pub(crate) sealed: bool,
}

/// The failure of an attempt that yielded no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// No byte of the request can have reached the server, or the server reported that it did not run the request.
    NotRun,
    /// No connection to the server could be established.
    Unreachable,
    /// The request may have run.
    MayHaveRun,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// The request was not sent because it is quarantined, for the given remaining time as far as this VM knows.
    Quarantined { remaining: Duration },
}

/// Sends a request to the server that was picked for it and returns the server's response.
pub(crate) async fn exchange(
    node: &Rc<Node>,
    req: &IdentifiedRequest,
    place: &Placement,
    extra_headers: &[(HeaderName, HeaderValue)],
) -> Result<ServerAnswer, AttemptError> {
    quarantine::admit(node, req, place)
        .await
        .map_err(|remaining| AttemptError::Quarantined { remaining })?;
    let address = node.servers.borrow().get(&place.server).map(|it| it.entry.address);
    let address = address.ok_or(AttemptError::NotRun)?;
    let key = place.server_key();
    let connection = acquire_connection(node, &key, address);
    let mut connection = match timeout_at(req.deadline, connection).await {
        Ok(Err(error @ ConnectError::NoDescriptor { .. })) => {
            log::warn!(id = req.id, server = place.server.as_str(), error:% = error; "connect-failed");
            return Err(AttemptError::NotRun);
        }
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            log::warn!(id = req.id, server = place.server.as_str(), error:% = error; "connect-failed");
            let mut servers = node.servers.borrow_mut();
            let unreachable = servers.mark_unreachable(&place.server, place.start, clock::now());
            node.connections.drop_all_idle(unreachable);
            return Err(AttemptError::Unreachable);
        }
        Err(_) => return Err(AttemptError::NotRun),
    };
    if !connection.reused {
        let mut servers = node.servers.borrow_mut();
        servers.record_connected(&place.server, place.start, clock::now());
    }
    // The server may have started to leave or to rest while the connection was established.
    if !is_usable(node, place) {
        return Err(AttemptError::NotRun);
    }
    let Some(outgoing) = outgoing_request(node, req, place, extra_headers) else {
        return Err(AttemptError::NotRun);
    };
    let service = req.service.as_str();
    req.was_sent.set(true);
    let sent = connection.sender.try_send_request(outgoing);
    let response = match timeout_at(req.deadline, sent).await {
        Err(_) => {
            update_server(node, place, |it, _| it.load.record_failure());
            node.metrics.count_attempt(service, "timed-out");
            return Err(AttemptError::TimedOut);
        }
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            let unsent = error.take_message().is_some();
            let error = error.into_error();
            let reused = connection.reused;
            log::warn!(
                id = req.id, server = place.server.as_str(), unsent, reused, error:% = error;
                "exchange-failed"
            );
            if unsent {
                return Err(AttemptError::NotRun);
            }
            node.metrics.count_attempt(service, "lost");
            // The other idle connections to this server have probably failed too.
            node.connections.drop_idle(&place.server_key());
            update_server(node, place, |it, now| it.load.record_unreachable(now));
            record_if_exited(node, req, place, RunStage::Waiting);
            return Err(AttemptError::MayHaveRun);
        }
    };
    classify(node, req, place, connection, response)
}

/// Returns a connection to a server. If there are as many as there may be, callers that have stalled yield theirs.
async fn acquire_connection(
    node: &Node,
    key: &ServerKey,
    address: SocketAddr,
) -> Result<Connection, ConnectError> {
    let deadline = Instant::now() + DESCRIPTOR_TIMEOUT;
    loop {
        let closed = node.connections.closed();
        let acquired = node.connections.acquire(key, address).await;
        if !matches!(acquired, Err(ConnectError::NoDescriptor { .. })) {
            return acquired;
        }
        node.callers.evict_stalled();
        if timeout_at(deadline, closed).await.is_err() {
            return acquired;
        }
    }
}

/// Checks that a response belongs to the request, and whether the server ran the request.
fn classify(
    node: &Node,
    req: &IdentifiedRequest,
    place: &Placement,
    connection: Connection,
    response: Response<Incoming>,
) -> Result<ServerAnswer, AttemptError> {
    let names = &node.headers;
    let status = response.status();
    let echoed = header_text(response.headers(), &names.attempt_id);
    let not_run = response.headers().contains_key(&names.not_run)
        || status == StatusCode::MISDIRECTED_REQUEST;
    if echoed.is_some_and(|it| it != req.id) || (echoed.is_none() && !not_run) {
        // A late response to an earlier request may arrive in place of this request's response, and the caller would
        // get another caller's response. The id differs then, and the connection is dropped with any data left on it.
        log::warn!(
            id = req.id, server = place.server.as_str(), echoed = echoed.unwrap_or_default();
            "foreign-answer"
        );
        return Err(AttemptError::MayHaveRun);
    }
    let sealed = response.headers().contains_key(&names.seal);
    let room = not_run.then(|| known_room(node, place));
    if sealed || not_run {
        apply_signals(node, place, status, response.headers());
    }
    if let Some(room) = room {
        log_request!(
            node, req, server = place.server.as_str(), status = status.as_u16(),
            brittle = room.brittle, own = room.own, memory = room.memory, share = room.share,
            vms = room.vms;
            "server-refused"
        );
        if status == StatusCode::MISDIRECTED_REQUEST {
            node.servers.borrow_mut().mark_leaving(
                &place.server,
                place.start,
                LeaveReason::Replaced,
            );
            node.connections.drop_idle(&place.server_key());
        } else {
            let pause = node.servers.borrow().pause_after_rejection(&place.server, place.start);
            update_server(node, place, |it, now| it.load.pause(pause, now));
        }
        node.metrics.count_attempt(req.service.as_str(), "refused");
        return Err(AttemptError::NotRun);
    }
    node.metrics.count_attempt(req.service.as_str(), "answered");
    let keep_alive = KeepAlive::of(response.headers());
    Ok(ServerAnswer { response, connection, keep_alive, sealed })
}

/// What this VM knew of a server's room when the server rejected a request; -1 if unknown.
#[derive(Clone, Copy, Debug, Default)]
struct KnownRoom {
    /// Rejections in a second that the server withstands, if it is brittle.
    brittle: i64,
    /// This VM's requests at the server, the rejected one included.
    own: i64,
    /// Tokens that they occupy at most.
    memory: i64,
    /// This VM's share of the server's slots.
    share: i64,
    /// Number of VMs among which the slots are divided.
    vms: i64,
}

fn known_room(node: &Node, place: &Placement) -> KnownRoom {
    let servers = node.servers.borrow();
    let server = servers.get(&place.server).filter(|it| it.entry.start == place.start);
    let Some(server) = server else {
        return KnownRoom { brittle: -1, own: -1, memory: -1, share: -1, vms: -1 };
    };
    let own = server.load.own_work(clock::now());
    KnownRoom {
        brittle: match servers.robustness(server) {
            Robustness::Brittle(rejections) => i64::from(rejections),
            Robustness::Sound | Robustness::Unknown => -1,
        },
        own: i64::from(own.requests),
        memory: own.memory.cast_signed(),
        share: servers.room_share(server, None).cast_signed(),
        vms: servers.rank().vm_count.cast_signed() as i64,
    }
}

/// Builds the request that is sent to the server.
fn outgoing_request(
    node: &Node,
    req: &IdentifiedRequest,
    place: &Placement,
    extra_headers: &[(HeaderName, HeaderValue)],
) -> Option<Request<HeldBody>> {
    let names = &node.headers;
    let mut outgoing = Request::new(req.body.clone());
    *outgoing.method_mut() = req.method.clone();
    *outgoing.uri_mut() = req.uri.clone();
    let mut headers: HeaderMap = req.headers.clone();
    let left_ms = remaining(req.deadline).as_millis().max(1) as u64;
    headers.insert(&names.deadline_ms, HeaderValue::from(left_ms));
    headers.insert(&names.expected_server, HeaderValue::from_str(place.server.as_str()).ok()?);
    if let Some(account) = &req.account {
        headers.insert(&names.account, HeaderValue::from_str(account.as_str()).ok()?);
    }
    if req.prompt.is_some() {
        headers.insert(&names.urgency, HeaderValue::from(u16::from(req.urgency.min(9))));
    }
    for (name, value) in extra_headers {
        headers.insert(name, value.clone());
    }
    *outgoing.headers_mut() = headers;
    Some(outgoing)
}

/// Returns whether the server may still get the request.
fn is_usable(node: &Node, place: &Placement) -> bool {
    let servers = node.servers.borrow();
    let picked = servers.get(&place.server).filter(|it| it.entry.start == place.start);
    // An entry may change its version without a new start.
    let Some(picked) = picked.filter(|it| it.entry.version == place.version) else { return false };
    let rollouts = node.rollouts.borrow();
    let now = clock::now();
    servers.is_eligible(picked, now)
        && !picked.is_resting(now)
        && rollouts.admits(&picked.entry.service, &place.version)
}

/// Updates this VM's state of the server that was picked, if the server has not restarted or been removed.
pub(crate) fn update_server(
    node: &Node,
    place: &Placement,
    change: impl FnOnce(&mut Server, TimePoint),
) {
    if let Some(server) = node.servers.borrow_mut().get_mut(&place.server, place.start) {
        change(server, clock::now());
    }
}

/// Records the latency of a server's first answer.
pub(crate) fn record_first_answer(node: &Node, place: &Placement, sent: Instant) {
    update_server(node, place, |it, _| it.load.record_answer(sent.elapsed(), place.predicted));
}

/// Builds the response to the caller from a server's response, without hop-by-hop headers and `Content-Length`.
pub(crate) fn caller_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    for (name, value) in headers {
        if !is_hop_by_hop(name) && *name != http::header::CONTENT_LENGTH {
            answer.headers_mut().append(name, value.clone());
        }
    }
    answer
}
