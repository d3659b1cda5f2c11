//! Background task that writes quarantine entries to the store and claims trials there.

use std::{rc::Rc, time::Duration};

use quincevalve_forwarding::{
    poison::{PartEntry, QuarantineEntry, Suspect, Verdict},
    prompt_parts::PartDigest,
    stream_versions::VersionTag,
};
use tokio::{
    sync::{Mutex, mpsc, oneshot},
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

use super::entries::{Quarantined, lift_quarantine, parse_entry, put, read};
use crate::{
    clock,
    node::Node,
    ports::{PlatformStore, StoreError, StoreRevision},
};

/// Maximum time that a caller waits for the store to grant this VM a trial.
const TRIAL_CLAIM_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay between a failed write and its retry.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after which a failing write about a request is abandoned. By then the quarantine has expired on VMs that received
/// it by report.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a part's quarantine that can't be written is reported to all VMs again.
const REPORT_INTERVAL: Duration = Duration::from_secs(20);
/// Maximum number of queued commands; more are dropped.
const MAX_QUEUED_COMMANDS: usize = 256;

enum Command {
    Write(Verdict),
    BeginTrial(Suspect, oneshot::Sender<bool>),
    Lift(Suspect, VersionTag),
    Restore(Suspect, Quarantined),
    Withdraw(PartDigest),
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

    /// Writes the entry of a quarantine.
    pub(crate) fn write(&self, verdict: Verdict) {
        self.send(Command::Write(verdict));
    }

    /// Claims the due trial; returns whether this VM was the first to do so.
    pub(super) async fn begin_trial(&self, suspect: Suspect) -> bool {
        let (reply, rx) = oneshot::channel();
        self.send(Command::BeginTrial(suspect, reply));
        matches!(timeout(TRIAL_CLAIM_TIMEOUT, rx).await, Ok(Ok(true)))
    }

    /// Removes the quarantine of a request that completed, or that of a part at a version at which it completed.
    pub(super) fn lift(&self, suspect: Suspect, version: VersionTag) {
        self.send(Command::Lift(suspect, version));
    }

    /// Removes the quarantine of a part that turned out to be innocent.
    pub(crate) fn withdraw(&self, part: PartDigest) {
        self.send(Command::Withdraw(part));
    }

    /// Writes an entry again that the store has lost.
    pub(super) fn restore(&self, suspect: Suspect, entry: Quarantined) {
        self.send(Command::Restore(suspect, entry));
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
    commands: Rc<Mutex<QuarantineCommands>>,
) where
    S: PlatformStore,
{
    let mut commands = commands.lock().await;
    while let Some(command) = commands.0.recv().await {
        let (node, store) = (node.clone(), store.clone());
        spawn_local(async move {
            match command {
                Command::Write(verdict) => write(&node, &store, &verdict).await,
                Command::BeginTrial(suspect, reply) => {
                    let is_granted = begin_trial(&node, &store, suspect).await;
                    // If the caller no longer waits, the trial is used up without a request.
                    let _ = reply.send(is_granted);
                }
                Command::Lift(suspect, version) => lift(&node, &store, suspect, version).await,
                Command::Withdraw(part) => withdraw(&node, &store, part.into()).await,
                Command::Restore(suspect, entry) => restore(&store, suspect, &entry).await,
            }
        });
    }
}

/// Writes the entry of a quarantine.
///
/// While the store doesn't take it, other VMs know of it only by reports, which expire. Requests with a part come all the
/// time, so its quarantine is reported again until it is written.
async fn write<S>(node: &Node, store: &S, verdict: &Verdict)
where
    S: PlatformStore,
{
    let suspect = verdict.suspect;
    log::warn!(digest:% = suspect, kind = suspect.kind(), exits:? = verdict.exits; "quarantined");
    let began = Instant::now();
    let mut reported = began;
    loop {
        let Some(now_ms) = wall_clock_ms(node) else { return };
        match put(store, suspect, &first_entry(verdict, now_ms), StoreRevision::ABSENT).await {
            // On a conflict, another VM has written the entry first.
            Ok(()) | Err(StoreError::Conflict) => return,
            Err(error) => {
                log::warn!(digest:% = suspect, error:% = error; "quarantine-not-written");
            }
        }
        sleep(WRITE_RETRY_DELAY).await;
        match suspect {
            Suspect::Request(_) if began.elapsed() >= WRITE_TIMEOUT => return,
            Suspect::Part(_) if reported.elapsed() >= REPORT_INTERVAL => {
                reported = Instant::now();
                node.poison.borrow_mut().report_again(verdict, clock::now());
            }
            _ => {}
        }
    }
}

/// Writes an entry again that the store has lost, unless another VM was first.
async fn restore<S>(store: &S, suspect: Suspect, entry: &Quarantined)
where
    S: PlatformStore,
{
    let until = Instant::now() + WRITE_TIMEOUT;
    while Instant::now() < until {
        match put(store, suspect, entry, StoreRevision::ABSENT).await {
            Ok(()) => {
                log::info!(digest:% = suspect; "quarantine-restored");
                return;
            }
            Err(StoreError::Conflict) => return,
            Err(error) => {
                log::warn!(digest:% = suspect, error:% = error; "quarantine-not-written");
            }
        }
        sleep(WRITE_RETRY_DELAY).await;
    }
}

fn first_entry(verdict: &Verdict, now_ms: i64) -> Quarantined {
    match verdict.suspect {
        Suspect::Request(_) => Quarantined::Request(QuarantineEntry::first(verdict.exits, now_ms)),
        Suspect::Part(_) => Quarantined::Part(PartEntry::first(verdict, now_ms)),
    }
}

/// Begins the due trial, unless another VM was first.
///
/// If a quarantined request reached many VMs while a trial is due and each of them sent it, as many servers would exit.
/// Only the VM that replaces the entry at the revision that it read sends the request; the writes of all others fail.
async fn begin_trial<S>(node: &Node, store: &S, suspect: Suspect) -> bool
where
    S: PlatformStore,
{
    let claim = async {
        let Some(item) = read(store, suspect).await? else { return Ok(false) };
        let next = parse_entry(&item.key, &item.value).zip(wall_clock_ms(node));
        let Some(next) = next.and_then(|((_, entry), now)| entry.next_trial(now)) else {
            return Ok(false);
        };
        put(store, suspect, &next, item.revision).await?;
        Ok::<_, StoreError>(true)
    };
    match claim.await {
        Ok(begun) => begun,
        Err(error) => {
            log::info!(digest:% = suspect, error:% = error; "trial-not-begun");
            false
        }
    }
}

async fn lift<S>(node: &Node, store: &S, suspect: Suspect, version: VersionTag)
where
    S: PlatformStore,
{
    lift_by(node, suspect, || lift_at_version(store, suspect, version)).await;
}

async fn withdraw<S>(node: &Node, store: &S, suspect: Suspect)
where
    S: PlatformStore,
{
    let lift = async || lift_quarantine(store, suspect).await.map(|_| Lifted::Everywhere);
    lift_by(node, suspect, lift).await;
}

/// Lifts a quarantine by calls to the store until one succeeds.
async fn lift_by(
    node: &Node,
    suspect: Suspect,
    call: impl AsyncFn() -> Result<Lifted, StoreError>,
) {
    let until = Instant::now() + WRITE_TIMEOUT;
    while Instant::now() < until {
        match call().await {
            Ok(Lifted::Everywhere) => {
                log::info!(digest:% = suspect; "quarantine-lifted");
                node.poison.borrow_mut().remove_entry(suspect, clock::now());
                return;
            }
            Ok(Lifted::AtVersion) => {
                log::info!(digest:% = suspect; "quarantine-lifted-at-version");
                return;
            }
            Err(error) => log::warn!(digest:% = suspect, error:% = error; "quarantine-not-lifted"),
        }
        sleep(WRITE_RETRY_DELAY).await;
    }
}

/// How far a quarantine was lifted.
enum Lifted {
    Everywhere,
    AtVersion,
}

/// Lifts a quarantine, or that of a part at one version if servers of others exit under it.
async fn lift_at_version<S>(
    store: &S,
    suspect: Suspect,
    version: VersionTag,
) -> Result<Lifted, StoreError>
where
    S: PlatformStore,
{
    let item = read(store, suspect).await?;
    let entry = item.as_ref().and_then(|it| parse_entry(&it.key, &it.value));
    if let (Some(item), Some((_, Quarantined::Part(mut entry)))) = (&item, entry)
        && entry.findings.add_sound(version)
    {
        put(store, suspect, &Quarantined::Part(entry), item.revision).await?;
        return Ok(Lifted::AtVersion);
    }
    lift_quarantine(store, suspect).await?;
    Ok(Lifted::Everywhere)
}

/// Returns the estimated wall-clock time in Unix milliseconds.
fn wall_clock_ms(node: &Node) -> Option<i64> {
    node.wall_clock.borrow().estimate_ms(clock::now())
}
