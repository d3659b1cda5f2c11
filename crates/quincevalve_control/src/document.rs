//! Storage of the configuration in the platform's key-value store.

use quincevalve_names::Revision;
use quincevalve_peers::RevisionBlob;
use quincevalve_ports::store::{KeyVersion, Store, StoreError};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::change::{ChangeId, HistoryEntry};

/// Store key of the head.
pub(crate) const HEAD_KEY: &str = "config";
/// Maximum number of changes that the head lists.
pub(crate) const MAX_HISTORY_ENTRIES: usize = 64;

/// The current revision and the changes that led to it.
///
/// Contents are stored under separate keys, so the size of the head doesn't depend on the size of the inventory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Head {
    pub(crate) revision: Revision,
    /// Recent changes, newest first.
    pub(crate) history: Vec<HistoryEntry>,
}

impl Head {
    pub(crate) fn find_change(&self, change: &ChangeId) -> Option<&HistoryEntry> {
        self.history.iter().find(|it| it.change == *change)
    }
}

/// Error reading the configuration from the store.
#[derive(Debug, Snafu)]
pub(crate) enum DocumentError {
    #[snafu(display("{source}"))]
    Store { source: StoreError },
    #[snafu(display("the store's key {key} can't be read: {source}"))]
    Unreadable { key: String, source: serde_json::Error },
    #[snafu(display("the store has no key {key}, which the head names"))]
    Missing { key: String },
}

pub(crate) fn content_key(change: &ChangeId) -> String {
    format!("config-{change}")
}

/// Reads the head; if there is none, returns a head at revision 0.
pub(crate) async fn read_head<S>(store: &S) -> Result<(KeyVersion, Head), DocumentError>
where
    S: Store,
{
    let found = store.get(HEAD_KEY).await.context(StoreSnafu)?;
    parse_head(found)
}

pub(crate) fn parse_head(
    found: Option<quincevalve_ports::store::Versioned>,
) -> Result<(KeyVersion, Head), DocumentError> {
    let Some(found) = found else { return Ok((KeyVersion::ABSENT, Head::default())) };
    let head = serde_json::from_str(&found.value).context(UnreadableSnafu { key: HEAD_KEY })?;
    Ok((found.version, head))
}

/// Reads the configuration that a change stored.
pub(crate) async fn read_content<S>(store: &S, change: &ChangeId) -> Result<String, DocumentError>
where
    S: Store,
{
    let key = content_key(change);
    let found = store.get(&key).await.context(StoreSnafu)?;
    Ok(found.context(MissingSnafu { key })?.value)
}

/// Reads the configuration that the head's newest change stored, `None` at revision 0.
pub(crate) async fn read_current<S>(
    store: &S,
    head: &Head,
) -> Result<Option<RevisionBlob>, DocumentError>
where
    S: Store,
{
    let Some(entry) = head.history.first() else { return Ok(None) };
    let content = read_content(store, &entry.change).await?;
    Ok(Some(RevisionBlob { revision: head.revision, content }))
}
