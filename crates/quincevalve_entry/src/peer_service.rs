//! What this entry VM does for its peers.

use std::{sync::Arc, time::Duration};

use quincevalve_ledger::{Claim, Verdict};
use quincevalve_names::{Outcome, RequestId, Sequence};
use quincevalve_peers::{AnswerPage, EntryPeer, HandOver, PageEnd};
use quincevalve_recovery::{ReceiverVerdict, Work};
use tarpc::context::Context;

use crate::{
    answer::{AnswerState, End},
    answers::Known,
    hand_over,
    shared::Shared,
};

/// Tokens in one page at most.
const PAGE_TOKENS: usize = 4_096;

#[derive(Clone)]
pub(crate) struct PeerService {
    pub(crate) shared: Arc<Shared>,
}

impl EntryPeer for PeerService {
    async fn claim(self, _: Context, claim: Claim) -> Verdict {
        settle_claim(&self.shared, claim).await
    }

    async fn hand_over(self, _: Context, order: HandOver) -> ReceiverVerdict {
        let HandOver { sender, id, record } = order;
        let verdict = self.shared.receiver().receive(&sender, id, record.id);
        if verdict == ReceiverVerdict::Take {
            hand_over::take(&self.shared, record);
        }
        verdict
    }

    async fn read_answer(
        self,
        _: Context,
        id: RequestId,
        from: u32,
        wait_ms: u32,
    ) -> Option<AnswerPage> {
        if self.shared.answers.is_moved(id) {
            // The log here only follows the VM that has the request; asking it would go in a circle.
            return None;
        }
        let known = self.shared.answers.find(id)?;
        let wait = Duration::from_millis(u64::from(wait_ms));
        let page = self.shared.timer.timeout(wait, next_page(&known, from)).await;
        Some(page.unwrap_or_else(|| known.answer.read(|it| page_of(&known, it, from))))
    }
}

/// Settles a claim in this VM's own slots.
pub(crate) async fn settle_claim(shared: &Shared, claim: Claim) -> Verdict {
    shared.claims.claim(claim).await.unwrap_or_else(|error| {
        log::error!("{error}");
        Verdict::Unsettled
    })
}

/// Waits for something after `from`, or the end.
async fn next_page(known: &Known, from: u32) -> AnswerPage {
    std::future::poll_fn(|cx| {
        known.answer.poll_read(cx, |it| {
            let has_news = it.end().is_some() || it.token_count() > from;
            has_news.then(|| page_of(known, it, from))
        })
    })
    .await
}

fn page_of(known: &Known, state: &AnswerState, from: u32) -> AnswerPage {
    let head = state.head();
    let texts = state.tokens_from(Sequence(from)).take(PAGE_TOKENS);
    let tokens: Vec<_> = texts.map(|it| it.1.to_owned()).collect();
    let is_all = from as usize + tokens.len() >= state.token_count() as usize;
    let end = match state.end() {
        Some(End::Whole) if is_all => PageEnd::Whole,
        Some(End::Refused(it)) if it.outcome == Outcome::NotRun => PageEnd::NotRun,
        Some(End::Refused(_)) => PageEnd::MayHaveRun,
        Some(End::Moved) => PageEnd::Moved,
        Some(End::Whole) | None => PageEnd::Open,
    };
    AnswerPage {
        account: known.request.account.clone(),
        fingerprint: known.request.fingerprint(),
        is_call: matches!(known.request.work, Work::Call(_)),
        from,
        tokens,
        status: head.map_or(0, |it| it.status),
        headers: head.map(|it| it.headers.clone()).unwrap_or_default(),
        bytes: if end == PageEnd::Whole { state.chunks_from(0).concat() } else { Vec::new() },
        end,
    }
}
