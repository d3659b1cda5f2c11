//! The exits under one suspect, and whether they suffice.

use std::time::Duration;

use quincevalve_names::TimePoint;
use serde::{Deserialize, Serialize};

use super::{
    Suspect,
    completed::COMPLETION_TTL,
    evidence::{ExitEvidence, RunStage},
};
use crate::{prompt_parts::PartDigest, request_digest::RequestDigest, stream_versions::VersionTag};

/// Number of exits under a request that make it a suspect. Two happen to a request by chance whenever many servers
/// crash, and each further one costs another server.
pub(super) const MIN_EXITS: usize = 3;
/// Number of exits after which two suspects that ran on the same servers are both accused. An innocent request runs on
/// each of so many exiting servers by chance only where nearly all servers run it, and then it completes on others.
pub(super) const MIN_EXITS_WITH_COMPETITOR: usize = 5;
/// Weight of the exits under a part from which on it is a suspect: three under answers that had just begun, or six under
/// any. A part is in many requests, and most of these wait or have long been answered when a server exits.
const MIN_PART_WEIGHT: usize = 6;
/// Number of different requests with a part that servers must have exited under. With one, the request is the suspect.
const MIN_REQUESTS: usize = 2;
/// Exits that are closer to each other than this belong to one event.
const SAME_EVENT_WINDOW: Duration = Duration::from_millis(300);
/// Time for VMs to report a completion of the same request: three transmissions of the inquiry and their latency.
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(220);
/// The same where servers exited together. When a rack loses power, callers may just have begun to send a popular
/// request of which no run has completed yet; a run that starts now completes in most cases within this time. Copies of
/// a poison request that arrive at once have all been sent before anything can be known about them.
pub(super) const MAX_INQUIRY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long an exit counts against a suspect.
const EXIT_TTL: Duration = Duration::from_secs(3_600);
/// Maximum number of servers that a message about a suspect names: as many as some tens of simultaneous copies crash.
const MAX_REPORTED_SERVERS: usize = 24;
/// Maximum number of other parts kept for one exit.
const MAX_PARTS_BESIDE: usize = 8;
/// Maximum number of requests kept for one exit.
const MAX_REQUESTS_PER_EXIT: usize = 4;

/// The progress of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CaseState {
    Open,
    /// Enough exits were counted to suspect it.
    Suspected {
        since: TimePoint,
    },
    /// An inquiry was sent to all VMs.
    Inquired {
        sent_at: TimePoint,
    },
    /// This VM is connected to few others and doesn't send the request to servers until it can ask most of them.
    BlockedLocally,
    /// The request completed at some VM.
    Cleared {
        at: TimePoint,
    },
}

/// A server that exited under a suspect.
#[derive(Clone, Debug)]
pub(super) struct Exit {
    pub(super) server: u64,
    pub(super) version: VersionTag,
    /// When it was first reported.
    pub(super) at: TimePoint,
    /// Whether this VM observed it itself.
    pub(super) is_own: bool,
    /// How far the answer was that had just begun, if any.
    pub(super) stage: RunStage,
    /// The requests that it ran.
    pub(super) requests: Vec<RequestDigest>,
    /// Other parts of these requests.
    pub(super) beside: Vec<PartDigest>,
    /// The quarantined suspect to which the exit is attributed.
    pub(super) attributed_to: Option<Suspect>,
}

impl Exit {
    /// Returns the exit of a server under a whole request, whatever its version and the stage of the answer.
    pub(super) fn of_request(
        request: RequestDigest,
        server: u64,
        is_own: bool,
        now: TimePoint,
    ) -> Self {
        let (version, stage) = (VersionTag(0), RunStage::Begun);
        let exit = ExitEvidence { server, version, stage, request, beside: Vec::new() };
        Self::of_part(exit, is_own, now)
    }

    /// Returns the exit of a server under a request with a part.
    pub(super) fn of_part(exit: ExitEvidence, is_own: bool, now: TimePoint) -> Self {
        let ExitEvidence { server, version, stage, request, beside } = exit;
        Self {
            server,
            version,
            at: now,
            is_own,
            stage,
            requests: vec![request],
            beside,
            attributed_to: None,
        }
    }

    /// Adds what another run at the same server shows.
    fn merge(&mut self, other: &Self) {
        self.is_own |= other.is_own;
        self.stage = self.stage.max(other.stage);
        for request in &other.requests {
            if self.requests.len() < MAX_REQUESTS_PER_EXIT && !self.requests.contains(request) {
                self.requests.push(*request);
            }
        }
        for part in &other.beside {
            if self.beside.len() < MAX_PARTS_BESIDE && !self.beside.contains(part) {
                self.beside.push(*part);
            }
        }
    }

    fn weight(&self) -> usize {
        if self.stage == RunStage::Begun { 2 } else { 1 }
    }
}

/// Distribution over time of the exits under a suspect, and whether they single it out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitPattern {
    /// Some belong to one event: copies of the request ran at the same time, or a rack lost power.
    Together,
    /// Each exit is a separate event.
    Separate,
    /// Another suspect ran at most of the same servers.
    Contested,
}

/// The first servers that exited under a suspect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExitedServers(Vec<u64>);

impl ExitedServers {
    pub(super) fn contains(&self, server: u64) -> bool {
        self.0.contains(&server)
    }

    /// Returns whether these are more servers than `other`, and so many of them that the rest wouldn't make a suspect.
    pub(super) fn explain(&self, other: &Self) -> bool {
        let left = other.0.iter().filter(|it| !self.contains(**it)).count();
        self.len() > other.len() && left < MIN_EXITS
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}

/// The exits under one suspect and what follows from them.
#[derive(Clone, Debug)]
pub(super) struct Case {
    /// One entry for each server, oldest first.
    pub(super) exits: Vec<Exit>,
    pub(super) state: CaseState,
    /// The versions at which a part completed, and when that was reported.
    pub(super) cleared_versions: Vec<(VersionTag, TimePoint)>,
}

impl Default for Case {
    fn default() -> Self {
        Self { exits: Vec::new(), state: CaseState::Open, cleared_versions: Vec::new() }
    }
}

impl Case {
    pub(super) fn is_suspected(&self) -> bool {
        matches!(
            self.state,
            CaseState::Suspected { .. } | CaseState::Inquired { .. } | CaseState::BlockedLocally
        )
    }

    /// Returns the other parts that were in requests at each of the servers, so that the exits may be due to them.
    pub(super) fn companions(&self) -> Vec<PartDigest> {
        let mut exits = self.unexplained();
        let Some(first) = exits.next() else { return Vec::new() };
        let mut common = first.beside.clone();
        exits.for_each(|exit| common.retain(|it| exit.beside.contains(it)));
        common
    }

    /// Returns the exits that no quarantined suspect explains.
    pub(super) fn unexplained(&self) -> impl Iterator<Item = &Exit> {
        self.exits.iter().filter(|it| it.attributed_to.is_none())
    }

    /// Returns whether its exits suffice for a suspect.
    pub(super) fn has_enough(&self, suspect: Suspect) -> bool {
        is_enough(suspect, self.unexplained())
    }

    /// Returns whether the exits that this VM observed itself suffice.
    pub(super) fn has_enough_own_exits(&self) -> bool {
        self.exits.iter().filter(|it| it.is_own).count() >= MIN_EXITS
    }

    /// Counts an exit. Each server counts once, however many runs at however many VMs report it.
    pub(super) fn count(&mut self, suspect: Suspect, exit: Exit) {
        let now = exit.at;
        if matches!(self.state, CaseState::Cleared { at } if now.since(at) > COMPLETION_TTL) {
            *self = Self::default();
        }
        if matches!(self.state, CaseState::Cleared { .. }) {
            return;
        }
        self.cleared_versions.retain(|(_, at)| now.since(*at) <= COMPLETION_TTL);
        if self.cleared_versions.iter().any(|(it, _)| *it == exit.version) {
            return;
        }
        self.exits.retain(|it| now.since(it.at) <= EXIT_TTL);
        match self.exits.iter_mut().find(|it| it.server == exit.server) {
            Some(known) => known.merge(&exit),
            None => self.exits.push(exit),
        }
        if self.state == CaseState::Open && self.has_enough(suspect) {
            self.state = CaseState::Suspected { since: now };
        }
    }

    /// Discards the exits at a version at which a part completed.
    pub(super) fn clear_version(&mut self, suspect: Suspect, version: VersionTag, now: TimePoint) {
        self.exits.retain(|it| it.version != version);
        self.cleared_versions.retain(|(it, _)| *it != version);
        self.cleared_versions.push((version, now));
        if !self.has_enough(suspect) {
            self.reopen();
        }
    }

    /// Waits for another exit.
    pub(super) fn reopen(&mut self) {
        if self.is_suspected() {
            self.state = CaseState::Open;
        }
    }

    /// Attributes the exits of these servers to a quarantined suspect: they don't count against this one, unless its
    /// quarantine is lifted. If the quarantined suspect is a request, its own runs say nothing against its parts that they
    /// didn't say before. A part under which all of these servers exited stays a suspect too: it may be the cause.
    pub(super) fn attribute(&mut self, me: Suspect, to: Suspect, servers: &ExitedServers) {
        let shared = self.unexplained().filter(|it| servers.contains(it.server)).count();
        if matches!(to, Suspect::Part(_)) && shared == servers.len() {
            return;
        }
        for exit in self.exits.iter_mut().filter(|it| servers.contains(it.server)) {
            let is_same_run =
                matches!(to, Suspect::Request(request) if exit.requests.contains(&request));
            if !is_same_run {
                exit.attributed_to = Some(to);
            }
        }
        if !self.has_enough(me) {
            self.reopen();
        }
    }

    /// Counts the exits again that were attributed to a suspect whose quarantine was lifted.
    pub(super) fn withdraw_attribution(&mut self, from: Suspect) {
        for exit in self.exits.iter_mut().filter(|it| it.attributed_to == Some(from)) {
            exit.attributed_to = None;
        }
    }

    pub(super) fn servers(&self) -> ExitedServers {
        ExitedServers(self.unexplained().map(|it| it.server).take(MAX_REPORTED_SERVERS).collect())
    }

    pub(super) fn inquiry_timeout(&self, suspect: Suspect) -> Duration {
        match self.timing(suspect) {
            ExitPattern::Together => MAX_INQUIRY_TIMEOUT,
            ExitPattern::Separate | ExitPattern::Contested => INQUIRY_TIMEOUT,
        }
    }

    /// Returns how the counted exits are distributed over time. A caller repeats a request right after its server exited,
    /// so that exits under the same part come in groups.
    pub(super) fn timing(&self, suspect: Suspect) -> ExitPattern {
        let min_events = match suspect {
            Suspect::Request(_) => MIN_EXITS,
            Suspect::Part(_) => MIN_REQUESTS,
        };
        let mut events = 0;
        let mut newest: Option<TimePoint> = None;
        for Exit { at, .. } in self.unexplained() {
            if newest.is_none_or(|it| at.since(it) >= SAME_EVENT_WINDOW) {
                events += 1;
                newest = Some(*at);
            }
        }
        if events < min_events { ExitPattern::Together } else { ExitPattern::Separate }
    }
}

/// Returns whether exits make a suspect of what they happened under.
pub(super) fn is_enough<'a>(suspect: Suspect, exits: impl Iterator<Item = &'a Exit>) -> bool {
    let mut count = 0;
    let mut weight = 0;
    let mut requests: Vec<RequestDigest> = Vec::new();
    for exit in exits {
        count += 1;
        weight += exit.weight();
        let new = exit.requests.iter().filter(|it| !requests.contains(it));
        let new: Vec<_> = new.copied().take(MIN_REQUESTS).collect();
        if requests.len() < MIN_REQUESTS {
            requests.extend(new);
        }
    }
    match suspect {
        Suspect::Request(_) => count >= MIN_EXITS,
        Suspect::Part(_) => {
            count >= MIN_EXITS && weight >= MIN_PART_WEIGHT && requests.len() >= MIN_REQUESTS
        }
    }
}
