//! Partial sums that a VM, or a collector for its members, reports about roll-outs.

use indexmap::IndexMap;
use quincevalve_names::ServiceName;
use serde::{Deserialize, Serialize};

use crate::rollout::{
    evidence::Observations,
    record::{OrderId, RollbackCause},
};

/// Partial sum of what VMs report of a service's roll-out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutPartialSum {
    /// The order that the other fields are about.
    pub order: OrderId,
    /// Observations of both versions.
    pub observations: Observations,
    /// In-flight requests at servers of the old version.
    pub old_in_flight: u32,
    /// Number of VMs that no longer send to the old version.
    pub switched: u32,
    /// The reason, if any VM has found the new version bad.
    pub halted: Option<RollbackCause>,
}

/// Partial sums by service. Services without a roll-out have none.
pub type RolloutPartialSums = IndexMap<ServiceName, RolloutPartialSum>;

impl RolloutPartialSum {
    /// Adds another sum. If the orders differ, only the sum of the later one is kept.
    pub fn add(&mut self, other: &Self) {
        if other.order < self.order {
            return;
        }
        if other.order > self.order {
            self.clone_from(other);
            return;
        }
        self.observations.add(&other.observations);
        self.old_in_flight = self.old_in_flight.saturating_add(other.old_in_flight);
        self.switched = self.switched.saturating_add(other.switched);
        self.halted = self.halted.or(other.halted);
    }

    /// Returns this sum without a sum that was added to it. A finding that the new version is bad is kept.
    #[must_use]
    pub fn without(&self, removed: &Self) -> Self {
        if removed.order != self.order {
            return self.clone();
        }
        Self {
            order: self.order,
            observations: self.observations.without(&removed.observations),
            old_in_flight: self.old_in_flight.saturating_sub(removed.old_in_flight),
            switched: self.switched.saturating_sub(removed.switched),
            halted: self.halted,
        }
    }
}

/// Adds another VM's or group's sums of all services.
pub fn add_partial_sums(sum: &mut RolloutPartialSums, other: &RolloutPartialSums) {
    for (service, other) in other {
        sum.entry(service.clone()).or_default().add(other);
    }
}

/// Returns the sums of all services without sums that were added to them.
pub fn partial_sums_without(
    sum: &RolloutPartialSums,
    removed: &RolloutPartialSums,
) -> RolloutPartialSums {
    let difference = |(service, it): (&ServiceName, &RolloutPartialSum)| {
        (
            service.clone(),
            removed.get(service).map_or_else(|| it.clone(), |removed| it.without(removed)),
        )
    };
    sum.iter().map(difference).collect()
}
