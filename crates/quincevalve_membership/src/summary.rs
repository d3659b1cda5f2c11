//! Summaries that data centres exchange.

use std::net::SocketAddr;

use quincevalve_names::{DataCentreName, EntryVmName, Revision};
use serde::{Deserialize, Serialize};

/// A summary of a data centre. Its size doesn't grow with the data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The summarized data centre.
    pub data_centre: DataCentreName,
    /// Time of creation in milliseconds of the creator's clock; the newest summary takes precedence.
    pub made_at: u64,
    /// Number of members that take work.
    pub members: u32,
    /// Total demand of these members, in requests.
    pub demand: u32,
    /// The highest revision of the configuration in force at these members.
    pub revision: Revision,
    /// A few members that take work.
    pub contacts: Vec<Contact>,
}

/// A member of another data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// The name of its VM.
    pub name: EntryVmName,
    /// The address at which its control process serves peers.
    pub control: SocketAddr,
    /// The address at which its entry process serves peers.
    pub entry: SocketAddr,
}
