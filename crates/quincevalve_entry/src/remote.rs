//! Finds answers that other entry VMs hold and mirrors them into local logs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use quincevalve_names::{ClientAccountName, Outcome, RequestId};
use quincevalve_peers::{AnswerPage, PageEnd};

use crate::{
    answer::{Answer, End, ServiceHead},
    refusal::{Refusal, RefusalKind},
    shared::Shared,
};

/// How long the other VM holds one read open while it has no new tokens.
const PAGE_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of searches before an answer counts as lost. A request that is being handed over is briefly on no VM.
const MAX_SEARCHES: u32 = 10;
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of VMs queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 8;

/// An answer held by another VM: the address of that VM and the first page read.
pub(crate) struct RemoteAnswer {
    pub(crate) address: SocketAddr,
    pub(crate) page: AnswerPage,
}

/// Searches the other entry VMs for a request.
pub(crate) async fn find(shared: &Shared, id: RequestId) -> Option<RemoteAnswer> {
    let peers = shared.peers();
    let addresses: Vec<_> = peers.lookup_order(id).into_iter().map(|it| it.address).collect();
    for batch in addresses.chunks(MAX_CONCURRENT_QUERIES) {
        let mut queries: FuturesUnordered<_> =
            batch.iter().map(|it| read_page(shared, *it, id, 0, Duration::ZERO)).collect();
        while let Some(found) = queries.next().await {
            // Skip a VM that has handed the request over; another one holds it.
            if let Some(found) = found.filter(|it| it.page.end != PageEnd::Moved) {
                return Some(found);
            }
        }
    }
    None
}

/// Searches for a request that must exist, repeatedly for as long as a hand-over may take.
pub(crate) async fn find_with_retries(shared: &Shared, id: RequestId) -> Option<RemoteAnswer> {
    for _ in 0..MAX_SEARCHES {
        if let Some(found) = find(shared, id).await {
            return Some(found);
        }
        shared.timer.after(SEARCH_INTERVAL).await;
    }
    None
}

async fn read_page(
    shared: &Shared,
    address: SocketAddr,
    id: RequestId,
    from: u32,
    wait: Duration,
) -> Option<RemoteAnswer> {
    let limit = wait + shared.settings.pacing.peer();
    let wait_ms = wait.as_millis() as u32;
    let call = shared.callers.call(address, limit, |client, cx| async move {
        client.read_answer(cx, id, from, wait_ms).await
    });
    let page = call.await.ok()??;
    Some(RemoteAnswer { address, page })
}

/// Mirrors an answer from another VM into a local log until it ends, also across further hand-overs.
pub(crate) async fn follow(shared: Arc<Shared>, answer: Arc<Answer>, found: RemoteAnswer) {
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
        page = match read_page(&shared, at, id, from, PAGE_POLL_TIMEOUT).await {
            Some(next) if next.page.end != PageEnd::Moved => Some(next.page),
            _ => match find_with_retries(&shared, id).await {
                Some(next) => {
                    at = next.address;
                    Some(next.page)
                }
                None => return answer.end(End::Refused(lost_refusal(id))),
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
    // A search reads from the first token; skip the tokens that the log already has.
    let stored = answer.next().0.saturating_sub(page.from) as usize;
    answer.push_tokens(page.tokens.iter().skip(stored).map(String::as_str));
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

fn lost_refusal(id: RequestId) -> Refusal {
    Refusal::new(RefusalKind::NoSuchRequest, Outcome::MayHaveRun).with_request(id)
}

/// Starts mirroring an answer that another VM holds, if it belongs to the account. Returns the local log and the first
/// page.
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
