//! Provisioning: moves the fleet from its current to its desired VMs, with backoff for refused offers.

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::{DataCentreName, TimePoint};

use crate::plan::{Desired, Market, cheapest_mix};

/// VM class that the cloud offers in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Class of the VM.
    pub vm_class: String,
    /// Price per hour, in thousandths of the operators' currency.
    pub price_milli: u64,
}

/// Settings of a [`Provisioner`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProvisionerSettings {
    /// Backoff of an offer after its first refusal; doubles with each further one.
    pub backoff: Duration,
    /// Maximum backoff of an offer.
    pub max_backoff: Duration,
}

impl Default for ProvisionerSettings {
    fn default() -> Self {
        Self { backoff: Duration::from_secs(60), max_backoff: Duration::from_secs(3_600) }
    }
}

/// Provisioning action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProvisionAction {
    /// Request a VM from the cloud.
    Create {
        /// Idempotency token: requests with the same token create one VM.
        token: String,
        /// Data centre of the VM.
        data_centre: DataCentreName,
        /// Class of the VM.
        vm_class: String,
    },
    /// Drain a VM and return it to the cloud.
    Release {
        /// Data centre of the VM.
        data_centre: DataCentreName,
        /// Class of the VM.
        vm_class: String,
    },
}

/// Consecutive refusals of an offer and the end of its backoff.
#[derive(Clone, Copy, Debug, Default)]
struct Refusals {
    count: u32,
    until: TimePoint,
}

type OfferKey = (DataCentreName, String);

/// Provisioning state machine: `(now, needed, running) -> actions`.
///
/// If the VM that executes the plan crashes after requesting a VM and before recording the request, its
/// successor requests the VM again, which would create and bill two. The idempotency token is therefore derived
/// from the data centre, the class and the number of VMs ever created there, which every successor can read
/// from the cloud's list. The successor uses the same token and the cloud returns the same VM.
#[derive(Clone, Debug)]
pub struct Provisioner {
    settings: ProvisionerSettings,
    offers: Vec<Offer>,
    refusals: IndexMap<OfferKey, Refusals>,
}

impl Provisioner {
    /// Creates an instance for the cloud's offers.
    pub fn new(settings: ProvisionerSettings, offers: Vec<Offer>) -> Self {
        Self { settings, offers, refusals: IndexMap::new() }
    }

    /// Returns the offers that aren't in backoff.
    pub fn market(&self, now: TimePoint) -> Market {
        let is_available = |it: &&Offer| {
            let key = (it.data_centre.clone(), it.vm_class.clone());
            self.refusals.get(&key).is_none_or(|it| it.until <= now)
        };
        self.offers.iter().filter(is_available).cloned().collect()
    }

    /// Computes the desired VMs and returns the actions that lead to them.
    ///
    /// `running` counts the current VMs, `created` all VMs ever created, both by data centre and class.
    pub fn plan(
        &self,
        now: TimePoint,
        needed: u32,
        running: &Desired,
        created: &Desired,
    ) -> Vec<ProvisionAction> {
        let desired = cheapest_mix(needed, &self.market(now));
        let mut actions = Vec::new();
        for (key, target) in &desired {
            let current = running.get(key).copied().unwrap_or(0);
            let first = created.get(key).copied().unwrap_or(0);
            for number in 0..target.saturating_sub(current) {
                actions.push(create(key, first + number));
            }
        }
        // Surplus VMs are released only once all desired VMs exist, so that saving cost never reduces capacity.
        if actions.is_empty() {
            for (key, current) in running {
                let target = desired.get(key).copied().unwrap_or(0);
                for _ in target..*current {
                    let (data_centre, vm_class) = key.clone();
                    actions.push(ProvisionAction::Release { data_centre, vm_class });
                }
            }
        }
        actions
    }

    /// Records that the cloud refused an offer, and starts or extends its backoff.
    pub fn record_refusal(&mut self, now: TimePoint, data_centre: &DataCentreName, vm_class: &str) {
        let ProvisionerSettings { backoff, max_backoff } = self.settings;
        let entry = self.refusals.entry((data_centre.clone(), vm_class.to_owned())).or_default();
        let doubled = backoff * (1 << entry.count.min(MAX_DOUBLINGS));
        entry.until = now + doubled.min(max_backoff);
        entry.count += 1;
    }

    /// Records that the cloud provided a VM, which ends the backoff of its offer.
    pub fn record_grant(&mut self, data_centre: &DataCentreName, vm_class: &str) {
        self.refusals.shift_remove(&(data_centre.clone(), vm_class.to_owned()));
    }
}

/// Maximum number of times that the backoff is doubled.
const MAX_DOUBLINGS: u32 = 16;

fn create((data_centre, vm_class): &OfferKey, number: u32) -> ProvisionAction {
    ProvisionAction::Create {
        token: format!("{data_centre}-{vm_class}-{number}"),
        data_centre: data_centre.clone(),
        vm_class: vm_class.clone(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn offer(data_centre: &str, price_milli: u64) -> Offer {
        let vm_class = "spot".to_owned();
        Offer { data_centre: data_centre.into(), vm_class, price_milli }
    }

    fn provisioner() -> Provisioner {
        let offers = vec![offer("a", 100), offer("b", 110), offer("c", 120)];
        Provisioner::new(ProvisionerSettings::default(), offers)
    }

    // Two VMs are created instead of one if the executor of the plan requests a VM and crashes, and its successor
    // plans from the same list and requests it under another token.
    #[test]
    fn successor_uses_the_same_token() {
        let nothing = Desired::new();
        let first = provisioner().plan(TimePoint::ZERO, 2, &nothing, &nothing);
        let second = provisioner().plan(TimePoint::from_millis(9), 2, &nothing, &nothing);
        assert_eq!(first, second);
    }

    // After a reclaim wave the cloud has no VMs in data centre `a`. Repeating the refused request would leave the
    // fleet short, so other data centres are used immediately, and `a` again after the backoff.
    #[test]
    fn refused_offer_is_skipped_during_its_backoff() {
        let mut provisioner = provisioner();
        let nothing = Desired::new();
        provisioner.record_refusal(TimePoint::ZERO, &"a".into(), "spot");
        let data_centre_of = |it: &ProvisionAction| match it {
            ProvisionAction::Create { data_centre, .. }
            | ProvisionAction::Release { data_centre, .. } => data_centre.to_string(),
        };
        let soon = provisioner.plan(TimePoint::from_millis(1_000), 2, &nothing, &nothing);
        assert!(soon.iter().all(|it| data_centre_of(it) != "a"));
        let later = provisioner.plan(TimePoint::from_millis(61_000), 2, &nothing, &nothing);
        assert!(later.iter().any(|it| data_centre_of(it) == "a"));
    }

    #[test]
    fn releases_nothing_while_desired_vms_are_missing() {
        let running = Desired::from([(("c".into(), "spot".to_owned()), 9)]);
        let actions = provisioner().plan(TimePoint::ZERO, 4, &running, &running);
        assert!(actions.iter().all(|it| matches!(it, ProvisionAction::Create { .. })));
    }
}
