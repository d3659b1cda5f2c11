//! Known backend servers and their eligibility for new requests.

mod brittle;
pub mod reachability;
mod signals;
mod store_outage;

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use indexmap::{IndexMap, IndexSet};
use quincevalve_names::{
    BackendServerName, DataCentreName, ServerVersion, ServiceName, TimePoint, hash_text, mix,
};
use serde::{Deserialize, Serialize};

use self::{brittle::BrittleServices, reachability::UnreachableServers, store_outage::Outage};
pub use self::{brittle::Robustness, signals::Restraint};
use crate::{
    allowance::Allowance, load::ServerLoad, server_signals::RequestRate, shared_limit::VmRank,
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

    /// Returns whether the server has an entry.
    pub fn is_listed(&self) -> bool {
        self.listing == Listing::Listed
    }

    /// Returns whether the server's end is expected: it leaves, or its entry was removed.
    pub fn is_departing(&self) -> bool {
        self.leaving.is_some() || matches!(self.listing, Listing::Removed(_))
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

/// How long a server without an entry is kept, so that running requests keep their load entry.
const REMOVED_SERVER_TTL: Duration = Duration::from_secs(60);

/// All known servers, by name.
///
/// A server may keep its name when it restarts; the new start inherits no load, signals or statistics from the earlier
/// one, except what its service's servers state together.
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
    /// What services' servers state together.
    brittle_services: BrittleServices,
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
