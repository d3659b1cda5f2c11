//! Known backend servers and their eligibility for new requests.

pub mod reachability;

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use indexmap::{IndexMap, IndexSet};
use quincevalve_names::{
    BackendServerName, DataCentreName, ServerVersion, ServiceName, TimePoint, hash_text, mix,
};
use serde::{Deserialize, Serialize};

use self::reachability::UnreachableServers;
use crate::{
    allowance::Allowance,
    load::ServerLoad,
    server_signals::{ReportedSignals, RequestRate, ServerSignals, SignalUpdate},
    shared_limit::VmRank,
    store_contact::MIN_OUTAGE_FOR_EXPIRY,
    sums::ServerWork,
};

/// Start time of a server's process, in Unix milliseconds by its own clock. Distinguishes successive starts under the
/// same name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServerStart(pub u64);

/// A server's own entry in the platform's server list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Start of the process that wrote the entry.
    pub start: ServerStart,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Data centre in which the server runs.
    pub data_centre: DataCentreName,
    /// Software version of the server.
    pub version: ServerVersion,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the server reports that it is still warming up after its start.
    pub is_cold: bool,
    /// Whether the server announces that it leaves.
    pub draining: bool,
    /// Whether the platform may reclaim the server at any time.
    pub reclaimable: bool,
    /// Time until the server's end, if it states one.
    pub leaves_in: Option<Duration>,
}

/// Reason why a server no longer gets new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveReason {
    /// The server announced that it leaves.
    Announced,
    /// A different server answered at its address.
    Replaced,
}

/// Reason why a server temporarily gets no requests from this VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Restraint {
    /// The server rejected a request of this VM and asked for a rest period.
    Resting {
        /// Remaining rest period.
        remaining: Duration,
    },
    /// The server states a rate limit, and this VM has used up its share.
    Limited {
        /// Rate limit over all VMs.
        limit: RequestRate,
    },
    /// The server is brittle, and this VM's requests take up its share of the server's slots.
    Occupied,
}

/// Interpretation of the removal of a server's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// The server leaves.
    Leaving,
    /// The entry may have expired in an outage of the store while the server is still running.
    MayHaveExpired,
}

/// State of a server's entry in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listing {
    Listed,
    /// The value stored under the server's name can't be decoded.
    Unreadable,
    /// The entry was removed at this time.
    Removed(TimePoint),
}

/// A backend server and what this VM knows about it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Newest entry.
    pub entry: ServerEntry,
    /// Load of the server.
    pub load: ServerLoad,
    listing: Listing,
    leaving: Option<LeaveReason>,
    limit: Option<RequestRate>,
    /// Maximum number of rejections in a second, if the server is brittle.
    brittle: Option<u32>,
    /// When the server last stated whether it has a limit and is brittle.
    signals_stated_at: Option<TimePoint>,
    allowance: Allowance,
    /// End of the rest period that the server asked of this VM.
    rest_until: TimePoint,
    /// Expected end of the server.
    expected_stop: Option<TimePoint>,
    /// Time of the first observation of this start.
    pub known_since: TimePoint,
    /// Hash of this start, equal on all entry VMs: [`start_hash`], cached because each placement needs it.
    pub hash: u64,
}

impl Server {
    /// Returns how long the entry has been missing, or `None` while there is one.
    pub fn unlisted_for(&self, now: TimePoint) -> Option<Duration> {
        match self.listing {
            Listing::Removed(at) => Some(now.since(at)),
            Listing::Listed | Listing::Unreadable => None,
        }
    }

    /// Returns whether the server's end is expected: it leaves, or its entry was removed.
    pub fn is_departing(&self) -> bool {
        self.leaving.is_some() || matches!(self.listing, Listing::Removed(_))
    }

    /// Returns the rate limit over all entry VMs, if the server states one.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    /// Returns the maximum number of rejections in a second, if the server is brittle.
    pub fn brittle(&self) -> Option<u32> {
        self.brittle
    }

    /// Applies the signals of an answer and returns which of them changed.
    pub fn apply_signals(&mut self, signals: &ServerSignals, now: TimePoint) -> SignalUpdate {
        let leaving = self.update_leaving(signals.leaving);
        self.signals_stated_at = Some(now);
        let limit = std::mem::replace(&mut self.limit, signals.limit) != signals.limit;
        let brittle = std::mem::replace(&mut self.brittle, signals.brittle) != signals.brittle;
        SignalUpdate { limit, leaving, brittle }
    }

    /// Returns the server's signals to report to other VMs, or `None` if no answer has carried any.
    pub fn signals_to_report(&self, now: TimePoint) -> Option<ReportedSignals> {
        let age = now.since(self.signals_stated_at?);
        let leaving = self.leaving == Some(LeaveReason::Announced);
        Some(ReportedSignals { limit: self.limit, age, leaving, brittle: self.brittle })
    }

    /// Applies signals that another VM reports and returns which of them changed. Of two statements, the later one wins.
    pub fn apply_report(&mut self, report: &ReportedSignals, now: TimePoint) -> SignalUpdate {
        let leaving = self.update_leaving(report.leaving);
        let report_is_older = |at: TimePoint| now.since(at) <= report.age;
        if self.signals_stated_at.is_some_and(report_is_older) {
            return SignalUpdate { leaving, ..SignalUpdate::default() };
        }
        let ReportedSignals { limit, brittle, .. } = *report;
        let signals = ServerSignals { limit, brittle, ..ServerSignals::default() };
        let update = self.apply_signals(&signals, now.saturating_sub(report.age));
        SignalUpdate { leaving, ..update }
    }

    /// Starts or extends the rest period after the server rejected a request and asked for rest. Of two rest periods,
    /// the one that ends later wins.
    pub fn extend_rest(&mut self, rest: Duration, now: TimePoint) {
        self.rest_until = self.rest_until.max(now + rest);
    }

    /// Returns whether the server is in a rest period.
    pub fn is_resting(&self, now: TimePoint) -> bool {
        now < self.rest_until
    }

    /// Marks the server as leaving and returns whether that is new.
    ///
    /// Leaving is never revoked: an entry or answer without the announcement may be older.
    fn update_leaving(&mut self, leaving: bool) -> bool {
        let is_new = leaving && self.leaving.is_none();
        if is_new {
            self.leaving = Some(LeaveReason::Announced);
        }
        is_new
    }

    /// Sets the expected end of a server whose entry was removed without an announcement.
    fn expect_silent_end(&mut self, now: TimePoint) {
        let time_left =
            if self.entry.reclaimable { SILENT_TIME_TO_END } else { DEFAULT_TIME_TO_END };
        let expected_stop = now + time_left;
        self.expected_stop =
            Some(self.expected_stop.map_or(expected_stop, |it| it.min(expected_stop)));
    }
}

/// Time from the announcement to the end of a server that states no time: the period for which a leaving server must
/// still complete its requests without getting new ones, plus a margin.
const DEFAULT_TIME_TO_END: Duration = Duration::from_millis(2_600);

/// Time from the removal of a reclaimable server's entry to its end.
///
/// Some servers announce nothing before they are reclaimed. At least one second passes between the reclaim notice and
/// the end, part of which is spent on the propagation of the removal.
const SILENT_TIME_TO_END: Duration = Duration::from_millis(900);

/// How long an entry that expired in a store outage may be missing after the store's return.
///
/// Running servers restore their entries within two seconds; a server whose entry is still missing after that is gone.
const REREGISTRATION_WINDOW: Duration = Duration::from_millis(2_300);

/// Delay after the store's return before an outage counts as confirmed.
///
/// Twice the digest interval plus the delivery time, so that VMs that could read the store throughout have reported it.
const OUTAGE_CONFIRMATION_DELAY: Duration = Duration::from_millis(600);

/// How long a server without an entry is kept, so that running requests keep their load entry.
const REMOVED_SERVER_TTL: Duration = Duration::from_secs(60);

/// A period in which the store answered no VM.
#[derive(Clone, Copy, Debug)]
struct Outage {
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

/// All known servers, by name.
///
/// A server may keep its name when it restarts; the new start inherits no load, signals or statistics from the earlier
/// one.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    servers: IndexMap<BackendServerName, Server>,
    /// Servers whose entries were removed, with the time of removal, oldest first.
    removed_servers: VecDeque<(TimePoint, BackendServerName)>,
    /// Start of the current outage of the store.
    store_unreachable_since: Option<TimePoint>,
    /// The most recent outage that has ended.
    last_outage: Option<Outage>,
    /// This VM's rank, by which rate limits of servers are divided.
    rank: VmRank,
    /// Wall-clock time at the origin of this VM's clock, in Unix milliseconds.
    wall_clock_origin_ms: i64,
    /// Servers to which this VM can't connect.
    unreachable: UnreachableServers,
}

fn millis(at: TimePoint) -> i64 {
    (at.as_micros() / 1_000).cast_signed()
}

/// Returns a hash of one start of a server, equal on all entry VMs.
pub fn start_hash(name: &BackendServerName, start: ServerStart) -> u64 {
    mix(hash_text(name.as_str()), start.0)
}

impl ServerTable {
    /// Adds or updates a server from its entry. Returns `true` if the server, or this start of it, wasn't listed
    /// before.
    ///
    /// A newer start replaces the earlier one with an empty record: if a crashed server restarts under its name and
    /// inherited the record, its earlier announcement to leave would exclude it until the record expires, and requests
    /// of the earlier start would still count as its load. Entries of an earlier start are ignored.
    pub fn apply_entry(
        &mut self,
        name: &BackendServerName,
        entry: ServerEntry,
        now: TimePoint,
    ) -> bool {
        match self.servers.get(name).map(|it| it.entry.start) {
            Some(known) if entry.start < known => return false,
            Some(known) if entry.start > known => {
                self.servers.swap_remove(name);
            }
            _ => {}
        }
        let was_listed = self.servers.get(name).is_some_and(|it| it.listing == Listing::Listed);
        let draining = entry.draining;
        let server = self.servers.entry(name.clone()).or_insert_with(|| Server {
            load: ServerLoad::default(),
            listing: Listing::Listed,
            leaving: None,
            limit: None,
            brittle: None,
            signals_stated_at: None,
            rest_until: TimePoint::ZERO,
            allowance: Allowance::default(),
            expected_stop: None,
            known_since: now,
            hash: start_hash(name, entry.start),
            entry: entry.clone(),
        });
        server.entry = entry;
        if server.listing != Listing::Listed && server.leaving.is_none() {
            server.expected_stop = None;
        }
        server.listing = Listing::Listed;
        if draining {
            server.leaving.get_or_insert(LeaveReason::Announced);
            let time_left = server.entry.leaves_in.unwrap_or(DEFAULT_TIME_TO_END);
            let expected_stop = now + time_left;
            server.expected_stop =
                Some(server.expected_stop.map_or(expected_stop, |it| it.min(expected_stop)));
        }
        !was_listed
    }

    /// Records the removal of an entry and returns its interpretation, or `None` if the server is unknown or its
    /// removal is already recorded.
    ///
    /// Unless the entry may have expired in a store outage, the server is expected to end soon. The entry of a
    /// reclaimed server can be removed without an announcement; without this rule, its streams would be cut a second
    /// later although there was time to migrate them.
    pub fn remove_entry(&mut self, name: &BackendServerName, now: TimePoint) -> Option<Removal> {
        let may_have_expired = self.may_have_expired_in_outage(now, now);
        let server = self.servers.get_mut(name)?;
        if matches!(server.listing, Listing::Removed(_)) {
            return None;
        }
        server.listing = Listing::Removed(now);
        let removal = if may_have_expired {
            Removal::MayHaveExpired
        } else {
            server.expect_silent_end(now);
            Removal::Leaving
        };
        self.removed_servers.push_back((now, name.clone()));
        self.evict_removed(now);
        Some(removal)
    }

    /// Drops servers whose entries were removed longer than [`REMOVED_SERVER_TTL`] ago.
    fn evict_removed(&mut self, now: TimePoint) {
        while let Some((at, _)) = self.removed_servers.front()
            && now.since(*at) >= REMOVED_SERVER_TTL
        {
            let Some((at, name)) = self.removed_servers.pop_front() else { return };
            if self.servers.get(&name).is_some_and(|it| it.listing == Listing::Removed(at)) {
                self.servers.swap_remove(&name);
            }
        }
    }

    /// Marks a server whose stored entry can't be decoded, because another writer overwrote or corrupted it.
    ///
    /// The server gets no new requests until a valid entry appears; its running requests continue.
    pub fn mark_unreadable(&mut self, name: &BackendServerName) {
        if let Some(server) = self.servers.get_mut(name) {
            server.listing = Listing::Unreadable;
        }
    }

    /// Returns whether an entry that went missing at `removed` may have expired in a store outage and may still be
    /// restored.
    ///
    /// This holds only for entries that went missing since the store last answered, and only until running servers have
    /// had time to restore them. If every missing entry counted as expired after an outage, requests would reach
    /// servers that left before it, or whose removal was read while the store answered.
    fn may_have_expired_in_outage(&self, removed: TimePoint, now: TimePoint) -> bool {
        if let Some(from) = self.store_unreachable_since {
            return removed >= from && now.since(from) >= MIN_OUTAGE_FOR_EXPIRY;
        }
        let last_outage = self.last_outage.filter(|it| it.is_recent(now));
        last_outage.is_some_and(|it| removed >= it.from)
    }

    /// Replaces the whole list and returns the servers whose entries were removed. Entries under the names in
    /// `unreadable` exist but can't be decoded.
    pub fn replace_all(
        &mut self,
        entries: Vec<(BackendServerName, ServerEntry)>,
        unreadable: &[BackendServerName],
        now: TimePoint,
    ) -> Vec<(BackendServerName, Removal)> {
        let names: Vec<_> = self.servers.keys().cloned().collect();
        let unreadable: IndexSet<&BackendServerName> = unreadable.iter().collect();
        let listed: IndexSet<&BackendServerName> = entries.iter().map(|(name, _)| name).collect();
        let mut missing = Vec::new();
        for name in names {
            if unreadable.contains(&name) {
                self.mark_unreadable(&name);
            } else if !listed.contains(&name) {
                missing.extend(self.remove_entry(&name, now).map(|it| (name, it)));
            }
        }
        for (name, entry) in entries {
            self.apply_entry(&name, entry, now);
        }
        self.evict_removed(now);
        missing
    }

    /// Returns whether a start of a server has left: its entry was removed, and not because of an outage of the store.
    pub fn has_left(&self, name: &BackendServerName, start: ServerStart) -> bool {
        self.servers.get(name).is_some_and(|it| {
            it.entry.start == start
                && matches!(it.listing, Listing::Removed(_))
                && it.expected_stop.is_some()
        })
    }

    /// Marks a server as leaving, as an answer or a failed request showed.
    ///
    /// Leaving is never revoked: entries lag behind answers, and an old `ready` entry would bring back a server that is
    /// about to end.
    pub fn mark_leaving(
        &mut self,
        name: &BackendServerName,
        start: ServerStart,
        reason: LeaveReason,
    ) {
        if let Some(server) = self.get_mut(name, start) {
            server.leaving.get_or_insert(reason);
        }
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

    /// Sets this VM's rank and the wall-clock time. Until then, the VM keeps to rate limits as if it were the only one.
    pub fn set_rank(&mut self, rank: VmRank, wall_clock_ms: i64, now: TimePoint) {
        self.rank = rank;
        self.wall_clock_origin_ms = wall_clock_ms - millis(now);
    }

    /// Returns why a server that is otherwise usable currently gets no requests from this VM, according to its own
    /// signals.
    pub fn restraint(&self, server: &Server, now: TimePoint) -> Option<Restraint> {
        if server.is_resting(now) {
            return Some(Restraint::Resting { remaining: server.rest_until.since(now) });
        }
        // A brittle server fails if it has to reject many requests. The shares of all VMs add up to its slots, so that
        // it rejects none, however little they know of each other's newest requests.
        if server.brittle.is_some() {
            let slots = u64::from(server.entry.slots.max(1));
            let share = self.rank.share_of(slots, server.hash);
            if u64::from(server.load.own_requests()) >= share {
                return Some(Restraint::Occupied);
            }
        }
        let limit = server.limit?;
        let (rank, wall_clock_ms) = (self.rank, self.wall_clock_ms(now));
        let is_allowed = server.allowance.has_remaining(limit, server.hash, rank, wall_clock_ms);
        (!is_allowed).then_some(Restraint::Limited { limit })
    }

    /// Takes one request from this VM's share of a server's rate limit. Returns `false` if the share is used up or this
    /// start is unknown.
    pub fn spend_allowance(
        &mut self,
        name: &BackendServerName,
        start: ServerStart,
        now: TimePoint,
    ) -> bool {
        let (rank, wall_clock_ms) = (self.rank, self.wall_clock_ms(now));
        let Some(server) = self.get_mut(name, start) else { return false };
        let Some(limit) = server.limit else { return true };
        server.allowance.try_spend(limit, server.hash, rank, wall_clock_ms)
    }

    /// Returns the mean time until servers with these limits allow this VM's next request.
    pub(crate) fn expected_allowance_wait(&self, limits: &[RequestRate]) -> Duration {
        let per_second: f64 = limits.iter().map(|it| it.per_second()).sum();
        let seconds = self.rank.vm_count as f64 / per_second;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn wall_clock_ms(&self, now: TimePoint) -> i64 {
        self.wall_clock_origin_ms + millis(now)
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
    fn may_have_expired(&self, server: &Server, now: TimePoint) -> bool {
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

    fn has_usable(&self, service: &ServiceName, now: TimePoint) -> bool {
        let mut of_service = self.servers.values().filter(|it| it.entry.service == *service);
        of_service.any(|it| self.is_usable(it, now))
    }

    /// Returns when this start of a server is expected to end, if that is known.
    pub fn expected_stop(&self, name: &BackendServerName, start: ServerStart) -> Option<TimePoint> {
        self.servers.get(name).filter(|it| it.entry.start == start)?.expected_stop
    }

    /// Returns a server by name.
    pub fn get(&self, name: &BackendServerName) -> Option<&Server> {
        self.servers.get(name)
    }

    /// Returns a server by name, mutably, unless it has restarted since `start`.
    ///
    /// A request of an earlier start may end after the new start was listed. If its work were subtracted from the new
    /// start, that would look idle and get too many requests.
    pub fn get_mut(&mut self, name: &BackendServerName, start: ServerStart) -> Option<&mut Server> {
        self.servers.get_mut(name).filter(|it| it.entry.start == start)
    }

    /// Returns the listed entries for other VMs. They include announcements to leave from answers, which precede those
    /// in entries.
    pub fn listed_entries(&self) -> impl Iterator<Item = (BackendServerName, ServerEntry)> {
        let listed = self.servers.iter().filter(|(_, it)| it.listing == Listing::Listed);
        listed.map(|(name, it)| {
            let draining = it.entry.draining || it.leaving == Some(LeaveReason::Announced);
            (name.clone(), ServerEntry { draining, ..it.entry.clone() })
        })
    }

    /// Iterates over all servers that are kept.
    pub fn all(&self) -> impl Iterator<Item = (&BackendServerName, &Server)> {
        self.servers.iter()
    }

    /// Iterates mutably over all servers that are kept.
    pub fn all_mut(&mut self) -> impl Iterator<Item = (&BackendServerName, &mut Server)> {
        self.servers.iter_mut()
    }

    /// Returns this VM's own work at each server, for its peers.
    pub fn own_work(&self, now: TimePoint) -> ServerWork {
        let busy = self.servers.values().filter(|it| it.load.has_work());
        let work = busy.map(|it| (it.hash, it.load.own_work(now)));
        work.filter(|(_, it)| it.is_significant()).collect()
    }

    /// Sets the work of all other VMs. Servers that `peer_work` doesn't contain have no significant work.
    pub fn set_peer_work(&mut self, peer_work: &ServerWork, now: TimePoint) {
        for server in self.servers.values_mut() {
            let work = peer_work.get(&server.hash).copied().unwrap_or_default();
            server.load.set_peer_work(work, now);
        }
    }

    /// Iterates over the servers of a service that may get new requests. If none is usable, these are the servers whose
    /// entries may merely have expired.
    pub fn usable<'a>(
        &'a self,
        service: &'a ServiceName,
        now: TimePoint,
    ) -> impl Iterator<Item = (&'a BackendServerName, &'a Server)> {
        let has_usable = self.has_usable(service, now);
        let of_service = self.servers.iter().filter(move |(_, it)| it.entry.service == *service);
        of_service.filter(move |(_, it)| {
            self.is_usable(it, now) || (!has_usable && self.may_have_expired(it, now))
        })
    }
}
