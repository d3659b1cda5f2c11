//! Partial sums: subtraction, expiry, and the bounded size of digests.

mod support;

use bincode::Options;
use proptest::prelude::*;
use quincevalve_forwarding::{
    load::WorkSum,
    sums::{MAX_SERVERS_TO_COLLECTOR, MAX_SERVERS_TO_MEMBER, PartialSum, PartialSums},
};
use quincevalve_names::{ClientAccountName, ServiceName, hash_text};
use support::{config, ms};

fn work() -> impl Strategy<Value = WorkSum> {
    let tokens = 0_u64..100_000;
    (1_u32..40, tokens.clone(), tokens.clone(), tokens.clone(), tokens).prop_map(
        |(requests, prefill, urgent_prefill, memory, recent_prefill)| WorkSum {
            requests,
            prefill,
            urgent_prefill,
            memory,
            recent_prefill,
        },
    )
}

fn any_partial_sum() -> impl Strategy<Value = PartialSum> {
    let server_work = prop::collection::vec((0_u64..6, work()), 0..6);
    let rates = || prop::collection::vec((0_usize..4, 0.1_f64..100_000.0), 0..4);
    (server_work, rates(), rates()).prop_map(|(server_work, spending, demand)| PartialSum {
        vms: 1,
        server_work: server_work.into_iter().collect(),
        spending: spending
            .into_iter()
            .map(|(at, rate)| (ClientAccountName::from(format!("desk-{at}").as_str()), rate))
            .collect(),
        demand: demand
            .into_iter()
            .map(|(at, rate)| (ServiceName::from(format!("engines-{at}").as_str()), rate))
            .collect(),
        ..PartialSum::default()
    })
}

/// Compares two partial sums; rates may differ by the rounding errors of another order of addition.
fn is_approximately_equal(one: &PartialSum, other: &PartialSum) -> bool {
    let spending = one.spending.iter().all(|(key, rate)| {
        (rate - other.spending.get(key).copied().unwrap_or_default()).abs() < 1e-3
    });
    let demand = one.demand.iter().all(|(key, rate)| {
        (rate - other.demand.get(key).copied().unwrap_or_default()).abs() < 1e-3
    });
    let sizes = (one.spending.len(), one.demand.len());
    one.vms == other.vms
        && one.server_work == other.server_work
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

    // The sum of all other members is the same whether a member's partial sum is skipped or subtracted from the total.
    #[test]
    fn subtracting_a_partial_sum_equals_adding_up_all_others(partial_sums in prop::collection::vec(any_partial_sum(), 1..8)) {
        let mut sums = PartialSums::default();
        for (at, partial_sum) in partial_sums.iter().enumerate() {
            sums.insert(&at.to_string(), partial_sum.clone(), ms(0));
        }
        let mut all = PartialSum::default();
        sums.add_to(&mut all, None, ms(0));
        for at in 0..partial_sums.len() {
            let mut others = PartialSum::default();
            sums.add_to(&mut others, Some(&at.to_string()), ms(0));
            let own = sums.get(&at.to_string(), ms(0)).expect("was just inserted");
            let difference = all.without(own);
            prop_assert!(is_approximately_equal(&difference, &others), "{difference:?} {others:?}");
        }
    }
}

#[test]
fn expires_a_partial_sum_after_800_ms() {
    let mut sums = PartialSums::default();
    sums.insert("vm-1", PartialSum { vms: 1, ..PartialSum::default() }, ms(0));
    assert!(sums.get("vm-1", ms(800)).is_some());
    assert!(sums.get("vm-1", ms(801)).is_none());
}

fn busy_servers(servers: u64) -> PartialSum {
    let work = |it: u64| WorkSum {
        requests: 1 + (it % 7) as u32,
        prefill: it * 37 % 9_000,
        urgent_prefill: it * 11 % 2_000,
        memory: it * 97 % 60_000,
        recent_prefill: it * 131 % 20_000,
    };
    let server_work = (0..servers).map(|it| (hash_text(&it.to_string()), work(it))).collect();
    PartialSum { server_work, ..PartialSum::default() }
}

/// Returns the size of a digest in bytes, in the encoding of datagrams.
fn encoded_bytes(partial_sum: &PartialSum) -> u64 {
    bincode::DefaultOptions::new().serialized_size(partial_sum).expect("a partial sum is encodable")
}

// If digests grew with the number of servers, they would no longer fit into a datagram, and no VM would receive load
// sums.
#[test]
fn digest_size_is_bounded_with_ten_thousand_servers() {
    for (max_servers, max_bytes) in
        [(MAX_SERVERS_TO_MEMBER, 10_000), (MAX_SERVERS_TO_COLLECTOR, 30_000)]
    {
        let sizes = [3_000, 10_000].map(|servers| {
            let mut partial_sum = busy_servers(servers);
            partial_sum.keep_busiest_servers(max_servers);
            assert_eq!(partial_sum.server_work.len(), max_servers);
            encoded_bytes(&partial_sum)
        });
        assert!(sizes.iter().all(|it| *it <= max_bytes), "{sizes:?} bytes");
    }
}

// If a nearly full server were missing from a digest of thousands, all VMs would send it more requests.
#[test]
fn keeps_the_busiest_servers() {
    let all = busy_servers(3_000);
    let mut kept = all.clone();
    kept.keep_busiest_servers(MAX_SERVERS_TO_MEMBER);
    let min_kept_weight =
        kept.server_work.values().map(WorkSum::weight).min().expect("some servers are kept");
    let dropped = all.server_work.iter().filter(|(it, _)| !kept.server_work.contains_key(*it));
    assert!(dropped.map(|(_, it)| it.weight()).all(|it| it <= min_kept_weight));
    assert!(kept.server_work.iter().all(|(server, it)| all.server_work[server] == *it));
}

// Servers with equal work at the cutoff must not all be dropped.
#[test]
fn keeps_the_maximum_number_of_servers_when_their_work_is_equal() {
    let work = WorkSum { requests: 1, ..WorkSum::default() };
    let mut partial_sum = PartialSum {
        server_work: (0..1_000).map(|it| (it, work)).collect(),
        ..PartialSum::default()
    };
    partial_sum.keep_busiest_servers(MAX_SERVERS_TO_MEMBER);
    assert_eq!(partial_sum.server_work.len(), MAX_SERVERS_TO_MEMBER);
    let few =
        PartialSum { server_work: (0..20).map(|it| (it, work)).collect(), ..PartialSum::default() };
    let mut same = few.clone();
    same.keep_busiest_servers(MAX_SERVERS_TO_MEMBER);
    assert_eq!(few, same);
}

// If the begin or end of a request isn't detected as a change, the other VMs learn of it a second late.
#[test]
fn detects_begin_and_end_of_requests_as_changes() {
    let work =
        |requests, recent_prefill| WorkSum { requests, recent_prefill, ..WorkSum::default() };
    let partial_sum = |server_work: &[(u64, WorkSum)]| PartialSum {
        server_work: server_work.iter().copied().collect(),
        ..PartialSum::default()
    };
    let before = partial_sum(&[(1, work(1, 900)), (2, work(2, 0))]);
    assert!(!before.has_changed_since(&before));
    assert!(
        !partial_sum(&[(1, work(1, 600)), (2, work(2, 0))]).has_changed_since(&before),
        "decayed"
    );
    assert!(
        partial_sum(&[(1, work(2, 900)), (2, work(2, 0))]).has_changed_since(&before),
        "one began"
    );
    assert!(
        partial_sum(&[(1, work(0, 900)), (2, work(2, 0))]).has_changed_since(&before),
        "one ended"
    );
    assert!(partial_sum(&[(1, work(1, 900))]).has_changed_since(&before), "the last one ended");
    assert!(partial_sum(&[(1, work(1, 900)), (3, work(2, 0))]).has_changed_since(&before));
}

// If the spending of an account near its quota were dropped from digests, the account could exceed the quota.
#[test]
fn drops_only_spending_below_a_quarter_of_the_quota() {
    let config = config(1, Vec::new());
    let kept_accounts = |name: &str, rate: f64| {
        let spending = [(ClientAccountName::from(name), rate)].into_iter().collect();
        let mut partial_sum = PartialSum { spending, ..PartialSum::default() };
        partial_sum.drop_low_spending(&config);
        partial_sum.spending.len()
    };
    assert_eq!(kept_accounts("desk", 250.0), 1);
    assert_eq!(kept_accounts("desk", 249.0), 0);
    assert_eq!(kept_accounts("without-quota", 1.0), 1);
}
