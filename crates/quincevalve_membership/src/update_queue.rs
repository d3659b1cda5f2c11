//! Queue of members whose updates still have to be disseminated.

use quincevalve_names::EntryVmName;
use rustc_hash::FxHashMap;

/// Counts how often each member's update was sent; the least often sent updates are sent first.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateQueue {
    sends: FxHashMap<EntryVmName, u32>,
}

impl UpdateQueue {
    /// Queues the member's update with a send count of 0.
    pub(crate) fn push(&mut self, name: &EntryVmName) {
        self.sends.insert(name.clone(), 0);
    }

    /// Selects up to `limit` updates for one message.
    ///
    /// An update is removed once it was sent often enough to have reached all members with high probability: about
    /// three times the binary logarithm of the number of members.
    pub(crate) fn take(&mut self, limit: usize, members: usize) -> Vec<EntryVmName> {
        let max_sends = 3 * (usize::BITS - members.leading_zeros()) + 1;
        let mut order: Vec<_> =
            self.sends.iter().map(|(name, sends)| (*sends, name.clone())).collect();
        order.sort_unstable();
        order.truncate(limit);
        for (sends, name) in &order {
            if sends + 1 >= max_sends {
                self.sends.remove(name);
            } else {
                self.sends.insert(name.clone(), sends + 1);
            }
        }
        order.into_iter().map(|it| it.1).collect()
    }
}
