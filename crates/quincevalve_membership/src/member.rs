//! The description of a member that nodes exchange.

use std::net::SocketAddr;

use quincevalve_names::{DataCentreName, EntryVmName, Incarnation, Revision, hash_text};
use serde::{Deserialize, Serialize};

/// A member's state. Of two states of the same incarnation, the later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member didn't answer probes. It may refute the suspicion with a higher incarnation.
    Suspect,
    /// The member is being stopped or reclaimed. No update of the same incarnation makes it alive again.
    Leaving,
    /// The member is unreachable or has left.
    Dead,
}

/// The load that a member reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of running and waiting requests.
    pub demand: u32,
    /// The revision of the configuration in force.
    pub revision: Revision,
    /// Increases with each change, so that the newest load takes precedence.
    pub version: u32,
}

/// A member of the group as known to a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of its VM.
    pub name: EntryVmName,
    /// The data centre of its VM.
    pub data_centre: DataCentreName,
    /// The address at which its control process serves peers.
    pub control: SocketAddr,
    /// The address at which its entry process serves peers.
    pub entry: SocketAddr,
    /// Its incarnation; it increases with each restart.
    pub incarnation: Incarnation,
    /// Its latest known state.
    pub state: MemberState,
    /// Its latest known load.
    pub load: Load,
}

impl Member {
    /// Returns whether the member can be contacted.
    pub const fn is_reachable(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect | MemberState::Leaving)
    }

    /// Returns whether the member may be assigned new work.
    pub const fn takes_work(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Returns a hash of the member's name, for rendezvous hashing.
    pub fn hash(&self) -> u64 {
        hash_text(self.name.as_str())
    }

    /// Returns whether the incarnation and state of `self` take precedence over those of `known`.
    pub(crate) fn overrides(&self, known: &Self) -> bool {
        (self.incarnation, self.state) > (known.incarnation, known.state)
    }
}
