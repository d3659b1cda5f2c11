//! The VMs that count exits and decide.

use quincevalve_names::{hash_text, rendezvous_score};

use super::Suspect;

/// Number of VMs that count the exits under one suspect: one may be partitioned while another is restarted.
const ARBITERS: usize = 3;

/// Returns the VMs that count the exits under a suspect, in the order in which they decide.
///
/// VMs that know the same names get the same result.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::{poison::arbiters, request_digest::RequestDigest};
/// let names = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"];
/// let chosen = arbiters(RequestDigest(7), &names);
/// assert_eq!(chosen.len(), 3);
/// // They stay the same when another VM is removed.
/// let removed = names.iter().copied().find(|it| !chosen.contains(it)).unwrap();
/// let remaining: Vec<_> = names.iter().copied().filter(|it| *it != removed).collect();
/// assert_eq!(arbiters(RequestDigest(7), &remaining), chosen);
/// ```
pub fn arbiters<'a>(suspect: impl Into<Suspect>, names: &[&'a str]) -> Vec<&'a str> {
    VmRanking::new(names).arbiters(suspect.into())
}

/// The names of all VMs, prepared to choose arbiters among them.
pub(super) struct VmRanking<'a> {
    names: Vec<(&'a str, u64)>,
}

impl<'a> VmRanking<'a> {
    pub(super) fn new(names: &[&'a str]) -> Self {
        Self { names: names.iter().map(|it| (*it, hash_text(it))).collect() }
    }

    pub(super) fn len(&self) -> usize {
        self.names.len()
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &'a str> {
        self.names.iter().map(|(name, _)| *name)
    }

    /// Returns the arbiters of a suspect, in the order in which they decide.
    pub(super) fn arbiters(&self, suspect: Suspect) -> Vec<&'a str> {
        let key = suspect.key();
        let scored = self.names.iter().map(|(name, hash)| (rendezvous_score(key, *hash), *name));
        let mut scored: Vec<_> = scored.collect();
        let count = ARBITERS.min(scored.len());
        if count < scored.len() {
            scored.select_nth_unstable_by(count, |left, right| right.0.cmp(&left.0));
        }
        scored.truncate(count);
        scored.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
        scored.into_iter().map(|(_, name)| name).collect()
    }

    /// Returns the position of a VM among the arbiters of a suspect. A VM that isn't one by its own list of VMs, but is
    /// by that of others, comes last.
    pub(super) fn rank(&self, suspect: Suspect, vm: &str) -> usize {
        let chosen = self.arbiters(suspect);
        chosen.iter().position(|it| *it == vm).unwrap_or(chosen.len())
    }
}
