//! How often a collector tells each of its members what all others do.
//!
//! Load: a digest names each server that has work, so its size grows with the servers, and a collector sends one to each
//! member. With 48 members and 204 servers that is 4 MB a second when all are told in each period: little for a strong VM,
//! and more than the link of a weak one, which collects where the strong ones of its data centre are lost or cut off. A
//! link that is full loses datagrams and holds requests up. Members are therefore told by turns, as far as the collector's
//! own link and processor allow.

/// The part of its link that a collector uses for digests. Callers' requests and answers, and what comes from members,
/// share the link; at a quarter a burst of them still finds most of it free.
const LINK_PART: f64 = 0.25;
/// The part of its processor share that a collector uses for digests; the rest is for its own callers.
const CPU_PART: f64 = 0.25;
/// Bytes of digests that a whole processor core makes and sends in a second. Making and encoding them alone ran at 160 to
/// 335 MB/s, from 50 to 910 servers, on a machine more and less busy (`quincevalve-measure digests`); sending is taken to
/// cost half as much again.
const BYTES_PER_CORE: f64 = 100_000_000.0;
/// Periods between two digests of one member at most: 360 ms. What was told counts for 800 ms, and a member that hears
/// nothing for so long takes its collector for lost; two in a row must not be missing for that.
const MOST_PERIODS: u32 = 6;
/// Weight of the newest digest's size in the running mean.
const NEW: f64 = 0.05;

/// How often each member is told.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::digest_pace::DigestPace;
/// // An eighth of a core and 20 Mbit/s; digests of 5 KB sixteen times a second to 48 members.
/// let mut pace = DigestPace::new(2_500_000, 120);
/// for _ in 0..100 {
///     pace.sent(5_000);
/// }
/// let told = (0..48).filter(|at| pace.is_due(*at, 0, 48, 16.7)).count();
/// assert!(told <= 10);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct DigestPace {
    /// Bytes a second that digests may take.
    budget: f64,
    /// Bytes of a digest, on average.
    bytes: f64,
}

impl DigestPace {
    /// For a VM whose link carries `link` bytes a second, with `cpu` thousandths of a processor core.
    pub fn new(link: u64, cpu: u32) -> Self {
        let by_link = link as f64 * LINK_PART;
        let by_cpu = f64::from(cpu) / 1_000.0 * BYTES_PER_CORE * CPU_PART;
        Self { budget: by_link.min(by_cpu), bytes: 0.0 }
    }

    /// Notes the bytes of a digest to a member.
    pub fn sent(&mut self, bytes: usize) {
        self.bytes += NEW * (bytes as f64 - self.bytes);
    }

    /// Periods between two digests of one of `members`, with so many periods a second.
    pub fn periods(&self, members: usize, periods_per_second: f64) -> u32 {
        let all = members as f64 * self.bytes * periods_per_second;
        ((all / self.budget.max(1.0)).ceil() as u32).clamp(1, MOST_PERIODS)
    }

    /// Whether the member at that place is told in this period, the number `turn`.
    pub fn is_due(&self, at: usize, turn: u32, members: usize, periods_per_second: f64) -> bool {
        (at as u32).wrapping_add(turn).is_multiple_of(self.periods(members, periods_per_second))
    }
}
