//! Writes to the store which requests are quarantined, and which VM has a trial.

use std::{rc::Rc, time::Duration};

use quincevalve_forwarding::{
    poison::{ExitPattern, QuarantineEntry},
    request_digest::RequestDigest,
};
use tokio::{
    sync::{mpsc, oneshot},
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

use super::entries::{lift_quarantine, listed, put, read};
use crate::{
    clock,
    node::Node,
    ports::{PlatformStore, StoreError, StoreRevision},
};

/// Time for the store to say whether this VM has a trial; a caller waits for it.
const TRIAL_ANSWER: Duration = Duration::from_millis(400);
/// Pause after a write that failed.
const WRITE_AGAIN: Duration = Duration::from_millis(500);
/// A write that failed for so long is given up: the VMs that were told of it no longer hold to that either.
const WRITE_LIMIT: Duration = Duration::from_secs(60);
/// Orders that may wait.
const WAITING_ORDERS: usize = 256;

enum Order {
    Write(RequestDigest, ExitPattern),
    BeginTrial(RequestDigest, oneshot::Sender<bool>),
    Lift(RequestDigest),
}

/// Where the task that writes quarantines takes its orders.
pub(crate) struct QuarantineOrders(mpsc::Receiver<Order>);

/// The handle to the task that writes quarantines to the store; it keeps the rest free of the store's type.
#[derive(Clone, Debug)]
pub(crate) struct QuarantineStore(mpsc::Sender<Order>);

impl QuarantineStore {
    pub(crate) fn new() -> (Self, QuarantineOrders) {
        let (tx, rx) = mpsc::channel(WAITING_ORDERS);
        (Self(tx), QuarantineOrders(rx))
    }

    /// Writes that a request is quarantined.
    pub(crate) fn write(&self, digest: RequestDigest, exits: ExitPattern) {
        self.order(Order::Write(digest, exits));
    }

    /// Whether this VM is the first to write that it begins the trial that is due.
    pub(super) async fn begin_trial(&self, digest: RequestDigest) -> bool {
        let (reply, rx) = oneshot::channel();
        self.order(Order::BeginTrial(digest, reply));
        matches!(timeout(TRIAL_ANSWER, rx).await, Ok(Ok(true)))
    }

    /// Removes the entry of a request that ended well.
    pub(super) fn lift(&self, digest: RequestDigest) {
        self.order(Order::Lift(digest));
    }

    fn order(&self, order: Order) {
        if self.0.try_send(order).is_err() {
            log::error!("quarantine-orders-full");
        }
    }
}

/// Carries out orders for as long as the process lives.
pub(crate) async fn keep_quarantine<S>(node: Rc<Node>, store: S, mut orders: QuarantineOrders)
where
    S: PlatformStore,
{
    while let Some(order) = orders.0.recv().await {
        let (node, store) = (node.clone(), store.clone());
        spawn_local(async move {
            match order {
                Order::Write(digest, exits) => write(&node, &store, digest, exits).await,
                Order::BeginTrial(digest, reply) => {
                    let begins = begin_trial(&node, &store, digest).await;
                    // A caller that no longer waits has lost the trial.
                    let _ = reply.send(begins);
                }
                Order::Lift(digest) => lift(&node, &store, digest).await,
            }
        });
    }
}

async fn write<S>(node: &Node, store: &S, digest: RequestDigest, exits: ExitPattern)
where
    S: PlatformStore,
{
    log::warn!(digest:% = digest, exits:? = exits; "quarantined");
    let until = Instant::now() + WRITE_LIMIT;
    while Instant::now() < until {
        let Some(true_ms) = true_ms(node) else { return };
        let entry = QuarantineEntry::first(exits, true_ms);
        match put(store, digest, entry, StoreRevision::ABSENT).await {
            // Another arbiter was first.
            Ok(()) | Err(StoreError::Conflict) => return,
            Err(error) => log::warn!(digest:% = digest, error:% = error; "quarantine-not-written"),
        }
        sleep(WRITE_AGAIN).await;
    }
}

/// Begins the trial that is due, unless another VM was first.
///
/// Failure: a quarantined request comes to many VMs in the moment in which a trial is due. Symptom: each sends it, and as
/// many servers exit. Who writes the next entry over the one that was read sends it; all others fail to.
async fn begin_trial<S>(node: &Node, store: &S, digest: RequestDigest) -> bool
where
    S: PlatformStore,
{
    let begun = async {
        let Some(item) = read(store, digest).await? else { return Ok(false) };
        let next = listed(&item.key, &item.value).zip(true_ms(node));
        let Some(next) = next.and_then(|((_, entry), now)| entry.next_trial(now)) else {
            return Ok(false);
        };
        put(store, digest, next, item.revision).await?;
        Ok::<_, StoreError>(true)
    };
    match begun.await {
        Ok(begun) => begun,
        Err(error) => {
            log::info!(digest:% = digest, error:% = error; "trial-not-begun");
            false
        }
    }
}

async fn lift<S>(node: &Node, store: &S, digest: RequestDigest)
where
    S: PlatformStore,
{
    let until = Instant::now() + WRITE_LIMIT;
    while Instant::now() < until {
        match lift_quarantine(store, digest).await {
            Ok(_) => {
                log::info!(digest:% = digest; "quarantine-lifted");
                node.poison.borrow_mut().remove_entry(digest, clock::now());
                return;
            }
            Err(error) => log::warn!(digest:% = digest, error:% = error; "quarantine-not-lifted"),
        }
        sleep(WRITE_AGAIN).await;
    }
}

fn true_ms(node: &Node) -> Option<i64> {
    node.wall.borrow().estimate_ms(clock::now())
}
