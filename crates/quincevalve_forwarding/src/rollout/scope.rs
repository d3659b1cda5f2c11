//! Which servers of a service a request may go to, by their version.

use quincevalve_names::{BackendServerName, ServerVersion};

use crate::servers::{ServerEntry, start_hash};

/// The servers that a request may go to while versions differ.
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
    /// All but those of these versions.
    Except(Vec<ServerVersion>),
    /// Those of one version.
    Only(ServerVersion),
    /// A few servers of one version, by [`start_hash`]: a small share of the requests loads them like others.
    Canaries(ServerVersion, Vec<u64>),
}

impl VersionScope {
    /// Whether a server is among them.
    pub fn admits(&self, name: &BackendServerName, entry: &ServerEntry) -> bool {
        match self {
            Self::Except(versions) => !versions.contains(&entry.version),
            Self::Only(version) => entry.version == *version,
            Self::Canaries(version, servers) => {
                entry.version == *version && servers.contains(&start_hash(name, entry.start))
            }
        }
    }

    /// Whether its servers have read nothing yet: few requests of a canary meet a part that was read before.
    pub const fn is_cold(&self) -> bool {
        matches!(self, Self::Canaries(..))
    }
}
