//! Store entries of quarantined requests, one for each request, with its digest in the key.

use quincevalve_forwarding::{poison::QuarantineEntry, request_digest::RequestDigest};

use crate::ports::{Commit, PlatformStore, StoreError, StoreRevision, SystemItem};

/// Prefix of the store keys of quarantined requests; the digest follows, and the value is a [`QuarantineEntry`].
pub(crate) const QUARANTINE_KEY_PREFIX: &str = "quarantine/";

/// Reads the quarantined requests from the store. Changes of the last seconds may be missing.
pub async fn list_quarantined<S>(
    store: &S,
) -> Result<Vec<(RequestDigest, QuarantineEntry)>, StoreError>
where
    S: PlatformStore,
{
    let items = store.system_items(QUARANTINE_KEY_PREFIX).await?;
    Ok(items.iter().filter_map(|it| parse_entry(&it.key, &it.value)).collect())
}

/// Removes a request's quarantine entry together with its trial count; returns `false` if it wasn't quarantined.
pub async fn lift_quarantine<S>(store: &S, digest: RequestDigest) -> Result<bool, StoreError>
where
    S: PlatformStore,
{
    let Some(SystemItem { key, revision, .. }) = read(store, digest).await? else {
        return Ok(false);
    };
    let expected = vec![(key.clone(), revision)];
    store.commit(&Commit { expected, removes: vec![key], ..Commit::default() }).await?;
    Ok(true)
}

/// Reads the newest entry of a request.
pub(super) async fn read<S>(
    store: &S,
    digest: RequestDigest,
) -> Result<Option<SystemItem>, StoreError>
where
    S: PlatformStore,
{
    store.get(&key_of(digest)).await
}

/// Writes an entry if the stored one is still at revision `expected_revision`.
pub(super) async fn put<S>(
    store: &S,
    digest: RequestDigest,
    entry: QuarantineEntry,
    expected_revision: StoreRevision,
) -> Result<(), StoreError>
where
    S: PlatformStore,
{
    let value = serde_json::to_vec(&entry)
        .map_err(|error| StoreError::Unreadable { what: error.to_string() })?;
    let key = key_of(digest);
    let expected = vec![(key.clone(), expected_revision)];
    let puts = vec![(key, value, None)];
    store.commit(&Commit { expected, puts, ..Commit::default() }).await?;
    Ok(())
}

fn key_of(digest: RequestDigest) -> String {
    format!("{QUARANTINE_KEY_PREFIX}{digest}")
}

/// Parses the digest in a key; returns `None` for other keys.
pub(crate) fn digest_of(key: &str) -> Option<RequestDigest> {
    key.strip_prefix(QUARANTINE_KEY_PREFIX).and_then(RequestDigest::parse)
}

/// Parses the quarantine entry of a store item; returns `None` for other items and unreadable entries.
pub(crate) fn parse_entry(key: &str, value: &[u8]) -> Option<(RequestDigest, QuarantineEntry)> {
    let digest = digest_of(key)?;
    match serde_json::from_slice(value) {
        Ok(entry) => Some((digest, entry)),
        Err(error) => {
            log::error!(key, error:% = error; "quarantine-entry-unreadable");
            None
        }
    }
}
