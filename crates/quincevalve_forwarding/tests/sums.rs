//! Sums of what VMs tell, against adding up from the start.

mod support;

use bincode::Options;
use proptest::prelude::*;
use quincevalve_forwarding::{
    load::WorkSum,
    sums::{NAMED_TO_COLLECTOR, NAMED_TO_MEMBER, Share, Sums},
};
use quincevalve_names::{ClientAccountName, ServiceName, hash_text};
use support::{config, ms};

fn work() -> impl Strategy<Value = WorkSum> {
    let tokens = 0_u64..100_000;
    (1_u32..40, tokens.clone(), tokens.clone(), tokens.clone(), tokens).prop_map(
        |(requests, prefill, urgent_prefill, memory, recent)| WorkSum {
            requests,
            prefill,
            urgent_prefill,
            memory,
            recent_prefill: recent,
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

fn busy_servers(servers: u64) -> Share {
    let work = |it: u64| WorkSum {
        requests: 1 + (it % 7) as u32,
        prefill: it * 37 % 9_000,
        urgent_prefill: it * 11 % 2_000,
        memory: it * 97 % 60_000,
        recent_prefill: it * 131 % 20_000,
    };
    let works = (0..servers).map(|it| (hash_text(&it.to_string()), work(it))).collect();
    Share { works, ..Share::default() }
}

/// Bytes of a digest, as datagrams are encoded.
fn bytes_of(share: &Share) -> u64 {
    bincode::DefaultOptions::new().serialized_size(share).expect("a share")
}

// Digests grow with the servers until no datagram holds them: nobody hears of any load.
#[test]
fn a_digest_is_as_long_with_ten_thousand_servers() {
    for (named, most) in [(NAMED_TO_MEMBER, 10_000), (NAMED_TO_COLLECTOR, 30_000)] {
        let lengths = [3_000, 10_000].map(|servers| {
            let mut share = busy_servers(servers);
            share.name_busiest(named);
            assert_eq!(share.works.len(), named);
            bytes_of(&share)
        });
        assert!(lengths.iter().all(|it| *it <= most), "{lengths:?} bytes");
    }
}

// A server that is nearly full isn't named among thousands, and all VMs send it more.
#[test]
fn the_busiest_servers_are_named() {
    let all = busy_servers(3_000);
    let mut named = all.clone();
    named.name_busiest(NAMED_TO_MEMBER);
    let least = named.works.values().map(WorkSum::weight).min().expect("some are named");
    let left_out = all.works.iter().filter(|(it, _)| !named.works.contains_key(*it));
    assert!(left_out.map(|(_, it)| it.weight()).all(|it| it <= least));
    assert!(named.works.iter().all(|(server, it)| all.works[server] == *it));
}

// Servers with the same work stand at the edge of what is named: none of them are.
#[test]
fn servers_with_equal_work_are_named_up_to_the_most() {
    let work = WorkSum { requests: 1, ..WorkSum::default() };
    let mut share = Share { works: (0..1_000).map(|it| (it, work)).collect(), ..Share::default() };
    share.name_busiest(NAMED_TO_MEMBER);
    assert_eq!(share.works.len(), NAMED_TO_MEMBER);
    let few = Share { works: (0..20).map(|it| (it, work)).collect(), ..Share::default() };
    let mut same = few.clone();
    same.name_busiest(NAMED_TO_MEMBER);
    assert_eq!(few, same);
}

// A request begins or ends, and the others hear of it a second late.
#[test]
fn what_begins_and_ends_is_news() {
    let work =
        |requests, recent| WorkSum { requests, recent_prefill: recent, ..WorkSum::default() };
    let share = |works: &[(u64, WorkSum)]| Share {
        works: works.iter().copied().collect(),
        ..Share::default()
    };
    let before = share(&[(1, work(1, 900)), (2, work(2, 0))]);
    assert!(!before.has_news_since(&before));
    assert!(!share(&[(1, work(1, 600)), (2, work(2, 0))]).has_news_since(&before), "faded");
    assert!(share(&[(1, work(2, 900)), (2, work(2, 0))]).has_news_since(&before), "one began");
    assert!(share(&[(1, work(0, 900)), (2, work(2, 0))]).has_news_since(&before), "one ended");
    assert!(share(&[(1, work(1, 900))]).has_news_since(&before), "the last one ended");
    assert!(share(&[(1, work(1, 900)), (3, work(2, 0))]).has_news_since(&before));
}

// An account's spending is left out of digests though it is near its quota, and it gets more.
#[test]
fn only_light_spending_is_left_out() {
    let config = config(1, Vec::new());
    let left = |name: &str, rate: f64| {
        let spending = [(ClientAccountName::from(name), rate)].into_iter().collect();
        let mut share = Share { spending, ..Share::default() };
        share.drop_light_spending(&config);
        share.spending.len()
    };
    assert_eq!(left("desk", 250.0), 1);
    assert_eq!(left("desk", 249.0), 0);
    assert_eq!(left("without-quota", 1.0), 1);
}
