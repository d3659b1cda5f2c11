//! Changes of the store as VMs relay them to each other.

use bincode::Options;
use quincevalve_forwarding::{rollout::record::RolloutOrder, servers::ServerEntry};
use quincevalve_names::{BackendServerName, ServiceName};
use serde::{Deserialize, Serialize};

use super::{HOLDER_KEY, PEER_KEYS};
use crate::{
    peers::encoding, quarantine::QUARANTINE_KEY_PREFIX, rollouts::ROLLOUT_KEY_PREFIX,
    store::version_history::VERSION_KEY_PREFIX,
};

/// A store change as it is relayed to other VMs. Configurations are too large to relay, so only their versions are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum RelayedChange {
    Server(BackendServerName, ServerEntry),
    ServerRemoved(BackendServerName),
    /// The value under the server's key can't be decoded.
    ServerUnreadable(BackendServerName),
    /// A value under one of the system's own keys.
    SystemItem {
        key: String,
        value: Vec<u8>,
    },
    SystemItemRemoved(String),
    /// The operators' roll-out order for a service; `None` if it was removed.
    RolloutOrder(ServiceName, Option<RolloutOrder>),
    /// A configuration of this version exists.
    ///
    /// A VM that can't read the new configuration still relays later changes. Without the version among them, receivers
    /// would look up to date and serve by the old configuration.
    Config(u64),
}

/// Maximum number of bytes of changes in one datagram. Holds the changes of a hundred servers that leave together; with
/// the work at a hundred servers beside them, a datagram stays below half of the largest.
pub(crate) const MAX_BATCH_BYTES: usize = 20 << 10;
/// Maximum encoded size of a change's revision, in bytes.
const MAX_REVISION_BYTES: usize = 9;

impl RelayedChange {
    /// Returns the name under which the changed item is found.
    pub(super) fn key(&self) -> &str {
        match self {
            Self::Server(name, _) | Self::ServerRemoved(name) | Self::ServerUnreadable(name) => {
                name.as_str()
            }
            Self::SystemItem { key, .. } | Self::SystemItemRemoved(key) => key,
            Self::RolloutOrder(service, _) => service.as_str(),
            Self::Config(_) => "configuration",
        }
    }

    /// Returns an upper bound of the change's size in a datagram, in bytes.
    pub(super) fn max_encoded_bytes(&self) -> usize {
        let size = encoding().serialized_size(self).unwrap_or(u64::MAX);
        MAX_REVISION_BYTES + usize::try_from(size).unwrap_or(usize::MAX)
    }

    /// Returns whether other VMs need the change.
    ///
    /// The holder of the duties stores thousands of bytes of counts each second. If these were relayed to all VMs,
    /// datagrams would exceed 60 KB and be truncated: no VM would learn of a leaving server, and all VMs would read the
    /// store themselves. The VM that takes over the duties reads these keys itself; the other VMs only need the entries
    /// of VMs, the holder, quarantines and roll-outs.
    pub(super) fn is_needed_by_peers(&self) -> bool {
        match self {
            Self::SystemItem { key, .. } | Self::SystemItemRemoved(key) => {
                key == HOLDER_KEY
                    || [PEER_KEYS, QUARANTINE_KEY_PREFIX, ROLLOUT_KEY_PREFIX, VERSION_KEY_PREFIX]
                        .iter()
                        .any(|it| key.starts_with(it))
            }
            Self::Server(..)
            | Self::ServerRemoved(_)
            | Self::ServerUnreadable(_)
            | Self::RolloutOrder(..)
            | Self::Config(_) => true,
        }
    }
}
