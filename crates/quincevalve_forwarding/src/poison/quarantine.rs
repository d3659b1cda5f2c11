//! Requests that are kept from servers.

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::TimePoint;
use serde::{Deserialize, Serialize};

use super::cases::Exits;
use crate::request_digest::RequestDigest;

/// How long a quarantined request is kept from servers before its first trial and after each. One that came into a wave of
/// crashes by chance is served again when the wave is over; that happens to few, and each trial of one that does end
/// servers costs all callers of that server their answers. So it ends three more in an hour, and then one a day, by when
/// servers may have been released anew.
const HOLDS: [Duration; 4] = [
    Duration::from_secs(30),
    Duration::from_secs(300),
    Duration::from_secs(3_600),
    Duration::from_secs(24 * 3_600),
];
/// The first hold where servers exited together: if it was a rack, the next one stays up.
const SHORT_HOLD: Duration = Duration::from_secs(1);
/// How long another VM's word keeps a request from servers here while the store can't tell of it.
const TOLD_HOLD: Duration = Duration::from_secs(60);
/// A word is told three times within a fifth of a second, and is on its way for as long on a link that is full.
const OLD_WORD: Duration = Duration::from_secs(2);
/// Time for the store to say whether this VM has the trial.
const TRIAL_ASKING: Duration = Duration::from_secs(1);
/// Requests that are kept from servers here, the oldest let go first.
const MOST: usize = 1_024;

/// What the store holds of a quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// Trials that were begun.
    pub trials: u32,
    /// When the next one may begin, in Unix milliseconds of true time.
    pub until_ms: i64,
}

impl QuarantineEntry {
    /// The first entry of a request.
    pub fn first(exits: Exits, true_ms: i64) -> Self {
        let hold = match exits {
            Exits::Together => SHORT_HOLD.as_millis() as i64,
            Exits::Separate => hold_ms(0),
        };
        Self { trials: 0, until_ms: true_ms + hold }
    }

    /// The entry that begins the next trial; `None` before its time.
    ///
    /// # Examples
    ///
    /// ```
    /// use quincevalve_forwarding::poison::{Exits, QuarantineEntry};
    /// let first = QuarantineEntry::first(Exits::Separate, 0);
    /// assert_eq!(first.next_trial(29_999), None);
    /// let begun = first.next_trial(30_000).unwrap();
    /// assert_eq!((begun.trials, begun.until_ms), (1, 330_000));
    /// ```
    pub fn next_trial(&self, true_ms: i64) -> Option<Self> {
        let trials = self.trials + 1;
        let next = Self { trials, until_ms: true_ms + hold_ms(trials) };
        (true_ms >= self.until_ms).then_some(next)
    }
}

fn hold_ms(trials: u32) -> i64 {
    HOLDS[(trials as usize).min(HOLDS.len() - 1)].as_millis() as i64
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is held against it.
    Free,
    /// It is kept from servers, for so long from now as far as known.
    Quarantined(Duration),
    /// It may be sent once, by the VM that is first to write that in the store.
    TrialDue,
}

/// The requests that are kept from servers.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    /// As the store has it.
    listed: IndexMap<RequestDigest, QuarantineEntry>,
    /// By another VM's word, and until when.
    told: IndexMap<RequestDigest, TimePoint>,
    /// Quarantines that were lifted, and until when old words of them may come.
    lifted: IndexMap<RequestDigest, TimePoint>,
    /// Trials that were asked for, and until when an answer is waited for.
    asked: IndexMap<RequestDigest, TimePoint>,
}

impl Quarantine {
    pub(super) fn is_empty(&self) -> bool {
        self.listed.is_empty() && self.told.is_empty()
    }

    fn is_listed(&self, digest: RequestDigest) -> bool {
        self.listed.contains_key(&digest)
    }

    /// Whether anybody has said that it is quarantined.
    pub(super) fn is_known(&self, digest: RequestDigest, now: TimePoint) -> bool {
        self.is_listed(digest) || self.told.get(&digest).is_some_and(|until| *until > now)
    }

    pub(super) fn listed(&self) -> impl Iterator<Item = (RequestDigest, QuarantineEntry)> {
        self.listed.iter().map(|(digest, entry)| (*digest, *entry))
    }

    pub(super) fn entry_listed(&mut self, digest: RequestDigest, entry: QuarantineEntry) {
        self.told.shift_remove(&digest);
        self.asked.shift_remove(&digest);
        self.listed.insert(digest, entry);
        while self.listed.len() > MOST {
            self.listed.shift_remove_index(0);
        }
    }

    pub(super) fn entry_removed(&mut self, digest: RequestDigest, now: TimePoint) {
        self.told.shift_remove(&digest);
        self.asked.shift_remove(&digest);
        self.listed.shift_remove(&digest);
        self.lifted.retain(|_, until| *until > now);
        self.lifted.insert(digest, now + OLD_WORD);
    }

    /// Takes another VM's word.
    ///
    /// Failure: a quarantine is lifted a moment after it began, and the last of the datagrams that told of it comes after
    /// that. Symptom: some VMs keep an innocent request from servers for a minute, and others don't. What was lifted a
    /// moment ago isn't quarantined by an old word.
    pub(super) fn told(&mut self, digest: RequestDigest, now: TimePoint) {
        self.told.retain(|_, until| *until > now);
        if self.lifted.get(&digest).is_some_and(|until| *until > now) {
            return;
        }
        if self.told.len() < MOST {
            self.told.insert(digest, now + TOLD_HOLD);
        }
    }

    pub(super) fn trial_asked(&mut self, digest: RequestDigest, now: TimePoint) {
        self.asked.retain(|_, until| *until > now);
        self.asked.insert(digest, now + TRIAL_ASKING);
    }

    /// Without the time of day no trial is begun.
    pub(super) fn standing(
        &self,
        digest: RequestDigest,
        now: TimePoint,
        true_ms: Option<i64>,
    ) -> Standing {
        let told = self.told.get(&digest).filter(|it| **it > now);
        let Some(entry) = self.listed.get(&digest) else {
            return told.map_or(Standing::Free, |it| Standing::Quarantined(it.since(now)));
        };
        if let Some(until) = self.asked.get(&digest).filter(|it| **it > now) {
            return Standing::Quarantined(until.since(now));
        }
        match true_ms.map(|it| entry.until_ms - it) {
            Some(left_ms) if left_ms <= 0 => Standing::TrialDue,
            Some(left_ms) => Standing::Quarantined(Duration::from_millis(left_ms as u64)),
            None => Standing::Quarantined(TRIAL_ASKING),
        }
    }
}
