//! A bound over all entry VMs that each keeps for itself.

/// What all entry VMs together may do: so much for each request, and so much beyond.
///
/// Each VM spends a ratio of its own requests and its part of the slack, so the sum stays below the limit without
/// the VMs having to agree.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::shared_limit::SharedLimit;
/// let limit = SharedLimit { ratio: 0.1, slack: 50.0 };
/// let parts: f64 = [100, 300].iter().map(|it| limit.part(*it, 2)).sum();
/// assert!(parts <= 0.1 * 400.0 + 50.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedLimit {
    /// Allowed for each request.
    pub ratio: f64,
    /// Allowed beyond that, over all entry VMs.
    pub slack: f64,
}

impl SharedLimit {
    /// The part of one of `vms` entry VMs that has had so many requests.
    pub fn part(&self, requests: u64, vms: usize) -> f64 {
        self.ratio_part(requests) + self.slack_part(vms)
    }

    /// What requests alone allow.
    pub fn ratio_part(&self, requests: u64) -> f64 {
        self.ratio * requests as f64
    }

    /// What one of `vms` entry VMs may do beyond it.
    pub fn slack_part(&self, vms: usize) -> f64 {
        self.slack / vms.max(1) as f64
    }
}

/// This VM's place among all VMs, in the same order everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    /// From 0.
    pub rank: usize,
    /// All VMs.
    pub of: usize,
}

impl Default for Seat {
    fn default() -> Self {
        Self::ALONE
    }
}

impl Seat {
    /// That of a VM that knows no other.
    pub const ALONE: Self = Self { rank: 0, of: 1 };

    /// This VM's part of a whole number of requests; the parts of all VMs add up to it. What can't be divided evenly
    /// goes to other VMs with each `turn`.
    ///
    /// # Examples
    ///
    /// ```
    /// use quincevalve_forwarding::shared_limit::Seat;
    /// let parts = |turn| (0..3).map(move |rank| Seat { rank, of: 3 }.part_of(7, turn));
    /// assert_eq!(parts(0).collect::<Vec<_>>(), [3, 2, 2]);
    /// assert_eq!(parts(u64::MAX / 2).collect::<Vec<_>>(), [2, 2, 3]);
    /// ```
    pub fn part_of(self, requests: u64, turn: u64) -> u64 {
        let of = self.of.max(1) as u64;
        requests / of + u64::from(self.place(turn) < requests % of)
    }

    /// This VM's place where the order begins with another VM each `turn`.
    fn place(self, turn: u64) -> u64 {
        let of = self.of.max(1) as u64;
        let first = ((u128::from(turn) * u128::from(of)) >> u64::BITS) as u64;
        (self.rank as u64 + first) % of
    }
}
