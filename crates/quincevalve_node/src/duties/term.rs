//! Calls to the store that begin, keep and end a term of the duties, as the core decides.

use std::time::Duration;

use quincevalve_forwarding::duty::{ClaimRead, Confirmation, LeaseStep, NotNow, Term, TermEnd};
use quincevalve_names::{FencingNumber, TimePoint};
use tokio::time::sleep;

use super::POLL_INTERVAL;
use crate::{
    clock,
    node::Node,
    ports::{Commit, LeaseId, PlatformStore, StoreError, StoreRevision},
    store::view::HOLDER_KEY,
};

/// Store key of the current term, from which the fencing number comes. It has no lease, so the number never restarts.
const TERM_KEY: &str = "duty/term";
/// Prefix of the keys of claims; the term's number follows.
const CLAIM_KEYS: &str = "duty/claim/";
/// Number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 4;
/// Milliseconds by which this VM's own clock may be ahead of the estimate to count.
const MAX_CLOCK_LEAD_MS: i64 = 10_000;
/// Delay before the claim is read again after a failed call.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(200);

fn claim_key(number: FencingNumber) -> String {
    format!("{CLAIM_KEYS}{}", number.0)
}

/// Records the newest era that this VM or another one knows.
pub(super) fn record_era<S>(node: &Node, store: &S)
where
    S: PlatformStore,
{
    let era = store.era().max(node.store_view.borrow().era());
    node.duty.borrow_mut().record_era(era, clock::now());
}

/// Returns the stored term and the revision at which it was read.
async fn read_term<S>(node: &Node, store: &S) -> Result<(Term, StoreRevision), StoreError>
where
    S: PlatformStore,
{
    let item = store.get(TERM_KEY).await?;
    record_era(node, store);
    let revision = item.as_ref().map_or(StoreRevision::ABSENT, |it| it.revision);
    let term = item.and_then(|it| serde_json::from_slice(&it.value).ok()).unwrap_or_default();
    Ok((term, revision))
}

/// Returns the wall-clock time in milliseconds since 1970, rather too late than too early.
///
/// A VM that was suspended reads digests that waited meanwhile, and its estimate is as old as they are for some seconds.
fn latest_wall_ms(node: &Node) -> Option<i64> {
    let estimate_ms = node.wall_clock.borrow().estimate_ms(clock::now())?;
    let own_ms = clock::wall_ms().min(estimate_ms.saturating_add(MAX_CLOCK_LEAD_MS));
    Some(estimate_ms.max(own_ms))
}

/// Takes the duties over. Returns `None` if it has, or when this VM may do so.
pub(super) async fn take_over<S>(node: &Node, store: &S) -> Result<Option<TimePoint>, StoreError>
where
    S: PlatformStore,
{
    let taken = try_take_over(node, store).await;
    node.duty.borrow_mut().abandon_takeover();
    taken
}

async fn try_take_over<S>(node: &Node, store: &S) -> Result<Option<TimePoint>, StoreError>
where
    S: PlatformStore,
{
    let me = node.settings.name.as_str();
    let (before, revision) = read_term(node, store).await?;
    let Some(wall_ms) = latest_wall_ms(node) else {
        log::debug!(error = "no estimate of wall-clock time"; "duty-not-taken");
        return Ok(Some(clock::now() + POLL_INTERVAL));
    };
    let begun = {
        let mut duty = node.duty.borrow_mut();
        let absent = StoreRevision::in_era(duty.era(), 0);
        let read_at = if revision == StoreRevision::ABSENT { absent } else { revision };
        duty.begin_takeover(&before, read_at.0, clock::now(), wall_ms)
    };
    let takeover = match begun {
        Ok(takeover) => takeover,
        Err(NotNow::Before(until)) => return Ok(Some(until)),
        Err(NotNow::EarlierEra) => return Err(StoreError::Conflict),
    };
    let lease = store.grant(node.settings.duties.lease).await?;
    let term = takeover.term.clone();
    let value = serde_json::to_vec(&term)
        .map_err(|error| StoreError::Unreadable { what: error.to_string() })?;
    let held_under = |key: String| (key, me.as_bytes().to_vec(), Some(lease));
    let commit = Commit {
        expected: vec![
            (HOLDER_KEY.to_owned(), StoreRevision::ABSENT),
            (TERM_KEY.to_owned(), revision),
        ],
        puts: vec![
            held_under(HOLDER_KEY.to_owned()),
            held_under(claim_key(term.number)),
            (TERM_KEY.to_owned(), value, None),
        ],
        ..Commit::default()
    };
    store.commit(&commit).await?;
    record_era(node, store);
    let lost_terms = takeover.may_have_lost_terms;
    if !node.duty.borrow_mut().complete_takeover(takeover, lease.0, clock::now()) {
        return Err(StoreError::Conflict);
    }
    node.peers.borrow_mut().set_holder(Some(me.to_owned()));
    let (era, lost_until_ms) = (node.duty.borrow().era(), term.lost_terms_until_ms);
    let number = term.number.0;
    log::info!(number, era, before = before.holder, lost_terms, lost_until_ms; "duty-taken");
    Ok(None)
}

/// Keeps the term until it is over, and returns why.
pub(super) async fn keep_term<S>(node: &Node, store: &S) -> TermEnd
where
    S: PlatformStore,
{
    let period = node.settings.duties.lease / RENEWALS_PER_LEASE;
    loop {
        record_era(node, store);
        let step = node.duty.borrow_mut().next_step(clock::now());
        let pause = match step {
            LeaseStep::Over(why) => return why,
            LeaseStep::ReadClaim => read_claim(node, store).await,
            LeaseStep::Renew => match renew(node, store).await {
                Ok(Some(_)) => period,
                Ok(None) => Duration::ZERO,
                Err(error) => {
                    log::debug!(error:% = error; "duty-not-renewed");
                    period
                }
            },
        };
        sleep(pause).await;
    }
}

/// Reads the claim after a takeover, and returns the time until the next step.
async fn read_claim<S>(node: &Node, store: &S) -> Duration
where
    S: PlatformStore,
{
    let Some(number) = node.duty.borrow().held_number() else { return Duration::ZERO };
    let found = match store.get(&claim_key(number)).await {
        Ok(found) => found,
        Err(error) => {
            log::debug!(number = number.0, error:% = error; "duty-claim-not-read");
            return CLAIM_RETRY_INTERVAL;
        }
    };
    record_era(node, store);
    let read =
        found.map(|it| ClaimRead { revision: it.revision.0, lease: it.lease.map_or(0, |it| it.0) });
    let mut duty = node.duty.borrow_mut();
    let is_found = duty.record_claim(read);
    log::info!(number = number.0, era = duty.era(), is_found; "duty-claim-read");
    Duration::ZERO
}

/// Renews the lease; returns `None` if the term is over.
async fn renew<S>(node: &Node, store: &S) -> Result<Option<Confirmation>, StoreError>
where
    S: PlatformStore,
{
    let Some(lease) = node.duty.borrow().lease() else { return Ok(None) };
    let (sent_at, sent_era) = (clock::now(), node.duty.borrow().era());
    let renewed = store.renew(LeaseId(lease)).await;
    record_era(node, store);
    let now = clock::now();
    let mut duty = node.duty.borrow_mut();
    let (era, is_over) = (duty.era(), !duty.is_held(now));
    if is_over {
        let took_ms = now.since(sent_at).as_millis() as u64;
        log::info!(sent_era, era, took_ms, is_renewed = renewed.is_ok(); "duty-renewed-late");
    }
    match renewed {
        Ok(()) => Ok(duty.record_renewal(sent_at, now)),
        Err(StoreError::LeaseEnded) => {
            duty.end(TermEnd::LeaseEnded);
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

/// Returns the store's confirmation of the term for one call; `None` if this VM may not act, or isn't confirmed.
pub(super) async fn confirm_term<S>(node: &Node, store: &S) -> Option<Confirmation>
where
    S: PlatformStore,
{
    let asked_at = clock::now();
    let number = node.duty.borrow().fencing_number(asked_at)?;
    let why = match renew(node, store).await {
        Ok(Some(confirmation)) => return Some(confirmation),
        Ok(None) => "not held".to_owned(),
        Err(error) => error.to_string(),
    };
    let took_ms = clock::now().since(asked_at).as_millis() as u64;
    log::info!(number = number.0, era = node.duty.borrow().era(), took_ms, why; "duty-unconfirmed");
    None
}

/// Returns the key and revision that a write of the holder expects, so that it takes effect only while the term is held;
/// `None` if this VM may not act or hasn't read its claim yet.
pub(super) fn claim_to_expect(node: &Node) -> Option<(String, StoreRevision)> {
    node.duty.borrow().fencing_number(clock::now())?;
    held_claim(node)
}

/// Returns the same for a write that leads to no call outside the store, also while this VM waits before it acts.
pub(super) fn held_claim(node: &Node) -> Option<(String, StoreRevision)> {
    let (number, revision) = node.duty.borrow().claim(clock::now())?;
    Some((claim_key(number), StoreRevision(revision)))
}

/// Removes the keys of the holder, if the claim has this revision.
pub(super) async fn release<S>(
    store: &S,
    (number, revision): (FencingNumber, u64),
) -> Result<StoreRevision, StoreError>
where
    S: PlatformStore,
{
    let claim = claim_key(number);
    let commit = Commit {
        expected: vec![(claim.clone(), StoreRevision(revision))],
        removes: vec![HOLDER_KEY.to_owned(), claim],
        ..Commit::default()
    };
    store.commit(&commit).await
}

/// Removes keys that name this VM as the holder although it isn't. Their lease may have the number of one that another
/// client keeps, and nobody could take the duties over.
pub(super) async fn remove_own_keys<S>(node: &Node, store: &S) -> Result<(), StoreError>
where
    S: PlatformStore,
{
    let me = node.settings.name.as_str();
    let names_me = node.peers.borrow().holder() == Some(me);
    if !names_me || !node.duty.borrow().may_remove_own_keys(clock::now()) {
        return Ok(());
    }
    let (term, _) = read_term(node, store).await?;
    if term.holder != me {
        return Ok(());
    }
    let Some(claim) = store.get(&claim_key(term.number)).await? else { return Ok(()) };
    release(store, (term.number, claim.revision.0)).await?;
    log::info!(number = term.number.0; "duty-keys-removed");
    Ok(())
}
