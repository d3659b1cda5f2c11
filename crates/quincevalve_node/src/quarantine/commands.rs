//! Background task that writes quarantine entries to the store and claims trials there.

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

use super::entries::{lift_quarantine, parse_entry, put, read};
use crate::{
    clock,
    node::Node,
    ports::{PlatformStore, StoreError, StoreRevision},
};

/// Maximum time that a caller waits for the store to grant this VM a trial.
const TRIAL_CLAIM_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay between a failed write and its retry.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after which a failing write is abandoned. By then the quarantine has expired on VMs that received it by report.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of queued commands; more are dropped.
const MAX_QUEUED_COMMANDS: usize = 256;

enum Command {
    Write(RequestDigest, ExitPattern),
    BeginTrial(RequestDigest, oneshot::Sender<bool>),
    Lift(RequestDigest),
}

/// Receiving end of the commands to the quarantine task.
pub(crate) struct QuarantineCommands(mpsc::Receiver<Command>);

/// Handle to the task that writes quarantines to the store. It keeps other code independent of the store's type.
#[derive(Clone, Debug)]
pub(crate) struct QuarantineStore(mpsc::Sender<Command>);

impl QuarantineStore {
    pub(crate) fn new() -> (Self, QuarantineCommands) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_COMMANDS);
        (Self(tx), QuarantineCommands(rx))
    }

    /// Writes a quarantine entry for a request.
    pub(crate) fn write(&self, digest: RequestDigest, exits: ExitPattern) {
        self.send(Command::Write(digest, exits));
    }

    /// Claims the due trial; returns whether this VM was the first to do so.
    pub(super) async fn begin_trial(&self, digest: RequestDigest) -> bool {
        let (reply, rx) = oneshot::channel();
        self.send(Command::BeginTrial(digest, reply));
        matches!(timeout(TRIAL_CLAIM_TIMEOUT, rx).await, Ok(Ok(true)))
    }

    /// Removes the quarantine entry of a request that completed.
    pub(super) fn lift(&self, digest: RequestDigest) {
        self.send(Command::Lift(digest));
    }

    fn send(&self, command: Command) {
        if self.0.try_send(command).is_err() {
            log::error!("quarantine-orders-full");
        }
    }
}

/// Executes commands for as long as the process runs.
pub(crate) async fn run_quarantine_task<S>(
    node: Rc<Node>,
    store: S,
    mut commands: QuarantineCommands,
) where
    S: PlatformStore,
{
    while let Some(command) = commands.0.recv().await {
        let (node, store) = (node.clone(), store.clone());
        spawn_local(async move {
            match command {
                Command::Write(digest, exits) => write(&node, &store, digest, exits).await,
                Command::BeginTrial(digest, reply) => {
                    let is_granted = begin_trial(&node, &store, digest).await;
                    // If the caller no longer waits, the trial is used up without a request.
                    let _ = reply.send(is_granted);
                }
                Command::Lift(digest) => lift(&node, &store, digest).await,
            }
        });
    }
}

async fn write<S>(node: &Node, store: &S, digest: RequestDigest, exits: ExitPattern)
where
    S: PlatformStore,
{
    log::warn!(digest:% = digest, exits:? = exits; "quarantined");
    let until = Instant::now() + WRITE_TIMEOUT;
    while Instant::now() < until {
        let Some(now_ms) = wall_clock_ms(node) else { return };
        let entry = QuarantineEntry::first(exits, now_ms);
        match put(store, digest, entry, StoreRevision::ABSENT).await {
            // On a conflict, another VM has written the entry first.
            Ok(()) | Err(StoreError::Conflict) => return,
            Err(error) => log::warn!(digest:% = digest, error:% = error; "quarantine-not-written"),
        }
        sleep(WRITE_RETRY_DELAY).await;
    }
}

/// Begins the due trial, unless another VM was first.
///
/// If a quarantined request reached many VMs while a trial is due and each of them sent it, as many servers would exit.
/// Only the VM that replaces the entry at the revision that it read sends the request; the writes of all others fail.
async fn begin_trial<S>(node: &Node, store: &S, digest: RequestDigest) -> bool
where
    S: PlatformStore,
{
    let claim = async {
        let Some(item) = read(store, digest).await? else { return Ok(false) };
        let next = parse_entry(&item.key, &item.value).zip(wall_clock_ms(node));
        let Some(next) = next.and_then(|((_, entry), now)| entry.next_trial(now)) else {
            return Ok(false);
        };
        put(store, digest, next, item.revision).await?;
        Ok::<_, StoreError>(true)
    };
    match claim.await {
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
    let until = Instant::now() + WRITE_TIMEOUT;
    while Instant::now() < until {
        match lift_quarantine(store, digest).await {
            Ok(_) => {
                log::info!(digest:% = digest; "quarantine-lifted");
                node.poison.borrow_mut().remove_entry(digest, clock::now());
                return;
            }
            Err(error) => log::warn!(digest:% = digest, error:% = error; "quarantine-not-lifted"),
        }
        sleep(WRITE_RETRY_DELAY).await;
    }
}

/// Returns the estimated wall-clock time in Unix milliseconds.
fn wall_clock_ms(node: &Node) -> Option<i64> {
    node.wall_clock.borrow().estimate_ms(clock::now())
}
