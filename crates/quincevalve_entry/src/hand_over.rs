//! Handing requests to other entry VMs, and taking theirs.

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

/// Hand-overs under way at once.
const AT_ONCE: usize = 64;
/// The longest wait for one request's right: the serving task gives it up at its next wake-up.
const RIGHT_LIMIT: Duration = Duration::from_millis(200);

/// This VM is taken back in `left`, in a wave with others: finishes what fits, hands over the rest.
pub(crate) async fn leave(shared: Arc<Shared>, left: Duration, wave: Vec<String>) {
    shared.leave();
    let deadline = shared.timer.now() + left;
    // Callers keep coming until the balancer has seen the readiness drop.
    let still_accepts = shared.settings.pacing.balancer().min(left / 4);
    shared.timer.after(still_accepts).await;
    shared.refuse();
    // Half of the notice is for finishing, the rest for sending and for what goes wrong then.
    let finish_until = shared.timer.now() + left / 4;
    wait_until_idle(&shared, finish_until).await;
    hand_over_all(&shared, deadline, &wave).await;
}

/// Waits until nothing runs, or `until`.
pub(crate) async fn wait_until_idle(shared: &Shared, until: TimePoint) {
    while !shared.answers.running().is_empty() && shared.timer.now() < until {
        shared.timer.after(IDLE_POLL).await;
    }
}

const IDLE_POLL: Duration = Duration::from_millis(20);

/// Hands over everything that runs and may go on elsewhere, and then the ended answers that a caller
/// may come back for.
pub(crate) async fn hand_over_all(shared: &Arc<Shared>, deadline: TimePoint, wave: &[String]) {
    let running = shared.answers.running();
    log::info!("{} running requests are handed over", running.len());
    let moves = running.into_iter().map(|it| hand_over_running(shared, it, wave));
    stream::iter(moves).buffer_unordered(AT_ONCE).collect::<()>().await;
    let ended = shared.answers.ended_with_key();
    let copies = ended.into_iter().map(|it| hand_over_ended(shared, it, deadline, wave));
    stream::iter(copies).buffer_unordered(AT_ONCE).collect::<()>().await;
}

async fn hand_over_running(shared: &Arc<Shared>, known: Known, wave: &[String]) {
    if !record_of(shared, &known).may_resume() {
        // A call that was sent and may not be repeated ends here or nowhere.
        return;
    }
    let taken = shared.timer.timeout(RIGHT_LIMIT, known.answer.request_release()).await;
    if taken != Some(true) {
        return;
    }
    // Only now is the record what it will stay: nothing here changes it any more.
    let record = record_of(shared, &known);
    let execution = match record.state {
        // Nothing was sent yet, or the engine knows the request by its id: never a second run of its
        // own, but two VMs that both send it would race. So the stricter rule holds for what is billed.
        RecordState::Waiting | RecordState::Dispatched { .. } => known.request.execution,
        RecordState::Complete | RecordState::MayHaveRun => Execution::Idempotent,
    };
    match send(shared, record, execution, wave).await {
        HandOverAction::Done { by } => follow_to(shared, &known, &by).await,
        HandOverAction::Keep => {
            known.answer.restore_ownership();
            go_on(shared, &known, None);
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
    send(shared, record, Execution::Idempotent, wave).await;
}

/// Sends a record as its core says, and returns how that ended.
async fn send(
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
    let order = HandOver { sender, id, record };
    let limit = shared.settings.pacing.peer().min(SEND_LIMIT);
    let call = shared
        .callers
        .call(address, limit, |client, cx| async move { client.hand_over(cx, order).await });
    match call.await {
        Ok(ReceiverVerdict::Take | ReceiverVerdict::TakenBefore) => SendOutcome::Taken,
        Ok(ReceiverVerdict::Refuse) => SendOutcome::Refused,
        Err(CallFailure::NotSent) => SendOutcome::NotSent,
        Err(CallFailure::Unknown) => SendOutcome::Unknown,
    }
}

const SEND_LIMIT: Duration = Duration::from_millis(250);

/// Callers that are connected here read on from the new place for as long as this VM lives.
async fn follow_to(shared: &Arc<Shared>, known: &Known, by: &EntryVmName) {
    log::debug!("request={} is at {by} now", known.request.id);
    let id = known.request.id;
    let answer = Arc::clone(&known.answer);
    shared.answers.mark_moved(id);
    if let Some(found) = remote::find(shared, id).await {
        tokio::spawn(remote::follow(Arc::clone(shared), answer, found));
    } else {
        answer.end(End::Moved);
    }
}

/// Goes on with a request that was sent to a server.
///
/// Failure: this VM doesn't know that server. Symptom: a billed run would be started a second time at
/// another one. Only the server itself can go on with the same run, so the truth is told instead.
fn go_on_at(shared: &Arc<Shared>, known: &Known, server: &BackendServerName) {
    let index = shared.router().find(server);
    if index.is_some() || known.request.execution == Execution::Idempotent {
        return go_on(shared, known, index);
    }
    let refusal = Refusal::new(RefusalKind::BackendFailed, Outcome::MayHaveRun);
    known.answer.end(End::Refused(refusal.with_request(known.request.id)));
    shared.answers.record_ended(known.request.id);
}

/// Goes on with a request here.
fn go_on(shared: &Arc<Shared>, known: &Known, resume_on: Option<ServerIndex>) {
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

/// Takes a record that another VM handed over.
pub(crate) fn take(shared: &Arc<Shared>, record: AnswerRecord) {
    let view = shared.view();
    let now = shared.timer.now();
    let arrived = TimePoint(now.as_micros().saturating_sub(record.age_ms * 1_000));
    let promise = view.inventory.class.get(&record.class).map(|it| it.promise);
    let Some(promise) = promise else {
        log::error!("request={}: class {} is unknown here", record.id, record.class);
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
        RecordState::Waiting => go_on(shared, &known, None),
        RecordState::Dispatched { server } => {
            answer.set_server(&server);
            go_on_at(shared, &known, &server);
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
