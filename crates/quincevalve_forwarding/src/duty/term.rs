//! A term of the duty, as stored.

use quincevalve_names::FencingNumber;
use serde::{Deserialize, Serialize};

/// A term of the duty, as stored: its holder and its fencing number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Term {
    /// Fencing number; grows with each change of holder.
    pub number: FencingNumber,
    /// The holder of this term.
    pub holder: String,
    /// The holder of the previous term.
    pub previous: String,
    /// The holders of the terms before, newest first. An empty name stands for holders that the store has lost.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub earlier: Vec<String>,
    /// Wall-clock time until which holders may have made calls whose records the store has lost, in milliseconds since
    /// 1970; 0 if it has lost none. Each term of an era carries on what its first one found.
    #[serde(skip_serializing_if = "is_zero")]
    pub lost_terms_until_ms: i64,
}

/// Number of bits of a store revision's number; the era is above them, also in fencing numbers.
const REVISION_BITS: u32 = 44;
/// A number that no era reaches.
const MAX_NUMBER: u64 = 1 << 62;
/// Number of earlier holders in a stored term: more terms than can begin within a lease.
const EARLIER_HOLDERS: usize = 16;

impl Term {
    /// Returns the term that begins when `holder` takes over. `read_at` is the revision, with its era, at which this
    /// term was read, or the era's first one if there is none.
    ///
    /// Only one takeover of an era can expect this term at that revision, so the number that comes from the revision is
    /// that takeover's alone. It is above all numbers of earlier eras, also of terms that the store has lost.
    ///
    /// ```
    /// use quincevalve_forwarding::duty::Term;
    ///
    /// let era = |era: u64| era << 44;
    /// let known = Term::default().next("vm-1", era(1));
    /// let lost = known.next("vm-2", era(1) + 730);
    /// let next = known.next("vm-3", era(2) + 12);
    /// assert!(known.number < lost.number && lost.number < next.number);
    /// ```
    pub fn next(&self, holder: &str, read_at: u64) -> Self {
        let number = match self.number.0 {
            // Another writer's number. Those of the next era are above all that this one has given out.
            number if number >= MAX_NUMBER => read_at.saturating_add(1 << REVISION_BITS),
            number => number.max(read_at),
        };
        let lost = (era_of(read_at) > self.era()).then(String::new);
        let previous = Some(&self.previous).filter(|it| !it.is_empty());
        let known = previous.into_iter().chain(&self.earlier).cloned();
        Self {
            number: FencingNumber(number.saturating_add(1)),
            holder: holder.to_owned(),
            previous: self.holder.clone(),
            earlier: lost.into_iter().chain(known).take(EARLIER_HOLDERS).collect(),
            lost_terms_until_ms: self.lost_terms_until_ms,
        }
    }

    /// Returns the era of the store in which the term began; 0 if there was no term.
    pub const fn era(&self) -> u64 {
        era_of(self.number.0)
    }

    /// Returns whether a VM may have held the previous term or one of those before.
    pub(super) fn may_have_been_held_before(&self, name: &str) -> bool {
        self.previous == name || self.earlier.iter().any(|it| it == name || it.is_empty())
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
const fn is_zero(it: &i64) -> bool {
    *it == 0
}

/// Returns the era of a revision or fencing number.
pub(super) const fn era_of(revision: u64) -> u64 {
    revision >> REVISION_BITS
}
