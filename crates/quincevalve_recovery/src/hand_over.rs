//! Handing accepted requests to another entry VM before this one is taken back.
//!
//! Records live in one place and move on notice. The sender gives up the right to dispatch before it
//! sends; the receiver takes each hand-over once, by its id.

use std::collections::HashMap;

use quincevalve_inventory::Execution;
use quincevalve_names::{EntryVmName, RequestId, rendezvous_score};
use serde::{Deserialize, Serialize};

/// The id of one hand-over; the same id twice is taken once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HandOverId(pub u64);

/// How sending to one entry VM ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// It took the record.
    Taken,
    /// It refused: it leaves itself, or can't take more. It has not taken the record.
    Refused,
    /// No connection: no byte can have reached it.
    NotSent,
    /// No answer: it may have taken the record.
    Unknown,
}

/// What the sender does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandOverAction {
    /// Send the record to this entry VM.
    Send {
        /// The receiver.
        to: EntryVmName,
        /// The id to send it under.
        id: HandOverId,
    },
    /// The receiver has it; this VM is done with the request.
    Done {
        /// Who has it.
        by: EntryVmName,
    },
    /// Nobody can take it. The request did not leave this VM, which keeps the right to dispatch it.
    Keep,
    /// Somebody may have taken it. It must not be dispatched here or sent elsewhere.
    MayHaveRun,
}

/// The sending core of one record.
///
/// Failure: the answer to a send is lost. Symptom: were the record then sent to a second VM, or taken
/// back, two VMs could dispatch it, and a seat would be booked twice. The right to dispatch is therefore
/// given up before the first send. After a lost answer a non-idempotent record is only ever sent again to
/// the same VM under the same id, which takes it once; an idempotent one may go on to the next VM.
#[derive(Clone, Debug)]
pub struct HandOverSender {
    id: HandOverId,
    execution: Execution,
    targets: Vec<EntryVmName>,
    position: usize,
    resends: u32,
    maybe_taken: bool,
}

/// Sends to the same VM after the first, while its answers are lost.
const RESENDS: u32 = 2;

impl HandOverSender {
    /// Prepares a hand-over to the first of `candidates` in rendezvous order for the request.
    ///
    /// The caller leaves out VMs that are reclaimed in the same wave.
    pub fn new(
        id: HandOverId,
        request: RequestId,
        execution: Execution,
        candidates: &[(EntryVmName, u64)],
    ) -> Self {
        let mut scored: Vec<_> = candidates
            .iter()
            .map(|(name, hash)| (rendezvous_score(request.hash64(), *hash), name))
            .collect();
        scored.sort_unstable_by(|left, right| right.cmp(left));
        let targets = scored.into_iter().map(|it| it.1.clone()).collect();
        Self { id, execution, targets, position: 0, resends: 0, maybe_taken: false }
    }

    /// The first thing to do.
    pub fn start(&self) -> HandOverAction {
        self.send_or_end()
    }

    /// Takes how the last send ended and says what comes next.
    pub fn sent(&mut self, outcome: SendOutcome) -> HandOverAction {
        match outcome {
            SendOutcome::Taken => HandOverAction::Done { by: self.targets[self.position].clone() },
            SendOutcome::Refused | SendOutcome::NotSent => self.next_target(),
            SendOutcome::Unknown => self.after_lost_answer(),
        }
    }

    fn next_target(&mut self) -> HandOverAction {
        // A refusal to a resend says nothing of the first send, whose answer was lost.
        if self.maybe_taken && self.execution == Execution::NonIdempotent {
            return HandOverAction::MayHaveRun;
        }
        self.position += 1;
        self.resends = 0;
        self.send_or_end()
    }

    fn after_lost_answer(&mut self) -> HandOverAction {
        self.maybe_taken = true;
        if self.resends < RESENDS {
            self.resends += 1;
            return self.send_or_end();
        }
        self.next_target()
    }

    fn send_or_end(&self) -> HandOverAction {
        match self.targets.get(self.position) {
            Some(to) => HandOverAction::Send { to: to.clone(), id: self.id },
            None if self.maybe_taken => HandOverAction::MayHaveRun,
            None => HandOverAction::Keep,
        }
    }
}

/// What a receiver does with a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReceiverVerdict {
    /// Take it and go on with it.
    Take,
    /// It was taken before, under the same id: confirm, and do nothing more.
    TakenBefore,
    /// This VM leaves itself.
    Refuse,
}

/// The receiving core of one entry VM.
#[derive(Clone, Debug, Default)]
pub struct HandOverReceiver {
    taken: HashMap<(EntryVmName, HandOverId), RequestId>,
    leaving: bool,
}

impl HandOverReceiver {
    /// Refuses everything new from now on; what was taken is still confirmed.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Decides on a record. `Take` is remembered.
    ///
    /// ```
    /// use quincevalve_names::{HomeTag, RequestId};
    /// use quincevalve_recovery::{HandOverId, HandOverReceiver, ReceiverVerdict};
    /// let mut receiver = HandOverReceiver::default();
    /// let request = RequestId::new(HomeTag(1), 1);
    /// let sender = "entry-1".into();
    /// assert_eq!(receiver.receive(&sender, HandOverId(1), request), ReceiverVerdict::Take);
    /// assert_eq!(receiver.receive(&sender, HandOverId(1), request), ReceiverVerdict::TakenBefore);
    /// ```
    pub fn receive(
        &mut self,
        sender: &EntryVmName,
        id: HandOverId,
        request: RequestId,
    ) -> ReceiverVerdict {
        let key = (sender.clone(), id);
        if self.taken.contains_key(&key) {
            return ReceiverVerdict::TakenBefore;
        }
        if self.leaving {
            return ReceiverVerdict::Refuse;
        }
        self.taken.insert(key, request);
        ReceiverVerdict::Take
    }

    /// Forgets hand-overs of a request that has ended and is no longer kept.
    pub fn forget(&mut self, request: RequestId) {
        self.taken.retain(|_, it| *it != request);
    }
}
