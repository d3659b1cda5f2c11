//! Quarantines requests that crash the servers that run them.
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
//! This suffices because each exit is counted once however many VMs observe it, two of the three arbiters may be down
//! or partitioned, and a conditional write keeps the number of trials.

mod cases;
mod completed;
mod evidence;
mod outbox;
mod quarantine;

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use quincevalve_names::{TimePoint, hash_text, rendezvous_score};
use serde::{Deserialize, Serialize};

use self::{
    cases::{Cases, Connectivity, MAX_INQUIRY_TIMEOUT, Step},
    completed::CompletedRuns,
    outbox::{Outbox, QueuedMessage, Recipient},
    quarantine::Quarantine,
};
pub use self::{
    cases::{ExitPattern, ExitedServers},
    evidence::RunStage,
    quarantine::{QuarantineEntry, SendDecision},
};
use crate::request_digest::RequestDigest;

/// Number of VMs that count the exits under one request: one may be partitioned while another is restarted.
const ARBITERS: usize = 3;

/// Retry delay for callers of a request that this VM blocks because it can't ask other VMs about it.
const LOCAL_BLOCK_RETRY_DELAY: Duration = Duration::from_secs(5);

/// A message between VMs about a request under which servers exit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoisonMessage {
    /// A server exited while it ran this request.
    Exited {
        /// The request.
        digest: RequestDigest,
        /// Identifies that start of the server, as returned by [`start_hash`](crate::servers::start_hash).
        server: u64,
    },
    /// Asks whether the request completed recently.
    Inquiry {
        /// The request.
        digest: RequestDigest,
        /// Servers that exited under it.
        servers: ExitedServers,
    },
    /// The request completed recently.
    Completed(RequestDigest),
    /// The request is quarantined.
    Quarantined {
        /// The request.
        digest: RequestDigest,
        /// Servers that exited under it.
        servers: ExitedServers,
    },
}

/// Returns the VMs that count the exits under a request, in the order in which they decide.
///
/// VMs that know the same names get the same result.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::{poison::arbiters, request_digest::RequestDigest};
/// let names = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"];
/// let chosen = arbiters(RequestDigest(7), &names);
/// assert_eq!(chosen.len(), 3);
/// // They stay the same when another VM is removed.
/// let removed = names.iter().copied().find(|it| !chosen.contains(it)).unwrap();
/// let remaining: Vec<_> = names.iter().copied().filter(|it| *it != removed).collect();
/// assert_eq!(arbiters(RequestDigest(7), &remaining), chosen);
/// ```
pub fn arbiters<'a>(digest: RequestDigest, names: &[&'a str]) -> Vec<&'a str> {
    let score = |it: &&str| std::cmp::Reverse(rendezvous_score(digest.0, hash_text(it)));
    let mut ranked = names.to_vec();
    ranked.sort_by_cached_key(score);
    ranked.truncate(ARBITERS);
    ranked
}

/// The quarantine state of one VM.
#[derive(Debug)]
pub struct PoisonGuard {
    me: String,
    completed: CompletedRuns,
    cases: Cases,
    quarantine: Quarantine,
    outbox: Outbox,
    /// Requests that an arbiter inquires about, and until when a completion is reported to the arbiters.
    inquiries: IndexMap<RequestDigest, TimePoint>,
    /// Suspected requests that this VM doesn't send to servers until it can ask the other VMs.
    blocked_locally: IndexSet<RequestDigest>,
    /// Requests whose quarantine isn't written to the store yet.
    unwritten: Vec<(RequestDigest, ExitPattern)>,
}

impl PoisonGuard {
    /// Creates the state of the VM named `me`.
    pub fn new(me: &str) -> Self {
        Self {
            me: me.to_owned(),
            completed: CompletedRuns::default(),
            cases: Cases::default(),
            quarantine: Quarantine::default(),
            outbox: Outbox::default(),
            inquiries: IndexMap::new(),
            blocked_locally: IndexSet::new(),
            unwritten: Vec::new(),
        }
    }

    /// Records that a server exited while it ran a request of this VM.
    pub fn record_server_exit(&mut self, digest: RequestDigest, server: u64, now: TimePoint) {
        if self.completed.contains(digest, now) || self.quarantine.is_known(digest, now) {
            return;
        }
        self.outbox.report_exit(digest, server, now);
        self.cases.record_own_exit(digest, server, now);
    }

    /// Records that a request of this VM completed. Returns `true` if it is quarantined, which the completion lifts.
    pub fn record_completion(&mut self, digest: RequestDigest, now: TimePoint) -> bool {
        self.completed.record(digest, now);
        self.cases.mark_cleared(digest, now);
        if self.inquiries.shift_remove(&digest).is_some_and(|until| until > now) {
            self.outbox.send(Recipient::Arbiters, PoisonMessage::Completed(digest), now);
        }
        self.quarantine.is_known(digest, now)
    }

    /// Returns whether a request may be sent to a server. `wall_clock_ms` is in Unix milliseconds; `None` if unknown.
    pub fn send_decision(
        &self,
        digest: RequestDigest,
        now: TimePoint,
        wall_clock_ms: Option<i64>,
    ) -> SendDecision {
        if self.blocked_locally.contains(&digest) && self.cases.is_suspected(digest) {
            return SendDecision::Quarantined(LOCAL_BLOCK_RETRY_DELAY);
        }
        self.quarantine.send_decision(digest, now, wall_clock_ms)
    }

    /// Returns whether any request is quarantined or blocked here, so that digests have to be compared.
    pub fn has_quarantined(&self) -> bool {
        !self.quarantine.is_empty() || !self.blocked_locally.is_empty()
    }

    /// Returns the quarantined requests that have an entry in the store.
    pub fn stored_entries(&self) -> impl Iterator<Item = (RequestDigest, QuarantineEntry)> {
        self.quarantine.stored_entries()
    }

    /// Applies an entry of the store.
    pub fn apply_entry(&mut self, digest: RequestDigest, entry: QuarantineEntry) {
        self.cases.remove(digest);
        self.quarantine.apply_entry(digest, entry);
    }

    /// Applies the removal of an entry of the store: the request may be sent again, and its exits are discarded.
    pub fn remove_entry(&mut self, digest: RequestDigest, now: TimePoint) {
        self.cases.remove(digest);
        self.quarantine.remove_entry(digest, now);
    }

    /// Replaces the known entries by all entries of the store.
    pub fn replace_all(
        &mut self,
        entries: impl IntoIterator<Item = (RequestDigest, QuarantineEntry)>,
        now: TimePoint,
    ) {
        let entries: Vec<_> = entries.into_iter().collect();
        let removed: Vec<_> = self.stored_entries().map(|(digest, _)| digest).collect();
        for digest in
            removed.into_iter().filter(|it| !entries.iter().any(|(listed, _)| listed == it))
        {
            self.remove_entry(digest, now);
        }
        for (digest, entry) in entries {
            self.apply_entry(digest, entry);
        }
    }

    /// Records that a trial is requested from the store, so that repeats of the request don't ask for it again
    /// meanwhile.
    pub fn record_trial_request(&mut self, digest: RequestDigest, now: TimePoint) {
        self.quarantine.record_trial_request(digest, now);
    }

    /// Handles a message of the VM named `from`.
    pub fn receive(&mut self, from: &str, message: PoisonMessage, now: TimePoint) {
        match message {
            PoisonMessage::Exited { digest, server } => {
                if !self.quarantine.is_known(digest, now) {
                    self.cases.record_reported_exit(digest, server, now);
                }
            }
            PoisonMessage::Inquiry { digest, servers } => {
                self.cases.apply_competing_inquiry(digest, &servers);
                if self.completed.contains(digest, now) {
                    let answer = PoisonMessage::Completed(digest);
                    self.outbox.send(Recipient::Vm(from.to_owned()), answer, now);
                } else {
                    self.inquiries.retain(|_, until| *until > now);
                    self.inquiries.insert(digest, now + MAX_INQUIRY_TIMEOUT);
                }
            }
            PoisonMessage::Completed(digest) => self.cases.mark_cleared(digest, now),
            PoisonMessage::Quarantined { digest, servers } => {
                self.cases.remove(digest);
                self.cases.discard_attributed_exits(&servers);
                self.quarantine.apply_report(digest, now);
            }
        }
    }

    /// Returns whether [`Self::tick`] has anything to do.
    pub fn is_due(&self, now: TimePoint) -> bool {
        self.outbox.is_due(now) || self.cases.is_due() || !self.blocked_locally.is_empty()
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
        for step in
            self.cases.tick(names, &self.me, Connectivity::from_fraction(connected_fraction), now)
        {
            self.apply_step(step, now);
        }
        self.blocked_locally.retain(|it| self.cases.is_suspected(*it));
        let mut messages = Vec::new();
        for QueuedMessage { to, message, .. } in self.outbox.take_due(now) {
            for name in recipients(&to, &message, names) {
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
    pub fn take_unwritten(&mut self) -> Vec<(RequestDigest, ExitPattern)> {
        std::mem::take(&mut self.unwritten)
    }

    fn apply_step(&mut self, step: Step, now: TimePoint) {
        match step {
            Step::Inquire { digest, .. } if self.completed.contains(digest, now) => {
                self.cases.mark_cleared(digest, now);
            }
            Step::Inquire { digest, servers } => {
                self.cases.apply_competing_inquiry(digest, &servers);
                self.outbox.inquire(PoisonMessage::Inquiry { digest, servers }, now);
            }
            Step::BlockLocally(digest) => {
                self.blocked_locally.insert(digest);
            }
            Step::Quarantine { digest, servers, exits } => {
                self.cases.discard_attributed_exits(&servers);
                self.quarantine.apply_report(digest, now);
                self.unwritten.push((digest, exits));
                let message = PoisonMessage::Quarantined { digest, servers };
                self.outbox.send(Recipient::All, message, now);
            }
        }
    }
}

fn recipients<'a>(to: &'a Recipient, message: &PoisonMessage, names: &[&'a str]) -> Vec<&'a str> {
    match (to, message) {
        (
            Recipient::Arbiters,
            PoisonMessage::Exited { digest, .. } | PoisonMessage::Completed(digest),
        ) => arbiters(*digest, names),
        (Recipient::Vm(name), _) => vec![name],
        (Recipient::Arbiters | Recipient::All, _) => names.to_vec(),
    }
}
