//! Whether the store is reachable, as far as this VM observes it and other VMs report it.

use std::time::Duration;

use quincevalve_names::TimePoint;

/// Shortest outage of the store in which entries can expire. Their leases last three heartbeats of at least one second,
/// and the last heartbeat may be one interval old when the outage begins.
pub const MIN_OUTAGE_FOR_EXPIRY: Duration = Duration::from_secs(2);

/// A time span in which the store is known to have answered some VM, without a gap long enough for entries to expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContactSpan {
    /// The earliest known point of the span.
    pub since: TimePoint,
    /// The latest known point of the span.
    pub newest: TimePoint,
}

impl ContactSpan {
    /// Creates the span of one answered request, which was sent at `sent_at`.
    pub fn at(sent_at: TimePoint) -> Self {
        Self { since: sent_at, newest: sent_at }
    }

    /// Returns whether the gap between this span and `later` is too short for entries to expire.
    fn is_contiguous_with(&self, later: &Self) -> bool {
        later.since.since(self.newest) < MIN_OUTAGE_FOR_EXPIRY
    }
}

/// What a recorded contact span changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreUpdate {
    /// The store's state is unchanged.
    Unchanged,
    /// The store answers again after an outage. No known VM had an answer since `since`: entries may have expired.
    Returned {
        /// The last known answer before the outage.
        since: TimePoint,
    },
    /// The store answered other VMs throughout: only this VM was cut off, and no entries have expired.
    NoOutage,
}

/// Tracks when the store answered any VM.
///
/// If the store rejects one VM, or a network partition separates them, that VM alone can't distinguish this from an
/// outage of the store. It would assume that the entries of servers that left meanwhile have merely expired, and send
/// these servers requests until they stop. Each VM therefore reports the span in which the store is known to have
/// answered, and overlapping spans are merged: one VM that can read the store proves to all that there is no outage.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::store_contact::{ContactSpan, StoreContact, StoreUpdate};
/// use quincevalve_names::TimePoint;
/// let ms = TimePoint::from_millis;
/// let mut contact = StoreContact::default();
/// contact.record(ContactSpan::at(ms(1_000)));
/// assert_eq!(contact.record(ContactSpan::at(ms(9_000))), StoreUpdate::Returned { since: ms(1_000) });
/// let reported = ContactSpan { since: ms(500), newest: ms(8_900) };
/// assert_eq!(contact.record(reported), StoreUpdate::NoOutage);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreContact {
    newest: Option<ContactSpan>,
    /// The span before the newest gap.
    before_gap: Option<ContactSpan>,
}

impl StoreContact {
    /// Records a span in which the store answered this VM or a VM that reported it.
    pub fn record(&mut self, span: ContactSpan) -> StoreUpdate {
        let Some(known) = self.newest else {
            self.newest = Some(span);
            return StoreUpdate::Unchanged;
        };
        if !known.is_contiguous_with(&span) {
            self.before_gap = Some(known);
            self.newest = Some(span);
            return StoreUpdate::Returned { since: known.newest };
        }
        if !span.is_contiguous_with(&known) {
            // `span` ended long before the known span began.
            return StoreUpdate::Unchanged;
        }
        let joined = ContactSpan {
            since: known.since.min(span.since),
            newest: known.newest.max(span.newest),
        };
        match self.before_gap {
            Some(before) if before.is_contiguous_with(&joined) => {
                self.before_gap = None;
                self.newest = Some(ContactSpan { since: before.since.min(joined.since), ..joined });
                StoreUpdate::NoOutage
            }
            _ => {
                self.newest = Some(joined);
                StoreUpdate::Unchanged
            }
        }
    }

    /// Returns the time of the newest known answer of the store if entries may have expired since.
    pub fn unreachable_since(&self, now: TimePoint) -> Option<TimePoint> {
        let newest = self.newest?.newest;
        (now.since(newest) >= MIN_OUTAGE_FOR_EXPIRY).then_some(newest)
    }

    /// Returns the newest contact span, for reports to other VMs.
    pub fn newest_span(&self) -> Option<ContactSpan> {
        self.newest
    }
}
