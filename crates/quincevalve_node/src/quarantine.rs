//! Keeps requests under which servers exit from servers, and writes to the store which they are.
//!
//! The decisions are [`quincevalve_forwarding::poison`]'s. Every sending to a server asks [`admit`] first: the first one of
//! an attempt, the next one after a failure, a stream that goes on elsewhere, and a run that is moved.

use std::{rc::Rc, time::Duration};

use quincevalve_forwarding::{
    poison::{Exits, QuarantineEntry, Standing},
    request_digest::RequestDigest,
};
use tokio::{
    sync::{mpsc, oneshot},
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

use crate::{
    clock,
    identify::Identified,
    node::Node,
    ports::{Commit, OwnItem, PlatformStore, StoreError},
    story::note,
};

/// Keys of quarantined requests, each with its [`QuarantineEntry`]: the digest.
pub(crate) const QUARANTINE_KEYS: &str = "quarantine/";
/// Time for the store to say whether this VM has a trial; a caller waits for it.
const TRIAL_ANSWER: Duration = Duration::from_millis(400);
/// How long a caller whose trial the store didn't answer is told to stay away.
const UNANSWERED_HOLD: Duration = Duration::from_secs(1);
/// Pause after a write that failed.
const WRITE_AGAIN: Duration = Duration::from_millis(500);
/// A write that failed for so long is given up: the VMs that were told of it no longer hold to that either.
const WRITE_LIMIT: Duration = Duration::from_secs(60);
/// Orders that may wait.
const WAITING_ORDERS: usize = 256;

enum Order {
    Write(RequestDigest, Exits),
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
    pub(crate) fn write(&self, digest: RequestDigest, exits: Exits) {
        self.order(Order::Write(digest, exits));
    }

    /// Whether this VM is the first to write that it begins the trial that is due.
    async fn begin_trial(&self, digest: RequestDigest) -> bool {
        let (reply, rx) = oneshot::channel();
        self.order(Order::BeginTrial(digest, reply));
        matches!(timeout(TRIAL_ANSWER, rx).await, Ok(Ok(true)))
    }

    /// Removes the entry of a request that ended well.
    fn lift(&self, digest: RequestDigest) {
        self.order(Order::Lift(digest));
    }

    fn order(&self, order: Order) {
        if self.0.try_send(order).is_err() {
            log::error!("quarantine-orders-full");
        }
    }
}

/// Lets a request go to a server, or says for how long it is kept from all, as far as known.
pub(crate) async fn admit(node: &Node, req: &Identified) -> Result<(), Duration> {
    let standing = standing(node, req);
    let hold = match standing {
        Standing::Free => return Ok(()),
        Standing::Quarantined(hold) => hold,
        Standing::TrialDue => {
            node.poison.borrow_mut().trial_asked(req.digest(), clock::now());
            if node.quarantine.begin_trial(req.digest()).await {
                log::info!(id = req.id, digest:% = req.digest(); "trial-begun");
                return Ok(());
            }
            UNANSWERED_HOLD
        }
    };
    note!(node, req, digest = req.digest(), hold_ms = hold.as_millis() as u64; "withheld");
    Err(hold)
}

/// Whether a request is kept from servers at present.
pub(crate) fn is_quarantined(node: &Node, req: &Identified) -> bool {
    standing(node, req) != Standing::Free
}

fn standing(node: &Node, req: &Identified) -> Standing {
    let poison = node.poison.borrow();
    if !poison.has_quarantined() {
        return Standing::Free;
    }
    let now = clock::now();
    poison.standing(req.digest(), now, node.wall.borrow().true_ms(now))
}

/// Notes that a request ended well: it is not what ends servers.
pub(crate) fn note_completed(node: &Node, req: &Identified) {
    let Some(digest) = req.cheap_digest() else { return };
    if node.poison.borrow_mut().completed(digest, clock::now()) {
        node.quarantine.lift(digest);
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

async fn write<S>(node: &Node, store: &S, digest: RequestDigest, exits: Exits)
where
    S: PlatformStore,
{
    log::warn!(digest:% = digest, exits:? = exits; "quarantined");
    let until = Instant::now() + WRITE_LIMIT;
    while Instant::now() < until {
        let Some(true_ms) = true_ms(node) else { return };
        let entry = QuarantineEntry::first(exits, true_ms);
        match put(store, digest, entry, crate::ports::StoreRevision::ABSENT).await {
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
        let Some(item) = store.get(&key_of(digest)).await? else { return Ok(false) };
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
        match remove(store, digest).await {
            Ok(()) => {
                log::info!(digest:% = digest; "quarantine-lifted");
                node.poison.borrow_mut().entry_removed(digest, clock::now());
                return;
            }
            Err(error) => log::warn!(digest:% = digest, error:% = error; "quarantine-not-lifted"),
        }
        sleep(WRITE_AGAIN).await;
    }
}

async fn remove<S>(store: &S, digest: RequestDigest) -> Result<(), StoreError>
where
    S: PlatformStore,
{
    let key = key_of(digest);
    let Some(OwnItem { revision, .. }) = store.get(&key).await? else { return Ok(()) };
    let expected = vec![(key.clone(), revision)];
    store.commit(&Commit { expected, removes: vec![key], ..Commit::default() }).await?;
    Ok(())
}

async fn put<S>(
    store: &S,
    digest: RequestDigest,
    entry: QuarantineEntry,
    over: crate::ports::StoreRevision,
) -> Result<(), StoreError>
where
    S: PlatformStore,
{
    let value = serde_json::to_vec(&entry)
        .map_err(|error| StoreError::Unreadable { what: error.to_string() })?;
    let key = key_of(digest);
    let expected = vec![(key.clone(), over)];
    let puts = vec![(key, value, None)];
    store.commit(&Commit { expected, puts, ..Commit::default() }).await?;
    Ok(())
}

fn true_ms(node: &Node) -> Option<i64> {
    node.wall.borrow().true_ms(clock::now())
}

fn key_of(digest: RequestDigest) -> String {
    format!("{QUARANTINE_KEYS}{digest}")
}

/// The digest of a key; `None` for other keys.
pub(crate) fn digest_of(key: &str) -> Option<RequestDigest> {
    key.strip_prefix(QUARANTINE_KEYS).and_then(RequestDigest::parse)
}

/// The quarantined request of an item of the store; `None` for other items.
pub(crate) fn listed(key: &str, value: &[u8]) -> Option<(RequestDigest, QuarantineEntry)> {
    let digest = digest_of(key)?;
    match serde_json::from_slice(value) {
        Ok(entry) => Some((digest, entry)),
        Err(error) => {
            log::error!(key, error:% = error; "quarantine-entry-unreadable");
            None
        }
    }
}
