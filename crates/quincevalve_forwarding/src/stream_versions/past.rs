//! The versions that services had before a VM started, as the store's entries name them.

use quincevalve_names::{ServerVersion, ServiceName};
use serde::{Deserialize, Serialize};

/// What is known of the versions that services had before a VM started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PastVersions {
    /// There were none: the whole system starts for the first time.
    None,
    /// The store's entries name them. Of a service without an entry of the store's era, nothing is known.
    InEntries,
}

/// The store's entry of the versions that a service recently had.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionEntry {
    /// Sorted.
    pub versions: Vec<ServerVersion>,
    /// The era of the store in which the entry was written. A store that has returned from a copy may have lost a later
    /// entry.
    pub era: u64,
}

/// An update of the store's entry of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryUpdate {
    /// The service.
    pub service: ServiceName,
    /// The entry as this VM knows it. A newer one must not be overwritten.
    pub known: Option<VersionEntry>,
    /// The entry to write; `None` if it is to be removed.
    pub entry: Option<VersionEntry>,
}
