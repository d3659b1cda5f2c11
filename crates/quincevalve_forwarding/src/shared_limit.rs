//! Limits over all entry VMs that each VM enforces by itself.

/// A limit on the sum over all entry VMs: a ratio of all requests, plus a constant slack.
///
/// Each VM spends a ratio of its own requests and its share of the slack, so the sum stays below the limit without
/// coordination between the VMs.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::shared_limit::SharedLimit;
/// let limit = SharedLimit { ratio: 0.1, slack: 50.0 };
/// let shares: f64 = [100, 300].iter().map(|it| limit.share(*it, 2)).sum();
/// assert!(shares <= 0.1 * 400.0 + 50.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedLimit {
    /// Units allowed per request.
    pub ratio: f64,
    /// Units allowed beyond that, over all entry VMs.
    pub slack: f64,
}

impl SharedLimit {
    /// Returns the share of one of `vm_count` entry VMs that has received `requests` requests.
    pub fn share(&self, requests: u64, vm_count: usize) -> f64 {
        self.ratio_share(requests) + self.slack_share(vm_count)
    }

    /// Returns the share that is earned by requests.
    pub fn ratio_share(&self, requests: u64) -> f64 {
        self.ratio * requests as f64
    }

    /// Returns the share of the slack of one of `vm_count` entry VMs.
    pub fn slack_share(&self, vm_count: usize) -> f64 {
        self.slack / vm_count.max(1) as f64
    }
}

/// Rank of this VM among all VMs, in an order that is the same on every VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmRank {
    /// Rank, from 0.
    pub rank: usize,
    /// Number of all VMs.
    pub vm_count: usize,
}

impl Default for VmRank {
    fn default() -> Self {
        Self::ALONE
    }
}

impl VmRank {
    /// Rank of a VM that knows no other.
    pub const ALONE: Self = Self { rank: 0, vm_count: 1 };

    /// Returns this VM's share of a whole number of requests; the shares of all VMs add up to it. `rotation` determines
    /// which VMs get the remainder.
    ///
    /// # Examples
    ///
    /// ```
    /// use quincevalve_forwarding::shared_limit::VmRank;
    /// let shares = |rotation| (0..3).map(move |rank| VmRank { rank, vm_count: 3 }.share_of(7, rotation));
    /// assert_eq!(shares(0).collect::<Vec<_>>(), [3, 2, 2]);
    /// assert_eq!(shares(u64::MAX / 2).collect::<Vec<_>>(), [2, 2, 3]);
    /// ```
    pub fn share_of(self, requests: u64, rotation: u64) -> u64 {
        let vm_count = self.vm_count.max(1) as u64;
        requests / vm_count + u64::from(self.rotated_rank(rotation) < requests % vm_count)
    }

    /// Returns this VM's rank after the order was rotated by `rotation`, a fraction of a full turn in units of 2⁻⁶⁴.
    fn rotated_rank(self, rotation: u64) -> u64 {
        let vm_count = self.vm_count.max(1) as u64;
        let first = ((u128::from(rotation) * u128::from(vm_count)) >> u64::BITS) as u64;
        (self.rank as u64 + first) % vm_count
    }
}
