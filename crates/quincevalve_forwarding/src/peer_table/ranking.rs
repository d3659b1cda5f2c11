//! The VMs of each data centre in rank order, maintained as VMs are added and removed.

use std::cmp::Reverse;

use indexmap::IndexMap;
use quincevalve_names::DataCentreName;

use super::VmDescriptor;

/// Sort key of a VM within its data centre: strongest first, the same at all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    cpu: Reverse<u32>,
    hash: u64,
}

impl Rank {
    /// Creates the key of a VM; `hash` is the hash of its name.
    pub(super) fn new(descriptor: &VmDescriptor, hash: u64) -> Self {
        Self { cpu: Reverse(descriptor.cpu), hash }
    }
}

/// The VMs of each data centre by rank. Adding or removing a VM takes a binary search.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranking {
    centres: IndexMap<DataCentreName, Vec<(Rank, String)>>,
}

impl Ranking {
    /// Adds a VM that the ranking doesn't contain.
    #[expect(clippy::disallowed_methods, reason = "a partition point is within the list")]
    pub(super) fn insert(&mut self, descriptor: &VmDescriptor, hash: u64) {
        let vms = self.centres.entry(descriptor.data_centre.clone()).or_default();
        let rank = Rank::new(descriptor, hash);
        let at = vms.partition_point(|(it, _)| *it < rank);
        vms.insert(at, (rank, descriptor.name.clone()));
    }

    /// Removes a VM by the descriptor with which it was added.
    #[expect(clippy::disallowed_methods, reason = "the position was just found")]
    pub(super) fn remove(&mut self, descriptor: &VmDescriptor, hash: u64) {
        let Some(vms) = self.centres.get_mut(&descriptor.data_centre) else { return };
        let rank = Rank::new(descriptor, hash);
        if let Ok(at) = vms.binary_search_by(|(it, _)| it.cmp(&rank)) {
            vms.remove(at);
        }
        if vms.is_empty() {
            self.centres.shift_remove(&descriptor.data_centre);
        }
    }

    /// Returns the data centres that have VMs.
    pub(super) fn centres(&self) -> impl Iterator<Item = &DataCentreName> {
        self.centres.keys()
    }

    /// Returns the names of a data centre's VMs, strongest first.
    pub(super) fn of(&self, centre: &DataCentreName) -> impl Iterator<Item = &str> {
        self.centres.get(centre).into_iter().flatten().map(|(_, name)| name.as_str())
    }
}
