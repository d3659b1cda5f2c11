//! The duty to act for all entry VMs, held by one VM at a time under a lease and a fencing number.

use std::time::Duration;

use quincevalve_names::{FencingNumber, Scaled, TimePoint};
use serde::{Deserialize, Serialize};

/// A term of the duty, as stored: its holder and its fencing number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Term {
    /// Fencing number; grows by one with each change of holder.
    pub number: FencingNumber,
    /// The holder of this term.
    pub holder: String,
    /// The holder of the previous term.
    pub previous: String,
}

/// Number of fencing numbers of one era of the store.
const NUMBERS_PER_ERA: u64 = 1 << 20;
/// A number that no era reaches.
const MAX_NUMBER: u64 = 1 << 62;

impl Term {
    /// Returns the term that begins when `holder` takes over in an era of the store.
    ///
    /// A store that returns from an older copy has lost the newest terms. The numbers of an era are above those of all
    /// earlier ones, so that none is used twice.
    pub fn next(&self, holder: &str, era: u64) -> Self {
        let first = era.saturating_mul(NUMBERS_PER_ERA);
        let number = match self.number.0 {
            // Another writer's number. Those of the next era are above all that this one has given out.
            number if number >= MAX_NUMBER => first.saturating_add(NUMBERS_PER_ERA),
            number => number.max(first),
        };
        Self {
            number: FencingNumber(number.saturating_add(1)),
            holder: holder.to_owned(),
            previous: self.holder.clone(),
        }
    }

    /// Returns the era of the store in which the term began; 0 if there was no term.
    pub fn era(&self) -> u64 {
        self.number.0 / NUMBERS_PER_ERA
    }
}

/// A term that this VM holds.
#[derive(Clone, Debug)]
struct HeldTerm {
    number: FencingNumber,
    /// Time at which the newest answered renewal was sent.
    renewal_sent_at: TimePoint,
    ttl: Duration,
    /// Earliest time to act: before it, the last holder may still act, or calls after a quick return would look like
    /// delayed ones.
    acts_from: TimePoint,
}

/// Fraction of a lease during which the holder may act; the rest covers calls that are in flight when it ends.
const USABLE_FRACTION: f64 = 0.8;

/// This VM's lease on the duty, if it holds one.
#[derive(Clone, Debug, Default)]
pub struct DutyLease {
    held: Option<HeldTerm>,
}

impl DutyLease {
    /// Records that this VM took over a term whose lease was requested at `requested`. `may_have_lost_terms` says
    /// whether the store may have lost terms that followed `before`.
    ///
    /// If the duty passes from A to B and back to A within one lease, the platform can't distinguish A's new calls from
    /// delayed old ones. A holder that also held the term before the previous holder's therefore waits for a whole
    /// lease before it acts. So does a holder after a loss of terms: the holder of a lost term acts until its lease would
    /// have ended.
    pub fn record_acquired(
        &mut self,
        me: &str,
        before: &Term,
        term: &Term,
        ttl: Duration,
        requested: TimePoint,
        may_have_lost_terms: bool,
    ) {
        let returned = before.previous == me && before.holder != me;
        let must_wait = returned || may_have_lost_terms;
        let acts_from = if must_wait { requested + ttl } else { requested };
        self.held =
            Some(HeldTerm { number: term.number, renewal_sent_at: requested, ttl, acts_from });
    }

    /// Records an answered renewal that was sent at `sent`.
    pub fn record_renewal(&mut self, sent: TimePoint) {
        if let Some(held) = &mut self.held {
            held.renewal_sent_at = held.renewal_sent_at.max(sent);
        }
    }

    /// Records that the duty was lost.
    pub fn record_lost(&mut self) {
        self.held = None;
    }

    /// Returns whether this VM holds a term whose lease hasn't expired.
    pub fn is_held(&self, now: TimePoint) -> bool {
        self.held.as_ref().is_some_and(|it| now.since(it.renewal_sent_at) < it.ttl)
    }

    /// Returns the fencing number to act with, or `None` if this VM may not act.
    ///
    /// A renewal counts from when it was sent, on a clock that includes time spent suspended: a VM that was paused
    /// finds its lease too old before its next call.
    pub fn fencing_number(&self, now: TimePoint) -> Option<FencingNumber> {
        let held = self.held.as_ref()?;
        let usable = held.ttl.scaled(USABLE_FRACTION);
        (now >= held.acts_from && now.since(held.renewal_sent_at) < usable).then_some(held.number)
    }
}
