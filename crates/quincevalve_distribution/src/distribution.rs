//! The distribution core of one node: `(now, event) -> actions`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use quincevalve_names::{Revision, TimePoint};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A peer that can be asked.
pub type Peer = SocketAddr;

/// Settings of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DistributionSettings {
    /// Peers that are told of a new revision at once.
    pub fan_out: usize,
    /// How long one fetch may take before another peer is asked.
    pub fetch: Duration,
}

impl Default for DistributionSettings {
    fn default() -> Self {
        Self { fan_out: 3, fetch: Duration::from_millis(500) }
    }
}

/// Where content came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// A peer.
    Peer(Peer),
}

/// What the node does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DistributionAction {
    /// Fetch the newest content from a peer.
    Fetch(Peer),
    /// Tell peers which revision is in force here.
    Announce {
        /// Whom.
        to: Vec<Peer>,
        /// The revision.
        revision: Revision,
    },
    /// The content is in force from now on.
    Apply {
        /// The revision.
        revision: Revision,
        /// The content.
        content: Arc<str>,
    },
}

/// The core.
///
/// Failure: a message is old, a peer was cut off, or the store answered from before. Symptom: a change
/// that operators saw in force is gone again on some nodes. A revision is only ever applied over a lower
/// one, wherever it comes from, so the order of messages doesn't matter.
///
/// # Examples
///
/// ```
/// use quincevalve_distribution::{Distribution, DistributionSettings, Source};
/// use quincevalve_names::{Revision, TimePoint};
///
/// let mut node = Distribution::new(DistributionSettings::default(), 1);
/// assert!(!node.receive(TimePoint::ZERO, Source::Store, Revision(2), "b".into(), &[]).is_empty());
/// assert!(node.receive(TimePoint::ZERO, Source::Store, Revision(1), "a".into(), &[]).is_empty());
/// assert_eq!(node.revision(), Revision(2));
/// ```
#[derive(Clone, Debug)]
pub struct Distribution {
    settings: DistributionSettings,
    revision: Revision,
    content: Option<Arc<str>>,
    heard: Option<(Revision, Peer)>,
    fetching: Option<(Peer, TimePoint)>,
    rng: Pcg64Mcg,
}

impl Distribution {
    /// Makes the core of a node that has nothing yet.
    pub fn new(settings: DistributionSettings, seed: u64) -> Self {
        Self {
            settings,
            revision: Revision(0),
            content: None,
            heard: None,
            fetching: None,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The revision in force here.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The content in force here, to hand to peers that ask.
    pub fn content(&self) -> Option<(Revision, Arc<str>)> {
        self.content.clone().map(|it| (self.revision, it))
    }

    /// Hears of a revision at a peer.
    pub fn hear(
        &mut self,
        now: TimePoint,
        peer: Peer,
        revision: Revision,
    ) -> Vec<DistributionAction> {
        if revision <= self.revision || self.heard.is_some_and(|it| it.0 > revision) {
            return Vec::new();
        }
        self.heard = Some((revision, peer));
        self.fetch(now)
    }

    fn fetch(&mut self, now: TimePoint) -> Vec<DistributionAction> {
        let Some((_, peer)) = self.heard else { return Vec::new() };
        let is_busy = self.fetching.is_some_and(|it| now - it.1 < self.settings.fetch);
        if is_busy {
            return Vec::new();
        }
        self.fetching = Some((peer, now));
        vec![DistributionAction::Fetch(peer)]
    }

    /// Notes that a fetch failed; the next piece of news starts another.
    pub fn fetch_failed(&mut self, peer: Peer) {
        if self.fetching.is_some_and(|it| it.0 == peer) {
            self.fetching = None;
        }
        if self.heard.is_some_and(|it| it.1 == peer) {
            self.heard = None;
        }
    }

    /// Takes content. `peers` are those in reach; a few are told at once if it is new.
    pub fn receive(
        &mut self,
        now: TimePoint,
        source: Source,
        revision: Revision,
        content: Arc<str>,
        peers: &[Peer],
    ) -> Vec<DistributionAction> {
        if let Source::Peer(peer) = source {
            self.fetching = self.fetching.filter(|it| it.0 != peer);
        }
        if revision <= self.revision {
            return Vec::new();
        }
        self.revision = revision;
        self.content = Some(Arc::clone(&content));
        self.heard = self.heard.filter(|it| it.0 > revision);
        let mut actions = vec![DistributionAction::Apply { revision, content }];
        let to = self.pick(peers);
        if !to.is_empty() {
            actions.push(DistributionAction::Announce { to, revision });
        }
        actions.extend(self.fetch(now));
        actions
    }

    fn pick(&mut self, peers: &[Peer]) -> Vec<Peer> {
        let mut left = peers.to_vec();
        let count = self.settings.fan_out.min(left.len());
        (0..count).map(|_| left.swap_remove(self.rng.random_range(0..left.len()))).collect()
    }
}
