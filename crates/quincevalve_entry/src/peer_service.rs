//! The RPC service that an entry VM offers to its peers.

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

/// Maximum number of tokens in one page.
const MAX_PAGE_TOKENS: usize = 4_096;

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
            hand_over::accept_record(&self.shared, record);
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
            // The local log only mirrors the VM that now owns the request. Answering from it could make two VMs follow
            // each other.
            return None;
        }
        let known = self.shared.answers.find(id)?;
        let wait = Duration::from_millis(u64::from(wait_ms));
        let page = self.shared.timer.timeout(wait, next_page(&known, from)).await;
        Some(page.unwrap_or_else(|| known.answer.read(|it| page_of(&known, it, from))))
    }
}

/// Settles a claim in a slot that this VM owns.
pub(crate) async fn settle_claim(shared: &Shared, claim: Claim) -> Verdict {
    shared.claims.claim(claim).await.unwrap_or_else(|error| {
        log::error!("{error}");
        Verdict::Unsettled
    })
}

/// Waits until the answer has tokens after `from` or has ended, and returns that page.
async fn next_page(known: &Known, from: u32) -> AnswerPage {
    std::future::poll_fn(|cx| {
        known.answer.poll_read(cx, |it| {
            let has_update = it.end().is_some() || it.token_count() > from;
            has_update.then(|| page_of(known, it, from))
        })
    })
    .await
}

fn page_of(known: &Known, state: &AnswerState, from: u32) -> AnswerPage {
    let head = state.head();
    let texts = state.tokens_from(Sequence(from)).take(MAX_PAGE_TOKENS);
    let tokens: Vec<_> = texts.map(|it| it.1.to_owned()).collect();
    let is_last_page = from as usize + tokens.len() >= state.token_count() as usize;
    let end = match state.end() {
        Some(End::Whole) if is_last_page => PageEnd::Whole,
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
