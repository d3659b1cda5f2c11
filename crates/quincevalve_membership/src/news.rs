//! News that still has to be passed on.

use quincevalve_names::EntryVmName;
use rustc_hash::FxHashMap;

/// Counts how often each piece of news was sent; the least sent goes first.
#[derive(Clone, Debug, Default)]
pub(crate) struct News {
    sends: FxHashMap<EntryVmName, u32>,
}

impl News {
    pub(crate) fn add(&mut self, name: &EntryVmName) {
        self.sends.insert(name.clone(), 0);
    }

    /// Takes up to `most` pieces for one message. A piece that was sent often enough to have reached
    /// everybody with high probability (three times the logarithm of the members) is dropped.
    pub(crate) fn take(&mut self, most: usize, members: usize) -> Vec<EntryVmName> {
        let limit = 3 * (usize::BITS - members.leading_zeros()) + 1;
        let mut order: Vec<_> =
            self.sends.iter().map(|(name, sends)| (*sends, name.clone())).collect();
        order.sort_unstable();
        order.truncate(most);
        for (sends, name) in &order {
            if sends + 1 >= limit {
                self.sends.remove(name);
            } else {
                self.sends.insert(name.clone(), sends + 1);
            }
        }
        order.into_iter().map(|it| it.1).collect()
    }
}
