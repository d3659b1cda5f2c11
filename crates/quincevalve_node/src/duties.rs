//! Duties that one entry VM performs for all: usage reports, server orders and roll-outs.
//!
//! The holder is elected by a key of the store under a lease; its fencing number grows with each change of holder.

pub(crate) mod orders;
pub(crate) mod reports;
mod rollouts;

use std::{cell::Cell, rc::Rc, time::Duration};

use quincevalve_forwarding::duty::Term;
use quincevalve_names::TimePoint;
use rand::RngExt;
use tokio::{sync::watch, time::sleep};

use crate::{
    clock,
    node::Node,
    ports::{CloudApi, Commit, DutyHolder, LeaseId, PlatformStore, StoreError, StoreRevision},
    store::view::HOLDER_KEY,
};

use self::{orders::order_servers, reports::report_usage, rollouts::run_rollouts};

/// Store key of the current term, from which the fencing number comes. It has no lease, so the number never restarts.
const TERM_KEY: &str = "duty/term";
/// Number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 4;
/// Poll interval of a VM that doesn't hold the duties, and of the report task.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum random delay in milliseconds added to each poll, so that VMs don't attempt the takeover at once.
const MAX_JITTER_MS: u64 = 300;

/// Takes the duties over whenever no other VM holds them, and performs them until the lease is lost or the VM stops.
pub(crate) async fn run_duties<S, C>(
    node: Rc<Node>,
    store: S,
    cloud: C,
    mut stopped: watch::Receiver<bool>,
) where
    S: PlatformStore,
    C: CloudApi,
{
    let mut vacancy = None;
    loop {
        let wait = node.rng.borrow_mut().random_range(0..MAX_JITTER_MS);
        sleep(POLL_INTERVAL + Duration::from_millis(wait)).await;
        if !may_attempt_takeover(&node, &mut vacancy) {
            continue;
        }
        match take_over(&node, &store).await {
            Ok(lease) => {
                tokio::select! {
                    () = perform_duties(&node, &store, &cloud, lease) => {}
                    _ = stopped.wait_for(|it| *it) => {}
                }
                node.duty.borrow_mut().record_lost();
                log::info!("duty-lost");
                if *stopped.borrow() {
                    // Revoking lets another VM take over at once; if it fails, the lease expires by itself.
                    if let Err(error) = store.revoke(lease).await {
                        log::debug!(error:% = error; "duty-not-released");
                    }
                    return;
                }
            }
            Err(error) => log::debug!(error:% = error; "duty-not-taken"),
        }
    }
}

/// A period without a holder of the duties, as observed by this VM.
#[derive(Clone, Copy, Debug)]
struct Vacancy {
    since: TimePoint,
    /// Random draw that decides how long this VM waits, compared with other VMs, before it attempts the takeover.
    draw: f64,
}

/// Returns whether this VM may attempt to take the duties over now.
fn may_attempt_takeover(node: &Node, vacancy: &mut Option<Vacancy>) -> bool {
    if !node.is_ready() || node.peers.borrow().has_holder() {
        *vacancy = None;
        return false;
    }
    let now = clock::now();
    let draw = node.rng.borrow_mut().random();
    let Vacancy { since, draw } = *vacancy.get_or_insert(Vacancy { since: now, draw });
    let is_small = node.peers.borrow().table.is_small();
    is_small
        || now.since(since) >= node.store_read_role().duty_takeover_delay(node.vm_count(), draw)
}

async fn take_over<S>(node: &Node, store: &S) -> Result<LeaseId, StoreError>
where
    S: PlatformStore,
{
    let me = node.settings.name.as_str();
    let ttl = node.settings.duties.lease;
    let item = store.get(TERM_KEY).await?;
    let revision = item.as_ref().map_or(StoreRevision::ABSENT, |it| it.revision);
    let before: Term =
        item.and_then(|it| serde_json::from_slice(&it.value).ok()).unwrap_or_default();
    let (view_era, is_later_era) = {
        let view = node.store_view.borrow();
        (view.era(), view.has_era_changed())
    };
    let era = revision.era().max(view_era);
    let has_predecessor = before != Term::default() || is_later_era;
    let may_have_lost_terms = era > before.era() && has_predecessor;
    let term = before.next(me, era);
    let requested_at = clock::now();
    let lease = store.grant(ttl).await?;
    let value = serde_json::to_vec(&term)
        .map_err(|error| StoreError::Unreadable { what: error.to_string() })?;
    let commit = Commit {
        expected: vec![
            (HOLDER_KEY.to_owned(), StoreRevision::ABSENT),
            (TERM_KEY.to_owned(), revision),
        ],
        puts: vec![
            (HOLDER_KEY.to_owned(), me.as_bytes().to_vec(), Some(lease)),
            (TERM_KEY.to_owned(), value, None),
        ],
        ..Commit::default()
    };
    if store.commit(&commit).await?.era() > era {
        // The store returned from an older copy meanwhile, so the term may have the number of a lost one.
        store.revoke(lease).await?;
        return Err(StoreError::Conflict);
    }
    if may_have_lost_terms {
        reports::assume_reported_if_unknown(node);
    }
    let mut duty = node.duty.borrow_mut();
    duty.record_acquired(me, &before, &term, ttl, requested_at, may_have_lost_terms);
    drop(duty);
    node.peers.borrow_mut().set_holder(Some(me.to_owned()));
    log::info!(
        number = term.number.0, before = before.holder, lost_terms = may_have_lost_terms;
        "duty-taken"
    );
    Ok(lease)
}

/// Performs the duties until the lease is lost.
async fn perform_duties<S, C>(node: &Rc<Node>, store: &S, cloud: &C, lease: LeaseId)
where
    S: PlatformStore,
    C: CloudApi,
{
    let renewal = renew(node, store, lease);
    let is_inherited = Cell::new(false);
    let reports = report_usage(node, store, cloud, &is_inherited);
    let orders = order_servers(node, cloud, &is_inherited);
    let rollouts = run_rollouts(node, store);
    tokio::select! {
        () = renewal => {}
        () = reports => {}
        () = orders => {}
        () = rollouts => {}
    }
}

async fn renew<S>(node: &Node, store: &S, lease: LeaseId)
where
    S: PlatformStore,
{
    let period = node.settings.duties.lease / RENEWALS_PER_LEASE;
    loop {
        sleep(period).await;
        let requested_at = clock::now();
        let (is_over, era) = (!node.duty.borrow().is_held(requested_at), store.era());
        let renewed = store.renew(lease).await;
        if is_over || store.era() != era {
            log::info!(
                is_over, sent_era = era, era = store.era(), took_ms = clock::now().since(requested_at).as_millis() as u64,
                is_renewed = renewed.is_ok();
                "duty-renewed-late"
            );
        }
        match renewed {
            Ok(()) => node.duty.borrow_mut().record_renewal(requested_at),
            Err(StoreError::LeaseEnded) => return,
            Err(error) => log::debug!(error:% = error; "duty-not-renewed"),
        }
        if !node.duty.borrow().is_held(clock::now()) {
            return;
        }
    }
}

/// Returns the identity for calls that only the holder may make; `None` if this VM doesn't hold the duties.
fn current_holder(node: &Node) -> Option<DutyHolder> {
    let fencing_number = node.duty.borrow().fencing_number(clock::now())?;
    Some(DutyHolder { name: node.settings.name.as_str().to_owned(), fencing_number })
}
