//! Computes the cheapest set of VMs that provides enough capacity after the loss of any one data centre.

use indexmap::IndexMap;
use quincevalve_names::DataCentreName;

use crate::Offer;

/// Offers that are available now, without those in backoff after a refusal.
pub type Market = Vec<Offer>;

/// Number of VMs by data centre and VM class.
pub type Desired = IndexMap<(DataCentreName, String), u32>;

/// Returns the cheapest set of VMs of which at least `needed` remain after the loss of any one data centre.
///
/// With at most `m` VMs per data centre, `needed + m` VMs in total suffice. For each `m`, the cheapest such
/// set fills the data centres in order of price; the result is the cheapest over all `m`. A large `m` makes
/// full use of cheap data centres, a small one needs fewer spare VMs.
///
/// # Examples
///
/// ```
/// use quincevalve_plan::{Offer, cheapest_mix};
/// let offer = |data_centre: &str, price_milli| Offer {
///     data_centre: data_centre.into(),
///     vm_class: "spot".to_owned(),
///     price_milli,
/// };
/// let market = vec![offer("erding", 300), offer("freising", 310), offer("moosburg", 320)];
/// let desired = cheapest_mix(4, &market);
/// assert_eq!(desired.values().sum::<u32>(), 6);
/// assert!(desired.values().all(|it| *it == 2));
/// ```
pub fn cheapest_mix(needed: u32, market: &Market) -> Desired {
    let offers = cheapest_by_data_centre(market);
    if needed == 0 || offers.is_empty() {
        return Desired::new();
    }
    // With a single data centre nothing survives its loss, so spare VMs are useless and `needed` VMs suffice.
    if offers.len() == 1 {
        return fill(&offers, needed, needed);
    }
    let mixes = (1..=needed).map(|max_per_data_centre| {
        fill(&offers, max_per_data_centre, needed + max_per_data_centre)
    });
    let sufficient = mixes.filter(|it| is_sufficient(it, needed));
    let cheapest = sufficient.min_by_key(|it| cost(it, &offers));
    cheapest.unwrap_or_else(|| fill(&offers, needed, needed * 2))
}

/// Returns the cheapest offer of each data centre, in order of price.
fn cheapest_by_data_centre(market: &Market) -> Vec<&Offer> {
    let mut best: IndexMap<&DataCentreName, &Offer> = IndexMap::new();
    for offer in market {
        let cheapest_offer = best.entry(&offer.data_centre).or_insert(offer);
        if offer.price_milli < cheapest_offer.price_milli {
            *cheapest_offer = offer;
        }
    }
    let mut offers: Vec<_> = best.into_values().collect();
    offers.sort_by(|left, right| {
        (left.price_milli, &left.data_centre).cmp(&(right.price_milli, &right.data_centre))
    });
    offers
}

/// Distributes `total` VMs over the offers in order, with at most `max_per_data_centre` per data centre.
fn fill(offers: &[&Offer], max_per_data_centre: u32, total: u32) -> Desired {
    let mut remaining = total;
    let mut desired = Desired::new();
    for offer in offers {
        let count = remaining.min(max_per_data_centre);
        if count == 0 {
            break;
        }
        desired.insert((offer.data_centre.clone(), offer.vm_class.clone()), count);
        remaining -= count;
    }
    desired
}

/// Returns whether at least `needed` VMs remain after the loss of the largest data centre.
fn is_sufficient(desired: &Desired, needed: u32) -> bool {
    let total: u32 = desired.values().sum();
    let largest = desired.values().max().copied().unwrap_or(0);
    total - largest >= needed
}

fn cost(desired: &Desired, offers: &[&Offer]) -> u64 {
    let price = |data_centre: &DataCentreName| {
        offers.iter().find(|it| it.data_centre == *data_centre).map_or(0, |it| it.price_milli)
    };
    desired.iter().map(|((data_centre, _), count)| u64::from(*count) * price(data_centre)).sum()
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn market(prices: &[u64]) -> Market {
        let offer = |(number, price): (usize, &u64)| Offer {
            data_centre: format!("dc-{number}").as_str().into(),
            vm_class: "spot".to_owned(),
            price_milli: *price,
        };
        prices.iter().enumerate().map(offer).collect()
    }

    /// Reference implementation: tries every combination of up to `max_per_data_centre` VMs per data centre.
    fn exhaustive(needed: u32, prices: &[u64], max_per_data_centre: u32) -> u64 {
        let combinations = (max_per_data_centre + 1).pow(prices.len() as u32);
        let mut best = u64::MAX;
        for combination in 0..combinations {
            let mut rest = combination;
            let mut counts = Vec::new();
            for _ in prices {
                counts.push(rest % (max_per_data_centre + 1));
                rest /= max_per_data_centre + 1;
            }
            let total: u32 = counts.iter().sum();
            let largest = counts.iter().max().copied().unwrap_or(0);
            if total - largest >= needed {
                let cost =
                    counts.iter().zip(prices).map(|(it, price)| u64::from(*it) * price).sum();
                best = best.min(cost);
            }
        }
        best
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 200,
            rng_seed: proptest::test_runner::RngSeed::Fixed(11),
            failure_persistence: None,
            ..ProptestConfig::default()
        })]

        // Compares the cost of the result with an exhaustive search.
        #[test]
        fn cost_equals_the_exhaustive_minimum(
            needed in 1..6_u32,
            prices in prop::collection::vec(1..50_u64, 2..5),
        ) {
            let market = market(&prices);
            let desired = cheapest_mix(needed, &market);
            prop_assert!(is_sufficient(&desired, needed));
            let offers = cheapest_by_data_centre(&market);
            prop_assert_eq!(cost(&desired, &offers), exhaustive(needed, &prices, needed));
        }
    }
}
