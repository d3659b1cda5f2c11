//! Limits the requests that this VM sends to a version that isn't known to be good.

use crate::shared_limit::{SharedLimit, VmRank};

/// Fraction of the exposure limit that is used. The rest covers VMs that don't know each other yet, streams that are
/// migrated, and faults that show only during the promotion.
const USED_FRACTION: f64 = 0.9;

/// One VM's share of the requests that a new version may get.
///
/// If many VMs may each send a fraction of a request and all round alike, a version gets nothing and can't be judged,
/// or with 295 VMs gets six times its limit. Each VM rounds by its rank among all VMs, so that the sum is rounded once.
///
/// If VMs restart repeatedly during a roll-out, each start would use its share of the slack again. Only a VM that was
/// running when the order came has a share of the slack.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::{rollout::exposure::Exposure, shared_limit::{VmRank, SharedLimit}};
/// let limit = SharedLimit { ratio: 0.1, slack: 0.0 };
/// let mut exposure = Exposure::new(true);
/// (0..100).for_each(|_| exposure.record_request());
/// let vm_rank = VmRank { rank: 0, vm_count: 1 };
/// let sent = (0..20).filter(|_| exposure.may_send(&limit, vm_rank, 1.0) && exposure.record_sent() > 0);
/// assert_eq!(sent.count(), 9);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exposure {
    requests: u64,
    sent: u64,
    has_slack: bool,
}

impl Exposure {
    /// Creates empty counters. `has_slack` says whether this process was running when the order came.
    pub const fn new(has_slack: bool) -> Self {
        Self { requests: 0, sent: 0, has_slack }
    }

    /// Counts a request for the service, whichever version it is sent to.
    pub fn record_request(&mut self) {
        self.requests += 1;
    }

    /// Counts a request sent to the new version, and returns the number sent so far.
    pub fn record_sent(&mut self) -> u64 {
        self.sent += 1;
        self.sent
    }

    /// Returns whether one more request may be sent to the new version, where `fraction` of the limit may be used so
    /// far.
    pub fn may_send(&self, limit: &SharedLimit, vm_rank: VmRank, fraction: f64) -> bool {
        let slack = if self.has_slack { limit.slack_share(vm_rank.vm_count) } else { 0.0 };
        let allowed = USED_FRACTION * fraction * (limit.ratio_share(self.requests) + slack);
        let rounded =
            (allowed + (vm_rank.rank as f64 + 0.5) / vm_rank.vm_count.max(1) as f64).floor();
        self.sent.saturating_add(1) as f64 <= rounded
    }

    /// Returns the number of requests that this VM sent to the new version.
    pub const fn sent_total(&self) -> u64 {
        self.sent
    }
}
