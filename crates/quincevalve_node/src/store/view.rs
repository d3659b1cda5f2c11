//! What this VM knows of the platform's store, whether it read it itself or was told.

use bincode::Options;
use indexmap::{IndexMap, IndexSet};
use quincevalve_forwarding::{
    change_log::{ChangeBatch, ChangeLog},
    config::ForwardingConfig,
    peer_table::VmDescriptor,
    poison::QuarantineEntry,
    request_digest::RequestDigest,
    rollout::record::{RolloutOrder, RolloutRecord},
    servers::{Removal, ServerEntry},
};
use quincevalve_names::{BackendServerName, DataCentreName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::{
    clock,
    node::Node,
    peers::encoding,
    ports::{Change, Changes, LeaseId, Snapshot, StoreRevision, SystemItem},
    quarantine::{QUARANTINE_KEY_PREFIX, digest_of, parse_entry},
    rollouts::{self, ROLLOUT_KEY_PREFIX},
};

/// Keys of entry VMs, each with its card: the data centre, and the name in it.
const PEER_KEYS: &str = "peers/";
/// The key that the holder of the duties keeps under its lease.
pub(crate) const HOLDER_KEY: &str = "duty/holder";

/// What the keys of the entry VMs of a data centre begin with.
pub(crate) fn peer_keys(centre: &DataCentreName) -> String {
    format!("{PEER_KEYS}{}/", centre.as_str())
}

/// The key of an entry VM.
pub(crate) fn peer_key(card: &VmDescriptor) -> String {
    peer_keys(&card.data_centre) + &card.name
}

/// A change that is passed on to other VMs. Configurations are too large for that: each VM reads a new one
/// itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Passed {
    Server(BackendServerName, ServerEntry),
    ServerRemoved(BackendServerName),
    /// What stands under its name can't be read.
    ServerUnreadable(BackendServerName),
    Own {
        key: String,
        value: Vec<u8>,
    },
    OwnRemoved(String),
    /// The operators' order for a service; `None` once it was removed.
    RolloutOrder(ServiceName, Option<RolloutOrder>),
    /// There is a configuration of this version.
    ///
    /// Failure: a VM that can't read the new configuration passes on what came after it. Symptom: who is told
    /// so looks up to date and serves by the old one. The version stands among the changes, so that nobody
    /// gets past it without knowing of it.
    Config(u64),
}

/// Bytes of changes in one datagram at most: a hundred servers that leave together. With the shares of a hundred servers
/// beside them a datagram stays below half of the largest.
pub(crate) const PASSED_BYTES: usize = 20 << 10;
/// Bytes of a change's revision in a datagram at most.
const REVISION_BYTES: usize = 9;

impl Passed {
    /// The bytes that it takes in a datagram at most.
    fn bytes(&self) -> usize {
        let size = encoding().serialized_size(self).unwrap_or(u64::MAX);
        REVISION_BYTES + usize::try_from(size).unwrap_or(usize::MAX)
    }

    /// Whether other VMs need it.
    ///
    /// Failure: the holder of the duties keeps counts in the store each second, thousands of bytes each time, and
    /// they were passed on to all VMs. Symptom: datagrams of 60 KB and more were cut, nobody heard of a
    /// server that leaves, and all VMs read the store by themselves. Who takes the duties over reads these keys
    /// itself; others need the entries of VMs and of the holder.
    fn concerns_others(&self) -> bool {
        match self {
            Self::Own { key, .. } | Self::OwnRemoved(key) => {
                key == HOLDER_KEY
                    || [PEER_KEYS, QUARANTINE_KEY_PREFIX, ROLLOUT_KEY_PREFIX]
                        .iter()
                        .any(|it| key.starts_with(it))
            }
            Self::Server(..)
            | Self::ServerRemoved(_)
            | Self::ServerUnreadable(_)
            | Self::RolloutOrder(..)
            | Self::Config(_) => true,
        }
    }
}

/// The revision that this VM has reached, and what led there.
#[derive(Debug, Default)]
pub(crate) struct StoreView {
    log: ChangeLog<Passed>,
    /// Whether everything was read once.
    complete: bool,
    /// The newest change that the last whole reading held; the log goes on from an older one.
    read_upto: StoreRevision,
    /// The lease of the entry that the last start of this VM left.
    left_lease: Option<LeaseId>,
}

impl StoreView {
    /// The lease of the entry that the last start of this VM left, if it says what this start would say.
    pub(crate) fn left_lease(&self) -> Option<LeaseId> {
        self.left_lease
    }

    /// The revision that was reached; `None` before everything was read once.
    pub(crate) fn reached(&self) -> Option<StoreRevision> {
        self.complete.then(|| StoreRevision(self.log.upto()))
    }

    /// Whether everything was read once, however long ago.
    pub(crate) fn was_read(&self) -> bool {
        self.log.upto() > 0
    }

    /// What a VM lacks that has reached `seen`.
    pub(crate) fn since(&self, seen: StoreRevision, bytes: usize) -> Option<ChangeBatch<Passed>> {
        self.log.since(seen.0, bytes, Passed::bytes).filter(|_| self.complete)
    }

    /// Begins anew: what was reached is no longer kept by the store.
    pub(crate) fn forget(&mut self) {
        self.complete = false;
    }
}

/// All that a VM needs of the store, as it stood at a revision.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Whole {
    pub(crate) at: u64,
    /// The newest change that is in it.
    pub(crate) newest: u64,
    pub(crate) config: Option<ForwardingConfig>,
    pub(crate) servers: Vec<(BackendServerName, ServerEntry)>,
    /// Names of servers under which something stands that can't be read.
    pub(crate) unreadable: Vec<BackendServerName>,
    pub(crate) vms: Vec<VmDescriptor>,
    /// The holder of the duties.
    pub(crate) holder: Option<String>,
    /// Requests that are kept from servers.
    pub(crate) quarantine: Vec<(RequestDigest, QuarantineEntry)>,
    /// The operators' orders for roll-outs.
    pub(crate) rollout_orders: Vec<(ServiceName, RolloutOrder)>,
    /// How far roll-outs have come.
    pub(crate) rollouts: Vec<(ServiceName, RolloutRecord)>,
}

/// Takes the whole store as this VM read it.
pub(crate) fn take_snapshot(node: &Node, snapshot: Snapshot) {
    for (name, what) in &snapshot.unreadable {
        log::error!(name = name.as_str(), what; "store-item-unreadable");
    }
    note_left_lease(node, &snapshot.system_items);
    let holder = snapshot.system_items.iter().find(|it| it.key == HOLDER_KEY);
    let holder = holder.map(|it| holder_name(&it.value));
    let (at, newest, servers) = (snapshot.at.0, snapshot.newest.0, snapshot.servers.len());
    let differences = differences(node, &snapshot);
    let whole = Whole {
        at,
        newest,
        config: snapshot.config,
        servers: snapshot.servers,
        unreadable: snapshot.unreadable.into_iter().map(|(name, _)| name).collect(),
        vms: cards(&snapshot.system_items),
        holder,
        quarantine: snapshot
            .system_items
            .iter()
            .filter_map(|it| parse_entry(&it.key, &it.value))
            .collect(),
        rollouts: rollouts::parse_records(&snapshot.system_items),
        rollout_orders: snapshot.rollouts,
    };
    let logged = node.store_view.borrow().log.clone();
    if take_whole(node, whole) {
        log::info!(revision = at, servers; "store-read");
        if let Some(differences) = differences {
            let mut view = node.store_view.borrow_mut();
            view.log = logged;
            view.log.extend(differences.into_iter().map(|it| (at, it)), at);
        }
    }
}

/// What the whole store holds otherwise than this VM knew, as changes for other VMs; `None` before this VM knew anything, and
/// where a datagram doesn't hold it.
///
/// Failure: the store drops its history, and the VMs that read it for all read the whole of it. Symptom: nobody else knows
/// what changed before, each of hundreds of VMs reads the whole store, for longer than keys may go unproved, and all callers
/// are refused. With the differences others go on from what they know.
fn differences(node: &Node, snapshot: &Snapshot) -> Option<Vec<Passed>> {
    let view = node.store_view.borrow();
    if !view.was_read() || snapshot.at.0 < view.log.upto() {
        return None;
    }
    let mut differences = server_differences(node, snapshot);
    differences.extend(own_differences(node, snapshot));
    let orders = snapshot.rollouts.iter();
    differences
        .extend(orders.map(|(it, order)| Passed::RolloutOrder(it.clone(), Some(order.clone()))));
    let rollouts = node.rollouts.borrow();
    let removed = rollouts.orders().map(|(it, _)| it);
    let removed = removed.filter(|it| !snapshot.rollouts.iter().any(|(name, _)| name == *it));
    differences.extend(removed.map(|it| Passed::RolloutOrder(it.clone(), None)));
    differences.extend(snapshot.config.iter().map(|it| Passed::Config(it.version)));
    let bytes: usize = differences.iter().map(Passed::bytes).sum();
    (bytes <= PASSED_BYTES).then_some(differences)
}

fn server_differences(node: &Node, snapshot: &Snapshot) -> Vec<Passed> {
    let servers = node.servers.borrow();
    let read: IndexMap<_, _> = snapshot.servers.iter().map(|(name, it)| (name, it)).collect();
    let unreadable: IndexSet<_> = snapshot.unreadable.iter().map(|(name, _)| name).collect();
    let known: IndexMap<_, _> = servers.listed_entries().collect();
    let changed = read.iter().filter(|(name, it)| known.get(**name) != Some(**it));
    let changed = changed.map(|(name, it)| Passed::Server((*name).clone(), (*it).clone()));
    let removed = known.keys().filter(|it| !read.contains_key(it) && !unreadable.contains(it));
    let removed = removed.map(|it| Passed::ServerRemoved(it.clone()));
    let unreadable = unreadable.iter().map(|it| Passed::ServerUnreadable((*it).clone()));
    changed.chain(removed).chain(unreadable).collect()
}

/// The same of the system's own keys: entries of VMs that differ, and all of the few others that other VMs need.
fn own_differences(node: &Node, snapshot: &Snapshot) -> Vec<Passed> {
    let peers = node.peers.borrow();
    let listed: IndexMap<String, &VmDescriptor> =
        peers.book.listed_descriptors().map(|it| (peer_key(it), it)).collect();
    let is_known = |it: &&SystemItem| {
        it.key.starts_with(PEER_KEYS)
            && card(&it.key, &it.value).is_some_and(|read| listed.get(&it.key) == Some(&&read))
    };
    let changed = snapshot.system_items.iter().filter(|it| !is_known(it));
    let changed = changed.map(|it| Passed::Own { key: it.key.clone(), value: it.value.clone() });
    let read: IndexSet<&str> = snapshot.system_items.iter().map(|it| it.key.as_str()).collect();
    let holder = peers.holder().map(|_| HOLDER_KEY.to_owned());
    let poison = node.poison.borrow();
    let quarantined =
        poison.stored_entries().map(|(digest, _)| format!("{QUARANTINE_KEY_PREFIX}{digest}"));
    let me = peer_key(peers.book.me());
    let known = listed.keys().filter(|it| **it != me).cloned().chain(holder).chain(quarantined);
    let removed = known.filter(|it| !read.contains(it.as_str())).map(Passed::OwnRemoved);
    changed.chain(removed).filter(Passed::concerns_others).collect()
}

/// Takes what the whole store holds, unless this VM knows something newer.
pub(crate) fn take_whole(node: &Node, whole: Whole) -> bool {
    let now = clock::now();
    if let Some(config) = whole.config {
        node.apply_config(config);
    }
    if node.store_view.borrow().reached().is_some_and(|it| it.0 >= whole.at) {
        return false;
    }
    let missing = node.servers.borrow_mut().replace_all(whole.servers, &whole.unreadable, now);
    for (name, taken_for) in missing {
        tell_removed(&name, Some(taken_for));
    }
    node.poison.borrow_mut().replace_all(whole.quarantine, now);
    let was_running = node.store_view.borrow().was_read();
    rollouts::replace_all(node, whole.rollout_orders, whole.rollouts, was_running);
    let mut peers = node.peers.borrow_mut();
    peers.book.replace_all(whole.vms);
    peers.holder_seen(whole.holder);
    let mut view = node.store_view.borrow_mut();
    view.log.reset(whole.at);
    view.read_upto = StoreRevision(whole.newest);
    view.complete = true;
    true
}

/// What this VM knows of the store, for another; `None` before everything was read once.
pub(crate) fn whole(node: &Node) -> Option<Whole> {
    let at = node.store_view.borrow().reached()?.0;
    let config = node.config()?;
    let servers = node.servers.borrow();
    let peers = node.peers.borrow();
    Some(Whole {
        at,
        newest: at,
        config: Some((*config).clone()),
        servers: servers.listed_entries().collect(),
        unreadable: Vec::new(),
        vms: peers.book.listed_descriptors().cloned().collect(),
        holder: peers.holder().map(str::to_owned),
        quarantine: node.poison.borrow().stored_entries().collect(),
        rollout_orders: owned(node.rollouts.borrow().orders()),
        rollouts: owned(node.rollouts.borrow().records()),
    })
}

fn owned<'a, T>(items: impl Iterator<Item = (&'a ServiceName, &'a T)>) -> Vec<(ServiceName, T)>
where
    T: Clone + 'a,
{
    items.map(|(service, it)| (service.clone(), it.clone())).collect()
}

/// Notes the lease of the entry that the last start of this VM left, if it is among these items.
pub(crate) fn note_left_lease(node: &Node, own: &[SystemItem]) {
    let peers = node.peers.borrow();
    let me = peers.book.me();
    let is_mine = |it: &&SystemItem| card(&it.key, &it.value).as_ref() == Some(me);
    let lease = own.iter().find(is_mine).and_then(|it| it.lease);
    node.store_view.borrow_mut().left_lease = lease;
}

/// Takes changes that this VM read itself.
pub(crate) fn take_changes(node: &Node, changes: Changes) {
    let mut passed = Vec::new();
    for (at, change) in changes.changes {
        match change {
            Change::Config(config) => {
                passed.push((at.0, Passed::Config(config.version)));
                node.apply_config(*config);
            }
            Change::Unreadable(what) => log::error!(what; "store-item-unreadable"),
            Change::ServerUnreadable(name, what) => {
                log::error!(name = name.as_str(), what; "store-item-unreadable");
                passed.push((at.0, Passed::ServerUnreadable(name)));
            }
            Change::Server(name, entry) => passed.push((at.0, Passed::Server(name, entry))),
            Change::ServerRemoved(name) => passed.push((at.0, Passed::ServerRemoved(name))),
            Change::RolloutOrder(service, order) => {
                passed.push((at.0, Passed::RolloutOrder(service, Some(order))));
            }
            Change::RolloutOrderRemoved(service) => {
                passed.push((at.0, Passed::RolloutOrder(service, None)));
            }
            Change::SystemItem(SystemItem { key, value, .. }) => {
                passed.push((at.0, Passed::Own { key, value }));
            }
            Change::SystemItemRemoved(key) => passed.push((at.0, Passed::OwnRemoved(key))),
        }
    }
    take_passed(node, passed, changes.at);
}

/// Takes changes that another VM passed on; `false` where some before them are missing here.
pub(crate) fn take_excerpt(node: &Node, excerpt: ChangeBatch<Passed>) -> bool {
    let reached = node.store_view.borrow().reached();
    if reached.is_none_or(|it| it.0 < excerpt.after) {
        return false;
    }
    take_passed(node, excerpt.changes, StoreRevision(excerpt.upto));
    true
}

/// Takes changes in order.
///
/// Failure: this VM waits for the store's answer while another VM passes newer changes on. Symptom: the
/// answer, older than what is known by then, brings back a server that is gone. Changes up to the revision
/// that was reached are left out.
///
/// Failure: a whole reading takes several pages, and a later page holds changes that came after the first. Symptom: as
/// changes they are no news here, and aren't passed on; others look up to date and use a server that leaves. What
/// changed up to the newest item that was read is passed on in any case.
fn take_passed(node: &Node, passed: Vec<(u64, Passed)>, upto: StoreRevision) {
    let reached = node.store_view.borrow().reached().map_or(0, |it| it.0);
    let read_upto = node.store_view.borrow().read_upto.0;
    let mut kept = Vec::new();
    for (at, change) in passed.into_iter().filter(|(at, _)| *at > reached) {
        // Servers renew their entries all the time; only what changes is worth passing on.
        let is_news = apply(node, &change) || at <= read_upto;
        if is_news && change.concerns_others() {
            kept.push((at, change));
        }
    }
    if !kept.is_empty() {
        node.changed.notify_waiters();
    }
    node.store_view.borrow_mut().log.extend(kept, upto.0);
}

/// Makes a change known here; `false` if nothing is new in it.
fn apply(node: &Node, change: &Passed) -> bool {
    let now = clock::now();
    match change {
        Passed::Server(name, entry) => {
            let mut servers = node.servers.borrow_mut();
            let known = servers.get(name).map(|it| it.entry.clone());
            let told = |it: &ServerEntry| (it.start, it.draining);
            if known.as_ref().map(told) != Some(told(entry)) {
                log::info!(
                    server = name.as_str(), start = entry.start.0, draining = entry.draining,
                    reclaimable = entry.reclaimable;
                    "server-listed"
                );
            }
            let is_new =
                servers.apply_entry(name, entry.clone(), now) || known.as_ref() != Some(entry);
            return is_new;
        }
        Passed::ServerRemoved(name) => {
            tell_removed(name, node.servers.borrow_mut().remove_entry(name, now));
        }
        Passed::ServerUnreadable(name) => node.servers.borrow_mut().mark_unreadable(name),
        Passed::Own { key, value } if key == HOLDER_KEY => {
            node.peers.borrow_mut().holder_seen(Some(holder_name(value)));
        }
        Passed::RolloutOrder(service, order) => {
            rollouts::apply_order(node, service, order.clone());
        }
        Passed::Own { key, value } if key.starts_with(ROLLOUT_KEY_PREFIX) => {
            if let Some((service, record)) = rollouts::parse_record(key, value) {
                rollouts::apply_record(node, &service, record);
            }
        }
        Passed::Own { key, value } if key.starts_with(QUARANTINE_KEY_PREFIX) => {
            if let Some((digest, entry)) = parse_entry(key, value) {
                node.poison.borrow_mut().apply_entry(digest, entry);
            }
        }
        Passed::Own { key, value } => {
            if let Some(card) = card(key, value)
                && node.peers.borrow_mut().book.apply_entry(card)
            {
                log::info!(peer = key; "peer-found");
            }
        }
        Passed::Config(version) => {
            node.reported_config_version.set(node.reported_config_version.get().max(*version));
        }
        Passed::OwnRemoved(key) if key == HOLDER_KEY => node.peers.borrow_mut().holder_seen(None),
        Passed::OwnRemoved(key) if key.starts_with(QUARANTINE_KEY_PREFIX) => {
            if let Some(digest) = digest_of(key) {
                node.poison.borrow_mut().remove_entry(digest, now);
            }
        }
        Passed::OwnRemoved(key) => {
            let place = key.strip_prefix(PEER_KEYS);
            if let Some((_, name)) = place.and_then(|it| it.split_once('/')) {
                node.peers.borrow_mut().book.mark_unlisted(name);
            }
        }
    }
    true
}

/// Says what a removal is taken for, so that requests which reach the server afterwards can be explained.
fn tell_removed(name: &BackendServerName, taken_for: Option<Removal>) {
    let taken_for = match taken_for {
        Some(Removal::Leaving) => "leaving",
        Some(Removal::MayHaveExpired) => "lapse",
        None => "known",
    };
    log::info!(server = name.as_str(), taken_for; "server-removed");
}

/// The cards of the VMs among these items.
pub(crate) fn cards(own: &[SystemItem]) -> Vec<VmDescriptor> {
    own.iter().filter_map(|it| card(&it.key, &it.value)).collect()
}

fn card(key: &str, value: &[u8]) -> Option<VmDescriptor> {
    key.strip_prefix(PEER_KEYS)?;
    match serde_json::from_slice(value) {
        Ok(card) => Some(card),
        Err(error) => {
            log::error!(key, error:% = error; "peer-entry-unreadable");
            None
        }
    }
}

fn holder_name(value: &[u8]) -> String {
    String::from_utf8_lossy(value).into_owned()
}

#[cfg(test)]
mod tests;
