//! The versions that a service has or recently had.

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::{ServerVersion, ServiceName, TimePoint};

use super::VersionTag;

/// Time after the removal of a version's last server for which its streams may be taken up: several times the longest
/// wait of callers.
pub(super) const VERSION_TTL: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct ObservedVersion {
    version: ServerVersion,
    tag: VersionTag,
    last_listed: TimePoint,
}

/// The versions of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ObservedVersions {
    observed: Vec<ObservedVersion>,
    /// When others than the first version became known; `None` while there are none.
    mixed: Option<Mixed>,
    /// Whether no earlier version is missing: none whose streams may still be taken up.
    is_past_known: bool,
}

/// The end of the time in which a service had one version.
#[derive(Clone, Debug)]
struct Mixed {
    /// That version.
    first: ServerVersion,
    tag: VersionTag,
    since: TimePoint,
    /// A time at which the store didn't list another version.
    not_before: Option<TimePoint>,
}

impl ObservedVersions {
    /// Records the versions of the listed servers, with the number of servers of each. `confirmed_at` is the time of which
    /// the view of the store before this one was confirmed.
    pub(super) fn observe(
        &mut self,
        service: &ServiceName,
        versions: &IndexMap<&ServerVersion, usize>,
        confirmed_at: Option<TimePoint>,
        now: TimePoint,
    ) {
        // What a service had before this VM knew of it is unknown.
        let confirmed_at = confirmed_at.filter(|_| !self.observed.is_empty());
        if self.observed.is_empty() {
            // A version that has just appeared has fewer servers than the one before it.
            if let Some((version, _)) = versions.iter().max_by_key(|(it, count)| (**count, *it)) {
                self.add(service, version, confirmed_at, now);
            }
        }
        for version in versions.keys() {
            match self.observed.iter_mut().find(|it| it.version == **version) {
                Some(known) => known.last_listed = now,
                None => self.add(service, version, confirmed_at, now),
            }
        }
    }

    fn add(
        &mut self,
        service: &ServiceName,
        version: &ServerVersion,
        confirmed_at: Option<TimePoint>,
        now: TimePoint,
    ) {
        if let [only] = self.observed.as_slice() {
            let (first, tag) = (only.version.clone(), only.tag);
            self.mixed = Some(Mixed { first, tag, since: now, not_before: confirmed_at });
        }
        let tag = VersionTag::of(service, version);
        self.observed.push(ObservedVersion { version: version.clone(), tag, last_listed: now });
    }

    /// Forgets versions whose streams can't be taken up any more. The newest version is kept.
    pub(super) fn forget_gone(&mut self, now: TimePoint) {
        let newest = self.observed.iter().map(|it| it.last_listed).max();
        self.observed.retain(|it| {
            Some(it.last_listed) == newest || now.since(it.last_listed) <= VERSION_TTL
        });
        if self.observed.len() < 2 {
            self.mixed = None;
        }
    }

    /// Records that no earlier version is missing.
    pub(super) const fn set_past_known(&mut self) {
        self.is_past_known = true;
    }

    pub(super) const fn is_past_known(&self) -> bool {
        self.is_past_known
    }

    /// Returns whether no server of any version has been listed for as long as streams may be taken up.
    pub(super) fn is_gone(&self, now: TimePoint) -> bool {
        self.observed.iter().all(|it| now.since(it.last_listed) > VERSION_TTL)
    }

    pub(super) fn versions(&self) -> impl Iterator<Item = &ServerVersion> {
        self.observed.iter().map(|it| &it.version)
    }

    pub(super) fn is_mixed(&self) -> bool {
        self.observed.len() > 1
    }

    /// Returns the version at which all streams began that may be taken up now, if that is certain: no other version
    /// begins streams within `view_validity` after the store lists it.
    pub(super) fn sole(
        &self,
        view_validity: Duration,
        confirmed_at: Option<TimePoint>,
        now: TimePoint,
    ) -> Option<VersionTag> {
        if !self.is_past_known {
            return None;
        }
        let (tag, alone_at) = match (&self.mixed, self.observed.as_slice()) {
            (None, [only]) => (only.tag, confirmed_at?),
            (Some(mixed), _) => (mixed.tag, mixed.not_before?),
            _ => return None,
        };
        (now.since(alone_at) <= view_validity).then_some(tag)
    }

    pub(super) fn with_tag(&self, tag: VersionTag) -> Option<&ServerVersion> {
        self.observed.iter().find(|it| it.tag == tag).map(|it| &it.version)
    }

    /// Returns the version that was the only one until less than `delay` ago.
    pub(super) fn starting_version(
        &self,
        delay: Duration,
        now: TimePoint,
    ) -> Option<&ServerVersion> {
        let mixed = self.mixed.as_ref()?;
        (now.since(mixed.since) <= delay).then_some(&mixed.first)
    }
}
