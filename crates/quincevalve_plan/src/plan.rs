//! The cheapest mix of machines that keeps the promise after the loss of any one data centre.

use indexmap::IndexMap;
use quincevalve_names::DataCentreName;

use crate::Offer;

/// What can be had now: offers that aren't held back by a refusal.
pub type Market = Vec<Offer>;

/// How many machines to hold, by offer.
pub type Desired = IndexMap<(DataCentreName, String), u32>;

/// The cheapest mix of whole machines of which `needed` are left whichever data centre is lost.
///
/// With at most `m` machines in any data centre, `needed + m` in all are enough. For each `m` the cheapest
/// such mix fills the data centres by price; the cheapest `m` wins. A large `m` uses cheap places fully, a
/// small one needs fewer spare machines.
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
    let places = cheapest_by_data_centre(market);
    if needed == 0 || places.is_empty() {
        return Desired::new();
    }
    // With a single data centre nothing survives its loss; the promise is kept while it stands.
    if places.len() == 1 {
        return fill(&places, needed, needed);
    }
    let mixes = (1..=needed).map(|most| fill(&places, most, needed + most));
    let whole = mixes.filter(|it| is_enough(it, needed));
    let cheapest = whole.min_by_key(|it| cost(it, &places));
    cheapest.unwrap_or_else(|| fill(&places, needed, needed * 2))
}

/// The cheapest offer of each data centre, the cheapest data centre first.
fn cheapest_by_data_centre(market: &Market) -> Vec<&Offer> {
    let mut best: IndexMap<&DataCentreName, &Offer> = IndexMap::new();
    for offer in market {
        let known = best.entry(&offer.data_centre).or_insert(offer);
        if offer.price_milli < known.price_milli {
            *known = offer;
        }
    }
    let mut places: Vec<_> = best.into_values().collect();
    places.sort_by(|left, right| {
        (left.price_milli, &left.data_centre).cmp(&(right.price_milli, &right.data_centre))
    });
    places
}

fn fill(places: &[&Offer], most: u32, total: u32) -> Desired {
    let mut left = total;
    let mut desired = Desired::new();
    for offer in places {
        let count = left.min(most);
        if count == 0 {
            break;
        }
        desired.insert((offer.data_centre.clone(), offer.vm_class.clone()), count);
        left -= count;
    }
    desired
}

fn is_enough(desired: &Desired, needed: u32) -> bool {
    let total: u32 = desired.values().sum();
    let largest = desired.values().max().copied().unwrap_or(0);
    total - largest >= needed
}

fn cost(desired: &Desired, places: &[&Offer]) -> u64 {
    let price = |data_centre: &DataCentreName| {
        places.iter().find(|it| it.data_centre == *data_centre).map_or(0, |it| it.price_milli)
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

    /// The naive version: every way to hold up to `most` machines in each place.
    fn exhaustive(needed: u32, prices: &[u64], most: u32) -> u64 {
        let ways = (most + 1).pow(prices.len() as u32);
        let mut best = u64::MAX;
        for way in 0..ways {
            let mut rest = way;
            let mut counts = Vec::new();
            for _ in prices {
                counts.push(rest % (most + 1));
                rest /= most + 1;
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

        #[test]
        fn it_costs_what_the_best_of_all_ways_costs(
            needed in 1..6_u32,
            prices in prop::collection::vec(1..50_u64, 2..5),
        ) {
            let market = market(&prices);
            let desired = cheapest_mix(needed, &market);
            prop_assert!(is_enough(&desired, needed));
            let places = cheapest_by_data_centre(&market);
            prop_assert_eq!(cost(&desired, &places), exhaustive(needed, &prices, needed));
        }
    }
}
