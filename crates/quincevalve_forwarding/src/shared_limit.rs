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
