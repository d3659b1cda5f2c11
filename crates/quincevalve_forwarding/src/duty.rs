//! Who acts for all entry VMs: one holder at a time, by a lease and a number that only grows.

use std::time::Duration;

use quincevalve_names::{FencingNumber, TimePoint};
use serde::{Deserialize, Serialize};

/// What stands in the store about the duty: the last holder and the number of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Term {
    /// Grows by one with each change of holder.
    pub number: FencingNumber,
    /// The holder of this term.
    pub holder: String,
    /// The holder of the term before.
    pub previous: String,
}

impl Term {
    /// The term that begins when `holder` takes over.
    pub fn next(&self, holder: &str) -> Self {
        Self {
            number: FencingNumber(self.number.0 + 1),
            holder: holder.to_owned(),
            previous: self.holder.clone(),
        }
    }
}

/// A term that this VM holds.
#[derive(Clone, Debug)]
struct Held {
    number: FencingNumber,
    /// When the newest renewal that was answered was sent.
    renewed: TimePoint,
    ttl: Duration,
    /// Not before this time: the last holder may still act, or a quick return would look like a stale one.
    from: TimePoint,
}

/// Part of a lease that the holder uses; the rest covers calls that are on their way when it ends.
const USED_PART: f64 = 0.8;

/// Whether this VM may act, and with which number.
#[derive(Clone, Debug, Default)]
pub struct DutyLease {
    held: Option<Held>,
}

impl DutyLease {
    /// Takes over a term whose lease was asked for at `asked`.
    ///
    /// Failure: the duty passes from A to B and back to A within a lease. Symptom: the platform can't tell
    /// A's new calls from old ones that were held up. A holder that held the term before last therefore
    /// waits for a whole lease before it acts.
    pub fn record_acquired(
        &mut self,
        me: &str,
        before: &Term,
        term: &Term,
        ttl: Duration,
        asked: TimePoint,
    ) {
        let returned = before.previous == me && before.holder != me;
        let from = if returned { asked + ttl } else { asked };
        self.held = Some(Held { number: term.number, renewed: asked, ttl, from });
    }

    /// Notes a renewal that was sent at `asked` and answered.
    pub fn record_renewal(&mut self, asked: TimePoint) {
        if let Some(held) = &mut self.held {
            held.renewed = held.renewed.max(asked);
        }
    }

    /// Gives the duty up.
    pub fn record_lost(&mut self) {
        self.held = None;
    }

    /// Whether this VM holds a term whose lease has not run out.
    pub fn is_held(&self, now: TimePoint) -> bool {
        self.held.as_ref().is_some_and(|it| now.since(it.renewed) < it.ttl)
    }

    /// The number to act with; `None` where this VM may not act.
    ///
    /// A renewal counts from when it was sent, on a clock that counts suspension: a VM that stood still
    /// finds its lease too old before its next call.
    pub fn fencing_number(&self, now: TimePoint) -> Option<FencingNumber> {
        let held = self.held.as_ref()?;
        let used = held.ttl.mul_f64(USED_PART);
        (now >= held.from && now.since(held.renewed) < used).then_some(held.number)
    }
}
