//! The differences between a full read of the store and this VM's view, which other VMs continue from.

use indexmap::{IndexMap, IndexSet};
use quincevalve_forwarding::peer_table::VmDescriptor;

use super::{HOLDER_KEY, MAX_BATCH_BYTES, PEER_KEYS, RelayedChange, parse_descriptor, peer_key};
use crate::{
    node::Node,
    ports::{Snapshot, StoreRevision, SystemItem},
    quarantine::key_of,
};

/// Returns the differences between a snapshot and this VM's view as changes for other VMs; `None` before the first full
/// read, and if the changes don't fit in a datagram.
///
/// When the store drops its history, the VMs that read it for all VMs read all of it. If they had no changes to
/// relay, each of hundreds of VMs would read the whole store, for longer than keys may be used without a freshness
/// confirmation, and all callers would be rejected. With the differences, the other VMs continue from the revision they
/// have.
pub(super) fn differences(node: &Node, snapshot: &Snapshot) -> Option<Vec<RelayedChange>> {
    let view = node.store_view.borrow();
    if !view.was_ever_read() || snapshot.at.0 < view.log.upto() {
        return None;
    }
    let mut differences = server_differences(node, snapshot);
    // Orders come before records: a record is compared with the order that the VM knows.
    let orders = snapshot.rollouts.iter();
    differences.extend(
        orders.map(|(it, order)| RelayedChange::RolloutOrder(it.clone(), Some(order.clone()))),
    );
    let rollouts = node.rollouts.borrow();
    let removed = rollouts.orders().map(|(it, _)| it);
    let removed = removed.filter(|it| !snapshot.rollouts.iter().any(|(name, _)| name == *it));
    differences.extend(removed.map(|it| RelayedChange::RolloutOrder(it.clone(), None)));
    differences.extend(system_key_differences(node, snapshot));
    differences.extend(snapshot.config.iter().map(|it| RelayedChange::Config(it.version)));
    let bytes: usize = differences.iter().map(RelayedChange::max_encoded_bytes).sum();
    (bytes <= MAX_BATCH_BYTES).then_some(differences)
}

/// Returns the differences of server entries.
fn server_differences(node: &Node, snapshot: &Snapshot) -> Vec<RelayedChange> {
    let servers = node.servers.borrow();
    let read: IndexMap<_, _> = snapshot.servers.iter().map(|(name, it)| (name, it)).collect();
    let unreadable: IndexSet<_> = snapshot.unreadable.iter().map(|(name, _)| name).collect();
    let known: IndexMap<_, _> = servers.listed_entries().collect();
    let changed = read.iter().filter(|(name, it)| known.get(**name) != Some(**it));
    let changed = changed.map(|(name, it)| RelayedChange::Server((*name).clone(), (*it).clone()));
    let removed = known.keys().filter(|it| !read.contains_key(it) && !unreadable.contains(it));
    let removed = removed.map(|it| RelayedChange::ServerRemoved(it.clone()));
    let unreadable = unreadable.iter().map(|it| RelayedChange::ServerUnreadable((*it).clone()));
    changed.chain(removed).chain(unreadable).collect()
}

/// Returns the differences of the system's own keys: the entries of VMs that differ, and all of the few other keys that
/// other VMs need.
fn system_key_differences(node: &Node, snapshot: &Snapshot) -> Vec<RelayedChange> {
    let peers = node.peers.borrow();
    let listed: IndexMap<String, &VmDescriptor> =
        peers.table.listed_descriptors().map(|it| (peer_key(it), it)).collect();
    let is_known = |it: &&SystemItem| {
        it.key.starts_with(PEER_KEYS)
            && parse_descriptor(&it.key, &it.value)
                .is_some_and(|read| listed.get(&it.key) == Some(&&read))
    };
    let changed = snapshot.system_items.iter().filter(|it| !is_known(it));
    let changed = changed
        .map(|it| RelayedChange::SystemItem { key: it.key.clone(), value: it.value.clone() });
    let read: IndexSet<&str> = snapshot.system_items.iter().map(|it| it.key.as_str()).collect();
    // Other VMs may know a holder of which the store has lost the key before this VM learned of it.
    let is_new_era =
        node.store_view.borrow().log.upto() < StoreRevision::in_era(snapshot.at.era(), 0).0;
    let holder = (is_new_era || peers.has_holder()).then(|| HOLDER_KEY.to_owned());
    let poison = node.poison.borrow();
    let requests = poison.stored_entries().map(|(digest, _)| key_of(digest.into()));
    let parts = poison.stored_part_entries().map(|(part, _)| key_of(part.into()));
    // What a copy of the store lost is written again.
    let quarantined = requests.chain(parts).filter(|_| !is_new_era);
    let me = peer_key(peers.table.me());
    let known = listed.keys().filter(|it| **it != me).cloned().chain(holder).chain(quarantined);
    let removed =
        known.filter(|it| !read.contains(it.as_str())).map(RelayedChange::SystemItemRemoved);
    changed.chain(removed).filter(RelayedChange::is_needed_by_peers).collect()
}
