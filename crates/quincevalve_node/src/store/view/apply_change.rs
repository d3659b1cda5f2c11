//! Application of one change of the store.

use std::net::Ipv4Addr;

use quincevalve_forwarding::{poison::Suspect, servers::ServerEntry};
use quincevalve_names::BackendServerName;
use quincevalve_program::contain_panic;

use super::{HOLDER_KEY, PEER_KEYS, RelayedChange, holder_name, log_removal, parse_descriptor};
use crate::{
    clock,
    node::Node,
    quarantine::{QUARANTINE_KEY_PREFIX, Quarantined, parse_entry, suspect_of},
    rollouts::{self, ROLLOUT_KEY_PREFIX},
    store::version_history::{VERSION_KEY_PREFIX, parse_versions},
};

/// Applies one change, or leaves it out if that panics: one change must not keep a VM from all later ones. Other VMs may
/// be able to apply it.
pub(super) fn apply_contained(node: &Node, change: &RelayedChange) -> bool {
    contain_panic(|| apply_change(node, change)).unwrap_or_else(|why| {
        log::error!(key = change.key(), why; "change-panicked");
        true
    })
}

/// Returns whether a server can be at the address of an entry, and logs if none can.
///
/// An entry of another writer may name any address. Requests for a server at one of the VMs' own would come back as
/// callers' requests, and go out again until their deadline.
pub(super) fn has_server_address(
    node: &Node,
    name: &BackendServerName,
    entry: &ServerEntry,
) -> bool {
    let (ip, port) = (entry.address.ip(), entry.address.port());
    let settings = &node.settings;
    let own = [settings.front.port(), settings.ready.port(), settings.metrics.port()];
    let is_own_port = port != 0 && (own.contains(&port) || port == settings.peer_port);
    let is_of_vm = || {
        let peers = node.peers.borrow();
        ip == settings.ip || peers.table.listed_descriptors().any(|it| it.address.ip() == ip)
    };
    let is_no_host = ip.is_unspecified() || ip.is_multicast() || ip == Ipv4Addr::BROADCAST;
    if is_no_host || (is_own_port && is_of_vm()) {
        log::error!(name = name.as_str(), address:% = entry.address; "server-address-invalid");
        return false;
    }
    true
}

/// Applies one change. Returns `false` if it is a server entry that changes nothing.
fn apply_change(node: &Node, change: &RelayedChange) -> bool {
    let now = clock::now();
    match change {
        RelayedChange::Server(name, entry) if !has_server_address(node, name, entry) => {
            node.servers.borrow_mut().mark_unreadable(name);
        }
        RelayedChange::Server(name, entry) => {
            let mut servers = node.servers.borrow_mut();
            let known = servers.get(name).map(|it| it.entry.clone());
            let logged_fields = |it: &ServerEntry| (it.start, it.draining);
            if known.as_ref().map(logged_fields) != Some(logged_fields(entry)) {
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
        RelayedChange::ServerRemoved(name) => {
            log_removal(name, node.servers.borrow_mut().remove_entry(name, now));
        }
        RelayedChange::ServerUnreadable(name) => node.servers.borrow_mut().mark_unreadable(name),
        RelayedChange::SystemItem { key, value } if key == HOLDER_KEY => {
            node.peers.borrow_mut().set_holder(Some(holder_name(value)));
        }
        RelayedChange::RolloutOrder(service, order) => {
            rollouts::apply_order(node, service, order.clone());
        }
        RelayedChange::SystemItem { key, value } if key.starts_with(ROLLOUT_KEY_PREFIX) => {
            if let Some((service, record)) = rollouts::parse_record(key, value) {
                rollouts::apply_record(node, &service, record);
            }
        }
        RelayedChange::SystemItem { key, value } if key.starts_with(QUARANTINE_KEY_PREFIX) => {
            let mut poison = node.poison.borrow_mut();
            match parse_entry(key, value) {
                Some((Suspect::Request(digest), Quarantined::Request(entry))) => {
                    poison.apply_entry(digest, entry);
                }
                Some((Suspect::Part(part), Quarantined::Part(entry))) => {
                    poison.apply_part_entry(part, entry, now);
                }
                _ => {}
            }
        }
        RelayedChange::SystemItem { key, value } if key.starts_with(VERSION_KEY_PREFIX) => {
            if let Some((service, entry)) = parse_versions(key, value) {
                node.streams.versions.borrow_mut().apply_entry(service, Some(entry), now);
            }
        }
        RelayedChange::SystemItem { key, value } => {
            if let Some(descriptor) = parse_descriptor(key, value)
                && node.peers.borrow_mut().table.apply_entry(descriptor)
            {
                log::info!(peer = key; "peer-found");
            }
        }
        RelayedChange::Config(version) => {
            node.reported_config_version.set(node.reported_config_version.get().max(*version));
        }
        RelayedChange::SystemItemRemoved(key) if key == HOLDER_KEY => {
            node.peers.borrow_mut().set_holder(None);
        }
        RelayedChange::SystemItemRemoved(key) if key.starts_with(QUARANTINE_KEY_PREFIX) => {
            if let Some(suspect) = suspect_of(key) {
                node.poison.borrow_mut().remove_entry(suspect, now);
            }
        }
        RelayedChange::SystemItemRemoved(key) if key.starts_with(VERSION_KEY_PREFIX) => {
            let service = key.strip_prefix(VERSION_KEY_PREFIX).unwrap_or_default().into();
            node.streams.versions.borrow_mut().apply_entry(service, None, now);
        }
        RelayedChange::SystemItemRemoved(key) => {
            let centre_and_name = key.strip_prefix(PEER_KEYS);
            if let Some((_, name)) = centre_and_name.and_then(|it| it.split_once('/')) {
                node.peers.borrow_mut().table.mark_unlisted(name);
            }
        }
    }
    true
}
