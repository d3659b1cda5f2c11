//! Outages of the store, in which entries of running servers expire.

use std::time::Duration;

use quincevalve_names::{ServiceName, TimePoint};

use super::{Listing, Server, ServerTable};
use crate::store_contact::MIN_OUTAGE_FOR_EXPIRY;

/// How long an entry that expired in a store outage may be missing after the store's return.
///
/// Running servers restore their entries within two seconds; a server whose entry is still missing after that is gone.
const REREGISTRATION_WINDOW: Duration = Duration::from_millis(2_300);

/// Delay after the store's return before an outage counts as confirmed.
///
/// Twice the digest interval plus the delivery time, so that VMs that could read the store throughout have reported it.
const OUTAGE_CONFIRMATION_DELAY: Duration = Duration::from_millis(600);

/// A period in which the store answered no VM.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outage {
    from: TimePoint,
    to: TimePoint,
}

impl Outage {
    /// Returns whether entries that expired in the outage may still be missing.
    fn is_recent(&self, now: TimePoint) -> bool {
        self.to.since(self.from) >= MIN_OUTAGE_FOR_EXPIRY
            && now.since(self.to) < REREGISTRATION_WINDOW
    }

    /// Returns whether enough time has passed for other VMs to have contradicted the outage.
    fn is_confirmed(&self, now: TimePoint) -> bool {
        now.since(self.to) >= OUTAGE_CONFIRMATION_DELAY
    }
}

impl ServerTable {
    /// Returns whether an entry that went missing at `removed` may have expired in a store outage and may still be
    /// restored.
    ///
    /// This holds only for entries that went missing since the store last answered, and only until running servers have
    /// had time to restore them. If every missing entry counted as expired after an outage, requests would reach
    /// servers that left before it, or whose removal was read while the store answered.
    pub(super) fn may_have_expired_in_outage(&self, removed: TimePoint, now: TimePoint) -> bool {
        if let Some(from) = self.store_unreachable_since {
            return removed >= from && now.since(from) >= MIN_OUTAGE_FOR_EXPIRY;
        }
        let last_outage = self.last_outage.filter(|it| it.is_recent(now));
        last_outage.is_some_and(|it| removed >= it.from)
    }

    /// Starts an outage of the store, which has answered no VM since `since`. If the previous outage ended so recently
    /// that entries may still be missing, the outage continues it.
    pub fn begin_store_outage(&mut self, since: TimePoint) {
        let before = self.last_outage.take().filter(|it| it.is_recent(since));
        self.store_unreachable_since.get_or_insert(before.map_or(since, |it| it.from));
    }

    /// Returns whether the store is considered unreachable.
    pub fn is_store_unreachable(&self) -> bool {
        self.store_unreachable_since.is_some()
    }

    /// Ends the current outage: the store answers again.
    pub fn end_store_outage(&mut self, now: TimePoint) {
        if let Some(from) = self.store_unreachable_since.take() {
            self.last_outage = Some(Outage { from, to: now });
        }
    }

    /// Cancels the current and the previous outage, because another VM reports that the store answered throughout.
    /// Removed entries did not expire, so their servers are expected to end.
    pub fn cancel_store_outage(&mut self, now: TimePoint) {
        self.store_unreachable_since = None;
        self.last_outage = None;
        let removed = |it: &&mut Server| matches!(it.listing, Listing::Removed(_));
        for server in self.servers.values_mut().filter(removed) {
            server.expect_silent_end(now);
        }
    }

    /// Returns whether a server may get new requests.
    ///
    /// If the store is unreachable, entries expire, and all servers look removed when it returns; every request would
    /// be rejected for two seconds. Entries that went missing around an outage therefore count until running servers
    /// have had time to restore them.
    ///
    /// If a VM gets no processor time for two seconds, its first answer from the store looks like the end of an outage.
    /// So that requests don't reach servers that left meanwhile, missing entries are only a last resort until the
    /// outage is confirmed.
    pub fn is_usable(&self, server: &Server, now: TimePoint) -> bool {
        if server.leaving.is_some() {
            return false;
        }
        match server.listing {
            Listing::Listed => true,
            Listing::Unreadable => false,
            Listing::Removed(at) => {
                let is_confirmed = self.last_outage.is_some_and(|it| it.is_confirmed(now));
                is_confirmed && self.may_have_expired_in_outage(at, now)
            }
        }
    }

    /// Returns whether entries of running servers may be missing: they expire in a store outage and are restored some
    /// time after it.
    pub fn may_be_incomplete(&self, now: TimePoint) -> bool {
        match self.store_unreachable_since {
            Some(since) => now.since(since) >= MIN_OUTAGE_FOR_EXPIRY,
            None => self.last_outage.is_some_and(|it| it.is_recent(now)),
        }
    }

    /// Returns whether the server may still be running although its entry expired, and has had no time to restore the
    /// entry.
    pub(super) fn may_have_expired(&self, server: &Server, now: TimePoint) -> bool {
        let Listing::Removed(at) = server.listing else { return false };
        let is_overdue = now.since(at) >= REREGISTRATION_WINDOW;
        server.leaving.is_none() && !is_overdue && self.may_have_expired_in_outage(at, now)
    }

    /// Returns whether a server may get a request: it is usable, or no server of its service is and its entry may
    /// merely have expired.
    ///
    /// If all entries expire in an outage and a VM that can't read the store yet learns of their removal, it would
    /// otherwise reject every request for two seconds. A removed server is only a last resort: where others are listed,
    /// a single removal means that the server leaves.
    pub fn is_eligible(&self, server: &Server, now: TimePoint) -> bool {
        self.is_usable(server, now)
            || (self.may_have_expired(server, now) && !self.has_usable(&server.entry.service, now))
    }

    pub(super) fn has_usable(&self, service: &ServiceName, now: TimePoint) -> bool {
        let mut of_service = self.servers.values().filter(|it| it.entry.service == *service);
        of_service.any(|it| self.is_usable(it, now))
    }
}
