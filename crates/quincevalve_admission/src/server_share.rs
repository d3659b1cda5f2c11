//! A VM's share of the slots that it sees become free at a server.

use std::{collections::VecDeque, time::Duration};

use quincevalve_names::TimePoint;

/// Time after which other VMs know of a start: three digests, and up to one more interval until it is applied.
const REPORT_DELAY: Duration = Duration::from_millis(240);

/// Limits the starts out of a VM's queue at one server until other VMs know of them.
///
/// All VMs see the free slots of a server, in particular of one that has just started, at about the same time. If each
/// filled them with what it has waiting, the server would get many times the requests that it has slots for, and those
/// would miss their deadlines there.
///
/// # Examples
///
/// ```
/// use quincevalve_admission::ServerShare;
/// use quincevalve_names::TimePoint;
///
/// let mut share = ServerShare::default();
/// share.record_start(TimePoint::ZERO, "i-1");
/// let now = TimePoint::from_millis(20);
/// assert_eq!(share.used_up(now, 8, 8), ["i-1"]);
/// assert!(share.used_up(now, 8, 4).is_empty());
/// assert!(share.used_up(TimePoint::from_millis(240), 8, 8).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct ServerShare<K> {
    starts: VecDeque<(TimePoint, K)>,
}

impl<K> Default for ServerShare<K> {
    fn default() -> Self {
        Self { starts: VecDeque::new() }
    }
}

impl<K> ServerShare<K>
where
    K: Clone + PartialEq,
{
    /// Records a start at a server.
    pub fn record_start(&mut self, now: TimePoint, server: K) {
        self.forget_reported(now);
        self.starts.push_back((now, server));
    }

    /// Returns the servers with `slots` slots at which one of `vms` VMs has used up its share.
    pub fn used_up(&mut self, now: TimePoint, slots: u32, vms: usize) -> Vec<K> {
        self.forget_reported(now);
        let share = (slots as usize).div_ceil(vms.max(1));
        let mut used_up: Vec<K> = Vec::new();
        for (_, server) in &self.starts {
            let count = self.starts.iter().filter(|(_, it)| it == server).count();
            if count >= share && !used_up.contains(server) {
                used_up.push(server.clone());
            }
        }
        used_up
    }

    fn forget_reported(&mut self, now: TimePoint) {
        while self.starts.front().is_some_and(|(at, _)| now.since(*at) >= REPORT_DELAY) {
            self.starts.pop_front();
        }
    }
}
