//! Whether the store answers anybody, as far as this VM and those that it hears know.

use std::time::Duration;

use quincevalve_names::TimePoint;

/// The shortest outage in which entries of the store lapse. They live for three heartbeats of a second or more, and
/// the last one may be a heartbeat old when the outage begins.
pub const LAPSE_AFTER: Duration = Duration::from_secs(2);

/// A span in which the store is known to have answered somebody, without a gap in which entries could have lapsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// The first moment of it that is known.
    pub since: TimePoint,
    /// The newest moment of it that is known.
    pub newest: TimePoint,
}

impl Contact {
    /// The store answered a question that was sent at that moment.
    pub fn at(asked: TimePoint) -> Self {
        Self { since: asked, newest: asked }
    }

    /// Whether no entry can have lapsed between this span and a later one.
    fn reaches(&self, later: &Self) -> bool {
        later.since.since(self.newest) < LAPSE_AFTER
    }
}

/// What news of the store changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreNews {
    /// Nothing.
    Unchanged,
    /// The store answers again. Nobody who is heard had an answer since that moment: entries may have lapsed.
    Returned {
        /// The newest moment before, at which it had answered.
        since: TimePoint,
    },
    /// It had answered others all the while: only this VM was cut off, and nothing has lapsed.
    NeverAway,
}

/// When the store answered anybody.
///
/// Failure: the store turns one VM away, or a cut hides it, and serves all others. Symptom: the VM takes that for an
/// outage of the store, and servers that left meanwhile for servers whose entries lapsed; requests reach them until they
/// end. A VM alone can't tell the two apart. Each VM therefore tells the span in which the store is known to have
/// answered, and spans that overlap are joined: one VM that reads the store proves to all that it stands.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::store_contact::{Contact, StoreContact, StoreNews};
/// use quincevalve_names::TimePoint;
/// let ms = TimePoint::from_millis;
/// let mut contact = StoreContact::default();
/// contact.heard(Contact::at(ms(1_000)));
/// assert_eq!(contact.heard(Contact::at(ms(9_000))), StoreNews::Returned { since: ms(1_000) });
/// let told = Contact { since: ms(500), newest: ms(8_900) };
/// assert_eq!(contact.heard(told), StoreNews::NeverAway);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreContact {
    contact: Option<Contact>,
    /// The span before the newest gap.
    before_gap: Option<Contact>,
}

impl StoreContact {
    /// Takes a span in which the store answered this VM or one that it hears.
    pub fn heard(&mut self, heard: Contact) -> StoreNews {
        let Some(known) = self.contact else {
            self.contact = Some(heard);
            return StoreNews::Unchanged;
        };
        if !known.reaches(&heard) {
            self.before_gap = Some(known);
            self.contact = Some(heard);
            return StoreNews::Returned { since: known.newest };
        }
        if !heard.reaches(&known) {
            // It ended long before what is known began.
            return StoreNews::Unchanged;
        }
        let joined =
            Contact { since: known.since.min(heard.since), newest: known.newest.max(heard.newest) };
        match self.before_gap {
            Some(before) if before.reaches(&joined) => {
                self.before_gap = None;
                self.contact = Some(Contact { since: before.since.min(joined.since), ..joined });
                StoreNews::NeverAway
            }
            _ => {
                self.contact = Some(joined);
                StoreNews::Unchanged
            }
        }
    }

    /// The newest moment at which the store answered, if that is so long ago that entries may lapse.
    pub fn away_since(&self, now: TimePoint) -> Option<TimePoint> {
        let newest = self.contact?.newest;
        (now.since(newest) >= LAPSE_AFTER).then_some(newest)
    }

    /// The newest span in which it answered, to tell others.
    pub fn contact(&self) -> Option<Contact> {
        self.contact
    }
}
