//! What this VM learns from the platform's store, and its own entry there.

use std::{rc::Rc, time::Duration};

use quincevalve_forwarding::peer_book::VmCard;
use tokio::time::sleep;

use crate::{
    clock,
    node::Node,
    ports::{
        Change, Changes, Commit, LeaseId, OwnItem, PlatformStore, Snapshot, StoreError,
        StoreRevision,
    },
};

/// Keys of entry VMs, each with its card.
const PEER_KEYS: &str = "peers/";
/// The key that the holder of the duties keeps under its lease.
pub(crate) const HOLDER_KEY: &str = "duty/holder";
/// The longest wait of one question for changes.
const WAIT: Duration = Duration::from_millis(700);
/// Pause after an answer. Servers renew their entries many times a second, so a waiting question is
/// answered at once; with the pause a VM asks once a second, and a change is known in a little more than a
/// second where two are allowed.
const PAUSE: Duration = Duration::from_secs(1);
/// Pause after a failure: short, for a VM without a new proof refuses keys soon.
const FAILED_PAUSE: Duration = Duration::from_millis(250);
/// Lifetime of this VM's own entry; long against renewals, so that a slow store doesn't remove it.
const ENTRY_LIFETIME: Duration = Duration::from_secs(10);
/// Time between two renewals of it.
const ENTRY_RENEWAL: Duration = Duration::from_secs(3);

/// Keeps up with the store for as long as the process lives.
pub(crate) async fn follow_store<S>(node: Rc<Node>, store: S)
where
    S: PlatformStore,
{
    let mut at: Option<StoreRevision> = None;
    let mut is_lost = false;
    loop {
        let asked = clock::now();
        let result = match at {
            None => store.snapshot().await.map(|it| take_snapshot(&node, it)),
            Some(after) => store.changes(after, WAIT).await.map(|it| take_changes(&node, it)),
        };
        let pause = match result {
            Ok(next) => {
                let mut freshness = node.freshness.get();
                freshness.proved(asked);
                node.freshness.set(freshness);
                if std::mem::take(&mut is_lost) {
                    log::info!(revision = next.0; "store-regained");
                    node.servers.borrow_mut().store_found(clock::now());
                }
                at = Some(next);
                if node.config.borrow().is_some() { PAUSE } else { FAILED_PAUSE }
            }
            Err(StoreError::HistoryGone) => {
                log::info!(revision = at.map_or(0, |it| it.0); "store-history-gone");
                at = None;
                Duration::ZERO
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    log::warn!(error:% = error; "store-lost");
                    node.servers.borrow_mut().store_lost(clock::now());
                }
                FAILED_PAUSE
            }
        };
        sleep(pause).await;
    }
}

fn take_snapshot(node: &Node, snapshot: Snapshot) -> StoreRevision {
    let now = clock::now();
    if let Some(config) = snapshot.config {
        node.apply_config(config);
    }
    log::info!(revision = snapshot.at.0, servers = snapshot.servers.len(); "store-read");
    node.servers.borrow_mut().replace_all(snapshot.servers, now);
    let mut peers = node.peers.borrow_mut();
    peers.book.replace_all(snapshot.own.iter().filter_map(peer).collect());
    let holder = snapshot.own.iter().find(|it| it.key == HOLDER_KEY);
    peers.holder_seen(holder.map(|it| holder_name(&it.value)));
    snapshot.at
}

fn take_changes(node: &Node, changes: Changes) -> StoreRevision {
    for change in changes.changes {
        take_change(node, change);
    }
    changes.at
}

fn take_change(node: &Node, change: Change) {
    let now = clock::now();
    match change {
        Change::Config(config) => node.apply_config(*config),
        Change::Server(name, entry) => {
            let mut servers = node.servers.borrow_mut();
            let was = servers.get(&name).map(|it| it.entry.draining);
            if was != Some(entry.draining) {
                log::info!(server = name.as_str(), draining = entry.draining, reclaimable = entry.reclaimable; "server-listed");
            }
            servers.listed(&name, entry, now);
        }
        Change::ServerRemoved(name) => {
            log::info!(server = name.as_str(); "server-removed");
            node.servers.borrow_mut().removed(&name, now);
        }
        Change::Own(item) if item.key == HOLDER_KEY => {
            node.peers.borrow_mut().holder_seen(Some(holder_name(&item.value)));
        }
        Change::Own(item) => {
            if let Some(card) = peer(&item)
                && node.peers.borrow_mut().book.listed(card)
            {
                log::info!(peer = item.key; "peer-found");
            }
        }
        Change::OwnRemoved(key) if key == HOLDER_KEY => node.peers.borrow_mut().holder_seen(None),
        Change::OwnRemoved(key) => {
            if let Some(name) = key.strip_prefix(PEER_KEYS) {
                node.peers.borrow_mut().book.unlisted(name);
            }
        }
        Change::Unreadable(what) => log::error!(what; "store-item-unreadable"),
    }
}

fn peer(item: &OwnItem) -> Option<VmCard> {
    item.key.strip_prefix(PEER_KEYS)?;
    match serde_json::from_slice(&item.value) {
        Ok(card) => Some(card),
        Err(error) => {
            log::error!(key = item.key, error:% = error; "peer-entry-unreadable");
            None
        }
    }
}

fn holder_name(value: &[u8]) -> String {
    String::from_utf8_lossy(value).into_owned()
}

/// Keeps this VM's entry in the store for as long as the process lives.
pub(crate) async fn keep_entry<S>(node: Rc<Node>, store: S)
where
    S: PlatformStore,
{
    let mut lease: Option<LeaseId> = None;
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
        sleep(if lease.is_some() { ENTRY_RENEWAL } else { FAILED_PAUSE }).await;
    }
}

async fn register<S>(node: &Node, store: &S) -> Result<LeaseId, StoreError>
where
    S: PlatformStore,
{
    let lease = store.grant(ENTRY_LIFETIME).await?;
    let card = serde_json::to_vec(node.peers.borrow().book.me())
        .map_err(|error| StoreError::Unreadable { what: error.to_string() })?;
    let key = format!("{PEER_KEYS}{}", node.settings.name);
    let put = (key, card, Some(lease));
    store.commit(&Commit { expected: Vec::new(), puts: vec![put] }).await?;
    Ok(lease)
}
