//! The newest changes of a store, kept to relay them to VMs that lack them.

use std::collections::VecDeque;

/// Maximum number of changes kept: all servers of a large system may start at once. A VM that lags further behind reads
/// the store itself.
const MAX_CHANGES: usize = 10_000;

/// The changes between two revisions, without a gap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeLog<C> {
    after: u64,
    upto: u64,
    changes: VecDeque<(u64, C)>,
}

impl<C> Default for ChangeLog<C> {
    fn default() -> Self {
        Self { after: 0, upto: 0, changes: VecDeque::new() }
    }
}

/// Consecutive changes of a log for one reader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeBatch<C> {
    /// Revision that the reader must have reached before.
    pub after: u64,
    /// Revision that the reader has reached with these changes.
    pub upto: u64,
    /// Changes between the two, each with its revision, oldest first.
    pub changes: Vec<(u64, C)>,
}

impl<C> ChangeLog<C>
where
    C: Clone,
{
    /// Drops all changes and restarts the log at a revision, for instance after the whole store was read.
    pub fn reset(&mut self, at: u64) {
        self.after = at;
        self.upto = at;
        self.changes.clear();
    }

    /// Returns the newest known revision.
    pub fn upto(&self) -> u64 {
        self.upto
    }

    /// Appends the changes up to the revision `upto`; changes that the log already covers are dropped.
    pub fn extend(&mut self, changes: impl IntoIterator<Item = (u64, C)>, upto: u64) {
        let known = self.upto;
        self.changes.extend(changes.into_iter().filter(|(at, _)| *at > known));
        self.upto = self.upto.max(upto);
        while self.changes.len() > MAX_CHANGES {
            if let Some((at, _)) = self.changes.pop_front() {
                self.after = at;
            }
        }
    }

    /// Returns the changes after the revision `reached`, up to a total weight of `budget` as measured by `weigh`;
    /// `None` if the log doesn't go back that far.
    ///
    /// The changes of the first revision are returned whatever they weigh, so that a reader always makes progress.
    pub fn since<W>(&self, reached: u64, budget: usize, weigh: W) -> Option<ChangeBatch<C>>
    where
        W: Fn(&C) -> usize,
    {
        if reached < self.after {
            return None;
        }
        let first = self.changes.partition_point(|(at, _)| *at <= reached);
        let missing = self.changes.range(first..);
        let mut changes: Vec<(u64, C)> = Vec::new();
        let mut weight = 0;
        let mut upto = self.upto;
        for (at, change) in missing {
            weight += weigh(change);
            let is_first_revision = changes.first().is_none_or(|(first, _)| first == at);
            if weight > budget && !is_first_revision {
                // Changes of one revision are returned together or not at all.
                changes.retain(|(it, _)| it < at);
                upto = at.saturating_sub(1);
                break;
            }
            changes.push((*at, change.clone()));
        }
        Some(ChangeBatch { after: reached, upto: upto.max(reached), changes })
    }
}
