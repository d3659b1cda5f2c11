//! Claim: decides whether this VM may dispatch the request, or whether it is a repeat of another one.

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
    /// Obtains the claim of a non-idempotent request with an idempotency key; other requests need none. Without a key
    /// no other request can be a repeat, and only this VM dispatches it.
    async fn obtain_claim(&self, accepted: Accepted) -> Result<Claimed, Refusal> {
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
        let filter = Self { shared: Arc::clone(&self.shared) };
        // A separate task, so that a caller that disconnects doesn't interrupt the claim. If the claim is granted after
        // that, the request is accepted and runs.
        tokio::spawn(async move {
            let shared = Arc::clone(&filter.shared);
            if let Err(Ok(Claimed::New(accepted))) =
                tx.send(filter.resolve_claim(accepted, claim).await)
            {
                serve(shared, accepted).await;
            }
        });
        let refusal = Refusal::new(RefusalKind::ClaimUnavailable, Outcome::MayHaveRun);
        rx.await.unwrap_or(Err(refusal))
    }

    async fn resolve_claim(
        &self,
        accepted: Accepted,
        claim: LedgerClaim,
    ) -> Result<Claimed, Refusal> {
        let verdict = self.request_verdict(claim).await;
        if verdict == Verdict::Granted {
            return Ok(Claimed::New(accepted));
        }
        let result = self.refuse_or_attach(&accepted, claim, verdict).await;
        // Repeats that arrived at this VM meanwhile wait for this answer and get the same result.
        let end = result.as_ref().err().cloned().map_or(End::Moved, End::Refused);
        accepted.answer.end(end);
        self.shared.answers.forget(accepted.request.id);
        result
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
            // Another request with this key may have run, so the outcome can't be `not-run`.
            Verdict::Unsettled | Verdict::Granted => {
                let refusal = Refusal::new(RefusalKind::ClaimUnavailable, Outcome::MayHaveRun);
                Err(refusal.with_retry_after(UNSETTLED_RETRY_AFTER).with_request(claim.request))
            }
        }
    }

    /// Requests the verdict from the slot's owner. Decides the claim locally if this VM is the owner or the owner is
    /// unreachable.
    async fn request_verdict(&self, claim: LedgerClaim) -> Verdict {
        let shared = &self.shared;
        let slot = claim.key.slot(shared.claims.settings().slots);
        let peers = shared.peers();
        if let Some(owner) = peers.slot_owner(slot, &shared.settings.name) {
            let timeout = shared.claims.settings().claim_timeout;
            let call = shared.callers.call(owner.address, timeout, |client, cx| async move {
                client.claim(cx, claim).await
            });
            match call.await {
                // The owner has already queried the store; a second query would only double the caller's wait.
                Ok(verdict) => return verdict,
                Err(error) => log::debug!("request={}: slot {slot}: {error}", claim.request),
            }
        }
        // Any VM may decide any claim: a second claim is granted again only to the same request under the same key, and
        // only this VM holds that request.
        settle_claim(shared, claim).await
    }

    /// Attaches to the answer of the first request, on this VM or another.
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

/// `Retry-After` of a refusal because the claim is undecided.
const UNSETTLED_RETRY_AFTER: Duration = Duration::from_secs(2);

fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |it| it.as_secs())
}

impl Filter<Admitted> for Claim {
    type Out = Claimed;
    type Error = Refusal;

    async fn apply(&self, admitted: Admitted) -> Result<Claimed, Refusal> {
        let Admitted { request, permit } = admitted;
        let request = Arc::new(request);
        let answer = Arc::new(Answer::new(request.id));
        let known = Known { request: Arc::clone(&request), answer: Arc::clone(&answer) };
        match self.shared.answers.insert_unless_known(known) {
            KeyState::Free => {
                let accepted = Accepted { request, answer, permit, resume_on: None };
                self.obtain_claim(accepted).await
            }
            KeyState::Same(first) => {
                Ok(Claimed::Known(Repeat { answer: first.answer, shape: request.shape }))
            }
            KeyState::Other => Err(Refusal::new(RefusalKind::KeyReused, Outcome::NotRun)),
        }
    }
}
