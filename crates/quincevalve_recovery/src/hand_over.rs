//! Hand-over of accepted requests to another entry VM before this VM is reclaimed.
//!
//! A record has one owner and is handed over when the owner's shutdown is announced. The sender gives up the right to
//! dispatch before it sends; the receiver accepts each hand-over once, identified by its id.

use std::collections::HashMap;

use quincevalve_inventory::Execution;
use quincevalve_names::{EntryVmName, RequestId, rendezvous_score};
use serde::{Deserialize, Serialize};

/// The id of one hand-over. A receiver accepts the same id only once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HandOverId(pub u64);

/// The outcome of sending a record to one entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The receiver accepted the record.
    Taken,
    /// The receiver rejected the record, since it is leaving or has no capacity.
    Refused,
    /// No connection was established, so no byte can have reached the receiver.
    NotSent,
    /// No answer arrived; the receiver may have accepted the record.
    Unknown,
}

/// The sender's next action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandOverAction {
    /// Send the record to this entry VM.
    Send {
        /// The receiving VM.
        to: EntryVmName,
        /// The id of the hand-over.
        id: HandOverId,
    },
    /// The receiver owns the record; this VM needs no further action.
    Done {
        /// The VM that owns the record.
        by: EntryVmName,
    },
    /// No VM accepted the record. It didn't leave this VM, which keeps the right to dispatch the request.
    Keep,
    /// A VM may have accepted the record. It must not be dispatched here or sent to another VM.
    MayHaveRun,
}

/// The sender's core for one record.
///
/// The answer to a send may be lost although the receiver accepted the record. If the sender then sent the record to
/// a second VM, or dispatched the request itself, a non-idempotent request could run twice. Therefore the sender gives
/// up the right to dispatch before the first send. After a lost answer, a non-idempotent record is only retried at the
/// same VM under the same id, which accepts it once; an idempotent record may be sent to the next VM.
#[derive(Clone, Debug)]
pub struct HandOverSender {
    id: HandOverId,
    execution: Execution,
    targets: Vec<EntryVmName>,
    target_index: usize,
    retries: u32,
    maybe_accepted: bool,
}

/// Maximum number of retries at the same VM after lost answers.
const MAX_RETRIES_PER_TARGET: u32 = 2;

impl HandOverSender {
    /// Creates a sender that tries `candidates` in the request's rendezvous order.
    ///
    /// The caller excludes VMs that are reclaimed in the same reclaim wave. Each candidate is a VM's name with its
    /// hash.
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
        Self { id, execution, targets, target_index: 0, retries: 0, maybe_accepted: false }
    }

    /// Returns the first action.
    pub fn start(&self) -> HandOverAction {
        self.send_or_finish()
    }

    /// Processes the outcome of the last send and returns the next action.
    #[expect(clippy::indexing_slicing, reason = "the outcome is that of a send to this target")]
    pub fn handle_send_outcome(&mut self, outcome: SendOutcome) -> HandOverAction {
        match outcome {
            SendOutcome::Taken => {
                HandOverAction::Done { by: self.targets[self.target_index].clone() }
            }
            SendOutcome::Refused | SendOutcome::NotSent => self.next_target(),
            SendOutcome::Unknown => self.retry_after_lost_answer(),
        }
    }

    fn next_target(&mut self) -> HandOverAction {
        // If a retry is rejected or not sent, an earlier send whose answer was lost may still have been accepted.
        if self.maybe_accepted && self.execution == Execution::NonIdempotent {
            return HandOverAction::MayHaveRun;
        }
        self.target_index += 1;
        self.retries = 0;
        self.send_or_finish()
    }

    fn retry_after_lost_answer(&mut self) -> HandOverAction {
        self.maybe_accepted = true;
        if self.retries < MAX_RETRIES_PER_TARGET {
            self.retries += 1;
            return self.send_or_finish();
        }
        self.next_target()
    }

    fn send_or_finish(&self) -> HandOverAction {
        match self.targets.get(self.target_index) {
            Some(to) => HandOverAction::Send { to: to.clone(), id: self.id },
            None if self.maybe_accepted => HandOverAction::MayHaveRun,
            None => HandOverAction::Keep,
        }
    }
}

/// The receiver's decision on a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReceiverVerdict {
    /// Accept the record and continue the request.
    Take,
    /// The record was accepted earlier under the same id: confirm, without further action.
    TakenBefore,
    /// Reject the record, since this VM is leaving.
    Refuse,
}

/// The receiver's core of one entry VM.
#[derive(Clone, Debug, Default)]
pub struct HandOverReceiver {
    accepted: HashMap<(EntryVmName, HandOverId), RequestId>,
    leaving: bool,
}

impl HandOverReceiver {
    /// Rejects all new records from now on; records that were accepted earlier are still confirmed.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Decides on a record and remembers it if the decision is `Take`.
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
        if self.accepted.contains_key(&key) {
            return ReceiverVerdict::TakenBefore;
        }
        if self.leaving {
            return ReceiverVerdict::Refuse;
        }
        self.accepted.insert(key, request);
        ReceiverVerdict::Take
    }

    /// Removes the hand-overs of a request that has ended and whose record is no longer kept.
    pub fn forget(&mut self, request: RequestId) {
        self.accepted.retain(|_, it| *it != request);
    }
}
