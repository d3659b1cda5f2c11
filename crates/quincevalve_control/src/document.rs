//! The configuration in the platform's store.

use quincevalve_names::Revision;
use quincevalve_peers::RevisionBlob;
use quincevalve_ports::store::{KeyVersion, Store, StoreError};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::change::{ChangeId, HistoryRow};

/// The key of the head.
pub(crate) const HEAD_KEY: &str = "config";
/// Changes that the head lists.
pub(crate) const HISTORY: usize = 64;

/// The head: which revision is in force, and how it came about. Contents lie under keys of their own,
/// so the head stays small however large the inventory grows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Head {
    pub(crate) revision: Revision,
    /// Newest first.
    pub(crate) history: Vec<HistoryRow>,
}

impl Head {
    pub(crate) fn row_of(&self, change: &ChangeId) -> Option<&HistoryRow> {
        self.history.iter().find(|it| it.change == *change)
    }
}

/// The configuration can't be read.
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

/// Reads the head; an absent one is revision 0.
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

/// Reads the content of a change.
pub(crate) async fn read_content<S>(store: &S, change: &ChangeId) -> Result<String, DocumentError>
where
    S: Store,
{
    let key = content_key(change);
    let found = store.get(&key).await.context(StoreSnafu)?;
    Ok(found.context(MissingSnafu { key })?.value)
}

/// Reads the content that a head puts in force.
pub(crate) async fn read_in_force<S>(
    store: &S,
    head: &Head,
) -> Result<Option<RevisionBlob>, DocumentError>
where
    S: Store,
{
    let Some(row) = head.history.first() else { return Ok(None) };
    let content = read_content(store, &row.change).await?;
    Ok(Some(RevisionBlob { revision: head.revision, content }))
}
