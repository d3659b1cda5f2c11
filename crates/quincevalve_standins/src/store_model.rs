//! The platform's key-value service in memory.

use indexmap::IndexMap;
use quincevalve_names::{FencingNumber, TimePoint};
use quincevalve_ports::store::{KeyVersion, Lease, Versioned};
use std::time::Duration;

#[derive(Clone, Debug)]
struct HeldLease {
    holder: String,
    fencing: FencingNumber,
    until: TimePoint,
}

/// Keys, versions and leases; every call is counted.
#[derive(Clone, Debug, Default)]
pub struct StoreModel {
    keys: IndexMap<String, Versioned>,
    leases: IndexMap<String, HeldLease>,
    last_version: u64,
    /// Reads so far, watches among them.
    pub reads: u64,
    /// Writes so far, refused ones and leases among them.
    pub writes: u64,
}

impl StoreModel {
    /// Reads a key.
    pub fn get(&mut self, key: &str) -> Option<Versioned> {
        self.reads += 1;
        self.peek(key)
    }

    /// Reads a key without counting it; for a watch that was counted when it began.
    pub fn peek(&self, key: &str) -> Option<Versioned> {
        self.keys.get(key).cloned()
    }

    /// Writes a key at version `expected`, or returns the version that stands in the way.
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
        self.require(key, expected)?;
        self.last_version += 1;
        let version = KeyVersion(self.last_version);
        self.keys.insert(key.to_owned(), Versioned { version, value: value.to_owned() });
        Ok(version)
    }

    /// Deletes a key at version `expected`.
    pub fn delete(&mut self, key: &str, expected: KeyVersion) -> Result<(), KeyVersion> {
        self.writes += 1;
        self.require(key, expected)?;
        self.keys.shift_remove(key);
        Ok(())
    }

    fn require(&self, key: &str, expected: KeyVersion) -> Result<(), KeyVersion> {
        let current = self.keys.get(key).map_or(KeyVersion::ABSENT, |it| it.version);
        if current == expected { Ok(()) } else { Err(current) }
    }

    /// Takes or renews a lease, or says who holds it.
    pub fn lease(&mut self, now: TimePoint, name: &str, holder: &str, ttl: Duration) -> Lease {
        self.writes += 1;
        let held = self.leases.get(name);
        let lease = match held {
            Some(held) if held.holder == holder && held.until > now => {
                HeldLease { until: now + ttl, ..held.clone() }
            }
            Some(held) if held.until > now => held.clone(),
            lapsed => {
                let fencing = lapsed.map_or(FencingNumber(1), |it| it.fencing.next());
                HeldLease { holder: holder.to_owned(), fencing, until: now + ttl }
            }
        };
        self.leases.insert(name.to_owned(), lease.clone());
        let left_ms = lease.until.since(now).as_millis() as u64;
        Lease { holder: lease.holder, fencing: lease.fencing, left_ms }
    }
}
