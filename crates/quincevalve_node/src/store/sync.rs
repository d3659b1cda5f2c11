//! How this VM keeps up with the platform's store, and its own entry there.

use std::{rc::Rc, time::Duration};

use quincevalve_forwarding::{
    store_contact::{ContactSpan, StoreUpdate},
    store_pacing::{ConfigSource, MissingConfig, StoreReadRole},
};
use quincevalve_names::TimePoint;
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep},
};

use crate::{
    clock,
    node::Node,
    ports::{Commit, LeaseId, PlatformStore, ReadConsistency, StoreError},
    store::{
        state_copy::fetch_state,
        view::{peer_key, take_changes, take_snapshot},
    },
};

/// A VM that starts has read the store within this time, if it answers; until then others don't know of it.
const FIRST_READING: Duration = Duration::from_millis(400);
/// At the first start of the whole system a VM writes its entry and reads the store after this time.
///
/// Load: hundreds of VMs start at once, and the store holds nothing yet, no configuration and no VM. Each would ask it again
/// and again until it does. After the pause VMs know of each other and a few read it for all, with time to spare before
/// the first callers.
const FIRST_START_PAUSE: Duration = Duration::from_millis(2_500);
/// Pause between two looks whether it has.
const FIRST_READING_LOOK: Duration = Duration::from_millis(20);
/// Pause after a failure to keep this VM's entry.
const ENTRY_FAILED_PAUSE: Duration = Duration::from_millis(250);
/// The longest wait of one question for changes. While it waits its VM has no new proof for others.
const WAIT: Duration = Duration::from_millis(250);
/// Pause between two looks whether what is told is new enough.
const LOOK: Duration = Duration::from_millis(100);
/// Lifetime of this VM's own entry; three renewals, so that a slow store or a short outage doesn't remove it. Until
/// it ends the others count with a VM that is gone: its part of the quotas lies idle.
const ENTRY_LIFETIME: Duration = Duration::from_secs(12);
/// Time between two renewals of it.
const ENTRY_RENEWAL: Duration = Duration::from_secs(4);

/// Keeps up with the store for as long as the process lives.
pub(crate) async fn follow_store<S>(node: Rc<Node>, store: S, socket: Rc<UdpSocket>)
where
    S: PlatformStore,
{
    let mut failures = 0_u32;
    let mut is_told = false;
    let mut lacked = None;
    if node.settings.is_first_start {
        sleep(FIRST_START_PAUSE).await;
    }
    fetch_state(&node, &store, &socket).await;
    loop {
        note_away(&node);
        fetch_config(&node, &store, &mut lacked).await;
        if !must_read(&node) {
            if !std::mem::replace(&mut is_told, true) {
                log::info!("store-told-by-others");
            }
            note_regained(&mut failures);
            sleep(LOOK).await;
            continue;
        }
        if std::mem::take(&mut is_told) {
            let age_ms =
                node.freshness.get().age(clock::now()).map_or(0, |it| it.as_millis() as u64);
            log::info!(age_ms; "store-read-here");
        }
        let asked = clock::now();
        let pause = match read(&node, &store, asked).await {
            Ok(ReadConsistency::MayBeStale) => Duration::ZERO,
            Ok(ReadConsistency::Latest) => {
                prove(&node, asked);
                note_regained(&mut failures);
                node.store_read_role().pause_after_answer()
            }
            Err(StoreError::HistoryGone) => {
                log::info!("store-history-gone");
                heard_of_store(&node, ContactSpan::at(asked));
                node.store_view.borrow_mut().forget();
                Duration::ZERO
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(error:% = error; "store-lost");
                }
                failures += 1;
                let is_small = node.peers.borrow().book.is_small();
                node.store_read_role().pause_after_failures(failures, is_small)
            }
        };
        sleep(pause).await;
    }
}

/// Notes that this VM reads the store again or needn't, since others tell it enough.
fn note_regained(failures: &mut u32) {
    if std::mem::take(failures) > 0 {
        log::info!("store-regained");
    }
}

/// Notes if nobody who is heard had an answer of the store for so long that entries lapse.
pub(crate) fn note_away(node: &Node) {
    let Some(since) = node.store_contact.get().unreachable_since(clock::now()) else { return };
    node.servers.borrow_mut().begin_store_outage(since);
}

/// Takes a span in which the store answered this VM or one that it hears. What the answer said is taken afterwards:
/// whether a removal may be a lapse depends on it.
pub(crate) fn heard_of_store(node: &Node, heard: ContactSpan) {
    let mut contact = node.store_contact.get();
    let news = contact.record(heard);
    node.store_contact.set(contact);
    let now = clock::now();
    let mut servers = node.servers.borrow_mut();
    // Failure: a VM was cut off, said so to itself, and then hears of answers that leave no gap. Symptom: it takes the
    // store for away for good.
    let is_there = contact.unreachable_since(now).is_none();
    match news {
        StoreUpdate::Unchanged if is_there && servers.is_store_unreachable() => {
            log::info!("store-never-away");
            servers.cancel_store_outage(now);
        }
        StoreUpdate::Unchanged => {}
        StoreUpdate::Returned { since } => {
            log::info!(away_ms = now.since(since).as_millis() as u64; "store-returned");
            servers.begin_store_outage(since);
            servers.end_store_outage(now);
        }
        StoreUpdate::NoOutage => {
            log::info!("store-never-away");
            servers.cancel_store_outage(now);
        }
    }
}

/// Whether this VM has to ask the store itself.
fn must_read(node: &Node) -> bool {
    let knows_all = node.store_view.borrow().reached().is_some() && node.config().is_some();
    let part = node.store_read_role();
    let told_age = part.max_confirmation_age(node.settings.bounds.change_in_force);
    let is_told = node.freshness.get().is_within(told_age, clock::now());
    !knows_all || part == StoreReadRole::Reader || !is_told
}

/// Reads the store and says how new what was read is.
///
/// Load: all VMs start together, and each reads everything, page by page. A copy of the store that may be seconds old
/// costs a tenth; the changes since are asked for at once, and only their answer proves anything.
async fn read<S>(node: &Node, store: &S, asked: TimePoint) -> Result<ReadConsistency, StoreError>
where
    S: PlatformStore,
{
    let reached = node.store_view.borrow().reached();
    if let Some(after) = reached {
        // A VM that has proved nothing yet serves nobody: it doesn't wait for a change.
        let wait = if node.was_confirmed_fresh() { WAIT } else { Duration::ZERO };
        let changes = store.changes(after, wait).await?;
        heard_of_store(node, ContactSpan::at(asked));
        // Failure: thousands of servers change at once, and the answer holds the first of the changes only. Symptom: a
        // configuration behind them counts as not there, and its routes are answered 404.
        let age = if changes.may_be_truncated {
            ReadConsistency::MayBeStale
        } else {
            ReadConsistency::Latest
        };
        take_changes(node, changes);
        return Ok(age);
    }
    if !node.store_view.borrow().was_read() {
        take_snapshot(node, store.snapshot(ReadConsistency::MayBeStale).await?);
        return Ok(ReadConsistency::MayBeStale);
    }
    let snapshot = store.snapshot(ReadConsistency::Latest).await?;
    heard_of_store(node, ContactSpan::at(asked));
    take_snapshot(node, snapshot);
    Ok(ReadConsistency::Latest)
}

/// Reads a configuration that others have and this VM lacks, unless they pass it on.
async fn fetch_config<S>(node: &Node, store: &S, lacked: &mut Option<MissingConfig>)
where
    S: PlatformStore,
{
    let known = node.config().map_or(0, |it| it.version);
    let newest = node.reported_config_version.get();
    if newest <= known {
        *lacked = None;
        return;
    }
    let now = clock::now();
    let lacked = lacked.get_or_insert_with(|| MissingConfig::new(newest, now));
    let age = match lacked.next_source(newest, node.settings.bounds.change_in_force, now) {
        ConfigSource::Peers => return,
        ConfigSource::StaleRead => ReadConsistency::MayBeStale,
        ConfigSource::ConsistentRead => ReadConsistency::Latest,
    };
    match store.config(age).await {
        Ok(Some(config)) => node.apply_config(config),
        Ok(None) => {}
        Err(error) => log::debug!(error:% = error; "config-not-read"),
    }
}

/// Takes the answer to a question of `asked` for a proof that nothing is newer than what is known.
///
/// Not where others have a newer configuration: what was passed on may have led past it.
pub(crate) fn prove(node: &Node, asked: TimePoint) {
    if node.config().is_none_or(|it| it.version < node.reported_config_version.get()) {
        return;
    }
    let mut freshness = node.freshness.get();
    freshness.record_confirmation(asked, clock::now());
    node.freshness.set(freshness);
}

/// Keeps this VM's entry in the store for as long as the process lives.
pub(crate) async fn keep_entry<S>(node: Rc<Node>, store: S)
where
    S: PlatformStore,
{
    let mut lease = left_lease(&node).await;
    loop {
        let kept = match lease {
            Some(lease) => store.renew(lease).await.map(|()| lease),
            None => register(&node, &store).await,
        };
        match kept {
            Ok(kept) => lease = Some(kept),
            Err(StoreError::LeaseEnded) => {
                lease = None;
                continue;
            }
            Err(error) => log::debug!(error:% = error; "entry-not-kept"),
        }
        sleep(if lease.is_some() { ENTRY_RENEWAL } else { ENTRY_FAILED_PAUSE }).await;
    }
}

/// The lease of the entry that the last start of this VM left, once the store was read, or without it soon.
///
/// Load: all VMs lose power and are back before their entries end. To write the same entries anew takes two calls each;
/// a renewal of the lease that is there costs a tenth of one.
async fn left_lease(node: &Node) -> Option<LeaseId> {
    if node.settings.is_first_start {
        return None;
    }
    let until = Instant::now() + FIRST_READING;
    while node.store_view.borrow().reached().is_none() && Instant::now() < until {
        sleep(FIRST_READING_LOOK).await;
    }
    node.store_view.borrow().left_lease()
}

async fn register<S>(node: &Node, store: &S) -> Result<LeaseId, StoreError>
where
    S: PlatformStore,
{
    let lease = store.grant(ENTRY_LIFETIME).await?;
    let put = {
        let peers = node.peers.borrow();
        let me = peers.book.me();
        let card = serde_json::to_vec(me)
            .map_err(|error| StoreError::Unreadable { what: error.to_string() })?;
        (peer_key(me), card, Some(lease))
    };
    store.commit(&Commit { puts: vec![put], ..Commit::default() }).await?;
    Ok(lease)
}

#[cfg(test)]
mod tests;
