//! Quarantined requests and parts: which there are, for how long, and when a trial is due.

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::TimePoint;
use serde::{Deserialize, Serialize};

use super::{
    Suspect, Verdict,
    case::{ExitPattern, ExitedServers},
    evidence::PartFindings,
};
use crate::{prompt_parts::PartDigest, request_digest::RequestDigest, stream_versions::VersionTag};

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
/// Quarantine periods of a part before the first trial and after each. All requests with it share them, and of those few
/// may reach servers in a day.
const PART_PERIODS: [Duration; 3] =
    [Duration::from_secs(30), Duration::from_secs(3_600), Duration::from_secs(24 * 3_600)];
/// The same where it isn't certain that the part made the servers exit.
const UNCERTAIN_PART_PERIODS: [Duration; 4] = [
    SHORT_QUARANTINE_PERIOD,
    Duration::from_secs(10),
    Duration::from_secs(3_600),
    Duration::from_secs(24 * 3_600),
];
/// How long a request is quarantined by another VM's report alone, while the store can't be read.
const REPORT_TTL: Duration = Duration::from_secs(60);
/// How long after a quarantine is lifted old reports of it may arrive. A report is sent three times within a fifth of a
/// second, and takes as long again on a saturated link.
const STALE_REPORT_WINDOW: Duration = Duration::from_secs(2);
/// Time for the store to answer whether this VM may run the trial.
const TRIAL_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of entries of the store that are kept, the oldest dropped first, and of reported quarantines.
const MAX_QUARANTINED: usize = 1_024;

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
            ExitPattern::Together | ExitPattern::Contested => {
                SHORT_QUARANTINE_PERIOD.as_millis() as i64
            }
            ExitPattern::Separate => period_ms(&QUARANTINE_PERIODS, 0),
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
        let trials = self.trials.saturating_add(1);
        let next =
            Self { trials, until_ms: wall_clock_ms + period_ms(&QUARANTINE_PERIODS, trials) };
        (wall_clock_ms >= self.until_ms).then_some(next)
    }
}

/// The store's entry of a quarantined part of prompts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartEntry {
    /// Number of trials begun.
    pub trials: u32,
    /// When the next trial may begin, in Unix milliseconds of wall-clock time.
    pub until_ms: i64,
    /// Whether the exits don't single the part out, so that the first trials come early.
    pub is_uncertain: bool,
    /// What is known of it at the versions of its service.
    pub findings: PartFindings,
    /// The servers that exited under it.
    pub servers: ExitedServers,
}

impl PartEntry {
    /// Creates the first entry of a part.
    pub fn first(verdict: &Verdict, wall_clock_ms: i64) -> Self {
        let is_uncertain = verdict.exits != ExitPattern::Separate;
        let until_ms = wall_clock_ms + period_ms(periods(is_uncertain), 0);
        let Verdict { findings, servers, .. } = verdict.clone();
        Self { trials: 0, until_ms, is_uncertain, findings, servers }
    }

    /// Returns the entry that begins the next trial, or `None` if none is due yet.
    ///
    /// # Examples
    ///
    /// ```
    /// use quincevalve_forwarding::{
    ///     poison::{ExitPattern, ExitedServers, PartEntry, PartFindings, Verdict},
    ///     prompt_parts::PartDigest,
    /// };
    /// let verdict = Verdict {
    ///     suspect: PartDigest(7).into(),
    ///     exits: ExitPattern::Separate,
    ///     findings: PartFindings::default(),
    ///     servers: ExitedServers::default(),
    /// };
    /// let first = PartEntry::first(&verdict, 0);
    /// assert_eq!(first.next_trial(29_999), None);
    /// let begun = first.next_trial(30_000).unwrap();
    /// assert_eq!((begun.trials, begun.until_ms), (1, 3_630_000));
    /// ```
    pub fn next_trial(&self, wall_clock_ms: i64) -> Option<Self> {
        let trials = self.trials.saturating_add(1);
        let until_ms = wall_clock_ms + period_ms(periods(self.is_uncertain), trials);
        let next = Self { trials, until_ms, ..self.clone() };
        (wall_clock_ms >= self.until_ms).then_some(next)
    }
}

fn periods(is_uncertain: bool) -> &'static [Duration] {
    if is_uncertain { &UNCERTAIN_PART_PERIODS } else { &PART_PERIODS }
}

fn period_ms(periods: &[Duration], trials: u32) -> i64 {
    let period = periods.get(trials as usize).or(periods.last());
    period.map_or(0, |it| it.as_millis() as i64)
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

/// A quarantine that the store lists.
#[derive(Clone, Debug)]
struct Listed {
    trials: u32,
    until_ms: i64,
    is_uncertain: bool,
    findings: PartFindings,
    servers: ExitedServers,
}

/// A quarantine that a VM reported.
#[derive(Clone, Debug)]
struct Reported {
    until: TimePoint,
    findings: PartFindings,
}

/// What is quarantined as far as this VM knows.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    /// Entries of the store.
    listed: IndexMap<Suspect, Listed>,
    /// Quarantines reported by VMs.
    reported: IndexMap<Suspect, Reported>,
    /// Lifted quarantines, and until when old reports of them may arrive.
    lifted: IndexMap<Suspect, TimePoint>,
    /// Trials requested from the store, and until when the answer is awaited.
    requested_trials: IndexMap<Suspect, TimePoint>,
}

impl Quarantine {
    /// Returns whether any whole request is quarantined.
    pub(super) fn has_requests(&self) -> bool {
        self.suspects().any(|it| matches!(it, Suspect::Request(_)))
    }

    /// Returns whether any part is quarantined.
    pub(super) fn has_parts(&self) -> bool {
        self.suspects().any(|it| matches!(it, Suspect::Part(_)))
    }

    fn suspects(&self) -> impl Iterator<Item = &Suspect> {
        self.listed.keys().chain(self.reported.keys())
    }

    /// Returns whether the store lists it.
    pub(super) fn is_listed(&self, suspect: Suspect) -> bool {
        self.listed.contains_key(&suspect)
    }

    /// Returns whether the store or a report says that it is quarantined.
    pub(super) fn is_known(&self, suspect: Suspect, now: TimePoint) -> bool {
        self.is_listed(suspect) || self.reported.get(&suspect).is_some_and(|it| it.until > now)
    }

    /// Returns whether the store or a report says that a part is quarantined at servers of a version.
    pub(super) fn bars(&self, part: PartDigest, version: VersionTag, now: TimePoint) -> bool {
        let suspect = Suspect::Part(part);
        let listed = self.listed.get(&suspect).map(|it| &it.findings);
        let reported = self.reported.get(&suspect).filter(|it| it.until > now);
        listed.or(reported.map(|it| &it.findings)).is_some_and(|it| it.bars(version))
    }

    pub(super) fn stored_entries(&self) -> impl Iterator<Item = (RequestDigest, QuarantineEntry)> {
        self.listed.iter().filter_map(|(suspect, it)| match suspect {
            Suspect::Request(digest) => {
                Some((*digest, QuarantineEntry { trials: it.trials, until_ms: it.until_ms }))
            }
            Suspect::Part(_) => None,
        })
    }

    pub(super) fn stored_part_entries(&self) -> impl Iterator<Item = (PartDigest, PartEntry)> {
        self.listed.iter().filter_map(|(suspect, it)| match suspect {
            Suspect::Part(part) => {
                let Listed { trials, until_ms, is_uncertain, findings, servers } = it.clone();
                Some((*part, PartEntry { trials, until_ms, is_uncertain, findings, servers }))
            }
            Suspect::Request(_) => None,
        })
    }

    pub(super) fn apply_entry(&mut self, digest: RequestDigest, entry: QuarantineEntry) {
        let QuarantineEntry { trials, until_ms } = entry;
        let (findings, servers) = (PartFindings::default(), ExitedServers::default());
        let listed = Listed { trials, until_ms, is_uncertain: false, findings, servers };
        self.list(digest.into(), listed);
    }

    pub(super) fn apply_part_entry(&mut self, part: PartDigest, entry: PartEntry) {
        let PartEntry { trials, until_ms, is_uncertain, findings, servers } = entry;
        self.list(part.into(), Listed { trials, until_ms, is_uncertain, findings, servers });
    }

    fn list(&mut self, suspect: Suspect, listed: Listed) {
        self.reported.shift_remove(&suspect);
        self.requested_trials.shift_remove(&suspect);
        self.listed.insert(suspect, listed);
        while self.listed.len() > MAX_QUARANTINED {
            self.listed.shift_remove_index(0);
        }
    }

    pub(super) fn remove_entry(&mut self, suspect: Suspect, now: TimePoint) {
        self.reported.shift_remove(&suspect);
        self.requested_trials.shift_remove(&suspect);
        self.listed.shift_remove(&suspect);
        self.lifted.retain(|_, until| *until > now);
        self.lifted.insert(suspect, now + STALE_REPORT_WINDOW);
    }

    /// Applies a VM's report that a suspect is quarantined.
    ///
    /// If a quarantine is lifted a moment after it began, the last of the datagrams that report it may arrive after
    /// that, and some VMs would block an innocent request for a minute. Reports of a quarantine that was lifted less
    /// than [`STALE_REPORT_WINDOW`] ago are therefore ignored.
    pub(super) fn apply_report(
        &mut self,
        suspect: Suspect,
        findings: PartFindings,
        now: TimePoint,
    ) {
        self.reported.retain(|_, it| it.until > now);
        if self.lifted.get(&suspect).is_some_and(|until| *until > now) {
            return;
        }
        if self.reported.len() < MAX_QUARANTINED {
            self.reported.insert(suspect, Reported { until: now + REPORT_TTL, findings });
        }
    }

    pub(super) fn record_trial_request(&mut self, suspect: Suspect, now: TimePoint) {
        self.requested_trials.retain(|_, until| *until > now);
        self.requested_trials.insert(suspect, now + TRIAL_REQUEST_TIMEOUT);
    }

    /// Returns whether a request may be sent. Without the wall-clock time no trial begins.
    pub(super) fn send_decision(
        &self,
        suspect: Suspect,
        now: TimePoint,
        wall_clock_ms: Option<i64>,
    ) -> SendDecision {
        let reported = self.reported.get(&suspect).map(|it| it.until).filter(|it| *it > now);
        let Some(entry) = self.listed.get(&suspect) else {
            return reported
                .map_or(SendDecision::Allowed, |it| SendDecision::Quarantined(it.since(now)));
        };
        if let Some(until) = self.requested_trials.get(&suspect).filter(|it| **it > now) {
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
