//! What a collector spends on digest its members, however many there are and however large the system.

mod support;

use quincevalve_forwarding::digest_pace::DigestPace;

const PERIODS_PER_SECOND: f64 = 16.7;
/// Bytes of a digest for each server that has work.
const BYTES_PER_SERVER: usize = 24;

/// A VM: the bytes a second of its link, and thousandths of a processor core.
const WEAK: (u64, u32) = (2_500_000, 120);
const STRONG: (u64, u32) = (25_000_000, 500);

fn pace((link, cpu): (u64, u32), servers: usize) -> DigestPace {
    let mut pace = DigestPace::new(link, cpu);
    for _ in 0..200 {
        pace.sent(servers * BYTES_PER_SERVER);
    }
    pace
}

/// Bytes a second, over a minute of periods.
fn bytes_per_second(vm: (u64, u32), servers: usize, members: usize) -> f64 {
    let pace = pace(vm, servers);
    let turns = (60.0 * PERIODS_PER_SECOND) as u32;
    let told: usize = (0..turns)
        .map(|turn| {
            (0..members).filter(|it| pace.is_due(*it, turn, members, PERIODS_PER_SECOND)).count()
        })
        .sum();
    (told * servers * BYTES_PER_SERVER) as f64 / 60.0
}

// Callers of a whole data centre get late answers: its strong VMs are cut off, a weak one collects, and its link is full of
// what it tells its members: 4 MB a second on 2.5 MB. It tells them by turns and keeps within a quarter.
#[test]
fn a_weak_collector_keeps_most_of_its_link_for_callers() {
    let used = bytes_per_second(WEAK, 204, 48);
    assert!(used <= 0.3 * WEAK.0 as f64, "{used}");
}

#[test]
fn a_strong_collector_tells_everyone_each_time() {
    assert_eq!(pace(STRONG, 204).periods(48, PERIODS_PER_SECOND), 1);
}

// The same at the largest size that is aimed at: 910 servers, 33 members in a data centre.
#[test]
fn a_strong_collector_keeps_its_share_at_the_largest_size() {
    let used = bytes_per_second(STRONG, 910, 33);
    assert!(used <= 0.25 * STRONG.0 as f64, "{used}");
}

// A member that hears nothing for 800 ms takes its collector for lost, and what it was told is forgotten: however many
// there are, each is told twice in that time.
#[test]
fn every_member_is_told_in_time() {
    for (vm, servers, members) in [(WEAK, 910, 33), (WEAK, 910, 200), (STRONG, 2_000, 200)] {
        let pace = pace(vm, servers);
        let periods = pace.periods(members, PERIODS_PER_SECOND);
        assert!(f64::from(periods) / PERIODS_PER_SECOND <= 0.4);
        for turn in [0, 5, u32::MAX - 3] {
            for at in 0..members {
                let told = (0..periods).filter(|it| {
                    pace.is_due(at, turn.wrapping_add(*it), members, PERIODS_PER_SECOND)
                });
                assert!(turn > u32::MAX / 2 || told.count() == 1, "once in {periods} periods");
            }
        }
    }
}
