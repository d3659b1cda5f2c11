//! The distribution core of one node: `(now, event) -> actions`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use quincevalve_names::{Revision, TimePoint};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The address of a peer from which content can be fetched.
pub type Peer = SocketAddr;

/// Settings of the distribution core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DistributionSettings {
    /// Number of peers to which a new revision is announced immediately.
    pub fan_out: usize,
    /// Time after which a fetch no longer prevents a fetch from another peer.
    pub fetch_timeout: Duration,
}

impl Default for DistributionSettings {
    fn default() -> Self {
        Self { fan_out: 3, fetch_timeout: Duration::from_millis(500) }
    }
}

/// The source of received content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// The peer with this address.
    Peer(Peer),
}

/// An output of the distribution core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DistributionAction {
    /// Fetch the newest content from a peer.
    Fetch(Peer),
    /// Announce to peers which revision is in force at this node.
    Announce {
        /// The peers that receive the announcement.
        to: Vec<Peer>,
        /// The revision in force.
        revision: Revision,
    },
    /// Put the content into force.
    Apply {
        /// The revision of the content.
        revision: Revision,
        /// The content to apply.
        content: Arc<str>,
    },
}

/// The distribution core of one node.
///
/// Old messages, peers that were partitioned and stale answers of the store may deliver an older revision. If it were
/// applied, a change that operators saw in force would be reverted on some nodes. A revision is therefore applied only
/// over a lower one, whatever its source, so the order of messages doesn't matter.
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
    /// The highest announced revision above the one in force, with the peer that has it.
    announced: Option<(Revision, Peer)>,
    /// The peer and the start of the fetch in flight.
    fetching: Option<(Peer, TimePoint)>,
    rng: Pcg64Mcg,
}

impl Distribution {
    /// Creates the core of a node without content.
    pub fn new(settings: DistributionSettings, seed: u64) -> Self {
        Self {
            settings,
            revision: Revision(0),
            content: None,
            announced: None,
            fetching: None,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns the revision in force at this node.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the content in force at this node with its revision, to serve it to peers.
    pub fn content(&self) -> Option<(Revision, Arc<str>)> {
        self.content.clone().map(|it| (self.revision, it))
    }

    /// Processes an announcement that a peer has a revision.
    pub fn handle_announcement(
        &mut self,
        now: TimePoint,
        peer: Peer,
        revision: Revision,
    ) -> Vec<DistributionAction> {
        if revision <= self.revision || self.announced.is_some_and(|it| it.0 > revision) {
            return Vec::new();
        }
        self.announced = Some((revision, peer));
        self.fetch(now)
    }

    fn fetch(&mut self, now: TimePoint) -> Vec<DistributionAction> {
        let Some((_, peer)) = self.announced else { return Vec::new() };
        let is_in_flight = self.fetching.is_some_and(|it| now - it.1 < self.settings.fetch_timeout);
        if is_in_flight {
            return Vec::new();
        }
        self.fetching = Some((peer, now));
        vec![DistributionAction::Fetch(peer)]
    }

    /// Processes a failed fetch; the next announcement starts another one.
    pub fn fetch_failed(&mut self, peer: Peer) {
        if self.fetching.is_some_and(|it| it.0 == peer) {
            self.fetching = None;
        }
        if self.announced.is_some_and(|it| it.1 == peer) {
            self.announced = None;
        }
    }

    /// Processes received content. If its revision is new, it is announced to a few of the reachable `peers`
    /// immediately.
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
        self.announced = self.announced.filter(|it| it.0 > revision);
        let mut actions = vec![DistributionAction::Apply { revision, content }];
        let to = self.select_peers(peers);
        if !to.is_empty() {
            actions.push(DistributionAction::Announce { to, revision });
        }
        actions.extend(self.fetch(now));
        actions
    }

    fn select_peers(&mut self, peers: &[Peer]) -> Vec<Peer> {
        let mut remaining = peers.to_vec();
        let count = self.settings.fan_out.min(remaining.len());
        (0..count)
            .map(|_| remaining.swap_remove(self.rng.random_range(0..remaining.len())))
            .collect()
    }
}
