//! Queries the replicas of a stream's record for its version.

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::TimePoint;

use super::{VersionTag, messages::QueryAnswer};
use crate::peer_table::{PeerTable, ReplicaCounts, VmDescriptor};

/// Time after which a query ends without an answer: several round trips between data centres.
pub const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Delays after which replicas that haven't answered are queried, again if they were before.
const QUERY_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(25), Duration::from_millis(75)];
/// The VMs that are queried at first: at least the replicas ([`REPLICAS`](super::REPLICAS)), whichever VM wrote them.
const QUERIED: ReplicaCounts = ReplicaCounts { own_centre: 2, anywhere: 4 };
/// The VMs that may be queried, if some of the first don't answer.
const QUERIED_AT_MOST: ReplicaCounts = ReplicaCounts { own_centre: 2, anywhere: 8 };
/// Number of further replicas that are queried with each repeat, in case the first ones are dead.
const REPLICAS_PER_REPEAT: usize = 2;

/// What to do next about a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryStep {
    /// Query these VMs, and wait for answers until the given time.
    Send(Vec<String>, TimePoint),
    /// Wait for answers until the given time.
    Wait(TimePoint),
    /// The stream began at this version.
    Version(VersionTag),
    /// All VMs that should know the stream answered that they don't.
    Unknown,
    /// Some VMs that should know the stream don't answer.
    Unanswered,
}

/// The query for the version of one stream.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::stream_versions::{
///     QueryStep, VersionQuery, VersionTag, messages::QueryAnswer,
/// };
/// use quincevalve_names::TimePoint;
/// let now = TimePoint::from_millis(1_000);
/// let mut query = VersionQuery::new(vec!["vm-1".to_owned(), "vm-2".to_owned()], 2, now);
/// assert!(matches!(query.step(now), QueryStep::Send(vms, _) if vms.len() == 2));
/// query.receive("vm-1", QueryAnswer::Unknown);
/// assert!(matches!(query.step(now), QueryStep::Wait(_)));
/// query.receive("vm-2", QueryAnswer::Recorded(VersionTag(7)));
/// assert_eq!(query.step(now), QueryStep::Version(VersionTag(7)));
/// ```
#[derive(Clone, Debug)]
pub struct VersionQuery {
    since: TimePoint,
    /// The VMs that were or may be queried, in order, and whether they answered that they don't know the stream.
    replicas: IndexMap<String, bool>,
    /// Number of replicas that have been queried.
    queried: usize,
    repeats: usize,
    /// The version, and the VM that knew it.
    version: Option<(VersionTag, String)>,
}

impl VersionQuery {
    /// Creates a query of the VMs that keep the record with a key.
    pub fn to_replicas(table: &PeerTable, key: u64, now: TimePoint) -> Self {
        let first = table.replica_holders(key, QUERIED);
        let more = table.replica_holders(key, QUERIED_AT_MOST);
        let more = more.into_iter().filter(|it| !first.contains(it));
        let replicas = first.iter().copied().chain(more).map(|it: &VmDescriptor| it.name.clone());
        Self::new(replicas.collect(), first.len(), now)
    }

    /// Creates a query of the first `first` of these replicas, and of more if some of them don't answer.
    pub fn new(replicas: Vec<String>, first: usize, now: TimePoint) -> Self {
        let replicas: IndexMap<_, _> = replicas.into_iter().map(|it| (it, false)).collect();
        let queried = first.min(replicas.len());
        Self { since: now, replicas, queried, repeats: 0, version: None }
    }

    /// Applies a VM's answer. Answers of VMs that weren't queried are ignored.
    pub fn receive(&mut self, from: &str, answer: QueryAnswer) {
        let Some((at, _, has_answered)) = self.replicas.get_full_mut(from) else { return };
        if at >= self.queried {
            return;
        }
        match answer {
            QueryAnswer::Recorded(tag) | QueryAnswer::Sole(tag) => {
                self.version.get_or_insert_with(|| (tag, from.to_owned()));
            }
            QueryAnswer::Unknown => *has_answered = true,
        }
    }

    /// Returns the VM that knew the version.
    pub fn known_by(&self) -> Option<&str> {
        self.version.as_ref().map(|(_, name)| name.as_str())
    }

    /// Returns how many VMs were queried, and how many of them haven't answered.
    pub fn counts(&self) -> (usize, usize) {
        let silent = self.replicas.values().take(self.queried).filter(|it| !**it).count();
        (self.queried, silent)
    }

    /// Returns what to do at `now`.
    pub fn step(&mut self, now: TimePoint) -> QueryStep {
        if let Some((tag, _)) = self.version {
            return QueryStep::Version(tag);
        }
        let is_answered = self.replicas.values().take(self.queried).all(|it| *it);
        if is_answered {
            return QueryStep::Unknown;
        }
        if now.since(self.since) >= QUERY_TIMEOUT {
            return QueryStep::Unanswered;
        }
        let is_due =
            |at: usize| QUERY_DELAYS.get(at).is_some_and(|delay| now.since(self.since) >= *delay);
        if !is_due(self.repeats) {
            return QueryStep::Wait(self.next_step());
        }
        if self.repeats > 0 {
            self.queried = (self.queried + REPLICAS_PER_REPEAT).min(self.replicas.len());
        }
        self.repeats += 1;
        let queried =
            self.replicas.iter().take(self.queried).filter(|(_, is_unknown)| !**is_unknown);
        QueryStep::Send(queried.map(|(name, _)| name.clone()).collect(), self.next_step())
    }

    fn next_step(&self) -> TimePoint {
        self.since + QUERY_DELAYS.get(self.repeats).copied().unwrap_or(QUERY_TIMEOUT)
    }
}
