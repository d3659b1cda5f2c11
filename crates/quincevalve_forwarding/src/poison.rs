//! Keeps a request that ends each server that runs it from reaching more and more of them.
//!
//! Failure: a request crashes the server that runs it, and its caller repeats it, each time as a new attempt and at
//! another VM. Symptom: server after server exits, and every caller whose request ran beside it loses its answer, though
//! each attempt and each VM keeps its own bounds. So what counts is not the attempt but what is asked for
//! ([`RequestDigest`]), and not what one VM saw but what all of them did:
//!
//! 1. A VM under whose request a server exited reports it to the request's arbiters, three VMs that all VMs choose alike
//!    from its digest ([`arbiters`]).
//! 2. An arbiter that counts three exits asks all VMs whether the same request ended well somewhere lately. One that did
//!    can't be what ends servers: popular requests are on a server that exits now and then. Where several requests were on
//!    the same servers, it waits for an exit that tells them apart.
//! 3. If none did, the request is quarantined: all VMs are told, and an entry in the platform's store tells those that
//!    start later. It reaches a server again only in trials that are counted there, so that all VMs together make no
//!    more of them than one would; a trial that ends well lifts the quarantine.
//!
//! Why that is enough: each exit under the request is counted once wherever it was seen, two of the three arbiters may be
//! gone or cut off, and the number of trials is kept by a conditional write.

mod cases;
mod completed;
mod outbox;
mod quarantine;

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use quincevalve_names::{TimePoint, hash_text, rendezvous_score};
use serde::{Deserialize, Serialize};

use self::{
    cases::{Cases, Hears, LONGEST_INQUIRY, Step},
    completed::CompletedRuns,
    outbox::{Item, Outbox, Recipient},
    quarantine::Quarantine,
};
pub use self::{
    cases::{Exits, Servers},
    quarantine::{QuarantineEntry, Standing},
};
use crate::request_digest::RequestDigest;

/// VMs that count the exits under one request: one may be cut off while another is restarted.
const ARBITERS: usize = 3;

/// How long the caller of a request is told to stay away that this VM can't ask others about.
const HELD_HERE: Duration = Duration::from_secs(5);

/// What VMs tell each other of requests under which servers exit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PoisonMessage {
    /// A server exited while it ran this request.
    Exited {
        /// The request.
        digest: RequestDigest,
        /// That start of the server, as [`start_hash`](crate::servers::start_hash) has it.
        server: u64,
    },
    /// Has it ended well lately?
    Inquiry {
        /// The request.
        digest: RequestDigest,
        /// Servers that exited under it.
        servers: Servers,
    },
    /// It has ended well lately.
    Completed(RequestDigest),
    /// It is quarantined.
    Quarantined {
        /// The request.
        digest: RequestDigest,
        /// Servers that exited under it.
        servers: Servers,
    },
}

/// The VMs that count the exits under a request, the first to decide first; the same everywhere where the same VMs are
/// known.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::{poison::arbiters, request_digest::RequestDigest};
/// let names = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"];
/// let chosen = arbiters(RequestDigest(7), &names);
/// assert_eq!(chosen.len(), 3);
/// // When another VM goes, they stay.
/// let gone = names.iter().copied().find(|it| !chosen.contains(it)).unwrap();
/// let left: Vec<_> = names.iter().copied().filter(|it| *it != gone).collect();
/// assert_eq!(arbiters(RequestDigest(7), &left), chosen);
/// ```
pub fn arbiters<'a>(digest: RequestDigest, names: &[&'a str]) -> Vec<&'a str> {
    let score = |it: &&str| std::cmp::Reverse(rendezvous_score(digest.0, hash_text(it)));
    let mut ranked = names.to_vec();
    ranked.sort_by_cached_key(score);
    ranked.truncate(ARBITERS);
    ranked
}

/// One VM's part in it.
#[derive(Debug)]
pub struct PoisonGuard {
    me: String,
    completed: CompletedRuns,
    cases: Cases,
    quarantine: Quarantine,
    outbox: Outbox,
    /// Requests whose arbiters asked for a good end, and until when they wait for it.
    inquiries: IndexMap<RequestDigest, TimePoint>,
    /// Requests that this VM keeps from servers until it can ask the others, as long as they are accused.
    held_here: IndexSet<RequestDigest>,
    /// Requests whose quarantine has to be written to the store.
    unwritten: Vec<(RequestDigest, Exits)>,
}

impl PoisonGuard {
    /// The part of the VM of that name.
    pub fn new(me: &str) -> Self {
        Self {
            me: me.to_owned(),
            completed: CompletedRuns::default(),
            cases: Cases::default(),
            quarantine: Quarantine::default(),
            outbox: Outbox::default(),
            inquiries: IndexMap::new(),
            held_here: IndexSet::new(),
            unwritten: Vec::new(),
        }
    }

    /// Notes that a server exited while it ran a request of this VM.
    pub fn server_exited(&mut self, digest: RequestDigest, server: u64, now: TimePoint) {
        if self.completed.has(digest, now) || self.quarantine.is_known(digest, now) {
            return;
        }
        self.outbox.report(digest, server, now);
        self.cases.report_own(digest, server, now);
    }

    /// Notes that a request of this VM ended well. `true` if it was quarantined, which its good end lifts.
    pub fn completed(&mut self, digest: RequestDigest, now: TimePoint) -> bool {
        self.completed.note(digest, now);
        self.cases.cleared(digest, now);
        if self.inquiries.shift_remove(&digest).is_some_and(|until| until > now) {
            self.outbox.send(Recipient::Arbiters, PoisonMessage::Completed(digest), now);
        }
        self.quarantine.is_known(digest, now)
    }

    /// Whether a request may be sent to a server. `true_ms` is the time of day.
    pub fn standing(
        &self,
        digest: RequestDigest,
        now: TimePoint,
        true_ms: Option<i64>,
    ) -> Standing {
        if self.held_here.contains(&digest) && self.cases.is_accused(digest) {
            return Standing::Quarantined(HELD_HERE);
        }
        self.quarantine.standing(digest, now, true_ms)
    }

    /// Whether any request is quarantined, so that digests have to be compared.
    pub fn has_quarantined(&self) -> bool {
        !self.quarantine.is_empty() || !self.held_here.is_empty()
    }

    /// The quarantined requests that stand in the store.
    pub fn listed(&self) -> impl Iterator<Item = (RequestDigest, QuarantineEntry)> {
        self.quarantine.listed()
    }

    /// Takes an entry of the store.
    pub fn entry_listed(&mut self, digest: RequestDigest, entry: QuarantineEntry) {
        self.cases.forget(digest);
        self.quarantine.entry_listed(digest, entry);
    }

    /// Takes it that an entry of the store was removed: the request may be sent again, and nothing is held against it.
    pub fn entry_removed(&mut self, digest: RequestDigest, now: TimePoint) {
        self.cases.forget(digest);
        self.quarantine.entry_removed(digest, now);
    }

    /// Takes all entries of the store.
    pub fn replace_all(
        &mut self,
        entries: impl IntoIterator<Item = (RequestDigest, QuarantineEntry)>,
        now: TimePoint,
    ) {
        let entries: Vec<_> = entries.into_iter().collect();
        let gone: Vec<_> = self.listed().map(|(digest, _)| digest).collect();
        for digest in gone.into_iter().filter(|it| !entries.iter().any(|(listed, _)| listed == it))
        {
            self.entry_removed(digest, now);
        }
        for (digest, entry) in entries {
            self.entry_listed(digest, entry);
        }
    }

    /// Notes that a trial is asked for, so that not each repeat asks the store meanwhile.
    pub fn trial_asked(&mut self, digest: RequestDigest, now: TimePoint) {
        self.quarantine.trial_asked(digest, now);
    }

    /// Takes what another VM told.
    pub fn hear(&mut self, from: &str, message: PoisonMessage, now: TimePoint) {
        match message {
            PoisonMessage::Exited { digest, server } => {
                if !self.quarantine.is_known(digest, now) {
                    self.cases.report(digest, server, now);
                }
            }
            PoisonMessage::Inquiry { digest, servers } => {
                self.cases.has_rival(digest, &servers);
                if self.completed.has(digest, now) {
                    let answer = PoisonMessage::Completed(digest);
                    self.outbox.send(Recipient::Vm(from.to_owned()), answer, now);
                } else {
                    self.inquiries.retain(|_, until| *until > now);
                    self.inquiries.insert(digest, now + LONGEST_INQUIRY);
                }
            }
            PoisonMessage::Completed(digest) => self.cases.cleared(digest, now),
            PoisonMessage::Quarantined { digest, servers } => {
                self.cases.forget(digest);
                self.cases.explained(&servers);
                self.quarantine.told(digest, now);
            }
        }
    }

    /// Whether there is anything to do for [`Self::tick`].
    pub fn is_due(&self, now: TimePoint) -> bool {
        self.outbox.is_due(now) || self.cases.is_due() || !self.held_here.is_empty()
    }

    /// Decides what is due, and returns what to tell which VM. `names` are all VMs that are listed, this one included, and
    /// `heard_part` is the part of them that was heard lately.
    pub fn tick(
        &mut self,
        names: &[&str],
        heard_part: f64,
        now: TimePoint,
    ) -> Vec<(String, PoisonMessage)> {
        for step in self.cases.tick(names, &self.me, Hears::of(heard_part), now) {
            self.take_step(step, now);
        }
        self.held_here.retain(|it| self.cases.is_accused(*it));
        let mut told = Vec::new();
        for Item { to, message, .. } in self.outbox.take_due(now) {
            for name in recipients(&to, &message, names) {
                if name != self.me {
                    told.push((name.to_owned(), message.clone()));
                } else if !matches!(to, Recipient::All) {
                    // What goes to all was taken here when it was decided.
                    self.hear(name, message.clone(), now);
                }
            }
        }
        told
    }

    /// Quarantines that have to be written to the store.
    pub fn take_unwritten(&mut self) -> Vec<(RequestDigest, Exits)> {
        std::mem::take(&mut self.unwritten)
    }

    fn take_step(&mut self, step: Step, now: TimePoint) {
        match step {
            Step::Inquire { digest, .. } if self.completed.has(digest, now) => {
                self.cases.cleared(digest, now);
            }
            Step::Inquire { digest, servers } => {
                self.cases.has_rival(digest, &servers);
                self.outbox.inquire(PoisonMessage::Inquiry { digest, servers }, now);
            }
            Step::HoldHere(digest) => {
                self.held_here.insert(digest);
            }
            Step::Quarantine { digest, servers, exits } => {
                self.cases.explained(&servers);
                self.quarantine.told(digest, now);
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
