//! Sums of what VMs tell, against adding up from the start.

mod support;

use proptest::prelude::*;
use quincevalve_forwarding::{
    load::WorkSum,
    sums::{Share, Sums},
};
use quincevalve_names::{ClientAccountName, ServiceName};
use support::ms;

fn work() -> impl Strategy<Value = WorkSum> {
    let tokens = 0_u64..100_000;
    (1_u32..40, tokens.clone(), tokens.clone(), tokens.clone(), tokens).prop_map(
        |(requests, prefill, urgent_prefill, memory, recent)| WorkSum {
            requests,
            prefill,
            urgent_prefill,
            memory,
            recent,
        },
    )
}

fn share() -> impl Strategy<Value = Share> {
    let works = prop::collection::vec((0_u64..6, work()), 0..6);
    let rates = || prop::collection::vec((0_usize..4, 0.1_f64..100_000.0), 0..4);
    (works, rates(), rates()).prop_map(|(works, spending, demand)| Share {
        vms: 1,
        works: works.into_iter().collect(),
        spending: spending
            .into_iter()
            .map(|(at, rate)| (ClientAccountName::from(format!("desk-{at}").as_str()), rate))
            .collect(),
        demand: demand
            .into_iter()
            .map(|(at, rate)| (ServiceName::from(format!("engines-{at}").as_str()), rate))
            .collect(),
        ..Share::default()
    })
}

/// Rates are equal but for what adding them in another order makes of them.
fn is_same(one: &Share, other: &Share) -> bool {
    let spending = one.spending.iter().all(|(key, rate)| {
        (rate - other.spending.get(key).copied().unwrap_or_default()).abs() < 1e-3
    });
    let demand = one.demand.iter().all(|(key, rate)| {
        (rate - other.demand.get(key).copied().unwrap_or_default()).abs() < 1e-3
    });
    let sizes = (one.spending.len(), one.demand.len());
    one.vms == other.vms
        && one.works == other.works
        && spending
        && demand
        && sizes == (other.spending.len(), other.demand.len())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // What a member hears of all others is the same whether its share is left out or taken off.
    #[test]
    fn a_share_taken_off_is_as_if_it_was_left_out(shares in prop::collection::vec(share(), 1..8)) {
        let mut sums = Sums::default();
        for (at, share) in shares.iter().enumerate() {
            sums.take(&at.to_string(), share.clone(), ms(0));
        }
        let mut all = Share::default();
        sums.add_to(&mut all, None, ms(0));
        for at in 0..shares.len() {
            let mut left_out = Share::default();
            sums.add_to(&mut left_out, Some(&at.to_string()), ms(0));
            let told = sums.told(&at.to_string(), ms(0)).expect("it was just told");
            let taken_off = all.without(told);
            prop_assert!(is_same(&taken_off, &left_out), "{taken_off:?} {left_out:?}");
        }
    }
}

#[test]
fn what_was_told_long_ago_is_no_part() {
    let mut sums = Sums::default();
    sums.take("vm-1", Share { vms: 1, ..Share::default() }, ms(0));
    assert!(sums.told("vm-1", ms(800)).is_some());
    assert!(sums.told("vm-1", ms(801)).is_none());
}
