//! What entry processes ask of each other.

use quincevalve_ledger::{Claim, Verdict};
use quincevalve_names::{ClientAccountName, EntryVmName, RequestId};
use quincevalve_recovery::{AnswerRecord, HandOverId, ReceiverVerdict};
use serde::{Deserialize, Serialize};

/// A record on its way to another entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandOver {
    /// Who hands over.
    pub sender: EntryVmName,
    /// The hand-over's id; the same id twice is taken once.
    pub id: HandOverId,
    /// The record.
    pub record: AnswerRecord,
}

/// How an answer ended, as far as a page shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PageEnd {
    /// Not yet.
    Open,
    /// It is whole.
    Whole,
    /// There is no whole answer, and the request did not run.
    NotRun,
    /// There is no whole answer, and the request may have run.
    MayHaveRun,
    /// Another VM has the request now.
    Moved,
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerPage {
    /// Whose request it is.
    pub account: ClientAccountName,
    /// The request's fingerprint.
    pub fingerprint: u64,
    /// Whether it is a service's answer.
    pub is_call: bool,
    /// The position of the first token.
    pub from: u32,
    /// Tokens from that position on.
    pub tokens: Vec<String>,
    /// A service's status, 0 until it is known.
    pub status: u16,
    /// A service's headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// A service's bytes, from the start; only with the end.
    pub bytes: Vec<u8>,
    /// The end.
    pub end: PageEnd,
}

/// The service of one entry process.
#[tarpc::service]
pub trait EntryPeer {
    /// Settles a claim in a slot that this VM owns.
    async fn claim(claim: Claim) -> Verdict;
    /// Takes a record over.
    async fn hand_over(order: HandOver) -> ReceiverVerdict;
    /// Reads an answer from a position on; waits a while for something new. `None`: not known here.
    async fn read_answer(id: RequestId, from: u32, wait_ms: u32) -> Option<AnswerPage>;
}
