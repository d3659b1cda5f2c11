//! Forwards a request to a peer that may send it to the request's servers.

use std::rc::Rc;

use http::{HeaderMap, HeaderValue, Request, Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quincevalve_forwarding::{peer_forwarding::PeerFailure, peer_table::VmDescriptor};
use quincevalve_names::Outcome;
use tokio::{
    task::spawn_local,
    time::{Duration, timeout_at},
};

use crate::{
    clock,
    node::{InFlight, Node, remaining},
    request::{
        answer_buffer::read_whole,
        body::{AnswerBody, AnswerSender, stream_body},
        connection_pool::{Connection, KeepAlive},
        exchange::caller_response,
        forwarded::{Forwarded, peer_refusal},
        held_body::HeldBody,
        identify::IdentifiedRequest,
        refusal::{Refusal, Refused},
        trace::log_request,
    },
};

/// Maximum number of peers that a request is offered to while this VM knows that it reaches no server.
const MAX_PEERS_WHEN_CUT_OFF: usize = 8;
/// Maximum number of peers that a request is offered to after connections for it failed, or while servers are limited. The
/// servers may be overloaded, and each peer would try to connect too.
const MAX_PEERS_AFTER_FAILURES: usize = 2;
/// Maximum number of peers that a request is offered to although they don't answer. Each costs the caller a connection's
/// timeout, and this VM is probably cut off from its peers too.
const MAX_SILENT_PEERS: usize = 2;

/// What happened to a request before it is forwarded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Number of servers that may have run the request.
    pub(crate) runs: u32,
    /// Whether the request is counted in this VM's retry budget and demand.
    pub(crate) is_counted: bool,
}

/// The answer of a peer, or why there is none.
enum PeerAnswer {
    /// The answer of a server.
    Answer(Response<Incoming>, Connection),
    /// The peer has not run the request, and another peer may take it.
    NotTaken(PeerFailure),
    /// The peer's final refusal.
    Refused(Refused),
    /// The request was sent, and the connection ended before an answer.
    Lost,
}

/// Counts a request as sent to a peer until it is dropped.
struct SentToPeer {
    node: Rc<Node>,
    peer: String,
}

impl SentToPeer {
    fn new(node: &Rc<Node>, peer: &str) -> Self {
        node.peer_forwarding.borrow_mut().record_sent(peer);
        Self { node: node.clone(), peer: peer.to_owned() }
    }
}

impl Drop for SentToPeer {
    fn drop(&mut self) {
        self.node.peer_forwarding.borrow_mut().record_ended(&self.peer);
    }
}

/// Forwards a request to peers until one takes it. Returns `None` if none does; the request has not run then beyond
/// `progress`.
pub(crate) async fn forward_to_peer(
    node: &Rc<Node>,
    req: &Rc<IdentifiedRequest>,
    progress: Progress,
) -> Option<Result<Response<AnswerBody>, Refused>> {
    let is_cut_off = node.servers.borrow().is_cut_off_from(&req.service, clock::now());
    let max_peers = if is_cut_off { MAX_PEERS_WHEN_CUT_OFF } else { MAX_PEERS_AFTER_FAILURES };
    let mut silent_peers = 0;
    for _ in 0..max_peers {
        if silent_peers == MAX_SILENT_PEERS || remaining(req.deadline).is_zero() {
            return None;
        }
        let peer = pick_peer(node, req)?;
        log_request!(node, req, peer = &peer.name, runs = progress.runs; "forwarded-to-peer");
        let sent = SentToPeer::new(node, &peer.name);
        let answer = ask_peer(node, req, &peer, progress).await;
        let result = match &answer {
            PeerAnswer::Answer(..) => "answered",
            PeerAnswer::NotTaken(_) => "not-taken",
            PeerAnswer::Refused(_) => "refused",
            PeerAnswer::Lost => "lost",
        };
        node.metrics.count_forwarding(req.service.as_str(), result);
        match answer {
            PeerAnswer::NotTaken(failure) => {
                silent_peers += usize::from(failure == PeerFailure::Unavailable);
                log_request!(node, req, peer = &peer.name, why = format!("{failure:?}"); "peer-refused");
                let mut forwarding = node.peer_forwarding.borrow_mut();
                forwarding.record_failure(&req.service, &peer, failure, clock::now());
            }
            PeerAnswer::Lost => {
                let mut forwarding = node.peer_forwarding.borrow_mut();
                let failure = PeerFailure::Unavailable;
                forwarding.record_failure(&req.service, &peer, failure, clock::now());
                return Some(Err(Refusal::ServerFailed.into()));
            }
            PeerAnswer::Refused(refused) => {
                node.peer_forwarding.borrow_mut().record_taken(&req.service, &peer);
                return Some(Err(after_runs(refused, progress.runs)));
            }
            PeerAnswer::Answer(answer, connection) => {
                node.peer_forwarding.borrow_mut().record_taken(&req.service, &peer);
                return Some(forward_answer(node, req, &peer, answer, connection, sent).await);
            }
        }
    }
    None
}

/// Returns the refusal for a request that `runs` servers may have run before: it must not say that it has not run.
pub(crate) fn after_runs(refused: Refused, runs: u32) -> Refused {
    if runs > 0 && refused.refusal.outcome() == Outcome::NotRun {
        return Refusal::ServerFailed.into();
    }
    refused
}

fn pick_peer(node: &Node, req: &IdentifiedRequest) -> Option<VmDescriptor> {
    let now = clock::now();
    let peers = node.peers.borrow();
    let mut forwarding = node.peer_forwarding.borrow_mut();
    let mut rng = node.rng.borrow_mut();
    let centre = &node.settings.data_centre;
    let candidates = peers.table.responsive_peers(now);
    forwarding.pick(&req.service, centre, candidates, &mut *rng, now).cloned()
}

async fn ask_peer(
    node: &Node,
    req: &IdentifiedRequest,
    peer: &VmDescriptor,
    progress: Progress,
) -> PeerAnswer {
    let connection = node.peer_connections.acquire(&peer.address, peer.address);
    let mut connection = match timeout_at(req.deadline, connection).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            log::debug!(id = req.id, error:% = error; "peer-not-reached");
            return PeerAnswer::NotTaken(PeerFailure::Unavailable);
        }
        Err(_) => return PeerAnswer::NotTaken(PeerFailure::Unavailable),
    };
    let Some(outgoing) = outgoing_request(node, req, progress) else {
        return PeerAnswer::NotTaken(PeerFailure::Unavailable);
    };
    req.was_sent.set(true);
    let answer = match timeout_at(req.deadline, connection.sender.try_send_request(outgoing)).await
    {
        Err(_) => return PeerAnswer::Refused(Refusal::Late.into()),
        Ok(Ok(answer)) => answer,
        Ok(Err(mut error)) => {
            if error.take_message().is_some() {
                return PeerAnswer::NotTaken(PeerFailure::Unavailable);
            }
            log::warn!(
                id = req.id, peer = peer.name.as_str(), error:% = error.into_error();
                "peer-lost"
            );
            return PeerAnswer::Lost;
        }
    };
    let Some(refusal) = peer_refusal(answer.headers()) else {
        return PeerAnswer::Answer(answer, connection);
    };
    let retry_after = retry_after(answer.headers());
    let keep_alive = KeepAlive::of(answer.headers());
    // The connection can be used again only after the whole answer was read.
    if timeout_at(req.deadline, answer.into_body().collect()).await.is_ok_and(|it| it.is_ok()) {
        node.peer_connections.release(peer.address, connection, &keep_alive);
    }
    match refusal {
        Refusal::CutOff => PeerAnswer::NotTaken(PeerFailure::CutOff),
        Refusal::PeerFull | Refusal::Limited | Refusal::OutOfMemory => {
            PeerAnswer::NotTaken(PeerFailure::Full)
        }
        Refusal::StaleConfig | Refusal::Stopping | Refusal::NoServer => {
            PeerAnswer::NotTaken(PeerFailure::Unavailable)
        }
        _ => PeerAnswer::Refused(Refused { refusal, retry_after }),
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(header::RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Builds the request for a peer, which is the caller's with this VM's account of it.
fn outgoing_request(
    node: &Node,
    req: &IdentifiedRequest,
    progress: Progress,
) -> Option<Request<HeldBody>> {
    let names = &node.headers;
    let mut outgoing = Request::new(req.body.clone());
    *outgoing.method_mut() = req.method.clone();
    *outgoing.uri_mut() = req.uri.clone();
    let mut headers = req.headers.clone();
    let left_ms = remaining(req.deadline).as_millis().max(1) as u64;
    headers.insert(&names.deadline_ms, HeaderValue::from(left_ms));
    if let Some(account) = &req.account {
        headers.insert(&names.account, HeaderValue::from_str(account.as_str()).ok()?);
    }
    let Progress { runs, is_counted } = progress;
    Forwarded { config_version: req.config.version, runs, is_counted }.write(&mut headers);
    *outgoing.headers_mut() = headers;
    Some(outgoing)
}

/// Forwards a server's answer that came by way of a peer.
async fn forward_answer(
    node: &Rc<Node>,
    req: &Rc<IdentifiedRequest>,
    peer: &VmDescriptor,
    answer: Response<Incoming>,
    connection: Connection,
    sent: SentToPeer,
) -> Result<Response<AnswerBody>, Refused> {
    let (head, incoming) = answer.into_parts();
    let keep_alive = KeepAlive::of(&head.headers);
    if head.status.is_success() && req.retry_safety().is_stream() {
        let (tx, body) = stream_body(node, req.deadline);
        let stream = ForwardedStream {
            node: node.clone(),
            req: req.clone(),
            peer: peer.clone(),
            connection,
            keep_alive,
            tx,
            _sent: sent,
            _in_flight: InFlight::new(node),
        };
        spawn_local(stream.run(incoming));
        return Ok(caller_response(head.status, &head.headers, body));
    }
    let body = read_whole(node, incoming, req.deadline);
    let body = match timeout_at(req.deadline, body).await {
        Err(_) => return Err(Refusal::Late.into()),
        Ok(Err(error)) => {
            log::warn!(id = req.id, peer = peer.name.as_str(), error:% = error; "peer-lost");
            return Err(Refusal::ServerFailed.into());
        }
        Ok(Ok(answer)) => answer.body,
    };
    node.peer_connections.release(peer.address, connection, &keep_alive);
    Ok(caller_response(head.status, &head.headers, AnswerBody::Whole(body)))
}

/// A stream that a peer relays from a server, on its way to the caller.
struct ForwardedStream {
    node: Rc<Node>,
    req: Rc<IdentifiedRequest>,
    peer: VmDescriptor,
    connection: Connection,
    keep_alive: KeepAlive,
    tx: AnswerSender,
    _sent: SentToPeer,
    _in_flight: InFlight,
}

impl ForwardedStream {
    /// Passes the stream on until it ends, the caller disconnects, or the deadline passes.
    async fn run(self, mut incoming: Incoming) {
        let mut first_ms = None;
        let how = loop {
            let frame = tokio::select! {
                biased;
                () = self.tx.closed() => break "caller-left",
                frame = timeout_at(self.req.deadline, incoming.frame()) => frame,
            };
            let data = match frame {
                Err(_) => break "timed-out",
                Ok(None) => break "whole",
                Ok(Some(Err(error))) => {
                    log::warn!(
                        id = self.req.id, peer = self.peer.name.as_str(), error:% = error;
                        "peer-lost"
                    );
                    break "broke-off";
                }
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if first_ms.is_none() && !data.is_empty() {
                let took = self.req.arrived.elapsed();
                first_ms = Some(took.as_millis() as u64);
                self.node.metrics.observe_first_answer(&self.req.route.name, took);
            }
            if self.tx.send(data).await.is_err() {
                break "caller-left";
            }
        };
        if how == "whole" {
            self.tx.complete();
        }
        self.finish(how, first_ms);
    }

    fn finish(self, how: &'static str, first_ms: Option<u64>) {
        let Self { node, req, peer, connection, keep_alive, .. } = self;
        log_request!(
            node, req,
            how = how, servers = 0, server = "", peer = &peer.name, first_ms = first_ms.unwrap_or_default(),
            pause_ms = 0, took_ms = req.arrived.elapsed().as_millis() as u64;
            "stream-ended"
        );
        node.metrics.count_request(&req.route.name, how);
        let objective_ms = req.route.objective.as_millis() as u64;
        let was_late = first_ms.is_none_or(|it| it > objective_ms);
        req.trace.end(&node, &req.id, was_late || !matches!(how, "whole" | "caller-left"));
        if how == "whole" {
            node.peer_connections.release(peer.address, connection, &keep_alive);
        }
    }
}
