//! The other entry VMs, as this one knows them.

use std::net::SocketAddr;

use quincevalve_membership::{Member, Summary};
use quincevalve_names::{
    DataCentreName, EntryVmName, HomeTag, RequestId, hash_text, rendezvous_score,
};

/// One other entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PeerVm {
    pub(crate) name: EntryVmName,
    pub(crate) data_centre: DataCentreName,
    pub(crate) address: SocketAddr,
    pub(crate) takes_work: bool,
    pub(crate) demand: u32,
    hash: u64,
}

/// All of the data centre, and a few of each other one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Peers {
    all: Vec<PeerVm>,
}

impl Peers {
    /// Takes the state that the control process gives.
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

    /// Other entry VMs of the data centre that take work.
    pub(crate) fn near<'a>(
        &'a self,
        data_centre: &'a DataCentreName,
    ) -> impl Iterator<Item = &'a PeerVm> {
        self.all.iter().filter(move |it| it.takes_work && it.data_centre == *data_centre)
    }

    /// The VM that keeps a slot of the ledger; `None` if that is this one.
    ///
    /// VMs that see different members choose different ones. That costs a conflict at the store and
    /// nothing else, since the swap chain decides.
    pub(crate) fn slot_owner(&self, slot: u32, own: &EntryVmName) -> Option<&PeerVm> {
        let key = hash_text(&format!("slot-{slot}"));
        let own_score = rendezvous_score(key, hash_text(own.as_str()));
        let others = self.all.iter().filter(|it| it.takes_work);
        let best = others.max_by_key(|it| rendezvous_score(key, it.hash))?;
        (rendezvous_score(key, best.hash) > own_score).then_some(best)
    }

    /// Where a request can be, the likeliest first: where it was accepted, then rendezvous order.
    pub(crate) fn places_of(&self, request: RequestId) -> Vec<&PeerVm> {
        let mut places: Vec<_> = self.all.iter().collect();
        places.sort_by_key(|it| {
            let is_home = HomeTag::from(&it.name) == request.home();
            let score = rendezvous_score(request.hash64(), it.hash);
            std::cmp::Reverse((is_home, it.takes_work, score))
        });
        places
    }

    /// Who can take a hand-over: VMs that take work and aren't taken back in the same wave.
    pub(crate) fn candidates(&self, wave: &[String]) -> Vec<(EntryVmName, u64)> {
        let usable = self.all.iter().filter(|it| it.takes_work);
        usable
            .filter(|it| !wave.iter().any(|name| name == it.name.as_str()))
            .map(|it| (it.name.clone(), it.hash))
            .collect()
    }
}
