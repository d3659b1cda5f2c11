//! How many requests this VM may send to a version that isn't known to be good.

use crate::shared_limit::{Seat, SharedLimit};

/// Part of the promised limit that is used; the rest covers VMs that aren't known to each other yet, streams that are
/// moved, and what shows while a version takes the traffic over.
const USED_PART: f64 = 0.9;

/// One VM's part of the requests that a new version may get.
///
/// Failure: many VMs have a fraction of a request each to send, and all round alike. Symptom: with 295 VMs the version
/// gets nothing and can't be judged, or six times what it may get. Each VM rounds by its place among all, so that the
/// sum is rounded once.
///
/// Failure: VMs are restarted again and again while a roll-out runs. Symptom: each start spends its part of the slack
/// anew. Only a VM that ran when the order came has a part of it.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::{rollout::exposure::Exposure, shared_limit::{Seat, SharedLimit}};
/// let limit = SharedLimit { ratio: 0.1, slack: 0.0 };
/// let mut exposure = Exposure::new(true);
/// (0..100).for_each(|_| exposure.request());
/// let seat = Seat { rank: 0, of: 1 };
/// let sent = (0..20).filter(|_| exposure.may_send(&limit, seat, 1.0) && exposure.sent() > 0);
/// assert_eq!(sent.count(), 9);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exposure {
    requests: u64,
    sent: u64,
    has_slack: bool,
}

impl Exposure {
    /// `has_slack` says whether this process ran when the order came.
    pub const fn new(has_slack: bool) -> Self {
        Self { requests: 0, sent: 0, has_slack }
    }

    /// Notes a request for the service, wherever it goes.
    pub fn request(&mut self) {
        self.requests += 1;
    }

    /// Notes a request that goes to the new version, and says how many have.
    pub fn sent(&mut self) -> u64 {
        self.sent += 1;
        self.sent
    }

    /// Whether one more may go there, where `part` of what the limit allows may be used by now.
    pub fn may_send(&self, limit: &SharedLimit, seat: Seat, part: f64) -> bool {
        let slack = if self.has_slack { limit.slack_part(seat.of) } else { 0.0 };
        let allowed = USED_PART * part * (limit.ratio_part(self.requests) + slack);
        let rounded = (allowed + (seat.rank as f64 + 0.5) / seat.of.max(1) as f64).floor();
        (self.sent + 1) as f64 <= rounded
    }

    /// Requests that went to the new version from here.
    pub const fn spent(&self) -> u64 {
        self.sent
    }
}
