//! Processes an admitted request: picks a server, sends the request to it, and retries if that is allowed.

use std::{rc::Rc, time::Duration};

use http::Response;
use quincevalve_forwarding::{config::RetrySafety, placement::Placement, poison::RunStage};
use quincevalve_names::BackendServerName;
use tokio::time::{Instant, timeout_at};

use crate::{
    clock,
    node::Node,
    quarantine,
    request::{
        answer_buffer::{WholeAnswer, read_whole},
        body::AnswerBody,
        copies::order_copy,
        exchange::{
            AttemptError, ServerAnswer, caller_response, exchange, record_first_answer,
            update_server,
        },
        exit_check::record_if_exited,
        forward_to_peer::{Progress, after_runs, forward_to_peer},
        identify::IdentifiedRequest,
        refusal::{Refusal, Refused, promises_not_run},
        relay,
        retries::{self, PaidRetry},
        server_selection::{FoundServer, RETRY_AFTER_RANGE, WorkGuard, find_server, unlisted_ms},
        stream_versions::restrict_to_version,
        trace::{listed, log_request},
    },
};

/// Maximum number of servers that may refuse a request before it is refused to its caller.
const MAX_REFUSALS: usize = 3;

/// Sends a request to servers until one answers or no further attempt is allowed.
///
/// If this VM can't connect to the request's servers, it forwards the request to a peer that can, unless the request
/// comes from a peer itself.
pub(crate) async fn dispatch(
    node: &Rc<Node>,
    req: Rc<IdentifiedRequest>,
) -> Result<Response<AnswerBody>, Refused> {
    let mut tried: Vec<BackendServerName> = Vec::new();
    let mut refusals = 0;
    let mut runs = req.forwarded.map_or(0, |it| it.runs);
    let is_counted = req.forwarded.is_some_and(|it| it.is_counted);
    quarantine::check(node, &req).map_err(|it| after_runs(it, runs))?;
    if let Some(answer) = forward_if_cut_off(node, &req, runs).await {
        return answer;
    }
    restrict_to_version(node, &req).await.map_err(|it| after_runs(it, runs))?;
    let mut is_recorded = is_counted || record_own_request(node, &req);
    let mut retry: Option<PaidRetry> = None;
    loop {
        if let Some(answer) = offer_beyond_shares(node, &req, tried.is_empty(), runs).await {
            return answer;
        }
        let found = find_server(node, &req, &tried).await;
        if let Some(prompt) = req.prompt.filter(|_| tried.is_empty() && !is_counted) {
            node.record_demand(&req.service, prompt.expected_work(), found.is_ok());
        }
        let FoundServer { place, mut guard, waited } = match found {
            Ok(found) => found,
            Err(refused) => {
                if refused.refusal == Refusal::Limited
                    && let Some(answer) = offer_to_peers(node, &req, runs).await
                {
                    return answer;
                }
                return Err(after_runs(refused, runs));
            }
        };
        if !std::mem::replace(&mut is_recorded, true) {
            retries::record_request(node, &req.service);
        }
        if let Some(retry) = retry.take() {
            retry.record_sent(node, &req.service);
        }
        tried.push(place.server.clone());
        guard.start_tracking(&req, &place);
        let copy = order_copy(node, &req, &place, &tried);
        let extra: Vec<_> = copy.iter().map(|it| it.order_header(node)).collect();
        guard.set_copy(copy);
        let sent = Instant::now();
        log_placed(node, &req, &place, waited);
        let failure = match exchange(node, &req, &place, &extra).await {
            Ok(answer) => {
                match handle_answer(node, &req, &place, answer, guard, sent, runs).await {
                    Ok(answer) => return Ok(answer),
                    Err(failure) => failure,
                }
            }
            Err(failure) => {
                if failure == AttemptError::TimedOut {
                    guard.record_outcome(false);
                }
                guard.complete_prefill();
                drop(guard);
                failure
            }
        };
        match failure {
            AttemptError::TimedOut => return Err(Refusal::Late.into()),
            AttemptError::Quarantined { remaining } if runs == 0 => {
                let refusal = Refusal::Quarantined;
                return Err(Refused { refusal, retry_after: Some(remaining) });
            }
            AttemptError::Quarantined { .. } => return Err(Refusal::ServerFailed.into()),
            AttemptError::NotRun | AttemptError::Unreachable => refusals += 1,
            AttemptError::MayHaveRun => {
                // The request counts toward usage unless the server reported that it did not run it.
                if runs == 0 {
                    node.record_usage_start(req.account.as_ref());
                }
                runs += 1;
            }
        }
        let is_unreachable = failure == AttemptError::Unreachable;
        if is_unreachable && req.forwarded.is_some() {
            return Err(cut_off_refusal(runs));
        }
        // Peers are asked before further servers only if this VM can't connect to any.
        let asks_peers_first = is_unreachable && is_cut_off(node, &req);
        if asks_peers_first && let Some(answer) = offer_to_peers(node, &req, runs).await {
            return answer;
        }
        retry = may_retry(node, &req, failure, runs, refusals);
        if retry.is_none() {
            if is_unreachable
                && !asks_peers_first
                && let Some(answer) = offer_to_peers(node, &req, runs).await
            {
                return answer;
            }
            return Err(refusal_without_answer(runs));
        }
        log_request!(
            node, req, servers = tried.len(), runs = runs, refusals = refusals;
            "send-again"
        );
    }
}

/// Logs the choice of a server, with the estimates behind it.
fn log_placed(node: &Node, req: &IdentifiedRequest, place: &Placement, waited: Duration) {
    log_request!(
        node, req,
        server = place.server.as_str(), urgency = req.urgency, version = &place.version,
        affinity = place.affinity.map_or(-1, usize::cast_signed) as i64,
        predicted_ms = place.predicted.as_millis() as u64, running = place.known_load.requests,
        prefill = place.known_load.prefill, recent = place.known_load.recent_prefill,
        told_age_ms = place.peer_report_age.as_millis() as u64, unlisted_ms = unlisted_ms(place),
        waited_ms = waited.as_millis() as u64,
        digest = req.digest_if_cheap().map_or_else(String::new, |it| it.to_string()),
        parts = listed(req.parts());
        "placed"
    );
}

/// Returns whether this VM can connect to none of the request's servers.
fn is_cut_off(node: &Node, req: &IdentifiedRequest) -> bool {
    node.servers.borrow().is_cut_off_from(&req.service, clock::now())
}

/// Returns whether this VM's requests take up its shares of the request's servers, all of which are brittle.
fn has_used_shares(node: &Node, req: &IdentifiedRequest) -> bool {
    let engine = node.waiting.assumed_engine(req);
    node.servers.borrow().has_used_shares(&req.service, engine, clock::now())
}

/// Counts a caller's request and returns `true`. A peer's request is counted where it is placed: each peer that refuses
/// it would count it too.
fn record_own_request(node: &Node, req: &IdentifiedRequest) -> bool {
    let is_own = req.forwarded.is_none();
    if is_own {
        retries::record_request(node, &req.service);
    }
    is_own
}

/// Forwards a request to a peer if this VM can connect to none of its servers.
async fn forward_if_cut_off(
    node: &Rc<Node>,
    req: &Rc<IdentifiedRequest>,
    runs: u32,
) -> Option<Result<Response<AnswerBody>, Refused>> {
    if !is_cut_off(node, req) {
        return None;
    }
    if req.forwarded.is_some() {
        return Some(Err(cut_off_refusal(runs)));
    }
    forward_to_peer(node, req, Progress { runs, is_counted: false }).await
}

/// Offers a request to peers if this VM's requests take up its shares of brittle servers. A peer's request is refused
/// then: it has not run beyond what that peer knows.
async fn offer_beyond_shares(
    node: &Rc<Node>,
    req: &Rc<IdentifiedRequest>,
    is_untried: bool,
    runs: u32,
) -> Option<Result<Response<AnswerBody>, Refused>> {
    if !has_used_shares(node, req) {
        return None;
    }
    if req.forwarded.is_some() && is_untried {
        return Some(Err(Refusal::Limited.into()));
    }
    offer_to_peers(node, req, runs).await
}

/// Forwards a request to a peer after this VM could not connect to a server or has used up its share of the servers'
/// limits or of brittle servers, if another server may run it. The shares of VMs that get fewer connections are unused.
async fn offer_to_peers(
    node: &Rc<Node>,
    req: &Rc<IdentifiedRequest>,
    runs: u32,
) -> Option<Result<Response<AnswerBody>, Refused>> {
    if req.forwarded.is_some() || runs >= req.route.max_servers {
        return None;
    }
    forward_to_peer(node, req, Progress { runs, is_counted: true }).await
}

/// Returns the refusal for a peer's request whose servers this VM can't connect to either.
fn cut_off_refusal(runs: u32) -> Refused {
    if runs > 0 { Refusal::ServerFailed.into() } else { Refusal::CutOff.into() }
}

/// Returns the refusal for a request without an answer, of which `runs` attempts may have run.
fn refusal_without_answer(runs: u32) -> Refused {
    if runs > 0 {
        return Refusal::ServerFailed.into();
    }
    Refused { refusal: Refusal::ServersRefused, retry_after: Some(RETRY_AFTER_RANGE.0) }
}

/// Pays for sending a request to another server; returns `None` if it may not be sent to another.
///
/// A non-idempotent request whose answer was lost would run twice if it were retried. So only requests that cannot have
/// run, or that may run again, are retried. Every retry spends the retry budget.
fn may_retry(
    node: &Node,
    req: &IdentifiedRequest,
    failure: AttemptError,
    runs: u32,
    refusals: usize,
) -> Option<PaidRetry> {
    let is_unsent = matches!(failure, AttemptError::NotRun | AttemptError::Unreachable);
    let is_safe = is_unsent || req.retry_safety() == RetrySafety::Idempotent;
    let is_resumable = req.retry_safety() == RetrySafety::ResumableStream;
    let may_retry = (is_safe || is_resumable)
        && runs < req.route.max_servers
        && refusals < MAX_REFUSALS
        && Instant::now() < req.deadline;
    if may_retry { retries::try_spend(node, req) } else { None }
}

/// Forwards a server's answer to the caller, or returns why another server should be tried.
async fn handle_answer(
    node: &Rc<Node>,
    req: &Rc<IdentifiedRequest>,
    place: &Placement,
    answer: ServerAnswer,
    mut guard: WorkGuard,
    sent: Instant,
    runs: u32,
) -> Result<Response<AnswerBody>, AttemptError> {
    let status = answer.response.status();
    if !answer.sealed && !status.is_client_error() && !status.is_server_error() {
        log::warn!(id = req.id, server = place.server.as_str(), status = status.as_u16(); "unsealed");
        update_server(node, place, |it, _| it.load.record_failure());
        guard.record_outcome(false);
        return Err(AttemptError::MayHaveRun);
    }
    if answer.sealed && status.is_server_error() {
        guard.record_outcome(false);
    }
    if !answer.sealed || status.is_server_error() {
        update_server(node, place, |it, _| it.load.record_failure());
    }
    if !answer.sealed {
        return Err(AttemptError::MayHaveRun);
    }
    // The server didn't report that it has not run the request, but the caller would infer so from the status.
    if promises_not_run(status) && !req.retry_safety().is_retryable() {
        guard.record_outcome(false);
        log_request!(
            node, req, server = place.server.as_str(), status = status.as_u16();
            "server-error"
        );
        return Err(AttemptError::MayHaveRun);
    }
    let should_retry = status.is_server_error()
        && req.retry_safety() == RetrySafety::Idempotent
        && runs + 1 < req.route.max_servers;
    if should_retry {
        log_request!(
            node, req, server = place.server.as_str(), status = status.as_u16();
            "server-error"
        );
        return Err(AttemptError::MayHaveRun);
    }
    if status.is_success() && req.retry_safety().is_stream() {
        return Ok(relay::start_stream(node, req, place, answer, guard, sent, runs));
    }
    let (head, incoming) = answer.response.into_parts();
    let body = read_whole(node, incoming, req.deadline);
    let body = match timeout_at(req.deadline, body).await {
        Err(_) => {
            update_server(node, place, |it, _| it.load.record_failure());
            return Err(AttemptError::TimedOut);
        }
        Ok(Err(error)) => {
            log::warn!(id = req.id, server = place.server.as_str(), error:% = error; "answer-broke-off");
            update_server(node, place, |it, _| it.load.record_failure());
            record_if_exited(node, req, place, RunStage::Begun);
            return Err(AttemptError::MayHaveRun);
        }
        Ok(Ok(body)) => body,
    };
    let WholeAnswer { body, paused } = body;
    guard.complete_prefill();
    if !status.is_server_error() {
        guard.record_first_part();
        guard.record_outcome(true);
    }
    if status.is_success() {
        // The server isn't slow because this VM paused its answer.
        record_first_answer(node, place, sent + paused);
        quarantine::record_completion(node, req, place);
    }
    if runs == 0 {
        node.record_usage_start(req.account.as_ref());
    }
    node.connections.release(place.server_key(), answer.connection, &answer.keep_alive);
    Ok(caller_response(status, &head.headers, AnswerBody::Whole(body)))
}
