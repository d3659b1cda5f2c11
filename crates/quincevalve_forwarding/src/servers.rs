//! The backend servers that are known, and which of them may get new work.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use indexmap::{IndexMap, IndexSet};
use quincevalve_names::{
    BackendServerName, DataCentreName, ServerVersion, ServiceName, TimePoint, hash_text, mix,
};
use serde::{Deserialize, Serialize};

use crate::{
    allowance::Allowance,
    load::ServerLoad,
    server_signals::{RequestRate, ServerSignals, SignalNews, ToldSignals},
    shared_limit::Seat,
    store_contact::MIN_OUTAGE_FOR_EXPIRY,
    sums::ServerWork,
};

/// When a server's process started, in Unix milliseconds by its own clock: tells starts under one name apart.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServerStart(pub u64);

/// What a server says of itself in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Which start of the server says it.
    pub start: ServerStart,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// The version of its software.
    pub version: ServerVersion,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it says that it is still slow after its start.
    pub is_cold: bool,
    /// Whether it says that it leaves.
    pub draining: bool,
    /// Whether the platform may take it back at any time.
    pub reclaimable: bool,
    /// The time that it has left, where it says so.
    pub leaves_in: Option<Duration>,
}

/// Why a server gets no new work any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaving {
    /// It announced that it leaves.
    Announced,
    /// Another server answered at its address.
    Replaced,
}

/// Why a server gets nothing from this VM for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Restraint {
    /// It turned this VM away and wants rest.
    Resting {
        /// For so long.
        left: Duration,
    },
    /// It names a limit, of which this VM has used its part.
    Limited {
        /// The limit.
        limit: RequestRate,
    },
}

/// What the removal of a server's entry is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// The server leaves.
    Leaving,
    /// Its entry may have lapsed in an outage of the store while it lives.
    MayHaveLapsed,
}

/// Where a server stands in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listing {
    Listed,
    /// What stands under its name can't be read.
    Unreadable,
    /// The entry was removed at that time.
    Removed(TimePoint),
}

/// A server and what is known of it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its newest entry.
    pub entry: ServerEntry,
    /// The work that it has.
    pub load: ServerLoad,
    listing: Listing,
    leaving: Option<Leaving>,
    limit: Option<RequestRate>,
    /// When the answer came that names the limit, or none.
    limit_named_at: Option<TimePoint>,
    allowance: Allowance,
    /// Until when it wants nothing from this VM.
    rests_until: TimePoint,
    /// When it will be gone, as far as known.
    goes_at: Option<TimePoint>,
    /// When it was first seen.
    pub since: TimePoint,
    /// Stands for this start, the same on all entry VMs: [`start_hash`], kept as it is needed for each placement.
    pub hash: u64,
}

impl Server {
    /// For how long its entry has been missing; `None` while there is one.
    pub fn unlisted_for(&self, now: TimePoint) -> Option<Duration> {
        match self.listing {
            Listing::Removed(at) => Some(now.since(at)),
            Listing::Listed | Listing::Unreadable => None,
        }
    }

    /// Whether it leaves or its entry is gone, so that its end is expected.
    pub fn is_going(&self) -> bool {
        self.leaving.is_some() || matches!(self.listing, Listing::Removed(_))
    }

    /// The requests that it takes from all entry VMs together, where it names a limit.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    /// Takes what its answer says of it, and returns what of that is news.
    pub fn signalled(&mut self, signals: &ServerSignals, now: TimePoint) -> SignalNews {
        let leaving = self.take_leaving(signals.leaving);
        SignalNews { leaving, limit: self.take_limit(signals.limit, now) }
    }

    /// What it said of itself, for other VMs.
    pub fn to_tell(&self, now: TimePoint) -> Option<ToldSignals> {
        let age = now.since(self.limit_named_at?);
        let leaving = self.leaving == Some(Leaving::Announced);
        Some(ToldSignals { limit: self.limit, age, leaving })
    }

    /// Takes what it said to another VM, and returns what of that is news. Of two limits the newer one holds.
    pub fn told(&mut self, told: &ToldSignals, now: TimePoint) -> SignalNews {
        let leaving = self.take_leaving(told.leaving);
        let is_older = |at: TimePoint| now.since(at) <= told.age;
        let limit = !self.limit_named_at.is_some_and(is_older)
            && self.take_limit(told.limit, now.earlier_by(told.age));
        SignalNews { limit, leaving }
    }

    fn take_limit(&mut self, limit: Option<RequestRate>, named_at: TimePoint) -> bool {
        self.limit_named_at = Some(named_at);
        std::mem::replace(&mut self.limit, limit) != limit
    }

    /// Takes it that it turned a request away and wants nothing from this VM for a while. Where it said so before, the
    /// later end holds.
    pub fn rests(&mut self, rest: Duration, now: TimePoint) {
        self.rests_until = self.rests_until.max(now + rest);
    }

    /// Whether it wants nothing from this VM at present.
    pub fn is_resting(&self, now: TimePoint) -> bool {
        now < self.rests_until
    }

    /// That a server leaves is never taken back: an entry or an answer that says nothing of it may be older.
    fn take_leaving(&mut self, leaving: bool) -> bool {
        let is_news = leaving && self.leaving.is_none();
        if is_news {
            self.leaving = Some(Leaving::Announced);
        }
        is_news
    }

    /// Expects the end of a server whose entry is gone without an announcement.
    fn leaves_silently(&mut self, now: TimePoint) {
        let left = if self.entry.reclaimable { SILENT_LEAVE } else { USUAL_LEAVE };
        let goes_at = now + left;
        self.goes_at = Some(self.goes_at.map_or(goes_at, |it| it.min(goes_at)));
    }
}

/// Time from the announcement to the end of a server that doesn't say it: as long as it has to be served
/// without new work, and a little.
const USUAL_LEAVE: Duration = Duration::from_millis(2_600);

/// Time from the removal of a reclaimable server's entry to its end. Some servers say nothing before they are
/// taken back; one second passes at least from the notice to the end, part of it on the entry's way here.
const SILENT_LEAVE: Duration = Duration::from_millis(900);

/// How long an entry that lapsed in an outage of the store may be missing after the store's return.
///
/// Servers that live put their entries back within two seconds; one that is still missing then is gone.
const RETURN_TIME: Duration = Duration::from_millis(2_300);

/// How long after the store's return an outage isn't believed in yet, so that others who had answers all the while have
/// told so: twice the time between two such digests, and their way.
const DOUBT_TIME: Duration = Duration::from_millis(600);

/// How long a server without an entry is remembered, so that running requests keep their load entry.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// A time in which the store answered nobody.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: TimePoint,
    to: TimePoint,
}

impl Outage {
    /// Whether entries that lapsed in it may still be missing.
    fn is_recent(&self, now: TimePoint) -> bool {
        self.to.since(self.from) >= MIN_OUTAGE_FOR_EXPIRY && now.since(self.to) < RETURN_TIME
    }

    /// Whether it was long enough ago that others would have denied it.
    fn is_believed(&self, now: TimePoint) -> bool {
        now.since(self.to) >= DOUBT_TIME
    }
}

/// All servers, by name. A server that starts again may keep its name; it then has none of the work, the memory
/// and the record of its earlier start.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    servers: IndexMap<BackendServerName, Server>,
    /// Servers whose entries were removed, and when, oldest first.
    gone: VecDeque<(TimePoint, BackendServerName)>,
    /// Since when the store answers nobody.
    store_away: Option<TimePoint>,
    /// The last time that it was away.
    outage: Option<Outage>,
    /// This VM's place among all VMs, by which limits that servers name are divided.
    seat: Seat,
    /// Milliseconds of true time at the origin of this VM's clock.
    true_origin_ms: i64,
    /// Servers that could not be reached lately, by data centre.
    unreached: IndexMap<DataCentreName, Vec<(TimePoint, BackendServerName)>>,
}

/// Different servers of a data centre that have to be out of reach for the whole data centre to count so.
const UNREACHED_SERVERS: usize = 2;
/// Time within which they have to be.
const UNREACHED_WITHIN: Duration = Duration::from_millis(1_500);
/// How long a data centre that is out of reach is left alone before a request tries it again.
const CENTRE_PAUSE: Duration = Duration::from_millis(1_500);

fn millis(at: TimePoint) -> i64 {
    (at.as_micros() / 1_000).cast_signed()
}

/// Stands for one start of a server, the same on all entry VMs.
pub fn start_hash(name: &BackendServerName, start: ServerStart) -> u64 {
    mix(hash_text(name.as_str()), start.0)
}

impl ServerTable {
    /// Takes an entry of the list; `true` if the server, or this start of it, wasn't listed before.
    ///
    /// Failure: a server crashes and starts again under its name. Symptom: it gets nothing until it is forgotten,
    /// for its earlier start had announced that it leaves, or it gets too little, for what that start was running
    /// still counts. A new start begins with an empty record, and what an earlier one says late changes nothing.
    pub fn listed(&mut self, name: &BackendServerName, entry: ServerEntry, now: TimePoint) -> bool {
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
            limit_named_at: None,
            rests_until: TimePoint::ZERO,
            allowance: Allowance::default(),
            goes_at: None,
            since: now,
            hash: start_hash(name, entry.start),
            entry: entry.clone(),
        });
        server.entry = entry;
        if server.listing != Listing::Listed && server.leaving.is_none() {
            server.goes_at = None;
        }
        server.listing = Listing::Listed;
        if draining {
            server.leaving.get_or_insert(Leaving::Announced);
            let left = server.entry.leaves_in.unwrap_or(USUAL_LEAVE);
            let goes_at = now + left;
            server.goes_at = Some(server.goes_at.map_or(goes_at, |it| it.min(goes_at)));
        }
        !was_listed
    }

    /// Notes that an entry was removed, and says what that is taken for; `None` where it is known or the server isn't.
    ///
    /// Failure: a reclaimed server's entry is removed without an announcement. Symptom: a second later all its
    /// streams are cut, though there was time to move them. Unless the entry may have lapsed in an outage of
    /// the store, the server is taken for one that goes.
    pub fn removed(&mut self, name: &BackendServerName, now: TimePoint) -> Option<Removal> {
        let may_have_lapsed = self.may_lapse(now, now);
        let server = self.servers.get_mut(name)?;
        if matches!(server.listing, Listing::Removed(_)) {
            return None;
        }
        server.listing = Listing::Removed(now);
        let removal = if may_have_lapsed {
            Removal::MayHaveLapsed
        } else {
            server.leaves_silently(now);
            Removal::Leaving
        };
        self.gone.push_back((now, name.clone()));
        self.forget_gone(now);
        Some(removal)
    }

    /// Forgets servers whose entries were removed long ago.
    fn forget_gone(&mut self, now: TimePoint) {
        while let Some((at, _)) = self.gone.front()
            && now.since(*at) >= FORGET_AFTER
        {
            let Some((at, name)) = self.gone.pop_front() else { return };
            if self.servers.get(&name).is_some_and(|it| it.listing == Listing::Removed(at)) {
                self.servers.swap_remove(&name);
            }
        }
    }

    /// Notes that what stands under a server's name can't be read: another writer's, or spoiled. The server gets
    /// nothing new until it says again what it is; what it runs goes on.
    pub fn unreadable(&mut self, name: &BackendServerName) {
        if let Some(server) = self.servers.get_mut(name) {
            server.listing = Listing::Unreadable;
        }
    }

    /// Whether an entry that went missing at `removed` may have lapsed in an outage of the store, so that it may still be
    /// put back.
    ///
    /// Failure: all that is removed counts as lapsed once the store is back. Symptom: requests reach servers that left
    /// before the outage, or whose removal was read while the store answered. Only what went missing since the
    /// store answered last, and until living servers had time to return, may have lapsed.
    fn may_lapse(&self, removed: TimePoint, now: TimePoint) -> bool {
        if let Some(from) = self.store_away {
            return removed >= from && now.since(from) >= MIN_OUTAGE_FOR_EXPIRY;
        }
        let outage = self.outage.filter(|it| it.is_recent(now));
        outage.is_some_and(|it| removed >= it.from)
    }

    /// Takes a whole list: what isn't in it was removed, and is returned. Entries under the `unreadable` names stand
    /// there, but say nothing.
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
                self.unreadable(&name);
            } else if !listed.contains(&name) {
                missing.extend(self.removed(&name, now).map(|it| (name, it)));
            }
        }
        for (name, entry) in entries {
            self.listed(&name, entry, now);
        }
        self.forget_gone(now);
        missing
    }

    /// Takes evidence from a request that a server leaves.
    ///
    /// Leaving is never taken back: entries lag behind answers, and an old `ready` would bring back a
    /// server that is about to go.
    pub fn leaves(&mut self, name: &BackendServerName, start: ServerStart, why: Leaving) {
        if let Some(server) = self.get_mut(name, start) {
            server.leaving.get_or_insert(why);
        }
    }

    /// Notes that a server could not be reached from here, and returns those that are out of reach by that: it alone, or
    /// all of its data centre.
    ///
    /// Failure: a data centre is cut off, and each of its servers has to be tried to be known for out of
    /// reach. Symptom: a caller for each of them waits for a connection in vain. After two different servers
    /// the whole data centre is left alone for a while.
    pub fn unreachable(
        &mut self,
        name: &BackendServerName,
        start: ServerStart,
        now: TimePoint,
    ) -> Vec<(BackendServerName, ServerStart)> {
        let Some(server) = self.get_mut(name, start) else { return Vec::new() };
        server.load.record_unreachable(now);
        let centre = server.entry.data_centre.clone();
        let lately = self.unreached.entry(centre.clone()).or_default();
        lately.retain(|(at, it)| now.since(*at) <= UNREACHED_WITHIN && it != name);
        lately.push((now, name.clone()));
        if lately.len() < UNREACHED_SERVERS {
            return vec![(name.clone(), start)];
        }
        let mut out_of_reach = Vec::new();
        for (name, server) in &mut self.servers {
            if server.entry.data_centre == centre {
                server.load.pause(CENTRE_PAUSE, now);
                out_of_reach.push((name.clone(), server.entry.start));
            }
        }
        out_of_reach
    }

    /// Notes that the store has answered nobody since that moment. Where it was back for less time than entries need to
    /// return, it is the same outage.
    pub fn store_lost(&mut self, since: TimePoint) {
        let before = self.outage.take().filter(|it| it.is_recent(since));
        self.store_away.get_or_insert(before.map_or(since, |it| it.from));
    }

    /// Whether the store is taken for away.
    pub fn is_store_away(&self) -> bool {
        self.store_away.is_some()
    }

    /// Notes that the store answers again.
    pub fn store_found(&mut self, now: TimePoint) {
        if let Some(from) = self.store_away.take() {
            self.outage = Some(Outage { from, to: now });
        }
    }

    /// Notes that the store had answered others while it answered nobody who was heard: what was removed has not
    /// lapsed, and its servers leave.
    pub fn store_never_away(&mut self, now: TimePoint) {
        self.store_away = None;
        self.outage = None;
        let removed = |it: &&mut Server| matches!(it.listing, Listing::Removed(_));
        for server in self.servers.values_mut().filter(removed) {
            server.leaves_silently(now);
        }
    }

    /// Takes this VM's place among all VMs, and true time. Without them a VM keeps a server's limit as if it were alone.
    pub fn set_seat(&mut self, seat: Seat, true_ms: i64, now: TimePoint) {
        self.seat = seat;
        self.true_origin_ms = true_ms - millis(now);
    }

    /// Why a server gets nothing from this VM at present though it may get new work, for what it said of itself.
    pub fn restraint(&self, server: &Server, now: TimePoint) -> Option<Restraint> {
        if server.is_resting(now) {
            return Some(Restraint::Resting { left: server.rests_until.since(now) });
        }
        let limit = server.limit?;
        let (seat, true_ms) = (self.seat, self.true_ms(now));
        let has_left = server.allowance.has_left(limit, server.hash, seat, true_ms);
        (!has_left).then_some(Restraint::Limited { limit })
    }

    /// Takes one request out of what a server's limit leaves to this VM.
    pub fn spend_allowance(
        &mut self,
        name: &BackendServerName,
        start: ServerStart,
        now: TimePoint,
    ) -> bool {
        let (seat, true_ms) = (self.seat, self.true_ms(now));
        let Some(server) = self.get_mut(name, start) else { return false };
        let Some(limit) = server.limit else { return true };
        server.allowance.spend(limit, server.hash, seat, true_ms)
    }

    /// Until servers of these limits leave room for this VM's next request, on average.
    pub(crate) fn wait_for_allowance(&self, limits: &[RequestRate]) -> Duration {
        let per_second: f64 = limits.iter().map(|it| it.per_second()).sum();
        let seconds = self.seat.of as f64 / per_second;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn true_ms(&self, now: TimePoint) -> i64 {
        self.true_origin_ms + millis(now)
    }

    /// Whether a server may get new work.
    ///
    /// Failure: the store was away, entries lapsed meanwhile, and all servers look gone at its return.
    /// Symptom: every request is refused for two seconds. Entries that went missing around an outage
    /// therefore count until the time has passed in which living servers put theirs back.
    ///
    /// Failure: a VM gets no processor time for two seconds, and its first answer of the store looks like the end of an
    /// outage. Symptom: until others have told it otherwise, requests reach servers that left meanwhile. At first
    /// what is missing is a last resort only.
    pub fn is_usable(&self, server: &Server, now: TimePoint) -> bool {
        if server.leaving.is_some() {
            return false;
        }
        match server.listing {
            Listing::Listed => true,
            Listing::Unreadable => false,
            Listing::Removed(at) => {
                let is_believed = self.outage.is_some_and(|it| it.is_believed(now));
                is_believed && self.may_lapse(at, now)
            }
        }
    }

    /// Whether the list may lack servers that live: their entries lapse in an outage of the store, and are back some
    /// time after it.
    pub fn may_lack_entries(&self, now: TimePoint) -> bool {
        match self.store_away {
            Some(since) => now.since(since) >= MIN_OUTAGE_FOR_EXPIRY,
            None => self.outage.is_some_and(|it| it.is_recent(now)),
        }
    }

    /// Whether a server's entry may have lapsed while it lives, so lately that it isn't back yet.
    fn may_have_lapsed(&self, server: &Server, now: TimePoint) -> bool {
        let Listing::Removed(at) = server.listing else { return false };
        let is_late = now.since(at) >= RETURN_TIME;
        server.leaving.is_none() && !is_late && self.may_lapse(at, now)
    }

    /// Whether a server may get a request: it is usable, or no other of its service is and its entry may only have
    /// lapsed.
    ///
    /// Failure: all entries lapse in an outage, and a VM that can't read the store yet is told so. Symptom: it refuses
    /// every request for two seconds. A server that was removed is a last resort only: where others are
    /// listed, a single removal means that it leaves.
    pub fn may_take(&self, server: &Server, now: TimePoint) -> bool {
        self.is_usable(server, now)
            || (self.may_have_lapsed(server, now) && !self.has_usable(&server.entry.service, now))
    }

    fn has_usable(&self, service: &ServiceName, now: TimePoint) -> bool {
        let mut of_service = self.servers.values().filter(|it| it.entry.service == *service);
        of_service.any(|it| self.is_usable(it, now))
    }

    /// When that start of a server will be gone, if it leaves, as far as known.
    pub fn goes_at(&self, name: &BackendServerName, start: ServerStart) -> Option<TimePoint> {
        self.servers.get(name).filter(|it| it.entry.start == start)?.goes_at
    }

    /// A server by name.
    pub fn get(&self, name: &BackendServerName) -> Option<&Server> {
        self.servers.get(name)
    }

    /// A server by name, to change its load, if it hasn't started again since `start`.
    ///
    /// Failure: a request that an earlier start ran ends after the new one was listed. Symptom: its work is taken
    /// off the new start, which looks idle and is sent too much.
    pub fn get_mut(&mut self, name: &BackendServerName, start: ServerStart) -> Option<&mut Server> {
        self.servers.get_mut(name).filter(|it| it.entry.start == start)
    }

    /// The entries that stand in the list, as other VMs should know them: a server may have said that it leaves before
    /// its entry does.
    pub fn listed_entries(&self) -> impl Iterator<Item = (BackendServerName, ServerEntry)> {
        let listed = self.servers.iter().filter(|(_, it)| it.listing == Listing::Listed);
        listed.map(|(name, it)| {
            let draining = it.entry.draining || it.leaving == Some(Leaving::Announced);
            (name.clone(), ServerEntry { draining, ..it.entry.clone() })
        })
    }

    /// All servers that are remembered.
    pub fn all(&self) -> impl Iterator<Item = (&BackendServerName, &Server)> {
        self.servers.iter()
    }

    /// All servers that are remembered, to change their load.
    pub fn all_mut(&mut self) -> impl Iterator<Item = (&BackendServerName, &mut Server)> {
        self.servers.iter_mut()
    }

    /// This VM's own work at servers, for its peers.
    pub fn own_work(&self, now: TimePoint) -> ServerWork {
        let busy = self.servers.values().filter(|it| it.load.has_work());
        let work = busy.map(|it| (it.hash, it.load.own_work(now)));
        work.filter(|(_, it)| it.is_significant()).collect()
    }

    /// Takes the work of all other VMs; servers that aren't named have none that matters.
    pub fn set_others(&mut self, works: &ServerWork, now: TimePoint) {
        for server in self.servers.values_mut() {
            let work = works.get(&server.hash).copied().unwrap_or_default();
            server.load.set_peer_work(work, now);
        }
    }

    /// The servers of a service that may get new work.
    pub fn usable<'a>(
        &'a self,
        service: &'a ServiceName,
        now: TimePoint,
    ) -> impl Iterator<Item = (&'a BackendServerName, &'a Server)> {
        let has_usable = self.has_usable(service, now);
        let of_service = self.servers.iter().filter(move |(_, it)| it.entry.service == *service);
        of_service.filter(move |(_, it)| {
            self.is_usable(it, now) || (!has_usable && self.may_have_lapsed(it, now))
        })
    }
}
