//! Answers that other entry VMs have: finding them, and following them here.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use quincevalve_names::{ClientAccountName, Outcome, RequestId};
use quincevalve_peers::{AnswerPage, PageEnd};

use crate::{
    answer::{Answer, End, ServiceHead},
    refusal::{Refusal, RefusalKind},
    shared::Shared,
};

/// How long one read waits at the other VM for something new.
const PAGE_WAIT: Duration = Duration::from_secs(1);
/// Searches before an answer counts as lost: a hand-over takes a moment to arrive.
const SEARCHES: u32 = 10;
const SEARCH_WAIT: Duration = Duration::from_millis(50);
/// VMs that are asked at once.
const ASKED_AT_ONCE: usize = 8;

/// An answer at another VM.
pub(crate) struct Found {
    pub(crate) address: SocketAddr,
    pub(crate) page: AnswerPage,
}

/// Looks for a request at the other entry VMs.
pub(crate) async fn find(shared: &Shared, id: RequestId) -> Option<Found> {
    let peers = shared.peers();
    let places: Vec<_> = peers.places_of(id).into_iter().map(|it| it.address).collect();
    for batch in places.chunks(ASKED_AT_ONCE) {
        let mut asked: FuturesUnordered<_> =
            batch.iter().map(|it| ask(shared, *it, id, 0, Duration::ZERO)).collect();
        while let Some(found) = asked.next().await {
            // A VM that handed the request on is passed over for the one that has it.
            if let Some(found) = found.filter(|it| it.page.end != PageEnd::Moved) {
                return Some(found);
            }
        }
    }
    None
}

/// Looks for a request that must be somewhere, for as long as a hand-over may take.
pub(crate) async fn find_patiently(shared: &Shared, id: RequestId) -> Option<Found> {
    for _ in 0..SEARCHES {
        if let Some(found) = find(shared, id).await {
            return Some(found);
        }
        shared.timer.after(SEARCH_WAIT).await;
    }
    None
}

async fn ask(
    shared: &Shared,
    address: SocketAddr,
    id: RequestId,
    from: u32,
    wait: Duration,
) -> Option<Found> {
    let limit = wait + shared.settings.pacing.peer();
    let wait_ms = wait.as_millis() as u32;
    let call = shared.callers.call(address, limit, |client, cx| async move {
        client.read_answer(cx, id, from, wait_ms).await
    });
    let page = call.await.ok()??;
    Some(Found { address, page })
}

/// Follows an answer at another VM into a local log, wherever it moves, until it ends.
pub(crate) async fn follow(shared: Arc<Shared>, answer: Arc<Answer>, found: Found) {
    let id = answer.id();
    let mut at = found.address;
    let mut page = Some(found.page);
    loop {
        if let Some(page) = page.take() {
            append(&answer, &page);
            match end_of(&page, id) {
                Some(End::Moved) | None => {}
                Some(end) => return answer.end(end),
            }
        }
        let from = answer.next().0;
        page = match ask(&shared, at, id, from, PAGE_WAIT).await {
            Some(next) if next.page.end != PageEnd::Moved => Some(next.page),
            _ => match find_patiently(&shared, id).await {
                Some(next) => {
                    at = next.address;
                    Some(next.page)
                }
                None => return answer.end(End::Refused(lost(id))),
            },
        };
    }
}

fn append(answer: &Answer, page: &AnswerPage) {
    if page.is_call {
        if page.end == PageEnd::Whole {
            answer.set_head(ServiceHead { status: page.status, headers: page.headers.clone() });
            answer.push_bytes(page.bytes.clone().into());
        }
        return;
    }
    // A search asks from the start; what is in the log already must not be added again.
    let known = answer.next().0.saturating_sub(page.from) as usize;
    answer.push_tokens(page.tokens.iter().skip(known).map(String::as_str));
}

fn end_of(page: &AnswerPage, id: RequestId) -> Option<End> {
    let refused =
        |outcome| End::Refused(Refusal::new(RefusalKind::BackendFailed, outcome).with_request(id));
    match page.end {
        PageEnd::Open => None,
        PageEnd::Whole => Some(End::Whole),
        PageEnd::NotRun => Some(refused(Outcome::NotRun)),
        PageEnd::MayHaveRun => Some(refused(Outcome::MayHaveRun)),
        PageEnd::Moved => Some(End::Moved),
    }
}

fn lost(id: RequestId) -> Refusal {
    Refusal::new(RefusalKind::NoSuchRequest, Outcome::MayHaveRun).with_request(id)
}

/// A local log of an answer that another VM has, if it belongs to the account.
pub(crate) async fn attach(
    shared: &Arc<Shared>,
    id: RequestId,
    account: &ClientAccountName,
) -> Option<(Arc<Answer>, AnswerPage)> {
    let found = find(shared, id).await.filter(|it| it.page.account == *account)?;
    let first = found.page.clone();
    let answer = Arc::new(Answer::new(id));
    tokio::spawn(follow(Arc::clone(shared), Arc::clone(&answer), found));
    Some((answer, first))
}
