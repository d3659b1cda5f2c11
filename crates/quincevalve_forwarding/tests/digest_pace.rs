//! Bandwidth that a collector uses for digests to its members, for different numbers of members and servers.

mod support;

use quincevalve_forwarding::digest_pace::DigestPace;

const PERIODS_PER_SECOND: f64 = 16.7;
/// Bytes of a digest for each server that has work.
const BYTES_PER_SERVER: usize = 24;

/// A weak VM: its link in bytes per second, and its processor share in thousandths of a core.
const WEAK: (u64, u32) = (2_500_000, 120);
/// A strong VM, in the same units.
const STRONG: (u64, u32) = (25_000_000, 500);

fn pace((link, cpu): (u64, u32), servers: usize) -> DigestPace {
    let mut pace = DigestPace::new(link, cpu);
    for _ in 0..200 {
        pace.record_sent_bytes(servers * BYTES_PER_SERVER);
    }
    pace
}

/// Returns the bytes per second that digests take, averaged over a minute of periods.
fn bytes_per_second(vm: (u64, u32), servers: usize, members: usize) -> f64 {
    let pace = pace(vm, servers);
    let periods = (60.0 * PERIODS_PER_SECOND) as u32;
    let sent: usize = (0..periods)
        .map(|period| {
            (0..members).filter(|it| pace.is_due(*it, period, members, PERIODS_PER_SECOND)).count()
        })
        .sum();
    (sent * servers * BYTES_PER_SERVER) as f64 / 60.0
}

// When the strong VMs of a data centre are cut off, a weak one becomes its collector. Digests to all members in each
// period would take 4 MB/s on a link of 2.5 MB/s and delay the answers of the whole data centre. It sends them in turn
// and uses about a quarter of its link.
#[test]
fn a_weak_collector_leaves_most_of_its_link_to_callers() {
    let used = bytes_per_second(WEAK, 204, 48);
    assert!(used <= 0.3 * WEAK.0 as f64, "{used}");
}

#[test]
fn a_strong_collector_sends_to_all_members_in_each_period() {
    assert_eq!(pace(STRONG, 204).periods_between_digests(48, PERIODS_PER_SECOND), 1);
}

// The largest supported system has 910 servers, and 33 members in a data centre.
#[test]
fn a_strong_collector_keeps_within_its_budget_at_the_largest_size() {
    let used = bytes_per_second(STRONG, 910, 33);
    assert!(used <= 0.25 * STRONG.0 as f64, "{used}");
}

// A member that receives no digest for 800 ms considers its collector lost, and its received sums expire. Each member
// must therefore get two digests in that time, regardless of the number of members.
#[test]
fn sends_to_every_member_before_its_sums_expire() {
    for (vm, servers, members) in [(WEAK, 910, 33), (WEAK, 910, 200), (STRONG, 2_000, 200)] {
        let pace = pace(vm, servers);
        let periods = pace.periods_between_digests(members, PERIODS_PER_SECOND);
        assert!(f64::from(periods) / PERIODS_PER_SECOND <= 0.4);
        for first in [0, 5, u32::MAX - 3] {
            for member in 0..members {
                let sent = (0..periods).filter(|it| {
                    pace.is_due(member, first.wrapping_add(*it), members, PERIODS_PER_SECOND)
                });
                assert!(first > u32::MAX / 2 || sent.count() == 1, "once in {periods} periods");
            }
        }
    }
}
