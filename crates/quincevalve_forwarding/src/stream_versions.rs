//! Keeps streams at the software version that began them.
//!
//! What two versions of a service write doesn't fit together, and servers don't check it. A caller whose stream breaks
//! off takes it up at any VM, and the VM that began it may be dead, frozen or partitioned:
//!
//! 1. While a service has one version only, its streams go on at that version. A VM relies on this only while its view
//!    of the store was confirmed recently ([`StreamVersions::version_of`]). A second version begins no streams that
//!    callers may take up until every VM either knows of it or no longer relies on the first one
//!    ([`StreamVersions::starting_version`]).
//! 2. Otherwise, the VM that passes a stream's first event on replicates it to a few VMs that every VM derives from
//!    the stream's key ([`PeerTable::replica_holders`](crate::peer_table::PeerTable::replica_holders)), before the event
//!    leaves. Records of streams that began while there was one version are replicated as soon as there is another.
//! 3. The store's entry of a service names its recent versions, for VMs that start: the old version's servers may have
//!    left before them. A VM that finds no entry, or one of an earlier era of the store, concludes nothing until it has
//!    watched the store for long enough ([`PastVersions`]), and a second version begins no streams before the entry names
//!    it.
//! 4. A VM at which a stream is taken up, and that doesn't know it, queries these VMs. A stream that none of them knows is
//!    refused.

pub mod messages;
mod observed;
mod past;
mod query;
mod records;

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::{
    ClientAccountName, Scaled, ServerVersion, ServiceName, TimePoint, hash_parts,
};
use serde::{Deserialize, Serialize};

use self::{
    messages::{QueryAnswer, StreamRecord},
    observed::{ObservedVersions, VERSION_TTL},
    records::{RecordedVersion, StreamRecords},
};
pub use self::{
    past::{EntryUpdate, PastVersions, VersionEntry},
    query::{QUERY_TIMEOUT, QueryStep, VersionQuery},
};
use crate::peer_table::ReplicaCounts;

/// Fraction of the time in which a change must be in force for which a VM relies on a confirmed view. VMs in contact with
/// the store, or with VMs that are, confirm their view several times within it.
const VIEW_VALIDITY_FRACTION: f64 = 0.6;
/// Maximum time for which a second version begins no streams because the store's entry doesn't name it. The store may
/// take no writes.
const MAX_ENTRY_WAIT: Duration = Duration::from_secs(6);
/// The VMs that a stream's record is replicated to.
pub const REPLICAS: ReplicaCounts = ReplicaCounts { own_centre: 1, anywhere: 3 };
/// Number of times that a record is sent to each replica, since datagrams get lost.
const SEND_COUNT: u8 = 2;
/// Maximum time for which a record is kept.
const MAX_RECORD_TTL: Duration = Duration::from_secs(300);

/// Identifies a stream over its caller's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream whose first event the attempt `attempt` brought. Attempts of other routes and
    /// accounts have other keys.
    ///
    /// ```
    /// use quincevalve_forwarding::stream_versions::StreamKey;
    /// let of = |account: &str| StreamKey::of("cf98b2bc", "chat", Some(&account.into()));
    /// assert_ne!(of("desk"), of("hotel"));
    /// ```
    pub fn of(attempt: &str, route: &str, account: Option<&ClientAccountName>) -> Self {
        let account = account.map_or("", |it| it.as_str());
        Self(hash_parts([attempt, route, account].map(str::as_bytes)))
    }
}

/// Identifies a software version of a service, equal on all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VersionTag(pub u64);

impl VersionTag {
    /// Returns the tag of a version. The same text under two services gives two tags.
    pub fn of(service: &ServiceName, version: &ServerVersion) -> Self {
        Self(hash_parts([service.as_str(), version.as_str()].map(str::as_bytes)))
    }
}

/// What this VM knows of the version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownVersion {
    /// A record of the stream names it.
    Recorded(VersionTag),
    /// The service has had no other version for as long as a stream may be taken up.
    Sole(VersionTag),
    /// Nothing.
    Unknown,
}

/// One VM's knowledge of the versions that began streams.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_forwarding::stream_versions::{
///     KnownVersion, PastVersions, StreamKey, StreamVersions, VersionTag,
/// };
/// use quincevalve_names::TimePoint;
/// let (service, v1, v2) = ("engines".into(), "v1".into(), "v2".into());
/// let mut versions = StreamVersions::new(Duration::from_secs(2), PastVersions::None);
/// let confirmed = Some(TimePoint::from_millis(1_000));
/// versions.observe([(&service, &v1)], confirmed, TimePoint::from_millis(1_000));
/// let only = KnownVersion::Sole(VersionTag::of(&service, &v1));
/// let known = |it: &StreamVersions, ms| {
///     it.version_of(Some(StreamKey(7)), &service, confirmed, TimePoint::from_millis(ms))
/// };
/// assert_eq!(known(&versions, 1_500), only);
/// versions.observe([(&service, &v1), (&service, &v2)], confirmed, TimePoint::from_millis(1_500));
/// assert_eq!(known(&versions, 1_500), only);
/// // From then on, another VM may have begun streams at the second version.
/// assert_eq!(known(&versions, 2_300), KnownVersion::Unknown);
/// ```
#[derive(Clone, Debug)]
pub struct StreamVersions {
    /// Time for which a VM relies on a confirmed view, and for which a second version begins no streams.
    view_validity: Duration,
    services: IndexMap<ServiceName, ObservedVersions>,
    past: PastVersions,
    /// When this VM first knew what the store lists.
    watched_since: Option<TimePoint>,
    /// The services' recent versions according to the store.
    entries: IndexMap<ServiceName, VersionEntry>,
    /// The store's newest era.
    store_era: u64,
    /// Streams whose first event this VM passed on.
    own: StreamRecords<OwnStream>,
    /// Records that other VMs replicated to this one.
    kept: StreamRecords<()>,
}

#[derive(Clone, Debug)]
struct OwnStream {
    service: ServiceName,
    sends_left: u8,
}

impl StreamVersions {
    /// Creates the state of a VM that knows no servers. `change_in_force` is the time in which a change of the store
    /// must be in force at all VMs.
    pub fn new(change_in_force: Duration, past: PastVersions) -> Self {
        Self {
            view_validity: change_in_force.scaled(VIEW_VALIDITY_FRACTION),
            services: IndexMap::new(),
            past,
            watched_since: None,
            entries: IndexMap::new(),
            store_era: 0,
            own: StreamRecords::default(),
            kept: StreamRecords::default(),
        }
    }

    /// Records the services and versions of all listed servers. `confirmed_at` is the time of which the view of the
    /// store before this one was confirmed.
    pub fn observe<'a>(
        &mut self,
        servers: impl IntoIterator<Item = (&'a ServiceName, &'a ServerVersion)>,
        confirmed_at: Option<TimePoint>,
        now: TimePoint,
    ) {
        let mut counts: IndexMap<&ServiceName, IndexMap<&ServerVersion, usize>> = IndexMap::new();
        for (service, version) in servers {
            *counts.entry(service).or_default().entry(version).or_default() += 1;
        }
        for (service, versions) in &counts {
            let observed = self.services.entry((*service).clone()).or_default();
            observed.observe(service, versions, confirmed_at, now);
        }
        let since = *self.watched_since.get_or_insert(now);
        let is_watched = self.past == PastVersions::None || now.since(since) > VERSION_TTL;
        for observed in self.services.values_mut() {
            observed.forget_gone(now);
            if is_watched {
                observed.set_past_known();
            }
        }
        self.services.retain(|_, it| !it.is_gone(now));
    }

    /// Records the version of a server whose entry changed, also if a later change removed it. `confirmed_at` is as in
    /// [`Self::observe`].
    pub fn observe_change(
        &mut self,
        service: &ServiceName,
        version: &ServerVersion,
        confirmed_at: Option<TimePoint>,
        now: TimePoint,
    ) {
        let observed = self.services.entry(service.clone()).or_default();
        observed.observe(service, &IndexMap::from([(version, 0)]), confirmed_at, now);
    }

    /// Records the store's era. Entries of earlier eras may lack versions: the store has returned from a copy.
    pub fn record_store_era(&mut self, era: u64) {
        self.store_era = self.store_era.max(era);
    }

    /// Applies the store's entry of the versions that a service recently had; `None` if it was removed.
    ///
    /// Another VM wrote it, maybe while this one's view had a gap: since when there are several versions is unknown.
    pub fn apply_entry(
        &mut self,
        service: ServiceName,
        entry: Option<VersionEntry>,
        now: TimePoint,
    ) {
        let Some(entry) = entry else {
            self.entries.shift_remove(&service);
            return;
        };
        let counts = entry.versions.iter().map(|it| (it, 0)).collect();
        let observed = self.services.entry(service.clone()).or_default();
        observed.observe(&service, &counts, None, now);
        if entry.era >= self.store_era {
            observed.set_past_known();
        }
        self.entries.insert(service, entry);
    }

    /// Replaces the entries of all services.
    pub fn replace_entries(
        &mut self,
        entries: impl IntoIterator<Item = (ServiceName, VersionEntry)>,
        now: TimePoint,
    ) {
        self.entries.clear();
        for (service, entry) in entries {
            self.apply_entry(service, Some(entry), now);
        }
    }

    /// Returns the entries of all services.
    pub fn entries(&self) -> impl Iterator<Item = (&ServiceName, &VersionEntry)> {
        self.entries.iter()
    }

    /// Returns the updates of entries that differ from what this VM knows.
    ///
    /// A VM that may miss an earlier version doesn't write a single one: others would take it for the only one.
    pub fn entry_updates(&self) -> Vec<EntryUpdate> {
        let known = self.services.iter().filter(|(_, it)| it.is_past_known() || it.is_mixed());
        let entries = known.map(|(service, it)| {
            let mut versions: Vec<_> = it.versions().cloned().collect();
            versions.sort_unstable();
            (service, Some(VersionEntry { versions, era: self.store_era }))
        });
        let gone = self.entries.keys().filter(|it| !self.services.contains_key(*it));
        let updates = entries.chain(gone.map(|it| (it, None))).map(|(service, entry)| {
            let known = self.entries.get(service).cloned();
            EntryUpdate { service: service.clone(), known, entry }
        });
        updates.filter(|it| it.known != it.entry).collect()
    }

    /// Returns the versions that a service has or recently had.
    pub fn versions(&self, service: &ServiceName) -> impl Iterator<Item = &ServerVersion> {
        self.services.get(service).into_iter().flat_map(ObservedVersions::versions)
    }

    /// Returns the services that have or recently had more than one version.
    pub fn mixed_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.iter().filter(|(_, it)| it.is_mixed()).map(|(service, _)| service)
    }

    /// Returns the version of a service with this tag, if it has or recently had servers.
    pub fn version_with_tag(
        &self,
        service: &ServiceName,
        tag: VersionTag,
    ) -> Option<&ServerVersion> {
        self.services.get(service)?.with_tag(tag)
    }

    /// Returns the only version at which resumable streams of a service may begin at present; `None` if any may.
    ///
    /// Other VMs may not know of a second version yet and take a stream of it for one of the first.
    pub fn starting_version(
        &self,
        service: &ServiceName,
        now: TimePoint,
    ) -> Option<&ServerVersion> {
        let observed = self.services.get(service)?;
        let entry = self.entries.get(service);
        let is_named =
            observed.versions().all(|it| entry.is_some_and(|entry| entry.versions.contains(it)));
        let delay =
            if is_named { self.view_validity } else { self.view_validity.max(MAX_ENTRY_WAIT) };
        observed.starting_version(delay, now)
    }

    /// Records that the first event of a stream is about to be passed on. The caller may take it up for `ttl`. Returns
    /// the record if it has to be replicated to other VMs at once.
    pub fn record_begun(
        &mut self,
        key: StreamKey,
        service: &ServiceName,
        tag: VersionTag,
        ttl: Duration,
        now: TimePoint,
    ) -> Option<StreamRecord> {
        let ttl = ttl.min(MAX_RECORD_TTL);
        let is_replicated = self.is_mixed(service);
        let sends_left = if is_replicated { SEND_COUNT - 1 } else { SEND_COUNT };
        let own = OwnStream { service: service.clone(), sends_left };
        self.own.insert(key, tag, own, now + ttl, now);
        is_replicated.then(|| StreamRecord::new(key, tag, ttl))
    }

    /// Records that a stream was passed on whole, so that its caller won't take it up.
    pub fn record_completed(&mut self, key: StreamKey) {
        self.own.remove(key);
    }

    /// Keeps a record of another VM's stream.
    pub fn keep(&mut self, record: StreamRecord, now: TimePoint) {
        let expires = now + record.ttl().min(MAX_RECORD_TTL);
        self.kept.insert(record.key, record.tag, (), expires, now);
    }

    /// Returns what this VM knows of the version that began a stream; `None` as the key stands for a stream that its
    /// caller doesn't name. `confirmed_at` is the time of which this VM's view of the store was confirmed.
    pub fn version_of(
        &self,
        key: Option<StreamKey>,
        service: &ServiceName,
        confirmed_at: Option<TimePoint>,
        now: TimePoint,
    ) -> KnownVersion {
        let recorded = key.and_then(|key| {
            let (own, kept) = (self.own.get(key, now), self.kept.get(key, now));
            own.zip(kept).map(|(own, kept)| own.and(kept)).or(own).or(kept)
        });
        match recorded {
            Some(RecordedVersion::One(tag)) => KnownVersion::Recorded(tag),
            Some(RecordedVersion::Ambiguous) => KnownVersion::Unknown,
            None => {
                let observed = self.services.get(service);
                let sole = observed.and_then(|it| it.sole(self.view_validity, confirmed_at, now));
                sole.map_or(KnownVersion::Unknown, KnownVersion::Sole)
            }
        }
    }

    /// Answers another VM's query for the version of a stream.
    pub fn answer(
        &self,
        key: Option<StreamKey>,
        service: &ServiceName,
        confirmed_at: Option<TimePoint>,
        now: TimePoint,
    ) -> QueryAnswer {
        match self.version_of(key, service, confirmed_at, now) {
            KnownVersion::Recorded(tag) => QueryAnswer::Recorded(tag),
            KnownVersion::Sole(tag) => QueryAnswer::Sole(tag),
            KnownVersion::Unknown => QueryAnswer::Unknown,
        }
    }

    /// Returns whether a service has or recently had several versions, so that its records are replicated to other VMs.
    fn is_mixed(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(ObservedVersions::is_mixed)
    }

    /// Takes the records of this VM's streams that are due to be replicated to other VMs.
    pub fn take_due_records(&mut self, now: TimePoint) -> Vec<StreamRecord> {
        if self.own.is_empty() {
            return Vec::new();
        }
        let replicated: Vec<ServiceName> = self.mixed_services().cloned().collect();
        if replicated.is_empty() {
            return Vec::new();
        }
        let due = self
            .own
            .iter_mut(now)
            .filter(|(_, _, own, _)| own.sends_left > 0 && replicated.contains(&own.service));
        due.map(|(key, tag, own, left)| {
            own.sends_left -= 1;
            StreamRecord::new(key, tag, left)
        })
        .collect()
    }

    /// Returns the records that other VMs may need after this one has stopped.
    pub fn records_to_hand_over(&self, now: TimePoint) -> Vec<StreamRecord> {
        let own = self.own.iter(now).filter(|(.., own, _)| self.is_mixed(&own.service));
        let own = own.map(|(key, tag, _, left)| StreamRecord::new(key, tag, left));
        let kept = self.kept.iter(now);
        own.chain(kept.map(|(key, tag, (), left)| StreamRecord::new(key, tag, left))).collect()
    }

    /// Returns the number of records of this VM's own streams and of other VMs' streams.
    pub fn record_counts(&self) -> (usize, usize) {
        (self.own.len(), self.kept.len())
    }
}
