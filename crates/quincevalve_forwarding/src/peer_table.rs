//! Which entry VMs there are, and which of them collect what the others tell.
//!
//! In a small system every VM tells every other. In a large one that would cost each VM more the more there
//! are, so in each data centre one VM collects: its members tell it what they do, collectors tell each other
//! the sum of their members, and each member hears the sum of all others from its collector. A VM then sends
//! and takes a few datagrams in a period, whatever the size of the system.

mod ranking;

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use indexmap::IndexMap;
use quincevalve_names::{DataCentreName, TimePoint, hash_text, rendezvous_score};
use serde::{Deserialize, Serialize};

use self::ranking::{Rank, Ranking};
use crate::{shared_limit::Seat, store_pacing::ReadingPart};

/// Up to this many VMs everyone tells everyone: a dozen datagrams a period are cheap, and there is no
/// collector to lose.
const SMALL: usize = 16;
/// VMs that read the store for all: one, and one in case it can't.
const READERS: usize = 2;
/// A collector that has not answered for this long has gone or is out of reach; it answers ten times in it.
const SILENT: Duration = Duration::from_millis(800);
/// A VM that tells several times a second and was not heard for this long is silent.
const LATELY: Duration = Duration::from_secs(2);
/// A peer that is neither listed nor heard for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// What a VM says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmDescriptor {
    /// Its name.
    pub name: String,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Thousandths of a processor core that it may use.
    pub cpu: u32,
}

#[derive(Clone, Debug)]
struct Peer {
    card: VmDescriptor,
    /// The hash of its name, which costs more than all else that is done with the name.
    hash: u64,
    listed: bool,
    heard: Option<TimePoint>,
    /// Since when it has been told things without any answer.
    asked: Option<TimePoint>,
}

impl Peer {
    fn is_silent(&self, now: TimePoint) -> bool {
        let waits = self.asked.is_some_and(|it| now.since(it) > SILENT);
        waits && self.heard.is_none_or(|it| now.since(it) > SILENT)
    }
}

/// What a VM does with what it knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It tells these VMs the sum of itself and its members.
    Collector {
        /// Collectors of other members, and in a small system all other VMs.
        others: Vec<SocketAddr>,
    },
    /// It tells this VM what it does, and hears the rest from it.
    Member {
        /// The collector's name.
        collector: String,
        /// Its address.
        address: SocketAddr,
    },
}

/// The entry VMs that are known.
///
/// Load: roles are asked for with each datagram, and hundreds of VMs are known. What that takes is kept up to date as VMs
/// come and go, so that an answer costs the same whatever their number.
#[derive(Clone, Debug)]
pub struct PeerTable {
    me: VmDescriptor,
    me_hash: u64,
    peers: IndexMap<String, Peer>,
    names: HashMap<SocketAddr, String>,
    /// All VMs by data centre, this one included.
    ranking: Ranking,
}

impl PeerTable {
    /// Knows nobody but `me`.
    pub fn new(me: VmDescriptor) -> Self {
        let me_hash = hash_text(&me.name);
        let mut ranking = Ranking::default();
        ranking.insert(&me, me_hash);
        Self { me, me_hash, peers: IndexMap::new(), names: HashMap::new(), ranking }
    }

    /// This VM's own card.
    pub fn me(&self) -> &VmDescriptor {
        &self.me
    }

    /// The entry VMs that are known, this one included.
    pub fn vm_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Takes a VM's entry in the store; `true` if it is new.
    pub fn apply_entry(&mut self, card: VmDescriptor) -> bool {
        if card.name == self.me.name {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(&card.name) {
            peer.listed = true;
            if peer.card != card {
                let (before, hash) = (std::mem::replace(&mut peer.card, card.clone()), peer.hash);
                self.unindex(&before, hash);
                self.index(&card, hash);
            }
            return false;
        }
        let hash = hash_text(&card.name);
        self.index(&card, hash);
        let name = card.name.clone();
        self.peers.insert(name, Peer { card, hash, listed: true, heard: None, asked: None });
        true
    }

    fn index(&mut self, card: &VmDescriptor, hash: u64) {
        self.ranking.insert(card, hash);
        self.names.insert(card.address, card.name.clone());
    }

    fn unindex(&mut self, card: &VmDescriptor, hash: u64) {
        self.ranking.remove(card, hash);
        // Another VM may have taken its address over.
        if self.names.get(&card.address) == Some(&card.name) {
            self.names.remove(&card.address);
        }
    }

    /// Notes that a VM's entry was removed.
    pub fn mark_unlisted(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.listed = false;
        }
    }

    /// Takes the whole list.
    pub fn replace_all(&mut self, cards: Vec<VmDescriptor>) {
        self.peers.values_mut().for_each(|it| it.listed = false);
        for card in cards {
            self.apply_entry(card);
        }
    }

    /// Notes a datagram from a VM, which may be unlisted yet.
    pub fn record_received(&mut self, card: &VmDescriptor, now: TimePoint) {
        if !self.peers.contains_key(&card.name) {
            self.apply_entry(card.clone());
        }
        if let Some(peer) = self.peers.get_mut(&card.name) {
            peer.heard = Some(now);
            peer.asked = None;
        }
    }

    /// Notes a datagram to a VM.
    pub fn record_datagram_sent(&mut self, address: SocketAddr, now: TimePoint) {
        let name = self.names.get(&address);
        if let Some(peer) = name.and_then(|it| self.peers.get_mut(it)) {
            peer.asked.get_or_insert(now);
        }
    }

    /// Forgets VMs that are gone and returns their names.
    pub fn remove_expired(&mut self, now: TimePoint) -> Vec<String> {
        let is_gone =
            |it: &Peer| !it.listed && it.heard.is_none_or(|heard| now.since(heard) > FORGET_AFTER);
        let gone: Vec<_> =
            self.peers.iter().filter(|(_, it)| is_gone(it)).map(|(name, _)| name.clone()).collect();
        for name in &gone {
            if let Some(peer) = self.peers.shift_remove(name) {
                self.unindex(&peer.card, peer.hash);
            }
        }
        gone
    }

    /// The card of a VM by name.
    pub fn descriptor(&self, name: &str) -> Option<&VmDescriptor> {
        if name == self.me.name {
            return Some(&self.me);
        }
        self.peers.get(name).map(|it| &it.card)
    }

    /// The cards of all VMs that are listed, and this one's.
    pub fn listed_descriptors(&self) -> impl Iterator<Item = &VmDescriptor> {
        let listed = self.peers.values().filter(|it| it.listed).map(|it| &it.card);
        listed.chain([&self.me])
    }

    /// This VM's place among all that are listed, in an order of `key`'s own.
    pub fn rank(&self, key: u64) -> Seat {
        let me = rendezvous_score(key, self.me_hash);
        let listed = self.peers.values().filter(|it| it.listed);
        let (before, others) = listed.fold((0, 0), |(before, others), it| {
            (before + usize::from(rendezvous_score(key, it.hash) > me), others + 1)
        });
        Seat { rank: before, of: others + 1 }
    }

    /// The other VMs that may still have something to tell.
    ///
    /// Failure: a VM is gone for good, and what it would tell is waited for. Symptom: reports come seconds late,
    /// or are lost when the one who waits goes too. Who is neither listed nor heard lately has nothing to tell.
    pub fn expected_reporters(&self, now: TimePoint) -> impl Iterator<Item = &str> {
        let is_heard = move |it: &Peer| it.heard.is_some_and(|at| now.since(at) <= LATELY);
        let awaited = self.peers.iter().filter(move |(_, it)| it.listed || is_heard(it));
        awaited.map(|(name, _)| name.as_str())
    }

    /// The name of the VM at an address.
    pub fn name_of(&self, address: SocketAddr) -> Option<&str> {
        self.names.get(&address).map(String::as_str)
    }

    /// Whether every VM of a small system tells every other.
    pub fn is_small(&self) -> bool {
        self.vm_count() <= SMALL
    }

    /// This VM's role at present. `has_members` says whether others have chosen it as their collector.
    ///
    /// Each VM chooses for itself: the strongest of its data centre that answers. VMs that differ in what
    /// they know choose differently for a while, and both collectors then pass on what they were told.
    pub fn role(&self, has_members: bool, now: TimePoint) -> Role {
        if self.is_small() {
            let others = self.peers.values().map(|it| it.card.address).collect();
            return Role::Collector { others };
        }
        let mut first = self.ranked(&self.me.data_centre).take(COLLECTORS_TRIED);
        let best = first.next();
        let chosen = best
            .into_iter()
            .chain(first)
            .find(|it| it.name == self.me.name || !self.is_silent(it, now))
            .or(best);
        match chosen {
            Some(card) if card.name != self.me.name && !has_members => {
                Role::Member { collector: card.name.clone(), address: card.address }
            }
            _ => Role::Collector { others: self.other_collectors(now) },
        }
    }

    /// The best collector of this VM's data centre, if it was silent and another is used.
    ///
    /// Failure: all VMs start together, and the strongest takes longer than the others wait. Symptom: weak VMs
    /// collect for good, and those of other data centres don't know them. The best one is asked again now and
    /// then, and used once it answers.
    pub fn preferred_collector(&self, now: TimePoint) -> Option<SocketAddr> {
        let best = self.ranked(&self.me.data_centre).next()?;
        let is_better = best.name != self.me.name && self.is_silent(best, now);
        (!self.is_small() && is_better).then_some(best.address)
    }

    /// Whether this VM passes on what it knows of the store: collectors do, and in a small system those that read it.
    pub fn relays_store(&self, has_members: bool, now: TimePoint) -> bool {
        if self.is_small() {
            return self.store_read_role(has_members, now) == ReadingPart::Reader;
        }
        matches!(self.role(has_members, now), Role::Collector { .. })
    }

    /// How this VM takes part in reading the store. In a small system the first two read for all; in a large one the first
    /// two collectors do, and the others stand by.
    pub fn store_read_role(&self, has_members: bool, now: TimePoint) -> ReadingPart {
        let candidates: Vec<&VmDescriptor> = if self.is_small() {
            self.peers.values().map(|it| &it.card).chain([&self.me]).collect()
        } else if matches!(self.role(has_members, now), Role::Collector { .. }) {
            self.ranking.centres().filter_map(|it| self.collector_of(it, now)).collect()
        } else {
            return ReadingPart::Told;
        };
        if self.first_readers(candidates, now).any(|it| it.name == self.me.name) {
            ReadingPart::Reader
        } else if self.is_small() {
            ReadingPart::Told
        } else {
            ReadingPart::StandBy
        }
    }

    /// The first of the candidates that answer, strongest first; the same order everywhere.
    fn first_readers<'a>(
        &self,
        candidates: Vec<&'a VmDescriptor>,
        now: TimePoint,
    ) -> impl Iterator<Item = &'a VmDescriptor> {
        ranked(candidates.into_iter())
            .into_iter()
            .filter(move |it| !self.is_silent(it, now))
            .take(READERS)
    }

    /// The collector of a data centre as far as it answers: this VM, or the strongest that does.
    fn collector_of(&self, centre: &DataCentreName, now: TimePoint) -> Option<&VmDescriptor> {
        if *centre == self.me.data_centre {
            return Some(&self.me);
        }
        self.ranked(centre).take(COLLECTORS_TRIED).find(|it| !self.is_silent(it, now))
    }

    /// Of each data centre the first that answers, and where the very first doesn't, also that one.
    fn other_collectors(&self, now: TimePoint) -> Vec<SocketAddr> {
        let mut collectors = Vec::new();
        for centre in self.ranking.centres() {
            for card in self.ranked(centre).take(COLLECTORS_TRIED) {
                if card.name == self.me.name {
                    break;
                }
                collectors.push(card.address);
                if !self.is_silent(card, now) {
                    break;
                }
            }
        }
        collectors
    }

    fn is_silent(&self, card: &VmDescriptor, now: TimePoint) -> bool {
        self.peers.get(&card.name).is_some_and(|it| it.is_silent(now))
    }

    /// The VMs of a data centre, strongest first; the same order everywhere.
    fn ranked(&self, centre: &DataCentreName) -> impl Iterator<Item = &VmDescriptor> {
        self.ranking.of(centre).filter_map(|it| self.descriptor(it))
    }
}

/// VMs by rank, strongest first; the same order everywhere.
fn ranked<'a>(cards: impl Iterator<Item = &'a VmDescriptor>) -> Vec<&'a VmDescriptor> {
    let mut cards: Vec<_> = cards.collect();
    cards.sort_by_cached_key(|it| Rank::new(it, hash_text(&it.name)));
    cards
}

/// The VMs of a data centre that one of it asks for what it knows when it starts, in the order in which it asks them;
/// none where it should read the store itself.
///
/// The first three read the store: they collect, or are next. The others begin with different ones of these, so that each
/// has a third of them to answer.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::peer_table::{VmDescriptor, startup_sources};
/// let card = |at: u32| VmDescriptor {
///     name: format!("vm-{at}"),
///     address: ([10, 0, 0, at as u8], 7600).into(),
///     data_centre: "north".into(),
///     cpu: if at < 3 { 500 } else { 120 },
/// };
/// let cards: Vec<_> = (0..40).map(card).collect();
/// assert!(startup_sources(&cards[1], &cards).is_empty());
/// assert_eq!(startup_sources(&cards[30], &cards).len(), 3);
/// assert!(startup_sources(&cards[5], &cards[..8]).is_empty());
/// ```
pub fn startup_sources(me: &VmDescriptor, centre: &[VmDescriptor]) -> Vec<SocketAddr> {
    if centre.len() < MANY_IN_A_CENTRE {
        return Vec::new();
    }
    let first = ranked(centre.iter()).into_iter().take(COLLECTORS_TRIED);
    let mut first: Vec<_> = first.collect();
    if first.iter().any(|it| it.name == me.name) {
        return Vec::new();
    }
    let turn = hash_text(&me.name) as usize % first.len();
    first.rotate_left(turn);
    first.into_iter().map(|it| it.address).collect()
}

/// How many VMs of its data centre come before one that starts.
pub fn startup_rank(me: &VmDescriptor, centre: &[VmDescriptor]) -> usize {
    ranked(centre.iter()).iter().position(|it| it.name == me.name).unwrap_or(centre.len())
}

/// From so many VMs in a data centre on one that starts asks others for what it knows. Fewer read the store in little
/// time even when all start together.
const MANY_IN_A_CENTRE: usize = 12;

/// Collectors of one data centre that are tried at most: the first may be down, and the second just so.
const COLLECTORS_TRIED: usize = 3;
