//! Reads changes of the platform's store and keeps this VM's entry in it.

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
        version_history::update_version_history,
        view::{apply_changes, apply_snapshot, peer_key},
    },
};

/// Maximum time that a starting VM waits for the first read of the store before it writes a new entry. Other VMs don't
/// know of this VM until the entry is written.
const INITIAL_READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before a VM reads the store at the first start of the whole system.
///
/// Hundreds of VMs start at once while the store holds no configuration and no VM yet, and each would poll it until it
/// does. After the delay the VMs know of each other and a few read the store for all, in time for the first callers.
const FIRST_START_DELAY: Duration = Duration::from_millis(2_500);
/// Interval at which completion of the first read is polled.
const INITIAL_READ_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before another attempt after this VM's entry couldn't be written or renewed.
const ENTRY_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time that the store may hold a request for changes open. Until it answers, this VM has no new freshness
/// confirmation for other VMs.
const MAX_CHANGES_WAIT: Duration = Duration::from_millis(250);
/// Interval at which a VM checks whether the reports of other VMs are new enough.
const FRESHNESS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Lifetime of this VM's entry: three renewal intervals, so that a slow store or a short outage doesn't remove it.
/// Until the entry of a stopped VM expires, the other VMs count that VM and its share of the quotas is unused.
const ENTRY_TTL: Duration = Duration::from_secs(12);
/// Interval between two renewals of this VM's entry.
const ENTRY_RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

/// Follows the store for as long as the process runs.
pub(crate) async fn follow_store<S>(node: Rc<Node>, store: S, socket: Rc<UdpSocket>)
where
    S: PlatformStore,
{
    let mut failures = 0_u32;
    let mut is_following = false;
    let mut missing = None;
    if node.settings.is_first_start {
        sleep(FIRST_START_DELAY).await;
    }
    fetch_state(&node, &store, &socket).await;
    loop {
        begin_outage_if_unreachable(&node);
        fetch_config(&node, &store, &mut missing).await;
        if !must_read_store(&node) {
            if !std::mem::replace(&mut is_following, true) {
                log::info!("store-told-by-others");
            }
            log_regained(&mut failures);
            sleep(FRESHNESS_POLL_INTERVAL).await;
            continue;
        }
        if std::mem::take(&mut is_following) {
            let age_ms =
                node.freshness.get().age(clock::now()).map_or(0, |it| it.as_millis() as u64);
            log::info!(age_ms; "store-read-here");
        }
        let requested_at = clock::now();
        let pause = match read_store(&node, &store, requested_at).await {
            Ok(ReadConsistency::MayBeStale) => Duration::ZERO,
            Ok(ReadConsistency::Latest) => {
                confirm_freshness(&node, requested_at);
                log_regained(&mut failures);
                let role = node.store_read_role();
                if role == StoreReadRole::Reader {
                    update_version_history(&node, &store).await;
                }
                role.pause_after_answer()
            }
            Err(StoreError::HistoryGone) => {
                log::info!("store-history-gone");
                record_store_contact(&node, ContactSpan::at(requested_at));
                node.store_view.borrow_mut().invalidate();
                Duration::ZERO
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(error:% = error; "store-lost");
                }
                failures += 1;
                let is_small = node.peers.borrow().table.is_small();
                node.store_read_role().pause_after_failures(failures, is_small)
            }
        };
        sleep(pause).await;
    }
}

/// Resets the number of failures and logs that they ended: the store answers again, or the reports of other VMs are
/// enough.
fn log_regained(failures: &mut u32) {
    if std::mem::take(failures) > 0 {
        log::info!("store-regained");
    }
}

/// Begins a store outage if the store has answered neither this VM nor any VM in contact with it for so long that
/// entries expire.
pub(crate) fn begin_outage_if_unreachable(node: &Node) {
    let Some(since) = node.store_contact.get().unreachable_since(clock::now()) else { return };
    node.servers.borrow_mut().begin_store_outage(since);
}

/// Records a span in which the store answered this VM or one in contact with it. Must be called before the content of
/// the answer is applied: whether a removal may be an expiry depends on the span.
pub(crate) fn record_store_contact(node: &Node, span: ContactSpan) {
    let mut contact = node.store_contact.get();
    let update = contact.record(span);
    node.store_contact.set(contact);
    let now = clock::now();
    let mut servers = node.servers.borrow_mut();
    // A VM that was cut off and began an outage may then learn of answers without a gap, which are no change of the
    // contact. Without this check the outage would never end.
    let is_reachable = contact.unreachable_since(now).is_none();
    match update {
        StoreUpdate::Unchanged if is_reachable && servers.is_store_unreachable() => {
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

/// Returns whether this VM has to read the store itself.
fn must_read_store(node: &Node) -> bool {
    let has_full_state = node.store_view.borrow().reached().is_some() && node.config().is_some();
    let role = node.store_read_role();
    let max_age = role.max_confirmation_age(node.settings.bounds.change_in_force);
    let is_fresh = node.freshness.get().is_within(max_age, clock::now());
    !has_full_state || role == StoreReadRole::Reader || !is_fresh
}

/// Reads the store and returns how current the data is.
///
/// The first full read may return data that is seconds old: that costs a tenth of a consistent read, and all VMs may
/// start together. The changes since are requested at once, and only their answer confirms freshness.
async fn read_store<S>(
    node: &Node,
    store: &S,
    requested_at: TimePoint,
) -> Result<ReadConsistency, StoreError>
where
    S: PlatformStore,
{
    let reached = node.store_view.borrow().reached();
    if let Some(after) = reached {
        // A VM without any freshness confirmation serves no requests, so it doesn't wait for a change.
        let wait = if node.was_confirmed_fresh() { MAX_CHANGES_WAIT } else { Duration::ZERO };
        let changes = store.changes(after, wait).await?;
        record_store_contact(node, ContactSpan::at(requested_at));
        // When thousands of servers change at once, the answer holds only the first changes. Treated as the newest
        // state, it would hide a configuration among the later changes, whose routes would be answered 404.
        let consistency = if changes.may_be_truncated {
            ReadConsistency::MayBeStale
        } else {
            ReadConsistency::Latest
        };
        apply_changes(node, changes);
        return Ok(consistency);
    }
    if !node.store_view.borrow().was_ever_read() {
        apply_snapshot(node, store.snapshot(ReadConsistency::MayBeStale).await?);
        return Ok(ReadConsistency::MayBeStale);
    }
    let snapshot = store.snapshot(ReadConsistency::Latest).await?;
    record_store_contact(node, ContactSpan::at(requested_at));
    apply_snapshot(node, snapshot);
    Ok(ReadConsistency::Latest)
}

/// Reads a configuration that other VMs have and this VM lacks, unless it is to be fetched from those VMs.
async fn fetch_config<S>(node: &Node, store: &S, missing: &mut Option<MissingConfig>)
where
    S: PlatformStore,
{
    let known = node.config().map_or(0, |it| it.version);
    let newest = node.reported_config_version.get();
    if newest <= known {
        *missing = None;
        return;
    }
    let now = clock::now();
    let missing = missing.get_or_insert_with(|| MissingConfig::new(newest, now));
    let consistency = match missing.next_source(newest, node.settings.bounds.change_in_force, now) {
        ConfigSource::Peers => return,
        ConfigSource::StaleRead => ReadConsistency::MayBeStale,
        ConfigSource::ConsistentRead => ReadConsistency::Latest,
    };
    match store.config(consistency).await {
        Ok(Some(config)) => node.apply_config(config),
        Ok(None) => {}
        Err(error) => log::debug!(error:% = error; "config-not-read"),
    }
}

/// Records a freshness confirmation: the answer to a request sent at `requested_at` contained nothing newer than this
/// VM's view.
///
/// Does nothing if other VMs have a newer configuration, since relayed changes may have advanced the view past it.
pub(crate) fn confirm_freshness(node: &Node, requested_at: TimePoint) {
    if node.config().is_none_or(|it| it.version < node.reported_config_version.get()) {
        return;
    }
    let mut freshness = node.freshness.get();
    freshness.record_confirmation(requested_at, clock::now());
    node.freshness.set(freshness);
}

/// The lease of this VM's entry, and the store's era in which the entry was last seen under it.
#[derive(Clone, Copy, Debug)]
struct EntryLease {
    lease: LeaseId,
    era: u64,
}

/// Writes this VM's entry to the store and renews it for as long as the process runs.
pub(crate) async fn maintain_entry<S>(node: Rc<Node>, store: S)
where
    S: PlatformStore,
{
    let previous = await_previous_lease(&node).await;
    let era = node.store_view.borrow().era();
    let mut entry = previous.map(|lease| EntryLease { lease, era });
    loop {
        let kept = match entry {
            Some(entry) if entry.era == store.era() => {
                store.renew(entry.lease).await.map(|()| Some(entry))
            }
            Some(entry) => find_entry(&node, &store, entry.lease).await,
            None => register(&node, &store).await.map(Some),
        };
        match kept {
            Ok(Some(kept)) => entry = Some(kept),
            Ok(None) | Err(StoreError::LeaseEnded) => {
                entry = None;
                continue;
            }
            Err(error) => log::debug!(error:% = error; "entry-not-kept"),
        }
        // In a later era the lease may be that of another client, with the same number.
        let is_certain = entry.is_some_and(|it| it.era == store.era());
        sleep(if is_certain { ENTRY_RENEWAL_INTERVAL } else { ENTRY_RETRY_INTERVAL }).await;
    }
}

/// Returns this VM's entry if a store that has returned from an older copy has it under its lease.
async fn find_entry<S>(
    node: &Node,
    store: &S,
    lease: LeaseId,
) -> Result<Option<EntryLease>, StoreError>
where
    S: PlatformStore,
{
    let (key, descriptor) = own_entry(node)?;
    let found = store.get(&key).await?;
    let found = found.filter(|it| it.lease == Some(lease) && it.value == descriptor);
    let found = found.map(|it| EntryLease { lease, era: it.revision.era() });
    log::info!(is_found = found.is_some(), era = store.era(); "entry-looked-up");
    Ok(found)
}

/// Waits for the first read of the store, up to a timeout, and returns the lease of the entry that the previous start
/// of this VM left.
///
/// After a power loss all VMs may be back before their entries expire. Writing the same entry again takes two calls; a
/// renewal of the existing lease costs a tenth of one.
async fn await_previous_lease(node: &Node) -> Option<LeaseId> {
    if node.settings.is_first_start {
        return None;
    }
    let deadline = Instant::now() + INITIAL_READ_TIMEOUT;
    while node.store_view.borrow().reached().is_none() && Instant::now() < deadline {
        sleep(INITIAL_READ_POLL_INTERVAL).await;
    }
    node.store_view.borrow().previous_lease()
}

/// Writes this VM's entry under a new lease.
async fn register<S>(node: &Node, store: &S) -> Result<EntryLease, StoreError>
where
    S: PlatformStore,
{
    let lease = store.grant(ENTRY_TTL).await?;
    let era = store.era();
    let (key, descriptor) = own_entry(node)?;
    let puts = vec![(key, descriptor, Some(lease))];
    store.commit(&Commit { puts, ..Commit::default() }).await?;
    if store.era() != era {
        // The entry may be under the lease of another client, which got the number again.
        return Err(StoreError::Conflict);
    }
    Ok(EntryLease { lease, era })
}

/// Returns the key and the value of this VM's entry.
fn own_entry(node: &Node) -> Result<(String, Vec<u8>), StoreError> {
    let peers = node.peers.borrow();
    let me = peers.table.me();
    let descriptor = serde_json::to_vec(me)
        .map_err(|error| StoreError::Unreadable { what: error.to_string() })?;
    Ok((peer_key(me), descriptor))
}

#[cfg(test)]
mod tests;
