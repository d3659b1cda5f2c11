//! In-memory model of the platform's key-value service.

use indexmap::IndexMap;
use quincevalve_names::{FencingNumber, TimePoint};
use quincevalve_ports::store::{KeyVersion, Lease, Versioned};
use std::time::Duration;

#[derive(Clone, Debug)]
struct LeaseEntry {
    holder: String,
    fencing: FencingNumber,
    expires_at: TimePoint,
}

/// Stores keys with versions and leases, and counts calls.
#[derive(Clone, Debug, Default)]
pub struct StoreModel {
    keys: IndexMap<String, Versioned>,
    leases: IndexMap<String, LeaseEntry>,
    last_version: u64,
    /// Number of reads, including watches.
    pub reads: u64,
    /// Number of writes, including rejected writes and lease calls.
    pub writes: u64,
}

impl StoreModel {
    /// Reads a key.
    pub fn get(&mut self, key: &str) -> Option<Versioned> {
        self.reads += 1;
        self.peek(key)
    }

    /// Reads a key without counting the call; watches are counted when they begin.
    pub fn peek(&self, key: &str) -> Option<Versioned> {
        self.keys.get(key).cloned()
    }

    /// Writes a key if its version is `expected`; otherwise returns the current version as the error.
    ///
    /// ```
    /// use quincevalve_ports::store::KeyVersion;
    /// let mut store = quincevalve_standins::StoreModel::default();
    /// let version = store.swap("a", KeyVersion::ABSENT, "1").unwrap();
    /// assert_eq!(store.swap("a", KeyVersion::ABSENT, "2"), Err(version));
    /// ```
    pub fn swap(
        &mut self,
        key: &str,
        expected: KeyVersion,
        value: &str,
    ) -> Result<KeyVersion, KeyVersion> {
        self.writes += 1;
        self.check_version(key, expected)?;
        self.last_version += 1;
        let version = KeyVersion(self.last_version);
        self.keys.insert(key.to_owned(), Versioned { version, value: value.to_owned() });
        Ok(version)
    }

    /// Deletes a key if its version is `expected`; otherwise returns the current version as the error.
    pub fn delete(&mut self, key: &str, expected: KeyVersion) -> Result<(), KeyVersion> {
        self.writes += 1;
        self.check_version(key, expected)?;
        self.keys.shift_remove(key);
        Ok(())
    }

    fn check_version(&self, key: &str, expected: KeyVersion) -> Result<(), KeyVersion> {
        let current = self.keys.get(key).map_or(KeyVersion::ABSENT, |it| it.version);
        if current == expected { Ok(()) } else { Err(current) }
    }

    /// Acquires or renews a lease, and returns the lease as it is then. An unexpired lease of another holder stays.
    pub fn lease(&mut self, now: TimePoint, name: &str, holder: &str, ttl: Duration) -> Lease {
        self.writes += 1;
        let held = self.leases.get(name);
        let lease = match held {
            Some(held) if held.holder == holder && held.expires_at > now => {
                LeaseEntry { expires_at: now + ttl, ..held.clone() }
            }
            Some(held) if held.expires_at > now => held.clone(),
            expired => {
                let fencing = expired.map_or(FencingNumber(1), |it| it.fencing.next());
                LeaseEntry { holder: holder.to_owned(), fencing, expires_at: now + ttl }
            }
        };
        self.leases.insert(name.to_owned(), lease.clone());
        let left_ms = lease.expires_at.since(now).as_millis() as u64;
        Lease { holder: lease.holder, fencing: lease.fencing, left_ms }
    }
}
