//! Changes of the configuration: what an operator asks for, and what came of it.

use std::fmt;

use quincevalve_inventory::{Format, Inventory, ReadError, checks::Finding, read_inventory};
use quincevalve_names::Revision;
use quincevalve_ports::store::{KeyVersion, Store, StoreError};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::document::{self, DocumentError, HISTORY, Head};

/// The id that an operator's client gives a change. The same id twice is one change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(String);

impl ChangeId {
    const MAX: usize = 64;

    /// Takes an id of 1 to 64 letters, digits and hyphens.
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

/// One change in the history and audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HistoryRow {
    /// The revision that it made.
    pub revision: Revision,
    /// Its id.
    pub change: ChangeId,
    /// The team that made it.
    pub by: String,
    /// Seconds since 1970.
    pub at: u64,
    /// The fields that it touched, at most a few.
    pub touched: Vec<String>,
}

/// A field that two contents have differently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Difference {
    /// The field, as a dotted path.
    pub field: String,
    /// Its value before, `null` if absent.
    pub before: Value,
    /// Its value after, `null` if absent.
    pub after: Value,
}

/// What came of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "result", deny_unknown_fields)]
pub enum ChangeAnswer {
    /// It is stored, and will be in force everywhere within seconds.
    Accepted {
        /// The revision that it made.
        revision: Revision,
    },
    /// Another change came first.
    Conflict {
        /// The revision that is in force now.
        current: Revision,
    },
    /// The content can't be taken.
    Rejected {
        /// Why, each with its field.
        findings: Vec<String>,
    },
    /// It was not stored, since the store can't be reached.
    NotStored,
    /// The store's answer is lost: ask again by the change's id.
    Unknown {
        /// The change.
        change: ChangeId,
    },
}

/// A change on its way.
pub(crate) struct Change<'a> {
    pub(crate) id: &'a ChangeId,
    pub(crate) by: &'a str,
    pub(crate) at: u64,
    pub(crate) on: Revision,
    pub(crate) inventory: &'a Inventory,
}

/// Checks a content. The findings name the fields.
pub(crate) fn check(text: &str) -> Result<Inventory, Vec<String>> {
    read_inventory("content", text, Format::Json).map_err(|error| match error {
        ReadError::Syntax { problem, .. } => vec![problem],
        ReadError::Invalid { findings, .. } => findings.iter().map(Finding::to_string).collect(),
    })
}

/// Stores a change: its content first, then the head, by compare-and-swap.
///
/// Failure: the answer to the swap is lost. Symptom: the operator is told that the change failed while
/// it takes hold everywhere, and makes it again over somebody else's. The head lists the ids of recent
/// changes, so reading it back tells whether this one took effect; while that can't be told, the answer
/// is `Unknown`, never a failure.
pub(crate) async fn apply<S>(store: &S, change: &Change<'_>) -> ChangeAnswer
where
    S: Store,
{
    let Ok((version, head)) = document::read_head(store).await else {
        return ChangeAnswer::NotStored;
    };
    if let Some(row) = head.row_of(change.id) {
        return ChangeAnswer::Accepted { revision: row.revision };
    }
    if head.revision != change.on {
        return ChangeAnswer::Conflict { current: head.revision };
    }
    let Ok(content) = serde_json::to_string(change.inventory) else {
        return ChangeAnswer::Rejected {
            findings: vec!["the content can't be written".to_owned()],
        };
    };
    let before = match head.history.first() {
        Some(row) => document::read_content(store, &row.change).await.unwrap_or_default(),
        None => String::new(),
    };
    if let Some(answer) = store_content(store, change, &content).await {
        return answer;
    }
    let touched = differences(&before, &content).into_iter().map(|it| it.field);
    let row = HistoryRow {
        revision: change.on.next(),
        change: change.id.clone(),
        by: change.by.to_owned(),
        at: change.at,
        touched: touched.take(TOUCHED).collect(),
    };
    let answer = swap_head(store, version, &head, row).await;
    if matches!(answer, ChangeAnswer::Accepted { .. })
        && let Some(oldest) = head.history.get(HISTORY - 1)
    {
        drop_content(store, &oldest.change).await;
    }
    answer
}

/// Fields that a row of the history names.
const TOUCHED: usize = 8;
/// Tries to learn what became of a swap whose answer is lost.
const READ_BACKS: u32 = 3;

async fn store_content<S>(store: &S, change: &Change<'_>, content: &str) -> Option<ChangeAnswer>
where
    S: Store,
{
    let key = document::content_key(change.id);
    match store.swap(&key, KeyVersion::ABSENT, content).await {
        Ok(_) => None,
        // An earlier try of the same change left it; under one id there is only one content.
        Err(StoreError::Conflict { .. }) => match store.get(&key).await {
            Ok(Some(found)) if found.value == content => None,
            Ok(_) => {
                let finding = format!("change {}: the id was used for another content", change.id);
                Some(ChangeAnswer::Rejected { findings: vec![finding] })
            }
            Err(_) => Some(ChangeAnswer::NotStored),
        },
        Err(StoreError::TooLarge { bytes }) => {
            let finding = format!("content: {bytes} bytes are more than the store takes");
            Some(ChangeAnswer::Rejected { findings: vec![finding] })
        }
        // No head names the content yet, so whatever became of it, nothing is in force.
        Err(StoreError::Unavailable { .. } | StoreError::Unknown { .. }) => {
            Some(ChangeAnswer::NotStored)
        }
    }
}

async fn swap_head<S>(store: &S, version: KeyVersion, head: &Head, row: HistoryRow) -> ChangeAnswer
where
    S: Store,
{
    let revision = row.revision;
    let change = row.change.clone();
    let mut history = vec![row];
    history.extend(head.history.iter().take(HISTORY - 1).cloned());
    let Ok(text) = serde_json::to_string(&Head { revision, history }) else {
        return ChangeAnswer::NotStored;
    };
    match store.swap(document::HEAD_KEY, version, &text).await {
        Ok(_) => ChangeAnswer::Accepted { revision },
        Err(StoreError::Unavailable { .. } | StoreError::TooLarge { .. }) => {
            ChangeAnswer::NotStored
        }
        Err(StoreError::Conflict { .. } | StoreError::Unknown { .. }) => {
            resolve(store, &change, version).await
        }
    }
}

/// Learns what became of a change that was sent against a version of the head.
pub(crate) async fn resolve<S>(store: &S, change: &ChangeId, sent_on: KeyVersion) -> ChangeAnswer
where
    S: Store,
{
    for _ in 0..READ_BACKS {
        match document::read_head(store).await {
            Ok((version, head)) => {
                if let Some(row) = head.row_of(change) {
                    return ChangeAnswer::Accepted { revision: row.revision };
                }
                // The head has moved on without it, and the swap expected the version before: it
                // can't land any more.
                if version != sent_on {
                    return ChangeAnswer::Conflict { current: head.revision };
                }
            }
            Err(error) => log::debug!("change {change}: {error}"),
        }
    }
    ChangeAnswer::Unknown { change: change.clone() }
}

/// What is known of a change by its id.
pub(crate) async fn look_up<S>(
    store: &S,
    change: &ChangeId,
) -> Result<Option<HistoryRow>, DocumentError>
where
    S: Store,
{
    let (_, head) = document::read_head(store).await?;
    Ok(head.row_of(change).cloned())
}

async fn drop_content<S>(store: &S, change: &ChangeId)
where
    S: Store,
{
    let key = document::content_key(change);
    if let Ok(Some(found)) = store.get(&key).await {
        let _ = store.delete(&key, found.version).await;
    }
}

/// The fields that two contents have differently.
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
