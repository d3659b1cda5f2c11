//! The newest changes of a store, to pass them on to those who haven't seen them.

use std::collections::VecDeque;

/// Changes kept: all servers of a large system may start at once. Who lags further behind reads the store itself.
const KEPT: usize = 10_000;

/// Changes after a revision up to another, without a gap.
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

/// A part of a log for one reader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeBatch<C> {
    /// The revision that the reader has to have reached.
    pub after: u64,
    /// The revision that it has reached then.
    pub upto: u64,
    /// The changes between, oldest first.
    pub changes: Vec<(u64, C)>,
}

impl<C> ChangeLog<C>
where
    C: Clone,
{
    /// Begins anew at a revision, for instance after the whole store was read.
    pub fn reset(&mut self, at: u64) {
        self.after = at;
        self.upto = at;
        self.changes.clear();
    }

    /// The newest revision that is known.
    pub fn upto(&self) -> u64 {
        self.upto
    }

    /// Adds the changes that follow, up to a revision.
    pub fn extend(&mut self, changes: impl IntoIterator<Item = (u64, C)>, upto: u64) {
        let known = self.upto;
        self.changes.extend(changes.into_iter().filter(|(at, _)| *at > known));
        self.upto = self.upto.max(upto);
        while self.changes.len() > KEPT {
            if let Some((at, _)) = self.changes.pop_front() {
                self.after = at;
            }
        }
    }

    /// What a reader that has reached `seen` lacks, as far as it weighs at most `budget`; `None` where the log
    /// doesn't go back that far.
    ///
    /// The changes of the first revision are given whatever they weigh, so that a reader always gets on.
    pub fn since<W>(&self, seen: u64, budget: usize, weigh: W) -> Option<ChangeBatch<C>>
    where
        W: Fn(&C) -> usize,
    {
        if seen < self.after {
            return None;
        }
        let first = self.changes.partition_point(|(at, _)| *at <= seen);
        let lacking = self.changes.range(first..);
        let mut changes: Vec<(u64, C)> = Vec::new();
        let mut weight = 0;
        let mut upto = self.upto;
        for (at, change) in lacking {
            weight += weigh(change);
            let is_first_revision = changes.first().is_none_or(|(first, _)| first == at);
            if weight > budget && !is_first_revision {
                // Changes of one revision come together or not at all.
                changes.retain(|(it, _)| it < at);
                upto = at.saturating_sub(1);
                break;
            }
            changes.push((*at, change.clone()));
        }
        Some(ChangeBatch { after: seen, upto: upto.max(seen), changes })
    }
}
