//! Claim: may this VM dispatch the request, or is it a repeat?

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use quincevalve_inventory::Execution;
use quincevalve_ledger::{Claim as LedgerClaim, ClaimKey, Verdict};
use quincevalve_names::{Outcome, RequestId};

use tokio::sync::oneshot;

use crate::{
    answer::{Answer, End},
    answers::{KeyState, Known},
    attempt::serve,
    peer_service::settle_claim,
    pipe::Filter,
    refusal::{Refusal, RefusalKind},
    remote,
    request::{Accepted, Admitted, Claimed, Repeat},
    shared::Shared,
};

pub(crate) struct Claim {
    pub(crate) shared: Arc<Shared>,
}

impl Claim {
    /// Only a non-idempotent request under a caller's key needs a claim: without a key no other request
    /// can be its repeat, and this VM alone dispatches it.
    async fn settle(&self, accepted: Accepted) -> Result<Claimed, Refusal> {
        let request = &accepted.request;
        let key = request.key.as_ref().filter(|_| request.execution == Execution::NonIdempotent);
        let Some(key) = key else { return Ok(Claimed::New(accepted)) };
        let claim = LedgerClaim {
            key: ClaimKey::new(&request.account, key),
            request: request.id,
            fingerprint: request.fingerprint(),
            at: unix_seconds(),
        };
        let (tx, rx) = oneshot::channel();
        let settling = Self { shared: Arc::clone(&self.shared) };
        // A task of its own: a caller that goes away must not end a claim half-way. If the claim is
        // granted then, the request was accepted, and is run.
        tokio::spawn(async move {
            let shared = Arc::clone(&settling.shared);
            if let Err(Ok(Claimed::New(accepted))) = tx.send(settling.decide(accepted, claim).await)
            {
                serve(shared, accepted).await;
            }
        });
        let refusal = Refusal::new(RefusalKind::ClaimUnavailable, Outcome::MayHaveRun);
        rx.await.unwrap_or(Err(refusal))
    }

    async fn decide(&self, accepted: Accepted, claim: LedgerClaim) -> Result<Claimed, Refusal> {
        let verdict = self.ask(claim).await;
        if verdict == Verdict::Granted {
            return Ok(Claimed::New(accepted));
        }
        let decided = self.refuse_or_attach(&accepted, claim, verdict).await;
        // Repeats that came to this VM meanwhile wait at this answer: they get the same truth.
        let end = decided.as_ref().err().cloned().map_or(End::Moved, End::Refused);
        accepted.answer.end(end);
        self.shared.answers.forget(accepted.request.id);
        decided
    }

    async fn refuse_or_attach(
        &self,
        accepted: &Accepted,
        claim: LedgerClaim,
        verdict: Verdict,
    ) -> Result<Claimed, Refusal> {
        match verdict {
            Verdict::Taken { fingerprint, .. } if fingerprint != claim.fingerprint => {
                Err(Refusal::new(RefusalKind::KeyReused, Outcome::NotRun))
            }
            Verdict::Taken { request: first, .. } => self.attach(accepted, first).await,
            // The key may have run under another request, so `not-run` would be a lie.
            Verdict::Unsettled | Verdict::Granted => {
                let refusal = Refusal::new(RefusalKind::ClaimUnavailable, Outcome::MayHaveRun);
                Err(refusal.with_retry_after(UNSETTLED_RETRY).with_request(claim.request))
            }
        }
    }

    /// Asks the slot's owner, or settles it here if that is this VM or can't be asked.
    async fn ask(&self, claim: LedgerClaim) -> Verdict {
        let shared = &self.shared;
        let slot = claim.key.slot(shared.claims.settings().slots);
        let peers = shared.peers();
        if let Some(owner) = peers.slot_owner(slot, &shared.settings.name) {
            let limit = shared.claims.settings().claim_timeout;
            let call = shared.callers.call(owner.address, limit, |client, cx| async move {
                client.claim(cx, claim).await
            });
            match call.await {
                // The owner asked the store; asking again here would only make the caller wait twice.
                Ok(verdict) => return verdict,
                Err(error) => log::debug!("request={}: slot {slot}: {error}", claim.request),
            }
        }
        // Any VM may settle any claim: the same request under the same key is granted once more, and
        // to this VM only.
        settle_claim(shared, claim).await
    }

    async fn attach(&self, accepted: &Accepted, first: RequestId) -> Result<Claimed, Refusal> {
        let shape = accepted.request.shape;
        if let Some(known) = self.shared.answers.find(first) {
            return Ok(Claimed::Known(Repeat { answer: known.answer, shape }));
        }
        let account = &accepted.request.account;
        let attached = remote::attach(&self.shared, first, account).await;
        let (answer, _) = attached.ok_or_else(|| {
            Refusal::new(RefusalKind::AlreadyClaimed, Outcome::MayHaveRun).with_request(first)
        })?;
        Ok(Claimed::Known(Repeat { answer, shape }))
    }
}

const UNSETTLED_RETRY: Duration = Duration::from_secs(2);

fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |it| it.as_secs())
}

impl Filter<Admitted> for Claim {
    type Out = Claimed;
    type Error = Refusal;

    async fn apply(&self, admitted: Admitted) -> Result<Claimed, Refusal> {
        let Admitted { request, place } = admitted;
        let request = Arc::new(request);
        let answer = Arc::new(Answer::new(request.id));
        let known = Known { request: Arc::clone(&request), answer: Arc::clone(&answer) };
        match self.shared.answers.insert_unless_known(known) {
            KeyState::Free => {
                let accepted = Accepted { request, answer, place, resume_on: None };
                self.settle(accepted).await
            }
            KeyState::Same(first) => {
                Ok(Claimed::Known(Repeat { answer: first.answer, shape: request.shape }))
            }
            KeyState::Other => Err(Refusal::new(RefusalKind::KeyReused, Outcome::NotRun)),
        }
    }
}
