//! This VM's view of the platform's store, built from its own reads and from changes that other VMs relay.

mod apply_change;
mod differences;
mod relayed_change;

use quincevalve_forwarding::{
    change_log::{ChangeBatch, ChangeLog},
    config::ForwardingConfig,
    peer_table::VmDescriptor,
    poison::{PartEntry, QuarantineEntry},
    prompt_parts::PartDigest,
    request_digest::RequestDigest,
    rollout::record::{RolloutOrder, RolloutRecord},
    servers::{Removal, ServerEntry},
    stream_versions::VersionEntry,
};
use quincevalve_names::{BackendServerName, DataCentreName, ServiceName};
use quincevalve_program::contain_panic;
use serde::{Deserialize, Serialize};

pub(crate) use self::relayed_change::{MAX_BATCH_BYTES, RelayedChange};
use self::{
    apply_change::{apply_contained, has_server_address},
    differences::differences,
};
use crate::{
    clock,
    node::Node,
    peers::update_rank,
    ports::{Change, Changes, LeaseId, Snapshot, StoreRevision, SystemItem},
    quarantine::{QuarantinedItems, restore_lost_entries},
    rollouts,
    store::version_history::parse_versions,
};

/// Prefix of the keys of entry VMs. The rest of a key is the data centre and the VM's name; the value is its
/// descriptor.
const PEER_KEYS: &str = "peers/";
/// The key that the holder of the duties keeps under its lease; its value is the holder's name.
pub(crate) const HOLDER_KEY: &str = "duty/holder";

/// Returns the common prefix of the keys of a data centre's entry VMs.
pub(crate) fn peer_key_prefix(centre: &DataCentreName) -> String {
    format!("{PEER_KEYS}{}/", centre.as_str())
}

/// Returns the store key of an entry VM.
pub(crate) fn peer_key(descriptor: &VmDescriptor) -> String {
    peer_key_prefix(&descriptor.data_centre) + &descriptor.name
}

/// The store revision that this VM has reached, and the log of changes up to it.
#[derive(Debug, Default)]
pub(crate) struct StoreView {
    log: ChangeLog<RelayedChange>,
    /// Whether the view covers the whole store. False before the first full read and after [`Self::invalidate`].
    complete: bool,
    /// The newest change that the last full read contained. The log continues from an older revision.
    full_read_upto: StoreRevision,
    /// The lease of the entry that the previous start of this VM left in the store.
    previous_lease: Option<LeaseId>,
}

impl StoreView {
    /// Returns the lease of the entry that the previous start of this VM left, if the entry equals this start's.
    pub(crate) fn previous_lease(&self) -> Option<LeaseId> {
        self.previous_lease
    }

    /// Returns the revision that was reached; `None` while the view isn't complete.
    pub(crate) fn reached(&self) -> Option<StoreRevision> {
        self.complete.then(|| StoreRevision(self.log.upto()))
    }

    /// Returns the store's era as far as this VM knows.
    pub(crate) fn era(&self) -> u64 {
        StoreRevision(self.log.upto()).era()
    }

    /// Returns whether the whole store was read at any time, also if the view has been invalidated since.
    pub(crate) fn was_ever_read(&self) -> bool {
        self.log.upto() > 0
    }

    /// Returns the changes after `revision`, in at most `max_bytes`; `None` if the log doesn't hold them or the view
    /// isn't complete.
    pub(crate) fn changes_since(
        &self,
        revision: StoreRevision,
        max_bytes: usize,
    ) -> Option<ChangeBatch<RelayedChange>> {
        self.log
            .since(revision.0, max_bytes, RelayedChange::max_encoded_bytes)
            .filter(|_| self.complete)
    }

    /// Marks the view as incomplete, so that the whole store is read again: the store no longer keeps the history since
    /// the revision that was reached.
    pub(crate) fn invalidate(&mut self) {
        self.complete = false;
    }
}

/// Everything that a VM needs of the store, as of one revision.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoreState {
    /// The revision of the state.
    pub(crate) at: u64,
    /// The revision of the newest change in the state.
    pub(crate) newest: u64,
    pub(crate) config: Option<ForwardingConfig>,
    pub(crate) servers: Vec<(BackendServerName, ServerEntry)>,
    /// Servers whose entries can't be decoded.
    pub(crate) unreadable: Vec<BackendServerName>,
    pub(crate) vms: Vec<VmDescriptor>,
    /// The name of the VM that holds the duties.
    pub(crate) holder: Option<String>,
    /// Quarantined requests.
    pub(crate) quarantine: Vec<(RequestDigest, QuarantineEntry)>,
    /// The operators' orders for roll-outs.
    pub(crate) rollout_orders: Vec<(ServiceName, RolloutOrder)>,
    /// Records of the progress of roll-outs.
    pub(crate) rollouts: Vec<(ServiceName, RolloutRecord)>,
    /// The entries of the versions that services had recently.
    pub(crate) versions: Vec<(ServiceName, VersionEntry)>,
    /// Quarantined parts of prompts.
    pub(crate) quarantined_parts: Vec<(PartDigest, PartEntry)>,
}

/// Applies a snapshot of the whole store that this VM read.
pub(crate) fn apply_snapshot(node: &Node, mut snapshot: Snapshot) {
    let known = StoreRevision(node.store_view.borrow().log.upto());
    let is_copy = known != StoreRevision::ABSENT && known.era() < snapshot.at.era();
    if is_copy {
        log::warn!(era = snapshot.at.era(), known = known.era(); "store-copy-returned");
        // The copy lists servers that have left since; a server that is there writes its entry again.
        let servers = node.servers.borrow();
        snapshot.servers.retain(|(name, entry)| !servers.has_left(name, entry.start));
    }
    for (name, what) in &snapshot.unreadable {
        log::error!(name = name.as_str(), what; "store-item-unreadable");
    }
    record_previous_lease(node, &snapshot.system_items);
    let holder = snapshot.system_items.iter().find(|it| it.key == HOLDER_KEY);
    let holder = holder.map(|it| holder_name(&it.value));
    let (at, newest, servers) = (snapshot.at.0, snapshot.newest.0, snapshot.servers.len());
    let differences = differences(node, &snapshot);
    let mut quarantined = QuarantinedItems::parse(&snapshot.system_items);
    if is_copy {
        restore_lost_entries(node, &mut quarantined);
    }
    let state = StoreState {
        at,
        newest,
        config: snapshot.config,
        servers: snapshot.servers,
        unreadable: snapshot.unreadable.into_iter().map(|(name, _)| name).collect(),
        vms: parse_descriptors(&snapshot.system_items),
        holder,
        quarantine: quarantined.requests,
        rollouts: rollouts::parse_records(&snapshot.system_items),
        rollout_orders: snapshot.rollouts,
        versions: snapshot
            .system_items
            .iter()
            .filter_map(|it| parse_versions(&it.key, &it.value))
            .collect(),
        quarantined_parts: quarantined.parts,
    };
    let previous_log = node.store_view.borrow().log.clone();
    if apply_state(node, state) {
        log::info!(revision = at, servers; "store-read");
        if let Some(differences) = differences {
            let mut view = node.store_view.borrow_mut();
            view.log = previous_log;
            view.log.extend(differences.into_iter().map(|it| (at, it)), at);
        }
    }
}

/// Replaces this VM's view by a state of the whole store, unless the view is at least as new. Returns whether it was
/// replaced. A newer configuration is applied in either case.
pub(crate) fn apply_state(node: &Node, state: StoreState) -> bool {
    let now = clock::now();
    if let Some(config) = state.config {
        node.apply_config(config);
    }
    if node.store_view.borrow().reached().is_some_and(|it| it.0 >= state.at) {
        return false;
    }
    let was_running = node.store_view.borrow().was_ever_read();
    apply_part("servers", || {
        let (servers, misaddressed): (Vec<_>, Vec<_>) =
            state.servers.into_iter().partition(|(name, it)| has_server_address(node, name, it));
        let misaddressed = misaddressed.into_iter().map(|(name, _)| name);
        let unreadable: Vec<_> = state.unreadable.into_iter().chain(misaddressed).collect();
        let missing = node.servers.borrow_mut().replace_all(servers, &unreadable, now);
        for (name, removal) in missing {
            log_removal(&name, Some(removal));
        }
    });
    apply_part("quarantine", || {
        node.poison.borrow_mut().replace_all(state.quarantine, state.quarantined_parts, now);
    });
    apply_part("versions", || {
        node.observe_versions(now);
        let mut versions = node.streams.versions.borrow_mut();
        versions.record_store_era(StoreRevision(state.at).era());
        versions.replace_entries(state.versions, now);
    });
    apply_part("roll-outs", || {
        node.rollouts.borrow_mut().record_store_era(StoreRevision(state.at).era());
        rollouts::replace_all(node, state.rollout_orders, state.rollouts, was_running);
    });
    apply_part("vms", || {
        let mut peers = node.peers.borrow_mut();
        peers.table.replace_all(state.vms);
        peers.set_holder(state.holder);
    });
    update_rank(node, now);
    let mut view = node.store_view.borrow_mut();
    view.log.reset(state.at);
    view.full_read_upto = StoreRevision(state.newest);
    view.complete = true;
    true
}

/// Applies one part of the store's state, or leaves it as it is if that panics: one item must not keep a VM from starting.
fn apply_part(part: &'static str, apply: impl FnOnce()) {
    if let Err(why) = contain_panic(apply) {
        log::error!(part, why; "state-panicked");
    }
}

/// Returns this VM's view of the store, for another VM; `None` while it isn't complete or has no configuration.
pub(crate) fn current_state(node: &Node) -> Option<StoreState> {
    let at = node.store_view.borrow().reached()?.0;
    let config = node.config()?;
    let servers = node.servers.borrow();
    let peers = node.peers.borrow();
    Some(StoreState {
        at,
        newest: at,
        config: Some((*config).clone()),
        servers: servers.listed_entries().collect(),
        unreadable: Vec::new(),
        vms: peers.table.listed_descriptors().cloned().collect(),
        holder: peers.holder().map(str::to_owned),
        quarantine: node.poison.borrow().stored_entries().collect(),
        rollout_orders: to_owned_pairs(node.rollouts.borrow().orders()),
        rollouts: to_owned_pairs(node.rollouts.borrow().records()),
        versions: to_owned_pairs(node.streams.versions.borrow().entries()),
        quarantined_parts: node.poison.borrow().stored_part_entries().collect(),
    })
}

fn to_owned_pairs<'a, T>(
    items: impl Iterator<Item = (&'a ServiceName, &'a T)>,
) -> Vec<(ServiceName, T::Owned)>
where
    T: ToOwned + ?Sized + 'a,
{
    items.map(|(service, it)| (service.clone(), it.to_owned())).collect()
}

/// Records the lease of the entry that the previous start of this VM left, if an item equals this VM's descriptor.
pub(crate) fn record_previous_lease(node: &Node, items: &[SystemItem]) {
    let peers = node.peers.borrow();
    let me = peers.table.me();
    let is_mine = |it: &&SystemItem| parse_descriptor(&it.key, &it.value).as_ref() == Some(me);
    let lease = items.iter().find(is_mine).and_then(|it| it.lease);
    node.store_view.borrow_mut().previous_lease = lease;
}

/// Applies changes that this VM read from the store.
pub(crate) fn apply_changes(node: &Node, changes: Changes) {
    let mut relayed = Vec::new();
    for (at, change) in changes.changes {
        match change {
            Change::Config(config) => {
                relayed.push((at.0, RelayedChange::Config(config.version)));
                node.apply_config(*config);
            }
            Change::Unreadable(what) => log::error!(what; "store-item-unreadable"),
            Change::ServerUnreadable(name, what) => {
                log::error!(name = name.as_str(), what; "store-item-unreadable");
                relayed.push((at.0, RelayedChange::ServerUnreadable(name)));
            }
            Change::Server(name, entry) => relayed.push((at.0, RelayedChange::Server(name, entry))),
            Change::ServerRemoved(name) => relayed.push((at.0, RelayedChange::ServerRemoved(name))),
            Change::RolloutOrder(service, order) => {
                relayed.push((at.0, RelayedChange::RolloutOrder(service, Some(order))));
            }
            Change::RolloutOrderRemoved(service) => {
                relayed.push((at.0, RelayedChange::RolloutOrder(service, None)));
            }
            Change::SystemItem(SystemItem { key, value, .. }) => {
                relayed.push((at.0, RelayedChange::SystemItem { key, value }));
            }
            Change::SystemItemRemoved(key) => {
                relayed.push((at.0, RelayedChange::SystemItemRemoved(key)));
            }
        }
    }
    apply_relayed(node, relayed, changes.at);
}

/// Applies changes that another VM relayed. Returns `false` and applies nothing if this VM lacks earlier changes.
pub(crate) fn apply_batch(node: &Node, batch: ChangeBatch<RelayedChange>) -> bool {
    let reached = node.store_view.borrow().reached();
    if reached.is_none_or(|it| it.0 < batch.after) {
        return false;
    }
    apply_relayed(node, batch.changes, StoreRevision(batch.upto));
    true
}

/// Applies changes in order and logs those that other VMs need.
///
/// Changes up to the revision that was reached are skipped: while this VM waits for the store's answer, another VM may
/// relay newer changes, and the older answer would bring back a removed server.
///
/// Changes up to the newest item of the last full read are logged even if they change nothing here. A full read takes
/// several pages, and a later page may contain changes made after the first page was read. If these weren't relayed,
/// other VMs would look up to date and use a server that leaves.
fn apply_relayed(node: &Node, relayed: Vec<(u64, RelayedChange)>, upto: StoreRevision) {
    let reached = node.store_view.borrow().reached().map_or(0, |it| it.0);
    let full_read_upto = node.store_view.borrow().full_read_upto.0;
    node.streams.versions.borrow_mut().record_store_era(upto.era());
    node.rollouts.borrow_mut().record_store_era(upto.era());
    let mut relevant = Vec::new();
    for (at, change) in relayed.into_iter().filter(|(at, _)| *at > reached) {
        // Servers renew their entries all the time; renewals that change nothing aren't relayed.
        let is_new = apply_contained(node, &change) || at <= full_read_upto;
        if is_new && change.is_needed_by_peers() {
            relevant.push((at, change));
        }
    }
    record_versions(node, &relevant);
    if !relevant.is_empty() {
        node.changed.notify_waiters();
    }
    node.store_view.borrow_mut().log.extend(relevant, upto.0);
}

/// Records the versions of changed servers, also of those that a later change removed.
fn record_versions(node: &Node, changes: &[(u64, RelayedChange)]) {
    let confirmed_at = node.freshness.get().confirmed_at();
    let mut versions = node.streams.versions.borrow_mut();
    for (_, change) in changes {
        if let RelayedChange::Server(_, ServerEntry { service, version, .. }) = change {
            versions.observe_change(service, version, confirmed_at, clock::now());
        }
    }
}

/// Logs how a removal was interpreted, which explains requests that reach the server afterwards.
fn log_removal(name: &BackendServerName, removal: Option<Removal>) {
    let taken_for = match removal {
        Some(Removal::Leaving) => "leaving",
        Some(Removal::MayHaveExpired) => "lapse",
        None => "known",
    };
    log::info!(server = name.as_str(), taken_for; "server-removed");
}

/// Parses the VM descriptors among these items.
pub(crate) fn parse_descriptors(items: &[SystemItem]) -> Vec<VmDescriptor> {
    items.iter().filter_map(|it| parse_descriptor(&it.key, &it.value)).collect()
}

fn parse_descriptor(key: &str, value: &[u8]) -> Option<VmDescriptor> {
    key.strip_prefix(PEER_KEYS)?;
    match serde_json::from_slice(value) {
        Ok(descriptor) => Some(descriptor),
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
