//! From an admitted request to its answer: place, send, send again where that is allowed.

use std::rc::Rc;

use http::Response;
use http_body_util::{BodyExt, Limited};
use quincevalve_forwarding::{config::RetrySafety, placement::Placement};
use quincevalve_names::BackendServerName;
use tokio::time::{Instant, timeout_at};

use crate::{
    clock,
    node::Node,
    quarantine,
    request::{
        body::AnswerBody,
        exchange::{Failed, ServerAnswer, about, exchange, note_answered, passed_on},
        exit_check::connection_broke,
        identify::Identified,
        placing::{RETRY_AFTER, WorkGuard, find_place, unlisted_ms},
        refusal::{Refusal, Refused, promises_not_run},
        relay,
        trace::note,
    },
};

/// Servers that may refuse one request before the caller is told.
const MAX_REFUSALS: usize = 3;
/// The largest answer of a plain service that is held until it is whole.
const MAX_WHOLE_ANSWER: usize = 4 << 20;

/// Sends a request to servers until there is an answer, or none may be tried any more.
pub(crate) async fn dispatch(
    node: &Rc<Node>,
    req: Rc<Identified>,
) -> Result<Response<AnswerBody>, Refused> {
    let mut had: Vec<BackendServerName> = Vec::new();
    let mut refusals = 0;
    let mut runs = 0;
    node.retries.borrow_mut().entry(req.service.clone()).or_default().record_request(clock::now());
    loop {
        let found = find_place(node, &req, &had).await;
        if let Some(prompt) = req.prompt.filter(|_| had.is_empty()) {
            node.record_demand(&req.service, prompt.expected_work(), found.is_ok());
        }
        let place = match found {
            Ok(place) => place,
            Err(refused) if runs == 0 => return Err(refused),
            // What has run once without an answer can't be refused as if it had not.
            Err(_) => return Err(Refusal::ServerFailed.into()),
        };
        had.push(place.server.clone());
        let mut guard = WorkGuard::new(node, &place);
        guard.watch(&req, &place);
        let sent = Instant::now();
        note!(
            node, req,
            server = place.server.as_str(), urgency = req.urgency, version = &place.version,
            affinity = place.affinity.map_or(-1, usize::cast_signed) as i64,
            predicted_ms = place.predicted.as_millis() as u64, running = place.known_load.requests,
            prefill = place.known_load.prefill, recent = place.known_load.recent_prefill,
            told_age_ms = place.peer_report_age.as_millis() as u64, unlisted_ms = unlisted_ms(&place),
            digest = req.cheap_digest().map_or_else(String::new, |it| it.to_string());
            "placed"
        );
        let failed = match exchange(node, &req, &place, &[]).await {
            Ok(answer) => match finish(node, &req, &place, answer, guard, sent, runs).await {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            },
            Err(failed) => {
                if failed == Failed::TimedOut {
                    guard.judged(false);
                }
                guard.prefilled();
                drop(guard);
                failed
            }
        };
        match failed {
            Failed::TimedOut => return Err(Refusal::Late.into()),
            Failed::Quarantined { hold } if runs == 0 => {
                let refusal = Refusal::Quarantined;
                return Err(Refused { refusal, retry_after: Some(hold) });
            }
            Failed::Quarantined { .. } => return Err(Refusal::ServerFailed.into()),
            Failed::NotRun => refusals += 1,
            Failed::MayHaveRun => {
                // It is reported as used unless the server said that it did not run it.
                if runs == 0 {
                    node.record_usage_start(req.account.as_ref());
                }
                runs += 1;
            }
        }
        if !may_send_again(node, &req, failed, runs, refusals) {
            return Err(give_up(runs));
        }
        note!(node, req, servers = had.len(), runs = runs, refusals = refusals; "send-again");
    }
}

fn give_up(runs: u32) -> Refused {
    if runs > 0 {
        return Refusal::ServerFailed.into();
    }
    Refused { refusal: Refusal::ServersRefused, retry_after: Some(RETRY_AFTER.0) }
}

/// Whether a request may go to one more server.
///
/// Failure: a non-idempotent request was sent, and its answer was lost. Symptom: sent again, it runs
/// twice. Only what cannot have run, or may run again, is sent on; and all of it draws on the budget.
fn may_send_again(
    node: &Node,
    req: &Identified,
    failed: Failed,
    runs: u32,
    refusals: usize,
) -> bool {
    let harmless = failed == Failed::NotRun || req.repeat() == RetrySafety::Idempotent;
    let starts_again = req.repeat() == RetrySafety::ResumableStream;
    (harmless || starts_again)
        && runs < req.route.max_servers
        && refusals < MAX_REFUSALS
        && Instant::now() < req.deadline
        && node.try_spend_retry(&req.service)
}

/// Passes a server's answer on, or says why another server should be asked.
async fn finish(
    node: &Rc<Node>,
    req: &Rc<Identified>,
    place: &Placement,
    answer: ServerAnswer,
    mut guard: WorkGuard,
    sent: Instant,
    runs: u32,
) -> Result<Response<AnswerBody>, Failed> {
    let status = answer.response.status();
    if !answer.sealed && !status.is_client_error() && !status.is_server_error() {
        log::warn!(id = req.id, server = place.server.as_str(), status = status.as_u16(); "unsealed");
        about(node, place, |it, _| it.load.record_failure());
        guard.judged(false);
        return Err(Failed::MayHaveRun);
    }
    if answer.sealed && status.is_server_error() {
        guard.judged(false);
    }
    if !answer.sealed || status.is_server_error() {
        about(node, place, |it, _| it.load.record_failure());
    }
    if !answer.sealed {
        return Err(Failed::MayHaveRun);
    }
    // The server didn't say that it has not run it, and its status would say so to the caller.
    if promises_not_run(status) && !req.repeat().is_retryable() {
        guard.judged(false);
        note!(node, req, server = place.server.as_str(), status = status.as_u16(); "server-error");
        return Err(Failed::MayHaveRun);
    }
    let again = status.is_server_error()
        && req.repeat() == RetrySafety::Idempotent
        && runs + 1 < req.route.max_servers;
    if again {
        note!(node, req, server = place.server.as_str(), status = status.as_u16(); "server-error");
        return Err(Failed::MayHaveRun);
    }
    if status.is_success() && req.repeat().is_stream() {
        return Ok(relay::stream(node, req, place, answer, guard, sent, runs));
    }
    let (head, incoming) = answer.response.into_parts();
    let whole = Limited::new(incoming, MAX_WHOLE_ANSWER).collect();
    let whole = match timeout_at(req.deadline, whole).await {
        Err(_) => return Err(Failed::TimedOut),
        Ok(Err(error)) => {
            log::warn!(id = req.id, server = place.server.as_str(), error:% = error; "answer-broke-off");
            about(node, place, |it, _| it.load.record_failure());
            connection_broke(node, req, place);
            return Err(Failed::MayHaveRun);
        }
        Ok(Ok(whole)) => whole.to_bytes(),
    };
    guard.prefilled();
    if !status.is_server_error() {
        guard.first_part();
        guard.judged(true);
    }
    if status.is_success() {
        note_answered(node, place, sent);
        quarantine::record_completion(node, req);
    }
    if runs == 0 {
        node.record_usage_start(req.account.as_ref());
    }
    node.backends.keep(place, answer.connection, &answer.keep_alive);
    Ok(passed_on(status, &head.headers, AnswerBody::whole(whole)))
}
