//! One member as others see it.

use std::net::SocketAddr;

use quincevalve_names::{DataCentreName, EntryVmName, Incarnation, Revision, hash_text};
use serde::{Deserialize, Serialize};

/// A member's state. Of two states of one incarnation the later variant stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It didn't answer; it may refute that with a higher incarnation.
    Suspect,
    /// It is being stopped or taken back. Sticky: no news of the same incarnation brings it back.
    Leaving,
    /// It is gone.
    Dead,
}

/// What a member says of its own work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests running and waiting.
    pub demand: u32,
    /// The configuration in force.
    pub revision: Revision,
    /// Higher with each change, so that the newest stands.
    pub version: u32,
}

/// A member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: EntryVmName,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Where its control process answers peers.
    pub control: SocketAddr,
    /// Where its entry process answers peers.
    pub entry: SocketAddr,
    /// Its incarnation: a restart has a higher one.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: MemberState,
    /// Its work.
    pub load: Load,
}

impl Member {
    /// Whether it can be asked for anything.
    pub const fn is_reachable(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect | MemberState::Leaving)
    }

    /// Whether it may get new work or be relied on for a while.
    pub const fn takes_work(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// A hash of its name, for rendezvous.
    pub fn hash(&self) -> u64 {
        hash_text(self.name.as_str())
    }

    /// Whether `self` is newer than what is known.
    pub(crate) fn overrides(&self, known: &Self) -> bool {
        (self.incarnation, self.state) > (known.incarnation, known.state)
    }
}
