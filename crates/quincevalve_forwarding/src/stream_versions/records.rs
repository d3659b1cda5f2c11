//! Records of streams in bounded memory.

use std::{collections::VecDeque, time::Duration};

use quincevalve_names::TimePoint;
use rustc_hash::FxHashMap;

use super::{StreamKey, VersionTag};

/// Maximum number of records. The oldest are dropped first, since their callers have the least time left.
const MAX_RECORDS: usize = 32_768;

/// The version that a record names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordedVersion {
    One(VersionTag),
    /// Records of two versions were made under the same key, so that the caller's is unknown.
    Ambiguous,
}

impl RecordedVersion {
    /// Returns the version that two records of the same key name.
    pub(super) fn and(self, other: Self) -> Self {
        if self == other { self } else { Self::Ambiguous }
    }

    fn tag(self) -> Option<VersionTag> {
        match self {
            Self::One(tag) => Some(tag),
            Self::Ambiguous => None,
        }
    }
}

#[derive(Clone, Debug)]
struct Record<T> {
    version: RecordedVersion,
    expires: TimePoint,
    extra: T,
}

/// Records by stream, oldest first.
#[derive(Clone, Debug)]
pub(super) struct StreamRecords<T> {
    records: FxHashMap<StreamKey, Record<T>>,
    /// Keys in the order in which they were added. Some may have been removed since.
    order: VecDeque<StreamKey>,
}

impl<T> Default for StreamRecords<T> {
    fn default() -> Self {
        Self { records: FxHashMap::default(), order: VecDeque::new() }
    }
}

impl<T> StreamRecords<T> {
    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Adds a record, or extends the one that is known.
    pub(super) fn insert(
        &mut self,
        key: StreamKey,
        tag: VersionTag,
        extra: T,
        expires: TimePoint,
        now: TimePoint,
    ) {
        if let Some(known) = self.records.get_mut(&key).filter(|it| it.expires > now) {
            known.version = known.version.and(RecordedVersion::One(tag));
            known.expires = known.expires.max(expires);
            return;
        }
        self.evict(now);
        if self
            .records
            .insert(key, Record { version: RecordedVersion::One(tag), expires, extra })
            .is_none()
        {
            self.order.push_back(key);
        }
    }

    /// Drops the oldest records that have expired, and more if there are too many.
    fn evict(&mut self, now: TimePoint) {
        while let Some(key) = self.order.front() {
            let is_live = self.records.get(key).is_some_and(|it| it.expires > now);
            if is_live && self.order.len() < MAX_RECORDS {
                return;
            }
            self.records.remove(key);
            self.order.pop_front();
        }
    }

    pub(super) fn remove(&mut self, key: StreamKey) {
        self.records.remove(&key);
    }

    /// Returns the recorded version of a stream.
    pub(super) fn get(&self, key: StreamKey, now: TimePoint) -> Option<RecordedVersion> {
        self.records.get(&key).filter(|it| it.expires > now).map(|it| it.version)
    }

    /// Iterates over the unambiguous records, with the time that they have left.
    pub(super) fn iter(
        &self,
        now: TimePoint,
    ) -> impl Iterator<Item = (StreamKey, VersionTag, &T, Duration)> {
        let live = self.records.iter().filter(move |(_, it)| it.expires > now);
        live.filter_map(move |(key, it)| {
            Some((*key, it.version.tag()?, &it.extra, it.expires.since(now)))
        })
    }

    /// Iterates over the unambiguous records as [`Self::iter`] does.
    pub(super) fn iter_mut(
        &mut self,
        now: TimePoint,
    ) -> impl Iterator<Item = (StreamKey, VersionTag, &mut T, Duration)> {
        let live = self.records.iter_mut().filter(move |(_, it)| it.expires > now);
        live.filter_map(move |(key, it)| {
            Some((*key, it.version.tag()?, &mut it.extra, it.expires.since(now)))
        })
    }
}
