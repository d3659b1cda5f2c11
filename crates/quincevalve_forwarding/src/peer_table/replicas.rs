//! The VMs that keep a record for others, chosen by the record's key alone.

use std::collections::HashMap;

use indexmap::IndexSet;
use quincevalve_names::{DataCentreName, rendezvous_score};

use super::{PeerTable, VmDescriptor};

/// How many VMs keep a record or are asked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaCounts {
    /// VMs of this VM's data centre, so that a record can be found while the data centre is cut off.
    pub own_centre: usize,
    /// VMs of any data centre, from as many of them as possible.
    pub anywhere: usize,
}

impl PeerTable {
    /// Returns the other listed VMs that keep the record with this key, by rendezvous score: VMs that know the same VMs
    /// choose the same ones.
    ///
    /// A VM that asks for `anywhere + 1` VMs, and twice as many of its data centre, finds those that another VM chose
    /// for `anywhere`: either may be in the other's choice.
    pub fn replica_holders(&self, key: u64, counts: ReplicaCounts) -> Vec<&VmDescriptor> {
        let listed = self.peers.values().filter(|it| it.listed);
        let listed = listed.map(|it| (&it.descriptor, it.hash)).chain([(&self.me, self.me_hash)]);
        let mut scored: Vec<_> =
            listed.map(|(it, hash)| (rendezvous_score(key, hash), it)).collect();
        scored.sort_unstable_by_key(|(score, it)| (std::cmp::Reverse(*score), it.name.as_str()));
        let mut in_centre: HashMap<&DataCentreName, usize> = HashMap::new();
        let mut spread: Vec<_> = scored
            .iter()
            .map(|(_, it)| {
                let rank = in_centre.entry(&it.data_centre).or_default();
                *rank += 1;
                (*rank, *it)
            })
            .collect();
        spread.sort_by_key(|(rank, _)| *rank);
        let is_other = |it: &&VmDescriptor| it.name != self.me.name;
        let near = scored.iter().map(|(_, it)| *it).filter(is_other);
        let near = near.filter(|it| it.data_centre == self.me.data_centre).take(counts.own_centre);
        let far = spread.iter().map(|(_, it)| *it).filter(is_other).take(counts.anywhere);
        let mut names = IndexSet::new();
        near.chain(far).filter(|it| names.insert(it.name.as_str())).collect()
    }
}
