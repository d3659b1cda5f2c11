//! Hands requests over to other entry VMs and accepts theirs.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt, stream};
use quincevalve_inventory::Execution;
use quincevalve_names::{BackendServerName, EntryVmName, Outcome, TimePoint};
use quincevalve_peers::{CallFailure, HandOver};
use quincevalve_recovery::{
    AnswerRecord, HandOverAction, HandOverId, HandOverSender, ReceiverVerdict, RecordState,
    SendOutcome,
};
use quincevalve_routing::ServerIndex;

use crate::{
    answer::{Answer, End, ServiceHead},
    answers::Known,
    attempt::serve,
    refusal::{Refusal, RefusalKind},
    remote,
    request::{Accepted, Identified},
    shared::Shared,
};

/// Maximum number of concurrent hand-overs.
const MAX_CONCURRENT_HAND_OVERS: usize = 64;
/// Timeout for the serving task to release the ownership of a request, which it does when it next wakes up.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(200);

/// Shuts this VM down after a reclaim notice that leaves it `left`, as part of a reclaim wave: requests that can
/// finish in time do, the rest are handed over.
pub(crate) async fn leave(shared: Arc<Shared>, left: Duration, wave: Vec<String>) {
    shared.leave();
    let deadline = shared.timer.now() + left;
    // The load balancer keeps sending requests until it has noticed that the VM is no longer ready.
    let accept_period = shared.settings.pacing.balancer().min(left / 4);
    shared.timer.after(accept_period).await;
    shared.refuse();
    // At most half of the notice period goes to accepting and finishing requests; the rest is for hand-overs and
    // their retries.
    let finish_until = shared.timer.now() + left / 4;
    wait_until_idle(&shared, finish_until).await;
    hand_over_all(&shared, deadline, &wave).await;
}

/// Waits until no request is running, but no longer than `until`.
pub(crate) async fn wait_until_idle(shared: &Shared, until: TimePoint) {
    while !shared.answers.running().is_empty() && shared.timer.now() < until {
        shared.timer.after(IDLE_POLL_INTERVAL).await;
    }
}

const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Hands over all running requests that may resume elsewhere, then the completed answers that a caller may request
/// again.
pub(crate) async fn hand_over_all(shared: &Arc<Shared>, deadline: TimePoint, wave: &[String]) {
    let running = shared.answers.running();
    log::info!("handing over {} running requests", running.len());
    let hand_overs = running.into_iter().map(|it| hand_over_running(shared, it, wave));
    stream::iter(hand_overs).buffer_unordered(MAX_CONCURRENT_HAND_OVERS).collect::<()>().await;
    let ended = shared.answers.ended_with_key();
    let copies = ended.into_iter().map(|it| hand_over_ended(shared, it, deadline, wave));
    stream::iter(copies).buffer_unordered(MAX_CONCURRENT_HAND_OVERS).collect::<()>().await;
}

async fn hand_over_running(shared: &Arc<Shared>, known: Known, wave: &[String]) {
    if !record_of(shared, &known).may_resume() {
        // A dispatched call that must not be repeated can only finish on this VM.
        return;
    }
    let taken = shared.timer.timeout(RELEASE_TIMEOUT, known.answer.request_release()).await;
    if taken != Some(true) {
        return;
    }
    // Build the record only after the release: nothing else on this VM changes the answer from now on.
    let record = record_of(shared, &known);
    let execution = match record.state {
        // The request was not dispatched yet, or the engine deduplicates it by its id. It never runs twice on one
        // engine, but two VMs that both dispatch it would race, so the execution rule of the request applies.
        RecordState::Waiting | RecordState::Dispatched { .. } => known.request.execution,
        RecordState::Complete | RecordState::MayHaveRun => Execution::Idempotent,
    };
    match send_to_candidates(shared, record, execution, wave).await {
        HandOverAction::Done { by } => follow_new_owner(shared, &known, &by).await,
        HandOverAction::Keep => {
            known.answer.restore_ownership();
            resume_request(shared, &known, None);
        }
        HandOverAction::MayHaveRun | HandOverAction::Send { .. } => {
            let refusal = Refusal::new(RefusalKind::BackendFailed, Outcome::MayHaveRun);
            known.answer.end(End::Refused(refusal.with_request(known.request.id)));
        }
    }
}

async fn hand_over_ended(shared: &Arc<Shared>, known: Known, deadline: TimePoint, wave: &[String]) {
    if shared.timer.now() >= deadline {
        return;
    }
    let record = record_of(shared, &known);
    send_to_candidates(shared, record, Execution::Idempotent, wave).await;
}

/// Sends a record to candidates as `HandOverSender` directs and returns its final action.
async fn send_to_candidates(
    shared: &Arc<Shared>,
    record: AnswerRecord,
    execution: Execution,
    wave: &[String],
) -> HandOverAction {
    let candidates = shared.peers().candidates(wave);
    let id = shared.new_hand_over_id();
    let mut core = HandOverSender::new(id, record.id, execution, &candidates);
    let mut action = core.start();
    while let HandOverAction::Send { to, id } = action {
        let outcome = send_once(shared, &to, id, record.clone()).await;
        action = core.handle_send_outcome(outcome);
    }
    action
}

async fn send_once(
    shared: &Shared,
    to: &EntryVmName,
    id: HandOverId,
    record: AnswerRecord,
) -> SendOutcome {
    let Some(address) = shared.peers().find(to).map(|it| it.address) else {
        return SendOutcome::NotSent;
    };
    let sender = shared.settings.name.clone();
    let hand_over = HandOver { sender, id, record };
    let limit = shared.settings.pacing.peer().min(SEND_TIMEOUT);
    let call = shared
        .callers
        .call(address, limit, |client, cx| async move { client.hand_over(cx, hand_over).await });
    match call.await {
        Ok(ReceiverVerdict::Take | ReceiverVerdict::TakenBefore) => SendOutcome::Taken,
        Ok(ReceiverVerdict::Refuse) => SendOutcome::Refused,
        Err(CallFailure::NotSent) => SendOutcome::NotSent,
        Err(CallFailure::Unknown) => SendOutcome::Unknown,
    }
}

const SEND_TIMEOUT: Duration = Duration::from_millis(250);

/// Relays the answer from its new VM to callers that are still connected here, for as long as this VM runs.
async fn follow_new_owner(shared: &Arc<Shared>, known: &Known, by: &EntryVmName) {
    log::debug!("request={} was handed over to {by}", known.request.id);
    let id = known.request.id;
    let answer = Arc::clone(&known.answer);
    shared.answers.mark_moved(id);
    if let Some(found) = remote::find(shared, id).await {
        tokio::spawn(remote::follow(Arc::clone(shared), answer, found));
    } else {
        answer.end(End::Moved);
    }
}

/// Resumes a request that was already dispatched to a server.
///
/// Only that server can resume the same run. If this VM doesn't know the server, a non-idempotent request is
/// refused as "may have run", because dispatching it to another server would start a billed run a second time.
fn resume_dispatched(shared: &Arc<Shared>, known: &Known, server: &BackendServerName) {
    let index = shared.router().find(server);
    if index.is_some() || known.request.execution == Execution::Idempotent {
        return resume_request(shared, known, index);
    }
    let refusal = Refusal::new(RefusalKind::BackendFailed, Outcome::MayHaveRun);
    known.answer.end(End::Refused(refusal.with_request(known.request.id)));
    shared.answers.record_ended(known.request.id);
}

/// Spawns the task that serves a request on this VM.
fn resume_request(shared: &Arc<Shared>, known: &Known, resume_on: Option<ServerIndex>) {
    let accepted = Accepted {
        permit: shared.admission.uncounted_permit(&known.request),
        request: Arc::clone(&known.request),
        answer: Arc::clone(&known.answer),
        resume_on,
    };
    tokio::spawn(serve(Arc::clone(shared), accepted));
}

fn record_of(shared: &Shared, known: &Known) -> AnswerRecord {
    let Known { request, answer } = known;
    let server = answer.server();
    let age = shared.timer.now() - request.arrived;
    answer.read(|it| {
        let state = match (it.end(), server) {
            (Some(End::Whole), _) => RecordState::Complete,
            (Some(_), _) => RecordState::MayHaveRun,
            (None, Some(server)) => RecordState::Dispatched { server },
            (None, None) => RecordState::Waiting,
        };
        let head = it.head();
        AnswerRecord {
            id: request.id,
            account: request.account.clone(),
            class: request.class.clone(),
            key: request.key.clone(),
            execution: request.execution,
            work: request.work.clone(),
            form: request.shape.into(),
            state,
            tokens: it
                .tokens_from(quincevalve_names::Sequence(0))
                .map(|it| it.1.to_owned())
                .collect(),
            status: head.map_or(0, |it| it.status),
            headers: head.map(|it| it.headers.clone()).unwrap_or_default(),
            bytes: it.chunks_from(0).concat().into(),
            age_ms: age.as_millis() as u64,
        }
    })
}

/// Accepts a record that another VM handed over and resumes its request.
pub(crate) fn accept_record(shared: &Arc<Shared>, record: AnswerRecord) {
    let view = shared.view();
    let now = shared.timer.now();
    let arrived = TimePoint(now.as_micros().saturating_sub(record.age_ms * 1_000));
    let promise = view.inventory.class.get(&record.class).map(|it| it.promise);
    let Some(promise) = promise else {
        log::error!(
            "request={}: class {} is not in the inventory of this VM",
            record.id,
            record.class
        );
        return;
    };
    let request = Arc::new(Identified {
        id: record.id,
        account: record.account,
        class: record.class,
        promise,
        execution: record.execution,
        key: record.key,
        work: record.work,
        shape: record.form.into(),
        arrived,
        view,
    });
    let answer = Arc::new(Answer::new(record.id));
    answer.push_tokens(record.tokens.iter().map(String::as_str));
    let known = Known { request, answer };
    shared.answers.insert(known.clone());
    let answer = &known.answer;
    match record.state {
        RecordState::Waiting => resume_request(shared, &known, None),
        RecordState::Dispatched { server } => {
            answer.set_server(&server);
            resume_dispatched(shared, &known, &server);
        }
        RecordState::Complete => {
            if record.status != 0 {
                answer.set_head(ServiceHead { status: record.status, headers: record.headers });
                answer.push_bytes(record.bytes);
            }
            answer.end(End::Whole);
            shared.answers.record_ended(known.request.id);
        }
        RecordState::MayHaveRun => {
            let refusal = Refusal::new(RefusalKind::BackendFailed, Outcome::MayHaveRun);
            answer.end(End::Refused(refusal.with_request(known.request.id)));
            shared.answers.record_ended(known.request.id);
        }
    }
}
