//! Rate at which a collector sends digests to each of its members.
//!
//! A digest lists each server that has work, so its size grows with the number of servers, and a collector sends one to
//! each member. With 48 members and 204 servers, sending to all members in each period takes 4 MB per second. A large
//! VM carries that easily, but it exceeds the link of a small VM, which becomes the collector when the large VMs of its
//! data centre are down or cut off. A saturated link drops datagrams and delays requests. Members therefore get their
//! digests in turn, as often as the collector's link and processor allow.

/// Fraction of its link that a collector uses for digests. Requests and answers of callers and digests from members
/// share the link; at a quarter, a burst of them still finds most of the link free.
const LINK_FRACTION: f64 = 0.25;
/// Fraction of its processor share that a collector uses for digests; the rest is for its own callers.
const CPU_FRACTION: f64 = 0.25;
/// Bytes of digests that one processor core builds and sends per second. Building and encoding alone reach 160 to 335
/// MB/s with 50 to 910 servers, depending on the machine's load (`quincevalve-measure digests`); sending is assumed to
/// cost half as much again.
const BYTES_PER_CORE_SECOND: f64 = 100_000_000.0;
/// Maximum number of periods between two digests to one member: 360 ms. A received partial sum expires after 800 ms,
/// and a member that receives nothing for that long considers its collector lost, so the loss of one digest must not
/// suffice.
const MAX_PERIODS: u32 = 6;
/// Weight of the newest digest's size in the moving average.
const NEWEST_SIZE_WEIGHT: f64 = 0.05;

/// Schedules the digests of a collector to its members.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::digest_pace::DigestPace;
/// // An eighth of a core and 20 Mbit/s; digests of 5 KB sixteen times a second to 48 members.
/// let mut pace = DigestPace::new(2_500_000, 120);
/// for _ in 0..100 {
///     pace.record_sent_bytes(5_000);
/// }
/// let sent = (0..48).filter(|member| pace.is_due(*member, 0, 48, 16.7)).count();
/// assert!(sent <= 10);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct DigestPace {
    /// Maximum bytes per second for digests.
    budget: f64,
    /// Moving average of a digest's size in bytes.
    mean_bytes: f64,
}

impl DigestPace {
    /// Creates a schedule for a VM whose link carries `link` bytes per second, with `cpu` thousandths of a processor
    /// core.
    pub fn new(link: u64, cpu: u32) -> Self {
        let link_budget = link as f64 * LINK_FRACTION;
        let cpu_budget = f64::from(cpu) / 1_000.0 * BYTES_PER_CORE_SECOND * CPU_FRACTION;
        Self { budget: link_budget.min(cpu_budget), mean_bytes: 0.0 }
    }

    /// Records the size of a digest sent to a member.
    pub fn record_sent_bytes(&mut self, bytes: usize) {
        self.mean_bytes += NEWEST_SIZE_WEIGHT * (bytes as f64 - self.mean_bytes);
    }

    /// Returns the number of periods from one digest to a member to its next, for a collector with `members` members.
    pub fn periods_between_digests(&self, members: usize, periods_per_second: f64) -> u32 {
        let bytes_per_second = members as f64 * self.mean_bytes * periods_per_second;
        ((bytes_per_second / self.budget.max(1.0)).ceil() as u32).max(1).min(MAX_PERIODS)
    }

    /// Returns whether the member with the index `member` gets a digest in period `period`.
    pub fn is_due(
        &self,
        member: usize,
        period: u32,
        members: usize,
        periods_per_second: f64,
    ) -> bool {
        (member as u32)
            .wrapping_add(period)
            .is_multiple_of(self.periods_between_digests(members, periods_per_second))
    }
}
