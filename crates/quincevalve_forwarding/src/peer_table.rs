//! The known entry VMs, and the choice of those that collect reports.
//!
//! In a small system every VM sends its reports to every other. In a large one the cost per VM would grow with their
//! number, so one VM per data centre is the collector: its members report to it, collectors exchange the sums of their
//! members, and each member receives the sum of all others from its collector. A VM then sends and receives a few
//! datagrams per period, whatever the size of the system.

mod ranking;
mod replicas;

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use indexmap::IndexMap;
use quincevalve_names::{DataCentreName, TimePoint, hash_text, rendezvous_score};
use serde::{Deserialize, Serialize};

use self::ranking::{Rank, Ranking};
pub use self::replicas::ReplicaCounts;
use crate::{shared_limit::VmRank, store_pacing::StoreReadRole};

/// Maximum number of VMs at which each VM reports to every other: a dozen datagrams per period are cheap, and no
/// collector can fail.
const MAX_VMS_OF_SMALL_SYSTEM: usize = 16;
/// Number of VMs that read the store for all: one, and a second in case the first can't.
const MAX_STORE_READERS: usize = 2;
/// Number of VMs of each data centre that may decide quotas for others: the strongest, as for collectors.
const MAX_QUOTA_OWNERS_PER_CENTRE: usize = 3;
/// Time without an answer after which a VM counts as unresponsive; a collector answers ten times in it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without datagrams after which a VM counts as stopped; VMs report several times a second.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without datagrams after which an unlisted peer is removed.
const PEER_TTL: Duration = Duration::from_secs(10);

/// How long removed VMs are remembered: longer than any window of a bound over all VMs.
const MAX_REMOVED_AGE: Duration = Duration::from_secs(120);

/// A VM's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmDescriptor {
    /// Its name.
    pub name: String,
    /// Address at which it receives datagrams.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Thousandths of a processor core that it may use.
    pub cpu: u32,
}

#[derive(Clone, Debug)]
struct Peer {
    descriptor: VmDescriptor,
    /// Hash of its name, cached because it costs more than any other use of the name.
    hash: u64,
    listed: bool,
    received_at: Option<TimePoint>,
    /// Time of the first datagram sent to it since its last answer.
    unanswered_since: Option<TimePoint>,
}

impl Peer {
    fn is_unresponsive(&self, now: TimePoint) -> bool {
        let is_overdue = self.unanswered_since.is_some_and(|it| now.since(it) > ANSWER_TIMEOUT);
        is_overdue && self.received_at.is_none_or(|it| now.since(it) > ANSWER_TIMEOUT)
    }
}

/// A VM's role in the exchange of reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It sends the sum of itself and its members to other collectors.
    Collector {
        /// Addresses of the other collectors; in a small system, of all other VMs.
        others: Vec<SocketAddr>,
    },
    /// It reports to a collector and receives the sum of all others from it.
    Member {
        /// The collector's name.
        collector: String,
        /// Its address.
        address: SocketAddr,
    },
}

/// Table of the known entry VMs.
///
/// Roles are looked up for each datagram, with hundreds of VMs known. The ranking that this needs is maintained as VMs
/// are added and removed, so that a lookup costs the same whatever their number.
#[derive(Clone, Debug)]
pub struct PeerTable {
    me: VmDescriptor,
    me_hash: u64,
    peers: IndexMap<String, Peer>,
    names: HashMap<SocketAddr, String>,
    /// All VMs by data centre, this one included.
    ranking: Ranking,
    /// Times of the last datagrams of VMs that were removed, in order of removal.
    removed: VecDeque<TimePoint>,
}

impl PeerTable {
    /// Creates a table that holds only this VM, `me`.
    pub fn new(me: VmDescriptor) -> Self {
        let me_hash = hash_text(&me.name);
        let mut ranking = Ranking::default();
        ranking.insert(&me, me_hash);
        Self {
            me,
            me_hash,
            peers: IndexMap::new(),
            names: HashMap::new(),
            ranking,
            removed: VecDeque::new(),
        }
    }

    /// Returns this VM's own descriptor.
    pub fn me(&self) -> &VmDescriptor {
        &self.me
    }

    /// Returns the number of known entry VMs, this one included.
    pub fn vm_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the number of entry VMs that are known or were within `window`, this one included.
    ///
    /// A bound over all VMs that counts over a window is divided by it: what a VM has spent before it was removed counts
    /// in the window still.
    pub fn vm_count_within(&self, window: Duration, now: TimePoint) -> usize {
        let removed = self.removed.iter().filter(|it| now.since(**it) <= window).count();
        self.vm_count() + removed
    }

    /// Applies a VM's entry in the store. Returns `true` if the VM is new.
    pub fn apply_entry(&mut self, descriptor: VmDescriptor) -> bool {
        if descriptor.name == self.me.name {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(&descriptor.name) {
            peer.listed = true;
            if peer.descriptor != descriptor {
                let (before, hash) =
                    (std::mem::replace(&mut peer.descriptor, descriptor.clone()), peer.hash);
                self.unindex(&before, hash);
                self.index(&descriptor, hash);
            }
            return false;
        }
        let hash = hash_text(&descriptor.name);
        self.index(&descriptor, hash);
        let name = descriptor.name.clone();
        self.peers.insert(
            name,
            Peer { descriptor, hash, listed: true, received_at: None, unanswered_since: None },
        );
        true
    }

    fn index(&mut self, descriptor: &VmDescriptor, hash: u64) {
        self.ranking.insert(descriptor, hash);
        self.names.insert(descriptor.address, descriptor.name.clone());
    }

    fn unindex(&mut self, descriptor: &VmDescriptor, hash: u64) {
        self.ranking.remove(descriptor, hash);
        // Another VM may have taken over its address.
        if self.names.get(&descriptor.address) == Some(&descriptor.name) {
            self.names.remove(&descriptor.address);
        }
    }

    /// Records that a VM's entry was removed from the store.
    pub fn mark_unlisted(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.listed = false;
        }
    }

    /// Replaces the listed VMs by all entries of the store.
    pub fn replace_all(&mut self, descriptors: Vec<VmDescriptor>) {
        self.peers.values_mut().for_each(|it| it.listed = false);
        for descriptor in descriptors {
            self.apply_entry(descriptor);
        }
    }

    /// Records a datagram received from a VM, which may not be listed yet.
    pub fn record_received(&mut self, descriptor: &VmDescriptor, now: TimePoint) {
        if !self.peers.contains_key(&descriptor.name) {
            self.apply_entry(descriptor.clone());
        }
        if let Some(peer) = self.peers.get_mut(&descriptor.name) {
            peer.received_at = Some(now);
            peer.unanswered_since = None;
        }
    }

    /// Records a datagram sent to a VM.
    pub fn record_datagram_sent(&mut self, address: SocketAddr, now: TimePoint) {
        let name = self.names.get(&address);
        if let Some(peer) = name.and_then(|it| self.peers.get_mut(it)) {
            peer.unanswered_since.get_or_insert(now);
        }
    }

    /// Removes unlisted VMs that stopped sending, and returns their names.
    pub fn remove_expired(&mut self, now: TimePoint) -> Vec<String> {
        let is_expired = |it: &Peer| {
            !it.listed && it.received_at.is_none_or(|received_at| now.since(received_at) > PEER_TTL)
        };
        let removed: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, it)| is_expired(it))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &removed {
            if let Some(peer) = self.peers.shift_remove(name) {
                self.unindex(&peer.descriptor, peer.hash);
                self.removed.push_back(peer.received_at.unwrap_or(now));
            }
        }
        while self.removed.front().is_some_and(|it| now.since(*it) > MAX_REMOVED_AGE) {
            self.removed.pop_front();
        }
        removed
    }

    /// Returns the descriptor of the VM with a name.
    pub fn descriptor(&self, name: &str) -> Option<&VmDescriptor> {
        if name == self.me.name {
            return Some(&self.me);
        }
        self.peers.get(name).map(|it| &it.descriptor)
    }

    /// Returns the descriptors of all listed VMs and of this one.
    pub fn listed_descriptors(&self) -> impl Iterator<Item = &VmDescriptor> {
        let listed = self.peers.values().filter(|it| it.listed).map(|it| &it.descriptor);
        listed.chain([&self.me])
    }

    /// Returns the other VMs that may take requests: those that are listed and not known to be silent.
    pub fn responsive_peers(&self, now: TimePoint) -> impl Iterator<Item = &VmDescriptor> {
        let responsive =
            self.peers.values().filter(move |it| it.listed && !it.is_unresponsive(now));
        responsive.map(|it| &it.descriptor)
    }

    /// Returns this VM's rank among all listed VMs, in an order that depends on `key`.
    pub fn rank(&self, key: u64) -> VmRank {
        let me = rendezvous_score(key, self.me_hash);
        let listed = self.peers.values().filter(|it| it.listed);
        let (before, others) = listed.fold((0, 0), |(before, others), it| {
            (before + usize::from(rendezvous_score(key, it.hash) > me), others + 1)
        });
        VmRank { rank: before, vm_count: others + 1 }
    }

    /// Returns the names of the other VMs whose reports may still arrive.
    ///
    /// Excludes unlisted VMs from which nothing was received recently. Waiting for a VM that is gone for good
    /// would delay the reports of the waiting VM by seconds, or lose them if that VM stops too.
    pub fn expected_reporters(&self, now: TimePoint) -> impl Iterator<Item = &str> {
        let is_reporting =
            move |it: &Peer| it.received_at.is_some_and(|at| now.since(at) <= REPORT_TIMEOUT);
        let reporters = self.peers.iter().filter(move |(_, it)| it.listed || is_reporting(it));
        reporters.map(|(name, _)| name.as_str())
    }

    /// Returns the candidates for deciding an account's quota for all VMs, in the same order at all VMs that know the
    /// same VMs: the strongest of each data centre, by rendezvous score with the account's hash `key`.
    ///
    /// Excludes unlisted VMs from which nothing was received recently: they have stopped.
    pub fn quota_owners(&self, key: u64, now: TimePoint) -> Vec<&str> {
        let mut candidates: Vec<(u64, &str)> = Vec::new();
        for centre in self.ranking.centres() {
            let names = self.ranking.of(centre).filter(|it| !self.has_stopped(it, now));
            let scored = names.map(|it| (rendezvous_score(key, self.hash_of(it)), it));
            candidates.extend(scored.take(MAX_QUOTA_OWNERS_PER_CENTRE));
        }
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        candidates.into_iter().map(|(_, name)| name).collect()
    }

    fn hash_of(&self, name: &str) -> u64 {
        self.peers.get(name).map_or(self.me_hash, |it| it.hash)
    }

    /// Returns whether a VM is unlisted and nothing was received from it recently.
    fn has_stopped(&self, name: &str, now: TimePoint) -> bool {
        self.peers.get(name).is_some_and(|it| {
            !it.listed && it.received_at.is_none_or(|at| now.since(at) > REPORT_TIMEOUT)
        })
    }

    /// Returns the name of the VM at an address.
    pub fn name_of(&self, address: SocketAddr) -> Option<&str> {
        self.names.get(&address).map(String::as_str)
    }

    /// Returns whether the system is so small that every VM reports to every other.
    pub fn is_small(&self) -> bool {
        self.vm_count() <= MAX_VMS_OF_SMALL_SYSTEM
    }

    /// Returns this VM's role at `now`. `has_members` says whether others have chosen it as their collector.
    ///
    /// Each VM chooses the strongest VM of its data centre that answers. VMs that know different VMs choose different
    /// collectors for a while, and both collectors then forward the reports that they receive.
    pub fn role(&self, has_members: bool, now: TimePoint) -> Role {
        if self.is_small() {
            let others = self.peers.values().map(|it| it.descriptor.address).collect();
            return Role::Collector { others };
        }
        let mut first = self.vms_by_rank(&self.me.data_centre).take(MAX_COLLECTORS_TRIED);
        let best = first.next();
        let chosen = best
            .into_iter()
            .chain(first)
            .find(|it| it.name == self.me.name || !self.is_unresponsive(it, now))
            .or(best);
        match chosen {
            Some(descriptor) if descriptor.name != self.me.name && !has_members => {
                Role::Member { collector: descriptor.name.clone(), address: descriptor.address }
            }
            _ => Role::Collector { others: self.other_collectors(now) },
        }
    }

    /// Returns the address of the strongest collector of this VM's data centre if it doesn't answer and another is
    /// used.
    ///
    /// When all VMs start together, the strongest may take longer than the others wait. Without further attempts, weak
    /// VMs would stay collectors that VMs of other data centres don't know. Callers therefore contact the strongest one
    /// now and then, and it is used once it answers.
    pub fn preferred_collector(&self, now: TimePoint) -> Option<SocketAddr> {
        let best = self.vms_by_rank(&self.me.data_centre).next()?;
        let is_better = best.name != self.me.name && self.is_unresponsive(best, now);
        (!self.is_small() && is_better).then_some(best.address)
    }

    /// Returns whether this VM relays changes of the store: collectors do, and in a small system the VMs that read it.
    pub fn relays_store(&self, has_members: bool, now: TimePoint) -> bool {
        if self.is_small() {
            return self.store_read_role(has_members, now) == StoreReadRole::Reader;
        }
        matches!(self.role(has_members, now), Role::Collector { .. })
    }

    /// Returns this VM's role in reading the store.
    ///
    /// In a small system the first two VMs read for all; in a large one the first two collectors do, and the others are
    /// on standby.
    pub fn store_read_role(&self, has_members: bool, now: TimePoint) -> StoreReadRole {
        let candidates: Vec<&VmDescriptor> = if self.is_small() {
            self.peers.values().map(|it| &it.descriptor).chain([&self.me]).collect()
        } else if matches!(self.role(has_members, now), Role::Collector { .. }) {
            self.ranking.centres().filter_map(|it| self.collector_of(it, now)).collect()
        } else {
            return StoreReadRole::Follower;
        };
        if self.first_readers(candidates, now).any(|it| it.name == self.me.name) {
            StoreReadRole::Reader
        } else if self.is_small() {
            StoreReadRole::Follower
        } else {
            StoreReadRole::Standby
        }
    }

    /// Returns the first candidates that answer, strongest first, in the same order at all VMs.
    fn first_readers<'a>(
        &self,
        candidates: Vec<&'a VmDescriptor>,
        now: TimePoint,
    ) -> impl Iterator<Item = &'a VmDescriptor> {
        sorted_by_rank(candidates.into_iter())
            .into_iter()
            .filter(move |it| !self.is_unresponsive(it, now))
            .take(MAX_STORE_READERS)
    }

    /// Returns the collector of a data centre: this VM in its own, otherwise the strongest that answers.
    fn collector_of(&self, centre: &DataCentreName, now: TimePoint) -> Option<&VmDescriptor> {
        if *centre == self.me.data_centre {
            return Some(&self.me);
        }
        self.vms_by_rank(centre)
            .take(MAX_COLLECTORS_TRIED)
            .find(|it| !self.is_unresponsive(it, now))
    }

    /// Returns, for each data centre, the strongest VM that answers and those before it that don't.
    fn other_collectors(&self, now: TimePoint) -> Vec<SocketAddr> {
        let mut collectors = Vec::new();
        for centre in self.ranking.centres() {
            for descriptor in self.vms_by_rank(centre).take(MAX_COLLECTORS_TRIED) {
                if descriptor.name == self.me.name {
                    break;
                }
                collectors.push(descriptor.address);
                if !self.is_unresponsive(descriptor, now) {
                    break;
                }
            }
        }
        collectors
    }

    fn is_unresponsive(&self, descriptor: &VmDescriptor, now: TimePoint) -> bool {
        self.peers.get(&descriptor.name).is_some_and(|it| it.is_unresponsive(now))
    }

    /// Returns the VMs of a data centre, strongest first, in the same order at all VMs.
    fn vms_by_rank(&self, centre: &DataCentreName) -> impl Iterator<Item = &VmDescriptor> {
        self.ranking.of(centre).filter_map(|it| self.descriptor(it))
    }
}

/// Sorts VMs, strongest first, in the same order at all VMs.
fn sorted_by_rank<'a>(
    descriptors: impl Iterator<Item = &'a VmDescriptor>,
) -> Vec<&'a VmDescriptor> {
    let mut descriptors: Vec<_> = descriptors.collect();
    descriptors.sort_by_cached_key(|it| Rank::new(it, hash_text(&it.name)));
    descriptors
}

/// Returns the VMs from which the starting VM `me` fetches state, in the order in which it tries them; none if it
/// should read the store itself.
///
/// The first three VMs of a data centre read the store: they are its collector or next in line. The others start with
/// different ones of these, so that each serves a third of the VMs.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::peer_table::{VmDescriptor, startup_sources};
/// let descriptor = |at: u32| VmDescriptor {
///     name: format!("vm-{at}"),
///     address: ([10, 0, 0, at as u8], 7600).into(),
///     data_centre: "north".into(),
///     cpu: if at < 3 { 500 } else { 120 },
/// };
/// let descriptors: Vec<_> = (0..40).map(descriptor).collect();
/// assert!(startup_sources(&descriptors[1], &descriptors).is_empty());
/// assert_eq!(startup_sources(&descriptors[30], &descriptors).len(), 3);
/// assert!(startup_sources(&descriptors[5], &descriptors[..8]).is_empty());
/// ```
pub fn startup_sources(me: &VmDescriptor, centre: &[VmDescriptor]) -> Vec<SocketAddr> {
    if centre.len() < MIN_VMS_FOR_STATE_FETCH {
        return Vec::new();
    }
    let first = sorted_by_rank(centre.iter()).into_iter().take(MAX_COLLECTORS_TRIED);
    let mut first: Vec<_> = first.collect();
    if first.iter().any(|it| it.name == me.name) {
        return Vec::new();
    }
    let offset = hash_text(&me.name) as usize % first.len();
    first.rotate_left(offset);
    first.into_iter().map(|it| it.address).collect()
}

/// Returns how many VMs of its data centre rank before the starting VM `me`.
pub fn startup_rank(me: &VmDescriptor, centre: &[VmDescriptor]) -> usize {
    sorted_by_rank(centre.iter()).iter().position(|it| it.name == me.name).unwrap_or(centre.len())
}

/// Minimum number of VMs in a data centre for which a starting VM fetches state from others. Fewer read the store
/// quickly even when all start together.
const MIN_VMS_FOR_STATE_FETCH: usize = 12;

/// Maximum number of collectors tried per data centre: the first may be down, and so may the second.
const MAX_COLLECTORS_TRIED: usize = 3;
