//! Quarantined requests: which there are, for how long, and when a trial is due.

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::TimePoint;
use serde::{Deserialize, Serialize};

use super::cases::ExitPattern;
use crate::request_digest::RequestDigest;

/// Quarantine periods before the first trial and after each. A request that was caught in a burst of crashes by chance
/// is served again when the burst is over. Few requests are, and each trial of a request that does crash servers costs
/// all callers of that server their answers, so the periods grow: such a request crashes three more servers in about an
/// hour, and then one a day, by when a new version of the servers may have been released.
const QUARANTINE_PERIODS: [Duration; 4] = [
    Duration::from_secs(30),
    Duration::from_secs(300),
    Duration::from_secs(3_600),
    Duration::from_secs(24 * 3_600),
];
/// First quarantine period where servers exited together: if a rack failed, the next server stays up.
const SHORT_QUARANTINE_PERIOD: Duration = Duration::from_secs(1);
/// How long a request is quarantined by another VM's report alone, while the store can't be read.
const REPORT_TTL: Duration = Duration::from_secs(60);
/// How long after a quarantine is lifted old reports of it may arrive. A report is sent three times within a fifth of a
/// second, and takes as long again on a saturated link.
const STALE_REPORT_WINDOW: Duration = Duration::from_secs(2);
/// Time for the store to answer whether this VM may run the trial.
const TRIAL_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of entries of the store that are kept, the oldest dropped first, and of reported quarantines.
const MAX_REQUESTS: usize = 1_024;

/// The store's entry of a quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// Number of trials begun.
    pub trials: u32,
    /// When the next trial may begin, in Unix milliseconds of wall-clock time.
    pub until_ms: i64,
}

impl QuarantineEntry {
    /// Creates the first entry of a request.
    pub fn first(exits: ExitPattern, wall_clock_ms: i64) -> Self {
        let period_ms = match exits {
            ExitPattern::Together => SHORT_QUARANTINE_PERIOD.as_millis() as i64,
            ExitPattern::Separate => quarantine_period_ms(0),
        };
        Self { trials: 0, until_ms: wall_clock_ms + period_ms }
    }

    /// Returns the entry that begins the next trial, or `None` if none is due yet.
    ///
    /// # Examples
    ///
    /// ```
    /// use quincevalve_forwarding::poison::{ExitPattern, QuarantineEntry};
    /// let first = QuarantineEntry::first(ExitPattern::Separate, 0);
    /// assert_eq!(first.next_trial(29_999), None);
    /// let begun = first.next_trial(30_000).unwrap();
    /// assert_eq!((begun.trials, begun.until_ms), (1, 330_000));
    /// ```
    pub fn next_trial(&self, wall_clock_ms: i64) -> Option<Self> {
        let trials = self.trials + 1;
        let next = Self { trials, until_ms: wall_clock_ms + quarantine_period_ms(trials) };
        (wall_clock_ms >= self.until_ms).then_some(next)
    }
}

fn quarantine_period_ms(trials: u32) -> i64 {
    QUARANTINE_PERIODS[(trials as usize).min(QUARANTINE_PERIODS.len() - 1)].as_millis() as i64
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// It may be sent.
    Allowed,
    /// It may not be sent, as far as known for this duration from now.
    Quarantined(Duration),
    /// It may be sent once, by the VM that first writes the trial to the store.
    TrialDue,
}

/// The quarantined requests that this VM knows.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    /// Entries of the store.
    listed: IndexMap<RequestDigest, QuarantineEntry>,
    /// Requests quarantined by reports of VMs, and until when.
    reported: IndexMap<RequestDigest, TimePoint>,
    /// Lifted quarantines, and until when old reports of them may arrive.
    lifted: IndexMap<RequestDigest, TimePoint>,
    /// Trials requested from the store, and until when the answer is awaited.
    requested_trials: IndexMap<RequestDigest, TimePoint>,
}

impl Quarantine {
    pub(super) fn is_empty(&self) -> bool {
        self.listed.is_empty() && self.reported.is_empty()
    }

    fn is_listed(&self, digest: RequestDigest) -> bool {
        self.listed.contains_key(&digest)
    }

    /// Returns whether the store or a report says that the request is quarantined.
    pub(super) fn is_known(&self, digest: RequestDigest, now: TimePoint) -> bool {
        self.is_listed(digest) || self.reported.get(&digest).is_some_and(|until| *until > now)
    }

    pub(super) fn stored_entries(&self) -> impl Iterator<Item = (RequestDigest, QuarantineEntry)> {
        self.listed.iter().map(|(digest, entry)| (*digest, *entry))
    }

    pub(super) fn apply_entry(&mut self, digest: RequestDigest, entry: QuarantineEntry) {
        self.reported.shift_remove(&digest);
        self.requested_trials.shift_remove(&digest);
        self.listed.insert(digest, entry);
        while self.listed.len() > MAX_REQUESTS {
            self.listed.shift_remove_index(0);
        }
    }

    pub(super) fn remove_entry(&mut self, digest: RequestDigest, now: TimePoint) {
        self.reported.shift_remove(&digest);
        self.requested_trials.shift_remove(&digest);
        self.listed.shift_remove(&digest);
        self.lifted.retain(|_, until| *until > now);
        self.lifted.insert(digest, now + STALE_REPORT_WINDOW);
    }

    /// Applies a VM's report that a request is quarantined.
    ///
    /// If a quarantine is lifted a moment after it began, the last of the datagrams that report it may arrive after
    /// that, and some VMs would block an innocent request for a minute. Reports of a quarantine that was lifted less
    /// than [`STALE_REPORT_WINDOW`] ago are therefore ignored.
    pub(super) fn apply_report(&mut self, digest: RequestDigest, now: TimePoint) {
        self.reported.retain(|_, until| *until > now);
        if self.lifted.get(&digest).is_some_and(|until| *until > now) {
            return;
        }
        if self.reported.len() < MAX_REQUESTS {
            self.reported.insert(digest, now + REPORT_TTL);
        }
    }

    pub(super) fn record_trial_request(&mut self, digest: RequestDigest, now: TimePoint) {
        self.requested_trials.retain(|_, until| *until > now);
        self.requested_trials.insert(digest, now + TRIAL_REQUEST_TIMEOUT);
    }

    /// Returns whether a request may be sent. Without the wall-clock time no trial begins.
    pub(super) fn send_decision(
        &self,
        digest: RequestDigest,
        now: TimePoint,
        wall_clock_ms: Option<i64>,
    ) -> SendDecision {
        let reported = self.reported.get(&digest).filter(|it| **it > now);
        let Some(entry) = self.listed.get(&digest) else {
            return reported
                .map_or(SendDecision::Allowed, |it| SendDecision::Quarantined(it.since(now)));
        };
        if let Some(until) = self.requested_trials.get(&digest).filter(|it| **it > now) {
            return SendDecision::Quarantined(until.since(now));
        }
        match wall_clock_ms.map(|it| entry.until_ms - it) {
            Some(remaining_ms) if remaining_ms <= 0 => SendDecision::TrialDue,
            Some(remaining_ms) => {
                SendDecision::Quarantined(Duration::from_millis(remaining_ms as u64))
            }
            None => SendDecision::Quarantined(TRIAL_REQUEST_TIMEOUT),
        }
    }
}
