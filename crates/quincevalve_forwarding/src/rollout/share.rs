//! What a VM, or a collector for its members, tells of a roll-out.

use indexmap::IndexMap;
use quincevalve_names::ServiceName;
use serde::{Deserialize, Serialize};

use crate::rollout::{
    evidence::Seen,
    record::{OrderId, RollbackCause},
};

/// What is told of a service's roll-out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutShare {
    /// Of which order.
    pub order: OrderId,
    /// What was seen of both versions.
    pub seen: Seen,
    /// Requests that run at servers of the old version.
    pub old_runs: u32,
    /// VMs that send nothing to the old version any more.
    pub following: u32,
    /// Why, where some VM has found the new version bad.
    pub halted: Option<RollbackCause>,
}

/// By service; of services without a roll-out nothing is told.
pub type RolloutShares = IndexMap<ServiceName, RolloutShare>;

impl RolloutShare {
    /// Adds what others tell. Of two orders only the later counts.
    pub fn add(&mut self, other: &Self) {
        if other.order < self.order {
            return;
        }
        if other.order > self.order {
            self.clone_from(other);
            return;
        }
        self.seen.add(&other.seen);
        self.old_runs += other.old_runs;
        self.following += other.following;
        self.halted = self.halted.or(other.halted);
    }

    /// What is left of this sum without a part. That the new version was found bad stays.
    #[must_use]
    pub fn without(&self, part: &Self) -> Self {
        if part.order != self.order {
            return self.clone();
        }
        Self {
            order: self.order,
            seen: self.seen.without(&part.seen),
            old_runs: self.old_runs.saturating_sub(part.old_runs),
            following: self.following.saturating_sub(part.following),
            halted: self.halted,
        }
    }
}

/// Adds what others tell of all services.
pub fn add_shares(sum: &mut RolloutShares, other: &RolloutShares) {
    for (service, share) in other {
        sum.entry(service.clone()).or_default().add(share);
    }
}

/// What is left of a sum without a part that was added to it.
pub fn shares_without(sum: &RolloutShares, part: &RolloutShares) -> RolloutShares {
    let rest = |(service, it): (&ServiceName, &RolloutShare)| {
        (service.clone(), part.get(service).map_or_else(|| it.clone(), |part| it.without(part)))
    };
    sum.iter().map(rest).collect()
}
