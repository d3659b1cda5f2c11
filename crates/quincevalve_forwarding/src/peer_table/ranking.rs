//! The order of the VMs of each data centre, kept as they come and go.

use std::cmp::Reverse;

use indexmap::IndexMap;
use quincevalve_names::DataCentreName;

use super::VmDescriptor;

/// A VM's place in the order of its data centre: strongest first, the same everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    cpu: Reverse<u32>,
    hash: u64,
}

impl Rank {
    /// `hash` is that of the VM's name.
    pub(super) fn new(card: &VmDescriptor, hash: u64) -> Self {
        Self { cpu: Reverse(card.cpu), hash }
    }
}

/// The VMs of each data centre by rank. A VM that comes or goes costs a binary search.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranking {
    centres: IndexMap<DataCentreName, Vec<(Rank, String)>>,
}

impl Ranking {
    /// Adds a VM that isn't in it.
    pub(super) fn insert(&mut self, card: &VmDescriptor, hash: u64) {
        let vms = self.centres.entry(card.data_centre.clone()).or_default();
        let rank = Rank::new(card, hash);
        let at = vms.partition_point(|(it, _)| *it < rank);
        vms.insert(at, (rank, card.name.clone()));
    }

    /// Removes a VM, by the card with which it was added.
    pub(super) fn remove(&mut self, card: &VmDescriptor, hash: u64) {
        let Some(vms) = self.centres.get_mut(&card.data_centre) else { return };
        let rank = Rank::new(card, hash);
        if let Ok(at) = vms.binary_search_by(|(it, _)| it.cmp(&rank)) {
            vms.remove(at);
        }
        if vms.is_empty() {
            self.centres.shift_remove(&card.data_centre);
        }
    }

    /// The data centres that have VMs.
    pub(super) fn centres(&self) -> impl Iterator<Item = &DataCentreName> {
        self.centres.keys()
    }

    /// The names of a data centre's VMs, strongest first.
    pub(super) fn of(&self, centre: &DataCentreName) -> impl Iterator<Item = &str> {
        self.centres.get(centre).into_iter().flatten().map(|(_, name)| name.as_str())
    }
}
