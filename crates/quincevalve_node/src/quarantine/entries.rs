//! The entries of quarantined requests in the store, one for each, under its digest.

use quincevalve_forwarding::{poison::QuarantineEntry, request_digest::RequestDigest};

use crate::ports::{Commit, OwnItem, PlatformStore, StoreError, StoreRevision};

/// Keys of quarantined requests, each with its [`QuarantineEntry`].
pub(crate) const QUARANTINE_KEYS: &str = "quarantine/";

/// The requests that are kept from servers, as the store has them; what changed in the last seconds may be missing.
pub async fn quarantined<S>(store: &S) -> Result<Vec<(RequestDigest, QuarantineEntry)>, StoreError>
where
    S: PlatformStore,
{
    let items = store.own_items(QUARANTINE_KEYS).await?;
    Ok(items.iter().filter_map(|it| listed(&it.key, &it.value)).collect())
}

/// Lets a request go to servers again, as if nothing had been held against it; `false` if it was not quarantined.
pub async fn lift_quarantine<S>(store: &S, digest: RequestDigest) -> Result<bool, StoreError>
where
    S: PlatformStore,
{
    let Some(OwnItem { key, revision, .. }) = read(store, digest).await? else { return Ok(false) };
    let expected = vec![(key.clone(), revision)];
    store.commit(&Commit { expected, removes: vec![key], ..Commit::default() }).await?;
    Ok(true)
}

/// The newest entry of a request.
pub(super) async fn read<S>(store: &S, digest: RequestDigest) -> Result<Option<OwnItem>, StoreError>
where
    S: PlatformStore,
{
    store.get(&key_of(digest)).await
}

/// Writes an entry over the one of that revision.
pub(super) async fn put<S>(
    store: &S,
    digest: RequestDigest,
    entry: QuarantineEntry,
    over: StoreRevision,
) -> Result<(), StoreError>
where
    S: PlatformStore,
{
    let value = serde_json::to_vec(&entry)
        .map_err(|error| StoreError::Unreadable { what: error.to_string() })?;
    let key = key_of(digest);
    let expected = vec![(key.clone(), over)];
    let puts = vec![(key, value, None)];
    store.commit(&Commit { expected, puts, ..Commit::default() }).await?;
    Ok(())
}

fn key_of(digest: RequestDigest) -> String {
    format!("{QUARANTINE_KEYS}{digest}")
}

/// The digest of a key; `None` for other keys.
pub(crate) fn digest_of(key: &str) -> Option<RequestDigest> {
    key.strip_prefix(QUARANTINE_KEYS).and_then(RequestDigest::parse)
}

/// The quarantined request of an item of the store; `None` for other items.
pub(crate) fn listed(key: &str, value: &[u8]) -> Option<(RequestDigest, QuarantineEntry)> {
    let digest = digest_of(key)?;
    match serde_json::from_slice(value) {
        Ok(entry) => Some((digest, entry)),
        Err(error) => {
            log::error!(key, error:% = error; "quarantine-entry-unreadable");
            None
        }
    }
}
