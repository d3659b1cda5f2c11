//! Getting from what is held to what is wanted, while requests are refused.

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::{DataCentreName, TimePoint};

use crate::plan::{Desired, Market, cheapest_mix};

/// A machine that the cloud offers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Where.
    pub data_centre: DataCentreName,
    /// Its class.
    pub vm_class: String,
    /// The price of an hour, in thousandths of the operators' currency.
    pub price_milli: u64,
}

/// Settings of a buyer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BuyerSettings {
    /// How long an offer is passed over after its first refusal; doubles with each further one.
    pub backoff: Duration,
    /// The longest time that it is passed over.
    pub most_backoff: Duration,
}

impl Default for BuyerSettings {
    fn default() -> Self {
        Self { backoff: Duration::from_secs(60), most_backoff: Duration::from_secs(3_600) }
    }
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BuyerAction {
    /// Ask the cloud for a machine.
    Buy {
        /// The same token twice buys once.
        token: String,
        /// Where.
        data_centre: DataCentreName,
        /// Which class.
        vm_class: String,
    },
    /// Drain a machine and give it back.
    GiveBack {
        /// Where.
        data_centre: DataCentreName,
        /// Which class.
        vm_class: String,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Refusals {
    count: u32,
    until: TimePoint,
}

type Key = (DataCentreName, String);

/// The core: `(now, needed, held) -> actions`.
///
/// Failure: the holder of the plan dies after it asked for a machine and before it noted that. Symptom:
/// its successor asks again, and two machines are paid for. The token follows from the place, the class
/// and the number of machines ever bought there, which the cloud's list tells any holder; so the
/// successor asks under the same token, and the cloud gives the same machine.
#[derive(Clone, Debug)]
pub struct Buyer {
    settings: BuyerSettings,
    offers: Vec<Offer>,
    refusals: IndexMap<Key, Refusals>,
}

impl Buyer {
    /// Makes a buyer for what the cloud offers.
    pub fn new(settings: BuyerSettings, offers: Vec<Offer>) -> Self {
        Self { settings, offers, refusals: IndexMap::new() }
    }

    /// Offers that aren't passed over now.
    pub fn market(&self, now: TimePoint) -> Market {
        let open = |it: &&Offer| {
            let key = (it.data_centre.clone(), it.vm_class.clone());
            self.refusals.get(&key).is_none_or(|it| it.until <= now)
        };
        self.offers.iter().filter(open).cloned().collect()
    }

    /// Plans and says how to get there. `bought` counts all machines ever bought, by offer.
    pub fn plan(
        &self,
        now: TimePoint,
        needed: u32,
        held: &Desired,
        bought: &Desired,
    ) -> Vec<BuyerAction> {
        let desired = cheapest_mix(needed, &self.market(now));
        let mut actions = Vec::new();
        for (key, wanted) in &desired {
            let has = held.get(key).copied().unwrap_or(0);
            let first = bought.get(key).copied().unwrap_or(0);
            for number in 0..wanted.saturating_sub(has) {
                actions.push(buy(key, first + number));
            }
        }
        // What is no longer wanted goes only once everything wanted is there: capacity never dips for
        // the sake of a price.
        if actions.is_empty() {
            for (key, has) in held {
                let wanted = desired.get(key).copied().unwrap_or(0);
                for _ in wanted..*has {
                    let (data_centre, vm_class) = key.clone();
                    actions.push(BuyerAction::GiveBack { data_centre, vm_class });
                }
            }
        }
        actions
    }

    /// Notes that the cloud refused an offer.
    pub fn refused(&mut self, now: TimePoint, data_centre: &DataCentreName, vm_class: &str) {
        let BuyerSettings { backoff, most_backoff } = self.settings;
        let entry = self.refusals.entry((data_centre.clone(), vm_class.to_owned())).or_default();
        let doubled = backoff * (1 << entry.count.min(MAX_DOUBLINGS));
        entry.until = now + doubled.min(most_backoff);
        entry.count += 1;
    }

    /// Notes that the cloud gave a machine.
    pub fn given(&mut self, data_centre: &DataCentreName, vm_class: &str) {
        self.refusals.shift_remove(&(data_centre.clone(), vm_class.to_owned()));
    }
}

const MAX_DOUBLINGS: u32 = 16;

fn buy((data_centre, vm_class): &Key, number: u32) -> BuyerAction {
    BuyerAction::Buy {
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

    fn buyer() -> Buyer {
        let offers = vec![offer("a", 100), offer("b", 110), offer("c", 120)];
        Buyer::new(BuyerSettings::default(), offers)
    }

    // The bill shows two machines where one was wanted. The holder asked the cloud and died; its
    // successor plans from the same list and asks again.
    #[test]
    fn a_successor_asks_under_the_same_token() {
        let nothing = Desired::new();
        let first = buyer().plan(TimePoint::ZERO, 2, &nothing, &nothing);
        let second = buyer().plan(TimePoint::from_millis(9), 2, &nothing, &nothing);
        assert_eq!(first, second);
    }

    // A wave took place `a`, and the cloud has none there. Asking again and again would leave the fleet
    // short; another place is tried at once, and `a` again after the backoff.
    #[test]
    fn a_refused_place_is_passed_over_for_a_while() {
        let mut buyer = buyer();
        let nothing = Desired::new();
        buyer.refused(TimePoint::ZERO, &"a".into(), "spot");
        let at = |it: &BuyerAction| match it {
            BuyerAction::Buy { data_centre, .. } | BuyerAction::GiveBack { data_centre, .. } => {
                data_centre.to_string()
            }
        };
        let soon = buyer.plan(TimePoint::from_millis(1_000), 2, &nothing, &nothing);
        assert!(soon.iter().all(|it| at(it) != "a"));
        let later = buyer.plan(TimePoint::from_millis(61_000), 2, &nothing, &nothing);
        assert!(later.iter().any(|it| at(it) == "a"));
    }

    #[test]
    fn nothing_is_given_back_while_something_is_missing() {
        let held = Desired::from([(("c".into(), "spot".to_owned()), 9)]);
        let actions = buyer().plan(TimePoint::ZERO, 4, &held, &held);
        assert!(actions.iter().all(|it| matches!(it, BuyerAction::Buy { .. })));
    }
}
