//! The other entry VMs known to this one.

use std::net::SocketAddr;

use quincevalve_membership::{Member, Summary};
use quincevalve_names::{
    DataCentreName, EntryVmName, HomeTag, RequestId, hash_text, rendezvous_score,
};

/// Another entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PeerVm {
    pub(crate) name: EntryVmName,
    pub(crate) data_centre: DataCentreName,
    pub(crate) address: SocketAddr,
    pub(crate) takes_work: bool,
    pub(crate) demand: u32,
    hash: u64,
}

/// All entry VMs of the own data centre and a few contacts of each other data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Peers {
    all: Vec<PeerVm>,
}

impl Peers {
    /// Builds the list from the members and summaries that the control process reports.
    pub(crate) fn new(own: &EntryVmName, members: &[Member], summaries: &[Summary]) -> Self {
        let near = members.iter().filter(|it| it.is_reachable()).map(|it| PeerVm {
            name: it.name.clone(),
            data_centre: it.data_centre.clone(),
            address: it.entry,
            takes_work: it.takes_work(),
            demand: it.load.demand,
            hash: it.hash(),
        });
        let mut all: Vec<_> = near.filter(|it| it.name != *own).collect();
        for summary in summaries {
            for contact in &summary.contacts {
                if contact.name == *own || all.iter().any(|it| it.name == contact.name) {
                    continue;
                }
                all.push(PeerVm {
                    name: contact.name.clone(),
                    data_centre: summary.data_centre.clone(),
                    address: contact.entry,
                    takes_work: true,
                    demand: 0,
                    hash: hash_text(contact.name.as_str()),
                });
            }
        }
        Self { all }
    }

    pub(crate) fn find(&self, name: &EntryVmName) -> Option<&PeerVm> {
        self.all.iter().find(|it| it.name == *name)
    }

    /// Returns the other entry VMs of a data centre that accept work.
    pub(crate) fn in_data_centre<'a>(
        &'a self,
        data_centre: &'a DataCentreName,
    ) -> impl Iterator<Item = &'a PeerVm> {
        self.all.iter().filter(move |it| it.takes_work && it.data_centre == *data_centre)
    }

    /// Returns the VM that owns a slot of the ledger, or `None` if this VM owns it.
    ///
    /// VMs with different member lists may choose different owners. That only costs a write conflict at the store,
    /// because every write is a compare-and-swap.
    pub(crate) fn slot_owner(&self, slot: u32, own: &EntryVmName) -> Option<&PeerVm> {
        let key = hash_text(&format!("slot-{slot}"));
        let own_score = rendezvous_score(key, hash_text(own.as_str()));
        let others = self.all.iter().filter(|it| it.takes_work);
        let best = others.max_by_key(|it| rendezvous_score(key, it.hash))?;
        (rendezvous_score(key, best.hash) > own_score).then_some(best)
    }

    /// Returns the VMs that may hold a request, the most likely first: the one that accepted it, then VMs that accept
    /// work before others, each group in rendezvous order.
    pub(crate) fn lookup_order(&self, request: RequestId) -> Vec<&PeerVm> {
        let mut peers: Vec<_> = self.all.iter().collect();
        peers.sort_by_key(|it| {
            let is_home = HomeTag::from(&it.name) == request.home();
            let score = rendezvous_score(request.hash64(), it.hash);
            std::cmp::Reverse((is_home, it.takes_work, score))
        });
        peers
    }

    /// Returns the VMs that can accept a hand-over: they accept work and aren't part of the same reclaim wave.
    pub(crate) fn candidates(&self, wave: &[String]) -> Vec<(EntryVmName, u64)> {
        let usable = self.all.iter().filter(|it| it.takes_work);
        usable
            .filter(|it| !wave.iter().any(|name| name == it.name.as_str()))
            .map(|it| (it.name.clone(), it.hash))
            .collect()
    }
}
