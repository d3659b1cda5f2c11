//! Configuration changes requested by operators, and their outcomes.

use std::fmt;

use quincevalve_inventory::{Format, Inventory, ReadError, checks::Finding, read_inventory};
use quincevalve_names::Revision;
use quincevalve_ports::store::{KeyVersion, Store, StoreError};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::document::{self, DocumentError, Head, MAX_HISTORY_ENTRIES};

/// Idempotency key of a change, chosen by the operator's client.
///
/// Two requests with the same id are the same change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(String);

impl ChangeId {
    const MAX: usize = 64;

    /// Parses an id of 1 to 64 ASCII letters, digits and hyphens; returns `None` for any other text.
    ///
    /// ```
    /// use quincevalve_control::ChangeId;
    /// assert!(ChangeId::new("2026-12-02-a").is_some());
    /// assert!(ChangeId::new("a/b").is_none());
    /// ```
    pub fn new(text: &str) -> Option<Self> {
        let allowed = |it: u8| it.is_ascii_alphanumeric() || it == b'-';
        let fits = (1..=Self::MAX).contains(&text.len()) && text.bytes().all(allowed);
        fits.then(|| Self(text.to_owned()))
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An accepted change, as the history and audit trail record it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryEntry {
    /// Revision that the change created.
    pub revision: Revision,
    /// Id of the change.
    pub change: ChangeId,
    /// Name of the team that made the change.
    pub by: String,
    /// Time of the change, in seconds since the Unix epoch.
    pub at: u64,
    /// Dotted paths of the first changed fields, at most `MAX_TOUCHED_FIELDS`.
    pub touched: Vec<String>,
}

/// A field whose value differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Difference {
    /// Dotted path of the field.
    pub field: String,
    /// Value before the change, `null` if absent.
    pub before: Value,
    /// Value after the change, `null` if absent.
    pub after: Value,
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "result", deny_unknown_fields)]
pub enum ChangeOutcome {
    /// The change is stored and takes effect on all VMs within seconds.
    Accepted {
        /// Revision that the change created.
        revision: Revision,
    },
    /// The change is based on a revision that is no longer current.
    Conflict {
        /// Current revision in the store.
        current: Revision,
    },
    /// The configuration is invalid.
    Rejected {
        /// Reasons, each naming its field.
        findings: Vec<String>,
    },
    /// The change was not stored, because the store is unavailable.
    NotStored,
    /// The store's response was lost; look the change up by its id.
    Unknown {
        /// Id of the change.
        change: ChangeId,
    },
}

/// A change to be stored.
pub(crate) struct Change<'a> {
    pub(crate) id: &'a ChangeId,
    pub(crate) by: &'a str,
    /// Seconds since the Unix epoch.
    pub(crate) at: u64,
    /// Revision that the change was made against.
    pub(crate) base: Revision,
    pub(crate) inventory: &'a Inventory,
}

/// Parses and validates a configuration; each finding names its field.
pub(crate) fn check(text: &str) -> Result<Inventory, Vec<String>> {
    read_inventory("content", text, Format::Json).map_err(|error| match error {
        ReadError::Syntax { problem, .. } => vec![problem],
        ReadError::Invalid { findings, .. } => findings.iter().map(Finding::to_string).collect(),
    })
}

/// Stores a change: its content first, then the head, by compare-and-swap.
///
/// If the response to the swap is lost, the change may still have taken effect. Reporting a failure would lead the
/// operator to repeat the change and overwrite somebody else's. The head lists the ids of recent changes, so reading
/// the head back shows whether this change was stored; as long as that is undecided, the outcome is `Unknown`, never
/// a failure.
pub(crate) async fn apply<S>(store: &S, change: &Change<'_>) -> ChangeOutcome
where
    S: Store,
{
    let Ok((version, head)) = document::read_head(store).await else {
        return ChangeOutcome::NotStored;
    };
    if let Some(entry) = head.find_change(change.id) {
        return ChangeOutcome::Accepted { revision: entry.revision };
    }
    if head.revision != change.base {
        return ChangeOutcome::Conflict { current: head.revision };
    }
    let Ok(content) = serde_json::to_string(change.inventory) else {
        return ChangeOutcome::Rejected {
            findings: vec!["the content can't be written".to_owned()],
        };
    };
    let before = match head.history.first() {
        Some(entry) => document::read_content(store, &entry.change).await.unwrap_or_default(),
        None => String::new(),
    };
    if let Some(answer) = store_content(store, change, &content).await {
        return answer;
    }
    let touched = differences(&before, &content).into_iter().map(|it| it.field);
    let entry = HistoryEntry {
        revision: change.base.next(),
        change: change.id.clone(),
        by: change.by.to_owned(),
        at: change.at,
        touched: touched.take(MAX_TOUCHED_FIELDS).collect(),
    };
    let answer = swap_head(store, version, &head, entry).await;
    if matches!(answer, ChangeOutcome::Accepted { .. })
        && let Some(oldest) = head.history.get(MAX_HISTORY_ENTRIES - 1)
    {
        delete_content(store, &oldest.change).await;
    }
    answer
}

/// Maximum number of changed fields that a history entry names.
const MAX_TOUCHED_FIELDS: usize = 8;
/// Maximum number of reads of the head to determine the outcome of a swap whose response was lost.
const MAX_READ_BACKS: u32 = 3;

async fn store_content<S>(store: &S, change: &Change<'_>, content: &str) -> Option<ChangeOutcome>
where
    S: Store,
{
    let key = document::content_key(change.id);
    match store.swap(&key, KeyVersion::ABSENT, content).await {
        Ok(_) => None,
        // An earlier attempt of the same change wrote this key; an id stands for exactly one content.
        Err(StoreError::Conflict { .. }) => match store.get(&key).await {
            Ok(Some(found)) if found.value == content => None,
            Ok(_) => {
                let finding = format!("change {}: the id was used for another content", change.id);
                Some(ChangeOutcome::Rejected { findings: vec![finding] })
            }
            Err(_) => Some(ChangeOutcome::NotStored),
        },
        Err(StoreError::TooLarge { bytes }) => {
            let finding = format!("content: {bytes} bytes are more than the store takes");
            Some(ChangeOutcome::Rejected { findings: vec![finding] })
        }
        // No head refers to the content yet, so the change has no effect even if the write succeeded.
        Err(StoreError::Unavailable { .. } | StoreError::Unknown { .. }) => {
            Some(ChangeOutcome::NotStored)
        }
    }
}

async fn swap_head<S>(
    store: &S,
    version: KeyVersion,
    head: &Head,
    entry: HistoryEntry,
) -> ChangeOutcome
where
    S: Store,
{
    let revision = entry.revision;
    let change = entry.change.clone();
    let mut history = vec![entry];
    history.extend(head.history.iter().take(MAX_HISTORY_ENTRIES - 1).cloned());
    let Ok(text) = serde_json::to_string(&Head { revision, history }) else {
        return ChangeOutcome::NotStored;
    };
    match store.swap(document::HEAD_KEY, version, &text).await {
        Ok(_) => ChangeOutcome::Accepted { revision },
        Err(StoreError::Unavailable { .. } | StoreError::TooLarge { .. }) => {
            ChangeOutcome::NotStored
        }
        Err(StoreError::Conflict { .. } | StoreError::Unknown { .. }) => {
            resolve(store, &change, version).await
        }
    }
}

/// Determines the outcome of a swap that expected the head at version `expected`.
pub(crate) async fn resolve<S>(store: &S, change: &ChangeId, expected: KeyVersion) -> ChangeOutcome
where
    S: Store,
{
    for _ in 0..MAX_READ_BACKS {
        match document::read_head(store).await {
            Ok((version, head)) => {
                if let Some(entry) = head.find_change(change) {
                    return ChangeOutcome::Accepted { revision: entry.revision };
                }
                // The head has a newer version without this change. The swap expected the older
                // version, so it can no longer succeed.
                if version != expected {
                    return ChangeOutcome::Conflict { current: head.revision };
                }
            }
            Err(error) => log::debug!("change {change}: {error}"),
        }
    }
    ChangeOutcome::Unknown { change: change.clone() }
}

/// Returns the history entry of a change, if the head still lists it.
pub(crate) async fn look_up<S>(
    store: &S,
    change: &ChangeId,
) -> Result<Option<HistoryEntry>, DocumentError>
where
    S: Store,
{
    let (_, head) = document::read_head(store).await?;
    Ok(head.find_change(change).cloned())
}

async fn delete_content<S>(store: &S, change: &ChangeId)
where
    S: Store,
{
    let key = document::content_key(change);
    if let Ok(Some(found)) = store.get(&key).await {
        let _ = store.delete(&key, found.version).await;
    }
}

/// Returns the fields whose values differ between two configurations in JSON.
pub(crate) fn differences(before: &str, after: &str) -> Vec<Difference> {
    let parse = |text: &str| serde_json::from_str(text).unwrap_or(Value::Null);
    let mut all = Vec::new();
    compare(String::new(), &parse(before), &parse(after), &mut all);
    all
}

fn compare(field: String, before: &Value, after: &Value, all: &mut Vec<Difference>) {
    if before == after {
        return;
    }
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        all.push(Difference { field, before: before.clone(), after: after.clone() });
        return;
    };
    let added = new.keys().filter(|it| !old.contains_key(*it));
    for key in old.keys().chain(added) {
        let path = if field.is_empty() { key.clone() } else { format!("{field}.{key}") };
        let null = Value::Null;
        compare(path, old.get(key).unwrap_or(&null), new.get(key).unwrap_or(&null), all);
    }
}

#[cfg(test)]
mod tests;
