//! The RPC service of entry processes for each other.

use quincevalve_ledger::{Claim, Verdict};
use quincevalve_names::{ClientAccountName, EntryVmName, RequestId};
use quincevalve_recovery::{AnswerRecord, HandOverId, ReceiverVerdict};
use serde::{Deserialize, Serialize};

/// The hand-over of a record to another entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandOver {
    /// The VM that hands the record over.
    pub sender: EntryVmName,
    /// The id of the hand-over. Two hand-overs with the same id take effect once.
    pub id: HandOverId,
    /// The record.
    pub record: AnswerRecord,
}

/// The state of an answer at the end of a page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PageEnd {
    /// The answer has not ended.
    Open,
    /// The answer is complete.
    Whole,
    /// The answer is incomplete, and the request did not run.
    NotRun,
    /// The answer is incomplete, and the request may have run.
    MayHaveRun,
    /// The request was handed over to another VM.
    Moved,
}

/// A segment of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerPage {
    /// The account that made the request.
    pub account: ClientAccountName,
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// Whether the answer is from a plain service, not from a model.
    pub is_call: bool,
    /// The position of the first token.
    pub from: u32,
    /// Tokens from that position on.
    pub tokens: Vec<String>,
    /// The status of a service's answer; 0 until it is known.
    pub status: u16,
    /// The headers of a service's answer.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body of a service's answer. Empty unless the answer is complete.
    pub bytes: Vec<u8>,
    /// The state of the answer after this segment.
    pub end: PageEnd,
}

/// The service of an entry process for other entry processes.
#[tarpc::service]
pub trait EntryPeer {
    /// Decides a claim in a slot that this VM owns.
    async fn claim(claim: Claim) -> Verdict;
    /// Accepts or rejects the hand-over of a record.
    async fn hand_over(order: HandOver) -> ReceiverVerdict;
    /// Reads an answer from position `from`, waiting at most `wait_ms` for new content. Returns `None` if this VM does
    /// not have the answer.
    async fn read_answer(id: RequestId, from: u32, wait_ms: u32) -> Option<AnswerPage>;
}
