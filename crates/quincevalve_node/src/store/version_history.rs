//! Keeps in the store which versions a service had recently, for VMs that start.
//!
//! A VM that starts reads only the servers that are listed now. If it took their only version for the one that began a
//! stream, a stream of a version whose last server has just left would go on at another. The entry is written with each
//! change of the versions, also the first one, and removed when the service has had no server for a minute.

use quincevalve_forwarding::stream_versions::{EntryUpdate, VersionEntry};
use quincevalve_names::{ServerVersion, ServiceName};
use serde::Deserialize;

use crate::{
    node::Node,
    ports::{Commit, PlatformStore, StoreError, StoreRevision},
};

/// Prefix of the store keys of services' recent versions; the service's name follows.
pub(crate) const VERSION_KEY_PREFIX: &str = "versions/";

/// The value of an entry.
#[derive(Deserialize)]
#[serde(untagged)]
enum StoredEntry {
    Entry(VersionEntry),
    /// What earlier releases write. They remove the entry of a single version.
    Versions(Vec<ServerVersion>),
}

/// Parses the entry of a service's recent versions; returns `None` for other items and unreadable values.
pub(crate) fn parse_versions(key: &str, value: &[u8]) -> Option<(ServiceName, VersionEntry)> {
    let service = key.strip_prefix(VERSION_KEY_PREFIX)?;
    match serde_json::from_slice(value) {
        Ok(StoredEntry::Entry(entry)) => Some((service.into(), entry)),
        Ok(StoredEntry::Versions(versions)) => {
            Some((service.into(), VersionEntry { versions, era: 0 }))
        }
        Err(error) => {
            log::error!(key, error:% = error; "versions-unreadable");
            None
        }
    }
}

/// Writes the entries that differ from what this VM knows. Those that can't be written are tried again with the next
/// call.
pub(crate) async fn update_version_history<S>(node: &Node, store: &S)
where
    S: PlatformStore,
{
    let updates = node.streams.versions.borrow().entry_updates();
    for update in updates {
        if let Err(error) = write(store, &update).await {
            log::debug!(service = update.service.as_str(), error:% = error; "versions-not-written");
        }
    }
}

/// Writes a service's entry, unless another VM has written one that this VM doesn't know yet: it may name a version that
/// this VM would leave out.
async fn write<S>(store: &S, update: &EntryUpdate) -> Result<(), StoreError>
where
    S: PlatformStore,
{
    let key = format!("{VERSION_KEY_PREFIX}{}", update.service.as_str());
    let stored = store.get(&key).await?;
    let stored_entry = stored.as_ref().and_then(|it| parse_versions(&it.key, &it.value));
    if stored_entry.is_some_and(|(_, it)| update.known.as_ref() != Some(&it)) {
        return Err(StoreError::Conflict);
    }
    let revision = stored.as_ref().map_or(StoreRevision::ABSENT, |it| it.revision);
    let mut commit = Commit { expected: vec![(key.clone(), revision)], ..Commit::default() };
    match &update.entry {
        None => commit.removes.push(key),
        Some(entry) => {
            let value = serde_json::to_vec(entry)
                .map_err(|error| StoreError::Unreadable { what: error.to_string() })?;
            commit.puts.push((key, value, None));
        }
    }
    store.commit(&commit).await?;
    Ok(())
}
