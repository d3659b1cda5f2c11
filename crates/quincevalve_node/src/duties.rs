//! What one entry VM does for all: usage reports and orders for servers.

mod orders;
mod reports;
mod rollouts;

use std::{cell::Cell, rc::Rc, time::Duration};

use quincevalve_forwarding::duty::Term;
use quincevalve_names::TimePoint;
use rand::RngExt;
use tokio::{sync::watch, time::sleep};

use crate::{
    clock,
    node::Node,
    ports::{ActingHolder, CloudApi, Commit, LeaseId, PlatformStore, StoreError, StoreRevision},
    store::view::HOLDER_KEY,
};

use self::{orders::order_servers, reports::report_usage, rollouts::lead_rollouts};

/// The key that counts the holders; it has no lease.
const TERM_KEY: &str = "duty/term";
/// Renewals in the life of a lease.
const RENEWALS: u32 = 4;
/// Pause between two looks of a VM that doesn't hold the duties.
const LOOK: Duration = Duration::from_millis(400);
/// Milliseconds over which VMs spread their attempts to take the duties over.
const SPREAD_MS: u64 = 300;

/// Holds the duties whenever no other VM does, and does them.
pub(crate) async fn hold_duties<S, C>(
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
        let wait = node.rng.borrow_mut().random_range(0..SPREAD_MS);
        sleep(LOOK + Duration::from_millis(wait)).await;
        if !may_try(&node, &mut vacancy) {
            continue;
        }
        match take_over(&node, &store).await {
            Ok(lease) => {
                tokio::select! {
                    () = act(&node, &store, &cloud, lease) => {}
                    _ = stopped.wait_for(|it| *it) => {}
                }
                node.duty.borrow_mut().record_lost();
                log::info!("duty-lost");
                if *stopped.borrow() {
                    // The lease runs out by itself where this fails; with it another VM need not wait.
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

/// The duties without a holder, as this VM sees it.
#[derive(Clone, Copy, Debug)]
struct Vacancy {
    since: TimePoint,
    /// This VM's random place among those that try to take them over.
    draw: f64,
}

/// Whether this VM may try to take the duties over at this moment.
fn may_try(node: &Node, vacancy: &mut Option<Vacancy>) -> bool {
    if !node.is_ready() || node.peers.borrow().has_holder() {
        *vacancy = None;
        return false;
    }
    let now = clock::now();
    let draw = node.rng.borrow_mut().random();
    let Vacancy { since, draw } = *vacancy.get_or_insert(Vacancy { since: now, draw });
    let is_small = node.peers.borrow().table.is_small();
    is_small || now.since(since) >= node.reading_part().duty_takeover_delay(node.vms(), draw)
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
    let term = before.next(me);
    let asked = clock::now();
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
    store.commit(&commit).await?;
    node.duty.borrow_mut().record_acquired(me, &before, &term, ttl, asked);
    node.peers.borrow_mut().set_holder(Some(me.to_owned()));
    log::info!(number = term.number.0, before = before.holder; "duty-taken");
    Ok(lease)
}

/// Does the duties until the lease is lost or the process ends.
async fn act<S, C>(node: &Rc<Node>, store: &S, cloud: &C, lease: LeaseId)
where
    S: PlatformStore,
    C: CloudApi,
{
    let renewal = renew(node, store, lease);
    let recalled = Cell::new(false);
    let reports = report_usage(node, store, cloud, &recalled);
    let orders = order_servers(node, cloud, &recalled);
    let rollouts = lead_rollouts(node, store);
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
    let period = node.settings.duties.lease / RENEWALS;
    loop {
        sleep(period).await;
        let asked = clock::now();
        match store.renew(lease).await {
            Ok(()) => node.duty.borrow_mut().record_renewal(asked),
            Err(StoreError::LeaseEnded) => return,
            Err(error) => log::debug!(error:% = error; "duty-not-renewed"),
        }
        if !node.duty.borrow().is_held(clock::now()) {
            return;
        }
    }
}

fn acting(node: &Node) -> Option<ActingHolder> {
    let number = node.duty.borrow().fencing_number(clock::now())?;
    Some(ActingHolder { name: node.settings.name.as_str().to_owned(), number })
}
