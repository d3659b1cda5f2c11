//! Restricts the servers that a request may be sent to by their version.

use quincevalve_names::{BackendServerName, ServerVersion};

use crate::servers::{ServerEntry, start_hash};

/// The servers that a request may be sent to, by their version.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::{rollout::scope::VersionScope, servers::{ServerEntry, ServerStart}};
/// let entry = ServerEntry {
///     start: ServerStart(1),
///     service: "engines".into(),
///     address: ([10, 0, 0, 1], 80).into(),
///     data_centre: "north".into(),
///     version: "v2".into(),
///     slots: 16,
///     is_cold: false,
///     draining: false,
///     reclaimable: false,
///     leaves_in: None,
/// };
/// assert!(VersionScope::Only("v2".into()).admits(&"i-1".into(), &entry));
/// assert!(!VersionScope::Except(vec!["v2".into()]).admits(&"i-1".into(), &entry));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionScope {
    /// All servers except those of these versions.
    Except(Vec<ServerVersion>),
    /// The servers of one version.
    Only(ServerVersion),
    /// A few servers of one version, by [`start_hash`], so that a small share of the requests loads each about like any
    /// other server.
    Canaries(ServerVersion, Vec<u64>),
}

impl VersionScope {
    /// Returns whether a request may be sent to this server.
    pub fn admits(&self, name: &BackendServerName, entry: &ServerEntry) -> bool {
        match self {
            Self::Except(versions) => !versions.contains(&entry.version),
            Self::Only(version) => entry.version == *version,
            Self::Canaries(version, servers) => {
                entry.version == *version && servers.contains(&start_hash(name, entry.start))
            }
        }
    }

    /// Returns whether prompt prefixes are assumed not to be cached at these servers: few requests of a canary find a
    /// prefix that the server has processed before.
    pub const fn is_cold(&self) -> bool {
        matches!(self, Self::Canaries(..))
    }
}
