//! Quarantines requests, and parts of prompts, that crash the servers that run them.
//!
//! A caller repeats a request that crashes its server, each time as a new attempt and at another VM. Server after
//! server exits, and every caller whose request ran beside it loses its answer, although each attempt and each VM stays
//! within its own limits. Exits are therefore counted by the content of the request ([`RequestDigest`]) instead of by
//! attempt, and over all VMs:
//!
//! 1. A VM that observes the exit of a server that ran one of its requests reports it to the request's arbiters: three
//!    VMs that every VM derives from the digest in the same way ([`arbiters`]).
//! 2. An arbiter that counts three exits asks all VMs whether the same request completed anywhere recently. A request
//!    that did isn't the cause: popular requests run on servers that exit now and then. If several requests ran on the
//!    same servers, the arbiter waits for an exit that distinguishes them.
//! 3. If it completed nowhere, the request is quarantined: the arbiter notifies all VMs, and an entry in the platform's
//!    store informs VMs that start later. From then on the request reaches servers only in trials. Trials are counted
//!    in the entry, so that all VMs together make no more of them than one VM would; a trial that completes lifts the
//!    quarantine.
//!
//! A part of prompts may crash servers too, whatever else a request holds. No two requests with it are alike, so that
//! none of them has more than one exit. Each part is therefore a [`Suspect`] of its own, with arbiters, inquiries, an
//! entry and trials like those of a request. What differs is the evidence ([`ExitEvidence`]): many parts are in each
//! request and in many others, so that exits count by how far the answer was, and only under different requests; and a
//! part may crash one software version and not another ([`PartFindings`]).
//!
//! This suffices because each exit is counted once however many VMs observe it, two of the three arbiters may be down
//! or partitioned, and a conditional write keeps the number of trials.

mod arbiters;
mod case;
mod cases;
mod completed;
mod evidence;
mod messages;
mod observation;
mod outbox;
mod quarantine;
mod suspect;
mod verdict;

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use quincevalve_names::TimePoint;

use self::{
    arbiters::VmRanking,
    case::{Exit, MAX_INQUIRY_TIMEOUT},
    cases::{Cases, Connectivity, Step},
    completed::{CompletedParts, Completions},
    outbox::{Outbox, QueuedMessage, Recipient},
    quarantine::Quarantine,
    verdict::UncertainVerdict,
};
pub use self::{
    arbiters::arbiters,
    case::{ExitPattern, ExitedServers},
    evidence::{ExitEvidence, PartFindings, RunStage},
    messages::PoisonMessage,
    observation::Observation,
    quarantine::{PartEntry, QuarantineEntry, SendDecision},
    suspect::Suspect,
    verdict::Verdict,
};
use crate::{prompt_parts::PartDigest, request_digest::RequestDigest, stream_versions::VersionTag};

/// Retry delay for callers of a request that this VM blocks because it can't ask other VMs about it.
const LOCAL_BLOCK_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Maximum number of completed requests kept: those of one VM in two minutes at ten times its usual rate, in half a
/// megabyte.
const MAX_COMPLETED_REQUESTS: usize = 8_192;
/// Maximum number of other parts that the report of an exit names.
const MAX_REPORTED_BESIDE: usize = 4;
/// Time for which this VM may withdraw its quarantine of a part.
const WITHDRAWAL_WINDOW: Duration = Duration::from_secs(30);
/// Maximum number of observations kept for the log.
const MAX_OBSERVATIONS: usize = 256;

/// The quarantine state of one VM.
#[derive(Debug)]
pub struct PoisonGuard {
    me: String,
    completed: Completions<RequestDigest>,
    completed_parts: CompletedParts,
    cases: Cases,
    quarantine: Quarantine,
    outbox: Outbox,
    /// Suspects that an arbiter inquires about, and until when a completion is reported to the arbiters.
    inquiries: IndexMap<Suspect, TimePoint>,
    /// Suspected requests that this VM doesn't send to servers until it can ask the other VMs.
    blocked_locally: IndexSet<Suspect>,
    /// Quarantines that aren't written to the store yet.
    unwritten: Vec<Verdict>,
    /// Parts that this VM quarantined lately although another suspect may be the cause.
    decided: Vec<UncertainVerdict>,
    /// Parts whose quarantine by this VM turned out to be wrong.
    withdrawn: Vec<PartDigest>,
    observations: Vec<Observation>,
}

impl PoisonGuard {
    /// Creates the state of the VM named `me`.
    pub fn new(me: &str) -> Self {
        Self {
            me: me.to_owned(),
            completed: Completions::new(MAX_COMPLETED_REQUESTS, Duration::ZERO),
            completed_parts: CompletedParts::default(),
            cases: Cases::default(),
            quarantine: Quarantine::default(),
            outbox: Outbox::default(),
            inquiries: IndexMap::new(),
            blocked_locally: IndexSet::new(),
            unwritten: Vec::new(),
            decided: Vec::new(),
            withdrawn: Vec::new(),
            observations: Vec::new(),
        }
    }

    /// Records that a server exited while it ran a request of this VM.
    pub fn record_server_exit(&mut self, digest: RequestDigest, server: u64, now: TimePoint) {
        if self.completed.contains(digest, now) || self.quarantine.is_known(digest.into(), now) {
            return;
        }
        self.outbox.report_exit(&PoisonMessage::Exited { digest, server }, now);
        self.cases.count(digest.into(), Exit::of_request(digest, server, true, now));
    }

    /// Records that a server exited while it ran a request of this VM whose prompt holds these parts. `exit` doesn't say
    /// yet what else may have made the server exit.
    pub fn record_part_exits(&mut self, parts: &[PartDigest], exit: &ExitEvidence, now: TimePoint) {
        let is_possible =
            |it: &&PartDigest| !self.completed_parts.contains(**it, exit.version, now);
        let possible: Vec<PartDigest> = parts.iter().filter(is_possible).copied().collect();
        for part in &possible {
            if self.quarantine.bars(*part, exit.version, now) {
                continue;
            }
            let others = possible.iter().filter(|it| *it != part);
            let beside = others.copied().take(MAX_REPORTED_BESIDE).collect();
            let exit = ExitEvidence { beside, ..exit.clone() };
            let message = PoisonMessage::PartExited { part: *part, exit: exit.clone() };
            self.outbox.report_exit(&message, now);
            self.cases.count((*part).into(), Exit::of_part(exit, true, now));
        }
    }

    /// Records that a request of this VM completed. Returns `true` if it is quarantined, which the completion lifts.
    pub fn record_completion(&mut self, digest: RequestDigest, now: TimePoint) -> bool {
        self.completed.record(digest, now);
        self.cases.mark_cleared(digest.into(), now);
        self.report_if_inquired(PoisonMessage::Completed(digest), now);
        self.quarantine.is_known(digest.into(), now)
    }

    /// Records that a request of this VM whose prompt holds these parts completed at a server of a version. Returns the
    /// parts whose quarantine at that version this lifts.
    pub fn record_part_completions(
        &mut self,
        parts: &[PartDigest],
        version: VersionTag,
        now: TimePoint,
    ) -> Vec<PartDigest> {
        for part in parts {
            self.completed_parts.record(*part, version, now);
            self.cases.mark_version_cleared((*part).into(), version, now);
            self.report_if_inquired(PoisonMessage::PartCompleted { part: *part, version }, now);
        }
        let barred = parts.iter().filter(|it| self.quarantine.bars(**it, version, now));
        barred.copied().collect()
    }

    fn report_if_inquired(&mut self, message: PoisonMessage, now: TimePoint) {
        if self.inquiries.shift_remove(&message.suspect()).is_some_and(|until| until > now) {
            self.outbox.send(Recipient::Arbiters, message, now);
        }
    }

    /// Returns whether a request may be sent to a server. `wall_clock_ms` is in Unix milliseconds; `None` if unknown.
    pub fn send_decision(
        &self,
        digest: RequestDigest,
        now: TimePoint,
        wall_clock_ms: Option<i64>,
    ) -> SendDecision {
        let suspect = digest.into();
        if self.blocked_locally.contains(&suspect) && self.cases.is_suspected(suspect) {
            return SendDecision::Quarantined(LOCAL_BLOCK_RETRY_DELAY);
        }
        self.quarantine.send_decision(suspect, now, wall_clock_ms)
    }

    /// Returns whether requests with a part may be sent to servers of a version. They may where one of this VM's completed
    /// recently, whatever other VMs decided.
    pub fn part_decision(
        &self,
        part: PartDigest,
        version: VersionTag,
        now: TimePoint,
        wall_clock_ms: Option<i64>,
    ) -> SendDecision {
        if !self.quarantine.bars(part, version, now)
            || self.completed_parts.contains(part, version, now)
        {
            return SendDecision::Allowed;
        }
        self.quarantine.send_decision(part.into(), now, wall_clock_ms)
    }

    /// Returns whether any request is quarantined or blocked here, so that digests have to be compared.
    pub fn has_quarantined(&self) -> bool {
        self.quarantine.has_requests() || !self.blocked_locally.is_empty()
    }

    /// Returns whether any part is quarantined, so that the parts of prompts have to be compared.
    pub fn has_quarantined_parts(&self) -> bool {
        self.quarantine.has_parts()
    }

    /// Returns the quarantined requests that have an entry in the store.
    pub fn stored_entries(&self) -> impl Iterator<Item = (RequestDigest, QuarantineEntry)> {
        self.quarantine.stored_entries()
    }

    /// Returns the quarantined parts that have an entry in the store.
    pub fn stored_part_entries(&self) -> impl Iterator<Item = (PartDigest, PartEntry)> {
        self.quarantine.stored_part_entries()
    }

    /// Applies the store's entry of a request.
    pub fn apply_entry(&mut self, digest: RequestDigest, entry: QuarantineEntry) {
        self.cases.remove(digest.into());
        self.quarantine.apply_entry(digest, entry);
    }

    /// Applies the store's entry of a part.
    pub fn apply_part_entry(&mut self, part: PartDigest, entry: PartEntry, now: TimePoint) {
        self.cases.remove(part.into());
        self.cases.attribute_exits(part.into(), &entry.servers);
        self.withdraw_explained(part.into(), &entry.servers, now);
        self.quarantine.apply_part_entry(part, entry);
    }

    /// Applies the removal of an entry of the store: what it was about may be sent again, and its exits are discarded.
    pub fn remove_entry(&mut self, suspect: impl Into<Suspect>, now: TimePoint) {
        let suspect = suspect.into();
        self.cases.remove(suspect);
        self.cases.withdraw_attribution(suspect);
        self.quarantine.remove_entry(suspect, now);
    }

    /// Replaces the known entries by all entries of the store.
    pub fn replace_all(
        &mut self,
        requests: impl IntoIterator<Item = (RequestDigest, QuarantineEntry)>,
        parts: impl IntoIterator<Item = (PartDigest, PartEntry)>,
        now: TimePoint,
    ) {
        let requests: IndexMap<_, _> = requests.into_iter().collect();
        let parts: IndexMap<_, _> = parts.into_iter().collect();
        let known_requests = self.stored_entries().map(|(it, _)| it);
        let removed = known_requests.filter(|it| !requests.contains_key(it)).map(Suspect::Request);
        let known_parts = self.stored_part_entries().map(|(it, _)| it);
        let removed_parts = known_parts.filter(|it| !parts.contains_key(it)).map(Suspect::Part);
        for suspect in removed.chain(removed_parts).collect::<Vec<_>>() {
            self.remove_entry(suspect, now);
        }
        for (digest, entry) in requests {
            self.apply_entry(digest, entry);
        }
        for (part, entry) in parts {
            self.apply_part_entry(part, entry, now);
        }
    }

    /// Records that a trial is requested from the store, so that repeats of the request don't ask for it again
    /// meanwhile.
    pub fn record_trial_request(&mut self, suspect: impl Into<Suspect>, now: TimePoint) {
        self.quarantine.record_trial_request(suspect.into(), now);
    }

    /// Handles a message of the VM named `from`.
    pub fn receive(&mut self, from: &str, message: PoisonMessage, now: TimePoint) {
        match message {
            PoisonMessage::Exited { digest, server } => {
                if !self.quarantine.is_known(digest.into(), now) {
                    self.cases.count(digest.into(), Exit::of_request(digest, server, false, now));
                }
            }
            PoisonMessage::PartExited { part, exit } => {
                if !self.quarantine.bars(part, exit.version, now) {
                    self.cases.count(part.into(), Exit::of_part(exit, false, now));
                }
            }
            PoisonMessage::Inquiry { digest, servers } => {
                self.cases.apply_competing_inquiry(digest.into(), &servers, now);
                if self.completed.contains(digest, now) {
                    let answer = PoisonMessage::Completed(digest);
                    self.outbox.send(Recipient::Vm(from.to_owned()), answer, now);
                } else {
                    self.await_completion(digest.into(), now);
                }
            }
            PoisonMessage::PartInquiry { part, servers } => {
                self.cases.apply_competing_inquiry(part.into(), &servers, now);
                for version in self.completed_parts.versions(part, now) {
                    let answer = PoisonMessage::PartCompleted { part, version };
                    self.outbox.send(Recipient::Vm(from.to_owned()), answer, now);
                }
                self.await_completion(part.into(), now);
            }
            PoisonMessage::Completed(digest) => {
                self.cases.mark_cleared(digest.into(), now);
            }
            PoisonMessage::PartCompleted { part, version } => {
                let suspect = part.into();
                if self.cases.is_suspected(suspect) {
                    self.observe(Observation::Cleared { suspect, by: from.to_owned() });
                }
                self.cases.mark_version_cleared(suspect, version, now);
            }
            PoisonMessage::Quarantined { digest, servers } => {
                self.hear_quarantine(from, digest.into(), &servers, PartFindings::default(), now);
            }
            PoisonMessage::PartQuarantined { part, servers, findings } => {
                self.hear_quarantine(from, part.into(), &servers, findings, now);
            }
        }
    }

    /// Reports the next completion of a suspect to its arbiters, for as long as they wait for it.
    fn await_completion(&mut self, suspect: Suspect, now: TimePoint) {
        self.inquiries.retain(|_, until| *until > now);
        self.inquiries.insert(suspect, now + MAX_INQUIRY_TIMEOUT);
    }

    fn hear_quarantine(
        &mut self,
        from: &str,
        suspect: Suspect,
        servers: &ExitedServers,
        findings: PartFindings,
        now: TimePoint,
    ) {
        if !self.quarantine.is_known(suspect, now) {
            self.observe(Observation::Heard { suspect, from: from.to_owned() });
        }
        self.cases.remove(suspect);
        self.cases.attribute_exits(suspect, servers);
        self.withdraw_explained(suspect, servers, now);
        self.quarantine.apply_report(suspect, findings, now);
    }

    /// Withdraws this VM's quarantines of parts whose exits a quarantined suspect explains, together with others.
    ///
    /// If the arbiters of the part that crashes servers stand still, those of an innocent part that was on most of the same
    /// servers decide before them.
    fn withdraw_explained(&mut self, by: Suspect, servers: &ExitedServers, now: TimePoint) {
        self.decided.retain(|it| now.since(it.at) <= WITHDRAWAL_WINDOW);
        let is_explained = |it: &mut UncertainVerdict| {
            let came_together = it.companions.iter().any(|part| by == Suspect::Part(*part));
            by != Suspect::Part(it.part) && !came_together && servers.explain(&it.servers)
        };
        let explained = self.decided.extract_if(.., is_explained);
        self.withdrawn.extend(explained.map(|it| it.part));
    }

    /// Takes the parts whose quarantine by this VM has to be lifted, once the store lists them: the removal of the entry
    /// reaches all VMs.
    pub fn take_withdrawn(&mut self) -> Vec<PartDigest> {
        let quarantine = &self.quarantine;
        self.withdrawn.extract_if(.., |it| quarantine.is_listed((*it).into())).collect()
    }

    fn observe(&mut self, observation: Observation) {
        if self.observations.len() < MAX_OBSERVATIONS {
            self.observations.push(observation);
        }
    }

    /// Takes what happened since the last call.
    pub fn take_observations(&mut self) -> Vec<Observation> {
        std::mem::take(&mut self.observations)
    }

    /// Returns whether [`Self::tick`] has anything to do.
    pub fn is_due(&self, now: TimePoint) -> bool {
        self.outbox.is_due(now)
            || self.cases.is_due()
            || !self.blocked_locally.is_empty()
            || !self.withdrawn.is_empty()
    }

    /// Makes the decisions that are due and returns the messages to send, each with its recipient.
    ///
    /// `names` are all listed VMs, this one included; `connected_fraction` is the fraction of them that this VM
    /// received datagrams from recently.
    pub fn tick(
        &mut self,
        names: &[&str],
        connected_fraction: f64,
        now: TimePoint,
    ) -> Vec<(String, PoisonMessage)> {
        let vms = VmRanking::new(names);
        let connectivity = Connectivity::from_fraction(connected_fraction);
        for step in self.cases.tick(&vms, &self.me, connectivity, now) {
            self.apply_step(step, now);
        }
        self.blocked_locally.retain(|it| self.cases.is_suspected(*it));
        let mut messages = Vec::new();
        for QueuedMessage { to, message, is_first, .. } in self.outbox.take_due(now) {
            let recipients = match &to {
                Recipient::Arbiters => vms.arbiters(message.suspect()),
                Recipient::Vm(name) => vec![name.as_str()],
                Recipient::All => vms.names().collect(),
            };
            if is_first && let PoisonMessage::PartExited { part, exit } = &message {
                let arbiters = recipients.iter().map(|it| (*it).to_owned()).collect();
                let (suspect, request) = ((*part).into(), exit.request);
                self.observe(Observation::Reported { suspect, request, arbiters });
            }
            for name in recipients {
                if name != self.me {
                    messages.push((name.to_owned(), message.clone()));
                } else if !matches!(to, Recipient::All) {
                    // Messages to all VMs were applied here when they were queued.
                    self.receive(name, message.clone(), now);
                }
            }
        }
        messages
    }

    /// Takes the quarantines that have to be written to the store.
    pub fn take_unwritten(&mut self) -> Vec<Verdict> {
        std::mem::take(&mut self.unwritten)
    }

    /// Reports a quarantine to all VMs again, because the store can't be written.
    pub fn report_again(&mut self, verdict: &Verdict, now: TimePoint) {
        let Verdict { suspect, findings, servers, .. } = verdict.clone();
        self.quarantine.apply_report(suspect, findings.clone(), now);
        let message = PoisonMessage::quarantined(suspect, servers, findings);
        self.outbox.send(Recipient::All, message, now);
    }

    fn apply_step(&mut self, step: Step, now: TimePoint) {
        match step {
            Step::Inquire { suspect: Suspect::Request(digest), .. }
                if self.completed.contains(digest, now) =>
            {
                self.cases.mark_cleared(digest.into(), now);
            }
            Step::Inquire { suspect, servers } => {
                if let Suspect::Part(part) = suspect {
                    for version in self.completed_parts.versions(part, now) {
                        self.cases.mark_version_cleared(suspect, version, now);
                    }
                    if !self.cases.is_suspected(suspect) {
                        return;
                    }
                }
                self.observe(Observation::Inquired { suspect, exits: servers.len() });
                self.cases.apply_competing_inquiry(suspect, &servers, now);
                self.outbox.inquire(PoisonMessage::inquiry(suspect, servers), now);
            }
            Step::BlockLocally(suspect) => {
                self.blocked_locally.insert(suspect);
            }
            Step::Quarantine { suspect, servers, exits, findings, companions } => {
                if let Suspect::Part(part) = suspect
                    && exits == ExitPattern::Contested
                {
                    let servers = servers.clone();
                    self.decided.push(UncertainVerdict { part, servers, companions, at: now });
                }
                self.withdraw_explained(suspect, &servers, now);
                self.cases.attribute_exits(suspect, &servers);
                self.quarantine.apply_report(suspect, findings.clone(), now);
                let message =
                    PoisonMessage::quarantined(suspect, servers.clone(), findings.clone());
                self.unwritten.push(Verdict { suspect, exits, findings, servers });
                self.outbox.send(Recipient::All, message, now);
            }
        }
    }
}
