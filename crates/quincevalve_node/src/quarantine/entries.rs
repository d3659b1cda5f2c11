//! Store entries of what is quarantined, one for each request and part, with its digest in the key.

use quincevalve_forwarding::{
    poison::{PartEntry, QuarantineEntry, Suspect},
    prompt_parts::PartDigest,
    request_digest::RequestDigest,
};

use crate::ports::{Commit, PlatformStore, StoreError, StoreRevision, SystemItem};

/// Prefix of the store keys of what is quarantined; the [`Suspect`] follows, and the value is a [`QuarantineEntry`] or a
/// [`PartEntry`].
pub(crate) const QUARANTINE_KEY_PREFIX: &str = "quarantine/";

/// The store's entry of what is quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Quarantined {
    /// A whole request.
    Request(QuarantineEntry),
    /// A part of prompts.
    Part(PartEntry),
}

impl Quarantined {
    /// Returns the number of trials begun.
    pub fn trials(&self) -> u32 {
        match self {
            Self::Request(it) => it.trials,
            Self::Part(it) => it.trials,
        }
    }

    /// Returns when the next trial may begin, in Unix milliseconds of wall-clock time.
    pub fn until_ms(&self) -> i64 {
        match self {
            Self::Request(it) => it.until_ms,
            Self::Part(it) => it.until_ms,
        }
    }

    /// Returns the entry that begins the next trial, or `None` if none is due yet.
    pub(super) fn next_trial(&self, wall_clock_ms: i64) -> Option<Self> {
        match self {
            Self::Request(it) => it.next_trial(wall_clock_ms).map(Self::Request),
            Self::Part(it) => it.next_trial(wall_clock_ms).map(Self::Part),
        }
    }

    fn to_json(&self) -> serde_json::Result<Vec<u8>> {
        match self {
            Self::Request(it) => serde_json::to_vec(it),
            Self::Part(it) => serde_json::to_vec(it),
        }
    }
}

/// Reads what is quarantined from the store. Changes of the last seconds may be missing.
pub async fn list_quarantined<S>(store: &S) -> Result<Vec<(Suspect, Quarantined)>, StoreError>
where
    S: PlatformStore,
{
    let items = store.system_items(QUARANTINE_KEY_PREFIX).await?;
    Ok(items.iter().filter_map(|it| parse_entry(&it.key, &it.value)).collect())
}

/// Removes a quarantine entry together with its trial count; returns `false` if there was none.
pub async fn lift_quarantine<S>(store: &S, suspect: Suspect) -> Result<bool, StoreError>
where
    S: PlatformStore,
{
    let Some(SystemItem { key, revision, .. }) = read(store, suspect).await? else {
        return Ok(false);
    };
    let expected = vec![(key.clone(), revision)];
    store.commit(&Commit { expected, removes: vec![key], ..Commit::default() }).await?;
    Ok(true)
}

/// Reads the newest entry of a suspect.
pub(super) async fn read<S>(store: &S, suspect: Suspect) -> Result<Option<SystemItem>, StoreError>
where
    S: PlatformStore,
{
    store.get(&key_of(suspect)).await
}

/// Writes an entry if the stored one is still at revision `expected_revision`.
pub(super) async fn put<S>(
    store: &S,
    suspect: Suspect,
    entry: &Quarantined,
    expected_revision: StoreRevision,
) -> Result<(), StoreError>
where
    S: PlatformStore,
{
    let value =
        entry.to_json().map_err(|error| StoreError::Unreadable { what: error.to_string() })?;
    let key = key_of(suspect);
    let expected = vec![(key.clone(), expected_revision)];
    let puts = vec![(key, value, None)];
    store.commit(&Commit { expected, puts, ..Commit::default() }).await?;
    Ok(())
}

/// Returns the store key of a suspect.
pub(crate) fn key_of(suspect: Suspect) -> String {
    format!("{QUARANTINE_KEY_PREFIX}{suspect}")
}

/// Parses the suspect in a key; returns `None` for other keys.
pub(crate) fn suspect_of(key: &str) -> Option<Suspect> {
    key.strip_prefix(QUARANTINE_KEY_PREFIX).and_then(Suspect::parse)
}

/// Parses the quarantine entry of a store item; returns `None` for other items and unreadable entries.
pub(crate) fn parse_entry(key: &str, value: &[u8]) -> Option<(Suspect, Quarantined)> {
    let suspect = suspect_of(key)?;
    let entry = match suspect {
        Suspect::Request(_) => serde_json::from_slice(value).map(Quarantined::Request),
        Suspect::Part(_) => serde_json::from_slice(value).map(Quarantined::Part),
    };
    match entry {
        Ok(entry) => Some((suspect, entry)),
        Err(error) => {
            log::error!(key, error:% = error; "quarantine-entry-unreadable");
            None
        }
    }
}

/// The entries of what is quarantined among items of the store.
#[derive(Debug, Default)]
pub(crate) struct QuarantinedItems {
    pub(crate) requests: Vec<(RequestDigest, QuarantineEntry)>,
    pub(crate) parts: Vec<(PartDigest, PartEntry)>,
}

impl QuarantinedItems {
    pub(crate) fn parse(items: &[SystemItem]) -> Self {
        let mut found = Self::default();
        for item in items {
            match parse_entry(&item.key, &item.value) {
                Some((Suspect::Request(it), Quarantined::Request(entry))) => {
                    found.requests.push((it, entry));
                }
                Some((Suspect::Part(it), Quarantined::Part(entry))) => {
                    found.parts.push((it, entry));
                }
                _ => {}
            }
        }
        found
    }
}
