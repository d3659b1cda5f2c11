//! What other data centres know of one.

use std::net::SocketAddr;

use quincevalve_names::{DataCentreName, EntryVmName, Revision};
use serde::{Deserialize, Serialize};

/// A data centre in short. Its size doesn't grow with the data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// When it was made, in milliseconds of its maker's clock; the newest stands.
    pub made_at: u64,
    /// Members that take work.
    pub members: u32,
    /// Their demand in all.
    pub demand: u32,
    /// The highest configuration in force there.
    pub revision: Revision,
    /// A few members that take work.
    pub contacts: Vec<Contact>,
}

/// A member of another data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Its name.
    pub name: EntryVmName,
    /// Where its control process answers peers.
    pub control: SocketAddr,
    /// Where its entry process answers peers.
    pub entry: SocketAddr,
}
